//! Probes the members of the own data centre in turn.
//!
//! A probe that is not answered is sent again, then through three other
//! members, and fails when none of it is answered in time.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Timing;
use base::NodeId;
use base::Time;

/// Members asked to probe for this one.
const HELPERS: usize = 3;

/// Probes made for other members that may be under way at once.
const MAX_RELAYS: usize = 64;

/// One probe in this many goes to a member that counts as dead, so that a
/// healed partition is noticed.
const DEAD_TURN: u32 = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Sent,
    Resent,
    Indirect,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    target: NodeId,
    sent: Time,
    stage: Stage,
}

/// A probe made for another member.
#[derive(Clone, Copy, Debug)]
struct Relay {
    asker: NodeId,
    nonce: u32,
    until: Time,
}

/// What a probe needs next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Ping the target.
    Ping { target: NodeId, nonce: u32 },
    /// Ask helpers to ping it.
    Ask {
        target: NodeId,
        nonce: u32,
        helpers: Vec<NodeId>,
    },
    /// It did not answer.
    Failed { target: NodeId },
}

/// What an ack answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Answer {
    /// An own probe of this member.
    Mine(NodeId),
    /// A probe that `asker` asked for under `nonce`.
    For { asker: NodeId, nonce: u32 },
}

#[derive(Clone, Debug)]
pub(crate) struct Prober {
    timing: Timing,
    turn: Vec<NodeId>,
    next_at: Time,
    probes: BTreeMap<u32, Probe>,
    relays: BTreeMap<u32, Relay>,
    nonce: u32,
    count: u32,
}

impl Prober {
    pub fn open(timing: Timing, nonce: u32, now: Time) -> Self {
        Self {
            timing,
            turn: Vec::new(),
            next_at: now,
            probes: BTreeMap::new(),
            relays: BTreeMap::new(),
            nonce,
            count: 0,
        }
    }

    pub fn nonce(&mut self) -> u32 {
        self.nonce = self.nonce.wrapping_add(1);
        self.nonce
    }

    /// Forgets what was under way while this node did not run.
    pub fn forget(&mut self) {
        self.probes.clear();
    }

    /// Does what is due. `mates` may answer, `dead` are not expected to.
    pub fn tick(
        &mut self,
        mates: &[NodeId],
        dead: &[NodeId],
        rng: &mut fastrand::Rng,
        now: Time,
    ) -> Vec<Step> {
        self.relays.retain(|_, relay| now < relay.until);
        let mut steps = self.follow_up(mates, rng, now);
        if now < self.next_at || (mates.is_empty() && dead.is_empty()) {
            return steps;
        }
        self.next_at = now + self.interval(mates.len());
        if let Some(target) = self.next_target(mates, dead, rng) {
            let nonce = self.begin(target, now);
            steps.push(Step::Ping { target, nonce });
        }
        steps
    }

    fn interval(&self, mates: usize) -> Duration {
        let per_second = self.timing.probes_per_second.min(mates as u32).max(1);
        Duration::from_secs(1) / per_second
    }

    fn next_target(
        &mut self,
        mates: &[NodeId],
        dead: &[NodeId],
        rng: &mut fastrand::Rng,
    ) -> Option<NodeId> {
        self.count = self.count.wrapping_add(1);
        if mates.is_empty() || self.count.is_multiple_of(DEAD_TURN) && !dead.is_empty() {
            return rng.choice(dead).copied();
        }
        while let Some(target) = self.turn.pop() {
            if mates.contains(&target) {
                return Some(target);
            }
        }
        self.turn = mates.to_vec();
        rng.shuffle(&mut self.turn);
        self.turn.pop()
    }

    fn begin(&mut self, target: NodeId, now: Time) -> u32 {
        let nonce = self.nonce();
        let probe = Probe {
            target,
            sent: now,
            stage: Stage::Sent,
        };
        self.probes.insert(nonce, probe);
        nonce
    }

    fn follow_up(&mut self, mates: &[NodeId], rng: &mut fastrand::Rng, now: Time) -> Vec<Step> {
        let mut steps = Vec::new();
        for (nonce, probe) in &mut self.probes {
            let Probe { target, sent, .. } = *probe;
            let nonce = *nonce;
            if probe.stage == Stage::Sent && sent + self.timing.probe_resend_after <= now {
                probe.stage = Stage::Resent;
                steps.push(Step::Ping { target, nonce });
            }
            if probe.stage == Stage::Resent && sent + self.timing.indirect_probe_after <= now {
                probe.stage = Stage::Indirect;
                let others = mates.iter().copied().filter(|mate| *mate != target);
                let helpers = rng.choose_multiple(others, HELPERS);
                steps.push(Step::Ask {
                    target,
                    nonce,
                    helpers,
                });
            }
            if sent + self.timing.probe_timeout <= now {
                steps.push(Step::Failed { target });
            }
        }
        let limit = self.timing.probe_timeout;
        self.probes.retain(|_, probe| now < probe.sent + limit);
        steps
    }

    /// Begins a probe for another member.
    pub fn relay(&mut self, asker: NodeId, nonce: u32, now: Time) -> Option<u32> {
        if MAX_RELAYS <= self.relays.len() {
            return None;
        }
        let mine = self.nonce();
        let until = now + self.timing.probe_timeout;
        let relay = Relay {
            asker,
            nonce,
            until,
        };
        self.relays.insert(mine, relay);
        Some(mine)
    }

    /// Takes in an ack about a member.
    pub fn answer(&mut self, nonce: u32, of: NodeId) -> Option<Answer> {
        if let Some(relay) = self.relays.remove(&nonce) {
            return Some(Answer::For {
                asker: relay.asker,
                nonce: relay.nonce,
            });
        }
        let probe = self.probes.get(&nonce)?;
        if probe.target != of {
            return None;
        }
        self.probes.remove(&nonce);
        Some(Answer::Mine(of))
    }
}
