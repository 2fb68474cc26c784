//! Which entry hosts hold shares of which limits.

use serde::Deserialize;
use serde::Serialize;

use crate::LimitChange;
use crate::LimitReport;
use base::Incarnation;
use base::NodeId;
use base::RequestRate;
use base::UpstreamId;
use fleet::Published;

/// Steps of weight for each request a second.
pub(crate) const WEIGHTS_PER_REQUEST: f64 = 8.0;

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
    /// The limit as reports of its holders, or of nobody if it has none.
    pub(crate) fn known_reports(&self) -> Vec<LimitReport> {
        let report = |from, wanted| LimitReport {
            from,
            process: self.process.clone(),
            incarnation: self.incarnation,
            change: LimitChange::Known(self.rate),
            ms_ago: 0,
            wanted,
        };
        if self.holders.is_empty() {
            return vec![report(NodeId(0), RequestRate(0.0))];
        }
        let holders = self.holders.iter();
        let reports = holders.map(|holder| {
            let wanted = f64::from(holder.weight) / WEIGHTS_PER_REQUEST;
            report(holder.entry, RequestRate(wanted))
        });
        reports.collect()
    }

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
