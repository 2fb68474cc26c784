//! The limits that an entry host knows, and its shares of them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::LimitChange;
use crate::LimitReport;
use crate::ShareList;
use crate::token_bucket::TokenBucket;
use base::Incarnation;
use base::NodeId;
use base::RequestRate;
use base::Time;
use base::UpstreamId;

/// Time between two reports that this entry host has requests for a limited process.
const WANT_INTERVAL: Duration = Duration::from_secs(1);

/// Lower limits are taken for this one: without any request, no answer would tell that the limit
/// has ended.
const MIN_RATE: RequestRate = RequestRate(0.05);

/// A limit that this entry host knows.
#[derive(Clone, Debug)]
struct KnownLimit {
    incarnation: Incarnation,
    rate: RequestRate,
    /// When this entry host last learned that the limit holds.
    known_at: Time,
    /// Whether an answer to this entry host named the limit.
    was_named: bool,
    /// Whether the leader's list has it.
    is_listed: bool,
    turns: TokenBucket,
    /// Requests for the process since the last report.
    wanted: u32,
    reported_at: Option<Time>,
    is_report_due: bool,
}

/// Says which limited processes this entry host may send a request to.
#[derive(Clone, Debug)]
pub struct LimitGuard {
    own_id: NodeId,
    limits: BTreeMap<UpstreamId, KnownLimit>,
    /// Limits that an answer ended, to be reported.
    ended: Vec<(UpstreamId, Incarnation, Time)>,
    list: ShareList,
}

impl LimitGuard {
    /// Creates a guard that knows no limits.
    pub fn new(own_id: NodeId) -> Self {
        Self {
            own_id,
            limits: BTreeMap::new(),
            ended: Vec::new(),
            list: ShareList::default(),
        }
    }

    /// The leader's list as this entry host knows it.
    pub fn list(&self) -> &ShareList {
        &self.list
    }

    /// The processes with limits.
    pub fn limited(&self) -> impl Iterator<Item = &UpstreamId> {
        self.limits.keys()
    }

    /// Whether a request may be sent to the process now.
    pub fn may_send(&self, process: &UpstreamId, now: Time) -> bool {
        let limit = self.limits.get(process);
        limit.is_none_or(|limit| limit.turns.has_turn(now))
    }

    /// Counts a request that is sent to a process.
    pub fn record_sent(&mut self, process: &UpstreamId, now: Time) {
        if let Some(limit) = self.limits.get_mut(process) {
            limit.turns.take(now);
        }
    }

    /// Records that there are requests for a limited process. Returns whether this is to be
    /// reported.
    pub fn record_wanted(&mut self, process: &UpstreamId, now: Time) -> bool {
        let Some(limit) = self.limits.get_mut(process) else {
            return false;
        };
        limit.wanted += 1;
        limit.is_report_due(now)
    }

    /// Records the limit that a good answer names, if any. `sent_at` is when the answered request
    /// was sent. Returns whether this is to be reported.
    pub fn record_answer(
        &mut self,
        process: &UpstreamId,
        incarnation: Incarnation,
        named: Option<RequestRate>,
        sent_at: Time,
        now: Time,
    ) -> bool {
        match named {
            Some(rate) => self.record_named(process, incarnation, rate, now),
            None => self.record_unlimited(process, incarnation, sent_at, now),
        }
    }

    fn record_named(
        &mut self,
        process: &UpstreamId,
        incarnation: Incarnation,
        rate: RequestRate,
        now: Time,
    ) -> bool {
        let rate = RequestRate(rate.0.max(MIN_RATE.0));
        let limit = self
            .limits
            .entry(process.clone())
            .or_insert_with(|| KnownLimit::new(incarnation, rate, now));
        if limit.incarnation != incarnation {
            *limit = KnownLimit::new(incarnation, rate, now);
        }
        if limit.rate != rate {
            limit.scale_share(rate, now);
            limit.is_report_due = true;
        }
        limit.known_at = now;
        limit.was_named = true;
        limit.is_report_due(now)
    }

    fn record_unlimited(
        &mut self,
        process: &UpstreamId,
        incarnation: Incarnation,
        sent_at: Time,
        now: Time,
    ) -> bool {
        let limit = self.limits.get(process);
        // An answer from before may overtake the one that named the limit.
        let is_ended = limit.is_some_and(|limit| {
            let is_later = limit.incarnation == incarnation && limit.known_at <= sent_at;
            is_later || limit.incarnation < incarnation
        });
        if is_ended {
            self.limits.remove(process);
            self.ended.push((process.clone(), incarnation, now));
        }
        is_ended
    }

    /// Takes over the leader's list, if it is newer.
    pub fn apply(&mut self, list: ShareList, now: Time) {
        if list.edition <= self.list.edition {
            return;
        }
        for limited in &list.items {
            let limit = self
                .limits
                .entry(limited.process.clone())
                .or_insert_with(|| KnownLimit::new(limited.incarnation, limited.rate, now));
            if limited.incarnation < limit.incarnation {
                continue;
            }
            if limit.incarnation != limited.incarnation {
                *limit = KnownLimit::new(limited.incarnation, limited.rate, now);
            }
            limit.is_listed = true;
            limit.rate = limited.rate;
            limit.turns.set_rate(limited.share_of(self.own_id), now);
        }
        // A limit that was listed and isn't any more has ended; one that never was may be on its
        // way to the leader.
        self.limits.retain(|process, limit| {
            let mut listed = list.items.iter();
            !limit.is_listed || listed.any(|limited| limited.process == *process)
        });
        self.list = list;
    }

    /// Has all known limits reported again, because another control host may lead.
    pub fn report_again(&mut self) {
        for limit in self.limits.values_mut() {
            limit.is_report_due = true;
        }
    }

    /// What is to be reported now.
    pub fn take_reports(&mut self, now: Time) -> Vec<LimitReport> {
        let own_id = self.own_id;
        let ended = std::mem::take(&mut self.ended).into_iter();
        let ended = ended.map(|(process, incarnation, at)| LimitReport {
            from: own_id,
            process,
            incarnation,
            change: LimitChange::Ended,
            ms_ago: now.since(at).as_millis() as u64,
            wanted: RequestRate(0.0),
        });
        let due = self
            .limits
            .iter_mut()
            .filter(|(_, limit)| limit.is_report_due(now));
        let known = due.map(|(process, limit)| {
            let wanted = limit.take_wanted(now);
            LimitReport {
                from: own_id,
                process: process.clone(),
                incarnation: limit.incarnation,
                change: match limit.was_named {
                    true => LimitChange::Named(limit.rate),
                    false => LimitChange::Known(limit.rate),
                },
                ms_ago: now.since(limit.known_at).as_millis() as u64,
                wanted,
            }
        });
        ended.chain(known).collect()
    }
}

impl KnownLimit {
    fn new(incarnation: Incarnation, rate: RequestRate, now: Time) -> Self {
        Self {
            incarnation,
            rate,
            known_at: now,
            was_named: false,
            is_listed: false,
            turns: TokenBucket::empty(RequestRate(0.0), now),
            wanted: 1,
            reported_at: None,
            is_report_due: true,
        }
    }

    /// Keeps this entry host's part of the limit when the limit changes.
    fn scale_share(&mut self, rate: RequestRate, now: Time) {
        let share = self.turns.rate().0 * rate.0 / self.rate.0;
        self.turns.set_rate(RequestRate(share), now);
        self.rate = rate;
    }

    /// The requests a second for the process since the last report, which this one follows.
    fn take_wanted(&mut self, now: Time) -> RequestRate {
        let span = self.reported_at.map_or(WANT_INTERVAL, |at| now.since(at));
        let wanted = std::mem::take(&mut self.wanted);
        self.reported_at = Some(now);
        self.is_report_due = false;
        RequestRate(f64::from(wanted) / span.max(WANT_INTERVAL).as_secs_f64())
    }

    fn is_report_due(&self, now: Time) -> bool {
        let last = self.reported_at;
        let is_old = last.is_none_or(|at| WANT_INTERVAL <= now.since(at));
        self.is_report_due || (is_old && 0 < self.wanted)
    }
}
