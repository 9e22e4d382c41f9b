//! Faults of a schedule: crashes, cuts, loss, rotten disks, replacements.

use super::*;

impl World {
    pub(super) fn cause_fault(&mut self) {
        if self.is_healed {
            return;
        }
        self.counts.faults += 1;
        let id = self.replica_at();
        match self.rng.random_range(0..10) {
            0..3 => {
                self.crash(id);
                let wait = Duration::from_millis(self.rng.random_range(1..1_500));
                self.schedule(wait, WorldEvent::Restart(id));
            }
            3..5 => self.cut_off(id, false),
            5 => self.cut_off(id, true),
            6 => {
                self.loss = 0.25;
                self.note(|| "network loses and repeats messages".to_owned());
                self.schedule(Duration::from_millis(800), WorldEvent::Heal);
            }
            7 => self.replace(id),
            8 => {
                let entry = self.rng.random_range(0..ENTRIES);
                self.entries[entry as usize].cut_until = self.now + 1_500_000;
                self.note(|| format!("entry {entry} is cut off"));
            }
            _ => {
                let ids: Vec<ReplicaId> = self.nodes.keys().copied().collect();
                for id in ids {
                    self.crash(id);
                    let wait = Duration::from_millis(self.rng.random_range(1..300));
                    self.schedule(wait, WorldEvent::Restart(id));
                }
            }
        }
        let wait = Duration::from_millis(self.rng.random_range(200..1_400));
        self.schedule(wait, WorldEvent::Fault);
    }

    /// A silent cut; one-way cuts let the replica hear and not be heard, or the reverse.
    pub(super) fn cut_off(&mut self, id: ReplicaId, is_one_way: bool) {
        let others: Vec<ReplicaId> = self.nodes.keys().copied().filter(|o| *o != id).collect();
        let hears = self.rng.random_range(0..2) == 0;
        for other in others {
            if !is_one_way || !hears {
                self.cut.insert((other, id));
            }
            if !is_one_way || hears {
                self.cut.insert((id, other));
            }
        }
        self.note(|| format!("replica {} is cut off, one way: {is_one_way}", id.0));
        let wait = Duration::from_millis(self.rng.random_range(100..2_500));
        self.schedule(wait, WorldEvent::Heal);
    }

    /// A replica loses its disk, or its disk rots, and is replaced under a new number.
    pub(super) fn replace(&mut self, id: ReplicaId) {
        let lost = self.nodes.values().filter(|node| node.is_lost).count();
        let leader = self.serving_leader();
        let Some(leader) = leader.filter(|leader| *leader != id && lost == 0) else {
            return;
        };
        self.crash(id);
        if self.settings.defect == Some(SeededDefect::OldNumber) {
            let config = self.config_of(leader);
            if let Some(node) = self.nodes.get_mut(&id) {
                node.disk = FakeDisk::formatted(&config);
            }
            self.schedule(Duration::from_millis(1), WorldEvent::Restart(id));
            return;
        }
        if let Some(node) = self.nodes.get_mut(&id) {
            let mut rng = self.rng.clone();
            node.disk.rot(&mut rng);
            self.rng = rng;
        }
        self.restart(id);
        let has_noticed = self.nodes.get(&id).is_some_and(|node| node.is_lost);
        if !has_noticed {
            return;
        }
        let new = ReplicaId(self.next_replica);
        self.next_replica += 1;
        self.counts.replaced += 1;
        self.add_node(new, &MemberConfig::default());
        self.note(|| format!("replica {} replaces replica {}", new.0, id.0));
        self.propose_member_change(&MemberChange::Remove(id));
        self.propose_member_change(&MemberChange::Add(new, format!("k{}", new.0)));
    }

    pub(super) fn config_of(&self, id: ReplicaId) -> MemberConfig {
        let keeper = self.nodes[&id].keeper.as_ref();
        keeper.map_or_else(MemberConfig::default, |k| k.core.config().clone())
    }

    pub(super) fn propose_member_change(&mut self, change: &MemberChange) {
        let Some(leader) = self.serving_leader() else {
            return;
        };
        let now = self.local(leader);
        if let Some(keeper) = self.nodes.get_mut(&leader).and_then(|n| n.keeper.as_mut()) {
            let _ = keeper.core.propose_member_change(now, change);
        }
        self.pump(leader);
    }

    pub(super) fn serving_leader(&self) -> Option<ReplicaId> {
        self.nodes.iter().find_map(|(id, node)| {
            let keeper = node.keeper.as_ref()?;
            keeper.core.is_serving(self.local(*id)).then_some(*id)
        })
    }

    pub(super) fn heal_all(&mut self) {
        self.is_healed = true;
        self.cut.clear();
        self.loss = 0.0;
        self.note(|| "everything heals".to_owned());
        let ids: Vec<ReplicaId> = self.nodes.keys().copied().collect();
        for id in ids {
            self.restart(id);
        }
    }
}
