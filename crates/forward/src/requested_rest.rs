//! How long an upstream wants to rest, as the head of an answer says it.

use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

/// The longest rest that is kept at once. An upstream that wants more says so again when the first
/// request after it arrives.
const MAX_REST: Duration = Duration::from_secs(600);

/// The status with which an upstream turns a request away and may ask for rest.
const TURNED_AWAY: u16 = 503;

/// A rest that an upstream asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestedRest(Duration);

/// Why a value of the header names no rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum RestError {
    /// It is neither a number of seconds nor a date.
    #[display("it is neither a number of seconds nor a date")]
    NotATime,
    /// It is a date, and the answer doesn't say what time it is for the upstream.
    #[display("it is a date, and the answer has none of its own to compare it with")]
    DateWithoutClock,
}

impl RequestedRest {
    /// A rest of this length, or the longest that is kept.
    pub fn new(length: Duration) -> Self {
        Self(length.min(MAX_REST))
    }

    /// The rest that an answer with this status asks for. Of several values the longest counts.
    /// `sent_at` is the answer's own date.
    pub fn of_answer<'a>(
        status: u16,
        values: impl IntoIterator<Item = &'a [u8]>,
        sent_at: Option<&[u8]>,
    ) -> Result<Option<Self>, RestError> {
        if status != TURNED_AWAY {
            return Ok(None);
        }
        let mut longest = Ok(None);
        for value in values {
            match (Self::parse(value, sent_at), &longest) {
                (Ok(rest), Ok(known)) => longest = Ok((*known).max(Some(rest))),
                (Ok(rest), Err(_)) => longest = Ok(Some(rest)),
                (Err(e), Ok(None)) => longest = Err(e),
                (Err(_), Ok(Some(_)) | Err(_)) => {}
            }
        }
        longest.map(|rest| rest.filter(|rest| !rest.0.is_zero()))
    }

    /// How long the rest is.
    pub fn length(self) -> Duration {
        self.0
    }

    fn parse(value: &[u8], sent_at: Option<&[u8]>) -> Result<Self, RestError> {
        let text = std::str::from_utf8(value).map_err(|_| RestError::NotATime)?;
        let text = text.trim();
        match text.bytes().all(|b| b.is_ascii_digit() || b == b'.') {
            true => Self::parse_secs(text),
            false => Self::parse_date(text, sent_at),
        }
    }

    fn parse_secs(text: &str) -> Result<Self, RestError> {
        let secs: f64 = text.parse().map_err(|_| RestError::NotATime)?;
        let secs = secs.min(MAX_REST.as_secs_f64());
        Ok(Self::new(Duration::from_secs_f64(secs)))
    }

    /// A date counts from the answer's own, because clocks of different machines differ.
    fn parse_date(text: &str, sent_at: Option<&[u8]>) -> Result<Self, RestError> {
        let until = httpdate::parse_http_date(text).map_err(|_| RestError::NotATime)?;
        let sent_at = sent_at.and_then(|value| std::str::from_utf8(value).ok());
        let sent_at = sent_at.and_then(|text| httpdate::parse_http_date(text.trim()).ok());
        let sent_at = sent_at.ok_or(RestError::DateWithoutClock)?;
        let length = until.duration_since(sent_at);
        Ok(Self::new(length.unwrap_or_default()))
    }
}
