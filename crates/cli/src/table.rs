//! Prints tables for people.

/// Prints a table with column headings, or a line that says that it has no rows.
pub fn print(headings: &[&str], rows: &[Vec<String>]) {
    if rows.is_empty() {
        println!("  (none)");
        return;
    }
    let widths: Vec<usize> = (0..headings.len())
        .map(|column| width(headings, rows, column))
        .collect();
    let headings = headings.iter().map(|h| (*h).to_owned()).collect::<Vec<_>>();
    print_row(&headings, &widths);
    for row in rows {
        print_row(row, &widths);
    }
}

fn width(headings: &[&str], rows: &[Vec<String>], column: usize) -> usize {
    let cells = rows.iter().filter_map(|row| row.get(column));
    let longest = cells.map(|cell| cell.chars().count()).max().unwrap_or(0);
    longest.max(headings[column].chars().count())
}

fn print_row(cells: &[String], widths: &[usize]) {
    let cells = cells.iter().zip(widths);
    let line: String = cells
        .map(|(cell, width)| format!("  {cell:<width$}"))
        .collect();
    println!("{}", line.trim_end());
}
