//! Counts of the controller's hosts and replicas, for the log.

use crate::Controller;
use crate::host::Host;
use crate::replica::Phase;
use base::ModelName;
use base::Time;
use base::UpstreamId;

/// The replicas of a model beside its demand.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelShape {
    /// The model.
    pub model: ModelName,
    /// Its replicas that take new requests.
    pub serving: usize,
    /// How many replicas its requests keep busy.
    pub busy: f64,
}

/// Counts of the controller's hosts and replicas. Logs contain its `Debug` text.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shape {
    /// Hosts that are available: heard, and neither lost, leaving nor silent for too long.
    pub hosts: usize,
    /// Available hosts that belong to no replica and have no pending order.
    pub free: usize,
    /// Free hosts without a staged or warm model.
    pub empty: usize,
    /// Available hosts that are staging a model.
    pub staging: usize,
    /// Replicas that serve requests.
    pub serving: usize,
    /// Replicas whose hosts are joining or that are being opened.
    pub forming: usize,
    /// Replicas whose head host is being ordered to leave.
    pub closing: usize,
    /// Each model's replicas.
    pub models: Vec<ModelShape>,
}

impl Controller {
    /// Counts the hosts and replicas of the controller.
    pub fn shape(&self, now: Time) -> Shape {
        let count = |is: fn(&Phase) -> bool| {
            let phases = self.replicas.values().map(|r| &r.phase);
            phases.filter(|phase| is(phase)).count()
        };
        let available = |host: &&Host| host.is_available(self.cfg.silence_limit, now);
        let staging = |host: &&Host| available(host) && host.staging.is_some();
        let free = self.free_hosts(now);
        let is_empty = |id: &UpstreamId| {
            let host = self.hosts.get(id);
            host.is_some_and(|host| host.staged().is_empty() && host.warm_model.is_none())
        };
        Shape {
            hosts: self.hosts.values().filter(available).count(),
            free: free.len(),
            empty: free.iter().filter(|id| is_empty(id)).count(),
            staging: self.hosts.values().filter(staging).count(),
            serving: count(|p| *p == Phase::Serving),
            forming: count(|p| matches!(p, Phase::Joining | Phase::Opening)),
            closing: count(|p| matches!(p, Phase::Closing(_))),
            models: self.model_shapes(),
        }
    }

    fn model_shapes(&self) -> Vec<ModelShape> {
        let serving = |model: &ModelName| {
            let replicas = self.replicas.values().filter(|r| r.model == *model);
            replicas.filter(|r| r.phase == Phase::Serving).count()
        };
        let models = self.engines.values().flat_map(|engine| &engine.models);
        models
            .map(|model| ModelShape {
                model: model.model.clone(),
                serving: serving(&model.model),
                busy: self.busy_replicas.get(&model.model).copied().unwrap_or(0.0),
            })
            .collect()
    }
}
