//! An entry host's checks of requests by the parts of their prompts, and its evidence.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::CrashLedger;
use crate::CrashReport;
use crate::Evidence;
use crate::Notice;
use crate::NoticeList;
use crate::NoticeState;
use crate::PartSet;
use crate::SoundPart;
use base::Incarnation;
use base::NodeId;
use base::RequestPart;
use base::Time;
use base::UpstreamId;

/// The most broken requests that are kept for a leader that begins later.
const MAX_OWN_CRASHES: usize = 64;

/// How long broken requests are kept for a leader that begins later.
const OWN_CRASH_TTL: Duration = Duration::from_secs(30);

/// How long a ban by this entry host alone holds, unless the leader decides before.
const OWN_BAN_TTL: Duration = Duration::from_secs(10);

/// Time between two reports that the same ban refuses requests.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two reports that the same part was answered.
const SOUND_INTERVAL: Duration = Duration::from_millis(100);

/// Whether a request may be sent, by the parts of its prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may be sent.
    Allowed,
    /// The request may be sent once, to find out whether a ban is still needed.
    Trial,
    /// The request is refused, because upstreams ended under requests with its parts.
    Banned,
}

/// A request of this entry host that broke.
#[derive(Clone, Debug)]
struct OwnCrash {
    host: UpstreamId,
    incarnation: Incarnation,
    parts: PartSet,
    sent_at: Time,
    broke_at: Time,
    is_reported: bool,
}

/// A ban that an entry host decided on itself.
#[derive(Clone, Debug)]
struct OwnBan {
    notice: Notice,
    began_at: Time,
}

/// Refusals by one ban.
#[derive(Clone, Copy, Debug, Default)]
struct Refusals {
    has_unreported: bool,
    reported_at: Option<Time>,
}

/// Checks the requests of one entry host.
#[derive(Clone, Debug)]
pub struct PartGuard {
    own_id: NodeId,
    /// What this entry host has seen itself.
    ledger: CrashLedger,
    /// Bans that follow from the ledger alone, until the leader decides. They bound what this
    /// entry host does before it hears of the others, or while it is cut off from them.
    own_bans: BTreeMap<PartSet, OwnBan>,
    /// The leader's list.
    list: NoticeList,
    own_crashes: VecDeque<OwnCrash>,
    refusals: BTreeMap<PartSet, Refusals>,
    /// When parts were last reported as answered.
    sound_reported_at: BTreeMap<RequestPart, Time>,
    /// Bans for which this entry host has used its trial.
    used_trials: Vec<PartSet>,
    /// When the known bans were last reported.
    known_reported_at: Time,
}

impl PartGuard {
    /// Creates a guard that bans nothing.
    pub fn new(own_id: NodeId) -> Self {
        Self {
            own_id,
            ledger: CrashLedger::default(),
            own_bans: BTreeMap::new(),
            list: NoticeList::default(),
            own_crashes: VecDeque::new(),
            refusals: BTreeMap::new(),
            sound_reported_at: BTreeMap::new(),
            used_trials: Vec::new(),
            known_reported_at: Time::ZERO,
        }
    }

    /// The leader's list as this entry host knows it.
    pub fn list(&self) -> &NoticeList {
        &self.list
    }

    /// The bans in force.
    pub fn bans(&self, now: Time) -> impl Iterator<Item = &Notice> {
        let listed = self.list.items.iter().filter(|notice| notice.is_ban());
        let own = self.own_bans.values();
        let own = own.filter(move |ban| now.since(ban.began_at) < OWN_BAN_TTL);
        listed.chain(own.map(|ban| &ban.notice))
    }

    /// Whether a request with these parts is banned now.
    pub fn is_banned(&self, parts: &[RequestPart], now: Time) -> bool {
        self.bans(now).any(|ban| ban.covers(parts))
    }

    /// Checks a new request, and takes the trial of its ban if this entry host is to make one.
    pub fn admit(&mut self, parts: &[RequestPart], now: Time) -> Admission {
        let Some(ban) = self.bans(now).find(|ban| ban.covers(parts)).cloned() else {
            return Admission::Allowed;
        };
        let trial = Some(self.own_id);
        if ban.state == (NoticeState::Banned { trial }) && !self.used_trials.contains(&ban.parts) {
            self.used_trials.push(ban.parts);
            return Admission::Trial;
        }
        let refusals = self.refusals.entry(ban.parts).or_default();
        refusals.has_unreported = true;
        Admission::Banned
    }

    /// Whether a request that broke may be sent again. One with suspected parts may not: it
    /// may end the next upstream.
    pub fn may_repeat(&self, parts: &[RequestPart], now: Time) -> bool {
        let is_suspected = |notice: &Notice| {
            let mut suspects = notice.parts.iter();
            notice.covers(parts) && !suspects.any(|part| self.ledger.is_sound(part, now))
        };
        !self.is_banned(parts, now) && !self.list.items.iter().any(is_suspected)
    }

    /// Records that a request broke before its answer had gone on for a while.
    pub fn record_crash(
        &mut self,
        (host, incarnation): (&UpstreamId, Incarnation),
        parts: &[RequestPart],
        sent_at: Time,
        now: Time,
    ) {
        if parts.is_empty() {
            return;
        }
        let crash = OwnCrash {
            host: host.clone(),
            incarnation,
            parts: parts.iter().cloned().collect(),
            sent_at,
            broke_at: now,
            is_reported: false,
        };
        self.ledger.record_crash(&crash.report(now), now);
        self.own_crashes.push_back(crash);
        if MAX_OWN_CRASHES < self.own_crashes.len() {
            self.own_crashes.pop_front();
        }
        self.ban_due_parts(now);
    }

    /// Records that the answer to a request with these parts went on. Returns whether this is to
    /// be reported, because one of them is suspected.
    pub fn record_sound(&mut self, parts: &[RequestPart], now: Time) -> bool {
        for part in parts {
            self.ledger.record_sound(part, now);
        }
        let mut suspected = self.list.items.iter().flat_map(|notice| &notice.parts);
        suspected.any(|part| parts.contains(part) && self.is_sound_report_due(part, now))
    }

    /// Whether the part was not reported as answered a moment ago.
    fn is_sound_report_due(&self, part: &RequestPart, now: Time) -> bool {
        let reported_at = self.sound_reported_at.get(part);
        reported_at.is_none_or(|at| SOUND_INTERVAL <= now.since(*at))
    }

    /// Takes over the leader's list, if it is newer.
    pub fn apply(&mut self, list: NoticeList) {
        if list.edition <= self.list.edition {
            return;
        }
        if self.list.edition.term < list.edition.term {
            // The leader may not know what its predecessor was told.
            self.report_again();
        }
        let trial = Some(self.own_id);
        let has_trial = |parts: &PartSet| {
            let mut notices = list.items.iter();
            notices.any(|ban| ban.parts == *parts && ban.state == NoticeState::Banned { trial })
        };
        self.used_trials.retain(has_trial);
        self.refusals.retain(|parts, _| {
            let mut notices = list.items.iter();
            notices.any(|notice| notice.is_ban() && notice.parts == *parts)
        });
        self.own_bans.clear();
        self.list = list;
    }

    /// Has everything reported again, because it may have been lost on its way.
    pub fn report_again(&mut self) {
        self.known_reported_at = Time::ZERO;
        self.sound_reported_at.clear();
        for crash in &mut self.own_crashes {
            crash.is_reported = false;
        }
    }

    /// What is to be reported now.
    pub fn take_evidence(&mut self, now: Time) -> Evidence {
        self.own_crashes
            .retain(|crash| now.since(crash.broke_at) < OWN_CRASH_TTL);
        let unreported = self
            .own_crashes
            .iter_mut()
            .filter(|crash| !crash.is_reported);
        let crashes = unreported.map(|crash| {
            crash.is_reported = true;
            crash.report(now)
        });
        let crashes: Vec<CrashReport> = crashes.collect();
        let is_known_due = REPEAT_INTERVAL <= now.since(self.known_reported_at);
        let known = match is_known_due {
            true => {
                self.known_reported_at = now;
                self.bans(now).cloned().collect()
            }
            false => Vec::new(),
        };
        Evidence {
            sound: self.sound_parts(&crashes, now),
            refused: self.due_refusals(now),
            crashes,
            known,
        }
    }

    /// The parts in these reports and in notices that were answered here lately.
    fn sound_parts(&mut self, crashes: &[CrashReport], now: Time) -> Vec<SoundPart> {
        let reported = crashes.iter().flat_map(|crash| &crash.parts);
        let notices = self.list.items.iter().flat_map(|notice| &notice.parts);
        let parts: PartSet = reported.chain(notices).cloned().collect();
        self.sound_reported_at
            .retain(|_, at| now.since(*at) < SOUND_INTERVAL);
        let mut sound = Vec::new();
        for part in parts {
            let Some(answered_at) = self.ledger.answered_at(&part) else {
                continue;
            };
            if self.is_sound_report_due(&part, now) && self.ledger.is_sound(&part, now) {
                self.sound_reported_at.insert(part.clone(), now);
                let answered_ms_ago = now.since(answered_at).as_millis() as u64;
                sound.push(SoundPart {
                    part,
                    answered_ms_ago,
                });
            }
        }
        sound
    }

    fn due_refusals(&mut self, now: Time) -> Vec<(NodeId, PartSet)> {
        let mut due = Vec::new();
        for (parts, refusals) in &mut self.refusals {
            let is_due = refusals
                .reported_at
                .is_none_or(|at| REPEAT_INTERVAL <= now.since(at));
            if is_due && refusals.has_unreported {
                refusals.reported_at = Some(now);
                refusals.has_unreported = false;
                due.push((self.own_id, parts.clone()));
            }
        }
        due
    }

    fn ban_due_parts(&mut self, now: Time) {
        self.own_bans
            .retain(|_, ban| now.since(ban.began_at) < OWN_BAN_TTL);
        let banned: Vec<PartSet> = self.bans(now).map(|ban| ban.parts.clone()).collect();
        for suspicion in self.ledger.due_bans(&banned, now) {
            let notice = Notice {
                parts: suspicion.parts,
                state: NoticeState::Banned { trial: None },
                crashes: suspicion.crashes,
            };
            let parts = notice.parts.clone();
            let began_at = now;
            self.own_bans.insert(parts, OwnBan { notice, began_at });
        }
    }
}

impl OwnCrash {
    fn report(&self, now: Time) -> CrashReport {
        CrashReport {
            host: self.host.clone(),
            incarnation: self.incarnation,
            parts: self.parts.clone(),
            sent_ms_ago: now.since(self.sent_at).as_millis() as u64,
            broke_ms_ago: now.since(self.broke_at).as_millis() as u64,
        }
    }
}
