//! Errors in text files that people write: each with its location, reported together.

use std::fmt;
use std::path::PathBuf;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

/// A location in a text file.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("{}:{line}:{column}", file.display())]
pub struct SourceLocation {
    /// The file's path, as it was given to the reader.
    pub file: PathBuf,
    /// The line, counted from one.
    pub line: u32,
    /// The column in characters, counted from one.
    pub column: u32,
}

impl SourceLocation {
    /// The location of a byte offset in a text.
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

/// An error in a text file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{place}: {key}: {what}")]
pub struct Finding {
    /// The location of the error.
    pub place: SourceLocation,
    /// The key that is wrong, with the names of its tables, separated by dots.
    pub key: String,
    /// What is wrong, with all details.
    pub what: String,
}

/// All findings of one check, in the order of their locations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Error, Serialize, Deserialize)]
pub struct Findings {
    /// The findings.
    pub list: Vec<Finding>,
}

impl Findings {
    /// Adds a finding.
    pub fn push(&mut self, place: SourceLocation, key: impl Into<String>, what: impl fmt::Display) {
        self.list.push(Finding {
            place,
            key: key.into(),
            what: what.to_string(),
        });
    }

    /// Returns the value if there are no findings, else all findings sorted by location.
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
