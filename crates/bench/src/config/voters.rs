//! The voters: the rate of changes they sustain, their costs, and their recovery from faults.

use crate::report::Report;

mod cost;
mod fault;
mod rate;
mod sim;

/// Adds the tables and notes about the voters.
pub fn measure(report: Report, seed: u64) -> Report {
    report
        .table(rate::table())
        .table(fault::commit(seed))
        .table(fault::leader_loss(seed))
        .table(fault::catch_up(seed))
        .table(cost::per_change(seed))
        .table(cost::idle(seed))
        .note("voters, sustained: three voters and their logs on one disk in one process, no network between them, a thread a log; changes are kept in flight by one proposer; bare: one log without agreement")
        .note("voters, faults: virtual time, 3 ms one way between any two, give or take a tenth, 2 ms a sync; bound of a commit: one way there and back and a sync; bound of a loss: the longest election timeout, two rounds of votes and one of entries")
        .note("voters, cost: messages as JSON, written and read, disks and network without cost; a voter's share is a third or a fifth of one thread's processor time")
}

/// Formats the quantile of the sorted times at `share`, between 0 and 1, in milliseconds.
fn percentile_ms(sorted: &[std::time::Duration], share: f64) -> String {
    let index = (share * (sorted.len() - 1) as f64).round() as usize;
    format!("{:.2}", sorted[index].as_secs_f64() * 1e3)
}
