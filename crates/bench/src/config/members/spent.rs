//! What nodes publish in the measure, and what the exchange costs them.

/// What nodes publish besides their membership and versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Load {
    /// Nothing.
    None,
    /// Every 5 s the loads of 35 replicas and 200 bytes of demand to the own
    /// data centre, and for each data centre 300 bytes to all.
    Reports,
}

impl Load {
    /// All loads.
    pub const ALL: [Self; 2] = [Self::None, Self::Reports];

    /// Its name in the tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "membership",
            Self::Reports => "with reports",
        }
    }

    /// Its name with the naive exchange.
    pub fn mesh_name(self) -> &'static str {
        match self {
            Self::None => "full mesh",
            Self::Reports => "full mesh, reports",
        }
    }

    /// Bytes of the loads of 35 replicas, and of one node's demand.
    pub const LOADS_BYTES: usize = 350;
    /// Bytes of one node's demand.
    pub const DEMAND_BYTES: usize = 200;
    /// Bytes of one data centre's summary.
    pub const SUMMARY_BYTES: usize = 300;
}

/// What the exchange costs one node, means unless said otherwise.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spent {
    /// Bytes sent a second, headers and tags included.
    pub sent: f64,
    /// Bytes received a second.
    pub received: f64,
    /// Bytes a second both ways at the node with the most.
    pub both_max: f64,
    /// Datagrams a second both ways.
    pub datagrams: f64,
    /// Share of a core.
    pub core: f64,
    /// Share of a core at the node with the most.
    pub core_max: f64,
    /// Share of the reports of loads that came within the time between two, if
    /// there were any and it was measured.
    pub in_time: Option<f64>,
    /// Bytes of state.
    pub memory: f64,
}
