//! Bills and what they add up to.

use serde::{Deserialize, Serialize};

use super::claim::RequestKey;
use crate::ids::{KindId, VersionId, WorkspaceId};

/// The bill of one request: all its steps, hedges and resumes together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillRecord {
    /// Key of the request.
    pub request: RequestKey,
    /// What the bill counts towards.
    pub account: SpendKey,
    /// Prompt tokens.
    pub input_tokens: u64,
    /// Generated tokens.
    pub output_tokens: u64,
    /// Cost, in millionths of the currency unit.
    pub cost: u64,
}

/// What bills are added up by.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SpendKey {
    /// Workspace that pays.
    pub workspace: WorkspaceId,
    /// Kind of request; `None` for plain services.
    pub kind: Option<KindId>,
    /// Version that answered; `None` for plain services.
    pub version: Option<VersionId>,
}

/// Sum of bills.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpendTotals {
    /// Bills.
    pub requests: u64,
    /// Prompt tokens.
    pub input_tokens: u64,
    /// Generated tokens.
    pub output_tokens: u64,
    /// Cost, in millionths of the currency unit.
    pub cost: u64,
}

impl SpendTotals {
    /// Adds one bill.
    pub fn add(&mut self, bill: &BillRecord) {
        self.requests += 1;
        self.input_tokens += bill.input_tokens;
        self.output_tokens += bill.output_tokens;
        self.cost += bill.cost;
    }
}

/// Answer to a bill.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BillOutcome {
    /// Booked now.
    Booked,
    /// Booked before; nothing changed.
    AlreadyBooked,
}
