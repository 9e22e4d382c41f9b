//! Getting a place on an endpoint, and giving it back.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use chestnutloft_core::pipe::{
    AttemptFailure, AttemptHistory, AttemptObservation, EndpointChoice, NoEndpoint, ParsedRequest,
    QueueError, Refusal, RefusalCode, RetryDecision, WaiterId,
};
use chestnutloft_core::state::PoolKey;
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::clock;

use crate::context::EntryContext;

/// Longest wait for a pool in which no endpoint is available.
const EMPTY_POOL_PATIENCE: Duration = Duration::from_secs(5);
/// Requests that are woken at once when capacity may have come.
const WAKE_BATCH: usize = 4;

/// A request under way on an endpoint. Dropping it counts as a broken attempt.
pub struct RunningAttempt {
    context: Arc<EntryContext>,
    pool: PoolKey,
    choice: EndpointChoice,
    started: TimePoint,
    first_token: Option<Duration>,
    is_finished: bool,
}

impl RunningAttempt {
    /// The endpoint.
    pub fn choice(&self) -> &EndpointChoice {
        &self.choice
    }

    /// Notes that the first token has come.
    pub fn note_token(&mut self) {
        if self.first_token.is_none() {
            self.first_token = Some(clock::now().since(self.started));
        }
    }

    /// Ends the attempt.
    pub fn finish(mut self, failure: Option<AttemptFailure>) {
        self.end(failure);
    }

    fn end(&mut self, failure: Option<AttemptFailure>) {
        if std::mem::replace(&mut self.is_finished, true) {
            return;
        }
        let now = clock::now();
        let seen = AttemptObservation {
            first_token: self.first_token,
            total: now.since(self.started),
            failure,
        };
        let mut router = self.context.router();
        router.finish_attempt(now, &self.pool, &self.choice, seen);
        drop(router);
        wake_waiting(&self.context, &self.pool, 1);
    }
}

impl Drop for RunningAttempt {
    fn drop(&mut self) {
        // The caller went away: nothing is known against the endpoint.
        self.end(None);
    }
}

/// A place in the queue. Dropping it leaves the queue.
struct QueuePlace<'a> {
    context: &'a EntryContext,
    pool: &'a PoolKey,
    ticket: WaiterId,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        self.context.router().queue(self.pool).leave(self.ticket);
        self.context
            .wakers()
            .remove(&(self.pool.clone(), self.ticket));
    }
}

/// Wakes requests that wait for `pool`.
pub fn wake_waiting(context: &EntryContext, pool: &PoolKey, count: usize) {
    for _ in 0..count {
        let Some(ticket) = context.router().pop_waiting(clock::now(), pool) else {
            return;
        };
        let waker = context.wakers().remove(&(pool.clone(), ticket));
        if let Some(waker) = waker {
            let _ = waker.send(());
        }
    }
}

/// Wakes some requests of every pool, for capacity that came without a request's end.
pub fn wake_all_pools(context: &EntryContext) {
    let pools = context.router().waiting_pools();
    for pool in pools {
        wake_waiting(context, &pool, WAKE_BATCH);
    }
}

/// Gets a place on an endpoint of `pool`, waiting for one where needed.
///
/// # Errors
/// [`Refusal`] when no place can be had before the deadline.
pub async fn acquire(
    context: &Arc<EntryContext>,
    pool: &PoolKey,
    ticket: &ParsedRequest,
    blocks: &[u64],
    log: &mut AttemptHistory,
) -> Result<RunningAttempt, Refusal> {
    let began = clock::now();
    let mut is_called = false;
    loop {
        context.check_may_start()?;
        let now = clock::now();
        let reason = match try_start(context, pool, ticket, blocks, log, is_called) {
            Ok(choice) => {
                return Ok(RunningAttempt {
                    context: Arc::clone(context),
                    pool: pool.clone(),
                    choice,
                    started: now,
                    first_token: None,
                    is_finished: false,
                });
            }
            Err(reason) => reason,
        };
        if reason == NoEndpoint::AllCold {
            context.demand.notify_one();
        }
        let patience_ends = match reason {
            NoEndpoint::NoneAvailable => (began + EMPTY_POOL_PATIENCE).min(ticket.deadline),
            NoEndpoint::AllBusy | NoEndpoint::AllCold => ticket.deadline,
        };
        if now >= patience_ends {
            return Err(no_place(pool, reason));
        }
        wait_for_turn(context, pool, ticket, patience_ends).await?;
        is_called = true;
    }
}

fn try_start(
    context: &EntryContext,
    pool: &PoolKey,
    ticket: &ParsedRequest,
    blocks: &[u64],
    log: &mut AttemptHistory,
    is_called: bool,
) -> Result<EndpointChoice, NoEndpoint> {
    let mut router = context.router();
    // Nobody overtakes those who wait already.
    if !is_called && !router.queue(pool).is_empty() {
        return Err(NoEndpoint::AllBusy);
    }
    let wall_now = clock::wall_now();
    router.start_attempt(
        clock::now(),
        wall_now,
        pool,
        ticket.input_tokens,
        blocks,
        log,
    )
}

fn no_place(pool: &PoolKey, reason: NoEndpoint) -> Refusal {
    let pool = match pool {
        PoolKey::Version(version) => format!("version {version}"),
        PoolKey::Service(service) => format!("service {service}"),
    };
    let message = match reason {
        NoEndpoint::NoneAvailable => format!("no endpoint of {pool} is available"),
        NoEndpoint::AllBusy => format!("all endpoints of {pool} stayed busy"),
        NoEndpoint::AllCold => format!("all endpoints of {pool} are cold"),
    };
    Refusal::not_run(RefusalCode::NoEndpoint, message).retry_after(Duration::from_secs(1))
}

async fn wait_for_turn(
    context: &EntryContext,
    pool: &PoolKey,
    ticket: &ParsedRequest,
    until: TimePoint,
) -> Result<(), Refusal> {
    let now = clock::now();
    let (waker, woken) = oneshot::channel();
    let place = {
        let mut router = context.router();
        let joined =
            router
                .queue(pool)
                .join(now, &ticket.workspace, ticket.priority, ticket.deadline);
        let wait_ticket = joined.map_err(|fault| queue_refusal(&fault))?;
        context.wakers().insert((pool.clone(), wait_ticket), waker);
        QueuePlace {
            context,
            pool,
            ticket: wait_ticket,
        }
    };
    let _ = tokio::time::timeout(until.since(now), woken).await;
    drop(place);
    Ok(())
}

fn queue_refusal(fault: &QueueError) -> Refusal {
    match fault {
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

/// Ends a failed attempt and decides what follows.
pub fn fail(
    context: &EntryContext,
    pool: &PoolKey,
    ticket: &ParsedRequest,
    attempt: RunningAttempt,
    failure: AttemptFailure,
    log: &mut AttemptHistory,
) -> RetryDecision {
    spdlog::warn!(
        "dispatch: attempt on {} failed: {failure:?}.",
        attempt.choice.endpoint
    );
    attempt.finish(Some(failure));
    let next = context
        .router()
        .decide_retry(clock::now(), pool, log, failure, ticket);
    if matches!(next, RetryDecision::Retry(_)) {
        context.metrics.note_retry();
    }
    next
}
