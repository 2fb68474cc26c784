//! The configuration in force.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::EngineConfig;
use crate::Route;
use base::OrgName;
use base::ServiceName;
use base::Version;

/// What a configuration says of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Connections that one of its processes takes from all callers together.
    pub max_connections: u32,
    /// Its model engines, if its processes are hosts of these.
    pub engine: Option<EngineConfig>,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a request to arrive.
    pub receive_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            receive_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A configuration as its operator wrote it, checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Its version.
    pub version: Version,
    /// The routes by host, those with the longest prefix first.
    pub routes: BTreeMap<String, Vec<Route>>,
    /// The services.
    pub services: BTreeMap<ServiceName, Service>,
    /// What callers may send.
    pub caller_limits: CallerLimits,
    /// The organisation of each key. None if callers need no keys at all.
    pub orgs_by_key: Option<BTreeMap<String, OrgName>>,
}

impl Configuration {
    /// The route of a request: the longest prefix of its path among its host's.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or(host);
        let routes = self.routes.get(&host.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Adds a route, keeping those with the longest prefix first.
    pub fn add_route(&mut self, route: Route) {
        let routes = self.routes.entry(route.host.to_ascii_lowercase());
        let routes = routes.or_default();
        let longer = |known: &Route| route.prefix.len() <= known.prefix.len();
        let at = routes.partition_point(longer);
        routes.insert(at, route);
    }

    /// The services whose processes are hosts of model engines.
    pub fn engines(&self) -> impl Iterator<Item = (&ServiceName, &EngineConfig)> {
        self.services
            .iter()
            .filter_map(|(name, service)| Some((name, service.engine.as_ref()?)))
    }
}
