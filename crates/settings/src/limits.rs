//! Limits on what a node accepts from callers.

use std::time::Duration;

use crate::reader::Section;
use base::ByteSize;

/// The least memory with which a node runs.
const MIN_MEMORY: ByteSize = ByteSize(64 * 1024 * 1024);

/// Limits on the requests that a node accepts, and the times of a graceful stop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The most connections from callers that may be open.
    pub max_connections: usize,
    /// The most requests of callers that may be in progress.
    pub max_requests: usize,
    /// The largest request head, in bytes.
    pub max_header_bytes: ByteSize,
    /// The largest request body, in bytes.
    pub max_body_bytes: ByteSize,
    /// How long a request's head may take to arrive, and likewise its body.
    pub arrival_timeout: Duration,
    /// How long a caller may fail to accept a frame of its answer.
    pub stall_timeout: Duration,
    /// How long a stopping node reports not ready while it still accepts requests.
    pub stop_notice: Duration,
    /// How long a graceful stop waits for requests in flight.
    pub drain_timeout: Duration,
    /// The memory of the machine that the node may use, in bytes.
    pub memory: ByteSize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_connections: 4096,
            max_requests: 2048,
            max_header_bytes: ByteSize(16 * 1024),
            max_body_bytes: ByteSize(1024 * 1024),
            arrival_timeout: Duration::from_secs(10),
            stall_timeout: Duration::from_secs(10),
            stop_notice: Duration::from_secs(2),
            drain_timeout: Duration::from_secs(60),
            memory: ByteSize(1024 * 1024 * 1024),
        }
    }
}

impl Limits {
    pub(crate) fn read(section: &mut Section<'_>) -> Self {
        let default = Self::default();
        let limits = Self {
            max_connections: section.count("connections", default.max_connections),
            max_requests: section.count("requests", default.max_requests),
            max_header_bytes: section.bytes("header_bytes", default.max_header_bytes),
            max_body_bytes: section.bytes("body_bytes", default.max_body_bytes),
            arrival_timeout: section.duration("arrival", default.arrival_timeout),
            stall_timeout: section.duration("stall", default.stall_timeout),
            stop_notice: section.duration("notice", default.stop_notice),
            drain_timeout: section.duration("drain", default.drain_timeout),
            memory: section.bytes("memory_bytes", default.memory),
        };
        if limits.memory < MIN_MEMORY {
            let problem = format_args!("must be at least {}, which a node needs", MIN_MEMORY.0);
            section.add_finding("memory_bytes", problem);
        }
        section.finish();
        limits
    }
}
