//! Settings of the dispatcher.

use std::collections::BTreeMap;
use std::time::Duration;

use base::CentreId;
use base::Incarnation;
use base::NodeId;

/// What happens to a request beyond its contract's rates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Beyond {
    /// It is refused: the rates are limits.
    #[default]
    Refuse,
    /// It runs on capacity that no request within its contract wants.
    Lend,
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
    pub exchange: Duration,
    /// A node that has had no exchange for so long limits itself as if alone.
    pub stale: Duration,
    /// What happens beyond a contract's rates.
    pub beyond: Beyond,
    /// A request with this many times the usual work is long.
    pub long_factor: f64,
    /// Share of the slots that long requests may hold, and are given first.
    pub long_share: f64,
    /// Share of a replica's slots filled by short requests within their contracts. A
    /// little above one keeps slots busy in spite of lagging reports.
    pub fill: f64,
    /// Share of a replica's slots filled by requests beyond their contracts.
    pub beyond_fill: f64,
    /// Time between two looks at the queue.
    pub tick: Duration,
    /// An attempt that shows no sign of life for so long is lost.
    pub silence: Duration,
    /// Settings of the router.
    pub route: route::Config,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            node: NodeId(0),
            incarnation: Incarnation(0),
            nodes: BTreeMap::new(),
            exchange: Duration::from_millis(100),
            stale: Duration::from_millis(500),
            beyond: Beyond::Refuse,
            long_factor: 6.0,
            long_share: 0.5,
            fill: 1.06,
            beyond_fill: 0.9,
            tick: Duration::from_millis(5),
            silence: Duration::from_secs(30),
            route: route::Config::default(),
        }
    }
}
