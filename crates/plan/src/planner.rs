//! Decides which hosts form which replica.
//!
//! All hosts of a replica are of one domain. Promised replicas come before
//! those that the load calls for, and among equals the model goes first that
//! has the smallest share of its target. What fits in the free hosts is chosen
//! in this order and then placed widest first, each in the tightest domain that
//! holds it, so that narrow replicas don't break up the room of wide ones. For
//! what found no place, [`crate::moves`] looks for replicas to move aside.

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
use crate::moves::Moves;
use crate::space::Space;
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
pub(crate) struct Unit {
    pub need: Need,
    share: u64,
    narrowness: usize,
    pub model: ModelName,
    pub width: usize,
}

/// Computes what to do about the demand, given what stands.
pub fn plan(view: &PlannerView, demand: &BTreeMap<ModelName, Demand>) -> Plan {
    let mut space = Space::of(view);
    let drains = surplus(view, demand, &mut space);
    let units = lacking(view, demand);
    let found = place(&mut space, units, &view.preferred_domains);
    let mut plan = Plan {
        forms: found.forms,
        drains,
        awaiting: by_model(&found.awaiting),
        unplaced: by_model(&found.unplaced),
        ..Plan::default()
    };
    if found.unplaced.is_empty() {
        replace(view, demand, &mut space, &mut plan);
    } else {
        let ended = plan.drains.iter().map(|drain| drain.replica).collect();
        Moves::open(view, demand, &mut space, ended).find(&found.unplaced, &mut plan);
    }
    plan
}

/// The replicas that models lack, the most needed first.
fn lacking(view: &PlannerView, demand: &BTreeMap<ModelName, Demand>) -> Vec<Unit> {
    let have = counts(view);
    let mut units = Vec::new();
    for (model, demand) in demand {
        let target = demand.target_replicas();
        if demand.width == 0 {
            continue;
        }
        for index in have.get(model).copied().unwrap_or(0)..target {
            units.push(unit(model, demand, index));
        }
    }
    units.sort();
    units
}

fn unit(model: &ModelName, demand: &Demand, index: usize) -> Unit {
    let (need, of) = if index < demand.min {
        (Need::Promised, demand.min)
    } else {
        (Need::Wanted, demand.target_replicas())
    };
    Unit {
        need,
        share: index as u64 * 1_000_000 / of as u64,
        narrowness: usize::MAX - demand.width,
        model: model.clone(),
        width: demand.width,
    }
}

fn counts(view: &PlannerView) -> BTreeMap<&ModelName, usize> {
    let mut have = BTreeMap::new();
    for placed in &view.replicas {
        *have.entry(&placed.model).or_default() += 1;
    }
    have
}

type Homes = BTreeMap<ModelName, BTreeSet<DomainId>>;

/// What became of the units, each list in the order of need.
#[derive(Default)]
struct Placement {
    forms: Vec<Form>,
    awaiting: Vec<Unit>,
    unplaced: Vec<Unit>,
}

/// Places what fits, and sets hosts aside for what will fit soon.
fn place(space: &mut Space, units: Vec<Unit>, homes: &Homes) -> Placement {
    let mut order: Vec<usize> = (0..units.len()).collect();
    let fitting = fitting(space, &units);
    order[..fitting].sort_by_key(|at| (units[*at].need, units[*at].narrowness));
    let mut forms = BTreeMap::new();
    let mut awaited = BTreeSet::new();
    for at in order {
        let unit = &units[at];
        if let Some(domain) = domain_for(space, unit, homes) {
            forms.insert(at, form(space, unit, domain));
        } else if space.await_room(unit.width) {
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

fn by_model(units: &[Unit]) -> BTreeMap<ModelName, usize> {
    let mut counts = BTreeMap::new();
    for unit in units {
        *counts.entry(unit.model.clone()).or_default() += 1;
    }
    counts
}

/// How many of the most needed units have hosts enough, wherever these are.
fn fitting(space: &Space, units: &[Unit]) -> usize {
    let mut left = space.total();
    let fits = |unit: &&Unit| {
        let fits = unit.width <= left;
        left = left.saturating_sub(unit.width);
        fits
    };
    units.iter().take_while(fits).count()
}

fn domain_for(space: &Space, unit: &Unit, homes: &Homes) -> Option<DomainId> {
    let mut homes = homes.get(&unit.model).into_iter().flatten();
    let home = homes.find(|domain| unit.width <= space.room(**domain));
    home.copied().or_else(|| space.tightest(unit.width, None))
}

fn form(space: &mut Space, unit: &Unit, domain: DomainId) -> Form {
    Form {
        model: unit.model.clone(),
        domain,
        hosts: space.take(domain, unit.width),
        replaces: None,
    }
}

/// Replicas beyond their model's target: slow ones first, then from the domain
/// that has the most room.
fn surplus(
    view: &PlannerView,
    demand: &BTreeMap<ModelName, Demand>,
    space: &mut Space,
) -> Vec<Drain> {
    let mut drains = Vec::new();
    for (model, have) in counts(view) {
        let target = demand.get(model).map_or(0, Demand::target_replicas);
        if have <= target {
            continue;
        }
        let mut placed: Vec<_> = view.replicas.iter().filter(|p| p.model == *model).collect();
        placed.sort_by_key(|p| (rank(p), usize::MAX - space.room(p.domain)));
        for placed in placed.into_iter().take(have - target) {
            space.expect(placed.domain, placed.width);
            drains.push(drain(placed, DrainReason::Surplus));
        }
    }
    drains
}

fn rank(placed: &PlacedReplica) -> u8 {
    match placed.state {
        PlacedState::Outdated | PlacedState::Slow(_) => 0,
        PlacedState::Fixed => 1,
        PlacedState::Movable => 2,
    }
}

pub(crate) fn drain(placed: &PlacedReplica, why: DrainReason) -> Drain {
    Drain {
        replica: placed.replica,
        reason: why,
    }
}

/// Replaces slow and outdated replicas, one of each model at a time: by a copy
/// where a whole one fits, else on their own hosts and spares.
fn replace(
    view: &PlannerView,
    demand: &BTreeMap<ModelName, Demand>,
    space: &mut Space,
    plan: &mut Plan,
) {
    let mut busy = busy(view, plan);
    for placed in &view.replicas {
        let Some(one) = demand.get(&placed.model) else {
            continue;
        };
        let is_sound = matches!(placed.state, PlacedState::Fixed | PlacedState::Movable);
        if is_sound || busy.contains(&placed.model) {
            continue;
        }
        if let Some(domain) = space.tightest(one.width, None) {
            plan.forms.push(Form {
                model: placed.model.clone(),
                domain,
                hosts: space.take(domain, one.width),
                replaces: Some(placed.replica),
            });
        } else if let Some(drain) = end_in_place(placed, one.width, space) {
            plan.drains.push(drain);
        } else {
            continue;
        }
        busy.insert(placed.model.clone());
    }
}

/// Models of which a replica is being formed, replaced or ended.
fn busy(view: &PlannerView, plan: &Plan) -> BTreeSet<ModelName> {
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
fn end_in_place(placed: &PlacedReplica, width: usize, space: &mut Space) -> Option<Drain> {
    let room = space.room(placed.domain);
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
    space.take(placed.domain, spares);
    Some(drain(placed, why))
}
