//! Which upstreams asked for rest, and when requests may go there again.
//!
//! An upstream that is overloaded or about to end turns a request away and wants nothing more for a
//! while. Until then nothing is sent there, for whichever request. All entry hosts would come back
//! at the same moment, so each waits a little longer, and then sends one request after the other
//! until one is answered.

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;

use crate::RequestedRest;
use base::Time;

/// The part of a rest over which the first requests after it are spread.
const SPREAD: f64 = 0.1;

/// The longest time over which they are spread.
const MAX_SPREAD: Duration = Duration::from_secs(1);

/// Time between two requests to an upstream whose rest has ended and that has not answered yet.
const RETURN_INTERVAL: Duration = Duration::from_millis(250);

/// How long after its rest an upstream that answers nothing counts as returning.
const RETURN_TIME: Duration = Duration::from_secs(3);

/// Upstreams whose rests are known at once. With more, the one that ends first is forgotten.
const MAX_RESTS: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Rest {
    /// When the upstream takes requests again, by its own word.
    ends_at: Time,
    /// When the next request may be sent.
    opens_at: Time,
}

/// Upstreams that asked for rest. `Key` names an upstream in one of its incarnations.
#[derive(Clone, Debug)]
pub struct RestTable<Key> {
    rests: BTreeMap<Key, Rest>,
    rng: Rng,
}

impl<Key: Clone + Ord> RestTable<Key> {
    /// Creates an empty table. `seed` is for the random part of the waits.
    pub fn new(seed: u64) -> Self {
        Self {
            rests: BTreeMap::new(),
            rng: Rng::with_seed(seed),
        }
    }

    /// Records that an upstream asked for rest. A shorter rest doesn't take an earlier one back.
    /// Returns whether it was not resting.
    pub fn record_rest(&mut self, key: &Key, rest: RequestedRest, now: Time) -> bool {
        self.forget_ended(now);
        let length = rest.length();
        let known = self.rests.get(key).copied();
        let is_new = known.is_none_or(|known| known.ends_at <= now);
        let ends_at = now + length;
        if known.is_none_or(|known| known.ends_at < ends_at) {
            let spread = length.mul_f64(SPREAD).min(MAX_SPREAD);
            let opens_at = ends_at + spread.mul_f64(self.rng.f64());
            self.rests.insert(key.clone(), Rest { ends_at, opens_at });
            self.forget_surplus();
        }
        is_new
    }

    /// Has an upstream rest at least as long as another one, which it follows: a process that starts
    /// anew is at the address that asked for rest.
    pub fn inherit(&mut self, from: &Key, to: &Key, now: Time) {
        let Some(rest) = self.rests.get(from).copied() else {
            return;
        };
        let known = self.rests.get(to);
        let is_later = known.is_none_or(|known| known.ends_at < rest.ends_at);
        if is_later && now < rest.ends_at {
            self.rests.insert(to.clone(), rest);
            self.forget_surplus();
        }
    }

    /// The upstreams whose rests are remembered.
    pub fn keys(&self) -> impl Iterator<Item = &Key> {
        self.rests.keys()
    }

    /// When the rest of an upstream ends or ended, if it is remembered.
    pub fn ends_at(&self, key: &Key) -> Option<Time> {
        self.rests.get(key).map(|rest| rest.ends_at)
    }

    /// When the next request may be sent to an upstream. None if that is now.
    pub fn opens_at(&self, key: &Key, now: Time) -> Option<Time> {
        let rest = self.rests.get(key)?;
        (now < rest.opens_at && !rest.is_forgotten(now)).then_some(rest.opens_at)
    }

    /// Whether a request may be sent to an upstream now.
    pub fn may_send(&self, key: &Key, now: Time) -> bool {
        self.opens_at(key, now).is_none()
    }

    /// Records that a request is sent to an upstream.
    pub fn record_sent(&mut self, key: &Key, now: Time) {
        if let Some(rest) = self.rests.get_mut(key) {
            rest.opens_at = rest.opens_at.max(now + RETURN_INTERVAL);
        }
    }

    /// Records that an upstream answered a request that was sent at `sent_at` without asking for
    /// rest. One that was sent before the end of the rest says nothing about it.
    pub fn record_answer(&mut self, key: &Key, sent_at: Time) {
        if self.rests.get(key).is_some_and(|r| r.ends_at <= sent_at) {
            self.rests.remove(key);
        }
    }

    /// The upstreams that no request may be sent to now, and until when.
    pub fn closed(&self, now: Time) -> impl Iterator<Item = (&Key, Time)> {
        let closed = self.rests.iter();
        closed.filter_map(move |(key, _)| Some((key, self.opens_at(key, now)?)))
    }

    /// The rests that upstreams asked for and that have not ended.
    pub fn unfinished(&self, now: Time) -> impl Iterator<Item = (&Key, Duration)> {
        let rests = self.rests.iter().filter(move |(_, r)| now < r.ends_at);
        rests.map(move |(key, rest)| (key, rest.ends_at.since(now)))
    }

    fn forget_ended(&mut self, now: Time) {
        self.rests.retain(|_, rest| !rest.is_forgotten(now));
    }

    fn forget_surplus(&mut self) {
        if MAX_RESTS < self.rests.len()
            && let Some((first, _)) = self.rests.iter().min_by_key(|(_, rest)| rest.ends_at)
        {
            let first = first.clone();
            self.rests.remove(&first);
        }
    }
}

impl Rest {
    /// Whether the rest ended so long ago that it says nothing any more.
    fn is_forgotten(&self, now: Time) -> bool {
        self.ends_at + MAX_SPREAD + RETURN_TIME <= now
    }
}
