//! Admission of calls: which calls get an endpoint at once, which wait for one, and which are
//! refused.

use std::time::Duration;

use chestnutloft_core::admission::{
    CapacityLimits, ClassRank, PriorityClass, QueueError, QueuedCall, StartWindow, WaitOutlook,
};
use chestnutloft_core::routing::ServiceRule;
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::clock;

use super::admission_queues::QueuePlace;
use super::attempt::AttemptGuard;
use super::choice::{NoEndpoint, PromptSize};
use super::codec::{CallRefusal, UnservableCause};
use super::metrics::AdmissionOutcome;
use super::pipeline::{CallExecution, MIN_ATTEMPT_TIME};
use super::state::EntryState;

/// Share of the latency target for which a call of a service without managed capacity, and a further
/// attempt of any call, waits until an endpoint accepts calls.
const CHOICE_WAIT_SHARE: f64 = 0.12;
/// Time after which a waiting call tries without an event: rests and rate limits end by the passing
/// of time.
const FALLBACK_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which an escalated call waits for a place at a larger model. If there is none, its held
/// answer has to reach the caller within 200 ms of its first event.
const ESCALATION_WAIT: Duration = Duration::from_millis(120);
/// Share of the time until its deadline that a call needs for its answer even if it may be late.
const ANSWER_TIME_SHARE: f64 = 0.25;
/// Work of a call that has no prompt, in milliseconds. Calls of such a service are alike, so the
/// value does not affect their order.
const PLAIN_WORK_MS: f64 = 20.0;
/// Time between events of a stream before it was measured: a dozen decoding steps.
const DEFAULT_EVENT_GAP_MS: f64 = 40.0;
/// Tokens of an answer about whose length the call says nothing.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;

/// Expected work of a call at its endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
struct CallWork {
    /// Endpoint time that the call takes from others.
    work_ms: f64,
    /// Time from its start to its first event.
    first_event: Duration,
}

/// Why a call that asked for a place is refused.
#[derive(Clone, Copy, Debug)]
struct RefusalCause {
    problem: &'static str,
    outcome: AdmissionOutcome,
    joined_at: TimePoint,
}

impl RefusalCause {
    /// Why a call with this `outlook` does not wait longer.
    fn of_waiting(outlook: WaitOutlook, joined_at: TimePoint) -> Self {
        let (problem, outcome) = match outlook {
            WaitOutlook::Unreachable => ("too much work is ahead", AdmissionOutcome::Refused),
            _ => ("its time to start is over", AdmissionOutcome::Expired),
        };
        Self {
            problem,
            outcome,
            joined_at,
        }
    }
}

impl EntryState {
    /// Expected work of a call with `prompt` and `output_tokens`. The shared prefix counts towards
    /// the first event but not as work: mostly, the endpoint has it cached.
    fn call_work(
        &self,
        now: TimePoint,
        service: &ServiceRule,
        prompt: &PromptSize,
        output_tokens: u32,
    ) -> CallWork {
        let prefill_ms = |tokens| self.prefill_ms(prompt.model_hash, tokens);
        let Some(engine) = &service.engine else {
            let first_event = Duration::from_secs_f64(PLAIN_WORK_MS / 1_000.0);
            return CallWork {
                work_ms: PLAIN_WORK_MS,
                first_event,
            };
        };
        let measured = self.large_model_event_gap.report(now);
        let measured = measured.merge(self.peer_event_gap).mean();
        let gap_ms = Some(measured.as_secs_f64() * 1_000.0).filter(|gap| *gap > 0.0);
        let events = f64::from(output_tokens) / f64::from(engine.event_tokens.max(1));
        let decode_ms = events * gap_ms.unwrap_or(DEFAULT_EVENT_GAP_MS);
        let first_event_ms = prefill_ms(prompt.total_tokens());
        CallWork {
            work_ms: prefill_ms(prompt.suffix_tokens) + decode_ms / f64::from(engine.slots.max(1)),
            first_event: Duration::from_secs_f64(first_event_ms / 1_000.0),
        }
    }
}

impl CallExecution {
    /// Whether the capacity of the call's service is managed.
    pub(super) fn is_capacity_managed(&self) -> bool {
        let service = &self.call.service.name;
        self.context.state().is_capacity_managed(service)
    }

    /// Chooses an endpoint and counts the attempt there. If none accepts calls, waits for one; a call
    /// of an unmanaged service that holds an answer does not wait.
    pub async fn choose_endpoint(&mut self) -> Result<AttemptGuard, CallRefusal> {
        let started_at = clock::now();
        if !self.call.service.can_hold(self.prompt().total_tokens()) {
            let cause = UnservableCause::PromptTooLarge;
            return Err(self.unservable_refusal(started_at, cause, Duration::ZERO));
        }
        let is_managed = self.is_capacity_managed();
        self.context.refresh_load(started_at, is_managed).await;
        if is_managed {
            self.choose_in_turn().await
        } else {
            self.choose_within_bound(started_at).await
        }
    }

    /// Chooses an endpoint if the call has time for an attempt.
    fn try_choose(
        &mut self,
        now: TimePoint,
        limits: CapacityLimits,
    ) -> Result<Result<AttemptGuard, NoEndpoint>, CallRefusal> {
        if self.call.time_left(now) < MIN_ATTEMPT_TIME {
            return Err(self.final_refusal());
        }
        match self.choose_now(now, limits) {
            Err(no_endpoint @ NoEndpoint::AtRest { left }) => {
                Err(self.refusal_for(now, no_endpoint.reason(), left))
            }
            Err(NoEndpoint::NoModel { left }) => {
                Err(self.unservable_refusal(now, UnservableCause::NoModel, left))
            }
            outcome => Ok(outcome),
        }
    }

    /// Tries on each event that may have freed capacity, for a share of the latency target after
    /// `started_at`.
    async fn choose_within_bound(
        &mut self,
        started_at: TimePoint,
    ) -> Result<AttemptGuard, CallRefusal> {
        let mut changed = self.context.capacity_changed.subscribe();
        let limits = self.class_limits();
        let max_wait = if self.held_answer.is_some() {
            Duration::ZERO
        } else {
            self.call.latency_target().mul_f64(CHOICE_WAIT_SHARE)
        };
        loop {
            let now = clock::now();
            let no_endpoint = match self.try_choose(now, limits)? {
                Ok(guard) => return Ok(guard),
                Err(no_endpoint) => no_endpoint,
            };
            let wait_left = max_wait.saturating_sub(now.since(started_at));
            if wait_left.is_zero() {
                return Err(self.refusal(now, no_endpoint.reason()));
            }
            let _ = tokio::time::timeout(wait_left.min(FALLBACK_INTERVAL), changed.changed()).await;
        }
    }

    /// Chooses an endpoint once it is the call's turn.
    async fn choose_in_turn(&mut self) -> Result<AttemptGuard, CallRefusal> {
        let now = clock::now();
        let mut reason = "calls that are as urgent wait for an endpoint";
        let (service, class) = (&self.call.service.name, self.priority_class());
        let must_wait = self.context.admission.must_wait(now, service, class);
        if !must_wait {
            match self.try_choose(now, self.class_limits())? {
                Ok(guard) => return Ok(guard),
                Err(no_endpoint) => reason = no_endpoint.reason(),
            }
        }
        let queued = self.queued_call(now);
        let place = match QueuePlace::join(&self.context, now, &self.call, &queued) {
            Ok(place) => place,
            Err(error) => {
                let cause = RefusalCause {
                    problem: queue_problem(&error),
                    outcome: AdmissionOutcome::Refused,
                    joined_at: now,
                };
                return self.choose_or_refuse(now, reason, &cause);
            }
        };
        self.wait_for_turn(place, now).await
    }

    /// Tries when it is the call's turn, until its time is over.
    async fn wait_for_turn(
        &mut self,
        place: QueuePlace,
        joined_at: TimePoint,
    ) -> Result<AttemptGuard, CallRefusal> {
        let mut reason = "calls that are as urgent wait for an endpoint";
        let mut may_try = false;
        let limits = self.class_limits();
        loop {
            let now = clock::now();
            let outlook = self.outlook(now, &place);
            let WaitOutlook::Waiting(until) = outlook else {
                drop(place);
                let cause = RefusalCause::of_waiting(outlook, joined_at);
                return self.choose_or_refuse(now, reason, &cause);
            };
            if may_try || place.is_next(now) {
                match self.try_choose(now, limits)? {
                    Ok(guard) => {
                        place.start(now);
                        self.record_outcome(now, joined_at, AdmissionOutcome::Admitted);
                        return Ok(guard);
                    }
                    Err(no_endpoint) => {
                        reason = no_endpoint.reason();
                        place.pass_over(now);
                    }
                }
            }
            may_try = place.wait(until.since(now).min(FALLBACK_INTERVAL)).await;
        }
    }

    /// Prospect of the call, whose time to start is over once the entry shuts down.
    fn outlook(&self, now: TimePoint, place: &QueuePlace) -> WaitOutlook {
        if *self.context.refusing_calls.borrow() {
            return WaitOutlook::Expired;
        }
        place.outlook(now)
    }

    /// Takes an endpoint that is free after all, a reserved place included, or refuses the call because
    /// of `cause`: nothing is refused while places are free. A call that holds an answer relays it
    /// instead, which is no refusal.
    fn choose_or_refuse(
        &mut self,
        now: TimePoint,
        reason: &'static str,
        cause: &RefusalCause,
    ) -> Result<AttemptGuard, CallRefusal> {
        if self.held_answer.is_some() {
            return Err(self.refusal(now, reason));
        }
        if let Ok(guard) = self.try_choose(now, CapacityLimits::LastResort)? {
            self.record_outcome(now, cause.joined_at, AdmissionOutcome::Admitted);
            return Ok(guard);
        }
        let queued = self.queued_call(now);
        let service = &self.call.service.name;
        let time_left = self.call.time_left(now);
        let admission = &self.context.admission;
        let forecast = admission.refusal_forecast(now, service, &queued, time_left);
        self.record_outcome(now, cause.joined_at, cause.outcome);
        spdlog::info!(
            "admission: call {} of class {}/{} refused after {} ms: {}; {} waiting, {:.0} ms of work ahead, {:.2} ms started per ms, expected wait {} ms, latest start in {} ms, come back in {} ms.",
            self.call.head.id,
            queued.class.workspace,
            queued.class.route,
            now.since(cause.joined_at).as_millis(),
            cause.problem,
            forecast.waiting,
            forecast.forecast.work_ahead_ms,
            forecast.work_per_ms.unwrap_or_default(),
            forecast.forecast.wait.as_millis(),
            queued.window.end().since(now).as_millis(),
            forecast.retry_after.as_millis()
        );
        Err(self.refusal_after(reason, forecast.retry_after))
    }

    /// Class of the call: the priority of its workspace, then that of its route.
    fn priority_class(&self) -> PriorityClass {
        let (workspace, route) = self.call.priority();
        PriorityClass { workspace, route }
    }

    /// Rank of the call's class among those of its service.
    pub(super) fn class_rank(&self) -> ClassRank {
        let state = self.context.state();
        state.class_rank(&self.call.service.name, self.priority_class())
    }

    fn class_limits(&self) -> CapacityLimits {
        CapacityLimits::OfClass(self.class_rank())
    }

    /// The call as the queue of its service sees it.
    fn queued_call(&self, now: TimePoint) -> QueuedCall<'_> {
        let head = &self.call.head;
        let output_tokens = head.expected_output_tokens.or(head.max_output_tokens);
        let output_tokens = output_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS);
        let prompt = self.prompt();
        let service = &self.call.service;
        let work = self
            .context
            .state()
            .call_work(now, service, &prompt, output_tokens);
        let owner = self.call.workspace.as_ref();
        QueuedCall {
            workspace: owner.map_or("", |rule| &*rule.name),
            weight: 1.0,
            class: self.priority_class(),
            work_ms: work.work_ms,
            window: self.start_window(now, work.first_event),
        }
    }

    /// When an attempt can start whose first event is expected after `first_event`. A further
    /// attempt may start for a share of the target in any case, and not be queued as late: its
    /// caller has waited already.
    fn start_window(&self, now: TimePoint, first_event: Duration) -> StartWindow {
        if self.held_answer.is_some() {
            return StartWindow::until(now + ESCALATION_WAIT);
        }
        let target = self.call.latency_target();
        let last_start = self.call.deadline - MIN_ATTEMPT_TIME;
        let useful_until = (self.call.received_at + target - first_event).min(last_start);
        if self.attempts > 0 {
            let bound = (now + target.mul_f64(CHOICE_WAIT_SHARE)).min(last_start);
            return StartWindow::until(useful_until.max(bound));
        }
        let timeout = self.call.deadline.since(self.call.received_at);
        let late_until = self.call.deadline - timeout.mul_f64(ANSWER_TIME_SHARE);
        StartWindow {
            useful_until,
            late_until: late_until.max(useful_until),
        }
    }

    fn record_outcome(&self, now: TimePoint, joined_at: TimePoint, outcome: AdmissionOutcome) {
        let waited = now.since(joined_at);
        self.context
            .metrics
            .record_admission(&self.call, outcome, waited);
    }
}

fn queue_problem(error: &QueueError) -> &'static str {
    match error {
        QueueError::Full(_) => "the queue is full",
        QueueError::DeadlineUnreachable(_) => "its expected start is too late",
    }
}
