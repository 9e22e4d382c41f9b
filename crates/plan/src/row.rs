//! Parses the typed cells of one row.

use std::str::FromStr;
use std::time::Duration;

use jiff::civil::DateTime;
use jiff::tz::TimeZone;

use chestnutloft_core::ids::{IdError, VersionId};
use chestnutloft_core::plan::{PlanFinding, SheetPlace};
use chestnutloft_core::time::TimePoint;

/// Maximum number of findings that are kept: a sheet with an error in every row needs no more to be
/// corrected.
pub const MAX_FINDINGS: usize = 1_000;

/// Findings collected so far.
#[derive(Clone, Debug, Default)]
pub struct FindingList {
    /// The first [`MAX_FINDINGS`] findings.
    pub kept: Vec<PlanFinding>,
    /// Number of further findings, which are not kept.
    pub dropped: usize,
}

impl FindingList {
    /// Adds a finding, or counts it if the list is full.
    pub fn push(&mut self, finding: PlanFinding) {
        if self.kept.len() < MAX_FINDINGS {
            self.kept.push(finding);
        } else {
            self.dropped += 1;
        }
    }
}

/// Reads the cells of one row by column name, and collects findings about them.
pub struct RowReader<'a> {
    sheet: &'a str,
    number: u32,
    header: &'a [String],
    cells: &'a [String],
    findings: &'a mut FindingList,
}

impl<'a> RowReader<'a> {
    /// Creates a reader for row `number` of `sheet`.
    pub fn new(
        sheet: &'a str,
        number: u32,
        header: &'a [String],
        cells: &'a [String],
        findings: &'a mut FindingList,
    ) -> Self {
        Self {
            sheet,
            number,
            header,
            cells,
            findings,
        }
    }

    /// Row number in the worksheet, or line number in the CSV file.
    pub fn number(&self) -> u32 {
        self.number
    }

    /// Adds a finding about `column`, or about the whole row if it is empty.
    pub fn add_finding(
        &mut self,
        column: &str,
        problem: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        let place = SheetPlace::new(self.sheet, self.number, column);
        self.findings.push(PlanFinding::new(place, problem, remedy));
    }

    fn cell(&self, column: &str) -> &'a str {
        let position = self.header.iter().position(|name| name == column);
        position
            .and_then(|position| self.cells.get(position))
            .map_or("", String::as_str)
    }

    /// Text of a required cell.
    pub fn text(&mut self, column: &str) -> Option<&'a str> {
        let text = self.cell(column);
        if text.is_empty() {
            self.add_finding(column, "the cell is empty", "fill it in");
            return None;
        }
        Some(text)
    }

    /// Text of an optional cell; `None` if it is empty.
    pub fn optional_text(&self, column: &str) -> Option<&'a str> {
        let text = self.cell(column);
        (!text.is_empty()).then_some(text)
    }

    /// Identifier in a required cell.
    pub fn id<T: FromStr<Err = IdError>>(&mut self, column: &str) -> Option<T> {
        let text = self.text(column)?;
        self.parse_id(column, text)
    }

    /// Identifier in an optional cell: `Some(None)` if the cell is empty, `None` if it is invalid.
    pub fn optional_id<T: FromStr<Err = IdError>>(&mut self, column: &str) -> Option<Option<T>> {
        match self.optional_text(column) {
            None => Some(None),
            Some(text) => self.parse_id(column, text).map(Some),
        }
    }

    fn parse_id<T: FromStr<Err = IdError>>(&mut self, column: &str, text: &str) -> Option<T> {
        match text.parse() {
            Ok(id) => Some(id),
            Err(error) => {
                let remedy = "write letters, digits and . - _ @";
                self.add_finding(column, format!("{text:?}: {error}"), remedy);
                None
            }
        }
    }

    /// Version in a required cell, written `model@version`.
    pub fn version(&mut self, column: &str) -> Option<VersionId> {
        let text = self.text(column)?;
        self.parse_version(column, text)
    }

    /// Version in an optional cell: `Some(None)` if the cell is empty, `None` if it is invalid.
    pub fn optional_version(&mut self, column: &str) -> Option<Option<VersionId>> {
        match self.optional_text(column) {
            None => Some(None),
            Some(text) => self.parse_version(column, text).map(Some),
        }
    }

    fn parse_version(&mut self, column: &str, text: &str) -> Option<VersionId> {
        let has_both_parts = text
            .split_once('@')
            .is_some_and(|(model, version)| !model.is_empty() && !version.is_empty());
        if !has_both_parts {
            let problem = format!("{text:?} is not a version");
            self.add_finding(column, problem, "write model@version");
            return None;
        }
        self.parse_id(column, text)
    }

    /// Number from `min` to `max`; `unit` names its unit in findings.
    pub fn number_in(&mut self, column: &str, min: f64, max: f64, unit: &str) -> Option<f64> {
        let text = self.text(column)?;
        let range = format!("write {unit}, a plain number from {min} to {max}");
        match text.parse::<f64>() {
            Ok(number) if (min..=max).contains(&number) => Some(number),
            Ok(number) => {
                self.add_finding(column, format!("{number} is out of range"), range);
                None
            }
            Err(_) => {
                self.add_finding(column, format!("{text:?} is not a plain number"), range);
                None
            }
        }
    }

    /// Whole number from 0 to `max`; `unit` names its unit in findings.
    pub fn whole_number(&mut self, column: &str, max: u64, unit: &str) -> Option<u64> {
        let text = self.text(column)?;
        let range = format!("write {unit}, a whole number up to {max}");
        match text.parse::<u64>() {
            Ok(number) if number <= max => Some(number),
            Ok(number) => {
                self.add_finding(column, format!("{number} is out of range"), range);
                None
            }
            Err(_) => {
                self.add_finding(column, format!("{text:?} is not a whole number"), range);
                None
            }
        }
    }

    /// Amount of money with up to six decimals, returned in millionths of the currency unit.
    pub fn money(&mut self, column: &str) -> Option<u64> {
        let text = self.text(column)?;
        let millionths = parse_millionths(text);
        if millionths.is_none() {
            let problem = format!("{text:?} is not an amount");
            self.add_finding(
                column,
                problem,
                "write an amount with up to six decimals, such as 0.25",
            );
        }
        millionths
    }

    /// Duration in whole milliseconds, at most one day.
    pub fn duration_ms(&mut self, column: &str) -> Option<Duration> {
        let max = 24 * 3_600 * 1_000;
        self.whole_number(column, max, "milliseconds")
            .map(Duration::from_millis)
    }

    /// One of the `choices`, each a text and its value.
    pub fn choice<T: Copy>(&mut self, column: &str, choices: &[(&str, T)]) -> Option<T> {
        let text = self.text(column)?;
        let found = choices.iter().find(|(name, _)| *name == text);
        if found.is_none() {
            let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
            let remedy = format!("write one of {}", names.join(", "));
            self.add_finding(column, format!("{text:?} is unknown"), remedy);
        }
        found.map(|(_, value)| *value)
    }

    /// Local time, in the time zone that column `zone_column` names.
    pub fn time(&mut self, column: &str, zone_column: &str) -> Option<TimePoint> {
        let zone_name = self.text(zone_column)?;
        let text = self.text(column)?;
        let Ok(zone) = TimeZone::get(zone_name) else {
            let problem = format!("time zone {zone_name:?} is unknown");
            self.add_finding(zone_column, problem, "write a name such as Asia/Tokyo");
            return None;
        };
        let Ok(local) = DateTime::strptime("%Y-%m-%d %H:%M", text) else {
            let problem = format!("{text:?} is not a time");
            self.add_finding(column, problem, "write it as 2026-12-04 09:30");
            return None;
        };
        let second = local.to_zoned(zone).ok()?.timestamp().as_second();
        u64::try_from(second).ok().map(TimePoint::from_secs)
    }
}

fn parse_millionths(text: &str) -> Option<u64> {
    let (units, decimals) = text.split_once('.').unwrap_or((text, ""));
    if decimals.len() > 6 || units.is_empty() {
        return None;
    }
    let units: u64 = units.parse().ok()?;
    let padded = format!("{decimals:0<6}");
    let decimals: u64 = padded.parse().ok()?;
    units.checked_mul(1_000_000)?.checked_add(decimals)
}
