//! Compares the design with simpler alternatives: `bench <measure> [--seed N] [--json]`; or reads
//! the logs of a deployment: `bench --losses FILE`.

mod config;
mod control;
mod crest;
mod downtime;
mod hol;
mod load;
mod losses;
mod nodes;
mod order;
mod path;
mod report;

use std::path::PathBuf;

use gumdrop::Options;

use crate::report::Report;

/// Command line options of `bench`.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "seed of the load and the faults", default = "1")]
    seed: u64,
    #[options(help = "write JSON instead of text")]
    json: bool,
    #[options(help = "read a deployment's logs and show where requests are lost")]
    losses: Option<PathBuf>,
    #[options(
        free,
        help = "config, control, crest, downtime, hol, nodes, order, path or all"
    )]
    measures: Vec<String>,
}

/// The name of a measure and the function that runs it with a seed.
type Measure = (&'static str, fn(u64) -> Report);

/// All measures, in the order in which `all` runs them.
const MEASURES: [Measure; 8] = [
    ("path", path::run),
    ("config", config::run),
    ("downtime", downtime::run),
    ("crest", crest::run),
    ("hol", hol::run),
    ("order", order::run),
    ("control", control::run),
    ("nodes", nodes::run),
];

fn main() {
    let args = Args::parse_args_default_or_exit();
    let is_wanted = |name: &str| args.measures.iter().any(|m| m == name || m == "all");
    if let Some(unknown) = args.measures.iter().find(|name| !is_known(name)) {
        eprintln!("unknown measure \"{unknown}\"");
        std::process::exit(2);
    }
    if let Some(file) = &args.losses {
        match losses::read(file) {
            Ok(report) => print_report(&report, args.json),
            Err(e) => {
                eprintln!("cannot read {}: {e}", file.display());
                std::process::exit(1);
            }
        }
    }
    for (name, run) in MEASURES {
        if is_wanted(name) {
            print_report(&run(args.seed), args.json);
        }
    }
}

fn is_known(name: &str) -> bool {
    name == "all" || MEASURES.iter().any(|(known, _)| *known == name)
}

fn print_report(report: &Report, json: bool) {
    if json {
        println!("{}", serde_json::to_string(report).unwrap_or_default());
    } else {
        println!("{report}");
    }
}
