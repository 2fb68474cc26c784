//! The membership exchange between entry nodes over UDP: which nodes are alive, which
//! configuration each has in force, which hosts leave, and the use of each contract.

mod datagram_auth;
mod demand;

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use compio::net::UdpSocket;

use crate::gossip::datagram_auth::DatagramAuth;
use crate::inner::pull_from;
use crate::node::Node;
use base::HostId;
use base::Incarnation;
use base::NodeId;
use base::Version;
use members::Config;
use members::Item;
use members::ItemKind;
use members::ItemUpdate;
use members::MAX_DATAGRAM_BYTES;
use members::Members;
use members::Peer;
use members::PullSource;
use members::Puller;
use members::Scope;
use members::Timing;
use quorum::clock;
use settings::Settings;

pub use demand::EXCHANGE_INTERVAL;

/// Time between two ticks of the membership.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Bytes of the IP and UDP headers of a datagram.
const DATAGRAM_HEADER_BYTES: u64 = 28;

/// How long the announcement that a host leaves is kept.
const LEAVING_TTL: Duration = Duration::from_secs(10);

/// How long a stopping node announces that it leaves.
const LEAVE_ANNOUNCEMENT_TIME: Duration = Duration::from_millis(500);

/// This node's part in the membership exchange.
#[derive(Debug)]
pub struct Gossip {
    /// The members and the items they published.
    pub members: RefCell<Members>,
    puller: RefCell<Puller>,
    datagram_auth: DatagramAuth,
    /// Whether demand of another node arrived since the reports were last applied.
    demand_received: Cell<bool>,
}

impl Gossip {
    /// Starts with the nodes of the settings, none of which has been heard from.
    pub fn open(settings: &Settings, incarnation: Incarnation) -> Self {
        let peer = |id: &NodeId, peer: &settings::Peer| Peer {
            node: *id,
            centre: peer.centre,
            addr: peer.internal_addr,
        };
        let me = settings.node.id;
        let others = settings.peers.iter().filter(|(id, _)| **id != me);
        let seed = incarnation.0 ^ (u64::from(me.0) << 48);
        let cfg = Config {
            me: peer(&me, settings.own_peer()),
            incarnation,
            seed_peers: others.map(|(id, p)| peer(id, p)).collect(),
            rng_seed: seed,
            timing: Timing::default(),
        };
        Self {
            members: RefCell::new(Members::new(cfg, clock::now())),
            puller: RefCell::new(Puller::new(seed)),
            datagram_auth: DatagramAuth::open(settings.secrets.peers.expose()),
            demand_received: Cell::new(false),
        }
    }

    /// Announces to other nodes that a host is leaving.
    pub fn announce_host_leaving(&self, host: HostId) {
        let item = Item {
            kind: ItemKind::Leaving,
            key: u64::from(host.0),
            body: Vec::new(),
            scope: Scope::Everywhere,
            ttl: LEAVING_TTL,
        };
        self.members.borrow_mut().publish(item, clock::now());
    }

    fn receive(&self, from: NodeId, bytes: &[u8]) {
        self.members.borrow_mut().receive(from, bytes, clock::now());
    }

    /// Announces to other nodes which configuration is in force here.
    pub fn announce_version(&self, version: Version) {
        self.members.borrow_mut().set_version(version, clock::now());
    }
}

/// Starts the tasks of the exchange, which run for as long as the node does.
pub async fn start_gossip(node: Rc<Node>) -> io::Result<()> {
    let socket = UdpSocket::bind(node.settings.node.internal_addr).await?;
    compio::runtime::spawn(run_receiver(Rc::clone(&node), socket.clone())).detach();
    compio::runtime::spawn(run_ticks(Rc::clone(&node), socket)).detach();
    compio::runtime::spawn(demand::run_exchange(node)).detach();
    Ok(())
}

/// Announces to other nodes that this node leaves.
pub async fn announce_leave(node: &Node) {
    node.gossip.members.borrow_mut().leave(clock::now());
    compio::time::sleep(LEAVE_ANNOUNCEMENT_TIME).await;
}

async fn run_receiver(node: Rc<Node>, socket: UdpSocket) {
    loop {
        let buf = Vec::with_capacity(MAX_DATAGRAM_BYTES + datagram_auth::OVERHEAD_BYTES);
        let compio::BufResult(received, buf) = socket.recv_from(buf).await;
        let Ok((len, _)) = received else {
            continue;
        };
        node.meter
            .add_received_bytes(DATAGRAM_HEADER_BYTES + len as u64);
        if let Some((from, bytes)) = node.gossip.datagram_auth.verify(&buf[..len]) {
            node.gossip.receive(from, bytes);
            handle_news(&node);
            send_due(&node, &socket).await;
        }
    }
}

async fn run_ticks(node: Rc<Node>, socket: UdpSocket) {
    loop {
        let now = clock::now();
        node.gossip.members.borrow_mut().tick(now);
        send_due(&node, &socket).await;
        pull_if_due(&node);
        if node.gossip.demand_received.replace(false) {
            demand::apply_reports(&node);
        }
        compio::time::sleep(TICK_INTERVAL).await;
    }
}

/// Sends the datagrams that are due.
async fn send_due(node: &Node, socket: &UdpSocket) {
    let packets = node.gossip.members.borrow_mut().take_packets(clock::now());
    for packet in packets {
        let datagram = node.gossip.datagram_auth.sign(node.id(), &packet.bytes);
        node.meter
            .add_sent_bytes(DATAGRAM_HEADER_BYTES + datagram.len() as u64);
        // A datagram that cannot be sent counts as lost, which the protocol tolerates.
        let _ = socket.send_to(datagram, packet.addr).await;
    }
}

/// Handles items that are new since the last call.
fn handle_news(node: &Rc<Node>) {
    let news = node.gossip.members.borrow_mut().take_item_updates();
    for ItemUpdate { item, .. } in news {
        if item.kind == ItemKind::Demand {
            node.gossip.demand_received.set(true);
        }
        if item.kind == ItemKind::Leaving
            && let Ok(host) = u32::try_from(item.key)
        {
            node.dispatch.mark_host_leaving(HostId(host));
        }
    }
    pull_if_due(node);
}

/// Pulls a newer configuration if a pull is due.
fn pull_if_due(node: &Rc<Node>) {
    let now = clock::now();
    let voters: Vec<NodeId> = node.settings.voters().collect();
    let pull_state = node.gossip.members.borrow().pull_state(&voters, now);
    let source = node.gossip.puller.borrow_mut().tick(&pull_state, now);
    let Some(PullSource::LocalMember(other) | PullSource::Voter(other)) = source else {
        return;
    };
    let node = Rc::clone(node);
    compio::runtime::spawn(async move {
        pull_from(&node, other).await;
        node.gossip.puller.borrow_mut().finish_ask(clock::now());
    })
    .detach();
}
