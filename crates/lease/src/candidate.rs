//! Wants the lease, renews it and knows whether it still holds.
//!
//! A bid goes in two steps. A probe asks whether a majority would grant and
//! which numbers it knows; it promises nothing, so that a candidate that cannot
//! win disturbs nobody. Only then is the lease asked for, with a number larger
//! than all that were heard of.

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
use crate::fence::raise;
use base::Fence;
use base::Incarnation;
use base::NodeId;
use base::Time;

/// The right to order the engines of a data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tenure {
    /// Goes with every order.
    pub fence: Fence,
    /// From this time on the right is gone, unless it was renewed.
    pub until: Time,
}

#[derive(Clone, Debug)]
enum State {
    /// Waits until it may probe.
    Waiting { until: Time },
    /// Asks whether a bid could succeed.
    Probing {
        begun: Time,
        open: BTreeMap<NodeId, Fence>,
    },
    /// Has asked for the lease, or holds it.
    Bidding(Bid),
    /// Wants it no more.
    Stopped,
}

/// A node that may become the controller of its data centre.
#[derive(Clone, Debug)]
pub struct Candidate {
    cfg: Config,
    me: Holder,
    state: State,
    seen: Fence,
    send_at: Time,
}

impl Candidate {
    /// Starts a candidate, which bids after its place in the list.
    pub fn new(cfg: Config, node: NodeId, incarnation: Incarnation, now: Time) -> Self {
        let until = now + cfg.bid_stagger * cfg.rank(node);
        Self {
            cfg,
            me: Holder { node, incarnation },
            state: State::Waiting { until },
            seen: Fence(0),
            send_at: now,
        }
    }

    /// Takes in a fencing number that a host reported.
    pub fn observe_fence(&mut self, fence: Fence) {
        raise(&mut self.seen, fence);
    }

    /// The tenure, if it holds at this time.
    pub fn tenure(&self, now: Time) -> Option<Tenure> {
        let State::Bidding(bid) = &self.state else {
            return None;
        };
        let until = bid.until(&self.cfg)?;
        let fence = bid.fence;
        (now < until).then_some(Tenure { fence, until })
    }

    /// Whether the tenure with this fencing number still holds. To be asked
    /// after every wait and right before every effect.
    pub fn holds(&self, fence: Fence, now: Time) -> bool {
        self.tenure(now).is_some_and(|tenure| tenure.fence == fence)
    }

    /// Whether a majority confirmed the tenure by a renewal sent at or after
    /// `since`. Asked before an order to an engine that ignores fencing
    /// numbers, as it does not rest on this node's clock having gone on.
    pub fn confirmed_since(&self, fence: Fence, since: Time, now: Time) -> bool {
        let State::Bidding(bid) = &self.state else {
            return false;
        };
        let confirmed = bid.confirmed(&self.cfg);
        self.holds(fence, now) && confirmed.is_some_and(|sent| since <= sent)
    }

    /// Asks for a renewal at the next tick instead of in turn.
    pub fn renew_now(&mut self, now: Time) {
        self.send_at = self.send_at.min(now);
    }

    /// Does what is due. To be called at least every 100 ms.
    pub fn tick(&mut self, wall: WallTime, now: Time) -> Vec<OutgoingMessage> {
        let mut sends = self.give_up(now);
        self.begin(now);
        self.bid(wall, now);
        if self.send_at <= now {
            sends.extend(self.send(now));
        }
        sends
    }

    /// Takes in an answer. The next step follows at the next tick.
    pub fn receive(&mut self, from: NodeId, message: Message, now: Time) {
        if !self.cfg.granters.contains(&from) {
            return;
        }
        match message {
            Message::WouldGrant { incarnation, known } if incarnation == self.me.incarnation => {
                self.observe_fence(known);
                if let State::Probing { open, .. } = &mut self.state {
                    open.insert(from, known);
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
                    bid.grant(from, sent);
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
                self.refused(from, fence, reason, retry_after, now);
            }
            Message::Release { .. } => self.hasten(now),
            _ => {}
        }
    }

    /// Gives the lease back. The caller has stopped ordering before.
    pub fn stop(&mut self) -> Vec<OutgoingMessage> {
        let sends = self.release();
        self.state = State::Stopped;
        sends
    }

    fn refused(
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
                Refusal::Held(_) | Refusal::StaleFence => bid.lose(from),
            },
            _ => {}
        }
    }

    /// Bids in turn, as the holder gave the lease back.
    fn hasten(&mut self, now: Time) {
        let turn = now + self.cfg.bid_stagger * self.cfg.rank(self.me.node);
        if let State::Waiting { until } = &mut self.state {
            *until = turn.min(*until);
        }
    }

    /// Ends what has lapsed or cannot succeed.
    fn give_up(&mut self, now: Time) -> Vec<OutgoingMessage> {
        let ended = match &self.state {
            State::Waiting { .. } | State::Stopped => false,
            State::Probing { begun, .. } => *begun + self.cfg.bid_timeout <= now,
            State::Bidding(bid) => {
                let limit = bid.begun + self.cfg.bid_timeout;
                let until = bid.until(&self.cfg).unwrap_or(limit);
                until <= now || !bid.is_open(&self.cfg)
            }
        };
        if !ended {
            return Vec::new();
        }
        let sends = self.release();
        let stagger = self.cfg.bid_stagger * (1 + self.cfg.rank(self.me.node));
        let until = now + stagger;
        self.state = State::Waiting { until };
        sends
    }

    fn begin(&mut self, now: Time) {
        let State::Waiting { until } = self.state else {
            return;
        };
        if now < until {
            return;
        }
        self.state = State::Probing {
            begun: now,
            open: BTreeMap::new(),
        };
        self.send_at = now;
    }

    fn bid(&mut self, wall: WallTime, now: Time) {
        let State::Probing { open, .. } = &self.state else {
            return;
        };
        if open.len() < self.cfg.majority() {
            return;
        }
        let fence = self.seen.next().max(wall.floor());
        self.seen = fence;
        self.state = State::Bidding(Bid::new(fence, now));
        self.send_at = now;
    }

    fn send(&mut self, now: Time) -> Vec<OutgoingMessage> {
        let holder = self.me;
        let seen = self.seen;
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
        let pause = match self.tenure(now) {
            Some(_) => self.cfg.renew_interval,
            None => self.cfg.resend_interval,
        };
        self.send_at = now + pause;
        self.to_all(message)
    }

    fn release(&self) -> Vec<OutgoingMessage> {
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
