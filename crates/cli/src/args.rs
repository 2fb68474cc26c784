//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use gumdrop::Options;

use base::NodeId;
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
    #[options(help = "show who holds the durable state, or change it by one node")]
    Voters(VotersArgs),
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

/// Options of `voters`.
#[derive(Debug, Options)]
pub struct VotersArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "let a waiting node join")]
    pub add: Option<NodeId>,
    #[options(no_short, help = "let a member go on with its new, empty disk")]
    pub replace: Option<NodeId>,
    #[options(no_short, help = "let a member leave")]
    pub remove: Option<NodeId>,
}
