//! The configuration in force.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::EngineConfig;
use crate::Route;
use base::OrgName;
use base::ServiceName;
use base::Version;

/// The settings of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// How many connections one of its processes accepts from all callers together.
    pub max_connections: u32,
    /// Its model engines, if its processes are engine hosts.
    pub engine: Option<EngineConfig>,
}

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Largest size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a request to arrive.
    pub receive_timeout: Duration,
    /// Longest time that a connection may be idle.
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

/// A checked configuration of a deployment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// The version of the configuration.
    pub version: Version,
    /// The routes by lowercase host name, those with the longest prefix first.
    pub routes: BTreeMap<String, Vec<Route>>,
    /// The services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Limits on callers' requests.
    pub caller_limits: CallerLimits,
    /// The organisation that each caller's key belongs to. None if callers need no keys.
    pub orgs_by_key: Option<BTreeMap<String, OrgName>>,
}

impl Configuration {
    /// The route of a request: of its host's routes, the one with the longest prefix of its
    /// path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or(host);
        let routes = self.routes.get(&host.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Adds a route, keeping those with the longest prefix first.
    pub fn add_route(&mut self, route: Route) {
        let routes = self.routes.entry(route.host.to_ascii_lowercase());
        let routes = routes.or_default();
        let is_not_shorter = |known: &Route| route.prefix.len() <= known.prefix.len();
        let index = routes.partition_point(is_not_shorter);
        routes.insert(index, route);
    }

    /// The services whose processes are engine hosts, with their engines.
    pub fn engines(&self) -> impl Iterator<Item = (&ServiceName, &EngineConfig)> {
        self.services
            .iter()
            .filter_map(|(name, service)| Some((name, service.engine.as_ref()?)))
    }
}
