//! Generates the requests of a run from a seed: their times, organisations, kinds and entry nodes.

use std::time::Duration;

use super::engine::SECONDS_PER_PROMPT_TOKEN;
use super::engine::SECONDS_PER_TOKEN;
use super::mix::Mix;
use super::mix::orgs;
use base::Contract;
use base::Time;

/// The weights by which the load balancer spreads callers over the entry nodes, one for each node.
pub const NODE_WEIGHTS: [f64; 9] = [3.0, 1.0, 2.0, 1.0, 2.0, 1.0, 1.5, 1.0, 0.5];

/// The load over time, relative to the capacity.
#[derive(Clone, Copy, Debug)]
pub struct Profile {
    /// The load before the rise and after the peak.
    pub base_load: f64,
    /// The load at the peak.
    pub peak_load: f64,
    /// When the load starts to rise.
    pub rise_start: Time,
    /// How long the load rises.
    pub rise_time: Duration,
    /// When the peak ends.
    pub peak_end: Time,
    /// When arrivals end.
    pub end: Time,
}

impl Profile {
    /// A constant load.
    pub fn steady(load: f64, end: Time) -> Self {
        Self {
            base_load: load,
            peak_load: load,
            rise_start: Time::ZERO,
            rise_time: Duration::ZERO,
            peak_end: end,
            end,
        }
    }

    fn load_at(&self, now: Time) -> f64 {
        if now < self.rise_start || self.peak_end <= now {
            return self.base_load;
        }
        let progress =
            now.since(self.rise_start).as_secs_f64() / self.rise_time.as_secs_f64().max(1e-6);
        self.base_load + (self.peak_load - self.base_load) * progress.min(1.0)
    }
}

/// One request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The time of arrival.
    pub at: Time,
    /// The index of the entry node.
    pub node: usize,
    /// The index of the organisation.
    pub org: usize,
    /// The index of the kind of request.
    pub kind: usize,
    /// The number of prompt tokens.
    pub prompt: u32,
    /// The number of tokens of the whole answer, which no policy knows.
    pub output: u32,
    /// The most tokens that the caller allows.
    pub max_tokens: u32,
    /// True if one token bucket for all nodes would admit the request under its contract.
    pub is_within_contract: bool,
}

impl Request {
    /// The least engine time of the request in seconds.
    pub fn cost(&self) -> f64 {
        cost(f64::from(self.prompt), f64::from(self.output))
    }
}

/// The least engine time of a prompt and an answer, in seconds.
pub fn cost(prompt: f64, output: f64) -> f64 {
    prompt * SECONDS_PER_PROMPT_TOKEN + output * SECONDS_PER_TOKEN
}

/// Generates requests from a seed, as a Poisson process. Its rate is the load of `profile` times
/// `capacity`, in requests a second. `contracts` decide which requests are within their contract.
pub fn requests(
    mix: Mix,
    profile: &Profile,
    capacity: f64,
    contracts: &[Contract],
    seed: u64,
) -> Vec<Request> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let kinds = mix.kinds();
    let orgs = orgs();
    let org_demands: Vec<f64> = orgs
        .iter()
        .map(|org| org.contracted_share * org.peak_demand)
        .collect();
    let kind_shares: Vec<f64> = kinds.iter().map(|kind| kind.share).collect();
    let mut requests = Vec::new();
    let mut now = Time::ZERO;
    let max_rate = capacity * profile.peak_load.max(profile.base_load);
    loop {
        let interval_s = -rng.f64().max(1e-12).ln() / max_rate;
        now += Duration::from_secs_f64(interval_s);
        if profile.end < now {
            mark_within_contract(&mut requests, mix, contracts);
            return requests;
        }
        if profile.load_at(now) * capacity < rng.f64() * max_rate {
            continue;
        }
        let kind = weighted_index(&kind_shares, &mut rng);
        let prompt_factor = 0.5 + rng.f64();
        let output = (kinds[kind].output * (0.5 + rng.f64())).ceil() as u32;
        requests.push(Request {
            at: now,
            node: weighted_index(&NODE_WEIGHTS, &mut rng),
            org: weighted_index(&org_demands, &mut rng),
            kind,
            prompt: (kinds[kind].prompt * prompt_factor).ceil() as u32,
            output,
            max_tokens: (kinds[kind].output * 3.0).ceil() as u32,
            is_within_contract: false,
        });
    }
}

/// Marks the requests that one token bucket for each contract would admit.
fn mark_within_contract(requests: &mut [Request], mix: Mix, contracts: &[Contract]) {
    let full = |contract: &Contract| (f64::from(contract.burst), Time::ZERO);
    let mut buckets: Vec<_> = contracts.iter().map(full).collect();
    for request in requests {
        let index = request.org * mix.kinds().len() + request.kind;
        let (contract, bucket) = (&contracts[index], &mut buckets[index]);
        let refill = contract.request_rate.0 * request.at.since(bucket.1).as_secs_f64();
        let level = (bucket.0 + refill).min(f64::from(contract.burst));
        request.is_within_contract = 1.0 <= level;
        *bucket = (
            level - f64::from(u8::from(request.is_within_contract)),
            request.at,
        );
    }
}

/// Draws an index with a probability proportional to its weight.
fn weighted_index(weights: &[f64], rng: &mut fastrand::Rng) -> usize {
    let mut remaining = rng.f64() * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        remaining -= weight;
        if remaining < 0.0 {
            return index;
        }
    }
    weights.len() - 1
}
