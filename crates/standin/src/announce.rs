//! Announces a stand-in to one entry node after the other.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use base::HostReport;
use base::Incarnation;
use net::RpcClient;
use wire::Call;
use wire::upstream::ANNOUNCE_EVERY;
use wire::upstream::AnnounceHost;
use wire::upstream::BeatHost;
use wire::upstream::Heard;
use wire::upstream::HostBeat;

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
        compio::time::sleep(ANNOUNCE_EVERY).await;
    }
}

/// Announces a host. While nothing but its load changes, a beat stands for its report.
pub(crate) async fn announce_host(
    client: RpcClient,
    entries: Vec<SocketAddr>,
    report: impl Fn(u64) -> HostReport,
) {
    let mut at = fastrand::usize(..);
    let mut told: Option<HostReport> = None;
    for sequence in 0.. {
        let report = report(sequence);
        for _ in 0..entries.len() {
            let addr = entries[at % entries.len()];
            let known = told
                .as_ref()
                .is_some_and(|told| HostBeat::suffices(told, &report));
            match tell(&client, addr, &report, known).await {
                Some(heard) => {
                    told = heard.known.then(|| report.clone());
                    break;
                }
                None => {
                    told = None;
                    at = at.wrapping_add(1);
                }
            }
        }
        compio::time::sleep(ANNOUNCE_EVERY).await;
    }
}

async fn tell(
    client: &RpcClient,
    addr: SocketAddr,
    report: &HostReport,
    known: bool,
) -> Option<Heard> {
    if known {
        let beat = HostBeat::of(report);
        return client
            .call(addr, &BeatHost { beat }, HEARD_WITHIN)
            .await
            .ok();
    }
    let report = report.clone();
    client
        .call(addr, &AnnounceHost { report }, HEARD_WITHIN)
        .await
        .ok()
}

/// A life that is larger than that of any earlier process here.
pub(crate) fn new_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation(since.map_or(1, |span| span.as_micros() as u64))
}
