//! Ends of upstream processes, and which parts they speak against.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::CrashReport;
use crate::PartSet;
use crate::sound_parts::SoundParts;
use base::Incarnation;
use base::RequestPart;
use base::Time;
use base::UpstreamId;

/// The most ends of processes that are kept.
const MAX_CRASHES: usize = 64;

/// The most sets of parts that are kept of one end.
const MAX_SETS_PER_CRASH: usize = 64;

/// The most prompt parts whose answers are remembered.
const MAX_SOUND_PARTS: usize = 4_096;

/// The most whole requests whose answers are remembered. Kept apart, because nearly every request
/// is a new one.
const MAX_SOUND_REQUESTS: usize = 4_096;

/// A process that is heard this long after its end has not ended. An announcement may be this
/// long on its way.
const ALIVE_MARGIN: Duration = Duration::from_millis(250);

/// How long the end of a process counts against parts of prompts.
const CRASH_TTL: Duration = Duration::from_secs(60);

/// How long the end of a process counts against whole requests. Longer, because an end that has
/// another cause seldom meets the same request twice.
const REQUEST_CRASH_TTL: Duration = Duration::from_secs(600);

/// How long an answer speaks for its parts.
pub(crate) const SOUND_TTL: Duration = Duration::from_secs(60);

/// Ends after which a part is banned that no answered request had lately.
const MAX_CRASHES_UNKNOWN: u32 = 3;

/// Ends after which a part is banned that answered requests had before. Larger, because a part
/// that many requests share is at most processes that end for other reasons.
pub(crate) const MAX_CRASHES_SOUND: u32 = 5;

/// A set of parts, with the ends of processes that speak against it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// The parts.
    pub parts: PartSet,
    /// Processes that ended with a request that has the parts.
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
    /// The parts of each request that broke.
    requests: BTreeSet<PartSet>,
    /// The parts of all of them.
    parts: BTreeMap<RequestPart, PartUse>,
}

/// The requests with a part that broke when a process ended.
#[derive(Clone, Debug)]
struct PartUse {
    /// When the last of them was sent.
    sent_at: Time,
    /// The parts that all of them have.
    common: PartSet,
}

/// The ends of processes that count, and the parts of answered requests.
#[derive(Clone, Debug)]
pub struct CrashLedger {
    /// By time.
    crashes: Vec<Crash>,
    sound_parts: SoundParts,
    sound_requests: SoundParts,
}

impl Default for CrashLedger {
    fn default() -> Self {
        Self {
            crashes: Vec::new(),
            sound_parts: SoundParts::new(MAX_SOUND_PARTS),
            sound_requests: SoundParts::new(MAX_SOUND_REQUESTS),
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
            None => {
                let mut crash = Crash {
                    host: report.host.clone(),
                    incarnation: report.incarnation,
                    at,
                    requests: BTreeSet::new(),
                    parts: BTreeMap::new(),
                };
                crash.add_request(&report.parts, sent_at);
                self.crashes.push(crash);
            }
        }
        self.crashes.sort_by_key(|crash| crash.at);
        let excess = self.crashes.len().saturating_sub(MAX_CRASHES);
        self.crashes.drain(..excess);
    }

    /// Records that an answer to a request with the part went on at this time.
    pub fn record_sound(&mut self, part: &RequestPart, at: Time) {
        match part {
            RequestPart::Prompt(_) => self.sound_parts.record(part, at),
            RequestPart::Whole(_) => self.sound_requests.record(part, at),
        }
    }

    /// Records that a process was heard at this time. Broken connections before were no end of
    /// it. Returns whether any is forgotten.
    pub fn record_alive(&mut self, host: &UpstreamId, incarnation: Incarnation, at: Time) -> bool {
        let count = self.crashes.len();
        self.crashes.retain(|crash| {
            let is_same = crash.host == *host && crash.incarnation == incarnation;
            !is_same || at < crash.at + ALIVE_MARGIN
        });
        self.crashes.len() < count
    }

    /// The processes whose ends count.
    pub fn processes(&self) -> impl Iterator<Item = (&UpstreamId, Incarnation)> {
        let crashes = self.crashes.iter();
        crashes.map(|crash| (&crash.host, crash.incarnation))
    }

    /// The ends that speak against requests with all of the parts.
    pub fn count_crashes(&self, parts: &PartSet, now: Time) -> u32 {
        let all: Vec<&Crash> = self.crashes.iter().collect();
        let ends = |part| self.counted_ends(&lately(&all, part, now), part, now);
        let counts = parts.iter().map(|part| ends(part).len());
        counts.max().unwrap_or(0) as u32
    }

    /// Forgets the ends of processes with a request that has all of the parts.
    pub fn forget(&mut self, parts: &PartSet) {
        self.crashes.retain(|crash| !crash.has(parts));
    }

    /// Forgets what no longer counts.
    pub fn expire(&mut self, now: Time) {
        self.crashes
            .retain(|crash| now.since(crash.at) < REQUEST_CRASH_TTL);
    }

    /// When a request with the part was last answered.
    pub fn answered_at(&self, part: &RequestPart) -> Option<Time> {
        match part {
            RequestPart::Prompt(_) => self.sound_parts.answered_at(part),
            RequestPart::Whole(_) => self.sound_requests.answered_at(part),
        }
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
        let suspicions = suspects(&unexplained).into_iter().map(|part| {
            let crashes = match bans.iter().any(|ban| ban.contains(part)) {
                true => &all,
                false => &unexplained,
            };
            let crashes = lately(crashes, part, now);
            let ends = self.counted_ends(&crashes, part, now);
            Suspicion {
                parts: self.inseparable_parts(&crashes, part, now),
                crashes: ends.len() as u32,
                since: ends.first().copied().unwrap_or(now),
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

    /// The sets of parts that are the most likely cause of ends which `bans` don't explain. Parts
    /// of prompts come before whole requests, because a part explains the ends of all requests
    /// that have it.
    fn next_due_bans(&self, bans: &[PartSet], now: Time) -> Vec<Suspicion> {
        let was_sound =
            |suspicion: &Suspicion| suspicion.parts.iter().any(|part| self.is_sound(part, now));
        let suspicions = self.suspicions(bans, now).into_iter();
        let suspicions = suspicions.filter(|suspicion| !bans.contains(&suspicion.parts));
        let (sound, unknown): (Vec<_>, Vec<_>) = suspicions.partition(was_sound);
        let candidates = [(unknown, MAX_CRASHES_UNKNOWN), (sound, MAX_CRASHES_SOUND)];
        for (suspicions, min_crashes) in candidates {
            let (whole, prompt): (Vec<_>, Vec<_>) =
                suspicions.into_iter().partition(Suspicion::is_one_request);
            for suspicions in [prompt, whole] {
                let due = most_crashes(suspicions, min_crashes);
                if !due.is_empty() {
                    return due;
                }
            }
        }
        Vec::new()
    }

    /// Whether a request with the part was answered lately.
    pub fn is_sound(&self, part: &RequestPart, now: Time) -> bool {
        let answered_at = self.answered_at(part);
        answered_at.is_some_and(|at| now.since(at) < SOUND_TTL)
    }

    /// The ends that speak against the part. Several at once are one cause if requests that end
    /// for another reason have the part, as with a popular one. Repetitions of a request that
    /// nobody has had answered each speak against it.
    fn counted_ends(&self, crashes: &[&Crash], part: &RequestPart, now: Time) -> Vec<Time> {
        match part {
            RequestPart::Whole(_) if !self.is_sound(part, now) => self.ends_under(crashes, part),
            RequestPart::Whole(_) | RequestPart::Prompt(_) => self.ends_in_a_row(crashes, part),
        }
    }

    /// When processes ended with a request that has the part, since one was last answered.
    fn ends_under(&self, crashes: &[&Crash], part: &RequestPart) -> Vec<Time> {
        let answered_at = self.answered_at(part);
        let with = crashes.iter().filter(|crash| crash.sent_at(part).is_some());
        let since = with.filter(|crash| answered_at.is_none_or(|at| at < crash.at));
        since.map(|crash| crash.at).collect()
    }

    /// When processes ended one after the other with a request that has the part, since one was
    /// last answered. Of several that end at once, only the first counts: each next request was
    /// sent after the end before.
    fn ends_in_a_row(&self, crashes: &[&Crash], part: &RequestPart) -> Vec<Time> {
        let mut counted = Vec::new();
        let mut last = self.answered_at(part).unwrap_or(Time::ZERO);
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
    fn inseparable_parts(&self, crashes: &[&Crash], part: &RequestPart, now: Time) -> PartSet {
        let uses = crashes.iter().filter_map(|crash| crash.parts.get(part));
        let sets = uses.map(|part_use| part_use.common.clone());
        let mut common = sets.reduce(|all, set| &all & &set).unwrap_or_default();
        common.retain(|other| other == part || !self.is_sound(other, now));
        common
    }
}

impl Suspicion {
    /// Whether only repetitions of one request have the parts.
    fn is_one_request(&self) -> bool {
        let is_whole = |part: &RequestPart| matches!(part, RequestPart::Whole(_));
        self.parts.iter().any(is_whole)
    }
}

/// The parts that ends may be due to. Nearly every request that broke did so for another reason,
/// so one end says nothing of a whole request.
fn suspects<'a>(crashes: &[&'a Crash]) -> Vec<&'a RequestPart> {
    let mut ends: BTreeMap<&RequestPart, u32> = BTreeMap::new();
    for crash in crashes {
        for part in crash.parts.keys() {
            *ends.entry(part).or_default() += 1;
        }
    }
    let is_suspect = |part: &RequestPart, ends: u32| match part {
        RequestPart::Prompt(_) => true,
        RequestPart::Whole(_) => 1 < ends,
    };
    let suspects = ends
        .into_iter()
        .filter(|(part, ends)| is_suspect(part, *ends));
    suspects.map(|(part, _)| part).collect()
}

/// The ends that happened lately enough to count against the part.
fn lately<'a>(crashes: &[&'a Crash], part: &RequestPart, now: Time) -> Vec<&'a Crash> {
    let ttl = match part {
        RequestPart::Prompt(_) => CRASH_TTL,
        RequestPart::Whole(_) => REQUEST_CRASH_TTL,
    };
    let lately = crashes.iter().filter(|crash| now.since(crash.at) < ttl);
    lately.copied().collect()
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
        let is_known = self.requests.contains(parts);
        if !is_known && MAX_SETS_PER_CRASH <= self.requests.len() {
            return;
        }
        self.requests.insert(parts.clone());
        for part in parts {
            let part_use = self.parts.entry(part.clone()).or_insert(PartUse {
                sent_at,
                common: parts.clone(),
            });
            part_use.sent_at = sent_at.max(part_use.sent_at);
            part_use.common.retain(|other| parts.contains(other));
        }
    }

    /// When the last request with the part was sent to the process.
    fn sent_at(&self, part: &RequestPart) -> Option<Time> {
        self.parts.get(part).map(|part_use| part_use.sent_at)
    }

    /// Whether a request with all of the parts broke.
    fn has(&self, parts: &PartSet) -> bool {
        self.requests.iter().any(|set| parts.is_subset(set))
    }
}
