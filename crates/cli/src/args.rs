//! Command-line options.

use std::net::SocketAddr;
use std::path::PathBuf;

use gumdrop::Options;

use base::NodeId;
use base::OrderKey;
use base::OrgName;
use base::RequestPart;
use base::Version;

/// Configures and inspects berylbay.
///
/// Exit codes: 0 done; 1 no node answered or a file could not be read or written;
/// 2 errors in the rules file or the command line; 3 another change was accepted
/// first; 4 the outcome is unknown, run the same command again.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "internal address of a node; if repeated, the nodes are tried in turn")]
    pub node: Vec<SocketAddr>,
    #[options(help = "file with the operators' secret")]
    pub secret_file: Option<PathBuf>,
    #[options(help = "write JSON instead of tables")]
    pub json: bool,
    #[options(
        no_short,
        help = "milliseconds to wait for each node",
        default = "5000"
    )]
    pub timeout_ms: u64,
    #[options(command)]
    pub command: Option<Command>,
}

/// The command to run.
#[derive(Debug, Options)]
pub enum Command {
    #[options(help = "check a rules file without calling a node")]
    Check(CheckArgs),
    #[options(help = "put a rules file in force")]
    Apply(ApplyArgs),
    #[options(help = "show the rules in force, and which version each node has")]
    Rules(RulesArgs),
    #[options(help = "show nodes, replicas, stranded hosts, services and classes")]
    Status(StatusArgs),
    #[options(help = "show the record of an order, a call under an idempotency key")]
    Order(OrderArgs),
    #[options(help = "show the requests that a deployment bans, or lift a ban")]
    Bans(BansArgs),
    #[options(help = "show the voters that hold the durable state, or change one member")]
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
        help = "the version the file was made from, such as v3; else the one saved beside it"
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
    #[options(help = "the organisation that made the order")]
    pub org: Option<OrgName>,
    #[options(free, help = "the order's idempotency key")]
    pub key: Option<OrderKey>,
}

/// Options of `bans`.
#[derive(Debug, Options)]
pub struct BansArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        help = "lift the ban of this part; if the ban has several, repeat it for each"
    )]
    pub lift: Vec<RequestPart>,
}

/// Options of `voters`.
#[derive(Debug, Options)]
pub struct VotersArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "add a node that waits to become a member")]
    pub add: Option<NodeId>,
    #[options(no_short, help = "accept the new, empty disk of a member")]
    pub replace: Option<NodeId>,
    #[options(no_short, help = "remove a member")]
    pub remove: Option<NodeId>,
}
