//! Decides which free hosts form a replica, and which model a free host stages.

use std::collections::BTreeMap;

use crate::Controller;
use crate::Layout;
use crate::Order;
use crate::host::Host;
use crate::layout::Home;
use crate::order::Action;
use crate::replica::Phase;
use crate::replica::Replica;
use base::ModelName;
use base::ServiceName;
use base::Time;
use base::UpstreamId;
use fleet::Engine;
use fleet::EngineModel;

/// Free hosts of one domain by the model that they keep staged.
type Free = BTreeMap<ModelName, Vec<UpstreamId>>;

impl Controller {
    /// Forms what can be formed from staged hosts, and stages models at hosts without one.
    pub(crate) fn place(&mut self, now: Time) -> Vec<Order> {
        let services: Vec<_> = self.engines.clone().into_iter().collect();
        let mut orders = Vec::new();
        for (service, engine) in services {
            let layout = self.layout(&service, &engine, now);
            orders.extend(self.form_all(&service, &engine, &layout, now));
            orders.extend(self.stage_all(&service, &engine, &layout, now));
            orders.extend(self.restage(&service, &engine, &layout, now));
            orders.extend(self.warm_all(&service, now));
        }
        orders
    }

    /// Hosts that belong to no replica and can be ordered.
    pub(crate) fn free_hosts(&self, now: Time) -> Vec<UpstreamId> {
        let mut bound = std::collections::BTreeSet::new();
        for replica in self.replicas.values().filter(|r| r.holds_hosts()) {
            bound.extend(replica.hosts());
        }
        let ended = |host: &Host| {
            let epoch = host.place().map(|place| place.epoch);
            let replica = epoch.map(|epoch| self.replicas.get(&epoch));
            replica.is_none_or(|replica| replica.is_some_and(|r| !r.holds_hosts()))
        };
        let free = self.hosts.iter().filter(|(id, host)| {
            let can_be_ordered = host.order.is_none() && host.rest_until <= now;
            host.is_well(self.cfg.silent, now)
                && can_be_ordered
                && !bound.contains(&((*id).clone(), host.said.life))
                && ended(host)
        });
        free.map(|(id, _)| id.clone()).collect()
    }

    fn layout(&self, service: &ServiceName, engine: &Engine, now: Time) -> Layout {
        let mut domains: BTreeMap<Home, usize> = BTreeMap::new();
        let of = self
            .hosts
            .values()
            .filter(|host| host.said.service == *service);
        for host in of.filter(|host| host.is_well(self.cfg.silent, now)) {
            *domains.entry(domain(host)).or_default() += 1;
        }
        Layout::of(&engine.models, &domains, &self.work, self.cfg.spare_share)
    }

    /// How many replicas of a model there are or will be.
    fn have(&self, service: &ServiceName, model: &ModelName) -> usize {
        let of = |r: &&Replica| r.service == *service && r.model == *model;
        self.replicas
            .values()
            .filter(of)
            .filter(|r| r.counts())
            .count()
    }

    fn form_all(
        &mut self,
        service: &ServiceName,
        engine: &Engine,
        layout: &Layout,
        now: Time,
    ) -> Vec<Order> {
        let mut orders = Vec::new();
        for mut free in self.staged_free(service, now).into_values() {
            while let Some(model) = self.to_form(service, engine, layout, &free) {
                let hosts = free.entry(model.model.clone()).or_default();
                let hosts: Vec<_> = hosts.drain(..model.width).collect();
                orders.extend(self.join(service, &model.model, hosts, now));
            }
        }
        orders
    }

    /// Free hosts by domain and by the model that they keep, those first that had a part
    /// in a replica of it, for they join sooner.
    fn staged_free(&self, service: &ServiceName, now: Time) -> BTreeMap<Home, Free> {
        let mut all: BTreeMap<Home, Free> = BTreeMap::new();
        for id in self.free_hosts(now) {
            let Some(host) = self.hosts.get(&id).filter(|h| h.said.service == *service) else {
                continue;
            };
            if host.staging.is_some() {
                continue;
            }
            let Some(model) = host.staged().last() else {
                continue;
            };
            let free = all.entry(domain(host)).or_default();
            let hosts = free.entry(model.clone()).or_default();
            match host.place() {
                Some(_) => hosts.insert(0, id),
                None => hosts.push(id),
            }
        }
        all
    }

    /// The model that is to get a replica from these hosts, the neediest first.
    fn to_form<'a>(
        &self,
        service: &ServiceName,
        engine: &'a Engine,
        layout: &Layout,
        free: &Free,
    ) -> Option<&'a EngineModel> {
        let fits = |model: &&EngineModel| {
            let hosts = free.get(&model.model).map_or(0, Vec::len);
            0 < model.width && model.width <= hosts
        };
        let filled = |model: &EngineModel| {
            let want = layout.replicas.get(&model.model).copied().unwrap_or(0);
            self.have(service, &model.model) as f64 / want.max(1) as f64
        };
        let wanted = engine
            .models
            .iter()
            .filter(fits)
            .filter(|m| filled(m) < 1.0);
        wanted.min_by(|a, b| filled(a).total_cmp(&filled(b)))
    }

    fn join(
        &mut self,
        service: &ServiceName,
        model: &ModelName,
        hosts: Vec<UpstreamId>,
        now: Time,
    ) -> Vec<Order> {
        let epoch = self.next_epoch();
        let Ok(name) = format!("r{}", epoch.0).parse::<base::ReplicaName>() else {
            return Vec::new();
        };
        let lives = hosts
            .iter()
            .filter_map(|id| Some((id.clone(), self.hosts.get(id)?.said.life)));
        let mut lives: Vec<_> = lives.collect();
        let head = (!lives.is_empty()).then(|| lives.remove(0));
        let replica = Replica {
            name: name.clone(),
            epoch,
            service: service.clone(),
            model: model.clone(),
            head,
            others: lives,
            phase: Phase::Joining,
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

    fn stage_all(
        &mut self,
        service: &ServiceName,
        engine: &Engine,
        layout: &Layout,
        now: Time,
    ) -> Vec<Order> {
        let mut orders = Vec::new();
        let mut left = self.loads_left(engine, now);
        let empty: Vec<_> = self
            .free_hosts(now)
            .into_iter()
            .filter(|id| {
                let host = self.hosts.get(id);
                host.is_some_and(|h| h.said.service == *service && h.model().is_none())
            })
            .collect();
        for id in empty {
            if left == 0 {
                break;
            }
            let Some(model) = self.to_stage(&id, engine, layout, now) else {
                continue;
            };
            if let Some(order) = self.stage(&id, &model, now) {
                left -= 1;
                orders.push(order);
            }
        }
        orders
    }

    /// Stages models anew where enough hosts are free for a replica, but not of one model.
    /// The model is the one that lacks most for what it needs staged.
    fn restage(
        &mut self,
        service: &ServiceName,
        engine: &Engine,
        layout: &Layout,
        now: Time,
    ) -> Vec<Order> {
        let mut orders = Vec::new();
        let staged = self.staged_free(service, now);
        let homes: Vec<Home> = staged.keys().cloned().collect();
        self.stranded
            .retain(|(of, home), _| of != service || homes.contains(home));
        for (home, free) in staged {
            let key = (service.clone(), home.clone());
            let Some((model, hosts)) = self.to_restage(service, engine, layout, &home, &free)
            else {
                self.stranded.remove(&key);
                continue;
            };
            let since = *self.stranded.entry(key).or_insert(now);
            if now < since + self.cfg.stranded || self.loads_left(engine, now) < hosts.len() {
                continue;
            }
            for id in hosts {
                orders.extend(self.stage(&id, &model, now));
            }
        }
        orders
    }

    /// The model and the hosts that are to stage it in place of another one.
    fn to_restage(
        &self,
        service: &ServiceName,
        engine: &Engine,
        layout: &Layout,
        home: &Home,
        free: &Free,
    ) -> Option<(ModelName, Vec<UpstreamId>)> {
        let all: usize = free.values().map(Vec::len).sum();
        let coming = self
            .hosts
            .values()
            .filter(|host| domain(host) == *home && host.said.service == *service);
        let coming: Vec<&ModelName> = coming
            .filter_map(|host| host.staging.as_ref().map(|(model, _)| model))
            .collect();
        let filled = |model: &EngineModel| {
            let want = layout.replicas.get(&model.model).copied().unwrap_or(0);
            self.have(service, &model.model) as f64 / want.max(1) as f64
        };
        let lacks = |model: &&EngineModel| {
            let here = free.get(&model.model).map_or(0, Vec::len);
            let soon = coming.iter().filter(|m| **m == &model.model).count();
            filled(model) < 1.0 && here + soon < model.width && model.width <= all + soon
        };
        let lacking = engine.models.iter().filter(lacks);
        let model = lacking.min_by(|a, b| filled(a).total_cmp(&filled(b)))?;
        let here = free.get(&model.model).map_or(0, Vec::len);
        let soon = coming.iter().filter(|m| **m == &model.model).count();
        let missing = model.width - here - soon;
        // The most numerous ones go first: they are the likeliest to be left over.
        let mut others: Vec<_> = free.iter().filter(|(m, _)| **m != model.model).collect();
        others.sort_by_key(|(_, hosts)| std::cmp::Reverse(hosts.len()));
        let hosts = others.into_iter().flat_map(|(_, hosts)| hosts.iter().rev());
        let hosts: Vec<_> = hosts.take(missing).cloned().collect();
        (hosts.len() == missing).then(|| (model.model.clone(), hosts))
    }

    /// Has free hosts join a replica of their own that never opens, so that they join the
    /// next one of that model sooner.
    fn warm_all(&mut self, service: &ServiceName, now: Time) -> Vec<Order> {
        let mut orders = Vec::new();
        for free in self.staged_free(service, now).into_values() {
            for (model, hosts) in free {
                for id in hosts {
                    let host = self.hosts.get(&id);
                    let is_warm = host.is_none_or(|host| host.warm.as_ref() == Some(&model));
                    if !is_warm {
                        orders.extend(self.warm(service, &model, &id, now));
                    }
                }
            }
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
        let orders = self.join(service, model, vec![id.clone()], now);
        let last = self.replicas.last_entry();
        if let Some(mut last) = last {
            last.get_mut().enter(Phase::Ended, now);
        }
        if let Some(host) = self.hosts.get_mut(id) {
            // Taken as warm from now on, so that it isn't told twice.
            host.warm = Some(model.clone());
        }
        orders
    }

    /// An order to stage a model, counted as a load.
    fn stage(&mut self, id: &UpstreamId, model: &ModelName, now: Time) -> Option<Order> {
        let action = Action::Stage {
            model: model.clone(),
        };
        let order = self.order(id, action, now)?;
        self.loads.begin(now);
        if let Some(host) = self.hosts.get_mut(id) {
            host.staging = Some((model.clone(), now));
        }
        Some(order)
    }

    /// Loads that may begin now. Before traffic they neither count nor take long.
    fn loads_left(&mut self, engine: &Engine, now: Time) -> usize {
        if !self.has_traffic {
            return usize::MAX;
        }
        let window = self.cfg.load_window;
        let most = engine.load_rate * window.as_secs_f64() * self.cfg.load_share;
        self.loads.left(most as usize, window, now)
    }

    /// The model for a host without one: what completes hosts of its domain that are
    /// left over, else what the domain lacks most.
    fn to_stage(
        &self,
        id: &UpstreamId,
        engine: &Engine,
        layout: &Layout,
        now: Time,
    ) -> Option<ModelName> {
        let home = domain(self.hosts.get(id)?);
        let mut kept: BTreeMap<&ModelName, usize> = BTreeMap::new();
        for host in self.hosts.values().filter(|host| domain(host) == home) {
            if let Some(model) = host.model().filter(|_| host.is_well(self.cfg.silent, now)) {
                *kept.entry(model).or_default() += 1;
            }
        }
        let planned = layout.hosts.get(&home);
        let lack = |model: &EngineModel| {
            let planned = planned.and_then(|planned| planned.get(&model.model));
            let planned = planned.copied().unwrap_or(0) as i64;
            planned - kept.get(&model.model).copied().unwrap_or(0) as i64
        };
        let most = engine.models.iter().max_by_key(|model| lack(model))?;
        Some(most.model.clone())
    }
}

fn domain(host: &Host) -> Home {
    let engine = host.said.engine.as_ref();
    let domain = engine.and_then(|engine| engine.domain.clone());
    (host.said.centre.clone(), domain)
}
