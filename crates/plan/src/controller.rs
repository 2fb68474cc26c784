//! The process of a data centre that orders its hosts and grants routes to them.
//!
//! The controller relies only on the hosts' own reports, never on what it ordered: a
//! replica is routed to only while each of its hosts says, in a recent report, that it is
//! ready in exactly this replica. Reports are received with or without a tenure, so that
//! a new holder can grant routes at once. It orders only after [`Config::settle_time`],
//! when the predecessor's routes have expired and none of its orders can still arrive.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::Config;
use crate::Demand;
use crate::GrantId;
use crate::Order;
use crate::OrderId;
use crate::OrderOutcome;
use crate::Phase;
use crate::PhaseReason;
use crate::Plan;
use crate::Route;
use crate::RouteGrant;
use crate::RoutePoll;
use crate::ShortRoute;
use crate::Tenure;
use crate::host::Host;
use crate::issued_grants::IssuedGrants;
use crate::replica::Replica;
use base::DomainId;
use base::Fence;
use base::HostId;
use base::HostReport;
use base::ModelName;
use base::ReplicaId;
use base::Time;

/// An order whose outcome is not known yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OutstandingOrder {
    pub host: HostId,
    pub replica: ReplicaId,
    pub issued_at: Time,
    pub deadline: Time,
}

/// Since when the replicas have not met the demand, and where some were lost.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandHistory {
    /// Since when models have had too many replicas.
    pub surplus_since: BTreeMap<ModelName, Time>,
    /// Since when models have lacked hosts for a replica.
    pub unplaced_since: BTreeMap<ModelName, Time>,
    /// When models last lost a replica in a domain.
    pub replica_lost_at: BTreeMap<(ModelName, DomainId), Time>,
}

/// Orders the hosts of one data centre and grants the routes to them.
#[derive(Clone, Debug)]
pub struct Controller {
    pub(crate) cfg: Config,
    pub(crate) hosts: BTreeMap<HostId, Host>,
    pub(crate) replicas: BTreeMap<ReplicaId, Replica>,
    pub(crate) demand: BTreeMap<ModelName, Demand>,
    pub(crate) orders: BTreeMap<OrderId, OutstandingOrder>,
    pub(crate) issued_grants: IssuedGrants,
    pub(crate) history: DemandHistory,
    pub(crate) plan: Plan,
    pub(crate) next_plan_at: Time,
    pub(crate) last_order_id: OrderId,
    /// Starts at the clock's time, so that ids hardly ever repeat even if all lease state
    /// was lost and a fencing number is issued twice.
    pub(crate) last_replica_number: u64,
    tenure: Option<Tenure>,
    settled_at: Time,
    last_grant_number: u64,
    last_tick_at: Time,
    ignore_reports_until: Time,
}

impl Controller {
    /// A controller that has received no report yet.
    pub fn new(cfg: Config, now: Time) -> Self {
        Self {
            cfg,
            hosts: BTreeMap::new(),
            replicas: BTreeMap::new(),
            demand: BTreeMap::new(),
            orders: BTreeMap::new(),
            issued_grants: IssuedGrants::default(),
            history: DemandHistory::default(),
            plan: Plan::default(),
            next_plan_at: now,
            last_order_id: OrderId::default(),
            last_replica_number: now.0,
            tenure: None,
            settled_at: Time::NEVER,
            last_grant_number: 0,
            last_tick_at: now,
            ignore_reports_until: Time::ZERO,
        }
    }

    /// Receives a host's report. One that arrives right after this process was frozen
    /// may be old and is ignored.
    pub fn receive_report(&mut self, report: &HostReport, now: Time) {
        self.detect_pause(now);
        if report.centre != self.cfg.centre || now < self.ignore_reports_until {
            return;
        }
        let host = self.hosts.entry(report.host);
        let host = host.or_insert_with(|| Host::new(report.clone(), now));
        host.receive_report(report, &self.cfg, now);
    }

    /// Marks a host as slow, with its speed as a fraction of that of similar hosts, or
    /// removes the mark (`None`). A restart of the host removes it as well.
    pub fn set_relative_speed(&mut self, host: HostId, speed: Option<f64>) {
        if let Some(host) = self.hosts.get_mut(&host) {
            host.relative_speed = speed;
        }
    }

    /// Replaces the demand for all models. A model that is missing needs no replica.
    pub fn set_demand(&mut self, demand: BTreeMap<ModelName, Demand>) {
        self.demand = demand;
    }

    /// Records the outcome of an order.
    pub fn record_outcome(&mut self, order: OrderId, outcome: OrderOutcome, now: Time) {
        let Some(outstanding) = self.orders.remove(&order) else {
            return;
        };
        if let Some(host) = self.hosts.get_mut(&outstanding.host) {
            host.pending_order = None;
            match outcome {
                OrderOutcome::Done => host.unsettled_until = now + self.cfg.max_report_delay,
                OrderOutcome::Refused => {}
                OrderOutcome::Unknown => {
                    host.unsettled_until = outstanding.issued_at + self.cfg.max_order_delay;
                }
            }
        }
        let replica = self.replicas.get_mut(&outstanding.replica);
        if let Some(replica) = replica
            && outcome == OrderOutcome::Refused
            && replica.phase == Phase::Forming
        {
            let reason = PhaseReason::OrderRefused(outstanding.host);
            replica.enter_phase(Phase::Broken, Some(reason), now);
        }
    }

    /// True if the order may be sent now. Callers check this right before sending it.
    pub fn may_send_order(&self, order: OrderId, now: Time) -> bool {
        let outstanding = self.orders.get(&order);
        self.holds_tenure(now) && outstanding.is_some_and(|order| now < order.deadline)
    }

    /// Updates all state and returns new orders. Without a tenure there are none.
    ///
    /// Must be called several times a second, with the tenure that the lease gives now.
    pub fn tick(&mut self, tenure: Option<Tenure>, now: Time) -> Vec<Order> {
        self.detect_pause(now);
        self.last_tick_at = now;
        self.update_tenure(tenure, now);
        self.forget_silent_hosts(now);
        if !self.holds_tenure(now) {
            return Vec::new();
        }
        self.issued_grants
            .remove_expired(self.cfg.max_route_lifetime(), now);
        self.expire_orders(now);
        self.adopt_replicas(now);
        self.advance_replicas(now);
        if now < self.settled_at {
            return Vec::new();
        }
        let mut orders = self.order_releases(now);
        orders.extend(self.replan(now));
        orders
    }

    /// Answers an entry node's poll. `None` without a tenure, or to an old poll.
    pub fn answer_poll(&mut self, poll: &RoutePoll, now: Time) -> Option<RouteGrant> {
        let tenure = self.tenure.filter(|tenure| now < tenure.until)?;
        if !self.issued_grants.record_poll(poll) {
            return None;
        }
        let mut confirmed = BTreeMap::new();
        for (id, replica) in &self.replicas {
            if let Some(validity) = self.confirmed_validity(replica, now) {
                confirmed.insert(*id, validity);
            }
        }
        self.last_grant_number += 1;
        let id = GrantId {
            fence: tenure.fence,
            sequence: self.last_grant_number,
        };
        Some(self.build_grant(poll, id, &confirmed, now))
    }

    /// The fencing number that new orders carry.
    pub(crate) fn fence(&self) -> Fence {
        self.tenure.map_or(Fence::default(), |tenure| tenure.fence)
    }

    /// True while this process holds a tenure that has not ended.
    pub fn holds_tenure(&self, now: Time) -> bool {
        self.tenure.is_some_and(|tenure| now < tenure.until)
    }

    /// True once no route or order of a predecessor can be left.
    pub fn is_settled(&self, now: Time) -> bool {
        self.holds_tenure(now) && self.settled_at <= now
    }

    /// True if an entry node may still route to the replica.
    pub(crate) fn may_route(&self, replica: ReplicaId, now: Time) -> bool {
        let lifetime = self.cfg.max_route_lifetime();
        now < self.settled_at || self.issued_grants.may_route(replica, lifetime, now)
    }

    fn detect_pause(&mut self, now: Time) {
        if self.last_tick_at + self.cfg.pause_threshold < now {
            self.last_tick_at = now;
            self.ignore_reports_until = now + self.cfg.ignore_reports_after_pause;
        }
    }

    fn update_tenure(&mut self, tenure: Option<Tenure>, now: Time) {
        let tenure = tenure.filter(|tenure| now < tenure.until);
        let old_fence = self.tenure.map(|tenure| tenure.fence);
        self.tenure = tenure;
        if tenure.map(|tenure| tenure.fence) == old_fence {
            return;
        }
        self.reset_state(now);
        self.settled_at = now + self.cfg.settle_time();
    }

    /// Drops all replicas, orders and grants: another process may have issued orders in
    /// between. The counters go on, because a lapsed tenure may come back with the same
    /// fencing number.
    fn reset_state(&mut self, now: Time) {
        self.replicas.clear();
        self.orders.clear();
        self.issued_grants = IssuedGrants::default();
        self.history = DemandHistory::default();
        self.plan = Plan::default();
        self.next_plan_at = now;
        for host in self.hosts.values_mut() {
            host.owner = None;
            host.pending_order = None;
            host.stray_since = None;
            host.unsettled_until = Time::ZERO;
        }
    }

    fn forget_silent_hosts(&mut self, now: Time) {
        let limit = self.cfg.forget_host_after;
        let is_kept = |host: &Host| host.owner.is_some() || now < host.heard_at + limit;
        self.hosts.retain(|_, host| is_kept(host));
    }

    fn expire_orders(&mut self, now: Time) {
        let max_delay = self.cfg.max_order_delay;
        let is_expired = |order: &OutstandingOrder| order.issued_at + max_delay <= now;
        let expired = self.orders.iter().filter(|(_, order)| is_expired(order));
        let expired: Vec<_> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.record_outcome(id, OrderOutcome::Unknown, now);
        }
    }

    /// How long a replica may be routed to, if all its hosts confirm it.
    fn confirmed_validity(&self, replica: &Replica, now: Time) -> Option<Duration> {
        if replica.phase != Phase::Serving {
            return None;
        }
        let mut oldest = now;
        for id in &replica.assignment.hosts {
            let host = self.hosts.get(id)?;
            if !host.is_fresh(&self.cfg, now) || !replica.is_confirmed_by(host) {
                return None;
            }
            oldest = oldest.min(host.heard_at);
        }
        let validity = (oldest + self.cfg.report_validity).since(now);
        Some(validity.min(self.cfg.max_route_validity))
    }

    fn build_grant(
        &mut self,
        poll: &RoutePoll,
        id: GrantId,
        confirmed: &BTreeMap<ReplicaId, Duration>,
        now: Time,
    ) -> RouteGrant {
        let base = self.issued_grants.acknowledged_grant(poll);
        let ids: BTreeSet<_> = confirmed.keys().copied().collect();
        let ids = self.issued_grants.record_grant(poll, id, ids, now);
        let no_routes = BTreeSet::new();
        let base_routes = base.as_ref().map_or(&no_routes, |(_, routes)| routes);
        let valid_for = self.cfg.max_route_validity;
        let is_short = |validity: &Duration| *validity < valid_for;
        let shorter = confirmed.iter().filter(|(_, validity)| is_short(validity));
        RouteGrant {
            centre: self.cfg.centre,
            id,
            poll: poll.number,
            base: base.as_ref().map(|(id, _)| *id),
            added: ids
                .difference(base_routes)
                .filter_map(|id| self.route(*id))
                .collect(),
            removed: base_routes.difference(&ids).copied().collect(),
            valid_for,
            hold_for: self.cfg.hold_limit,
            heard_within: self.cfg.report_validity,
            shorter: shorter
                .map(|(id, validity)| ShortRoute::new(*id, *validity))
                .collect(),
        }
    }

    fn route(&self, id: ReplicaId) -> Option<Route> {
        let assignment = &self.replicas.get(&id)?.assignment;
        let first = self.hosts.get(assignment.hosts.first()?)?;
        Some(Route {
            replica: id,
            fence: assignment.fence,
            model: assignment.model.clone(),
            hosts: assignment.hosts.clone(),
            addr: first.report.addr,
        })
    }
}
