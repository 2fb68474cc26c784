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
pub const UNPACKED_BYTES: usize = 12 * 1024 * 1024;

/// A compressed text: deflate (RFC 1951) in base64 (RFC 4648).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packed(Rc<str>);

/// Why a packed text cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum Unpackable {
    /// It is no base64.
    #[display("the packed text is no base64")]
    Letters,
    /// It is not compressed as it should be, or is no UTF-8.
    #[display("the packed text is damaged")]
    Damaged,
    /// It is longer than [`UNPACKED_BYTES`].
    #[display("the text is longer than {UNPACKED_BYTES} bytes")]
    TooLong,
}

impl Packed {
    /// Packs a text.
    pub fn of(text: &str) -> Self {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        let written = encoder.write_all(text.as_bytes());
        let bytes = written.and_then(|()| encoder.finish());
        let bytes = bytes.expect("memory takes all that is written");
        Self(STANDARD.encode(bytes).into())
    }

    /// The text.
    pub fn open(&self) -> Result<String, Unpackable> {
        let bytes = STANDARD.decode(self.0.as_ref());
        let bytes = bytes.map_err(|_| Unpackable::Letters)?;
        let most = UNPACKED_BYTES as u64;
        let mut text = String::new();
        let mut decoder = DeflateDecoder::new(bytes.as_slice()).take(most + 1);
        let read = decoder.read_to_string(&mut text);
        let read = read.map_err(|_| Unpackable::Damaged)?;
        match read <= UNPACKED_BYTES {
            true => Ok(text),
            false => Err(Unpackable::TooLong),
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
