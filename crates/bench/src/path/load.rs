//! Chats at a given rate, whatever becomes of the earlier ones.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use compio::runtime::Runtime;

use harness::Caller;

/// Threads that send.
const THREADS: u32 = 4;

/// Tokens of an answer.
const TOKENS: usize = 4;

/// Time allowed to the last answers.
const REST: Duration = Duration::from_secs(10);

/// What became of the chats of one phase. Times are in seconds.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Sent.
    pub sent: usize,
    /// Answered to the end marker.
    pub whole: usize,
    /// Answered with another status than 200.
    pub refused: usize,
    /// Without an answer, or with one that broke off.
    pub broken: usize,
    planned: usize,
    first: Vec<f64>,
    between: Vec<f64>,
    late: Vec<f64>,
}

/// Sends `rate` chats a second for `span`.
pub fn run(way: &Caller, rate: u32, span: Duration, seed: u64) -> Outcome {
    let mut all = Outcome::default();
    let threads: Vec<_> = (0..THREADS.min(rate))
        .map(|at| {
            let way = way.clone();
            let own = f64::from(rate) / f64::from(THREADS.min(rate));
            let times = schedule(own, span, seed.wrapping_add(u64::from(at)));
            std::thread::spawn(move || send_all(way, at, &times))
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

/// When to send, from the start of the phase.
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

fn send_all(way: Caller, thread: u32, times: &[Duration]) -> Outcome {
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
        let mut running = Vec::new();
        for (n, at) in times.iter().enumerate() {
            compio::time::sleep(at.saturating_sub(start.elapsed())).await;
            let late = start.elapsed().saturating_sub(*at).as_secs_f64();
            shared.borrow_mut().late.push(late);
            shared.borrow_mut().sent += 1;
            let prompt = format!("lantern {n} of {thread}");
            running.push(compio::runtime::spawn(chat(
                way.clone(),
                prompt,
                Rc::clone(&shared),
            )));
        }
        let rest = futures_util::future::join_all(running);
        let _ = compio::time::timeout(REST, rest).await;
    });
    let mut outcome = outcome.take();
    outcome.broken = outcome.sent - outcome.whole - outcome.refused;
    outcome
}

async fn chat(way: Caller, prompt: String, outcome: Rc<RefCell<Outcome>>) {
    let Ok(reply) = way.chat_async(&prompt, TOKENS as u32).await else {
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
    let tokens = &pieces[..pieces.len().min(TOKENS)];
    outcome
        .between
        .extend(tokens.windows(2).map(|pair| pair[1] - pair[0]));
}

impl Outcome {
    /// A quantile of the times to the first token.
    pub fn first(&self, part: f64) -> f64 {
        quantile(&self.first, part)
    }

    /// A quantile of the times between tokens.
    pub fn between(&self, part: f64) -> f64 {
        quantile(&self.between, part)
    }

    /// A quantile of how far behind its schedule the generator was.
    pub fn late(&self, part: f64) -> f64 {
        quantile(&self.late, part)
    }

    /// Says so if the generator did not keep its rate.
    pub fn behind(&self, span: Duration) -> Option<String> {
        const LATE: f64 = 0.05;
        let late = self.late(1.0);
        if self.sent == self.planned && late <= LATE {
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

fn quantile(sorted: &[f64], part: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let at = (last as f64 * part).round() as usize;
    sorted.get(at).copied().unwrap_or(f64::NAN)
}
