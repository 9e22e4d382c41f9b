//! Exchanges load information with the other entries through the leading keeper: pending work per
//! endpoint and the pace of streams.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::FutureExt;
use tokio::sync::{Notify, watch};

use chestnutloft_core::routing::{
    ExchangeInterval, ExchangeIntervalSettings, LoadSummary, ManagedLoad, exchange_interval,
};
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::clock;
use chestnutloft_wire::message::ShareCall;
use chestnutloft_wire::rpc::Method;
use chestnutloft_wire::rpc_client::RpcClient;

use super::context::ForwardContext;
use super::state::EntryState;

/// Longest time that a call waits for a refresh: a small part of any response time.
const MAX_REFRESH_WAIT: Duration = Duration::from_millis(12);
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
    /// Notified of changes of calls of services whose capacity is managed.
    managed_changed: Notify,
    settings: ExchangeIntervalSettings,
    /// Share of the slots in use at the fullest service with managed capacity, as of the last
    /// exchange; `None` if there is no such service.
    slot_share: Mutex<Option<f64>>,
}

impl Default for LoadExchange {
    fn default() -> Self {
        Self {
            leader: watch::Sender::new(None),
            refreshed_at: watch::Sender::new(None),
            refresh_requested: Notify::new(),
            changed: Notify::new(),
            managed_changed: Notify::new(),
            settings: ExchangeIntervalSettings::default(),
            slot_share: Mutex::new(None),
        }
    }
}

impl LoadExchange {
    /// Requests the other entries' load unless it is known as of `max_age` ago or later, and waits up
    /// to [`MAX_REFRESH_WAIT`] for it. After that, endpoints are chosen by what this entry already
    /// knows.
    async fn refresh(&self, now: TimePoint, max_age: Duration) {
        let is_fresh = |at: &Option<TimePoint>| at.is_some_and(|at| now.since(at) < max_age);
        if self.leader.borrow().is_none() || is_fresh(&self.refreshed_at.borrow()) {
            return;
        }
        let mut refreshed_at = self.refreshed_at.subscribe();
        self.refresh_requested.notify_one();
        let newer = refreshed_at.wait_for(|at| at.is_some_and(|at| at >= now));
        let _ = tokio::time::timeout(MAX_REFRESH_WAIT, newer).await;
    }

    /// Reports that calls of this entry have started or progressed.
    pub(super) fn notify_work_changed(&self, is_managed: bool) {
        if is_managed {
            self.managed_changed.notify_one();
        } else {
            self.changed.notify_one();
        }
    }

    /// Reports that this entry has news for the others.
    pub fn notify_changed(&self) {
        self.changed.notify_one();
    }

    fn slot_share(&self) -> Option<f64> {
        *self
            .slot_share
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn set_slot_share(&self, slot_share: Option<f64>) {
        *self
            .slot_share
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = slot_share;
    }

    /// Discards notices of changes that the next report contains. Without managed capacity, they lead
    /// to one more exchange.
    fn discard_reported_changes(&self) {
        if self.slot_share().is_some() {
            for changed in [&self.changed, &self.managed_changed] {
                let _ = changed.notified().now_or_never();
            }
        }
    }
}

impl ForwardContext {
    /// Interval of the exchange for calls of a service whose capacity is managed, or is not.
    fn exchange_interval(&self, is_managed: bool) -> ExchangeInterval {
        let slot_share = self.load_exchange.slot_share();
        let slot_share = slot_share.filter(|_| is_managed);
        let load = slot_share.map(|slot_share| ManagedLoad {
            slot_share,
            has_waiting: self.admission.waiting_count() > 0,
        });
        exchange_interval(&self.load_exchange.settings, load)
    }

    /// Requests the other entries' load if what is known is too old for a call of a service whose
    /// capacity is managed, or is not.
    pub(super) async fn refresh_load(&self, now: TimePoint, is_managed: bool) {
        let max_age = self.exchange_interval(is_managed).max_age;
        self.load_exchange.refresh(now, max_age).await;
    }

    /// Waits until an exchange is due: at once for a refresh, after the batch window for a change.
    async fn wait_until_exchange_due(&self) {
        let exchange = &self.load_exchange;
        let window = |is_managed| self.exchange_interval(is_managed).batch_window;
        tokio::select! {
            () = exchange.refresh_requested.notified() => return,
            () = exchange.changed.notified() => {}
            () = exchange.managed_changed.notified() => {
                tokio::select! {
                    () = exchange.refresh_requested.notified() => return,
                    () = exchange.changed.notified() => {}
                    () = tokio::time::sleep(window(true)) => return,
                }
            }
        }
        let refresh = exchange.refresh_requested.notified();
        let _ = tokio::time::timeout(window(false), refresh).await;
    }
}

impl EntryState {
    /// Calls of all entries as a share of the slots, at the fullest service whose capacity is managed;
    /// `None` if there is no such service.
    fn managed_slot_share(&self, now: TimePoint) -> Option<f64> {
        let services = self.declaration().services.iter();
        let managed = services.filter(|service| self.is_capacity_managed(&service.name));
        let slot_share = |service: &str| {
            let (mut calls, mut slots) = (0.0, 0.0);
            for endpoint in self.available_endpoints(service) {
                calls += self.endpoint_usage(now, endpoint).calls;
                slots += f64::from(endpoint.notice.slots);
            }
            calls / f64::max(slots, 1.0)
        };
        managed
            .map(|service| slot_share(&service.name))
            .max_by(f64::total_cmp)
    }
}

/// Runs exchanges until the process ends.
pub async fn run_load_exchange(context: Arc<ForwardContext>, rpc_client: RpcClient) {
    let mut last_leader = None;
    loop {
        context.wait_until_exchange_due().await;
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
        context.load_exchange.discard_reported_changes();
        let waiting_calls = context.admission.waiting_count();
        let call = ShareCall {
            entry: Arc::clone(&context.name),
            share: {
                let mut state = context.state();
                state.waiting_calls = waiting_calls;
                state.load_summary(requested_at)
            },
        };
        let reply = rpc_client
            .call::<_, LoadSummary>(&leader, Method::Share, &call, EXCHANGE_TIMEOUT)
            .await;
        match reply {
            Ok(reply) => {
                let slot_share = {
                    let mut state = context.state();
                    state.apply_peer_load(requested_at, &reply);
                    state.managed_slot_share(clock::now())
                };
                context.load_exchange.set_slot_share(slot_share);
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
