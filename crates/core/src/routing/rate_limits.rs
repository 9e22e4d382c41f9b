//! Call rates that endpoints name with their answers, for all entries together.
//!
//! Answers loads in which an endpoint in need is called by many entries: an entry that has not heard
//! of a limit learns of it from the others, and each one applies its share of it.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::TimePoint;

use super::load_aggregation::EndpointHash;

/// Age at which a statement is dropped.
const MAX_STATEMENT_AGE: Duration = Duration::from_mins(5);

/// What an endpoint said last about its limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitStatement {
    /// The endpoint.
    pub endpoint: EndpointHash,
    /// Calls per second that it takes; `None` for no limit.
    pub per_s: Option<f64>,
    /// Time since the answer with the statement, in milliseconds.
    pub age_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct HeardLimit {
    per_s: Option<f64>,
    at: TimePoint,
}

/// Latest statement of each endpoint that has named a limit.
#[derive(Clone, Debug, Default)]
pub struct StatedLimits {
    heard: HashMap<EndpointHash, HeardLimit>,
}

impl StatedLimits {
    /// Records what an answer said about the limit of its endpoint, to a call that was sent at
    /// `sent_at`. Returns whether the limit has changed.
    ///
    /// An answer without a limit ends a limit only if its call was sent after the limit was named:
    /// answers overtake each other.
    pub fn hear(
        &mut self,
        now: TimePoint,
        endpoint: EndpointHash,
        sent_at: TimePoint,
        per_s: Option<f64>,
    ) -> bool {
        let known = self.heard.get(&endpoint).copied();
        let is_outdated = known.is_none_or(|known| known.at >= sent_at);
        if per_s.is_none() && is_outdated {
            return false;
        }
        self.heard.insert(endpoint, HeardLimit { per_s, at: now });
        known.and_then(|known| known.per_s) != per_s
    }

    /// Adds the statements that other entries have heard; the newest of each endpoint counts.
    pub fn merge(&mut self, now: TimePoint, statements: &[LimitStatement]) {
        for statement in statements {
            let at = now - Duration::from_millis(statement.age_ms);
            let known = self.heard.get(&statement.endpoint);
            if known.is_none_or(|known| known.at < at) {
                let per_s = statement.per_s;
                self.heard
                    .insert(statement.endpoint, HeardLimit { per_s, at });
            }
        }
    }

    /// All statements that are not too old.
    pub fn statements(&mut self, now: TimePoint) -> Vec<LimitStatement> {
        self.heard
            .retain(|_, heard| now.since(heard.at) < MAX_STATEMENT_AGE);
        let statement = |(endpoint, heard): (&EndpointHash, &HeardLimit)| LimitStatement {
            endpoint: *endpoint,
            per_s: heard.per_s,
            age_ms: now.millis_since(heard.at),
        };
        self.heard.iter().map(statement).collect()
    }

    /// Number of endpoints with a limit.
    pub fn count(&self) -> usize {
        self.heard
            .values()
            .filter(|heard| heard.per_s.is_some())
            .count()
    }

    /// Calls per second that the endpoint takes from all entries; `None` for no limit.
    pub fn per_s(&self, endpoint: EndpointHash) -> Option<f64> {
        self.heard.get(&endpoint)?.per_s
    }
}
