//! How often an entry exchanges load with the others.
//!
//! Answers loads with hundreds of entries: an exchange costs CPU time and bytes between failure
//! domains. While endpoints are far from full, a call placed by older data still finds a free slot.

use std::time::Duration;

/// Limits on the age of the data that an entry decides by and reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExchangeInterval {
    /// Age up to which the other entries' load is used without a refresh.
    pub max_age: Duration,
    /// Time in which changes are collected before they are reported together.
    pub batch_window: Duration,
}

/// When an entry exchanges load.
#[derive(Clone, Debug, PartialEq)]
pub struct ExchangeIntervalSettings {
    /// Interval where endpoints are nearly full or calls wait, and where capacity is not managed. The
    /// age is a few round trips within a region.
    pub shortest: ExchangeInterval,
    /// Interval where endpoints are far from full.
    pub longest: ExchangeInterval,
    /// Share of the slots in use from which the shortest interval applies.
    pub busy_share: f64,
    /// Share of the slots in use up to which the longest interval applies. Half of `busy_share`: a
    /// burst of nine times the usual calls for the longest age does not fill the rest.
    pub idle_share: f64,
}

impl Default for ExchangeIntervalSettings {
    fn default() -> Self {
        Self {
            shortest: ExchangeInterval {
                max_age: Duration::from_millis(15),
                batch_window: Duration::from_millis(8),
            },
            longest: ExchangeInterval {
                max_age: Duration::from_millis(50),
                batch_window: Duration::from_millis(30),
            },
            busy_share: 0.7,
            idle_share: 0.35,
        }
    }
}

/// Load of the services whose capacity is managed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ManagedLoad {
    /// Calls of all entries as a share of the slots, at the fullest service.
    pub slot_share: f64,
    /// Whether calls wait for an endpoint at this entry.
    pub has_waiting: bool,
}

/// Interval of the exchange under `load`; `None` where no capacity is managed.
pub fn exchange_interval(
    settings: &ExchangeIntervalSettings,
    load: Option<ManagedLoad>,
) -> ExchangeInterval {
    let ExchangeIntervalSettings {
        shortest, longest, ..
    } = *settings;
    let Some(load) = load.filter(|load| !load.has_waiting) else {
        return shortest;
    };
    let range = settings.busy_share - settings.idle_share;
    let idle_part = ((settings.busy_share - load.slot_share) / range).clamp(0.0, 1.0);
    let between = |shortest: Duration, longest: Duration| {
        shortest + longest.saturating_sub(shortest).mul_f64(idle_part)
    };
    ExchangeInterval {
        max_age: between(shortest.max_age, longest.max_age),
        batch_window: between(shortest.batch_window, longest.batch_window),
    }
}
