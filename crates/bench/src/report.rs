//! A report: tables of figures that one run gave.

use std::fmt;

use serde::Serialize;

/// What one measure found.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// The measure's name.
    pub name: String,
    /// The seed it ran with.
    pub seed: u64,
    /// Its tables.
    pub tables: Vec<Table>,
    /// Remarks on how to read it.
    pub notes: Vec<String>,
}

/// One table.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Table {
    /// What the rows are.
    pub title: String,
    /// Headings, with units.
    pub columns: Vec<String>,
    /// Cells, as many in a row as there are headings.
    pub rows: Vec<Vec<String>>,
}

impl Report {
    /// An empty report.
    pub fn new(name: &str, seed: u64) -> Self {
        Self {
            name: name.to_owned(),
            seed,
            ..Self::default()
        }
    }

    /// Adds a table.
    pub fn table(mut self, table: Table) -> Self {
        self.tables.push(table);
        self
    }

    /// Adds a remark.
    pub fn note(mut self, note: impl Into<String>) -> Self {
        self.notes.push(note.into());
        self
    }
}

impl Table {
    /// An empty table.
    pub fn new(title: &str, columns: &[&str]) -> Self {
        Self {
            title: title.to_owned(),
            columns: columns.iter().map(|c| (*c).to_owned()).collect(),
            rows: Vec::new(),
        }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "== {} (seed {})", self.name, self.seed)?;
        for table in &self.tables {
            write!(f, "{table}")?;
        }
        for note in &self.notes {
            writeln!(f, "note: {note}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "\n{}", self.title)?;
        write_row(f, &self.columns, &self.widths())?;
        for row in &self.rows {
            write_row(f, row, &self.widths())?;
        }
        Ok(())
    }
}

impl Table {
    fn widths(&self) -> Vec<usize> {
        let width = |at: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(at));
            let cells = cells.chain(self.columns.get(at));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        (0..self.columns.len()).map(width).collect()
    }
}

fn write_row(f: &mut fmt::Formatter<'_>, row: &[String], widths: &[usize]) -> fmt::Result {
    for (cell, width) in row.iter().zip(widths) {
        write!(f, "  {cell:>width$}")?;
    }
    writeln!(f)
}
