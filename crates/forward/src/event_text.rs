//! What the text of one event says, and whether it has the form of an event.
//!
//! What stands in a field or a comment is opaque: an upstream may quote anything there, also the head
//! of an answer. Only the form of the lines around it says whether bytes are one event. So an event
//! that was cut, and that a bare status line without any field follows, is taken for an event whose
//! text ends with that line: the bytes are the same. A server's answer has fields, and texts about
//! HTTP are common, so callers lose less that way.

/// The bytes of one event, with the empty line that ends it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EventText<'a>(pub &'a [u8]);

/// How the lines of an event end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LineEnd {
    LineFeed,
    CarriageReturnAndLineFeed,
}

/// What the `id` field of an event says.
pub(crate) enum EventNumber {
    Number(u64),
    /// There is no such field.
    Missing,
    /// It is no number.
    Unreadable,
}

/// What a line of an event is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Line {
    /// An empty line, or a comment.
    Padding,
    /// The field `id`.
    Number,
    /// Another field that the format knows.
    Field,
    /// A field of the upstream's own. Names of fields have small letters, most of those of an
    /// answer's head have not, and its first line has no name.
    Extension,
    /// Anything else.
    NoField,
}

impl<'a> EventText<'a> {
    pub fn number(self) -> EventNumber {
        let Some(id) = self.lines().find_map(|line| line.strip_prefix(b"id:")) else {
            return EventNumber::Missing;
        };
        let text = std::str::from_utf8(id).ok();
        let number = text.and_then(|text| text.trim().parse().ok());
        number.map_or(EventNumber::Unreadable, EventNumber::Number)
    }

    /// Whether there is more than comments and empty lines, which are no progress of an answer.
    pub fn is_output(self) -> bool {
        self.lines().any(|line| Line::of(line) != Line::Padding)
    }

    /// Whether there is data.
    pub fn has_data(self) -> bool {
        self.lines().any(|line| line.starts_with(b"data"))
    }

    pub fn line_end(self) -> LineEnd {
        match self.0.ends_with(b"\r\n") {
            true => LineEnd::CarriageReturnAndLineFeed,
            false => LineEnd::LineFeed,
        }
    }

    /// Whether the bytes have the form of an event: lines that all end the same way, and that are
    /// comments or fields.
    pub fn is_event(self) -> bool {
        let has_returns = self.0.ends_with(b"\r\n");
        let mut ends = self.0.split_inclusive(|byte| *byte == b'\n');
        ends.all(|line| line.ends_with(b"\r\n") == has_returns)
            && self.lines().all(|line| Line::of(line) != Line::NoField)
    }

    /// Whether the bytes have the form of an event to the letter, so that no head of an answer
    /// with at least one field can be a part of them: an upstream's own fields come first and others
    /// follow, there is one number at most and data with it, and carriage returns stand at the ends of lines only.
    pub fn is_uncut_event(self) -> bool {
        let lines: Vec<Line> = self.lines().map(Line::of).collect();
        let lines = lines.into_iter().filter(|line| *line != Line::Padding);
        let mut fields = lines.skip_while(|line| *line == Line::Extension).peekable();
        let has_fields = fields.peek().is_some();
        let (mut numbers, mut extensions) = (0, 0);
        for field in fields {
            numbers += usize::from(field == Line::Number);
            extensions += usize::from(field == Line::Extension);
        }
        let is_numbered_once = numbers == 0 || (numbers == 1 && self.has_data());
        let has_returns_within = self.lines().any(|line| line.contains(&b'\r'));
        self.is_event() && has_fields && is_numbered_once && extensions == 0 && !has_returns_within
    }

    /// The lines without their ends.
    fn lines(self) -> impl Iterator<Item = &'a [u8]> {
        let lines = self.0.split(|byte| *byte == b'\n');
        lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line))
    }
}

impl Line {
    fn of(line: &[u8]) -> Self {
        let colon = line.iter().position(|byte| *byte == b':');
        let name = &line[..colon.unwrap_or(line.len())];
        let is_own_name = |byte: &u8| byte.is_ascii_lowercase() || *byte == b'-';
        match (name, colon) {
            (b"", _) => Self::Padding,
            (b"id", _) => Self::Number,
            (b"data" | b"event" | b"retry", _) => Self::Field,
            (_, Some(_)) if name.iter().all(is_own_name) => Self::Extension,
            (_, Some(_) | None) => Self::NoField,
        }
    }
}
