//! Which of a route's models a call takes, where endpoints run some of them only.

use std::time::Duration;

use chestnutloft_core::admission::CapacityLimits;
use chestnutloft_core::routing::{
    HostLoad, ModelLane, ModelStep, PoolLoad, SentModel, ServiceRule, order_models,
};
use chestnutloft_core::time::TimePoint;

use super::attempt::AttemptGuard;
use super::choice::{ChosenEndpoint, NoEndpoint, SelectionRequest};
use super::codec::RequestedModel;
use super::pipeline::CallExecution;
use super::state::{EndpointState, EntryState};

/// The models that a call may take.
#[derive(Clone, Copy, Debug)]
pub struct ModelRequest<'a> {
    /// Service of the call.
    pub service: &'a ServiceRule,
    /// Hash of the session name, or of the call id for a call without a session.
    pub session: u64,
    /// The route's models, smallest first.
    pub models: &'a [SentModel],
}

/// Sums over the endpoints that run a model.
#[derive(Clone, Copy, Debug, Default)]
struct LoadSum {
    wait_ms: f64,
    calls: f64,
    slots: f64,
    endpoints: f64,
}

impl EntryState {
    /// Models that a call tries, if it prefers them in the order of `preference`. Empty if no endpoint
    /// that the call may go to runs one of them.
    pub fn model_order(
        &self,
        now: TimePoint,
        request: &ModelRequest<'_>,
        preference: &[usize],
    ) -> Vec<ModelStep> {
        let service = request.service;
        let runs = |endpoint: &EndpointState, index: usize| {
            let model = request.models.get(index);
            model.is_some_and(|model| endpoint.models.accepts(now, *model))
        };
        if self.has_uniform_models(now, &service.name) {
            let first = preference.first();
            return first
                .map(|index| ModelStep::of(*index))
                .into_iter()
                .collect();
        }
        let is_managed = self.is_capacity_managed(&service.name);
        let load = |endpoint: &&EndpointState| HostLoad {
            calls: self.calls_at(now, endpoint, is_managed),
            slots: f64::from(endpoint.notice.slots),
        };
        let runs_any = |endpoint: &EndpointState| {
            let mut indexes = preference.iter();
            indexes.any(|index| runs(endpoint, *index))
        };
        let mut order = Vec::new();
        for group in self.version_groups(now, service, request.session, runs_any) {
            let settings = &self.model_order_settings;
            let runs = |host: &&EndpointState, index: usize| runs(host, index);
            order.extend(order_models(settings, preference, &group, runs, load));
        }
        order
    }

    /// How busy the endpoints are that run each of `models`.
    pub fn model_loads<const N: usize>(
        &self,
        now: TimePoint,
        service: &str,
        models: [SentModel; N],
    ) -> [PoolLoad; N] {
        let is_managed = self.is_capacity_managed(service);
        let mut sums = [LoadSum::default(); N];
        for endpoint in self.available_endpoints(service) {
            let wait_ms = self.queue_delays.wait_ms(now, &endpoint.notice.id);
            let calls = self.calls_at(now, endpoint, is_managed);
            for (sum, model) in sums.iter_mut().zip(models) {
                if endpoint.models.accepts(now, model) {
                    sum.wait_ms += wait_ms;
                    sum.calls += calls;
                    sum.slots += f64::from(endpoint.notice.slots);
                    sum.endpoints += 1.0;
                }
            }
        }
        let event_gap = self.large_model_event_gap.report(now);
        let event_gap = event_gap.merge(self.peer_event_gap).mean();
        sums.map(|sum| PoolLoad {
            queue_delay: Duration::from_secs_f64(sum.wait_ms / sum.endpoints.max(1.0) / 1_000.0),
            utilization: sum.calls / sum.slots.max(1.0),
            slowdown: self.idle_event_gap.slowdown(event_gap),
        })
    }

    /// Why there is no endpoint to choose from for a call: none is ready, or none that is runs the model.
    pub(super) fn unavailability(
        &self,
        now: TimePoint,
        request: &SelectionRequest<'_>,
    ) -> NoEndpoint {
        let groups = self.version_groups(now, request.service, request.session, |_| true);
        let model = request.sent_model;
        if groups.iter().all(Vec::is_empty) || matches!(model, SentModel::Unnamed(_)) {
            return NoEndpoint::NoneReady;
        }
        let endpoints = groups.iter().flatten();
        let rejections =
            endpoints.filter_map(|endpoint| endpoint.models.rejection_left(now, model));
        NoEndpoint::NoModel {
            left: rejections.min().unwrap_or_default(),
        }
    }

    /// Whether the endpoint says which models it runs.
    pub(super) fn announces_models(&self, id: &str) -> bool {
        let endpoint = self.endpoints.get(id);
        endpoint.is_some_and(|endpoint| endpoint.models.is_announced())
    }
}

impl CallExecution {
    /// Whether the entry chooses among several models.
    pub(super) fn has_model_choice(&self) -> bool {
        self.call.head.model == RequestedModel::Any && self.call.route.models.len() > 1
    }

    /// The models that the call may take: those of the route, smallest first, or the only one.
    pub(super) fn models(&self) -> Vec<SentModel> {
        if self.call.head.model != RequestedModel::Any || self.call.route.models.is_empty() {
            return vec![self.call.sent_model(None)];
        }
        let names = self.call.route.models.iter();
        names.map(|name| SentModel::named(name)).collect()
    }

    /// Models that endpoints run, in the order of `preference` as far as there is room.
    pub(super) fn model_order(
        &self,
        now: TimePoint,
        preference: impl IntoIterator<Item = usize>,
    ) -> Vec<usize> {
        let models = self.models();
        let preference: Vec<usize> = preference.into_iter().collect();
        let state = self.context.state();
        let order = state.model_order(now, &self.model_request(&models), &preference);
        order.into_iter().map(|step| step.index).collect()
    }

    fn model_request<'a>(&'a self, models: &'a [SentModel]) -> ModelRequest<'a> {
        ModelRequest {
            service: &self.call.service,
            session: self.call.session_key(),
            models,
        }
    }

    /// Models that the next attempt may take, the current one first. The model of an escalation that
    /// holds an answer, and that of a stream which the caller has begun to receive, do not change.
    fn model_preference(&self) -> Vec<usize> {
        let current = self.model_index;
        if !self.has_model_choice() || self.held_answer.is_some() || self.is_model_fixed {
            return vec![current];
        }
        let larger = current..self.call.route.models.len();
        let mut preference: Vec<usize> = larger.chain((0..current).rev()).collect();
        preference.sort_by_key(|index| self.rejected_models.contains(index));
        preference
    }

    /// Chooses a model and an endpoint, and counts the attempt there.
    pub(super) fn choose_now(
        &mut self,
        now: TimePoint,
        limits: CapacityLimits,
    ) -> Result<AttemptGuard, NoEndpoint> {
        let models = self.models();
        let preference = self.model_preference();
        let context = &self.context;
        let mut state = context.state();
        let model_request = self.model_request(&models);
        let mut order = state.model_order(now, &model_request, &preference);
        if order.is_empty() {
            order.push(ModelStep::of(self.model_index));
        }
        let mut problem = None;
        for step in order {
            let index = step.index;
            let lane = self.lane_of(now, &state, &model_request, index);
            let passed = step.passed.iter();
            let passed: Vec<SentModel> = passed
                .filter_map(|index| models.get(*index))
                .copied()
                .collect();
            let request = self.selection_request(index, &passed, lane, limits);
            match state.choose(now, &request) {
                Ok(endpoint) => {
                    let guard =
                        AttemptGuard::reserve(context, &mut state, now, &self.call, endpoint);
                    drop(state);
                    self.set_model(index, lane);
                    return Ok(guard);
                }
                Err(no_endpoint) if problem.is_none_or(NoEndpoint::ends_waiting) => {
                    problem = Some(no_endpoint);
                }
                Err(_) => {}
            }
        }
        Err(problem.unwrap_or(NoEndpoint::NoneReady))
    }

    /// Group of endpoints preferred for the model. Calls are separated by model size only where the
    /// entry chooses the model. Models with which calls begin count as small.
    fn lane_of(
        &self,
        now: TimePoint,
        state: &EntryState,
        request: &ModelRequest<'_>,
        index: usize,
    ) -> ModelLane {
        if !self.has_model_choice() {
            return ModelLane::Any;
        }
        let by_size: Vec<usize> = (0..request.models.len()).collect();
        let first_models = state.model_order(now, request, &by_size);
        if first_models.iter().any(|step| step.index == index) {
            ModelLane::Small
        } else {
            ModelLane::Large
        }
    }

    fn selection_request<'a>(
        &'a self,
        model_index: usize,
        passed_models: &'a [SentModel],
        lane: ModelLane,
        limits: CapacityLimits,
    ) -> SelectionRequest<'a> {
        SelectionRequest {
            service: &self.call.service,
            session: self.call.session_key(),
            prompt: self.prompt_for(model_index),
            lane,
            sent_model: self.call.sent_model(self.model_at(model_index).as_deref()),
            passed_models,
            tried: &self.tried,
            output_tokens: self.expected_output_tokens(),
            max_pause: self.call.target_gap(),
            limits,
        }
    }

    fn set_model(&mut self, index: usize, lane: ModelLane) {
        if index != self.model_index {
            spdlog::info!(
                "call {}: taking model index {index} in place of {}.",
                self.call.head.id,
                self.model_index
            );
            self.tried.clear();
        }
        self.model_index = index;
        self.lane = lane;
    }

    /// Has further attempts prefer other models, after `endpoint` has rejected the call as
    /// misdirected. An endpoint that says that it runs the model has presumably been replaced at its
    /// address, which says nothing about the model.
    pub(super) fn record_rejected_model(&mut self, endpoint: &ChosenEndpoint) {
        if self.has_model_choice() && !self.context.state().announces_models(&endpoint.id) {
            self.rejected_models.push(self.model_index);
        }
    }
}
