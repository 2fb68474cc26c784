//! Learns how much of a replica's prefill backlog a request waits for.

/// Weight of one sample in what is learned.
const LEARN: f64 = 0.02;

/// The part of a reported prefill backlog that a request waits for, by least squares. At
/// an engine that honours priorities it is small for short work.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Behind {
    product: f64,
    square: f64,
}

impl Default for Behind {
    fn default() -> Self {
        Self {
            product: 0.1,
            square: 0.1,
        }
    }
}

impl Behind {
    pub fn add(&mut self, waited: f64, backlog: f64) {
        self.product += LEARN * (waited * backlog - self.product);
        self.square += LEARN * (backlog * backlog - self.square);
    }

    pub fn part(&self) -> f64 {
        (self.product / self.square.max(1e-9)).clamp(0.0, 4.0)
    }
}
