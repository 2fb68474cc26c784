//! The service of requests at the peak of demand, after a fast rise.

use std::time::Duration;

use crate::load::Mix;
use crate::load::Outcome;
use crate::load::Policy;
use crate::load::Profile;
use crate::load::REPLICAS;
use crate::load::Request;
use crate::load::Run;
use crate::load::Summary;
use crate::load::contracts;
use crate::load::load_capacity;
use crate::load::orgs;
use crate::load::percentile;
use crate::load::requests;
use crate::load::run as run_load;
use crate::load::terms_of;
use crate::load::time_alone;
use crate::report::Report;
use crate::report::Table;
use base::Time;

mod decide;

/// When the load starts to rise.
const RISE_START: Time = Time::from_millis(20_000);
/// When the peak ends.
const PEAK_END: Time = Time::from_millis(60_000);
/// The start and the end of the partition.
const PARTITION: (Time, Time) = (Time::from_millis(30_000), Time::from_millis(45_000));
/// How long the load rises.
const RISE_TIME: Duration = Duration::from_secs(2);
const POLICIES: [Policy; 4] = [
    Policy::Lend,
    Policy::Limit,
    Policy::Perfect,
    Policy::RoundRobin,
];
const COLUMNS: [&str; 10] = [
    "policy",
    "class",
    "requests",
    "of contract %",
    "in time %",
    "refused %",
    "first p50 s",
    "first p99 s",
    "refusal p99 ms",
    "goodput/bound",
];

/// Runs the measure.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("crest", seed)
        .note("load 0.15 of capacity, then 1.5 within 2 s, for 40 s; figures of requests that arrive between the start of the swing and its end")
        .note("small: seven organisations that stay within what they bought; large: three that ask for 2.2 times as much")
        .note("of contract: answers in time over the requests that one token bucket for all nodes would admit")
        .note("goodput: engine time in the crest spent on answers in time; bound: the engine time there is, or less if the requests that may be served can't use it");
    for scenario in scenarios() {
        report = report.table(table(&scenario, seed));
    }
    report.table(decide::table(seed))
}

/// One scenario of a rise to the peak.
struct Scenario {
    title: &'static str,
    mix: Mix,
    /// The factor on the rates of the contracts.
    rate_factor: f64,
    /// The start and the end of a partition of the third data centre from the others.
    partition: (Time, Time),
    policies: &'static [Policy],
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            title: "lantern: swing to 1.5 times capacity",
            mix: Mix::Lantern,
            rate_factor: 1.0,
            partition: (Time::NEVER, Time::NEVER),
            policies: &POLICIES,
        }
    }
}

fn scenarios() -> [Scenario; 4] {
    let association = Scenario {
        title: "association: swing to 1.5 times capacity",
        mix: Mix::Association,
        ..Scenario::default()
    };
    let oversold = Scenario {
        title: "lantern: the same swing, but twice as much sold: nearly all within contract",
        rate_factor: 2.0,
        policies: &[Policy::Limit, Policy::RoundRobin],
        ..Scenario::default()
    };
    let partition = Scenario {
        title: "lantern: the same swing, the third data centre cut off for 15 s of the crest",
        partition: PARTITION,
        policies: &[Policy::Lend, Policy::Limit, Policy::RoundRobin],
        ..Scenario::default()
    };
    [Scenario::default(), association, oversold, partition]
}

fn table(scenario: &Scenario, seed: u64) -> Table {
    let mix = scenario.mix;
    let capacity = load_capacity(mix);
    let profile = Profile {
        base_load: 0.15,
        peak_load: 1.5,
        rise_start: RISE_START,
        rise_time: RISE_TIME,
        peak_end: PEAK_END,
        end: PEAK_END + Duration::from_secs(5),
    };
    let contracts = contracts(mix, capacity * scenario.rate_factor);
    let requests = requests(mix, &profile, capacity, &contracts, seed);
    let mut table = Table::new(scenario.title, &COLUMNS);
    for policy in scenario.policies {
        let cfg = Run {
            policy: *policy,
            contracts: contracts.clone(),
            window: (RISE_START + RISE_TIME, PEAK_END),
            slow_from: Time::NEVER,
            partition: scenario.partition,
            seed,
        };
        let outcomes = run_load(&cfg, &requests);
        add_rows(&mut table, mix, &cfg, &requests, &outcomes);
    }
    table
}

/// The organisations that a row is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrgGroup {
    Small,
    Large,
    All,
}

fn add_rows(table: &mut Table, mix: Mix, cfg: &Run, requests: &[Request], outcomes: &[Outcome]) {
    let bound = bound(cfg, requests);
    let terms = terms_of(mix);
    let orgs = orgs();
    let is_small = |request: &Request| orgs[request.org].peak_demand <= 1.0;
    let mut add = |group: OrgGroup, kind: Option<usize>, name: String| {
        let chosen = requests.iter().zip(outcomes).filter(|(request, _)| {
            let in_rise_or_peak = match kind {
                Some(_) => RISE_START <= request.at && request.at < PEAK_END,
                None => true,
            };
            let in_group = match group {
                OrgGroup::Small => is_small(request),
                OrgGroup::Large => !is_small(request),
                OrgGroup::All => true,
            };
            in_rise_or_peak && in_group && kind.is_none_or(|kind| kind == request.kind)
        });
        let summary = Summary::of(chosen, |request| terms[request.kind]);
        table.row(row_cells(cfg.policy, name, &summary, bound));
    };
    for (index, kind) in mix.kinds().iter().enumerate() {
        add(
            OrgGroup::Small,
            Some(index),
            format!("{}, small", kind.name),
        );
        add(
            OrgGroup::Large,
            Some(index),
            format!("{}, large", kind.name),
        );
    }
    add(OrgGroup::All, None, "all, whole run".to_owned());
}

/// The most engine time that useful answers can take in the window, in seconds.
fn bound(cfg: &Run, requests: &[Request]) -> f64 {
    let (from, until) = cfg.window;
    let may_run = |request: &&Request| cfg.policy != Policy::Limit || request.is_within_contract;
    let useful = requests.iter().filter(may_run).map(|request| {
        let alone = time_alone(request).as_secs_f64();
        let done_before = from.since(request.at).as_secs_f64() / alone;
        let done_by_end = until.since(request.at).as_secs_f64() / alone;
        request.cost() * (done_by_end.min(1.0) - done_before.min(1.0))
    });
    let available = until.since(from).as_secs_f64() * REPLICAS as f64;
    useful.sum::<f64>().min(available)
}

fn row_cells(policy: Policy, name: String, summary: &Summary, bound: f64) -> [String; 10] {
    let percent = |part: usize| format!("{:.1}", 100.0 * part as f64 / summary.count.max(1) as f64);
    [
        policy.to_string(),
        name,
        summary.count.to_string(),
        format!(
            "{:.1}",
            100.0 * summary.in_time as f64 / summary.within_contract.max(1) as f64
        ),
        percent(summary.in_time),
        percent(summary.refused),
        format!("{:.3}", percentile(&summary.first_token_times, 0.5)),
        format!("{:.3}", percentile(&summary.first_token_times, 0.99)),
        format!("{:.1}", 1e3 * percentile(&summary.refusal_times, 0.99)),
        format!("{:.3}", summary.useful_work / bound),
    ]
}
