//! The log compared with a list of records, after crashes and on a full disk.

mod scratch;

use std::fs;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

use crate::scratch::Scratch;
use crate::scratch::append_each;
use crate::scratch::numbered;
use base::ByteSize;
use disk::Log;
use disk::OpenError;
use disk::Options;
use disk::Origin;
use disk::WriteError;

/// An operation on a log, for the test with random operations.
#[derive(Clone, Debug)]
enum Step {
    Append(Vec<Vec<u8>>),
    Sync,
    Snapshot { kept: usize },
    Reopen,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0..4 => Self::Append(Arbitrary::arbitrary(g)),
            4 | 5 => Self::Sync,
            6 => Self::Snapshot {
                kept: usize::arbitrary(g) % 4,
            },
            _ => Self::Reopen,
        }
    }
}

fn small_segments() -> Options {
    Options {
        segment_size: ByteSize(300),
        quota: None,
        ..Options::default()
    }
}

#[test]
fn it_gives_back_what_a_plain_list_holds() {
    fn matches_list(steps: Vec<Step>) -> bool {
        let scratch = Scratch::default();
        let (mut log, _) = Log::open_with(&*scratch, small_segments()).unwrap();
        let mut records: Vec<Vec<u8>> = Vec::new();
        let mut state = None;
        for step in steps {
            match step {
                Step::Append(batch) => {
                    log.append(&batch).unwrap();
                    records.extend(batch);
                }
                Step::Sync => log.sync().unwrap(),
                Step::Snapshot { kept } => {
                    let from = records.len().saturating_sub(kept);
                    records.drain(..from);
                    state = Some(format!("state with {from}").into_bytes());
                    log.write_snapshot(state.as_ref().unwrap(), &records)
                        .unwrap();
                }
                Step::Reopen => {
                    drop(log);
                    let restored;
                    (log, restored) = Log::open_with(&*scratch, small_segments()).unwrap();
                    assert_eq!(restored.records, records);
                    assert_eq!(restored.snapshot, state);
                }
            }
        }
        true
    }
    let generator = Gen::new(40);
    let mut check = QuickCheck::new().rng(generator).tests(25);
    check.quickcheck(matches_list as fn(Vec<Step>) -> bool);
}

#[test]
fn only_one_process_opens_it() {
    let scratch = Scratch::default();
    let (log, _) = scratch.open();
    let error = Log::open(&*scratch).unwrap_err();
    assert!(matches!(error, OpenError::InUse { .. }), "{error}");
    drop(log);
    scratch.open();
}

#[test]
fn a_wiped_folder_has_another_identity() {
    let scratch = Scratch::default();
    let (log, first) = scratch.open();
    drop(log);
    let (log, again) = scratch.open();
    assert_eq!(first.origin, Origin::New);
    assert_eq!(again.origin, Origin::Existing);
    assert_eq!(first.disk, again.disk);
    drop(log);
    fs::remove_dir_all(&*scratch).unwrap();
    let (_, wiped) = scratch.open();
    assert_eq!(wiped.origin, Origin::New);
    assert_ne!(first.disk, wiped.disk);
}

/// Opens the log in every state that a crash while a snapshot is written can leave.
#[test]
fn a_crash_between_the_files_of_a_step_loses_nothing() {
    let scratch = Scratch::default();
    let (mut log, _) = scratch.open();
    append_each(&mut log, &numbered(0, 4));
    let before = scratch.copy();
    log.write_snapshot(b"state", &numbered(3, 4)).unwrap();
    let snapshot = scratch.files("snapshot-").remove(0);
    let segment = scratch.files("log-").remove(0);
    let bytes = fs::read(&snapshot).unwrap();
    let temporary = format!("{}.tmp", snapshot.file_name().unwrap().to_str().unwrap());

    for len in 0..=bytes.len() {
        let crashed = before.copy();
        fs::write(crashed.join(&temporary), &bytes[..len]).unwrap();
        assert_eq!(crashed.open().1.records, numbered(0, 4));
    }
    let header = fs::read(&segment).unwrap();
    for len in 0..=header.len() {
        let crashed = before.copy();
        fs::write(crashed.join(&temporary), &bytes).unwrap();
        let next = crashed.join(segment.file_name().unwrap());
        fs::write(next, &header[..len]).unwrap();
        let (mut log, restored) = crashed.open();
        assert_eq!(restored.records, numbered(0, 4));
        append_each(&mut log, &numbered(4, 5));
        drop(log);
        assert_eq!(crashed.open().1.records, numbered(0, 5));
    }
    let crashed = before.copy();
    fs::copy(&segment, crashed.join(segment.file_name().unwrap())).unwrap();
    fs::copy(&snapshot, crashed.join(snapshot.file_name().unwrap())).unwrap();
    let (_, restored) = crashed.open();
    assert_eq!(restored.snapshot.as_deref(), Some(&b"state"[..]));
    assert_eq!(restored.records, numbered(3, 4));
    assert_eq!(crashed.files("log-").len(), 1);
}

/// Lets the disk run full at every possible byte of a batch.
#[test]
fn a_full_disk_takes_the_whole_batch_back_and_goes_on_later() {
    for free_bytes in 0..60 {
        let scratch = Scratch::default();
        let (mut log, _) = scratch.open();
        append_each(&mut log, &numbered(0, 3));
        drop(log);
        let used: u64 = scratch
            .files("")
            .iter()
            .map(|f| f.metadata().unwrap().len())
            .sum();
        let limited = Options {
            quota: Some(ByteSize(used + free_bytes)),
            ..Options::default()
        };
        let (mut log, _) = Log::open_with(&*scratch, limited).unwrap();
        let error = log.append(&numbered(3, 6)).unwrap_err();
        assert!(matches!(error, WriteError::Full { .. }), "{error}");
        assert!(log.write_snapshot(&[0; 100], &[]).is_err());
        assert_eq!(scratch.copy().open().1.records, numbered(0, 3));

        drop(log);
        let (mut log, restored) = scratch.open();
        assert_eq!(restored.records, numbered(0, 3));
        assert_eq!(restored.truncation, None);
        append_each(&mut log, &numbered(3, 6));
        drop(log);
        assert_eq!(scratch.open().1.records, numbered(0, 6));
    }
}

#[test]
fn a_log_that_was_full_goes_on_once_there_is_space() {
    let scratch = Scratch::default();
    let filler = scratch.join("filler");
    fs::write(&filler, [0; 4_000]).unwrap();
    let options = Options {
        quota: Some(ByteSize(4_300)),
        ..Options::default()
    };
    let (mut log, _) = Log::open_with(&*scratch, options).unwrap();
    append_each(&mut log, &numbered(0, 2));
    log.append(&numbered(2, 3)).unwrap();
    let big = [vec![0; 1_000]];
    assert!(matches!(log.append(&big), Err(WriteError::Full { .. })));
    assert!(matches!(
        log.write_snapshot(&big[0], &[]),
        Err(WriteError::Full { .. })
    ));
    assert_eq!(scratch.copy().open().1.records, numbered(0, 2));

    fs::remove_file(&filler).unwrap();
    append_each(&mut log, &numbered(2, 4));
    log.write_snapshot(&big[0], &numbered(3, 4)).unwrap();
    drop(log);
    let (_, restored) = scratch.open();
    assert_eq!(restored.snapshot.as_deref(), Some(&big[0][..]));
    assert_eq!(restored.records, numbered(3, 4));
}
