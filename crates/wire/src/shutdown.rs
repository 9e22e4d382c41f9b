//! Signals that request shutdown or a reload of the settings.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Signals that the process handles. Install them before anything else: without a handler, each of
/// them ends the process.
#[derive(Debug)]
pub struct ProcessSignals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl ProcessSignals {
    /// Installs the handlers.
    ///
    /// # Errors
    /// The I/O error when a handler cannot be installed.
    pub fn install() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM or SIGINT. SIGHUP has no effect, since settings that may change are read
    /// when they are needed.
    pub async fn shutdown_requested(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => {
                    spdlog::info!("settings: nothing to reload; what may change is read when it is needed.");
                }
            }
        }
    }
}

/// Waits for SIGTERM or SIGINT, for programs whose start is short.
pub async fn requested() {
    match ProcessSignals::install() {
        Ok(mut signals) => signals.shutdown_requested().await,
        Err(error) => {
            spdlog::error!("process: cannot handle signals, which will end it at once: {error}.");
            std::future::pending::<()>().await;
        }
    }
}
