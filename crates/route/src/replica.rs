//! The router's state of one replica.

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

/// A request of this node that the latest report doesn't count yet.
#[derive(Clone, Copy, Debug)]
struct UnreportedRequest {
    id: RequestId,
    sent_at: Time,
    prompt: TokenCount,
    length: Length,
}

/// The router's state of one replica. "Own" requests are those of this node.
#[derive(Clone, Debug)]
pub(crate) struct Replica {
    pub id: ReplicaId,
    pub link_delay: Duration,
    pub load: Load,
    /// When the load was reported, on this node's clock.
    pub reported_at: Time,
    /// Own requests that the load report doesn't count yet.
    unreported: VecDeque<UnreportedRequest>,
    /// End times of own requests that the load report still counts.
    ended_at: VecDeque<Time>,
    /// Own long requests at the replica.
    pub long_count: u32,
    /// Own urgent requests without a first token yet: when they were sent, and the predicted
    /// time to the first token.
    pub awaiting_first_token: BTreeMap<RequestId, (Time, Duration)>,
    pub outlier: OutlierDetector,
}

impl Replica {
    pub fn new(candidate: Candidate, now: Time) -> Self {
        Self {
            id: candidate.replica,
            link_delay: candidate.link_delay,
            reported_at: now - candidate.load_age,
            load: candidate.load,
            unreported: VecDeque::new(),
            ended_at: VecDeque::new(),
            long_count: 0,
            awaiting_first_token: BTreeMap::new(),
            outlier: OutlierDetector::default(),
        }
    }

    /// Updates the load from a report, unless that is known already.
    pub fn update_load(&mut self, candidate: Candidate, now: Time) {
        self.link_delay = candidate.link_delay;
        let reported_at = now - candidate.load_age;
        if reported_at <= self.reported_at && self.load == candidate.load {
            return;
        }
        self.reported_at = reported_at.max(self.reported_at);
        self.load = candidate.load;
        let (reported_at, link_delay) = (self.reported_at, self.link_delay);
        while self
            .unreported
            .front()
            .is_some_and(|u| u.sent_at + link_delay <= reported_at)
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

    /// Requests that run or wait at the replica, as far as this node can know.
    pub fn request_count(&self) -> f64 {
        let reported = f64::from(self.load.running) + f64::from(self.load.waiting);
        reported + self.unreported.len() as f64 - self.ended_at.len() as f64
    }

    /// Prompt tokens of own requests that the load report doesn't count yet and that are
    /// prefilled before a request of this length.
    pub fn unreported_prompt_tokens(&self, length: Length) -> f64 {
        let ahead = self.unreported.iter().filter(|u| u.length <= length);
        ahead.map(|u| f64::from(u.prompt.0)).sum()
    }

    pub fn record_sent(&mut self, id: RequestId, prompt: TokenCount, request: &InFlightRequest) {
        self.unreported.push_back(UnreportedRequest {
            id,
            sent_at: request.sent_at,
            prompt,
            length: request.length,
        });
        if request.is_urgent() {
            self.awaiting_first_token
                .insert(id, (request.sent_at, request.expected_first_token));
        }
        if request.length == Length::Long {
            self.long_count += 1;
        }
    }

    /// Records the first token of a request: its prompt has been prefilled.
    pub fn record_first_token(&mut self, id: RequestId) {
        self.awaiting_first_token.remove(&id);
        if let Some(request) = self.unreported.iter_mut().find(|u| u.id == id) {
            request.prompt = TokenCount(0);
        }
    }

    /// Records the end of a request. One that no load report has counted is just removed.
    pub fn record_ended(&mut self, id: RequestId, length: Length, now: Time) {
        self.awaiting_first_token.remove(&id);
        match self.unreported.iter().position(|u| u.id == id) {
            Some(position) => {
                self.unreported.remove(position);
            }
            None => self.ended_at.push_back(now),
        }
        if length == Length::Long {
            self.long_count = self.long_count.saturating_sub(1);
        }
    }

    /// How long the first token of the oldest urgent request is overdue.
    pub fn overdue(&self, now: Time) -> Duration {
        let oldest = self.awaiting_first_token.first_key_value();
        oldest.map_or(Duration::ZERO, |(_, (sent, expected))| {
            now.since(*sent + *expected)
        })
    }
}
