//! Segments: files of frames with consecutive sequence numbers.

use std::fs;
use std::fs::File;
use std::io;
use std::path::Path;

use crate::OpenError;
use crate::folder::Folder;
use crate::frame;

/// Bytes of a segment's header, which is a frame without records.
pub(crate) const HEADER_BYTES: u64 = frame::HEADER_BYTES as u64;

/// Whether a segment is the last one, to which the process wrote when it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Position {
    /// Another segment follows, so all of this one was synced.
    Middle,
    /// No segment follows. A crash may have left its end half written.
    Last,
}

/// The content of a segment.
#[derive(Debug, Default)]
pub(crate) struct Content {
    pub(crate) records: Vec<Vec<u8>>,
    /// The number of the next frame.
    pub(crate) next_seq: u64,
    /// Bytes of the header and complete frames.
    pub(crate) valid_bytes: u64,
    /// Bytes of a torn tail.
    pub(crate) torn_bytes: u64,
}

/// Creates a segment durably.
pub(crate) fn create(folder: &Folder, first: u64) -> io::Result<File> {
    let path = folder.segment_path(first);
    let file = folder.create(&path)?;
    let header = frame::encode::<&[u8]>(first, first, &[]);
    let written = folder
        .write_at(&file, &header, 0)
        .and_then(|()| folder.sync_all(&file))
        .and_then(|()| folder.sync());
    if written.is_err() {
        // If it can't be removed, or comes back, it holds no frames, and the next opening of the
        // folder removes it.
        let _ = folder.remove(&path);
    }
    written.map(|()| file)
}

/// Whether a crash interrupted the creation of this segment.
pub(crate) fn is_incomplete(path: &Path, first: u64) -> io::Result<bool> {
    let bytes = fs::read(path)?;
    Ok(bytes.len() as u64 <= HEADER_BYTES && !has_header(&bytes, first))
}

/// Whether a segment holds no frames.
pub(crate) fn is_empty(path: &Path) -> io::Result<bool> {
    Ok(fs::metadata(path)?.len() <= HEADER_BYTES)
}

pub(crate) fn load(path: &Path, first: u64, position: Position) -> Result<Content, OpenError> {
    let bytes = fs::read(path).map_err(OpenError::io(path))?;
    if !has_header(&bytes, first) {
        return Err(OpenError::corrupt(path, 0));
    }
    let mut content = Content {
        next_seq: first,
        ..Content::default()
    };
    let mut offset = frame::HEADER_BYTES;
    while offset < bytes.len() {
        let frame = frame::decode(&bytes, offset).filter(|f| f.seq == content.next_seq);
        let Some(frame) = frame else {
            let synced = frame::was_synced(&bytes, offset, content.next_seq);
            if position == Position::Middle || synced {
                return Err(OpenError::corrupt(path, offset));
            }
            break;
        };
        let records = frame::decode_records(&bytes[frame.payload.clone()]);
        let records = records.ok_or_else(|| OpenError::corrupt(path, offset))?;
        content.records.extend(records);
        content.next_seq += 1;
        offset = frame.payload.end;
    }
    content.valid_bytes = offset as u64;
    content.torn_bytes = (bytes.len() - offset) as u64;
    Ok(content)
}

fn has_header(bytes: &[u8], first: u64) -> bool {
    frame::decode(bytes, 0).is_some_and(|f| f.seq == first && f.payload.is_empty())
}
