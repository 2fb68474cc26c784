//! Decides which free hosts form a replica.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::Controller;
use crate::Layout;
use crate::Order;
use crate::adopt::Purpose;
use crate::adopt::is_to_serve;
use crate::adopt::name_of;
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
    /// Forms what can be formed from staged hosts, and stages models at hosts without one.
    pub(crate) fn place(&mut self, now: Time) -> Vec<Order> {
        let services: Vec<_> = self.engines.clone().into_iter().collect();
        let mut orders = Vec::new();
        for (service, engine) in services {
            let layout = self.layout(&service, &engine, now);
            orders.extend(self.form_all(&service, &engine, &layout, now));
            orders.extend(self.warm_all(&service, now));
            orders.extend(self.leave_all(&service, now));
            orders.extend(self.stage_all(&service, &engine, &layout, now));
        }
        orders
    }

    /// Hosts that belong to no replica and can be ordered.
    pub(crate) fn free_hosts(&self, now: Time) -> Vec<UpstreamId> {
        let mut bound = BTreeSet::new();
        for replica in self.replicas.values().filter(|r| r.holds_hosts()) {
            bound.extend(replica.hosts());
        }
        // Whatever is recorded: where a first host says that it serves, none is free.
        let says = self.hosts.values().filter(|host| host.lost.is_none());
        let serving: BTreeSet<Fence> = says
            .filter_map(Host::place)
            .filter(|place| place.rank == 0 && place.state.may_serve())
            .map(|place| place.epoch)
            .collect();
        let ended = |host: &Host| {
            let epoch = host.place().map(|place| place.epoch);
            let replica = epoch.map(|epoch| self.replicas.get(&epoch));
            replica.is_none_or(|replica| replica.is_some_and(|r| !r.holds_hosts()))
        };
        let free = self.hosts.iter().filter(|(id, host)| {
            let can_be_ordered = host.order.is_none() && host.rest_until <= now;
            host.is_well(self.cfg.silence_limit, now)
                && can_be_ordered
                && !bound.contains(&((*id).clone(), host.said.incarnation))
                && ended(host)
                && !host
                    .place()
                    .is_some_and(|place| serving.contains(&place.epoch))
        });
        free.map(|(id, _)| id.clone()).collect()
    }

    fn layout(&self, service: &ServiceName, engine: &EngineConfig, now: Time) -> Layout {
        let mut domains: BTreeMap<FabricDomain, usize> = BTreeMap::new();
        let of = self
            .hosts
            .values()
            .filter(|host| host.said.service == *service);
        for host in of.filter(|host| host.is_well(self.cfg.silence_limit, now)) {
            *domains.entry(domain(host)).or_default() += 1;
        }
        Layout::divide(&engine.models, &domains, &self.work, self.cfg.spare_share)
    }

    fn form_all(
        &mut self,
        service: &ServiceName,
        engine: &EngineConfig,
        layout: &Layout,
        now: Time,
    ) -> Vec<Order> {
        let mut orders = Vec::new();
        let mut formed = self.formed(service);
        for mut free in self.free_by_home(service, now).into_values() {
            while let Some((model, hosts)) = self.to_form(engine, layout, &free, &formed) {
                free.retain(|id| !hosts.contains(id));
                formed.add(&model);
                orders.extend(self.join(Purpose::Serve, service, &model, hosts, now));
            }
        }
        orders
    }

    /// Free hosts by domain.
    fn free_by_home(
        &self,
        service: &ServiceName,
        now: Time,
    ) -> BTreeMap<FabricDomain, Vec<UpstreamId>> {
        let mut all: BTreeMap<FabricDomain, Vec<UpstreamId>> = BTreeMap::new();
        for id in self.free_hosts(now) {
            let host = self.hosts.get(&id).filter(|h| h.said.service == *service);
            if let Some(host) = host {
                all.entry(domain(host)).or_default().push(id);
            }
        }
        all
    }

    /// The model that is to get a replica, the neediest first, and its hosts: those that
    /// are warm for it first, then those that can join nothing else.
    fn to_form(
        &self,
        engine: &EngineConfig,
        layout: &Layout,
        free: &[UpstreamId],
        formed: &ReplicaCounts,
    ) -> Option<(ModelName, Vec<UpstreamId>)> {
        let able = |model: &EngineModel| {
            let able = free.iter().filter(|id| {
                let host = self.hosts.get(*id);
                host.is_some_and(|host| host.can_join(&model.model))
            });
            able.cloned().collect::<Vec<_>>()
        };
        let filled = |model: &EngineModel| formed.filled(model, layout);
        // Hosts that another model lacks are left for it, until enough are free together.
        let lacking = engine.models.iter().filter(|model| filled(model) < 1.0);
        let lacking: Vec<&EngineModel> = lacking.collect();
        let is_left = |id: &UpstreamId| {
            let host = self.hosts.get(id);
            let mut lacking = lacking.iter();
            lacking.any(|model| host.is_some_and(|host| host.can_join(&model.model)))
        };
        let usable = |model: &EngineModel| {
            let is_planned = filled(model) < 1.0;
            let mut able = able(model);
            able.retain(|id| is_planned || !is_left(id));
            able
        };
        let may = |model: &&EngineModel| {
            // Beyond the plan, hosts form replicas only while some stay in reserve.
            let is_planned = filled(model) < 1.0;
            let needed = model.width
                + if is_planned {
                    0
                } else {
                    self.cfg.reserve_hosts
                };
            0 < model.width && needed <= usable(model).len()
        };
        let fitting = engine.models.iter().filter(may);
        let model = fitting.min_by(|a, b| filled(a).total_cmp(&filled(b)))?;
        let mut hosts = usable(model);
        hosts.sort_by_key(|id| {
            let host = self.hosts.get(id);
            let is_warm = host.is_some_and(|host| host.warm.as_ref() == Some(&model.model));
            let others = engine.models.iter().filter(|other| {
                other.model != model.model && host.is_some_and(|h| h.can_join(&other.model))
            });
            (!is_warm, others.count())
        });
        hosts.truncate(model.width);
        Some((model.model.clone(), hosts))
    }

    fn join(
        &mut self,
        purpose: Purpose,
        service: &ServiceName,
        model: &ModelName,
        hosts: Vec<UpstreamId>,
        now: Time,
    ) -> Vec<Order> {
        let epoch = self.next_epoch();
        let Some(name) = name_of(purpose, epoch, model) else {
            return Vec::new();
        };
        let lives = hosts
            .iter()
            .filter_map(|id| Some((id.clone(), self.hosts.get(id)?.said.incarnation)));
        let mut lives: Vec<_> = lives.collect();
        let head = (!lives.is_empty()).then(|| lives.remove(0));
        let replica = Replica {
            name: name.clone(),
            epoch,
            service: service.clone(),
            model: model.clone(),
            head,
            others: lives,
            phase: match purpose {
                Purpose::Serve => Phase::Joining,
                Purpose::KeepWarm => Phase::Ended,
            },
            since: now,
            ordered: now,
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
            .filter_map(|id| self.order(id, action.clone(), now))
            .collect()
    }

    /// Has free hosts join a replica of their own that never opens, so that they join the
    /// next one of that model sooner.
    fn warm_all(&mut self, service: &ServiceName, now: Time) -> Vec<Order> {
        let mut orders = Vec::new();
        for id in self.free_by_home(service, now).into_values().flatten() {
            let host = self.hosts.get(&id);
            let Some(host) = host.filter(|h| h.warm.is_none() && h.staging.is_none()) else {
                continue;
            };
            if let Some(model) = host.staged().last().cloned() {
                orders.extend(self.warm(service, &model, &id, now));
            }
        }
        orders
    }

    /// Has free hosts leave replicas that have ended, so that a later controller, which only
    /// knows what hosts report, does not wait for the first hosts of those.
    fn leave_all(&mut self, service: &ServiceName, now: Time) -> Vec<Order> {
        let mut orders = Vec::new();
        for id in self.free_by_home(service, now).into_values().flatten() {
            let place = self.hosts.get(&id).and_then(Host::place).cloned();
            let Some(place) = place.filter(|place| is_to_serve(&place.replica)) else {
                continue;
            };
            // It may be free only for a moment.
            let ended = self.replicas.get(&place.epoch).map(|replica| replica.since);
            if ended.is_none_or(|since| now < since + self.cfg.effect_timeout) {
                continue;
            }
            let action = Action::Leave {
                replica: place.replica,
                epoch: place.epoch,
            };
            orders.extend(self.order(&id, action, now));
        }
        orders
    }

    fn warm(
        &mut self,
        service: &ServiceName,
        model: &ModelName,
        id: &UpstreamId,
        now: Time,
    ) -> Vec<Order> {
        let orders = self.join(Purpose::KeepWarm, service, model, vec![id.clone()], now);
        if let Some(host) = self.hosts.get_mut(id) {
            // Taken as warm from now on, so that it isn't told twice.
            host.warm = Some(model.clone());
        }
        orders
    }
}

/// The fabric domain of a host.
pub(crate) fn domain(host: &Host) -> FabricDomain {
    let engine = host.said.engine.as_ref();
    let domain = engine.and_then(|engine| engine.domain.clone());
    (host.said.centre.clone(), domain)
}
