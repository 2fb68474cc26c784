//! Exchanges replicas of one model for replicas of another that its requests need more.
//!
//! The answer for losses that hit one model, and for traffic that turns from one model to the
//! other: a replica is drained, so that its hosts, with those that are free in its domain,
//! form others. An exchange is made only if what it gains in the time that it probably lasts
//! exceeds what is lost while the hosts serve nobody.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::Controller;
use crate::layout::FabricDomain;
use crate::place::domain_of;
use crate::replica::Phase;
use crate::replica::Replica;
use crate::supply::Supply;
use base::Fence;
use base::ModelName;
use base::ServiceName;
use base::Time;
use base::UpstreamId;
use fleet::EngineConfig;
use fleet::EngineModel;

/// How long an exchange is expected to pay off, until losses or traffic change the mix again.
const HORIZON: Duration = Duration::from_secs(12);

/// How long a replica may take to finish its requests. Longer answers go on elsewhere.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(3_500);

/// The time between two exchanges, in which the effect of the first one shows.
const INTERVAL: Duration = Duration::from_secs(1);

/// The least gain of an exchange, as a part of the worth if everything were served in time.
/// Against exchanges that follow the noise of the measured demand.
const MIN_GAIN: f64 = 0.02;

/// Replicas of a domain that are ended so that their hosts form others.
struct Exchange {
    ended: Vec<Fence>,
    /// The gain over the time that it probably lasts, as a part of the greatest possible worth.
    gain: f64,
}

impl Controller {
    /// Whether it is time to look for an exchange. If so, records that it was done.
    pub(crate) fn take_exchange_turn(&mut self, now: Time) -> bool {
        let has_observed = self.has_traffic && !self.busy_replicas.is_empty();
        let is_due = self.last_exchange_at + INTERVAL <= now;
        if !has_observed || !is_due || self.has_draining_replicas() {
            return false;
        }
        self.last_exchange_at = now;
        true
    }

    /// Begins the exchange of a service's replicas that gains most, if one is worth it.
    pub(crate) fn exchange_replicas(
        &mut self,
        service: &ServiceName,
        engine: &EngineConfig,
        now: Time,
    ) {
        let supply = self.supply(service, engine);
        let mut free = self.free_hosts_by_domain(service, now);
        let mut best: Option<Exchange> = None;
        for (domain, replicas) in self.serving_by_domain(service) {
            let free = free.remove(&domain).unwrap_or_default();
            for ended in choices(&replicas) {
                let gain = self.gain_of(engine, &supply, &free, &ended);
                if best.as_ref().is_none_or(|best| best.gain < gain) {
                    let ended = ended.iter().map(|replica| replica.epoch).collect();
                    best = Some(Exchange { ended, gain });
                }
            }
        }
        let Some(best) = best.filter(|best| MIN_GAIN <= best.gain) else {
            return;
        };
        for epoch in best.ended {
            if let Some(replica) = self.replicas.get_mut(&epoch) {
                replica.enter_phase(Phase::Draining(now + MAX_DRAIN_TIME), now);
            }
        }
    }

    /// The domains in which replicas drain. Their free hosts wait for those of the replicas.
    pub(crate) fn draining_domains(&self) -> BTreeSet<FabricDomain> {
        let draining = self
            .replicas
            .values()
            .filter(|replica| matches!(replica.phase, Phase::Draining(_)));
        draining
            .filter_map(|replica| self.domain_of_replica(replica))
            .collect()
    }

    /// The replicas that serve or are being formed, beside the demand.
    fn supply<'a>(&self, service: &ServiceName, engine: &'a EngineConfig) -> Supply<'a> {
        let mut supply = Supply::new(&engine.models, &self.busy_replicas);
        let replicas = self.replicas.values().filter(|r| r.service == *service);
        for replica in replicas.filter(|replica| replica.is_serving_or_forming()) {
            supply.add(&replica.model);
        }
        supply
    }

    fn serving_by_domain(&self, service: &ServiceName) -> BTreeMap<FabricDomain, Vec<&Replica>> {
        let mut by_domain: BTreeMap<FabricDomain, Vec<&Replica>> = BTreeMap::new();
        let serving = self
            .replicas
            .values()
            .filter(|replica| replica.service == *service && replica.phase == Phase::Serving);
        for replica in serving {
            if let Some(domain) = self.domain_of_replica(replica) {
                by_domain.entry(domain).or_default().push(replica);
            }
        }
        by_domain
    }

    fn domain_of_replica(&self, replica: &Replica) -> Option<FabricDomain> {
        let (head, _) = replica.head.as_ref()?;
        self.hosts.get(head).map(domain_of)
    }

    /// What is gained by ending replicas and forming others from their hosts and free ones, as
    /// a part of the greatest possible worth.
    fn gain_of(
        &self,
        engine: &EngineConfig,
        supply: &Supply<'_>,
        free: &[UpstreamId],
        ended: &[&Replica],
    ) -> f64 {
        let mut without = supply.clone();
        let mut hosts = free.to_vec();
        for replica in ended {
            without.remove(&replica.model);
            hosts.extend(replica.hosts().map(|(id, _)| id.clone()));
        }
        let mut after = without.clone();
        let mut pause = Duration::ZERO;
        while let Some((model, chosen)) = self.most_valuable_replica(engine, &hosts, &after) {
            hosts.retain(|id| !chosen.contains(id));
            after.add(&model);
            pause = pause.max(self.join_time(engine, &model, &chosen));
        }
        let pause = (MAX_DRAIN_TIME / 2 + pause + engine.open_time).min(HORIZON);
        let gained = (after.worth() - supply.worth()) * (HORIZON - pause).as_secs_f64();
        let lost = (supply.worth() - without.worth()) * pause.as_secs_f64();
        (gained - lost) / (HORIZON.as_secs_f64() * supply.greatest_worth())
    }

    /// The model of the next replica to form from the free hosts of a domain, and its hosts. The
    /// model is the one of which a further replica is worth most.
    fn most_valuable_replica(
        &self,
        engine: &EngineConfig,
        free: &[UpstreamId],
        supply: &Supply<'_>,
    ) -> Option<(ModelName, Vec<UpstreamId>)> {
        let joinable = |model: &EngineModel| self.joinable_hosts(free, model);
        let can_form =
            |model: &&EngineModel| 0 < model.width && model.width <= joinable(model).len();
        let candidates = engine.models.iter().filter(can_form);
        let gain = |model: &EngineModel| supply.gain_per_host(model);
        let model = candidates.max_by(|a, b| gain(a).total_cmp(&gain(b)))?;
        let hosts = self.first_joiners(engine, model, joinable(model));
        Some((model.model.clone(), hosts))
    }

    /// How long hosts take to join a replica of a model.
    fn join_time(
        &self,
        engine: &EngineConfig,
        model: &ModelName,
        hosts: &[UpstreamId],
    ) -> Duration {
        let is_warm = |id: &UpstreamId| {
            let host = self.hosts.get(id);
            host.is_some_and(|host| host.warm_model.as_ref() == Some(model))
        };
        let model = engine.model(model).filter(|_| !hosts.iter().all(is_warm));
        model.map(|model| model.join_time).unwrap_or_default()
    }
}

/// The sets of replicas that an exchange may end: single ones, and pairs of one model.
fn choices<'a>(replicas: &[&'a Replica]) -> Vec<Vec<&'a Replica>> {
    let mut choices: Vec<Vec<&Replica>> = replicas.iter().map(|replica| vec![*replica]).collect();
    for (at, first) in replicas.iter().enumerate() {
        let others = replicas[at + 1..].iter();
        let pairs = others.filter(|second| second.model == first.model);
        choices.extend(pairs.map(|second| vec![*first, *second]));
    }
    choices
}
