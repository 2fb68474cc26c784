//! Samples a bounded number of replicas.

use std::ops::Range;

/// Positions of a range: all if there are at most `limit`, else a random sample.
pub(crate) fn sample_positions(
    range: Range<usize>,
    limit: usize,
    rng: &mut fastrand::Rng,
) -> impl Iterator<Item = usize> {
    let all = range.len() <= limit;
    let count = range.len().min(limit);
    (0..count).map(move |i| {
        if all {
            range.start + i
        } else {
            rng.usize(range.clone())
        }
    })
}
