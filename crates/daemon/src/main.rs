//! `berylbayd`, the daemon of a node: `berylbayd --settings FILE`.

mod control;
mod dispatch;
mod entry;
mod events;
mod fnv;
mod gossip;
mod inner;
mod metrics;
mod node;
mod problem;
mod problem_kind;
mod rests;
mod run;
mod upstreams;
mod voters;

use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;

use settings::Settings;

/// Exit code for missing or invalid settings.
const EXIT_SETTINGS: u8 = 2;

/// Exit code for a failure at startup, such as an address that is in use.
const EXIT_FAILED: u8 = 1;

/// Command-line options of the daemon.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "TOML file with the node's settings")]
    settings: Option<PathBuf>,
    #[options(no_short, help = "check the settings and exit")]
    check: bool,
    #[options(no_short, help = "print the catalogue of log events")]
    events: bool,
    #[options(no_short, help = "print the kinds of refusals and their HTTP status")]
    problems: bool,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    if args.events {
        print!("{}", events::catalogue());
        return ExitCode::SUCCESS;
    }
    if args.problems {
        print!("{}", problem_kind::catalogue());
        return ExitCode::SUCCESS;
    }
    let Some(file) = args.settings else {
        eprintln!("berylbayd: --settings is missing; see --help");
        return ExitCode::from(EXIT_SETTINGS);
    };
    let settings = match Settings::load(&file) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if args.check {
        println!("{}: no findings", file.display());
        return ExitCode::SUCCESS;
    }
    let env = env_logger::Env::new().filter_or("BERYLBAY_LOG", "info");
    env_logger::Builder::from_env(env).init();
    match run::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("berylbayd: {e}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}
