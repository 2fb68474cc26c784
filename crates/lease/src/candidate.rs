//! A candidate acquires the lease, renews it and knows whether it still holds it.
//!
//! A bid takes two steps. A probe asks the granters whether they would grant the lease and
//! which fencing numbers they know. They promise nothing, so a candidate that cannot win
//! disturbs no other. If a majority would grant, the candidate requests the lease with a fencing
//! number larger than all known ones.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Claim;
use crate::Config;
use crate::Holder;
use crate::Message;
use crate::OutgoingMessage;
use crate::Refusal;
use crate::WallTime;
use crate::bid::Bid;
use crate::fence::raise_fence;
use base::Fence;
use base::Incarnation;
use base::NodeId;
use base::Time;

/// The right to send orders to the engines of a data centre, for a limited time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tenure {
    /// The fencing number that goes with every order.
    pub fence: Fence,
    /// When the tenure ends, unless the lease is renewed.
    pub until: Time,
}

#[derive(Clone, Debug)]
enum State {
    /// Waits until this time before it probes.
    Waiting { until: Time },
    /// Asks the granters whether a bid could succeed.
    Probing {
        started_at: Time,
        /// The granters that would grant, with the highest fencing number each knows.
        willing: BTreeMap<NodeId, Fence>,
    },
    /// Has requested the lease, or holds it.
    Bidding(Bid),
    /// No longer bids for the lease.
    Stopped,
}

/// A node that may become the controller of its data centre.
#[derive(Clone, Debug)]
pub struct Candidate {
    cfg: Config,
    me: Holder,
    state: State,
    highest_fence: Fence,
    next_send: Time,
}

impl Candidate {
    /// Creates a candidate. The further down the list of granters, the later it bids.
    pub fn new(cfg: Config, node: NodeId, incarnation: Incarnation, now: Time) -> Self {
        let until = now + cfg.bid_stagger * cfg.rank(node);
        Self {
            cfg,
            me: Holder { node, incarnation },
            state: State::Waiting { until },
            highest_fence: Fence(0),
            next_send: now,
        }
    }

    /// Records a fencing number that a host reported.
    pub fn observe_fence(&mut self, fence: Fence) {
        raise_fence(&mut self.highest_fence, fence);
    }

    /// The tenure, if the candidate holds the lease at this time.
    pub fn tenure(&self, now: Time) -> Option<Tenure> {
        let State::Bidding(bid) = &self.state else {
            return None;
        };
        let until = bid.held_until(&self.cfg)?;
        let fence = bid.fence;
        (now < until).then_some(Tenure { fence, until })
    }

    /// Whether the lease is still held with this fencing number. To be checked after every
    /// wait and right before every effect.
    pub fn holds(&self, fence: Fence, now: Time) -> bool {
        self.tenure(now).is_some_and(|tenure| tenure.fence == fence)
    }

    /// Whether a majority confirmed the tenure by a renewal sent at or after `since`. To be
    /// checked before an order to an engine that ignores fencing numbers, because the answer
    /// is right even if this node's clock was stopped.
    pub fn confirmed_since(&self, fence: Fence, since: Time, now: Time) -> bool {
        let State::Bidding(bid) = &self.state else {
            return false;
        };
        let confirmed = bid.confirmed_at(&self.cfg);
        self.holds(fence, now) && confirmed.is_some_and(|sent| since <= sent)
    }

    /// Requests a renewal at the next tick instead of at the next interval.
    pub fn renew_now(&mut self, now: Time) {
        self.next_send = self.next_send.min(now);
    }

    /// Returns the messages to send now. To be called at least every 100 ms.
    pub fn tick(&mut self, wall: WallTime, now: Time) -> Vec<OutgoingMessage> {
        let mut messages = self.end_failed_bid(now);
        self.start_probe(now);
        self.start_bid(wall, now);
        if self.next_send <= now {
            messages.extend(self.messages_due(now));
        }
        messages
    }

    /// Handles a message from a granter. The candidate acts on it at the next tick.
    pub fn receive(&mut self, from: NodeId, message: Message, now: Time) {
        if !self.cfg.granters.contains(&from) {
            return;
        }
        match message {
            Message::WouldGrant { incarnation, known } if incarnation == self.me.incarnation => {
                self.observe_fence(known);
                if let State::Probing { willing, .. } = &mut self.state {
                    willing.insert(from, known);
                }
            }
            Message::Granted {
                incarnation,
                fence,
                sent,
            } if incarnation == self.me.incarnation && sent <= now => {
                if let State::Bidding(bid) = &mut self.state
                    && bid.fence == fence
                {
                    bid.record_grant(from, sent);
                }
            }
            Message::Refused {
                incarnation,
                fence,
                reason,
                known,
                retry_after,
            } if incarnation == self.me.incarnation => {
                self.observe_fence(known);
                self.handle_refusal(from, fence, reason, retry_after, now);
            }
            Message::Release { .. } => self.bring_bid_forward(now),
            _ => {}
        }
    }

    /// Releases the lease and stops bidding. The caller must have stopped sending orders.
    pub fn stop(&mut self) -> Vec<OutgoingMessage> {
        let messages = self.release_messages();
        self.state = State::Stopped;
        messages
    }

    fn handle_refusal(
        &mut self,
        from: NodeId,
        fence: Fence,
        reason: Refusal,
        retry_after: Duration,
        now: Time,
    ) {
        let stagger = self.cfg.bid_stagger * self.cfg.rank(self.me.node);
        match &mut self.state {
            State::Probing { .. } if fence == Fence(0) => {
                if let Refusal::Held(_) = reason {
                    let until = now + retry_after.min(self.cfg.lease_time) + stagger;
                    self.state = State::Waiting { until };
                }
            }
            State::Bidding(bid) if bid.fence == fence => match reason {
                Refusal::Starting => {}
                Refusal::Held(_) | Refusal::StaleFence => bid.record_refusal(from),
            },
            _ => {}
        }
    }

    /// Shortens the wait before a probe to the stagger, as the holder released the lease.
    fn bring_bid_forward(&mut self, now: Time) {
        let probe_at = now + self.cfg.bid_stagger * self.cfg.rank(self.me.node);
        if let State::Waiting { until } = &mut self.state {
            *until = probe_at.min(*until);
        }
    }

    /// Ends a probe or bid that timed out or cannot succeed, and a lease that has expired.
    fn end_failed_bid(&mut self, now: Time) -> Vec<OutgoingMessage> {
        let ended = match &self.state {
            State::Waiting { .. } | State::Stopped => false,
            State::Probing { started_at, .. } => *started_at + self.cfg.bid_timeout <= now,
            State::Bidding(bid) => {
                let bid_ends = bid.started_at + self.cfg.bid_timeout;
                let until = bid.held_until(&self.cfg).unwrap_or(bid_ends);
                until <= now || !bid.can_succeed(&self.cfg)
            }
        };
        if !ended {
            return Vec::new();
        }
        let messages = self.release_messages();
        let stagger = self.cfg.bid_stagger * (1 + self.cfg.rank(self.me.node));
        let until = now + stagger;
        self.state = State::Waiting { until };
        messages
    }

    fn start_probe(&mut self, now: Time) {
        let State::Waiting { until } = self.state else {
            return;
        };
        if now < until {
            return;
        }
        self.state = State::Probing {
            started_at: now,
            willing: BTreeMap::new(),
        };
        self.next_send = now;
    }

    fn start_bid(&mut self, wall: WallTime, now: Time) {
        let State::Probing { willing, .. } = &self.state else {
            return;
        };
        if willing.len() < self.cfg.majority() {
            return;
        }
        let fence = self.highest_fence.next().max(wall.fence_floor());
        self.highest_fence = fence;
        self.state = State::Bidding(Bid::new(fence, now));
        self.next_send = now;
    }

    fn messages_due(&mut self, now: Time) -> Vec<OutgoingMessage> {
        let holder = self.me;
        let seen = self.highest_fence;
        let message = match &self.state {
            State::Waiting { .. } | State::Stopped => return Vec::new(),
            State::Probing { .. } => Message::Probe { holder, seen },
            State::Bidding(bid) => Message::Request {
                holder,
                fence: bid.fence,
                claim: match self.tenure(now) {
                    Some(_) => Claim::Holds,
                    None => Claim::Bids,
                },
                lease_time: self.cfg.requested_time(),
                sent: now,
            },
        };
        let interval = match self.tenure(now) {
            Some(_) => self.cfg.renew_interval,
            None => self.cfg.resend_interval,
        };
        self.next_send = now + interval;
        self.to_all(message)
    }

    fn release_messages(&self) -> Vec<OutgoingMessage> {
        let State::Bidding(bid) = &self.state else {
            return Vec::new();
        };
        let holder = self.me;
        let fence = bid.fence;
        self.to_all(Message::Release { holder, fence })
    }

    fn to_all(&self, message: Message) -> Vec<OutgoingMessage> {
        let granters = self.cfg.granters.iter();
        granters
            .map(|to| OutgoingMessage { to: *to, message })
            .collect()
    }
}
