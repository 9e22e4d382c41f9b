//! What an entry knows of routes, endpoints and roll-outs, kept current by the keepers' updates.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::routing::{
    ArmCount, ArmKey, ColdAllowance, EndpointNotice, EndpointPhase, HealthSettings, PaceReport,
    PlacementSettings, PoolHealth, PressureBook, RepeatBudget, RepeatSettings, RolloutState,
    RouteDeclaration, RouteTable, RoutingRevision, RoutingUpdate, SessionVersions, StreamPace,
    WorkEstimate,
};
use chestnutloft_core::time::TimePoint;

use super::settings::{ForwardSettings, SharedLimits};

/// Part of the time until a withdrawn key must be dead that an entry trusts what it knows; the
/// rest covers the way of a call to its endpoint.
const TRUST_SHARE: f64 = 0.93;
/// Age at which a reported load counts no more.
const REPORT_AGE: Duration = Duration::from_millis(1_500);

/// An endpoint as this entry sees it.
#[derive(Clone, Debug)]
pub(super) struct BookEndpoint {
    pub(super) notice: EndpointNotice,
    pub(super) cold_until: TimePoint,
    pub(super) in_flight: usize,
    pub(super) report: Option<LoadReport>,
    /// The address answered for another endpoint.
    pub(super) is_misdirected: bool,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct LoadReport {
    pub(super) at: TimePoint,
    pub(super) load: f64,
    pub(super) own: f64,
}

impl BookEndpoint {
    /// Calls that the endpoint runs and holds: its newest report, moved by what this entry has
    /// sent and finished since, and trusted less as it ages.
    pub(super) fn load(&self, now: TimePoint) -> f64 {
        let own = self.in_flight as f64;
        let Some(report) = self.report else {
            return own;
        };
        let age = now.since(report.at).as_secs_f64() / REPORT_AGE.as_secs_f64();
        let others = (report.load - report.own).max(0.0) * (1.0 - age).max(0.0);
        own + others
    }
}

/// Everything that the request path decides on.
pub struct EntryBook {
    pub(super) name: Arc<str>,
    pub(super) domain: Arc<str>,
    pub(super) limits: SharedLimits,
    pub(super) placement: PlacementSettings,
    pub(super) pressure: PressureBook,
    pub(super) work: WorkEstimate,
    /// Pace of the streams of models larger than the smallest.
    pub(super) large_pace: StreamPace,
    pub(super) others_pace: PaceReport,
    declaration: RouteDeclaration,
    pub(super) table: Arc<RouteTable>,
    index: u64,
    pub(super) endpoints: HashMap<Arc<str>, BookEndpoint>,
    pub(super) evacuated: BTreeSet<Arc<str>>,
    pub(super) rollouts: HashMap<Arc<str>, RolloutState>,
    /// When this entry learnt of each service's trial.
    pub(super) trials_known_at: HashMap<Arc<str>, TimePoint>,
    /// Entries known, this one among them.
    pub entries: Vec<Arc<str>>,
    current_at: Option<TimePoint>,
    pub(super) sessions: SessionVersions,
    /// Health of endpoints.
    pub health: PoolHealth,
    pub(super) cold: ColdAllowance,
    pub(super) repeats: RepeatBudget,
    pub(super) arms: HashMap<ArmKey, ArmCount>,
    pub(super) has_new_arms: bool,
}

impl EntryBook {
    /// An empty book.
    pub fn new(settings: &ForwardSettings) -> Self {
        let limits = &settings.limits;
        let name: Arc<str> = Arc::from(settings.name.as_str());
        let repeats = RepeatSettings {
            ratio: limits.repeat_ratio,
            slack: limits.repeat_slack,
            window: limits.repeat_window,
            ..RepeatSettings::default()
        };
        Self {
            name: Arc::clone(&name),
            domain: Arc::from(settings.domain.as_str()),
            limits: limits.clone(),
            placement: settings.placement.clone(),
            pressure: PressureBook::new(settings.pressure.clone()),
            work: WorkEstimate::default(),
            large_pace: StreamPace::default(),
            others_pace: PaceReport::default(),
            declaration: RouteDeclaration::default(),
            table: Arc::default(),
            index: 0,
            endpoints: HashMap::new(),
            evacuated: BTreeSet::new(),
            rollouts: HashMap::new(),
            trials_known_at: HashMap::new(),
            entries: vec![name],
            current_at: None,
            sessions: SessionVersions::default(),
            health: PoolHealth::new(HealthSettings::default()),
            cold: ColdAllowance::default(),
            repeats: RepeatBudget::new(repeats),
            arms: HashMap::new(),
            has_new_arms: false,
        }
    }

    /// The routes in force here.
    pub fn table(&self) -> Arc<RouteTable> {
        Arc::clone(&self.table)
    }

    /// The declaration in force here.
    pub fn declaration(&self) -> &RouteDeclaration {
        &self.declaration
    }

    /// What this entry has of the routing state.
    pub fn revision(&self) -> RoutingRevision {
        RoutingRevision {
            index: self.index,
            declaration: self.declaration.number,
        }
    }

    /// Whether what this entry knows may be trusted: a key that was withdrawn since is not yet
    /// required to be dead.
    pub fn is_current(&self, now: TimePoint) -> bool {
        let trust = self.limits.key_withdrawal.mul_f64(TRUST_SHARE);
        self.current_at.is_some_and(|at| now.since(at) < trust)
    }

    /// When the keepers last confirmed the state.
    pub fn confirmed_at(&self) -> Option<TimePoint> {
        self.current_at
    }

    /// Applies what a keeper sent in answer to a call of `asked_at`. An update that is older than
    /// what is known is ignored: an entry never goes back.
    pub fn apply(&mut self, now: TimePoint, asked_at: TimePoint, update: RoutingUpdate) {
        if update.index < self.index {
            spdlog::warn!(
                "watch: state {} is older than {} here and is ignored.",
                update.index,
                self.index
            );
            return;
        }
        self.index = update.index;
        if let Some(declaration) = update.declaration {
            declaration.apply(&mut self.declaration);
            self.table = Arc::new(RouteTable::new(&self.declaration));
            spdlog::info!(
                "routes: declaration {} is in force with {} routes.",
                self.declaration.number,
                self.declaration.routes.len()
            );
        }
        for change in update.endpoints {
            let cold_until = now + Duration::from_millis(change.cold_left_ms);
            self.apply_endpoint(change.endpoint.notice, cold_until);
        }
        if let Some(evacuated) = update.evacuated {
            self.apply_evacuated(now, evacuated);
        }
        if let Some(rollouts) = update.rollouts {
            self.apply_rollouts(now, rollouts);
        }
        self.current_at = self.current_at.max(Some(asked_at));
    }

    fn apply_endpoint(&mut self, notice: EndpointNotice, cold_until: TimePoint) {
        let known = self.endpoints.get_mut(&notice.id);
        if notice.phase == EndpointPhase::Gone {
            if known.is_some_and(|known| known.in_flight == 0) {
                self.endpoints.remove(&notice.id);
                self.health.forget(&notice.id);
                self.pressure.forget(&notice.id);
            } else if let Some(known) = self.endpoints.get_mut(&notice.id) {
                known.notice = notice;
            }
            return;
        }
        if let Some(known) = known {
            if known.notice.born_ms != notice.born_ms {
                self.health.forget(&notice.id);
                known.report = None;
                known.is_misdirected = false;
            }
            known.notice = notice;
            known.cold_until = cold_until;
        } else {
            let endpoint = BookEndpoint {
                notice,
                cold_until,
                in_flight: 0,
                report: None,
                is_misdirected: false,
            };
            let id = Arc::clone(&endpoint.notice.id);
            self.endpoints.insert(id, endpoint);
        }
    }

    /// Endpoints of a failure domain that returns may have turned cold meanwhile.
    fn apply_evacuated(&mut self, now: TimePoint, evacuated: Vec<Arc<str>>) {
        let evacuated: BTreeSet<Arc<str>> = evacuated.into_iter().collect();
        let returned: Vec<_> = self.evacuated.difference(&evacuated).cloned().collect();
        for endpoint in self.endpoints.values_mut() {
            if returned.contains(&endpoint.notice.domain)
                && let Some(service) = self.table.service(&endpoint.notice.service)
            {
                let cold_until = now + Duration::from_millis(service.cold_ms);
                endpoint.cold_until = endpoint.cold_until.max(cold_until);
            }
        }
        spdlog::info!("domains: out of use are {evacuated:?}.");
        self.evacuated = evacuated;
    }

    fn apply_rollouts(&mut self, now: TimePoint, rollouts: Vec<RolloutState>) {
        for state in rollouts {
            let service = Arc::clone(&state.order.service);
            let before = self.rollouts.get(&service);
            let is_new = before.is_none_or(|before| before.order != state.order);
            if before.is_some_and(|before| *before == state) {
                continue;
            }
            spdlog::info!(
                "rollout: {service} to {} is at {:?}.",
                state.order.target,
                state.stage
            );
            if is_new {
                self.trials_known_at.insert(Arc::clone(&service), now);
            }
            if is_new || state.stage.is_final() {
                self.sessions.reset(&service);
            }
            self.rollouts.insert(service, state);
        }
    }

    /// Endpoints known here that have not left.
    pub fn endpoint_count(&self) -> usize {
        let endpoints = self.endpoints.values();
        endpoints
            .filter(|endpoint| endpoint.notice.phase != EndpointPhase::Gone)
            .count()
    }

    /// Whether there are routes to serve by.
    pub fn is_ready(&self, now: TimePoint) -> bool {
        self.declaration.number > 0 && self.is_current(now)
    }

    /// Notes a call of a caller to `service`.
    pub fn note_call(&mut self, now: TimePoint, service: &Arc<str>) {
        self.repeats.note_call(now, service);
    }

    /// Whether a call to `service` could be sent once more.
    pub fn has_repeat(&mut self, now: TimePoint, service: &Arc<str>) -> bool {
        self.repeats.has_one(now, service, self.entries.len())
    }

    /// Whether a call to `service` may be sent once more, which draws on the budget.
    pub fn take_repeat(&mut self, now: TimePoint, service: &Arc<str>) -> bool {
        self.repeats.take(now, service, self.entries.len())
    }
}
