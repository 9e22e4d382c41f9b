//! What every program does before and after its own work.

use std::fmt;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use serde::de::DeserializeOwned;

use crate::logs;
use crate::settings::{self, SettingsFinding};

/// Exit code of a program whose settings are wrong.
const BAD_SETTINGS: u8 = 2;

/// Reads the settings at `path` and starts the log at the level that they name.
///
/// # Errors
/// The code to exit with, once all findings are printed.
pub fn prepare<T: DeserializeOwned>(
    path: &Path,
    check: impl FnOnce(&T) -> Vec<SettingsFinding>,
    log_level: impl FnOnce(&T) -> &str,
) -> Result<T, ExitCode> {
    let settings = settings::load(path, check).map_err(|findings| {
        settings::print_findings(path, &findings);
        ExitCode::from(BAD_SETTINGS)
    })?;
    logs::start(log_level(&settings)).map_err(|problem| {
        eprintln!("{}: log_level: {problem}", path.display());
        ExitCode::from(BAD_SETTINGS)
    })?;
    Ok(settings)
}

/// The settings file named on the command line, or `default` in the working folder.
pub fn settings_path(named: Option<PathBuf>, default: &str) -> PathBuf {
    named.unwrap_or_else(|| PathBuf::from(default))
}

/// Prints the settings that a program would use.
pub fn show(settings: &impl fmt::Debug) -> ExitCode {
    println!("{settings:#?}");
    ExitCode::SUCCESS
}

/// Logs why `part` ended, where it failed, and returns the code to exit with.
pub fn finish(part: &str, outcome: Result<(), String>) -> ExitCode {
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            spdlog::critical!("{part}: {problem}.");
            ExitCode::FAILURE
        }
    }
}
