//! Decides which node to ask for a newer configuration, and when.
//!
//! In each data centre two nodes, different ones for each version, ask the voters
//! at once. The others wait until a member of their own data centre has it, and
//! ask the voters themselves if that takes too long. Asks are spread by jitter,
//! one is under way at a time, and the next starts after a pause, so that few
//! asks fetch a burst of changes.

use std::time::Duration;

use crate::Members;
use crate::Standing;
use crate::hash;
use base::NodeId;
use base::Time;
use base::Version;

/// How many nodes of a data centre ask the voters at once.
const FIRST_ASKERS: usize = 2;

/// The longest random delay before the first ask for a version.
const MAX_FIRST_ASK_JITTER: Duration = Duration::from_millis(200);

/// The shortest time between the starts of two asks.
const ASK_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which an ask has failed.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);

/// Shortest and longest time to wait for a member of the own data centre.
const LOCAL_WAIT_RANGE: (Duration, Duration) =
    (Duration::from_millis(1_200), Duration::from_millis(2_200));

/// Average pause between the end of an ask and the next one.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Unsuccessful asks before the pause doubles, and the most doublings.
const ASKS_BEFORE_BACKOFF: u32 = 4;
const MAX_PAUSE_DOUBLINGS: u32 = 5;

/// A node that may have a newer configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PullSource {
    /// A member of the own data centre that has it.
    LocalMember(NodeId),
    /// A voter.
    Voter(NodeId),
}

/// What a [`Puller`] bases its decision on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PullState {
    /// The configuration version in force at this node.
    pub own_version: Version,
    /// The largest accepted version heard of.
    pub newest_version: Version,
    /// Members of the own data centre that have a newer version than this node.
    pub local_members: Vec<NodeId>,
    /// Voters of the own data centre that are not known to be dead.
    pub local_voters: Vec<NodeId>,
    /// All voters that are not known to be dead.
    pub voters: Vec<NodeId>,
    /// Whether this node is among those that ask the voters at once.
    pub asks_voters_first: bool,
}

#[derive(Clone, Copy, Debug)]
struct Ask {
    node: NodeId,
    deadline: Time,
}

/// Decides when to ask for a newer configuration, and which node.
#[derive(Clone, Debug)]
pub struct Puller {
    rng: fastrand::Rng,
    /// Since when a newer version is known, and when to ask the voters.
    wait: Option<(Time, Time)>,
    next_ask_at: Time,
    pending_ask: Option<Ask>,
    /// Asks that ended before this node had the newest version.
    unsuccessful_asks: u32,
    last_asked: Option<NodeId>,
}

impl Puller {
    /// A puller that has not asked yet. The seed determines its random choices.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(seed),
            wait: None,
            next_ask_at: Time::ZERO,
            pending_ask: None,
            unsuccessful_asks: 0,
            last_asked: None,
        }
    }

    /// The node to ask now, if any. Report the end by [`Puller::finish_ask`].
    pub fn tick(&mut self, state: &PullState, now: Time) -> Option<PullSource> {
        if state.newest_version <= state.own_version {
            self.wait = None;
            self.pending_ask = None;
            self.unsuccessful_asks = 0;
            return None;
        }
        if self.pending_ask.is_some_and(|ask| now < ask.deadline) {
            return None;
        }
        if self.pending_ask.is_some() {
            self.finish_ask(now);
        }
        let (_, ask_voters_at) = *self.wait.get_or_insert_with(|| {
            self.next_ask_at = self
                .next_ask_at
                .max(now + MAX_FIRST_ASK_JITTER.mul_f64(self.rng.f64()));
            let (least, most) = LOCAL_WAIT_RANGE;
            (now, now + least + (most - least).mul_f64(self.rng.f64()))
        });
        if now < self.next_ask_at {
            return None;
        }
        let may_ask_voters = state.asks_voters_first || ask_voters_at <= now;
        let source = self.choose_source(state, may_ask_voters)?;
        let (PullSource::LocalMember(node) | PullSource::Voter(node)) = source;
        self.next_ask_at = now + ASK_INTERVAL;
        self.pending_ask = Some(Ask {
            node,
            deadline: now + ASK_TIMEOUT,
        });
        Some(source)
    }

    /// Records that the ask under way was answered or has failed. What it brought
    /// shows in [`PullState::own_version`] at the next tick.
    pub fn finish_ask(&mut self, now: Time) {
        let Some(ask) = self.pending_ask.take() else {
            return;
        };
        self.last_asked = Some(ask.node);
        self.unsuccessful_asks = self.unsuccessful_asks.saturating_add(1);
        let doublings = self.unsuccessful_asks.saturating_sub(ASKS_BEFORE_BACKOFF);
        let pause = RETRY_PAUSE * (1 << doublings.min(MAX_PAUSE_DOUBLINGS));
        let retry_at = now + pause.mul_f64(0.5 + self.rng.f64());
        self.next_ask_at = self.next_ask_at.max(retry_at);
    }

    fn choose_source(&mut self, state: &PullState, may_ask_voters: bool) -> Option<PullSource> {
        let is_failing = 1 < self.unsuccessful_asks;
        let local_member = self.pick(&state.local_members).map(PullSource::LocalMember);
        if !may_ask_voters {
            return local_member;
        }
        let voters = match is_failing || state.local_voters.is_empty() {
            true => &state.voters,
            false => &state.local_voters,
        };
        let voter = self.pick(voters).map(PullSource::Voter);
        match is_failing {
            true => voter.or(local_member),
            false => local_member.or(voter),
        }
    }

    /// A random node, if possible not the one that was asked last.
    fn pick(&mut self, nodes: &[NodeId]) -> Option<NodeId> {
        let others = nodes.iter().copied();
        let others = others.filter(|node| Some(*node) != self.last_asked);
        let others: Vec<NodeId> = others.collect();
        let from = if others.is_empty() { nodes } else { &others };
        self.rng.choice(from).copied()
    }
}

impl Members {
    /// What a [`Puller`] bases its decision on, given the voters.
    pub fn pull_state(&self, voters: &[NodeId], now: Time) -> PullState {
        let own_version = self.own_version;
        let me = self.me.peer;
        let ahead = self.roster.local_peers().filter(|local_member| {
            let member = self.roster.get(*local_member);
            member.is_some_and(|member| own_version < member.version)
        });
        let may_answer = |node: &NodeId| {
            let member = self.roster.get(*node);
            let standing = member.map(|member| self.roster.effective_standing(member, now));
            *node != me.node && standing.is_some_and(|standing| standing < Standing::Dead)
        };
        let reachable: Vec<NodeId> = voters.iter().copied().filter(may_answer).collect();
        let local_voters = reachable.iter().copied();
        let local_voters = local_voters.filter(|node| self.roster.is_local(*node));
        PullState {
            own_version,
            newest_version: self.newest_version,
            local_members: ahead.collect(),
            local_voters: local_voters.collect(),
            voters: reachable.clone(),
            asks_voters_first: self.asks_voters_first(),
        }
    }

    /// Whether this node is among those of its data centre that ask at once.
    fn asks_voters_first(&self) -> bool {
        let me = self.me.peer;
        let rank = |node: NodeId| hash::hash(&[u64::from(node.0), self.newest_version.0]);
        let ranked_before = self.roster.members_in(me.centre).filter(|(node, member)| {
            member.record.standing == Standing::Alive && rank(*node) < rank(me.node)
        });
        ranked_before.count() < FIRST_ASKERS
    }
}
