//! Announces a stand-in to one entry node after the other.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use base::Incarnation;
use net::RpcClient;
use wire::Call;
use wire::upstream::ANNOUNCE_EVERY;

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

/// A life that is larger than that of any earlier process here.
pub(crate) fn new_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation(since.map_or(1, |span| span.as_micros() as u64))
}
