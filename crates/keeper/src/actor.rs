//! The actor that drives one replica: it feeds the state machine, saves, sends and applies.

use std::sync::Arc;
use std::time::Duration;

use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::oneshot;

use chestnutloft_core::consensus::{
    MemberChange, PeerMessage, ProposalError, ReadyBatch, ReplicaCore, ReplicaId, SavedPoint,
};
use chestnutloft_core::ledger::LedgerSettings;
use chestnutloft_core::routing::EndpointNotice;
use chestnutloft_core::state::{
    EntryBeat, GrantTable, KeeperCommand, LeaseGrant, LiveEntry, live_hash,
};
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::clock;
use chestnutloft_wire::message::{
    HeartbeatReply, JoinCall, JoinReply, ReplicateCall, RunReply, WatchCall, WatchReply,
};
use chestnutloft_wire::rpc_client::RpcClient;

use crate::control::RoutingReply;
use crate::desk::RoutingDesk;
use crate::formation::MemberSteward;
use crate::host::StateHost;
use crate::outbox::MessageOutbox;
use crate::settings::KeeperSettings;
use crate::status::{ChangeSummary, ClusterStatus, MemberStatus, SpendRow};
use crate::storage::{DataFolder, StorageError};

/// Time between two ticks.
pub const TICK: Duration = Duration::from_millis(20);
/// Changes that a status shows.
const SHOWN_CHANGES: usize = 10;
/// Wait after a failed save.
const SAVE_RETRY_WAIT: Duration = Duration::from_millis(400);

/// Messages of the replica's actor.
pub enum ReplicaMessage {
    /// Time passes.
    Tick,
    /// Messages from another replica.
    Replicate(ReplicateCall),
    /// Commands from an entry or operator.
    Run(Vec<KeeperCommand>, oneshot::Sender<RunReply>),
    /// Heartbeat of an entry.
    Beat(EntryBeat, oneshot::Sender<HeartbeatReply>),
    /// A save has ended.
    Saved(Box<SaveResult>),
    /// Change of members.
    Members(MemberChange, oneshot::Sender<Result<(), ProposalError>>),
    /// Asks for the status of the whole.
    Status(oneshot::Sender<ClusterStatus>),
    /// Asks for the sums of all bills.
    Spend(oneshot::Sender<Option<Vec<SpendRow>>>),
    /// Asks for the plan with its history.
    Plan(oneshot::Sender<Option<Box<chestnutloft_core::plan::PlanState>>>),
    /// Asks for the routing state.
    Routing(oneshot::Sender<RoutingReply>),
    /// An endpoint announces itself.
    Announce(EndpointNotice, oneshot::Sender<RunReply>),
    /// An entry waits for news of the routing state.
    Watch(WatchCall, oneshot::Sender<WatchReply>),
    /// Another keeper wants to be a member.
    Join(JoinCall, oneshot::Sender<JoinReply>),
    /// Asks whether this replica lacks a leader, and whom to ask to join.
    Membership(oneshot::Sender<MembershipView>),
    /// A failed save is due to be tried again.
    Resave(Box<SaveResult>),
}

/// What a replica knows of its membership.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MembershipView {
    /// Whether it is a member that hears a leader, or leads.
    pub is_settled: bool,
    /// RPC addresses of the members that it knows.
    pub members: Vec<String>,
}

/// What a save has led to.
pub struct SaveResult {
    pub(super) folder: DataFolder,
    pub(super) point: SavedPoint,
    pub(super) send_after_save: Vec<(ReplicaId, PeerMessage)>,
    error: Option<StorageError>,
}

/// What the actor starts from.
pub struct ReplicaArguments {
    /// Settings.
    pub settings: KeeperSettings,
    /// Replica as its folder holds it.
    pub core: ReplicaCore,
    /// The folder.
    pub folder: DataFolder,
    /// RPC to other keepers.
    pub caller: RpcClient,
}

/// State of the actor.
pub struct ReplicaState {
    settings: KeeperSettings,
    pub(super) desk: RoutingDesk,
    pub(super) steward: MemberSteward,
    pub(super) settled_at: TimePoint,
    pub(super) core: ReplicaCore,
    pub(super) host: StateHost,
    folder: Option<DataFolder>,
    journal_bytes: u64,
    outbox: MessageOutbox,
    grants: GrantTable,
    live: Vec<LiveEntry>,
    live_hash: u64,
    was_leader: bool,
    is_tick_due: bool,
    pub(super) is_routing_due: bool,
}

/// The actor.
pub struct ReplicaActor;

impl Actor for ReplicaActor {
    type Msg = ReplicaMessage;
    type State = ReplicaState;
    type Arguments = ReplicaArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        arguments: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        myself.send_interval(TICK, || ReplicaMessage::Tick);
        Ok(ReplicaState::new(arguments))
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        let now = clock::now();
        state.take(now, message, &myself)?;
        state.pump(now, &myself);
        Ok(())
    }
}

impl ReplicaState {
    fn new(arguments: ReplicaArguments) -> Self {
        let ReplicaArguments {
            settings,
            core,
            folder,
            caller,
        } = arguments;
        Self {
            desk: RoutingDesk::new(settings.desk.clone()),
            steward: MemberSteward::default(),
            settled_at: clock::now(),
            host: StateHost::new(),
            outbox: MessageOutbox::new(core.id(), settings.rpc.to_string(), caller),
            journal_bytes: folder.bytes(),
            folder: Some(folder),
            grants: GrantTable::default(),
            live: Vec::new(),
            live_hash: 0,
            was_leader: false,
            is_tick_due: false,
            is_routing_due: false,
            core,
            settings,
        }
    }

    fn take(
        &mut self,
        now: TimePoint,
        message: ReplicaMessage,
        myself: &ActorRef<ReplicaMessage>,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            ReplicaMessage::Tick => self.tick(now),
            ReplicaMessage::Replicate(call) => self.take_messages(now, call),
            ReplicaMessage::Run(commands, reply) => self.run(now, commands, reply),
            ReplicaMessage::Beat(beat, reply) => {
                let _ = reply.send(self.beat(now, &beat));
            }
            ReplicaMessage::Saved(result) => self.after_save(now, *result, myself)?,
            ReplicaMessage::Members(change, reply) => {
                let _ = reply.send(self.core.propose_members(now, &change));
            }
            ReplicaMessage::Status(reply) => {
                let _ = reply.send(self.status(now));
            }
            ReplicaMessage::Spend(reply) => {
                let _ = reply.send(self.core.is_serving(now).then(|| self.spend()));
            }
            ReplicaMessage::Plan(reply) => {
                let plan = || Box::new(self.host.state().plan.clone());
                let _ = reply.send(self.core.is_serving(now).then(plan));
            }
            ReplicaMessage::Routing(reply) => {
                let _ = reply.send(self.routing(now));
            }
            ReplicaMessage::Announce(notice, reply) => self.announce(now, notice, reply),
            ReplicaMessage::Watch(call, reply) => self.watch(now, call, reply),
            ReplicaMessage::Join(call, reply) => {
                let _ = reply.send(self.join(now, call));
            }
            ReplicaMessage::Membership(reply) => {
                let _ = reply.send(self.membership(now));
            }
            ReplicaMessage::Resave(result) => self.resave(myself, *result),
        }
        Ok(())
    }

    fn tick(&mut self, now: TimePoint) {
        self.core.tick(now);
        if !self.core.is_serving(now) {
            self.desk.stop(self.leader_address().as_deref());
            return;
        }
        self.tick_routing(now);
        let lapsed = self.grants.take_lapsed(now, &self.settings.lease);
        for gone in lapsed {
            spdlog::warn!("lease: entry {} has lapsed.", gone.entry);
            self.propose(
                now,
                KeeperCommand::EntryGone {
                    entry: gone.entry,
                    incarnation: gone.incarnation + 1,
                },
            );
        }
        self.refresh_live(now);
        self.configure_ledger(now);
        let is_due = self.host.state().has_due_rollout(clock::wall_now());
        if is_due && !self.is_tick_due {
            self.is_tick_due = true;
            self.propose(now, KeeperCommand::Tick);
        }
    }

    /// The leader's settings of the ledger go through the log, so that all replicas use the same.
    fn configure_ledger(&mut self, now: TimePoint) {
        let shards = self.host.state().ledger.settings().shards;
        let wanted = LedgerSettings {
            shards,
            ..self.settings.ledger.clone()
        };
        if *self.host.state().ledger.settings() != wanted && !self.is_tick_due {
            self.is_tick_due = true;
            self.propose(now, KeeperCommand::Configure(wanted));
        }
    }

    fn refresh_live(&mut self, now: TimePoint) {
        // Entries that have not found this leader yet still hold leases of the one before: a list
        // without them would hand their endpoints to others too early.
        if !self.grants.is_complete(now, &self.settings.lease) {
            return;
        }
        self.live = self.grants.live(now, &self.settings.lease);
        self.live_hash = live_hash(&self.live);
    }

    pub(super) fn propose(&mut self, now: TimePoint, command: KeeperCommand) {
        let bytes = StateHost::encode_commands(vec![command], clock::wall_now());
        if let Err(error) = self.core.propose(now, &bytes) {
            spdlog::debug!("replica: own command was not taken: {error}.");
        }
    }

    fn take_messages(&mut self, now: TimePoint, call: ReplicateCall) {
        if call.to != self.core.id() {
            spdlog::warn!("replica: message for replica {} came here.", call.to.0);
            return;
        }
        self.outbox.learn(call.from, &call.from_address);
        for message in call.messages {
            self.core.receive(now, call.from, message);
        }
    }

    pub(super) fn leader_address(&self) -> Option<String> {
        let leader = self.core.leader()?;
        let address = self.outbox.address(self.core.config(), leader)?;
        (leader != self.core.id()).then(|| address.to_owned())
    }

    pub(super) fn run(
        &mut self,
        now: TimePoint,
        commands: Vec<KeeperCommand>,
        reply: oneshot::Sender<RunReply>,
    ) {
        let bytes = StateHost::encode_commands(commands, clock::wall_now());
        match self.core.propose(now, &bytes) {
            Ok((term, index)) => self.host.wait_for(term, index, reply),
            Err(_) => {
                let _ = reply.send(RunReply::NotLeader(self.leader_address()));
            }
        }
    }

    fn beat(&mut self, now: TimePoint, beat: &EntryBeat) -> HeartbeatReply {
        if !self.core.is_serving(now) {
            return HeartbeatReply::NotLeader(self.leader_address());
        }
        if self.grants.is_superseded(beat) {
            return HeartbeatReply::Superseded;
        }
        let is_new_life = self.grants.note(now, beat);
        if is_new_life {
            spdlog::info!("lease: entry {} joins at {}.", beat.entry, beat.address);
            let entry = beat.entry.clone();
            let incarnation = beat.incarnation;
            self.propose(now, KeeperCommand::EntryGone { entry, incarnation });
            self.refresh_live(now);
        }
        let state = self.host.state();
        let has_quality = beat.quality_version != state.quality.version();
        let has_live = !self.live.is_empty() && beat.live_hash != self.live_hash;
        let duration = self.settings.lease.duration;
        HeartbeatReply::Grant(Box::new(LeaseGrant {
            update: state.plan.update_from(beat.revision),
            quality: has_quality.then(|| Box::new(state.quality.clone())),
            live: has_live.then(|| self.live.clone()),
            duration_us: u64::try_from(duration.as_micros()).unwrap_or(0),
        }))
    }

    /// Saves, sends and applies what the replica has ready.
    fn pump(&mut self, now: TimePoint, myself: &ActorRef<ReplicaMessage>) {
        loop {
            let Some(folder) = self.folder.take() else {
                let ready = self.core.take_immediate();
                self.carry_out(now, ready);
                return;
            };
            let mut ready = self.core.take_ready();
            let save = std::mem::take(&mut ready.save);
            let send_after_save = std::mem::take(&mut ready.send_after_save);
            let point = ready.point;
            let has_committed = !ready.committed.is_empty();
            self.carry_out(now, ready);
            if save.is_empty() {
                self.folder = Some(folder);
                self.outbox.send(self.core.config(), send_after_save);
                self.core.on_saved(now, point);
                if !has_committed {
                    self.compact_if_due(myself);
                    return;
                }
                continue;
            }
            save_in_background(myself, folder, point, send_after_save, move |folder| {
                folder.save(&save)
            });
            return;
        }
    }

    fn carry_out(&mut self, now: TimePoint, ready: ReadyBatch) {
        self.outbox.send(self.core.config(), ready.send_now);
        if let Some(image) = &ready.restore {
            spdlog::info!("replica: state restored from snapshot {}.", image.index);
            self.host.restore(image);
        }
        for entry in &ready.committed {
            self.host.apply(entry);
        }
        self.is_tick_due &= ready.committed.is_empty();
        self.is_routing_due &= ready.committed.is_empty();
        self.note_role(now);
        if !ready.committed.is_empty() || ready.restore.is_some() {
            let routing = &self.host.state().routing;
            self.desk.follow_rollouts(now, routing);
            if self.core.is_serving(now) {
                self.desk.answer_watches(now, routing);
            }
        }
    }

    fn note_role(&mut self, now: TimePoint) {
        let is_leader = self.core.is_leader();
        if is_leader == self.was_leader {
            return;
        }
        self.was_leader = is_leader;
        if is_leader {
            spdlog::info!("replica: leads term {}.", self.core.term());
            self.is_routing_due = false;
            self.grants.start(now);
            self.live.clear();
            self.desk.start(now);
        } else {
            spdlog::info!("replica: follows in term {}.", self.core.term());
            self.host.abandon();
            self.desk.stop(self.leader_address().as_deref());
        }
    }

    fn after_save(
        &mut self,
        now: TimePoint,
        mut result: SaveResult,
        myself: &ActorRef<ReplicaMessage>,
    ) -> Result<(), ActorProcessingErr> {
        if let Some(error) = result.error.take() {
            if self.settings.formation.is_some() {
                spdlog::error!("storage: {error}. Tries again with a new journal.");
                let myself = myself.clone();
                myself.send_after(SAVE_RETRY_WAIT, move || {
                    ReplicaMessage::Resave(Box::new(result))
                });
                return Ok(());
            }
            spdlog::critical!("storage: {error}. This replica stops.");
            return Err(Box::new(error));
        }
        self.journal_bytes = result.folder.bytes();
        self.folder = Some(result.folder);
        self.outbox.send(self.core.config(), result.send_after_save);
        self.core.on_saved(now, result.point);
        Ok(())
    }

    fn compact_if_due(&mut self, myself: &ActorRef<ReplicaMessage>) {
        let applied = self.core.applied();
        let has_many = applied >= self.core.snapshot_index() + self.settings.snapshot_entries;
        let has_grown = self.journal_bytes >= self.settings.snapshot_bytes;
        let is_due = has_many || (has_grown && applied > self.core.snapshot_index());
        if !is_due {
            return;
        }
        let data: Arc<[u8]> = self.host.encode();
        let Some(image) = self.core.compact(applied, data) else {
            return;
        };
        let Some(folder) = self.folder.take() else {
            return;
        };
        spdlog::info!(
            "storage: snapshot at {} with {} bytes.",
            image.index,
            image.data.len()
        );
        let hard = self.core.hard();
        let entries = self.core.log().after_index(image.index, usize::MAX);
        let point = SavedPoint::default();
        save_in_background(myself, folder, point, Vec::new(), move |folder| {
            folder.rotate(&image, hard, &entries)
        });
    }

    fn status(&self, now: TimePoint) -> ClusterStatus {
        let state = self.host.state();
        let changes = state.plan.recent_changes().take(SHOWN_CHANGES);
        ClusterStatus {
            is_serving: self.core.is_serving(now),
            leader: self.core.leader().map(|id| id.0),
            term: self.core.term(),
            commit: self.core.commit(),
            snapshot: self.core.snapshot_index(),
            journal_bytes: self.journal_bytes,
            accepted: state.plan.revision,
            declared_at: state.plan.declared_at,
            in_force: self
                .grants
                .in_force(now, state.plan.revision, &self.settings.lease),
            members: self.member_status(now),
            entries: self.grants.status(now, &self.settings.lease),
            rollouts: state.plan.rollouts.clone(),
            drained: state.plan.drained.iter().cloned().collect(),
            withdrawn: state.plan.withdrawn.keys().cloned().collect(),
            quarantined: state.plan.quarantined.clone(),
            ledger: state.ledger.size(),
            changes: changes
                .map(|(revision, operator, sentences)| ChangeSummary {
                    revision,
                    operator: operator.to_owned(),
                    sentences: sentences.to_vec(),
                })
                .collect(),
        }
    }

    fn member_status(&self, now: TimePoint) -> Vec<MemberStatus> {
        let progress = self.core.follower_progress();
        let config = self.core.config();
        let members = config.voters.iter().chain(&config.learners);
        members
            .map(|(id, address)| {
                let known = progress.iter().find(|(other, _, _)| other == id);
                let is_own = *id == self.core.id();
                let answered = known.and_then(|(_, _, at)| *at);
                MemberStatus {
                    replica: id.0,
                    address: address.clone(),
                    is_voter: config.is_voter(*id),
                    matched: if is_own {
                        self.core.last_index()
                    } else {
                        known.map_or(0, |(_, matched, _)| *matched)
                    },
                    silent_ms: if is_own {
                        Some(0)
                    } else {
                        answered.and_then(|at| u64::try_from(now.since(at).as_millis()).ok())
                    },
                }
            })
            .collect()
    }

    fn spend(&self) -> Vec<SpendRow> {
        let spend = self.host.state().ledger.spend();
        spend
            .iter()
            .map(|(key, cell)| SpendRow {
                key: key.clone(),
                cell: *cell,
            })
            .collect()
    }
}

pub(super) fn save_in_background(
    myself: &ActorRef<ReplicaMessage>,
    mut folder: DataFolder,
    point: SavedPoint,
    send_after_save: Vec<(ReplicaId, PeerMessage)>,
    work: impl FnOnce(&mut DataFolder) -> Result<(), StorageError> + Send + 'static,
) {
    let myself = myself.clone();
    tokio::task::spawn_blocking(move || {
        let error = work(&mut folder).err();
        let result = SaveResult {
            folder,
            point,
            send_after_save,
            error,
        };
        let _ = myself.cast(ReplicaMessage::Saved(Box::new(result)));
    });
}
