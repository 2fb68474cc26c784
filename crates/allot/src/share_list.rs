//! Which entry hosts hold shares of which limits.

use serde::Deserialize;
use serde::Serialize;

use base::Incarnation;
use base::NodeId;
use base::RequestRate;
use base::UpstreamId;
use fleet::Published;

/// A process that named a limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitedProcess {
    /// The process.
    pub process: UpstreamId,
    /// The incarnation of the process.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// The limit on the requests of all entry hosts together.
    pub rate: RequestRate,
    /// The entry hosts that may send to it.
    pub holders: Vec<ShareHolder>,
}

/// An entry host that holds a share of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareHolder {
    /// The entry host.
    pub entry: NodeId,
    /// Its share in proportion to those of the others.
    pub weight: u32,
}

impl LimitedProcess {
    /// The rate at which an entry host may send to the process.
    pub fn share_of(&self, entry: NodeId) -> RequestRate {
        let total: u32 = self.holders.iter().map(|holder| holder.weight).sum();
        let mut holders = self.holders.iter();
        let own = holders.find(|holder| holder.entry == entry);
        let weight = own.map_or(0, |holder| holder.weight);
        RequestRate(self.rate.0 * f64::from(weight) / f64::from(total.max(1)))
    }
}

/// All limits in force, as the leader publishes them.
pub type ShareList = Published<LimitedProcess>;
