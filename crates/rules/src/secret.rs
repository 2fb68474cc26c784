//! Digests of bearer secrets. The rules file never holds a secret itself.

use std::fmt;
use std::str::FromStr;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

/// The text before the digits of a digest.
const PREFIX: &str = "sha256:";

/// The SHA-256 digest of a caller's bearer secret.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SecretDigest(pub [u8; 32]);

/// The error for a text that is not a [`SecretDigest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("a secret is written \"sha256:\" and 64 hexadecimal digits")]
pub struct ParseSecretError;

impl fmt::Display for SecretDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(PREFIX)?;
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for SecretDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for SecretDigest {
    type Err = ParseSecretError;

    fn from_str(text: &str) -> Result<Self, ParseSecretError> {
        let digits = text.strip_prefix(PREFIX).ok_or(ParseSecretError)?;
        if digits.len() != 64 || !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(ParseSecretError);
        }
        let mut digest = [0; 32];
        for (byte, pair) in digest.iter_mut().zip(digits.as_bytes().chunks(2)) {
            *byte = 16 * hex_value(pair[0]) + hex_value(pair[1]);
        }
        Ok(Self(digest))
    }
}

fn hex_value(digit: u8) -> u8 {
    match digit {
        b'0'..=b'9' => digit - b'0',
        _ => digit.to_ascii_lowercase() - b'a' + 10,
    }
}
