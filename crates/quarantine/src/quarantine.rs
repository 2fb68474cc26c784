//! The leader's decision which parts are suspected and banned.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::CrashLedger;
use crate::Evidence;
use crate::Notice;
use crate::NoticeList;
use crate::NoticeState;
use crate::PartSet;
use crate::Suspicion;
use crate::ban::Ban;
use crate::ban::BanOrigin;
use crate::ban::LiftReason;
use crate::ledger::MAX_CRASHES_SOUND;
use crate::ledger::SOUND_TTL;
use base::Incarnation;
use base::RequestPart;
use base::Time;
use base::UpstreamId;

/// The most bans at once.
const MAX_BANS: usize = 64;

/// The most suspected sets of parts that are published.
const MAX_SUSPECTED: usize = 64;

/// How long a new leader collects what entry hosts know before it publishes.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// A ban ends once no request with its parts has come for this long.
const UNUSED_BAN_TTL: Duration = Duration::from_secs(300);

/// A ban that rests on fewer ends is lifted. Fewer than a ban needs to begin, because each time that
/// a ban is lifted by mistake ends further processes.
const MIN_CRASHES_KEPT: u32 = 2;

/// Time between two decisions while no evidence comes.
const DECISION_INTERVAL: Duration = Duration::from_secs(1);

/// Something for the operators' log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuarantineEvent {
    /// Requests with all of the parts are refused from now on.
    Banned {
        /// The parts.
        parts: PartSet,
        /// Processes that ended one after the other.
        crashes: u32,
    },
    /// Requests with the parts are served again.
    Lifted {
        /// The parts.
        parts: PartSet,
        /// Why.
        why: LiftReason,
    },
}

/// The parts that are suspected and banned, as one control host knows them.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    ledger: CrashLedger,
    bans: BTreeMap<PartSet, Ban>,
    term: Option<u64>,
    /// The leader publishes from this time on. Until then it takes over bans from entry hosts.
    publish_from: Time,
    decided_at: Time,
    has_new_evidence: bool,
    /// Whether processes that were taken for ended were heard since the last decision.
    has_retracted: bool,
    published: NoticeList,
    events: Vec<QuarantineEvent>,
}

impl Quarantine {
    /// The list that is in force.
    pub fn published(&self) -> &NoticeList {
        &self.published
    }

    /// Takes over the list of the leader, if it is newer.
    pub fn follow(&mut self, list: NoticeList) {
        self.published.follow(list);
    }

    /// The published bans.
    pub fn published_bans(&self) -> impl Iterator<Item = &Notice> {
        self.published.items.iter().filter(|notice| notice.is_ban())
    }

    /// What this control host knows from the list that it followed, for a leader that has begun
    /// lately.
    pub fn known_evidence(&self) -> Evidence {
        Evidence {
            known: self.published_bans().cloned().collect(),
            ..Evidence::default()
        }
    }

    /// Begins or ends a term as leader. A new leader begins with the bans that it followed.
    pub fn set_term(&mut self, term: Option<u64>, now: Time) {
        if self.term == term {
            return;
        }
        self.term = term;
        self.bans.clear();
        if term.is_some() {
            self.publish_from = now + SETTLE_TIME;
            self.has_new_evidence = true;
            let known: Vec<Notice> = self.published_bans().cloned().collect();
            known.into_iter().for_each(|ban| self.adopt(ban, now));
        }
    }

    /// Records what an entry host reports.
    pub fn record(&mut self, evidence: Evidence, now: Time) {
        for sound in &evidence.sound {
            let at = now - Duration::from_millis(sound.answered_ms_ago);
            self.ledger.record_sound(&sound.part, at);
        }
        for report in &evidence.crashes {
            self.ledger.record_crash(report, now);
        }
        if now < self.publish_from {
            let bans = evidence.known.into_iter().filter(Notice::is_ban);
            bans.for_each(|ban| self.adopt(ban, now));
        }
        self.has_new_evidence |= !(evidence.crashes.is_empty() && evidence.sound.is_empty());
        for (entry, parts) in evidence.refused {
            if let Some(ban) = self.bans.get_mut(&parts) {
                ban.last_refused_at = now;
                ban.refused_by = Some(entry);
            }
        }
    }

    /// The processes that are taken for ended.
    pub fn ended_processes(&self) -> Vec<(UpstreamId, Incarnation)> {
        let processes = self.ledger.processes();
        let processes = processes.map(|(host, incarnation)| (host.clone(), incarnation));
        processes.collect()
    }

    /// Records when a process was last heard. If connections broke before though it had not
    /// ended, nothing follows from them.
    pub fn record_alive(&mut self, host: &UpstreamId, incarnation: Incarnation, at: Time) {
        self.has_retracted |= self.ledger.record_alive(host, incarnation, at);
    }

    /// Decides anew. Returns whether there is a newer list to publish.
    pub fn tick(&mut self, now: Time) -> bool {
        let Some(term) = self.term else {
            return false;
        };
        let is_due = DECISION_INTERVAL <= now.since(self.decided_at);
        if !is_due && !self.has_new_evidence && !self.has_retracted {
            return false;
        }
        self.decided_at = now;
        self.has_new_evidence = false;
        self.ledger.expire(now);
        if now < self.publish_from {
            self.has_new_evidence = true;
            return false;
        }
        if std::mem::take(&mut self.has_retracted) {
            self.lift_unfounded_bans(now);
        }
        self.lift_ended_bans(now);
        self.ban_due_parts(now);
        for (parts, ban) in &mut self.bans {
            ban.advance_trial(self.ledger.last_crash(parts), now);
        }
        let notices = self.notices(now);
        self.published.publish(term, notices)
    }

    /// Lifts the ban of these parts for an operator. Returns whether there was one.
    pub fn lift(&mut self, parts: &PartSet) -> bool {
        // Otherwise the same evidence would ban them again.
        self.ledger.forget(parts);
        self.has_new_evidence = true;
        self.end_ban(parts, LiftReason::Operator)
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<QuarantineEvent> {
        std::mem::take(&mut self.events)
    }

    fn adopt(&mut self, known: Notice, now: Time) {
        if !self.bans.contains_key(&known.parts) {
            let (parts, crashes) = (known.parts, known.crashes);
            let since = now;
            let known = Suspicion {
                parts,
                crashes,
                since,
            };
            self.begin_ban(known, BanOrigin::TakenOver, now);
        }
    }

    fn begin_ban(&mut self, suspicion: Suspicion, origin: BanOrigin, now: Time) {
        let Suspicion {
            parts,
            crashes,
            since,
        } = suspicion;
        if MAX_BANS <= self.bans.len() {
            return;
        }
        self.events.push(QuarantineEvent::Banned {
            parts: parts.clone(),
            crashes,
        });
        self.bans
            .insert(parts, Ban::new(origin, crashes, since, now));
    }

    fn end_ban(&mut self, parts: &PartSet, why: LiftReason) -> bool {
        let is_ended = self.bans.remove(parts).is_some();
        if is_ended {
            let parts = parts.clone();
            self.events.push(QuarantineEvent::Lifted { parts, why });
        }
        is_ended
    }

    /// Lifts new bans that too few ends speak for, because some were none.
    fn lift_unfounded_bans(&mut self, now: Time) {
        let recent = self
            .bans
            .iter()
            .filter(|(_, ban)| ban.may_be_unfounded(now));
        let unfounded =
            recent.filter(|(parts, _)| self.ledger.count_crashes(parts, now) < MIN_CRASHES_KEPT);
        let unfounded: Vec<PartSet> = unfounded.map(|(parts, _)| parts.clone()).collect();
        for parts in unfounded {
            self.end_ban(&parts, LiftReason::Unfounded);
        }
    }

    fn lift_ended_bans(&mut self, now: Time) {
        let refuted = self.bans.iter().filter_map(|(parts, ban)| {
            let refuted = self.refuted_parts(parts, ban);
            (!refuted.is_empty()).then(|| (parts.clone(), refuted))
        });
        let refuted: Vec<(PartSet, PartSet)> = refuted.collect();
        for (parts, refuted) in refuted {
            let remaining = &parts - &refuted;
            let ban = self.bans.get(&parts).cloned();
            self.end_ban(&parts, LiftReason::Answered);
            if let Some(ban) = ban.filter(|_| !remaining.is_empty()) {
                let (crashes, since) = (ban.crashes, ban.since);
                let narrowed = Suspicion {
                    parts: remaining,
                    crashes,
                    since,
                };
                self.begin_ban(narrowed, ban.origin, now);
            }
        }
        let bans = self.bans.iter();
        let unused = bans.filter(|(_, ban)| UNUSED_BAN_TTL <= now.since(ban.last_refused_at));
        let unused: Vec<PartSet> = unused.map(|(parts, _)| parts.clone()).collect();
        for parts in unused {
            self.end_ban(&parts, LiftReason::Unused);
        }
    }

    /// The parts of a ban that a request was answered with since the first end that the ban
    /// rests on, so that the ends were not one after the other without an answer; or shortly
    /// before it, if the ban rests on fewer ends than that asks for.
    fn refuted_parts(&self, parts: &PartSet, ban: &Ban) -> PartSet {
        let sound_since = match ban.crashes < MAX_CRASHES_SOUND {
            true => ban.since - SOUND_TTL,
            false => ban.since,
        };
        let is_refuted = |part: &&RequestPart| {
            let answered_at = self.ledger.answered_at(part);
            answered_at.is_some_and(|at| sound_since < at)
        };
        parts.iter().filter(is_refuted).cloned().collect()
    }

    fn ban_due_parts(&mut self, now: Time) {
        let banned: Vec<PartSet> = self.bans.keys().cloned().collect();
        for suspicion in self.ledger.due_bans(&banned, now) {
            self.replace_narrower_bans(&suspicion.parts);
            self.begin_ban(suspicion, BanOrigin::Decided, now);
        }
    }

    /// Ends bans that hold only for requests for which a ban of `parts` holds too.
    fn replace_narrower_bans(&mut self, parts: &PartSet) {
        let narrower = self.bans.keys().filter(|known| parts.is_subset(known));
        let narrower: Vec<PartSet> = narrower.cloned().collect();
        for known in narrower {
            self.end_ban(&known, LiftReason::Replaced);
        }
    }

    fn notices(&self, now: Time) -> Vec<Notice> {
        let bans = self.bans.iter().map(|(parts, ban)| Notice {
            parts: parts.clone(),
            state: NoticeState::Banned {
                trial: ban.trial_entry(),
            },
            crashes: ban.crashes,
        });
        let banned: Vec<PartSet> = self.bans.keys().cloned().collect();
        let suspicions = self.ledger.suspicions(&banned, now).into_iter();
        let suspected = suspicions.take(MAX_SUSPECTED).map(|suspicion| Notice {
            parts: suspicion.parts,
            state: NoticeState::Suspected,
            crashes: suspicion.crashes,
        });
        bans.chain(suspected).collect()
    }
}
