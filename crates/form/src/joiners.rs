//! Which free hosts join the next replica of a model.

use crate::Controller;
use base::UpstreamId;
use fleet::EngineConfig;
use fleet::EngineModel;

impl Controller {
    /// The hosts among `free` that can join a replica of the model.
    pub(crate) fn joinable_hosts(
        &self,
        free: &[UpstreamId],
        model: &EngineModel,
    ) -> Vec<UpstreamId> {
        let can_join = |id: &&UpstreamId| {
            let host = self.hosts.get(*id);
            host.is_some_and(|host| host.can_join(&model.model))
        };
        free.iter().filter(can_join).cloned().collect()
    }

    /// The hosts of a replica of the model, out of those that can join it. Warm hosts are chosen
    /// first, then those that can join the fewest other models.
    pub(crate) fn first_joiners(
        &self,
        engine: &EngineConfig,
        model: &EngineModel,
        mut hosts: Vec<UpstreamId>,
    ) -> Vec<UpstreamId> {
        hosts.sort_by_key(|id| {
            let host = self.hosts.get(id);
            let is_warm = host.is_some_and(|host| host.warm_model.as_ref() == Some(&model.model));
            let others = engine.models.iter().filter(|other| {
                other.model != model.model && host.is_some_and(|h| h.can_join(&other.model))
            });
            (!is_warm, others.count())
        });
        hosts.truncate(model.width);
        hosts
    }
}
