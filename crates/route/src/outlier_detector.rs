//! Detects replicas that became slow and ejects them for some time.

use std::time::Duration;

use crate::Config;
use base::Time;

/// Weight of one sample in a replica's averages.
const REPLICA_SAMPLE_WEIGHT: f64 = 0.2;
/// Weight of one sample in the averages over all replicas.
const POOL_SAMPLE_WEIGHT: f64 = 0.02;
/// Samples of a replica needed before it may count as slow.
const MIN_SAMPLES: u32 = 4;
/// A replica's sample is capped at this many times the average over all replicas.
const MAX_SAMPLE_RATIO: f64 = 20.0;

/// A running average.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Average {
    value: f64,
    samples: u32,
}

impl Average {
    pub fn add(&mut self, sample: f64, weight: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = weight.max(1.0 / f64::from(self.samples));
        self.value += weight * (sample - self.value);
    }

    pub fn get(&self) -> Option<f64> {
        (0 < self.samples).then_some(self.value)
    }
}

/// The observed speed and the ejections of one replica.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OutlierDetector {
    /// Observed over predicted time to the first token.
    first_token_ratio: Average,
    /// Seconds between tokens.
    token_gap: Average,
    /// Until then, the replica gets no requests.
    pub ejected_until: Time,
    /// Ejections since the last reset.
    ejections: u32,
}

/// The averages over all replicas of a model.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PoolAverages {
    first_token_ratio: Average,
    token_gap: Average,
}

impl OutlierDetector {
    /// Adds a sample: the observed over the predicted time to the first token.
    pub fn add_first_token_ratio(&mut self, averages: &mut PoolAverages, ratio: f64) {
        add_bounded_sample(
            &mut self.first_token_ratio,
            &mut averages.first_token_ratio,
            ratio,
        );
    }

    /// Adds a sample: the seconds between two tokens.
    pub fn add_token_gap(&mut self, averages: &mut PoolAverages, seconds: f64) {
        add_bounded_sample(&mut self.token_gap, &mut averages.token_gap, seconds);
    }

    /// True if the replica is slower than the average by more than the factor.
    pub fn is_slow(&self, averages: &PoolAverages, slow_factor: f64) -> bool {
        exceeds_average(
            &self.first_token_ratio,
            &averages.first_token_ratio,
            slow_factor,
        ) || exceeds_average(&self.token_gap, &averages.token_gap, slow_factor)
    }

    /// Ejects the replica, for longer each time, and resets its averages.
    pub fn eject(&mut self, cfg: &Config, now: Time) {
        let span = cfg.first_ejection * 2u32.saturating_pow(self.ejections.min(10));
        self.ejected_until = now + span.min(cfg.max_ejection);
        self.ejections += 1;
        self.first_token_ratio = Average::default();
        self.token_gap = Average::default();
    }

    /// Resets the ejection count if the last ejection ended long ago.
    pub fn reset_old_ejections(&mut self, now: Time) {
        if self.ejected_until + RESET_EJECTIONS_AFTER < now {
            self.ejections = 0;
        }
    }
}

/// The ejection count is reset this long after the last ejection ended.
const RESET_EJECTIONS_AFTER: Duration = Duration::from_secs(60);

fn add_bounded_sample(own: &mut Average, pool: &mut Average, sample: f64) {
    let bounded = match pool.get() {
        Some(mean) => sample.min(mean * MAX_SAMPLE_RATIO),
        None => sample,
    };
    own.add(bounded, REPLICA_SAMPLE_WEIGHT);
    let bounded = match pool.get() {
        Some(mean) => sample.min(mean * 2.0),
        None => sample,
    };
    pool.add(bounded, POOL_SAMPLE_WEIGHT);
}

fn exceeds_average(own: &Average, pool: &Average, factor: f64) -> bool {
    let (Some(value), Some(mean)) = (own.get(), pool.get()) else {
        return false;
    };
    MIN_SAMPLES <= own.samples && mean * factor < value
}
