//! The controller: sends orders to the engine hosts of a deployment.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::Config;
use crate::GivenUpReplica;
use crate::LoadWindow;
use crate::Order;
use crate::OrderId;
use crate::Outcome;
use crate::host::Host;
use crate::order::Action;
use crate::record::Records;
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
use fleet::Intake;
use fleet::PlaceState;
use fleet::ReplicaRecord;
use fleet::RoutingTable;
use fleet::ServingReplica;

/// Weight of a new sample in the moving average of busy replicas. One sample comes a second.
const BUSY_REPLICAS_SMOOTHING: f64 = 0.2;

/// How many epochs one term can issue. A term's first epoch is its number times this.
const EPOCHS_PER_TERM: u64 = 1_000_000;

/// An order whose outcome is not known yet.
#[derive(Clone, Debug)]
pub(crate) struct OutstandingOrder {
    pub host: UpstreamId,
    pub incarnation: Incarnation,
    /// The epoch of the host's place that was last announced when the order was issued.
    pub announced_epoch: Option<Fence>,
    pub action: Action,
}

impl OutstandingOrder {
    /// Whether the host was ordered to leave the replica that it announced.
    fn ends_place(&self) -> bool {
        match &self.action {
            Action::Leave { epoch, .. } => self.announced_epoch == Some(*epoch),
            Action::Stage { .. } | Action::Join { .. } | Action::Open { .. } => false,
        }
    }
}

/// Sends orders to the hosts of all engines of a deployment while it holds a term.
#[derive(Clone, Debug)]
pub struct Controller {
    pub(crate) cfg: Config,
    pub(crate) engines: BTreeMap<ServiceName, EngineConfig>,
    pub(crate) hosts: BTreeMap<UpstreamId, Host>,
    pub(crate) replicas: BTreeMap<Fence, Replica>,
    pub(crate) records: Records,
    pub(crate) given_up: Vec<GivenUpReplica>,
    pub(crate) outstanding_orders: BTreeMap<OrderId, OutstandingOrder>,
    pub(crate) load_window: LoadWindow,
    pub(crate) busy_replicas: BTreeMap<ModelName, f64>,
    /// Head hosts at which requests run, as entry hosts last reported.
    pub(crate) busy_heads: BTreeSet<UpstreamId>,
    /// When an exchange of replicas was last looked for.
    pub(crate) last_exchange_at: Time,
    pub(crate) last_order: OrderId,
    /// Callers' requests have begun. From then on loads take their full time and are counted.
    pub(crate) has_traffic: bool,
    pub(crate) term: Option<u64>,
    pub(crate) term_began_at: Time,
    settled_at: Time,
    last_epoch: Fence,
    edition: Edition,
    serving_replicas: Vec<ServingReplica>,
}

impl Controller {
    /// Creates a controller that holds no term and knows no hosts.
    pub fn new(cfg: Config) -> Self {
        Self {
            cfg,
            engines: BTreeMap::new(),
            hosts: BTreeMap::new(),
            replicas: BTreeMap::new(),
            records: Records::default(),
            given_up: Vec::new(),
            outstanding_orders: BTreeMap::new(),
            load_window: LoadWindow::default(),
            busy_replicas: BTreeMap::new(),
            busy_heads: BTreeSet::new(),
            last_exchange_at: Time::ZERO,
            last_order: OrderId::default(),
            has_traffic: false,
            term: None,
            term_began_at: Time::ZERO,
            settled_at: Time::NEVER,
            last_epoch: Fence::default(),
            edition: Edition::default(),
            serving_replicas: Vec::new(),
        }
    }

    /// Sets the engines that the configuration defines, by service.
    pub fn set_engines(&mut self, engines: BTreeMap<ServiceName, EngineConfig>) {
        self.engines = engines;
    }

    /// Records the announcement of an engine host that was heard at `now`. Those of other
    /// processes are ignored.
    pub fn record_announcement(&mut self, announcement: &Announcement, now: Time) {
        if announcement.engine.is_none() {
            return;
        }
        let corrected = self.correct_outdated(announcement, now);
        let announcement = corrected.as_ref().unwrap_or(announcement);
        let ready = announcement
            .place()
            .filter(|place| PlaceState::Ready <= place.state);
        let joined = ready.and_then(|place| self.replicas.get(&place.epoch));
        let warm_model = joined.map(|replica| replica.model.clone());
        match self.hosts.get_mut(&announcement.id) {
            Some(host) if host.is_later_than(announcement) => {}
            Some(host) => {
                host.record_announcement(announcement, now);
                host.warm_model = warm_model.or_else(|| host.warm_model.take());
            }
            None => {
                let host = Host::new(announcement.clone(), now);
                self.hosts.insert(announcement.id.clone(), host);
                self.extend_settling(now);
            }
        }
    }

    /// Records that a host announced its departure. A head host may still finish requests, so
    /// it is kept until its replica has ended and can still be ordered to leave. Others are
    /// forgotten when the controller next advances.
    pub fn record_departure(&mut self, id: &UpstreamId) {
        if let Some(host) = self.hosts.get_mut(id) {
            host.announcement.leaving = true;
            host.has_departed = true;
        }
    }

    /// Records that a host did not answer a probe.
    pub fn mark_lost(&mut self, id: &UpstreamId, incarnation: Incarnation, now: Time) {
        let host = self.hosts.get_mut(id);
        if let Some(host) = host.filter(|host| host.announcement.incarnation == incarnation) {
            host.lost_since.get_or_insert(now);
        }
    }

    /// Records that callers' requests have begun.
    pub fn mark_traffic_begun(&mut self) {
        self.has_traffic = true;
    }

    /// Records how many replicas of each model its requests keep busy. The samples are
    /// averaged, so that a short fluctuation doesn't change the layout.
    pub fn record_busy_replicas(&mut self, samples: &BTreeMap<ModelName, f64>) {
        for (model, sample) in samples {
            let average = self.busy_replicas.entry(model.clone()).or_insert(*sample);
            *average += BUSY_REPLICAS_SMOOTHING * (sample - *average);
        }
    }

    /// Whether a replica drains, so that the heads at which requests run are to be recorded.
    pub fn has_draining_replicas(&self) -> bool {
        let mut replicas = self.replicas.values();
        replicas.any(|replica| matches!(replica.phase, Phase::Draining(_)))
    }

    /// Records the head hosts at which requests run.
    pub fn record_busy_heads(&mut self, heads: BTreeSet<UpstreamId>) {
        self.busy_heads = heads;
    }

    /// Sets the term that this process holds now, if any. A new term starts with the recorded
    /// replicas, and adopts others that hosts report.
    pub fn set_term(
        &mut self,
        term: Option<u64>,
        now: Time,
        recorded_replicas: impl FnOnce() -> Vec<ReplicaRecord>,
    ) {
        if term == self.term {
            return;
        }
        self.term = term;
        self.term_began_at = now;
        self.outstanding_orders.clear();
        for host in self.hosts.values_mut() {
            host.pending_order = None;
        }
        self.settled_at = now + self.cfg.settle_time;
        if let Some(term) = term {
            let first = Fence(term * EPOCHS_PER_TERM);
            self.last_epoch = first.max(self.last_epoch);
            if self.edition.term != term {
                self.edition = Edition { term, count: 0 };
                self.serving_replicas.clear();
            }
            self.replicas.clear();
            self.take_over(recorded_replicas(), now);
        }
    }

    /// Whether the controller holds a term and has listened for long enough to send orders.
    pub fn is_settled(&self, now: Time) -> bool {
        self.term.is_some() && self.settled_at <= now
    }

    /// Extends the time to settle while there are no replicas yet, so that the first layout
    /// includes all hosts.
    fn extend_settling(&mut self, now: Time) {
        let is_first = self.replicas.is_empty() && self.term.is_some() && !self.has_traffic;
        if is_first {
            self.settled_at = self.settled_at.max(now + self.cfg.gather_time);
        }
    }

    /// Advances the controller to `now` and returns the orders to send. To be called several
    /// times a second.
    pub fn tick(&mut self, now: Time) -> Vec<Order> {
        if !self.is_settled(now) {
            self.forget_silent_hosts(now);
            return Vec::new();
        }
        self.forget_unneeded(now);
        self.adopt(now);
        let mut orders = self.advance(now);
        orders.extend(self.assign_hosts(now));
        self.update_routing_table();
        orders
    }

    /// Whether an order is still to be carried out. Orders of earlier terms are not.
    pub fn is_outstanding(&self, id: OrderId) -> bool {
        self.outstanding_orders.contains_key(&id)
    }

    /// Records the outcome of an order.
    pub fn record_outcome(&mut self, id: OrderId, outcome: Outcome, now: Time) {
        let Some(outstanding) = self.outstanding_orders.remove(&id) else {
            return;
        };
        let host = self.hosts.get_mut(&outstanding.host);
        let host = host.filter(|host| host.announcement.incarnation == outstanding.incarnation);
        if let Some(host) = host {
            host.pending_order = None;
            match outcome {
                Outcome::Begun => {
                    host.begun_orders = host.begun_orders.map(|begun| begun.saturating_add(1));
                }
                // A host counts an order to leave, which is done at once.
                Outcome::Done if outstanding.ends_place() => {
                    host.begun_orders = host.begun_orders.map(|begun| begun.saturating_add(1));
                }
                Outcome::Done | Outcome::NotSent => {}
                Outcome::Refused | Outcome::Unknown => host.begun_orders = None,
            }
            if !outcome.is_done() {
                host.no_orders_until = now + self.cfg.retry_interval;
            }
            let is_stage = matches!(outstanding.action, Action::Stage { .. });
            if is_stage && !outcome.is_done() {
                host.staging = None;
            }
        }
        self.apply_outcome(&outstanding, outcome, now);
    }

    /// The replicas that requests may be sent to. None until the controller has settled.
    pub fn routing_table(&self) -> Option<RoutingTable> {
        (0 < self.edition.count).then(|| RoutingTable {
            edition: self.edition,
            serving: self.serving_replicas.clone(),
        })
    }

    pub(crate) fn next_epoch(&mut self) -> Fence {
        self.last_epoch = self.last_epoch.next();
        self.last_epoch
    }

    /// Raises the last known epoch to one that is in use, so that new epochs are larger.
    pub(crate) fn observe_epoch(&mut self, epoch: Fence) {
        self.last_epoch = self.last_epoch.max(epoch);
    }

    /// Issues an order to a host, unless it has one whose outcome is not known or is to get
    /// none yet.
    pub(crate) fn issue_order(
        &mut self,
        id: &UpstreamId,
        action: Action,
        now: Time,
    ) -> Option<Order> {
        let host = self.hosts.get_mut(id)?;
        if host.pending_order.is_some() || now < host.no_orders_until {
            return None;
        }
        self.last_order.0 += 1;
        host.pending_order = Some(self.last_order);
        let outstanding = OutstandingOrder {
            host: id.clone(),
            incarnation: host.announcement.incarnation,
            announced_epoch: host.place().map(|place| place.epoch),
            action: action.clone(),
        };
        self.outstanding_orders.insert(self.last_order, outstanding);
        Some(Order {
            id: self.last_order,
            host: id.clone(),
            incarnation: host.announcement.incarnation,
            addr: host.announcement.addr,
            action,
            begun_orders: host.begun_orders,
        })
    }

    /// Updates the routing table to the replicas that run requests now.
    fn update_routing_table(&mut self) {
        let serving = self.replicas.values().filter(|r| r.runs_requests());
        let serving_replicas: Vec<ServingReplica> = serving
            .filter_map(|replica| {
                let (head, incarnation) = replica.head.clone()?;
                Some(ServingReplica {
                    replica: replica.name.clone(),
                    epoch: replica.epoch,
                    service: replica.service.clone(),
                    model: replica.model.clone(),
                    head,
                    incarnation,
                    intake: match replica.phase {
                        Phase::Draining(_) => Intake::Draining,
                        _ => Intake::Open,
                    },
                })
            })
            .collect();
        if serving_replicas != self.serving_replicas || self.edition.count == 0 {
            self.serving_replicas = serving_replicas;
            self.edition.count += 1;
        }
    }
}
