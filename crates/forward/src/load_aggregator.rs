//! The load of all entry hosts, as a control host knows it.
//!
//! Entry hosts report to the control host that they follow, and control hosts report the
//! sum to the leading control host, which sends each of them the sum of the others. So each
//! entry host learns the load of all entry hosts, whichever control host it follows.
//!
//! An entry host that goes to another control host is in the reports of both for a while. Only
//! the one that heard it last counts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use crate::IncludedEntry;
use crate::LoadReport;
use crate::received_report::LastHeard;
use crate::received_report::ReceivedReport;
use crate::received_report::Reporter;
use base::NodeId;
use base::Time;
use base::UpstreamId;

/// How long reported load on targets counts.
const LOAD_TTL: Duration = Duration::from_secs(3);

/// How long an entry host is counted after its last report. Longer than the window of the
/// retry budget, because a silent entry host may still use its part of the budget.
const ENTRY_TTL: Duration = Duration::from_secs(11);

/// The shortest time between two sums of the load for entry hosts.
const SUM_INTERVAL: Duration = Duration::from_millis(25);

/// The shortest time between two load reports from one control host to another.
const CONTROL_INTERVAL: Duration = Duration::from_millis(25);

/// Target loads that a control host sends to all its followers together, per second. Each
/// costs processor time to encode and decode.
const MAX_LOADS_PER_SECOND: f64 = 30_000.0;

/// Sums the load reports that a control host receives, and decides when to send the sums.
#[derive(Clone, Debug, Default)]
pub struct LoadAggregator {
    /// The last report of each entry host or control host that follows this one.
    reports: BTreeMap<NodeId, ReceivedReport>,
    /// The last report of the leading control host: the load that it knows from others.
    leader_report: ReceivedReport,
    /// The entry hosts of the last report to the leader.
    told_leader: BTreeSet<NodeId>,
    /// The sum that entry hosts choose targets by, and when it was computed.
    sum_for_choice: Rc<LoadReport>,
    sum_at: Time,
    /// When a report was last sent to each follower and to the leader.
    sent_at: BTreeMap<NodeId, Time>,
}

impl LoadAggregator {
    /// Records the report of an entry host, or of a control host for its own followers.
    pub fn record_report(&mut self, from: NodeId, report: LoadReport, now: Time) {
        let is_other = |included: &IncludedEntry| included.node != from;
        let is_entry = report.entries == 1 && !report.included.iter().any(is_other);
        let mut received = match is_entry {
            true => ReceivedReport::of_entry(from, report, now),
            false => ReceivedReport::new(report, now, now),
        };
        let known = self.reports.get(&from);
        received.is_in_leader_report |= known.is_some_and(|known| known.is_in_leader_report);
        self.reports.insert(from, received);
        self.reports
            .retain(|_, received| now.since(received.at) < ENTRY_TTL);
    }

    /// Records the report of the leading control host, which was asked for it at `asked_at`.
    /// While the leader is unreachable, the entry hosts of its last report stay counted, because
    /// they go on sending.
    pub fn record_leader_report(&mut self, report: LoadReport, asked_at: Time, now: Time) {
        let received = ReceivedReport::new(report, asked_at, now);
        self.reports
            .retain(|_, known| known.take_out_moved(&received.heard));
        for (from, known) in &mut self.reports {
            known.is_in_leader_report &= !self.told_leader.contains(from);
        }
        self.leader_report = received;
    }

    /// Drops the report of an earlier leader, because this control host leads now and receives
    /// all reports itself. The count of entry hosts stays until it expires.
    pub fn forget_old_leader_report(&mut self, now: Time) {
        let is_expired = ENTRY_TTL <= now.since(self.leader_report.at);
        if is_expired {
            self.leader_report = ReceivedReport::default();
        }
        self.leader_report.report.loads.clear();
    }

    /// The sum of the reports that this control host received, for the leading one. Names the
    /// entry hosts that it covers.
    pub fn followers_total(&self, now: Time) -> LoadReport {
        let last_heard = self.last_heard();
        let followed = last_heard
            .iter()
            .filter(|(_, last)| last.by != Reporter::Leader);
        let included = followed.map(|(node, last)| included_entry(*node, last.at, now));
        LoadReport {
            included: included.collect(),
            ..self.sum(|_, _| true, &last_heard, now)
        }
    }

    /// Whether any report has offered load. Cheaper than computing the sum.
    pub fn has_offered_work(&self) -> bool {
        let mut all = self.reports.values().chain([&self.leader_report]);
        all.any(|received| {
            let mut work = received.report.work.iter();
            work.any(|work| 0.0 < work.offered)
        })
    }

    /// Number of entry hosts and control hosts that follow this one.
    pub fn follower_count(&self) -> u32 {
        u32::try_from(self.reports.len()).unwrap_or(u32::MAX)
    }

    /// The load of all entry hosts.
    pub fn total(&self, now: Time) -> LoadReport {
        self.total_except(None, now)
    }

    /// The load of all entry hosts except those that control host `node` reported. Names those of
    /// its own reports that follow another one since.
    pub fn total_without(&self, node: NodeId, now: Time) -> LoadReport {
        let last_heard = self.last_heard();
        let receiver = Reporter::Follower(node);
        let reported = self.reports.get(&node);
        let named = last_heard.iter().filter(|(entry, last)| {
            let was_reported = reported.is_some_and(|known| known.heard.contains_key(entry));
            last.by != receiver && was_reported
        });
        let included = named.map(|(entry, last)| included_entry(*entry, last.at, now));
        LoadReport {
            included: included.collect(),
            ..self.total_except(Some(node), now)
        }
    }

    /// When a target last produced output for any entry host.
    pub fn last_output(&self, target: &UpstreamId) -> Option<Time> {
        let received = self.reports.values().flat_map(|received| {
            let loads = received.report.loads.iter();
            loads.map(move |load| (received.at, load))
        });
        let loads = received.filter(|(_, load)| load.id == *target);
        loads
            .filter_map(|(at, load)| Some(at - Duration::from_millis(load.last_output_ms_ago?)))
            .max()
    }

    /// The load of all entry hosts for one that follows this control host, if a report is due.
    /// The more followers, the less often each gets one.
    pub fn report_for_entry(&mut self, follower: NodeId, now: Time) -> Option<Rc<LoadReport>> {
        if SUM_INTERVAL <= now.since(self.sum_at) {
            self.sum_for_choice = Rc::new(self.total(now).for_target_choice());
            self.sum_at = now;
        }
        let loads = self.sum_for_choice.loads.len() * self.reports.len();
        let interval = Duration::from_secs_f64(loads as f64 / MAX_LOADS_PER_SECOND);
        self.is_due(follower, interval, now)
            .then(|| Rc::clone(&self.sum_for_choice))
    }

    /// The load of all entry hosts for another control host, without the load that it reported
    /// itself, if a report is due.
    pub fn report_for_control(&mut self, follower: NodeId, now: Time) -> Option<Rc<LoadReport>> {
        let is_due = self.is_due(follower, CONTROL_INTERVAL, now);
        is_due.then(|| Rc::new(self.total_without(follower, now).for_target_choice()))
    }

    /// The report for the leading control host, if one is due.
    pub fn report_for_leader(&mut self, leader: NodeId, now: Time) -> Option<LoadReport> {
        let is_due = self.is_due(leader, CONTROL_INTERVAL, now);
        is_due.then(|| {
            let report = self.followers_total(now);
            self.told_leader = report.included.iter().map(|entry| entry.node).collect();
            report
        })
    }

    /// Whether a report to a host is due, `interval` after the one before. If so, records it as
    /// sent.
    fn is_due(&mut self, host: NodeId, interval: Duration, now: Time) -> bool {
        let is_due = self
            .sent_at
            .get(&host)
            .is_none_or(|at| interval <= now.since(*at));
        if is_due {
            self.sent_at.insert(host, now);
            self.sent_at.retain(|_, at| now.since(*at) < ENTRY_TTL);
        }
        is_due
    }

    fn total_except(&self, except: Option<NodeId>, now: Time) -> LoadReport {
        let last_heard = self.last_heard();
        let age = now.since(self.leader_report.at);
        let mut others = self
            .leader_report
            .without_moved(Reporter::Leader, &last_heard)
            .into_owned();
        if LOAD_TTL <= age {
            others.loads.clear();
        }
        let is_counted = |from: NodeId, received: &ReceivedReport| {
            let is_in_others = received.is_in_leader_report && !others.loads.is_empty();
            Some(from) != except && !is_in_others
        };
        let own = self.sum(is_counted, &last_heard, now);
        LoadReport::sum([(&own, Duration::ZERO), (&others, age)])
    }

    fn sum(
        &self,
        is_counted: impl Fn(NodeId, &ReceivedReport) -> bool,
        last_heard: &BTreeMap<NodeId, LastHeard>,
        now: Time,
    ) -> LoadReport {
        let received = self
            .reports
            .iter()
            .filter(|(from, received)| is_counted(**from, received));
        let counted = received.map(|(from, received)| {
            let report = received.without_moved(Reporter::Follower(*from), last_heard);
            (report, now.since(received.at))
        });
        let (fresh, late): (Vec<_>, Vec<_>) = counted.partition(|(_, age)| *age < LOAD_TTL);
        let mut sum = LoadReport::sum(fresh.iter().map(|(report, age)| (report.as_ref(), *age)));
        let late = late.iter().filter(|(_, age)| *age < ENTRY_TTL);
        sum.entries += late.map(|(report, _)| report.entries).sum::<usize>();
        sum
    }

    /// Who heard each entry host last.
    fn last_heard(&self) -> BTreeMap<NodeId, LastHeard> {
        let followers = self
            .reports
            .iter()
            .map(|(from, received)| (Reporter::Follower(*from), received));
        let mut last_heard: BTreeMap<NodeId, LastHeard> = BTreeMap::new();
        for (by, received) in followers.chain([(Reporter::Leader, &self.leader_report)]) {
            for (node, at) in &received.heard {
                let last = last_heard.entry(*node).or_insert(LastHeard { by, at: *at });
                if last.at < *at {
                    *last = LastHeard { by, at: *at };
                }
            }
        }
        last_heard
    }
}

fn included_entry(node: NodeId, heard_at: Time, now: Time) -> IncludedEntry {
    IncludedEntry {
        node,
        heard_ms_ago: now.since(heard_at).as_millis() as u64,
    }
}
