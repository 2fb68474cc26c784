//! One node: what all tasks of the process share.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use crate::control::Control;
use crate::dispatch::Dispatch;
use crate::entry::Orders;
use crate::gossip;
use crate::gossip::Gossip;
use crate::inner::Keeper;
use crate::inner::Untold;
use crate::metrics::Class;
use crate::metrics::Metrics;
use crate::upstreams::Upstreams;
use base::Incarnation;
use base::NodeId;
use base::ReplicaId;
use base::RequestId;
use base::Version;
use net::RpcClient;
use net::TrafficMeter;
use quorum::LocalVoter;
use quorum::clock;
use rules::Rules;
use settings::Settings;

/// What a node is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No configuration is known yet.
    Starting,
    /// Takes requests.
    Serving,
    /// Says that it isn't ready, but still takes requests.
    Leaving,
    /// Takes no more requests and finishes those in flight.
    Draining,
}

/// The configuration in force.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    /// Its version.
    pub version: Version,
    /// The operators' text.
    pub text: Rc<str>,
    /// The rules it holds.
    pub rules: Rc<Rules>,
}

/// Requests of one class.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClassCount {
    /// Answered.
    pub answered: u64,
    /// Refused.
    pub refused: u64,
    /// In progress.
    pub running: u32,
}

/// What all tasks of the process share.
#[derive(Debug)]
pub struct Node {
    /// Its settings.
    pub settings: Settings,
    /// This life of the process.
    pub incarnation: Incarnation,
    /// What it is doing.
    pub phase: Cell<Phase>,
    /// The configuration in force.
    pub config: RefCell<InForce>,
    /// Keeps configurations before they are in force.
    pub keeper: Keeper,
    /// What it heard from upstreams.
    pub upstreams: RefCell<Upstreams>,
    /// What it heard and has not yet told other nodes.
    pub relay: RefCell<Untold>,
    /// What it knows for placing requests.
    pub dispatch: Dispatch,
    /// Its part in ordering the hosts of its data centre.
    pub control: Control,
    /// Calls of services that are open.
    pub orders: Orders,
    /// An index of the voters' log that is known to be applied.
    pub applied: Cell<u64>,
    /// Its part among the voters, if it is one.
    pub voters: Option<LocalVoter>,
    /// The voter that led when it was last asked.
    pub leader_hint: Cell<Option<NodeId>>,
    /// Its end of the exchange with other nodes.
    pub gossip: Gossip,
    /// Requests by class, for operators.
    pub classes: RefCell<BTreeMap<Class, ClassCount>>,
    placed: RefCell<BTreeMap<ReplicaId, u32>>,
    /// What it counts.
    pub metrics: Metrics,
    /// Counts the bytes of control.
    pub meter: TrafficMeter,
    /// Calls other nodes.
    pub peers: RpcClient,
    /// Calls engines.
    pub engines: RpcClient,
    in_flight: Cell<usize>,
    last_request: Cell<u64>,
}

/// A request of a class. Dropped without an answer it counts as refused.
#[derive(Debug)]
pub struct ClassTurn {
    node: Rc<Node>,
    /// The class.
    pub class: Class,
    answered: bool,
}

impl ClassTurn {
    /// Counts the request as answered.
    pub fn answered(&mut self) {
        self.answered = true;
    }
}

impl Drop for ClassTurn {
    fn drop(&mut self) {
        let mut classes = self.node.classes.borrow_mut();
        let count = classes.entry(self.class.clone()).or_default();
        count.running = count.running.saturating_sub(1);
        match self.answered {
            true => count.answered += 1,
            false => count.refused += 1,
        }
    }
}

/// A request in progress, counted until it is dropped.
#[derive(Debug)]
pub struct InFlight(Rc<Node>);

impl Node {
    /// A node that does not listen yet.
    pub fn open(settings: Settings, voters: Option<LocalVoter>) -> Result<Rc<Self>, cyper::Error> {
        let meter = TrafficMeter::default();
        let secrets = &settings.secrets;
        let peers = RpcClient::new(secrets.peers.expose())?.with_meter(meter.clone());
        let engines = RpcClient::new(secrets.upstreams.expose())?.with_meter(meter.clone());
        let incarnation = clock::new_incarnation();
        let control = Control::open(&settings, incarnation);
        let gossip = Gossip::open(&settings, incarnation);
        let orders = Orders::open(settings.node.id, incarnation);
        let dispatch = Dispatch::open(admission(&settings, incarnation));
        Ok(Rc::new(Self {
            settings,
            incarnation,
            phase: Cell::new(Phase::Starting),
            config: RefCell::default(),
            keeper: Keeper::default(),
            upstreams: RefCell::default(),
            relay: RefCell::default(),
            dispatch,
            control,
            orders,
            applied: Cell::new(0),
            voters,
            leader_hint: Cell::new(None),
            gossip,
            classes: RefCell::default(),
            placed: RefCell::default(),
            metrics: Metrics::default(),
            meter,
            peers,
            engines,
            in_flight: Cell::new(0),
            last_request: Cell::new(0),
        }))
    }

    /// This node's id.
    pub fn id(&self) -> NodeId {
        self.settings.node.id
    }

    /// The rules in force.
    pub fn rules(&self) -> Rc<Rules> {
        Rc::clone(&self.config.borrow().rules)
    }

    /// The version of the configuration in force.
    pub fn version(&self) -> Version {
        self.config.borrow().version
    }

    /// A request id that this life of the node has not given before.
    pub fn next_request(&self) -> RequestId {
        let next = self.last_request.get() + 1;
        self.last_request.set(next);
        RequestId(next)
    }

    /// A name for a request that no other node and no other life gives.
    pub fn name_of(&self, request: RequestId) -> String {
        format!("{}.{}.{request}", self.id(), self.incarnation)
    }

    /// Counts a request for as long as the result lives.
    pub fn count_request(self: &Rc<Self>) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        self.metrics.in_flight.inc();
        InFlight(Rc::clone(self))
    }

    /// Requests in progress.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// The latest index of the voters' log that this node knows to be applied.
    pub fn known_index(&self) -> u64 {
        let own = self.voters.as_ref().map_or(0, LocalVoter::applied_index);
        self.applied.get().max(own)
    }

    /// Requests in progress at each replica.
    pub fn requests_by_replica(&self) -> BTreeMap<ReplicaId, u32> {
        self.placed.borrow().clone()
    }

    /// Counts a request at a replica, or counts it off.
    pub fn count_placed(&self, replica: ReplicaId, change: i32) {
        let mut placed = self.placed.borrow_mut();
        let count = placed.entry(replica).or_default();
        *count = count.saturating_add_signed(change);
        if *count == 0 {
            placed.remove(&replica);
        }
    }

    /// Counts a request of a class as in progress until the result is dropped.
    pub fn count_class(self: &Rc<Self>, class: Class) -> ClassTurn {
        self.classes
            .borrow_mut()
            .entry(class.clone())
            .or_default()
            .running += 1;
        ClassTurn {
            node: Rc::clone(self),
            class,
            answered: false,
        }
    }

    /// Waits until no request is in progress, at most for `limit`.
    pub async fn drained(&self, limit: Duration) {
        const LOOK_EVERY: Duration = Duration::from_millis(20);
        let start = clock::now();
        while 0 < self.in_flight() + self.orders.open_calls() && clock::now().since(start) < limit {
            compio::time::sleep(LOOK_EVERY).await;
        }
    }
}

fn admission(settings: &Settings, incarnation: Incarnation) -> admit::Config {
    let peers = settings.peers.iter();
    admit::Config {
        node: settings.node.id,
        incarnation,
        nodes: peers.map(|(id, peer)| (*id, peer.centre)).collect(),
        exchange_interval: gossip::EXCHANGE_EVERY,
        stale_after: gossip::EXCHANGE_EVERY * 4,
        ..admit::Config::default()
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
        self.0.metrics.in_flight.dec();
    }
}
