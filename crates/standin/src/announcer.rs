//! Announces a stand-in to the entries, as endpoints do.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::task::JoinHandle;

use chestnutloft_core::state::EndpointAnnouncement;
use chestnutloft_wire::http::{HttpClient, call_json, client};

/// Time for an entry to answer.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Announces one endpoint to one entry after another.
#[derive(Debug)]
pub struct EndpointAnnouncer {
    announcement: Arc<Mutex<EndpointAnnouncement>>,
    task: JoinHandle<()>,
}

impl EndpointAnnouncer {
    /// Announces every `interval`; `refresh` brings load and versions up to date before.
    pub fn start(
        announcement: EndpointAnnouncement,
        entries: Vec<SocketAddr>,
        interval: Duration,
        refresh: impl Fn(&mut EndpointAnnouncement) + Send + 'static,
    ) -> Self {
        let announcement = Arc::new(Mutex::new(announcement));
        let shared = Arc::clone(&announcement);
        let task = tokio::spawn(async move {
            let http = client();
            let mut turn = 0;
            loop {
                let current = next_announcement(&shared, &refresh);
                if send(&http, &entries, &mut turn, &current).await {
                    tokio::time::sleep(interval).await;
                } else {
                    tokio::time::sleep(interval / 4).await;
                }
            }
        });
        Self { announcement, task }
    }

    /// Says from now on that the endpoint is leaving.
    pub fn leave(&self) {
        let mut announcement = self
            .announcement
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        announcement.is_leaving = true;
    }

    /// Falls silent.
    pub fn stop(&self) {
        self.task.abort();
    }
}

fn next_announcement(
    shared: &Mutex<EndpointAnnouncement>,
    refresh: &impl Fn(&mut EndpointAnnouncement),
) -> EndpointAnnouncement {
    let mut announcement = shared.lock().unwrap_or_else(PoisonError::into_inner);
    announcement.sequence += 1;
    refresh(&mut announcement);
    announcement.clone()
}

async fn send(
    http: &HttpClient,
    entries: &[SocketAddr],
    turn: &mut usize,
    announcement: &EndpointAnnouncement,
) -> bool {
    let Some(entry) = entries.get(*turn % entries.len().max(1)) else {
        return false;
    };
    let uri = format!("http://{entry}/endpoint/v1/announce");
    let call = Some(announcement);
    let reply: Result<serde_json::Value, _> =
        call_json(http, "POST", &uri, None, call, ANNOUNCE_TIMEOUT).await;
    *turn += 1;
    reply.is_ok()
}
