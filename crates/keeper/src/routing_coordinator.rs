//! The leader's unreplicated routing data: liveness of endpoints and entries, entries that watch
//! the routing state, and reports on roll-outs. A new leader rebuilds it within a second or two.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tokio::sync::oneshot;

use chestnutloft_core::routing::{
    ArmCount, ArmKey, CanaryAnalysis, CanaryThresholds, ChangeIndex, DeclarationUpdates,
    DirectoryChange, EndpointEnd, EndpointNotice, EndpointPhase, NoticeOutcome, PoolEndpoint,
    RolloutOrder, RolloutStage, RolloutTiming, RoutingCommand, RoutingState, SegmentFaultDetector,
    SegmentFaultSettings, SessionHash, VersionVerdict,
};
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::message::{
    PeerLists, WatchCall, WatchReply, sessions_hash, suspicions_hash,
};

use crate::propagation::PropagationTracker;
use crate::rollout_clocks::RolloutClocks;

/// Timeouts of watches, entries and endpoints.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CoordinatorSettings {
    /// Longest time before a watch without changes is answered, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub watch_wait: Duration,
    /// Time since the last watch after which an entry and its reports are dropped, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub entry_silence: Duration,
    /// Time since the last announcement after which an endpoint is taken out of use, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub endpoint_silence: Duration,
    /// Time for which operators may send the same order again because they got no answer, in
    /// milliseconds. An order that equals one that was rolled back longer ago is a new one.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub order_resend: Duration,
}

impl Default for CoordinatorSettings {
    fn default() -> Self {
        Self {
            watch_wait: Duration::from_millis(400),
            entry_silence: Duration::from_secs(12),
            endpoint_silence: Duration::from_secs(30),
            order_resend: Duration::from_secs(5),
        }
    }
}

/// Shortest time between two answers to an entry for new suspicions alone.
const SUSPICION_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the progress of a roll-out is replicated.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// Time from the start of a term until the entries have reported the outcomes of roll-outs. They poll
/// at least every 0.4 s, and look for a new leader at all keepers at once.
const REPORT_WAIT: Duration = Duration::from_millis(500);
/// Time by which the end of an endpoint's cold time must move for a new one. Below it, the notice has
/// only taken longer to arrive.
const MIN_COLD_EXTENSION: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug)]
struct EndpointLiveness {
    last_seen: TimePoint,
    /// When the endpoint expects to be warm.
    cold_until: TimePoint,
}

struct PendingWatch {
    call: WatchCall,
    since: TimePoint,
    reply: oneshot::Sender<WatchReply>,
}

/// Last report of an entry.
struct EntryReport {
    received_at: TimePoint,
    /// Last change of the routing state that the entry has.
    confirmed: ChangeIndex,
    /// Outcomes on versions under roll-out, counted since the entry started or learned of the
    /// roll-out to a version that had been rolled back.
    arms: Vec<(ArmKey, ArmCount)>,
    /// Last change of the routing state that the entry had when it reported `arms`.
    arms_index: ChangeIndex,
    bound_sessions: Vec<SessionHash>,
}

/// Coordinates endpoints, watching entries and roll-outs on the leader.
pub struct RoutingCoordinator {
    settings: CoordinatorSettings,
    timing: RolloutTiming,
    liveness: HashMap<Arc<str>, EndpointLiveness>,
    watches: Vec<PendingWatch>,
    entry_reports: BTreeMap<Arc<str>, EntryReport>,
    rollout_clocks: RolloutClocks,
    keepers: Vec<String>,
    leader_since: TimePoint,
    segment_faults: SegmentFaultDetector,
    propagation: PropagationTracker,
    declaration_updates: DeclarationUpdates,
}

impl RoutingCoordinator {
    /// Creates a coordinator without any reports.
    pub fn new(settings: CoordinatorSettings) -> Self {
        Self {
            settings,
            timing: RolloutTiming::default(),
            liveness: HashMap::new(),
            watches: Vec::new(),
            entry_reports: BTreeMap::new(),
            rollout_clocks: RolloutClocks::default(),
            keepers: Vec::new(),
            leader_since: TimePoint::ZERO,
            segment_faults: SegmentFaultDetector::new(SegmentFaultSettings::default()),
            propagation: PropagationTracker::default(),
            declaration_updates: DeclarationUpdates::default(),
        }
    }

    /// Starts a term as leader. Reports from an earlier term as leader are discarded.
    pub fn start_leading(&mut self, now: TimePoint) {
        self.leader_since = now;
        self.liveness.clear();
        self.entry_reports.clear();
        self.segment_faults = SegmentFaultDetector::new(SegmentFaultSettings::default());
        self.propagation = PropagationTracker::default();
    }

    /// Updates the clocks of roll-outs from the replicated state. Every replica does this.
    pub fn update_rollout_clocks(&mut self, now: TimePoint, state: &RoutingState) {
        self.rollout_clocks.update(now, state);
    }

    /// Command for an operator's order of a roll-out; see [`RolloutClocks::command`].
    pub fn rollout_command(
        &self,
        now: TimePoint,
        state: &RoutingState,
        order: RolloutOrder,
    ) -> RoutingCommand {
        self.rollout_clocks
            .command(now, state, order, self.settings.order_resend)
    }

    /// Redirects all watching entries to the leader, because this keeper is not serving as one.
    pub fn reject_watches(&mut self, leader: Option<&str>) {
        for watch in self.watches.drain(..) {
            let leader = leader.map(str::to_owned);
            let _ = watch.reply.send(WatchReply::NotLeader(leader));
        }
    }

    /// Sets the RPC addresses of the keepers, which are sent to watching entries.
    pub fn set_keepers(&mut self, keepers: Vec<String>) {
        self.keepers = keepers;
    }

    /// Records that an endpoint is live, unless `notice` is stale. Returns the effect of the notice
    /// on `state`. One for a service that is not declared may come from another writer: it must not
    /// retire the endpoint that it shares an address with.
    pub fn record_notice(
        &mut self,
        now: TimePoint,
        state: &RoutingState,
        notice: &EndpointNotice,
    ) -> NoticeOutcome {
        if !is_known_service(state, notice) {
            spdlog::debug!(
                "routing: ignoring endpoint {}: its service {} is not declared.",
                notice.id,
                notice.service
            );
            return NoticeOutcome::Stale;
        }
        let outcome = state.directory.classify(notice);
        if outcome == NoticeOutcome::Stale {
            return outcome;
        }
        let announced = now + Duration::from_millis(notice.cold_left_ms);
        let known = self.liveness.get(&notice.id);
        let known = known.map(|liveness| liveness.cold_until);
        let turns_cold = notice.cold_left_ms > 0
            && known.is_none_or(|known| announced > known + MIN_COLD_EXTENSION);
        let is_change = outcome == NoticeOutcome::Changes || turns_cold;
        // A notice that took longer to arrive seems to put off the end of the cold time.
        let earliest = known.filter(|_| !is_change).unwrap_or(announced);
        let liveness = EndpointLiveness {
            last_seen: now,
            cold_until: announced.min(earliest),
        };
        self.liveness.insert(Arc::clone(&notice.id), liveness);
        if is_change {
            NoticeOutcome::Changes
        } else {
            outcome
        }
    }

    /// Records the report in a watch and holds the watch until there is something to answer.
    pub fn watch(
        &mut self,
        now: TimePoint,
        mut call: WatchCall,
        reply: oneshot::Sender<WatchReply>,
    ) {
        let report = self
            .entry_reports
            .entry(Arc::clone(&call.entry))
            .or_insert_with(|| {
                spdlog::info!("routing: entry {} started watching.", call.entry);
                EntryReport {
                    received_at: now,
                    confirmed: 0,
                    arms: Vec::new(),
                    arms_index: 0,
                    bound_sessions: Vec::new(),
                }
            });
        report.received_at = now;
        report.confirmed = call.known.index;
        for age in &call.rollouts {
            self.rollout_clocks.record_age(now, call.known.index, age);
        }
        report.bound_sessions = std::mem::take(&mut call.bound_sessions);
        if let Some(arms) = call.arms.take() {
            report.arms = arms;
            report.arms_index = call.known.index;
        }
        for end in std::mem::take(&mut call.ends) {
            spdlog::info!(
                "segments: entry {} lost {} calls with endpoint {} before their answers went on: {:x?}.",
                call.entry,
                end.calls.len(),
                end.endpoint,
                end.calls
            );
            self.segment_faults.record_end(now, end);
        }
        for progress in std::mem::take(&mut call.progress) {
            self.segment_faults.record_progress(now, progress);
        }
        self.watches.push(PendingWatch {
            call,
            since: now,
            reply,
        });
    }

    /// Answers the watches whose entry lacks a change and those that have reached the time limit.
    pub fn answer_watches(&mut self, now: TimePoint, state: &RoutingState) {
        if self.watches.is_empty() {
            return;
        }
        let peers = self.peers();
        let peers_hash = peers.hash();
        let bound_sessions = self.bound_sessions();
        let bound_hash = sessions_hash(&bound_sessions);
        let suspicions = self.segment_faults.suspicions(now);
        let current_suspicions_hash = suspicions_hash(&suspicions);
        for watch in std::mem::take(&mut self.watches) {
            let has_changes =
                watch.call.known.index < state.changed_at || watch.call.peers_hash != peers_hash;
            let wait = if watch.call.suspicions_hash == current_suspicions_hash {
                self.settings.watch_wait
            } else {
                SUSPICION_INTERVAL
            };
            if !has_changes && now.since(watch.since) < wait {
                self.watches.push(watch);
                continue;
            }
            let known = watch.call.known;
            let declaration = self.declaration_updates.update(state, known.declaration);
            let update = state.update_from(known, declaration, |endpoint| {
                self.endpoint_change(now, endpoint)
            });
            let has_current_peers = watch.call.peers_hash == peers_hash;
            let reply = WatchReply::Current {
                update: Box::new(update),
                peers: (!has_current_peers).then(|| peers.clone()),
                bound_sessions: (watch.call.bound_hash != bound_hash)
                    .then(|| bound_sessions.clone()),
                suspicions: (watch.call.suspicions_hash != current_suspicions_hash)
                    .then(|| suspicions.clone()),
            };
            // Fails if the call of the entry has timed out; the entry then calls again.
            let _ = watch.reply.send(reply);
        }
    }

    /// Logs how long committed changes take to reach all watching entries.
    pub fn log_propagation(&mut self, now: TimePoint, state: &RoutingState) {
        self.propagation.record_change(now, state.changed_at);
        let reports = &self.entry_reports;
        let confirmed = || {
            reports
                .iter()
                .map(|(name, report)| (name, report.confirmed))
        };
        if let Some((index, age)) = self.propagation.settle(now, confirmed()) {
            spdlog::info!(
                "routing: change {index} is at all {} entries {} ms after it was committed.",
                reports.len(),
                age.as_millis()
            );
        }
        if let Some(overdue) = self.propagation.overdue(now, confirmed()) {
            spdlog::warn!(
                "routing: change {} has not reached {} of {} entries {} ms after it was committed, among them {:?}.",
                overdue.index,
                overdue.missing,
                reports.len(),
                overdue.age.as_millis(),
                overdue.named
            );
        }
    }

    fn endpoint_change(&self, now: TimePoint, endpoint: &PoolEndpoint) -> DirectoryChange {
        let cold_left_ms = match self.liveness.get(&endpoint.notice.id) {
            Some(liveness) => liveness.cold_until.millis_since(now),
            // Announced only to an earlier leader: uses the remaining time that was replicated.
            None => endpoint.notice.cold_left_ms,
        };
        DirectoryChange {
            endpoint: endpoint.clone(),
            cold_left_ms,
        }
    }

    fn peers(&self) -> PeerLists {
        PeerLists {
            keepers: self.keepers.clone(),
            entries: self.entry_reports.keys().cloned().collect(),
        }
    }

    /// Sessions that any entry saw on the old version of a service whose roll-out is in its trial
    /// stage, sorted.
    fn bound_sessions(&self) -> Vec<SessionHash> {
        let all = self
            .entry_reports
            .values()
            .flat_map(|report| &report.bound_sessions);
        let bound: BTreeSet<SessionHash> = all.copied().collect();
        bound.into_iter().collect()
    }

    /// Drops outdated entry reports, and returns the commands to propose for roll-outs and for
    /// endpoints that are no longer announced.
    pub fn due_commands(&mut self, now: TimePoint, state: &RoutingState) -> Vec<RoutingCommand> {
        let timeout = self.settings.entry_silence;
        self.entry_reports
            .retain(|_, report| now.since(report.received_at) < timeout);
        let mut commands = self.due_rollout_moves(now, state);
        commands.extend(self.expired_endpoints(now, state));
        commands.extend(self.due_segment_changes(now, state));
        commands
    }

    fn due_segment_changes(&mut self, now: TimePoint, state: &RoutingState) -> Vec<RoutingCommand> {
        let pool_size = |end: &EndpointEnd| {
            let endpoints = state.directory.iter().filter(|endpoint| {
                endpoint.notice.service == end.service
                    && endpoint.notice.domain == end.domain
                    && endpoint.notice.phase == EndpointPhase::Ready
            });
            endpoints.count()
        };
        let changes = self
            .segment_faults
            .due_changes(now, &state.blocked_segments, pool_size);
        for change in &changes {
            spdlog::warn!("segments: {change:x?}.");
        }
        changes
            .into_iter()
            .map(RoutingCommand::ChangeSegment)
            .collect()
    }

    fn expired_endpoints(&self, now: TimePoint, state: &RoutingState) -> Vec<RoutingCommand> {
        let is_expired = |endpoint: &&PoolEndpoint| {
            let liveness = self.liveness.get(&endpoint.notice.id);
            let last_seen = liveness.map_or(self.leader_since, |liveness| liveness.last_seen);
            endpoint.notice.phase != EndpointPhase::Gone
                && now.since(last_seen) >= self.settings.endpoint_silence
        };
        let expired = state.directory.iter().filter(is_expired);
        expired
            .map(|endpoint| RoutingCommand::Expire {
                id: Arc::clone(&endpoint.notice.id),
                born_ms: endpoint.notice.born_ms,
            })
            .collect()
    }

    fn due_rollout_moves(&mut self, now: TimePoint, state: &RoutingState) -> Vec<RoutingCommand> {
        let mut commands = Vec::new();
        // Without reports of this term, nothing is known of the new version's outcomes.
        let has_reports =
            now.since(self.leader_since) >= REPORT_WAIT && !self.entry_reports.is_empty();
        for rollout in state
            .rollouts
            .values()
            .filter(|rollout| !rollout.stage.is_final())
        {
            let order = &rollout.order;
            let Some(clock) = self.rollout_clocks.get_mut(order) else {
                continue;
            };
            let elapsed_ms = now.millis_since(clock.started_at);
            let mut analysis = CanaryAnalysis::new(CanaryThresholds::default());
            // Entries that have not learned of the order yet still count an earlier roll-out.
            let reports = self.entry_reports.values();
            let reports = reports.filter(|report| report.arms_index >= clock.order_index);
            let arms = reports.flat_map(|report| &report.arms);
            for (key, count) in arms.filter(|(key, _)| !rollout.rejects(&key.version)) {
                analysis.add(key, count);
            }
            let due_stage = match analysis.evaluate(&order.service, &order.target) {
                VersionVerdict::Unhealthy(reason) => {
                    spdlog::warn!(
                        "rollout: rolling back service {} from version {} after {elapsed_ms} ms: {reason}.",
                        order.service,
                        order.target
                    );
                    RolloutStage::RolledBack
                }
                VersionVerdict::Healthy if has_reports => {
                    self.timing.next_stage(rollout, elapsed_ms)
                }
                VersionVerdict::Healthy => rollout.stage,
            };
            let is_record_due = now.since(clock.recorded_at) >= PROGRESS_INTERVAL;
            if due_stage != rollout.stage || is_record_due {
                clock.recorded_at = now;
                commands.push(RoutingCommand::MoveRollout {
                    service: Arc::clone(&order.service),
                    target: Arc::clone(&order.target),
                    stage: due_stage,
                    elapsed_ms,
                });
            }
        }
        commands
    }
}

/// Whether the service of `notice` is declared, or was when the endpoint registered. Before the first
/// declaration, each service may still be declared.
fn is_known_service(state: &RoutingState, notice: &EndpointNotice) -> bool {
    let declaration = state.declaration().map(|stored| &stored.declaration);
    let is_declared = declaration.is_none_or(|rules| rules.service(&notice.service).is_some());
    let known = state.directory.get(&notice.id);
    is_declared || known.is_some_and(|known| known.notice.service == notice.service)
}
