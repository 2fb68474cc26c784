//! A crash at each byte of a write and damage to each byte of a file.

mod scratch;

use std::fs;
use std::path::Path;

use crate::scratch::Scratch;
use crate::scratch::append_each;
use crate::scratch::numbered;
use disk::Log;
use disk::OpenError;

fn flip_bit(path: &Path, offset: usize) {
    let mut bytes = fs::read(path).unwrap();
    bytes[offset] ^= 0x10;
    fs::write(path, bytes).unwrap();
}

fn size(path: &Path) -> usize {
    fs::metadata(path).unwrap().len() as usize
}

/// A folder with five synced records, and the segment's size before the first record and
/// after each one.
fn five_synced_records() -> (Scratch, Vec<usize>) {
    let scratch = Scratch::default();
    let (mut log, _) = scratch.open();
    let segment = scratch.files("log-").remove(0);
    let mut ends = vec![size(&segment)];
    for record in numbered(0, 5) {
        append_each(&mut log, &[record]);
        ends.push(size(&segment));
    }
    (scratch, ends)
}

#[test]
fn a_tail_torn_at_any_byte_is_cut() {
    let (whole, ends) = five_synced_records();
    for len in ends[0]..=ends[5] {
        let scratch = whole.copy();
        let segment = scratch.files("log-").remove(0);
        let file = fs::OpenOptions::new().write(true).open(&segment).unwrap();
        file.set_len(len as u64).unwrap();
        let (mut log, restored) = scratch.open();
        let kept = ends.iter().filter(|end| **end <= len).count() - 1;
        assert_eq!(restored.records, numbered(0, kept as u64), "cut to {len}");
        let truncated = restored.truncation.map_or(0, |truncation| truncation.bytes);
        assert_eq!(truncated as usize, len - ends[kept]);
        append_each(&mut log, &numbered(7, 8));
        drop(log);
        let expected = [numbered(0, kept as u64), numbered(7, 8)].concat();
        assert_eq!(scratch.open().1.records, expected);
    }
}

#[test]
fn damage_before_a_later_record_is_refused_with_its_place() {
    let (whole, ends) = five_synced_records();
    for position in 0..ends[4] {
        let scratch = whole.copy();
        let segment = scratch.files("log-").remove(0);
        flip_bit(&segment, position);
        let error = Log::open(&*scratch).unwrap_err();
        let OpenError::Corrupt { file, offset } = &error else {
            panic!("byte {position}: {error}");
        };
        assert_eq!(*file, segment);
        let start = ends
            .iter()
            .rev()
            .find(|end| **end <= position)
            .unwrap_or(&0);
        assert_eq!(*offset as usize, *start, "byte {position}");
        assert!(error.to_string().contains("replace this voter"));
        assert!(
            Log::open(&*scratch).is_err(),
            "the second opening must fail too"
        );
    }
}

#[test]
fn damage_to_the_last_batch_never_yields_a_wrong_record() {
    let (whole, ends) = five_synced_records();
    for position in ends[4]..ends[5] {
        let scratch = whole.copy();
        flip_bit(&scratch.files("log-")[0], position);
        assert_eq!(scratch.open().1.records, numbered(0, 4), "byte {position}");
    }
}

#[test]
fn zeros_after_the_last_record_are_cut() {
    let (scratch, ends) = five_synced_records();
    let segment = scratch.files("log-").remove(0);
    let file = fs::OpenOptions::new().write(true).open(&segment).unwrap();
    file.set_len(ends[5] as u64 + 5_000).unwrap();
    let (_, restored) = scratch.open();
    assert_eq!(restored.records, numbered(0, 5));
    assert_eq!(restored.truncation.unwrap().bytes, 5_000);
}

/// Blocks that were not synced may reach the disk in any order. So a damaged frame among
/// unsynced ones is a torn tail, although complete frames follow.
#[test]
fn a_hole_in_what_was_not_synced_is_a_torn_tail() {
    let (scratch, ends) = five_synced_records();
    let (mut log, _) = scratch.open();
    for record in numbered(5, 8) {
        log.append(&[record]).unwrap();
    }
    let crashed = scratch.copy();
    flip_bit(&crashed.files("log-")[0], ends[5] + 30);
    assert_eq!(crashed.open().1.records, numbered(0, 5));
}

#[test]
fn a_damaged_snapshot_or_identity_is_refused() {
    let whole = Scratch::default();
    let (mut log, _) = whole.open();
    append_each(&mut log, &numbered(0, 3));
    log.write_snapshot(b"state", &numbered(1, 2)).unwrap();
    for prefix in ["snapshot-", "identity"] {
        let path = whole.files(prefix).remove(0);
        for position in 0..size(&path) {
            let scratch = whole.copy();
            flip_bit(&scratch.files(prefix)[0], position);
            let error = Log::open(&*scratch).unwrap_err();
            assert!(matches!(error, OpenError::Corrupt { .. }), "{error}");
        }
    }
}

#[test]
fn missing_files_are_refused() {
    let whole = Scratch::default();
    let (mut log, _) = whole.open();
    append_each(&mut log, &numbered(0, 3));
    for prefix in ["log-", "identity"] {
        let scratch = whole.copy();
        let removed = scratch.files(prefix).remove(0);
        fs::remove_file(&removed).unwrap();
        let error = Log::open(&*scratch).unwrap_err();
        assert!(matches!(&error, OpenError::Missing { file } if *file == removed));
    }
}
