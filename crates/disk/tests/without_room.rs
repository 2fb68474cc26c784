//! A disk without room: each operation on files fails in turn, for a while, and the log goes on.

mod scratch;

use crate::scratch::Scratch;
use base::ByteSize;
use disk::FaultPlan;
use disk::FileFaults;
use disk::FileOp;
use disk::Log;
use disk::Options;
use disk::WriteError;

const ENOSPC: i32 = 28;
const EDQUOT: i32 = 122;
const EIO: i32 = 5;

const OPS: [FileOp; 7] = [
    FileOp::Create,
    FileOp::Write,
    FileOp::SetLength,
    FileOp::SyncFile,
    FileOp::SyncFolder,
    FileOp::Rename,
    FileOp::Remove,
];

/// Steps of a run: batches that are appended and synced, and snapshots in between.
const STEPS: u64 = 24;

/// A snapshot is written after each of so many steps.
const SNAPSHOT_EVERY: u64 = 7;

/// So often a step is tried again while there is no room.
const MAX_TRIES: usize = 40;

fn bytes_of(step: u64) -> Vec<u8> {
    format!("record {step}").into_bytes()
}

/// What must be found after a restart: the state, and the records after it.
#[derive(Debug, Default, PartialEq, Eq)]
struct Written {
    snapshot: Option<Vec<u8>>,
    records: Vec<Vec<u8>>,
}

fn options(faults: &FileFaults) -> Options {
    Options {
        segment_size: ByteSize(120),
        faults: Some(faults.clone()),
        ..Options::default()
    }
}

/// Carries out one step. Returns the error if it must be tried again.
fn try_step(log: &mut Log, step: u64, written: &Written) -> Result<(), WriteError> {
    if step % SNAPSHOT_EVERY == SNAPSHOT_EVERY - 1 {
        return log.write_snapshot(
            &bytes_of(step),
            &written.records[written.records.len() - 1..],
        );
    }
    log.append(&[bytes_of(step), bytes_of(step + 1_000)])?;
    log.sync()
}

fn record(step: u64, written: &mut Written) {
    if step % SNAPSHOT_EVERY == SNAPSHOT_EVERY - 1 {
        let last = written.records.pop().unwrap();
        written.records = vec![last];
        written.snapshot = Some(bytes_of(step));
    } else {
        written
            .records
            .extend([bytes_of(step), bytes_of(step + 1_000)]);
    }
}

fn assert_restored(scratch: &Scratch, written: &Written, what: &str) {
    let (_, restored) = Log::open(&**scratch).unwrap_or_else(|e| panic!("{what}: {e}"));
    let found = Written {
        snapshot: restored.snapshot,
        records: restored.records,
    };
    assert_eq!(found, *written, "{what}");
}

/// Runs all steps while the calls of `plan` fail. Returns whether any did.
fn run(plan: FaultPlan) -> bool {
    let scratch = Scratch::default();
    let faults = FileFaults::default();
    let (mut log, _) = Log::open_with(&*scratch, options(&faults)).unwrap();
    faults.plan(Some(plan));
    let mut written = Written::default();
    for step in 0..STEPS {
        let what = format!("{plan:?} at step {step}");
        let mut tries = 0;
        while let Err(e) = try_step(&mut log, step, &written) {
            assert!(matches!(e, WriteError::Full { .. }), "{what}: {e:?}");
            tries += 1;
            assert!(tries < MAX_TRIES, "{what}");
        }
        record(step, &mut written);
    }
    drop(log);
    assert_restored(&scratch, &written, &format!("{plan:?}"));
    0 < faults.failed()
}

// A voter whose disk had been full wrote nothing more for the rest of its life.
#[test]
fn a_log_goes_on_after_any_operation_failed_without_room() {
    for errno in [ENOSPC, EDQUOT] {
        for op in OPS.into_iter().map(Some).chain([None]) {
            for count in [1, 2, 5, 11] {
                let mut skip = 0;
                while run(FaultPlan {
                    op,
                    skip,
                    count,
                    errno,
                }) {
                    skip += 1;
                }
            }
        }
    }
}

// What is acknowledged is found after a crash at any moment of a time without room.
#[test]
fn nothing_that_was_synced_is_lost_by_a_restart_without_room() {
    for op in OPS.into_iter().map(Some).chain([None]) {
        for skip in 0..60 {
            for crash_at in [3, 6, 7, 13, 20] {
                let scratch = Scratch::default();
                let faults = FileFaults::default();
                let (mut log, _) = Log::open_with(&*scratch, options(&faults)).unwrap();
                faults.plan(Some(FaultPlan {
                    op,
                    skip,
                    count: 3,
                    errno: ENOSPC,
                }));
                let mut written = Written::default();
                let mut has_failed = false;
                for step in 0..=crash_at {
                    if try_step(&mut log, step, &written).is_err() {
                        // The process ends here, and starts again.
                        has_failed = true;
                        break;
                    }
                    record(step, &mut written);
                }
                drop(log);
                if !has_failed {
                    assert_restored(&scratch, &written, "no failure");
                    continue;
                }
                let (_, restored) = Log::open(&*scratch).unwrap();
                let begins = restored.records.starts_with(&written.records);
                let is_newer = restored.snapshot != written.snapshot;
                assert!(begins || is_newer, "{op:?} {skip} {crash_at}");
            }
        }
    }
}

#[test]
fn a_log_is_not_written_after_any_other_error() {
    for op in [FileOp::Write, FileOp::SyncFile, FileOp::SetLength] {
        let scratch = Scratch::default();
        let faults = FileFaults::default();
        let (mut log, _) = Log::open_with(&*scratch, options(&faults)).unwrap();
        log.append(&[bytes_of(1)]).unwrap();
        log.sync().unwrap();
        let op = match op {
            // The truncation after a write that failed without room.
            FileOp::SetLength => None,
            op => Some(op),
        };
        faults.plan(Some(FaultPlan {
            op,
            skip: 0,
            count: 2,
            errno: EIO,
        }));
        let written = log.append(&[bytes_of(2)]).and_then(|()| log.sync());
        assert!(written.is_err());
        faults.plan(None);
        assert!(matches!(
            log.append(&[bytes_of(3)]),
            Err(WriteError::Failed)
        ));
        drop(log);
        let (_, restored) = Log::open(&*scratch).unwrap();
        assert_eq!(restored.records[0], bytes_of(1));
    }
}

#[test]
fn files_that_cannot_be_removed_are_removed_later() {
    let scratch = Scratch::default();
    let faults = FileFaults::default();
    let (mut log, _) = Log::open_with(&*scratch, options(&faults)).unwrap();
    let files = || std::fs::read_dir(&*scratch).unwrap().count();
    faults.plan(Some(FaultPlan {
        op: Some(FileOp::Remove),
        skip: 0,
        count: usize::MAX,
        errno: ENOSPC,
    }));
    for step in 0..30 {
        log.append(&[bytes_of(step)]).unwrap();
        log.sync().unwrap();
        log.write_snapshot(&bytes_of(step), &[]).unwrap();
    }
    assert!(30 < files());
    faults.plan(None);
    log.write_snapshot(&bytes_of(99), &[]).unwrap();
    assert!(files() <= 6, "{}", files());
}
