//! A simulated engine of one replica: continuous batching with chunked prefill and priorities.

use std::collections::BTreeMap;
use std::time::Duration;

use base::Load;
use base::TokenCount;
use base::TokenRate;

/// The most requests in a batch.
pub const SLOTS: usize = 32;
/// The time of one step with an empty batch.
const EMPTY_STEP_TIME: Duration = Duration::from_micros(16_000);
/// The time that each decoding request adds to a step.
const STEP_TIME_PER_REQUEST: Duration = Duration::from_micros(125);
/// Prompt tokens prefilled a second.
pub const PREFILL_RATE: f64 = 16_000.0;
/// The most prompt tokens prefilled in one step.
const CHUNK_TOKENS: u32 = 384;

/// The least engine time of a generated token, in seconds: that in a full batch.
pub const SECONDS_PER_TOKEN: f64 = 0.020 / SLOTS as f64;
/// The engine time of a prompt token, in seconds.
pub const SECONDS_PER_PROMPT_TOKEN: f64 = 1.0 / PREFILL_RATE;

/// The order in which an engine takes waiting requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueOrder {
    /// In the order of arrival.
    Fifo,
    /// By priority, then in the order of arrival.
    Priority,
}

/// A request at an engine.
#[derive(Clone, Debug)]
pub struct Job {
    /// The index of the request in the run.
    pub request: usize,
    /// The priority. Smaller values go first.
    pub priority: u8,
    /// Prompt tokens to prefill.
    pub prompt: u32,
    /// Tokens to generate.
    pub output: u32,
}

/// What a step did for one request.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// The index of the request in the run.
    pub request: usize,
    /// Prompt tokens prefilled.
    pub prefilled: u32,
    /// Tokens generated, zero or one.
    pub generated: u32,
    /// True if the step generated the last token.
    pub is_done: bool,
}

/// The engine of one replica.
#[derive(Clone, Debug)]
pub struct Engine {
    order: QueueOrder,
    waiting: BTreeMap<(u8, u64), Job>,
    running: BTreeMap<(u8, u64), Job>,
    arrival_count: u64,
    /// The factor on the time of each step.
    pub slowdown: u32,
    last_step_time: Duration,
}

impl Engine {
    /// An idle engine.
    pub fn open(order: QueueOrder) -> Self {
        Self {
            order,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            arrival_count: 0,
            slowdown: 1,
            last_step_time: EMPTY_STEP_TIME,
        }
    }

    /// Adds a request to the waiting ones.
    pub fn push(&mut self, job: Job) {
        self.arrival_count += 1;
        let priority = match self.order {
            QueueOrder::Fifo => 0,
            QueueOrder::Priority => job.priority,
        };
        self.waiting.insert((priority, self.arrival_count), job);
    }

    /// True if no request waits or runs.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Runs one step. Returns how long it takes, and adds to `progress` what it has done.
    pub fn step(&mut self, progress: &mut Vec<Progress>) -> Duration {
        while self.running.len() < SLOTS
            && let Some((key, job)) = self.waiting.pop_first()
        {
            self.running.insert(key, job);
        }
        let mut chunk_left = CHUNK_TOKENS;
        let mut decoding = 0;
        for job in self.running.values_mut() {
            let is_decoding = job.prompt == 0;
            let prefilled = job.prompt.min(chunk_left);
            chunk_left -= prefilled;
            job.prompt -= prefilled;
            decoding += u32::from(is_decoding);
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
        let prefill = Duration::from_secs_f64(
            f64::from(CHUNK_TOKENS - chunk_left) * SECONDS_PER_PROMPT_TOKEN,
        );
        self.last_step_time =
            (EMPTY_STEP_TIME + STEP_TIME_PER_REQUEST * decoding + prefill) * self.slowdown;
        self.last_step_time
    }

    /// The load that the engine reports.
    pub fn load(&self) -> Load {
        let jobs = self.waiting.values().chain(self.running.values());
        let prefill = jobs.map(|job| job.prompt).sum();
        Load {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            prefill: TokenCount(prefill),
            slots: SLOTS as u32,
            prefill_rate: TokenRate(
                f64::from(CHUNK_TOKENS) / self.prefill_step_time().as_secs_f64(),
            ),
            token_rate: TokenRate(1.0 / self.last_step_time.as_secs_f64()),
        }
    }

    /// The time of a step that prefills a whole chunk in addition to the present batch.
    fn prefill_step_time(&self) -> Duration {
        let batch = STEP_TIME_PER_REQUEST * self.running.len() as u32;
        let prefill = Duration::from_secs_f64(f64::from(CHUNK_TOKENS) * SECONDS_PER_PROMPT_TOKEN);
        (EMPTY_STEP_TIME + batch + prefill) * self.slowdown
    }
}
