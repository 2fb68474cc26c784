//! Announces a stand-in to one entry node after the other.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::Place;
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

/// How long an entry node may take to hear an announcement.
const HEARD_WITHIN: Duration = Duration::from_millis(400);

/// Announces what `call` gives, until `last` says that it was the last one.
///
/// Keeps to one entry node while it answers and goes on to the next when not.
pub(crate) async fn announce<C: Call>(
    client: RpcClient,
    entries: Vec<SocketAddr>,
    call: impl Fn(u64) -> C,
) {
    let mut at = 0;
    for sequence in 0.. {
        let call = call(sequence);
        for _ in 0..entries.len() {
            let addr = entries[at % entries.len()];
            if client.call(addr, &call, HEARD_WITHIN).await.is_ok() {
                break;
            }
            at += 1;
        }
        compio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

/// Announces a host. While nothing but its load changes, a beat stands for its report.
pub(crate) async fn announce_host(
    client: RpcClient,
    place: Place,
    report: impl Fn(u64) -> HostReport,
) {
    let mut at = fastrand::usize(..);
    let mut told: Option<Told> = None;
    for sequence in 0.. {
        let report = report(sequence);
        for _ in 0..place.entries.len() {
            let addr = place.entries[at % place.entries.len()];
            told = match told.take() {
                Some(before) => before.tell(&client, &report).await,
                None => Told::whole(&client, addr, &place.secret, &report).await,
            };
            if told.is_some() {
                break;
            }
            at = at.wrapping_add(1);
        }
        compio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

/// An entry node that knows a host's whole report, and the way that beats go to it.
struct Told {
    addr: SocketAddr,
    report: HostReport,
    beats: LineStream,
}

impl Told {
    /// Tells an entry node the whole report.
    async fn whole(
        client: &RpcClient,
        addr: SocketAddr,
        secret: &str,
        report: &HostReport,
    ) -> Option<Self> {
        let call = AnnounceHost {
            report: report.clone(),
        };
        client.call(addr, &call, HEARD_WITHIN).await.ok()?;
        let beats = LineStream::open(addr, HEARTBEATS_PATH, secret, HEARD_WITHIN).await;
        Some(Self {
            addr,
            report: report.clone(),
            beats: beats.ok()?,
        })
    }

    /// Tells the same node a newer report, by a beat if that is enough.
    async fn tell(mut self, client: &RpcClient, report: &HostReport) -> Option<Self> {
        if !HostHeartbeat::covers_update(&self.report, report) {
            let call = AnnounceHost {
                report: report.clone(),
            };
            client.call(self.addr, &call, HEARD_WITHIN).await.ok()?;
            self.report = report.clone();
            return Some(self);
        }
        let beat = serde_json::to_string(&HostHeartbeat::from_report(report)).ok()?;
        let answer = self.beats.exchange_line(&beat, HEARD_WITHIN).await?;
        (answer == HEARTBEAT_ACCEPTED).then_some(self)
    }
}

/// A life that is larger than that of any earlier process here.
pub(crate) fn new_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation(since.map_or(1, |span| span.as_micros() as u64))
}
