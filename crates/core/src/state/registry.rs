//! Endpoints, as they announce themselves.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{DomainId, EndpointId, ServiceId, VersionId};
use crate::time::TimePoint;

/// What an endpoint says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointAnnouncement {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its life: larger with each restart.
    pub incarnation: u64,
    /// Number of the announcement within that life.
    pub sequence: u64,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Failure domain that it stands in.
    pub domain: DomainId,
    /// `IP:port` of its HTTP server.
    pub address: String,
    /// Versions that it has loaded.
    pub versions: BTreeSet<VersionId>,
    /// Requests that it serves at once when warm.
    pub slots: u32,
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// Its load, as of a while ago.
    pub load: EndpointLoad,
}

/// Load of an endpoint, as it reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Share of the KV cache in use, 0 to 1.
    pub cache_used: f64,
    /// Whether it says that it is cold.
    pub is_cold: bool,
}

/// An endpoint as this entry knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Newest announcement.
    pub announcement: EndpointAnnouncement,
    /// Number of times that it was found cold in this life.
    pub cold_epoch: u64,
}

/// What became of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The endpoint was not known.
    Added,
    /// The endpoint was known in an earlier life.
    Restarted,
    /// The record is newer now.
    Updated,
    /// The announcement was old or a repeat; nothing changed.
    Stale,
}

/// Timing of the registry.
#[derive(Clone, Debug, PartialEq)]
pub struct RegistrySettings {
    /// Silence after which an endpoint receives no new work.
    pub suspect_after: Duration,
    /// Silence after which an endpoint is forgotten.
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
    heard_at: TimePoint,
    /// When something was learnt here that other entries do not know.
    news_at: Option<TimePoint>,
}

/// All endpoints known here.
#[derive(Clone, Debug, Default)]
pub struct EndpointRegistry {
    settings: RegistrySettings,
    records: HashMap<EndpointId, TrackedRecord>,
    pools: HashMap<PoolKey, Vec<EndpointId>>,
}

/// A set of endpoints that can serve the same request.
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
    /// An empty registry.
    pub fn new(settings: RegistrySettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Takes an announcement that came from the endpoint itself.
    pub fn announce(&mut self, now: TimePoint, announcement: EndpointAnnouncement) -> MergeOutcome {
        let known = self.records.get(&announcement.endpoint);
        let cold_epoch = known
            .filter(|heard| heard.record.announcement.incarnation == announcement.incarnation)
            .map_or(0, |heard| heard.record.cold_epoch);
        let record = EndpointRecord {
            announcement,
            cold_epoch,
        };
        let id = record.announcement.endpoint.clone();
        let outcome = self.merge(now, record, Duration::ZERO);
        if outcome != MergeOutcome::Stale {
            self.note_news(now, &id);
        }
        outcome
    }

    /// Takes a record that another entry heard `age` ago. Announcements are ordered by life and
    /// sequence, and the cold epoch only grows within a life, so late and repeated records do no
    /// harm.
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
            self.put(now, record, age);
            return MergeOutcome::Added;
        };
        let was = &known.record.announcement;
        let is = &record.announcement;
        if is.incarnation > was.incarnation {
            self.put(now, record, age);
            return MergeOutcome::Restarted;
        }
        if is.incarnation < was.incarnation {
            return MergeOutcome::Stale;
        }
        if is.sequence > was.sequence {
            record.cold_epoch = record.cold_epoch.max(known.record.cold_epoch);
            self.put(now, record, age);
            return MergeOutcome::Updated;
        }
        if record.cold_epoch > known.record.cold_epoch {
            known.record.cold_epoch = record.cold_epoch;
            return MergeOutcome::Updated;
        }
        MergeOutcome::Stale
    }

    fn put(&mut self, now: TimePoint, record: EndpointRecord, age: Duration) {
        self.index(&record);
        let id = record.announcement.endpoint.clone();
        let heard = TrackedRecord {
            record,
            heard_at: now - age,
            news_at: None,
        };
        self.records.insert(id, heard);
    }

    fn index(&mut self, record: &EndpointRecord) {
        let id = &record.announcement.endpoint;
        let new_keys: Vec<PoolKey> = pool_keys(&record.announcement).collect();
        let old_keys: Vec<PoolKey> = match self.records.get(id) {
            Some(known) => pool_keys(&known.record.announcement).collect(),
            None => Vec::new(),
        };
        for key in old_keys.iter().filter(|key| !new_keys.contains(key)) {
            self.leave_pool(key, id);
        }
        for key in new_keys.into_iter().filter(|key| !old_keys.contains(key)) {
            self.pools.entry(key).or_default().push(id.clone());
        }
    }

    fn leave_pool(&mut self, key: &PoolKey, endpoint: &EndpointId) {
        if let Some(members) = self.pools.get_mut(key) {
            members.retain(|member| member != endpoint);
        }
    }

    /// Notes that `endpoint` has turned cold within its life.
    pub fn mark_cold(&mut self, now: TimePoint, endpoint: &EndpointId) {
        if let Some(heard) = self.records.get_mut(endpoint) {
            heard.record.cold_epoch += 1;
        }
        self.note_news(now, endpoint);
    }

    fn note_news(&mut self, now: TimePoint, endpoint: &EndpointId) {
        if let Some(heard) = self.records.get_mut(endpoint) {
            heard.news_at = Some(now);
        }
    }

    /// Forgets endpoints that have been silent for long. Returns them.
    pub fn remove_expired(&mut self, now: TimePoint) -> Vec<EndpointId> {
        let limit = self.settings.remove_after;
        let gone: Vec<EndpointId> = self
            .records
            .iter()
            .filter(|(_, heard)| now.since(heard.heard_at) >= limit)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            if let Some(heard) = self.records.remove(id) {
                pool_keys(&heard.record.announcement).for_each(|key| self.leave_pool(&key, id));
            }
        }
        gone
    }

    /// The record of `endpoint`.
    pub fn get(&self, endpoint: &EndpointId) -> Option<&EndpointRecord> {
        self.records.get(endpoint).map(|heard| &heard.record)
    }

    /// The record of `endpoint`, where it was heard lately and is not leaving.
    pub fn available(&self, now: TimePoint, endpoint: &EndpointId) -> Option<&EndpointRecord> {
        self.records
            .get(endpoint)
            .filter(|heard| now.since(heard.heard_at) < self.settings.suspect_after)
            .map(|heard| &heard.record)
            .filter(|record| !record.announcement.is_leaving)
    }

    /// Members of a pool, available or not.
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

    /// All records with the time since they were heard, for the exchange between entries.
    pub fn all(&self, now: TimePoint) -> impl Iterator<Item = (&EndpointRecord, Duration)> {
        self.records
            .values()
            .map(move |heard| (&heard.record, now.since(heard.heard_at)))
    }

    /// Records with something that was learnt here after `since`, with the time since the
    /// endpoint was heard.
    pub fn changed_since(
        &self,
        now: TimePoint,
        since: TimePoint,
    ) -> impl Iterator<Item = (&EndpointRecord, Duration)> {
        self.records
            .values()
            .filter(move |heard| heard.news_at.is_some_and(|at| at > since))
            .map(move |heard| (&heard.record, now.since(heard.heard_at)))
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
