//! Sends chats at a given rate, whether or not earlier ones have been answered (an open loop).

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compio::runtime::Runtime;

use harness::Caller;

/// The number of threads that send.
const THREADS: u32 = 4;

/// The number of tokens that each chat asks for.
const ANSWER_TOKENS: usize = 4;

/// How long the last answers are waited for.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// The results of the chats of one phase. Times are in seconds.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Chats that were sent.
    pub sent: usize,
    /// Chats that were answered up to the end marker.
    pub answered: usize,
    /// Chats that were answered with another status than 200.
    pub refused: usize,
    /// Chats without an answer, or with an incomplete one.
    pub failed: usize,
    /// Chats in the schedule.
    planned: usize,
    first_token_times: Vec<f64>,
    token_gaps: Vec<f64>,
    send_delays: Vec<f64>,
}

/// Sends `rate` chats a second for `span` and waits for their answers.
pub fn run(caller: &Caller, rate: u32, span: Duration, seed: u64) -> Outcome {
    let mut all = Outcome::default();
    let threads: Vec<_> = (0..THREADS.min(rate))
        .map(|thread| {
            let caller = caller.clone();
            let rate_per_thread = f64::from(rate) / f64::from(THREADS.min(rate));
            let times = schedule(rate_per_thread, span, seed.wrapping_add(u64::from(thread)));
            std::thread::spawn(move || send_all(caller, thread, &times))
        })
        .collect();
    for thread in threads {
        all.add(thread.join().unwrap_or_default());
    }
    for times in [
        &mut all.first_token_times,
        &mut all.token_gaps,
        &mut all.send_delays,
    ] {
        times.sort_by(f64::total_cmp);
    }
    all
}

/// The times to send at, since the start of the phase: a seeded Poisson process.
fn schedule(rate: f64, span: Duration, seed: u64) -> Vec<Duration> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut at = 0.0;
    let mut times = Vec::new();
    loop {
        at += -(1.0 - rng.f64()).ln() / rate;
        if span.as_secs_f64() <= at {
            return times;
        }
        times.push(Duration::from_secs_f64(at));
    }
}

fn send_all(caller: Caller, thread: u32, times: &[Duration]) -> Outcome {
    let Ok(runtime) = Runtime::new() else {
        return Outcome::default();
    };
    let outcome = Rc::new(RefCell::new(Outcome {
        planned: times.len(),
        ..Outcome::default()
    }));
    let shared = Rc::clone(&outcome);
    runtime.block_on(async move {
        let start = Instant::now();
        let mut chats = Vec::new();
        for (n, at) in times.iter().enumerate() {
            compio::time::sleep(at.saturating_sub(start.elapsed())).await;
            let delay = start.elapsed().saturating_sub(*at).as_secs_f64();
            shared.borrow_mut().send_delays.push(delay);
            shared.borrow_mut().sent += 1;
            let prompt = format!("lantern {n} of {thread}");
            chats.push(compio::runtime::spawn(run_chat(
                caller.clone(),
                prompt,
                Rc::clone(&shared),
            )));
        }
        let answers = futures_util::future::join_all(chats);
        let _ = compio::time::timeout(DRAIN_TIMEOUT, answers).await;
    });
    let mut outcome = outcome.take();
    outcome.failed = outcome.sent - outcome.answered - outcome.refused;
    outcome
}

async fn run_chat(caller: Caller, prompt: String, outcome: Rc<RefCell<Outcome>>) {
    let Ok(reply) = caller.chat_async(&prompt, ANSWER_TOKENS as u32).await else {
        return;
    };
    let mut outcome = outcome.borrow_mut();
    if reply.status != 200 {
        outcome.refused += 1;
        return;
    }
    if !reply.is_done() {
        return;
    }
    outcome.answered += 1;
    let chunk_times: Vec<f64> = reply
        .chunk_times
        .iter()
        .map(Duration::as_secs_f64)
        .collect();
    outcome.first_token_times.extend(chunk_times.first());
    let tokens = &chunk_times[..chunk_times.len().min(ANSWER_TOKENS)];
    outcome
        .token_gaps
        .extend(tokens.windows(2).map(|pair| pair[1] - pair[0]));
}

impl Outcome {
    /// A quantile of the times to the first token.
    pub fn first_token_time(&self, share: f64) -> f64 {
        quantile(&self.first_token_times, share)
    }

    /// A quantile of the times between tokens.
    pub fn token_gap(&self, share: f64) -> f64 {
        quantile(&self.token_gaps, share)
    }

    /// A quantile of how late chats were sent, compared with the schedule.
    pub fn send_delay(&self, share: f64) -> f64 {
        quantile(&self.send_delays, share)
    }

    /// Returns a note if the generator did not keep its rate.
    pub fn behind_schedule(&self, span: Duration) -> Option<String> {
        const MAX_DELAY_S: f64 = 0.05;
        let delay = self.send_delay(1.0);
        if self.sent == self.planned && delay <= MAX_DELAY_S {
            return None;
        }
        let rate = self.sent as f64 / (span.as_secs_f64() + delay);
        Some(format!(
            "the generator did not keep the rate: {} of {} sent, up to {:.0} ms late, so about {rate:.0} a second",
            self.sent,
            self.planned,
            delay * 1e3
        ))
    }

    fn add(&mut self, mut other: Self) {
        self.sent += other.sent;
        self.answered += other.answered;
        self.refused += other.refused;
        self.failed += other.failed;
        self.planned += other.planned;
        self.first_token_times.append(&mut other.first_token_times);
        self.token_gaps.append(&mut other.token_gaps);
        self.send_delays.append(&mut other.send_delays);
    }
}

fn quantile(sorted: &[f64], share: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let index = (last as f64 * share).round() as usize;
    sorted.get(index).copied().unwrap_or(f64::NAN)
}
