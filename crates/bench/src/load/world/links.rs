//! What entry nodes reach and learn: replicas, load reports and demand reports of other nodes.

use std::collections::BTreeSet;
use std::time::Duration;

use super::super::mix::model;
use super::super::policy::Policy;
use super::CENTRES;
use super::Event;
use super::LOCAL_LINK_DELAY;
use super::REPLICAS;
use super::REPORT_INTERVAL;
use super::World;
use admit::Config;
use base::CentreId;
use base::Load;
use base::NodeId;
use base::ReplicaId;
use route::Candidate;

/// The one-way delay between data centres.
const REMOTE_LINK_DELAY: Duration = Duration::from_millis(4);
/// The age of a demand report when nodes receive it.
const DEMAND_LAG: Duration = Duration::from_millis(10);

/// Whether the last data centre reaches the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinkState {
    Connected,
    Partitioned,
}

impl World<'_> {
    /// Tells each node which replicas it reaches.
    pub(super) fn set_all_replicas(&mut self) {
        for node in 0..self.nodes.len() {
            let replicas = (0..REPLICAS).filter(|replica| self.is_linked(node, *replica));
            let candidates = replicas.map(|r| self.candidate(node, r, &self.engines[r].load()));
            let candidates = candidates.collect();
            self.nodes[node].set_replicas(&model(), candidates, self.now);
        }
    }

    /// Starts or ends the partition of the last data centre. Requests in flight across it still
    /// complete.
    pub(super) fn set_link_state(&mut self, link_state: LinkState) {
        self.link_state = link_state;
        if self.run.policy != Policy::RoundRobin {
            self.set_all_replicas();
        }
    }

    /// True if a node reaches the replica or node with the index `other`.
    pub(super) fn is_linked(&self, node: usize, other: usize) -> bool {
        let is_last = |number: usize| number % CENTRES == CENTRES - 1;
        self.link_state == LinkState::Connected || is_last(node) == is_last(other)
    }

    pub(super) fn candidate(&self, node: usize, replica: usize, load: &Load) -> Candidate {
        Candidate {
            replica: ReplicaId(replica as u64),
            centre: CentreId((replica % CENTRES) as u32),
            load: load.clone(),
            load_age: self.report_lag(),
            link_delay: self.link_delay(node, replica),
        }
    }

    pub(super) fn link_delay(&self, node: usize, replica: usize) -> Duration {
        if self.run.policy == Policy::Perfect || node % CENTRES == replica % CENTRES {
            LOCAL_LINK_DELAY
        } else {
            REMOTE_LINK_DELAY
        }
    }

    pub(super) fn take_report(&mut self, replica: usize) {
        let load = self.engines[replica].load();
        self.reports_in_flight.push_back((replica, load));
        self.schedule(self.now + self.report_lag(), Event::DeliverReport);
        self.schedule(self.now + REPORT_INTERVAL, Event::TakeReport(replica));
    }

    pub(super) fn deliver_report(&mut self) {
        let Some((replica, load)) = self.reports_in_flight.pop_front() else {
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

    pub(super) fn report_all_loads(&mut self) {
        for replica in 0..REPLICAS {
            let load = self.engines[replica].load();
            let candidate = self.candidate(0, replica, &load);
            self.nodes[0].update_load(&model(), candidate, self.now);
        }
    }

    pub(super) fn exchange_demand(&mut self) {
        for node in 0..self.nodes.len() {
            let reachable: Vec<_> = (0..self.nodes.len())
                .filter(|n| self.is_linked(node, *n))
                .collect();
            let live: BTreeSet<_> = reachable.iter().map(|n| NodeId(*n as u32)).collect();
            let demand_reports = reachable.iter().filter_map(|n| self.demand_reports.get(n));
            let demand_reports: Vec<_> = demand_reports.cloned().collect();
            self.nodes[node].apply_peer_reports(&demand_reports, &live, self.now);
        }
        for (index, node) in self.nodes.iter_mut().enumerate() {
            self.demand_reports
                .insert(index, node.demand_report(self.now));
        }
        let interval = Config::default().exchange_interval.max(DEMAND_LAG);
        self.schedule(self.now + interval, Event::Exchange);
    }
}
