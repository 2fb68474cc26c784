//! Authenticates datagrams between nodes by a truncated HMAC-SHA-256 tag.

use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;

use base::NodeId;

/// Bytes of a truncated tag.
const TAG_BYTES: usize = 16;

/// Bytes of the sender's id.
const ID_BYTES: usize = 4;

/// Bytes that signing adds to a datagram.
pub const OVERHEAD_BYTES: usize = TAG_BYTES + ID_BYTES;

/// Signs and verifies datagrams with the secret that all nodes share.
#[derive(Clone, Debug)]
pub struct DatagramAuth {
    mac: Hmac<Sha256>,
}

impl DatagramAuth {
    /// Creates it from the nodes' secret.
    pub fn open(secret: &str) -> Self {
        let mac = Hmac::new_from_slice(secret.as_bytes());
        Self {
            mac: mac.expect("a key may have any length"),
        }
    }

    /// Builds a datagram of the tag, the sender's id and the content.
    pub fn sign(&self, from: NodeId, bytes: &[u8]) -> Vec<u8> {
        let id = from.0.to_be_bytes();
        let mut datagram = self.tag(&id, bytes).to_vec();
        datagram.extend(id);
        datagram.extend(bytes);
        datagram
    }

    /// Returns the sender and the content of a datagram, if its tag is valid.
    pub fn verify<'a>(&self, datagram: &'a [u8]) -> Option<(NodeId, &'a [u8])> {
        let (tag, rest) = datagram.split_at_checked(TAG_BYTES)?;
        let (id, bytes) = rest.split_at_checked(ID_BYTES)?;
        let mut mac = self.mac.clone();
        mac.update(id);
        mac.update(bytes);
        mac.verify_truncated_left(tag).ok()?;
        let id = u32::from_be_bytes(id.try_into().ok()?);
        Some((NodeId(id), bytes))
    }

    fn tag(&self, id: &[u8], bytes: &[u8]) -> [u8; TAG_BYTES] {
        let mut mac = self.mac.clone();
        mac.update(id);
        mac.update(bytes);
        let whole = mac.finalize().into_bytes();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&whole[..TAG_BYTES]);
        tag
    }
}
