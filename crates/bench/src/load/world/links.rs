//! What entry nodes hear and reach: replicas, load reports and each other.

use std::collections::BTreeSet;
use std::time::Duration;

use super::super::mix::model;
use super::super::policy::Policy;
use super::CENTRES;
use super::Event;
use super::NEAR;
use super::REPLICAS;
use super::REPORT_EVERY;
use super::World;
use admit::Config;
use base::CentreId;
use base::Load;
use base::NodeId;
use base::ReplicaId;
use route::Candidate;

/// One way between data centres.
const FAR: Duration = Duration::from_millis(4);
/// Age of a demand report when it comes.
const DEMAND_LAG: Duration = Duration::from_millis(10);

/// Whether the last data centre is in sight of the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Link {
    Whole,
    Cut,
}

impl World<'_> {
    /// Tells each node which replicas it reaches.
    pub(super) fn place_all(&mut self) {
        for node in 0..self.nodes.len() {
            let reached = (0..REPLICAS).filter(|replica| self.is_linked(node, *replica));
            let known = reached.map(|r| self.candidate(node, r, &self.engines[r].load()));
            let known = known.collect();
            self.nodes[node].set_replicas(&model(), known, self.now);
        }
    }

    /// Cuts the last data centre off or joins it again. What is in flight across the cut
    /// is let finish.
    pub(super) fn set_link(&mut self, state: Link) {
        self.state = state;
        if self.run.policy != Policy::RoundRobin {
            self.place_all();
        }
    }

    /// True if a node reaches a replica, or another node of the same number.
    pub(super) fn is_linked(&self, node: usize, other: usize) -> bool {
        let is_last = |number: usize| number % CENTRES == CENTRES - 1;
        self.state == Link::Whole || is_last(node) == is_last(other)
    }

    pub(super) fn candidate(&self, node: usize, replica: usize, load: &Load) -> Candidate {
        Candidate {
            replica: ReplicaId(replica as u64),
            centre: CentreId((replica % CENTRES) as u32),
            load: load.clone(),
            load_age: self.lag(),
            link_delay: self.link(node, replica),
        }
    }

    pub(super) fn link(&self, node: usize, replica: usize) -> Duration {
        if self.run.policy == Policy::Perfect || node % CENTRES == replica % CENTRES {
            NEAR
        } else {
            FAR
        }
    }

    pub(super) fn take_report(&mut self, replica: usize) {
        let load = self.engines[replica].load();
        self.travelling.push_back((replica, load));
        self.push(self.now + self.lag(), Event::ReportSeen);
        self.push(self.now + REPORT_EVERY, Event::ReportTaken(replica));
    }

    pub(super) fn see_report(&mut self) {
        let Some((replica, load)) = self.travelling.pop_front() else {
            return;
        };
        for node in 0..self.nodes.len() {
            if !self.is_linked(node, replica) {
                continue;
            }
            let candidate = self.candidate(node, replica, &load);
            self.nodes[node].update_load(&model(), candidate, self.now);
        }
    }

    pub(super) fn report_all(&mut self) {
        for replica in 0..REPLICAS {
            let load = self.engines[replica].load();
            let candidate = self.candidate(0, replica, &load);
            self.nodes[0].update_load(&model(), candidate, self.now);
        }
    }

    pub(super) fn exchange(&mut self) {
        for node in 0..self.nodes.len() {
            let seen: Vec<_> = (0..self.nodes.len())
                .filter(|n| self.is_linked(node, *n))
                .collect();
            let live: BTreeSet<_> = seen.iter().map(|n| NodeId(*n as u32)).collect();
            let said = seen.iter().filter_map(|n| self.reports.get(n));
            let said: Vec<_> = said.cloned().collect();
            self.nodes[node].apply_peer_reports(&said, &live, self.now);
        }
        for (at, node) in self.nodes.iter_mut().enumerate() {
            self.reports.insert(at, node.demand_report(self.now));
        }
        let every = Config::default().exchange_interval.max(DEMAND_LAG);
        self.push(self.now + every, Event::Exchange);
    }
}
