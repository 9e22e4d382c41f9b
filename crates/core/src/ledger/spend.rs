//! Bills of requests and their totals.

use serde::{Deserialize, Serialize};

use super::claim::RequestKey;
use crate::ids::{KindId, VersionId, WorkspaceId};

/// The bill of one request, which covers all its cascade steps, hedged attempts and resumes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillRecord {
    /// Key of the request.
    pub request: RequestKey,
    /// Account that the bill is added to.
    pub account: SpendKey,
    /// Prompt tokens.
    pub input_tokens: u64,
    /// Generated tokens.
    pub output_tokens: u64,
    /// Cost, in millionths of the currency unit.
    pub cost: u64,
}

/// Account under which bills are summed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SpendKey {
    /// Workspace that pays.
    pub workspace: WorkspaceId,
    /// Kind of request; `None` for plain services.
    pub kind: Option<KindId>,
    /// Version that answered; `None` for plain services.
    pub version: Option<VersionId>,
}

/// Totals of the bills of one account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpendTotals {
    /// Number of bills, one for each request.
    pub requests: u64,
    /// Prompt tokens.
    pub input_tokens: u64,
    /// Generated tokens.
    pub output_tokens: u64,
    /// Cost, in millionths of the currency unit.
    pub cost: u64,
}

impl SpendTotals {
    /// Adds a bill to the totals.
    pub fn add(&mut self, bill: &BillRecord) {
        self.requests += 1;
        self.input_tokens += bill.input_tokens;
        self.output_tokens += bill.output_tokens;
        self.cost += bill.cost;
    }
}

/// Result of booking a bill.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BillOutcome {
    /// The bill was booked.
    Booked,
    /// The request's bill was already booked; nothing changed.
    AlreadyBooked,
}
