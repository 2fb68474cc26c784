//! Samples a bounded number of replicas and picks one of the best.

use std::ops::Range;
use std::time::Duration;

use crate::Config;
use crate::Forecast;

/// A replica with its score in seconds. Smaller is better.
pub(crate) struct ScoredReplica {
    pub position: usize,
    pub score: f64,
    pub forecast: Forecast,
}

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

/// True if a replica has a free slot and a negligible wait.
pub(crate) fn has_idle_replica(found: &[ScoredReplica]) -> bool {
    found.iter().any(|scored| {
        let wait = scored
            .forecast
            .first_token
            .saturating_sub(scored.forecast.unloaded_time);
        scored.forecast.fill <= 0.9 && wait < Duration::from_millis(10)
    })
}

/// A random one of the replicas whose scores are nearly the best.
pub(crate) fn pick_best<'a>(
    found: &'a [ScoredReplica],
    cfg: &Config,
    rng: &mut fastrand::Rng,
) -> Option<&'a ScoredReplica> {
    let best = found.iter().map(|s| s.score).min_by(f64::total_cmp)?;
    let limit = best + cfg.score_tolerance.as_secs_f64();
    let equal = found.iter().filter(|s| s.score <= limit).count();
    let nth = rng.usize(0..equal);
    found.iter().filter(|s| s.score <= limit).nth(nth)
}
