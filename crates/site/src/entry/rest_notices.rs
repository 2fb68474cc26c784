//! Tells other entry hosts of rests at once, without the leader.
//!
//! A rest concerns the machine that its upstream sees. Another entry host may send from there: the
//! one that a connection leads through, or one that leads connections through this host. Whoever
//! reads the answer tells it, over the way that both have. The leader's list is for all others.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::entry::EntryHost;
use crate::entry::statements;
use crate::events::Event;
use crate::events::emit;
use crate::settings::node_at;
use base::NodeId;
use fleet::AskedRest;
use forward::ConnectPath;
use forward::RequestedRest;
use forward::Target;
use net::TunnelError;
use net::send_notice;

/// How long an entry host may take to answer a notice.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(150);

/// How often a notice is sent to an entry host that doesn't answer. The leader's list follows.
const NOTICE_ATTEMPTS: usize = 3;

/// Tells those who send from the machines that an upstream asked for rest: the one that the
/// connection of the answer leads through, or those that lead theirs through this host.
pub(crate) fn tell(entry: &Rc<EntryHost>, target: &Target, path: ConnectPath, rest: RequestedRest) {
    let (asked, told) = match path {
        ConnectPath::Through(peer) => (peer, BTreeSet::from([peer])),
        ConnectPath::Direct => (entry.settings.node_id(), users_of(entry, target.addr)),
    };
    let rest = AskedRest {
        process: target.id.clone(),
        incarnation: target.incarnation,
        entry: asked,
        left_ms: rest.length().as_millis() as u64,
    };
    told.into_iter()
        .for_each(|peer| tell_peer(entry, peer, &rest));
}

/// Takes what another entry host tells. Returns whether it may tell that.
pub(crate) fn take(entry: &Rc<EntryHost>, from: NodeId, text: &str) -> bool {
    let own_id = entry.settings.node_id();
    let rest: AskedRest = match serde_json::from_str(text) {
        Ok(rest) => rest,
        Err(e) => {
            log::warn!("a notice of {from} cannot be read: {e}");
            return false;
        }
    };
    if rest.entry != own_id && rest.entry != from {
        return false;
    }
    let is_news = statements::record_told_rest(entry, &rest);
    let (target, entry_host) = (&rest.process, rest.entry);
    if is_news {
        emit(&Event::RestTold {
            target,
            asked: entry_host,
            from,
            ms: u128::from(rest.left_ms),
        });
    }
    let addr = entry.targets.borrow().get(target).map(|known| known.addr);
    if let Some(addr) = addr.filter(|_| is_news && entry_host == own_id) {
        let told = users_of(entry, addr);
        let others = told.into_iter().filter(|peer| *peer != from);
        others.for_each(|peer| tell_peer(entry, peer, &rest));
    }
    true
}

/// The entry hosts that lead connections to this address through this host.
fn users_of(entry: &EntryHost, addr: SocketAddr) -> BTreeSet<NodeId> {
    let users = entry.led_tunnels.borrow().users_of(addr);
    let nodes = users.into_iter().filter_map(|user| match user {
        IpAddr::V4(ip) => Some(node_at(ip)),
        IpAddr::V6(_) => None,
    });
    nodes.collect()
}

fn tell_peer(entry: &Rc<EntryHost>, peer: NodeId, rest: &AskedRest) {
    let text = match serde_json::to_string(rest) {
        Ok(text) => text,
        Err(e) => {
            log::warn!("a rest cannot be told to {peer}: {e}");
            return;
        }
    };
    let source = entry.settings.ip.into();
    let addr = entry.settings.internal_addr(peer);
    compio::runtime::spawn(async move {
        for _ in 0..NOTICE_ATTEMPTS {
            match send_notice(source, addr, &text, NOTICE_TIMEOUT).await {
                Ok(()) => return,
                // A host of an earlier release takes none.
                Err(e @ TunnelError::PeerRefuses) => {
                    log::debug!("{peer} takes no notice: {e}");
                    return;
                }
                Err(e) => log::debug!("{peer} was not told of a rest: {e}"),
            }
        }
    })
    .detach();
}
