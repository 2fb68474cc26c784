//! Simulated model engines and plain services, for tests and the demo.
//!
//! `standin engine` is one host of a model engine, and `standin service` is one process of
//! a plain service. Both announce themselves to entry nodes.

mod announce;
mod batch;
mod completion;
mod engine;
mod fault;
mod group;
mod head;
mod prompt;
mod response;
mod service;

use std::fs;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;

use gumdrop::Options;

/// Options of the stand-in program.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "one host of a model engine")]
    Engine(engine::EngineArgs),
    #[options(help = "one process of a plain service")]
    Service(service::ServiceArgs),
}

/// Any free port of the loopback address.
const ANY_LOOPBACK_PORT: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0));

/// The settings of both kinds of stand-in.
#[derive(Clone, Debug)]
struct Config {
    listen: SocketAddr,
    entries: Vec<SocketAddr>,
    secret: String,
}

impl Config {
    fn read(
        listen: Option<SocketAddr>,
        entries: &[SocketAddr],
        secret_file: &str,
    ) -> io::Result<Self> {
        Ok(Self {
            listen: listen.unwrap_or(ANY_LOOPBACK_PORT),
            entries: entries.to_vec(),
            secret: fs::read_to_string(secret_file)?.trim().to_owned(),
        })
    }
}

#[compio::main]
async fn main() {
    env_logger::init();
    let args = Args::parse_args_default_or_exit();
    let done = match args.command {
        Some(Command::Engine(args)) => engine::run(args).await,
        Some(Command::Service(args)) => service::run(args).await,
        None => Err(io::Error::other(
            "a command is required: engine or service; see --help",
        )),
    };
    if let Err(e) = done {
        eprintln!("standin: {e}");
        std::process::exit(1);
    }
}
