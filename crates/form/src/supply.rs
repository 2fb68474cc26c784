//! What replicas are worth: how well those of each model meet its demand.
//!
//! The answer for a load that shifts between models while hosts are lost. A replica more of
//! a model is worth the more, the fewer replicas the model has for its demand. Its worth is
//! weighed by host, so that models of different widths compare.

use std::collections::BTreeMap;

use base::ModelName;
use fleet::EngineModel;

/// How steeply the worth of a further replica falls with the replicas that a model has for
/// each one that its requests keep busy. With 1.5, twice the demand serves 95 % of it in time.
const STEEPNESS: f64 = 1.5;

/// A model counts as keeping at least this part of a replica busy, so that its first replica
/// is worth more than a further one of a model that has enough.
const MIN_DEMAND: f64 = 0.25;

/// The replicas of each model beside its demand.
#[derive(Clone, Debug)]
pub(crate) struct Supply<'a> {
    models: &'a [EngineModel],
    /// How many replicas of each model its requests keep busy.
    demand: BTreeMap<ModelName, f64>,
    replicas: BTreeMap<ModelName, usize>,
}

impl<'a> Supply<'a> {
    /// The supply without replicas. `busy_replicas` is the observed demand.
    pub fn new(models: &'a [EngineModel], busy_replicas: &BTreeMap<ModelName, f64>) -> Self {
        let demand = |model: &EngineModel| {
            let busy = busy_replicas.get(&model.model).copied().unwrap_or(0.0);
            (model.model.clone(), busy.max(MIN_DEMAND))
        };
        Self {
            models,
            demand: models.iter().map(demand).collect(),
            replicas: BTreeMap::new(),
        }
    }

    /// Counts a replica.
    pub fn add(&mut self, model: &ModelName) {
        *self.replicas.entry(model.clone()).or_default() += 1;
    }

    /// Removes a replica.
    pub fn remove(&mut self, model: &ModelName) {
        if let Some(count) = self.replicas.get_mut(model) {
            *count = count.saturating_sub(1);
        }
    }

    /// The worth of a further replica of a model, for each of its hosts.
    pub fn gain_per_host(&self, model: &EngineModel) -> f64 {
        let (demand, count) = (self.demand_of(model), self.replicas_of(model));
        demand * (self.unserved(count, demand) - self.unserved(count + 1, demand))
    }

    /// The worth of all replicas, in busy hosts.
    pub fn worth(&self) -> f64 {
        let worth = |model: &EngineModel| {
            let (demand, count) = (self.demand_of(model), self.replicas_of(model));
            model.width as f64 * demand * (1.0 - self.unserved(count, demand))
        };
        self.models.iter().map(worth).sum()
    }

    /// The worth if every request were served in time.
    pub fn greatest_worth(&self) -> f64 {
        let worth = |model: &EngineModel| model.width as f64 * self.demand_of(model);
        self.models.iter().map(worth).sum()
    }

    fn demand_of(&self, model: &EngineModel) -> f64 {
        self.demand.get(&model.model).copied().unwrap_or(MIN_DEMAND)
    }

    fn replicas_of(&self, model: &EngineModel) -> usize {
        self.replicas.get(&model.model).copied().unwrap_or(0)
    }

    /// The part of a model's demand that this many replicas don't serve in time.
    fn unserved(&self, replicas: usize, demand: f64) -> f64 {
        (-STEEPNESS * replicas as f64 / demand).exp()
    }
}
