//! Result of a configuration check, printed as text or JSON.

use std::fmt::{self, Display};

use serde::Serialize;

/// Longest list of findings or changes in a report. A file with a fault in every row needs no more
/// to be corrected.
pub const MAX_LISTED: usize = 1_000;

/// How serious a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum FindingSeverity {
    /// The keepers reject the configuration, or it cannot be read.
    Error,
    /// The configuration is accepted, but a part of it has no effect or contradicts another one.
    Warning,
}

impl Display for FindingSeverity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Error => "error",
            Self::Warning => "warning",
        })
    }
}

/// A finding at a place of type `P`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CheckFinding<P> {
    /// How serious it is.
    pub severity: FindingSeverity,
    /// Place of the problem.
    pub place: P,
    /// Description of the problem.
    pub problem: String,
    /// How to correct it.
    pub remedy: String,
}

impl<P> CheckFinding<P> {
    /// Creates an error.
    pub fn error(place: P, problem: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self {
            severity: FindingSeverity::Error,
            place,
            problem: problem.into(),
            remedy: remedy.into(),
        }
    }

    /// Creates a warning.
    pub fn warning(place: P, problem: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self {
            severity: FindingSeverity::Warning,
            ..Self::error(place, problem, remedy)
        }
    }
}

impl<P: Display> Display for CheckFinding<P> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {}: {}; {}",
            self.severity, self.place, self.problem, self.remedy
        )
    }
}

/// Result of the check of a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CheckReport<P> {
    /// The file.
    pub file: String,
    /// Number of errors.
    pub errors: usize,
    /// Number of warnings.
    pub warnings: usize,
    /// Findings, errors first, at most [`MAX_LISTED`].
    pub findings: Vec<CheckFinding<P>>,
    /// Differences from the version that the file was compared with, at most [`MAX_LISTED`]; `None`
    /// if it was not compared.
    pub changes: Option<Vec<String>>,
    /// Number of further differences.
    pub omitted_changes: usize,
}

impl<P> CheckReport<P> {
    /// Report on `file` with `findings` in the order of their places.
    pub fn new(file: impl Into<String>, mut findings: Vec<CheckFinding<P>>) -> Self {
        findings.sort_by_key(|finding| finding.severity);
        let is_error = |finding: &&CheckFinding<P>| finding.severity == FindingSeverity::Error;
        let errors = findings.iter().filter(is_error).count();
        let warnings = findings.len() - errors;
        findings.truncate(MAX_LISTED);
        Self {
            file: file.into(),
            errors,
            warnings,
            findings,
            changes: None,
            omitted_changes: 0,
        }
    }

    /// Adds the differences from another version.
    #[must_use]
    pub fn with_changes(mut self, mut changes: Vec<String>) -> Self {
        self.omitted_changes = changes.len().saturating_sub(MAX_LISTED);
        changes.truncate(MAX_LISTED);
        self.changes = Some(changes);
        self
    }

    /// Counts `count` errors that the reader of the file found but did not keep.
    #[must_use]
    pub fn with_omitted_errors(mut self, count: usize) -> Self {
        self.errors += count;
        self
    }

    /// Exit status of the check: 0 for a clean file, 1 for warnings, 2 for errors.
    pub fn exit_status(&self) -> u8 {
        match (self.errors, self.warnings) {
            (0, 0) => 0,
            (0, _) => 1,
            _ => 2,
        }
    }
}

impl<P: Display> Display for CheckReport<P> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.findings {
            writeln!(f, "{finding}")?;
        }
        write_omitted(
            f,
            self.errors + self.warnings - self.findings.len(),
            "findings",
        )?;
        if let Some(changes) = &self.changes {
            for change in changes {
                writeln!(f, "change: {change}")?;
            }
            write_omitted(f, self.omitted_changes, "changes")?;
            if changes.is_empty() {
                writeln!(f, "Nothing would change.")?;
            }
        }
        match (self.errors, self.warnings) {
            (0, 0) => writeln!(f, "{}: no findings.", self.file),
            (errors, warnings) => {
                let (errors, warnings) = (counted(errors, "error"), counted(warnings, "warning"));
                writeln!(f, "{}: {errors}, {warnings}.", self.file)
            }
        }
    }
}

fn write_omitted(f: &mut fmt::Formatter<'_>, count: usize, what: &str) -> fmt::Result {
    if count == 0 {
        return Ok(());
    }
    writeln!(f, "and {count} more {what}")
}

/// `count` with `noun`, in the plural where it is not one.
pub(crate) fn counted(count: usize, noun: &str) -> String {
    let ending = if count == 1 { "" } else { "s" };
    format!("{count} {noun}{ending}")
}
