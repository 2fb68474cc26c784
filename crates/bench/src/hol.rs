//! Head-of-line blocking: how long short requests wait behind long ones.

use crate::load::Mix;
use crate::load::Outcome;
use crate::load::Policy;
use crate::load::Profile;
use crate::load::Request;
use crate::load::Run;
use crate::load::Summary;
use crate::load::contracts;
use crate::load::load_capacity;
use crate::load::percentile;
use crate::load::requests;
use crate::load::run as run_load;
use crate::load::terms_of;
use crate::load::time_alone;
use crate::report::Report;
use crate::report::Table;
use base::Time;

/// Requests that arrive before this are not counted.
const WARM_UP_END: Time = Time::from_millis(60_000);
/// The time when arrivals end.
const END: Time = Time::from_millis(120_000);
/// The loads that are measured, relative to the capacity.
const LOADS: [f64; 2] = [0.8, 0.9];
const POLICIES: [Policy; 3] = [Policy::Lend, Policy::Perfect, Policy::RoundRobin];
const COLUMNS: [&str; 9] = [
    "load",
    "policy",
    "long work",
    "short p50 s",
    "short p99 s",
    "short in time %",
    "long slowdown p50",
    "long slowdown p99",
    "long in time %",
];

/// Runs the measure.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("hol", seed)
        .note("3 in 100 requests are 30 times as long; without them the same short requests run alone")
        .note("long work that is refused is beyond its contract: the three large organisations ask for more than they bought here too")
        .note("slowdown: time to the whole answer over its time with an engine for itself");
    for mix in [Mix::Lantern, Mix::Association] {
        let mut table = Table::new(&format!("{mix}: short work's first token"), &COLUMNS);
        for load in LOADS {
            add_rows(&mut table, mix, load, seed);
        }
        report = report.table(table);
    }
    report.table(slow_table(seed))
}

/// Results while one replica of 60 is ten times slower.
fn slow_table(seed: u64) -> Table {
    let (mix, load) = (Mix::Lantern, LOADS[0]);
    let title = format!("{mix}: one replica of 60 ten times slower from {WARM_UP_END} on");
    let mut table = Table::new(&title, &COLUMNS);
    let capacity = load_capacity(mix);
    let contracts = contracts(mix, capacity);
    let requests = requests(mix, &Profile::steady(load, END), capacity, &contracts, seed);
    for policy in POLICIES {
        let cfg = Run {
            policy,
            contracts: contracts.clone(),
            window: (WARM_UP_END, END),
            slow_from: WARM_UP_END,
            partition: (Time::NEVER, Time::NEVER),
            seed,
        };
        let outcomes = run_load(&cfg, &requests);
        table.row(row_cells(mix, load, policy, "with", &requests, &outcomes));
    }
    table
}

fn add_rows(table: &mut Table, mix: Mix, load: f64, seed: u64) {
    let capacity = load_capacity(mix);
    let contracts = contracts(mix, capacity);
    let all_requests = requests(mix, &Profile::steady(load, END), capacity, &contracts, seed);
    let is_short = |request: &Request| !mix.kinds()[request.kind].is_long;
    let short_requests: Vec<_> = all_requests
        .iter()
        .filter(|r| is_short(r))
        .cloned()
        .collect();
    for policy in POLICIES {
        for (long_work, requests) in [("with", &all_requests), ("without", &short_requests)] {
            let cfg = Run {
                policy,
                contracts: contracts.clone(),
                window: (WARM_UP_END, END),
                slow_from: Time::NEVER,
                partition: (Time::NEVER, Time::NEVER),
                seed,
            };
            let outcomes = run_load(&cfg, requests);
            table.row(row_cells(mix, load, policy, long_work, requests, &outcomes));
        }
    }
}

fn row_cells(
    mix: Mix,
    load: f64,
    policy: Policy,
    long_work: &str,
    requests: &[Request],
    outcomes: &[Outcome],
) -> [String; 9] {
    let kinds = mix.kinds();
    let terms = terms_of(mix);
    let chosen_by_length = |is_long: bool| {
        let pairs = requests.iter().zip(outcomes);
        let chosen = pairs.filter(|(r, _)| WARM_UP_END <= r.at && kinds[r.kind].is_long == is_long);
        chosen.collect::<Vec<_>>()
    };
    let (short, long) = (chosen_by_length(false), chosen_by_length(true));
    let mut slowdown: Vec<f64> = long.iter().filter_map(|(r, o)| slowdown(r, o)).collect();
    slowdown.sort_by(f64::total_cmp);
    let short = Summary::of(short.into_iter(), |r| terms[r.kind]);
    let long = Summary::of(long.into_iter(), |r| terms[r.kind]);
    [
        load.to_string(),
        policy.to_string(),
        long_work.to_owned(),
        format!("{:.3}", percentile(&short.first_token_times, 0.5)),
        format!("{:.3}", percentile(&short.first_token_times, 0.99)),
        format!("{:.1}", 100.0 * short.in_time_share()),
        format!("{:.2}", percentile(&slowdown, 0.5)),
        format!("{:.2}", percentile(&slowdown, 0.99)),
        format!("{:.1}", 100.0 * long.in_time_share()),
    ]
}

fn slowdown(request: &Request, outcome: &Outcome) -> Option<f64> {
    let total_time = outcome.last_token?.since(request.at);
    Some(total_time.as_secs_f64() / time_alone(request).as_secs_f64().max(1e-6))
}
