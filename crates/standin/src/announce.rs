//! Announces a stand-in to an entry node, and to the next one if that does not answer.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::Config;
use base::HostReport;
use base::Incarnation;
use net::LineStream;
use net::RpcClient;
use wire::Call;
use wire::upstream::ANNOUNCE_INTERVAL;
use wire::upstream::AnnounceHost;
use wire::upstream::HEARTBEAT_ACCEPTED;
use wire::upstream::HEARTBEATS_PATH;
use wire::upstream::HostHeartbeat;

/// How long an entry node may take to accept an announcement or a heartbeat.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(400);

/// Sends the call that `call` returns for each sequence number, for as long as the process runs.
///
/// Sends to the same entry node while it answers, and otherwise to the next one.
pub(crate) async fn announce<C: Call>(
    client: RpcClient,
    entries: Vec<SocketAddr>,
    call: impl Fn(u64) -> C,
) {
    let mut entry_index = 0;
    for sequence in 0.. {
        let call = call(sequence);
        for _ in 0..entries.len() {
            let addr = entries[entry_index % entries.len()];
            if client.call(addr, &call, ANNOUNCE_TIMEOUT).await.is_ok() {
                break;
            }
            entry_index += 1;
        }
        compio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

/// Announces a host. While nothing but its load changes, it sends heartbeats instead of whole
/// reports.
pub(crate) async fn announce_host(
    client: RpcClient,
    config: Config,
    report: impl Fn(u64) -> HostReport,
) {
    let mut entry_index = fastrand::usize(..);
    let mut link: Option<EntryLink> = None;
    for sequence in 0.. {
        let report = report(sequence);
        for _ in 0..config.entries.len() {
            let addr = config.entries[entry_index % config.entries.len()];
            link = match link.take() {
                Some(link) => link.send_update(&client, &report).await,
                None => EntryLink::open(&client, addr, &config.secret, &report).await,
            };
            if link.is_some() {
                break;
            }
            entry_index = entry_index.wrapping_add(1);
        }
        compio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

/// An entry node that has a host's whole report, and the stream of heartbeats to it.
struct EntryLink {
    addr: SocketAddr,
    report: HostReport,
    heartbeats: LineStream,
}

impl EntryLink {
    /// Sends the whole report to an entry node and opens the stream of heartbeats.
    async fn open(
        client: &RpcClient,
        addr: SocketAddr,
        secret: &str,
        report: &HostReport,
    ) -> Option<Self> {
        let call = AnnounceHost {
            report: report.clone(),
        };
        client.call(addr, &call, ANNOUNCE_TIMEOUT).await.ok()?;
        let heartbeats = LineStream::open(addr, HEARTBEATS_PATH, secret, ANNOUNCE_TIMEOUT).await;
        Some(Self {
            addr,
            report: report.clone(),
            heartbeats: heartbeats.ok()?,
        })
    }

    /// Sends a newer report to the same node, as a heartbeat if that is enough.
    async fn send_update(mut self, client: &RpcClient, report: &HostReport) -> Option<Self> {
        if !HostHeartbeat::covers_update(&self.report, report) {
            let call = AnnounceHost {
                report: report.clone(),
            };
            client.call(self.addr, &call, ANNOUNCE_TIMEOUT).await.ok()?;
            self.report = report.clone();
            return Some(self);
        }
        let heartbeat = serde_json::to_string(&HostHeartbeat::from_report(report)).ok()?;
        let answer = self
            .heartbeats
            .exchange_line(&heartbeat, ANNOUNCE_TIMEOUT)
            .await?;
        (answer == HEARTBEAT_ACCEPTED).then_some(self)
    }
}

/// A new incarnation: the microseconds since the Unix epoch, so that it is larger than that of
/// any earlier process on this machine, unless the clock was set back.
pub(crate) fn new_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation(since.map_or(1, |span| span.as_micros() as u64))
}
