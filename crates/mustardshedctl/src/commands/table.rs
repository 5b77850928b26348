//! Text tables with aligned columns.

use std::fmt;

/// Rows of text whose columns are aligned when it is displayed.
#[derive(Clone, Debug)]
pub(super) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with a header row.
    pub(super) fn new(header: &[&str]) -> Self {
        let mut table = Self { rows: Vec::new() };
        table.push(header);
        table
    }

    /// Adds a row.
    pub(super) fn push(&mut self, row: &[&str]) {
        self.rows
            .push(row.iter().map(|&cell| cell.to_owned()).collect());
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.rows {
            let mut line = String::new();
            for (column, cell) in row.iter().enumerate() {
                let width = self.width(column);
                line.push_str(&format!("{cell:width$}  "));
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
