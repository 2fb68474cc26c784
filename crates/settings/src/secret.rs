//! Secrets that processes name themselves by. They never show in logs.

use std::fmt;

use derive_more::Display;

/// The shortest secret in bytes.
pub(crate) const MIN_SECRET_BYTES: usize = 16;

/// A secret from a file, without the white space around it.
#[derive(Clone, Display, PartialEq, Eq)]
#[display("<secret>")]
pub struct Secret(String);

/// The secrets that the three kinds of processes name themselves by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Secrets {
    /// Of the system's own nodes.
    pub peers: Secret,
    /// Of hosts and services.
    pub upstreams: Secret,
    /// Of the operators' tool.
    pub operators: Secret,
}

impl Secret {
    /// Takes the content of a secret file, if it is long enough.
    pub fn from_text(text: &str) -> Option<Self> {
        let text = text.trim();
        (MIN_SECRET_BYTES <= text.len()).then(|| Self(text.to_owned()))
    }

    /// The secret itself.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Whether `given` is this secret, in a time that does not tell where they differ.
    pub fn matches(&self, given: &str) -> bool {
        let same_len = self.0.len() == given.len();
        let pairs = self.0.bytes().zip(given.bytes());
        let differing = pairs.fold(0, |sum, (a, b)| sum | (a ^ b));
        same_len && differing == 0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("<secret>")
    }
}
