//! Decides which model a host without a replica stages, and when.

use crate::Controller;
use crate::Layout;
use crate::Order;
use crate::host::Host;
use crate::host_counts::HostCounts;
use crate::host_counts::ReplicaCounts;
use crate::order::Action;
use crate::place::domain;
use base::ModelName;
use base::ServiceName;
use base::Time;
use base::UpstreamId;
use fleet::EngineConfig;
use fleet::EngineModel;

/// A model is loaded wherever it fits once it has fewer hosts for its plan than another, by
/// this part.
const SCARCE: f64 = 0.1;

impl Controller {
    /// Stages a model at hosts without one. Before traffic, warm hosts stage one that they
    /// are not warm for, so that they can join replicas of either.
    pub(crate) fn stage_all(
        &mut self,
        service: &ServiceName,
        engine: &EngineConfig,
        layout: &Layout,
        now: Time,
    ) -> Vec<Order> {
        let mut orders = Vec::new();
        let mut left = self.loads_left(engine, now);
        let mut hosts: Vec<_> = self.hosts.keys().cloned().collect();
        let has_model = |id: &UpstreamId| self.hosts.get(id).is_some_and(|h| h.model().is_some());
        hosts.sort_by_key(has_model);
        let mut kept = self.kept(service, now);
        let formed = self.formed(service);
        for id in hosts {
            if left == 0 {
                break;
            }
            let host = self
                .hosts
                .get(&id)
                .filter(|h| self.may_stage(h, service, now));
            let model = host.and_then(|host| self.to_stage(host, engine, layout, &kept, &formed));
            let was_counted = host.is_some_and(|host| host.warm.is_some());
            let Some(order) = model.and_then(|model| self.stage(&id, &model, now)) else {
                continue;
            };
            left -= 1;
            orders.push(order);
            if let Some(host) = self.hosts.get(&id).filter(|_| !was_counted) {
                kept.add(host);
            }
        }
        orders
    }

    /// Whether a host can be told to stage a model.
    fn may_stage(&self, host: &Host, service: &ServiceName, now: Time) -> bool {
        host.is_well(self.cfg.silence_limit, now)
            && host.said.service == *service
            && host.staging.is_none()
    }

    /// The model that a host is to stage, if any.
    fn to_stage(
        &self,
        host: &Host,
        engine: &EngineConfig,
        layout: &Layout,
        kept: &HostCounts,
        formed: &ReplicaCounts,
    ) -> Option<ModelName> {
        match (host.staged().last(), &host.warm) {
            (None, _) => lacking(host, engine, layout, kept),
            // Once loads take their time they are left to hosts without a model.
            (Some(staged), Some(warm)) if staged == warm && !self.has_traffic => {
                let others = engine.models.iter().filter(|model| model.model != *warm);
                let filled = |model: &EngineModel| formed.filled(model, layout);
                let other = others.min_by(|a, b| filled(a).total_cmp(&filled(b)))?;
                Some(other.model.clone())
            }
            _ => None,
        }
    }

    /// An order to stage a model, counted as a load.
    fn stage(&mut self, id: &UpstreamId, model: &ModelName, now: Time) -> Option<Order> {
        let action = Action::Stage {
            model: model.clone(),
        };
        let order = self.order(id, action, now)?;
        self.loads.record_start(now);
        if let Some(host) = self.hosts.get_mut(id) {
            host.staging = Some((model.clone(), now));
        }
        Some(order)
    }

    /// LoadWindow that may begin now. More at once would only take longer. Before traffic they
    /// neither count nor take long.
    fn loads_left(&mut self, engine: &EngineConfig, now: Time) -> usize {
        if !self.has_traffic {
            return usize::MAX;
        }
        let window = self.cfg.load_window;
        let most = engine.load_rate * window.as_secs_f64() * self.cfg.load_rate_share;
        let left = self.loads.remaining(most as usize, window, now);
        let under_way = self.hosts.values().filter(|host| host.staging.is_some());
        let at_once = engine.max_parallel_loads.saturating_sub(under_way.count());
        left.min(at_once)
    }
}

/// The model for a host without one: what its domain lacks most, among those that have
/// the least hosts for their plan.
fn lacking(
    host: &Host,
    engine: &EngineConfig,
    layout: &Layout,
    kept: &HostCounts,
) -> Option<ModelName> {
    let home = domain(host);
    let planned = layout.hosts.get(&home);
    let lack = |model: &EngineModel| {
        let planned = planned.and_then(|planned| planned.get(&model.model));
        planned.copied().unwrap_or(0) as i64 - kept.at(&home, &model.model) as i64
    };
    let supplied = |model: &EngineModel| kept.supplied(model, layout);
    let all = engine.models.iter().map(supplied);
    let least = all.fold(f64::INFINITY, f64::min);
    let scarce = engine.models.iter();
    let scarce = scarce.filter(|model| supplied(model) <= least + SCARCE);
    let most = scarce.max_by_key(|model| lack(model))?;
    Some(most.model.clone())
}
