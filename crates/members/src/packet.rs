//! What goes in one datagram: a header and as many sections as fit.

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
    /// The version in force at the sender.
    pub version: Version,
    /// The largest version it heard of.
    pub newest: Version,
}

/// One part of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Section {
    /// Asks for an [`Section::Ack`].
    Ping {
        nonce: u32,
        /// The hash of all the sender knows that the receiver should know too.
        digest: u32,
    },
    /// Answers a ping, the sender's own or one that a third member asked for.
    Ack {
        nonce: u32,
        of: NodeId,
        generation: Generation,
    },
    /// Asks the receiver to ping a third member.
    PingFor { nonce: u32, target: NodeId },
    /// A claim about a member, to be passed on.
    Record(Record),
    /// A claim about a member that the receiver lacked.
    State(Record),
    /// An item.
    Item(ItemMessage),
    /// Hashes by data centre, sent when digests differ.
    Centres(Vec<(CentreId, u32)>),
    /// Hashes by member of one data centre, sent when its hashes differ.
    Origins(CentreId, Vec<(NodeId, u32)>),
    /// Asks for all that is known of these members.
    Want(Vec<NodeId>),
}

/// A datagram that grows section by section.
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

    /// Adds a section, unless it does not fit any more.
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

    /// Adds sections from the front as long as they fit. One that would not fit
    /// even alone is dropped.
    pub fn add_from(&mut self, sections: &mut Vec<Section>) {
        let mut taken = 0;
        for section in sections.iter() {
            let is_empty = self.bytes.len() == self.header_len;
            if !self.add(section) && !is_empty {
                break;
            }
            taken += 1;
        }
        sections.drain(..taken);
    }

    pub fn into_bytes(self) -> Vec<u8> {
        self.bytes
    }
}

/// Reads a datagram. Nothing of one that is malformed is used.
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
