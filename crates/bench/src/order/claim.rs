//! The time from a node's claim to its grant, and the rate of claims that is sustained.

use std::time::Duration;
use std::time::Instant;

use super::disk_time::measure_sync_times;
use super::disk_time::percentile;
use super::voters::SyncMode;
use super::voters::Voters;
use crate::report::Table;
use base::Digest;
use base::Incarnation;
use base::NodeId;
use state::AttemptId;
use state::Claim;
use state::Command;
use state::LogTime;
use state::Op;

const CENTRES: usize = 3;
/// Claims that are timed at each rate and calling data centre.
const TIMED_CLAIMS: u64 = 3_000;
/// The offered rates of claims, per second.
const RATES: [u64; 4] = [500, 2_000, 10_000, 30_000];
/// How long claims are offered at each rate.
const OFFERED_TIME: Duration = Duration::from_secs(1);

/// The nth claim. Each n claims a different key.
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

/// The latency of a claim at low rates, compared with a synced append and a round trip.
pub fn latency(seed: u64) -> Table {
    let mut table = Table::new("one claim, ms", &["what", "p50", "p99", "max"]);
    let sync_times = measure_sync_times();
    table.row(row("a synced append on this disk", &sync_times));
    let mut voters = Voters::open(seed, SyncMode::Grouped, sync_times);
    let mut round_trips: Vec<_> = (0..10_000)
        .map(|_| voters.link_delay(0, 1) + voters.link_delay(1, 0))
        .collect();
    round_trips.sort();
    table.row(row("a round trip between data centres", &round_trips));
    let leader = voters.leader().expect("a leader");
    let time_claims = |voters: &mut Voters, centre: usize, first_claim: u64, interval_ms: u32| {
        let interval = Duration::from_millis(u64::from(interval_ms));
        let send = |n: u64| {
            let wait = interval * (n - first_claim) as u32;
            let command = command(n);
            voters.call(wait, centre, command)
        };
        let sent: Vec<_> = (first_claim..first_claim + TIMED_CLAIMS)
            .map(send)
            .collect();
        voters.run(interval * TIMED_CLAIMS as u32 + Duration::from_secs(1));
        let mut latencies: Vec<_> = sent
            .iter()
            .filter_map(|call| voters.latencies.get(call))
            .copied()
            .collect();
        assert_eq!(latencies.len(), sent.len(), "claims without a reply");
        latencies.sort();
        latencies
    };
    let other = (leader + 1) % CENTRES;
    let mut first_claim = 0;
    for (interval_ms, rate) in [(50, 20), (5, 200)] {
        for (centre, place) in [(leader, "the leader's"), (other, "another")] {
            let latencies = time_claims(&mut voters, centre, first_claim, interval_ms);
            let label = format!("a claim at {place} data centre, {rate}/s");
            table.row(row(&label, &latencies));
            first_claim += TIMED_CLAIMS;
        }
    }
    table
}

/// The rates of claims that are sustained with and without shared syncs.
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
    let sync_times = measure_sync_times();
    for rate in RATES {
        for sync_mode in [SyncMode::Grouped, SyncMode::Single] {
            let mut voters = Voters::open(seed, sync_mode, sync_times.clone());
            let claim_count = (rate as f64 * OFFERED_TIME.as_secs_f64()) as u64;
            for n in 0..claim_count {
                let wait = OFFERED_TIME.mul_f64(n as f64 / claim_count as f64);
                voters.call(wait, n as usize % CENTRES, command(n));
            }
            let start = Instant::now();
            voters.run(OFFERED_TIME + Duration::from_secs(1));
            let elapsed = start.elapsed();
            let mut latencies: Vec<_> = voters.latencies.values().copied().collect();
            latencies.sort();
            let granted_in_time = latencies
                .iter()
                .filter(|latency| **latency <= Duration::from_secs(1))
                .count();
            table.row([
                rate.to_string(),
                format!("{sync_mode:?}").to_lowercase(),
                format!("{:.1}", 100.0 * granted_in_time as f64 / claim_count as f64),
                ms(percentile(&latencies, 0.5)),
                ms(percentile(&latencies, 0.99)),
                format!("{:.1}", elapsed.as_secs_f64() * 1e6 / claim_count as f64),
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

fn row(label: &str, sorted: &[Duration]) -> [String; 4] {
    [
        label.to_owned(),
        ms(percentile(sorted, 0.5)),
        ms(percentile(sorted, 0.99)),
        ms(sorted.last().copied().unwrap_or_default()),
    ]
}

fn ms(span: Duration) -> String {
    format!("{:.2}", span.as_secs_f64() * 1e3)
}
