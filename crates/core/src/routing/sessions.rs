//! Which version a session runs on while a roll-out is under way.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::hash::key_hash;
use crate::time::TimePoint;

/// Sessions kept at most; the idle ones go first.
const MAX_SESSIONS: usize = 20_000;

/// A session of one service as a number; small ones are chosen for trials.
pub type SessionHash = u64;

/// The mark of the session `key` of `service`.
pub fn session_hash(service: &str, key: u64) -> SessionHash {
    key_hash(format!("{service}/{key}").as_bytes())
}

#[derive(Clone, Debug)]
struct TrackedSession {
    service: Arc<str>,
    is_on_target: bool,
    last_active_at: TimePoint,
}

/// Versions that a call may go to while a roll-out is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionPreference {
    /// The version before the roll-out.
    Old,
    /// The version that is rolled out.
    Target,
    /// The version that is rolled out where it has room, else the one before.
    TargetFirst,
}

/// Sessions of one entry with the side of a roll-out that each is on.
#[derive(Clone, Debug, Default)]
pub struct SessionVersions {
    sessions: HashMap<SessionHash, TrackedSession>,
    /// Sessions within the trial share that other entries have seen on the old version.
    pinned_to_old: BTreeSet<SessionHash>,
}

impl SessionVersions {
    /// Where a call of the session `mark` goes during a trial. A session that called within
    /// `keep` stays where it was, and so does one that another entry saw on the old version; of
    /// the new ones, the same `share` is chosen on each entry.
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

    /// Notes on which side a call of the session `mark` runs, outside of any roll-out as well: a
    /// session that is under way when a roll-out starts stays on the old version.
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

    /// Notes that a call of the session `mark` has ended: it counts as under way from now on.
    pub fn touch(&mut self, now: TimePoint, session: SessionHash) {
        if let Some(tracked) = self.sessions.get_mut(&session) {
            tracked.last_active_at = now;
        }
    }

    /// Forgets sessions that are over once there are too many.
    pub fn prune(&mut self, now: TimePoint, session_timeout: Duration) {
        if self.sessions.len() >= MAX_SESSIONS {
            self.sessions
                .retain(|_, tracked| now.since(tracked.last_active_at) < session_timeout);
        }
    }

    /// Sessions of `service` in the `share` of a trial that called here within `keep` and are on
    /// the old version, in order: the other entries must not move them.
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

    /// Notes sessions that other entries saw on the old version.
    pub fn pin_to_old(&mut self, hashes: &[SessionHash]) {
        self.pinned_to_old.extend(hashes);
    }

    /// Forgets the sides of all sessions of `service`, as at the end of a roll-out.
    pub fn reset(&mut self, service: &str) {
        self.pinned_to_old.clear();
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
