//! Decides which model a host stages, and when.

use crate::Controller;
use crate::Layout;
use crate::Order;
use crate::host::Host;
use crate::host_counts::HostCounts;
use crate::host_counts::ReplicaCounts;
use crate::order::Action;
use crate::place::domain_of;
use base::ModelName;
use base::ServiceName;
use base::Time;
use base::UpstreamId;
use fleet::EngineConfig;
use fleet::EngineModel;

/// Models whose ratio of hosts to planned hosts exceeds the lowest one by at most this count
/// as equally scarce. The scarcest ones are staged even where their domain needs others more.
const SCARCITY_TOLERANCE: f64 = 0.1;

impl Controller {
    /// Orders hosts without a model to stage one. Before traffic begins, warm hosts stage a
    /// second model, so that they can join replicas of either.
    pub(crate) fn stage_models(
        &mut self,
        service: &ServiceName,
        engine: &EngineConfig,
        layout: &Layout,
        now: Time,
    ) -> Vec<Order> {
        let mut orders = Vec::new();
        let mut loads_left = self.loads_allowed_now(engine, now);
        let mut hosts: Vec<_> = self.hosts.keys().cloned().collect();
        let has_model = |id: &UpstreamId| {
            self.hosts
                .get(id)
                .is_some_and(|h| h.staged_or_staging_model().is_some())
        };
        hosts.sort_by_key(has_model);
        let mut host_counts = self.host_counts(service, now);
        let replica_counts = self.replica_counts(service);
        for id in hosts {
            if loads_left == 0 {
                break;
            }
            let host = self
                .hosts
                .get(&id)
                .filter(|h| self.may_stage(h, service, now));
            let model = host.and_then(|host| {
                self.model_to_stage(host, engine, layout, &host_counts, &replica_counts)
            });
            let was_counted = host.is_some_and(|host| host.warm_model.is_some());
            let Some(order) = model.and_then(|model| self.order_stage(&id, &model, now)) else {
                continue;
            };
            loads_left -= 1;
            orders.push(order);
            if let Some(host) = self.hosts.get(&id).filter(|_| !was_counted) {
                host_counts.add(host);
            }
        }
        orders
    }

    fn may_stage(&self, host: &Host, service: &ServiceName, now: Time) -> bool {
        host.is_available(self.cfg.silence_limit, now)
            && host.announcement.service == *service
            && host.staging.is_none()
    }

    fn model_to_stage(
        &self,
        host: &Host,
        engine: &EngineConfig,
        layout: &Layout,
        host_counts: &HostCounts,
        replica_counts: &ReplicaCounts,
    ) -> Option<ModelName> {
        match (host.staged().last(), &host.warm_model) {
            (None, _) => most_lacking_model(host, engine, layout, host_counts),
            // Loads are slow once traffic has begun, so they are left to hosts without a model.
            (Some(staged), Some(warm)) if staged == warm && !self.has_traffic => {
                let others = engine.models.iter().filter(|model| model.model != *warm);
                let fill_ratio = |model: &EngineModel| replica_counts.fill_ratio(model, layout);
                let other = others.min_by(|a, b| fill_ratio(a).total_cmp(&fill_ratio(b)))?;
                Some(other.model.clone())
            }
            _ => None,
        }
    }

    /// Issues an order to stage a model and counts the load.
    fn order_stage(&mut self, id: &UpstreamId, model: &ModelName, now: Time) -> Option<Order> {
        let action = Action::Stage {
            model: model.clone(),
        };
        let order = self.issue_order(id, action, now)?;
        self.load_window.record_start(now);
        if let Some(host) = self.hosts.get_mut(id) {
            host.staging = Some((model.clone(), now));
        }
        Some(order)
    }

    /// How many loads may begin now. More parallel loads would only take longer each. Before
    /// traffic begins, loads neither take long nor count.
    fn loads_allowed_now(&mut self, engine: &EngineConfig, now: Time) -> usize {
        if !self.has_traffic {
            return usize::MAX;
        }
        let window = self.cfg.load_window;
        let limit = engine.load_rate * window.as_secs_f64() * self.cfg.load_rate_share;
        let in_window = self.load_window.remaining(limit as usize, window, now);
        let under_way = self.hosts.values().filter(|host| host.staging.is_some());
        let in_parallel = engine.max_parallel_loads.saturating_sub(under_way.count());
        in_window.min(in_parallel)
    }
}

/// The model for a host without one: of the scarcest models, the one that lacks the most hosts
/// in the host's domain.
fn most_lacking_model(
    host: &Host,
    engine: &EngineConfig,
    layout: &Layout,
    host_counts: &HostCounts,
) -> Option<ModelName> {
    let domain = domain_of(host);
    let planned = layout.hosts.get(&domain);
    let missing_hosts = |model: &EngineModel| {
        let planned = planned.and_then(|planned| planned.get(&model.model));
        planned.copied().unwrap_or(0) as i64 - host_counts.in_domain(&domain, &model.model) as i64
    };
    let supply_ratio = |model: &EngineModel| host_counts.supply_ratio(model, layout);
    let ratios = engine.models.iter().map(supply_ratio);
    let least = ratios.fold(f64::INFINITY, f64::min);
    let scarce = engine.models.iter();
    let scarce = scarce.filter(|model| supply_ratio(model) <= least + SCARCITY_TOLERANCE);
    let scarcest = scarce.max_by_key(|model| missing_hosts(model))?;
    Some(scarcest.model.clone())
}
