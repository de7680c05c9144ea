//! Plain-text tables whose columns are as wide as their widest cell.

use std::fmt;

const COLUMN_GAP: &str = "  ";

/// A plain-text table. The first row holds the headings.
pub(crate) struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table with these headings and no other rows.
    pub(crate) fn new(headings: &[&str]) -> TextTable {
        TextTable {
            rows: vec![headings.iter().map(ToString::to_string).collect()],
        }
    }

    /// Adds a row. If it has fewer cells than the table has columns, its last cell is a note that doesn't affect column
    /// widths.
    pub(crate) fn add_row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    fn column_count(&self) -> usize {
        self.rows.iter().map(Vec::len).max().unwrap_or(0)
    }

    fn width(&self, column: usize) -> usize {
        let count = self.column_count();
        let cells = self.rows.iter().filter_map(|row| {
            let is_note = row.len() < count && column + 1 == row.len();
            row.get(column).filter(|_| !is_note)
        });
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

impl fmt::Display for TextTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths: Vec<usize> = (0..self.column_count())
            .map(|column| self.width(column))
            .collect();
        for row in &self.rows {
            let cells: Vec<String> = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            writeln!(f, "{}", cells.join(COLUMN_GAP).trim_end())?;
        }
        Ok(())
    }
}
