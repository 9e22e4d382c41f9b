//! Fault injection: crashes, partitions, message loss, disk corruption and replacement of replicas.

use super::*;

impl Simulation {
    pub(super) fn inject_fault(&mut self) {
        if self.is_healed {
            return;
        }
        self.counts.faults += 1;
        let id = self.random_replica();
        match self.rng.random_range(0..10) {
            0..3 => {
                self.crash(id);
                let wait = Duration::from_millis(self.rng.random_range(1..1_500));
                self.schedule(wait, SimulationEvent::Restart(id));
            }
            3..5 => self.partition(id, false),
            5 => self.partition(id, true),
            6 => {
                self.loss_rate = 0.25;
                self.trace_event(|| "network loses and duplicates messages".to_owned());
                self.schedule(Duration::from_millis(800), SimulationEvent::Heal);
            }
            7 => self.replace_replica(id),
            8 => {
                let entry = self.rng.random_range(0..ENTRIES);
                self.entries[entry as usize].isolated_until = self.now + 1_500_000;
                self.trace_event(|| format!("entry {entry} is isolated"));
            }
            _ => {
                let ids: Vec<ReplicaId> = self.nodes.keys().copied().collect();
                for id in ids {
                    self.crash(id);
                    let wait = Duration::from_millis(self.rng.random_range(1..300));
                    self.schedule(wait, SimulationEvent::Restart(id));
                }
            }
        }
        let wait = Duration::from_millis(self.rng.random_range(200..1_400));
        self.schedule(wait, SimulationEvent::Fault);
    }

    /// Drops all messages to and from a replica. A one-way partition drops only those in one random
    /// direction.
    pub(super) fn partition(&mut self, id: ReplicaId, is_one_way: bool) {
        let others: Vec<ReplicaId> = self.nodes.keys().copied().filter(|o| *o != id).collect();
        let can_receive = self.rng.random_range(0..2) == 0;
        for other in others {
            if !is_one_way || !can_receive {
                self.blocked_links.insert((other, id));
            }
            if !is_one_way || can_receive {
                self.blocked_links.insert((id, other));
            }
        }
        self.trace_event(|| format!("replica {} is partitioned, one way: {is_one_way}", id.0));
        let wait = Duration::from_millis(self.rng.random_range(100..2_500));
        self.schedule(wait, SimulationEvent::Heal);
    }

    /// Corrupts the disk of a replica and, if the replica detects that, replaces it with a new one
    /// under a new identifier.
    pub(super) fn replace_replica(&mut self, id: ReplicaId) {
        let corrupt_disks = self
            .nodes
            .values()
            .filter(|node| node.is_disk_corrupt)
            .count();
        let leader = self.serving_leader();
        let Some(leader) = leader.filter(|leader| *leader != id && corrupt_disks == 0) else {
            return;
        };
        self.crash(id);
        if self.settings.defect == Some(SeededDefect::ReplicaIdReused) {
            let config = self.config_of(leader);
            if let Some(node) = self.nodes.get_mut(&id) {
                node.disk = FakeDisk::formatted(&config);
            }
            self.schedule(Duration::from_millis(1), SimulationEvent::Restart(id));
            return;
        }
        if let Some(node) = self.nodes.get_mut(&id) {
            let mut rng = self.rng.clone();
            node.disk.flip_bit(&mut rng);
            self.rng = rng;
        }
        self.restart(id);
        let is_detected = self.nodes.get(&id).is_some_and(|node| node.is_disk_corrupt);
        if !is_detected {
            return;
        }
        let new_id = ReplicaId(self.next_replica);
        self.next_replica += 1;
        self.counts.replaced += 1;
        self.add_node(new_id, &MemberConfig::default());
        self.trace_event(|| format!("replica {} replaces replica {}", new_id.0, id.0));
        self.propose_member_change(&MemberChange::Remove(id));
        self.propose_member_change(&MemberChange::Add(new_id, format!("k{}", new_id.0)));
    }

    pub(super) fn config_of(&self, id: ReplicaId) -> MemberConfig {
        let keeper = self.nodes[&id].keeper.as_ref();
        keeper.map_or_else(MemberConfig::default, |k| k.core.config().clone())
    }

    pub(super) fn propose_member_change(&mut self, change: &MemberChange) {
        let Some(leader) = self.serving_leader() else {
            return;
        };
        let now = self.local_time(leader);
        if let Some(keeper) = self.nodes.get_mut(&leader).and_then(|n| n.keeper.as_mut()) {
            let _ = keeper.core.propose_member_change(now, change);
        }
        self.process_ready(leader);
    }

    pub(super) fn serving_leader(&self) -> Option<ReplicaId> {
        self.nodes.iter().find_map(|(id, node)| {
            let keeper = node.keeper.as_ref()?;
            keeper.core.is_serving(self.local_time(*id)).then_some(*id)
        })
    }

    pub(super) fn heal_all(&mut self) {
        self.is_healed = true;
        self.blocked_links.clear();
        self.loss_rate = 0.0;
        self.trace_event(|| "all faults are healed".to_owned());
        let ids: Vec<ReplicaId> = self.nodes.keys().copied().collect();
        for id in ids {
            self.restart(id);
        }
    }
}
