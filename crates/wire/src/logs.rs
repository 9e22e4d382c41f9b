//! Log lines: time, level, and a short sentence that starts with the name of its part.
//!
//! Lines go to standard output from a thread of their own, so that no call waits for whoever
//! reads them. When the reader is slower than the process for long, lines are dropped and
//! counted.

use std::num::NonZeroUsize;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, SinkPropAccess, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger, ThreadPool};

/// Lines that wait to be written at most: a second of a busy process.
const QUEUE_LINES: NonZeroUsize = NonZeroUsize::new(2_048).expect("not zero");

/// Lines dropped since the process started.
static DROPPED: AtomicU64 = AtomicU64::new(0);
/// Of these, the ones that a line has told of.
static TOLD: AtomicU64 = AtomicU64::new(0);

/// Sets level and form of the log lines of this process.
///
/// # Errors
/// A sentence when `level` is not `trace`, `debug`, `info`, `warn`, `error` or `critical`, or
/// the log cannot be set up.
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
    let pool = ThreadPool::builder().capacity(QUEUE_LINES).build_arc()?;
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
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Logs how many lines were dropped since the last such line, if any.
pub fn tell_dropped() {
    let dropped = dropped();
    let told = TOLD.swap(dropped, Ordering::Relaxed);
    if dropped > told {
        spdlog::warn!("log: {} lines were dropped.", dropped - told);
    }
}
