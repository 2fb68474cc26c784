//! Brings the configuration that was accepted into force here.
//!
//! A node asks others for anything newer than what it has. It takes the whole
//! file, so hundreds of missed changes cost as much as one.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use crate::clock;
use crate::dispatch;
use crate::events::Event;
use crate::events::emit;
use crate::inner::kept;
use crate::node::HeardVersion;
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
const PULL_EVERY: Duration = Duration::from_millis(500);

/// How long that node may take.
const PULL_WITHIN: Duration = Duration::from_millis(1_000);

pub fn methods(methods: Methods<Node>) -> Methods<Node> {
    methods.on(|node: Rc<Node>, pull: PullConfig| async move {
        hear_version(&node, pull.from, pull.have);
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

fn hear_version(node: &Node, from: NodeId, version: Version) {
    let at = clock::now();
    node.versions
        .borrow_mut()
        .insert(from, HeardVersion { version, at });
}

/// Asks other nodes in turn, for as long as this one runs.
pub async fn pull_on(node: Rc<Node>) {
    let mut rng = fastrand::Rng::new();
    let others: Vec<_> = node
        .settings
        .peers
        .keys()
        .filter(|id| **id != node.id())
        .collect();
    while !others.is_empty() {
        compio::time::sleep(PULL_EVERY.mul_f64(0.75 + rng.f64() / 2.0)).await;
        let other = others[rng.usize(..others.len())];
        let addr = node.settings.peers[other].internal;
        let pull = PullConfig {
            from: node.id(),
            have: node.version(),
        };
        let Ok(pulled) = node.peers.call(addr, &pull, PULL_WITHIN).await else {
            continue;
        };
        hear_version(&node, *other, pulled.have);
        node.applied.set(node.applied.get().max(pulled.applied));
        if let Some(newer) = pulled.newer {
            bring_into_force(&node, newer.version, &newer.text);
        }
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
