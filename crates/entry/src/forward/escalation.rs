//! Escalation of a call to a larger model. The smaller model's answer is held until the larger one
//! has taken the call.

use std::time::Duration;

use chestnutloft_core::execution::AttemptEnd;
use chestnutloft_core::routing::{
    CallTokens, EscalationCandidate, EscalationPolicy, EscalationSettings, FirstDelays, ModelLane,
    PoolLoad,
};
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::clock;

use super::attempt::{AttemptFailure, EndpointResponse};
use super::codec::{CallRefusal, RequestedModel};
use super::pipeline::CallExecution;

/// Tokens generated for a call that states no limit.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;

/// Time for which an answer is held. Endpoints reject a call within a round trip, and the smaller
/// model keeps its place at its endpoint for as long.
const HOLD_TIME: Duration = Duration::from_millis(250);

/// A response whose body has not been forwarded, in case no larger model takes the call.
pub struct HeldAnswer {
    response: EndpointResponse,
    /// Index of the model that gave it.
    model_index: usize,
    lane: ModelLane,
    expires_at: TimePoint,
}

impl CallExecution {
    /// Holds the response and goes on to a larger model if its confidence is low and the pool has
    /// capacity. Returns the response otherwise.
    pub(super) fn try_escalate(
        &mut self,
        mut response: EndpointResponse,
    ) -> Option<EndpointResponse> {
        let now = clock::now();
        let Some(next) = self.larger_model(now, &response) else {
            return Some(response);
        };
        self.record_success(now, &mut response);
        response.guard.finish_prefill();
        self.call.executions.end_attempt(AttemptEnd::Answered);
        self.context.metrics.record_escalation(&self.call);
        self.hold_answer(now, response, next);
        None
    }

    /// Index of the larger model to ask because of the confidence of `response`; takes a retry from
    /// the service's budget. `None` if the response is to be forwarded.
    fn larger_model(&self, now: TimePoint, response: &EndpointResponse) -> Option<usize> {
        if self.call.head.model != RequestedModel::Any {
            return None;
        }
        let segments = &self.call.shared_segments;
        if !self.context.state().segments.may_repeat(segments) {
            return None;
        }
        let next = self.largest_model(now)?;
        let [pool] = self.model_loads(now, [next]);
        let policy = self.escalation_policy([self.model_index, next]);
        let confidence = response.head.confidence;
        let candidate = EscalationCandidate {
            model_index: 0,
            confidence,
            tokens: self.tokens(),
            elapsed: now.since(self.call.received_at),
            target_latency: self.call.latency_target(),
            expected_delay: self.expected_delay(next, pool),
        };
        policy.next_model(&candidate, pool)?;
        if !self.call.executions.allows_attempt() {
            spdlog::info!(
                "call {}: confidence {:?} of model index {} is too low, but its answer is relayed: the call has run and may run only once.",
                self.call.head.id,
                confidence,
                self.model_index
            );
            return None;
        }
        if self.attempts >= self.call.route.max_attempts
            || !self
                .context
                .state()
                .take_retry(now, &self.call.service.name)
        {
            return None;
        }
        spdlog::info!(
            "call {}: confidence {:?} of model index {} is too low, trying model index {next}; pool queueing {} ms, load {:.2}, streams slowed down {:.1} times.",
            self.call.head.id,
            confidence,
            self.model_index,
            pool.queue_delay.as_millis(),
            pool.utilization,
            pool.slowdown
        );
        Some(next)
    }

    /// Starts with the smallest model that endpoints run, or with the largest one if there is no time
    /// to ask the smallest one first. A call that may run only once has a choice of its own.
    pub(super) fn choose_first_model(&mut self, now: TimePoint) {
        if !self.has_model_choice() {
            return;
        }
        let by_size = 0..self.call.route.models.len();
        if !self.call.executions.is_idempotent() {
            self.choose_single_model(now);
            return;
        }
        if let Some(smallest) = self.model_order(now, by_size).into_iter().min() {
            self.model_index = smallest;
        }
        if !self.is_capacity_managed() {
            return;
        }
        let Some(largest) = self.largest_model(now) else {
            return;
        };
        let steps = [self.model_index, largest];
        let policy = self.escalation_policy(steps);
        let [smallest_pool, largest_pool] = self.model_loads(now, steps);
        let delays = FirstDelays {
            smallest: self.expected_delay(self.model_index, smallest_pool),
            largest: self.expected_delay(largest, largest_pool),
            target_latency: self.call.latency_target(),
        };
        if policy.first_model(&delays, largest_pool) > 0 {
            self.model_index = largest;
            spdlog::info!(
                "call {}: starting with model index {}, since its answer is expected after {} ms and that of the smallest model after {} ms.",
                self.call.head.id,
                self.model_index,
                delays.largest.as_millis(),
                delays.smallest.as_millis()
            );
        }
    }

    /// Largest model above the current one that endpoints run, as far as there is room.
    fn largest_model(&self, now: TimePoint) -> Option<usize> {
        let larger = self.model_index + 1..self.call.route.models.len();
        if larger.is_empty() {
            return None;
        }
        self.model_order(now, larger.rev()).first().copied()
    }

    /// Load of the endpoints that run each of the models.
    pub(super) fn model_loads<const N: usize>(
        &self,
        now: TimePoint,
        indexes: [usize; N],
    ) -> [PoolLoad; N] {
        let sent = |index| self.call.sent_model(self.model_at(index).as_deref());
        let state = self.context.state();
        state.model_loads(now, &self.call.service.name, indexes.map(sent))
    }

    /// Expected time until the answer of the model begins; zero where capacity is not managed. The
    /// shared prefix counts as cached.
    pub(super) fn expected_delay(&self, model_index: usize, pool: PoolLoad) -> Duration {
        if !self.is_capacity_managed() {
            return Duration::ZERO;
        }
        let prompt = self.prompt_for(model_index);
        let state = self.context.state();
        let prefill_ms = state.prefill_ms(prompt.model_hash, prompt.suffix_tokens);
        pool.queue_delay + Duration::from_secs_f64(prefill_ms / 1_000.0)
    }

    /// Policy for a call that may go on from the first of two models to the second.
    fn escalation_policy(&self, steps: [usize; 2]) -> EscalationPolicy {
        let costs = steps.map(|index| self.model_cost(index)).to_vec();
        EscalationPolicy::new(self.escalation_settings(), costs)
    }

    /// Settings by which the call is escalated.
    pub(super) fn escalation_settings(&self) -> EscalationSettings {
        let settings = self.context.escalation.clone();
        if !self.is_capacity_managed() {
            return settings;
        }
        let rank = self.class_rank();
        let bounds = self.context.state().capacity.escalation_load.of_rank(rank);
        EscalationSettings {
            busy_load: bounds.busy,
            full_load: bounds.full,
            ..settings
        }
    }

    /// Cost per 1,000 generated tokens of one of the route's models.
    pub(super) fn model_cost(&self, index: usize) -> f64 {
        let model = self.call.route.models.get(index);
        let mut rules = self.call.service.models.iter();
        let rule = rules.find(|rule| Some(&rule.name) == model);
        rule.map_or(0.0, |rule| rule.cost)
    }

    /// Size of the call.
    pub(super) fn tokens(&self) -> CallTokens {
        let prompt = self.call.head.prompt.iter();
        let output = self.call.head.max_output_tokens;
        CallTokens {
            prompt: prompt.map(|segment| f64::from(segment.tokens)).sum(),
            output: f64::from(output.unwrap_or(DEFAULT_OUTPUT_TOKENS)),
        }
    }

    /// Holds `response`, the answer of the current model, while the call goes on to the model
    /// `next`.
    fn hold_answer(&mut self, now: TimePoint, response: EndpointResponse, next: usize) {
        self.held_answer = Some(HeldAnswer {
            response,
            model_index: self.model_index,
            lane: self.lane,
            expires_at: now + HOLD_TIME,
        });
        self.model_index = next;
        self.tried.clear();
    }

    /// Discards the held answer, which makes its endpoint cancel the call.
    pub(super) fn discard_held_answer(&mut self) {
        if let Some(mut held) = self.held_answer.take() {
            held.response.guard.mark_logged();
        }
    }

    /// Takes the held answer in place of `refusal`, with which the call to the larger model ended.
    pub(super) fn take_held_answer(&mut self, refusal: &CallRefusal) -> Option<EndpointResponse> {
        let held = self.held_answer.take()?;
        spdlog::info!(
            "call {}: model index {} gave no answer: {refusal}; relaying the answer of model index {} at endpoint {}.",
            self.call.head.id,
            self.model_index,
            held.model_index,
            held.response.guard.endpoint.id
        );
        self.context.metrics.record_kept_answer(&self.call);
        self.model_index = held.model_index;
        self.lane = held.lane;
        Some(held.response)
    }
}

/// Waits for `sending`, an attempt at a larger model, and discards the answer in `held` once its
/// time is over.
pub async fn send_beside_held(
    sending: impl Future<Output = Result<EndpointResponse, AttemptFailure>>,
    held: &mut Option<HeldAnswer>,
) -> Result<EndpointResponse, AttemptFailure> {
    let Some(answer) = held else {
        return sending.await;
    };
    let time_left = answer.expires_at.since(clock::now());
    tokio::pin!(sending);
    if let Ok(outcome) = tokio::time::timeout(time_left, &mut sending).await {
        return outcome;
    }
    answer.response.guard.mark_logged();
    *held = None;
    sending.await
}
