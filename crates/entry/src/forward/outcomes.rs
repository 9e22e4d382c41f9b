//! What the outcomes of attempts teach of endpoints and versions.

use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::routing::{ArmCount, ArmKey, EndpointPhase, LoadShare, WaitingWork};
use chestnutloft_core::time::TimePoint;

use super::choice::ChosenEndpoint;
use super::dialect::ReportedLoad;
use super::state::{EntryBook, LoadReport};

impl EntryBook {
    /// Notes that an attempt has begun to answer after `took`.
    pub fn note_begun(&mut self, now: TimePoint, endpoint: &ChosenEndpoint, took: Duration) {
        let reading = &endpoint.reading;
        self.pressure
            .note_delay(now, &endpoint.id, reading.work_ms, took);
        self.work
            .note(reading.kind, reading.tokens, took, reading.queue());
    }

    /// Notes that an attempt was given up after `took`.
    pub fn note_silence(&mut self, now: TimePoint, endpoint: &ChosenEndpoint, took: Duration) {
        self.pressure
            .note_delay(now, &endpoint.id, endpoint.reading.work_ms, took);
    }

    /// Notes that `events` events of a stream of a larger model took `took`.
    pub fn note_pace(&mut self, now: TimePoint, events: u64, took: Duration) {
        self.large_pace.note(now, events as f64, took);
    }

    /// What this entry has sent that has not begun to answer.
    pub fn waiting_work(&self) -> Vec<WaitingWork> {
        self.pressure.waiting_work()
    }

    /// What this entry tells the others.
    pub fn load_share(&self, now: TimePoint) -> LoadShare {
        LoadShare {
            work: self.waiting_work(),
            pace: self.large_pace.report(now),
        }
    }

    /// Notes what the other entries see.
    pub fn note_others(&mut self, now: TimePoint, others: &LoadShare) {
        self.pressure.note_others(now, &others.work);
        self.others_pace = others.pace;
    }

    /// Notes that an attempt is sent.
    pub fn begin(&mut self, now: TimePoint, id: &Arc<str>, work_ms: f64) {
        self.pressure.begin(id, work_ms);
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        endpoint.in_flight += 1;
        if now < endpoint.cold_until {
            self.cold.note(now, id);
        }
    }

    /// Notes that the work of an attempt before its answer is over.
    pub fn end_work(&mut self, id: &str, work_ms: f64) {
        self.pressure.end(id, work_ms);
    }

    /// Notes that an attempt has ended.
    pub fn end(&mut self, id: &Arc<str>) {
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        let is_over = endpoint.in_flight == 0 && endpoint.notice.phase == EndpointPhase::Gone;
        if is_over {
            self.endpoints.remove(id);
            self.health.forget(id);
            self.pressure.forget(id);
        }
    }

    /// Notes the load that an endpoint reports with an answer.
    pub fn note_load(&mut self, now: TimePoint, id: &Arc<str>, load: ReportedLoad) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.report = Some(LoadReport {
                at: now,
                load: f64::from(load.running) + f64::from(load.waiting),
                own: endpoint.in_flight as f64,
            });
        }
    }

    /// Notes that the endpoint refused a call since it is full.
    pub fn note_full(&mut self, now: TimePoint, id: &Arc<str>) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            let slots = f64::from(endpoint.notice.slots);
            endpoint.report = Some(LoadReport {
                at: now,
                load: slots * 1.5,
                own: endpoint.in_flight as f64,
            });
        }
    }

    /// Notes that another endpoint answers at the address: this one gets nothing until it
    /// announces a new life.
    pub fn note_misdirected(&mut self, id: &Arc<str>) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.is_misdirected = true;
        }
    }

    /// Notes that the endpoint cannot be reached. It may come back cold.
    pub fn note_down(&mut self, now: TimePoint, id: &Arc<str>) {
        self.health.note_down(now, id);
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        if let Some(service) = self.table.service(&endpoint.notice.service) {
            let cold_until = now + Duration::from_millis(service.cold_ms);
            endpoint.cold_until = endpoint.cold_until.max(cold_until);
        }
    }

    /// Notes a failure of the endpoint; whether it is ejected by it.
    pub fn note_failure(&mut self, now: TimePoint, id: &Arc<str>) -> bool {
        let Some(endpoint) = self.endpoints.get(id) else {
            return false;
        };
        let pool: Vec<Arc<str>> = self
            .working(&endpoint.notice.service)
            .map(|other| Arc::clone(&other.notice.id))
            .collect();
        self.health.note_failure(now, id, &pool)
    }

    /// Notes the outcome of an attempt for the comparison of versions.
    pub fn note_arm(
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
        self.arms.entry(key).or_default().note(took_s);
        self.has_new_arms = true;
    }

    /// Counts of the versions of services under roll-out, where there are new ones.
    pub fn take_arms(&mut self) -> Option<Vec<(ArmKey, ArmCount)>> {
        let is_watched = |key: &ArmKey| {
            let rollout = self.rollouts.get(&key.service);
            rollout.is_some_and(|state| !state.stage.is_final())
        };
        if !std::mem::take(&mut self.has_new_arms) {
            return None;
        }
        let watched = self.arms.iter().filter(|(key, _)| is_watched(key));
        let watched: Vec<_> = watched.map(|(key, count)| (key.clone(), *count)).collect();
        (!watched.is_empty()).then_some(watched)
    }
}
