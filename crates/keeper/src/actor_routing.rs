//! The part of the replica's actor that handles endpoint announcements, entries that watch the
//! routing state, and keepers that join.

use ractor::ActorRef;
use tokio::sync::oneshot;

use chestnutloft_core::routing::{
    EndpointNotice, NoticeOutcome, RolloutOrder, RoutingCommand, RoutingOutcome,
};
use chestnutloft_core::state::{KeeperCommand, KeeperOutcome};
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::message::{JoinCall, JoinReply, RunReply, WatchCall, WatchReply};

use crate::actor::{MembershipView, ReplicaMessage, ReplicaState, SaveResult, save_in_background};
use crate::control::{RoutingReply, RoutingView};
use crate::formation::LEADER_CONTACT_TIMEOUT;

impl ReplicaState {
    pub(super) fn tick_routing(&mut self, now: TimePoint) {
        let voters = self.core.config().voters.values();
        let learners = self.core.config().learners.values();
        self.coordinator
            .set_keepers(voters.chain(learners).cloned().collect());
        if let Some(change) = self.membership.due_change(now, &self.core) {
            match self.core.propose_member_change(now, &change) {
                Ok(()) => spdlog::info!("members: proposed {change:?}."),
                Err(error) => {
                    spdlog::debug!(
                        "members: {change:?} was rejected and will be retried: {error}."
                    );
                }
            }
        }
        if !self.is_routing_pending {
            let commands = self
                .coordinator
                .due_commands(now, &self.state_machine.state().routing);
            self.is_routing_pending = !commands.is_empty();
            for command in commands {
                self.propose(now, KeeperCommand::Routing(Box::new(command)));
            }
        }
        let routing = &self.state_machine.state().routing;
        self.coordinator.answer_watches(now, routing);
        self.coordinator.log_propagation(now, routing);
    }

    pub(super) fn routing(&self, now: TimePoint) -> RoutingReply {
        if !self.core.is_serving(now) {
            return RoutingReply::NotLeader(self.leader_address());
        }
        let state = &self.state_machine.state().routing;
        RoutingReply::Current(RoutingView {
            declaration: state.declaration().map(|stored| stored.text.clone()),
            rollouts: state.rollouts.values().cloned().collect(),
        })
    }

    pub(super) fn announce(
        &mut self,
        now: TimePoint,
        notice: EndpointNotice,
        reply: oneshot::Sender<RunReply>,
    ) {
        if !self.core.is_serving(now) {
            let _ = reply.send(RunReply::NotLeader(self.leader_address()));
            return;
        }
        match self
            .coordinator
            .record_notice(now, &self.state_machine.state().routing, &notice)
        {
            NoticeOutcome::Changes => {
                let command = RoutingCommand::Announce(notice);
                self.submit_commands(now, vec![KeeperCommand::Routing(Box::new(command))], reply);
            }
            NoticeOutcome::Refreshes => {
                let outcome = KeeperOutcome::Routing(RoutingOutcome::Accepted);
                let _ = reply.send(RunReply::Done(vec![outcome]));
            }
            NoticeOutcome::Stale => {
                let outcome = KeeperOutcome::Routing(RoutingOutcome::Overtaken);
                let _ = reply.send(RunReply::Done(vec![outcome]));
            }
        }
    }

    pub(super) fn start_rollout(
        &mut self,
        now: TimePoint,
        order: RolloutOrder,
        reply: oneshot::Sender<RunReply>,
    ) {
        let routing = &self.state_machine.state().routing;
        let command = self.coordinator.rollout_command(now, routing, order);
        self.submit_commands(now, vec![KeeperCommand::Routing(Box::new(command))], reply);
    }

    pub(super) fn watch(
        &mut self,
        now: TimePoint,
        call: WatchCall,
        reply: oneshot::Sender<WatchReply>,
    ) {
        if !self.core.is_serving(now) {
            let _ = reply.send(WatchReply::NotLeader(self.leader_address()));
            return;
        }
        self.coordinator.watch(now, call, reply);
        self.coordinator
            .answer_watches(now, &self.state_machine.state().routing);
    }

    pub(super) fn join(&mut self, now: TimePoint, call: JoinCall) -> JoinReply {
        if self.core.is_serving(now) {
            self.membership
                .record_join_request(now, call.replica, call.address);
            return JoinReply::Noted;
        }
        let config = self.core.config();
        let leader = self.leader_address();
        let voters = config.voters.values().cloned();
        JoinReply::Ask(leader.into_iter().chain(voters).collect())
    }

    pub(super) fn membership(&mut self, now: TimePoint) -> MembershipView {
        let config = self.core.config();
        let is_member = config.address(self.core.id()).is_some();
        if self.core.has_leader_contact(now) {
            self.last_leader_contact = now;
        }
        let has_contact = now.since(self.last_leader_contact) < LEADER_CONTACT_TIMEOUT;
        let is_leaving = self.core.leave_status().is_some();
        MembershipView {
            is_active_member: is_leaving || is_member && has_contact,
            members: config.voters.values().cloned().collect(),
        }
    }

    /// Writes the replica's complete state to a new journal, because the content of the old one is
    /// unknown after a failed save.
    pub(super) fn retry_save(&mut self, myself: &ActorRef<ReplicaMessage>, result: SaveResult) {
        let image = self.core.snapshot().clone();
        let hard_state = self.core.hard_state();
        let entries = self.core.log().entries_after(image.index, usize::MAX);
        let SaveResult {
            folder,
            point,
            send_after_save,
            ..
        } = result;
        save_in_background(myself, folder, point, send_after_save, move |folder| {
            folder.rotate(&image, hard_state, &entries)
        });
    }
}
