//! Creates the entry nodes of a run.

use super::policy::Policy;
use super::traffic::NODE_WEIGHTS;
use super::world::CENTRES;
use super::world::Run;
use admit::Config;
use admit::Dispatcher;
use admit::ExcessPolicy;
use base::CentreId;
use base::Incarnation;
use base::NodeId;
use base::Time;

/// The number of entry nodes under a policy.
pub fn node_count(policy: Policy) -> usize {
    match policy {
        Policy::Perfect => 1,
        Policy::Limit | Policy::Lend | Policy::RoundRobin => NODE_WEIGHTS.len(),
    }
}

/// Creates the dispatcher of one entry node.
pub fn open_node(run: &Run, node: usize) -> Dispatcher {
    let excess_policy = match run.policy {
        Policy::Limit => ExcessPolicy::Refuse,
        Policy::Lend | Policy::Perfect | Policy::RoundRobin => ExcessPolicy::UseSpare,
    };
    let count = node_count(run.policy) as u32;
    let nodes = (0..count).map(|n| (NodeId(n), CentreId(n % CENTRES as u32)));
    let cfg = Config {
        node: NodeId(node as u32),
        incarnation: Incarnation(1),
        nodes: nodes.collect(),
        excess_policy,
        ..Config::default()
    };
    let mut dispatcher = Dispatcher::new(cfg, run.seed + node as u64);
    dispatcher.set_contracts(&run.contracts, Time::ZERO);
    dispatcher
}
