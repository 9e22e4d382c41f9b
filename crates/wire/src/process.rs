//! Start and exit code common to all programs.

use std::fmt;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use serde::de::DeserializeOwned;

use crate::logs;
use crate::settings::{self, SettingsFinding};

/// Exit code for invalid settings.
const BAD_SETTINGS: u8 = 2;

/// Loads the settings at `path` and starts logging at the level that they set.
///
/// # Errors
/// The exit code, after all findings have been printed to standard error.
pub fn prepare<T: DeserializeOwned>(
    path: &Path,
    check: impl FnOnce(&T) -> Vec<SettingsFinding>,
    log_level: impl FnOnce(&T) -> &str,
) -> Result<T, ExitCode> {
    let settings = settings::load(path, check).map_err(|findings| {
        settings::print_findings(path, &findings);
        ExitCode::from(BAD_SETTINGS)
    })?;
    logs::start(log_level(&settings)).map_err(|error| {
        eprintln!("{}: log_level: {error}", path.display());
        ExitCode::from(BAD_SETTINGS)
    })?;
    Ok(settings)
}

/// Path of the settings file: the one given on the command line, or `default` in the working
/// directory.
pub fn settings_path(given: Option<PathBuf>, default: &str) -> PathBuf {
    given.unwrap_or_else(|| PathBuf::from(default))
}

/// Prints the effective settings to standard output.
pub fn print_settings(settings: &impl fmt::Debug) -> ExitCode {
    println!("{settings:#?}");
    ExitCode::SUCCESS
}

/// Converts the outcome of `part` to an exit code; logs the error if it failed.
pub fn exit_code(part: &str, outcome: Result<(), String>) -> ExitCode {
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            spdlog::critical!("{part}: {error}.");
            ExitCode::FAILURE
        }
    }
}
