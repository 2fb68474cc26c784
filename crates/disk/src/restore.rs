//! Restores a log from its data folder and cleans up after interrupted writes.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::path::PathBuf;

use crate::OpenError;
use crate::Origin;
use crate::Restored;
use crate::Truncation;
use crate::folder::Folder;
use crate::folder::Listing;
use crate::identity;
use crate::segment;
use crate::segment::Position;
use crate::snapshot;
use base::DiskId;

/// Reads the folder's identity, or creates one if the folder is empty. The first segment is
/// created before the identity, so a folder with an identity but no segment has lost data.
pub(crate) fn identify(
    folder: &Folder,
    listing: Listing,
) -> Result<(DiskId, Origin, Listing), OpenError> {
    if let Some(disk) = identity::load(folder)? {
        return Ok((disk, Origin::Existing, listing));
    }
    if !is_empty(folder, &listing)? {
        let file = identity::path(folder);
        return Err(OpenError::Missing { file });
    }
    segment::create(folder, 0).map_err(OpenError::io(&folder.segment_path(0)))?;
    let disk = identity::create(folder)?;
    let listing = Listing {
        segments: vec![0],
        snapshots: Vec::new(),
    };
    Ok((disk, Origin::New, listing))
}

fn is_empty(folder: &Folder, listing: &Listing) -> Result<bool, OpenError> {
    if !listing.snapshots.is_empty() {
        return Ok(false);
    }
    match listing.segments[..] {
        [] => Ok(true),
        [0] => {
            let path = folder.segment_path(0);
            let meta = fs::metadata(&path).map_err(OpenError::io(&path))?;
            Ok(meta.len() <= segment::HEADER_BYTES)
        }
        _ => Ok(false),
    }
}

/// Loads the newest snapshot. Returns the number of the first frame after it.
pub(crate) fn load_snapshot(
    folder: &Folder,
    listing: &Listing,
    restored: &mut Restored,
) -> Result<u64, OpenError> {
    let Some(&seq) = listing.snapshots.last() else {
        return Ok(0);
    };
    let content = snapshot::load(folder, seq)?;
    restored.snapshot = Some(content.state);
    restored.records = content.records;
    Ok(seq)
}

/// The segments after the snapshot, without one whose creation was interrupted.
pub(crate) fn live_segments(
    folder: &Folder,
    listing: &Listing,
    first: u64,
) -> Result<Vec<u64>, OpenError> {
    let live = listing.segments.iter().copied().filter(|s| first <= *s);
    let mut live: Vec<_> = live.collect();
    if live.first() != Some(&first) {
        let file = folder.segment_path(first);
        return Err(OpenError::Missing { file });
    }
    let last = live[live.len() - 1];
    let path = folder.segment_path(last);
    let incomplete = segment::is_incomplete(&path, last).map_err(OpenError::io(&path))?;
    if 1 < live.len() && (incomplete || is_abandoned(folder, &live)?) {
        folder.remove(&path).map_err(OpenError::io(&path))?;
        live.pop();
    }
    Ok(live)
}

/// Whether the last segment's creation failed without room, and the segment before it went on.
fn is_abandoned(folder: &Folder, live: &[u64]) -> Result<bool, OpenError> {
    let [.., before, last] = live else {
        return Ok(false);
    };
    let path = folder.segment_path(*last);
    if !segment::is_empty(&path).map_err(OpenError::io(&path))? {
        return Ok(false);
    }
    let before = segment::load(&folder.segment_path(*before), *before, Position::Last)?;
    Ok(*last < before.next_seq)
}

/// Loads all segments. Returns the next frame's number and the last segment's valid bytes.
pub(crate) fn load_segments(
    folder: &Folder,
    segments: &[u64],
    restored: &mut Restored,
) -> Result<(u64, u64), OpenError> {
    let mut next_seq = segments[0];
    let mut valid_bytes = 0;
    for (index, &first) in segments.iter().enumerate() {
        let path = folder.segment_path(first);
        if next_seq != first {
            let file = folder.segment_path(next_seq);
            return Err(OpenError::Missing { file });
        }
        let position = if index + 1 == segments.len() {
            Position::Last
        } else {
            Position::Middle
        };
        let content = segment::load(&path, first, position)?;
        restored.records.extend(content.records);
        next_seq = content.next_seq;
        valid_bytes = content.valid_bytes;
        if 0 < content.torn_bytes {
            restored.truncation = Some(Truncation {
                file: path,
                offset: content.valid_bytes,
                bytes: content.torn_bytes,
            });
        }
    }
    Ok((next_seq, valid_bytes))
}

/// Opens the last segment for writing and truncates its torn tail. The rest is synced,
/// because the process that wrote it may have ended before it synced.
pub(crate) fn open_last(
    folder: &Folder,
    segments: &[u64],
    restored: &Restored,
) -> Result<(File, PathBuf), OpenError> {
    let path = folder.segment_path(segments[segments.len() - 1]);
    let file = OpenOptions::new()
        .write(true)
        .open(&path)
        .map_err(OpenError::io(&path))?;
    if let Some(truncation) = &restored.truncation {
        file.set_len(truncation.offset)
            .map_err(OpenError::io(&path))?;
    }
    file.sync_all().map_err(OpenError::io(&path))?;
    Ok((file, path))
}
