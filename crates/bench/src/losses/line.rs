//! One line of a deployment's log.

use std::collections::BTreeMap;

/// A numbered event with its fields.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine<'a> {
    /// When it was written, in seconds. The zero is any, but the same in all lines of a file.
    pub at: f64,
    /// The number of the event.
    pub number: u16,
    /// Its fields by name.
    pub fields: BTreeMap<&'a str, &'a str>,
}

impl<'a> LogLine<'a> {
    /// Reads a line such as `[2026-08-01T16:18:22Z INFO  berylbay] [2500] answered id=7 ...`.
    /// A number of seconds may stand before it, and takes precedence over the time of day.
    /// None for what is not an event.
    pub fn parse(line: &'a str) -> Option<Self> {
        let (head, event) = line.split_once("berylbay] [")?;
        let (number, text) = event.split_once(']')?;
        let (before, stamp) = head.split_once('[')?;
        let seconds = before.split_whitespace().next();
        let at = match seconds.and_then(|secs| secs.parse().ok()) {
            Some(secs) => secs,
            None => time_of_day(stamp)?,
        };
        Some(Self {
            at,
            number: number.parse().ok()?,
            fields: fields(text),
        })
    }

    /// A field's text without quotes.
    pub fn field(&self, name: &str) -> Option<&'a str> {
        self.fields.get(name).copied()
    }

    /// A field's number.
    pub fn number_of<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        self.field(name)?.parse().ok()
    }
}

/// Seconds since midnight of a time stamp such as `2026-08-01T16:18:22Z`.
fn time_of_day(stamp: &str) -> Option<f64> {
    let (_, time) = stamp.split_once('T')?;
    let (time, _) = time.split_once('Z')?;
    let mut parts = time.split(':').map(str::parse::<f64>);
    let (hours, minutes, seconds) = (parts.next()?, parts.next()?, parts.next()?);
    Some(hours.ok()? * 3_600.0 + minutes.ok()? * 60.0 + seconds.ok()?)
}

/// The fields of an event's text: `name=value`, `name="a quoted value"` or `name: value`.
fn fields(text: &str) -> BTreeMap<&str, &str> {
    let mut fields = BTreeMap::new();
    let mut rest = text;
    while let Some(at) = rest.find(['=', ':']) {
        let (before, after) = rest.split_at(at);
        let name = before.rsplit([' ', '{', ',']).next().unwrap_or(before);
        let after = after[1..].trim_start();
        let (value, left) = match after.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => after.split_at(after.find([' ', ',']).unwrap_or(after.len())),
        };
        fields.insert(name, value);
        rest = left;
    }
    fields
}
