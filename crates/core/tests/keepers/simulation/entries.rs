//! Simulated entries and their leases.

use super::*;

impl Simulation {
    pub(super) fn entry_heartbeat(&mut self, entry_index: u64) {
        self.schedule(
            self.lease_settings.heartbeat,
            SimulationEvent::EntryHeartbeat(entry_index),
        );
        let sent_at = self.entry_time(entry_index);
        let entry = &self.entries[entry_index as usize];
        if self.now < entry.isolated_until {
            return;
        }
        let heartbeat = EntryHeartbeat {
            entry: entry_id(entry_index),
            incarnation: entry.incarnation,
            address: String::new(),
            revision: entry.plan.revision,
            quality_version: 0,
            live_hash: 0,
            is_leaving: false,
        };
        let target = ReplicaId(entry.target_replica);
        let update = self.answer_heartbeat(target, &heartbeat);
        let entry = &mut self.entries[entry_index as usize];
        let Some(update) = update else {
            entry.target_replica = entry.target_replica % (self.next_replica - 1) + 1;
            return;
        };
        let before = entry.plan.revision;
        update.apply(&mut entry.plan);
        entry.lease.renew(sent_at, self.lease_settings.duration);
        let after = entry.plan.revision;
        if after < before {
            self.record_failure(format!(
                "entry {entry_index} goes back from revision {before} to {after}"
            ));
        }
        self.check_in_force();
    }

    pub(super) fn answer_heartbeat(
        &mut self,
        target: ReplicaId,
        heartbeat: &EntryHeartbeat,
    ) -> Option<chestnutloft_core::plan::PlanUpdate> {
        let is_blocked = self
            .blocked_links
            .iter()
            .any(|(from, to)| *from == target || *to == target);
        if is_blocked && self.rng.random_range(0..2) == 0 {
            return None;
        }
        if !self.nodes.contains_key(&target) {
            return None;
        }
        let now = self.local_time(target);
        let stamp = self.now;
        let keeper = self.nodes.get_mut(&target)?.keeper.as_mut()?;
        if !keeper.core.is_serving(now) || keeper.grants.is_superseded(heartbeat) {
            return None;
        }
        if keeper.grants.record_heartbeat(now, heartbeat) {
            let command = KeeperCommand::EntryGone {
                entry: heartbeat.entry.clone(),
                incarnation: heartbeat.incarnation,
            };
            let _ = keeper.core.propose(now, &encode(stamp, command));
        }
        let update = keeper.state.plan.update_from(heartbeat.revision);
        self.process_ready(target);
        Some(update)
    }

    pub(super) fn entry_restart(&mut self, entry_index: u64) {
        let entry = &mut self.entries[entry_index as usize];
        entry.incarnation += 1;
        entry.plan = PlanState::default();
        entry.lease = EntryLease::default();
        entry.isolated_until = 0;
        self.trace_event(|| format!("entry {entry_index} restarts"));
    }

    /// Checks that no entry may start work under an older plan than the one in force.
    pub(super) fn check_in_force(&mut self) {
        let ignores_lease = self.settings.defect == Some(SeededDefect::ExpiredLeaseIgnored);
        for entry_index in 0..ENTRIES {
            let now = self.entry_time(entry_index);
            let entry = &self.entries[entry_index as usize];
            let may_work = entry.lease.is_valid(now) || (ignores_lease && entry.plan.revision > 0);
            if may_work && entry.plan.revision < self.in_force {
                let problem = format!(
                    "entry {entry_index} may start work under revision {} while {} is in force",
                    entry.plan.revision, self.in_force
                );
                self.record_failure(problem);
            }
        }
    }
}
