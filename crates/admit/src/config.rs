//! Settings of the dispatcher.

use std::collections::BTreeMap;
use std::time::Duration;

use base::CentreId;
use base::Incarnation;
use base::NodeId;
use route::Length;
use route::Standing;

/// What happens to a request above its contract's rate limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ExcessPolicy {
    /// The request is refused.
    #[default]
    Refuse,
    /// The request runs on spare capacity, which no request within its contract needs.
    UseSpare,
}

/// How busy a replica may be for a request to be sent to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadLimit {
    /// The largest fill: the share of the replica's slots that is taken, including the
    /// request.
    pub fill: f64,
    /// The longest time that the replica needs for its prefill backlog.
    pub backlog: Duration,
}

impl LoadLimit {
    /// Creates a limit from the largest fill and the longest prefill backlog.
    pub fn new(fill: f64, backlog: Duration) -> Self {
        Self { fill, backlog }
    }
}

/// Settings of the dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The id of this entry node.
    pub node: NodeId,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// All entry nodes of the settings and their data centres, including this one.
    pub nodes: BTreeMap<NodeId, CentreId>,
    /// Time between two demand reports.
    pub exchange_interval: Duration,
    /// Without an exchange for this long, a node limits itself to its own part of the limits.
    pub stale_after: Duration,
    /// What happens to requests above their contract's rate limits.
    pub excess_policy: ExcessPolicy,
    /// A request counts as long if its work exceeds the median by this factor.
    pub long_factor: f64,
    /// Share of the slots that long requests may hold. Until they hold most of it, they go
    /// before short ones.
    pub long_share: f64,
    /// Load limit for short requests within their contracts. A fill slightly above one keeps
    /// the slots busy although load reports lag.
    pub within_short: LoadLimit,
    /// Load limit for long requests within their contracts.
    pub within_long: LoadLimit,
    /// Highest load limit for short requests beyond their contracts. The fill is lowered while
    /// requests within contracts wait long for their first token.
    pub beyond_short: LoadLimit,
    /// Load limit for long requests beyond their contracts. It is lower because they hold their
    /// slots for long.
    pub beyond_long: LoadLimit,
    /// Time between two polls while requests wait.
    pub poll_interval: Duration,
    /// An attempt without a token for this long counts as lost.
    pub silence_timeout: Duration,
    /// Settings of the router.
    pub route: route::Config,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            node: NodeId(0),
            incarnation: Incarnation(0),
            nodes: BTreeMap::new(),
            exchange_interval: Duration::from_millis(100),
            stale_after: Duration::from_millis(500),
            excess_policy: ExcessPolicy::Refuse,
            long_factor: 6.0,
            long_share: 0.5,
            within_short: LoadLimit::new(1.06, Duration::MAX),
            within_long: LoadLimit::new(1.0, Duration::from_secs(2)),
            beyond_short: LoadLimit::new(0.95, Duration::from_millis(600)),
            beyond_long: LoadLimit::new(0.7, Duration::from_millis(200)),
            poll_interval: Duration::from_millis(5),
            silence_timeout: Duration::from_secs(30),
            route: route::Config::default(),
        }
    }
}

impl Config {
    /// The load limit for requests of a kind.
    pub fn load_limit(&self, standing: Standing, length: Length) -> LoadLimit {
        match (standing, length) {
            (Standing::Within, Length::Short) => self.within_short,
            (Standing::Within, Length::Long) => self.within_long,
            (Standing::Beyond, Length::Short) => self.beyond_short,
            (Standing::Beyond, Length::Long) => self.beyond_long,
        }
    }
}
