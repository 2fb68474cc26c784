//! Segments: files of frames with consecutive numbers.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::path::Path;

use crate::OpenError;
use crate::folder::Folder;
use crate::frame;

/// Bytes of a segment before its first frame: a frame without records.
pub(crate) const HEADER_BYTES: u64 = frame::HEADER_BYTES as u64;

/// Whether a segment is the one that was written to when the process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Position {
    /// Another segment follows: all of this one was synced.
    Middle,
    /// A crash may have torn its end.
    Last,
}

/// What a segment holds.
#[derive(Debug, Default)]
pub(crate) struct Content {
    pub(crate) records: Vec<Vec<u8>>,
    /// The number of the frame that comes next.
    pub(crate) next: u64,
    /// Bytes that are whole.
    pub(crate) whole: u64,
    /// Bytes of a torn tail.
    pub(crate) torn: u64,
}

/// Creates a segment and makes it last.
pub(crate) fn create(folder: &Folder, first: u64) -> io::Result<File> {
    let path = folder.segment(first);
    let file = OpenOptions::new()
        .create(true)
        .truncate(true)
        .write(true)
        .open(&path)?;
    let header = frame::encode::<&[u8]>(first, first, &[]);
    let written = folder
        .write_at(&file, &header, 0)
        .and_then(|()| file.sync_all())
        .and_then(|()| folder.sync());
    if written.is_err() {
        fs::remove_file(&path)?;
    }
    written.map(|()| file)
}

/// Whether a crash interrupted the creation of this segment.
pub(crate) fn is_unborn(path: &Path, first: u64) -> io::Result<bool> {
    let bytes = fs::read(path)?;
    Ok(bytes.len() as u64 <= HEADER_BYTES && !has_header(&bytes, first))
}

pub(crate) fn load(path: &Path, first: u64, position: Position) -> Result<Content, OpenError> {
    let bytes = fs::read(path).map_err(OpenError::io(path))?;
    if !has_header(&bytes, first) {
        return Err(OpenError::corrupt(path, 0));
    }
    let mut content = Content {
        next: first,
        ..Content::default()
    };
    let mut at = frame::HEADER_BYTES;
    while at < bytes.len() {
        let whole = frame::decode(&bytes, at).filter(|f| f.seq == content.next);
        let Some(frame) = whole else {
            let synced = frame::was_synced(&bytes, at, content.next);
            if position == Position::Middle || synced {
                return Err(OpenError::corrupt(path, at));
            }
            break;
        };
        let records = frame::records(&bytes[frame.payload.clone()]);
        let records = records.ok_or_else(|| OpenError::corrupt(path, at))?;
        content.records.extend(records);
        content.next += 1;
        at = frame.payload.end;
    }
    content.whole = at as u64;
    content.torn = (bytes.len() - at) as u64;
    Ok(content)
}

fn has_header(bytes: &[u8], first: u64) -> bool {
    frame::decode(bytes, 0).is_some_and(|f| f.seq == first && f.payload.is_empty())
}
