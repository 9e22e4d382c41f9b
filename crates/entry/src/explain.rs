//! Recent routing decisions, for `chestnutloft explain`.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// Decisions kept in memory; the oldest is dropped first.
const MAX_DECISIONS: usize = 2_048;

/// How a request was routed, and why.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// Request id.
    pub request: String,
    /// Workspace.
    pub workspace: String,
    /// Request kind, from `x-kind`.
    pub kind: String,
    /// Session, if any.
    pub session: Option<String>,
    /// Plan revision by which the version was chosen; 0 if a cached session binding decided
    /// it, and for plain services.
    pub revision: u64,
    /// Routing arm, such as a single version or a cascade; method and path for plain services.
    pub arm: String,
    /// Why the arm was chosen.
    pub reason: String,
    /// Arms considered, each with its cost in millionths of the currency unit and its quality
    /// bounds.
    pub offers: Vec<String>,
    /// Attempts, each with its endpoint, expected milliseconds to the first token, and outcome.
    pub attempts: Vec<String>,
    /// Final outcome of the request.
    pub outcome: String,
}

/// Bounded log of recent decisions.
#[derive(Debug, Default)]
pub struct DecisionLog {
    records: Mutex<VecDeque<DecisionRecord>>,
}

impl DecisionLog {
    /// Adds a decision; drops the oldest one if the log is full.
    pub fn record(&self, record: DecisionRecord) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        if records.len() >= MAX_DECISIONS {
            records.pop_front();
        }
        records.push_back(record);
    }

    /// Latest decision about the request with id `request`.
    pub fn get(&self, request: &str) -> Option<DecisionRecord> {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.iter().rev().find(|r| r.request == request).cloned()
    }
}
