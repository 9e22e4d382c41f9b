//! Signals that request shutdown or a reload of the settings.

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT.
pub async fn requested() {
    let terminate = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    match (terminate, interrupt) {
        (Ok(mut terminate), Ok(mut interrupt)) => {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        }
        _ => std::future::pending().await,
    }
}

/// Calls `reload` on each SIGHUP, which without a handler would terminate the process. Never
/// returns.
pub async fn on_reload(reload: impl Fn()) {
    match signal(SignalKind::hangup()) {
        Ok(mut hangup) => {
            while hangup.recv().await.is_some() {
                reload();
            }
        }
        Err(error) => spdlog::error!(
            "settings: could not install the SIGHUP handler; SIGHUP will terminate the process: \
             {error}."
        ),
    }
    std::future::pending::<()>().await;
}
