//! Tells the leading keeper what waits at endpoints and how fast streams go, and learns what the
//! other entries see.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Notify, watch};

use chestnutloft_core::routing::LoadShare;
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::clock;
use chestnutloft_wire::message::ShareCall;
use chestnutloft_wire::rpc::Method;
use chestnutloft_wire::rpc_client::RpcClient;

use super::call::ForwardGate;

/// Age up to which a view is used as it is: a few round trips within a region.
const FRESH_AGE: Duration = Duration::from_millis(15);
/// Longest time that a call waits for a newer view: a small part of any answer's time.
const FRESH_WAIT: Duration = Duration::from_millis(12);
/// Time in which changes are gathered before they are told.
const GATHER_TIME: Duration = Duration::from_millis(8);
/// Time for one exchange; one that takes longer tells nothing new.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Wait after an exchange without an answer.
const RETRY_WAIT: Duration = Duration::from_millis(100);

/// What the request path and the exchange tell each other.
pub struct WorkShare {
    /// Address of the leading keeper, where one is known.
    pub leader: watch::Sender<Option<String>>,
    known_at: watch::Sender<Option<TimePoint>>,
    wanted: Notify,
    changed: Notify,
}

impl Default for WorkShare {
    fn default() -> Self {
        Self {
            leader: watch::Sender::new(None),
            known_at: watch::Sender::new(None),
            wanted: Notify::new(),
            changed: Notify::new(),
        }
    }
}

impl WorkShare {
    /// Waits a little for a current view. Without one, the caller decides by what it sees itself.
    pub async fn freshen(&self, now: TimePoint) {
        let is_fresh = |at: &Option<TimePoint>| at.is_some_and(|at| now.since(at) < FRESH_AGE);
        if self.leader.borrow().is_none() || is_fresh(&self.known_at.borrow()) {
            return;
        }
        let mut known_at = self.known_at.subscribe();
        self.wanted.notify_one();
        let newer = known_at.wait_for(|at| at.is_some_and(|at| at >= now));
        let _ = tokio::time::timeout(FRESH_WAIT, newer).await;
    }

    /// Notes that the work of this entry has changed.
    pub fn note_change(&self) {
        self.changed.notify_one();
    }

    /// Waits until an exchange is due.
    async fn due(&self) {
        tokio::select! {
            () = self.wanted.notified() => return,
            () = self.changed.notified() => {}
        }
        let _ = tokio::time::timeout(GATHER_TIME, self.wanted.notified()).await;
    }
}

/// Exchanges until the process ends.
pub async fn share_work(gate: Arc<ForwardGate>, caller: RpcClient) {
    loop {
        gate.share.due().await;
        let leader = gate.share.leader.borrow().clone();
        let Some(leader) = leader else {
            tokio::time::sleep(RETRY_WAIT).await;
            continue;
        };
        let asked_at = clock::now();
        let call = ShareCall {
            entry: Arc::clone(&gate.name),
            share: gate.book().load_share(asked_at),
        };
        let reply = caller
            .call::<_, LoadShare>(&leader, Method::Share, &call, CALL_TIMEOUT)
            .await;
        match reply {
            Ok(reply) => {
                gate.book().note_others(asked_at, &reply);
                gate.share.known_at.send_replace(Some(asked_at));
            }
            Err(error) => {
                spdlog::debug!("share: no exchange with {leader}: {error}.");
                tokio::time::sleep(RETRY_WAIT).await;
            }
        }
    }
}
