//! Decides which hosts form which replica.
//!
//! All hosts of a replica are of one domain. Promised replicas come before
//! those that the load calls for, and among equals the model goes first that
//! has the smallest share of its target. What fits in the free hosts is chosen
//! in this order and then placed widest first, each in the tightest domain that
//! holds it, so that narrow replicas don't break up the room of wide ones. For
//! what found no place, [`crate::move_search`] looks for replicas to move aside.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::Demand;
use crate::Drain;
use crate::DrainReason;
use crate::Form;
use crate::PlacedReplica;
use crate::PlacedState;
use crate::Plan;
use crate::PlannerView;
use crate::free_hosts::FreeHosts;
use crate::move_search::MoveSearch;
use base::DomainId;
use base::ModelName;

/// How much a replica is needed. Smaller is more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Need {
    /// Promised by the rules.
    Promised,
    /// Called for by the load.
    Wanted,
}

/// One replica that a model lacks.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct MissingReplica {
    pub need: Need,
    share_ppm: u64,
    narrowness: usize,
    pub model: ModelName,
    pub width: usize,
}

/// Computes what to do about the demand, given what stands.
pub fn plan(view: &PlannerView, demand: &BTreeMap<ModelName, Demand>) -> Plan {
    let mut space = FreeHosts::new(view);
    let drains = surplus_drains(view, demand, &mut space);
    let units = missing_replicas(view, demand);
    let found = place_replicas(&mut space, units, &view.preferred_domains);
    let mut plan = Plan {
        forms: found.forms,
        drains,
        awaiting: counts_by_model(&found.awaiting),
        unplaced: counts_by_model(&found.unplaced),
        ..Plan::default()
    };
    if found.unplaced.is_empty() {
        replace_unsound(view, demand, &mut space, &mut plan);
    } else {
        let ended = plan.drains.iter().map(|drain| drain.replica).collect();
        MoveSearch::new(view, demand, &mut space, ended).plan_moves(&found.unplaced, &mut plan);
    }
    plan
}

/// The replicas that models lack, the most needed first.
fn missing_replicas(
    view: &PlannerView,
    demand: &BTreeMap<ModelName, Demand>,
) -> Vec<MissingReplica> {
    let have = replica_counts(view);
    let mut units = Vec::new();
    for (model, demand) in demand {
        let target = demand.target_replicas();
        if demand.width == 0 {
            continue;
        }
        for index in have.get(model).copied().unwrap_or(0)..target {
            units.push(missing_replica(model, demand, index));
        }
    }
    units.sort();
    units
}

fn missing_replica(model: &ModelName, demand: &Demand, index: usize) -> MissingReplica {
    let (need, of) = if index < demand.min {
        (Need::Promised, demand.min)
    } else {
        (Need::Wanted, demand.target_replicas())
    };
    MissingReplica {
        need,
        share_ppm: index as u64 * 1_000_000 / of as u64,
        narrowness: usize::MAX - demand.width,
        model: model.clone(),
        width: demand.width,
    }
}

fn replica_counts(view: &PlannerView) -> BTreeMap<&ModelName, usize> {
    let mut have = BTreeMap::new();
    for placed in &view.replicas {
        *have.entry(&placed.model).or_default() += 1;
    }
    have
}

type PreferredDomains = BTreeMap<ModelName, BTreeSet<DomainId>>;

/// What became of the units, each list in the order of need.
#[derive(Default)]
struct Placement {
    forms: Vec<Form>,
    awaiting: Vec<MissingReplica>,
    unplaced: Vec<MissingReplica>,
}

/// Places what fits, and sets hosts aside for what will fit soon.
fn place_replicas(
    space: &mut FreeHosts,
    units: Vec<MissingReplica>,
    homes: &PreferredDomains,
) -> Placement {
    let mut order: Vec<usize> = (0..units.len()).collect();
    let fitting = fitting_count(space, &units);
    order[..fitting].sort_by_key(|at| (units[*at].need, units[*at].narrowness));
    let mut forms = BTreeMap::new();
    let mut awaited = BTreeSet::new();
    for at in order {
        let unit = &units[at];
        if let Some(domain) = domain_for(space, unit, homes) {
            forms.insert(at, form_missing(space, unit, domain));
        } else if space.reserve_coming_free(unit.width) {
            awaited.insert(at);
        }
    }
    let mut found = Placement::default();
    for (at, unit) in units.into_iter().enumerate() {
        if let Some(form) = forms.remove(&at) {
            found.forms.push(form);
        } else if awaited.contains(&at) {
            found.awaiting.push(unit);
        } else {
            found.unplaced.push(unit);
        }
    }
    found
}

fn counts_by_model(units: &[MissingReplica]) -> BTreeMap<ModelName, usize> {
    let mut counts = BTreeMap::new();
    for unit in units {
        *counts.entry(unit.model.clone()).or_default() += 1;
    }
    counts
}

/// How many of the most needed units have hosts enough, wherever these are.
fn fitting_count(space: &FreeHosts, units: &[MissingReplica]) -> usize {
    let mut left = space.total();
    let fits = |unit: &&MissingReplica| {
        let fits = unit.width <= left;
        left = left.saturating_sub(unit.width);
        fits
    };
    units.iter().take_while(fits).count()
}

fn domain_for(
    space: &FreeHosts,
    unit: &MissingReplica,
    homes: &PreferredDomains,
) -> Option<DomainId> {
    let mut homes = homes.get(&unit.model).into_iter().flatten();
    let home = homes.find(|domain| unit.width <= space.count_in(**domain));
    home.copied()
        .or_else(|| space.tightest_domain(unit.width, None))
}

fn form_missing(space: &mut FreeHosts, unit: &MissingReplica, domain: DomainId) -> Form {
    Form {
        model: unit.model.clone(),
        domain,
        hosts: space.take_hosts(domain, unit.width),
        replaces: None,
    }
}

/// Replicas beyond their model's target: slow ones first, then from the domain
/// that has the most room.
fn surplus_drains(
    view: &PlannerView,
    demand: &BTreeMap<ModelName, Demand>,
    space: &mut FreeHosts,
) -> Vec<Drain> {
    let mut drains = Vec::new();
    for (model, have) in replica_counts(view) {
        let target = demand.get(model).map_or(0, Demand::target_replicas);
        if have <= target {
            continue;
        }
        let mut placed: Vec<_> = view.replicas.iter().filter(|p| p.model == *model).collect();
        placed.sort_by_key(|p| (surplus_rank(p), usize::MAX - space.count_in(p.domain)));
        for placed in placed.into_iter().take(have - target) {
            space.expect_hosts(placed.domain, placed.width);
            drains.push(drain_replica(placed, DrainReason::Surplus));
        }
    }
    drains
}

fn surplus_rank(placed: &PlacedReplica) -> u8 {
    match placed.state {
        PlacedState::Outdated | PlacedState::Slow(_) => 0,
        PlacedState::Fixed => 1,
        PlacedState::Movable => 2,
    }
}

pub(crate) fn drain_replica(placed: &PlacedReplica, why: DrainReason) -> Drain {
    Drain {
        replica: placed.replica,
        reason: why,
    }
}

/// Replaces slow and outdated replicas, one of each model at a time: by a copy
/// where a whole one fits, else on their own hosts and spares.
fn replace_unsound(
    view: &PlannerView,
    demand: &BTreeMap<ModelName, Demand>,
    space: &mut FreeHosts,
    plan: &mut Plan,
) {
    let mut busy = models_in_change(view, plan);
    for placed in &view.replicas {
        let Some(one) = demand.get(&placed.model) else {
            continue;
        };
        let is_sound = matches!(placed.state, PlacedState::Fixed | PlacedState::Movable);
        if is_sound || busy.contains(&placed.model) {
            continue;
        }
        if let Some(domain) = space.tightest_domain(one.width, None) {
            plan.forms.push(Form {
                model: placed.model.clone(),
                domain,
                hosts: space.take_hosts(domain, one.width),
                replaces: Some(placed.replica),
            });
        } else if let Some(drain) = drain_in_place(placed, one.width, space) {
            plan.drains.push(drain);
        } else {
            continue;
        }
        busy.insert(placed.model.clone());
    }
}

/// Models of which a replica is being formed, replaced or ended.
fn models_in_change(view: &PlannerView, plan: &Plan) -> BTreeSet<ModelName> {
    let fixed = view
        .replicas
        .iter()
        .filter(|p| p.state == PlacedState::Fixed);
    let mut busy: BTreeSet<ModelName> = fixed.map(|p| p.model.clone()).collect();
    busy.extend(plan.forms.iter().map(|form| form.model.clone()));
    busy.extend(plan.awaiting.keys().cloned());
    let ended = plan
        .drains
        .iter()
        .map(|drain| drain.replica)
        .collect::<BTreeSet<_>>();
    let ended = view.replicas.iter().filter(|p| ended.contains(&p.replica));
    busy.extend(ended.map(|p| p.model.clone()));
    busy
}

/// Ends a replica whose hosts and spares then form its successor.
fn drain_in_place(placed: &PlacedReplica, width: usize, space: &mut FreeHosts) -> Option<Drain> {
    let room = space.count_in(placed.domain);
    let (spares, why) = match placed.state {
        PlacedState::Slow(slow) => (slow, DrainReason::Slow),
        PlacedState::Outdated => {
            let spares = width.saturating_sub(placed.width);
            (spares, DrainReason::Outdated)
        }
        PlacedState::Fixed | PlacedState::Movable => return None,
    };
    if room < spares {
        return None;
    }
    space.take_hosts(placed.domain, spares);
    Some(drain_replica(placed, why))
}
