//! Settings files in YAML, checked whole.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use serde::de::DeserializeOwned;

/// One thing that is wrong with a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFinding {
    /// Path of the field, such as `listen` or `keepers[1]`.
    pub field: String,
    /// What is wrong.
    pub problem: String,
}

impl SettingsFinding {
    /// A finding at `field`.
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

/// Reads settings from YAML text. Each field is read by itself, so that all findings come
/// together; `check` adds those that concern values and several fields.
///
/// # Errors
/// All findings.
pub fn parse<T: DeserializeOwned>(
    text: &str,
    check: impl FnOnce(&T) -> Vec<SettingsFinding>,
) -> Result<T, Vec<SettingsFinding>> {
    let whole = |error: &dyn fmt::Display| vec![SettingsFinding::new("file", error.to_string())];
    let tree: serde_json::Value = if text.trim().is_empty() {
        serde_json::Value::Object(serde_json::Map::new())
    } else {
        serde_saphyr::from_str(text).map_err(|e| whole(&e))?
    };
    let serde_json::Value::Object(fields) = tree else {
        return Err(whole(&"the file must hold a mapping of fields"));
    };
    let findings: Vec<SettingsFinding> = fields
        .iter()
        .filter_map(|(field, value)| {
            let single = serde_json::Map::from_iter([(field.clone(), value.clone())]);
            let read = serde_json::from_value::<T>(serde_json::Value::Object(single));
            let error = read.err()?;
            Some(SettingsFinding::new(field, error.to_string()))
        })
        .collect();
    if !findings.is_empty() {
        return Err(findings);
    }
    let settings: T =
        serde_json::from_value(serde_json::Value::Object(fields)).map_err(|error| whole(&error))?;
    let findings = check(&settings);
    if findings.is_empty() {
        Ok(settings)
    } else {
        Err(findings)
    }
}

/// Reads settings from a file.
///
/// # Errors
/// All findings, the unreadable file among them.
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

/// Prints findings to standard error, for a process that then exits with code 2.
pub fn print_findings(file: &Path, findings: &[SettingsFinding]) {
    for finding in findings {
        eprintln!("{}: {finding}", file.display());
    }
}

/// Reads the addresses of some keepers anew from the settings file; `None` where the file cannot
/// be used at present.
pub type SeedReader = Arc<dyn Fn() -> Option<Vec<SocketAddr>> + Send + Sync>;

/// A reader of the seeds in the settings file at `path`.
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
            spdlog::warn!("settings: the file is not used: {}.", findings.join("; "));
            None
        }
    })
}
