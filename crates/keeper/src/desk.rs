//! What the leader keeps beside the routing state: who was heard when, who waits for news, and
//! the evidence on roll-outs. All of it is rebuilt by a new leader within a second or two.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tokio::sync::oneshot;

use chestnutloft_core::routing::{
    ArmCount, ArmKey, CanaryAnalysis, CanaryThresholds, DirectoryChange, EndpointNotice,
    EndpointPhase, NoticeOutcome, PoolEndpoint, RolloutStage, RolloutTiming, RoutingCommand,
    RoutingState, SessionHash, VersionVerdict,
};
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::message::{PeerLists, WatchCall, WatchReply, marks_hash};

/// Timing of the desk.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DeskSettings {
    /// Longest time that an entry waits for news, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub watch_wait: Duration,
    /// Silence after which an entry counts no more, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub entry_silence: Duration,
    /// Silence after which an endpoint is dropped, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub endpoint_silence: Duration,
}

impl Default for DeskSettings {
    fn default() -> Self {
        Self {
            watch_wait: Duration::from_millis(400),
            entry_silence: Duration::from_secs(12),
            endpoint_silence: Duration::from_secs(30),
        }
    }
}

/// Time between two records of a roll-out's progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct HeardEndpoint {
    at: TimePoint,
    cold_until: TimePoint,
}

struct WaitingWatch {
    call: WatchCall,
    since: TimePoint,
    reply: oneshot::Sender<WatchReply>,
}

struct SeenEntry {
    at: TimePoint,
    arms: Vec<(ArmKey, ArmCount)>,
    bound_sessions: Vec<SessionHash>,
}

#[derive(Clone, Copy, Debug)]
struct RolloutClock {
    started_at: TimePoint,
    recorded_at: TimePoint,
}

/// The leader's desk.
pub struct RoutingDesk {
    settings: DeskSettings,
    timing: RolloutTiming,
    heard: HashMap<Arc<str>, HeardEndpoint>,
    watches: Vec<WaitingWatch>,
    entries: BTreeMap<Arc<str>, SeenEntry>,
    clocks: HashMap<(Arc<str>, Arc<str>), RolloutClock>,
    keepers: Vec<String>,
    led_since: TimePoint,
}

impl RoutingDesk {
    /// An empty desk.
    pub fn new(settings: DeskSettings) -> Self {
        Self {
            settings,
            timing: RolloutTiming::default(),
            heard: HashMap::new(),
            watches: Vec::new(),
            entries: BTreeMap::new(),
            clocks: HashMap::new(),
            keepers: Vec::new(),
            led_since: TimePoint::ZERO,
        }
    }

    /// This keeper begins to lead: nothing heard by an earlier leader counts.
    pub fn start(&mut self, now: TimePoint) {
        self.led_since = now;
        self.heard.clear();
        self.entries.clear();
    }

    /// Follows the time of roll-outs, on every replica: a new leader goes on with it.
    pub fn follow_rollouts(&mut self, now: TimePoint, state: &RoutingState) {
        let running = state
            .rollouts
            .values()
            .filter(|held| !held.stage.is_final());
        let mut clocks = HashMap::new();
        for held in running {
            let key = (
                Arc::clone(&held.order.service),
                Arc::clone(&held.order.target),
            );
            let counted = now - Duration::from_millis(held.elapsed_ms);
            let known = self.clocks.get(&key).copied().unwrap_or(RolloutClock {
                started_at: counted,
                recorded_at: now,
            });
            let started_at = known.started_at.min(counted);
            clocks.insert(
                key,
                RolloutClock {
                    started_at,
                    ..known
                },
            );
        }
        self.clocks = clocks;
    }

    /// This keeper leads no more.
    pub fn stop(&mut self, leader: Option<&str>) {
        for watch in self.watches.drain(..) {
            let hint = leader.map(str::to_owned);
            let _ = watch.reply.send(WatchReply::NotLeader(hint));
        }
    }

    /// Sets the RPC addresses of the keepers.
    pub fn set_keepers(&mut self, keepers: Vec<String>) {
        self.keepers = keepers;
    }

    /// Notes that an endpoint was heard, and what its notice does to `state`.
    pub fn hear(
        &mut self,
        now: TimePoint,
        state: &RoutingState,
        notice: &EndpointNotice,
    ) -> NoticeOutcome {
        let outcome = state.directory.classify(notice);
        if outcome != NoticeOutcome::Stale {
            let heard = HeardEndpoint {
                at: now,
                cold_until: now + Duration::from_millis(notice.cold_left_ms),
            };
            self.heard.insert(Arc::clone(&notice.id), heard);
        }
        outcome
    }

    /// Takes the call of an entry that waits for news.
    pub fn watch(
        &mut self,
        now: TimePoint,
        mut call: WatchCall,
        reply: oneshot::Sender<WatchReply>,
    ) {
        let seen = self
            .entries
            .entry(Arc::clone(&call.entry))
            .or_insert_with(|| {
                spdlog::info!("desk: entry {} watches.", call.entry);
                SeenEntry {
                    at: now,
                    arms: Vec::new(),
                    bound_sessions: Vec::new(),
                }
            });
        seen.at = now;
        for age in &call.rollouts {
            let key = (Arc::clone(&age.service), Arc::clone(&age.target));
            if let Some(clock) = self.clocks.get_mut(&key) {
                let started_at = now - Duration::from_millis(age.age_ms);
                clock.started_at = clock.started_at.min(started_at);
            }
        }
        seen.bound_sessions = std::mem::take(&mut call.bound_sessions);
        if let Some(arms) = call.arms.take() {
            seen.arms = arms;
        }
        self.watches.push(WaitingWatch {
            call,
            since: now,
            reply,
        });
    }

    /// Answers the entries for which there is news, or which have waited long enough.
    pub fn answer_watches(&mut self, now: TimePoint, state: &RoutingState) {
        if self.watches.is_empty() {
            return;
        }
        let peers = self.peers();
        let peers_hash = peers.hash();
        let bound = self.bound_sessions();
        let bound_hash = marks_hash(&bound);
        for watch in std::mem::take(&mut self.watches) {
            let has_news =
                watch.call.known.index < state.changed_at || watch.call.peers_hash != peers_hash;
            if !has_news && now.since(watch.since) < self.settings.watch_wait {
                self.watches.push(watch);
                continue;
            }
            let update =
                state.update_from(watch.call.known, |endpoint| self.describe(now, endpoint));
            let has_peers = watch.call.peers_hash == peers_hash;
            let reply = WatchReply::Current {
                update: Box::new(update),
                peers: (!has_peers).then(|| peers.clone()),
                bound_sessions: (watch.call.bound_hash != bound_hash).then(|| bound.clone()),
            };
            // An entry that has given up waiting asks again.
            let _ = watch.reply.send(reply);
        }
    }

    fn describe(&self, now: TimePoint, endpoint: &PoolEndpoint) -> DirectoryChange {
        let cold_left_ms = match self.heard.get(&endpoint.notice.id) {
            Some(heard) => {
                u64::try_from(heard.cold_until.since(now).as_millis()).unwrap_or(u64::MAX)
            }
            // Heard by an earlier leader: as cold as it then was.
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
            entries: self.entries.keys().cloned().collect(),
        }
    }

    /// Sessions that some entry saw on the old version of a service on trial, in order.
    fn bound_sessions(&self) -> Vec<SessionHash> {
        let all = self.entries.values().flat_map(|seen| &seen.bound_sessions);
        let bound: BTreeSet<SessionHash> = all.copied().collect();
        bound.into_iter().collect()
    }

    /// Commands that are due as time passes.
    pub fn due_commands(&mut self, now: TimePoint, state: &RoutingState) -> Vec<RoutingCommand> {
        let silence = self.settings.entry_silence;
        self.entries.retain(|_, seen| now.since(seen.at) < silence);
        let mut commands = self.due_rollouts(now, state);
        commands.extend(self.silent_endpoints(now, state));
        commands
    }

    fn silent_endpoints(&self, now: TimePoint, state: &RoutingState) -> Vec<RoutingCommand> {
        let is_silent = |endpoint: &&PoolEndpoint| {
            let heard = self.heard.get(&endpoint.notice.id);
            let at = heard.map_or(self.led_since, |heard| heard.at);
            endpoint.notice.phase != EndpointPhase::Gone
                && now.since(at) >= self.settings.endpoint_silence
        };
        let silent = state.directory.iter().filter(is_silent);
        silent
            .map(|endpoint| RoutingCommand::Leave {
                id: Arc::clone(&endpoint.notice.id),
                born_ms: Some(endpoint.notice.born_ms),
            })
            .collect()
    }

    fn due_rollouts(&mut self, now: TimePoint, state: &RoutingState) -> Vec<RoutingCommand> {
        let mut commands = Vec::new();
        for held in state
            .rollouts
            .values()
            .filter(|held| !held.stage.is_final())
        {
            let order = &held.order;
            let key = (Arc::clone(&order.service), Arc::clone(&order.target));
            let Some(clock) = self.clocks.get_mut(&key) else {
                continue;
            };
            let elapsed = now.since(clock.started_at);
            let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
            let mut book = CanaryAnalysis::new(CanaryThresholds::default());
            for (key, count) in self.entries.values().flat_map(|seen| &seen.arms) {
                book.add(key, count);
            }
            let due = match book.evaluate(&order.service, &order.target) {
                VersionVerdict::Unhealthy(reason) => {
                    spdlog::warn!(
                        "rollout: {} {} is rolled back after {elapsed_ms} ms: {reason}.",
                        order.service,
                        order.target
                    );
                    RolloutStage::RolledBack
                }
                VersionVerdict::Healthy => self.timing.stage_if_healthy(order, elapsed_ms),
            };
            let is_recorded = now.since(clock.recorded_at) >= PROGRESS_INTERVAL;
            if due != held.stage || is_recorded {
                clock.recorded_at = now;
                commands.push(RoutingCommand::MoveRollout {
                    service: Arc::clone(&order.service),
                    target: Arc::clone(&order.target),
                    stage: due,
                    elapsed_ms,
                });
            }
        }
        commands
    }
}
