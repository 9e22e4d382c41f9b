//! Exchanges load information with the other entries through the leading keeper: pending work per
//! endpoint and the pace of streams.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Notify, watch};

use chestnutloft_core::routing::LoadSummary;
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::clock;
use chestnutloft_wire::message::ShareCall;
use chestnutloft_wire::rpc::Method;
use chestnutloft_wire::rpc_client::RpcClient;

use super::context::ForwardContext;

/// Age up to which the other entries' load is used without a refresh: a few round trips within a
/// region.
const MAX_LOAD_AGE: Duration = Duration::from_millis(15);
/// Longest time that a call waits for a refresh: a small part of any response time.
const MAX_REFRESH_WAIT: Duration = Duration::from_millis(12);
/// Time in which changes are collected before they are reported together.
const BATCH_WINDOW: Duration = Duration::from_millis(8);
/// Timeout of one exchange; load that arrives later is out of date.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay after a failed exchange.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Signals between the request path and the task that runs the exchange.
pub struct LoadExchange {
    /// RPC address of the leading keeper, where one is known.
    pub leader: watch::Sender<Option<String>>,
    /// When the last successful exchange was started.
    refreshed_at: watch::Sender<Option<TimePoint>>,
    refresh_requested: Notify,
    changed: Notify,
}

impl Default for LoadExchange {
    fn default() -> Self {
        Self {
            leader: watch::Sender::new(None),
            refreshed_at: watch::Sender::new(None),
            refresh_requested: Notify::new(),
            changed: Notify::new(),
        }
    }
}

impl LoadExchange {
    /// Requests the other entries' current load and waits up to [`MAX_REFRESH_WAIT`] for it.
    /// After that, endpoints are chosen by what this entry already knows.
    pub async fn refresh(&self, now: TimePoint) {
        let is_fresh = |at: &Option<TimePoint>| at.is_some_and(|at| now.since(at) < MAX_LOAD_AGE);
        if self.leader.borrow().is_none() || is_fresh(&self.refreshed_at.borrow()) {
            return;
        }
        let mut refreshed_at = self.refreshed_at.subscribe();
        self.refresh_requested.notify_one();
        let newer = refreshed_at.wait_for(|at| at.is_some_and(|at| at >= now));
        let _ = tokio::time::timeout(MAX_REFRESH_WAIT, newer).await;
    }

    /// Reports that this entry's pending work has changed.
    pub fn notify_changed(&self) {
        self.changed.notify_one();
    }

    /// Waits until an exchange is due: at once for a refresh, after [`BATCH_WINDOW`] for a change.
    async fn wait_until_due(&self) {
        tokio::select! {
            () = self.refresh_requested.notified() => return,
            () = self.changed.notified() => {}
        }
        let _ = tokio::time::timeout(BATCH_WINDOW, self.refresh_requested.notified()).await;
    }
}

/// Runs exchanges until the process ends.
pub async fn run_load_exchange(context: Arc<ForwardContext>, rpc_client: RpcClient) {
    let mut last_leader = None;
    loop {
        context.load_exchange.wait_until_due().await;
        let leader = context.load_exchange.leader.borrow().clone();
        let Some(leader) = leader else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        let requested_at = clock::now();
        if last_leader.as_ref() != Some(&leader) {
            context.state().reset_peer_sums();
            last_leader = Some(leader.clone());
        }
        let call = ShareCall {
            entry: Arc::clone(&context.name),
            share: context.state().load_summary(requested_at),
        };
        let reply = rpc_client
            .call::<_, LoadSummary>(&leader, Method::Share, &call, EXCHANGE_TIMEOUT)
            .await;
        match reply {
            Ok(reply) => {
                context.state().apply_peer_load(requested_at, &reply);
                context
                    .load_exchange
                    .refreshed_at
                    .send_replace(Some(requested_at));
                context.capacity_changed.send_replace(());
            }
            Err(error) => {
                context.state().reset_peer_sums();
                spdlog::debug!(
                    "load exchange: keeper {leader} failed: {error}; next exchange in {} ms at the earliest.",
                    RETRY_DELAY.as_millis()
                );
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}
