//! Announces stand-in endpoints to the entries, as real endpoints do.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::task::JoinHandle;

use chestnutloft_core::state::EndpointAnnouncement;
use chestnutloft_wire::http::{HttpClient, call_json, client};

/// Response timeout of an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Announces an endpoint to one entry at a time, in round-robin order.
#[derive(Debug)]
pub struct EndpointAnnouncer {
    announcement: Arc<Mutex<EndpointAnnouncement>>,
    task: JoinHandle<()>,
}

impl EndpointAnnouncer {
    /// Sends an announcement every `interval`, or after a quarter of it when one fails. `refresh`
    /// updates load and versions before each announcement.
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
            let mut next_entry = 0;
            loop {
                let current = next_announcement(&shared, &refresh);
                if send_announcement(&http, &entries, &mut next_entry, &current).await {
                    tokio::time::sleep(interval).await;
                } else {
                    tokio::time::sleep(interval / 4).await;
                }
            }
        });
        Self { announcement, task }
    }

    /// Marks the endpoint as leaving in all further announcements.
    pub fn set_leaving(&self) {
        let mut announcement = self
            .announcement
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        announcement.is_leaving = true;
    }

    /// Stops announcing at once, as an endpoint that crashes does.
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

/// Sends to the next entry; returns whether the entry accepted the announcement.
async fn send_announcement(
    http: &HttpClient,
    entries: &[SocketAddr],
    next_entry: &mut usize,
    announcement: &EndpointAnnouncement,
) -> bool {
    let Some(entry) = entries.get(*next_entry % entries.len().max(1)) else {
        return false;
    };
    let uri = format!("http://{entry}/endpoint/v1/announce");
    let body = Some(announcement);
    let reply: Result<serde_json::Value, _> =
        call_json(http, "POST", &uri, None, body, ANNOUNCE_TIMEOUT).await;
    *next_entry += 1;
    reply.is_ok()
}
