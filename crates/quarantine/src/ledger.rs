//! Ends of upstream processes, and which parts they speak against.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::CrashReport;
use crate::PartSet;
use crate::sound_parts::SoundParts;
use base::Incarnation;
use base::PromptPartId;
use base::Time;
use base::UpstreamId;

/// The most ends of processes that are kept.
const MAX_CRASHES: usize = 64;

/// The most sets of parts that are kept of one end.
const MAX_SETS_PER_CRASH: usize = 64;

/// The most parts whose answers are remembered.
const MAX_SOUND_PARTS: usize = 4_096;

/// How long the end of a process counts.
const CRASH_TTL: Duration = Duration::from_secs(60);

/// How long an answer speaks for its parts.
const SOUND_TTL: Duration = Duration::from_secs(60);

/// Ends in a row after which a part is banned that no answered request had lately.
const MAX_CRASHES_UNKNOWN: u32 = 3;

/// Ends in a row after which a part is banned that answered requests had before. Larger, because
/// a part that many requests share is at most processes that end for other reasons.
const MAX_CRASHES_SOUND: u32 = 5;

/// A set of parts, with the ends of processes that speak against it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// The parts.
    pub parts: PartSet,
    /// Processes that ended one after the other with a request that has the parts.
    pub crashes: u32,
    /// When the first of them ended.
    pub since: Time,
}

/// The end of a process.
#[derive(Clone, Debug)]
struct Crash {
    host: UpstreamId,
    incarnation: Incarnation,
    at: Time,
    /// The parts of each request that broke, and when the last such request was sent.
    requests: BTreeMap<PartSet, Time>,
}

/// The ends of processes that count, and the parts of answered requests.
#[derive(Clone, Debug)]
pub struct CrashLedger {
    /// By time.
    crashes: Vec<Crash>,
    sound: SoundParts,
}

impl Default for CrashLedger {
    fn default() -> Self {
        Self {
            crashes: Vec::new(),
            sound: SoundParts::new(MAX_SOUND_PARTS),
        }
    }
}

impl CrashLedger {
    /// Adds a report, received at `now`. Reports of the same process are of one end.
    pub fn record_crash(&mut self, report: &CrashReport, now: Time) {
        let at = now - Duration::from_millis(report.broke_ms_ago);
        let sent_at = now - Duration::from_millis(report.sent_ms_ago);
        let same = |crash: &&mut Crash| {
            crash.host == report.host && crash.incarnation == report.incarnation
        };
        match self.crashes.iter_mut().find(same) {
            Some(crash) => {
                crash.at = crash.at.min(at);
                crash.add_request(&report.parts, sent_at);
            }
            None => self.crashes.push(Crash {
                host: report.host.clone(),
                incarnation: report.incarnation,
                at,
                requests: BTreeMap::from([(report.parts.clone(), sent_at)]),
            }),
        }
        self.crashes.sort_by_key(|crash| crash.at);
        let excess = self.crashes.len().saturating_sub(MAX_CRASHES);
        self.crashes.drain(..excess);
    }

    /// Records that an answer to a request with the part went on at this time.
    pub fn record_sound(&mut self, part: &PromptPartId, at: Time) {
        self.sound.record(part, at);
    }

    /// Forgets the ends of processes with a request that has all of the parts.
    pub fn forget(&mut self, parts: &PartSet) {
        self.crashes.retain(|crash| !crash.has(parts));
    }

    /// Forgets what no longer counts.
    pub fn expire(&mut self, now: Time) {
        self.crashes.retain(|crash| now.since(crash.at) < CRASH_TTL);
    }

    /// When a request with the part was last answered.
    pub fn answered_at(&self, part: &PromptPartId) -> Option<Time> {
        self.sound.answered_at(part)
    }

    /// When a process last ended with a request that has all of the parts.
    pub fn last_crash(&self, parts: &PartSet) -> Option<Time> {
        let with = self.crashes.iter().filter(|crash| crash.has(parts));
        with.map(|crash| crash.at).max()
    }

    /// The suspected parts, those with the most ends in a row first. Ends that the bans explain
    /// count only for the parts that are banned.
    pub fn suspicions(&self, bans: &[PartSet], now: Time) -> Vec<Suspicion> {
        let all: Vec<&Crash> = self.crashes.iter().collect();
        let mut unexplained = all.clone();
        unexplained.retain(|crash| !bans.iter().any(|ban| crash.has(ban)));
        let parts: BTreeSet<&PromptPartId> = unexplained
            .iter()
            .flat_map(|crash| crash.requests.keys().flatten())
            .collect();
        let suspicions = parts.into_iter().map(|part| {
            let crashes = match bans.iter().any(|ban| ban.contains(part)) {
                true => &all,
                false => &unexplained,
            };
            let in_a_row = self.crashes_in_a_row(crashes, part);
            Suspicion {
                parts: self.inseparable_parts(crashes, part, now),
                crashes: in_a_row.len() as u32,
                since: in_a_row.first().copied().unwrap_or(now),
            }
        });
        let mut suspicions: Vec<Suspicion> = suspicions
            .filter(|suspicion| 0 < suspicion.crashes)
            .collect();
        suspicions.sort_by_key(|suspicion| std::cmp::Reverse(suspicion.crashes));
        suspicions.dedup();
        suspicions
    }

    /// The sets of parts that are to be banned beside `bans`.
    pub fn due_bans(&self, bans: &[PartSet], now: Time) -> Vec<Suspicion> {
        let mut due = Vec::new();
        let mut bans = bans.to_vec();
        loop {
            let next = self.next_due_bans(&bans, now);
            if next.is_empty() {
                return due;
            }
            bans.extend(next.iter().map(|suspicion| suspicion.parts.clone()));
            due.extend(next);
        }
    }

    /// The sets of parts that are the most likely cause of ends which `bans` don't explain.
    fn next_due_bans(&self, bans: &[PartSet], now: Time) -> Vec<Suspicion> {
        let was_sound =
            |suspicion: &Suspicion| suspicion.parts.iter().any(|part| self.is_sound(part, now));
        let suspicions = self.suspicions(bans, now).into_iter();
        let suspicions = suspicions.filter(|suspicion| !bans.contains(&suspicion.parts));
        let (sound, unknown): (Vec<_>, Vec<_>) = suspicions.partition(was_sound);
        let unknown = most_crashes(unknown, MAX_CRASHES_UNKNOWN);
        match unknown.is_empty() {
            true => most_crashes(sound, MAX_CRASHES_SOUND),
            false => unknown,
        }
    }

    /// Whether a request with the part was answered lately.
    pub fn is_sound(&self, part: &PromptPartId, now: Time) -> bool {
        let answered_at = self.sound.answered_at(part);
        answered_at.is_some_and(|at| now.since(at) < SOUND_TTL)
    }

    /// When processes ended one after the other with a request that has the part, since one was
    /// last answered. Of several that end at once, only the first counts: each next request was
    /// sent after the end before.
    fn crashes_in_a_row(&self, crashes: &[&Crash], part: &PromptPartId) -> Vec<Time> {
        let mut counted = Vec::new();
        let mut last = self.sound.answered_at(part).unwrap_or(Time::ZERO);
        for crash in crashes {
            let is_next = crash
                .sent_at(part)
                .is_some_and(|sent_at| counted.is_empty() || last <= sent_at);
            if is_next && last < crash.at {
                counted.push(crash.at);
                last = crash.at;
            }
        }
        counted
    }

    /// The parts that all broken requests with `part` have, without those that other requests
    /// were answered with.
    fn inseparable_parts(&self, crashes: &[&Crash], part: &PromptPartId, now: Time) -> PartSet {
        let sets = crashes.iter().flat_map(|crash| crash.requests.keys());
        let sets = sets.filter(|set| set.contains(part)).cloned();
        let mut common = sets.reduce(|all, set| &all & &set).unwrap_or_default();
        common.retain(|other| other == part || !self.is_sound(other, now));
        common
    }
}

/// Those suspicions that rest on the most ends, at least `min_crashes`.
fn most_crashes(mut suspicions: Vec<Suspicion>, min_crashes: u32) -> Vec<Suspicion> {
    let counts = suspicions.iter().map(|suspicion| suspicion.crashes);
    let most = counts.max().unwrap_or(0).max(min_crashes);
    suspicions.retain(|suspicion| suspicion.crashes == most);
    suspicions
}

impl Crash {
    fn add_request(&mut self, parts: &PartSet, sent_at: Time) {
        let has_room = self.requests.len() < MAX_SETS_PER_CRASH;
        if has_room || self.requests.contains_key(parts) {
            let last_sent_at = self.requests.entry(parts.clone()).or_insert(sent_at);
            *last_sent_at = sent_at.max(*last_sent_at);
        }
    }

    /// When the last request with the part was sent to the process.
    fn sent_at(&self, part: &PromptPartId) -> Option<Time> {
        let with = self.requests.iter().filter(|(set, _)| set.contains(part));
        with.map(|(_, sent_at)| *sent_at).max()
    }

    /// Whether a request with all of the parts broke.
    fn has(&self, parts: &PartSet) -> bool {
        self.requests.keys().any(|set| parts.is_subset(set))
    }
}
