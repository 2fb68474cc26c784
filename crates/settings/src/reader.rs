//! Reads typed values out of TOML tables and collects what is wrong with them.

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

/// The text that is read, and what was found in it.
#[derive(Debug)]
pub(crate) struct Reader<'a> {
    pub(crate) file: &'a Path,
    pub(crate) text: &'a str,
    pub(crate) findings: RefCell<Findings>,
}

/// One table of the text.
pub(crate) struct Section<'a> {
    reader: &'a Reader<'a>,
    table: Option<&'a dyn TableLike>,
    path: String,
    start: usize,
    taken: BTreeSet<&'static str>,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(file: &'a Path, text: &'a str) -> Self {
        Self {
            file,
            text,
            findings: RefCell::default(),
        }
    }

    pub(crate) fn find(&self, offset: usize, key: &str, what: impl Display) {
        let place = SourceLocation::from_offset(self.file, self.text, offset);
        self.findings.borrow_mut().push(place, key, what);
    }

    /// The section that an item is, or an empty one with a finding.
    pub(crate) fn section(&'a self, item: Option<&'a Item>, path: &str) -> Section<'a> {
        let table = item.and_then(Item::as_table_like);
        let start = item.and_then(Item::span).map_or(0, |span| span.start);
        if item.is_some() && table.is_none() {
            self.find(start, path, "must be a table");
        }
        Section {
            reader: self,
            table,
            path: path.to_owned(),
            start,
            taken: BTreeSet::new(),
        }
    }
}

impl<'a> Section<'a> {
    /// Whether the table stands in the text.
    pub(crate) fn is_present(&self) -> bool {
        self.table.is_some()
    }

    /// Where the table starts.
    pub(crate) fn start(&self) -> usize {
        self.start
    }

    /// Adds a finding about a key of this table.
    pub(crate) fn find(&self, key: &str, what: impl Display) {
        let offset = self.span(key).map_or(self.start, |span| span.start);
        self.reader.find(offset, &self.key(key), what);
    }

    /// A value that must be there, read from its text.
    pub(crate) fn required<Value>(&mut self, key: &'static str) -> Option<Value>
    where
        Value: FromStr,
        Value::Err: Display,
    {
        let value = self.optional(key);
        if self.item(key).is_none() {
            self.find(key, "is missing");
        }
        value
    }

    /// A value that may be there, read from its text.
    pub(crate) fn optional<Value>(&mut self, key: &'static str) -> Option<Value>
    where
        Value: FromStr,
        Value::Err: Display,
    {
        self.taken.insert(key);
        let Some(text) = self.item(key)?.as_str() else {
            self.find(key, "must be a string");
            return None;
        };
        match text.parse() {
            Ok(value) => Some(value),
            Err(e) => {
                self.find(key, format_args!("cannot read \"{text}\": {e}"));
                None
            }
        }
    }

    /// True or false, false if it is not there.
    pub(crate) fn flag(&mut self, key: &'static str) -> bool {
        self.taken.insert(key);
        let Some(item) = self.item(key) else {
            return false;
        };
        item.as_bool().unwrap_or_else(|| {
            self.find(key, "must be true or false");
            false
        })
    }

    /// A positive whole number.
    pub(crate) fn count(&mut self, key: &'static str, default: usize) -> usize {
        self.taken.insert(key);
        let Some(item) = self.item(key) else {
            return default;
        };
        let number = item.as_integer().and_then(|n| usize::try_from(n).ok());
        number.filter(|n| 0 < *n).unwrap_or_else(|| {
            self.find(key, "must be a whole number from 1");
            default
        })
    }

    /// A positive number of bytes.
    pub(crate) fn bytes(&mut self, key: &'static str, default: ByteSize) -> ByteSize {
        let default = usize::try_from(default.0).unwrap_or(usize::MAX);
        ByteSize(self.count(key, default) as u64)
    }

    /// A span of time such as `"250ms"` or `"10s"`.
    pub(crate) fn span_of_time(&mut self, key: &'static str, default: Duration) -> Duration {
        self.taken.insert(key);
        let Some(item) = self.item(key) else {
            return default;
        };
        item.as_str().and_then(parse_span).unwrap_or_else(|| {
            self.find(key, "must be a time such as \"250ms\" or \"10s\"");
            default
        })
    }

    /// Finds the keys that nobody asked for.
    pub(crate) fn finish(&self) {
        let Some(table) = self.table else {
            return;
        };
        let known: Vec<_> = self.taken.iter().copied().collect();
        let known = known.join(", ");
        for (key, _) in table.iter() {
            if !self.taken.contains(key) {
                self.find(key, format_args!("is not a known key; known are {known}"));
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

fn parse_span(text: &str) -> Option<Duration> {
    let (digits, unit) = text.split_at(text.find(|c: char| !c.is_ascii_digit())?);
    let number: u64 = digits.parse().ok()?;
    let span = match unit {
        "ms" => Duration::from_millis(number),
        "s" => Duration::from_secs(number),
        _ => return None,
    };
    (!span.is_zero()).then_some(span)
}
