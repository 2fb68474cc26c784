//! The state of a node, shared by all tasks of the process.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::control::Control;
use crate::dispatch::Dispatch;
use crate::entry::ServiceCalls;
use crate::gossip;
use crate::gossip::Gossip;
use crate::inner::ConfigStore;
use crate::inner::PendingRelay;
use crate::metrics::Class;
use crate::metrics::Metrics;
use crate::rests::Rests;
use crate::upstreams::Upstreams;
use base::Incarnation;
use base::NodeId;
use base::ReplicaId;
use base::RequestId;
use base::Version;
use forward::IdUse;
use forward::SentIds;
use memory::Machine;
use net::LastCall;
use net::LateAnswers;
use net::ProcessMemory;
use net::RpcClient;
use net::TrafficMeter;
use quorum::LocalVoter;
use quorum::clock;
use rules::Rules;
use settings::Settings;

/// The phase of a node's lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No configuration is known yet, so requests are refused.
    Starting,
    /// Accepts requests.
    Serving,
    /// Reports that it is not ready, but still accepts requests.
    Leaving,
    /// Refuses new requests and finishes those in progress.
    Draining,
}

/// The configuration in force.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfig {
    /// The version of the configuration.
    pub version: Version,
    /// The rules file as the operators wrote it.
    pub text: Rc<str>,
    /// The rules parsed from the text.
    pub rules: Rc<Rules>,
}

/// Counts of the requests of one class.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClassCounts {
    /// Requests that were answered since the start.
    pub answered: u64,
    /// Requests that were refused or broken off since the start.
    pub refused: u64,
    /// Requests in progress.
    pub running: u32,
}

/// The state that all tasks of the process share.
#[derive(Debug)]
pub struct Node {
    /// The node's settings.
    pub settings: Settings,
    /// The incarnation of this process. A restart draws a new one.
    pub incarnation: Incarnation,
    /// The phase of the node's lifecycle.
    pub phase: Cell<Phase>,
    /// All answers that are due must be given now, because this process stops.
    pub last_call: LastCall,
    /// The voter's disk failed, so the process is to end.
    pub disk_failed: LastCall,
    /// The configuration in force.
    pub config: RefCell<ActiveConfig>,
    /// Writes configurations to disk before they come into force.
    pub config_store: ConfigStore,
    /// The reports of hosts and services.
    pub upstreams: RefCell<Upstreams>,
    /// Reports that have not been relayed to other nodes yet.
    pub pending_relay: RefCell<PendingRelay>,
    /// Admission, routes and loads, by which requests are placed.
    pub dispatch: Dispatch,
    /// The lease and the controller for the hosts of this data centre.
    pub control: Control,
    /// The open calls to services.
    pub service_calls: ServiceCalls,
    /// The highest index of the voters' log that another node reported as applied.
    pub applied_index: Cell<u64>,
    /// This node's voter, if it is one.
    pub local_voter: Option<LocalVoter>,
    /// The voter that answered as leader last.
    pub leader_hint: Cell<Option<NodeId>>,
    /// The membership exchange with other nodes.
    pub gossip: Gossip,
    /// Request counts by class, shown to operators.
    pub classes: RefCell<BTreeMap<Class, ClassCounts>>,
    requests_by_replica: RefCell<BTreeMap<ReplicaId, u32>>,
    /// What requests and answers hold in this process.
    pub memory: ProcessMemory,
    /// The node's metrics.
    pub metrics: Metrics,
    /// Counts the bytes of control traffic.
    pub meter: TrafficMeter,
    /// The client for calls to other nodes.
    pub peers: RpcClient,
    /// The client for calls to engines.
    pub engines: RpcClient,
    /// The rests that upstreams asked for.
    pub rests: Rc<Rests>,
    /// Answers that nobody waits for any more.
    pub late_answers: LateAnswers,
    /// Which ids of chats were sent to the engines at which addresses.
    sent_ids: RefCell<SentIds>,
    in_flight: Cell<usize>,
    last_request_id: Cell<u64>,
}

/// Counts a request of a class as in progress until dropped, then as answered or refused.
#[derive(Debug)]
pub struct ClassRequest {
    node: Rc<Node>,
    /// The class of the request.
    pub class: Class,
    answered: bool,
}

impl ClassRequest {
    /// Counts the request as answered.
    pub fn mark_answered(&mut self) {
        self.answered = true;
    }
}

impl Drop for ClassRequest {
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

/// Counts a request as in progress until dropped.
#[derive(Debug)]
pub struct InFlightRequest(Rc<Node>);

impl Node {
    /// Creates a node that does not listen yet.
    pub fn open(
        settings: Settings,
        local_voter: Option<LocalVoter>,
    ) -> Result<Rc<Self>, cyper::Error> {
        let meter = TrafficMeter::default();
        let secrets = &settings.secrets;
        let peers = RpcClient::new(secrets.peers.expose())?.with_meter(meter.clone());
        let engines = RpcClient::new(secrets.upstreams.expose())?.with_meter(meter.clone());
        let incarnation = clock::new_incarnation();
        let control = Control::open(&settings, incarnation);
        let gossip = Gossip::open(&settings, incarnation);
        let memory = ProcessMemory::open(Machine {
            memory: settings.limits.memory,
            ..Machine::default()
        });
        let service_calls = ServiceCalls::open(settings.node.id, incarnation);
        let dispatch = Dispatch::open(admit_config(&settings, incarnation));
        Ok(Rc::new(Self {
            settings,
            incarnation,
            phase: Cell::new(Phase::Starting),
            last_call: LastCall::default(),
            disk_failed: LastCall::default(),
            config: RefCell::default(),
            config_store: ConfigStore::default(),
            upstreams: RefCell::default(),
            pending_relay: RefCell::default(),
            dispatch,
            control,
            service_calls,
            applied_index: Cell::new(0),
            local_voter,
            leader_hint: Cell::new(None),
            gossip,
            classes: RefCell::default(),
            requests_by_replica: RefCell::default(),
            memory,
            metrics: Metrics::default(),
            meter,
            peers,
            engines,
            in_flight: Cell::new(0),
            rests: Rc::new(Rests::open(incarnation.0)),
            late_answers: LateAnswers::spawn(),
            sent_ids: RefCell::default(),
            last_request_id: Cell::new(0),
        }))
    }

    /// The id of this node.
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

    /// Returns a request id that is unique within this incarnation of the node.
    pub fn next_request_id(&self) -> RequestId {
        let next = self.last_request_id.get() + 1;
        self.last_request_id.set(next);
        RequestId(next)
    }

    /// A request id that is unique among all nodes and their incarnations.
    pub fn global_request_id(&self, request: RequestId) -> String {
        format!("{}.{}.{request}", self.id(), self.incarnation)
    }

    /// Records that a request with this id is sent to an engine, and returns how often it was.
    pub fn record_sent_id(&self, addr: SocketAddr, id: &str) -> IdUse {
        let mut sent_ids = self.sent_ids.borrow_mut();
        let id_use = sent_ids.next_use(&addr, id.as_bytes());
        sent_ids.record(&addr, id.as_bytes());
        id_use
    }

    /// Counts a request as in progress until the result is dropped.
    pub fn start_request(self: &Rc<Self>) -> InFlightRequest {
        self.in_flight.set(self.in_flight.get() + 1);
        self.metrics.in_flight.inc();
        InFlightRequest(Rc::clone(self))
    }

    /// The number of requests in progress.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// The highest index of the voters' log that this node knows to be applied.
    pub fn known_applied_index(&self) -> u64 {
        let own = self
            .local_voter
            .as_ref()
            .map_or(0, LocalVoter::applied_index);
        self.applied_index.get().max(own)
    }

    /// The requests of this node that are in progress at each replica.
    pub fn requests_by_replica(&self) -> BTreeMap<ReplicaId, u32> {
        self.requests_by_replica.borrow().clone()
    }

    /// Changes the number of requests in progress at a replica.
    pub fn adjust_replica_count(&self, replica: ReplicaId, change: i32) {
        let mut requests = self.requests_by_replica.borrow_mut();
        let count = requests.entry(replica).or_default();
        *count = count.saturating_add_signed(change);
        if *count == 0 {
            requests.remove(&replica);
        }
    }

    /// Counts a request of a class until the result is dropped.
    pub fn start_class_request(self: &Rc<Self>, class: Class) -> ClassRequest {
        self.classes
            .borrow_mut()
            .entry(class.clone())
            .or_default()
            .running += 1;
        ClassRequest {
            node: Rc::clone(self),
            class,
            answered: false,
        }
    }

    /// Waits until no request and no service call is in progress, for at most `limit`.
    pub async fn wait_until_drained(&self, limit: Duration) {
        const CHECK_INTERVAL: Duration = Duration::from_millis(20);
        let start = clock::now();
        while !self.is_drained() && clock::now().since(start) < limit {
            compio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Whether no request is in progress, and no caller still reads an answer.
    fn is_drained(&self) -> bool {
        let in_progress = self.in_flight() + self.service_calls.count_open();
        in_progress + self.memory.unwritten_connections() == 0
    }
}

fn admit_config(settings: &Settings, incarnation: Incarnation) -> admit::Config {
    let peers = settings.peers.iter();
    admit::Config {
        node: settings.node.id,
        incarnation,
        nodes: peers.map(|(id, peer)| (*id, peer.centre)).collect(),
        exchange_interval: gossip::EXCHANGE_INTERVAL,
        stale_after: gossip::EXCHANGE_INTERVAL * 4,
        ..admit::Config::default()
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
        self.0.metrics.in_flight.dec();
    }
}
