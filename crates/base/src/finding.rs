//! Findings about a text that people write: each with its place, reported together.

use std::fmt;
use std::path::PathBuf;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

/// Where in a file something was found. Lines and columns count from one.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("{}:{line}:{column}", file.display())]
pub struct SourceLocation {
    /// The file, as the reader named it.
    pub file: PathBuf,
    /// Line, from one.
    pub line: u32,
    /// Column in characters, from one.
    pub column: u32,
}

impl SourceLocation {
    /// The place of a byte offset in a text.
    pub fn from_offset(file: impl Into<PathBuf>, text: &str, offset: usize) -> Self {
        let mut end = offset.min(text.len());
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        let before = &text[..end];
        let line_start = before.rfind('\n').map_or(0, |at| at + 1);
        Self {
            file: file.into(),
            line: 1 + before.bytes().filter(|b| *b == b'\n').count() as u32,
            column: 1 + before[line_start..].chars().count() as u32,
        }
    }
}

/// One thing that is wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{place}: {key}: {what}")]
pub struct Finding {
    /// Where it stands.
    pub place: SourceLocation,
    /// The key that it concerns, dotted.
    pub key: String,
    /// What is wrong, in full.
    pub what: String,
}

/// All findings of one check, in the order of their places.
#[derive(Clone, Debug, Default, PartialEq, Eq, Error, Serialize, Deserialize)]
pub struct Findings {
    /// The findings.
    pub list: Vec<Finding>,
}

impl Findings {
    /// Adds one finding.
    pub fn push(&mut self, place: SourceLocation, key: impl Into<String>, what: impl fmt::Display) {
        self.list.push(Finding {
            place,
            key: key.into(),
            what: what.to_string(),
        });
    }

    /// The value if nothing was found, else all findings sorted by place.
    pub fn into_result<Value>(mut self, value: Value) -> Result<Value, Self> {
        if self.list.is_empty() {
            return Ok(value);
        }
        self.list.sort();
        Err(self)
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.list.iter().enumerate() {
            if 0 < i {
                f.write_str("\n")?;
            }
            finding.fmt(f)?;
        }
        Ok(())
    }
}
