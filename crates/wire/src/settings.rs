//! Settings files in YAML. All findings of a file are reported together.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use serde::de::DeserializeOwned;

/// A problem in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFinding {
    /// Path of the field, such as `listen` or `keepers[1]`; `file` or a file path if the whole file
    /// is concerned.
    pub field: String,
    /// Description of the problem.
    pub problem: String,
}

impl SettingsFinding {
    /// Creates a finding about `field`.
    pub fn new(field: impl Into<String>, problem: impl Into<String>) -> Self {
        Self {
            field: field.into(),
            problem: problem.into(),
        }
    }
}

impl fmt::Display for SettingsFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.problem)
    }
}

/// Parses settings from YAML text. Each field is decoded separately, so that the findings of all
/// fields are reported together. Only if there are none, `check` validates value ranges and
/// constraints across fields.
///
/// # Errors
/// All findings.
pub fn parse<T: DeserializeOwned>(
    text: &str,
    check: impl FnOnce(&T) -> Vec<SettingsFinding>,
) -> Result<T, Vec<SettingsFinding>> {
    let file_finding =
        |error: &dyn fmt::Display| vec![SettingsFinding::new("file", error.to_string())];
    let document: serde_json::Value = if text.trim().is_empty() {
        serde_json::Value::Object(serde_json::Map::new())
    } else {
        serde_saphyr::from_str(text).map_err(|e| file_finding(&e))?
    };
    let serde_json::Value::Object(fields) = document else {
        return Err(file_finding(&"the file must hold a mapping of fields"));
    };
    let findings: Vec<SettingsFinding> = fields
        .iter()
        .filter_map(|(field, value)| {
            let single_field = serde_json::Map::from_iter([(field.clone(), value.clone())]);
            let result = serde_json::from_value::<T>(serde_json::Value::Object(single_field));
            let error = result.err()?;
            Some(SettingsFinding::new(field, error.to_string()))
        })
        .collect();
    if !findings.is_empty() {
        return Err(findings);
    }
    let settings: T = serde_json::from_value(serde_json::Value::Object(fields))
        .map_err(|error| file_finding(&error))?;
    let findings = check(&settings);
    if findings.is_empty() {
        Ok(settings)
    } else {
        Err(findings)
    }
}

/// Loads settings from a file.
///
/// # Errors
/// All findings; a file that cannot be read is one finding.
pub fn load<T: DeserializeOwned>(
    path: &Path,
    check: impl FnOnce(&T) -> Vec<SettingsFinding>,
) -> Result<T, Vec<SettingsFinding>> {
    let text = std::fs::read_to_string(path).map_err(|e| {
        vec![SettingsFinding::new(
            path.display().to_string(),
            e.to_string(),
        )]
    })?;
    parse(&text, check)
}

/// Prints findings to standard error, one per line.
pub fn print_findings(file: &Path, findings: &[SettingsFinding]) {
    for finding in findings {
        eprintln!("{}: {finding}", file.display());
    }
}

/// Reads the seeds, the addresses of some keepers, from the settings file again; `None` if the file
/// cannot be read or is invalid.
pub type SeedReader = Arc<dyn Fn() -> Option<Vec<SocketAddr>> + Send + Sync>;

/// Creates a reader of the seeds in the settings file at `path`. Logs why a reload failed.
pub fn seed_reader<T, C, S>(path: &Path, check: C, seeds: S) -> SeedReader
where
    T: DeserializeOwned,
    C: Fn(&T) -> Vec<SettingsFinding> + Send + Sync + 'static,
    S: Fn(&T) -> Vec<SocketAddr> + Send + Sync + 'static,
{
    let path = path.to_owned();
    Arc::new(move || match load::<T>(&path, &check) {
        Ok(settings) => Some(seeds(&settings)),
        Err(findings) => {
            let findings: Vec<String> = findings.iter().map(ToString::to_string).collect();
            spdlog::warn!(
                "settings: could not reload the seeds from {}: {}.",
                path.display(),
                findings.join("; ")
            );
            None
        }
    })
}
