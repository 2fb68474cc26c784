//! A contract and its usage at this node.

use std::time::Duration;

use crate::bucket::Bucket;
use base::Contract;
use base::Overflow;
use base::Time;
use base::TokenCount;
use route::Standing;

/// The burst of the token limit: what the contract's rate allows in this time.
const TOKEN_BURST_TIME: Duration = Duration::from_secs(2);
/// A request beyond its contract that may not wait stays in the queue for this fraction of
/// the time allowed until its first token.
const BEYOND_WAIT_SHARE: f64 = 0.1;
/// Retries of refused callers are spread over at most this time after the earliest retry.
const MAX_RETRY_SPREAD: Duration = Duration::from_secs(10);
/// Assumed ratio of generated tokens to the allowed maximum before any complete answer.
const INITIAL_LENGTH_RATIO: f64 = 0.5;
/// The lowest weight of one answer in the estimate of lengths.
const MIN_ANSWER_WEIGHT: f64 = 0.05;

/// A contract and its usage at this node.
#[derive(Clone, Debug)]
pub(crate) struct ContractState {
    pub contract: Contract,
    /// The limit of requests.
    pub requests: Bucket,
    /// The limit of generated tokens.
    pub tokens: Bucket,
    /// Whether another node uses the contract. It then has to know how much this node may still
    /// admit.
    pub is_used_elsewhere: bool,
    /// Average ratio of generated tokens to the allowed maximum, over recent answers.
    length_ratio: f64,
    /// Number of complete answers.
    answer_count: u32,
    /// The latest retry time that a refused caller was told.
    pub last_retry_at: Time,
}

impl ContractState {
    pub fn new(contract: Contract, visible_part: f64, now: Time) -> Self {
        let (rate, burst) = request_limit(&contract);
        let requests = Bucket::new(rate, burst, 1.0, visible_part, now);
        let (rate, burst) = token_limit(&contract);
        let tokens = Bucket::new(rate, burst, 0.0, visible_part, now);
        Self {
            contract,
            requests,
            tokens,
            is_used_elsewhere: false,
            length_ratio: INITIAL_LENGTH_RATIO,
            answer_count: 0,
            last_retry_at: Time::ZERO,
        }
    }

    /// Changes the contract. Its usage stays counted.
    pub fn set_contract(&mut self, contract: Contract, now: Time) {
        let (rate, burst) = request_limit(&contract);
        self.requests.set_limit(rate, burst, now);
        let (rate, burst) = token_limit(&contract);
        self.tokens.set_limit(rate, burst, now);
        self.contract = contract;
    }

    /// Estimated number of tokens of an answer.
    pub fn estimated_tokens(&self, max_tokens: TokenCount) -> f64 {
        (f64::from(max_tokens.0) * self.length_ratio).max(1.0)
    }

    /// Updates the estimate of lengths by a complete answer.
    pub fn record_answer(&mut self, generated: u32, max_tokens: TokenCount) {
        let ratio = f64::from(generated) / f64::from(max_tokens.0.max(1));
        self.answer_count = self.answer_count.saturating_add(1);
        let weight = MIN_ANSWER_WEIGHT.max(1.0 / f64::from(1 + self.answer_count));
        self.length_ratio += weight * (ratio.min(1.0) - self.length_ratio);
    }

    /// The time after which a refused caller should retry: at least `wait`, and later than the
    /// callers refused before by one interval of the request rate.
    pub fn retry_after(&mut self, wait: Duration, now: Time) -> Duration {
        let rate = self.requests.rate.max(1e-3);
        let interval = Duration::from_secs_f64((1.0 / rate).min(1.0));
        let earliest = now + wait;
        let at = earliest.max(self.last_retry_at + interval);
        self.last_retry_at = at.min(now + wait + MAX_RETRY_SPREAD);
        self.last_retry_at.since(now)
    }

    /// Time from the arrival of a request until its first token is due.
    pub fn first_token_limit(&self) -> Duration {
        match &self.contract.overflow {
            Overflow::Wait(max_wait) => self.contract.first_token + *max_wait,
            Overflow::Refuse | Overflow::Model(_) => self.contract.first_token,
        }
    }

    /// The longest time that a request stays in the queue. A request beyond its contract that
    /// may not wait stays just long enough for the organisations to take turns.
    pub fn max_queue_time(&self, standing: Standing) -> Duration {
        let may_wait = matches!(self.contract.overflow, Overflow::Wait(_));
        if standing == Standing::Beyond && !may_wait {
            return self.first_token_limit().mul_f64(BEYOND_WAIT_SHARE);
        }
        self.first_token_limit()
    }
}

/// The rate and burst of a contract's request limit.
fn request_limit(contract: &Contract) -> (f64, f64) {
    let burst = f64::from(contract.burst).max(1.0);
    (contract.request_rate.0, burst)
}

/// The rate and burst of a contract's token limit.
fn token_limit(contract: &Contract) -> (f64, f64) {
    let rate = contract.total_token_rate.0;
    (rate, rate * TOKEN_BURST_TIME.as_secs_f64())
}
