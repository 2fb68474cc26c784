//! Answers that are kept for resends.

use serde::Deserialize;
use serde::Serialize;

/// The body of a kept answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredBody {
    /// The whole body.
    Kept(Box<[u8]>),
    /// The body was too large to keep.
    Dropped {
        /// Its size.
        bytes: u64,
    },
}

/// The answer of a service, as it is given again to a resend.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type, empty if there was none.
    pub content_type: Box<str>,
    /// The body.
    pub body: StoredBody,
}

impl StoredAnswer {
    /// An answer with its whole body.
    pub fn new(status: u16, content_type: &str, body: impl Into<Box<[u8]>>) -> Self {
        Self {
            status,
            content_type: content_type.into(),
            body: StoredBody::Kept(body.into()),
        }
    }

    /// Bytes that it takes up.
    pub fn size_bytes(&self) -> usize {
        let body = match &self.body {
            StoredBody::Kept(body) => body.len(),
            StoredBody::Dropped { .. } => 0,
        };
        body + self.content_type.len()
    }

    /// The same answer without its body.
    pub fn without_body(&self) -> Self {
        let bytes = match &self.body {
            StoredBody::Kept(body) => body.len() as u64,
            StoredBody::Dropped { bytes } => *bytes,
        };
        Self {
            status: self.status,
            content_type: self.content_type.chars().take(MAX_TYPE_CHARS).collect(),
            body: StoredBody::Dropped { bytes },
        }
    }
}

/// Characters of a content type that are kept with a dropped body.
const MAX_TYPE_CHARS: usize = 64;
