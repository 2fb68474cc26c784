//! Counts over all hosts and replicas of a service, made once for each look at them.

use std::collections::BTreeMap;

use crate::Controller;
use crate::Layout;
use crate::host::Host;
use crate::layout::FabricDomain;
use crate::layout::HostsByModel;
use crate::place::domain;
use base::ModelName;
use base::ServiceName;
use base::Time;
use fleet::EngineModel;

/// Hosts that serve a model, or that keep it and serve none.
#[derive(Clone, Debug, Default)]
pub(crate) struct HostCounts {
    homes: HostsByModel,
    all: BTreeMap<ModelName, usize>,
}

impl HostCounts {
    /// Counts a host in for what it is warm for, else for what it keeps or stages.
    pub fn add(&mut self, host: &Host) {
        let Some(model) = host.warm.as_ref().or_else(|| host.model()) else {
            return;
        };
        let here = self.homes.entry(domain(host)).or_default();
        *here.entry(model.clone()).or_default() += 1;
        *self.all.entry(model.clone()).or_default() += 1;
    }

    /// Hosts of a domain.
    pub fn at(&self, home: &FabricDomain, model: &ModelName) -> usize {
        let here = self.homes.get(home).and_then(|here| here.get(model));
        here.copied().unwrap_or(0)
    }

    /// Hosts of all domains, as a part of those planned.
    pub fn supplied(&self, model: &EngineModel, layout: &Layout) -> f64 {
        let planned = layout.replicas.get(&model.model).copied().unwrap_or(0);
        let hosts = (planned * model.width).max(1);
        let kept = self.all.get(&model.model).copied().unwrap_or(0);
        kept as f64 / hosts as f64
    }
}

/// Replicas of each model that there are or will be.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicaCounts(BTreeMap<ModelName, usize>);

impl ReplicaCounts {
    /// Counts one more.
    pub fn add(&mut self, model: &ModelName) {
        *self.0.entry(model.clone()).or_default() += 1;
    }

    /// The replicas that a model has, as a part of those planned.
    pub fn filled(&self, model: &EngineModel, layout: &Layout) -> f64 {
        let have = self.0.get(&model.model).copied().unwrap_or(0);
        let want = layout.replicas.get(&model.model).copied().unwrap_or(0);
        have as f64 / want.max(1) as f64
    }
}

impl Controller {
    /// Hosts of a service by what they keep.
    pub(crate) fn kept(&self, service: &ServiceName, now: Time) -> HostCounts {
        let mut kept = HostCounts::default();
        let of = self.hosts.values().filter(|h| h.said.service == *service);
        let well = of.filter(|host| host.is_well(self.cfg.silence_limit, now));
        well.for_each(|host| kept.add(host));
        kept
    }

    /// Replicas of a service by model.
    pub(crate) fn formed(&self, service: &ServiceName) -> ReplicaCounts {
        let mut formed = ReplicaCounts::default();
        let of = self.replicas.values().filter(|r| r.service == *service);
        let counted = of.filter(|replica| replica.is_serving_or_forming());
        counted.for_each(|replica| formed.add(&replica.model));
        formed
    }
}
