//! Tables of measured numbers, kept as CSV: one head, rows of numbers.

use crate::fleet::Failure;
use std::fmt::Write as _;
use std::path::Path;

/// A table of numbers with named columns.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Table {
    columns: Vec<String>,
    rows: Vec<Vec<f64>>,
}

impl Table {
    /// With these columns and no rows.
    pub fn new(columns: &[&str]) -> Table {
        Table { columns: columns.iter().map(|c| c.to_string()).collect(), rows: Vec::new() }
    }

    /// Adds a row; it has a value for each column.
    pub fn row(&mut self, values: &[f64]) {
        assert_eq!(values.len(), self.columns.len(), "a value for each of {:?}", self.columns);
        self.rows.push(values.to_vec());
    }

    /// The values of two columns, of the rows that fit.
    pub fn points(&self, x: &str, y: &str, fits: impl Fn(&dyn Fn(&str) -> f64) -> bool) -> Vec<(f64, f64)> {
        let place = |name: &str| self.columns.iter().position(|c| c == name);
        let (Some(at_x), Some(at_y)) = (place(x), place(y)) else { return Vec::new() };
        let of = |row: &Vec<f64>, name: &str| place(name).map_or(f64::NAN, |p| row[p]);
        let rows = self.rows.iter().filter(|row| fits(&|name| of(row, name)));
        rows.map(|row| (row[at_x], row[at_y])).collect()
    }

    /// As CSV.
    pub fn csv(&self) -> String {
        let mut text = self.columns.join(",") + "\n";
        for row in &self.rows {
            let cells: Vec<String> = row.iter().map(|v| shown(*v)).collect();
            let _ = writeln!(text, "{}", cells.join(","));
        }
        text
    }

    /// Reads what [`Table::csv`] wrote.
    pub fn parse(text: &str) -> Result<Table, Failure> {
        let mut lines = text.lines();
        let columns: Vec<String> = lines.next().unwrap_or("").split(',').map(String::from).collect();
        let mut table = Table { columns, rows: Vec::new() };
        for line in lines {
            let row: Vec<f64> = line.split(',').map(str::parse).collect::<Result<_, _>>()?;
            if row.len() != table.columns.len() {
                return Err(
                    format!("{} values where there are {} columns", row.len(), table.columns.len()).into()
                );
            }
            table.rows.push(row);
        }
        Ok(table)
    }

    /// Writes it to a file.
    pub fn write(&self, path: &Path) -> Result<(), Failure> {
        Ok(std::fs::write(path, self.csv())?)
    }

    /// Reads a file.
    pub fn read(path: &Path) -> Result<Table, Failure> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Table::parse(&text).map_err(|e| format!("{}: {e}", path.display()).into())
    }
}

/// A number with four digits that count.
pub fn shown(value: f64) -> String {
    if value == value.trunc() && value.abs() < 1e15 {
        return format!("{value:.0}");
    }
    let digits = 3 - value.abs().log10().floor() as i32;
    format!("{value:.*}", digits.clamp(0, 9) as usize)
}

#[cfg(test)]
mod tests;
