//! Slot credits: one limit for a cold endpoint over all entries.
//!
//! Each endpoint has one owner among the live entries, by rendezvous hashing. The owner lends
//! slots for a short time; an entry sends a cold endpoint only what it holds slots for. A new
//! owner lends nothing until every slot that an earlier owner may have lent has ended.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::ramp::{RampSettings, WarmupRamp};
use crate::ids::EntryId;
use crate::time::TimePoint;

/// How long the answer to a report is awaited before another report is made.
const ANSWER_PATIENCE: Duration = Duration::from_millis(400);
/// Slots that one report asks for at most beyond those in use.
const MAX_DEMAND: u32 = 16;

/// Timing of slot credits.
#[derive(Clone, Debug, PartialEq)]
pub struct CreditSettings {
    /// How long a slot may start work after it was lent.
    pub duration: Duration,
    /// How long a request on a cold endpoint runs at most.
    pub max_request_duration: Duration,
    /// How long an earlier owner may have gone on lending: the lease of an entry.
    pub owner_overlap: Duration,
    /// Growth of the limit.
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
    /// When an owner may lend that came to own an endpoint at `owned_since`.
    pub fn first_grant_at(&self, owned_since: TimePoint) -> TimePoint {
        owned_since + self.owner_overlap + self.duration
    }
}

/// What an entry tells the owner when it asks for slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditReport {
    /// Number of the report within the entry's life; an owner takes no older one after it.
    pub number: u64,
    /// Slots wanted in all, those in use among them.
    pub wanted: u32,
    /// Slots in use.
    pub in_use: u32,
    /// Answers in time since the last report.
    pub healthy: u32,
    /// Slow or refused answers since the last report.
    pub slow: u32,
    /// Whether the entry knows the endpoint to be warm in this life and cold epoch.
    pub is_known_warm: bool,
}

/// Answer of the owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditGrant {
    /// Slots lent in all, those in use among them.
    pub slots: u32,
    /// Validity from when the entry asked, in microseconds.
    pub duration_us: u64,
    /// Whether the endpoint is warm: no credits are needed.
    pub is_warm: bool,
}

#[derive(Clone, Copy, Debug)]
struct GrantedSlots {
    slots: u32,
    in_use: u32,
    lent_at: TimePoint,
    number: u64,
}

impl GrantedSlots {
    /// Slots that must still be counted: all until the credit ends, then those in use until
    /// the longest request ends. Unreported starts within the validity count as in use.
    fn counted(&self, now: TimePoint, settings: &CreditSettings) -> u32 {
        let age = now.since(self.lent_at);
        if age < settings.duration + settings.max_request_duration {
            self.slots.max(self.in_use)
        } else {
            0
        }
    }
}

/// The owner's books for one endpoint in one life and cold epoch.
#[derive(Clone, Debug)]
pub struct CreditAllocator {
    settings: CreditSettings,
    life: (u64, u64),
    ramp: WarmupRamp,
    lent: BTreeMap<EntryId, GrantedSlots>,
    lends_from: TimePoint,
}

impl CreditAllocator {
    /// Books of an endpoint in `life` (incarnation and cold epoch). `lends_from` is when every
    /// slot has ended that an earlier owner may have lent; see [`CreditSettings::lends_from`].
    pub fn new(
        settings: &CreditSettings,
        life: (u64, u64),
        full_slots: u32,
        lends_from: TimePoint,
    ) -> Self {
        Self {
            settings: settings.clone(),
            life,
            ramp: WarmupRamp::cold(&settings.ramp, full_slots),
            lent: BTreeMap::new(),
            lends_from,
        }
    }

    /// Life that the books are for.
    pub fn epoch(&self) -> (u64, u64) {
        self.life
    }

    /// The endpoint turned cold again: the ramp starts anew and slots in use stay counted.
    pub fn restart_ramp(&mut self, life: (u64, u64), full_slots: u32) {
        self.life = life;
        self.ramp = WarmupRamp::cold(&self.settings.ramp, full_slots);
    }

    /// Requests that the endpoint bears now.
    pub fn limit(&self) -> u32 {
        self.ramp.limit()
    }

    /// Whether the endpoint is warm.
    pub fn is_warm(&self) -> bool {
        self.ramp.is_warm()
    }

    /// Slots that all entries together may have in use.
    pub fn reserved_slots(&self, now: TimePoint) -> u32 {
        self.lent
            .values()
            .map(|lent| lent.counted(now, &self.settings))
            .sum()
    }

    /// Lends slots to `entry`. `busy` is what the endpoint itself reports as running.
    pub fn grant(
        &mut self,
        now: TimePoint,
        entry: &EntryId,
        report: CreditReport,
        busy: u32,
    ) -> CreditGrant {
        let newest = self.lent.get(entry).map_or(0, |lent| lent.number);
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
        let slots = self.slots_for(now, entry, report, busy);
        let lent = GrantedSlots {
            slots,
            in_use: report.in_use,
            lent_at: now,
            number: report.number,
        };
        self.lent.insert(entry.clone(), lent);
        CreditGrant {
            slots,
            duration_us: u64::try_from(self.settings.duration.as_micros()).unwrap_or(0),
            is_warm: false,
        }
    }

    fn slots_for(&self, now: TimePoint, entry: &EntryId, report: CreditReport, busy: u32) -> u32 {
        if now < self.lends_from {
            return report.in_use;
        }
        let others: u32 = self
            .lent
            .iter()
            .filter(|(id, _)| *id != entry)
            .map(|(_, lent)| lent.counted(now, &self.settings))
            .sum();
        // What runs on the endpoint beyond all books, such as work of a past owner's entries.
        let booked = others + report.in_use;
        let unbooked = busy.saturating_sub(booked);
        let free = self.limit().saturating_sub(booked + unbooked);
        let claimants = u32::try_from(self.lent.len().max(1)).unwrap_or(1);
        let fair = (self.limit() / claimants).max(1);
        let extra = report.wanted.saturating_sub(report.in_use).min(free);
        report.in_use + extra.min(fair)
    }
}

/// An entry's slots for one cold endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CreditHolder {
    slots: u32,
    in_use: u32,
    until: TimePoint,
    healthy: u32,
    slow: u32,
    refused: u32,
    is_warm: bool,
    life: (u64, u64),
    asked_at: TimePoint,
    is_awaiting: bool,
}

impl CreditHolder {
    /// An empty wallet for an endpoint in `life`.
    pub fn new(life: (u64, u64)) -> Self {
        Self {
            life,
            ..Self::default()
        }
    }

    /// Follows the endpoint into `life`. What is known of an earlier life does not hold.
    pub fn advance_to(&mut self, life: (u64, u64)) {
        if life > self.life {
            let in_use = if life.0 == self.life.0 {
                self.in_use
            } else {
                0
            };
            *self = Self {
                in_use,
                ..Self::new(life)
            };
        }
    }

    /// Life that the wallet is for.
    pub fn epoch(&self) -> (u64, u64) {
        self.life
    }

    /// Whether the endpoint is warm: no slots are needed.
    pub fn is_warm(&self) -> bool {
        self.is_warm
    }

    /// Whether a request could start now.
    pub fn has_free_slot(&self, now: TimePoint) -> bool {
        self.is_warm || (now < self.until && self.in_use < self.slots)
    }

    /// Takes a slot for a request. Returns whether the request may start.
    pub fn acquire(&mut self, now: TimePoint) -> bool {
        let has_room = self.has_free_slot(now);
        if has_room {
            self.in_use += 1;
        } else {
            self.refused = self.refused.saturating_add(1);
        }
        has_room
    }

    /// Notes that a request was turned away for want of a slot.
    pub fn record_refused(&mut self) {
        self.refused = self.refused.saturating_add(1);
    }

    /// Gives a slot back when its request has ended, with what was seen.
    pub fn release(&mut self, life: (u64, u64), is_healthy: bool) {
        if life.0 != self.life.0 {
            return;
        }
        self.in_use = self.in_use.saturating_sub(1);
        if is_healthy {
            self.healthy += 1;
        } else {
            self.slow += 1;
        }
    }

    /// Whether the owner should be asked now: for slots, with evidence, or to give slots back.
    ///
    /// A report whose answer is still awaited is not followed by another: only the newest answer
    /// counts, so reports that overtake answers would leave the entry without slots for good.
    pub fn needs_report(&self, now: TimePoint) -> bool {
        let is_awaiting = self.is_awaiting && now.since(self.asked_at) < ANSWER_PATIENCE;
        let has_news = self.healthy + self.slow + self.refused > 0;
        !self.is_warm && !is_awaiting && (has_news || self.in_use > 0 || self.slots > 0)
    }

    /// The report for the owner; what it carries counts as told.
    ///
    /// No slot may be taken until the answer is here: the owner counts on what is reported.
    pub fn report(&mut self, asked_at: TimePoint) -> CreditReport {
        let report = CreditReport {
            number: asked_at.as_micros(),
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
        self.asked_at = asked_at;
        self.is_awaiting = true;
        report
    }

    /// Slots in use, those asked for in vain, and some to spare while there is use at all.
    fn wanted(&self) -> u32 {
        let spare = if self.in_use + self.healthy > 0 {
            self.in_use / 2 + 2
        } else {
            0
        };
        self.in_use + spare + self.refused.min(MAX_DEMAND)
    }

    /// Takes the grant for the report of `asked_at` on the entry's clock.
    pub fn apply_grant(&mut self, asked_at: TimePoint, life: (u64, u64), grant: CreditGrant) {
        if life != self.life || asked_at != self.asked_at {
            return;
        }
        self.is_awaiting = false;
        self.is_warm = grant.is_warm;
        self.slots = grant.slots;
        self.until = asked_at + Duration::from_micros(grant.duration_us);
    }
}
