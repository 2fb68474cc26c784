//! The invariants.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Entry;
use super::World;
use base::Duty;
use base::HostId;
use plan::Action;
use plan::Order;
use plan::Phase;
use plan::Route;

impl World {
    /// An order of the controller in charge takes no host that an entry node can
    /// still route to, however long the node was frozen, and its number never falls.
    /// (A node whose clock stood still cannot know: [`World::check_answer`] covers it.)
    pub fn check_order(&mut self, at: usize, order: &Order) {
        let seed = self.seed;
        assert_eq!(
            self.holder(),
            Some(at),
            "seed {seed}: orders without the lease"
        );
        assert_eq!(order.fence, self.lease.fence, "seed {seed}: {order:?}");
        if let Action::Form { hosts, .. } = &order.action {
            let known = self.groups.entry(order.replica);
            let known = known.or_insert_with(|| hosts.clone());
            assert_eq!(
                known, hosts,
                "seed {seed}: {} names two groups",
                order.replica
            );
        }
        let sound = |entry: &&Entry| entry.sound_from <= self.now;
        for entry in self.entries.iter().filter(sound) {
            let now = entry.clock.at(self.now);
            for route in self
                .demand
                .keys()
                .flat_map(|m| entry.table.valid_routes(m, now))
            {
                let is_other = route.replica != order.replica || order.action == Action::Release;
                assert!(
                    !is_other || !route.hosts.contains(&order.host),
                    "seed {seed} at {}: {order:?} takes a host of {route:?}",
                    self.now,
                );
            }
        }
    }

    /// A request is sent only where every host was ready in this replica a bounded time ago.
    pub fn check_request(&self, at: usize, route: &Route) {
        let delay = Duration::from_millis(self.net.max_delay_ms);
        let bound = self.cfg.report_validity * 105 / 100 + self.cfg.pause_threshold + delay;
        if self.now < self.entries[at].sound_from {
            return;
        }
        for id in &route.hosts {
            let ready = self.engines[id].ready_in.get(&route.replica);
            assert!(
                ready.is_some_and(|ready| self.now.since(*ready) <= bound),
                "seed {} at {}: request to {route:?}, but {id} was last ready in it at {ready:?}",
                self.seed,
                self.now,
            );
        }
    }

    /// An answer that is delivered was computed by the whole group that was meant.
    pub fn check_answer(&self, route: &Route) {
        for id in &route.hosts {
            let duty = &self.engines[id].report.duty;
            let is_whole = matches!(duty, Duty::Ready(held)
                if (held.replica, held.fence) == (route.replica, route.fence)
                    && held.hosts == route.hosts);
            assert!(
                is_whole,
                "seed {}: answer of {route:?}, {id} {duty:?}",
                self.seed
            );
        }
    }

    /// One owner for each host, in every controller's books.
    pub fn check(&self) {
        for control in &self.controls {
            let status = control.controller.status(control.clock.at(self.now));
            let mut owner: BTreeMap<HostId, _> = BTreeMap::new();
            let bound = status
                .replicas
                .iter()
                .filter(|r| r.phase != Phase::Releasing);
            for replica in bound {
                for host in &replica.hosts {
                    let other = owner.insert(*host, replica.replica);
                    assert_eq!(other, None, "seed {}: {host} has two owners", self.seed);
                }
            }
        }
    }
}
