//! Rounds in which each node in sight reports once.
//!
//! A node may admit its share of a level only once for each report of the others: until
//! they have told what they admitted meanwhile, the level it knows is too high.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::DemandReport;
use base::Incarnation;
use base::NodeId;
use base::Time;

/// A round ends without those that have not reported for this many exchanges.
const MAX_EXCHANGES: u32 = 2;

/// The round that is under way.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportRound {
    started: Time,
    /// The last reports of the rounds before.
    previous: BTreeMap<NodeId, (Incarnation, u64)>,
}

impl ReportRound {
    /// Begins the next round if this one is over: all of the `peers` in sight have reported
    /// since it started, or it has lasted too long.
    pub fn start_next_if_over(
        &mut self,
        heard: &[&DemandReport],
        peers: usize,
        exchange: Duration,
        now: Time,
    ) -> bool {
        let is_new = |r: &&&DemandReport| {
            let before = self.previous.get(&r.node);
            before.is_none_or(|before| *before < (r.incarnation, r.sequence))
        };
        let is_whole = peers <= heard.iter().filter(is_new).count();
        if !is_whole && now < self.started + exchange * MAX_EXCHANGES {
            return false;
        }
        self.started = now;
        let reports = heard.iter().map(|r| (r.node, (r.incarnation, r.sequence)));
        self.previous = reports.collect();
        true
    }
}
