//! Which version a session runs on while a roll-out is under way.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::hash::key_hash;
use crate::time::TimePoint;

/// Sessions kept at most; the idle ones go first.
const MAX_SESSIONS: usize = 20_000;

#[derive(Clone, Debug)]
struct SeenSession {
    is_on_target: bool,
    seen_at: TimePoint,
}

/// Sessions of one entry with the side of a roll-out that each is on.
#[derive(Clone, Debug, Default)]
pub struct SessionVersions {
    sessions: HashMap<(Arc<str>, u64), SeenSession>,
}

impl SessionVersions {
    /// Whether a call of the session `key` goes to the target version of a roll-out of
    /// `service`. A session that called within `keep` stays where it was; of the new ones, the
    /// same `share` is chosen on each entry.
    pub fn is_on_target(
        &mut self,
        now: TimePoint,
        service: &Arc<str>,
        key: u64,
        share: f64,
        keep: Duration,
    ) -> bool {
        if self.sessions.len() >= MAX_SESSIONS {
            self.sessions
                .retain(|_, seen| now.since(seen.seen_at) < keep);
        }
        let seen = self.sessions.get(&(Arc::clone(service), key));
        let known = seen
            .filter(|seen| now.since(seen.seen_at) < keep)
            .map(|seen| seen.is_on_target);
        let is_on_target = known.unwrap_or_else(|| is_in_share(service, key, share));
        self.note(now, service, key, is_on_target);
        is_on_target
    }

    /// Notes that a call of the session `key` runs, outside of any roll-out as well: a session
    /// that is under way when a roll-out starts stays on the old version.
    pub fn note(&mut self, now: TimePoint, service: &Arc<str>, key: u64, is_on_target: bool) {
        let seen = SeenSession {
            is_on_target,
            seen_at: now,
        };
        self.sessions.insert((Arc::clone(service), key), seen);
    }

    /// Forgets the sides of all sessions of `service`, as at the end of a roll-out.
    pub fn reset(&mut self, service: &str) {
        for ((other, _), seen) in &mut self.sessions {
            if **other == *service {
                seen.is_on_target = false;
            }
        }
    }
}

fn is_in_share(service: &str, key: u64, share: f64) -> bool {
    let mixed = key_hash(format!("{service}/{key}").as_bytes());
    (mixed as f64 / u64::MAX as f64) < share
}
