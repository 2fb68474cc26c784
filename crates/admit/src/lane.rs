//! Requests of one kind that wait, fair among organisations by weight.
//!
//! Each organisation has a line and a virtual time. The one with the smallest
//! goes first, and its time advances by the work it got over its weight. An
//! organisation that comes back starts at the present, so unused shares are
//! lent and never saved up.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use base::ContractName;
use base::ModelName;
use base::OrgName;
use base::Priority;
use base::ReplicaId;
use base::RequestId;
use base::Time;
use base::TokenCount;
use base::TokenRate;
use route::Length;
use route::Standing;

/// Whether a request counts against its contract's limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Charge {
    /// It was counted.
    Counted,
    /// It runs beyond the limits.
    Free,
}

/// A request that waits for a replica.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub request: RequestId,
    pub contract: ContractName,
    pub org: OrgName,
    pub weight: f64,
    pub model: ModelName,
    pub standing: Standing,
    /// Whether it counts against its contract's limits.
    pub charge: Charge,
    pub length: Length,
    pub priority: Priority,
    pub prompt: TokenCount,
    pub max_tokens: TokenCount,
    pub prefix: Option<u64>,
    /// Tokens that the answer probably has.
    pub estimate: f64,
    pub token_rate: TokenRate,
    pub arrived: Time,
    /// When the first token is due.
    pub due: Time,
    /// When it leaves the queue, at the latest.
    pub leaves: Time,
    /// Tokens that the caller has.
    pub from: TokenCount,
    /// The replica that failed the last attempt.
    pub avoid: Option<ReplicaId>,
    pub attempts: u32,
}

impl Waiting {
    /// Which lane it belongs to.
    pub fn kind(&self) -> (Standing, Length) {
        (self.standing, self.length)
    }

    /// The work it asks for in generated tokens.
    pub fn work(&self) -> f64 {
        crate::length::work(self.prompt, self.estimate)
    }
}

/// One organisation's line.
#[derive(Clone, Debug, Default)]
struct Line {
    waiting: VecDeque<Waiting>,
    weight: f64,
    /// Virtual time in work over weight.
    time: f64,
}

/// The lines of all organisations.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lane {
    lines: BTreeMap<OrgName, Line>,
    clock: f64,
    len: usize,
}

impl Lane {
    pub fn len(&self) -> usize {
        self.len
    }

    /// Adds a request to its organisation's line, the earliest due first.
    pub fn push(&mut self, waiting: Waiting) {
        let line = &mut self.line(&waiting).waiting;
        let at = line.partition_point(|other| other.due <= waiting.due);
        line.insert(at, waiting);
        self.len += 1;
    }

    /// Puts a request back at the head of its organisation's line.
    pub fn push_front(&mut self, waiting: Waiting) {
        self.line(&waiting).waiting.push_front(waiting);
        self.len += 1;
    }

    fn line(&mut self, waiting: &Waiting) -> &mut Line {
        let line = self.lines.entry(waiting.org.clone()).or_default();
        line.weight = waiting.weight;
        if line.waiting.is_empty() {
            line.time = line.time.max(self.clock);
        }
        line
    }

    /// Takes the request that is next.
    pub fn pop(&mut self) -> Option<Waiting> {
        let org = self.next_org()?.clone();
        let line = self.lines.get_mut(&org)?;
        self.len -= 1;
        line.waiting.pop_front()
    }

    /// Counts the work of a request that was sent against its organisation.
    pub fn charge(&mut self, waiting: &Waiting) {
        let clock = self.clock;
        let line = self.lines.entry(waiting.org.clone()).or_default();
        line.weight = waiting.weight;
        let start = line.time.max(clock);
        line.time = start + waiting.work() / waiting.weight;
        self.clock = start;
        if self.len == 0 {
            self.trim();
        }
    }

    /// Forgets organisations whose time has passed.
    fn trim(&mut self) {
        let clock = self.clock;
        self.lines
            .retain(|_, line| !line.waiting.is_empty() || clock < line.time);
    }

    fn next_org(&self) -> Option<&OrgName> {
        let busy = self
            .lines
            .iter()
            .filter(|(_, line)| !line.waiting.is_empty());
        let next = busy.min_by(|(_, a), (_, b)| a.time.total_cmp(&b.time));
        next.map(|(org, _)| org)
    }

    /// Takes a request out of its line.
    pub fn remove(&mut self, org: &OrgName, request: RequestId) -> Option<Waiting> {
        let line = self.lines.get_mut(org)?;
        let at = line.waiting.iter().position(|w| w.request == request)?;
        self.len -= 1;
        line.waiting.remove(at)
    }

    /// Requests that go before a new one of this organisation and work.
    pub fn ahead(&self, waiting: &Waiting) -> f64 {
        let own = self.lines.get(&waiting.org);
        let earlier = |line: &Line| line.waiting.iter().filter(|w| w.due <= waiting.due).count();
        let own_len = own.map_or(0, earlier) as f64;
        let step = waiting.work() / waiting.weight;
        let start = own.map_or(self.clock, |line| line.time.max(self.clock));
        let turn = start + own_len * step;
        let others = self.lines.iter().filter(|(org, _)| **org != waiting.org);
        let before = others.map(|(_, line)| served_before(line, turn, waiting.work()));
        own_len + before.sum::<f64>()
    }

    /// Takes out every request that `keep` rejects, in the order of service by place.
    /// `keep` is given the request and how many go before it.
    pub fn retain(&mut self, mut keep: impl FnMut(&Waiting, f64) -> bool) -> Vec<Waiting> {
        let mut order: Vec<(f64, OrgName, usize)> = Vec::with_capacity(self.len);
        for (org, line) in &self.lines {
            let mut turn = line.time;
            for (at, waiting) in line.waiting.iter().enumerate() {
                order.push((turn, org.clone(), at));
                turn += waiting.work() / line.weight;
            }
        }
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut before = 0.0;
        let mut dropped: Vec<(OrgName, RequestId)> = Vec::new();
        for (_, org, at) in order {
            let Some(waiting) = self.lines.get(&org).and_then(|l| l.waiting.get(at)) else {
                continue;
            };
            if keep(waiting, before) {
                before += 1.0;
            } else {
                dropped.push((org, waiting.request));
            }
        }
        let taken = dropped.iter().filter_map(|(org, id)| self.remove(org, *id));
        taken.collect()
    }
}

/// Requests of another line that are served before a virtual time.
fn served_before(line: &Line, turn: f64, work: f64) -> f64 {
    let served = (turn - line.time) * line.weight / work.max(1e-6);
    served.clamp(0.0, line.waiting.len() as f64)
}
