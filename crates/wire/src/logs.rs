//! Log lines: time, level, and a short sentence that starts with the name of its part.

use std::str::FromStr;

use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::{Level, LevelFilter};

/// Sets level and form of the log lines of this process.
///
/// # Errors
/// A sentence when `level` is not `trace`, `debug`, `info`, `warn`, `error` or `critical`.
pub fn start(level: &str) -> Result<(), String> {
    let level = Level::from_str(level)
        .map_err(|_| format!("log level {level:?} is unknown; write debug, info, warn or error"))?;
    let logger = spdlog::default_logger();
    logger.set_level_filter(LevelFilter::MoreSevereEqual(level));
    logger.set_flush_level_filter(LevelFilter::All);
    let form = PatternFormatter::new(pattern!("{datetime} {level} {payload}{eol}"));
    for sink in logger.sinks() {
        sink.set_formatter(Box::new(form.clone()));
    }
    Ok(())
}
