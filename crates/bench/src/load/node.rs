//! The entry nodes of a run.

use super::policy::Policy;
use super::traffic::NODE_WEIGHTS;
use super::world::CENTRES;
use super::world::Run;
use admit::Beyond;
use admit::Config;
use admit::Dispatcher;
use base::CentreId;
use base::Incarnation;
use base::NodeId;
use base::Time;

/// Entry nodes under a policy.
pub fn node_count(policy: Policy) -> usize {
    match policy {
        Policy::Perfect => 1,
        Policy::Limit | Policy::Lend | Policy::RoundRobin => NODE_WEIGHTS.len(),
    }
}

/// The dispatcher of one entry node.
pub fn open_node(run: &Run, node: usize) -> Dispatcher {
    let beyond = match run.policy {
        Policy::Limit => Beyond::Refuse,
        Policy::Lend | Policy::Perfect | Policy::RoundRobin => Beyond::Lend,
    };
    let count = node_count(run.policy) as u32;
    let nodes = (0..count).map(|n| (NodeId(n), CentreId(n % CENTRES as u32)));
    let cfg = Config {
        node: NodeId(node as u32),
        incarnation: Incarnation(1),
        nodes: nodes.collect(),
        beyond,
        ..Config::default()
    };
    let mut dispatcher = Dispatcher::open(cfg, run.seed + node as u64);
    dispatcher.configure(&run.contracts, Time::ZERO);
    dispatcher
}
