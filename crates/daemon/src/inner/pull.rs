//! Brings the configuration that was accepted into force here.
//!
//! A node asks others for anything newer than what it has. It takes the whole
//! file, so hundreds of missed changes cost as much as one.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use crate::dispatch;
use crate::events::Event;
use crate::events::emit;
use crate::inner::kept;
use crate::node::InForce;
use crate::node::Node;
use crate::node::Phase;
use base::NodeId;
use base::Version;
use net::Methods;
use rules::Rules;
use wire::peer::Configuration;
use wire::peer::PullConfig;
use wire::peer::Pulled;

/// How often a node asks one other node.
const PULL_EVERY: Duration = Duration::from_millis(2_000);

/// How long that node may take.
const PULL_WITHIN: Duration = Duration::from_millis(1_000);

pub fn methods(methods: Methods<Node>) -> Methods<Node> {
    methods.on(|node: Rc<Node>, pull: PullConfig| async move {
        let config = node.config.borrow();
        let newer = (pull.have < config.version).then(|| Configuration {
            version: config.version,
            text: config.text.to_string(),
        });
        Ok(Pulled {
            have: config.version,
            applied: node.known_index(),
            newer,
        })
    })
}

/// Asks other nodes in turn, for as long as this one runs.
///
/// The exchange over UDP usually tells much sooner that there is something newer.
pub async fn pull_on(node: Rc<Node>) {
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
        compio::time::sleep(PULL_EVERY.mul_f64(jitter)).await;
    }
}

/// Asks one node for anything newer than what is in force here.
pub async fn pull_from(node: &Rc<Node>, other: NodeId) {
    let Some(peer) = node.settings.peers.get(&other) else {
        return;
    };
    let pull = PullConfig {
        from: node.id(),
        have: node.version(),
    };
    let pulled = node.peers.call(peer.internal, &pull, PULL_WITHIN).await;
    let Ok(pulled) = pulled else {
        return;
    };
    node.applied.set(node.applied.get().max(pulled.applied));
    if let Some(newer) = pulled.newer {
        bring_into_force(node, newer.version, &newer.text);
    }
}

/// Puts a configuration in force unless a newer one is. Never goes back.
pub fn bring_into_force(node: &Node, version: Version, text: &str) {
    if version <= node.version() {
        return;
    }
    let rules = match Rules::parse(Path::new("rules"), text) {
        Ok(rules) => rules,
        Err(findings) => {
            let error = findings.to_string();
            emit(&Event::ConfigUnreadable { version, error });
            return;
        }
    };
    let kept = Configuration {
        version,
        text: text.to_owned(),
    };
    keep_on(node, kept);
    node.config.replace(InForce {
        version,
        text: text.into(),
        rules: Rc::new(rules),
    });
    dispatch::configure(node);
    node.gossip.in_force(version);
    node.metrics.config_version.set(version.0 as i64);
    if node.phase.get() == Phase::Starting {
        node.phase.set(Phase::Serving);
    }
    emit(&Event::ConfigInForce { version });
}

/// Keeps a configuration in the data folder, without holding up the loop.
fn keep_on(node: &Node, configuration: Configuration) {
    let Some(folder) = node.settings.node.data.clone() else {
        return;
    };
    compio::runtime::spawn(async move {
        let kept = folder.clone();
        let task = compio::runtime::spawn_blocking(move || kept::keep(&kept, &configuration));
        if let Ok(Err(e)) = task.await {
            let error = e.to_string();
            let folder = &folder;
            emit(&Event::DiskFailed { folder, error });
        }
    })
    .detach();
}
