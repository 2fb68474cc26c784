//! How many hosts of each domain are to hold which model.
//!
//! The hosts are divided between the models by the replicas that each keeps busy.
//! Before any came, each model's share is taken as its part of the hosts. A part stands by in each domain, staged for the models
//! whose replicas are there.

use std::collections::BTreeMap;

use base::CentreName;
use base::DomainName;
use base::ModelName;
use fleet::EngineModel;

/// A fabric domain. Hosts that name none are taken as one domain a data centre.
pub type FabricDomain = (CentreName, Option<DomainName>);

/// Hosts by domain and model.
pub type HostsByModel = BTreeMap<FabricDomain, BTreeMap<ModelName, usize>>;

/// How many hosts of each domain are to hold which model.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Layout {
    /// Replicas of each model that all hosts together are to hold.
    pub replicas: BTreeMap<ModelName, usize>,
    /// Replicas of each model that were placed in domains.
    placed: BTreeMap<ModelName, usize>,
    /// Hosts of each domain, spare ones included.
    pub hosts: HostsByModel,
}

impl Layout {
    /// Divides the hosts that each domain has. `work` is the part of each model, in any
    /// unit; a model that is missing there counts by its share and pace.
    pub fn divide(
        models: &[EngineModel],
        domains: &BTreeMap<FabricDomain, usize>,
        work: &BTreeMap<ModelName, f64>,
        spare_share: f64,
    ) -> Self {
        let hosts = domains.values().sum::<usize>() as f64 * (1.0 - spare_share);
        let mut layout = Self {
            replicas: replicas(models, work, hosts),
            ..Self::default()
        };
        for (domain, hosts) in domains {
            layout.add_domain(models, work, domain, *hosts, spare_share);
        }
        layout
    }

    fn add_domain(
        &mut self,
        models: &[EngineModel],
        work: &BTreeMap<ModelName, f64>,
        domain: &FabricDomain,
        hosts: usize,
        spare_share: f64,
    ) {
        let spare = (hosts as f64 * spare_share).round() as usize;
        let mut left = hosts.saturating_sub(spare);
        let mut here: BTreeMap<ModelName, usize> = BTreeMap::new();
        while let Some(model) = self.neediest(models, work, left) {
            *self.placed.entry(model.model.clone()).or_default() += 1;
            *here.entry(model.model.clone()).or_default() += model.width;
            left -= model.width;
        }
        let spares = share_out(&here, spare + left);
        for (model, count) in spares {
            *here.entry(model).or_default() += count;
        }
        self.hosts.insert(domain.clone(), here);
    }

    /// The model that lacks most for its work among those that fit in `room` hosts.
    fn neediest<'a>(
        &self,
        models: &'a [EngineModel],
        work: &BTreeMap<ModelName, f64>,
        room: usize,
    ) -> Option<&'a EngineModel> {
        let fits = models.iter().filter(|m| 0 < m.width && m.width <= room);
        let lack = |model: &EngineModel| {
            let work = work_of(model, work);
            let have = self.placed.get(&model.model).copied().unwrap_or(0);
            (have as f64 + 0.5) / work
        };
        fits.min_by(|a, b| lack(a).total_cmp(&lack(b)))
    }
}

/// The work of a model: what its replicas together have to carry.
fn work_of(model: &EngineModel, work: &BTreeMap<ModelName, f64>) -> f64 {
    let work = work.get(&model.model).copied();
    work.unwrap_or(model.share / model.width.max(1) as f64)
        .max(0.01)
}

/// Divides hosts between the models by their work. Rounded up: a replica more than planned
/// is better than hosts that do nothing.
fn replicas(
    models: &[EngineModel],
    work: &BTreeMap<ModelName, f64>,
    hosts: f64,
) -> BTreeMap<ModelName, usize> {
    let width = |model: &EngineModel| work_of(model, work) * model.width as f64;
    let total: f64 = models.iter().map(width).sum();
    let share = |model: &EngineModel| hosts * work_of(model, work) / total.max(0.01);
    let models = models.iter();
    models
        .map(|model| (model.model.clone(), share(model).ceil() as usize))
        .collect()
}

/// Shares spare hosts out by the hosts that each model's replicas have.
fn share_out(hosts: &BTreeMap<ModelName, usize>, spare: usize) -> BTreeMap<ModelName, usize> {
    let mut spares: BTreeMap<ModelName, usize> = BTreeMap::new();
    for _ in 0..spare {
        let need = |model: &ModelName, count: usize| {
            let have = spares.get(model).copied().unwrap_or(0);
            count as f64 / (have + 1) as f64
        };
        let most = hosts
            .iter()
            .max_by(|a, b| need(a.0, *a.1).total_cmp(&need(b.0, *b.1)));
        let Some((model, _)) = most else {
            break;
        };
        *spares.entry(model.clone()).or_default() += 1;
    }
    spares
}
