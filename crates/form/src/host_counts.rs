//! Counts of a service's hosts and replicas, made once per tick.

use std::collections::BTreeMap;

use crate::Controller;
use crate::Layout;
use crate::host::Host;
use crate::layout::FabricDomain;
use crate::layout::HostsByDomain;
use crate::place::domain_of;
use base::ModelName;
use base::ServiceName;
use base::Time;
use fleet::EngineModel;

/// How many hosts are warm for a model, or keep or stage it, in each domain and in total.
#[derive(Clone, Debug, Default)]
pub(crate) struct HostCounts {
    by_domain: HostsByDomain,
    total: BTreeMap<ModelName, usize>,
}

impl HostCounts {
    /// Counts a host for the model that it is warm for, else the one it stages or keeps staged.
    pub fn add(&mut self, host: &Host) {
        let Some(model) = host
            .warm_model
            .as_ref()
            .or_else(|| host.staged_or_staging_model())
        else {
            return;
        };
        let counts = self.by_domain.entry(domain_of(host)).or_default();
        *counts.entry(model.clone()).or_default() += 1;
        *self.total.entry(model.clone()).or_default() += 1;
    }

    pub fn in_domain(&self, domain: &FabricDomain, model: &ModelName) -> usize {
        let count = self
            .by_domain
            .get(domain)
            .and_then(|counts| counts.get(model));
        count.copied().unwrap_or(0)
    }

    /// The hosts counted for a model in all domains, as a ratio of those planned.
    pub fn supply_ratio(&self, model: &EngineModel, layout: &Layout) -> f64 {
        let planned = layout.replicas.get(&model.model).copied().unwrap_or(0);
        let hosts = (planned * model.width).max(1);
        let have = self.total.get(&model.model).copied().unwrap_or(0);
        have as f64 / hosts as f64
    }
}

/// How many replicas of each model serve or are being formed.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicaCounts(BTreeMap<ModelName, usize>);

impl ReplicaCounts {
    pub fn add(&mut self, model: &ModelName) {
        *self.0.entry(model.clone()).or_default() += 1;
    }

    /// The replicas of a model, as a ratio of those planned.
    pub fn fill_ratio(&self, model: &EngineModel, layout: &Layout) -> f64 {
        let have = self.0.get(&model.model).copied().unwrap_or(0);
        let want = layout.replicas.get(&model.model).copied().unwrap_or(0);
        have as f64 / want.max(1) as f64
    }
}

impl Controller {
    /// Counts the available hosts of a service by model.
    pub(crate) fn host_counts(&self, service: &ServiceName, now: Time) -> HostCounts {
        let mut counts = HostCounts::default();
        let hosts = self
            .hosts
            .values()
            .filter(|h| h.announcement.service == *service);
        let available = hosts.filter(|host| host.is_available(self.cfg.silence_limit, now));
        available.for_each(|host| counts.add(host));
        counts
    }

    /// Counts the replicas of a service that serve or are being formed, by model.
    pub(crate) fn replica_counts(&self, service: &ServiceName) -> ReplicaCounts {
        let mut counts = ReplicaCounts::default();
        let replicas = self.replicas.values().filter(|r| r.service == *service);
        let counted = replicas.filter(|replica| replica.is_serving_or_forming());
        counted.for_each(|replica| counts.add(&replica.model));
        counts
    }
}
