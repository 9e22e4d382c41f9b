//! Findings of the plan check, with their place in the sheets.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A place in a sheet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SheetPlace {
    /// Sheet, without extension.
    pub sheet: String,
    /// Row number as shown by a spreadsheet, where the header is row 1; zero means the whole sheet.
    pub row: u32,
    /// Column name; empty means the whole row.
    pub column: String,
}

impl SheetPlace {
    /// Creates a place in `sheet`.
    pub fn new(sheet: &str, row: u32, column: &str) -> Self {
        Self {
            sheet: sheet.to_owned(),
            row,
            column: column.to_owned(),
        }
    }
}

impl fmt::Display for SheetPlace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.sheet)?;
        if self.row > 0 {
            write!(f, " row {}", self.row)?;
        }
        if !self.column.is_empty() {
            write!(f, " column {}", self.column)?;
        }
        Ok(())
    }
}

/// A problem in a plan.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PlanFinding {
    /// Place of the problem.
    pub place: SheetPlace,
    /// Description of the problem.
    pub problem: String,
    /// How to fix it.
    pub remedy: String,
}

impl PlanFinding {
    /// Creates a finding at `place`.
    pub fn new(place: SheetPlace, problem: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self {
            place,
            problem: problem.into(),
            remedy: remedy.into(),
        }
    }
}

impl fmt::Display for PlanFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.place, self.problem, self.remedy)
    }
}
