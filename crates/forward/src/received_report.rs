//! A received load report, and which of its entry hosts still count in it.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::LoadReport;
use base::NodeId;
use base::Time;

/// A report, when it was received, and when the entry hosts that it names were heard.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReceivedReport {
    pub report: LoadReport,
    pub at: Time,
    pub heard: BTreeMap<NodeId, Time>,
    /// Whether the report is still in the leader's sum under the control host that its sender left.
    /// It counts from there until the leader was told.
    pub is_in_leader_report: bool,
}

/// Who reported an entry host's load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reporter {
    /// The leading control host.
    Leader,
    /// A host that follows this one.
    Follower(NodeId),
}

/// Who heard an entry host last, and when.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LastHeard {
    pub by: Reporter,
    pub at: Time,
}

impl ReceivedReport {
    /// A report that arrived `now`. It counts as received at `at`.
    pub fn new(report: LoadReport, at: Time, now: Time) -> Self {
        let included = report.included.iter();
        let heard = included.map(|entry| {
            let heard_at = now - Duration::from_millis(entry.heard_ms_ago);
            (entry.node, heard_at)
        });
        Self {
            heard: heard.collect(),
            report,
            at,
            is_in_leader_report: false,
        }
    }

    /// A report of an entry host for itself alone. One that names itself has left another control
    /// host.
    pub fn of_entry(entry: NodeId, report: LoadReport, now: Time) -> Self {
        let is_in_leader_report = !report.included.is_empty();
        Self {
            heard: BTreeMap::from([(entry, now)]),
            report,
            at: now,
            is_in_leader_report,
        }
    }

    /// Takes out the entry hosts that were heard later elsewhere. Returns whether any is left.
    pub fn take_out_moved(&mut self, heard_elsewhere: &BTreeMap<NodeId, Time>) -> bool {
        let before = self.heard.len();
        self.heard.retain(|node, at| {
            let elsewhere = heard_elsewhere.get(node);
            elsewhere.is_none_or(|elsewhere| elsewhere <= at)
        });
        let moved = before - self.heard.len();
        if 0 < moved {
            self.report = self.report.without_entries(moved);
        }
        moved == 0 || 0 < self.report.entries
    }

    /// The report of `by` without the entry hosts that someone else has heard since.
    pub fn without_moved(
        &self,
        by: Reporter,
        last_heard: &BTreeMap<NodeId, LastHeard>,
    ) -> Cow<'_, LoadReport> {
        let is_moved = |node: &&NodeId| last_heard.get(node).is_some_and(|last| last.by != by);
        match self.heard.keys().filter(is_moved).count() {
            0 => Cow::Borrowed(&self.report),
            moved => Cow::Owned(self.report.without_entries(moved)),
        }
    }
}
