//! Secrets by which processes authenticate. They are never written to logs.

use std::fmt;

use derive_more::Display;

/// The length of the shortest secret that is accepted, in bytes.
pub(crate) const MIN_SECRET_BYTES: usize = 16;

/// A secret from a file, without leading and trailing white space.
#[derive(Clone, Display, PartialEq, Eq)]
#[display("<secret>")]
pub struct Secret(String);

/// The secrets by which the three kinds of processes authenticate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Secrets {
    /// The secret of the system's own nodes.
    pub peers: Secret,
    /// The secret of hosts and services.
    pub upstreams: Secret,
    /// The secret of the operators' tool.
    pub operators: Secret,
}

impl Secret {
    /// Reads a secret from the content of its file, if it is long enough.
    pub fn from_text(text: &str) -> Option<Self> {
        let text = text.trim();
        (MIN_SECRET_BYTES <= text.len()).then(|| Self(text.to_owned()))
    }

    /// The secret as plain text.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Whether `candidate` is this secret, in a time that does not tell where they differ.
    pub fn matches(&self, candidate: &str) -> bool {
        let is_same_length = self.0.len() == candidate.len();
        let pairs = self.0.bytes().zip(candidate.bytes());
        let differing_bits = pairs.fold(0, |sum, (a, b)| sum | (a ^ b));
        is_same_length && differing_bits == 0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("<secret>")
    }
}
