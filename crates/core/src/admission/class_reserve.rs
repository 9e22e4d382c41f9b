//! Places that are kept for more urgent classes, also known as trunk reservation.
//!
//! Addresses loads in which calls to larger models fill every endpoint for seconds: calls to the
//! smallest model would wait for one of them to end, and so would the more urgent ones.

use serde::{Deserialize, Serialize};

use super::queued_call::PriorityClass;

/// Position of a class among the classes of its service: 0 for the most urgent, 1 for the least.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct ClassRank(f64);

impl ClassRank {
    /// Rank of the most urgent class.
    pub const MOST_URGENT: Self = Self(0.0);
    /// Rank between the most and the least urgent class.
    pub const MIDDLE: Self = Self(0.5);
    /// Rank of the least urgent class.
    pub const LEAST_URGENT: Self = Self(1.0);

    /// Linear interpolation from `most_urgent` to `least_urgent`.
    pub fn interpolate(self, most_urgent: f64, least_urgent: f64) -> f64 {
        most_urgent + (least_urgent - most_urgent) * self.0
    }
}

/// How far a call may fill endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CapacityLimits {
    /// As far as its class may.
    OfClass(ClassRank),
    /// As far as endpoints take calls: it would be refused otherwise.
    LastResort,
}

/// Classes of the calls of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceClasses {
    /// One for each workspace and each priority of a route, in order.
    classes: Vec<PriorityClass>,
}

impl ServiceClasses {
    /// The classes of calls from workspaces with the priorities `workspaces`, one for each workspace,
    /// on routes with the priorities `routes`.
    pub fn new(workspaces: &[u32], routes: &[u32]) -> Self {
        let mut routes = routes.to_vec();
        routes.sort_unstable();
        routes.dedup();
        let class = |workspace: u32| {
            move |route: &u32| PriorityClass {
                workspace,
                route: *route,
            }
        };
        let mut classes: Vec<PriorityClass> = workspaces
            .iter()
            .flat_map(|workspace| routes.iter().map(class(*workspace)))
            .collect();
        classes.sort_unstable();
        Self { classes }
    }

    /// Rank of `class`, by the share of the classes that are more urgent. Each workspace counts, so
    /// that a single one with precedence hardly changes the rank of the others.
    pub fn rank(&self, class: PriorityClass) -> ClassRank {
        let more_urgent = |class: PriorityClass| {
            let count = self.classes.partition_point(|other| *other < class);
            count as f64
        };
        let last = self.classes.last().copied().map_or(0.0, more_urgent);
        if last < 1.0 {
            return ClassRank::MOST_URGENT;
        }
        ClassRank((more_urgent(class) / last).min(1.0))
    }
}

/// Which part of an endpoint's places calls to larger models may use, by class.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClassReserve {
    /// Calls that may wait at an endpoint beyond those that run, as a share of its slots, so that a
    /// freed slot is not idle until the next call arrives. Calls that wait there are out of reach
    /// of the order in which entries admit calls.
    pub waiting_share: f64,
    /// Share of the slots that calls of the most urgent class to larger models may take. They run for
    /// seconds and those of the smallest model for tens of milliseconds, which would wait for them.
    pub large_share: f64,
    /// The same for the least urgent class.
    pub least_large_share: f64,
}

impl Default for ClassReserve {
    fn default() -> Self {
        Self {
            waiting_share: 0.125,
            large_share: 0.75,
            least_large_share: 0.5,
        }
    }
}

impl ClassReserve {
    /// Calls that an endpoint with `slots` may hold.
    pub fn places(&self, slots: f64) -> f64 {
        (slots * (1.0 + self.waiting_share)).ceil()
    }

    /// Calls to larger models among them, for one more of `rank`.
    pub fn large_places(&self, slots: f64, rank: ClassRank) -> f64 {
        let share = rank.interpolate(self.large_share, self.least_large_share);
        (slots * share).ceil().max(1.0)
    }
}
