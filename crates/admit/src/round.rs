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
const PATIENCE: u32 = 2;

/// The round that is under way.
#[derive(Clone, Debug, Default)]
pub(crate) struct Round {
    began: Time,
    /// The last reports of the rounds before.
    before: BTreeMap<NodeId, (Incarnation, u64)>,
}

impl Round {
    /// Begins the next round if this one is over: all of the `peers` in sight have reported
    /// since it began, or it has lasted too long.
    pub fn end(
        &mut self,
        heard: &[&DemandReport],
        peers: usize,
        exchange: Duration,
        now: Time,
    ) -> bool {
        let is_new = |r: &&&DemandReport| {
            let before = self.before.get(&r.node);
            before.is_none_or(|before| *before < (r.incarnation, r.sequence))
        };
        let is_whole = peers <= heard.iter().filter(is_new).count();
        if !is_whole && now < self.began + exchange * PATIENCE {
            return false;
        }
        self.began = now;
        let reports = heard.iter().map(|r| (r.node, (r.incarnation, r.sequence)));
        self.before = reports.collect();
        true
    }
}
