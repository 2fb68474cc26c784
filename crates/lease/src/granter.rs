//! A granter grants the lease to one holder at a time.
//!
//! It keeps the highest fencing number it granted or heard of, and to whom and until when it
//! promised the lease. A granter that lost this state grants nothing for [`MAX_LEASE_TIME`],
//! after which no promise that it may have made is still in force.

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
use crate::fence::raise_fence;
use base::Fence;
use base::Time;

/// The state that a granter with a disk persists.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promise {
    /// The fencing number that was granted last.
    pub fence: Fence,
    /// To whom the lease was promised last, unless it was released.
    pub holder: Option<Holder>,
}

/// The state that a granter has at its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PersistedState {
    /// None, or a state on disk that may be older than the last promise.
    Lost,
    /// The last promise, synced before its reply was sent.
    Kept(Promise),
}

/// A granter's answer to a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The message for the sender.
    pub message: Message,
    /// The promise that must be durable before the message is sent, if the granter has a disk.
    pub sync_first: Option<Promise>,
}

/// A granter of a data centre's lease.
#[derive(Clone, Debug)]
pub struct Granter {
    promise: Promise,
    highest_fence: Fence,
    promised_until: Time,
    no_grants_until: Time,
}

impl Granter {
    /// Creates a granter from the state that it has persisted.
    pub fn new(persisted: PersistedState, wall: WallTime, now: Time) -> Self {
        let (promise, no_grants_for, promised_for) = match persisted {
            PersistedState::Lost => (Promise::default(), MAX_LEASE_TIME, Duration::ZERO),
            PersistedState::Kept(promise) => (promise, Duration::ZERO, MAX_LEASE_TIME),
        };
        Self {
            promise,
            highest_fence: promise.fence.max(wall.fence_floor()),
            promised_until: now + promised_for,
            no_grants_until: now + no_grants_for,
        }
    }

    /// The state to persist.
    pub fn promise(&self) -> Promise {
        self.promise
    }

    /// The holder that the lease is promised to, while the promise lasts.
    pub fn holder(&self, now: Time) -> Option<Holder> {
        self.promise.holder.filter(|_| now < self.promised_until)
    }

    /// The highest fencing number that the granter knows.
    pub fn highest_fence(&self) -> Fence {
        self.highest_fence
    }

    /// Records a fencing number that a host reported.
    pub fn observe_fence(&mut self, fence: Fence) {
        raise_fence(&mut self.highest_fence, fence);
    }

    /// Answers a candidate's message.
    pub fn receive(&mut self, message: Message, now: Time) -> Option<Reply> {
        match message {
            Message::Probe { holder, seen } => {
                self.observe_fence(seen);
                Some(self.answer_probe(holder, now))
            }
            Message::Request {
                holder,
                fence,
                claim,
                lease_time,
                sent,
            } if lease_time <= MAX_LEASE_TIME && fence < MAX_FENCE => Some(self.answer_request(
                LeaseRequest {
                    holder,
                    fence,
                    claim,
                    sent,
                },
                lease_time,
                now,
            )),
            Message::Release { holder, fence } => {
                self.handle_release(holder, fence);
                None
            }
            _ => None,
        }
    }

    fn answer_probe(&self, holder: Holder, now: Time) -> Reply {
        let message = match self.refusal_reason(holder, now) {
            Some(reason) => self.refusal_message(holder, Fence(0), reason, now),
            None => Message::WouldGrant {
                incarnation: holder.incarnation,
                known: self.highest_fence,
            },
        };
        Reply::of(message)
    }

    fn answer_request(&mut self, request: LeaseRequest, lease_time: Duration, now: Time) -> Reply {
        if let Some(reason) = self.refusal_reason(request.holder, now) {
            return Reply::of(self.refusal_message(request.holder, request.fence, reason, now));
        }
        if !self.may_grant(request) {
            return Reply::of(self.refusal_message(
                request.holder,
                request.fence,
                Refusal::StaleFence,
                now,
            ));
        }
        let old_promise = self.promise;
        self.promise = Promise {
            fence: request.fence,
            holder: Some(request.holder),
        };
        self.observe_fence(request.fence);
        self.promised_until = now + lease_time;
        Reply {
            message: request.granted_message(),
            sync_first: (old_promise != self.promise).then_some(self.promise),
        }
    }

    /// Whether the requester may have the fencing number. A known one belongs to the holder that
    /// claims it, as no two nodes can each get the same number granted by a majority.
    fn may_grant(&self, request: LeaseRequest) -> bool {
        let renews =
            self.promise.holder == Some(request.holder) && request.fence == self.promise.fence;
        let claims_known_fence =
            request.claim == Claim::Holds && request.fence == self.highest_fence;
        renews || claims_known_fence || self.highest_fence < request.fence
    }

    /// Why this requester cannot have the lease, whatever its fencing number.
    fn refusal_reason(&self, holder: Holder, now: Time) -> Option<Refusal> {
        if now < self.no_grants_until {
            return Some(Refusal::Starting);
        }
        let other = self.promise.holder.filter(|other| *other != holder)?;
        (now < self.promised_until).then_some(Refusal::Held(other))
    }

    fn refusal_message(&self, holder: Holder, fence: Fence, reason: Refusal, now: Time) -> Message {
        let retry_after = match reason {
            Refusal::Starting => self.no_grants_until.since(now),
            Refusal::Held(_) => self.promised_until.since(now),
            Refusal::StaleFence => Duration::ZERO,
        };
        Message::Refused {
            incarnation: holder.incarnation,
            fence,
            reason,
            known: self.highest_fence,
            retry_after,
        }
    }

    fn handle_release(&mut self, holder: Holder, fence: Fence) {
        let released = Promise {
            fence,
            holder: Some(holder),
        };
        if self.promise == released {
            self.promise.holder = None;
        }
    }
}

/// The parts of a [`Message::Request`] that decide on its answer.
#[derive(Clone, Copy, Debug)]
struct LeaseRequest {
    holder: Holder,
    fence: Fence,
    claim: Claim,
    sent: Time,
}

impl LeaseRequest {
    fn granted_message(self) -> Message {
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
