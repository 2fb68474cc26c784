//! The best that any assignment could do at each moment.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::downtime::faults::DOMAIN_HOSTS;
use crate::downtime::faults::END;
use crate::downtime::faults::HOSTS;
use crate::downtime::faults::STEP;
use crate::downtime::faults::Schedule;
use crate::downtime::faults::WARM_UP;
use crate::downtime::faults::WIDTHS;
use crate::downtime::faults::target;
use crate::downtime::score::Score;

type Counts = [usize; WIDTHS.len()];

/// Scores the best assignment of the hosts that are up at each moment.
pub fn run(schedule: &Schedule) -> Score {
    let mut score = Score::default();
    let mut known: BTreeMap<Vec<usize>, (Counts, usize)> = BTreeMap::new();
    let mut now = WARM_UP;
    while now < END {
        let up = schedule.up(now);
        let rooms = rooms(&up);
        let (serving, idle) = *known.entry(rooms).or_insert_with_key(|rooms| best(rooms));
        score.count(&serving, &[0; WIDTHS.len()], idle, STEP.as_secs_f64());
        now += STEP;
    }
    score
}

fn rooms(up: &[bool]) -> Vec<usize> {
    let domains = up.chunks(DOMAIN_HOSTS);
    let mut rooms: Vec<usize> = domains
        .map(|d| d.iter().filter(|up| **up).count())
        .collect();
    rooms.sort_unstable();
    rooms
}

/// The assignment with the fewest replicas down, and with the most hosts in use among these.
fn best(rooms: &[usize]) -> (Counts, usize) {
    debug_assert!(rooms.iter().sum::<usize>() <= HOSTS);
    let mut reached = BTreeSet::from([Counts::default()]);
    for room in rooms {
        let mut next = BTreeSet::new();
        for counts in reached {
            fill(counts, *room, 0, &mut next);
        }
        reached = next;
    }
    let value = |counts: &Counts| (counts.iter().sum::<usize>(), used(counts));
    let best = reached.into_iter().max_by_key(value).unwrap_or_default();
    (best, rooms.iter().sum::<usize>() - used(&best))
}

fn used(counts: &Counts) -> usize {
    counts
        .iter()
        .zip(WIDTHS)
        .map(|(count, width)| count * width)
        .sum()
}

fn fill(counts: Counts, room: usize, from: usize, found: &mut BTreeSet<Counts>) {
    found.insert(counts);
    for at in from..WIDTHS.len() {
        if WIDTHS[at] <= room && counts[at] < target(at) {
            let mut more = counts;
            more[at] += 1;
            fill(more, room - WIDTHS[at], at, found);
        }
    }
}
