//! The part of the log that is in memory, behind the newest snapshot.

use std::collections::VecDeque;

use super::members::MemberConfig;
use super::message::{EntryBody, LogEntry, LogIndex, TermNumber};

/// Entries after a base that a snapshot covers.
#[derive(Clone, Debug, Default)]
pub struct EntryLog {
    base_index: LogIndex,
    base_term: TermNumber,
    entries: VecDeque<LogEntry>,
}

impl EntryLog {
    /// A log that starts after `base_index`.
    pub fn after(base_index: LogIndex, base_term: TermNumber) -> Self {
        Self {
            base_index,
            base_term,
            entries: VecDeque::new(),
        }
    }

    /// Index before the first entry in memory.
    pub fn base_index(&self) -> LogIndex {
        self.base_index
    }

    /// Index of the newest entry.
    pub fn last_index(&self) -> LogIndex {
        self.base_index + self.entries.len() as u64
    }

    /// Term of the newest entry.
    pub fn last_term(&self) -> TermNumber {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    fn position(&self, index: LogIndex) -> Option<usize> {
        let offset = index.checked_sub(self.base_index + 1)?;
        usize::try_from(offset).ok()
    }

    /// Term at `index`; `None` when it is compacted away or not there yet.
    pub fn term_at(&self, index: LogIndex) -> Option<TermNumber> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.entries.get(self.position(index)?).map(|e| e.term)
    }

    /// The entry at `index`.
    pub fn get(&self, index: LogIndex) -> Option<&LogEntry> {
        self.entries.get(self.position(index)?)
    }

    /// At most `limit` entries after `index`.
    pub fn after_index(&self, index: LogIndex, limit: usize) -> Vec<LogEntry> {
        let start = self.position(index + 1).unwrap_or(0);
        self.entries
            .iter()
            .skip(start)
            .take(limit)
            .cloned()
            .collect()
    }

    /// Appends an entry that follows the newest one.
    pub fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push_back(entry);
    }

    /// Drops all entries from `index` on.
    pub fn truncate_from(&mut self, index: LogIndex) {
        if let Some(position) = self.position(index) {
            self.entries.truncate(position);
        }
    }

    /// Drops all entries up to `index`, which stays as base.
    pub fn compact_to(&mut self, index: LogIndex) {
        let Some(term) = self.term_at(index) else {
            return;
        };
        while self.base_index < index {
            self.entries.pop_front();
            self.base_index += 1;
        }
        self.base_term = term;
    }

    /// The newest members in the log, with their index.
    pub fn newest_config(&self) -> Option<(LogIndex, &MemberConfig)> {
        self.entries
            .iter()
            .rev()
            .find_map(|entry| match &entry.body {
                EntryBody::Config(config) => Some((entry.index, config)),
                _ => None,
            })
    }

    /// Newest index at or before `index` whose term is below the term at `index`, to step back
    /// a whole term at a time.
    pub fn before_term_of(&self, index: LogIndex) -> LogIndex {
        let Some(term) = self.term_at(index) else {
            return self.base_index;
        };
        let mut probe = index;
        while probe > self.base_index && self.term_at(probe) == Some(term) {
            probe -= 1;
        }
        probe
    }
}
