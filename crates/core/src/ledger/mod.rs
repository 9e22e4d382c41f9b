//! The replicated ledger of claims, session bindings and bills.

mod binding;
mod claim;
mod settings;
mod shard;
mod spend;

pub use binding::{BindOutcome, SessionKey};
pub use claim::{AttemptId, ClaimOutcome, ClaimRequest, RequestKey, SettleOutcome, StoredAnswer};
pub use settings::LedgerSettings;
pub use shard::{LedgerShard, LedgerSize, LedgerState};
pub use spend::{BillOutcome, BillRecord, SpendKey, SpendTotals};
