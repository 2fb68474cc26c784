//! The one process of a deployment that orders its engines' hosts.

use std::collections::BTreeMap;

use crate::Config;
use crate::LoadWindow;
use crate::Order;
use crate::OrderId;
use crate::Outcome;
use crate::host::Host;
use crate::order::Action;
use crate::replica::Phase;
use crate::replica::Replica;
use base::Fence;
use base::Incarnation;
use base::ModelName;
use base::ServiceName;
use base::Time;
use base::UpstreamId;
use fleet::Announcement;
use fleet::Edition;
use fleet::EngineConfig;
use fleet::PlaceState;
use fleet::RoutingTable;
use fleet::ServingReplica;

/// Weight of one sample of the work, taken each second.
const WORK_PART: f64 = 0.2;

/// Orders that one term can number.
const EPOCHS_OF_TERM: u64 = 1_000_000;

/// An order whose outcome is not known yet.
#[derive(Clone, Debug)]
pub(crate) struct Outstanding {
    pub host: UpstreamId,
    pub incarnation: Incarnation,
    pub action: Action,
}

/// What the controller holds at present, for logs and metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Shape {
    /// Hosts that can be counted on.
    pub hosts: usize,
    /// Hosts that belong to no replica.
    pub free: usize,
    /// Of these, hosts without any model.
    pub empty: usize,
    /// Hosts that stage a model.
    pub staging: usize,
    /// Replicas that are served by.
    pub serving: usize,
    /// Replicas that join or open.
    pub forming: usize,
    /// Replicas that are being ended.
    pub closing: usize,
}

/// Orders the hosts of all engines of a deployment, while it holds a term.
#[derive(Clone, Debug)]
pub struct Controller {
    pub(crate) cfg: Config,
    pub(crate) engines: BTreeMap<ServiceName, EngineConfig>,
    pub(crate) hosts: BTreeMap<UpstreamId, Host>,
    pub(crate) replicas: BTreeMap<Fence, Replica>,
    pub(crate) orders: BTreeMap<OrderId, Outstanding>,
    pub(crate) loads: LoadWindow,
    pub(crate) work: BTreeMap<ModelName, f64>,
    pub(crate) last_order: OrderId,
    /// Traffic has begun, so loads take their time and are counted.
    pub(crate) has_traffic: bool,
    term: Option<u64>,
    settled_at: Time,
    last_epoch: Fence,
    edition: Edition,
    served: Vec<ServingReplica>,
}

impl Controller {
    /// A controller without a term that has heard nothing.
    pub fn new(cfg: Config) -> Self {
        Self {
            cfg,
            engines: BTreeMap::new(),
            hosts: BTreeMap::new(),
            replicas: BTreeMap::new(),
            orders: BTreeMap::new(),
            loads: LoadWindow::default(),
            work: BTreeMap::new(),
            last_order: OrderId::default(),
            has_traffic: false,
            term: None,
            settled_at: Time::NEVER,
            last_epoch: Fence::default(),
            edition: Edition::default(),
            served: Vec::new(),
        }
    }

    /// Takes what a configuration says of the engines.
    pub fn set_engines(&mut self, engines: BTreeMap<ServiceName, EngineConfig>) {
        self.engines = engines;
    }

    /// Takes what a host says.
    pub fn record_announcement(&mut self, said: &Announcement, now: Time) {
        if said.engine.is_none() {
            return;
        }
        let ready = said
            .place()
            .filter(|place| PlaceState::Ready <= place.state);
        let warm = ready.and_then(|place| self.replicas.get(&place.epoch));
        let warm = warm.map(|replica| replica.model.clone());
        match self.hosts.get_mut(&said.id) {
            Some(host) => {
                host.hear(said, now);
                host.warm = warm.or_else(|| host.warm.take());
            }
            None => {
                let host = Host::new(said.clone(), now);
                self.hosts.insert(said.id.clone(), host);
                self.gather(now);
            }
        }
    }

    /// Takes that a host says that it is gone. A first host may still finish what it has:
    /// it is kept until its replica has ended, so that it can be told to leave.
    pub fn record_departure(&mut self, id: &UpstreamId) {
        let leads = self.leads_a_replica(id);
        match self.hosts.get_mut(id).filter(|_| leads) {
            Some(host) => {
                host.said.leaving = true;
                host.is_gone = true;
            }
            None => {
                self.hosts.remove(id);
            }
        }
    }

    /// Whether a host is the first one of a replica that holds its hosts.
    fn leads_a_replica(&self, id: &UpstreamId) -> bool {
        let mut holding = self.replicas.values().filter(|r| r.holds_hosts());
        holding.any(|replica| replica.head.as_ref().is_some_and(|(head, _)| head == id))
    }

    /// Takes that a host does not answer, though it was asked.
    pub fn mark_lost(&mut self, id: &UpstreamId, life: Incarnation, now: Time) {
        let host = self.hosts.get_mut(id);
        if let Some(host) = host.filter(|host| host.said.incarnation == life) {
            host.lost.get_or_insert(now);
        }
    }

    /// Takes that callers' requests have begun.
    pub fn mark_traffic_begun(&mut self) {
        self.has_traffic = true;
    }

    /// Takes how many replicas of each model its requests keep busy. It is averaged, so that
    /// a short swing moves nothing.
    pub fn record_busy_replicas(&mut self, work: &BTreeMap<ModelName, f64>) {
        for (model, offered) in work {
            let known = self.work.entry(model.clone()).or_insert(*offered);
            *known += WORK_PART * (offered - *known);
        }
    }

    /// Takes the term that this process holds now, if any.
    pub fn set_term(&mut self, term: Option<u64>, now: Time) {
        if term == self.term {
            return;
        }
        self.term = term;
        self.orders.clear();
        for host in self.hosts.values_mut() {
            host.order = None;
        }
        self.settled_at = now + self.cfg.settle_time;
        if let Some(term) = term {
            let first = Fence(term * EPOCHS_OF_TERM);
            self.last_epoch = first.max(self.last_epoch);
            self.edition = Edition { term, count: 0 };
            self.served.clear();
            self.replicas.clear();
        }
    }

    /// Whether it holds a term and has listened for long enough.
    pub fn is_settled(&self, now: Time) -> bool {
        self.term.is_some() && self.settled_at <= now
    }

    /// Waits a little for more hosts while none has a place yet, so that the first layout
    /// is made with all of them.
    fn gather(&mut self, now: Time) {
        let is_first = self.replicas.is_empty() && self.term.is_some() && !self.has_traffic;
        if is_first {
            self.settled_at = self.settled_at.max(now + self.cfg.gather_time);
        }
    }

    /// Goes on in time. Called several times a second.
    pub fn tick(&mut self, now: Time) -> Vec<Order> {
        if !self.is_settled(now) {
            return Vec::new();
        }
        self.forget(now);
        self.adopt(now);
        let mut orders = self.advance(now);
        orders.extend(self.place(now));
        self.direct();
        orders
    }

    /// Takes how many orders a host has begun, as it says itself.
    pub fn record_begun_orders(&mut self, id: &UpstreamId, life: Incarnation, begun: u64) {
        let host = self.hosts.get_mut(id);
        if let Some(host) = host.filter(|host| host.said.incarnation == life) {
            host.begun = Some(begun);
        }
    }

    /// Whether an order is still to be carried out. One of an earlier term is not.
    pub fn is_outstanding(&self, id: OrderId) -> bool {
        self.orders.contains_key(&id)
    }

    /// Takes what became of an order.
    pub fn record_outcome(&mut self, id: OrderId, outcome: Outcome, now: Time) {
        let Some(outstanding) = self.orders.remove(&id) else {
            return;
        };
        let host = self.hosts.get_mut(&outstanding.host);
        let host = host.filter(|host| host.said.incarnation == outstanding.incarnation);
        if let Some(host) = host {
            host.order = None;
            match outcome {
                Outcome::Begun => host.begun = host.begun.map(|begun| begun + 1),
                Outcome::Done | Outcome::NotSent => {}
                Outcome::Refused | Outcome::Unknown => host.begun = None,
            }
            if !outcome.is_done() {
                host.rest_until = now + self.cfg.retry_interval;
            }
            let is_stage = matches!(outstanding.action, Action::Stage { .. });
            if is_stage && !outcome.is_done() {
                host.staging = None;
            }
        }
        self.effect(&outstanding, outcome, now);
    }

    /// The replicas that requests may be sent to. None before the controller knows.
    pub fn routing_table(&self) -> Option<RoutingTable> {
        (0 < self.edition.count).then(|| RoutingTable {
            edition: self.edition,
            serving: self.served.clone(),
        })
    }

    /// The hosts of the replica that a first host serves, with their addresses.
    pub fn hosts_of(&self, head: &UpstreamId) -> Vec<Announcement> {
        let holds = |replica: &&Replica| {
            let is_head = replica.head.as_ref().is_some_and(|(id, _)| id == head);
            is_head && replica.is_serving_or_forming()
        };
        let Some(replica) = self.replicas.values().find(holds) else {
            return Vec::new();
        };
        let hosts = replica.hosts().filter_map(|(id, _)| self.hosts.get(id));
        hosts.map(|host| host.said.clone()).collect()
    }

    /// The first host of the replica that a host belongs to.
    pub fn head_of(&self, host: &UpstreamId) -> Option<&UpstreamId> {
        let mut of = self.replicas.values().filter(|replica| {
            replica.is_serving_or_forming() && replica.hosts().any(|(id, _)| id == host)
        });
        of.next()?.head.as_ref().map(|(id, _)| id)
    }

    /// Hosts of replicas that have been silent for longer than `silent` and are not yet
    /// known to be lost.
    pub fn silent_hosts(&self, silent: std::time::Duration, now: Time) -> Vec<Announcement> {
        let is_silent = |host: &&Host| host.lost.is_none() && silent <= now.since(host.heard);
        let silent = self.hosts.values().filter(is_silent);
        silent.map(|host| host.said.clone()).collect()
    }

    /// What it holds at present.
    pub fn shape(&self, now: Time) -> Shape {
        let count = |is: fn(&Phase) -> bool| {
            let phases = self.replicas.values().map(|r| &r.phase);
            phases.filter(|phase| is(phase)).count()
        };
        let well = |host: &&Host| host.is_well(self.cfg.silence_limit, now);
        let staging = |host: &&Host| well(host) && host.staging.is_some();
        let free = self.free_hosts(now);
        let is_empty = |id: &UpstreamId| {
            let host = self.hosts.get(id);
            host.is_some_and(|host| host.staged().is_empty() && host.warm.is_none())
        };
        Shape {
            hosts: self.hosts.values().filter(well).count(),
            free: free.len(),
            empty: free.iter().filter(|id| is_empty(id)).count(),
            staging: self.hosts.values().filter(staging).count(),
            serving: count(|p| *p == Phase::Serving),
            forming: count(|p| matches!(p, Phase::Joining | Phase::Opening)),
            closing: count(|p| matches!(p, Phase::Closing(_))),
        }
    }

    pub(crate) fn next_epoch(&mut self) -> Fence {
        self.last_epoch = self.last_epoch.next();
        self.last_epoch
    }

    /// Takes in the largest number that is in use, so that new ones are larger.
    pub(crate) fn observe_epoch(&mut self, epoch: Fence) {
        self.last_epoch = self.last_epoch.max(epoch);
    }

    /// An order to a host, unless it has one whose outcome is not known.
    pub(crate) fn order(&mut self, id: &UpstreamId, action: Action, now: Time) -> Option<Order> {
        let host = self.hosts.get_mut(id)?;
        if host.order.is_some() || now < host.rest_until {
            return None;
        }
        self.last_order.0 += 1;
        host.order = Some(self.last_order);
        let outstanding = Outstanding {
            host: id.clone(),
            incarnation: host.said.incarnation,
            action: action.clone(),
        };
        self.orders.insert(self.last_order, outstanding);
        Some(Order {
            id: self.last_order,
            host: id.clone(),
            incarnation: host.said.incarnation,
            addr: host.said.addr,
            action,
            begun_orders: host.begun,
        })
    }

    /// Forgets hosts that nobody has heard of for long, and replicas that nobody reports.
    fn forget(&mut self, now: Time) {
        let forget = 10 * self.cfg.lost_head_wait;
        let gone = self.hosts.iter().filter(|(_, host)| host.is_gone);
        let over = gone.filter(|(id, _)| !self.leads_a_replica(id));
        let over: Vec<UpstreamId> = over.map(|(id, _)| id.clone()).collect();
        for id in over {
            self.hosts.remove(&id);
        }
        self.hosts.retain(|_, host| now.since(host.heard) < forget);
        self.replicas
            .retain(|_, replica| replica.holds_hosts() || now.since(replica.since) < forget);
    }

    /// Brings what may be sent to up to date.
    fn direct(&mut self) {
        let serving = self.replicas.values().filter(|r| r.phase == Phase::Serving);
        let served: Vec<ServingReplica> = serving
            .filter_map(|replica| {
                let (head, life) = replica.head.clone()?;
                Some(ServingReplica {
                    replica: replica.name.clone(),
                    epoch: replica.epoch,
                    service: replica.service.clone(),
                    model: replica.model.clone(),
                    head,
                    incarnation: life,
                })
            })
            .collect();
        if served != self.served || self.edition.count == 0 {
            self.served = served;
            self.edition.count += 1;
        }
    }
}
