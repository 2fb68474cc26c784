//! `soak --seed N`: injects faults, generated from a seed, into real processes.

use std::process::ExitCode;
use std::time::Duration;

use gumdrop::Options;

use soak::ClusterSize;
use soak::Plan;
use soak::run;

/// Command line options of `soak`.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "the first seed, a random one by default")]
    seed: Option<u64>,
    #[options(no_short, help = "number of consecutive seeds", default = "1")]
    count: u64,
    #[options(
        no_short,
        help = "time in which faults begin, in seconds",
        default = "30"
    )]
    span: u64,
    #[options(
        no_short,
        help = "factor on the default number of entry nodes, hosts and callers",
        default = "1"
    )]
    scale: u32,
    #[options(no_short, help = "only print the planned faults")]
    plan: bool,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let first_seed = args.seed.unwrap_or_else(|| fastrand::u64(1..1_000_000));
    let mut failed = 0;
    for seed in first_seed..first_seed + args.count {
        let size = ClusterSize::scaled(args.scale);
        let plan = Plan::generate(seed, size, Duration::from_secs(args.span));
        if args.plan {
            plan.faults.iter().for_each(|fault| println!("{fault}"));
            continue;
        }
        if !run_seed(&plan, &args) {
            failed += 1;
        }
    }
    println!(
        "{failed} of {} seeds violated a guarantee or did not run",
        args.count
    );
    match failed {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

/// Runs one seed, prints its result, and returns whether all guarantees were kept.
fn run_seed(plan: &Plan, args: &Args) -> bool {
    let seed = plan.seed;
    let report = match run(plan) {
        Ok(report) => report,
        Err(e) => {
            println!("seed {seed}: not run: {e}");
            println!("  are all programs built? cargo build --release --workspace");
            return false;
        }
    };
    println!(
        "seed {seed}: {} faults, {} keyed calls, {} streams, v{} accepted, {} guarantees violated",
        plan.faults.len(),
        report.keyed_calls,
        report.chats,
        report.accepted,
        report.findings.len()
    );
    for finding in &report.findings {
        println!("  {finding}");
    }
    if let Some(folder) = &report.folder {
        println!("  logs: {}", folder.display());
        let (span, scale) = (args.span, args.scale);
        println!(
            "  again: cargo run --release -p soak -- --seed {seed} --span {span} --scale {scale}"
        );
    }
    report.findings.is_empty()
}
