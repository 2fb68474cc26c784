//! Pulls newer configurations from other nodes and puts them in force.
//!
//! A node asks others for a newer version than its own. It receives the whole
//! file, so hundreds of missed changes cost as much as one.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use crate::dispatch;
use crate::events::Event;
use crate::events::emit;
use crate::node::ActiveConfig;
use crate::node::Node;
use crate::node::Phase;
use base::NodeId;
use base::Version;
use net::RpcMethods;
use rules::Rules;
use wire::peer::Configuration;
use wire::peer::PullConfig;
use wire::peer::PullConfigReply;

/// Mean time between two pulls, each from one other node.
const PULL_INTERVAL: Duration = Duration::from_millis(2_000);

/// How long the other node may take to answer a pull.
const PULL_TIMEOUT: Duration = Duration::from_millis(1_000);

pub fn methods(methods: RpcMethods<Node>) -> RpcMethods<Node> {
    methods.register(|node: Rc<Node>, pull: PullConfig| async move {
        let config = node.config.borrow();
        let newer = (pull.have < config.version).then(|| Configuration {
            version: config.version,
            text: config.text.to_string(),
        });
        Ok(PullConfigReply {
            have: config.version,
            applied: node.known_applied_index(),
            newer,
        })
    })
}

/// Pulls from a random other node at intervals, for as long as this one runs.
///
/// The membership exchange over UDP usually announces a newer version much sooner.
pub async fn run_pull(node: Rc<Node>) {
    let mut rng = fastrand::Rng::new();
    let others = node
        .settings
        .peers
        .keys()
        .copied()
        .filter(|id| *id != node.id());
    let others: Vec<NodeId> = others.collect();
    while !others.is_empty() {
        pull_from(&node, others[rng.usize(..others.len())]).await;
        let jitter = 0.75 + rng.f64() / 2.0;
        compio::time::sleep(PULL_INTERVAL.mul_f64(jitter)).await;
    }
}

/// Asks one node for a configuration newer than the one in force here.
pub async fn pull_from(node: &Rc<Node>, other: NodeId) {
    let Some(peer) = node.settings.peers.get(&other) else {
        return;
    };
    let pull = PullConfig {
        from: node.id(),
        have: node.version(),
    };
    let pulled = node
        .peers
        .call(peer.internal_addr, &pull, PULL_TIMEOUT)
        .await;
    let Ok(pulled) = pulled else {
        return;
    };
    node.applied_index
        .set(node.applied_index.get().max(pulled.applied));
    if let Some(newer) = pulled.newer {
        adopt_config(node, newer.version, &newer.text);
    }
}

/// Puts a configuration in force unless the same or a newer one is. The version never
/// decreases.
///
/// A node with a data folder stores it there first, so that after a restart it never
/// serves by an older one than before.
pub fn adopt_config(node: &Node, version: Version, text: &str) {
    if version <= node.version().max(node.config_store.newest_version()) {
        return;
    }
    let configuration = Configuration {
        version,
        text: text.to_owned(),
    };
    match node.settings.node.data_dir {
        Some(_) => node.config_store.store(configuration),
        None => activate_config(node, &configuration),
    }
}

/// Puts a configuration in force that is already stored, or that cannot be.
pub fn activate_config(node: &Node, configuration: &Configuration) {
    let version = configuration.version;
    if version <= node.version() {
        return;
    }
    let rules = match Rules::parse(Path::new("rules"), &configuration.text) {
        Ok(rules) => rules,
        Err(findings) => {
            let error = findings.to_string();
            emit(&Event::ConfigUnreadable { version, error });
            return;
        }
    };
    node.config.replace(ActiveConfig {
        version,
        text: configuration.text.as_str().into(),
        rules: Rc::new(rules),
    });
    dispatch::set_contracts(node);
    node.gossip.announce_version(version);
    node.metrics.config_version.set(version.0 as i64);
    if node.phase.get() == Phase::Starting {
        node.phase.set(Phase::Serving);
    }
    emit(&Event::ConfigInForce { version });
}
