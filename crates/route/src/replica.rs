//! One replica as this node sees it.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use base::Load;
use base::ReplicaId;
use base::RequestId;
use base::Time;
use base::TokenCount;

use crate::Candidate;
use crate::Length;
use crate::outlier::Outlier;

/// One replica as this node sees it.
#[derive(Clone, Debug)]
pub(crate) struct Replica {
    pub id: ReplicaId,
    pub link: Duration,
    pub load: Load,
    /// When the load was reported, on this node's clock.
    pub at: Time,
    /// Own requests that the report has not counted yet.
    unseen: VecDeque<(Time, TokenCount)>,
    unseen_prompt: u64,
    /// Own requests that ended after the report.
    ended: VecDeque<Time>,
    /// Own long requests there.
    pub long: u32,
    /// Own short requests that still wait for their first token.
    pub pending: BTreeMap<RequestId, (Time, Duration)>,
    pub outlier: Outlier,
}

impl Replica {
    pub fn new(candidate: Candidate, now: Time) -> Self {
        Self {
            id: candidate.replica,
            link: candidate.link,
            at: now - candidate.age,
            load: candidate.load,
            unseen: VecDeque::new(),
            unseen_prompt: 0,
            ended: VecDeque::new(),
            long: 0,
            pending: BTreeMap::new(),
            outlier: Outlier::default(),
        }
    }

    /// Takes a report, unless an equal or newer one was seen.
    pub fn report(&mut self, candidate: Candidate, now: Time) {
        self.link = candidate.link;
        let at = now - candidate.age;
        if at <= self.at && self.load == candidate.load {
            return;
        }
        self.at = at.max(self.at);
        self.load = candidate.load;
        while let Some((sent, prompt)) = self.unseen.front().copied() {
            if self.at < sent + self.link {
                break;
            }
            self.unseen_prompt -= u64::from(prompt.0);
            self.unseen.pop_front();
        }
        while self.ended.front().is_some_and(|end| *end <= self.at) {
            self.ended.pop_front();
        }
    }

    /// Requests in the batch or waiting for it, as far as this node can know.
    pub fn occupied(&self) -> f64 {
        let reported = f64::from(self.load.running) + f64::from(self.load.waiting);
        reported + self.unseen.len() as f64 - self.ended.len() as f64
    }

    /// Prompt tokens sent that the report has not counted.
    pub fn unseen_prompt(&self) -> f64 {
        self.unseen_prompt as f64
    }

    pub fn sent(
        &mut self,
        id: RequestId,
        prompt: TokenCount,
        length: Length,
        alone: Duration,
        now: Time,
    ) {
        self.unseen.push_back((now, prompt));
        self.unseen_prompt += u64::from(prompt.0);
        match length {
            Length::Short => {
                self.pending.insert(id, (now, alone));
            }
            Length::Long => self.long += 1,
        }
    }

    pub fn ended(&mut self, id: RequestId, length: Length, now: Time) {
        self.pending.remove(&id);
        self.ended.push_back(now);
        if length == Length::Long {
            self.long = self.long.saturating_sub(1);
        }
    }

    /// True if a short request has waited for its first token far beyond its forecast.
    pub fn overdue(&self, slow_factor: f64, now: Time) -> bool {
        let oldest = self.pending.first_key_value();
        oldest.is_some_and(|(_, (sent, forecast))| {
            OVERDUE_FLOOR.max(forecast.mul_f64(slow_factor)) < now.since(*sent)
        })
    }
}

/// A request that waits less than this is never overdue.
const OVERDUE_FLOOR: Duration = Duration::from_millis(600);
