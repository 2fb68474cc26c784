//! A simulated continuous batch. Each step prefills prompts one after the other and then
//! generates one token for each running request, the most urgent request first.

use std::collections::BTreeMap;
use std::time::Duration;

use base::Load;
use base::Priority;
use base::TokenCount;
use base::TokenRate;

/// The number of prompts in the simulated prefix cache.
const MAX_CACHED_PROMPTS: usize = 64;

/// The capacity of a batch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BatchConfig {
    /// The most requests that run at once.
    pub(crate) slots: u32,
    /// The time of one step, in which each running request with a prefilled prompt gets a token.
    pub(crate) step: Duration,
    /// Prompt tokens prefilled per second.
    pub(crate) prefill: TokenRate,
}

/// A request's key, which sorts the most urgent and then the oldest request first.
pub(crate) type RequestKey = (Priority, u64);

#[derive(Debug)]
struct Request {
    prompt_tokens: u32,
    prompt_digest: u32,
    /// The number of prompt tokens still to prefill.
    prefill_left: f64,
}

/// The batch of one replica.
#[derive(Debug)]
pub(crate) struct Batch {
    cfg: BatchConfig,
    requests: BTreeMap<RequestKey, Request>,
    cached_prompts: Vec<u32>,
    last_number: u64,
}

impl Batch {
    pub(crate) fn new(cfg: BatchConfig) -> Self {
        Self {
            cfg,
            requests: BTreeMap::new(),
            cached_prompts: Vec::new(),
            last_number: 0,
        }
    }

    /// Adds a request. A cached prompt needs the prefill of only one token.
    pub(crate) fn add_request(
        &mut self,
        priority: Priority,
        prompt_tokens: u32,
        prompt_digest: u32,
    ) -> RequestKey {
        self.last_number += 1;
        let key = (priority, self.last_number);
        let is_cached = self.cached_prompts.contains(&prompt_digest);
        let prefill_left = if is_cached {
            1.0
        } else {
            f64::from(prompt_tokens)
        };
        let request = Request {
            prompt_tokens,
            prompt_digest,
            prefill_left,
        };
        self.requests.insert(key, request);
        key
    }

    /// Removes a request that is finished or cancelled.
    pub(crate) fn remove_request(&mut self, key: RequestKey) {
        self.requests.remove(&key);
    }

    /// Runs one step and returns the requests that got a token.
    pub(crate) fn run_step(&mut self) -> Vec<RequestKey> {
        let slots = self.cfg.slots as usize;
        let mut budget = self.cfg.prefill.0 * self.cfg.step.as_secs_f64();
        let mut advanced = Vec::new();
        for (key, request) in self.requests.iter_mut().take(slots) {
            let spent = request.prefill_left.min(budget);
            request.prefill_left -= spent;
            budget -= spent;
            if request.prefill_left <= 0.0 {
                advanced.push(*key);
                cache_prompt(&mut self.cached_prompts, request.prompt_digest);
            }
        }
        advanced
    }

    pub(crate) fn load(&self) -> Load {
        let running = self.requests.len().min(self.cfg.slots as usize) as u32;
        let prefill_left = self
            .requests
            .values()
            .map(|r| r.prefill_left.min(f64::from(r.prompt_tokens)));
        Load {
            running,
            waiting: self.requests.len() as u32 - running,
            prefill: TokenCount(prefill_left.sum::<f64>() as u32),
            slots: self.cfg.slots,
            prefill_rate: self.cfg.prefill,
            token_rate: TokenRate(1.0 / self.cfg.step.as_secs_f64()),
        }
    }
}

fn cache_prompt(cached_prompts: &mut Vec<u32>, prompt_digest: u32) {
    if cached_prompts.contains(&prompt_digest) {
        return;
    }
    if MAX_CACHED_PROMPTS <= cached_prompts.len() {
        cached_prompts.remove(0);
    }
    cached_prompts.push(prompt_digest);
}
