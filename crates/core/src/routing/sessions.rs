//! Which version a session runs on while a roll-out is under way.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::hash::key_hash;
use crate::time::TimePoint;

/// Sessions kept at most; the idle ones go first.
const MAX_SESSIONS: usize = 20_000;

/// A session of one service as a number; small ones are chosen for trials.
pub type SessionMark = u64;

/// The mark of the session `key` of `service`.
pub fn session_mark(service: &str, key: u64) -> SessionMark {
    key_hash(format!("{service}/{key}").as_bytes())
}

#[derive(Clone, Debug)]
struct SeenSession {
    service: Arc<str>,
    is_on_target: bool,
    seen_at: TimePoint,
}

/// Versions that a call may go to while a roll-out is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionWish {
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
    sessions: HashMap<SessionMark, SeenSession>,
    /// Sessions in the share of a trial that began on the old version, at any entry.
    bound: BTreeSet<SessionMark>,
}

impl SessionVersions {
    /// Where a call of the session `mark` goes during a trial. A session that called within
    /// `keep` stays where it was, and so does one that another entry saw on the old version; of
    /// the new ones, the same `share` is chosen on each entry.
    pub fn wish(
        &self,
        now: TimePoint,
        mark: SessionMark,
        share: f64,
        keep: Duration,
    ) -> VersionWish {
        let seen = self.sessions.get(&mark);
        match seen.filter(|seen| now.since(seen.seen_at) < keep) {
            Some(seen) if seen.is_on_target => VersionWish::Target,
            None if is_in_share(mark, share) && !self.bound.contains(&mark) => {
                VersionWish::TargetFirst
            }
            _ => VersionWish::Old,
        }
    }

    /// Notes on which side a call of the session `mark` runs, outside of any roll-out as well: a
    /// session that is under way when a roll-out starts stays on the old version.
    pub fn note(
        &mut self,
        now: TimePoint,
        service: &Arc<str>,
        mark: SessionMark,
        is_on_target: bool,
    ) {
        let seen = SeenSession {
            service: Arc::clone(service),
            is_on_target,
            seen_at: now,
        };
        self.sessions.insert(mark, seen);
    }

    /// Notes that a call of the session `mark` has ended: it counts as under way from now on.
    pub fn touch(&mut self, now: TimePoint, mark: SessionMark) {
        if let Some(seen) = self.sessions.get_mut(&mark) {
            seen.seen_at = now;
        }
    }

    /// Forgets sessions that are over once there are too many.
    pub fn prune(&mut self, now: TimePoint, keep: Duration) {
        if self.sessions.len() >= MAX_SESSIONS {
            self.sessions
                .retain(|_, seen| now.since(seen.seen_at) < keep);
        }
    }

    /// Sessions of `service` in the `share` of a trial that called here within `keep` and are on
    /// the old version, in order: the other entries must not move them.
    pub fn bound_here(
        &self,
        now: TimePoint,
        service: &str,
        share: f64,
        keep: Duration,
    ) -> Vec<SessionMark> {
        let is_bound = |mark: &SessionMark, seen: &SeenSession| {
            *seen.service == *service
                && !seen.is_on_target
                && is_in_share(*mark, share)
                && now.since(seen.seen_at) < keep
        };
        let bound = self.sessions.iter();
        let bound = bound.filter(|(mark, seen)| is_bound(mark, seen));
        let mut marks: Vec<_> = bound.map(|(mark, _)| *mark).collect();
        marks.sort_unstable();
        marks
    }

    /// Notes sessions that other entries saw on the old version.
    pub fn bind(&mut self, marks: &[SessionMark]) {
        self.bound.extend(marks);
    }

    /// Forgets the sides of all sessions of `service`, as at the end of a roll-out.
    pub fn reset(&mut self, service: &str) {
        self.bound.clear();
        for seen in self.sessions.values_mut() {
            if *seen.service == *service {
                seen.is_on_target = false;
            }
        }
    }
}

fn is_in_share(mark: SessionMark, share: f64) -> bool {
    (mark as f64 / u64::MAX as f64) < share
}
