//! Typed cells of one row.

use std::str::FromStr;
use std::time::Duration;

use jiff::civil::DateTime;
use jiff::tz::TimeZone;

use chestnutloft_core::ids::{IdError, VersionId};
use chestnutloft_core::plan::{PlanFinding, SheetPlace};
use chestnutloft_core::time::TimePoint;

/// Findings that are kept; a sheet that is wrong throughout needs no more to be understood.
pub const MAX_FINDINGS: usize = 1_000;

/// Findings so far.
#[derive(Clone, Debug, Default)]
pub struct FindingList {
    /// Findings that are kept.
    pub kept: Vec<PlanFinding>,
    /// Findings beyond [`MAX_FINDINGS`].
    pub dropped: usize,
}

impl FindingList {
    /// Adds a finding.
    pub fn push(&mut self, finding: PlanFinding) {
        if self.kept.len() < MAX_FINDINGS {
            self.kept.push(finding);
        } else {
            self.dropped += 1;
        }
    }
}

/// One row with its header.
pub struct RowReader<'a> {
    sheet: &'a str,
    number: u32,
    header: &'a [String],
    cells: &'a [String],
    findings: &'a mut FindingList,
}

impl<'a> RowReader<'a> {
    /// A row of `sheet`.
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

    /// Number of the row.
    pub fn number(&self) -> u32 {
        self.number
    }

    /// Adds a finding about `column`.
    pub fn find(&mut self, column: &str, problem: impl Into<String>, remedy: impl Into<String>) {
        let place = SheetPlace::new(self.sheet, self.number, column);
        self.findings.push(PlanFinding::new(place, problem, remedy));
    }

    fn cell(&self, column: &str) -> &'a str {
        let position = self.header.iter().position(|name| name == column);
        position
            .and_then(|position| self.cells.get(position))
            .map_or("", String::as_str)
    }

    /// Text that must be there.
    pub fn text(&mut self, column: &str) -> Option<&'a str> {
        let text = self.cell(column);
        if text.is_empty() {
            self.find(column, "the cell is empty", "fill it in");
            return None;
        }
        Some(text)
    }

    /// Text that may be missing.
    pub fn optional(&self, column: &str) -> Option<&'a str> {
        let text = self.cell(column);
        (!text.is_empty()).then_some(text)
    }

    /// An identifier.
    pub fn id<T: FromStr<Err = IdError>>(&mut self, column: &str) -> Option<T> {
        let text = self.text(column)?;
        self.parse_id(column, text)
    }

    /// An identifier that may be missing; `Err` when it is there and wrong.
    pub fn optional_id<T: FromStr<Err = IdError>>(&mut self, column: &str) -> Option<Option<T>> {
        match self.optional(column) {
            None => Some(None),
            Some(text) => self.parse_id(column, text).map(Some),
        }
    }

    fn parse_id<T: FromStr<Err = IdError>>(&mut self, column: &str, text: &str) -> Option<T> {
        match text.parse() {
            Ok(id) => Some(id),
            Err(error) => {
                let remedy = "write letters, digits and . - _ @";
                self.find(column, format!("{text:?}: {error}"), remedy);
                None
            }
        }
    }

    /// A version, written `model@version`.
    pub fn version(&mut self, column: &str) -> Option<VersionId> {
        let text = self.text(column)?;
        self.check_version(column, text)
    }

    /// A version that may be missing.
    pub fn optional_version(&mut self, column: &str) -> Option<Option<VersionId>> {
        match self.optional(column) {
            None => Some(None),
            Some(text) => self.check_version(column, text).map(Some),
        }
    }

    fn check_version(&mut self, column: &str, text: &str) -> Option<VersionId> {
        let has_both = text
            .split_once('@')
            .is_some_and(|(model, version)| !model.is_empty() && !version.is_empty());
        if !has_both {
            let problem = format!("{text:?} is no version");
            self.find(column, problem, "write model@version");
            return None;
        }
        self.parse_id(column, text)
    }

    /// A number between `least` and `most`; `unit` says what it counts.
    pub fn number_in(&mut self, column: &str, least: f64, most: f64, unit: &str) -> Option<f64> {
        let text = self.text(column)?;
        let range = format!("write {unit}, a plain number from {least} to {most}");
        match text.parse::<f64>() {
            Ok(number) if (least..=most).contains(&number) => Some(number),
            Ok(number) => {
                self.find(column, format!("{number} is out of range"), range);
                None
            }
            Err(_) => {
                self.find(column, format!("{text:?} is no plain number"), range);
                None
            }
        }
    }

    /// A whole number up to `most`.
    pub fn whole(&mut self, column: &str, most: u64, unit: &str) -> Option<u64> {
        let text = self.text(column)?;
        let range = format!("write {unit}, a whole number up to {most}");
        match text.parse::<u64>() {
            Ok(number) if number <= most => Some(number),
            Ok(number) => {
                self.find(column, format!("{number} is out of range"), range);
                None
            }
            Err(_) => {
                self.find(column, format!("{text:?} is no whole number"), range);
                None
            }
        }
    }

    /// Money with up to six decimals, in millionths of the currency unit.
    pub fn money(&mut self, column: &str) -> Option<u64> {
        let text = self.text(column)?;
        let millionths = parse_millionths(text);
        if millionths.is_none() {
            let problem = format!("{text:?} is no amount");
            self.find(
                column,
                problem,
                "write an amount with up to six decimals, such as 0.25",
            );
        }
        millionths
    }

    /// A span in whole milliseconds.
    pub fn millis(&mut self, column: &str) -> Option<Duration> {
        let most = 24 * 3_600 * 1_000;
        self.whole(column, most, "milliseconds")
            .map(Duration::from_millis)
    }

    /// One of `choices`.
    pub fn choice<T: Copy>(&mut self, column: &str, choices: &[(&str, T)]) -> Option<T> {
        let text = self.text(column)?;
        let found = choices.iter().find(|(name, _)| *name == text);
        if found.is_none() {
            let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
            let remedy = format!("write one of {}", names.join(", "));
            self.find(column, format!("{text:?} is unknown"), remedy);
        }
        found.map(|(_, value)| *value)
    }

    /// A local time, read in the time zone of column `zone_column`.
    pub fn time(&mut self, column: &str, zone_column: &str) -> Option<TimePoint> {
        let zone_name = self.text(zone_column)?;
        let text = self.text(column)?;
        let Ok(zone) = TimeZone::get(zone_name) else {
            let problem = format!("time zone {zone_name:?} is unknown");
            self.find(zone_column, problem, "write a name such as Asia/Tokyo");
            return None;
        };
        let Ok(local) = DateTime::strptime("%Y-%m-%d %H:%M", text) else {
            let problem = format!("{text:?} is no time");
            self.find(column, problem, "write it as 2026-12-04 09:30");
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
