//! Finds replicas that turned slow and leaves them out for a while.

use std::time::Duration;

use crate::Config;
use base::Time;

/// Weight of one sample in a replica's averages.
const REPLICA_SAMPLE_WEIGHT: f64 = 0.2;
/// Weight of one sample in the averages over all replicas.
const POOL_SAMPLE_WEIGHT: f64 = 0.02;
/// Samples needed before a replica is judged.
const MIN_SAMPLES: u32 = 4;
/// A sample counts for at most this many times the average over all replicas.
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

/// What one replica did, beside the others.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OutlierDetector {
    /// Observed over predicted time to the first token.
    first_token_ratio: Average,
    /// Seconds between tokens.
    token_gap: Average,
    /// Left out until then.
    pub ejected_until: Time,
    /// Times it was left out in a row.
    ejections_in_a_row: u32,
}

/// The averages over all replicas of a model.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PoolAverages {
    first_token_ratio: Average,
    token_gap: Average,
}

impl OutlierDetector {
    /// Takes observed over predicted time to a first token.
    pub fn add_first_token_ratio(&mut self, usual: &mut PoolAverages, ratio: f64) {
        add_bounded_sample(
            &mut self.first_token_ratio,
            &mut usual.first_token_ratio,
            ratio,
        );
    }

    /// Takes the seconds between two tokens.
    pub fn add_token_gap(&mut self, usual: &mut PoolAverages, seconds: f64) {
        add_bounded_sample(&mut self.token_gap, &mut usual.token_gap, seconds);
    }

    /// True if the replica is many times slower than usual.
    pub fn is_slow(&self, usual: &PoolAverages, slow_factor: f64) -> bool {
        exceeds_average(
            &self.first_token_ratio,
            &usual.first_token_ratio,
            slow_factor,
        ) || exceeds_average(&self.token_gap, &usual.token_gap, slow_factor)
    }

    /// Leaves the replica out from now on, longer each time.
    pub fn eject(&mut self, cfg: &Config, now: Time) {
        let span = cfg.first_ejection * 2u32.saturating_pow(self.ejections_in_a_row.min(10));
        self.ejected_until = now + span.min(cfg.max_ejection);
        self.ejections_in_a_row += 1;
        self.first_token_ratio = Average::default();
        self.token_gap = Average::default();
    }

    /// Forgets earlier ejections after a good time.
    pub fn reset_after_good_time(&mut self, now: Time) {
        if self.ejected_until + RESET_EJECTIONS_AFTER < now {
            self.ejections_in_a_row = 0;
        }
    }
}

/// A replica that was not slow for this long starts anew.
const RESET_EJECTIONS_AFTER: Duration = Duration::from_secs(60);

fn add_bounded_sample(own: &mut Average, usual: &mut Average, sample: f64) {
    let bounded = match usual.get() {
        Some(mean) => sample.min(mean * MAX_SAMPLE_RATIO),
        None => sample,
    };
    own.add(bounded, REPLICA_SAMPLE_WEIGHT);
    let bounded = match usual.get() {
        Some(mean) => sample.min(mean * 2.0),
        None => sample,
    };
    usual.add(bounded, POOL_SAMPLE_WEIGHT);
}

fn exceeds_average(own: &Average, usual: &Average, factor: f64) -> bool {
    let (Some(value), Some(mean)) = (own.get(), usual.get()) else {
        return false;
    };
    MIN_SAMPLES <= own.samples && mean * factor < value
}
