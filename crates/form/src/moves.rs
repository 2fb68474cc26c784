//! Makes way for a model that lacks a replica where its hosts are scattered.
//!
//! Losses leave a few hosts over in each domain. Where they are too few for a wide
//! replica, a narrower one of the domain ends, and its hosts complete them. The narrower
//! one is formed again from what is left over elsewhere.

use std::collections::BTreeMap;

use crate::Controller;
use crate::Layout;
use crate::layout::Home;
use crate::place::domain;
use crate::replica::Phase;
use crate::replica::Replica;
use base::Fence;
use base::ModelName;
use base::ServiceName;
use base::Time;
use base::UpstreamId;
use fleet::Engine;
use fleet::EngineModel;

/// A model counts as served much better than another one beyond this difference of the
/// parts of their plans that stand.
const MUCH_BETTER: f64 = 0.3;

impl Controller {
    /// Ends a replica of another model for the neediest model that has lacked one for long.
    pub(crate) fn make_way(
        &mut self,
        service: &ServiceName,
        engine: &Engine,
        layout: &Layout,
        now: Time,
    ) {
        let Some(model) = self.lacking(service, engine, layout) else {
            self.lacking.retain(|(of, _), _| of != service);
            return;
        };
        let key = (service.clone(), model.model.clone());
        self.lacking.retain(|other, _| *other == key);
        let since = *self.lacking.entry(key.clone()).or_insert(now);
        if now < since + self.cfg.move_after || self.is_any_closing(service) {
            return;
        }
        let free = self.free_by_home(service, now);
        let Some(epoch) = self.to_end(service, engine, model, layout, &free) else {
            return;
        };
        if let Some(replica) = self.replicas.get_mut(&epoch) {
            replica.enter(Phase::Closing(now + self.cfg.drain), now);
            self.lacking.remove(&key);
        }
    }

    /// The neediest model that lacks a replica.
    fn lacking<'a>(
        &self,
        service: &ServiceName,
        engine: &'a Engine,
        layout: &Layout,
    ) -> Option<&'a EngineModel> {
        let filled = |model: &EngineModel| self.filled(service, model, layout);
        let lacking = engine.models.iter().filter(|model| filled(model) < 1.0);
        lacking.min_by(|a, b| filled(a).total_cmp(&filled(b)))
    }

    /// One at a time: what is ending may bring the hosts that are needed.
    fn is_any_closing(&self, service: &ServiceName) -> bool {
        let mut of = self.replicas.values().filter(|r| r.service == *service);
        of.any(|replica| {
            let reached = replica.head.as_ref().and_then(|(id, _)| self.hosts.get(id));
            let is_reached = reached.is_some_and(|host| host.lost.is_none());
            is_reached && matches!(replica.phase, Phase::Closing(_))
        })
    }

    /// The narrowest replica whose hosts complete the free ones of its domain.
    fn to_end(
        &self,
        service: &ServiceName,
        engine: &Engine,
        model: &EngineModel,
        layout: &Layout,
        free: &BTreeMap<Home, Vec<UpstreamId>>,
    ) -> Option<Fence> {
        let mine = self.filled(service, model, layout);
        let able = |id: &UpstreamId, model: &ModelName| {
            self.hosts.get(id).is_some_and(|host| host.can_join(model))
        };
        let can_spare = |replica: &Replica| {
            let Some(other) = engine.model(&replica.model) else {
                return false;
            };
            let elsewhere = free.values().any(|hosts| {
                let able = hosts.iter().filter(|id| able(id, &other.model));
                other.width <= able.count()
            });
            let is_narrower = other.width < model.width;
            let theirs = self.filled(service, other, layout);
            is_narrower && (elsewhere || mine + MUCH_BETTER < theirs)
        };
        let completes = |replica: &Replica| {
            let home = replica.hosts().find_map(|(id, _)| self.hosts.get(id));
            let hosts = home.and_then(|host| free.get(&domain(host)));
            let free = hosts.into_iter().flatten();
            let own = replica.hosts().map(|(id, _)| id);
            let able = free.chain(own).filter(|id| able(id, &model.model));
            model.width <= able.count()
        };
        let mut serving: Vec<&Replica> = self
            .replicas
            .values()
            .filter(|r| r.service == *service && r.model != model.model)
            .filter(|r| r.phase == Phase::Serving)
            .collect();
        serving.sort_by_key(|replica| replica.hosts().count());
        let of = serving.into_iter().find(|r| can_spare(r) && completes(r))?;
        Some(of.epoch)
    }
}
