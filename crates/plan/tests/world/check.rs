//! The invariants that are checked after each step.

use std::collections::BTreeMap;
use std::time::Duration;

use super::EntryNode;
use super::World;
use base::Duty;
use base::HostId;
use plan::Action;
use plan::Order;
use plan::Phase;
use plan::Route;

impl World {
    /// An order carries the lease holder's fencing number. It takes no host that an entry
    /// node can still route to, however long the node was frozen. (Nodes whose clock stopped
    /// can't know that a route expired. [`World::check_answer`] covers these.)
    pub fn check_order(&mut self, index: usize, order: &Order) {
        let seed = self.seed;
        assert_eq!(
            self.lease_holder(),
            Some(index),
            "seed {seed}: orders without the lease"
        );
        assert_eq!(order.fence, self.lease.fence, "seed {seed}: {order:?}");
        if let Action::Form { hosts, .. } = &order.action {
            let known = self.replica_hosts.entry(order.replica);
            let known = known.or_insert_with(|| hosts.clone());
            assert_eq!(
                known, hosts,
                "seed {seed}: {} has two sets of hosts",
                order.replica
            );
        }
        let has_sound_clock = |entry: &&EntryNode| entry.clock_trusted_from <= self.now;
        for entry in self.entry_nodes.iter().filter(has_sound_clock) {
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

    /// A request is sent only if every host was ready in the replica a bounded time ago.
    pub fn check_request(&self, index: usize, route: &Route) {
        let delay = Duration::from_millis(self.network.max_delay_ms);
        let bound = self.cfg.report_validity * 105 / 100 + self.cfg.pause_threshold + delay;
        if self.now < self.entry_nodes[index].clock_trusted_from {
            return;
        }
        for id in &route.hosts {
            let ready = self.engines[id].last_ready_at.get(&route.replica);
            assert!(
                ready.is_some_and(|ready| self.now.since(*ready) <= bound),
                "seed {} at {}: request to {route:?}, but {id} was last ready in it at {ready:?}",
                self.seed,
                self.now,
            );
        }
    }

    /// An accepted answer was computed by all hosts of the intended replica.
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

    /// In every controller's records, each host belongs to at most one replica.
    pub fn check_owners(&self) {
        for process in &self.controllers {
            let status = process.controller.status(process.clock.at(self.now));
            let mut owner: BTreeMap<HostId, _> = BTreeMap::new();
            let unreleased = status
                .replicas
                .iter()
                .filter(|r| r.phase != Phase::Releasing);
            for replica in unreleased {
                for host in &replica.hosts {
                    let other = owner.insert(*host, replica.replica);
                    assert_eq!(other, None, "seed {}: {host} has two owners", self.seed);
                }
            }
        }
    }
}
