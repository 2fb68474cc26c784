//! Opening: what the files of a folder hold, and what a crash left behind.

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

/// Finds out whose folder it is. An empty one gets its first segment, then its
/// identity: a folder with an identity and no segment has lost something.
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
    segment::create(folder, 0).map_err(OpenError::io(&folder.segment(0)))?;
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
            let path = folder.segment(0);
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
        let file = folder.segment(first);
        return Err(OpenError::Missing { file });
    }
    let last = live[live.len() - 1];
    let path = folder.segment(last);
    let unborn = segment::is_unborn(&path, last).map_err(OpenError::io(&path))?;
    if 1 < live.len() && unborn {
        fs::remove_file(&path).map_err(OpenError::io(&path))?;
        live.pop();
    }
    Ok(live)
}

/// Loads all segments. Returns the next frame's number and the whole bytes of
/// the last segment.
pub(crate) fn load_segments(
    folder: &Folder,
    segments: &[u64],
    restored: &mut Restored,
) -> Result<(u64, u64), OpenError> {
    let mut next = segments[0];
    let mut whole = 0;
    for (at, &first) in segments.iter().enumerate() {
        let path = folder.segment(first);
        if next != first {
            let file = folder.segment(next);
            return Err(OpenError::Missing { file });
        }
        let position = if at + 1 == segments.len() {
            Position::Last
        } else {
            Position::Middle
        };
        let content = segment::load(&path, first, position)?;
        restored.records.extend(content.records);
        next = content.next;
        whole = content.whole;
        if 0 < content.torn {
            restored.truncation = Some(Truncation {
                file: path,
                offset: content.whole,
                bytes: content.torn,
            });
        }
    }
    Ok((next, whole))
}

/// Opens the last segment for writing and cuts its torn tail. What stays is
/// synced, as the process that wrote it may have ended before its own sync.
pub(crate) fn open_last(
    folder: &Folder,
    segments: &[u64],
    restored: &Restored,
) -> Result<(File, PathBuf), OpenError> {
    let path = folder.segment(segments[segments.len() - 1]);
    let file = OpenOptions::new()
        .write(true)
        .open(&path)
        .map_err(OpenError::io(&path))?;
    if let Some(cut) = &restored.truncation {
        file.set_len(cut.offset).map_err(OpenError::io(&path))?;
    }
    file.sync_all().map_err(OpenError::io(&path))?;
    Ok((file, path))
}
