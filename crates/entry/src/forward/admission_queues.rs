//! Queues of the calls that wait for an endpoint at this entry, one per service.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;

use chestnutloft_core::admission::{
    PriorityClass, QueueError, QueueForecast, QueuedCall, RefusalLoad, RefusalSchedule,
    WaitOutlook, WaitQueue, WaiterId,
};
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::clock;

use super::context::ForwardContext;
use super::inbound::InboundCall;

/// Waiting calls of one service.
#[derive(Debug, Default)]
struct ServiceQueue {
    queue: WaitQueue,
    refusals: RefusalSchedule,
    wakers: HashMap<WaiterId, Arc<Notify>>,
}

impl ServiceQueue {
    /// Wakes the call that may try next.
    fn wake_next(&mut self, now: TimePoint) {
        let next = self.queue.next(now);
        if let Some(waker) = next.and_then(|id| self.wakers.get(&id)) {
            waker.notify_one();
        }
    }
}

/// Queues of all services.
#[derive(Debug, Default)]
pub struct AdmissionQueues {
    services: Mutex<HashMap<Arc<str>, ServiceQueue>>,
}

/// A refusal's time to return, and what it was computed from.
#[derive(Clone, Copy, Debug)]
pub(super) struct RefusalForecast {
    pub retry_after: Duration,
    pub forecast: QueueForecast,
    pub work_per_ms: Option<f64>,
    pub waiting: usize,
}

impl AdmissionQueues {
    fn lock(&self) -> MutexGuard<'_, HashMap<Arc<str>, ServiceQueue>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a new call of `class` has to wait, since calls at least as urgent do.
    pub(super) fn must_wait(&self, now: TimePoint, service: &str, class: PriorityClass) -> bool {
        let mut services = self.lock();
        let service = services.get_mut(service);
        service.is_some_and(|service| service.queue.has_waiting(now, class))
    }

    /// Number of calls that wait.
    pub(super) fn waiting_count(&self) -> usize {
        let services = self.lock();
        services.values().map(|service| service.queue.len()).sum()
    }

    /// Queues a call of `service`.
    pub(super) fn join(
        &self,
        now: TimePoint,
        service: &Arc<str>,
        call: &QueuedCall<'_>,
    ) -> Result<(WaiterId, Arc<Notify>), QueueError> {
        let mut services = self.lock();
        let service = services.entry(Arc::clone(service)).or_default();
        let id = service.queue.join(now, call)?;
        let waker = Arc::new(Notify::new());
        service.wakers.insert(id, Arc::clone(&waker));
        Ok((id, waker))
    }

    /// When a caller should return whose call is refused now, with `time_left` until its deadline.
    pub(super) fn refusal_forecast(
        &self,
        now: TimePoint,
        service: &Arc<str>,
        call: &QueuedCall<'_>,
        time_left: Duration,
    ) -> RefusalForecast {
        let mut services = self.lock();
        let service = services.entry(Arc::clone(service)).or_default();
        let forecast = service.queue.forecast(now, call);
        let work_per_ms = service.queue.work_per_ms();
        let load = RefusalLoad {
            work_ahead_ms: forecast.work_ahead_ms,
            work_ms: call.work_ms,
            work_per_ms,
            time_left,
        };
        RefusalForecast {
            retry_after: service.refusals.retry_after(now, &load),
            forecast,
            work_per_ms,
            waiting: service.queue.len(),
        }
    }

    /// Wakes the first waiting call of each service, after an event that may have freed capacity.
    fn wake_all(&self, now: TimePoint) {
        for service in self.lock().values_mut() {
            service.queue.begin_round();
            service.wake_next(now);
        }
    }
}

/// A call in the queue of its service. Dropping it removes the call from the queue.
pub(super) struct QueuePlace {
    context: Arc<ForwardContext>,
    service: Arc<str>,
    urgency: u8,
    id: WaiterId,
    waker: Arc<Notify>,
    is_started: bool,
}

impl QueuePlace {
    /// Queues `call`.
    pub(super) fn join(
        context: &Arc<ForwardContext>,
        now: TimePoint,
        call: &InboundCall,
        queued: &QueuedCall<'_>,
    ) -> Result<Self, QueueError> {
        let (service, urgency) = (&call.service.name, call.urgency());
        let (id, waker) = context.admission.join(now, service, queued)?;
        context.metrics.record_waiting(service, urgency, 1);
        Ok(Self {
            context: Arc::clone(context),
            service: Arc::clone(service),
            urgency,
            id,
            waker,
            is_started: false,
        })
    }

    fn with_queue<T>(&self, act: impl FnOnce(&mut ServiceQueue) -> T) -> T {
        let mut services = self.context.admission.lock();
        act(services.entry(Arc::clone(&self.service)).or_default())
    }

    /// Prospect of the call.
    pub(super) fn outlook(&self, now: TimePoint) -> WaitOutlook {
        self.with_queue(|service| service.queue.outlook(now, self.id))
    }

    /// Whether the call may try now.
    pub(super) fn is_next(&self, now: TimePoint) -> bool {
        self.with_queue(|service| service.queue.next(now) == Some(self.id))
    }

    /// Whether the call may try out of turn, since the calls ahead of it could not use what is free.
    /// Otherwise begins a new round of tries: capacity may have become free by the passing of time.
    fn is_round_over(&self) -> bool {
        self.with_queue(|service| {
            let is_over = service.queue.is_round_over();
            if !is_over {
                service.queue.begin_round();
            }
            is_over
        })
    }

    /// Lets the next call try, since this one could not use the capacity of the present event.
    pub(super) fn pass_over(&self, now: TimePoint) {
        self.with_queue(|service| {
            service.queue.pass_over(self.id);
            service.wake_next(now);
        });
    }

    /// Removes the call, which has got a place.
    pub(super) fn start(mut self, now: TimePoint) {
        self.with_queue(|service| service.queue.start(now, self.id));
        self.is_started = true;
    }

    /// Waits until the call is woken or for `timeout`. Returns whether it may try out of turn.
    pub(super) async fn wait(&self, timeout: Duration) -> bool {
        let woken = self.waker.notified();
        tokio::time::timeout(timeout, woken).await.is_err() && self.is_round_over()
    }
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        let now = clock::now();
        self.with_queue(|service| {
            service.queue.leave(now, self.id);
            service.wakers.remove(&self.id);
            if !self.is_started {
                service.wake_next(now);
            }
        });
        if self.is_started {
            // The next call tries in a task of its own, once this one counts as in flight.
            self.context.capacity_changed.send_replace(());
        }
        let metrics = &self.context.metrics;
        metrics.record_waiting(&self.service, self.urgency, -1);
    }
}

/// Wakes waiting calls on each event that may have freed capacity, until the process ends. Events
/// that come together lead to one round of tries.
pub async fn run_admission(context: Arc<ForwardContext>) {
    let mut changed = context.capacity_changed.subscribe();
    while changed.changed().await.is_ok() {
        context.admission.wake_all(clock::now());
    }
}
