//! Leases of entries: while one runs, the entry may start work under the plan that it has applied.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::quality::QualityTable;
use crate::hash::key_hash;
use crate::ids::EntryId;
use crate::plan::PlanUpdate;
use crate::time::TimePoint;

/// Timing of entry leases.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseSettings {
    /// How long an entry may start work after it asked, in milliseconds. Longer than an election.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub duration: Duration,
    /// Time between two heartbeats of an entry, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub heartbeat: Duration,
    /// Largest difference in clock rate between two instances, as a share.
    pub clock_skew: f64,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            duration: Duration::from_millis(2_500),
            heartbeat: Duration::from_millis(400),
            clock_skew: 0.02,
        }
    }
}

impl LeaseSettings {
    /// How long a keeper must count a lease as running, on its own clock.
    pub fn duration_with_skew(&self) -> Duration {
        self.duration.mul_f64(1.0 + 2.0 * self.clock_skew)
    }
}

/// Heartbeat of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryHeartbeat {
    /// The entry.
    pub entry: EntryId,
    /// Its life: larger with each restart.
    pub incarnation: u64,
    /// Address at which other entries reach it.
    pub address: String,
    /// Revision that it has applied.
    pub revision: u64,
    /// State of its quality book.
    pub quality_version: u64,
    /// Hash of the live entries that it knows; see [`live_hash`].
    pub live_hash: u64,
    /// Whether it is shutting down.
    pub is_leaving: bool,
}

/// A live entry, as others need to know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LiveEntry {
    /// The entry.
    pub entry: EntryId,
    /// Its life.
    pub incarnation: u64,
    /// Address at which other entries reach it.
    pub address: String,
}

/// A hash of live entries, to be compared instead of the list.
pub fn live_hash(live: &[LiveEntry]) -> u64 {
    key_hash(&postcard::to_stdvec(live).unwrap_or_default())
}

/// Answer to a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// What the entry needs to reach the newest revision.
    pub update: PlanUpdate,
    /// The quality book, when the entry's is old.
    pub quality: Option<Box<QualityTable>>,
    /// All live entries, when the entry knows others.
    pub live: Option<Vec<LiveEntry>>,
    /// Lease length, counted from when the entry sent its heartbeat, in microseconds.
    pub duration_us: u64,
}

/// An entry as the keepers see it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// The entry.
    pub entry: EntryId,
    /// Its life.
    pub incarnation: u64,
    /// Revision that it has applied.
    pub revision: u64,
    /// Milliseconds since its last heartbeat.
    pub silent_ms: u64,
    /// Whether its lease runs.
    pub is_live: bool,
}

#[derive(Clone, Debug)]
struct GrantRecord {
    live: LiveEntry,
    revision: u64,
    heard_at: TimePoint,
    is_leaving: bool,
}

/// Leases that this keeper has granted while it leads.
#[derive(Clone, Debug, Default)]
pub struct GrantTable {
    granted: BTreeMap<EntryId, GrantRecord>,
    leading_since: Option<TimePoint>,
}

impl GrantTable {
    /// Forgets all grants: this keeper leads since `now`, and earlier leaders' grants may run on.
    pub fn reset(&mut self, now: TimePoint) {
        self.granted.clear();
        self.leading_since = Some(now);
    }

    /// Notes a heartbeat. Returns whether it begins another life of the entry.
    pub fn record_heartbeat(&mut self, now: TimePoint, beat: &EntryHeartbeat) -> bool {
        let known = self.granted.get(&beat.entry).map(|r| r.live.incarnation);
        if known.is_some_and(|incarnation| incarnation > beat.incarnation) {
            return false;
        }
        let record = GrantRecord {
            live: LiveEntry {
                entry: beat.entry.clone(),
                incarnation: beat.incarnation,
                address: beat.address.clone(),
            },
            revision: beat.revision,
            heard_at: now,
            is_leaving: beat.is_leaving,
        };
        self.granted.insert(beat.entry.clone(), record);
        known != Some(beat.incarnation)
    }

    /// Whether a newer life of the entry has been heard.
    pub fn is_superseded(&self, beat: &EntryHeartbeat) -> bool {
        self.granted
            .get(&beat.entry)
            .is_some_and(|record| record.live.incarnation > beat.incarnation)
    }

    fn is_running(record: &GrantRecord, now: TimePoint, settings: &LeaseSettings) -> bool {
        now.since(record.heard_at) < settings.duration_with_skew()
    }

    /// Entries whose lease runs and which are not leaving.
    pub fn live(&self, now: TimePoint, settings: &LeaseSettings) -> Vec<LiveEntry> {
        self.granted
            .values()
            .filter(|record| Self::is_running(record, now, settings) && !record.is_leaving)
            .map(|record| record.live.clone())
            .collect()
    }

    /// Whether all leases that run are known here: those of earlier leaders are over.
    pub fn is_complete(&self, now: TimePoint, settings: &LeaseSettings) -> bool {
        self.leading_since
            .is_some_and(|since| now.since(since) >= settings.duration_with_skew())
    }

    /// Newest revision that is in force: each entry has applied it, or its lease is over.
    ///
    /// `None` while leases that an earlier leader granted may still run.
    pub fn in_force(&self, now: TimePoint, accepted: u64, settings: &LeaseSettings) -> Option<u64> {
        let is_complete = self.is_complete(now, settings);
        let applied = self
            .granted
            .values()
            .filter(|record| Self::is_running(record, now, settings))
            .map(|record| record.revision)
            .min()
            .unwrap_or(accepted);
        is_complete.then_some(applied.min(accepted))
    }

    /// Entries that have been silent past their lease; they are forgotten.
    pub fn remove_expired(&mut self, now: TimePoint, settings: &LeaseSettings) -> Vec<LiveEntry> {
        let lapsed: Vec<LiveEntry> = self
            .granted
            .values()
            .filter(|record| !Self::is_running(record, now, settings))
            .map(|record| record.live.clone())
            .collect();
        for gone in &lapsed {
            self.granted.remove(&gone.entry);
        }
        lapsed
    }

    /// All entries heard since this keeper leads.
    pub fn status(&self, now: TimePoint, settings: &LeaseSettings) -> Vec<EntryStatus> {
        self.granted
            .values()
            .map(|record| EntryStatus {
                entry: record.live.entry.clone(),
                incarnation: record.live.incarnation,
                revision: record.revision,
                silent_ms: u64::try_from(now.since(record.heard_at).as_millis())
                    .unwrap_or(u64::MAX),
                is_live: Self::is_running(record, now, settings),
            })
            .collect()
    }
}

/// An entry's own lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryLease {
    until: Option<TimePoint>,
}

impl EntryLease {
    /// Takes a grant for a heartbeat that was sent at `sent_at` on the entry's clock.
    pub fn renew(&mut self, sent_at: TimePoint, duration: Duration) {
        let until = sent_at + duration;
        self.until = self.until.max(Some(until));
    }

    /// Whether new work may start.
    pub fn is_valid(&self, now: TimePoint) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Time left.
    pub fn remaining(&self, now: TimePoint) -> Duration {
        self.until.map(|until| until.since(now)).unwrap_or_default()
    }

    /// Gives the lease up.
    pub fn release(&mut self) {
        self.until = None;
    }
}
