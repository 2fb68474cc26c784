//! Decides which hosts form which replica.
//!
//! All hosts of a replica belong to one domain. Promised replicas come before those that
//! only the load needs. Among equals, the model with the smallest share of its target
//! goes first. As many replicas as the free hosts suffice for are chosen in this order.
//! They are placed widest first, each in the domain with the fewest free hosts that
//! suffice (best fit), so that narrow replicas don't split up the hosts that wide ones
//! need. For what found no place, [`crate::move_search`] moves or drains other replicas.

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

/// Why a replica is needed, the more important reason first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Need {
    /// Promised by the rules.
    Promised,
    /// Needed for the load.
    Wanted,
}

/// One replica that a model lacks. The most needed sorts first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct MissingReplica {
    pub need: Need,
    /// The share of the target that comes before this replica, in millionths.
    share_ppm: u64,
    /// Makes wide replicas sort first.
    narrowness: usize,
    pub model: ModelName,
    pub width: usize,
}

/// Computes which replicas to form, move and drain so that the demand is met.
pub fn plan(view: &PlannerView, demand: &BTreeMap<ModelName, Demand>) -> Plan {
    let mut free = FreeHosts::new(view);
    let drains = surplus_drains(view, demand, &mut free);
    let missing = missing_replicas(view, demand);
    let placement = place_replicas(&mut free, missing, &view.preferred_domains);
    let mut plan = Plan {
        forms: placement.forms,
        drains,
        awaiting: counts_by_model(&placement.awaiting),
        unplaced: counts_by_model(&placement.unplaced),
        ..Plan::default()
    };
    if placement.unplaced.is_empty() {
        replace_slow_and_outdated(view, demand, &mut free, &mut plan);
    } else {
        let draining = plan.drains.iter().map(|drain| drain.replica).collect();
        MoveSearch::new(view, demand, &mut free, draining)
            .plan_moves(&placement.unplaced, &mut plan);
    }
    plan
}

/// All replicas that models lack, the most needed first.
fn missing_replicas(
    view: &PlannerView,
    demand: &BTreeMap<ModelName, Demand>,
) -> Vec<MissingReplica> {
    let counts = replica_counts(view);
    let mut missing = Vec::new();
    for (model, demand) in demand {
        let target = demand.target_replicas();
        if demand.width == 0 {
            continue;
        }
        for index in counts.get(model).copied().unwrap_or(0)..target {
            missing.push(missing_replica(model, demand, index));
        }
    }
    missing.sort();
    missing
}

fn missing_replica(model: &ModelName, demand: &Demand, index: usize) -> MissingReplica {
    let (need, total) = if index < demand.min {
        (Need::Promised, demand.min)
    } else {
        (Need::Wanted, demand.target_replicas())
    };
    MissingReplica {
        need,
        share_ppm: index as u64 * 1_000_000 / total as u64,
        narrowness: usize::MAX - demand.width,
        model: model.clone(),
        width: demand.width,
    }
}

fn replica_counts(view: &PlannerView) -> BTreeMap<&ModelName, usize> {
    let mut counts = BTreeMap::new();
    for placed in &view.replicas {
        *counts.entry(&placed.model).or_default() += 1;
    }
    counts
}

type PreferredDomains = BTreeMap<ModelName, BTreeSet<DomainId>>;

/// The placement of the missing replicas, each list in the order of need.
#[derive(Default)]
struct Placement {
    forms: Vec<Form>,
    /// Replicas with reserved hosts that will be free soon.
    awaiting: Vec<MissingReplica>,
    unplaced: Vec<MissingReplica>,
}

/// Places the replicas that fit, and reserves hosts for those that will fit soon.
fn place_replicas(
    free: &mut FreeHosts,
    missing: Vec<MissingReplica>,
    preferred_domains: &PreferredDomains,
) -> Placement {
    let mut order: Vec<usize> = (0..missing.len()).collect();
    let fitting = fitting_count(free, &missing);
    order[..fitting].sort_by_key(|index| (missing[*index].need, missing[*index].narrowness));
    let mut forms = BTreeMap::new();
    let mut awaited = BTreeSet::new();
    for index in order {
        let replica = &missing[index];
        if let Some(domain) = domain_for(free, replica, preferred_domains) {
            forms.insert(index, form_missing(free, replica, domain));
        } else if free.reserve_coming_free(replica.width) {
            awaited.insert(index);
        }
    }
    let mut placement = Placement::default();
    for (index, replica) in missing.into_iter().enumerate() {
        if let Some(form) = forms.remove(&index) {
            placement.forms.push(form);
        } else if awaited.contains(&index) {
            placement.awaiting.push(replica);
        } else {
            placement.unplaced.push(replica);
        }
    }
    placement
}

fn counts_by_model(missing: &[MissingReplica]) -> BTreeMap<ModelName, usize> {
    let mut counts = BTreeMap::new();
    for replica in missing {
        *counts.entry(replica.model.clone()).or_default() += 1;
    }
    counts
}

/// How many of the most needed replicas have enough free hosts, in whatever domains.
fn fitting_count(free: &FreeHosts, missing: &[MissingReplica]) -> usize {
    let mut left = free.total();
    let fits = |replica: &&MissingReplica| {
        let fits = replica.width <= left;
        left = left.saturating_sub(replica.width);
        fits
    };
    missing.iter().take_while(fits).count()
}

fn domain_for(
    free: &FreeHosts,
    replica: &MissingReplica,
    preferred_domains: &PreferredDomains,
) -> Option<DomainId> {
    let mut preferred_domains = preferred_domains.get(&replica.model).into_iter().flatten();
    let preferred = preferred_domains.find(|domain| replica.width <= free.count_in(**domain));
    preferred
        .copied()
        .or_else(|| free.tightest_domain(replica.width, None))
}

fn form_missing(free: &mut FreeHosts, replica: &MissingReplica, domain: DomainId) -> Form {
    Form {
        model: replica.model.clone(),
        domain,
        hosts: free.take_hosts(domain, replica.width),
        replaces: None,
    }
}

/// Drains of replicas beyond their model's target: outdated and slow ones first, then from
/// the domain with the most free hosts.
fn surplus_drains(
    view: &PlannerView,
    demand: &BTreeMap<ModelName, Demand>,
    free: &mut FreeHosts,
) -> Vec<Drain> {
    let mut drains = Vec::new();
    for (model, count) in replica_counts(view) {
        let target = demand.get(model).map_or(0, Demand::target_replicas);
        if count <= target {
            continue;
        }
        let mut placed: Vec<_> = view.replicas.iter().filter(|p| p.model == *model).collect();
        placed.sort_by_key(|p| (surplus_rank(p), usize::MAX - free.count_in(p.domain)));
        for placed in placed.into_iter().take(count - target) {
            free.expect_hosts(placed.domain, placed.width);
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

pub(crate) fn drain_replica(placed: &PlacedReplica, reason: DrainReason) -> Drain {
    Drain {
        replica: placed.replica,
        reason,
    }
}

/// Replaces slow and outdated replicas, one of each model at a time. Where free hosts
/// suffice, the replacement is formed first, else the replica's own and spare hosts form it.
fn replace_slow_and_outdated(
    view: &PlannerView,
    demand: &BTreeMap<ModelName, Demand>,
    free: &mut FreeHosts,
    plan: &mut Plan,
) {
    let mut busy = models_in_change(view, plan);
    for placed in &view.replicas {
        let Some(demand) = demand.get(&placed.model) else {
            continue;
        };
        let needs_no_replacement =
            matches!(placed.state, PlacedState::Fixed | PlacedState::Movable);
        if needs_no_replacement || busy.contains(&placed.model) {
            continue;
        }
        if let Some(domain) = free.tightest_domain(demand.width, None) {
            plan.forms.push(Form {
                model: placed.model.clone(),
                domain,
                hosts: free.take_hosts(domain, demand.width),
                replaces: Some(placed.replica),
            });
        } else if let Some(drain) = drain_in_place(placed, demand.width, free) {
            plan.drains.push(drain);
        } else {
            continue;
        }
        busy.insert(placed.model.clone());
    }
}

/// Models of which a replica is being formed, replaced or drained.
fn models_in_change(view: &PlannerView, plan: &Plan) -> BTreeSet<ModelName> {
    let fixed = view
        .replicas
        .iter()
        .filter(|p| p.state == PlacedState::Fixed);
    let mut busy: BTreeSet<ModelName> = fixed.map(|p| p.model.clone()).collect();
    busy.extend(plan.forms.iter().map(|form| form.model.clone()));
    busy.extend(plan.awaiting.keys().cloned());
    let draining = plan
        .drains
        .iter()
        .map(|drain| drain.replica)
        .collect::<BTreeSet<_>>();
    let draining = view
        .replicas
        .iter()
        .filter(|p| draining.contains(&p.replica));
    busy.extend(draining.map(|p| p.model.clone()));
    busy
}

/// Drains a replica whose hosts and spares then form its replacement.
fn drain_in_place(placed: &PlacedReplica, width: usize, free: &mut FreeHosts) -> Option<Drain> {
    let free_count = free.count_in(placed.domain);
    let (spares, reason) = match placed.state {
        PlacedState::Slow(slow) => (slow, DrainReason::Slow),
        PlacedState::Outdated => {
            let spares = width.saturating_sub(placed.width);
            (spares, DrainReason::Outdated)
        }
        PlacedState::Fixed | PlacedState::Movable => return None,
    };
    if free_count < spares {
        return None;
    }
    free.take_hosts(placed.domain, spares);
    Some(drain_replica(placed, reason))
}
