//! The actor that drives one replica: it passes messages and ticks to the consensus core, saves its
//! batches, sends its messages and applies committed entries.

use std::sync::Arc;
use std::time::Duration;

use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::oneshot;

use chestnutloft_core::consensus::{
    LeaveStatus, MemberChange, PeerMessage, ProposalError, ReadyBatch, ReplicaCore, ReplicaId,
    SavedPoint,
};
use chestnutloft_core::ledger::LedgerSettings;
use chestnutloft_core::routing::{EndpointNotice, RolloutOrder};
use chestnutloft_core::state::{
    EntryHeartbeat, GrantTable, KeeperCommand, LeaseGrant, LiveEntry, live_hash,
};
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::clock;
use chestnutloft_wire::message::{
    HeartbeatReply, JoinCall, JoinReply, ReplicateCall, RunReply, WatchCall, WatchReply,
};
use chestnutloft_wire::rpc_client::RpcClient;

use crate::control::RoutingReply;
use crate::formation::MembershipManager;
use crate::outbox::MessageOutbox;
use crate::routing_coordinator::RoutingCoordinator;
use crate::settings::KeeperSettings;
use crate::state_machine::StateMachine;
use crate::status::{ChangeSummary, ClusterStatus, MemberStatus, SpendRow};
use crate::storage::{DataFolder, StorageError};

/// Interval between ticks.
pub const TICK: Duration = Duration::from_millis(20);
/// Number of recent changes in a status.
const SHOWN_CHANGES: usize = 10;
/// Delay before a failed save is retried.
const SAVE_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Time without an answer after which the leader reports a member as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Messages to the replica's actor.
pub enum ReplicaMessage {
    /// Periodic tick.
    Tick,
    /// Consensus messages from another replica.
    Replicate(ReplicateCall),
    /// Commands from an entry or operator, answered once they are applied.
    Run(Vec<KeeperCommand>, oneshot::Sender<RunReply>),
    /// Heartbeat of an entry, answered with a lease.
    Heartbeat(EntryHeartbeat, oneshot::Sender<HeartbeatReply>),
    /// A background save has completed or failed.
    Saved(Box<SaveResult>),
    /// Membership change from an operator.
    Members(MemberChange, oneshot::Sender<Result<(), ProposalError>>),
    /// Reads the status of the cluster as this replica knows it.
    Status(oneshot::Sender<ClusterStatus>),
    /// Reads the totals of all bills; `None` unless this replica is a serving leader.
    Spend(oneshot::Sender<Option<Vec<SpendRow>>>),
    /// Reads the plan with its history; `None` unless this replica is a serving leader.
    Plan(oneshot::Sender<Option<Box<chestnutloft_core::plan::PlanState>>>),
    /// Reads the declaration and roll-outs of the routing state.
    Routing(oneshot::Sender<RoutingReply>),
    /// Announcement of an endpoint.
    Announce(EndpointNotice, oneshot::Sender<RunReply>),
    /// Order of a roll-out.
    StartRollout(RolloutOrder, oneshot::Sender<RunReply>),
    /// Long poll of an entry for changes of the routing state.
    Watch(WatchCall, oneshot::Sender<WatchReply>),
    /// Request of another keeper to become a member.
    Join(JoinCall, oneshot::Sender<JoinReply>),
    /// Reads whether this replica is an active member, and whom it can ask to join.
    Membership(oneshot::Sender<MembershipView>),
    /// Leaves the cluster; answered with the final status.
    Leave(oneshot::Sender<LeaveStatus>),
    /// Retries a failed save.
    RetrySave(Box<SaveResult>),
}

/// Membership as this replica knows it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MembershipView {
    /// Whether it is a member and was in contact with a leader recently, or leads. Also while it
    /// leaves, so that it does not ask to join again.
    pub is_active_member: bool,
    /// RPC addresses of the voters that it knows.
    pub members: Vec<String>,
}

/// Result of a background save. Returns the folder to the actor.
pub struct SaveResult {
    pub(super) folder: DataFolder,
    pub(super) point: SavedPoint,
    pub(super) send_after_save: Vec<(ReplicaId, PeerMessage)>,
    error: Option<StorageError>,
}

/// Arguments to start the actor with.
pub struct ReplicaArguments {
    /// Settings of the keeper.
    pub settings: KeeperSettings,
    /// Consensus state as recovered from the folder.
    pub core: ReplicaCore,
    /// Data folder, open for writing.
    pub folder: DataFolder,
    /// RPC client for other keepers.
    pub rpc_client: RpcClient,
}

/// State of the actor.
pub struct ReplicaState {
    settings: KeeperSettings,
    pub(super) coordinator: RoutingCoordinator,
    pub(super) membership: MembershipManager,
    pub(super) last_leader_contact: TimePoint,
    pub(super) core: ReplicaCore,
    pub(super) state_machine: StateMachine,
    /// `None` while a background save uses it.
    folder: Option<DataFolder>,
    journal_bytes: u64,
    outbox: MessageOutbox,
    grants: GrantTable,
    /// Entries with a valid lease, as sent to the entries.
    live_entries: Vec<LiveEntry>,
    live_hash: u64,
    was_leader: bool,
    /// Members that have not answered this leader for [`SILENCE_TIMEOUT`].
    silent_members: Vec<ReplicaId>,
    /// Whether a [`KeeperCommand::Tick`] or `Configure` was proposed and nothing has been committed
    /// since.
    is_maintenance_pending: bool,
    /// Whether routing commands were proposed by this actor and nothing has been committed since.
    pub(super) is_routing_pending: bool,
    /// Waits until this replica has left the cluster.
    leave_reply: Option<oneshot::Sender<LeaveStatus>>,
}

/// The replica's actor.
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
        state.handle_message(now, message, &myself)?;
        state.process_ready(now, &myself);
        Ok(())
    }
}

impl ReplicaState {
    fn new(arguments: ReplicaArguments) -> Self {
        let ReplicaArguments {
            settings,
            core,
            folder,
            rpc_client,
        } = arguments;
        Self {
            coordinator: RoutingCoordinator::new(settings.desk.clone()),
            membership: MembershipManager::default(),
            last_leader_contact: clock::now(),
            state_machine: StateMachine::new(),
            outbox: MessageOutbox::new(core.id(), settings.rpc.to_string(), rpc_client),
            journal_bytes: folder.journal_bytes(),
            folder: Some(folder),
            grants: GrantTable::default(),
            live_entries: Vec::new(),
            live_hash: 0,
            was_leader: false,
            silent_members: Vec::new(),
            is_maintenance_pending: false,
            is_routing_pending: false,
            leave_reply: None,
            core,
            settings,
        }
    }

    fn handle_message(
        &mut self,
        now: TimePoint,
        message: ReplicaMessage,
        myself: &ActorRef<ReplicaMessage>,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            ReplicaMessage::Tick => self.tick(now),
            ReplicaMessage::Replicate(call) => self.receive_messages(now, call),
            ReplicaMessage::Run(commands, reply) => self.submit_commands(now, commands, reply),
            ReplicaMessage::Heartbeat(heartbeat, reply) => {
                let _ = reply.send(self.heartbeat(now, &heartbeat));
            }
            ReplicaMessage::Saved(result) => self.finish_save(now, *result, myself)?,
            ReplicaMessage::Members(change, reply) => {
                let _ = reply.send(self.core.propose_member_change(now, &change));
            }
            ReplicaMessage::Status(reply) => {
                let _ = reply.send(self.status(now));
            }
            ReplicaMessage::Spend(reply) => {
                let _ = reply.send(self.core.is_serving(now).then(|| self.spend()));
            }
            ReplicaMessage::Plan(reply) => {
                let plan = || Box::new(self.state_machine.state().plan.clone());
                let _ = reply.send(self.core.is_serving(now).then(plan));
            }
            ReplicaMessage::Routing(reply) => {
                let _ = reply.send(self.routing(now));
            }
            ReplicaMessage::Announce(notice, reply) => self.announce(now, notice, reply),
            ReplicaMessage::StartRollout(order, reply) => self.start_rollout(now, order, reply),
            ReplicaMessage::Watch(call, reply) => self.watch(now, call, reply),
            ReplicaMessage::Join(call, reply) => {
                let _ = reply.send(self.join(now, call));
            }
            ReplicaMessage::Membership(reply) => {
                let _ = reply.send(self.membership(now));
            }
            ReplicaMessage::Leave(reply) => {
                self.core.start_leaving();
                self.leave_reply = Some(reply);
            }
            ReplicaMessage::RetrySave(result) => self.retry_save(myself, *result),
        }
        Ok(())
    }

    fn tick(&mut self, now: TimePoint) {
        self.core.tick(now);
        self.answer_leave();
        if !self.core.is_serving(now) {
            self.coordinator
                .reject_watches(self.leader_address().as_deref());
            return;
        }
        self.log_silent_members(now);
        self.tick_routing(now);
        let expired = self.grants.remove_expired(now, &self.settings.lease);
        for entry in expired {
            spdlog::warn!(
                "lease: lease of entry {} (incarnation {}) expired; marking its claims as unknown.",
                entry.entry,
                entry.incarnation
            );
            self.propose(
                now,
                KeeperCommand::EntryGone {
                    entry: entry.entry,
                    incarnation: entry.incarnation + 1,
                },
            );
        }
        self.refresh_live_entries(now);
        self.configure_ledger(now);
        let is_due = self
            .state_machine
            .state()
            .has_due_rollout(clock::wall_now());
        if is_due && !self.is_maintenance_pending {
            self.is_maintenance_pending = true;
            self.propose(now, KeeperCommand::Tick);
        }
    }

    fn answer_leave(&mut self) {
        let status = self.core.leave_status();
        let final_status = status.filter(|status| *status != LeaveStatus::Pending);
        if let Some(status) = final_status
            && let Some(reply) = self.leave_reply.take()
        {
            let _ = reply.send(status);
        }
    }

    fn log_silent_members(&mut self, now: TimePoint) {
        let silent = self.core.unresponsive_members(now, SILENCE_TIMEOUT);
        if silent == self.silent_members {
            return;
        }
        let last_index = self.core.last_index();
        for (id, match_index, _) in self.core.follower_progress() {
            match (self.silent_members.contains(&id), silent.contains(&id)) {
                (false, true) => spdlog::warn!(
                    "replica: member {} does not answer; it lacks up to {} of the log's entries, {} bytes of which are in memory.",
                    id.0,
                    last_index - match_index,
                    self.core.log().command_bytes_after(match_index)
                ),
                (true, false) => spdlog::info!(
                    "replica: member {} answers again; it lacks {} of the log's entries.",
                    id.0,
                    last_index - match_index
                ),
                _ => {}
            }
        }
        self.silent_members = silent;
    }

    /// Puts the leader's ledger settings through the log, so that all replicas apply the same ones.
    fn configure_ledger(&mut self, now: TimePoint) {
        let shards = self.state_machine.state().ledger.settings().shards;
        let wanted = LedgerSettings {
            shards,
            ..self.settings.ledger.clone()
        };
        if *self.state_machine.state().ledger.settings() != wanted && !self.is_maintenance_pending {
            self.is_maintenance_pending = true;
            self.propose(now, KeeperCommand::Configure(wanted));
        }
    }

    fn refresh_live_entries(&mut self, now: TimePoint) {
        // Entries that have not contacted this leader yet may still hold leases from the previous
        // one. A list without them would give their endpoints to other entries too early.
        if !self.grants.is_complete(now, &self.settings.lease) {
            return;
        }
        self.live_entries = self.grants.live(now, &self.settings.lease);
        self.live_hash = live_hash(&self.live_entries);
    }

    pub(super) fn propose(&mut self, now: TimePoint, command: KeeperCommand) {
        let bytes = StateMachine::encode_commands(vec![command], clock::wall_now());
        if let Err(error) = self.core.propose(now, &bytes) {
            spdlog::debug!("replica: internal command was rejected: {error}.");
        }
    }

    fn receive_messages(&mut self, now: TimePoint, call: ReplicateCall) {
        if call.to != self.core.id() {
            spdlog::warn!(
                "replica: dropped messages for replica {} that reached replica {}.",
                call.to.0,
                self.core.id().0
            );
            return;
        }
        self.outbox.learn_address(call.from, &call.from_address);
        for message in call.messages {
            self.core.receive(now, call.from, message);
        }
    }

    pub(super) fn leader_address(&self) -> Option<String> {
        let leader = self.core.leader()?;
        let address = self.outbox.address(self.core.config(), leader)?;
        (leader != self.core.id()).then(|| address.to_owned())
    }

    pub(super) fn submit_commands(
        &mut self,
        now: TimePoint,
        commands: Vec<KeeperCommand>,
        reply: oneshot::Sender<RunReply>,
    ) {
        let bytes = StateMachine::encode_commands(commands, clock::wall_now());
        match self.core.propose(now, &bytes) {
            Ok((term, index)) => self.state_machine.add_pending(term, index, reply),
            Err(_) => {
                let _ = reply.send(RunReply::NotLeader(self.leader_address()));
            }
        }
    }

    fn heartbeat(&mut self, now: TimePoint, heartbeat: &EntryHeartbeat) -> HeartbeatReply {
        if !self.core.is_serving(now) {
            return HeartbeatReply::NotLeader(self.leader_address());
        }
        if self.grants.is_superseded(heartbeat) {
            return HeartbeatReply::Superseded;
        }
        let is_new_incarnation = self.grants.record_heartbeat(now, heartbeat);
        if is_new_incarnation {
            spdlog::info!(
                "lease: entry {} registered at {}.",
                heartbeat.entry,
                heartbeat.address
            );
            let entry = heartbeat.entry.clone();
            let incarnation = heartbeat.incarnation;
            self.propose(now, KeeperCommand::EntryGone { entry, incarnation });
            self.refresh_live_entries(now);
        }
        let state = self.state_machine.state();
        let is_quality_outdated = heartbeat.quality_version != state.quality.version();
        let is_live_outdated =
            !self.live_entries.is_empty() && heartbeat.live_hash != self.live_hash;
        let duration = self.settings.lease.duration;
        HeartbeatReply::Grant(Box::new(LeaseGrant {
            update: state.plan.update_from(heartbeat.revision),
            quality: is_quality_outdated.then(|| Box::new(state.quality.clone())),
            live: is_live_outdated.then(|| self.live_entries.clone()),
            duration_us: u64::try_from(duration.as_micros()).unwrap_or(0),
        }))
    }

    /// Carries out the replica's pending work until there is none or a save is in progress.
    fn process_ready(&mut self, now: TimePoint, myself: &ActorRef<ReplicaMessage>) {
        loop {
            let Some(folder) = self.folder.take() else {
                let ready = self.core.take_immediate();
                self.execute_ready(now, ready);
                return;
            };
            let mut ready = self.core.take_ready();
            let save = std::mem::take(&mut ready.save);
            let send_after_save = std::mem::take(&mut ready.send_after_save);
            let point = ready.point;
            let has_committed = !ready.committed.is_empty();
            self.execute_ready(now, ready);
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

    fn execute_ready(&mut self, now: TimePoint, ready: ReadyBatch) {
        self.outbox.send(self.core.config(), ready.send_now);
        if let Some(image) = &ready.restore {
            spdlog::info!(
                "replica: restoring the state from the snapshot at index {}.",
                image.index
            );
            self.state_machine.restore(image);
        }
        for entry in &ready.committed {
            self.state_machine.apply(entry);
        }
        self.is_maintenance_pending &= ready.committed.is_empty();
        self.is_routing_pending &= ready.committed.is_empty();
        self.update_role(now);
        if !ready.committed.is_empty() || ready.restore.is_some() {
            let routing = &self.state_machine.state().routing;
            self.coordinator.update_rollout_clocks(now, routing);
            if self.core.is_serving(now) {
                self.coordinator.answer_watches(now, routing);
            }
        }
    }

    fn update_role(&mut self, now: TimePoint) {
        let is_leader = self.core.is_leader();
        if is_leader == self.was_leader {
            return;
        }
        self.was_leader = is_leader;
        if is_leader {
            spdlog::info!("replica: became leader of term {}.", self.core.term());
            self.is_routing_pending = false;
            self.grants.reset(now);
            self.live_entries.clear();
            self.silent_members.clear();
            self.coordinator.start_leading(now);
        } else {
            spdlog::info!("replica: became follower in term {}.", self.core.term());
            self.state_machine.fail_pending();
            self.coordinator
                .reject_watches(self.leader_address().as_deref());
        }
    }

    fn finish_save(
        &mut self,
        now: TimePoint,
        mut result: SaveResult,
        myself: &ActorRef<ReplicaMessage>,
    ) -> Result<(), ActorProcessingErr> {
        if let Some(error) = result.error.take() {
            if self.settings.formation.is_some() {
                spdlog::error!(
                    "storage: save failed: {error}; retrying with a new journal in {} ms.",
                    SAVE_RETRY_DELAY.as_millis()
                );
                let myself = myself.clone();
                myself.send_after(SAVE_RETRY_DELAY, move || {
                    ReplicaMessage::RetrySave(Box::new(result))
                });
                return Ok(());
            }
            spdlog::critical!("storage: save failed: {error}; stopping this replica.");
            return Err(Box::new(error));
        }
        self.journal_bytes = result.folder.journal_bytes();
        self.folder = Some(result.folder);
        self.outbox.send(self.core.config(), result.send_after_save);
        self.core.on_saved(now, result.point);
        Ok(())
    }

    fn compact_if_due(&mut self, myself: &ActorRef<ReplicaMessage>) {
        let applied = self.core.applied_index();
        let has_many_entries =
            applied >= self.core.snapshot_index() + self.settings.snapshot_entries;
        let is_journal_large = self.journal_bytes >= self.settings.snapshot_bytes;
        let is_due = has_many_entries || (is_journal_large && applied > self.core.snapshot_index());
        if !is_due {
            return;
        }
        let data: Arc<[u8]> = self.state_machine.encode();
        let Some(image) = self.core.compact(applied, data) else {
            return;
        };
        let Some(folder) = self.folder.take() else {
            return;
        };
        spdlog::info!(
            "storage: taking a snapshot at index {} ({} bytes).",
            image.index,
            image.data.len()
        );
        let hard_state = self.core.hard_state();
        let entries = self.core.log().entries_after(image.index, usize::MAX);
        let point = SavedPoint::default();
        save_in_background(myself, folder, point, Vec::new(), move |folder| {
            folder.rotate(&image, hard_state, &entries)
        });
    }

    fn status(&self, now: TimePoint) -> ClusterStatus {
        let state = self.state_machine.state();
        let changes = state.plan.recent_changes().take(SHOWN_CHANGES);
        ClusterStatus {
            is_serving: self.core.is_serving(now),
            leader: self.core.leader().map(|id| id.0),
            term: self.core.term(),
            commit: self.core.commit_index(),
            snapshot: self.core.snapshot_index(),
            journal_bytes: self.journal_bytes,
            log_bytes: self.core.log().command_bytes() as u64,
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
                let follower = progress.iter().find(|(other, _, _)| other == id);
                let is_own = *id == self.core.id();
                let last_acked_send = follower.and_then(|(_, _, at)| *at);
                MemberStatus {
                    replica: id.0,
                    address: address.clone(),
                    is_voter: config.is_voter(*id),
                    matched: if is_own {
                        self.core.last_index()
                    } else {
                        follower.map_or(0, |(_, match_index, _)| *match_index)
                    },
                    silent_ms: if is_own {
                        Some(0)
                    } else {
                        last_acked_send.and_then(|at| u64::try_from(now.since(at).as_millis()).ok())
                    },
                }
            })
            .collect()
    }

    fn spend(&self) -> Vec<SpendRow> {
        let spend = self.state_machine.state().ledger.spend();
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
