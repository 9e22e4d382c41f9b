//! Slot credits: a concurrency limit for a cold endpoint that holds across all entries.
//!
//! Rendezvous hashing assigns each endpoint an owner among the live entries. The owner grants slots
//! for a short time, and an entry sends a cold endpoint only as many requests as it holds slots
//! for. A new owner grants no slots until every slot that a previous owner may have granted has
//! expired.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::ramp::{RampSettings, WarmupRamp};
use crate::ids::EntryId;
use crate::time::TimePoint;

/// How long to wait for the answer to a report before sending another one.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of slots that one report requests on account of refused requests.
const MAX_SLOTS_FOR_REFUSED: u32 = 16;

/// Timing and growth of slot credits.
#[derive(Clone, Debug, PartialEq)]
pub struct CreditSettings {
    /// How long a granted slot may be used to start a request, counted from the entry's report.
    pub duration: Duration,
    /// Longest time that a request runs on a cold endpoint.
    pub max_request_duration: Duration,
    /// How long a previous owner may continue to grant slots: the duration of an entry's lease,
    /// with clock skew.
    pub owner_overlap: Duration,
    /// How the limit grows.
    pub ramp: RampSettings,
}

impl Default for CreditSettings {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(1),
            max_request_duration: Duration::from_mins(1),
            owner_overlap: Duration::from_millis(2_600),
            ramp: RampSettings::default(),
        }
    }
}

impl CreditSettings {
    /// When an entry that owns an endpoint since `owned_since` may grant its first slots.
    pub fn first_grant_at(&self, owned_since: TimePoint) -> TimePoint {
        owned_since + self.owner_overlap + self.duration
    }
}

/// Report of an entry to the endpoint's owner, which is also its request for slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditReport {
    /// Number that increases with each report; the owner ignores reports that are older than the
    /// newest one it has seen.
    pub number: u64,
    /// Total number of slots requested, including those in use.
    pub wanted: u32,
    /// Slots in use.
    pub in_use: u32,
    /// Answers since the last report whose first token came in time.
    pub healthy: u32,
    /// Slow or failed answers since the last report.
    pub slow: u32,
    /// Whether the entry knows that the endpoint is warm in this incarnation and cold epoch.
    pub is_known_warm: bool,
}

/// The owner's answer to a [`CreditReport`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditGrant {
    /// Total number of slots granted, including those in use.
    pub slots: u32,
    /// Validity in microseconds, counted from when the entry made its report.
    pub duration_us: u64,
    /// Whether the endpoint is warm, so that no slots are needed.
    pub is_warm: bool,
}

#[derive(Clone, Copy, Debug)]
struct GrantedSlots {
    slots: u32,
    in_use: u32,
    granted_at: TimePoint,
    report_number: u64,
}

impl GrantedSlots {
    /// Slots that count against the limit. The owner does not learn of each request that starts,
    /// so every granted slot counts as used until the grant has expired and the longest request
    /// that may have started under it has ended.
    fn reserved(&self, now: TimePoint, settings: &CreditSettings) -> u32 {
        let age = now.since(self.granted_at);
        if age < settings.duration + settings.max_request_duration {
            self.slots.max(self.in_use)
        } else {
            0
        }
    }
}

/// Allocates the slots of one cold endpoint; held by the endpoint's owner.
#[derive(Clone, Debug)]
pub struct CreditAllocator {
    settings: CreditSettings,
    /// Incarnation and cold epoch of the endpoint.
    epoch: (u64, u64),
    ramp: WarmupRamp,
    granted: BTreeMap<EntryId, GrantedSlots>,
    first_grant_at: TimePoint,
}

impl CreditAllocator {
    /// Creates the allocator of an endpoint in `epoch` (incarnation and cold epoch).
    ///
    /// `first_grant_at` is when every slot that a previous owner may have granted has expired; see
    /// [`CreditSettings::first_grant_at`].
    pub fn new(
        settings: &CreditSettings,
        epoch: (u64, u64),
        full_slots: u32,
        first_grant_at: TimePoint,
    ) -> Self {
        Self {
            settings: settings.clone(),
            epoch,
            ramp: WarmupRamp::cold(&settings.ramp, full_slots),
            granted: BTreeMap::new(),
            first_grant_at,
        }
    }

    /// Incarnation and cold epoch of the endpoint that the grants are for.
    pub fn epoch(&self) -> (u64, u64) {
        self.epoch
    }

    /// Restarts the ramp because the endpoint turned cold again. Granted slots stay reserved.
    pub fn restart_ramp(&mut self, epoch: (u64, u64), full_slots: u32) {
        self.epoch = epoch;
        self.ramp = WarmupRamp::cold(&self.settings.ramp, full_slots);
    }

    /// Number of concurrent requests that the endpoint may receive now.
    pub fn limit(&self) -> u32 {
        self.ramp.limit()
    }

    /// Whether the endpoint is warm, so that no slots are needed.
    pub fn is_warm(&self) -> bool {
        self.ramp.is_warm()
    }

    /// Upper bound on the slots that all entries together have in use.
    pub fn reserved_slots(&self, now: TimePoint) -> u32 {
        self.granted
            .values()
            .map(|granted| granted.reserved(now, &self.settings))
            .sum()
    }

    /// Answers the report of `entry`. `reported_running` is the number of requests that the
    /// endpoint itself reports as running.
    ///
    /// A report that is older than the newest one from `entry` is granted nothing.
    pub fn grant(
        &mut self,
        now: TimePoint,
        entry: &EntryId,
        report: CreditReport,
        reported_running: u32,
    ) -> CreditGrant {
        let newest = self
            .granted
            .get(entry)
            .map_or(0, |granted| granted.report_number);
        if report.number < newest {
            return CreditGrant::default();
        }
        if report.is_known_warm {
            self.ramp = WarmupRamp::warm(&self.settings.ramp, self.ramp.limit());
        }
        self.ramp.observe(report.healthy, report.slow);
        if self.ramp.is_warm() {
            return CreditGrant {
                slots: 0,
                duration_us: 0,
                is_warm: true,
            };
        }
        let slots = self.slots_for(now, entry, report, reported_running);
        let granted = GrantedSlots {
            slots,
            in_use: report.in_use,
            granted_at: now,
            report_number: report.number,
        };
        self.granted.insert(entry.clone(), granted);
        CreditGrant {
            slots,
            duration_us: u64::try_from(self.settings.duration.as_micros()).unwrap_or(0),
            is_warm: false,
        }
    }

    fn slots_for(
        &self,
        now: TimePoint,
        entry: &EntryId,
        report: CreditReport,
        reported_running: u32,
    ) -> u32 {
        if now < self.first_grant_at {
            return report.in_use;
        }
        let reserved_by_others: u32 = self
            .granted
            .iter()
            .filter(|(id, _)| *id != entry)
            .map(|(_, granted)| granted.reserved(now, &self.settings))
            .sum();
        let accounted = reserved_by_others + report.in_use;
        // Requests on the endpoint that no grant of this owner covers, such as those that entries
        // started under grants of a previous owner.
        let unaccounted = reported_running.saturating_sub(accounted);
        let free = self.limit().saturating_sub(accounted + unaccounted);
        let entries = u32::try_from(self.granted.len().max(1)).unwrap_or(1);
        let fair_share = (self.limit() / entries).max(1);
        let extra = report.wanted.saturating_sub(report.in_use).min(free);
        report.in_use + extra.min(fair_share)
    }
}

/// The slots that an entry holds for one cold endpoint, and what it has to report to the owner.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CreditHolder {
    slots: u32,
    in_use: u32,
    valid_until: TimePoint,
    healthy: u32,
    slow: u32,
    refused: u32,
    is_warm: bool,
    /// Incarnation and cold epoch of the endpoint.
    epoch: (u64, u64),
    reported_at: TimePoint,
    is_report_pending: bool,
}

impl CreditHolder {
    /// Creates a holder without slots for an endpoint in `epoch` (incarnation and cold epoch).
    pub fn new(epoch: (u64, u64)) -> Self {
        Self {
            epoch,
            ..Self::default()
        }
    }

    /// Moves to `epoch` if it is newer, and discards the slots and observations of the old one.
    ///
    /// Requests in flight stay counted unless the endpoint has restarted.
    pub fn advance_to(&mut self, epoch: (u64, u64)) {
        if epoch > self.epoch {
            let in_use = if epoch.0 == self.epoch.0 {
                self.in_use
            } else {
                0
            };
            *self = Self {
                in_use,
                ..Self::new(epoch)
            };
        }
    }

    /// Incarnation and cold epoch of the endpoint that the slots are for.
    pub fn epoch(&self) -> (u64, u64) {
        self.epoch
    }

    /// Whether the endpoint is warm, so that no slots are needed.
    pub fn is_warm(&self) -> bool {
        self.is_warm
    }

    /// Whether a request may start now.
    pub fn has_free_slot(&self, now: TimePoint) -> bool {
        self.is_warm || (now < self.valid_until && self.in_use < self.slots)
    }

    /// Acquires a slot for a request. Returns whether the request may start.
    pub fn acquire(&mut self, now: TimePoint) -> bool {
        let has_free_slot = self.has_free_slot(now);
        if has_free_slot {
            self.in_use += 1;
        } else {
            self.refused = self.refused.saturating_add(1);
        }
        has_free_slot
    }

    /// Records that a request could not start because no slot was free.
    pub fn record_refused(&mut self) {
        self.refused = self.refused.saturating_add(1);
    }

    /// Releases the slot of a request that has ended. `epoch` is the one that it started in;
    /// requests that started before the endpoint restarted are ignored.
    pub fn release(&mut self, epoch: (u64, u64), is_healthy: bool) {
        if epoch.0 != self.epoch.0 {
            return;
        }
        self.in_use = self.in_use.saturating_sub(1);
        if is_healthy {
            self.healthy += 1;
        } else {
            self.slow += 1;
        }
    }

    /// Whether a report to the owner is due: to request slots, to pass on observations or to
    /// return slots.
    ///
    /// No report is due while another one is pending. Only the answer to the newest report is
    /// accepted, so if reports were sent faster than answers arrive, the entry would never get
    /// slots.
    pub fn needs_report(&self, now: TimePoint) -> bool {
        let is_pending = self.is_report_pending && now.since(self.reported_at) < REPORT_TIMEOUT;
        let has_observations = self.healthy + self.slow + self.refused > 0;
        let has_expired_slots = self.slots > 0 && now >= self.valid_until;
        !self.is_warm && !is_pending && (has_observations || self.in_use > 0 || has_expired_slots)
    }

    /// Creates a report for the owner and resets the observations that it carries.
    ///
    /// No further slot can be acquired until the answer arrives, because the owner relies on the
    /// reported number of slots in use.
    pub fn report(&mut self, reported_at: TimePoint) -> CreditReport {
        let report = CreditReport {
            number: reported_at.as_micros(),
            wanted: self.wanted(),
            in_use: self.in_use,
            healthy: self.healthy,
            slow: self.slow,
            is_known_warm: self.is_warm,
        };
        self.healthy = 0;
        self.slow = 0;
        self.refused = 0;
        self.slots = self.in_use;
        self.reported_at = reported_at;
        self.is_report_pending = true;
        report
    }

    /// Slots to request: those in use, one for each refused request, and spare ones while the
    /// endpoint is in use.
    fn wanted(&self) -> u32 {
        let spare = if self.in_use + self.healthy > 0 {
            self.in_use / 2 + 2
        } else {
            0
        };
        self.in_use + spare + self.refused.min(MAX_SLOTS_FOR_REFUSED)
    }

    /// Applies the answer to the report made at `reported_at` on the entry's clock. Answers to
    /// older reports, or for another epoch, are ignored.
    pub fn apply_grant(&mut self, reported_at: TimePoint, epoch: (u64, u64), grant: CreditGrant) {
        if epoch != self.epoch || reported_at != self.reported_at {
            return;
        }
        self.is_report_pending = false;
        self.is_warm = grant.is_warm;
        self.slots = grant.slots;
        self.valid_until = reported_at + Duration::from_micros(grant.duration_us);
    }
}
