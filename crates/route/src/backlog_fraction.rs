//! Estimates how much of a replica's prefill backlog a request waits for.

/// Weight of one sample in the running means.
const SAMPLE_WEIGHT: f64 = 0.02;

/// The fraction of a reported prefill backlog that a request waits for, by least squares.
/// It is small for short requests at an engine that honours priorities.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BacklogFraction {
    mean_product: f64,
    mean_square: f64,
}

impl Default for BacklogFraction {
    fn default() -> Self {
        Self {
            mean_product: 0.1,
            mean_square: 0.1,
        }
    }
}

impl BacklogFraction {
    pub fn add_sample(&mut self, waited: f64, backlog: f64) {
        self.mean_product += SAMPLE_WEIGHT * (waited * backlog - self.mean_product);
        self.mean_square += SAMPLE_WEIGHT * (backlog * backlog - self.mean_square);
    }

    pub fn fraction(&self) -> f64 {
        (self.mean_product / self.mean_square.max(1e-9)).clamp(0.0, 4.0)
    }
}
