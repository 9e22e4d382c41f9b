//! Entry leases: while its lease is valid, an entry may start requests under the plan that it has
//! applied.

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
    /// How long an entry may start requests after it sent a heartbeat, in milliseconds. It must
    /// exceed the duration of an election.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub duration: Duration,
    /// Interval between heartbeats of an entry, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub heartbeat: Duration,
    /// Maximum difference in clock rate between two instances, as a fraction.
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
    /// How long a keeper must treat a lease as valid on its own clock: the lease's duration plus
    /// clock skew.
    pub fn duration_with_skew(&self) -> Duration {
        self.duration.mul_f64(1.0 + 2.0 * self.clock_skew)
    }
}

/// Heartbeat of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryHeartbeat {
    /// The entry.
    pub entry: EntryId,
    /// Its incarnation number, which increases with each restart.
    pub incarnation: u64,
    /// Address at which other entries reach it.
    pub address: String,
    /// Plan revision that it has applied.
    pub revision: u64,
    /// Version of its [`QualityTable`].
    pub quality_version: u64,
    /// Hash of the live entries known to it; see [`live_hash`].
    pub live_hash: u64,
    /// Whether it is shutting down.
    pub is_leaving: bool,
}

/// An entry with a valid lease, with what other entries need to reach it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LiveEntry {
    /// The entry.
    pub entry: EntryId,
    /// Its incarnation number.
    pub incarnation: u64,
    /// Address at which other entries reach it.
    pub address: String,
}

/// Hash of a list of live entries, compared in place of the list.
pub fn live_hash(live: &[LiveEntry]) -> u64 {
    key_hash(&postcard::to_stdvec(live).unwrap_or_default())
}

/// Answer to a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Update that takes the entry to the newest plan revision.
    pub update: PlanUpdate,
    /// The quality table, if the entry's is out of date.
    pub quality: Option<Box<QualityTable>>,
    /// All live entries, if the entry's list differs.
    pub live: Option<Vec<LiveEntry>>,
    /// Duration of the lease in microseconds, counted from when the entry sent its heartbeat.
    pub duration_us: u64,
}

/// Status of an entry, as known to the leading keeper.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// The entry.
    pub entry: EntryId,
    /// Its incarnation number.
    pub incarnation: u64,
    /// Plan revision that it has applied.
    pub revision: u64,
    /// Milliseconds since its last heartbeat.
    pub silent_ms: u64,
    /// Whether its lease is valid.
    pub is_live: bool,
}

#[derive(Clone, Debug)]
struct GrantRecord {
    live: LiveEntry,
    revision: u64,
    last_heartbeat_at: TimePoint,
    is_leaving: bool,
}

/// Leases that this keeper has granted since it became leader.
#[derive(Clone, Debug, Default)]
pub struct GrantTable {
    granted: BTreeMap<EntryId, GrantRecord>,
    leader_since: Option<TimePoint>,
}

impl GrantTable {
    /// Discards all grants because this keeper became leader at `now`. Grants of previous leaders
    /// may still be valid; see [`Self::is_complete`].
    pub fn reset(&mut self, now: TimePoint) {
        self.granted.clear();
        self.leader_since = Some(now);
    }

    /// Records a heartbeat. Returns whether it is the first one of its incarnation in this
    /// table.
    ///
    /// Heartbeats of an older incarnation are ignored.
    pub fn record_heartbeat(&mut self, now: TimePoint, heartbeat: &EntryHeartbeat) -> bool {
        let known = self
            .granted
            .get(&heartbeat.entry)
            .map(|r| r.live.incarnation);
        if known.is_some_and(|incarnation| incarnation > heartbeat.incarnation) {
            return false;
        }
        let record = GrantRecord {
            live: LiveEntry {
                entry: heartbeat.entry.clone(),
                incarnation: heartbeat.incarnation,
                address: heartbeat.address.clone(),
            },
            revision: heartbeat.revision,
            last_heartbeat_at: now,
            is_leaving: heartbeat.is_leaving,
        };
        self.granted.insert(heartbeat.entry.clone(), record);
        known != Some(heartbeat.incarnation)
    }

    /// Whether a newer incarnation of the entry has sent a heartbeat.
    pub fn is_superseded(&self, heartbeat: &EntryHeartbeat) -> bool {
        self.granted
            .get(&heartbeat.entry)
            .is_some_and(|record| record.live.incarnation > heartbeat.incarnation)
    }

    fn is_valid_grant(record: &GrantRecord, now: TimePoint, settings: &LeaseSettings) -> bool {
        now.since(record.last_heartbeat_at) < settings.duration_with_skew()
    }

    /// Entries with a valid lease that are not shutting down.
    pub fn live(&self, now: TimePoint, settings: &LeaseSettings) -> Vec<LiveEntry> {
        self.granted
            .values()
            .filter(|record| Self::is_valid_grant(record, now, settings) && !record.is_leaving)
            .map(|record| record.live.clone())
            .collect()
    }

    /// Whether the table holds all valid leases, because those that previous leaders granted have
    /// expired.
    pub fn is_complete(&self, now: TimePoint, settings: &LeaseSettings) -> bool {
        self.leader_since
            .is_some_and(|since| now.since(since) >= settings.duration_with_skew())
    }

    /// Newest revision in force, which means that every entry with a valid lease has applied it.
    ///
    /// `None` while leases that a previous leader granted may still be valid.
    pub fn in_force(&self, now: TimePoint, accepted: u64, settings: &LeaseSettings) -> Option<u64> {
        let is_complete = self.is_complete(now, settings);
        let applied = self
            .granted
            .values()
            .filter(|record| Self::is_valid_grant(record, now, settings))
            .map(|record| record.revision)
            .min()
            .unwrap_or(accepted);
        is_complete.then_some(applied.min(accepted))
    }

    /// Removes and returns the entries whose lease has expired.
    pub fn remove_expired(&mut self, now: TimePoint, settings: &LeaseSettings) -> Vec<LiveEntry> {
        let expired: Vec<LiveEntry> = self
            .granted
            .values()
            .filter(|record| !Self::is_valid_grant(record, now, settings))
            .map(|record| record.live.clone())
            .collect();
        for entry in &expired {
            self.granted.remove(&entry.entry);
        }
        expired
    }

    /// Status of all entries that have sent a heartbeat since this keeper became leader.
    pub fn status(&self, now: TimePoint, settings: &LeaseSettings) -> Vec<EntryStatus> {
        self.granted
            .values()
            .map(|record| EntryStatus {
                entry: record.live.entry.clone(),
                incarnation: record.live.incarnation,
                revision: record.revision,
                silent_ms: now.millis_since(record.last_heartbeat_at),
                is_live: Self::is_valid_grant(record, now, settings),
            })
            .collect()
    }
}

/// An entry's view of its own lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryLease {
    valid_until: Option<TimePoint>,
}

impl EntryLease {
    /// Extends the lease by a grant for the heartbeat sent at `sent_at` on the entry's clock.
    pub fn renew(&mut self, sent_at: TimePoint, duration: Duration) {
        let valid_until = sent_at + duration;
        self.valid_until = self.valid_until.max(Some(valid_until));
    }

    /// Whether new requests may start.
    pub fn is_valid(&self, now: TimePoint) -> bool {
        self.valid_until.is_some_and(|until| now < until)
    }

    /// Time until the lease expires, or zero.
    pub fn remaining(&self, now: TimePoint) -> Duration {
        self.valid_until
            .map(|until| until.since(now))
            .unwrap_or_default()
    }

    /// Releases the lease before it expires, so that no more requests may start.
    pub fn release(&mut self) {
        self.valid_until = None;
    }
}
