//! Decides which free hosts form a replica, join one to become warm, or leave an ended one.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::Controller;
use crate::Layout;
use crate::Order;
use crate::adopt::Purpose;
use crate::adopt::is_for_serving;
use crate::adopt::replica_name;
use crate::host::Host;
use crate::host_counts::ReplicaCounts;
use crate::layout::FabricDomain;
use crate::order::Action;
use crate::replica::Phase;
use crate::replica::Replica;
use base::Fence;
use base::ModelName;
use base::ServiceName;
use base::Time;
use base::UpstreamId;
use fleet::EngineConfig;
use fleet::EngineModel;

impl Controller {
    /// Forms replicas from free staged hosts, and stages models on hosts without one.
    pub(crate) fn assign_hosts(&mut self, now: Time) -> Vec<Order> {
        let services: Vec<_> = self.engines.clone().into_iter().collect();
        let mut orders = Vec::new();
        let is_exchange_due = self.take_exchange_turn(now);
        for (service, engine) in services {
            let layout = self.layout(&service, &engine, now);
            orders.extend(self.form_replicas(&service, &engine, &layout, now));
            if is_exchange_due {
                self.exchange_replicas(&service, &engine, now);
            }
            orders.extend(self.warm_free_hosts(&service, now));
            orders.extend(self.leave_ended_replicas(&service, now));
            orders.extend(self.stage_models(&service, &engine, &layout, now));
        }
        orders
    }

    /// Available hosts that belong to no replica and can be sent an order.
    pub(crate) fn free_hosts(&self, now: Time) -> Vec<UpstreamId> {
        let mut bound = BTreeSet::new();
        for replica in self.replicas.values() {
            bound.extend(replica.held_hosts());
        }
        // While a head host reports that it serves, no host of its replica is free, whatever
        // the phase on record.
        let heard = self.hosts.values().filter(|host| host.lost_since.is_none());
        let serving_epochs: BTreeSet<Fence> = heard
            .filter_map(Host::place)
            .filter(|place| place.rank == 0 && place.state.may_serve())
            .map(|place| place.epoch)
            .collect();
        let is_released = |id: &UpstreamId, host: &Host| {
            let epoch = host.place().map(|place| place.epoch);
            let replica = epoch.map(|epoch| self.replicas.get(&epoch));
            replica.is_none_or(|replica| replica.is_some_and(|r| !r.holds(id)))
        };
        let free = self.hosts.iter().filter(|(id, host)| {
            let can_be_ordered = host.pending_order.is_none() && host.no_orders_until <= now;
            host.is_available(self.cfg.silence_limit, now)
                && can_be_ordered
                && !bound.contains(&((*id).clone(), host.announcement.incarnation))
                && is_released(id, host)
                && !host
                    .place()
                    .is_some_and(|place| serving_epochs.contains(&place.epoch))
        });
        free.map(|(id, _)| id.clone()).collect()
    }

    fn layout(&self, service: &ServiceName, engine: &EngineConfig, now: Time) -> Layout {
        let mut domains: BTreeMap<FabricDomain, usize> = BTreeMap::new();
        let hosts = self
            .hosts
            .values()
            .filter(|host| host.announcement.service == *service);
        for host in hosts.filter(|host| host.is_available(self.cfg.silence_limit, now)) {
            *domains.entry(domain_of(host)).or_default() += 1;
        }
        Layout::compute(
            &engine.models,
            &domains,
            &self.busy_replicas,
            self.cfg.spare_share,
        )
    }

    fn form_replicas(
        &mut self,
        service: &ServiceName,
        engine: &EngineConfig,
        layout: &Layout,
        now: Time,
    ) -> Vec<Order> {
        let mut orders = Vec::new();
        let mut formed = self.replica_counts(service);
        let draining = self.draining_domains();
        let mut free_hosts = self.free_hosts_by_domain(service, now);
        free_hosts.retain(|domain, _| !draining.contains(domain));
        for mut free in free_hosts.into_values() {
            while let Some((model, hosts)) = self.next_replica(engine, layout, &free, &formed) {
                free.retain(|id| !hosts.contains(id));
                formed.add(&model);
                orders.extend(self.form_replica(Purpose::Serve, service, &model, hosts, now));
            }
        }
        orders
    }

    pub(crate) fn free_hosts_by_domain(
        &self,
        service: &ServiceName,
        now: Time,
    ) -> BTreeMap<FabricDomain, Vec<UpstreamId>> {
        let mut by_domain: BTreeMap<FabricDomain, Vec<UpstreamId>> = BTreeMap::new();
        for id in self.free_hosts(now) {
            let host = self
                .hosts
                .get(&id)
                .filter(|h| h.announcement.service == *service);
            if let Some(host) = host {
                by_domain.entry(domain_of(host)).or_default().push(id);
            }
        }
        by_domain
    }

    /// The model of the next replica to form, and its hosts. The model is the one with the
    /// fewest replicas relative to its plan.
    fn next_replica(
        &self,
        engine: &EngineConfig,
        layout: &Layout,
        free: &[UpstreamId],
        formed: &ReplicaCounts,
    ) -> Option<(ModelName, Vec<UpstreamId>)> {
        let fill_ratio = |model: &EngineModel| formed.fill_ratio(model, layout);
        // Hosts that can join a model with fewer replicas than planned are reserved for it, until
        // enough are free at once.
        let below_plan = engine.models.iter().filter(|model| fill_ratio(model) < 1.0);
        let below_plan: Vec<&EngineModel> = below_plan.collect();
        let is_reserved = |id: &UpstreamId| {
            let host = self.hosts.get(id);
            let mut below_plan = below_plan.iter();
            below_plan.any(|model| host.is_some_and(|host| host.can_join(&model.model)))
        };
        let usable = |model: &EngineModel| {
            let is_planned = fill_ratio(model) < 1.0;
            let mut joinable = self.joinable_hosts(free, model);
            joinable.retain(|id| is_planned || !is_reserved(id));
            joinable
        };
        let can_form = |model: &&EngineModel| {
            // Replicas beyond the plan are formed only while some hosts stay in reserve.
            let is_planned = fill_ratio(model) < 1.0;
            let needed = model.width
                + if is_planned {
                    0
                } else {
                    self.cfg.reserve_hosts
                };
            0 < model.width && needed <= usable(model).len()
        };
        let candidates = engine.models.iter().filter(can_form);
        let model = candidates.min_by(|a, b| fill_ratio(a).total_cmp(&fill_ratio(b)))?;
        let hosts = self.first_joiners(engine, model, usable(model));
        Some((model.model.clone(), hosts))
    }

    fn form_replica(
        &mut self,
        purpose: Purpose,
        service: &ServiceName,
        model: &ModelName,
        hosts: Vec<UpstreamId>,
        now: Time,
    ) -> Vec<Order> {
        let epoch = self.next_epoch();
        let Some(name) = replica_name(purpose, epoch, model) else {
            return Vec::new();
        };
        let members = hosts
            .iter()
            .filter_map(|id| Some((id.clone(), self.hosts.get(id)?.announcement.incarnation)));
        let mut members: Vec<_> = members.collect();
        let head = (!members.is_empty()).then(|| members.remove(0));
        let replica = Replica {
            name: name.clone(),
            epoch,
            service: service.clone(),
            model: model.clone(),
            head,
            other_hosts: members,
            phase: match purpose {
                Purpose::Serve => Phase::Joining,
                Purpose::KeepWarm => Phase::Ended,
            },
            phase_since: now,
            left_hosts: BTreeSet::new(),
            incomplete_since: None,
            do_hosts_wait_for_head: false,
            last_order_at: now,
        };
        self.replicas.insert(epoch, replica);
        let action = Action::Join {
            replica: name,
            epoch,
            model: model.clone(),
            hosts: hosts.clone(),
        };
        let orders = hosts.iter();
        orders
            .filter_map(|id| self.issue_order(id, action.clone(), now))
            .collect()
    }

    /// Orders free hosts to join a one-host replica that never opens. This warms them: they
    /// join the next replica of that model sooner.
    fn warm_free_hosts(&mut self, service: &ServiceName, now: Time) -> Vec<Order> {
        let mut orders = Vec::new();
        for id in self
            .free_hosts_by_domain(service, now)
            .into_values()
            .flatten()
        {
            let host = self.hosts.get(&id);
            let Some(host) = host.filter(|h| h.warm_model.is_none() && h.staging.is_none()) else {
                continue;
            };
            if let Some(model) = host.staged().last().cloned() {
                orders.extend(self.order_warm_join(service, &model, &id, now));
            }
        }
        orders
    }

    /// Orders free hosts to leave replicas that have ended. A later controller, which knows
    /// only what hosts report, then doesn't wait for the head hosts of these replicas.
    fn leave_ended_replicas(&mut self, service: &ServiceName, now: Time) -> Vec<Order> {
        let mut orders = Vec::new();
        for id in self
            .free_hosts_by_domain(service, now)
            .into_values()
            .flatten()
        {
            let place = self.hosts.get(&id).and_then(Host::place).cloned();
            let Some(place) = place.filter(|place| is_for_serving(&place.replica)) else {
                continue;
            };
            // The host may be free only briefly, before it joins another replica.
            let ended = self
                .replicas
                .get(&place.epoch)
                .map(|replica| replica.phase_since);
            if ended.is_none_or(|since| now < since + self.cfg.effect_timeout) {
                continue;
            }
            let action = Action::Leave {
                replica: place.replica,
                epoch: place.epoch,
            };
            orders.extend(self.issue_order(&id, action, now));
        }
        orders
    }

    fn order_warm_join(
        &mut self,
        service: &ServiceName,
        model: &ModelName,
        id: &UpstreamId,
        now: Time,
    ) -> Vec<Order> {
        let orders = self.form_replica(Purpose::KeepWarm, service, model, vec![id.clone()], now);
        if let Some(host) = self.hosts.get_mut(id) {
            // Counts as warm from now on, so that the order isn't repeated.
            host.warm_model = Some(model.clone());
        }
        orders
    }
}

pub(crate) fn domain_of(host: &Host) -> FabricDomain {
    let engine = host.announcement.engine.as_ref();
    let domain = engine.and_then(|engine| engine.domain.clone());
    (host.announcement.centre.clone(), domain)
}
