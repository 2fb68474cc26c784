//! Compression of a text that is sent between processes.
//!
//! A configuration is sent to every process of a deployment at the same time. It repeats the
//! same field names for each route, so compression makes it several times shorter.

use std::io::Read;
use std::io::Write;
use std::rc::Rc;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use derive_more::Display;
use derive_more::Error;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Deserialize;
use serde::Serialize;

/// The longest text that is decompressed, in bytes.
pub const MAX_TEXT_BYTES: usize = 12 * 1024 * 1024;

/// A compressed text: deflate (RFC 1951) in base64 (RFC 4648).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompressedText(Rc<str>);

/// Why a compressed text cannot be decompressed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum DecompressError {
    /// The compressed text is not valid base64.
    #[display("the compressed text is not valid base64")]
    InvalidBase64,
    /// The compressed data is not valid deflate, or the text is not valid UTF-8.
    #[display("the compressed text is damaged")]
    Corrupt,
    /// The text is longer than [`MAX_TEXT_BYTES`].
    #[display("the text is longer than {MAX_TEXT_BYTES} bytes")]
    TooLong,
}

impl CompressedText {
    /// Compresses a text.
    pub fn compress(text: &str) -> Self {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        let written = encoder.write_all(text.as_bytes());
        let bytes = written.and_then(|()| encoder.finish());
        let bytes = bytes.expect("writes to memory do not fail");
        Self(STANDARD.encode(bytes).into())
    }

    /// Decompresses the text.
    pub fn decompress(&self) -> Result<String, DecompressError> {
        let bytes = STANDARD.decode(self.0.as_ref());
        let bytes = bytes.map_err(|_| DecompressError::InvalidBase64)?;
        let limit = MAX_TEXT_BYTES as u64;
        let mut text = String::new();
        let mut decoder = DeflateDecoder::new(bytes.as_slice()).take(limit + 1);
        let read = decoder.read_to_string(&mut text);
        let read = read.map_err(|_| DecompressError::Corrupt)?;
        match read <= MAX_TEXT_BYTES {
            true => Ok(text),
            false => Err(DecompressError::TooLong),
        }
    }

    /// The length of the compressed text, in bytes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether this is the default value, which holds no compressed text.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
