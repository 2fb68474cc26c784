//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use gumdrop::Options;

use base::OrderKey;
use base::OrgName;
use base::Version;

/// Drives berylbay by its rules file.
///
/// Exit codes: 0 done; 1 no node answered or a file failed; 2 mistakes in the
/// file or the command; 3 another change was accepted first; 4 the outcome is
/// unknown, run the same command again.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "internal address of a node; may be repeated, others are tried in turn")]
    pub node: Vec<SocketAddr>,
    #[options(help = "file with the operators' secret")]
    pub secret_file: Option<PathBuf>,
    #[options(help = "write JSON instead of tables")]
    pub json: bool,
    #[options(no_short, help = "milliseconds to wait for a node", default = "5000")]
    pub timeout_ms: u64,
    #[options(command)]
    pub command: Option<Command>,
}

/// What to do.
#[derive(Debug, Options)]
pub enum Command {
    #[options(help = "check a rules file without any node")]
    Check(CheckArgs),
    #[options(help = "put a rules file in force")]
    Apply(ApplyArgs),
    #[options(help = "show the rules in force, their version, and which node has which")]
    Rules(RulesArgs),
    #[options(help = "show nodes, replicas, stranded hosts, services and classes")]
    Status(StatusArgs),
    #[options(help = "show what is known of an order")]
    Order(OrderArgs),
}

/// Options of `check`.
#[derive(Debug, Options)]
pub struct CheckArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "the rules file")]
    pub file: Option<PathBuf>,
}

/// Options of `apply`.
#[derive(Debug, Options)]
pub struct ApplyArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "the rules file")]
    pub file: Option<PathBuf>,
    #[options(
        help = "the version it was made from, such as v3; else the one noted beside the file"
    )]
    pub base: Option<Version>,
}

/// Options of `rules`.
#[derive(Debug, Options)]
pub struct RulesArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "write the rules in force to this file, to edit and apply")]
    pub write: Option<PathBuf>,
}

/// Options of `status`.
#[derive(Debug, Options)]
pub struct StatusArgs {
    #[options(help = "print this help")]
    help: bool,
}

/// Options of `order`.
#[derive(Debug, Options)]
pub struct OrderArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the organisation whose order it is")]
    pub org: Option<OrgName>,
    #[options(free, help = "the order's key")]
    pub key: Option<OrderKey>,
}
