//! Choice of an endpoint where capacity is managed: by the calls of all entries and the pace of each
//! endpoint.

use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::admission::CapacityLimits;
use chestnutloft_core::routing::{
    CapacityClaim, DemandShare, EndpointCapacity, EndpointHash, EntryDemand, ModelLane,
    PaceReading, PrefixHash, SpeedSample, TimedCandidate, TimedRequest, UsageSum, endpoint_hash,
    select_by_time, speed_sample,
};
use chestnutloft_core::time::TimePoint;

use super::choice::{ChosenEndpoint, NoEndpoint, PrefillEstimate, PromptSize, SelectionRequest};
use super::state::{EndpointState, EntryState};

/// Age up to which an endpoint's own report of its load is used beside the ledger.
const MAX_REPORT_AGE: Duration = Duration::from_millis(300);
/// Number of readings and samples that are kept while no keeper leads. Later ones are dropped.
const MAX_NEWS: usize = 256;

/// Readings of pace and comparisons of speed that the other entries have not been told yet.
#[derive(Clone, Debug, Default)]
pub struct PaceNews {
    readings: Vec<(TimePoint, PaceReading)>,
    samples: Vec<SpeedSample>,
    prefills: Vec<SpeedSample>,
}

impl PaceNews {
    fn add_reading(&mut self, now: TimePoint, reading: PaceReading) {
        self.readings
            .retain(|(_, known)| known.endpoint != reading.endpoint);
        if self.readings.len() < MAX_NEWS {
            self.readings.push((now, reading));
        }
    }

    fn add_sample(&mut self, sample: SpeedSample) {
        if self.samples.len() < MAX_NEWS {
            self.samples.push(sample);
        }
    }

    /// Takes the readings, with their age at `now`.
    pub fn take_readings(&mut self, now: TimePoint) -> Vec<PaceReading> {
        let readings = std::mem::take(&mut self.readings).into_iter();
        let aged = |(at, reading): (TimePoint, PaceReading)| PaceReading {
            age_ms: u32::try_from(now.millis_since(at)).unwrap_or(u32::MAX),
            ..reading
        };
        readings.map(aged).collect()
    }

    fn add_prefill(&mut self, sample: SpeedSample) {
        if self.prefills.len() < MAX_NEWS {
            self.prefills.push(sample);
        }
    }

    /// Takes the measured times of prompts.
    pub fn take_prefills(&mut self) -> Vec<SpeedSample> {
        std::mem::take(&mut self.prefills)
    }

    /// Takes the samples.
    pub fn take_samples(&mut self) -> Vec<SpeedSample> {
        std::mem::take(&mut self.samples)
    }
}

impl EntryState {
    /// Calls and tokens of all entries at an endpoint. A recent report of the endpoint itself
    /// counts if it says more.
    pub(super) fn endpoint_usage(&self, now: TimePoint, endpoint: &EndpointState) -> UsageSum {
        let usage = self.ledger.usage(now, endpoint.hash);
        let report = endpoint.report.as_ref();
        let is_recent = report.is_some_and(|report| now.since(report.received_at) < MAX_REPORT_AGE);
        let reported = if is_recent { endpoint.load(now) } else { 0.0 };
        UsageSum {
            calls: usage.calls.max(reported),
            ..usage
        }
    }

    /// Records what an endpoint of `service` said of its pace.
    pub(super) fn record_pace(
        &mut self,
        now: TimePoint,
        id: &str,
        service: &Arc<str>,
        percent: u32,
    ) {
        let endpoint = endpoint_hash(id);
        if !self.paces.record(now, endpoint, percent) {
            return;
        }
        if self.paced_services.insert(Arc::clone(service)) {
            spdlog::info!(
                "capacity: endpoints of service {service} report their pace; its capacity is managed from now on."
            );
        }
        let reading = PaceReading {
            endpoint,
            percent,
            age_ms: 0,
        };
        self.pace_news.add_reading(now, reading);
    }

    /// Compares the time until an answer began with the usual time for such a call.
    pub(super) fn record_speed(
        &mut self,
        now: TimePoint,
        endpoint: &ChosenEndpoint,
        took: Duration,
    ) {
        let prefill = &endpoint.prefill;
        let hash = endpoint_hash(&endpoint.id);
        let factor = self.paces.factor(now, hash);
        let expected_ms = (prefill.wait_ms + prefill.work_ms) * factor;
        let sample = speed_sample(hash, took.as_secs_f64() * 1_000.0, expected_ms);
        self.pace_news.add_sample(sample);
    }

    /// Records the usual time until the answer to a call began that did not wait.
    pub(super) fn record_prefill(&mut self, prefill: &PrefillEstimate, took: Duration) {
        let tokens = prefill.uncached_tokens;
        let sample = self
            .prefill_profile
            .sample(prefill.model_hash, tokens, took);
        self.pace_news.add_prefill(sample);
    }

    /// Usual time to process `tokens` tokens of a prompt, in milliseconds.
    pub(super) fn prefill_ms(&self, model_hash: u64, tokens: f64) -> f64 {
        let measured = self.prefill_profile.prefill_ms(model_hash, tokens);
        measured.unwrap_or_else(|| self.prefill_work.prefill_ms(model_hash, tokens))
    }

    /// Counts the call at its endpoint, which will have the call's prompt prefix cached.
    pub fn claim_capacity(&mut self, now: TimePoint, endpoint: &ChosenEndpoint) {
        if let Some(claim) = endpoint.claim {
            let hash = endpoint_hash(&endpoint.id);
            self.ledger.claim(hash, claim);
            if self.manages_endpoint(&endpoint.id) {
                self.room_share.record_start(now);
            }
            if let Some(prefix) = endpoint.prefill.prefix_hash {
                self.prefixes.record(now, prefix as PrefixHash, hash);
            }
        }
    }

    /// Endpoints that presumably have the prompt's prefix cached.
    fn prefix_holders(&self, now: TimePoint, prompt: &PromptSize) -> Vec<EndpointHash> {
        let prefix = prompt.prefix_hash.map(|prefix| prefix as PrefixHash);
        let holders = prefix.map(|prefix| self.prefixes.holders(now, prefix).collect());
        holders.unwrap_or_default()
    }

    fn manages_endpoint(&self, id: &str) -> bool {
        let endpoint = self.endpoints.get(id);
        endpoint.is_some_and(|endpoint| self.is_capacity_managed(&endpoint.notice.service))
    }

    /// Ends what [`Self::claim_capacity`] has counted.
    pub fn release_capacity(&mut self, endpoint: &ChosenEndpoint) {
        if let Some(claim) = endpoint.claim {
            self.ledger.release(endpoint_hash(&endpoint.id), claim);
        }
    }

    /// Chooses among `endpoints` the one with room at which the call is expected to cost least time.
    pub(super) fn choose_by_time(
        &self,
        now: TimePoint,
        request: &SelectionRequest<'_>,
        endpoints: &[&EndpointState],
    ) -> Result<ChosenEndpoint, NoEndpoint> {
        let claim = capacity_claim(request);
        let holders = self.prefix_holders(now, &request.prompt);
        let timed_request = self.timed_request(now, request);
        let settings = if request.service.engine.is_some() {
            &self.capacity.placement
        } else {
            &self.capacity.plain_placement
        };
        let mut free = 0.0;
        let (with_room, candidates): (Vec<&EndpointState>, Vec<TimedCandidate<'_>>) = endpoints
            .iter()
            .map(|endpoint| (*endpoint, self.timed_candidate(now, endpoint, &holders)))
            .filter(|(_, candidate)| {
                let room = self.room_for(candidate, request, claim);
                free += room;
                room >= 1.0
            })
            .unzip();
        if !self.may_take_room(now, request, free) {
            return Err(NoEndpoint::Full);
        }
        let chosen =
            select_by_time(settings, &timed_request, &candidates).ok_or(NoEndpoint::Full)?;
        let candidate = &candidates[chosen];
        let prefill = PrefillEstimate {
            wait_ms: candidate.wait_ms,
            pace: candidate.pace,
            ..self.prefill_estimate(&request.prompt, candidate.has_prefix)
        };
        let notice = &with_room[chosen].notice;
        let model = request.sent_model;
        Ok(ChosenEndpoint::new(notice, model, prefill, Some(claim)))
    }

    /// Number of calls with `claim` that the endpoint may take. Plain services have no such bound:
    /// their calls end sooner than entries can tell each other of them.
    fn room_for(
        &self,
        candidate: &TimedCandidate<'_>,
        request: &SelectionRequest<'_>,
        claim: CapacityClaim,
    ) -> f64 {
        request.service.engine.as_ref().map_or(1.0, |engine| {
            let reserve = &self.capacity.reserve;
            let capacity = EndpointCapacity {
                places: reserve.places(candidate.slots),
                large_places: match request.limits {
                    CapacityLimits::OfClass(rank) => reserve.large_places(candidate.slots, rank),
                    CapacityLimits::LastResort => f64::INFINITY,
                },
                tokens: engine.kv_tokens as f64,
            };
            match request.limits {
                CapacityLimits::OfClass(_) => capacity.room_among_entries(candidate.usage, claim),
                CapacityLimits::LastResort => capacity.room_for(candidate.usage, claim),
            }
        })
    }

    /// Whether this entry's part of the room for `free` calls allows the call.
    fn may_take_room(&self, now: TimePoint, request: &SelectionRequest<'_>, free: f64) -> bool {
        request.service.engine.is_none()
            || request.limits == CapacityLimits::LastResort
            || self.room_share.may_start(now, free, &self.demand(now))
    }

    /// Demand for managed services, here and at the other entries.
    pub(super) fn demand(&self, now: TimePoint) -> DemandShare {
        DemandShare {
            own: EntryDemand {
                waiting: self.waiting_calls as f64,
                starts_per_s: self.room_share.starts_per_s(now),
            },
            peers: self.peer_demand,
        }
    }

    fn timed_request(&self, now: TimePoint, request: &SelectionRequest<'_>) -> TimedRequest {
        let prompt = &request.prompt;
        let prefill_ms = |tokens| self.prefill_ms(prompt.model_hash, tokens);
        TimedRequest {
            call_hash: request.session,
            prefix_ms: prefill_ms(prompt.prefix_tokens),
            suffix_ms: prefill_ms(prompt.suffix_tokens),
            is_large: match request.lane {
                ModelLane::Any => None,
                ModelLane::Small => Some(false),
                ModelLane::Large => Some(true),
            },
            max_pause_ms: request.max_pause.as_secs_f64() * 1_000.0,
            spread: if request.service.engine.is_some() {
                self.room_share.spread(now, &self.demand(now))
            } else {
                1
            },
        }
    }

    fn timed_candidate<'a>(
        &'a self,
        now: TimePoint,
        endpoint: &'a EndpointState,
        holders: &[EndpointHash],
    ) -> TimedCandidate<'a> {
        let id = &*endpoint.notice.id;
        let hash = endpoint.hash;
        TimedCandidate {
            id,
            is_remote: endpoint.notice.domain != self.domain,
            usage: self.endpoint_usage(now, endpoint),
            slots: f64::from(endpoint.notice.slots.max(1)),
            wait_ms: self.queue_delays.wait_ms(now, id),
            pace: self.paces.factor(now, hash) * self.speeds.factor(hash),
            is_recovering: self.health.is_recovering(id),
            has_prefix: holders.contains(&hash),
        }
    }
}

fn capacity_claim(request: &SelectionRequest<'_>) -> CapacityClaim {
    CapacityClaim {
        is_large: request.lane == ModelLane::Large,
        tokens: request.prompt.total_tokens() + request.output_tokens,
    }
}
