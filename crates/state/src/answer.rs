//! The answers of services, as the ledger stores them for resends.

use serde::Deserialize;
use serde::Serialize;

/// The body of a stored answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredBody {
    /// The complete body.
    Kept(Box<[u8]>),
    /// The body was too large to store.
    Dropped {
        /// The size of the body.
        bytes: u64,
    },
}

/// The answer of a service, as the ledger stores it and gives it to a resend.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The HTTP status code.
    pub status: u16,
    /// The `content-type` header, empty if there was none.
    pub content_type: Box<str>,
    /// The body.
    pub body: StoredBody,
}

impl StoredAnswer {
    /// Creates an answer with its complete body.
    pub fn new(status: u16, content_type: &str, body: impl Into<Box<[u8]>>) -> Self {
        Self {
            status,
            content_type: content_type.into(),
            body: StoredBody::Kept(body.into()),
        }
    }

    /// The size of the body and the content type in bytes.
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
            content_type: self
                .content_type
                .chars()
                .take(MAX_CONTENT_TYPE_CHARS)
                .collect(),
            body: StoredBody::Dropped { bytes },
        }
    }
}

/// The length to which a content type is cut when the body is dropped.
const MAX_CONTENT_TYPE_CHARS: usize = 64;
