//! The in-memory part of the log.

use std::collections::VecDeque;

use super::members::MemberConfig;
use super::message::{EntryBody, LogEntry, LogIndex, TermNumber};

/// Entries that follow a base index. A snapshot covers everything up to the base.
#[derive(Clone, Debug, Default)]
pub struct EntryLog {
    base_index: LogIndex,
    base_term: TermNumber,
    entries: VecDeque<LogEntry>,
}

impl EntryLog {
    /// Creates an empty log whose first entry will follow `base_index`.
    pub fn starting_after(base_index: LogIndex, base_term: TermNumber) -> Self {
        Self {
            base_index,
            base_term,
            entries: VecDeque::new(),
        }
    }

    /// Index just before the first entry in memory.
    pub fn base_index(&self) -> LogIndex {
        self.base_index
    }

    /// Index of the last entry, or the base index if there are no entries.
    pub fn last_index(&self) -> LogIndex {
        self.base_index + self.entries.len() as u64
    }

    /// Term of the last entry, or the base term if there are no entries.
    pub fn last_term(&self) -> TermNumber {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    fn position(&self, index: LogIndex) -> Option<usize> {
        let offset = index.checked_sub(self.base_index + 1)?;
        usize::try_from(offset).ok()
    }

    /// Term at `index`; `None` if the entry was compacted or does not exist yet.
    pub fn term_at(&self, index: LogIndex) -> Option<TermNumber> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.entries.get(self.position(index)?).map(|e| e.term)
    }

    /// Entry at `index`; `None` if it was compacted or does not exist yet.
    pub fn get(&self, index: LogIndex) -> Option<&LogEntry> {
        self.entries.get(self.position(index)?)
    }

    /// At most `limit` entries that follow `index`.
    pub fn entries_after(&self, index: LogIndex, limit: usize) -> Vec<LogEntry> {
        let start = self.position(index + 1).unwrap_or(0);
        self.entries
            .iter()
            .skip(start)
            .take(limit)
            .cloned()
            .collect()
    }

    /// At most `limit` entries that follow `index`, with at most `max_bytes` of commands unless the
    /// first one alone has more.
    pub fn batch_after(&self, index: LogIndex, limit: usize, max_bytes: usize) -> Vec<LogEntry> {
        let start = self.position(index + 1).unwrap_or(0);
        let mut bytes = 0;
        let candidates = self.entries.iter().skip(start).take(limit).enumerate();
        let batch = candidates.take_while(|(position, entry)| {
            bytes += entry.command_bytes();
            *position == 0 || bytes <= max_bytes
        });
        batch.map(|(_, entry)| entry.clone()).collect()
    }

    /// Size of the commands in memory, in bytes.
    pub fn command_bytes(&self) -> usize {
        self.command_bytes_after(self.base_index)
    }

    /// Size of the commands in memory that follow `index`, in bytes.
    pub fn command_bytes_after(&self, index: LogIndex) -> usize {
        let start = self.position(index + 1).unwrap_or(0);
        let entries = self.entries.iter().skip(start);
        entries.map(LogEntry::command_bytes).sum()
    }

    /// Index after which the entries up to `index` hold at most `max_bytes` of commands.
    pub fn start_of_last_bytes(&self, index: LogIndex, max_bytes: usize) -> LogIndex {
        let mut bytes = 0;
        let mut start = index;
        while start > self.base_index {
            bytes += self.get(start).map_or(0, LogEntry::command_bytes);
            if bytes > max_bytes {
                break;
            }
            start -= 1;
        }
        start
    }

    /// Appends an entry, whose index must follow [`Self::last_index`].
    pub fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push_back(entry);
    }

    /// Removes all entries from `index` on.
    pub fn truncate_from(&mut self, index: LogIndex) {
        if let Some(position) = self.position(index) {
            self.entries.truncate(position);
        }
    }

    /// Removes all entries up to `index`, which becomes the base.
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

    /// The last membership entry in memory, with its index.
    pub fn latest_config(&self) -> Option<(LogIndex, &MemberConfig)> {
        self.entries
            .iter()
            .rev()
            .find_map(|entry| match &entry.body {
                EntryBody::Config(config) => Some((entry.index, config)),
                _ => None,
            })
    }

    /// Last index before `index` with an earlier term than the one at `index`, or the base index.
    /// Lets a leader skip back one term per rejected append instead of one entry.
    pub fn last_index_before_term_at(&self, index: LogIndex) -> LogIndex {
        let Some(term) = self.term_at(index) else {
            return self.base_index;
        };
        let mut candidate = index;
        while candidate > self.base_index && self.term_at(candidate) == Some(term) {
            candidate -= 1;
        }
        candidate
    }
}
