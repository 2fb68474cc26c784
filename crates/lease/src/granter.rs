//! Grants the lease to one holder at a time.
//!
//! A granter remembers the largest fencing number it granted or heard of and to
//! whom it promised the lease until when. One that lost its memory stays silent
//! for [`MAX_LEASE_TIME`], after which nothing it may have promised is still in force.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Claim;
use crate::Holder;
use crate::MAX_FENCE;
use crate::MAX_LEASE_TIME;
use crate::Message;
use crate::Refusal;
use crate::WallTime;
use crate::fence::raise;
use base::Fence;
use base::Time;

/// What a granter must not forget, for a granter that has a disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promise {
    /// The fencing number granted last.
    pub fence: Fence,
    /// To whom the lease was promised last, unless it was given back.
    pub holder: Option<Holder>,
}

/// What a granter remembers at its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PersistedState {
    /// Nothing, or a disk that may be older than the last promise.
    Lost,
    /// The last promise, synced before its reply was sent.
    Kept(Promise),
}

/// What a granter answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The message for the sender.
    pub message: Message,
    /// Must be durable before the message is sent, if the granter has a disk.
    pub sync_first: Option<Promise>,
}

/// One granter of a data centre's lease.
#[derive(Clone, Debug)]
pub struct Granter {
    promise: Promise,
    known: Fence,
    until: Time,
    silent_until: Time,
}

impl Granter {
    /// Starts a granter with what it remembers.
    pub fn new(memory: PersistedState, wall: WallTime, now: Time) -> Self {
        let (promise, silence, held) = match memory {
            PersistedState::Lost => (Promise::default(), MAX_LEASE_TIME, Duration::ZERO),
            PersistedState::Kept(promise) => (promise, Duration::ZERO, MAX_LEASE_TIME),
        };
        Self {
            promise,
            known: promise.fence.max(wall.floor()),
            until: now + held,
            silent_until: now + silence,
        }
    }

    /// What must not be forgotten.
    pub fn promise(&self) -> Promise {
        self.promise
    }

    /// To whom the lease is promised, while the promise lasts.
    pub fn holder(&self, now: Time) -> Option<Holder> {
        self.promise.holder.filter(|_| now < self.until)
    }

    /// The largest fencing number it knows.
    pub fn highest_fence(&self) -> Fence {
        self.known
    }

    /// Takes in a fencing number that a host reported.
    pub fn observe_fence(&mut self, fence: Fence) {
        raise(&mut self.known, fence);
    }

    /// Answers a candidate's message.
    pub fn receive(&mut self, message: Message, now: Time) -> Option<Reply> {
        match message {
            Message::Probe { holder, seen } => {
                self.observe_fence(seen);
                Some(self.probe(holder, now))
            }
            Message::Request {
                holder,
                fence,
                claim,
                lease_time,
                sent,
            } if lease_time <= MAX_LEASE_TIME && fence < MAX_FENCE => Some(self.ask(
                Ask {
                    holder,
                    fence,
                    claim,
                    sent,
                },
                lease_time,
                now,
            )),
            Message::Release { holder, fence } => {
                self.release(holder, fence);
                None
            }
            _ => None,
        }
    }

    fn probe(&self, holder: Holder, now: Time) -> Reply {
        let message = match self.obstacle(holder, now) {
            Some(reason) => self.refusal(holder, Fence(0), reason, now),
            None => Message::WouldGrant {
                incarnation: holder.incarnation,
                known: self.known,
            },
        };
        Reply::of(message)
    }

    fn ask(&mut self, ask: Ask, lease_time: Duration, now: Time) -> Reply {
        if let Some(reason) = self.obstacle(ask.holder, now) {
            return Reply::of(self.refusal(ask.holder, ask.fence, reason, now));
        }
        if !self.may_grant(ask) {
            return Reply::of(self.refusal(ask.holder, ask.fence, Refusal::StaleFence, now));
        }
        let before = self.promise;
        self.promise = Promise {
            fence: ask.fence,
            holder: Some(ask.holder),
        };
        self.observe_fence(ask.fence);
        self.until = now + lease_time;
        Reply {
            message: ask.granted(),
            sync_first: (before != self.promise).then_some(self.promise),
        }
    }

    /// Whether the number is the asker's own. A number that hosts told of is the holder's:
    /// two majorities would have had to grant it for another one to hold it.
    fn may_grant(&self, ask: Ask) -> bool {
        let renews = self.promise.holder == Some(ask.holder) && ask.fence == self.promise.fence;
        let is_held = ask.claim == Claim::Holds && ask.fence == self.known;
        renews || is_held || self.known < ask.fence
    }

    /// What keeps this holder from having the lease, whatever its number.
    fn obstacle(&self, holder: Holder, now: Time) -> Option<Refusal> {
        if now < self.silent_until {
            return Some(Refusal::Starting);
        }
        let other = self.promise.holder.filter(|other| *other != holder)?;
        (now < self.until).then_some(Refusal::Held(other))
    }

    fn refusal(&self, holder: Holder, fence: Fence, reason: Refusal, now: Time) -> Message {
        let retry_after = match reason {
            Refusal::Starting => self.silent_until.since(now),
            Refusal::Held(_) => self.until.since(now),
            Refusal::StaleFence => Duration::ZERO,
        };
        Message::Refused {
            incarnation: holder.incarnation,
            fence,
            reason,
            known: self.known,
            retry_after,
        }
    }

    fn release(&mut self, holder: Holder, fence: Fence) {
        let held = Promise {
            fence,
            holder: Some(holder),
        };
        if self.promise == held {
            self.promise.holder = None;
        }
    }
}

/// The parts of an ask that its answer needs.
#[derive(Clone, Copy, Debug)]
struct Ask {
    holder: Holder,
    fence: Fence,
    claim: Claim,
    sent: Time,
}

impl Ask {
    fn granted(self) -> Message {
        Message::Granted {
            incarnation: self.holder.incarnation,
            fence: self.fence,
            sent: self.sent,
        }
    }
}

impl Reply {
    fn of(message: Message) -> Self {
        Self {
            message,
            sync_first: None,
        }
    }
}
