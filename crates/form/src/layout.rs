//! Plans how many hosts of each fabric domain are to hold which model.
//!
//! The hosts are divided between the models by how many replicas the requests of each keep
//! busy. Before there are requests, each model gets its configured share of the hosts. Some
//! hosts of each domain are spares, staged for the models whose replicas are there.

use std::collections::BTreeMap;

use base::CentreName;
use base::DomainName;
use base::ModelName;
use fleet::EngineModel;

/// A fabric domain. The hosts of a data centre that name no domain form one of their own.
pub type FabricDomain = (CentreName, Option<DomainName>);

/// Numbers of hosts by domain and model.
pub type HostsByDomain = BTreeMap<FabricDomain, BTreeMap<ModelName, usize>>;

/// How many hosts of each domain are to hold which model.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Layout {
    /// Replicas of each model that all domains together are to hold.
    pub replicas: BTreeMap<ModelName, usize>,
    /// Replicas of each model that were assigned to domains so far.
    placed: BTreeMap<ModelName, usize>,
    /// Hosts of each domain by model, spares included.
    pub hosts: HostsByDomain,
}

impl Layout {
    /// Divides the hosts of each domain between the models in proportion to their demand, in
    /// replicas. A model without demand counts by its configured share and its width.
    pub fn compute(
        models: &[EngineModel],
        domains: &BTreeMap<FabricDomain, usize>,
        demand: &BTreeMap<ModelName, f64>,
        spare_share: f64,
    ) -> Self {
        let hosts = domains.values().sum::<usize>() as f64 * (1.0 - spare_share);
        let mut layout = Self {
            replicas: replicas_by_model(models, demand, hosts),
            ..Self::default()
        };
        for (domain, hosts) in domains {
            layout.add_domain(models, demand, domain, *hosts, spare_share);
        }
        layout
    }

    fn add_domain(
        &mut self,
        models: &[EngineModel],
        demand: &BTreeMap<ModelName, f64>,
        domain: &FabricDomain,
        hosts: usize,
        spare_share: f64,
    ) {
        let spare = (hosts as f64 * spare_share).round() as usize;
        let mut left = hosts.saturating_sub(spare);
        let mut hosts_by_model: BTreeMap<ModelName, usize> = BTreeMap::new();
        while let Some(model) = self.most_lacking(models, demand, left) {
            *self.placed.entry(model.model.clone()).or_default() += 1;
            *hosts_by_model.entry(model.model.clone()).or_default() += model.width;
            left -= model.width;
        }
        let spares = distribute_spares(&hosts_by_model, spare + left);
        for (model, count) in spares {
            *hosts_by_model.entry(model).or_default() += count;
        }
        self.hosts.insert(domain.clone(), hosts_by_model);
    }

    /// The model with the fewest replicas for its demand, of those that fit in `room` hosts.
    fn most_lacking<'a>(
        &self,
        models: &'a [EngineModel],
        demand: &BTreeMap<ModelName, f64>,
        room: usize,
    ) -> Option<&'a EngineModel> {
        let fits = models.iter().filter(|m| 0 < m.width && m.width <= room);
        let relative_supply = |model: &EngineModel| {
            let demand = demand_of(model, demand);
            let have = self.placed.get(&model.model).copied().unwrap_or(0);
            (have as f64 + 0.5) / demand
        };
        fits.min_by(|a, b| relative_supply(a).total_cmp(&relative_supply(b)))
    }
}

/// The demand for a model: how many replicas its requests keep busy.
fn demand_of(model: &EngineModel, demand: &BTreeMap<ModelName, f64>) -> f64 {
    let known = demand.get(&model.model).copied();
    known
        .unwrap_or(model.share / model.width.max(1) as f64)
        .max(0.01)
}

/// Divides hosts between the models by their demand. Rounds up, as an extra replica is better
/// than idle hosts.
fn replicas_by_model(
    models: &[EngineModel],
    demand: &BTreeMap<ModelName, f64>,
    hosts: f64,
) -> BTreeMap<ModelName, usize> {
    let demanded_hosts = |model: &EngineModel| demand_of(model, demand) * model.width as f64;
    let total: f64 = models.iter().map(demanded_hosts).sum();
    let replicas = |model: &EngineModel| hosts * demand_of(model, demand) / total.max(0.01);
    let models = models.iter();
    models
        .map(|model| (model.model.clone(), replicas(model).ceil() as usize))
        .collect()
}

/// Divides spare hosts between the models in proportion to the hosts of their replicas.
fn distribute_spares(
    hosts: &BTreeMap<ModelName, usize>,
    spare: usize,
) -> BTreeMap<ModelName, usize> {
    let mut spares: BTreeMap<ModelName, usize> = BTreeMap::new();
    for _ in 0..spare {
        let need = |model: &ModelName, count: usize| {
            let given = spares.get(model).copied().unwrap_or(0);
            count as f64 / (given + 1) as f64
        };
        let neediest = hosts
            .iter()
            .max_by(|a, b| need(a.0, *a.1).total_cmp(&need(b.0, *b.1)));
        let Some((model, _)) = neediest else {
            break;
        };
        *spares.entry(model.clone()).or_default() += 1;
    }
    spares
}
