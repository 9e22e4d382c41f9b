//! Summaries of results over several seeds, and Markdown tables.

use std::fmt::Write;

/// Median, minimum and maximum of the results of several seeds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SeedSpread {
    values: Vec<f64>,
}

impl SeedSpread {
    /// Summarizes `values`; values that are not finite are left out.
    pub fn of(values: impl IntoIterator<Item = f64>) -> Self {
        let mut values: Vec<f64> = values.into_iter().filter(|v| v.is_finite()).collect();
        values.sort_by(f64::total_cmp);
        Self { values }
    }

    /// Median; 0 without values.
    pub fn median(&self) -> f64 {
        quantile(&self.values, 0.5)
    }

    /// `median (min to max)` with `decimals` decimals, or `none` without values.
    pub fn text(&self, decimals: usize) -> String {
        let (Some(min), Some(max)) = (self.values.first(), self.values.last()) else {
            return "none".to_owned();
        };
        format!(
            "{:.decimals$} ({min:.decimals$} to {max:.decimals$})",
            self.median()
        )
    }
}

/// Nearest-rank quantile of sorted values; 0 without values.
pub fn quantile(sorted: &[f64], q: f64) -> f64 {
    if sorted.is_empty() {
        return 0.0;
    }
    let position = (sorted.len() - 1) as f64 * q;
    sorted[position.round() as usize]
}

/// Quantile of values in any order.
pub fn quantile_of(values: impl IntoIterator<Item = f64>, q: f64) -> f64 {
    let mut values: Vec<f64> = values.into_iter().collect();
    values.sort_by(f64::total_cmp);
    quantile(&values, q)
}

/// A Markdown table.
#[derive(Clone, Debug)]
pub struct MarkdownTable {
    title: String,
    header: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl MarkdownTable {
    /// An empty table.
    pub fn new(title: &str, header: &[&str]) -> Self {
        Self {
            title: title.to_owned(),
            header: header.iter().map(|cell| (*cell).to_owned()).collect(),
            rows: Vec::new(),
        }
    }

    /// Adds a row.
    pub fn add_row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// The table as Markdown.
    pub fn markdown(&self) -> String {
        let mut text = format!("### {}\n\n", self.title);
        let line = |cells: &[String]| format!("| {} |\n", cells.join(" | "));
        text.push_str(&line(&self.header));
        let _ = writeln!(text, "|{}", "---|".repeat(self.header.len()));
        for row in &self.rows {
            text.push_str(&line(row));
        }
        text
    }
}
