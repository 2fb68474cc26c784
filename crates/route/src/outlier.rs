//! Finds replicas that turned slow and leaves them out for a while.

use std::time::Duration;

use crate::Config;
use base::Time;

/// Weight of one sample in a replica's averages.
const REPLICA_WEIGHT: f64 = 0.2;
/// Weight of one sample in the averages over all replicas.
const POOL_WEIGHT: f64 = 0.02;
/// Samples needed before a replica is judged.
const MIN_SAMPLES: u32 = 4;
/// A sample counts for at most this many times the average over all replicas.
const MAX_SAMPLE: f64 = 20.0;

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
pub(crate) struct Outlier {
    /// Observed over predicted time to the first token.
    first: Average,
    /// Seconds between tokens.
    gap: Average,
    /// Left out until then.
    pub until: Time,
    /// Times it was left out in a row.
    strikes: u32,
}

/// The averages over all replicas of a model.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usual {
    first: Average,
    gap: Average,
}

impl Outlier {
    /// Takes observed over predicted time to a first token.
    pub fn first(&mut self, usual: &mut Usual, ratio: f64) {
        add(&mut self.first, &mut usual.first, ratio);
    }

    /// Takes the seconds between two tokens.
    pub fn gap(&mut self, usual: &mut Usual, seconds: f64) {
        add(&mut self.gap, &mut usual.gap, seconds);
    }

    /// True if the replica is many times slower than usual.
    pub fn is_slow(&self, usual: &Usual, slow_factor: f64) -> bool {
        exceeds(&self.first, &usual.first, slow_factor)
            || exceeds(&self.gap, &usual.gap, slow_factor)
    }

    /// Leaves the replica out from now on, longer each time.
    pub fn eject(&mut self, cfg: &Config, now: Time) {
        let span = cfg.first_ejection * 2u32.saturating_pow(self.strikes.min(10));
        self.until = now + span.min(cfg.max_ejection);
        self.strikes += 1;
        self.first = Average::default();
        self.gap = Average::default();
    }

    /// Forgets earlier ejections after a good time.
    pub fn forgive(&mut self, now: Time) {
        if self.until + FORGIVEN_AFTER < now {
            self.strikes = 0;
        }
    }
}

/// A replica that was not slow for this long starts anew.
const FORGIVEN_AFTER: Duration = Duration::from_secs(60);

fn add(own: &mut Average, usual: &mut Average, sample: f64) {
    let bounded = match usual.get() {
        Some(mean) => sample.min(mean * MAX_SAMPLE),
        None => sample,
    };
    own.add(bounded, REPLICA_WEIGHT);
    let bounded = match usual.get() {
        Some(mean) => sample.min(mean * 2.0),
        None => sample,
    };
    usual.add(bounded, POOL_WEIGHT);
}

fn exceeds(own: &Average, usual: &Average, factor: f64) -> bool {
    let (Some(value), Some(mean)) = (own.get(), usual.get()) else {
        return false;
    };
    MIN_SAMPLES <= own.samples && mean * factor < value
}
