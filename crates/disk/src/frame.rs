//! Frames: each holds one batch of records with a sequence number and a checksum.
//!
//! A frame also holds the number below which all frames were known to be synced when
//! it was written. This distinguishes a frame that a crash left half written from a
//! complete one that was damaged later.

use std::ops::Range;

use crc32fast::Hasher;

/// Bytes of the header: payload length, sequence number, synced number, checksum.
pub(crate) const HEADER_BYTES: usize = 24;

/// The largest payload of a frame, in bytes.
pub(crate) const MAX_PAYLOAD_BYTES: usize = 1 << 30;

/// Bytes of the header that the checksum covers.
const CHECKED_HEADER_BYTES: usize = 20;
const LENGTH_BYTES: usize = 4;

/// A decoded frame, with its payload as a range of the input.
#[derive(Debug)]
pub(crate) struct Frame {
    pub(crate) seq: u64,
    /// All frames with smaller numbers were synced when this one was written.
    pub(crate) synced: u64,
    pub(crate) payload: Range<usize>,
}

/// The size in bytes of a payload that holds these records.
pub(crate) fn payload_bytes<Bytes: AsRef<[u8]>>(records: &[Bytes]) -> usize {
    let bytes = records.iter().map(|r| LENGTH_BYTES + r.as_ref().len());
    bytes.sum()
}

pub(crate) fn encode<Bytes: AsRef<[u8]>>(seq: u64, synced: u64, records: &[Bytes]) -> Vec<u8> {
    let payload = payload_bytes(records);
    let mut buf = Vec::with_capacity(HEADER_BYTES + payload);
    buf.extend((payload as u32).to_le_bytes());
    buf.extend(seq.to_le_bytes());
    buf.extend(synced.to_le_bytes());
    buf.extend([0; 4]);
    for record in records {
        let record = record.as_ref();
        buf.extend((record.len() as u32).to_le_bytes());
        buf.extend(record);
    }
    let checksum = checksum(&buf);
    buf[CHECKED_HEADER_BYTES..HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
    buf
}

/// The frame that starts at an offset, if it is complete and its checksum is right.
pub(crate) fn decode(bytes: &[u8], at: usize) -> Option<Frame> {
    let rest = bytes.get(at..)?;
    let header = rest.get(..HEADER_BYTES)?;
    let end = HEADER_BYTES.checked_add(u32_at(header, 0)? as usize)?;
    let frame = rest.get(..end)?;
    if u32_at(header, CHECKED_HEADER_BYTES)? != checksum(frame) {
        return None;
    }
    Some(Frame {
        seq: u64_at(header, 4)?,
        synced: u64_at(header, 12)?,
        payload: at + HEADER_BYTES..at + end,
    })
}

/// The records of a payload, or none if it is not a list of records.
pub(crate) fn decode_records(mut payload: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !payload.is_empty() {
        let len = u32_at(payload, 0)? as usize;
        let record = payload.get(LENGTH_BYTES..LENGTH_BYTES.checked_add(len)?)?;
        records.push(record.to_vec());
        payload = &payload[LENGTH_BYTES + len..];
    }
    Some(records)
}

/// Whether a later intact frame shows that the damaged frame `seq` at `at` was synced.
pub(crate) fn was_synced(bytes: &[u8], at: usize, seq: u64) -> bool {
    let max_seq = seq + ((bytes.len() - at) / HEADER_BYTES) as u64;
    let plausible = |offset: &usize| {
        let found = u64_at(&bytes[*offset..], 4);
        found.is_some_and(|found| seq < found && found <= max_seq)
    };
    (at + 1..bytes.len())
        .filter(plausible)
        .filter_map(|offset| decode(bytes, offset))
        .any(|frame| seq < frame.synced)
}

fn checksum(frame: &[u8]) -> u32 {
    let mut hasher = Hasher::new();
    hasher.update(&frame[..CHECKED_HEADER_BYTES]);
    hasher.update(&frame[HEADER_BYTES..]);
    hasher.finalize()
}

fn u32_at(bytes: &[u8], at: usize) -> Option<u32> {
    let bytes = bytes.get(at..at + 4)?;
    Some(u32::from_le_bytes(bytes.try_into().ok()?))
}

fn u64_at(bytes: &[u8], at: usize) -> Option<u64> {
    let bytes = bytes.get(at..at + 8)?;
    Some(u64::from_le_bytes(bytes.try_into().ok()?))
}
