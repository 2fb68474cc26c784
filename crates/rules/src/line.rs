//! Splits the rules file into lines with one rule each.
//!
//! Each line is parsed as a TOML document of its own, so that a malformed line
//! does not hide findings in others. If all lines pass and no table or name
//! occurs twice, the whole file is a valid TOML document.

use std::collections::BTreeMap;
use std::path::Path;

use toml_edit::Document;
use toml_edit::InlineTable;
use toml_edit::Item;

use crate::Asker;
use crate::section::Section;
use base::Findings;
use base::SourceLocation;

/// The number of findings after which the rest of a file is not read.
const MAX_FINDINGS: usize = 1_000;

/// Allowed at the start of the file, but not of any other line.
const BYTE_ORDER_MARK: char = '\u{feff}';

/// One rule: `name = { … }  # who asked`.
#[derive(Clone, Debug)]
pub(crate) struct RuleLine {
    /// The table that the rule belongs to.
    pub(crate) section: Section,
    /// The name that the rule defines.
    pub(crate) name: String,
    /// The location of the name.
    pub(crate) location: SourceLocation,
    /// The text of the whole line.
    pub(crate) text: String,
    /// The fields of the rule.
    pub(crate) table: InlineTable,
    /// Who asked for the rule, from the comment.
    pub(crate) asker: Asker,
}

impl RuleLine {
    /// The location of a byte offset in the line.
    pub(crate) fn location_of(&self, offset: usize) -> SourceLocation {
        let column = SourceLocation::from_offset("", &self.text, offset).column;
        SourceLocation {
            column,
            ..self.location.clone()
        }
    }

    /// The dotted key of the rule, such as `callers.stall-7`.
    pub(crate) fn key(&self) -> String {
        format!("{}.{}", self.section, self.name)
    }
}

enum LineKind {
    Blank,
    Table(String),
    Rule,
}

pub(crate) fn parse_lines(file: &Path, text: &str, findings: &mut Findings) -> Vec<RuleLine> {
    let text = text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(text);
    let mut parser = LineParser {
        file,
        findings,
        table: CurrentTable::None,
        table_lines: BTreeMap::new(),
        rule_lines: BTreeMap::new(),
        lines: Vec::new(),
        open_brackets: 0,
    };
    for (index, text) in text.lines().enumerate() {
        if MAX_FINDINGS <= parser.findings.list.len() {
            let location = parser.location(1 + index as u32, text, 0);
            let problem = "too many findings: the rest of the file was not read";
            parser.findings.push(location, "file", problem);
            break;
        }
        parser.parse_line(1 + index as u32, text);
    }
    parser.lines
}

/// The table that the rules on the next lines belong to.
#[derive(Clone, Copy)]
enum CurrentTable {
    None,
    Unknown,
    Known(Section),
}

struct LineParser<'a> {
    file: &'a Path,
    findings: &'a mut Findings,
    table: CurrentTable,
    /// Where the tables begin.
    table_lines: BTreeMap<Section, u32>,
    /// Where the rules are defined.
    rule_lines: BTreeMap<(Section, String), u32>,
    lines: Vec<RuleLine>,
    /// Brackets that the rule before has left open. Lines are skipped until they
    /// close.
    open_brackets: i32,
}

impl LineParser<'_> {
    fn parse_line(&mut self, number: u32, text: &str) {
        if 0 < self.open_brackets && !text.trim_start().starts_with('[') {
            self.open_brackets += bracket_balance(text);
            return;
        }
        self.open_brackets = 0;
        if text.starts_with(BYTE_ORDER_MARK) {
            return self.report_broken_line(
                number,
                text,
                0,
                "the line starts with a byte order mark",
            );
        }
        let doc = match Document::parse(text) {
            Ok(doc) => doc,
            Err(error) => {
                let offset = error.span().map_or(0, |span| span.start);
                return self.report_broken_line(number, text, offset, error.message());
            }
        };
        match line_kind(text) {
            LineKind::Blank => {}
            LineKind::Table(name) => self.begin_table(number, text, &name),
            LineKind::Rule => self.add_rule(number, text, &doc),
        }
    }

    fn begin_table(&mut self, number: u32, text: &str, name: &str) {
        let location = self.location(number, text, text.find('[').unwrap_or(0));
        self.table = CurrentTable::Unknown;
        let Some(section) = Section::named(name) else {
            let known = Section::ALL.map(|s| s.to_string()).join(", ");
            let problem = format!("there is no table \"{name}\"; the tables are {known}");
            return self.findings.push(location, name, problem);
        };
        self.table = CurrentTable::Known(section);
        if let Some(first) = self.table_lines.insert(section, number) {
            let problem = format!("the table \"{name}\" began on line {first} already");
            self.findings.push(location, name, problem);
        }
    }

    fn add_rule(&mut self, number: u32, text: &str, doc: &Document<&str>) {
        let Some((name, item)) = doc.iter().next() else {
            return;
        };
        let start = text.len() - text.trim_start().len();
        let location = self.location(number, text, start);
        let section = match self.table {
            CurrentTable::Known(section) => section,
            CurrentTable::Unknown => return,
            CurrentTable::None => {
                let problem = "a rule stands below a table such as [callers]";
                return self.findings.push(location, name, problem);
            }
        };
        let key = format!("{section}.{name}");
        let Item::Value(toml_edit::Value::InlineTable(table)) = item else {
            let problem = format!("a rule is written {name} = {{ … }}  # who asked for it");
            return self.findings.push(location, key, problem);
        };
        if table.is_dotted() {
            let problem = "a rule is one line with all its keys between braces";
            return self.findings.push(location, key, problem);
        }
        let end = table.span().map_or(text.len(), |span| span.end);
        let asker = text[end..].trim().trim_start_matches('#').trim();
        if asker.is_empty() {
            let location = self.location(number, text, end);
            let problem = "the rule does not say who asked for it: end the line with # and a name";
            self.findings.push(location, &key, problem);
        }
        let id = (section, name.to_owned());
        if let Some(first) = self.rule_lines.insert(id, number) {
            let problem = format!("\"{name}\" was defined on line {first} already");
            return self.findings.push(location, key, problem);
        }
        self.lines.push(RuleLine {
            section,
            name: name.to_owned(),
            location,
            text: text.to_owned(),
            table: table.clone(),
            asker: Asker(asker.to_owned()),
        });
    }

    fn report_broken_line(&mut self, number: u32, text: &str, offset: usize, message: &str) {
        let key = text.split(['=', ' ']).find(|word| !word.is_empty());
        let key = key.unwrap_or_default().to_owned();
        let is_header = text.trim_start().starts_with('[');
        if is_header {
            self.table = CurrentTable::Unknown;
        }
        let balance = bracket_balance(text);
        if 0 < balance && !is_header {
            let location = self.location(number, text, 0);
            let problem = "the rule does not end on its line: one rule is one line";
            self.findings.push(location, key, problem);
            self.open_brackets = balance;
            return;
        }
        let location = self.location(number, text, offset);
        let message = message.replace('\n', ", ");
        let problem = format!("not one rule on one line: {message}");
        self.findings.push(location, key, problem);
    }

    fn location(&self, number: u32, text: &str, offset: usize) -> SourceLocation {
        SourceLocation {
            line: number,
            ..SourceLocation::from_offset(self.file, text, offset)
        }
    }
}

fn line_kind(text: &str) -> LineKind {
    let text = text.trim();
    if text.is_empty() || text.starts_with('#') {
        return LineKind::Blank;
    }
    if !text.starts_with('[') {
        return LineKind::Rule;
    }
    let header = text.split('#').next().unwrap_or_default().trim();
    let name = header.strip_prefix('[').and_then(|t| t.strip_suffix(']'));
    LineKind::Table(name.unwrap_or(header).trim().to_owned())
}

/// Brackets that a line opens and does not close, outside of strings and comments.
fn bracket_balance(text: &str) -> i32 {
    let mut balance = 0;
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
            (None, '{' | '[') => balance += 1,
            (None, '}' | ']') => balance -= 1,
            (None, _) => {}
        }
        escaped = false;
    }
    balance
}
