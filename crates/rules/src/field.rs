//! Reads the fields of one rule, collecting what is wrong with each.

use std::str::FromStr;

use toml_edit::Value;

use crate::line::Line;
use base::Findings;
use base::SourceLocation;

/// The fields of one rule while they are read.
pub(crate) struct Fields<'a> {
    line: &'a Line,
    findings: &'a mut Findings,
    known: Vec<&'static str>,
}

impl<'a> Fields<'a> {
    /// The fields of a line.
    pub(crate) fn of(line: &'a Line, findings: &'a mut Findings) -> Self {
        Self {
            line,
            findings,
            known: Vec::new(),
        }
    }

    /// The name that the rule defines.
    pub(crate) fn name<Name>(&mut self) -> Option<Name>
    where
        Name: FromStr<Err: ToString>,
    {
        match self.line.name.parse() {
            Ok(name) => Some(name),
            Err(error) => {
                let place = self.line.place.clone();
                self.findings
                    .push(place, self.line.key(), error.to_string());
                None
            }
        }
    }

    /// A field that must be there.
    pub(crate) fn required<Out>(
        &mut self,
        key: &'static str,
        read: impl FnOnce(&Value) -> Result<Out, String>,
    ) -> Option<Out> {
        if self.line.table.get(key).is_none() {
            self.known.push(key);
            let place = self.line.place.clone();
            let what = format!("\"{key}\" is missing");
            self.findings.push(place, self.key(key), what);
            return None;
        }
        self.read(key, read)
    }

    /// A field with a default. `None` only if what is there is wrong.
    pub(crate) fn optional<Out>(
        &mut self,
        key: &'static str,
        default: Out,
        read: impl FnOnce(&Value) -> Result<Out, String>,
    ) -> Option<Out> {
        if self.line.table.get(key).is_none() {
            self.known.push(key);
            return Some(default);
        }
        self.read(key, read)
    }

    /// A list of names, each with its place.
    pub(crate) fn names<Name>(&mut self, key: &'static str) -> Option<Vec<(Name, SourceLocation)>>
    where
        Name: FromStr<Err: ToString>,
    {
        let array = self.required(key, |value| {
            let array = value.as_array().cloned();
            array.ok_or_else(|| "a list of names such as [\"stall-7\"] is wanted".to_owned())
        })?;
        let mut names = Vec::new();
        for value in &array {
            let place = self.place_of(value);
            match text(value).and_then(|t| t.parse().map_err(|e: Name::Err| e.to_string())) {
                Ok(name) => names.push((name, place)),
                Err(what) => self.findings.push(place, self.key(key), what),
            }
        }
        (names.len() == array.len()).then_some(names)
    }

    /// Adds a finding about a field.
    pub(crate) fn wrong(&mut self, key: &'static str, what: impl ToString) {
        let place = match self.line.table.get(key) {
            Some(value) => self.place_of(value),
            None => self.line.place.clone(),
        };
        self.findings.push(place, self.key(key), what.to_string());
    }

    /// Adds a finding at a place within a field.
    pub(crate) fn wrong_at(
        &mut self,
        place: SourceLocation,
        key: &'static str,
        what: impl ToString,
    ) {
        self.findings.push(place, self.key(key), what.to_string());
    }

    /// Reports the fields that nobody asked for.
    pub(crate) fn finish(self) {
        for (key, _) in &self.line.table {
            if self.known.contains(&key) {
                continue;
            }
            let span = self.line.table.key(key).and_then(toml_edit::Key::span);
            let place = self.line.place_of(span.map_or(0, |span| span.start));
            let noun = self.line.section.noun();
            let known = self.known.join(", ");
            let what = format!("a {noun} has no \"{key}\"; it has {known}");
            self.findings.push(place, self.key(key), what);
        }
    }

    fn read<Out>(
        &mut self,
        key: &'static str,
        read: impl FnOnce(&Value) -> Result<Out, String>,
    ) -> Option<Out> {
        self.known.push(key);
        let value = self.line.table.get(key)?;
        match read(value) {
            Ok(out) => Some(out),
            Err(what) => {
                self.wrong(key, what);
                None
            }
        }
    }

    fn place_of(&self, value: &Value) -> SourceLocation {
        self.line
            .place_of(value.span().map_or(0, |span| span.start))
    }

    fn key(&self, key: &str) -> String {
        format!("{}.{key}", self.line.key())
    }
}

/// A text.
pub(crate) fn text(value: &Value) -> Result<&str, String> {
    let kind = value.type_name();
    value
        .as_str()
        .ok_or_else(|| format!("a text in quotes is wanted, this is a {kind}"))
}

/// A text that stands for something else.
pub(crate) fn parsed<Out>(value: &Value) -> Result<Out, String>
where
    Out: FromStr<Err: ToString>,
{
    text(value)?
        .parse()
        .map_err(|error: Out::Err| error.to_string())
}

/// `true` or `false`.
pub(crate) fn truth(value: &Value) -> Result<bool, String> {
    let kind = value.type_name();
    value
        .as_bool()
        .ok_or_else(|| format!("true or false is wanted, this is a {kind}"))
}

/// A whole number within a range.
pub(crate) fn count(value: &Value, low: u32, high: u32) -> Result<u32, String> {
    let kind = value.type_name();
    let number = value
        .as_integer()
        .ok_or_else(|| format!("a whole number is wanted, this is a {kind}"))?;
    u32::try_from(number)
        .ok()
        .filter(|n| (low..=high).contains(n))
        .ok_or_else(|| format!("{number} is not between {low} and {high}"))
}

/// A rate a second, above zero.
pub(crate) fn rate(value: &Value) -> Result<f64, String> {
    const MAX_RATE: f64 = 1e9;
    let kind = value.type_name();
    let whole = value.as_integer().map(|n| n as f64);
    let number = whole
        .or_else(|| value.as_float())
        .ok_or_else(|| format!("a number a second without quotes is wanted, this is a {kind}"))?;
    if number.is_finite() && 0.0 < number && number <= MAX_RATE {
        return Ok(number);
    }
    Err(format!(
        "{number} a second is not above 0 and up to {MAX_RATE}"
    ))
}
