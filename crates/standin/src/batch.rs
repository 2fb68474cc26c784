//! A continuous batch: prefill one prompt after the other, then a token for
//! each running request at every step, the most urgent first.

use std::collections::BTreeMap;
use std::time::Duration;

use base::Load;
use base::Priority;
use base::TokenCount;
use base::TokenRate;

/// Prompts whose prefixes are kept.
const CACHED_PREFIXES: usize = 64;

/// What the batch can do.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BatchConfig {
    /// Requests that run at once.
    pub(crate) slots: u32,
    /// Time of one step, in which each running request gets a token.
    pub(crate) step: Duration,
    /// Prompt tokens prefilled a second.
    pub(crate) prefill: TokenRate,
}

/// A request's key: the most urgent and then the oldest first.
pub(crate) type Key = (Priority, u64);

#[derive(Debug)]
struct Entry {
    prompt: u32,
    digest: u32,
    /// Prompt tokens still to prefill.
    left: f64,
}

/// The batch of one replica.
#[derive(Debug)]
pub(crate) struct Batch {
    cfg: BatchConfig,
    entries: BTreeMap<Key, Entry>,
    cached: Vec<u32>,
    next: u64,
}

impl Batch {
    pub(crate) fn open(cfg: BatchConfig) -> Self {
        Self {
            cfg,
            entries: BTreeMap::new(),
            cached: Vec::new(),
            next: 0,
        }
    }

    /// Takes a request in. A cached prompt needs next to no prefill.
    pub(crate) fn join(&mut self, priority: Priority, prompt: u32, digest: u32) -> Key {
        self.next += 1;
        let key = (priority, self.next);
        let cached = self.cached.contains(&digest);
        let left = if cached { 1.0 } else { f64::from(prompt) };
        let entry = Entry {
            prompt,
            digest,
            left,
        };
        self.entries.insert(key, entry);
        key
    }

    /// Takes a request out, finished or cancelled.
    pub(crate) fn leave(&mut self, key: Key) {
        self.entries.remove(&key);
    }

    /// Runs one step and gives the requests that got a token.
    pub(crate) fn step(&mut self) -> Vec<Key> {
        let slots = self.cfg.slots as usize;
        let mut budget = self.cfg.prefill.0 * self.cfg.step.as_secs_f64();
        let mut ready = Vec::new();
        for (key, entry) in self.entries.iter_mut().take(slots) {
            let spent = entry.left.min(budget);
            entry.left -= spent;
            budget -= spent;
            if entry.left <= 0.0 {
                ready.push(*key);
                remember(&mut self.cached, entry.digest);
            }
        }
        ready
    }

    pub(crate) fn load(&self) -> Load {
        let running = self.entries.len().min(self.cfg.slots as usize) as u32;
        let left = self
            .entries
            .values()
            .map(|e| e.left.min(f64::from(e.prompt)));
        Load {
            running,
            waiting: self.entries.len() as u32 - running,
            prefill: TokenCount(left.sum::<f64>() as u32),
            slots: self.cfg.slots,
            prefill_rate: self.cfg.prefill,
            token_rate: TokenRate(1.0 / self.cfg.step.as_secs_f64()),
        }
    }
}

fn remember(cached: &mut Vec<u32>, digest: u32) {
    if cached.contains(&digest) {
        return;
    }
    if CACHED_PREFIXES <= cached.len() {
        cached.remove(0);
    }
    cached.push(digest);
}
