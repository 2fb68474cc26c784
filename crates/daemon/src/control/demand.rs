//! The number of replicas of each model that this data centre should have.

use std::collections::BTreeMap;

use crate::node::Node;
use base::ModelName;
use plan::Demand;
use plan::Phase;
use rules::Model;

/// Fraction of a replica's slots that may be in use before another replica is wanted.
const TARGET_SLOT_USE: f64 = 0.7;

/// The demand for each model: this data centre's share of the rules' bounds, and the
/// replicas that the load calls for.
pub fn demand(node: &Node) -> BTreeMap<ModelName, Demand> {
    let centres = node.settings.centre_count().max(1);
    let rules = node.rules();
    let wanted = wanted_replicas(node);
    let demand_for = |name: &ModelName, model: &Model| Demand {
        width: model.width as usize,
        min: (model.min_replicas as usize).div_ceil(centres),
        max: (model.max_replicas as usize).div_ceil(centres),
        wanted: wanted.get(name).copied().unwrap_or(0),
    };
    let models = rules.models.iter();
    models
        .map(|(name, model)| (name.clone(), demand_for(name, model)))
        .collect()
}

/// The number of replicas at which the present load would use [`TARGET_SLOT_USE`] of the
/// slots.
fn wanted_replicas(node: &Node) -> BTreeMap<ModelName, usize> {
    let status = node.control.status();
    let upstreams = node.upstreams.borrow();
    let mut loads: BTreeMap<ModelName, (f64, f64, usize)> = BTreeMap::new();
    for replica in status.replicas.iter().filter(|r| r.phase == Phase::Serving) {
        let first = replica.hosts.first().and_then(|host| upstreams.host(*host));
        if let Some(received) = first {
            let load = &received.report.load;
            let entry = loads.entry(replica.model.clone()).or_default();
            entry.0 += f64::from(load.running + load.waiting);
            entry.1 += f64::from(load.slots);
            entry.2 += 1;
        }
    }
    let wanted = |(busy, slots, count): (f64, f64, usize)| {
        let per_replica = slots / count as f64;
        (busy / (per_replica * TARGET_SLOT_USE).max(1.0)).ceil() as usize
    };
    loads
        .into_iter()
        .map(|(model, load)| (model, wanted(load)))
        .collect()
}
