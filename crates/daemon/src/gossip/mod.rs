//! The exchange between entry nodes over UDP: who is there, which configuration
//! is in force where, who leaves, and how much of each contract is used.

mod demand;
mod seal;

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use compio::net::UdpSocket;

use crate::gossip::seal::Seal;
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

pub use demand::EXCHANGE_EVERY;

/// How often the membership goes on in time.
const TICK: Duration = Duration::from_millis(50);

/// Bytes of the IP and UDP headers of a datagram.
const DATAGRAM_HEAD_BYTES: u64 = 28;

/// How long the news that an upstream leaves is kept.
const LEAVING_LIFE: Duration = Duration::from_secs(10);

/// How long a node that stops goes on telling that it leaves.
const FAREWELL: Duration = Duration::from_millis(500);

/// This node's end of the exchange.
#[derive(Debug)]
pub struct Gossip {
    /// Who is there.
    pub members: RefCell<Members>,
    puller: RefCell<Puller>,
    seal: Seal,
    /// Whether another node told its demand since it was last taken in.
    demand_told: Cell<bool>,
}

impl Gossip {
    /// Knows the nodes of the settings and has heard of none.
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
            seal: Seal::open(settings.secrets.peers.expose()),
            demand_told: Cell::new(false),
        }
    }

    /// Tells the others that a host is leaving.
    pub fn leaving(&self, host: HostId) {
        let item = Item {
            kind: ItemKind::Leaving,
            key: u64::from(host.0),
            body: Vec::new(),
            scope: Scope::Everywhere,
            ttl: LEAVING_LIFE,
        };
        self.members.borrow_mut().publish(item, clock::now());
    }

    fn receive(&self, from: NodeId, bytes: &[u8]) {
        self.members.borrow_mut().receive(from, bytes, clock::now());
    }

    /// Tells the others which configuration is in force here.
    pub fn in_force(&self, version: Version) {
        self.members.borrow_mut().set_version(version, clock::now());
    }
}

/// Takes part in the exchange, for as long as the node runs.
pub async fn gossip_on(node: Rc<Node>) -> io::Result<()> {
    let socket = UdpSocket::bind(node.settings.node.internal_addr).await?;
    compio::runtime::spawn(receive_on(Rc::clone(&node), socket.clone())).detach();
    compio::runtime::spawn(tick_on(Rc::clone(&node), socket)).detach();
    compio::runtime::spawn(demand::exchange_on(node)).detach();
    Ok(())
}

/// Tells the others that this node leaves.
pub async fn farewell(node: &Node) {
    node.gossip.members.borrow_mut().leave(clock::now());
    compio::time::sleep(FAREWELL).await;
}

async fn receive_on(node: Rc<Node>, socket: UdpSocket) {
    loop {
        let buf = Vec::with_capacity(MAX_DATAGRAM_BYTES + seal::BYTES);
        let compio::BufResult(received, buf) = socket.recv_from(buf).await;
        let Ok((len, _)) = received else {
            continue;
        };
        node.meter
            .add_received_bytes(DATAGRAM_HEAD_BYTES + len as u64);
        if let Some((from, bytes)) = node.gossip.seal.open_datagram(&buf[..len]) {
            node.gossip.receive(from, bytes);
            hear(&node);
            send(&node, &socket).await;
        }
    }
}

async fn tick_on(node: Rc<Node>, socket: UdpSocket) {
    loop {
        let now = clock::now();
        node.gossip.members.borrow_mut().tick(now);
        send(&node, &socket).await;
        pull(&node);
        if node.gossip.demand_told.replace(false) {
            demand::take(&node);
        }
        compio::time::sleep(TICK).await;
    }
}

/// Sends what is due.
async fn send(node: &Node, socket: &UdpSocket) {
    let packets = node.gossip.members.borrow_mut().take_packets(clock::now());
    for packet in packets {
        let datagram = node.gossip.seal.seal(node.id(), &packet.bytes);
        node.meter
            .add_sent_bytes(DATAGRAM_HEAD_BYTES + datagram.len() as u64);
        // A datagram that cannot be sent is as good as lost.
        let _ = socket.send_to(datagram, packet.addr).await;
    }
}

/// Acts on what is new.
fn hear(node: &Rc<Node>) {
    let news = node.gossip.members.borrow_mut().take_item_updates();
    for ItemUpdate { item, .. } in news {
        if item.kind == ItemKind::Demand {
            node.gossip.demand_told.set(true);
        }
        if item.kind == ItemKind::Leaving
            && let Ok(host) = u32::try_from(item.key)
        {
            node.dispatch.leaving(HostId(host));
        }
    }
    pull(node);
}

/// Asks for a newer configuration when it is time to.
fn pull(node: &Rc<Node>) {
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
