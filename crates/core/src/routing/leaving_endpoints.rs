//! Endpoints that have said in an answer that they leave, as entries tell each other.
//!
//! Answers loads in which an endpoint is stopped while many entries call it: the entries that it has
//! not answered since spare it as well, before its announcement has reached them.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::TimePoint;

use super::load_aggregation::{EndpointHash, endpoint_hash};

/// Time for which a statement is passed on. By then the endpoint's own announcement has arrived.
const MAX_STATEMENT_AGE: Duration = Duration::from_secs(10);
/// Time for which a statement is remembered, for endpoints that are silent and come back.
const MEMORY_TIME: Duration = Duration::from_mins(10);

/// A process of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndpointProcess {
    /// The endpoint.
    pub endpoint: EndpointHash,
    /// Start time of the process in Unix milliseconds, by its own clock.
    pub born_ms: u64,
}

impl EndpointProcess {
    /// The process of endpoint `id` that started at `born_ms`.
    pub fn new(id: &str, born_ms: u64) -> Self {
        Self {
            endpoint: endpoint_hash(id),
            born_ms,
        }
    }
}

/// Statement that a process leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingStatement {
    /// The process.
    pub process: EndpointProcess,
    /// Time since its answer, in milliseconds.
    pub age_ms: u64,
}

/// Processes that have said that they leave.
#[derive(Clone, Debug, Default)]
pub struct LeavingEndpoints {
    heard: HashMap<EndpointProcess, TimePoint>,
}

impl LeavingEndpoints {
    /// Records that `process` has said at `at` that it leaves. Returns whether that is news.
    pub fn hear(&mut self, at: TimePoint, process: EndpointProcess) -> bool {
        self.heard.insert(process, at).is_none()
    }

    /// Adds the statements of other entries and returns the processes that are news.
    pub fn merge(
        &mut self,
        now: TimePoint,
        statements: &[LeavingStatement],
    ) -> Vec<EndpointProcess> {
        let mut news = Vec::new();
        for statement in statements {
            let age = Duration::from_millis(statement.age_ms);
            if age < MAX_STATEMENT_AGE && !self.contains(statement.process) {
                self.heard.insert(statement.process, now - age);
                news.push(statement.process);
            }
        }
        news
    }

    /// Whether `process` has said that it leaves, as far as that is remembered.
    pub fn contains(&self, process: EndpointProcess) -> bool {
        self.heard.contains_key(&process)
    }

    /// All statements that are still passed on. Forgets those past [`MEMORY_TIME`].
    pub fn statements(&mut self, now: TimePoint) -> Vec<LeavingStatement> {
        self.heard.retain(|_, at| now.since(*at) < MEMORY_TIME);
        let recent = self.heard.iter();
        let recent = recent.filter(|(_, at)| now.since(**at) < MAX_STATEMENT_AGE);
        let statement = |(process, at): (&EndpointProcess, &TimePoint)| LeavingStatement {
            process: *process,
            age_ms: now.millis_since(*at),
        };
        recent.map(statement).collect()
    }
}
