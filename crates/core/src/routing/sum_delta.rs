//! Delta encoding of the sums per endpoint that the aggregator sends to an entry.
//!
//! Answers loads with hundreds of entries and endpoints: between two replies to an entry, the sums of
//! few endpoints change. The aggregator keeps a copy of what it has sent to each entry and names an
//! endpoint by its position there, which takes one byte instead of the five of its hash.

use serde::{Deserialize, Serialize};

use crate::time::TimePoint;

use super::capacity_ledger::EndpointUsage;
use super::load_aggregation::{EndpointHash, LoadSummary, WaitingWork};

/// Endpoints without calls that a table may hold beyond those with calls, before a full reply clears
/// them.
const MAX_IDLE_ENDPOINTS: usize = 64;
/// Bits of the time from which the numbers of replies to an entry start: a number of up to 21 bits takes
/// three bytes.
const START_BITS: u32 = 21;

/// Calls and tokens at an endpoint, in the units of [`EndpointUsage`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCounts {
    /// Calls that it runs or queues.
    pub calls: u32,
    /// Those of them that a larger model than the smallest answers.
    pub large_calls: u32,
    /// Tokens of these calls, in units of 1,024.
    pub token_units: u32,
}

/// A changed sum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangedSum<V> {
    /// Number of unchanged endpoints since the previous changed one.
    pub skipped: u32,
    /// The new sum; zero where nothing is left.
    pub sum: V,
}

/// Difference between two tables.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SumChanges<V> {
    /// Changes of endpoints that the receiver's table has, in its order.
    pub changed: Vec<ChangedSum<V>>,
    /// Endpoints that the receiver's table does not have.
    pub added: Vec<(EndpointHash, V)>,
}

/// Sums in the order of their endpoints. An endpoint whose sum has become zero keeps its position.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SumTable<V> {
    items: Vec<(EndpointHash, V)>,
}

impl<V: Copy + Default + PartialEq> SumTable<V> {
    /// Sums of the endpoints with a sum other than zero.
    pub fn sums(&self) -> impl Iterator<Item = (EndpointHash, V)> {
        let items = self.items.iter().copied();
        items.filter(|(_, sum)| *sum != V::default())
    }

    /// Sets the table to `sums`, in ascending order of their endpoints, and returns the changes by
    /// which an equal table becomes the same.
    pub fn update(&mut self, sums: impl IntoIterator<Item = (EndpointHash, V)>) -> SumChanges<V> {
        let mut changed = Vec::new();
        let mut added = Vec::new();
        let mut skipped = 0;
        let mut sums = sums.into_iter().peekable();
        for (endpoint, known) in &mut self.items {
            while let Some(new) = sums.next_if(|(other, _)| other < endpoint) {
                added.push(new);
            }
            let sum = sums.next_if(|(other, _)| other == endpoint);
            let sum = sum.map(|(_, sum)| sum).unwrap_or_default();
            if sum == *known {
                skipped += 1;
            } else {
                *known = sum;
                changed.push(ChangedSum { skipped, sum });
                skipped = 0;
            }
        }
        added.extend(sums);
        self.add(&added);
        SumChanges { changed, added }
    }

    /// Applies `changes` and returns the endpoints concerned with their new sums; `None` if the changes
    /// do not fit the table.
    pub fn apply(&mut self, changes: &SumChanges<V>) -> Option<Vec<(EndpointHash, V)>> {
        let mut news = Vec::with_capacity(changes.changed.len() + changes.added.len());
        let mut position = 0;
        for change in &changes.changed {
            position += change.skipped as usize;
            let (endpoint, sum) = self.items.get_mut(position)?;
            *sum = change.sum;
            news.push((*endpoint, change.sum));
            position += 1;
        }
        self.add(&changes.added);
        news.extend_from_slice(&changes.added);
        Some(news)
    }

    fn add(&mut self, added: &[(EndpointHash, V)]) {
        if !added.is_empty() {
            self.items.extend_from_slice(added);
            self.items.sort_unstable_by_key(|(endpoint, _)| *endpoint);
        }
    }

    fn has_many_idle(&self) -> bool {
        let busy = self.sums().count();
        self.items.len() - busy > busy + MAX_IDLE_ENDPOINTS
    }
}

/// Sums over the other entries, as the difference to an earlier reply.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SumReply {
    /// Number of this reply.
    pub number: u32,
    /// Whether the changes are to be applied to empty tables instead of those of the previous reply.
    pub is_full: bool,
    /// Calls and tokens.
    pub usage: SumChanges<UsageCounts>,
    /// Pending work in milliseconds.
    pub work: SumChanges<u32>,
}

/// The sums that the aggregator has sent to an entry.
#[derive(Clone, Debug, Default)]
pub struct SentSums {
    number: u32,
    has_sent: bool,
    usage: SumTable<UsageCounts>,
    work: SumTable<u32>,
}

impl SentSums {
    /// Creates the state of an entry to which nothing has been sent. Numbers start from `now`, so that
    /// a restarted aggregator is unlikely to use those of its predecessor.
    pub fn new(now: TimePoint) -> Self {
        Self {
            number: now.as_micros() as u32 & ((1 << START_BITS) - 1),
            ..Self::default()
        }
    }

    /// Creates the reply to an entry that has applied the reply `applied`, 0 for none. The sums are in
    /// ascending order of their endpoints.
    pub fn reply(
        &mut self,
        applied: u32,
        usage: impl IntoIterator<Item = (EndpointHash, UsageCounts)>,
        work: impl IntoIterator<Item = (EndpointHash, u32)>,
    ) -> SumReply {
        let is_known = self.has_sent && applied != 0 && applied == self.number;
        self.has_sent = true;
        let is_full = !is_known || self.usage.has_many_idle() || self.work.has_many_idle();
        if is_full {
            self.usage = SumTable::default();
            self.work = SumTable::default();
        }
        self.number = self.number.checked_add(1).unwrap_or(1);
        SumReply {
            number: self.number,
            is_full,
            usage: self.usage.update(usage),
            work: self.work.update(work),
        }
    }
}

/// The sums of the other entries that a reply has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SumNews {
    /// Whether endpoints that are not listed have no sums.
    pub is_full: bool,
    /// Calls and tokens; zero calls where nothing is left.
    pub usage: Vec<EndpointUsage>,
    /// Pending work; zero where nothing is left.
    pub work: Vec<WaitingWork>,
}

/// The sums that an entry has received, and the number of the reply that they are from.
#[derive(Clone, Debug, Default)]
pub struct ReceivedSums {
    /// Number of the last reply, 0 if the next one must be full.
    applied: u32,
    usage: SumTable<UsageCounts>,
    work: SumTable<u32>,
}

impl ReceivedSums {
    /// Number of the reply that the sums are from, for the next report; 0 for none.
    pub fn applied(&self) -> u32 {
        self.applied
    }

    /// Has the next reply sent in full. To be called after each failed exchange and each change of the
    /// leader: numbers are unique only within consecutive successful exchanges with one process.
    pub fn reset(&mut self) {
        self.applied = 0;
    }

    /// Applies a reply. One that does not fit the sums is ignored, and the next one is full.
    pub fn apply(&mut self, reply: &LoadSummary) -> Option<SumNews> {
        let Some(reply) = &reply.sums else {
            // The aggregator does not send deltas.
            self.reset();
            return Some(SumNews {
                is_full: true,
                usage: reply.usage.clone(),
                work: reply.work.clone(),
            });
        };
        if reply.is_full {
            self.usage = SumTable::default();
            self.work = SumTable::default();
        } else if self.applied == 0 {
            return None;
        }
        self.applied = 0;
        let usage = self.usage.apply(&reply.usage)?;
        let work = self.work.apply(&reply.work)?;
        self.applied = reply.number;
        let usage = usage.into_iter().map(|(endpoint, counts)| EndpointUsage {
            endpoint,
            calls: counts.calls,
            large_calls: counts.large_calls,
            token_units: counts.token_units,
        });
        let work = work.into_iter();
        Some(SumNews {
            is_full: reply.is_full,
            usage: usage.collect(),
            work: work
                .map(|(endpoint, work_ms)| WaitingWork { endpoint, work_ms })
                .collect(),
        })
    }
}
