//! What must always hold in a world.

use std::collections::BTreeSet;

use super::World;
use super::host::Host;
use base::Fence;
use fleet::PlaceState;

impl World {
    /// No host joins elsewhere while the first host of its replica serves.
    pub(super) fn check_join(&self, host: &Host, epoch: Fence) {
        let Some(part) = host.part.as_ref().filter(|part| part.epoch != epoch) else {
            return;
        };
        let head = &self.hosts[&part.hosts[0]];
        let old = head.part.as_ref().filter(|p| p.epoch == part.epoch);
        let serves =
            old.is_some_and(|part| part.state == PlaceState::Open || part.opening.is_some());
        assert!(
            !(head.up && serves),
            "{}: {} joins {epoch} while {} serves {}",
            self.now,
            host.id,
            head.id,
            part.name
        );
    }

    /// Nothing is directed to a replica of which a host was never ready.
    pub(super) fn check_serving(&self) {
        let directions = self.controller.routing_table().unwrap_or_default();
        for serving in directions.serving {
            let width = self.engine.model(&serving.model).unwrap().width;
            let ready = self.ready.get(&serving.epoch).map_or(0, BTreeSet::len);
            assert!(width <= ready, "{}: {serving:?}, {ready} ready", self.now);
        }
    }
}
