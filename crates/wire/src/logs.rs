//! Logging to standard output. A line holds the time, the level and a message that starts with the
//! name of the component.
//!
//! A separate thread writes the lines, so that logging never blocks on the reader of standard
//! output. Lines are dropped and counted while the queue is full.

use std::num::NonZeroUsize;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, SinkPropAccess, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger, ThreadPool};

/// Capacity of the line queue: about one second of output of a busy process.
const MAX_QUEUED_LINES: NonZeroUsize = NonZeroUsize::new(2_048).expect("not zero");

/// Lines dropped since the process started.
static DROPPED: AtomicU64 = AtomicU64::new(0);
/// Dropped lines that have been reported in the log.
static REPORTED: AtomicU64 = AtomicU64::new(0);

/// Sets up logging of this process at `level`.
///
/// # Errors
/// A description when `level` is not `trace`, `debug`, `info`, `warn`, `error` or `critical`, or
/// when logging cannot be set up.
pub fn start(level: &str) -> Result<(), String> {
    let level = Level::from_str(level)
        .map_err(|_| format!("log level {level:?} is unknown; write debug, info, warn or error"))?;
    let logger = queued_logger(level).map_err(|error| error.to_string())?;
    spdlog::set_default_logger(logger);
    Ok(())
}

fn queued_logger(level: Level) -> Result<Arc<Logger>, spdlog::Error> {
    let output = StdStreamSink::builder().stdout().build_arc()?;
    output.set_formatter(Box::new(PatternFormatter::new(pattern!(
        "{datetime} {level} {payload}{eol}"
    ))));
    let pool = ThreadPool::builder()
        .capacity(MAX_QUEUED_LINES)
        .build_arc()?;
    let queue = AsyncPoolSink::builder()
        .sink(output)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build_arc()?;
    let logger = Logger::builder()
        .sink(queue)
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .flush_level_filter(LevelFilter::Off)
        .error_handler(|_| {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        })
        .build_arc()?;
    Ok(logger)
}

/// Lines dropped since the process started.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Logs the number of lines dropped since the last report, if any.
pub fn report_dropped_lines() {
    let dropped_lines = dropped_lines();
    let reported = REPORTED.swap(dropped_lines, Ordering::Relaxed);
    if dropped_lines > reported {
        spdlog::warn!(
            "log: dropped {} lines because standard output was read too slowly.",
            dropped_lines - reported
        );
    }
}
