//! Relays the reports of upstreams to other nodes.
//!
//! Reports of hosts go to the nodes of the same data centre, those of services to all.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::events::Event;
use crate::events::emit;
use crate::inner::announce::handle_heartbeat;
use crate::inner::announce::handle_host_report;
use crate::inner::announce::handle_service_report;
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

/// Time between two rounds of relaying. Changes are sent in each.
const CHANGES_INTERVAL: Duration = Duration::from_millis(250);

/// Heartbeats are relayed in every round that this divides.
const ROUNDS_PER_HEARTBEATS: u64 = 4;

/// Services are relayed in every round that this divides; those that leave, in each round.
const ROUNDS_PER_SERVICES: u64 = 8;

/// How long a node may take to answer a relayed message.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Reports that were received and not yet relayed.
#[derive(Debug, Default)]
pub struct PendingRelay {
    /// Full reports of hosts that are new or have changed.
    pub hosts: BTreeMap<HostId, HostReport>,
    /// Heartbeats of hosts of which only the heartbeat has changed.
    pub heartbeats: BTreeMap<HostId, HostHeartbeat>,
    /// Reports of services.
    pub services: BTreeMap<(ServiceName, SocketAddr), ServiceReport>,
}

pub fn methods(methods: RpcMethods<Node>) -> RpcMethods<Node> {
    methods.register(|node: Rc<Node>, relay: Relay| async move {
        for report in &relay.hosts {
            handle_host_report(&node, report);
        }
        for report in &relay.services {
            handle_service_report(&node, report);
        }
        let unknown = relay
            .beats
            .iter()
            .filter(|heartbeat| !handle_heartbeat(&node, heartbeat));
        let unknown = unknown.map(|heartbeat| heartbeat.host).collect();
        Ok(RelayReply { unknown })
    })
}

/// Relays pending reports and removes expired ones, for as long as the node runs.
pub async fn run_relay(node: Rc<Node>) {
    for round in 0.. {
        compio::time::sleep(CHANGES_INTERVAL).await;
        expire(&node);
        let pending = take_due(&node, round);
        for (peer, settings) in &node.settings.peers {
            if *peer != node.id() {
                let in_same_centre = settings.centre == node.settings.node.centre;
                send_reports(&node, *peer, &pending, in_same_centre);
            }
        }
    }
}

/// Takes the reports that are due in this round.
fn take_due(node: &Node, round: u64) -> PendingRelay {
    let mut pending = node.pending_relay.borrow_mut();
    let heartbeats = match round % ROUNDS_PER_HEARTBEATS {
        0 => std::mem::take(&mut pending.heartbeats),
        _ => BTreeMap::new(),
    };
    let is_due = round.is_multiple_of(ROUNDS_PER_SERVICES);
    let services = pending
        .services
        .extract_if(.., |_, report| is_due || report.leaving);
    let services = services.collect();
    PendingRelay {
        hosts: std::mem::take(&mut pending.hosts),
        heartbeats,
        services,
    }
}

fn send_reports(node: &Rc<Node>, peer: NodeId, pending: &PendingRelay, in_same_centre: bool) {
    let mut relay = Relay {
        from: node.id(),
        hosts: Vec::new(),
        beats: Vec::new(),
        services: pending.services.values().cloned().collect(),
    };
    if in_same_centre {
        relay.hosts = pending.hosts.values().cloned().collect();
        relay.beats = pending.heartbeats.values().copied().collect();
    }
    if relay.hosts.is_empty() && relay.beats.is_empty() && relay.services.is_empty() {
        return;
    }
    let addr = node.settings.peers[&peer].internal_addr;
    let node = Rc::clone(node);
    compio::runtime::spawn(async move {
        // A lost message is made up for by the next announcement.
        if let Ok(relayed) = node.peers.call(addr, &relay, RELAY_TIMEOUT).await {
            queue_full_reports(&node, &relayed.unknown);
        }
    })
    .detach();
}

/// Queues the full reports of hosts that another node does not know.
fn queue_full_reports(node: &Node, unknown: &[HostId]) {
    let upstreams = node.upstreams.borrow();
    let mut pending = node.pending_relay.borrow_mut();
    for host in unknown {
        if let Some(received) = upstreams.host(*host) {
            pending.hosts.insert(*host, received.report.clone());
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
