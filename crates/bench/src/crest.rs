//! Service at the crest of a demand swing.

use std::time::Duration;

use base::Time;

use crate::load::Mix;
use crate::load::Outcome;
use crate::load::Policy;
use crate::load::Profile;
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
use crate::report::Report;
use crate::report::Table;

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
const COLUMNS: [&str; 9] = [
    "policy",
    "class",
    "requests",
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
        .note("small: organisations that stay within their contracts; large: three that ask for 2.2 times what they bought")
        .note("goodput: engine time in the crest spent on answers in time, over all engine time there");
    for mix in [Mix::Lantern, Mix::Association] {
        report = report.table(table(mix, seed));
    }
    report.table(decide::table(seed))
}

fn table(mix: Mix, seed: u64) -> Table {
    let capacity = load_capacity(mix);
    let profile = Profile {
        calm: 0.15,
        crest: 1.5,
        rise: RISE,
        swing: SWING,
        fall: FALL,
        end: FALL + Duration::from_secs(5),
    };
    let requests = requests(mix, &profile, capacity, seed);
    let mut table = Table::new(&format!("{mix}: swing to 1.5 times capacity"), &COLUMNS);
    for policy in POLICIES {
        let cfg = Run {
            policy,
            contracts: contracts(mix, capacity),
            window: (RISE + SWING, FALL),
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
    let bound = (cfg.window.1.since(cfg.window.0)).as_secs_f64() * crate::load::REPLICAS as f64;
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
        add(Who::Small, Some(at), format!("small {}", work.name));
        add(Who::Large, Some(at), format!("large {}", work.name));
    }
    add(Who::All, None, "all, whole run".to_owned());
}

fn cells(policy: Policy, name: String, sum: &Summary, bound: f64) -> [String; 9] {
    let percent = |part: usize| format!("{:.1}", 100.0 * part as f64 / sum.count.max(1) as f64);
    [
        policy.to_string(),
        name,
        sum.count.to_string(),
        percent(sum.in_time),
        percent(sum.refused),
        format!("{:.3}", percentile(&sum.first, 0.5)),
        format!("{:.3}", percentile(&sum.first, 0.99)),
        format!("{:.1}", 1e3 * percentile(&sum.refusal, 0.99)),
        format!("{:.3}", sum.work / bound),
    ]
}
