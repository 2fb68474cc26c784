//! Bounds of what a node takes from outside.

use std::time::Duration;

use crate::reader::Section;
use base::ByteSize;

/// Bounds of what a node takes from outside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Open connections of callers.
    pub connections: usize,
    /// Requests of callers in progress.
    pub requests: usize,
    /// Bytes of a request's head.
    pub header_bytes: ByteSize,
    /// Bytes of a request's body.
    pub body_bytes: ByteSize,
    /// Time for a request's head and for its body to arrive.
    pub arrival: Duration,
    /// How long a caller may take no frame of its answer.
    pub stall: Duration,
    /// How long a node that stops still takes requests while it says that it isn't ready.
    pub notice: Duration,
    /// How long a graceful stop waits for requests in flight.
    pub drain: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4096,
            requests: 2048,
            header_bytes: ByteSize(16 * 1024),
            body_bytes: ByteSize(1024 * 1024),
            arrival: Duration::from_secs(10),
            stall: Duration::from_secs(10),
            notice: Duration::from_secs(2),
            drain: Duration::from_secs(60),
        }
    }
}

impl Limits {
    pub(crate) fn read(section: &mut Section<'_>) -> Self {
        let default = Self::default();
        let limits = Self {
            connections: section.count("connections", default.connections),
            requests: section.count("requests", default.requests),
            header_bytes: section.bytes("header_bytes", default.header_bytes),
            body_bytes: section.bytes("body_bytes", default.body_bytes),
            arrival: section.span_of_time("arrival", default.arrival),
            stall: section.span_of_time("stall", default.stall),
            notice: section.span_of_time("notice", default.notice),
            drain: section.span_of_time("drain", default.drain),
        };
        section.finish();
        limits
    }
}
