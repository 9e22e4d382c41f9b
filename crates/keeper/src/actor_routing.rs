//! The part of the replica's actor that serves routing: announcements, entries that watch, and
//! members that join.

use ractor::ActorRef;
use tokio::sync::oneshot;

use chestnutloft_core::routing::{EndpointNotice, NoticeOutcome, RoutingCommand, RoutingOutcome};
use chestnutloft_core::state::{KeeperCommand, KeeperOutcome};
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::message::{JoinCall, JoinReply, RunReply, WatchCall, WatchReply};

use crate::actor::{MembershipView, ReplicaMessage, ReplicaState, SaveResult, save_in_background};
use crate::control::{RoutingReply, RoutingView};
use crate::formation::LEADER_SILENCE;

impl ReplicaState {
    pub(super) fn tick_routing(&mut self, now: TimePoint) {
        let addresses = self.core.config().voters.values();
        let learners = self.core.config().learners.values();
        self.desk
            .set_keepers(addresses.chain(learners).cloned().collect());
        if let Some(change) = self.steward.due_change(now, &self.core) {
            match self.core.propose_member_change(now, &change) {
                Ok(()) => spdlog::info!("members: {change:?}."),
                Err(error) => spdlog::debug!("members: {change:?} waits: {error}."),
            }
        }
        if !self.is_routing_due {
            let commands = self.desk.due_commands(now, &self.host.state().routing);
            self.is_routing_due = !commands.is_empty();
            for command in commands {
                self.propose(now, KeeperCommand::Routing(Box::new(command)));
            }
        }
        self.desk.answer_watches(now, &self.host.state().routing);
    }

    pub(super) fn routing(&self, now: TimePoint) -> RoutingReply {
        if !self.core.is_serving(now) {
            return RoutingReply::NotLeader(self.leader_address());
        }
        let state = &self.host.state().routing;
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
        match self.desk.hear(now, &self.host.state().routing, &notice) {
            NoticeOutcome::Changes => {
                let command = RoutingCommand::Announce(notice);
                self.run(now, vec![KeeperCommand::Routing(Box::new(command))], reply);
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
        self.desk.watch(now, call, reply);
        self.desk.answer_watches(now, &self.host.state().routing);
    }

    pub(super) fn join(&mut self, now: TimePoint, call: JoinCall) -> JoinReply {
        if self.core.is_serving(now) {
            self.steward.note(now, call.replica, call.address);
            return JoinReply::Noted;
        }
        let config = self.core.config();
        let leader = self.leader_address();
        let others = config.voters.values().cloned();
        JoinReply::Ask(leader.into_iter().chain(others).collect())
    }

    pub(super) fn membership(&mut self, now: TimePoint) -> MembershipView {
        let config = self.core.config();
        let is_member = config.address(self.core.id()).is_some();
        if self.core.has_leader_contact(now) {
            self.settled_at = now;
        }
        MembershipView {
            is_settled: is_member && now.since(self.settled_at) < LEADER_SILENCE,
            members: config.voters.values().cloned().collect(),
        }
    }

    /// Writes everything that the replica holds to a new journal: after a failed save, nobody
    /// knows what the old one holds.
    pub(super) fn resave(&mut self, myself: &ActorRef<ReplicaMessage>, result: SaveResult) {
        let image = self.core.snapshot().clone();
        let hard = self.core.hard_state();
        let entries = self.core.log().entries_after(image.index, usize::MAX);
        let SaveResult {
            folder,
            point,
            send_after_save,
            ..
        } = result;
        save_in_background(myself, folder, point, send_after_save, move |folder| {
            folder.rotate(&image, hard, &entries)
        });
    }
}
