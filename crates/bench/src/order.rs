//! The cost of claims, and the share of orders that can be served during partitions.

mod apply;
mod claim;
mod disk_time;
mod partitions;
mod voters;

use crate::report::Report;

/// Runs the measure.
pub fn run(seed: u64) -> Report {
    let memory = apply::memory();
    Report::new("order", seed)
        .table(claim::latency(seed))
        .table(claim::sustained(seed))
        .table(partitions::served())
        .table(partitions::costs())
        .table(apply::commands(seed))
        .table(apply::recovery(seed))
        .table(memory)
        .note("claims and rates: three real voters and the real state, one in each data centre, in virtual time; links 3 ms one way and an exponential delay of 1 ms on average; syncs take what this machine's disk took in the same run; the last column is real time on a busy machine, of all three voters and the model around them")
        .note("served: callers spread evenly over the data centres that are alive, one process of the service in each; averages over all cuts of the kind and all places of the leader or home")
}
