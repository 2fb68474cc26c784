//! What nodes publish in the simulation, and what the exchange costs them.

/// What nodes publish in addition to their membership and versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Workload {
    /// Nothing.
    None,
    /// Every 5 s, each node publishes the loads of 35 replicas and 200 bytes of demand to its
    /// own data centre, and one node of each data centre a summary of 300 bytes to all nodes.
    Reports,
}

impl Workload {
    /// All workloads.
    pub const ALL: [Self; 2] = [Self::None, Self::Reports];

    /// The name of the workload in the tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "membership",
            Self::Reports => "with reports",
        }
    }

    /// The name in the tables for the full mesh.
    pub fn mesh_name(self) -> &'static str {
        match self {
            Self::None => "full mesh",
            Self::Reports => "full mesh, reports",
        }
    }

    /// Bytes of one node's report of the loads of 35 replicas.
    pub const LOADS_BYTES: usize = 350;
    /// Bytes of one node's report of demand.
    pub const DEMAND_BYTES: usize = 200;
    /// Bytes of one data centre's summary of demand.
    pub const SUMMARY_BYTES: usize = 300;
}

/// What the exchange costs one node. Values are means over all nodes unless stated otherwise.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExchangeCost {
    /// Bytes sent a second, including headers and authentication tags.
    pub sent: f64,
    /// Bytes received a second, including headers and authentication tags.
    pub received: f64,
    /// Bytes a second both ways at the node with the most.
    pub both_ways_max: f64,
    /// Datagrams a second both ways.
    pub datagrams: f64,
    /// Processor time, as a share of a core.
    pub core_share: f64,
    /// Processor time at the node with the most, as a share of a core.
    pub core_share_max: f64,
    /// Share of the reports of loads that arrived before the next report was due. `None` if
    /// there were no reports or it was not measured.
    pub in_time: Option<f64>,
    /// Bytes of state in memory.
    pub memory: f64,
}
