//! One replica's engine: a continuous batch with chunked prefill and priorities.

use std::collections::BTreeMap;
use std::time::Duration;

use base::Load;
use base::TokenCount;
use base::TokenRate;

/// Requests in a batch.
pub const SLOTS: usize = 32;
/// Time of one step of an empty batch.
const STEP: Duration = Duration::from_micros(16_000);
/// Time that each decoding request adds to a step.
const PER_REQUEST: Duration = Duration::from_micros(125);
/// Prompt tokens prefilled a second.
pub const PREFILL_RATE: f64 = 16_000.0;
/// Prompt tokens prefilled in one step.
const CHUNK: u32 = 384;

/// Least engine time of a generated token: that of a full batch.
pub const TOKEN_COST: f64 = 0.020 / SLOTS as f64;
/// Engine time of a prompt token.
pub const PROMPT_COST: f64 = 1.0 / PREFILL_RATE;

/// The order in which an engine takes its work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// As it arrives.
    Fifo,
    /// By priority, then as it arrives.
    Priority,
}

/// A request at an engine.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its number in the run.
    pub request: usize,
    /// Its urgency. Smaller goes first.
    pub priority: u8,
    /// Prompt tokens to prefill.
    pub prompt: u32,
    /// Tokens to generate.
    pub output: u32,
}

/// What a step did for one request.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// The request.
    pub request: usize,
    /// Prompt tokens prefilled.
    pub prefilled: u32,
    /// Tokens generated, zero or one.
    pub generated: u32,
    /// True with the last token.
    pub is_done: bool,
}

/// One replica's engine.
#[derive(Clone, Debug)]
pub struct Engine {
    order: Order,
    waiting: BTreeMap<(u8, u64), Job>,
    running: BTreeMap<(u8, u64), Job>,
    arrivals: u64,
    /// How many times slower than usual it is.
    pub slowness: u32,
    last_step: Duration,
}

impl Engine {
    /// An idle engine.
    pub fn open(order: Order) -> Self {
        Self {
            order,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            arrivals: 0,
            slowness: 1,
            last_step: STEP,
        }
    }

    /// Takes a request.
    pub fn push(&mut self, job: Job) {
        self.arrivals += 1;
        let priority = match self.order {
            Order::Fifo => 0,
            Order::Priority => job.priority,
        };
        self.waiting.insert((priority, self.arrivals), job);
    }

    /// True if there is nothing to do.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Runs one step and says how long it takes and what it does by its end.
    pub fn step(&mut self, progress: &mut Vec<Progress>) -> Duration {
        while self.running.len() < SLOTS
            && let Some((key, job)) = self.waiting.pop_first()
        {
            self.running.insert(key, job);
        }
        let mut chunk = CHUNK;
        let mut decoding = 0;
        for job in self.running.values_mut() {
            let was_ready = job.prompt == 0;
            let prefilled = job.prompt.min(chunk);
            chunk -= prefilled;
            job.prompt -= prefilled;
            decoding += u32::from(was_ready);
            let generated = u32::from(job.prompt == 0);
            job.output -= generated;
            if 0 < prefilled + generated {
                progress.push(Progress {
                    request: job.request,
                    prefilled,
                    generated,
                    is_done: job.output == 0,
                });
            }
        }
        self.running.retain(|_, job| 0 < job.output);
        let prefill = Duration::from_secs_f64(f64::from(CHUNK - chunk) * PROMPT_COST);
        self.last_step = (STEP + PER_REQUEST * decoding + prefill) * self.slowness;
        self.last_step
    }

    /// The load as the engine reports it.
    pub fn load(&self) -> Load {
        let jobs = self.waiting.values().chain(self.running.values());
        let prefill = jobs.map(|job| job.prompt).sum();
        Load {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            prefill: TokenCount(prefill),
            slots: SLOTS as u32,
            prefill_rate: TokenRate(f64::from(CHUNK) / self.prefill_step().as_secs_f64()),
            token_rate: TokenRate(1.0 / self.last_step.as_secs_f64()),
        }
    }

    /// The time of a step that prefills a whole chunk beside the present batch.
    fn prefill_step(&self) -> Duration {
        let batch = PER_REQUEST * self.running.len() as u32;
        let prefill = Duration::from_secs_f64(f64::from(CHUNK) * PROMPT_COST);
        (STEP + batch + prefill) * self.slowness
    }
}
