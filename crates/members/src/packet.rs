//! The format of a datagram: a header and as many sections as fit.

use serde::Deserialize;
use serde::Serialize;

use crate::Generation;
use crate::item::ItemMessage;
use crate::record::Record;
use base::CentreId;
use base::NodeId;
use base::Version;

/// The longest datagram in bytes, without the tag that the daemon adds.
pub const MAX_DATAGRAM_BYTES: usize = 1_184;

/// Bytes that each datagram costs besides: IP and UDP headers and the tag.
pub const DATAGRAM_OVERHEAD_BYTES: usize = 44;

/// The sender's own state, in each datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Header {
    pub generation: Generation,
    /// The configuration version in force at the sender.
    pub version: Version,
    /// The largest accepted version that the sender heard of.
    pub newest: Version,
}

/// One part of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Section {
    /// Asks the receiver for an [`Section::Ack`].
    Ping {
        nonce: u32,
        /// A hash of all the sender knows that the receiver should know too.
        digest: u32,
    },
    /// Answers a ping of the receiver, or one that it asked the sender to make.
    Ack {
        nonce: u32,
        of: NodeId,
        generation: Generation,
    },
    /// Asks the receiver to ping a third member.
    PingFor {
        nonce: u32,
        target: NodeId,
    },
    /// A claim about a member that the receiver forwards if it is new.
    Record(Record),
    /// A claim about a member for the receiver alone.
    State(Record),
    Item(ItemMessage),
    /// Hashes by data centre, sent when the digest of a ping differs.
    Centres(Vec<(CentreId, u32)>),
    /// Hashes by member of a data centre, sent when the data centre's hash differs.
    Origins(CentreId, Vec<(NodeId, u32)>),
    /// Asks for all that the receiver knows of these members.
    Want(Vec<NodeId>),
}

/// Builds a datagram section by section.
#[derive(Clone, Debug)]
pub(crate) struct DatagramBuilder {
    bytes: Vec<u8>,
    header_len: usize,
}

impl DatagramBuilder {
    pub fn new(header: &Header) -> Self {
        let bytes = postcard::to_stdvec(header).unwrap_or_default();
        let header_len = bytes.len();
        Self { bytes, header_len }
    }

    /// Adds a section. Returns false if it does not fit.
    pub fn add(&mut self, section: &Section) -> bool {
        let Ok(encoded) = postcard::to_stdvec(section) else {
            return false;
        };
        if MAX_DATAGRAM_BYTES < self.bytes.len() + encoded.len() {
            return false;
        }
        self.bytes.extend(encoded);
        true
    }

    /// Moves sections from the front as long as they fit. One that does not fit
    /// even alone is dropped.
    pub fn add_from(&mut self, sections: &mut Vec<Section>) {
        let mut added = 0;
        for section in sections.iter() {
            let is_empty = self.bytes.len() == self.header_len;
            if !self.add(section) && !is_empty {
                break;
            }
            added += 1;
        }
        sections.drain(..added);
    }

    pub fn into_bytes(self) -> Vec<u8> {
        self.bytes
    }
}

/// Reads a datagram. Returns `None` if any part of it is malformed.
pub(crate) fn decode(bytes: &[u8]) -> Option<(Header, Vec<Section>)> {
    if MAX_DATAGRAM_BYTES < bytes.len() {
        return None;
    }
    let (header, mut rest) = postcard::take_from_bytes(bytes).ok()?;
    let mut sections = Vec::new();
    while !rest.is_empty() {
        let (section, remaining) = postcard::take_from_bytes(rest).ok()?;
        sections.push(section);
        rest = remaining;
    }
    Some((header, sections))
}
