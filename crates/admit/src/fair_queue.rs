//! Waiting requests of one kind, with weighted fair queueing among organisations.
//!
//! Each organisation has a queue and a virtual time. The organisation with the smallest
//! virtual time is served next, and its virtual time advances by the work sent divided by its
//! weight. An organisation that returns starts at the current virtual time, so unused shares
//! go to the others and are never saved up.

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

/// Whether a request was counted against its contract's limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Charge {
    /// The request was counted.
    Counted,
    /// The request was not counted, because the limits are used up.
    Uncounted,
}

/// An accepted request, which waits for a replica or was sent to one.
#[derive(Clone, Debug)]
pub(crate) struct AcceptedRequest {
    pub request: RequestId,
    pub contract: ContractName,
    pub org: OrgName,
    pub weight: f64,
    pub model: ModelName,
    pub standing: Standing,
    /// Whether the request was counted against its contract's limits.
    pub charge: Charge,
    pub length: Length,
    pub priority: Priority,
    pub prompt: TokenCount,
    pub max_tokens: TokenCount,
    pub prefix: Option<u64>,
    /// Estimated number of tokens in the answer.
    pub estimated_tokens: f64,
    pub token_rate: TokenRate,
    pub arrived: Time,
    /// When the first token is due.
    pub due: Time,
    /// When the request leaves the queue at the latest.
    pub queue_until: Time,
    /// Tokens that the caller already has.
    pub delivered: TokenCount,
    /// The replica that failed the last attempt.
    pub avoid: Option<ReplicaId>,
    pub failed_attempts: u32,
}

impl AcceptedRequest {
    /// The kind of the request. Each kind has its own fair queue.
    pub fn kind(&self) -> (Standing, Length) {
        (self.standing, self.length)
    }

    /// The estimated work of the request, in generated tokens.
    pub fn work(&self) -> f64 {
        crate::length::work(self.prompt, self.estimated_tokens)
    }
}

/// The waiting requests of one organisation.
#[derive(Clone, Debug, Default)]
struct OrgQueue {
    waiting: VecDeque<AcceptedRequest>,
    weight: f64,
    /// The work sent divided by the weight, in generated tokens.
    virtual_time: f64,
}

/// The queues of all organisations for one kind of requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairQueue {
    queues: BTreeMap<OrgName, OrgQueue>,
    /// The virtual time at which the last request was sent.
    virtual_time: f64,
    /// Number of waiting requests.
    len: usize,
}

impl FairQueue {
    pub fn len(&self) -> usize {
        self.len
    }

    /// Adds a request to its organisation's queue. The earliest due goes first.
    pub fn push(&mut self, accepted: AcceptedRequest) {
        let queue = &mut self.org_queue(&accepted).waiting;
        let at = queue.partition_point(|other| other.due <= accepted.due);
        queue.insert(at, accepted);
        self.len += 1;
    }

    /// Puts a request back at the head of its organisation's queue.
    pub fn push_front(&mut self, accepted: AcceptedRequest) {
        self.org_queue(&accepted).waiting.push_front(accepted);
        self.len += 1;
    }

    /// The queue of a request's organisation. If it is empty, its virtual time is brought up to
    /// the current one.
    fn org_queue(&mut self, accepted: &AcceptedRequest) -> &mut OrgQueue {
        let queue = self.queues.entry(accepted.org.clone()).or_default();
        queue.weight = accepted.weight;
        if queue.waiting.is_empty() {
            queue.virtual_time = queue.virtual_time.max(self.virtual_time);
        }
        queue
    }

    /// Removes and returns the next request.
    pub fn pop(&mut self) -> Option<AcceptedRequest> {
        let org = self.next_org()?.clone();
        let queue = self.queues.get_mut(&org)?;
        self.len -= 1;
        queue.waiting.pop_front()
    }

    /// Advances the organisation's virtual time by the work of a request that was sent.
    pub fn record_sent(&mut self, accepted: &AcceptedRequest) {
        let virtual_time = self.virtual_time;
        let queue = self.queues.entry(accepted.org.clone()).or_default();
        queue.weight = accepted.weight;
        let start = queue.virtual_time.max(virtual_time);
        queue.virtual_time = start + accepted.work() / accepted.weight;
        self.virtual_time = start;
        if self.len == 0 {
            self.remove_idle();
        }
    }

    /// Removes organisations without requests that are not ahead of the virtual time.
    fn remove_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.queues
            .retain(|_, queue| !queue.waiting.is_empty() || virtual_time < queue.virtual_time);
    }

    fn next_org(&self) -> Option<&OrgName> {
        let nonempty = self
            .queues
            .iter()
            .filter(|(_, queue)| !queue.waiting.is_empty());
        let next = nonempty.min_by(|(_, a), (_, b)| a.virtual_time.total_cmp(&b.virtual_time));
        next.map(|(org, _)| org)
    }

    /// Removes a request from its queue.
    pub fn remove(&mut self, org: &OrgName, request: RequestId) -> Option<AcceptedRequest> {
        let queue = self.queues.get_mut(org)?;
        let at = queue.waiting.iter().position(|w| w.request == request)?;
        self.len -= 1;
        queue.waiting.remove(at)
    }

    /// Estimated number of requests that are served before a new one.
    pub fn count_ahead(&self, accepted: &AcceptedRequest) -> f64 {
        let own = self.queues.get(&accepted.org);
        let earlier = |q: &OrgQueue| q.waiting.iter().filter(|w| w.due <= accepted.due).count();
        let own_len = own.map_or(0, earlier) as f64;
        let virtual_work = accepted.work() / accepted.weight;
        let start = own.map_or(self.virtual_time, |q| q.virtual_time.max(self.virtual_time));
        let virtual_start = start + own_len * virtual_work;
        let others = self.queues.iter().filter(|(org, _)| **org != accepted.org);
        let before = others.map(|(_, queue)| count_before(queue, virtual_start, accepted.work()));
        own_len + before.sum::<f64>()
    }

    /// Removes and returns the requests that `keep` rejects. `keep` is called in the order of
    /// service, with a request and the number of kept requests before it.
    pub fn retain_in_order(
        &mut self,
        mut keep: impl FnMut(&AcceptedRequest, f64) -> bool,
    ) -> Vec<AcceptedRequest> {
        let mut order: Vec<(f64, OrgName, usize)> = Vec::with_capacity(self.len);
        for (org, queue) in &self.queues {
            let mut virtual_start = queue.virtual_time;
            for (at, accepted) in queue.waiting.iter().enumerate() {
                order.push((virtual_start, org.clone(), at));
                virtual_start += accepted.work() / queue.weight;
            }
        }
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut before = 0.0;
        let mut rejected: Vec<(OrgName, RequestId)> = Vec::new();
        for (_, org, at) in order {
            let Some(accepted) = self.queues.get(&org).and_then(|q| q.waiting.get(at)) else {
                continue;
            };
            if keep(accepted, before) {
                before += 1.0;
            } else {
                rejected.push((org, accepted.request));
            }
        }
        let removed = rejected
            .iter()
            .filter_map(|(org, id)| self.remove(org, *id));
        removed.collect()
    }
}

/// Estimated number of requests of a queue that are served before a virtual time, if each has
/// this much work.
fn count_before(queue: &OrgQueue, virtual_start: f64, work: f64) -> f64 {
    let served = (virtual_start - queue.virtual_time) * queue.weight / work.max(1e-6);
    served.clamp(0.0, queue.waiting.len() as f64)
}
