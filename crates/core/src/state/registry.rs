//! Registry of endpoints, built from their announcements.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{DomainId, EndpointId, ServiceId, VersionId};
use crate::time::TimePoint;

/// State of an endpoint, as announced by the endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointAnnouncement {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its incarnation number, which increases with each restart.
    pub incarnation: u64,
    /// Sequence number of the announcement within that incarnation.
    pub sequence: u64,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Failure domain that it is in.
    pub domain: DomainId,
    /// `IP:port` of its HTTP server.
    pub address: String,
    /// Versions that it has loaded.
    pub versions: BTreeSet<VersionId>,
    /// Concurrent requests that it serves when warm.
    pub slots: u32,
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// Its load when it made the announcement.
    pub load: EndpointLoad,
}

/// Load of an endpoint, as reported by the endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Number of requests running.
    pub running: u32,
    /// Number of requests queued.
    pub waiting: u32,
    /// Share of the KV cache in use, 0 to 1.
    pub cache_used: f64,
    /// Whether it reports that it is cold.
    pub is_cold: bool,
}

/// An endpoint, as known to this entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// The newest announcement.
    pub announcement: EndpointAnnouncement,
    /// Number of times that it turned cold within this incarnation.
    pub cold_epoch: u64,
}

/// Result of merging an announcement or record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The endpoint was unknown.
    Added,
    /// The endpoint was known under an earlier incarnation.
    Restarted,
    /// The record was updated within the incarnation.
    Updated,
    /// The announcement was out of date or a duplicate; nothing changed.
    Stale,
}

/// Timeouts of the registry.
#[derive(Clone, Debug, PartialEq)]
pub struct RegistrySettings {
    /// Time without an announcement after which an endpoint receives no new requests.
    pub suspect_after: Duration,
    /// Time without an announcement after which an endpoint is removed.
    pub remove_after: Duration,
}

impl Default for RegistrySettings {
    fn default() -> Self {
        Self {
            suspect_after: Duration::from_millis(3_500),
            remove_after: Duration::from_secs(30),
        }
    }
}

#[derive(Clone, Debug)]
struct TrackedRecord {
    record: EndpointRecord,
    announced_at: TimePoint,
    /// When this entry last observed a change itself, which it has to pass on to other entries.
    changed_at: Option<TimePoint>,
}

/// All endpoints known to this entry.
#[derive(Clone, Debug, Default)]
pub struct EndpointRegistry {
    settings: RegistrySettings,
    records: HashMap<EndpointId, TrackedRecord>,
    pools: HashMap<PoolKey, Vec<EndpointId>>,
}

/// Key of a pool: endpoints that can serve the same requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum PoolKey {
    /// Endpoints that have loaded a version.
    Version(VersionId),
    /// Endpoints of a service.
    Service(ServiceId),
}

fn pool_keys(announcement: &EndpointAnnouncement) -> impl Iterator<Item = PoolKey> {
    let versions = announcement.versions.iter().cloned().map(PoolKey::Version);
    versions.chain([PoolKey::Service(announcement.service.clone())])
}

impl EndpointRegistry {
    /// Creates an empty registry.
    pub fn new(settings: RegistrySettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Merges an announcement received from the endpoint itself.
    pub fn announce(&mut self, now: TimePoint, announcement: EndpointAnnouncement) -> MergeOutcome {
        let known = self.records.get(&announcement.endpoint);
        let cold_epoch = known
            .filter(|tracked| tracked.record.announcement.incarnation == announcement.incarnation)
            .map_or(0, |tracked| tracked.record.cold_epoch);
        let record = EndpointRecord {
            announcement,
            cold_epoch,
        };
        let id = record.announcement.endpoint.clone();
        let outcome = self.merge(now, record, Duration::ZERO);
        if outcome != MergeOutcome::Stale {
            self.mark_changed(now, &id);
        }
        outcome
    }

    /// Merges a record whose announcement another entry received `age` ago.
    ///
    /// Announcements are ordered by incarnation and sequence number, and the cold epoch only grows
    /// within an incarnation, so late and duplicate records have no effect.
    pub fn merge(
        &mut self,
        now: TimePoint,
        mut record: EndpointRecord,
        age: Duration,
    ) -> MergeOutcome {
        let id = record.announcement.endpoint.clone();
        let Some(known) = self.records.get_mut(&id) else {
            if age >= self.settings.remove_after {
                return MergeOutcome::Stale;
            }
            self.insert(now, record, age);
            return MergeOutcome::Added;
        };
        let current = &known.record.announcement;
        let incoming = &record.announcement;
        if incoming.incarnation > current.incarnation {
            self.insert(now, record, age);
            return MergeOutcome::Restarted;
        }
        if incoming.incarnation < current.incarnation {
            return MergeOutcome::Stale;
        }
        if incoming.sequence > current.sequence {
            record.cold_epoch = record.cold_epoch.max(known.record.cold_epoch);
            self.insert(now, record, age);
            return MergeOutcome::Updated;
        }
        if record.cold_epoch > known.record.cold_epoch {
            known.record.cold_epoch = record.cold_epoch;
            return MergeOutcome::Updated;
        }
        MergeOutcome::Stale
    }

    fn insert(&mut self, now: TimePoint, record: EndpointRecord, age: Duration) {
        self.update_pools(&record);
        let id = record.announcement.endpoint.clone();
        let tracked = TrackedRecord {
            record,
            announced_at: now - age,
            changed_at: None,
        };
        self.records.insert(id, tracked);
    }

    fn update_pools(&mut self, record: &EndpointRecord) {
        let id = &record.announcement.endpoint;
        let new_keys: Vec<PoolKey> = pool_keys(&record.announcement).collect();
        let old_keys: Vec<PoolKey> = match self.records.get(id) {
            Some(known) => pool_keys(&known.record.announcement).collect(),
            None => Vec::new(),
        };
        for key in old_keys.iter().filter(|key| !new_keys.contains(key)) {
            self.remove_from_pool(key, id);
        }
        for key in new_keys.into_iter().filter(|key| !old_keys.contains(key)) {
            self.pools.entry(key).or_default().push(id.clone());
        }
    }

    fn remove_from_pool(&mut self, key: &PoolKey, endpoint: &EndpointId) {
        if let Some(members) = self.pools.get_mut(key) {
            members.retain(|member| member != endpoint);
        }
    }

    /// Records that `endpoint` has turned cold within its incarnation.
    pub fn mark_cold(&mut self, now: TimePoint, endpoint: &EndpointId) {
        if let Some(tracked) = self.records.get_mut(endpoint) {
            tracked.record.cold_epoch += 1;
        }
        self.mark_changed(now, endpoint);
    }

    fn mark_changed(&mut self, now: TimePoint, endpoint: &EndpointId) {
        if let Some(tracked) = self.records.get_mut(endpoint) {
            tracked.changed_at = Some(now);
        }
    }

    /// Removes and returns the endpoints that have sent no announcement for
    /// [`RegistrySettings::remove_after`].
    pub fn remove_expired(&mut self, now: TimePoint) -> Vec<EndpointId> {
        let remove_after = self.settings.remove_after;
        let expired: Vec<EndpointId> = self
            .records
            .iter()
            .filter(|(_, tracked)| now.since(tracked.announced_at) >= remove_after)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            if let Some(tracked) = self.records.remove(id) {
                pool_keys(&tracked.record.announcement)
                    .for_each(|key| self.remove_from_pool(&key, id));
            }
        }
        expired
    }

    /// The record of `endpoint`.
    pub fn get(&self, endpoint: &EndpointId) -> Option<&EndpointRecord> {
        self.records.get(endpoint).map(|tracked| &tracked.record)
    }

    /// The record of `endpoint`, if the endpoint has announced itself within
    /// [`RegistrySettings::suspect_after`] and is not shutting down.
    pub fn available(&self, now: TimePoint, endpoint: &EndpointId) -> Option<&EndpointRecord> {
        self.records
            .get(endpoint)
            .filter(|tracked| now.since(tracked.announced_at) < self.settings.suspect_after)
            .map(|tracked| &tracked.record)
            .filter(|record| !record.announcement.is_leaving)
    }

    /// All members of a pool, available or not.
    pub fn pool(&self, key: &PoolKey) -> &[EndpointId] {
        self.pools.get(key).map_or(&[], Vec::as_slice)
    }

    /// Available members of a pool.
    pub fn available_in<'a>(
        &'a self,
        now: TimePoint,
        key: &PoolKey,
    ) -> impl Iterator<Item = &'a EndpointRecord> {
        self.pool(key)
            .iter()
            .filter_map(move |id| self.available(now, id))
    }

    /// All records with the age of their announcements, for the exchange between entries.
    pub fn all(&self, now: TimePoint) -> impl Iterator<Item = (&EndpointRecord, Duration)> {
        self.records
            .values()
            .map(move |tracked| (&tracked.record, now.since(tracked.announced_at)))
    }

    /// Records in which this entry itself observed a change after `since`, with the age of their
    /// announcements. Changes received from other entries are not included.
    pub fn changed_since(
        &self,
        now: TimePoint,
        since: TimePoint,
    ) -> impl Iterator<Item = (&EndpointRecord, Duration)> {
        self.records
            .values()
            .filter(move |tracked| tracked.changed_at.is_some_and(|at| at > since))
            .map(move |tracked| (&tracked.record, now.since(tracked.announced_at)))
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
