//! Rounds in which each visible node reports once.
//!
//! A node may admit its share of a bucket's level only once per round. Until the other nodes
//! have reported what they admitted meanwhile, the level that it knows is too high.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::DemandReport;
use base::Incarnation;
use base::NodeId;
use base::Time;

/// A round lasts at most this many exchange intervals, even if reports are missing.
const MAX_INTERVALS: u32 = 2;

/// The current round of reports.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportRound {
    started: Time,
    /// The last report of each node in earlier rounds: its incarnation and sequence number.
    previous: BTreeMap<NodeId, (Incarnation, u64)>,
}

impl ReportRound {
    /// Starts the next round if this one is over, and says whether it did. A round is over if
    /// all visible `peers` have reported since it started, or if it lasted too long.
    pub fn start_next_if_over(
        &mut self,
        peer_reports: &[&DemandReport],
        peers: usize,
        exchange_interval: Duration,
        now: Time,
    ) -> bool {
        let is_new = |r: &&&DemandReport| {
            let before = self.previous.get(&r.node);
            before.is_none_or(|before| *before < (r.incarnation, r.sequence))
        };
        let is_complete = peers <= peer_reports.iter().filter(is_new).count();
        if !is_complete && now < self.started + exchange_interval * MAX_INTERVALS {
            return false;
        }
        self.started = now;
        let reports = peer_reports
            .iter()
            .map(|r| (r.node, (r.incarnation, r.sequence)));
        self.previous = reports.collect();
        true
    }
}
