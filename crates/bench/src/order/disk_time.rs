//! The time of a synced append on this machine's disk.

use std::env;
use std::fs;
use std::process;
use std::time::Duration;
use std::time::Instant;

use disk::Log;

/// The number of appends that are timed.
const APPENDS: usize = 400;

/// Bytes of the record that each append writes, the size of the record of a claim.
const RECORD_BYTES: usize = 200;

/// Measures single synced appends and returns their times, sorted.
pub fn measure_sync_times() -> Vec<Duration> {
    let folder = env::temp_dir().join(format!("berylbay-bench-{}", process::id()));
    let (mut log, _) = Log::open(&folder).expect("a folder for temporary files");
    let record = vec![vec![7; RECORD_BYTES]];
    let mut times = Vec::new();
    for _ in 0..APPENDS {
        let start = Instant::now();
        log.append(&record).expect("room on the disk");
        log.sync().expect("a disk that syncs");
        times.push(start.elapsed());
    }
    drop(log);
    fs::remove_dir_all(&folder).expect("the folder made above");
    times.sort();
    times
}

/// The quantile of the sorted times at `share`, between 0 and 1.
pub fn percentile(sorted: &[Duration], share: f64) -> Duration {
    let index = (share * sorted.len() as f64) as usize;
    sorted
        .get(index.min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or_default()
}
