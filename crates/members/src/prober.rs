//! Probes the members of the own data centre in turn, as in SWIM.
//!
//! A ping that is not answered is sent again, then through three other members.
//! The probe fails when none of them is answered in time.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Timing;
use base::NodeId;
use base::Time;

/// How many other members are asked to ping the target of a probe.
const HELPERS_PER_PROBE: usize = 3;

/// The most pings for other members that may be under way at once.
const MAX_RELAYS: usize = 64;

/// One probe in this many goes to a member that counts as dead, so that the end
/// of a network partition is noticed.
const DEAD_PROBE_PERIOD: u32 = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Sent,
    Resent,
    Indirect,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    target: NodeId,
    sent_at: Time,
    stage: Stage,
}

/// A ping made for another member, which probes the target.
#[derive(Clone, Copy, Debug)]
struct Relay {
    requester: NodeId,
    /// The nonce of the requester's probe.
    nonce: u32,
    expires_at: Time,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ProbeAction {
    Ping {
        target: NodeId,
        nonce: u32,
    },
    /// Ask other members to ping the target.
    RequestPings {
        target: NodeId,
        nonce: u32,
        helpers: Vec<NodeId>,
    },
    /// Suspect the target, which did not answer.
    Failed {
        target: NodeId,
    },
}

/// What an answer to a ping belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AckMatch {
    OwnProbe(NodeId),
    /// A ping that `requester` asked for under its own `nonce`.
    Relayed {
        requester: NodeId,
        nonce: u32,
    },
}

/// The probes under way, and whom to probe next.
#[derive(Clone, Debug)]
pub(crate) struct Prober {
    timing: Timing,
    /// Members still to be probed in this round.
    targets: Vec<NodeId>,
    next_probe_at: Time,
    probes: BTreeMap<u32, Probe>,
    /// Pings made for other members, by this node's nonce.
    relays: BTreeMap<u32, Relay>,
    nonce: u32,
    probe_count: u32,
}

impl Prober {
    pub fn new(timing: Timing, nonce: u32, now: Time) -> Self {
        Self {
            timing,
            targets: Vec::new(),
            next_probe_at: now,
            probes: BTreeMap::new(),
            relays: BTreeMap::new(),
            nonce,
            probe_count: 0,
        }
    }

    pub fn next_nonce(&mut self) -> u32 {
        self.nonce = self.nonce.wrapping_add(1);
        self.nonce
    }

    /// Drops the probes that were under way while this process was suspended.
    pub fn cancel_probes(&mut self) {
        self.probes.clear();
    }

    /// The actions that are due. `peers` may answer, `dead` are not expected to.
    pub fn tick(
        &mut self,
        peers: &[NodeId],
        dead: &[NodeId],
        rng: &mut fastrand::Rng,
        now: Time,
    ) -> Vec<ProbeAction> {
        self.relays.retain(|_, relay| now < relay.expires_at);
        let mut actions = self.follow_up(peers, rng, now);
        if now < self.next_probe_at || (peers.is_empty() && dead.is_empty()) {
            return actions;
        }
        self.next_probe_at = now + self.interval(peers.len());
        if let Some(target) = self.next_target(peers, dead, rng) {
            let nonce = self.start_probe(target, now);
            actions.push(ProbeAction::Ping { target, nonce });
        }
        actions
    }

    fn interval(&self, peers: usize) -> Duration {
        let per_second = self.timing.probes_per_second.min(peers as u32).max(1);
        Duration::from_secs(1) / per_second
    }

    fn next_target(
        &mut self,
        peers: &[NodeId],
        dead: &[NodeId],
        rng: &mut fastrand::Rng,
    ) -> Option<NodeId> {
        self.probe_count = self.probe_count.wrapping_add(1);
        if peers.is_empty()
            || self.probe_count.is_multiple_of(DEAD_PROBE_PERIOD) && !dead.is_empty()
        {
            return rng.choice(dead).copied();
        }
        while let Some(target) = self.targets.pop() {
            if peers.contains(&target) {
                return Some(target);
            }
        }
        self.targets = peers.to_vec();
        rng.shuffle(&mut self.targets);
        self.targets.pop()
    }

    fn start_probe(&mut self, target: NodeId, now: Time) -> u32 {
        let nonce = self.next_nonce();
        let probe = Probe {
            target,
            sent_at: now,
            stage: Stage::Sent,
        };
        self.probes.insert(nonce, probe);
        nonce
    }

    fn follow_up(
        &mut self,
        peers: &[NodeId],
        rng: &mut fastrand::Rng,
        now: Time,
    ) -> Vec<ProbeAction> {
        let mut actions = Vec::new();
        for (nonce, probe) in &mut self.probes {
            let Probe {
                target, sent_at, ..
            } = *probe;
            let nonce = *nonce;
            if probe.stage == Stage::Sent && sent_at + self.timing.probe_resend_after <= now {
                probe.stage = Stage::Resent;
                actions.push(ProbeAction::Ping { target, nonce });
            }
            if probe.stage == Stage::Resent && sent_at + self.timing.indirect_probe_after <= now {
                probe.stage = Stage::Indirect;
                let others = peers.iter().copied().filter(|peer| *peer != target);
                let helpers = rng.choose_multiple(others, HELPERS_PER_PROBE);
                actions.push(ProbeAction::RequestPings {
                    target,
                    nonce,
                    helpers,
                });
            }
            if sent_at + self.timing.probe_timeout <= now {
                actions.push(ProbeAction::Failed { target });
            }
        }
        let limit = self.timing.probe_timeout;
        self.probes.retain(|_, probe| now < probe.sent_at + limit);
        actions
    }

    /// Starts a ping for another member and returns the nonce to send.
    pub fn start_relay(&mut self, requester: NodeId, nonce: u32, now: Time) -> Option<u32> {
        if MAX_RELAYS <= self.relays.len() {
            return None;
        }
        let own_nonce = self.next_nonce();
        let expires_at = now + self.timing.probe_timeout;
        let relay = Relay {
            requester,
            nonce,
            expires_at,
        };
        self.relays.insert(own_nonce, relay);
        Some(own_nonce)
    }

    /// Ends the probe or relayed ping that an answer belongs to.
    pub fn match_ack(&mut self, nonce: u32, of: NodeId) -> Option<AckMatch> {
        if let Some(relay) = self.relays.remove(&nonce) {
            return Some(AckMatch::Relayed {
                requester: relay.requester,
                nonce: relay.nonce,
            });
        }
        let probe = self.probes.get(&nonce)?;
        if probe.target != of {
            return None;
        }
        self.probes.remove(&nonce);
        Some(AckMatch::OwnProbe(of))
    }
}
