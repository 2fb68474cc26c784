//! How things are, for operators.

use std::collections::BTreeMap;

use crate::clock;
use crate::node::Node;
use crate::node::Phase;
use base::NodeId;
use base::Version;
use wire::operator::ClassRow;
use wire::operator::NodeRow;
use wire::operator::ReplicaRow;
use wire::operator::ServiceRow;
use wire::operator::StatusReply;
use wire::operator::StrandedRow;

/// How things are, as this node sees it.
pub fn status(node: &Node) -> StatusReply {
    let controlled = node.control.status();
    let stranded = controlled.stranded.iter().map(|s| StrandedRow {
        host: s.host,
        reason: s.reason.to_string(),
    });
    StatusReply {
        node: node.id(),
        phase: phase(node).to_owned(),
        version: node.version(),
        leader: leader(node),
        controller: node.control.controller(),
        nodes: nodes(node),
        replicas: replicas(node, &controlled),
        stranded: stranded.collect(),
        services: services(node),
        classes: classes(node),
    }
}

/// All nodes, as this one sees them.
pub fn nodes(node: &Node) -> Vec<NodeRow> {
    let leader = leader(node);
    let heard = node.versions.borrow();
    let row = |id: &NodeId, peer: &settings::Peer| {
        let version = match *id == node.id() {
            true => Some(node.version()),
            false => heard.get(id).map(|heard| heard.version),
        };
        NodeRow {
            node: *id,
            centre: peer.centre,
            standing: standing(node, *id, version),
            version,
            role: role(*id, peer, leader),
        }
    };
    node.settings
        .peers
        .iter()
        .map(|(id, peer)| row(id, peer))
        .collect()
}

fn standing(node: &Node, id: NodeId, version: Option<Version>) -> String {
    const SILENT_AFTER: std::time::Duration = std::time::Duration::from_secs(6);
    if id == node.id() {
        return "alive".to_owned();
    }
    let heard = node.versions.borrow();
    let at = heard.get(&id).map(|heard| heard.at);
    match (version, at) {
        (Some(_), Some(at)) if clock::now().since(at) < SILENT_AFTER => "alive".to_owned(),
        (Some(_), _) => "silent".to_owned(),
        (None, _) => "unheard".to_owned(),
    }
}

fn role(id: NodeId, peer: &settings::Peer, leader: Option<NodeId>) -> String {
    match (peer.role, leader) {
        (_, Some(leader)) if leader == id => "leader".to_owned(),
        (settings::Role::Voter, _) => "voter".to_owned(),
        (settings::Role::Entry, _) => String::new(),
    }
}

fn leader(node: &Node) -> Option<NodeId> {
    match &node.voters {
        Some(voters) => voters.voter.borrow().leader(),
        None => node.leader_hint.get(),
    }
}

fn phase(node: &Node) -> &'static str {
    match node.phase.get() {
        Phase::Starting => "starting",
        Phase::Serving => "serving",
        Phase::Leaving | Phase::Draining => "stopping",
    }
}

/// The controller's view, or on other nodes the routes that it granted.
fn replicas(node: &Node, controlled: &plan::Status) -> Vec<ReplicaRow> {
    let requests = node.requests_by_replica();
    let count = |replica| requests.get(&replica).copied().unwrap_or(0);
    if controlled.fence.is_some() {
        let rows = controlled.replicas.iter().map(|r| ReplicaRow {
            replica: r.replica,
            model: r.model.clone(),
            state: r.phase.to_string(),
            hosts: r.hosts.clone(),
            requests: count(r.replica),
        });
        return rows.collect();
    }
    let routes = node.dispatch.routes.borrow();
    let rules = node.rules();
    let now = clock::now();
    let routed = rules
        .models
        .keys()
        .flat_map(|model| routes.routes(model, now));
    let rows = routed.map(|r| ReplicaRow {
        replica: r.replica,
        model: r.model.clone(),
        state: "routed".to_owned(),
        hosts: r.hosts.clone(),
        requests: count(r.replica),
    });
    rows.collect()
}

fn services(node: &Node) -> Vec<ServiceRow> {
    let upstreams = node.upstreams.borrow();
    let rows = upstreams.services().map(|s| ServiceRow {
        service: s.service.clone(),
        centre: s.centre,
        addr: s.addr,
        leaving: s.leaving,
    });
    rows.collect()
}

fn classes(node: &Node) -> Vec<ClassRow> {
    let counts = node.classes.borrow();
    let counts: BTreeMap<_, _> = counts.iter().collect();
    let rows = counts.into_iter().map(|(class, count)| ClassRow {
        org: class.org.clone(),
        class: class.class.clone(),
        answered: count.answered,
        refused: count.refused,
        running: count.running,
    });
    rows.collect()
}
