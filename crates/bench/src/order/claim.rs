//! The time from a node's claim to its grant, and how many are sustained.

use std::time::Duration;
use std::time::Instant;

use super::disk_time::percentile;
use super::disk_time::syncs;
use super::voters::Commit;
use super::voters::Voters;
use crate::report::Table;
use base::Incarnation;
use base::NodeId;
use state::AttemptId;
use state::Claim;
use state::Command;
use state::Digest;
use state::LogTime;
use state::Op;

const CENTRES: usize = 3;
const LATENCY_CALLS: u64 = 3_000;
const RATES: [u64; 4] = [500, 2_000, 10_000, 30_000];
const SPAN: Duration = Duration::from_secs(1);

/// A claim of a key of its own.
pub fn claim(n: u64) -> Op {
    Op::Claim(Claim {
        org: format!("org-{}", n % 10).parse().expect("a name"),
        key: format!("order-{n:016}").parse().expect("a key"),
        body: Digest([n as u8; 32]),
        service: "orders".parse().expect("a name"),
        attempt: AttemptId {
            node: NodeId((n % 9) as u32),
            incarnation: Incarnation(1),
            sequence: n / 9,
        },
        floor: (n / 9).saturating_sub(100),
        seen: 0,
        run_for: Duration::from_secs(15),
        retention: Duration::from_secs(7 * 86_400),
    })
}

/// What one claim takes at a low rate, beside a synced append and a round trip.
pub fn latency(seed: u64) -> Table {
    let mut table = Table::new("one claim, ms", &["what", "p50", "p99", "max"]);
    let syncs = syncs();
    table.row(row("a synced append on this disk", &syncs));
    let mut voters = Voters::open(seed, Commit::Grouped, syncs);
    let mut trips: Vec<_> = (0..10_000)
        .map(|_| voters.way(0, 1) + voters.way(1, 0))
        .collect();
    trips.sort();
    table.row(row("a round trip between data centres", &trips));
    let leader = voters.leader().expect("a leader");
    let calls = |voters: &mut Voters, centre: usize, first: u64, gap: u32| {
        let gap = Duration::from_millis(u64::from(gap));
        let send = |n: u64| {
            let wait = gap * (n - first) as u32;
            let command = command(n);
            voters.call(wait, centre, command)
        };
        let sent: Vec<_> = (first..first + LATENCY_CALLS).map(send).collect();
        voters.run(gap * LATENCY_CALLS as u32 + Duration::from_secs(1));
        let mut took: Vec<_> = sent
            .iter()
            .filter_map(|call| voters.took.get(call))
            .copied()
            .collect();
        assert_eq!(took.len(), sent.len(), "claims without a reply");
        took.sort();
        took
    };
    let other = (leader + 1) % CENTRES;
    let mut first = 0;
    for (gap, rate) in [(50, 20), (5, 200)] {
        for (centre, place) in [(leader, "the leader's"), (other, "another")] {
            let took = calls(&mut voters, centre, first, gap);
            let what = format!("a claim at {place} data centre, {rate}/s");
            table.row(row(&what, &took));
            first += LATENCY_CALLS;
        }
    }
    table
}

/// Claims a second with and without shared syncs.
pub fn sustained(seed: u64) -> Table {
    let mut table = Table::new(
        "claims of all data centres together",
        &[
            "offered/s",
            "syncs",
            "granted within 1 s %",
            "p50 ms",
            "p99 ms",
            "this run, us/claim",
        ],
    );
    let syncs = syncs();
    for rate in RATES {
        for commit in [Commit::Grouped, Commit::Single] {
            let mut voters = Voters::open(seed, commit, syncs.clone());
            let calls = (rate as f64 * SPAN.as_secs_f64()) as u64;
            for n in 0..calls {
                let wait = SPAN.mul_f64(n as f64 / calls as f64);
                voters.call(wait, n as usize % CENTRES, command(n));
            }
            let start = Instant::now();
            voters.run(SPAN + Duration::from_secs(1));
            let spent = start.elapsed();
            let mut took: Vec<_> = voters.took.values().copied().collect();
            took.sort();
            let within = took
                .iter()
                .filter(|took| **took <= Duration::from_secs(1))
                .count();
            table.row([
                rate.to_string(),
                format!("{commit:?}").to_lowercase(),
                format!("{:.1}", 100.0 * within as f64 / calls as f64),
                ms(percentile(&took, 0.5)),
                ms(percentile(&took, 0.99)),
                format!("{:.1}", spent.as_secs_f64() * 1e6 / calls as f64),
            ]);
        }
    }
    table
}

fn command(n: u64) -> Command {
    Command {
        at: LogTime(n),
        op: claim(n),
    }
}

fn row(what: &str, sorted: &[Duration]) -> [String; 4] {
    [
        what.to_owned(),
        ms(percentile(sorted, 0.5)),
        ms(percentile(sorted, 0.99)),
        ms(sorted.last().copied().unwrap_or_default()),
    ]
}

fn ms(span: Duration) -> String {
    format!("{:.2}", span.as_secs_f64() * 1e3)
}
