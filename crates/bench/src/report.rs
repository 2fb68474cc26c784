//! The report of a measure: tables of its results.

use std::fmt;

use serde::Serialize;

/// The results of one run of a measure.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// The name of the measure.
    pub name: String,
    /// The seed of the run.
    pub seed: u64,
    /// The tables of results.
    pub tables: Vec<Table>,
    /// Notes on how to read the tables.
    pub notes: Vec<String>,
}

/// One table of a report.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Table {
    /// What the table shows.
    pub title: String,
    /// The column headings, with units.
    pub columns: Vec<String>,
    /// The rows. Each has one cell for each column.
    pub rows: Vec<Vec<String>>,
}

impl Report {
    /// Creates a report without tables and notes.
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

    /// Adds a note.
    pub fn note(mut self, note: impl Into<String>) -> Self {
        self.notes.push(note.into());
        self
    }
}

impl Table {
    /// Creates a table without rows.
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
        write_row(f, &self.columns, &self.column_widths())?;
        for row in &self.rows {
            write_row(f, row, &self.column_widths())?;
        }
        Ok(())
    }
}

impl Table {
    /// The width of each column: that of its longest cell or heading, in characters.
    fn column_widths(&self) -> Vec<usize> {
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            let cells = cells.chain(self.columns.get(column));
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
