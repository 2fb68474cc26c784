//! One replica as this node sees it.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::Candidate;
use crate::Length;
use crate::flight::Flight;
use crate::outlier::Outlier;
use base::Load;
use base::ReplicaId;
use base::RequestId;
use base::Time;
use base::TokenCount;

/// An own request that the latest report has not counted.
#[derive(Clone, Copy, Debug)]
struct Unseen {
    id: RequestId,
    sent: Time,
    prompt: TokenCount,
    length: Length,
}

/// One replica as this node sees it.
#[derive(Clone, Debug)]
pub(crate) struct Replica {
    pub id: ReplicaId,
    pub link: Duration,
    pub load: Load,
    /// When the load was reported, on this node's clock.
    pub at: Time,
    /// Own requests that the report has not counted yet.
    unseen: VecDeque<Unseen>,
    /// Own requests that ended after the report.
    ended: VecDeque<Time>,
    /// Own long requests there.
    pub long: u32,
    /// Own urgent requests that still wait for their first token, when they were sent and
    /// what was expected.
    pub pending: BTreeMap<RequestId, (Time, Duration)>,
    pub outlier: Outlier,
}

impl Replica {
    pub fn new(candidate: Candidate, now: Time) -> Self {
        Self {
            id: candidate.replica,
            link: candidate.link_delay,
            at: now - candidate.load_age,
            load: candidate.load,
            unseen: VecDeque::new(),
            ended: VecDeque::new(),
            long: 0,
            pending: BTreeMap::new(),
            outlier: Outlier::default(),
        }
    }

    /// Takes a report, unless an equal or newer one was seen.
    pub fn report(&mut self, candidate: Candidate, now: Time) {
        self.link = candidate.link_delay;
        let at = now - candidate.load_age;
        if at <= self.at && self.load == candidate.load {
            return;
        }
        self.at = at.max(self.at);
        self.load = candidate.load;
        let (at, link) = (self.at, self.link);
        while self.unseen.front().is_some_and(|u| u.sent + link <= at) {
            self.unseen.pop_front();
        }
        while self.ended.front().is_some_and(|end| *end <= self.at) {
            self.ended.pop_front();
        }
    }

    /// A fixed hash of the id, from zero to one.
    pub fn hash(&self) -> f64 {
        let mixed = (self.id.0 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let mixed = (mixed ^ (mixed >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
        (mixed >> 40) as f64 / f64::from(1 << 24)
    }

    /// Requests in the batch or waiting for it, as far as this node can know.
    pub fn occupied(&self) -> f64 {
        let reported = f64::from(self.load.running) + f64::from(self.load.waiting);
        reported + self.unseen.len() as f64 - self.ended.len() as f64
    }

    /// Prompt tokens sent that the report has not counted and that go first.
    pub fn unseen_prompt(&self, length: Length) -> f64 {
        let first = self.unseen.iter().filter(|u| u.length <= length);
        first.map(|u| f64::from(u.prompt.0)).sum()
    }

    pub fn sent(&mut self, id: RequestId, prompt: TokenCount, flight: &Flight) {
        self.unseen.push_back(Unseen {
            id,
            sent: flight.sent,
            prompt,
            length: flight.length,
        });
        if flight.is_urgent() {
            self.pending.insert(id, (flight.sent, flight.expected));
        }
        if flight.length == Length::Long {
            self.long += 1;
        }
    }

    /// Takes the first token of a request: its prompt has been prefilled.
    pub fn first_token(&mut self, id: RequestId) {
        self.pending.remove(&id);
        if let Some(unseen) = self.unseen.iter_mut().find(|u| u.id == id) {
            unseen.prompt = TokenCount(0);
        }
    }

    /// Takes the end of a request. One that no report has counted leaves no trace.
    pub fn ended(&mut self, id: RequestId, length: Length, now: Time) {
        self.pending.remove(&id);
        match self.unseen.iter().position(|u| u.id == id) {
            Some(at) => {
                self.unseen.remove(at);
            }
            None => self.ended.push_back(now),
        }
        if length == Length::Long {
            self.long = self.long.saturating_sub(1);
        }
    }

    /// How far the oldest urgent request without a first token is beyond its forecast.
    pub fn overdue(&self, now: Time) -> Duration {
        let oldest = self.pending.first_key_value();
        oldest.map_or(Duration::ZERO, |(_, (sent, expected))| {
            now.since(*sent + *expected)
        })
    }
}
