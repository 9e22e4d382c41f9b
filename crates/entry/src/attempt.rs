//! Acquires capacity on an endpoint for one attempt of a request, and releases it.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use chestnutloft_core::admission::{QueueError, WaiterId};
use chestnutloft_core::pipe::{
    AttemptFailure, AttemptHistory, AttemptObservation, EndpointChoice, NoEndpoint, ParsedRequest,
    Refusal, RefusalCode, RetryDecision,
};
use chestnutloft_core::state::PoolKey;
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::clock;

use crate::context::EntryContext;

/// Maximum wait for a pool in which no endpoint is available; the deadline may end it earlier.
const EMPTY_POOL_TIMEOUT: Duration = Duration::from_secs(5);
/// Queued requests woken per pool when capacity may have become available.
const WAKE_BATCH: usize = 4;

/// An attempt running on an endpoint. Dropping it ends the attempt without a failure.
pub struct RunningAttempt {
    context: Arc<EntryContext>,
    pool: PoolKey,
    choice: EndpointChoice,
    started_at: TimePoint,
    first_token: Option<Duration>,
    is_finished: bool,
}

impl RunningAttempt {
    /// Endpoint that serves the attempt.
    pub fn choice(&self) -> &EndpointChoice {
        &self.choice
    }

    /// Records the time to the first token; later calls have no effect.
    pub fn record_first_token(&mut self) {
        if self.first_token.is_none() {
            self.first_token = Some(clock::now().since(self.started_at));
        }
    }

    /// Ends the attempt, releases its capacity and wakes a queued request.
    pub fn finish(mut self, failure: Option<AttemptFailure>) {
        self.end(failure);
    }

    fn end(&mut self, failure: Option<AttemptFailure>) {
        if std::mem::replace(&mut self.is_finished, true) {
            return;
        }
        let now = clock::now();
        let observation = AttemptObservation {
            first_token: self.first_token,
            total: now.since(self.started_at),
            failure,
        };
        let mut router = self.context.router();
        router.finish_attempt(now, &self.pool, &self.choice, observation);
        drop(router);
        wake_queued(&self.context, &self.pool, 1);
    }
}

impl Drop for RunningAttempt {
    fn drop(&mut self) {
        // The caller disconnected, which is no failure of the endpoint.
        self.end(None);
    }
}

/// A request waiting in a queue. Dropping it removes the request from the queue.
struct QueuedRequest<'a> {
    context: &'a EntryContext,
    pool: &'a PoolKey,
    waiter: WaiterId,
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        let now = clock::now();
        self.context
            .router()
            .queue(self.pool)
            .leave(now, self.waiter);
        self.context
            .queue_wakers()
            .remove(&(self.pool.clone(), self.waiter));
    }
}

/// Wakes up to `count` requests that are queued for `pool`.
pub fn wake_queued(context: &EntryContext, pool: &PoolKey, count: usize) {
    for _ in 0..count {
        let Some(waiter) = context.router().pop_waiting(clock::now(), pool) else {
            return;
        };
        let waker = context.queue_wakers().remove(&(pool.clone(), waiter));
        if let Some(waker) = waker {
            let _ = waker.send(());
        }
    }
}

/// Wakes up to [`WAKE_BATCH`] requests of every pool, for capacity that became available without a
/// request finishing.
pub fn wake_queued_in_all_pools(context: &EntryContext) {
    let pools = context.router().waiting_pools();
    for pool in pools {
        wake_queued(context, &pool, WAKE_BATCH);
    }
}

/// Starts an attempt on an endpoint of `pool`, waiting in the queue if none has capacity.
///
/// # Errors
/// [`Refusal`] when no endpoint has capacity before the deadline, the queue is full, or the entry
/// may not start work.
pub async fn acquire(
    context: &Arc<EntryContext>,
    pool: &PoolKey,
    parsed: &ParsedRequest,
    block_hashes: &[u64],
    history: &mut AttemptHistory,
) -> Result<RunningAttempt, Refusal> {
    let wait_started_at = clock::now();
    let mut was_woken = false;
    loop {
        context.check_may_start()?;
        let now = clock::now();
        let reason = match try_start(context, pool, parsed, block_hashes, history, was_woken) {
            Ok(choice) => {
                return Ok(RunningAttempt {
                    context: Arc::clone(context),
                    pool: pool.clone(),
                    choice,
                    started_at: now,
                    first_token: None,
                    is_finished: false,
                });
            }
            Err(reason) => reason,
        };
        if reason == NoEndpoint::AllCold {
            context.cold_slot_demand.notify_one();
        }
        let wait_until = match reason {
            NoEndpoint::NoneAvailable => {
                (wait_started_at + EMPTY_POOL_TIMEOUT).min(parsed.deadline)
            }
            NoEndpoint::AllBusy | NoEndpoint::AllCold => parsed.deadline,
            NoEndpoint::MayNotRunAgain => now,
        };
        if now >= wait_until {
            return Err(no_endpoint_refusal(pool, reason));
        }
        wait_in_queue(context, pool, parsed, wait_until).await?;
        was_woken = true;
    }
}

fn try_start(
    context: &EntryContext,
    pool: &PoolKey,
    parsed: &ParsedRequest,
    block_hashes: &[u64],
    history: &mut AttemptHistory,
    was_woken: bool,
) -> Result<EndpointChoice, NoEndpoint> {
    let mut router = context.router();
    // Requests that have not been queued must not overtake queued ones.
    if !was_woken && !router.queue(pool).is_empty() {
        return Err(NoEndpoint::AllBusy);
    }
    let wall_now = clock::wall_now();
    router.start_attempt(
        clock::now(),
        wall_now,
        pool,
        parsed.input_tokens,
        block_hashes,
        history,
    )
}

fn no_endpoint_refusal(pool: &PoolKey, reason: NoEndpoint) -> Refusal {
    let pool = match pool {
        PoolKey::Version(version) => format!("version {version}"),
        PoolKey::Service(service) => format!("service {service}"),
    };
    let message = match reason {
        NoEndpoint::NoneAvailable => format!("no endpoint of {pool} is available"),
        NoEndpoint::AllBusy => format!("all endpoints of {pool} stayed busy"),
        NoEndpoint::AllCold => format!("all endpoints of {pool} are cold"),
        NoEndpoint::MayNotRunAgain => "the request may have run and may run only once".to_owned(),
    };
    Refusal::not_run(RefusalCode::NoEndpoint, message).retry_after(Duration::from_secs(1))
}

async fn wait_in_queue(
    context: &EntryContext,
    pool: &PoolKey,
    parsed: &ParsedRequest,
    until: TimePoint,
) -> Result<(), Refusal> {
    let now = clock::now();
    let (waker, woken) = oneshot::channel();
    let queued_request = {
        let mut router = context.router();
        let joined = router.join_waiting(
            now,
            pool,
            &parsed.workspace,
            parsed.priority,
            parsed.deadline,
        );
        let waiter = joined.map_err(|error| queue_refusal(&error))?;
        context.queue_wakers().insert((pool.clone(), waiter), waker);
        QueuedRequest {
            context,
            pool,
            waiter,
        }
    };
    let _ = tokio::time::timeout(until.since(now), woken).await;
    drop(queued_request);
    Ok(())
}

fn queue_refusal(error: &QueueError) -> Refusal {
    match error {
        QueueError::Full(wait) => {
            Refusal::not_run(RefusalCode::Overloaded, "the queue is full").retry_after(*wait)
        }
        QueueError::DeadlineUnreachable(wait) => Refusal::not_run(
            RefusalCode::DeadlineUnreachable,
            format!("the wait is {} ms, past the deadline", wait.as_millis()),
        )
        .retry_after(*wait),
    }
}

/// Ends a failed attempt and decides whether the request is retried.
pub fn fail(
    context: &EntryContext,
    pool: &PoolKey,
    parsed: &ParsedRequest,
    attempt: RunningAttempt,
    failure: AttemptFailure,
    history: &mut AttemptHistory,
) -> RetryDecision {
    spdlog::warn!(
        "dispatch: attempt on endpoint {} failed: {failure:?}.",
        attempt.choice.endpoint
    );
    attempt.finish(Some(failure));
    let next = context
        .router()
        .decide_retry(clock::now(), pool, history, failure, parsed);
    if matches!(next, RetryDecision::Retry(_)) {
        context.metrics.record_retry();
    }
    next
}
