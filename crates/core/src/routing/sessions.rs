//! Session affinity during a roll-out: keeps each session on the version that it started on.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::hash::key_hash;
use crate::time::TimePoint;

/// Number of tracked sessions from which expired ones are evicted. Active sessions are kept beyond
/// it.
const PRUNE_THRESHOLD: usize = 20_000;

/// Hash of a session and its service. The sessions with the lowest hashes take part in a trial.
pub type SessionHash = u64;

/// Hashes the session `key` of `service`.
pub fn session_hash(service: &str, key: u64) -> SessionHash {
    key_hash(format!("{service}/{key}").as_bytes())
}

#[derive(Clone, Debug)]
struct TrackedSession {
    service: Arc<str>,
    is_on_target: bool,
    last_active_at: TimePoint,
}

/// Versions that a call may go to during a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionPreference {
    /// The version before the roll-out.
    Old,
    /// The version that is rolled out.
    Target,
    /// The version that is rolled out if it has capacity, otherwise the one before.
    TargetFirst,
}

/// Sessions that this entry has served recently, and the version that each of them runs on.
#[derive(Clone, Debug, Default)]
pub struct SessionVersions {
    sessions: HashMap<SessionHash, TrackedSession>,
    /// Sessions within the trial share that other entries have seen on the old version.
    pinned_to_old: BTreeSet<SessionHash>,
}

impl SessionVersions {
    /// Returns where a call of `session` goes during a trial.
    ///
    /// A session with a call within the last `session_timeout` stays on its version, and so does
    /// one that another entry has seen on the old version. Of the new sessions, each entry selects
    /// the same `trial_share` for the target version.
    pub fn preference(
        &self,
        now: TimePoint,
        session: SessionHash,
        trial_share: f64,
        session_timeout: Duration,
    ) -> VersionPreference {
        let tracked = self.sessions.get(&session);
        match tracked.filter(|tracked| now.since(tracked.last_active_at) < session_timeout) {
            Some(tracked) if tracked.is_on_target => VersionPreference::Target,
            None if is_in_trial_share(session, trial_share)
                && !self.pinned_to_old.contains(&session) =>
            {
                VersionPreference::TargetFirst
            }
            _ => VersionPreference::Old,
        }
    }

    /// Records which version a call of `session` runs on. This is needed outside of roll-outs as
    /// well, because a session that is active when a roll-out starts stays on the old version.
    pub fn record(
        &mut self,
        now: TimePoint,
        service: &Arc<str>,
        session: SessionHash,
        is_on_target: bool,
    ) {
        let tracked = TrackedSession {
            service: Arc::clone(service),
            is_on_target,
            last_active_at: now,
        };
        self.sessions.insert(session, tracked);
    }

    /// Records that a call of `session` has ended, which restarts its timeout.
    pub fn touch(&mut self, now: TimePoint, session: SessionHash) {
        if let Some(tracked) = self.sessions.get_mut(&session) {
            tracked.last_active_at = now;
        }
    }

    /// Evicts expired sessions once `PRUNE_THRESHOLD` sessions are tracked.
    pub fn prune(&mut self, now: TimePoint, session_timeout: Duration) {
        if self.sessions.len() >= PRUNE_THRESHOLD {
            self.sessions
                .retain(|_, tracked| now.since(tracked.last_active_at) < session_timeout);
        }
    }

    /// Sessions of `service` within the `trial_share` that are active here on the old version,
    /// sorted. They are sent to the other entries, which must not move them to the new version.
    pub fn pinned_to_old(
        &self,
        now: TimePoint,
        service: &str,
        trial_share: f64,
        session_timeout: Duration,
    ) -> Vec<SessionHash> {
        let is_pinned = |hash: &SessionHash, tracked: &TrackedSession| {
            *tracked.service == *service
                && !tracked.is_on_target
                && is_in_trial_share(*hash, trial_share)
                && now.since(tracked.last_active_at) < session_timeout
        };
        let active = self.sessions.iter();
        let active = active.filter(|(hash, tracked)| is_pinned(hash, tracked));
        let mut hashes: Vec<_> = active.map(|(hash, _)| *hash).collect();
        hashes.sort_unstable();
        hashes
    }

    /// Records sessions that other entries have seen on the old version.
    pub fn pin_to_old(&mut self, hashes: &[SessionHash]) {
        self.pinned_to_old.extend(hashes);
    }

    /// Resets all sessions of `service` to the old version at the start and end of a roll-out.
    ///
    /// Sessions that other entries have pinned are known by hash only, so they are discarded
    /// together, and only while no other service is on trial.
    pub fn reset(&mut self, service: &str, is_other_on_trial: bool) {
        if !is_other_on_trial {
            self.pinned_to_old.clear();
        }
        for tracked in self.sessions.values_mut() {
            if *tracked.service == *service {
                tracked.is_on_target = false;
            }
        }
    }
}

fn is_in_trial_share(hash: SessionHash, trial_share: f64) -> bool {
    (hash as f64 / u64::MAX as f64) < trial_share
}
