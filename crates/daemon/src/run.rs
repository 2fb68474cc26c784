//! Starts the node, serves until a stop signal, and shuts down gracefully.

use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use futures_util::FutureExt;
use futures_util::future::Either;
use futures_util::future::select;
use futures_util::select_biased;

use crate::control;
use crate::dispatch;
use crate::entry;
use crate::events::Event;
use crate::events::emit;
use crate::gossip;
use crate::inner;
use crate::node::Node;
use crate::node::Phase;
use crate::voters;
use settings::Settings;

const SIGINT: i32 = 2;
const SIGTERM: i32 = 15;

/// How long before the end of the drain every answer is given that is still due, so that it leaves
/// this host on a slow link.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(400);

/// An error that ends the process.
#[derive(Debug, Display, Error, From)]
pub enum RunError {
    /// An I/O error of a listener, a file or the async runtime.
    #[display("{_0}")]
    Io(io::Error),
    /// The HTTP client could not be created.
    #[display("{_0}")]
    Client(cyper::Error),
    /// The state could not be written, and what the disk holds is not known.
    #[display("the disk failed, the process must start again")]
    #[from(skip)]
    DiskFailed,
}

/// Runs a node until SIGINT or SIGTERM.
pub fn run(settings: Settings) -> Result<(), RunError> {
    compio::runtime::Runtime::new()?.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<(), RunError> {
    let (local_voter, write_queue) = voters::open(&settings)?.unzip();
    let node = Node::open(settings, local_voter)?;
    inner::restore_config(&node);
    compio::runtime::spawn(inner::run_config_store(Rc::clone(&node))).detach();
    let inner = log_listen_failure(inner::bind(&node).await, node.settings.node.internal_addr)?;
    let entry = log_listen_failure(entry::bind(&node).await, node.settings.node.caller_addr)?;
    let memory = node.memory.clone();
    compio::runtime::spawn(
        memory.report_shortages(|figures| emit(&Event::MemoryShort { figures })),
    )
    .detach();
    gossip::start_gossip(Rc::clone(&node)).await?;
    compio::runtime::spawn(voters::announce_incarnation(Rc::clone(&node))).detach();
    compio::runtime::spawn(inner::run_relay(Rc::clone(&node))).detach();
    compio::runtime::spawn(inner::run_pull(Rc::clone(&node))).detach();
    if let Some(write_queue) = write_queue {
        compio::runtime::spawn(voters::run_voter(Rc::clone(&node), write_queue)).detach();
    }
    compio::runtime::spawn(control::run_controller(Rc::clone(&node))).detach();
    compio::runtime::spawn(control::poll_routes(Rc::clone(&node))).detach();
    compio::runtime::spawn(entry::run_service_calls(Rc::clone(&node))).detach();
    compio::runtime::spawn(dispatch::run_dispatcher(Rc::clone(&node))).detach();
    emit(&Event::Started {
        node: node.id(),
        centre: node.settings.node.centre,
        callers: entry.addr(),
        internal: inner.addr(),
    });
    let is_disk_sound = {
        let signal = pin!(wait_for_stop_signal());
        let disk_failed = pin!(node.disk_failed.given());
        matches!(select(signal, disk_failed).await, Either::Left(_))
    };
    stop(&node).await;
    entry.stop_accepting();
    inner.stop_accepting();
    match is_disk_sound {
        true => Ok(()),
        false => Err(RunError::DiskFailed),
    }
}

/// Logs a listener that could not be bound, and returns it unchanged.
fn log_listen_failure(
    bound: io::Result<net::Server>,
    addr: std::net::SocketAddr,
) -> io::Result<net::Server> {
    if let Err(e) = &bound {
        let error = e.to_string();
        emit(&Event::ListenFailed { addr, error });
    }
    bound
}

async fn wait_for_stop_signal() {
    let mut term = Box::pin(compio::signal::unix::signal(SIGTERM)).fuse();
    let mut int = Box::pin(compio::signal::unix::signal(SIGINT)).fuse();
    select_biased! {
        _ = term => {}
        _ = int => {}
    }
}

/// Shuts the node down gracefully.
///
/// First `/ready` fails while requests are still accepted. Then new requests are refused
/// and those in progress may finish.
async fn stop(node: &Rc<Node>) {
    let limits = &node.settings.limits;
    let in_flight = node.in_flight();
    emit(&Event::Stopping { in_flight });
    node.phase.set(Phase::Leaving);
    compio::time::sleep(limits.stop_notice).await;
    node.phase.set(Phase::Draining);
    control::release_lease(node).await;
    voters::hand_over_leadership(node);
    gossip::announce_leave(node).await;
    let drain_timeout = limits.drain_timeout;
    node.wait_until_drained(drain_timeout.saturating_sub(LAST_ANSWERS_TIME))
        .await;
    node.last_call.give();
    node.wait_until_drained(drain_timeout.min(LAST_ANSWERS_TIME))
        .await;
    // The connections may still hold the last frames: allow time to send them.
    compio::time::sleep(Duration::from_millis(100)).await;
    let aborted = node.in_flight();
    emit(&Event::Stopped { aborted });
}
