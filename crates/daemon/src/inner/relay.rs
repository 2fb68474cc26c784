//! Tells the other nodes what was heard from upstreams.
//!
//! Hosts are told to the nodes of the same data centre, services to all.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::events::Event;
use crate::events::emit;
use crate::inner::announce::hear_beat;
use crate::inner::announce::hear_host;
use crate::inner::announce::hear_service;
use crate::node::Node;
use base::HostId;
use base::HostReport;
use base::NodeId;
use base::ServiceName;
use base::ServiceReport;
use net::RpcMethods;
use quorum::clock;
use wire::peer::Relay;
use wire::peer::RelayReply;
use wire::upstream::HostHeartbeat;

/// How often changes are told.
const CHANGES_EVERY: Duration = Duration::from_millis(250);

/// Rounds of changes between two rounds of beats.
const BEATS_EVERY: u64 = 4;

/// Rounds of changes between two rounds of services that have not changed.
const SERVICES_EVERY: u64 = 8;

/// How long a node may take to hear it.
const RELAY_WITHIN: Duration = Duration::from_millis(1_000);

/// What was heard and not yet told.
#[derive(Debug, Default)]
pub struct Untold {
    /// Hosts that are new or have changed.
    pub hosts: BTreeMap<HostId, HostReport>,
    /// Hosts that have not.
    pub beats: BTreeMap<HostId, HostHeartbeat>,
    /// Services.
    pub services: BTreeMap<(ServiceName, SocketAddr), ServiceReport>,
}

pub fn methods(methods: RpcMethods<Node>) -> RpcMethods<Node> {
    methods.register(|node: Rc<Node>, relay: Relay| async move {
        for report in &relay.hosts {
            hear_host(&node, report);
        }
        for report in &relay.services {
            hear_service(&node, report);
        }
        let unknown = relay.beats.iter().filter(|beat| !hear_beat(&node, beat));
        let unknown = unknown.map(|beat| beat.host).collect();
        Ok(RelayReply { unknown })
    })
}

/// Tells news and drops what was not renewed, for as long as the node runs.
pub async fn relay_on(node: Rc<Node>) {
    for round in 0.. {
        compio::time::sleep(CHANGES_EVERY).await;
        expire(&node);
        let news = take(&node, round);
        for (peer, settings) in &node.settings.peers {
            if *peer != node.id() {
                let near = settings.centre == node.settings.node.centre;
                tell(&node, *peer, &news, near);
            }
        }
    }
}

/// What is to be told in this round.
fn take(node: &Node, round: u64) -> Untold {
    let mut untold = node.relay.borrow_mut();
    let beats = match round % BEATS_EVERY {
        0 => std::mem::take(&mut untold.beats),
        _ => BTreeMap::new(),
    };
    let is_due = round.is_multiple_of(SERVICES_EVERY);
    let services = untold
        .services
        .extract_if(.., |_, report| is_due || report.leaving);
    let services = services.collect();
    Untold {
        hosts: std::mem::take(&mut untold.hosts),
        beats,
        services,
    }
}

fn tell(node: &Rc<Node>, peer: NodeId, news: &Untold, near: bool) {
    let mut relay = Relay {
        from: node.id(),
        hosts: Vec::new(),
        beats: Vec::new(),
        services: news.services.values().cloned().collect(),
    };
    if near {
        relay.hosts = news.hosts.values().cloned().collect();
        relay.beats = news.beats.values().copied().collect();
    }
    if relay.hosts.is_empty() && relay.beats.is_empty() && relay.services.is_empty() {
        return;
    }
    let addr = node.settings.peers[&peer].internal_addr;
    let node = Rc::clone(node);
    compio::runtime::spawn(async move {
        // What is lost here is told again with the next announcement.
        if let Ok(relayed) = node.peers.call(addr, &relay, RELAY_WITHIN).await {
            tell_whole(&node, &relayed.unknown);
        }
    })
    .detach();
}

/// Tells the whole reports of hosts that a neighbour does not know.
fn tell_whole(node: &Node, unknown: &[HostId]) {
    let upstreams = node.upstreams.borrow();
    let mut untold = node.relay.borrow_mut();
    for host in unknown {
        if let Some(heard) = upstreams.host(*host) {
            untold.hosts.insert(*host, heard.report.clone());
        }
    }
}

fn expire(node: &Node) {
    let expired = node.upstreams.borrow_mut().expire(clock::now());
    for (host, silence) in expired.hosts {
        emit(&Event::HostLost { host, silence });
    }
    for (service, addr) in &expired.services {
        let addr = *addr;
        emit(&Event::ServiceLost { service, addr });
    }
}
