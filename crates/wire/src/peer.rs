//! Calls that the system's nodes make to each other.

use serde::Deserialize;
use serde::Serialize;

use base::HostReport;
use base::NodeId;
use base::ServiceReport;
use base::Version;

use crate::Call;

/// What a node heard from upstreams since it last told its neighbours.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Relay {
    /// The node that heard it.
    pub from: NodeId,
    /// Announcements of hosts.
    pub hosts: Vec<HostReport>,
    /// Announcements of services.
    pub services: Vec<ServiceReport>,
}

/// A message was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Taken {}

impl Call for Relay {
    const METHOD: &'static str = "relay";
    type Reply = Taken;
}

/// Asks for a configuration that is newer than the one this node has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullConfig {
    /// The version it has.
    pub have: Version,
}

/// The answer to [`PullConfig`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pulled {
    /// The newer configuration, if there is one.
    pub newer: Option<Configuration>,
}

/// An accepted configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Its version.
    pub version: Version,
    /// The operators' whole file.
    pub text: String,
}

impl Call for PullConfig {
    const METHOD: &'static str = "pull_config";
    type Reply = Pulled;
}
