//! Keepers in one process: replicas that save at once and exchange messages after a drawn delay, with
//! the membership changes that the leader makes. No network and no clock.

use std::collections::BTreeMap;
use std::time::Duration;

use chestnutloft_core::consensus::{
    EntryBody, LeaveStatus, MemberConfig, PeerMessage, ReplicaCore, ReplicaId, ReplicaSettings,
};
use chestnutloft_core::time::TimePoint;
use chestnutloft_keeper::formation::{FormationSettings, LEAVE_TIMEOUT, MembershipManager};
use chestnutloft_keeper::settings::KeeperSettings;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// Number of founders, which tolerates two losses.
pub const FOUNDERS: u64 = 5;

const STEP_MS: u64 = 5;
const TICK_MS: u64 = 20;
const JOIN_INTERVAL_MS: u64 = 300;
/// Longest delay of a message.
const MAX_DELAY_MS: u64 = 15;
/// Bound on waits of the tests.
const WAIT_MS: u64 = 30_000;

struct Keeper {
    core: ReplicaCore,
    manager: MembershipManager,
    /// Commands that this replica has applied.
    applied: Vec<Vec<u8>>,
}

struct Delivery {
    due: u64,
    from: ReplicaId,
    to: ReplicaId,
    message: PeerMessage,
}

/// Running keepers and the messages between them.
pub struct KeeperCluster {
    rng: Pcg64,
    now: u64,
    keepers: BTreeMap<ReplicaId, Keeper>,
    deliveries: Vec<Delivery>,
    /// Share of the messages that are lost.
    loss_rate: f64,
    last_id: u64,
}

fn replica_settings() -> ReplicaSettings {
    let settings = KeeperSettings {
        formation: Some(FormationSettings {
            seeds: Vec::new(),
            is_founding: true,
            tolerated_losses: 2,
        }),
        election_min: Duration::from_millis(250),
        election_max: Duration::from_millis(450),
        ..KeeperSettings::default()
    };
    settings.replica_settings()
}

fn address(id: ReplicaId) -> String {
    format!("10.0.0.{}:7", id.0)
}

impl KeeperCluster {
    /// Founds a cluster and waits until it has a leader.
    pub fn found(seed: u64) -> Self {
        let ids: Vec<ReplicaId> = (1..=FOUNDERS).map(ReplicaId).collect();
        let voters = ids.iter().map(|id| (*id, address(*id)));
        let config = MemberConfig::of_voters(voters);
        let mut cluster = Self {
            rng: Pcg64::seed_from_u64(seed),
            now: 0,
            keepers: BTreeMap::new(),
            deliveries: Vec::new(),
            loss_rate: 0.0,
            last_id: FOUNDERS,
        };
        for id in ids {
            cluster.start(id, config.clone());
        }
        cluster.run_until(|cluster| cluster.leader().is_some());
        cluster
    }

    fn at(&self) -> TimePoint {
        TimePoint::from_millis(3_600_000 + self.now)
    }

    fn start(&mut self, id: ReplicaId, config: MemberConfig) {
        let seed = self.rng.random();
        let core = ReplicaCore::bootstrap(self.at(), id, replica_settings(), config, seed);
        self.insert(core);
    }

    fn insert(&mut self, core: ReplicaCore) {
        let keeper = Keeper {
            core,
            manager: MembershipManager::default(),
            applied: Vec::new(),
        };
        self.keepers.insert(keeper.core.id(), keeper);
    }

    /// Loses this share of all messages from now on.
    pub fn lose_messages(&mut self, loss_rate: f64) {
        self.loss_rate = loss_rate;
    }

    /// Starts a keeper with an empty disk at a new address.
    pub fn start_successor(&mut self) -> ReplicaId {
        self.last_id += 1;
        let id = ReplicaId(self.last_id);
        self.start(id, MemberConfig::default());
        id
    }

    /// Starts a stopped keeper again, with its disk as it was.
    pub fn restart(&mut self, stopped: &ReplicaCore) {
        let seed = self.rng.random();
        let snapshot = stopped.snapshot().clone();
        let entries = stopped.log().entries_after(snapshot.index, usize::MAX);
        let (id, hard_state) = (stopped.id(), stopped.hard_state());
        let settings = replica_settings();
        let core =
            ReplicaCore::restart(self.at(), id, settings, snapshot, hard_state, entries, seed);
        self.insert(core);
    }

    /// Ends a keeper without notice. Returns the replica, which holds what is on its disk.
    pub fn kill(&mut self, id: ReplicaId) -> ReplicaCore {
        self.keepers.remove(&id).expect("a running keeper").core
    }

    /// Asks keepers to stop at the same time. Each one leaves its cluster if it can, and ends.
    /// Returns the replicas.
    pub fn stop(&mut self, ids: &[ReplicaId]) -> Vec<ReplicaCore> {
        for id in ids {
            let keeper = self.keepers.get_mut(id).expect("a running keeper");
            keeper.core.start_leaving();
        }
        let end = self.now + LEAVE_TIMEOUT.as_millis() as u64;
        let mut stopped = Vec::new();
        while stopped.len() < ids.len() {
            self.advance(STEP_MS);
            let is_late = self.now >= end;
            for id in ids {
                let keeper = self.keepers.get(id);
                let is_due = |keeper: &Keeper| {
                    is_late || keeper.core.leave_status() != Some(LeaveStatus::Pending)
                };
                if keeper.is_some_and(is_due) {
                    stopped.push(self.kill(*id));
                }
            }
        }
        stopped
    }

    /// The only keeper that may serve, if any.
    pub fn leader(&self) -> Option<ReplicaId> {
        let now = self.at();
        let mut serving = self.keepers.values().filter(|k| k.core.is_serving(now));
        let leader = serving.next().map(|keeper| keeper.core.id());
        assert!(serving.next().is_none(), "two leaders serve at once");
        leader
    }

    /// Identifiers of the running keepers.
    pub fn running(&self) -> Vec<ReplicaId> {
        self.keepers.keys().copied().collect()
    }

    /// Members as the serving leader has them.
    pub fn members(&self) -> Option<&MemberConfig> {
        let leader = self.leader()?;
        Some(self.keepers[&leader].core.config())
    }

    /// Commits a command and returns once the leader has applied it.
    pub fn write(&mut self, command: &[u8]) {
        let mut proposed_to = None;
        self.run_until(|cluster| {
            let now = cluster.at();
            let Some(leader) = cluster.leader() else {
                return false;
            };
            let keeper = cluster.keepers.get_mut(&leader).expect("runs");
            if proposed_to != Some(leader) {
                proposed_to = keeper.core.propose(now, command).ok().map(|_| leader);
            }
            keeper.applied.iter().any(|applied| applied == command)
        });
    }

    /// Whether a keeper serves and has applied `command`.
    pub fn has_applied(&self, command: &[u8]) -> bool {
        let leader = self.leader().and_then(|id| self.keepers.get(&id));
        leader.is_some_and(|keeper| keeper.applied.iter().any(|applied| applied == command))
    }

    /// Advances time until `is_reached`. Returns whether it was reached within 30 s.
    pub fn reaches(&mut self, mut is_reached: impl FnMut(&mut Self) -> bool) -> bool {
        let end = self.now + WAIT_MS;
        while self.now < end {
            if is_reached(self) {
                return true;
            }
            self.advance(STEP_MS);
        }
        false
    }

    fn run_until(&mut self, is_reached: impl FnMut(&mut Self) -> bool) {
        assert!(self.reaches(is_reached), "not reached within 30 s");
    }

    /// Advances time by `millis`.
    pub fn advance(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += STEP_MS;
            self.deliver_due();
            if self.now.is_multiple_of(TICK_MS) {
                self.tick();
            }
        }
    }

    fn deliver_due(&mut self) {
        let now = self.now;
        let at = self.at();
        let (due, later) = std::mem::take(&mut self.deliveries)
            .into_iter()
            .partition(|delivery| delivery.due <= now);
        self.deliveries = later;
        for Delivery {
            from, to, message, ..
        } in due
        {
            if let Some(keeper) = self.keepers.get_mut(&to) {
                keeper.core.receive(at, from, message);
                self.process_ready(to);
            }
        }
    }

    fn tick(&mut self) {
        let now = self.at();
        if self.now.is_multiple_of(JOIN_INTERVAL_MS) {
            self.send_join_requests();
        }
        for id in self.running() {
            let keeper = self.keepers.get_mut(&id).expect("runs");
            keeper.core.tick(now);
            if let Some(change) = keeper.manager.due_change(now, &keeper.core) {
                // A rejected change is proposed again at a later tick.
                let _ = keeper.core.propose_member_change(now, &change);
            }
            self.process_ready(id);
        }
    }

    fn send_join_requests(&mut self) {
        let now = self.at();
        let Some(leader) = self.leader() else {
            return;
        };
        let running = self.running();
        let keeper = self.keepers.get_mut(&leader).expect("runs");
        for id in running {
            if keeper.core.config().address(id).is_none() {
                keeper.manager.record_join_request(now, id, address(id));
            }
        }
    }

    fn process_ready(&mut self, id: ReplicaId) {
        let now = self.at();
        let keeper = self.keepers.get_mut(&id).expect("runs");
        loop {
            let ready = keeper.core.take_ready();
            keeper.core.on_saved(now, ready.point);
            let messages = ready.send_now.into_iter().chain(ready.send_after_save);
            for (to, message) in messages {
                if self.rng.random_range(0.0..1.0) < self.loss_rate {
                    continue;
                }
                let due = self.now + self.rng.random_range(0..=MAX_DELAY_MS);
                self.deliveries.push(Delivery {
                    due,
                    from: id,
                    to,
                    message,
                });
            }
            let has_committed = !ready.committed.is_empty();
            for entry in ready.committed {
                if let EntryBody::Command(command) = entry.body {
                    keeper.applied.push(command.to_vec());
                }
            }
            if ready.save.is_empty() && !has_committed {
                return;
            }
        }
    }
}
