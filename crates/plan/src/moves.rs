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
use crate::planner::Need;
use crate::planner::Unit;
use crate::planner::drain;
use crate::space::Space;
use base::DomainId;
use base::ModelName;
use base::ReplicaId;

/// Models for which one plan looks for moves.
const MAX_MODELS: usize = 4;

/// Replicas that make way for one that lacks room.
const MAX_MOVED: usize = 7;

/// The search for room.
pub(crate) struct Moves<'a> {
    demand: &'a BTreeMap<ModelName, Demand>,
    space: &'a mut Space,
    standing: BTreeMap<DomainId, Vec<&'a PlacedReplica>>,
    counts: BTreeMap<&'a ModelName, usize>,
    ended: BTreeSet<ReplicaId>,
}

/// Replicas of one domain that make way.
struct Way<'a> {
    domain: DomainId,
    width: usize,
    replicas: Vec<&'a PlacedReplica>,
}

impl<'a> Moves<'a> {
    /// The search in a view whose free hosts were planned already.
    pub fn open(
        view: &'a PlannerView,
        demand: &'a BTreeMap<ModelName, Demand>,
        space: &'a mut Space,
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
            space,
            standing,
            counts,
            ended,
        }
    }

    /// Adds to the plan what makes room for the most needed of these units.
    pub fn find(&mut self, unplaced: &[Unit], plan: &mut Plan) {
        let mut tried = BTreeSet::new();
        for unit in unplaced {
            if MAX_MODELS <= tried.len() || !tried.insert(&unit.model) {
                continue;
            }
            if let Some(way) = self.cheapest(unit, Self::movable) {
                self.move_aside(&way, unit, plan);
            } else if unit.need == Need::Promised
                && let Some(way) = self.cheapest(unit, Self::endable)
            {
                self.end(&way, unit, plan);
            }
        }
    }

    /// The way that moves the fewest hosts. Ties go to the one that leaves the least over.
    fn cheapest(
        &mut self,
        unit: &Unit,
        choose: fn(&mut Self, DomainId, &[&'a PlacedReplica], usize) -> Vec<&'a PlacedReplica>,
    ) -> Option<Way<'a>> {
        let standing = std::mem::take(&mut self.standing);
        let mut best: Option<Way<'a>> = None;
        for (domain, placed) in &standing {
            let lack = unit.width.saturating_sub(self.space.room(*domain));
            let bound = best.as_ref().map_or(usize::MAX, |way| way.width);
            if lack == 0 || bound <= lack {
                continue;
            }
            let replicas = choose(self, *domain, placed, lack);
            let width = replicas.iter().map(|p| p.width).sum();
            if lack <= width && width < bound {
                best = Some(Way {
                    domain: *domain,
                    width,
                    replicas,
                });
            }
        }
        self.standing = standing;
        best
    }

    /// Replicas that free at least `lack` hosts and all fit elsewhere.
    fn movable(
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
        while 0 < left && chosen.len() < MAX_MOVED {
            let rest = movable.iter().filter(|p| !contains(&chosen, p));
            let fits = rest.filter(|p| self.space.tightest(p.width, Some(domain)).is_some());
            let Some(next) = closest(fits.copied(), left) else {
                break;
            };
            let target = self.space.tightest(next.width, Some(domain));
            let target = target.unwrap_or(domain);
            held.push((target, self.space.take(target, next.width)));
            left = left.saturating_sub(next.width);
            chosen.push(next);
        }
        for (target, hosts) in held.into_iter().rev() {
            self.space.give(target, reversed(hosts));
        }
        if left == 0 { chosen } else { Vec::new() }
    }

    /// Replicas beyond their model's promise that free at least `lack` hosts.
    fn endable(
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
            let ends = rest.filter(|p| 0 < *spare.entry(&p.model).or_insert(self.spare(&p.model)));
            let Some(next) = closest(ends.copied(), left) else {
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

    fn spare(&self, model: &ModelName) -> usize {
        let have = self.counts.get(model).copied().unwrap_or(0);
        let min = self.demand.get(model).map_or(0, |demand| demand.min);
        have.saturating_sub(min)
    }

    fn move_aside(&mut self, way: &Way<'a>, unit: &Unit, plan: &mut Plan) {
        if self.may_end_first(way, unit) {
            return self.end_first(way, unit, plan);
        }
        for placed in &way.replicas {
            let Some(domain) = self.space.tightest(placed.width, Some(way.domain)) else {
                return;
            };
            let form = Form {
                model: placed.model.clone(),
                domain,
                hosts: self.space.take(domain, placed.width),
                replaces: Some(placed.replica),
            };
            plan.moves.push(Move {
                form,
                for_model: unit.model.clone(),
            });
        }
        self.claim(way, unit.width);
    }

    /// True if ending what makes way before its copy serves costs less than it
    /// saves: the wide replica waits for one load in place of two.
    fn may_end_first(&self, way: &Way<'a>, unit: &Unit) -> bool {
        let has_others = |p: &&PlacedReplica| 1 < self.counts.get(&p.model).copied().unwrap_or(0);
        way.replicas.len() == 1
            && 2 * way.width <= unit.width
            && way.replicas.iter().all(has_others)
    }

    fn end_first(&mut self, way: &Way<'a>, unit: &Unit, plan: &mut Plan) {
        for placed in &way.replicas {
            let why = DrainReason::Relocated(unit.model.clone());
            plan.drains.push(drain(placed, why));
            if let Some(domain) = self.space.tightest(placed.width, Some(way.domain)) {
                self.space.take(domain, placed.width);
            }
        }
        self.claim(way, unit.width);
    }

    fn end(&mut self, way: &Way<'a>, unit: &Unit, plan: &mut Plan) {
        for placed in &way.replicas {
            if let Some(count) = self.counts.get_mut(&placed.model) {
                *count -= 1;
            }
            if self.ended.insert(placed.replica) {
                let why = DrainReason::Preempted(unit.model.clone());
                plan.drains.push(drain(placed, why));
            }
        }
        self.claim(way, usize::MAX);
    }

    /// Sets the domain's room aside for the replica that the way is made for.
    fn claim(&mut self, way: &Way<'a>, width: usize) {
        let room = self.space.room(way.domain);
        self.space.take(way.domain, width.min(room));
        if let Some(placed) = self.standing.get_mut(&way.domain) {
            placed.retain(|p| !contains(&way.replicas, p));
        }
    }
}

/// The narrowest that is wide enough, else the widest. `placed` goes from wide to narrow.
fn closest<'a>(
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
