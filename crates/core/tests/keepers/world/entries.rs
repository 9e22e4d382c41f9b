//! Entries with leases.

use super::*;

impl World {
    pub(super) fn entry_beat(&mut self, number: u64) {
        self.schedule(
            self.lease_settings.heartbeat,
            WorldEvent::EntryHeartbeat(number),
        );
        let sent_at = self.entry_now(number);
        let entry = &self.entries[number as usize];
        if self.now < entry.cut_until {
            return;
        }
        let beat = EntryHeartbeat {
            entry: entry_id(number),
            incarnation: entry.incarnation,
            address: String::new(),
            revision: entry.plan.revision,
            quality_version: 0,
            live_hash: 0,
            is_leaving: false,
        };
        let target = ReplicaId(entry.target);
        let update = self.answer_beat(target, &beat);
        let entry = &mut self.entries[number as usize];
        let Some(update) = update else {
            entry.target = entry.target % (self.next_replica - 1) + 1;
            return;
        };
        let before = entry.plan.revision;
        update.apply(&mut entry.plan);
        entry.lease.renew(sent_at, self.lease_settings.duration);
        let after = entry.plan.revision;
        if after < before {
            self.fail(format!(
                "entry {number} goes back from revision {before} to {after}"
            ));
        }
        self.check_in_force();
    }

    pub(super) fn answer_beat(
        &mut self,
        target: ReplicaId,
        beat: &EntryHeartbeat,
    ) -> Option<chestnutloft_core::plan::PlanUpdate> {
        let is_cut = self
            .cut
            .iter()
            .any(|(from, to)| *from == target || *to == target);
        if is_cut && self.rng.random_range(0..2) == 0 {
            return None;
        }
        if !self.nodes.contains_key(&target) {
            return None;
        }
        let now = self.local(target);
        let stamp = self.now;
        let keeper = self.nodes.get_mut(&target)?.keeper.as_mut()?;
        if !keeper.core.is_serving(now) || keeper.grants.is_superseded(beat) {
            return None;
        }
        if keeper.grants.record_heartbeat(now, beat) {
            let command = KeeperCommand::EntryGone {
                entry: beat.entry.clone(),
                incarnation: beat.incarnation,
            };
            let _ = keeper.core.propose(now, &encode(stamp, command));
        }
        let update = keeper.state.plan.update_from(beat.revision);
        self.pump(target);
        Some(update)
    }

    pub(super) fn entry_restart(&mut self, number: u64) {
        let entry = &mut self.entries[number as usize];
        entry.incarnation += 1;
        entry.plan = PlanState::default();
        entry.lease = EntryLease::default();
        entry.cut_until = 0;
        self.note(|| format!("entry {number} restarts"));
    }

    /// No entry may start work under a plan that is older than one in force.
    pub(super) fn check_in_force(&mut self) {
        let ignores_lease = self.settings.defect == Some(SeededDefect::LeaseIgnored);
        for number in 0..ENTRIES {
            let now = self.entry_now(number);
            let entry = &self.entries[number as usize];
            let may_work = entry.lease.is_valid(now) || (ignores_lease && entry.plan.revision > 0);
            if may_work && entry.plan.revision < self.in_force {
                let problem = format!(
                    "entry {number} may work under revision {} while {} is in force",
                    entry.plan.revision, self.in_force
                );
                self.fail(problem);
            }
        }
    }
}
