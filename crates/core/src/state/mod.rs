//! State that the stages of the request path share, and the state machine that the keepers
//! replicate.

mod credits;
mod eject;
mod evidence;
mod fencing;
mod keeper;
mod lease;
mod limits;
mod prefix;
mod quality;
mod ramp;
mod registry;
mod retry;

pub use credits::{CreditAllocator, CreditGrant, CreditHolder, CreditReport, CreditSettings};
pub use eject::{EjectionSettings, OutlierDetector};
pub use evidence::{EvidenceSettings, EvidenceTable, VersionEvidence};
pub use fencing::{FenceLease, FenceTable, FencingToken};
pub use keeper::{KeeperCommand, KeeperOutcome, KeeperState, StampedCommand};
pub use lease::{
    EntryHeartbeat, EntryLease, EntryStatus, GrantTable, LeaseGrant, LeaseSettings, LiveEntry,
    live_hash,
};
pub use limits::{LimitSettings, LimitVerdict, WorkspaceLimiter};
pub use prefix::{CacheEvent, PrefixIndex, PrefixSettings, block_hashes};
pub use quality::{
    QualityEstimate, QualityKey, QualitySettings, QualityTable, RatingRecord, RatingTotals,
    RouteArm,
};
pub use ramp::{RampSettings, WarmupRamp};
pub use registry::{
    EndpointAnnouncement, EndpointLoad, EndpointRecord, EndpointRegistry, MergeOutcome, PoolKey,
    RegistrySettings,
};
pub use retry::{RetryBudget, RetrySettings};
