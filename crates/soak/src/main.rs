//! `soak`, seeded faults on real processes: `soak --seed N`.

use std::process::ExitCode;
use std::time::Duration;

use gumdrop::Options;

use soak::Plan;
use soak::Size;
use soak::run;

/// Options of the soak.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "the first seed, any by default")]
    seed: Option<u64>,
    #[options(no_short, help = "how many seeds in a row", default = "1")]
    count: u64,
    #[options(no_short, help = "seconds in which faults begin", default = "30")]
    span: u64,
    #[options(no_short, help = "how many times the usual size", default = "1")]
    scale: u32,
    #[options(no_short, help = "only print the faults")]
    plan: bool,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let first = args.seed.unwrap_or_else(|| fastrand::u64(1..1_000_000));
    let mut broken = 0;
    for seed in first..first + args.count {
        let size = Size::times(args.scale);
        let plan = Plan::draw(seed, size, Duration::from_secs(args.span));
        if args.plan {
            plan.steps.iter().for_each(|step| println!("{step}"));
            continue;
        }
        if !is_kept(&plan, &args) {
            broken += 1;
        }
    }
    println!(
        "{broken} of {} seeds broke a promise or did not run",
        args.count
    );
    match broken {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

/// Plays one seed and says what came of it.
fn is_kept(plan: &Plan, args: &Args) -> bool {
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
        "seed {seed}: {} faults, {} orders, {} streams, v{} accepted, {} promises broken",
        plan.steps.len(),
        report.orders,
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
