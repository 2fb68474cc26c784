//! Turns the plan into orders and releases hosts that belong to no replica.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::Action;
use crate::Controller;
use crate::Drain;
use crate::DrainReason;
use crate::Form;
use crate::Order;
use crate::Phase;
use crate::PhaseReason;
use crate::PlacedReplica;
use crate::PlacedState;
use crate::Plan;
use crate::PlannerView;
use crate::controller::OutstandingOrder;
use crate::host::Host;
use crate::plan;
use crate::replica::Replica;
use crate::replica::replica_id;
use base::Assignment;
use base::DomainId;
use base::Fence;
use base::HostId;
use base::ModelName;
use base::ReplicaId;
use base::Time;

impl Controller {
    /// Releases hosts of ending replicas and hosts that report a replica unknown here.
    pub(crate) fn order_releases(&mut self, now: Time) -> Vec<Order> {
        let due = self
            .hosts
            .iter()
            .filter(|(_, host)| self.must_release_host(host, now));
        let due: Vec<_> = due.map(|(id, _)| *id).collect();
        let release = |id| self.create_order(id, None, Action::Release, now);
        due.into_iter().filter_map(release).collect()
    }

    fn must_release_host(&self, host: &Host, now: Time) -> bool {
        if host.assignment().is_none() || !host.is_settled(now) {
            return false;
        }
        if host.is_lost(&self.cfg, now) {
            return false;
        }
        match host.owner.and_then(|id| self.replicas.get(&id)) {
            Some(replica) => replica.phase == Phase::Releasing,
            None => {
                let delay = self.cfg.stray_release_delay;
                let is_due = |since: Time| since + delay <= now;
                host.claim_distrusted || host.stray_since.is_some_and(is_due)
            }
        }
    }

    /// Makes a new plan when one is due and returns the orders that it requires.
    pub(crate) fn replan(&mut self, now: Time) -> Vec<Order> {
        if now < self.next_plan_at {
            return Vec::new();
        }
        self.next_plan_at = now + self.cfg.plan_interval;
        self.plan = plan(&self.planner_view(now), &self.demand);
        let plan = std::mem::take(&mut self.plan);
        self.update_history(&plan, now);
        for drain in &plan.drains {
            self.start_drain(drain, plan.lacks_hosts(), now);
        }
        let mut orders = Vec::new();
        let mut loads = self.available_loads();
        for form in plan.forms.iter().take(loads) {
            orders.extend(self.form_replica(form, now));
            loads -= 1;
        }
        for planned_move in plan.moves.iter().take(loads) {
            if self.may_move(&planned_move.for_model, now) {
                orders.extend(self.form_replica(&planned_move.form, now));
            }
        }
        self.plan = plan;
        orders
    }

    /// The hosts and replicas as input of the planner.
    pub(crate) fn planner_view(&self, now: Time) -> PlannerView {
        let mut free: BTreeMap<DomainId, Vec<HostId>> = BTreeMap::new();
        for (id, host) in &self.hosts {
            let hosts = free.entry(host.report.domain).or_default();
            if host.is_usable(&self.cfg, now) {
                hosts.push(*id);
            }
        }
        let mut preferred_domains: BTreeMap<ModelName, BTreeSet<DomainId>> = BTreeMap::new();
        for (model, domain) in self.history.replica_lost_at.keys() {
            preferred_domains
                .entry(model.clone())
                .or_default()
                .insert(*domain);
        }
        PlannerView {
            free,
            coming_free: self.hosts_coming_free(now),
            replicas: self.placed_replicas(),
            preferred_domains,
        }
    }

    /// The number of usable hosts by domain whose replica is ending.
    fn hosts_coming_free(&self, now: Time) -> BTreeMap<DomainId, usize> {
        let mut counts = BTreeMap::new();
        for host in self.hosts.values() {
            let owner = host.owner.and_then(|id| self.replicas.get(&id));
            let is_coming =
                owner.is_some_and(|replica| replica.will_free_hosts_soon(&self.cfg, now));
            if is_coming && host.will_be_usable(&self.cfg, now) {
                *counts.entry(host.report.domain).or_default() += 1;
            }
        }
        counts
    }

    fn placed_replicas(&self) -> Vec<PlacedReplica> {
        let replicas = self.replicas.values();
        let being_replaced: BTreeSet<_> = replicas.clone().filter_map(|r| r.replaces).collect();
        replicas
            .filter_map(|r| self.placed_replica(r, &being_replaced))
            .collect()
    }

    /// A replica as input of the planner, if it counts towards demand.
    fn placed_replica(
        &self,
        replica: &Replica,
        being_replaced: &BTreeSet<ReplicaId>,
    ) -> Option<PlacedReplica> {
        let is_replacement = replica.replaces.is_some_and(|id| self.is_serving(id));
        let state = match replica.phase {
            Phase::Forming if is_replacement => return None,
            Phase::Forming => PlacedState::Fixed,
            Phase::Serving if being_replaced.contains(&replica.id()) => PlacedState::Fixed,
            Phase::Serving => self.serving_state(replica),
            Phase::Draining | Phase::Broken | Phase::Releasing => return None,
        };
        Some(PlacedReplica {
            replica: replica.id(),
            model: replica.assignment.model.clone(),
            domain: replica.domain,
            width: replica.assignment.hosts.len(),
            state,
        })
    }

    fn is_serving(&self, id: ReplicaId) -> bool {
        self.replicas
            .get(&id)
            .is_some_and(|r| r.phase == Phase::Serving)
    }

    fn serving_state(&self, replica: &Replica) -> PlacedState {
        let hosts = replica.assignment.hosts.iter();
        let demand = self.demand.get(&replica.assignment.model);
        if demand.is_some_and(|demand| demand.width != hosts.len()) {
            return PlacedState::Outdated;
        }
        let speeds = hosts.filter_map(|id| self.hosts.get(id)?.relative_speed);
        let slow: Vec<f64> = speeds
            .filter(|speed| self.is_worth_replacing(*speed))
            .collect();
        if slow.is_empty() {
            PlacedState::Movable
        } else {
            PlacedState::Slow(slow.len())
        }
    }

    /// True if a slow host costs more within the payback time than loading a replacement.
    fn is_worth_replacing(&self, speed: f64) -> bool {
        let loss = (1.0 - speed) * self.cfg.slow_host_payback_time.as_secs_f64();
        self.cfg.expected_load_time.as_secs_f64() < loss
    }

    fn update_history(&mut self, plan: &Plan, now: Time) {
        let keep_for = self.cfg.load_timeout;
        self.history
            .replica_lost_at
            .retain(|_, lost_at| now < *lost_at + keep_for);
        let surplus = plan
            .drains
            .iter()
            .filter(|d| d.reason == DrainReason::Surplus);
        let surplus = surplus.filter_map(|d| self.replicas.get(&d.replica));
        let surplus: BTreeSet<_> = surplus.map(|r| r.assignment.model.clone()).collect();
        update_since(&mut self.history.surplus_since, surplus, now);
        let unplaced = plan.unplaced.keys().cloned().collect();
        update_since(&mut self.history.unplaced_since, unplaced, now);
    }

    fn start_drain(&mut self, drain: &Drain, lacks_hosts: bool, now: Time) {
        match &drain.reason {
            DrainReason::Surplus => self.drain_surplus(drain.replica, lacks_hosts, now),
            DrainReason::Preempted(model) if self.is_long_unplaced(model, now) => {
                self.drain_replica(drain.replica, PhaseReason::Preempted, now);
            }
            DrainReason::Relocated(model) if self.is_long_unplaced(model, now) => {
                self.drain_replica(drain.replica, PhaseReason::Moved, now);
            }
            DrainReason::Preempted(_) | DrainReason::Relocated(_) => {}
            DrainReason::Outdated => self.drain_replica(drain.replica, PhaseReason::Outdated, now),
            DrainReason::Slow => self.drain_replica(drain.replica, PhaseReason::HostSlow, now),
        }
    }

    /// Drains a replica whose model has had too many for long enough. That is sooner while
    /// a needed replica lacks hosts.
    fn drain_surplus(&mut self, id: ReplicaId, lacks_hosts: bool, now: Time) {
        let Some(replica) = self.replicas.get(&id) else {
            return;
        };
        let since = self.history.surplus_since.get(&replica.assignment.model);
        let delay = if lacks_hosts {
            self.cfg.move_delay
        } else {
            self.cfg.surplus_drain_delay
        };
        if since.is_some_and(|since| *since + delay <= now) {
            self.drain_replica(id, PhaseReason::Surplus, now);
        }
    }

    fn may_move(&self, model: &ModelName, now: Time) -> bool {
        let moving = self
            .replicas
            .values()
            .filter(|r| r.replaces.is_some())
            .count();
        self.is_long_unplaced(model, now) && moving < self.cfg.max_concurrent_moves
    }

    fn is_long_unplaced(&self, model: &ModelName, now: Time) -> bool {
        let delay = self.cfg.move_delay;
        let since = self.history.unplaced_since.get(model);
        since.is_some_and(|since| *since + delay <= now)
    }

    /// Replicas that may start to load from the weight store now.
    fn available_loads(&self) -> usize {
        let loading = self.replicas.values().filter(|r| r.phase == Phase::Forming);
        self.cfg
            .max_concurrent_loads
            .saturating_sub(loading.count())
    }

    /// Orders all hosts of a new replica.
    fn form_replica(&mut self, form: &Form, now: Time) -> Vec<Order> {
        let id = self.next_replica_id();
        let assignment = Assignment {
            replica: id,
            fence: self.fence(),
            model: form.model.clone(),
            hosts: form.hosts.clone(),
        };
        let replica = self.new_replica(assignment, form, now);
        self.replicas.insert(id, replica);
        let hosts = form.hosts.iter().copied();
        let action = Action::Form {
            model: form.model.clone(),
            hosts: form.hosts.clone(),
        };
        let orders =
            hosts.filter_map(|host| self.create_order(host, Some(id), action.clone(), now));
        orders.collect()
    }

    fn next_replica_id(&mut self) -> ReplicaId {
        loop {
            self.last_replica_number += 1;
            let id = replica_id(self.cfg.centre, self.fence(), self.last_replica_number);
            if !self.replicas.contains_key(&id) {
                return id;
            }
        }
    }

    fn new_replica(&mut self, assignment: Assignment, form: &Form, now: Time) -> Replica {
        let mut incarnations = BTreeMap::new();
        for id in &form.hosts {
            if let Some(host) = self.hosts.get_mut(id) {
                host.owner = Some(assignment.replica);
                incarnations.insert(*id, host.report.incarnation);
            }
        }
        Replica {
            assignment,
            domain: form.domain,
            incarnations,
            joined_hosts: BTreeSet::new(),
            phase: Phase::Forming,
            phase_since: now,
            reason: None,
            replaces: form.replaces,
            unroutable_since: None,
        }
    }

    /// Creates an order to a host. A release names the replica that the host reports.
    fn create_order(
        &mut self,
        id: HostId,
        replica: Option<ReplicaId>,
        action: Action,
        now: Time,
    ) -> Option<Order> {
        let fence: Fence = self.fence();
        let host = self.hosts.get_mut(&id)?;
        let claimed = host.assignment().map(|assignment| assignment.replica);
        self.last_order_id.0 += 1;
        let order = Order {
            id: self.last_order_id,
            host: id,
            addr: host.report.addr,
            fence,
            replica: replica.or(claimed)?,
            action,
            deadline: now + self.cfg.order_send_timeout,
        };
        host.pending_order = Some(order.id);
        let outstanding = OutstandingOrder {
            host: id,
            replica: order.replica,
            issued_at: now,
            deadline: order.deadline,
        };
        self.orders.insert(order.id, outstanding);
        Some(order)
    }
}

/// Updates since when each of these models has been on a list.
fn update_since(since: &mut BTreeMap<ModelName, Time>, current: BTreeSet<ModelName>, now: Time) {
    since.retain(|model, _| current.contains(model));
    for model in current {
        since.entry(model).or_insert(now);
    }
}
