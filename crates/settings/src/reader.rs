//! Reads typed values from TOML tables and collects findings about them.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::ops::Range;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use toml_edit::Item;
use toml_edit::TableLike;

use base::ByteSize;
use base::Findings;
use base::SourceLocation;

/// The text of a settings file, and the findings in it so far.
#[derive(Debug)]
pub(crate) struct Reader<'a> {
    pub(crate) file: &'a Path,
    pub(crate) text: &'a str,
    pub(crate) findings: RefCell<Findings>,
}

/// Reads the values of one table.
pub(crate) struct Section<'a> {
    reader: &'a Reader<'a>,
    table: Option<&'a dyn TableLike>,
    path: String,
    /// Byte offset in the text.
    start: usize,
    /// The keys that were read or looked for.
    known_keys: BTreeSet<&'static str>,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(file: &'a Path, text: &'a str) -> Self {
        Self {
            file,
            text,
            findings: RefCell::default(),
        }
    }

    pub(crate) fn add_finding(&self, offset: usize, key: &str, problem: impl Display) {
        let location = SourceLocation::from_offset(self.file, self.text, offset);
        self.findings.borrow_mut().push(location, key, problem);
    }

    /// Starts to read a table. Reports an item that is not one.
    pub(crate) fn section(&'a self, item: Option<&'a Item>, path: &str) -> Section<'a> {
        let table = item.and_then(Item::as_table_like);
        let start = item.and_then(Item::span).map_or(0, |span| span.start);
        if item.is_some() && table.is_none() {
            self.add_finding(start, path, "must be a table");
        }
        Section {
            reader: self,
            table,
            path: path.to_owned(),
            start,
            known_keys: BTreeSet::new(),
        }
    }
}

impl<'a> Section<'a> {
    /// Whether the table is present in the text.
    pub(crate) fn is_present(&self) -> bool {
        self.table.is_some()
    }

    /// The byte offset of the table in the text.
    pub(crate) fn start(&self) -> usize {
        self.start
    }

    /// Adds a finding about a key of this table.
    pub(crate) fn add_finding(&self, key: &str, problem: impl Display) {
        let offset = self.span(key).map_or(self.start, |span| span.start);
        self.reader.add_finding(offset, &self.key(key), problem);
    }

    /// Parses a value from a string and reports it if it is missing.
    pub(crate) fn required<Value>(&mut self, key: &'static str) -> Option<Value>
    where
        Value: FromStr,
        Value::Err: Display,
    {
        let value = self.optional(key);
        if self.item(key).is_none() {
            self.add_finding(key, "is missing");
        }
        value
    }

    /// Parses a value from a string, if it is present.
    pub(crate) fn optional<Value>(&mut self, key: &'static str) -> Option<Value>
    where
        Value: FromStr,
        Value::Err: Display,
    {
        self.known_keys.insert(key);
        let Some(text) = self.item(key)?.as_str() else {
            self.add_finding(key, "must be a string");
            return None;
        };
        match text.parse() {
            Ok(value) => Some(value),
            Err(e) => {
                self.add_finding(key, format_args!("cannot read \"{text}\": {e}"));
                None
            }
        }
    }

    /// Reads true or false. A value that is not present counts as false.
    pub(crate) fn flag(&mut self, key: &'static str) -> bool {
        self.known_keys.insert(key);
        let Some(item) = self.item(key) else {
            return false;
        };
        item.as_bool().unwrap_or_else(|| {
            self.add_finding(key, "must be true or false");
            false
        })
    }

    /// Reads a positive integer.
    pub(crate) fn count(&mut self, key: &'static str, default: usize) -> usize {
        self.known_keys.insert(key);
        let Some(item) = self.item(key) else {
            return default;
        };
        let number = item.as_integer().and_then(|n| usize::try_from(n).ok());
        number.filter(|n| 0 < *n).unwrap_or_else(|| {
            self.add_finding(key, "must be a whole number from 1");
            default
        })
    }

    /// Reads a positive number of bytes.
    pub(crate) fn bytes(&mut self, key: &'static str, default: ByteSize) -> ByteSize {
        let default = usize::try_from(default.0).unwrap_or(usize::MAX);
        ByteSize(self.count(key, default) as u64)
    }

    /// Reads a duration such as `"250ms"` or `"10s"`.
    pub(crate) fn duration(&mut self, key: &'static str, default: Duration) -> Duration {
        self.known_keys.insert(key);
        let Some(item) = self.item(key) else {
            return default;
        };
        item.as_str().and_then(parse_duration).unwrap_or_else(|| {
            self.add_finding(key, "must be a time such as \"250ms\" or \"10s\"");
            default
        })
    }

    /// Reports the keys that were never read or looked for.
    pub(crate) fn finish(&self) {
        let Some(table) = self.table else {
            return;
        };
        let known: Vec<_> = self.known_keys.iter().copied().collect();
        let known = known.join(", ");
        for (key, _) in table.iter() {
            if !self.known_keys.contains(key) {
                self.add_finding(key, format_args!("is not a known key; known are {known}"));
            }
        }
    }

    fn item(&self, key: &str) -> Option<&'a Item> {
        self.table.and_then(|table| table.get(key))
    }

    fn span(&self, key: &str) -> Option<Range<usize>> {
        let (key, item) = self.table?.get_key_value(key)?;
        key.span().or_else(|| item.span())
    }

    fn key(&self, key: &str) -> String {
        format!("{}.{key}", self.path)
    }
}

fn parse_duration(text: &str) -> Option<Duration> {
    let (digits, unit) = text.split_at(text.find(|c: char| !c.is_ascii_digit())?);
    let number: u64 = digits.parse().ok()?;
    let duration = match unit {
        "ms" => Duration::from_millis(number),
        "s" => Duration::from_secs(number),
        _ => return None,
    };
    (!duration.is_zero()).then_some(duration)
}
