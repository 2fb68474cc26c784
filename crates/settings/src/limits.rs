//! Bounds of what a node takes from outside.

use std::time::Duration;

use crate::reader::Section;
use base::ByteSize;

/// Bounds of what a node takes from outside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Open connections of callers.
    pub max_connections: usize,
    /// Requests of callers in progress.
    pub max_requests: usize,
    /// Bytes of a request's head.
    pub max_header_bytes: ByteSize,
    /// Bytes of a request's body.
    pub max_body_bytes: ByteSize,
    /// Time for a request's head and for its body to arrive.
    pub arrival_timeout: Duration,
    /// How long a caller may take no frame of its answer.
    pub stall_timeout: Duration,
    /// How long a node that stops still takes requests while it says that it isn't ready.
    pub stop_notice: Duration,
    /// How long a graceful stop waits for requests in flight.
    pub drain_timeout: Duration,
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
            arrival_timeout: section.span_of_time("arrival", default.arrival_timeout),
            stall_timeout: section.span_of_time("stall", default.stall_timeout),
            stop_notice: section.span_of_time("notice", default.stop_notice),
            drain_timeout: section.span_of_time("drain", default.drain_timeout),
        };
        section.finish();
        limits
    }
}
