//! Measures how long committed changes of the routing state take to reach all entries.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::routing::ChangeIndex;
use chestnutloft_core::time::TimePoint;

/// Time after which a change that has not reached all entries is reported.
const OVERDUE: Duration = Duration::from_secs(1);
/// Maximum number of changes that are tracked.
const MAX_CHANGES: usize = 256;
/// Maximum number of entries that a report names.
const MAX_NAMED_ENTRIES: usize = 5;

/// A committed change that has not reached all entries.
#[derive(Clone, Copy, Debug)]
struct PendingChange {
    index: ChangeIndex,
    committed_at: TimePoint,
    is_reported: bool,
}

/// A change that takes long to reach all entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OverdueChange {
    /// The change.
    pub index: ChangeIndex,
    /// Time since it was committed.
    pub age: Duration,
    /// Number of entries that have not confirmed it.
    pub missing: usize,
    /// Some of these entries.
    pub named: Vec<Arc<str>>,
}

/// Tracks the changes that some entries have not confirmed.
#[derive(Clone, Debug, Default)]
pub struct PropagationTracker {
    newest: ChangeIndex,
    pending: VecDeque<PendingChange>,
}

impl PropagationTracker {
    /// Starts to track change `index`, unless it or a later one is known already.
    pub fn record_change(&mut self, now: TimePoint, index: ChangeIndex) {
        if index <= self.newest {
            return;
        }
        self.newest = index;
        if self.pending.len() == MAX_CHANGES {
            self.pending.pop_front();
        }
        self.pending.push_back(PendingChange {
            index,
            committed_at: now,
            is_reported: false,
        });
    }

    /// Drops the changes that all entries have confirmed, and returns the time that the newest of
    /// them took. `confirmed` holds the last change of each entry.
    pub fn settle<'a>(
        &mut self,
        now: TimePoint,
        confirmed: impl Iterator<Item = (&'a Arc<str>, ChangeIndex)>,
    ) -> Option<(ChangeIndex, Duration)> {
        if self.pending.is_empty() {
            return None;
        }
        let everywhere = confirmed.map(|(_, index)| index).min()?;
        let mut settled = None;
        while let Some(change) = self.pending.front()
            && change.index <= everywhere
        {
            settled = Some((change.index, now.since(change.committed_at)));
            self.pending.pop_front();
        }
        settled
    }

    /// The oldest change that is overdue, once.
    pub fn overdue<'a>(
        &mut self,
        now: TimePoint,
        confirmed: impl Iterator<Item = (&'a Arc<str>, ChangeIndex)>,
    ) -> Option<OverdueChange> {
        let change = self.pending.front_mut()?;
        let age = now.since(change.committed_at);
        if change.is_reported || age < OVERDUE {
            return None;
        }
        change.is_reported = true;
        let missing: Vec<&Arc<str>> = confirmed
            .filter(|(_, index)| *index < change.index)
            .map(|(entry, _)| entry)
            .collect();
        Some(OverdueChange {
            index: change.index,
            age,
            missing: missing.len(),
            named: missing
                .into_iter()
                .take(MAX_NAMED_ENTRIES)
                .cloned()
                .collect(),
        })
    }
}
