//! Tells the other nodes what was heard from upstreams.
//!
//! Hosts are told to the nodes of the same data centre, services to all.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::clock;
use crate::events::Event;
use crate::events::emit;
use crate::inner::announce::hear_host;
use crate::inner::announce::hear_service;
use crate::node::Node;
use base::HostId;
use base::HostReport;
use base::NodeId;
use base::ServiceName;
use base::ServiceReport;
use net::Methods;
use wire::peer::Relay;
use wire::peer::Taken;

/// How often news is told.
const RELAY_EVERY: Duration = Duration::from_millis(250);

/// How long a node may take to hear it.
const RELAY_WITHIN: Duration = Duration::from_millis(1_000);

/// What was heard and not yet told.
#[derive(Debug, Default)]
pub struct Untold {
    /// Of hosts.
    pub hosts: BTreeMap<HostId, HostReport>,
    /// Of services.
    pub services: BTreeMap<(ServiceName, SocketAddr), ServiceReport>,
}

pub fn methods(methods: Methods<Node>) -> Methods<Node> {
    methods.on(|node: Rc<Node>, relay: Relay| async move {
        for report in &relay.hosts {
            hear_host(&node, report);
        }
        for report in &relay.services {
            hear_service(&node, report);
        }
        Ok(Taken {})
    })
}

/// Tells news and drops what was not renewed, for as long as the node runs.
pub async fn relay_on(node: Rc<Node>) {
    loop {
        compio::time::sleep(RELAY_EVERY).await;
        expire(&node);
        let untold = node.relay.take();
        if untold.hosts.is_empty() && untold.services.is_empty() {
            continue;
        }
        for (peer, settings) in &node.settings.peers {
            if *peer != node.id() {
                let near = settings.centre == node.settings.node.centre;
                tell(&node, *peer, &untold, near);
            }
        }
    }
}

fn tell(node: &Rc<Node>, peer: NodeId, untold: &Untold, near: bool) {
    let hosts = match near {
        true => untold.hosts.values().cloned().collect(),
        false => Vec::new(),
    };
    let relay = Relay {
        from: node.id(),
        hosts,
        services: untold.services.values().cloned().collect(),
    };
    if relay.hosts.is_empty() && relay.services.is_empty() {
        return;
    }
    let addr = node.settings.peers[&peer].internal;
    let node = Rc::clone(node);
    compio::runtime::spawn(async move {
        // What is lost here is told again with the next announcement.
        let _ = node.peers.call(addr, &relay, RELAY_WITHIN).await;
    })
    .detach();
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
