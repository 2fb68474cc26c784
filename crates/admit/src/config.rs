//! Settings of the dispatcher.

use std::collections::BTreeMap;
use std::time::Duration;

use base::CentreId;
use base::Incarnation;
use base::NodeId;
use route::Length;
use route::Standing;

/// What happens to a request beyond its contract's rates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ExcessPolicy {
    /// It is refused: the rates are limits.
    #[default]
    Refuse,
    /// It runs on capacity that no request within its contract wants.
    UseSpare,
}

/// How busy a replica may be for a request to go there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadLimit {
    /// Share of the slots that may be taken, the request included.
    pub fill: f64,
    /// Time that the prefill backlog may stand for.
    pub backlog: Duration,
}

impl LoadLimit {
    /// A replica with at most this much work.
    pub fn new(fill: f64, backlog: Duration) -> Self {
        Self { fill, backlog }
    }
}

/// Settings of the dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// This entry node.
    pub node: NodeId,
    /// This process's life.
    pub incarnation: Incarnation,
    /// All entry nodes of the settings with their data centres, this one included.
    pub nodes: BTreeMap<NodeId, CentreId>,
    /// Time between two demand reports.
    pub exchange_interval: Duration,
    /// A node that has had no exchange for so long limits itself as if alone.
    pub stale_after: Duration,
    /// What happens beyond a contract's rates.
    pub excess_policy: ExcessPolicy,
    /// A request with this many times the usual work is long.
    pub long_factor: f64,
    /// Share of the slots that long requests may hold, and are given first.
    pub long_share: f64,
    /// Where short requests within their contracts go. A fill a little above one keeps
    /// slots busy in spite of lagging reports.
    pub within_short: LoadLimit,
    /// Where long requests within their contracts go.
    pub within_long: LoadLimit,
    /// Where short requests beyond their contracts go, at most. The fill shrinks while work
    /// within contracts waits long for its first token.
    pub beyond_short: LoadLimit,
    /// Where long requests beyond their contracts go. They give their slots back late.
    pub beyond_long: LoadLimit,
    /// Time between two looks at the queue.
    pub poll_interval: Duration,
    /// An attempt that shows no sign of life for so long is lost.
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
    /// How busy a replica may be for a request of this kind.
    pub fn load_limit(&self, standing: Standing, length: Length) -> LoadLimit {
        match (standing, length) {
            (Standing::Within, Length::Short) => self.within_short,
            (Standing::Within, Length::Long) => self.within_long,
            (Standing::Beyond, Length::Short) => self.beyond_short,
            (Standing::Beyond, Length::Long) => self.beyond_long,
        }
    }
}
