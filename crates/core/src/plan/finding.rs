//! Findings of the plan check, with their place.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A place in a sheet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SheetPlace {
    /// Sheet, without extension.
    pub sheet: String,
    /// Row as a spreadsheet counts it: the header is row 1. Zero means the whole sheet.
    pub row: u32,
    /// Column name; empty means the whole row.
    pub column: String,
}

impl SheetPlace {
    /// A place in `sheet`.
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

/// One thing that is wrong with a plan.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PlanFinding {
    /// Where.
    pub place: SheetPlace,
    /// What is wrong.
    pub problem: String,
    /// What would be right.
    pub remedy: String,
}

impl PlanFinding {
    /// A finding at `place`.
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
