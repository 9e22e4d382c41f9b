//! Records the outcomes of attempts, on which later decisions are based.

use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::routing::{
    ArmCount, ArmKey, EndpointPhase, EndpointProcess, EntryDemand, LoadSummary, QueueState,
    WaitingWork, WarmupCause, endpoint_hash,
};
use chestnutloft_core::time::TimePoint;

use super::choice::ChosenEndpoint;
use super::codec::{ReportedLoad, SelfReport};
use super::state::{EndpointState, EntryState, LoadReport};

impl EntryState {
    /// Records what an endpoint said of itself with an answer, unless the process that answered has
    /// been replaced since. Returns whether the other entries should hear of it.
    pub fn record_self_report(
        &mut self,
        now: TimePoint,
        chosen: &ChosenEndpoint,
        report: SelfReport,
    ) -> bool {
        let id = &chosen.id;
        let is_same = |endpoint: &&mut EndpointState| endpoint.notice.born_ms == chosen.born_ms;
        let Some(endpoint) = self.endpoints.get_mut(id).filter(is_same) else {
            return false;
        };
        let is_news = report.is_leaving && !std::mem::replace(&mut endpoint.is_leaving, true);
        if is_news {
            let process = EndpointProcess::new(id, chosen.born_ms);
            self.leaving.hear(now, process);
            spdlog::info!("health: endpoint {id} says that it leaves; it gets no further calls.");
        }
        if let Some(rest) = report.rest
            && endpoint.rest.grant(now, rest)
        {
            spdlog::info!(
                "health: endpoint {id} asks for no calls for {} ms.",
                rest.as_millis()
            );
            let left = endpoint.rest.left(now).unwrap_or_default();
            self.begin_warmup(now, id, WarmupCause::Rested, now + left);
        }
        is_news
    }

    /// Records that the response to an attempt has begun after `took`.
    pub fn record_response_start(
        &mut self,
        now: TimePoint,
        endpoint: &ChosenEndpoint,
        took: Duration,
    ) {
        let prefill = &endpoint.prefill;
        if endpoint.claim.is_some() {
            self.record_speed(now, endpoint, took);
        }
        let took = prefill.usual_time(took);
        let has_prompt = endpoint.claim.is_some() && prefill.uncached_tokens > 0.0;
        if has_prompt && prefill.queue_state() == QueueState::Idle {
            self.record_prefill(prefill, took);
        }
        self.queue_delays
            .record_delay(now, &endpoint.id, prefill.work_ms, took);
        self.prefill_work.record(
            prefill.model_hash,
            prefill.uncached_tokens,
            took,
            prefill.queue_state(),
        );
    }

    /// Records that an attempt timed out after `took`.
    pub fn record_timeout(&mut self, now: TimePoint, endpoint: &ChosenEndpoint, took: Duration) {
        self.queue_delays
            .record_delay(now, &endpoint.id, endpoint.prefill.work_ms, took);
    }

    /// Records that `events` events in a stream of a larger model took `took`.
    pub fn record_event_gap(&mut self, now: TimePoint, events: u64, took: Duration) {
        self.large_model_event_gap.record(now, events as f64, took);
        self.idle_event_gap
            .record(took.div_f64((events as f64).max(1.0)));
    }

    /// Pending work per endpoint: attempts of this entry whose responses have not begun.
    pub fn waiting_work(&self) -> Vec<WaitingWork> {
        self.queue_delays.waiting_work()
    }

    /// Load information for the other entries.
    pub fn load_summary(&mut self, now: TimePoint) -> LoadSummary {
        LoadSummary {
            work: self.waiting_work(),
            event_gap: self.large_model_event_gap.report(now),
            limits: self.stated_limits.statements(now),
            leaving: self.leaving.statements(now),
            waiting_calls: self.waiting_calls as u32,
            starts_per_s: self.room_share.starts_per_s(now).round() as u32,
            usage: self.ledger.report(),
            paces: self.pace_news.take_readings(now),
            speeds: self.pace_news.take_samples(),
            prefills: self.pace_news.take_prefills(),
            prefixes: self.prefixes.take_news(),
            answers: self.slow_start.answers(now),
            applied_reply: self
                .manages_capacity()
                .then(|| self.received_sums.applied()),
            sums: None,
        }
    }

    /// Has the next sums sent in full: an exchange has failed or the leader has changed.
    pub fn reset_peer_sums(&mut self) {
        self.received_sums.reset();
    }

    /// Applies the sums of the other entries, as of `now`.
    fn apply_peer_sums(&mut self, now: TimePoint, peers: &LoadSummary) {
        let Some(news) = self.received_sums.apply(peers) else {
            spdlog::warn!(
                "load exchange: the reply does not fit the previous one; the next one is full."
            );
            return;
        };
        if news.is_full {
            self.ledger.set_peers(now, &news.usage);
            self.queue_delays.set_peer_work(now, &news.work);
        } else {
            self.ledger.update_peers(now, &news.usage);
            self.queue_delays.update_peer_work(now, &news.work);
        }
    }

    /// Applies load information from the other entries, as of `now`.
    pub fn apply_peer_load(&mut self, now: TimePoint, peers: &LoadSummary) {
        self.apply_peer_sums(now, peers);
        self.peer_event_gap = peers.event_gap;
        self.stated_limits.merge(now, &peers.limits);
        self.paces.merge(now, &peers.paces);
        self.speeds.set(&peers.speeds);
        self.peer_demand = EntryDemand {
            waiting: f64::from(peers.waiting_calls),
            starts_per_s: f64::from(peers.starts_per_s),
        };
        self.room_share.renew(now);
        self.prefill_profile.set(&peers.prefills);
        self.prefixes.merge(now, &peers.prefixes);
        self.merge_answers(now, &peers.answers);
        let leaving = self.leaving.merge(now, &peers.leaving);
        if !leaving.is_empty() {
            self.spare_leaving(&leaving);
        }
    }

    /// Marks the endpoints that have told other entries that they leave.
    fn spare_leaving(&mut self, leaving: &[EndpointProcess]) {
        for endpoint in self.endpoints.values_mut() {
            let notice = &endpoint.notice;
            let process = EndpointProcess::new(&notice.id, notice.born_ms);
            if leaving.contains(&process) && !std::mem::replace(&mut endpoint.is_leaving, true) {
                spdlog::info!(
                    "health: endpoint {} has told another entry that it leaves; it gets no further calls.",
                    endpoint.notice.id
                );
            }
        }
    }

    /// Counts an attempt as in flight, with prefill work of `work_ms` milliseconds.
    pub fn start_attempt(&mut self, now: TimePoint, id: &Arc<str>, work_ms: f64) {
        self.queue_delays.add_pending(id, work_ms);
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        endpoint.in_flight += 1;
        let is_limited = self.stated_limits.per_s(endpoint_hash(id)).is_some();
        if now < endpoint.cold_until || is_limited {
            self.rate_limiter.record_call(now, id);
        }
        self.record_warmup_call(now, id);
    }

    /// Removes the prefill work of an attempt from the endpoint's pending work.
    pub fn finish_prefill(&mut self, id: &str, work_ms: f64) {
        self.queue_delays.remove_pending(id, work_ms);
    }

    /// Counts an attempt as no longer in flight. Forgets an endpoint that has deregistered once its
    /// last attempt has ended.
    pub fn finish_attempt(&mut self, id: &Arc<str>) {
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        let is_unused = endpoint.in_flight == 0 && endpoint.notice.phase == EndpointPhase::Gone;
        if is_unused {
            self.endpoints.remove(id);
            self.health.forget(id);
            self.queue_delays.forget(id);
            self.rate_limiter.forget(id);
            self.slow_start.forget(endpoint_hash(id));
        }
    }

    /// Records the load that an endpoint reported with a response.
    pub fn record_reported_load(&mut self, now: TimePoint, id: &Arc<str>, load: ReportedLoad) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.report = Some(LoadReport {
                received_at: now,
                load: f64::from(load.running) + f64::from(load.waiting),
                own_in_flight: endpoint.in_flight as f64,
            });
            if let Some(percent) = load.pace_percent {
                let service = Arc::clone(&endpoint.notice.service);
                self.record_pace(now, id, &service, percent);
            }
        }
    }

    /// Records what an answer to a call sent at `sent_at` said about its endpoint's limit. Returns
    /// whether the limit has changed.
    pub fn record_limit(
        &mut self,
        now: TimePoint,
        id: &str,
        sent_at: TimePoint,
        per_s: Option<f64>,
    ) -> bool {
        let endpoint = endpoint_hash(id);
        let is_change = self.stated_limits.hear(now, endpoint, sent_at, per_s);
        if is_change {
            spdlog::info!("limits: endpoint {id} takes {per_s:?} calls per second of all entries.");
        }
        is_change
    }

    /// Records that the endpoint rejected a call because it is full: its load is assumed to be 1.5
    /// times its slots.
    pub fn record_full(&mut self, now: TimePoint, id: &Arc<str>) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            let slots = f64::from(endpoint.notice.slots);
            endpoint.report = Some(LoadReport {
                received_at: now,
                load: slots * 1.5,
                own_in_flight: endpoint.in_flight as f64,
            });
        }
    }

    /// Records that the endpoint's address rejected a call, sent at `sent_at`, as misdirected. It
    /// gets no calls for the same model for some time, or until it announces that it runs the model
    /// or has restarted.
    pub fn record_misdirected(
        &mut self,
        now: TimePoint,
        sent_at: TimePoint,
        chosen: &ChosenEndpoint,
    ) {
        let is_same = |endpoint: &&mut EndpointState| endpoint.notice.born_ms == chosen.born_ms;
        if let Some(endpoint) = self.endpoints.get_mut(&chosen.id).filter(is_same) {
            let until = endpoint.models.record_rejection(now, sent_at, chosen.model);
            self.rejections_until = self.rejections_until.max(until);
        }
    }

    /// Records that the endpoint cannot be reached. It may be cold when it comes back, so it counts
    /// as cold.
    pub fn record_unreachable(&mut self, now: TimePoint, id: &Arc<str>) {
        self.health.record_unreachable(now, id);
        self.record_termination(now, id);
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        if let Some(service) = self.table.service(&endpoint.notice.service) {
            let cold_until = now + Duration::from_millis(service.cold_ms);
            endpoint.cold_until = endpoint.cold_until.max(cold_until);
        }
        self.begin_warmup_after_ejection(now, id);
    }

    /// Records a failure of the endpoint. Returns whether the endpoint is ejected because of it.
    pub fn record_failure(&mut self, now: TimePoint, id: &Arc<str>) -> bool {
        let Some(endpoint) = self.endpoints.get(id) else {
            return false;
        };
        let pool: Vec<Arc<str>> = self
            .available_endpoints(&endpoint.notice.service)
            .map(|other| Arc::clone(&other.notice.id))
            .collect();
        let is_ejected = self.health.record_failure(now, id, &pool);
        if is_ejected {
            self.begin_warmup_after_ejection(now, id);
        }
        is_ejected
    }

    /// Records the outcome of an attempt for the comparison of versions during a roll-out; `took_s`
    /// is `None` for a failure, else the seconds until the response began.
    pub fn record_arm(
        &mut self,
        service: &Arc<str>,
        version: &Arc<str>,
        route: &str,
        took_s: Option<f64>,
    ) {
        let key = ArmKey {
            service: Arc::clone(service),
            version: Arc::clone(version),
            route: Arc::from(route),
        };
        self.arms.entry(key).or_default().record(took_s);
        self.has_new_arm_counts = true;
    }

    /// Has the outcome counts reported once more, after the poll that carried them has failed.
    pub fn resend_arm_counts(&mut self) {
        self.has_new_arm_counts = !self.arms.is_empty();
    }

    /// Outcome counts of all services with a roll-out in progress, or `None` if nothing has changed
    /// since the last call.
    pub fn take_arm_counts(&mut self) -> Option<Vec<(ArmKey, ArmCount)>> {
        let has_rollout = |key: &ArmKey| {
            let rollout = self.rollouts.get(&key.service);
            rollout.is_some_and(|rollout| !rollout.stage.is_final())
        };
        if !std::mem::take(&mut self.has_new_arm_counts) {
            return None;
        }
        let counts = self.arms.iter().filter(|(key, _)| has_rollout(key));
        let counts: Vec<_> = counts.map(|(key, count)| (key.clone(), *count)).collect();
        (!counts.is_empty()).then_some(counts)
    }
}
