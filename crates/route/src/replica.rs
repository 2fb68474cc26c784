//! One replica as this node sees it.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::Candidate;
use crate::Length;
use crate::in_flight::InFlightRequest;
use crate::outlier_detector::OutlierDetector;
use base::Load;
use base::ReplicaId;
use base::RequestId;
use base::Time;
use base::TokenCount;

/// An own request that the latest report has not counted.
#[derive(Clone, Copy, Debug)]
struct UnreportedRequest {
    id: RequestId,
    sent_at: Time,
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
    pub reported_at: Time,
    /// Own requests that the report has not counted yet.
    unreported: VecDeque<UnreportedRequest>,
    /// Own requests that ended after the report.
    ended_at: VecDeque<Time>,
    /// Own long requests there.
    pub long_count: u32,
    /// Own urgent requests that still wait for their first token, when they were sent and
    /// what was expected.
    pub awaiting_first_token: BTreeMap<RequestId, (Time, Duration)>,
    pub outlier: OutlierDetector,
}

impl Replica {
    pub fn new(candidate: Candidate, now: Time) -> Self {
        Self {
            id: candidate.replica,
            link: candidate.link_delay,
            reported_at: now - candidate.load_age,
            load: candidate.load,
            unreported: VecDeque::new(),
            ended_at: VecDeque::new(),
            long_count: 0,
            awaiting_first_token: BTreeMap::new(),
            outlier: OutlierDetector::default(),
        }
    }

    /// Takes a report, unless an equal or newer one was seen.
    pub fn update_load(&mut self, candidate: Candidate, now: Time) {
        self.link = candidate.link_delay;
        let at = now - candidate.load_age;
        if at <= self.reported_at && self.load == candidate.load {
            return;
        }
        self.reported_at = at.max(self.reported_at);
        self.load = candidate.load;
        let (at, link) = (self.reported_at, self.link);
        while self
            .unreported
            .front()
            .is_some_and(|u| u.sent_at + link <= at)
        {
            self.unreported.pop_front();
        }
        while self
            .ended_at
            .front()
            .is_some_and(|end| *end <= self.reported_at)
        {
            self.ended_at.pop_front();
        }
    }

    /// A fixed hash of the id, from zero to one.
    pub fn id_hash(&self) -> f64 {
        let mixed = (self.id.0 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let mixed = (mixed ^ (mixed >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
        (mixed >> 40) as f64 / f64::from(1 << 24)
    }

    /// Requests in the batch or waiting for it, as far as this node can know.
    pub fn request_count(&self) -> f64 {
        let reported = f64::from(self.load.running) + f64::from(self.load.waiting);
        reported + self.unreported.len() as f64 - self.ended_at.len() as f64
    }

    /// Prompt tokens sent that the report has not counted and that go first.
    pub fn unreported_prompt_tokens(&self, length: Length) -> f64 {
        let first = self.unreported.iter().filter(|u| u.length <= length);
        first.map(|u| f64::from(u.prompt.0)).sum()
    }

    pub fn record_sent(&mut self, id: RequestId, prompt: TokenCount, flight: &InFlightRequest) {
        self.unreported.push_back(UnreportedRequest {
            id,
            sent_at: flight.sent_at,
            prompt,
            length: flight.length,
        });
        if flight.is_urgent() {
            self.awaiting_first_token
                .insert(id, (flight.sent_at, flight.expected_first_token));
        }
        if flight.length == Length::Long {
            self.long_count += 1;
        }
    }

    /// Takes the first token of a request: its prompt has been prefilled.
    pub fn record_first_token(&mut self, id: RequestId) {
        self.awaiting_first_token.remove(&id);
        if let Some(unseen) = self.unreported.iter_mut().find(|u| u.id == id) {
            unseen.prompt = TokenCount(0);
        }
    }

    /// Takes the end of a request. One that no report has counted leaves no trace.
    pub fn record_ended(&mut self, id: RequestId, length: Length, now: Time) {
        self.awaiting_first_token.remove(&id);
        match self.unreported.iter().position(|u| u.id == id) {
            Some(at) => {
                self.unreported.remove(at);
            }
            None => self.ended_at.push_back(now),
        }
        if length == Length::Long {
            self.long_count = self.long_count.saturating_sub(1);
        }
    }

    /// How far the oldest urgent request without a first token is beyond its forecast.
    pub fn overdue(&self, now: Time) -> Duration {
        let oldest = self.awaiting_first_token.first_key_value();
        oldest.map_or(Duration::ZERO, |(_, (sent, expected))| {
            now.since(*sent + *expected)
        })
    }
}
