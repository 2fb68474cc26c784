//! The status of the system, for operators.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use crate::node::Node;
use crate::node::Phase;
use base::NodeId;
use members::Generation;
use net::RpcMethods;
use quorum::clock;
use wire::operator::ClassRow;
use wire::operator::NodeRow;
use wire::operator::ReplicaRow;
use wire::operator::ServiceRow;
use wire::operator::StatusReply;
use wire::operator::StrandedRow;
use wire::peer::ReplicaRows;
use wire::peer::ShowReplicas;

/// How long the controller of a data centre may take to list its replicas.
const REPLICAS_TIMEOUT: Duration = Duration::from_millis(800);

pub fn methods(methods: RpcMethods<Node>) -> RpcMethods<Node> {
    methods.register(|node: Rc<Node>, _: ShowReplicas| async move { Ok(own_rows(&node)) })
}

/// The status of the system as this node sees it.
pub async fn status(node: &Rc<Node>) -> StatusReply {
    let rows = all_rows(node).await;
    StatusReply {
        node: node.id(),
        phase: phase(node).to_owned(),
        version: node.version(),
        leader: leader(node),
        controller: node.control.controller(),
        nodes: nodes(node),
        replicas: rows.replicas,
        stranded: rows.stranded,
        services: services(node),
        classes: classes(node),
    }
}

/// The rows of all nodes, as this node sees them.
pub fn nodes(node: &Node) -> Vec<NodeRow> {
    let leader = leader(node);
    let members = node.gossip.members.borrow();
    let now = clock::now();
    let row = |id: &NodeId, peer: &settings::Peer| {
        let view = members.get(*id, now);
        let known = view.filter(|view| view.generation != Generation::default());
        NodeRow {
            node: *id,
            centre: peer.centre,
            standing: known.map_or("unheard".to_owned(), |view| view.standing.to_string()),
            version: known.map(|view| view.version),
            role: role(*id, peer, leader),
        }
    };
    node.settings
        .peers
        .iter()
        .map(|(id, peer)| row(id, peer))
        .collect()
}

fn role(id: NodeId, peer: &settings::Peer, leader: Option<NodeId>) -> String {
    match (peer.role, leader) {
        (_, Some(leader)) if leader == id => "leader".to_owned(),
        (settings::Role::Voter, _) => "voter".to_owned(),
        (settings::Role::Entry, _) => String::new(),
    }
}

fn leader(node: &Node) -> Option<NodeId> {
    match &node.local_voter {
        Some(local_voter) => local_voter.voter.borrow().leader(),
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

/// The replicas and stranded hosts of all data centres, as reported by their controllers.
async fn all_rows(node: &Rc<Node>) -> ReplicaRows {
    let requests = node.requests_by_replica();
    let fetches = node
        .dispatch
        .controllers()
        .into_values()
        .map(|other| fetch_rows(node, other));
    let mut all = ReplicaRows::default();
    for rows in futures_util::future::join_all(fetches).await {
        all.replicas.extend(rows.replicas);
        all.stranded.extend(rows.stranded);
    }
    for row in &mut all.replicas {
        row.requests = requests.get(&row.replica).copied().unwrap_or(0);
    }
    all
}

async fn fetch_rows(node: &Rc<Node>, controller: NodeId) -> ReplicaRows {
    if controller == node.id() {
        return own_rows(node);
    }
    let Some(peer) = node.settings.peers.get(&controller) else {
        return ReplicaRows::default();
    };
    let rows = node
        .peers
        .call(peer.internal_addr, &ShowReplicas {}, REPLICAS_TIMEOUT)
        .await;
    rows.unwrap_or_default()
}

/// The replicas and stranded hosts that this node controls. Empty if it is no controller.
fn own_rows(node: &Node) -> ReplicaRows {
    let controlled = node.control.status();
    if controlled.fence.is_none() {
        return ReplicaRows::default();
    }
    let replicas = controlled.replicas.iter().map(|r| ReplicaRow {
        replica: r.replica,
        model: r.model.clone(),
        state: r.phase.to_string(),
        hosts: r.hosts.clone(),
        requests: 0,
    });
    let stranded = controlled.stranded.iter().map(|s| StrandedRow {
        host: s.host,
        reason: s.reason.to_string(),
    });
    ReplicaRows {
        replicas: replicas.collect(),
        stranded: stranded.collect(),
    }
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
