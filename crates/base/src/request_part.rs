//! What a request is known by: the shared parts of its prompt, and all of it.

use std::fmt;
use std::str::FromStr;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use serde::Deserialize;
use serde::Serialize;

use crate::Digest;
use crate::NameError;
use crate::OrgName;
use crate::PromptPartId;

/// Bytes of a digest that are kept.
const DIGEST_BYTES: usize = 16;

/// What the text of a digest begins with.
const DIGEST_PREFIX: &str = "request:";

/// A digest of all that makes two requests the same: the organisation, method, host, path with
/// query and body. It differs between organisations, so the requests of one speak against those
/// of no other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestDigest([u8; DIGEST_BYTES]);

/// What two requests have in common that are the same.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// The organisation that the request is made for, if its route asks for one.
    pub organisation: Option<&'a OrgName>,
    /// The method.
    pub method: &'a str,
    /// The host that the request names.
    pub host: &'a str,
    /// The path with its query.
    pub path: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

/// A part of a request by which it is known.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Display, From, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum RequestPart {
    /// A part of the prompt, which requests share. Its id doesn't begin like the text of a
    /// digest.
    Prompt(PromptPartId),
    /// All of the request. Only its repetitions share it.
    Whole(RequestDigest),
}

/// Why a text is no part of a request.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error, From)]
pub enum RequestPartError {
    /// The text is no prompt part's id.
    #[display("{_0}")]
    Prompt(NameError),
    /// The text begins like a digest, and isn't one.
    #[display("a digest is {DIGEST_PREFIX:?} and {} hexadecimal digits", 2 * DIGEST_BYTES)]
    Digest,
}

impl RequestDigest {
    /// The digest of a request.
    pub fn of(request: &RequestContent<'_>) -> Self {
        let organisation = request.organisation.map_or("", OrgName::as_str);
        let whole = Digest::of(&[
            organisation.as_bytes(),
            request.method.as_bytes(),
            request.host.as_bytes(),
            request.path.as_bytes(),
            request.body,
        ]);
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&whole.0[..DIGEST_BYTES]);
        Self(bytes)
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(DIGEST_PREFIX)?;
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for RequestDigest {
    type Err = RequestPartError;

    fn from_str(text: &str) -> Result<Self, RequestPartError> {
        let digits = text
            .strip_prefix(DIGEST_PREFIX)
            .filter(|digits| digits.len() == 2 * DIGEST_BYTES)
            .filter(|digits| digits.bytes().all(|byte| byte.is_ascii_hexdigit()))
            .ok_or(RequestPartError::Digest)?;
        let number = u128::from_str_radix(digits, 16).map_err(|_| RequestPartError::Digest)?;
        Ok(Self(number.to_be_bytes()))
    }
}

impl FromStr for RequestPart {
    type Err = RequestPartError;

    fn from_str(text: &str) -> Result<Self, RequestPartError> {
        match text.starts_with(DIGEST_PREFIX) {
            true => text.parse().map(Self::Whole),
            false => Ok(Self::Prompt(text.parse()?)),
        }
    }
}

impl TryFrom<String> for RequestPart {
    type Error = RequestPartError;

    fn try_from(text: String) -> Result<Self, RequestPartError> {
        text.parse()
    }
}

impl From<RequestPart> for String {
    fn from(part: RequestPart) -> Self {
        part.to_string()
    }
}
