//! Snapshots: files of one frame each, which replaces all frames with smaller numbers.

use std::fs;

use crate::OpenError;
use crate::folder::Folder;
use crate::frame;

/// The content of a snapshot.
#[derive(Debug)]
pub(crate) struct Content {
    pub(crate) state: Vec<u8>,
    /// Records that follow the state and are stored with it.
    pub(crate) records: Vec<Vec<u8>>,
}

pub(crate) fn encode(seq: u64, state: &[u8], records: &[Vec<u8>]) -> Vec<u8> {
    let mut all = vec![state];
    all.extend(records.iter().map(Vec::as_slice));
    frame::encode(seq, seq, &all)
}

pub(crate) fn load(folder: &Folder, seq: u64) -> Result<Content, OpenError> {
    let path = folder.snapshot_path(seq);
    let bytes = fs::read(&path).map_err(OpenError::io(&path))?;
    let damaged = || OpenError::corrupt(&path, 0);
    let frame = frame::decode(&bytes, 0).filter(|f| f.seq == seq && f.payload.end == bytes.len());
    let frame = frame.ok_or_else(damaged)?;
    let mut records = frame::decode_records(&bytes[frame.payload]).ok_or_else(damaged)?;
    if records.is_empty() {
        return Err(damaged());
    }
    let state = records.remove(0);
    Ok(Content { state, records })
}
