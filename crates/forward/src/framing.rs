//! What tells where an answer ends, and whether it may have ended before its body.

/// What tells where the answer of a target ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Framing {
    /// A length, or chunks.
    #[default]
    Framed,
    /// The end of the connection. Whatever comes before it is part of the answer.
    UntilClose,
}

impl Framing {
    /// Whether an answer of this status and body length in bytes may have ended before its body.
    /// One with neither a length nor chunks ends with its connection, whatever ended that.
    pub fn may_lack_body(self, status: u16, body_len: usize) -> bool {
        let has_no_body = matches!(status, 204 | 304);
        body_len == 0 && !has_no_body && self == Self::UntilClose
    }
}
