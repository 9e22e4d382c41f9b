//! Slow start of endpoints whose service has its capacity managed, unless it is turned off: what starts a warm-up, which
//! answers count as evidence, and whether a call may be sent.

use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::routing::{
    AnswerCount, DirectoryChange, EndpointPhase, EndpointProcess, PoolWarmth, ServiceRule,
    WarmupCause, WarmupChange, WarmupEvent, WarmupRequest, WarmupStart, endpoint_hash,
    max_sound_delay,
};
use chestnutloft_core::time::TimePoint;

use spdlog::Level;

use super::choice::ChosenEndpoint;
use super::state::{EndpointState, EntryState};

/// Time by which the end of a cold period must move for a new one. The remaining time is sent again
/// with each change of an endpoint and varies by the time that the update takes.
const MIN_COLD_EXTENSION: Duration = Duration::from_millis(500);

impl EntryState {
    /// Why an endpoint warms up because of a change in the directory that has not been applied yet.
    /// Endpoints that an entry learns of when it starts have been in use unless they are cold.
    pub(super) fn warmup_cause(
        &self,
        now: TimePoint,
        change: &DirectoryChange,
    ) -> Option<WarmupCause> {
        let notice = &change.endpoint.notice;
        if notice.phase != EndpointPhase::Ready {
            return None;
        }
        let is_cold = change.cold_left_ms > 0;
        let Some(known) = self.endpoints.get(&notice.id) else {
            let is_new = is_cold || self.confirmed_at().is_some();
            return is_new.then_some(WarmupCause::Started);
        };
        let cold_until = now + Duration::from_millis(change.cold_left_ms);
        if known.notice.born_ms != notice.born_ms {
            Some(WarmupCause::Started)
        } else if known.notice.phase == EndpointPhase::Gone {
            Some(WarmupCause::Returned)
        } else if known.notice.version != notice.version {
            Some(WarmupCause::NewVersion)
        } else if is_cold && cold_until > known.cold_until + MIN_COLD_EXTENSION {
            Some(WarmupCause::Cold)
        } else {
            None
        }
    }

    /// Whether slow start limits the calls to endpoints of `service`.
    fn has_slow_start(&self, service: &str) -> bool {
        self.capacity.has_slow_start && self.is_capacity_managed(service)
    }

    /// Starts the warm-up of an endpoint that takes calls from `resume_at` on.
    pub(super) fn begin_warmup(
        &mut self,
        now: TimePoint,
        id: &Arc<str>,
        cause: WarmupCause,
        resume_at: TimePoint,
    ) {
        let Some(endpoint) = self.endpoints.get(id) else {
            return;
        };
        let notice = &endpoint.notice;
        if !self.has_slow_start(&notice.service) {
            return;
        }
        let start = WarmupStart {
            id,
            process: EndpointProcess::new(id, notice.born_ms),
            slots: notice.slots,
            cause,
            resume_at,
        };
        self.slow_start.begin(now, &start);
        self.log_warmups();
    }

    /// Starts the warm-up of an endpoint that has been ejected, from the end of the ejection.
    pub(super) fn begin_warmup_after_ejection(&mut self, now: TimePoint, id: &Arc<str>) {
        let until = self.health.ejected_until(id).unwrap_or(now);
        self.begin_warmup(now, id, WarmupCause::Ejected, until);
    }

    /// Records an answer as evidence: sound if it began in time, bad if it was late or failed.
    pub fn record_warmup_answer(
        &mut self,
        now: TimePoint,
        chosen: &ChosenEndpoint,
        is_sound: bool,
    ) {
        if let Some(process) = self.track_warmup(chosen) {
            self.slow_start.record(now, process, is_sound);
            self.log_warmups();
        }
    }

    /// Records the beginning of an answer as evidence, `took` after the call with the latency target
    /// `target` was sent. It is late only if it took longer than expected at this endpoint as well:
    /// in a pool that is overloaded as a whole, healthy endpoints exceed the target.
    pub fn record_warmup_start(
        &mut self,
        now: TimePoint,
        chosen: &ChosenEndpoint,
        took: Duration,
        target: Duration,
    ) {
        let expected = chosen.prefill.expected_delay();
        self.record_warmup_answer(now, chosen, took <= max_sound_delay(target, expected));
    }

    /// Records as evidence that the endpoint rejected a call for lack of room.
    pub fn record_warmup_rejection(&mut self, now: TimePoint, chosen: &ChosenEndpoint) {
        if let Some(process) = self.track_warmup(chosen) {
            self.slow_start.record_rejection(now, process);
            self.log_warmups();
        }
    }

    /// Makes the endpoint known to slow start if that applies to its service. Returns the
    /// process that got the call.
    fn track_warmup(&mut self, chosen: &ChosenEndpoint) -> Option<EndpointProcess> {
        let notice = &self.endpoints.get(&chosen.id)?.notice;
        if !self.has_slow_start(&notice.service) {
            return None;
        }
        let process = EndpointProcess::new(&chosen.id, notice.born_ms);
        let slots = notice.slots;
        self.slow_start.track(&chosen.id, process, slots);
        Some(EndpointProcess::new(&chosen.id, chosen.born_ms))
    }

    /// Records a call that is sent to an endpoint and counts as pending there.
    pub(super) fn record_warmup_call(&mut self, now: TimePoint, id: &str) {
        let Some(endpoint) = self.endpoints.get(id) else {
            return;
        };
        let service = &endpoint.notice.service;
        if self.has_slow_start(service) {
            let service = Arc::clone(service);
            let hash = endpoint_hash(id);
            let pace = self.paces.factor(now, hash) * self.speeds.factor(hash);
            let wait_ms = self.queue_delays.wait_ms(now, id);
            let expected = Duration::from_secs_f64(wait_ms * pace / 1_000.0);
            self.slow_start.record_call(now, hash, &service, expected);
        }
    }

    /// Adds the answers that the other entries have counted.
    pub(super) fn merge_answers(&mut self, now: TimePoint, sums: &[AnswerCount]) {
        let is_unknown = |sum: &&AnswerCount| !self.slow_start.is_tracked(sum.endpoint);
        let unknown: Vec<_> = sums.iter().filter(is_unknown).map(|s| s.endpoint).collect();
        if !unknown.is_empty() {
            for endpoint in self.endpoints.values() {
                let notice = &endpoint.notice;
                let process = EndpointProcess::new(&notice.id, notice.born_ms);
                if unknown.contains(&process.endpoint) && self.has_slow_start(&notice.service) {
                    self.slow_start.track(&notice.id, process, notice.slots);
                }
            }
        }
        self.slow_start.merge(now, sums);
        self.log_warmups();
    }

    /// Ends the warm-ups for which time is evidence enough.
    pub(super) fn sweep_warmups(&mut self, now: TimePoint) {
        let endpoints = &self.endpoints;
        let own_calls = |id: &str| endpoints.get(id).map_or(0, |known| known.in_flight);
        self.slow_start.sweep(now, &own_calls);
        self.log_warmups();
    }

    /// How many of the endpoints of `service` that accept calls warm up.
    pub(super) fn pool_warmth(&self, service: &str) -> PoolWarmth {
        let mut warmth = PoolWarmth::default();
        if self.slow_start.warming_count() == 0 {
            return warmth;
        }
        for endpoint in self.available_endpoints(service) {
            warmth.total += 1;
            warmth.warming += usize::from(self.slow_start.is_warming(endpoint.hash));
        }
        warmth
    }

    /// Whether this entry's share of the calls that an endpoint takes while it warms up allows
    /// another call.
    pub(super) fn has_warmup_capacity(
        &self,
        now: TimePoint,
        endpoint: &EndpointState,
        service: &ServiceRule,
        warmth: PoolWarmth,
    ) -> bool {
        if warmth.warming == 0 || !self.has_slow_start(&service.name) {
            return true;
        }
        let request = WarmupRequest {
            endpoint: endpoint.hash,
            service: &service.name,
            own: &self.name,
            entries: &self.entries,
            own_calls: endpoint.in_flight,
            warmth,
        };
        self.slow_start.may_send(now, &request)
    }

    /// Whether the endpoint warms up.
    pub fn is_warming(&self, id: &str) -> bool {
        self.slow_start.is_warming(endpoint_hash(id))
    }

    fn log_warmups(&mut self) {
        for WarmupChange { id, event, is_own } in self.slow_start.take_changes() {
            // All entries take each step. The one whose answer caused it logs it for the operator.
            let level = if is_own { Level::Info } else { Level::Debug };
            match event {
                WarmupEvent::Entered(cause) => {
                    spdlog::debug!("slow start: endpoint {id} warms up; cause: {cause:?}.");
                }
                WarmupEvent::Full(took) => spdlog::log!(
                    level,
                    "slow start: endpoint {id} has its full share after {} ms.",
                    took.as_millis()
                ),
                WarmupEvent::FellBack { limit, pause } => spdlog::log!(
                    level,
                    "slow start: endpoint {id} fell back from a limit of {limit} to single probes after a bad answer; the next one is sent in {} ms.",
                    pause.as_millis()
                ),
            }
        }
    }
}
