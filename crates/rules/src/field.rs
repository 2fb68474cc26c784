//! Reads the fields of one rule and collects findings about them.

use std::str::FromStr;

use toml_edit::Value;

use crate::line::RuleLine;
use base::Findings;
use base::SourceLocation;

/// Reads the fields of one rule.
pub(crate) struct Fields<'a> {
    line: &'a RuleLine,
    findings: &'a mut Findings,
    /// The keys that were read or looked for.
    known_keys: Vec<&'static str>,
}

impl<'a> Fields<'a> {
    pub(crate) fn new(line: &'a RuleLine, findings: &'a mut Findings) -> Self {
        Self {
            line,
            findings,
            known_keys: Vec::new(),
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
                let location = self.line.location.clone();
                self.findings
                    .push(location, self.line.key(), error.to_string());
                None
            }
        }
    }

    /// Reads a field and reports it if it is missing.
    pub(crate) fn required<Out>(
        &mut self,
        key: &'static str,
        read: impl FnOnce(&Value) -> Result<Out, String>,
    ) -> Option<Out> {
        if self.line.table.get(key).is_none() {
            self.known_keys.push(key);
            let location = self.line.location.clone();
            let problem = format!("\"{key}\" is missing");
            self.findings.push(location, self.key(key), problem);
            return None;
        }
        self.read(key, read)
    }

    /// Reads a field with a default. `None` only if the field is invalid.
    pub(crate) fn optional<Out>(
        &mut self,
        key: &'static str,
        default: Out,
        read: impl FnOnce(&Value) -> Result<Out, String>,
    ) -> Option<Out> {
        if self.line.table.get(key).is_none() {
            self.known_keys.push(key);
            return Some(default);
        }
        self.read(key, read)
    }

    /// Reads a list of names, each with its location.
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
            let location = self.location_of(value);
            match string(value).and_then(|t| t.parse().map_err(|e: Name::Err| e.to_string())) {
                Ok(name) => names.push((name, location)),
                Err(problem) => self.findings.push(location, self.key(key), problem),
            }
        }
        (names.len() == array.len()).then_some(names)
    }

    /// Adds a finding about a field.
    pub(crate) fn add_finding(&mut self, key: &'static str, problem: impl ToString) {
        let location = match self.line.table.get(key) {
            Some(value) => self.location_of(value),
            None => self.line.location.clone(),
        };
        self.findings
            .push(location, self.key(key), problem.to_string());
    }

    /// Adds a finding at a location within a field.
    pub(crate) fn add_finding_at(
        &mut self,
        location: SourceLocation,
        key: &'static str,
        problem: impl ToString,
    ) {
        self.findings
            .push(location, self.key(key), problem.to_string());
    }

    /// Reports the fields that were never read or looked for.
    pub(crate) fn finish(self) {
        for (key, _) in &self.line.table {
            if self.known_keys.contains(&key) {
                continue;
            }
            let span = self.line.table.key(key).and_then(toml_edit::Key::span);
            let location = self.line.location_of(span.map_or(0, |span| span.start));
            let noun = self.line.section.noun();
            let known_keys = self.known_keys.join(", ");
            let problem = format!("a {noun} has no \"{key}\"; it has {known_keys}");
            self.findings.push(location, self.key(key), problem);
        }
    }

    fn read<Out>(
        &mut self,
        key: &'static str,
        read: impl FnOnce(&Value) -> Result<Out, String>,
    ) -> Option<Out> {
        self.known_keys.push(key);
        let value = self.line.table.get(key)?;
        match read(value) {
            Ok(out) => Some(out),
            Err(problem) => {
                self.add_finding(key, problem);
                None
            }
        }
    }

    fn location_of(&self, value: &Value) -> SourceLocation {
        self.line
            .location_of(value.span().map_or(0, |span| span.start))
    }

    fn key(&self, key: &str) -> String {
        format!("{}.{key}", self.line.key())
    }
}

/// Reads a string.
pub(crate) fn string(value: &Value) -> Result<&str, String> {
    let type_name = value.type_name();
    value
        .as_str()
        .ok_or_else(|| format!("a text in quotes is wanted, this is a {type_name}"))
}

/// Reads a string and parses it.
pub(crate) fn parsed<Out>(value: &Value) -> Result<Out, String>
where
    Out: FromStr<Err: ToString>,
{
    string(value)?
        .parse()
        .map_err(|error: Out::Err| error.to_string())
}

/// Reads `true` or `false`.
pub(crate) fn boolean(value: &Value) -> Result<bool, String> {
    let type_name = value.type_name();
    value
        .as_bool()
        .ok_or_else(|| format!("true or false is wanted, this is a {type_name}"))
}

/// Reads an integer from `min` to `max`.
pub(crate) fn integer_between(value: &Value, min: u32, max: u32) -> Result<u32, String> {
    let type_name = value.type_name();
    let number = value
        .as_integer()
        .ok_or_else(|| format!("a whole number is wanted, this is a {type_name}"))?;
    u32::try_from(number)
        .ok()
        .filter(|n| (min..=max).contains(n))
        .ok_or_else(|| format!("{number} is not between {min} and {max}"))
}

/// Reads a rate, as a number a second that is above zero.
pub(crate) fn rate(value: &Value) -> Result<f64, String> {
    const MAX_RATE: f64 = 1e9;
    let type_name = value.type_name();
    let whole = value.as_integer().map(|n| n as f64);
    let number = whole.or_else(|| value.as_float()).ok_or_else(|| {
        format!("a number a second without quotes is wanted, this is a {type_name}")
    })?;
    if number.is_finite() && 0.0 < number && number <= MAX_RATE {
        return Ok(number);
    }
    Err(format!(
        "{number} a second is not above 0 and up to {MAX_RATE}"
    ))
}
