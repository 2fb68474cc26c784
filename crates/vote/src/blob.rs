//! Shared byte strings.

use std::fmt;
use std::ops::Deref;
use std::sync::Arc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;

/// The bytes of a command or a state. Clones share the memory. Text formats carry
/// the bytes as base64.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Blob(Arc<[u8]>);

impl From<Vec<u8>> for Blob {
    fn from(bytes: Vec<u8>) -> Self {
        Self(bytes.into())
    }
}

impl From<&[u8]> for Blob {
    fn from(bytes: &[u8]) -> Self {
        Self(bytes.into())
    }
}

impl Deref for Blob {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for Blob {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Blob({} bytes)", self.0.len())
    }
}

impl Serialize for Blob {
    fn serialize<Format: Serializer>(&self, format: Format) -> Result<Format::Ok, Format::Error> {
        if format.is_human_readable() {
            format.serialize_str(&STANDARD_NO_PAD.encode(&self.0))
        } else {
            format.serialize_bytes(&self.0)
        }
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<Format: Deserializer<'de>>(format: Format) -> Result<Self, Format::Error> {
        if format.is_human_readable() {
            let text = String::deserialize(format)?;
            let bytes = STANDARD_NO_PAD
                .decode(text)
                .map_err(Format::Error::custom)?;
            return Ok(bytes.into());
        }
        // Binary formats write byte strings in the same way as lists of `u8`.
        Vec::<u8>::deserialize(format).map(Self::from)
    }
}
