//! Finds hosts for missing replicas that no domain has enough free hosts for.
//!
//! A domain that lacks a few hosts may have narrow replicas that fit into other domains.
//! The replacement of such a replica serves before the original is drained, so a move
//! costs one load and no service. For a promised replica that no move can place, replicas
//! that the rules don't promise to other models are drained.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::Demand;
use crate::DrainReason;
use crate::Form;
use crate::Move;
use crate::PlacedReplica;
use crate::PlacedState;
use crate::Plan;
use crate::PlannerView;
use crate::free_hosts::FreeHosts;
use crate::planner::MissingReplica;
use crate::planner::Need;
use crate::planner::drain_replica;
use base::DomainId;
use base::ModelName;
use base::ReplicaId;

/// The most models for which one plan looks for moves.
const MAX_MODELS_PER_SEARCH: usize = 4;

/// The most replicas that are moved for one missing replica.
const MAX_DISPLACED_REPLICAS: usize = 7;

/// The search for replicas to move or drain.
pub(crate) struct MoveSearch<'a> {
    demand: &'a BTreeMap<ModelName, Demand>,
    free: &'a mut FreeHosts,
    /// The widest replicas come first.
    by_domain: BTreeMap<DomainId, Vec<&'a PlacedReplica>>,
    replica_counts: BTreeMap<&'a ModelName, usize>,
    draining: BTreeSet<ReplicaId>,
}

/// Replicas of one domain to move or drain for a missing one.
struct Displacement<'a> {
    domain: DomainId,
    /// Hosts of all the replicas.
    width: usize,
    replicas: Vec<&'a PlacedReplica>,
}

impl<'a> MoveSearch<'a> {
    /// A search after all replicas that fit have been placed.
    pub fn new(
        view: &'a PlannerView,
        demand: &'a BTreeMap<ModelName, Demand>,
        free: &'a mut FreeHosts,
        draining: BTreeSet<ReplicaId>,
    ) -> Self {
        let mut by_domain: BTreeMap<_, Vec<_>> = BTreeMap::new();
        let mut replica_counts = BTreeMap::new();
        for domain in view.free.keys() {
            by_domain.insert(*domain, Vec::new());
        }
        for placed in view
            .replicas
            .iter()
            .filter(|p| !draining.contains(&p.replica))
        {
            *replica_counts.entry(&placed.model).or_default() += 1;
            by_domain.entry(placed.domain).or_default().push(placed);
        }
        for placed in by_domain.values_mut() {
            placed.sort_by_key(|p| (usize::MAX - p.width, p.replica));
        }
        Self {
            demand,
            free,
            by_domain,
            replica_counts,
            draining,
        }
    }

    /// Plans moves and drains for the first of the unplaced replicas.
    pub fn plan_moves(&mut self, unplaced: &[MissingReplica], plan: &mut Plan) {
        let mut tried = BTreeSet::new();
        for missing in unplaced {
            if MAX_MODELS_PER_SEARCH <= tried.len() || !tried.insert(&missing.model) {
                continue;
            }
            if let Some(displacement) = self.cheapest_displacement(missing, Self::movable_replicas)
            {
                self.relocate(&displacement, missing, plan);
            } else if missing.need == Need::Promised
                && let Some(displacement) =
                    self.cheapest_displacement(missing, Self::preemptible_replicas)
            {
                self.preempt(&displacement, missing, plan);
            }
        }
    }

    /// The displacement of the fewest hosts. Ties go to the first domain.
    fn cheapest_displacement(
        &mut self,
        missing: &MissingReplica,
        choose: fn(&mut Self, DomainId, &[&'a PlacedReplica], usize) -> Vec<&'a PlacedReplica>,
    ) -> Option<Displacement<'a>> {
        let by_domain = std::mem::take(&mut self.by_domain);
        let mut best: Option<Displacement<'a>> = None;
        for (domain, placed) in &by_domain {
            let lack = missing.width.saturating_sub(self.free.count_in(*domain));
            let bound = best
                .as_ref()
                .map_or(usize::MAX, |displacement| displacement.width);
            if lack == 0 || bound <= lack {
                continue;
            }
            let replicas = choose(self, *domain, placed, lack);
            let width = replicas.iter().map(|p| p.width).sum();
            if lack <= width && width < bound {
                best = Some(Displacement {
                    domain: *domain,
                    width,
                    replicas,
                });
            }
        }
        self.by_domain = by_domain;
        best
    }

    /// Replicas with at least `lack` hosts that all fit into other domains, or none.
    fn movable_replicas(
        &mut self,
        domain: DomainId,
        placed: &[&'a PlacedReplica],
        lack: usize,
    ) -> Vec<&'a PlacedReplica> {
        let is_movable = |p: &&&PlacedReplica| p.state == PlacedState::Movable;
        let movable: Vec<_> = placed.iter().filter(is_movable).copied().collect();
        let mut taken = Vec::new();
        let mut chosen = Vec::new();
        let mut left = lack;
        while 0 < left && chosen.len() < MAX_DISPLACED_REPLICAS {
            let rest = movable.iter().filter(|p| !contains(&chosen, p));
            let candidates =
                rest.filter(|p| self.free.tightest_domain(p.width, Some(domain)).is_some());
            let Some(next) = best_fit(candidates.copied(), left) else {
                break;
            };
            let target = self.free.tightest_domain(next.width, Some(domain));
            let target = target.unwrap_or(domain);
            taken.push((target, self.free.take_hosts(target, next.width)));
            left = left.saturating_sub(next.width);
            chosen.push(next);
        }
        for (target, hosts) in taken.into_iter().rev() {
            self.free.add_hosts(target, reversed(hosts));
        }
        if left == 0 { chosen } else { Vec::new() }
    }

    /// Replicas with at least `lack` hosts that the rules don't promise, or none.
    fn preemptible_replicas(
        &mut self,
        _: DomainId,
        placed: &[&'a PlacedReplica],
        lack: usize,
    ) -> Vec<&'a PlacedReplica> {
        let mut beyond_promise = BTreeMap::new();
        let mut chosen = Vec::new();
        let mut left = lack;
        while 0 < left {
            let rest = placed.iter().filter(|p| !contains(&chosen, p));
            let candidates = rest.filter(|p| {
                0 < *beyond_promise
                    .entry(&p.model)
                    .or_insert(self.count_beyond_promise(&p.model))
            });
            let Some(next) = best_fit(candidates.copied(), left) else {
                break;
            };
            left = left.saturating_sub(next.width);
            chosen.push(next);
            if let Some(count) = beyond_promise.get_mut(&next.model) {
                *count -= 1;
            }
        }
        if left == 0 { chosen } else { Vec::new() }
    }

    fn count_beyond_promise(&self, model: &ModelName) -> usize {
        let count = self.replica_counts.get(model).copied().unwrap_or(0);
        let min = self.demand.get(model).map_or(0, |demand| demand.min);
        count.saturating_sub(min)
    }

    fn relocate(
        &mut self,
        displacement: &Displacement<'a>,
        missing: &MissingReplica,
        plan: &mut Plan,
    ) {
        if self.may_drain_first(displacement, missing) {
            return self.drain_first(displacement, missing, plan);
        }
        for placed in &displacement.replicas {
            let Some(domain) = self
                .free
                .tightest_domain(placed.width, Some(displacement.domain))
            else {
                return;
            };
            let form = Form {
                model: placed.model.clone(),
                domain,
                hosts: self.free.take_hosts(domain, placed.width),
                replaces: Some(placed.replica),
            };
            plan.moves.push(Move {
                form,
                for_model: missing.model.clone(),
            });
        }
        self.reserve_hosts(displacement, missing.width);
    }

    /// True if draining the displaced replica before its replacement serves costs less
    /// than it saves: the wide replica then waits for one load instead of two.
    fn may_drain_first(&self, displacement: &Displacement<'a>, missing: &MissingReplica) -> bool {
        let has_others =
            |p: &&PlacedReplica| 1 < self.replica_counts.get(&p.model).copied().unwrap_or(0);
        displacement.replicas.len() == 1
            && 2 * displacement.width <= missing.width
            && displacement.replicas.iter().all(has_others)
    }

    /// Plans a drain and reserves hosts elsewhere for the replacement.
    fn drain_first(
        &mut self,
        displacement: &Displacement<'a>,
        missing: &MissingReplica,
        plan: &mut Plan,
    ) {
        for placed in &displacement.replicas {
            let reason = DrainReason::Relocated(missing.model.clone());
            plan.drains.push(drain_replica(placed, reason));
            if let Some(domain) = self
                .free
                .tightest_domain(placed.width, Some(displacement.domain))
            {
                self.free.take_hosts(domain, placed.width);
            }
        }
        self.reserve_hosts(displacement, missing.width);
    }

    fn preempt(
        &mut self,
        displacement: &Displacement<'a>,
        missing: &MissingReplica,
        plan: &mut Plan,
    ) {
        for placed in &displacement.replicas {
            if let Some(count) = self.replica_counts.get_mut(&placed.model) {
                *count -= 1;
            }
            if self.draining.insert(placed.replica) {
                let reason = DrainReason::Preempted(missing.model.clone());
                plan.drains.push(drain_replica(placed, reason));
            }
        }
        self.reserve_hosts(displacement, usize::MAX);
    }

    /// Reserves free hosts of the domain for the missing replica.
    fn reserve_hosts(&mut self, displacement: &Displacement<'a>, width: usize) {
        let free_count = self.free.count_in(displacement.domain);
        self.free
            .take_hosts(displacement.domain, width.min(free_count));
        if let Some(placed) = self.by_domain.get_mut(&displacement.domain) {
            placed.retain(|p| !contains(&displacement.replicas, p));
        }
    }
}

/// The narrowest replica with at least `lack` hosts, else the widest. `placed` goes from
/// wide to narrow.
fn best_fit<'a>(
    placed: impl Iterator<Item = &'a PlacedReplica>,
    lack: usize,
) -> Option<&'a PlacedReplica> {
    let placed: Vec<_> = placed.collect();
    let enough = placed.iter().rev().find(|p| lack <= p.width);
    enough.or(placed.first()).copied()
}

fn contains(list: &[&PlacedReplica], placed: &PlacedReplica) -> bool {
    list.iter().any(|p| p.replica == placed.replica)
}

fn reversed(mut hosts: Vec<base::HostId>) -> Vec<base::HostId> {
    hosts.reverse();
    hosts
}
