//! Chooses the endpoints that copies of runs are sent to, and records the ends of endpoints that
//! make copies worth it.

use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::hash::key_hash;
use chestnutloft_core::routing::{
    CallKind, CopyDecision, CopyTarget, EndpointNotice, EndpointPhase, EndpointProcess,
    RunCopySettings, RunOutlook, RunProgress, ServiceRule, decide_copy, select_copy_target,
};
use chestnutloft_core::time::TimePoint;

use super::choice::{ChosenEndpoint, PrefillEstimate};
use super::pipeline::CallExecution;
use super::state::{EndpointState, EntryState};

/// Time between events that is assumed until there is a measurement: a step of 3 ms for each of
/// 12 tokens, at an endpoint with a few other calls.
const DEFAULT_EVENT_GAP: Duration = Duration::from_millis(100);

impl EntryState {
    /// Records that the endpoint has ended, unless it has said that it leaves.
    pub(super) fn record_termination(&mut self, now: TimePoint, id: &str) {
        let Some(endpoint) = self.endpoints.get(id) else {
            return;
        };
        let notice = &endpoint.notice;
        if notice.phase == EndpointPhase::Ready && !endpoint.is_leaving {
            let process = EndpointProcess::new(id, notice.born_ms);
            self.terminations.record(now, &notice.service, process);
        }
    }

    /// Records the end of an endpoint that `notice` shows: it is gone, or another process has
    /// started in its place, without a notice that it leaves.
    pub(super) fn record_unannounced_end(&mut self, now: TimePoint, notice: &EndpointNotice) {
        let known = self.endpoints.get(&notice.id);
        let is_end = known.is_some_and(|known| {
            notice.phase == EndpointPhase::Gone || known.notice.born_ms != notice.born_ms
        });
        if is_end {
            self.record_termination(now, &notice.id);
        }
    }

    /// Whether the endpoint of a run begins to leave: it drains or has deregistered, it has said
    /// that it leaves, or its failure domain is evacuated.
    pub(super) fn is_run_leaving(&self, chosen: &ChosenEndpoint) -> bool {
        let endpoint = self.endpoints.get(&chosen.id);
        let endpoint = endpoint.filter(|endpoint| endpoint.notice.born_ms == chosen.born_ms);
        endpoint.is_some_and(|endpoint| {
            endpoint.notice.phase != EndpointPhase::Ready
                || endpoint.is_leaving
                || self.evacuated.contains(&endpoint.notice.domain)
        })
    }

    /// Endpoints with the version of `source`, itself excluded, that a run of it may go on at.
    fn copy_endpoints<'a>(
        &'a self,
        now: TimePoint,
        service: &'a ServiceRule,
        source: &'a ChosenEndpoint,
    ) -> impl Iterator<Item = &'a EndpointState> {
        let max_connections = self.connection_share(service);
        let is_eligible = move |endpoint: &&EndpointState| {
            let notice = &endpoint.notice;
            let process = EndpointProcess::new(&notice.id, notice.born_ms);
            notice.version == source.version
                && notice.id != source.id
                && endpoint.models.accepts(now, source.model)
                && endpoint.models.accepts_all(now)
                && !self.terminations.contains(now, process)
                && endpoint.rest.left(now).is_none()
                && endpoint.in_flight < max_connections
                && !self.health.is_ejected(now, &notice.id)
                && self.has_rate_capacity(now, endpoint, service)
        };
        self.available_endpoints(&service.name).filter(is_eligible)
    }

    /// Chooses the endpoint that a copy of the run `call_id` at `source` is sent to, other than
    /// those in `excluded`.
    pub fn choose_copy_target(
        &self,
        now: TimePoint,
        service: &ServiceRule,
        source: &ChosenEndpoint,
        call_id: &str,
        excluded: &[Arc<str>],
    ) -> Option<ChosenEndpoint> {
        let candidates: Vec<&EndpointState> = self
            .copy_endpoints(now, service, source)
            .filter(|endpoint| !excluded.contains(&endpoint.notice.id))
            .collect();
        let targets: Vec<CopyTarget<'_>> = candidates
            .iter()
            .map(|endpoint| CopyTarget {
                id: &endpoint.notice.id,
                domain: &endpoint.notice.domain,
                load: self.endpoint_usage(now, endpoint).calls,
                slots: f64::from(endpoint.notice.slots.max(1)),
            })
            .collect();
        let domain = self.endpoints.get(&source.id);
        let domain = domain.map_or(&self.domain, |endpoint| &endpoint.notice.domain);
        let key = key_hash(call_id.as_bytes());
        let index = select_copy_target(domain, key, &targets)?;
        Some(copy_endpoint(&candidates[index].notice, source))
    }

    /// Whether a run of `source` may still go on at `target`, which was chosen earlier.
    pub(super) fn accepts_copied_run(
        &self,
        now: TimePoint,
        service: &ServiceRule,
        source: &ChosenEndpoint,
        target: &ChosenEndpoint,
    ) -> bool {
        let mut endpoints = self.copy_endpoints(now, service, source);
        endpoints.any(|endpoint| {
            endpoint.notice.id == target.id && endpoint.notice.born_ms == target.born_ms
        })
    }

    /// Time between the events of streams, as far as it is measured here.
    fn typical_event_gap(&self, now: TimePoint) -> Duration {
        let gap = self.large_model_event_gap.report(now).mean();
        if gap.is_zero() {
            DEFAULT_EVENT_GAP
        } else {
            gap
        }
    }
}

/// An endpoint that goes on from a copy of a run at `source` and prefills nothing.
fn copy_endpoint(notice: &EndpointNotice, source: &ChosenEndpoint) -> ChosenEndpoint {
    let prefill = PrefillEstimate::default();
    ChosenEndpoint::new(notice, source.model, prefill, source.claim)
}

impl CallExecution {
    /// Records that the connection to the endpoint broke in the middle of a stream.
    pub(super) fn record_termination(&self, now: TimePoint, endpoint: &ChosenEndpoint) {
        let mut state = self.context.state();
        state.record_termination(now, &endpoint.id);
    }

    /// Whether runs of the call may be copied, as far as its service and route allow it.
    pub(super) fn is_copyable(&self) -> bool {
        self.call.route.kind == (CallKind::Stream { is_resumable: true })
            && self.is_capacity_managed()
    }

    /// Progress of the call's stream after `events` events. `event_gap` is the measured time
    /// between them, if there is a measurement.
    pub(super) fn run_progress(
        &self,
        now: TimePoint,
        events: u64,
        event_gap: Option<Duration>,
    ) -> RunProgress {
        let engine = self.call.service.engine.as_ref();
        let typical_gap = || self.context.state().typical_event_gap(now);
        RunProgress {
            events: events + self.call.head.resume_after.unwrap_or_default(),
            event_tokens: engine.map_or(0, |engine| engine.event_tokens),
            expected_tokens: self.call.head.expected_output_tokens,
            max_tokens: self.call.head.max_output_tokens,
            event_gap: event_gap.unwrap_or_else(typical_gap),
        }
    }

    /// Chooses whether the next attempt, at `endpoint`, names a backup, and where.
    pub(super) fn plan_backup(&mut self, now: TimePoint, endpoint: &ChosenEndpoint) {
        self.call.copies.backup = self.choose_backup(now, endpoint);
    }

    fn choose_backup(&self, now: TimePoint, endpoint: &ChosenEndpoint) -> Option<ChosenEndpoint> {
        let service = &self.call.service;
        let engine = service.engine.as_ref().filter(|rule| rule.has_backups)?;
        // Going on from the backup takes another attempt.
        if !self.is_copyable() || self.attempts + 1 >= self.call.route.max_attempts {
            return None;
        }
        let progress = self.run_progress(now, 0, None);
        let prompt = self.prompt();
        let state = self.context.state();
        let rest = progress.rest().min(self.call.time_left(now));
        let endpoints = state.available_endpoints(&service.name).count();
        let history = &state.terminations;
        let loss_probability = history.loss_probability(now, &service.name, endpoints, rest);
        if loss_probability <= 0.0 {
            return None;
        }
        let prefill_ms = state.prefill_ms(prompt.model_hash, prompt.total_tokens());
        let [load] = state.model_loads(now, &service.name, [endpoint.model]);
        let outlook = RunOutlook {
            is_leaving: state.is_run_leaving(endpoint),
            rest,
            tokens: prompt.total_tokens() + progress.tokens_left(),
            repeat_prefill: Duration::from_secs_f64(prefill_ms.max(0.0) / 1_000.0)
                + load.queue_delay,
            max_pause: self.call.target_gap(),
            loss_probability,
        };
        if decide_copy(&RunCopySettings::default(), engine, &outlook) != CopyDecision::BackUp {
            return None;
        }
        state.choose_copy_target(now, service, endpoint, &self.call.head.id, &[])
    }
}
