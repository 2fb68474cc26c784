//! Collects the frames of a body in one buffer, whose size is charged before it grows.

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;

use crate::Charge;

/// The first size of a buffer, in bytes.
const MIN_BUFFER_BYTES: usize = 4 * 1024;

/// Collects the frames of a body. Frames are copied: each pins the buffer that it was read into,
/// which is much larger than a small frame.
#[derive(Debug)]
pub(crate) struct Collector {
    buf: Vec<u8>,
    /// None if nobody is charged.
    charge: Option<Charge>,
    limit: usize,
    /// The length of the body, if it is known.
    announced: Option<usize>,
}

/// Why a frame was not added.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub(crate) enum CollectError {
    /// The body has more bytes than allowed.
    #[display("the body is larger than {limit} bytes")]
    TooLarge {
        /// The largest size allowed, in bytes.
        limit: usize,
    },
    /// Other holdings take up the memory.
    #[display("other requests and answers take up the memory")]
    NoMemory,
}

impl Collector {
    /// Creates a collector of at most `limit` bytes for a body with this size, as far as it is
    /// known. A body that is announced with more is refused before any of it is read.
    pub fn new(
        charge: Option<Charge>,
        limit: usize,
        size: &http_body::SizeHint,
    ) -> Result<Self, CollectError> {
        let announced = size
            .exact()
            .map(|len| usize::try_from(len).unwrap_or(usize::MAX));
        if announced.is_some_and(|len| limit < len) {
            return Err(CollectError::TooLarge { limit });
        }
        Ok(Self {
            buf: Vec::new(),
            charge,
            limit,
            announced,
        })
    }

    /// Adds a frame.
    pub async fn push(&mut self, frame: &[u8]) -> Result<(), CollectError> {
        let len = self.buf.len() + frame.len();
        if self.limit < len {
            return Err(CollectError::TooLarge { limit: self.limit });
        }
        if self.buf.capacity() < len {
            self.grow_for(len).await?;
        }
        self.buf.extend_from_slice(frame);
        Ok(())
    }

    async fn grow_for(&mut self, len: usize) -> Result<(), CollectError> {
        let most = self.announced.unwrap_or(self.limit);
        let doubled = (2 * self.buf.capacity()).max(MIN_BUFFER_BYTES);
        let capacity = doubled.min(most).max(len);
        if let Some(charge) = &mut self.charge {
            let grown = charge.grow_to(capacity as u64).await;
            grown.map_err(|_| CollectError::NoMemory)?;
        }
        self.buf.reserve_exact(capacity - self.buf.len());
        Ok(())
    }

    /// The whole body. It is charged for until its last clone is dropped.
    pub fn finish(self) -> Bytes {
        match self.charge {
            Some(charge) if !self.buf.is_empty() => charge.cover(self.buf.into()),
            Some(_) | None => self.buf.into(),
        }
    }
}
