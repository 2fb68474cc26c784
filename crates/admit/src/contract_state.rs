//! A contract with its use at this node.

use std::time::Duration;

use crate::bucket::Bucket;
use base::Contract;
use base::Overflow;
use base::Time;
use base::TokenCount;
use route::Standing;

/// Tokens may come at once for this long at the contract's rate.
const TOKEN_BURST_TIME: Duration = Duration::from_secs(2);
/// Part of the time to the first token that lent work waits for its turn.
const EXCESS_WAIT_SHARE: f64 = 0.1;
/// Refused callers are told to come back within this time of the earliest moment.
const MAX_RETRY_SPREAD: Duration = Duration::from_secs(10);
/// Part of the most tokens allowed that a first answer is taken to have.
const INITIAL_LENGTH_RATIO: f64 = 0.5;
/// Least weight of one answer in the estimate of lengths.
const MIN_ANSWER_WEIGHT: f64 = 0.05;

/// A contract with its use at this node.
#[derive(Clone, Debug)]
pub(crate) struct ContractState {
    pub contract: Contract,
    pub requests: Bucket,
    pub tokens: Bucket,
    /// Another node uses it, and has to know what this one still holds.
    pub is_used_elsewhere: bool,
    /// Tokens generated over the most allowed, of recent answers.
    length_ratio: f64,
    answer_count: u32,
    /// The latest time that a refused caller was told to come back.
    pub last_return: Time,
}

impl ContractState {
    pub fn new(contract: Contract, scale: f64, now: Time) -> Self {
        let (rate, burst) = request_limit(&contract);
        let requests = Bucket::new(rate, burst, 1.0, scale, now);
        let (rate, burst) = token_limit(&contract);
        let tokens = Bucket::new(rate, burst, 0.0, scale, now);
        Self {
            contract,
            requests,
            tokens,
            is_used_elsewhere: false,
            length_ratio: INITIAL_LENGTH_RATIO,
            answer_count: 0,
            last_return: Time::ZERO,
        }
    }

    /// Takes a changed contract. What was used stays used.
    pub fn set_contract(&mut self, contract: Contract, now: Time) {
        let (rate, burst) = request_limit(&contract);
        self.requests.set_limit(rate, burst, now);
        let (rate, burst) = token_limit(&contract);
        self.tokens.set_limit(rate, burst, now);
        self.contract = contract;
    }

    /// Tokens that an answer probably has.
    pub fn estimated_tokens(&self, max_tokens: TokenCount) -> f64 {
        (f64::from(max_tokens.0) * self.length_ratio).max(1.0)
    }

    /// Learns from a whole answer.
    pub fn record_answer(&mut self, generated: u32, max_tokens: TokenCount) {
        let ratio = f64::from(generated) / f64::from(max_tokens.0.max(1));
        self.answer_count = self.answer_count.saturating_add(1);
        let weight = MIN_ANSWER_WEIGHT.max(1.0 / f64::from(1 + self.answer_count));
        self.length_ratio += weight * (ratio.min(1.0) - self.length_ratio);
    }

    /// When a refused caller should come back: after `wait`, and after those that were
    /// told to come back before, one interval of the request rate interval.
    pub fn retry_after(&mut self, wait: Duration, now: Time) -> Duration {
        let rate = self.requests.rate.max(1e-3);
        let interval = Duration::from_secs_f64((1.0 / rate).min(1.0));
        let earliest = now + wait;
        let at = earliest.max(self.last_return + interval);
        self.last_return = at.min(now + wait + MAX_RETRY_SPREAD);
        self.last_return.since(now)
    }

    /// Time from arrival until the first token is due.
    pub fn first_token_limit(&self) -> Duration {
        match &self.contract.overflow {
            Overflow::Wait(longest) => self.contract.first_token + *longest,
            Overflow::Refuse | Overflow::Model(_) => self.contract.first_token,
        }
    }

    /// The longest time in the queue. Work beyond the contract that may not wait stays
    /// just long enough for the organisations to take turns.
    pub fn max_queue_time(&self, standing: Standing) -> Duration {
        let may_wait = matches!(self.contract.overflow, Overflow::Wait(_));
        if standing == Standing::Beyond && !may_wait {
            return self.first_token_limit().mul_f64(EXCESS_WAIT_SHARE);
        }
        self.first_token_limit()
    }
}

fn request_limit(contract: &Contract) -> (f64, f64) {
    let burst = f64::from(contract.burst).max(1.0);
    (contract.request_rate.0, burst)
}

fn token_limit(contract: &Contract) -> (f64, f64) {
    let rate = contract.total_token_rate.0;
    (rate, rate * TOKEN_BURST_TIME.as_secs_f64())
}
