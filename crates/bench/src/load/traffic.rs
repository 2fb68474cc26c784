//! Seeded requests: who asks for what, when, and at which entry node.

use std::time::Duration;

use super::engine::PROMPT_COST;
use super::engine::TOKEN_COST;
use super::mix::Mix;
use super::mix::orgs;
use base::Contract;
use base::Time;

/// Entry nodes, and how the balancer spreads callers over them.
pub const NODE_WEIGHTS: [f64; 9] = [3.0, 1.0, 2.0, 1.0, 2.0, 1.0, 1.5, 1.0, 0.5];

/// Load over time as a part of the capacity.
#[derive(Clone, Copy, Debug)]
pub struct Profile {
    /// Before the swing and after it.
    pub calm: f64,
    /// At the crest.
    pub crest: f64,
    /// When the swing starts.
    pub rise: Time,
    /// How long the swing takes.
    pub swing: Duration,
    /// When the crest ends.
    pub fall: Time,
    /// The last arrival.
    pub end: Time,
}

impl Profile {
    /// A steady load.
    pub fn steady(load: f64, end: Time) -> Self {
        Self {
            calm: load,
            crest: load,
            rise: Time::ZERO,
            swing: Duration::ZERO,
            fall: end,
            end,
        }
    }

    fn at(&self, now: Time) -> f64 {
        if now < self.rise || self.fall <= now {
            return self.calm;
        }
        let part = now.since(self.rise).as_secs_f64() / self.swing.as_secs_f64().max(1e-6);
        self.calm + (self.crest - self.calm) * part.min(1.0)
    }
}

/// One request.
#[derive(Clone, Debug)]
pub struct Request {
    /// When it arrives.
    pub at: Time,
    /// The entry node.
    pub node: usize,
    /// Its organisation.
    pub org: usize,
    /// Its kind of work.
    pub work: usize,
    /// Prompt tokens.
    pub prompt: u32,
    /// Tokens of the whole answer, which no policy knows.
    pub output: u32,
    /// The most tokens that the caller allows.
    pub max_tokens: u32,
    /// True if one token bucket for all nodes would admit it.
    pub is_within: bool,
}

impl Request {
    /// Its least engine time in seconds.
    pub fn cost(&self) -> f64 {
        cost(f64::from(self.prompt), f64::from(self.output))
    }
}

/// Least engine time in seconds.
pub fn cost(prompt: f64, output: f64) -> f64 {
    prompt * PROMPT_COST + output * TOKEN_COST
}

/// Seeded requests at `capacity` requests a second. `contracts` tell which of them are
/// within.
pub fn requests(
    mix: Mix,
    profile: &Profile,
    capacity: f64,
    contracts: &[Contract],
    seed: u64,
) -> Vec<Request> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let works = mix.work();
    let orgs = orgs();
    let asked: Vec<f64> = orgs.iter().map(|org| org.sold * org.crest).collect();
    let shares: Vec<f64> = works.iter().map(|work| work.share).collect();
    let mut found = Vec::new();
    let mut now = Time::ZERO;
    let highest = capacity * profile.crest.max(profile.calm);
    loop {
        let gap = -rng.f64().max(1e-12).ln() / highest;
        now += Duration::from_secs_f64(gap);
        if profile.end < now {
            mark_within(&mut found, mix, contracts);
            return found;
        }
        if profile.at(now) * capacity < rng.f64() * highest {
            continue;
        }
        let work = draw(&shares, &mut rng);
        let spread = 0.5 + rng.f64();
        let output = (works[work].output * (0.5 + rng.f64())).ceil() as u32;
        found.push(Request {
            at: now,
            node: draw(&NODE_WEIGHTS, &mut rng),
            org: draw(&asked, &mut rng),
            work,
            prompt: (works[work].prompt * spread).ceil() as u32,
            output,
            max_tokens: (works[work].output * 3.0).ceil() as u32,
            is_within: false,
        });
    }
}

/// Counts the requests against one token bucket for each contract.
fn mark_within(requests: &mut [Request], mix: Mix, contracts: &[Contract]) {
    let full = |contract: &Contract| (f64::from(contract.burst), Time::ZERO);
    let mut buckets: Vec<_> = contracts.iter().map(full).collect();
    for request in requests {
        let at = request.org * mix.work().len() + request.work;
        let (contract, bucket) = (&contracts[at], &mut buckets[at]);
        let refill = contract.request_rate.0 * request.at.since(bucket.1).as_secs_f64();
        let level = (bucket.0 + refill).min(f64::from(contract.burst));
        request.is_within = 1.0 <= level;
        *bucket = (level - f64::from(u8::from(request.is_within)), request.at);
    }
}

/// Draws an index by weight.
fn draw(weights: &[f64], rng: &mut fastrand::Rng) -> usize {
    let mut left = rng.f64() * weights.iter().sum::<f64>();
    for (at, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return at;
        }
    }
    weights.len() - 1
}
