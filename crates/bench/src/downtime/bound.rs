//! The upper bound: the best possible assignment at each moment.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::downtime::faults::DOMAIN_HOSTS;
use crate::downtime::faults::END;
use crate::downtime::faults::HOSTS;
use crate::downtime::faults::Schedule;
use crate::downtime::faults::TIME_STEP;
use crate::downtime::faults::WARM_UP_END;
use crate::downtime::faults::WIDTHS;
use crate::downtime::faults::target_replicas;
use crate::downtime::score::Score;

/// Replicas by width.
type Counts = [usize; WIDTHS.len()];

/// Computes the score of the best assignment of the hosts that are up at each moment.
pub fn run(schedule: &Schedule) -> Score {
    let mut score = Score::default();
    let mut best_by_hosts: BTreeMap<Vec<usize>, (Counts, usize)> = BTreeMap::new();
    let mut now = WARM_UP_END;
    while now < END {
        let up = schedule.up(now);
        let hosts_up = hosts_up_by_domain(&up);
        let (serving, idle) = *best_by_hosts
            .entry(hosts_up)
            .or_insert_with_key(|hosts_up| best_assignment(hosts_up));
        score.add_span(&serving, &[0; WIDTHS.len()], idle, TIME_STEP.as_secs_f64());
        now += TIME_STEP;
    }
    score
}

/// The number of hosts that are up in each domain, sorted.
fn hosts_up_by_domain(up: &[bool]) -> Vec<usize> {
    let domains = up.chunks(DOMAIN_HOSTS);
    let mut hosts_up: Vec<usize> = domains
        .map(|d| d.iter().filter(|up| **up).count())
        .collect();
    hosts_up.sort_unstable();
    hosts_up
}

/// The assignment with the fewest replicas down and, among these, the most hosts in use. Returns
/// the serving replicas by width and the number of idle hosts.
fn best_assignment(hosts_up: &[usize]) -> (Counts, usize) {
    debug_assert!(hosts_up.iter().sum::<usize>() <= HOSTS);
    let mut reachable = BTreeSet::from([Counts::default()]);
    for hosts_left in hosts_up {
        let mut next = BTreeSet::new();
        for counts in reachable {
            add_replicas(counts, *hosts_left, 0, &mut next);
        }
        reachable = next;
    }
    let rank = |counts: &Counts| (counts.iter().sum::<usize>(), hosts_used(counts));
    let best = reachable.into_iter().max_by_key(rank).unwrap_or_default();
    (best, hosts_up.iter().sum::<usize>() - hosts_used(&best))
}

/// The number of hosts that replicas use.
fn hosts_used(counts: &Counts) -> usize {
    counts
        .iter()
        .zip(WIDTHS)
        .map(|(count, width)| count * width)
        .sum()
}

/// Adds to `reachable` all counts that result from placing more replicas, of the widths from
/// `first_width` on, in a domain with `hosts_left` hosts.
fn add_replicas(
    counts: Counts,
    hosts_left: usize,
    first_width: usize,
    reachable: &mut BTreeSet<Counts>,
) {
    reachable.insert(counts);
    for width_index in first_width..WIDTHS.len() {
        if WIDTHS[width_index] <= hosts_left && counts[width_index] < target_replicas(width_index) {
            let mut more = counts;
            more[width_index] += 1;
            add_replicas(
                more,
                hosts_left - WIDTHS[width_index],
                width_index,
                reachable,
            );
        }
    }
}
