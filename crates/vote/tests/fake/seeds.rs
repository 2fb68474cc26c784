//! Runs a schedule for many seeds, or for the one in the environment variable `SEED`.

use std::panic::RefUnwindSafe;

/// Runs the seeds from 1 to `count`, and prints the seed that fails.
pub fn for_seeds(count: u64, run: impl Fn(u64) + RefUnwindSafe) {
    let one = std::env::var("SEED").ok();
    let one = one.map(|seed| seed.parse().expect("SEED is a number"));
    let seeds = one.map_or(1..=count, |seed| seed..=seed);
    for seed in seeds {
        if let Err(cause) = std::panic::catch_unwind(|| run(seed)) {
            eprintln!("failed with SEED={seed}");
            std::panic::resume_unwind(cause);
        }
    }
}
