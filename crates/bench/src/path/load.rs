//! Sends chats at a given rate, whether or not earlier ones have been answered (open loop).

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compio::runtime::Runtime;

use harness::Caller;

/// The number of threads that send.
const THREADS: u32 = 4;

/// The tokens of an answer.
const ANSWER_TOKENS: usize = 4;

/// How long the last answers are waited for.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// The results of the chats of one phase. Times are in seconds.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Chats that were sent.
    pub sent: usize,
    /// Chats that were answered up to the end marker.
    pub whole: usize,
    /// Chats that were answered with another status than 200.
    pub refused: usize,
    /// Chats without an answer, or with an incomplete one.
    pub broken: usize,
    planned: usize,
    first: Vec<f64>,
    between: Vec<f64>,
    late: Vec<f64>,
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
    for times in [&mut all.first, &mut all.between, &mut all.late] {
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
            let late = start.elapsed().saturating_sub(*at).as_secs_f64();
            shared.borrow_mut().late.push(late);
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
    outcome.broken = outcome.sent - outcome.whole - outcome.refused;
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
    outcome.whole += 1;
    let pieces: Vec<f64> = reply
        .chunk_times
        .iter()
        .map(Duration::as_secs_f64)
        .collect();
    outcome.first.extend(pieces.first());
    let tokens = &pieces[..pieces.len().min(ANSWER_TOKENS)];
    outcome
        .between
        .extend(tokens.windows(2).map(|pair| pair[1] - pair[0]));
}

impl Outcome {
    /// A quantile of the times to the first token.
    pub fn first(&self, share: f64) -> f64 {
        quantile(&self.first, share)
    }

    /// A quantile of the times between tokens.
    pub fn between(&self, share: f64) -> f64 {
        quantile(&self.between, share)
    }

    /// A quantile of how late chats were sent, compared with the schedule.
    pub fn late(&self, share: f64) -> f64 {
        quantile(&self.late, share)
    }

    /// Returns a note if the generator did not keep its rate.
    pub fn behind_schedule(&self, span: Duration) -> Option<String> {
        const MAX_LATE_S: f64 = 0.05;
        let late = self.late(1.0);
        if self.sent == self.planned && late <= MAX_LATE_S {
            return None;
        }
        let rate = self.sent as f64 / (span.as_secs_f64() + late);
        Some(format!(
            "the generator did not keep the rate: {} of {} sent, up to {:.0} ms late, so about {rate:.0} a second",
            self.sent,
            self.planned,
            late * 1e3
        ))
    }

    fn add(&mut self, mut other: Self) {
        self.sent += other.sent;
        self.whole += other.whole;
        self.refused += other.refused;
        self.broken += other.broken;
        self.planned += other.planned;
        self.first.append(&mut other.first);
        self.between.append(&mut other.between);
        self.late.append(&mut other.late);
    }
}

fn quantile(sorted: &[f64], share: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let index = (last as f64 * share).round() as usize;
    sorted.get(index).copied().unwrap_or(f64::NAN)
}
