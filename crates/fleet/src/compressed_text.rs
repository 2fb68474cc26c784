//! A text on its way between processes, compressed.
//!
//! A configuration names each route with the same fields, and goes to every process of a
//! deployment at once: compressed it is several times shorter.

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

/// The longest text in bytes that is unpacked.
pub const MAX_TEXT_BYTES: usize = 12 * 1024 * 1024;

/// A compressed text: deflate (RFC 1951) in base64 (RFC 4648).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompressedText(Rc<str>);

/// Why a packed text cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum DecompressError {
    /// It is no base64.
    #[display("the packed text is no base64")]
    InvalidBase64,
    /// It is not compressed as it should be, or is no UTF-8.
    #[display("the packed text is damaged")]
    Corrupt,
    /// It is longer than [`MAX_TEXT_BYTES`].
    #[display("the text is longer than {MAX_TEXT_BYTES} bytes")]
    TooLong,
}

impl CompressedText {
    /// Packs a text.
    pub fn compress(text: &str) -> Self {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        let written = encoder.write_all(text.as_bytes());
        let bytes = written.and_then(|()| encoder.finish());
        let bytes = bytes.expect("memory takes all that is written");
        Self(STANDARD.encode(bytes).into())
    }

    /// The text.
    pub fn decompress(&self) -> Result<String, DecompressError> {
        let bytes = STANDARD.decode(self.0.as_ref());
        let bytes = bytes.map_err(|_| DecompressError::InvalidBase64)?;
        let most = MAX_TEXT_BYTES as u64;
        let mut text = String::new();
        let mut decoder = DeflateDecoder::new(bytes.as_slice()).take(most + 1);
        let read = decoder.read_to_string(&mut text);
        let read = read.map_err(|_| DecompressError::Corrupt)?;
        match read <= MAX_TEXT_BYTES {
            true => Ok(text),
            false => Err(DecompressError::TooLong),
        }
    }

    /// How many bytes travel.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether nothing was packed.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
