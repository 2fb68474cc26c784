//! Splits the file into rules, one a line.
//!
//! Each line is read as a TOML document of its own, so that one broken line
//! hides no finding of another. A file whose lines all pass, with no table or
//! name twice, is a valid TOML document.

use std::collections::BTreeMap;
use std::path::Path;

use toml_edit::Document;
use toml_edit::InlineTable;
use toml_edit::Item;

use crate::Asker;
use crate::section::Section;
use base::Findings;
use base::SourceLocation;

/// Findings after which the rest of a file is not read.
const MAX_FINDINGS: usize = 1_000;

/// May start a file, not a line.
const BYTE_ORDER_MARK: char = '\u{feff}';

/// One rule: `name = { … }  # who asked`.
#[derive(Clone, Debug)]
pub(crate) struct Line {
    /// Its table.
    pub(crate) section: Section,
    /// The name that it defines.
    pub(crate) name: String,
    /// Where the name stands.
    pub(crate) place: SourceLocation,
    /// The line's text.
    pub(crate) text: String,
    /// Its fields.
    pub(crate) table: InlineTable,
    /// Who asked for it.
    pub(crate) asker: Asker,
}

impl Line {
    /// The place of a byte offset in the line.
    pub(crate) fn place_of(&self, offset: usize) -> SourceLocation {
        let column = SourceLocation::from_offset("", &self.text, offset).column;
        SourceLocation {
            column,
            ..self.place.clone()
        }
    }

    /// The dotted key of the rule.
    pub(crate) fn key(&self) -> String {
        format!("{}.{}", self.section, self.name)
    }
}

/// What a line of the file is.
enum Shape {
    Blank,
    Table(String),
    Rule,
}

/// Reads all lines.
pub(crate) fn lines(file: &Path, text: &str, findings: &mut Findings) -> Vec<Line> {
    let text = text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(text);
    let mut splitter = Splitter {
        file,
        findings,
        table: Table::None,
        seen: BTreeMap::new(),
        rules: BTreeMap::new(),
        found: Vec::new(),
        open: 0,
    };
    for (at, text) in text.lines().enumerate() {
        if MAX_FINDINGS <= splitter.findings.list.len() {
            let place = splitter.place(1 + at as u32, text, 0);
            let what = "too many findings: the rest of the file was not read";
            splitter.findings.push(place, "file", what);
            break;
        }
        splitter.line(1 + at as u32, text);
    }
    splitter.found
}

/// The table that rules belong to.
#[derive(Clone, Copy)]
enum Table {
    None,
    Unknown,
    Known(Section),
}

struct Splitter<'a> {
    file: &'a Path,
    findings: &'a mut Findings,
    table: Table,
    seen: BTreeMap<Section, u32>,
    rules: BTreeMap<(Section, String), u32>,
    found: Vec<Line>,
    /// Brackets that the rule before has left open.
    open: i32,
}

impl Splitter<'_> {
    fn line(&mut self, number: u32, text: &str) {
        if 0 < self.open && !text.trim_start().starts_with('[') {
            self.open += brackets(text);
            return;
        }
        self.open = 0;
        if text.starts_with(BYTE_ORDER_MARK) {
            return self.broken(number, text, 0, "the line starts with a byte order mark");
        }
        let doc = match Document::parse(text) {
            Ok(doc) => doc,
            Err(error) => {
                let at = error.span().map_or(0, |span| span.start);
                return self.broken(number, text, at, error.message());
            }
        };
        match shape(text) {
            Shape::Blank => {}
            Shape::Table(name) => self.open_table(number, text, &name),
            Shape::Rule => self.rule(number, text, &doc),
        }
    }

    fn open_table(&mut self, number: u32, text: &str, name: &str) {
        let place = self.place(number, text, text.find('[').unwrap_or(0));
        self.table = Table::Unknown;
        let Some(section) = Section::named(name) else {
            let known = Section::ALL.map(|s| s.to_string()).join(", ");
            let what = format!("there is no table \"{name}\"; the tables are {known}");
            return self.findings.push(place, name, what);
        };
        self.table = Table::Known(section);
        if let Some(first) = self.seen.insert(section, number) {
            let what = format!("the table \"{name}\" began on line {first} already");
            self.findings.push(place, name, what);
        }
    }

    fn rule(&mut self, number: u32, text: &str, doc: &Document<&str>) {
        let Some((name, item)) = doc.iter().next() else {
            return;
        };
        let start = text.len() - text.trim_start().len();
        let place = self.place(number, text, start);
        let section = match self.table {
            Table::Known(section) => section,
            Table::Unknown => return,
            Table::None => {
                let what = "a rule stands below a table such as [callers]";
                return self.findings.push(place, name, what);
            }
        };
        let key = format!("{section}.{name}");
        let Item::Value(toml_edit::Value::InlineTable(table)) = item else {
            let what = format!("a rule is written {name} = {{ … }}  # who asked for it");
            return self.findings.push(place, key, what);
        };
        if table.is_dotted() {
            let what = "a rule is one line with all its keys between braces";
            return self.findings.push(place, key, what);
        }
        let end = table.span().map_or(text.len(), |span| span.end);
        let asker = text[end..].trim().trim_start_matches('#').trim();
        if asker.is_empty() {
            let place = self.place(number, text, end);
            let what = "the rule does not say who asked for it: end the line with # and a name";
            self.findings.push(place, &key, what);
        }
        let id = (section, name.to_owned());
        if let Some(first) = self.rules.insert(id, number) {
            let what = format!("\"{name}\" was defined on line {first} already");
            return self.findings.push(place, key, what);
        }
        self.found.push(Line {
            section,
            name: name.to_owned(),
            place,
            text: text.to_owned(),
            table: table.clone(),
            asker: Asker(asker.to_owned()),
        });
    }

    fn broken(&mut self, number: u32, text: &str, at: usize, message: &str) {
        let key = text.split(['=', ' ']).find(|word| !word.is_empty());
        let key = key.unwrap_or_default().to_owned();
        let header = text.trim_start().starts_with('[');
        if header {
            self.table = Table::Unknown;
        }
        let depth = brackets(text);
        if 0 < depth && !header {
            let place = self.place(number, text, 0);
            let what = "the rule does not end on its line: one rule is one line";
            self.findings.push(place, key, what);
            self.open = depth;
            return;
        }
        let place = self.place(number, text, at);
        let message = message.replace('\n', ", ");
        let what = format!("not one rule on one line: {message}");
        self.findings.push(place, key, what);
    }

    fn place(&self, number: u32, text: &str, offset: usize) -> SourceLocation {
        SourceLocation {
            line: number,
            ..SourceLocation::from_offset(self.file, text, offset)
        }
    }
}

fn shape(text: &str) -> Shape {
    let text = text.trim();
    if text.is_empty() || text.starts_with('#') {
        return Shape::Blank;
    }
    if !text.starts_with('[') {
        return Shape::Rule;
    }
    let header = text.split('#').next().unwrap_or_default().trim();
    let name = header.strip_prefix('[').and_then(|t| t.strip_suffix(']'));
    Shape::Table(name.unwrap_or(header).trim().to_owned())
}

/// Brackets that a line opens and does not close, outside of strings and comments.
fn brackets(text: &str) -> i32 {
    let mut depth = 0;
    let mut quote = None;
    let mut escaped = false;
    for c in text.chars() {
        match (quote, c) {
            (Some('"'), '\\') if !escaped => {
                escaped = true;
                continue;
            }
            (Some(open), _) if c == open && !escaped => quote = None,
            (Some(_), _) => {}
            (None, '"' | '\'') => quote = Some(c),
            (None, '#') => break,
            (None, '{' | '[') => depth += 1,
            (None, '}' | ']') => depth -= 1,
            (None, _) => {}
        }
        escaped = false;
    }
    depth
}
