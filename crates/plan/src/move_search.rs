//! Makes room for replicas that found no place.
//!
//! A domain that lacks a few hosts may have narrow replicas that fit elsewhere.
//! The copy is formed first and serves before the original ends, so a move
//! costs a load and no service. For a promised replica that no move can place,
//! replicas beyond other models' promises are ended.

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

/// Models for which one plan looks for moves.
const MAX_MODELS_PER_SEARCH: usize = 4;

/// Replicas that make way for one that lacks room.
const MAX_DISPLACED_REPLICAS: usize = 7;

/// The search for room.
pub(crate) struct MoveSearch<'a> {
    demand: &'a BTreeMap<ModelName, Demand>,
    free: &'a mut FreeHosts,
    by_domain: BTreeMap<DomainId, Vec<&'a PlacedReplica>>,
    replica_counts: BTreeMap<&'a ModelName, usize>,
    draining: BTreeSet<ReplicaId>,
}

/// Replicas of one domain that make way.
struct Displacement<'a> {
    domain: DomainId,
    width: usize,
    replicas: Vec<&'a PlacedReplica>,
}

impl<'a> MoveSearch<'a> {
    /// The search in a view whose free hosts were planned already.
    pub fn new(
        view: &'a PlannerView,
        demand: &'a BTreeMap<ModelName, Demand>,
        space: &'a mut FreeHosts,
        ended: BTreeSet<ReplicaId>,
    ) -> Self {
        let mut standing: BTreeMap<_, Vec<_>> = BTreeMap::new();
        let mut counts = BTreeMap::new();
        for domain in view.free.keys() {
            standing.insert(*domain, Vec::new());
        }
        for placed in view.replicas.iter().filter(|p| !ended.contains(&p.replica)) {
            *counts.entry(&placed.model).or_default() += 1;
            standing.entry(placed.domain).or_default().push(placed);
        }
        for placed in standing.values_mut() {
            placed.sort_by_key(|p| (usize::MAX - p.width, p.replica));
        }
        Self {
            demand,
            free: space,
            by_domain: standing,
            replica_counts: counts,
            draining: ended,
        }
    }

    /// Adds to the plan what makes room for the most needed of these units.
    pub fn plan_moves(&mut self, unplaced: &[MissingReplica], plan: &mut Plan) {
        let mut tried = BTreeSet::new();
        for unit in unplaced {
            if MAX_MODELS_PER_SEARCH <= tried.len() || !tried.insert(&unit.model) {
                continue;
            }
            if let Some(way) = self.cheapest_displacement(unit, Self::movable_replicas) {
                self.relocate(&way, unit, plan);
            } else if unit.need == Need::Promised
                && let Some(way) = self.cheapest_displacement(unit, Self::preemptible_replicas)
            {
                self.preempt(&way, unit, plan);
            }
        }
    }

    /// The way that moves the fewest hosts. Ties go to the one that leaves the least over.
    fn cheapest_displacement(
        &mut self,
        unit: &MissingReplica,
        choose: fn(&mut Self, DomainId, &[&'a PlacedReplica], usize) -> Vec<&'a PlacedReplica>,
    ) -> Option<Displacement<'a>> {
        let standing = std::mem::take(&mut self.by_domain);
        let mut best: Option<Displacement<'a>> = None;
        for (domain, placed) in &standing {
            let lack = unit.width.saturating_sub(self.free.count_in(*domain));
            let bound = best.as_ref().map_or(usize::MAX, |way| way.width);
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
        self.by_domain = standing;
        best
    }

    /// Replicas that free at least `lack` hosts and all fit elsewhere.
    fn movable_replicas(
        &mut self,
        domain: DomainId,
        placed: &[&'a PlacedReplica],
        lack: usize,
    ) -> Vec<&'a PlacedReplica> {
        let is_movable = |p: &&&PlacedReplica| p.state == PlacedState::Movable;
        let movable: Vec<_> = placed.iter().filter(is_movable).copied().collect();
        let mut held = Vec::new();
        let mut chosen = Vec::new();
        let mut left = lack;
        while 0 < left && chosen.len() < MAX_DISPLACED_REPLICAS {
            let rest = movable.iter().filter(|p| !contains(&chosen, p));
            let fits = rest.filter(|p| self.free.tightest_domain(p.width, Some(domain)).is_some());
            let Some(next) = best_fit(fits.copied(), left) else {
                break;
            };
            let target = self.free.tightest_domain(next.width, Some(domain));
            let target = target.unwrap_or(domain);
            held.push((target, self.free.take_hosts(target, next.width)));
            left = left.saturating_sub(next.width);
            chosen.push(next);
        }
        for (target, hosts) in held.into_iter().rev() {
            self.free.add_hosts(target, reversed(hosts));
        }
        if left == 0 { chosen } else { Vec::new() }
    }

    /// Replicas beyond their model's promise that free at least `lack` hosts.
    fn preemptible_replicas(
        &mut self,
        _: DomainId,
        placed: &[&'a PlacedReplica],
        lack: usize,
    ) -> Vec<&'a PlacedReplica> {
        let mut spare = BTreeMap::new();
        let mut chosen = Vec::new();
        let mut left = lack;
        while 0 < left {
            let rest = placed.iter().filter(|p| !contains(&chosen, p));
            let ends = rest.filter(|p| {
                0 < *spare
                    .entry(&p.model)
                    .or_insert(self.count_beyond_promise(&p.model))
            });
            let Some(next) = best_fit(ends.copied(), left) else {
                break;
            };
            left = left.saturating_sub(next.width);
            chosen.push(next);
            if let Some(count) = spare.get_mut(&next.model) {
                *count -= 1;
            }
        }
        if left == 0 { chosen } else { Vec::new() }
    }

    fn count_beyond_promise(&self, model: &ModelName) -> usize {
        let have = self.replica_counts.get(model).copied().unwrap_or(0);
        let min = self.demand.get(model).map_or(0, |demand| demand.min);
        have.saturating_sub(min)
    }

    fn relocate(&mut self, way: &Displacement<'a>, unit: &MissingReplica, plan: &mut Plan) {
        if self.may_drain_first(way, unit) {
            return self.drain_first(way, unit, plan);
        }
        for placed in &way.replicas {
            let Some(domain) = self.free.tightest_domain(placed.width, Some(way.domain)) else {
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
                for_model: unit.model.clone(),
            });
        }
        self.reserve_hosts(way, unit.width);
    }

    /// True if ending what makes way before its copy serves costs less than it
    /// saves: the wide replica waits for one load in place of two.
    fn may_drain_first(&self, way: &Displacement<'a>, unit: &MissingReplica) -> bool {
        let has_others =
            |p: &&PlacedReplica| 1 < self.replica_counts.get(&p.model).copied().unwrap_or(0);
        way.replicas.len() == 1
            && 2 * way.width <= unit.width
            && way.replicas.iter().all(has_others)
    }

    fn drain_first(&mut self, way: &Displacement<'a>, unit: &MissingReplica, plan: &mut Plan) {
        for placed in &way.replicas {
            let why = DrainReason::Relocated(unit.model.clone());
            plan.drains.push(drain_replica(placed, why));
            if let Some(domain) = self.free.tightest_domain(placed.width, Some(way.domain)) {
                self.free.take_hosts(domain, placed.width);
            }
        }
        self.reserve_hosts(way, unit.width);
    }

    fn preempt(&mut self, way: &Displacement<'a>, unit: &MissingReplica, plan: &mut Plan) {
        for placed in &way.replicas {
            if let Some(count) = self.replica_counts.get_mut(&placed.model) {
                *count -= 1;
            }
            if self.draining.insert(placed.replica) {
                let why = DrainReason::Preempted(unit.model.clone());
                plan.drains.push(drain_replica(placed, why));
            }
        }
        self.reserve_hosts(way, usize::MAX);
    }

    /// Sets the domain's room aside for the replica that the way is made for.
    fn reserve_hosts(&mut self, way: &Displacement<'a>, width: usize) {
        let room = self.free.count_in(way.domain);
        self.free.take_hosts(way.domain, width.min(room));
        if let Some(placed) = self.by_domain.get_mut(&way.domain) {
            placed.retain(|p| !contains(&way.replicas, p));
        }
    }
}

/// The narrowest that is wide enough, else the widest. `placed` goes from wide to narrow.
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
