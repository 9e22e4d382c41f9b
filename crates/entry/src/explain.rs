//! Recent decisions, for `chestnutloft explain`.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// Decisions that are kept.
const KEPT: usize = 2_048;

/// Why a request went where it went.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// Request id.
    pub request: String,
    /// Workspace.
    pub workspace: String,
    /// Kind of request.
    pub kind: String,
    /// Session, if any.
    pub session: Option<String>,
    /// Plan revision.
    pub revision: u64,
    /// How it was answered.
    pub arm: String,
    /// Why that way.
    pub reason: String,
    /// Ways that were weighed: cost in millionths, quality bounds.
    pub offers: Vec<String>,
    /// Attempts: endpoint, expected milliseconds to the first token, outcome.
    pub attempts: Vec<String>,
    /// Outcome.
    pub outcome: String,
}

/// Recent decisions.
#[derive(Debug, Default)]
pub struct ExplainBook {
    records: Mutex<VecDeque<DecisionRecord>>,
}

impl ExplainBook {
    /// Keeps a decision.
    pub fn keep(&self, record: DecisionRecord) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        if records.len() >= KEPT {
            records.pop_front();
        }
        records.push_back(record);
    }

    /// The decision about `request`.
    pub fn get(&self, request: &str) -> Option<DecisionRecord> {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.iter().rev().find(|r| r.request == request).cloned()
    }
}
