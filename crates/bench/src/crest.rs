//! Service at the crest of a demand swing.

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

const RISE: Time = Time::from_millis(20_000);
const FALL: Time = Time::from_millis(60_000);
const SWING: Duration = Duration::from_secs(2);
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
    for mix in [Mix::Lantern, Mix::Association] {
        let title = format!("{mix}: swing to 1.5 times capacity");
        report = report.table(table(&title, mix, 1.0, &POLICIES, seed));
    }
    let title = "lantern: the same swing, but twice as much sold: nearly all within contract";
    let policies = [Policy::Limit, Policy::RoundRobin];
    report = report.table(table(title, Mix::Lantern, 2.0, &policies, seed));
    report.table(decide::table(seed))
}

/// One swing. `sold` scales what the contracts allow.
fn table(title: &str, mix: Mix, sold: f64, policies: &[Policy], seed: u64) -> Table {
    let capacity = load_capacity(mix);
    let profile = Profile {
        calm: 0.15,
        crest: 1.5,
        rise: RISE,
        swing: SWING,
        fall: FALL,
        end: FALL + Duration::from_secs(5),
    };
    let contracts = contracts(mix, capacity * sold);
    let requests = requests(mix, &profile, capacity, &contracts, seed);
    let mut table = Table::new(title, &COLUMNS);
    for policy in policies {
        let cfg = Run {
            policy: *policy,
            contracts: contracts.clone(),
            window: (RISE + SWING, FALL),
            slow: Time::NEVER,
            seed,
        };
        let outcomes = run_load(&cfg, &requests);
        add_rows(&mut table, mix, &cfg, &requests, &outcomes);
    }
    table
}

/// Which organisations a row is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Who {
    Small,
    Large,
    All,
}

fn add_rows(table: &mut Table, mix: Mix, cfg: &Run, requests: &[Request], outcomes: &[Outcome]) {
    let bound = bound(cfg, requests);
    let terms = terms_of(mix);
    let orgs = orgs();
    let is_small = |request: &Request| orgs[request.org].crest <= 1.0;
    let mut add = |who: Who, work: Option<usize>, name: String| {
        let chosen = requests.iter().zip(outcomes).filter(|(request, _)| {
            let in_crest = match work {
                Some(_) => RISE <= request.at && request.at < FALL,
                None => true,
            };
            let by_who = match who {
                Who::Small => is_small(request),
                Who::Large => !is_small(request),
                Who::All => true,
            };
            in_crest && by_who && work.is_none_or(|work| work == request.work)
        });
        let sum = Summary::of(chosen, |request| terms[request.work]);
        table.row(cells(cfg.policy, name, &sum, bound));
    };
    for (at, work) in mix.work().iter().enumerate() {
        add(Who::Small, Some(at), format!("{}, small", work.name));
        add(Who::Large, Some(at), format!("{}, large", work.name));
    }
    add(Who::All, None, "all, whole run".to_owned());
}

/// The most engine time that answers could take in the window.
fn bound(cfg: &Run, requests: &[Request]) -> f64 {
    let (from, until) = cfg.window;
    let may_run = |request: &&Request| cfg.policy != Policy::Limit || request.is_within;
    let useful = requests.iter().filter(may_run).map(|request| {
        let alone = time_alone(request).as_secs_f64();
        let over = from.since(request.at).as_secs_f64() / alone;
        let reached = until.since(request.at).as_secs_f64() / alone;
        request.cost() * (reached.min(1.0) - over.min(1.0))
    });
    let there_is = until.since(from).as_secs_f64() * REPLICAS as f64;
    useful.sum::<f64>().min(there_is)
}

fn cells(policy: Policy, name: String, sum: &Summary, bound: f64) -> [String; 10] {
    let percent = |part: usize| format!("{:.1}", 100.0 * part as f64 / sum.count.max(1) as f64);
    [
        policy.to_string(),
        name,
        sum.count.to_string(),
        format!(
            "{:.1}",
            100.0 * sum.in_time as f64 / sum.within.max(1) as f64
        ),
        percent(sum.in_time),
        percent(sum.refused),
        format!("{:.3}", percentile(&sum.first, 0.5)),
        format!("{:.3}", percentile(&sum.first, 0.99)),
        format!("{:.1}", 1e3 * percentile(&sum.refusal, 0.99)),
        format!("{:.3}", sum.work / bound),
    ]
}
