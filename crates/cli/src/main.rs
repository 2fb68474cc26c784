//! `berylbay`, the operators' tool.

mod apply;
mod args;
mod exit;
mod node_client;
mod output;
mod run;
mod saved_state;
mod table;

use std::process::ExitCode;

use gumdrop::Options;

use crate::args::Args;

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("berylbay: {e}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run::run(args)) {
        Ok(exit) => exit.into(),
        Err(e) => {
            eprintln!("berylbay: {e}");
            e.exit().into()
        }
    }
}
