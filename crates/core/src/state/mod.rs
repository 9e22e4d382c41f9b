//! State that the filters of the request path share, and the state machine of the keepers.

mod credits;
mod eject;
mod evidence;
mod keeper;
mod lease;
mod limits;
mod orders;
mod prefix;
mod quality;
mod ramp;
mod registry;
mod retry;

pub use credits::{CreditGrant, CreditOwner, CreditReport, CreditSettings, CreditWallet};
pub use eject::{EjectSettings, EjectionBook};
pub use evidence::{EvidenceBook, EvidenceSettings, VersionEvidence};
pub use keeper::{KeeperCommand, KeeperOutcome, KeeperState, StampedCommand};
pub use lease::{
    EntryBeat, EntryLease, EntryStatus, GrantTable, LeaseGrant, LeaseSettings, LiveEntry, live_hash,
};
pub use limits::{LimitSettings, LimitVerdict, WorkspaceMeter};
pub use orders::{FenceBook, FenceLease, FencingNumber};
pub use prefix::{CacheEvent, PrefixIndex, PrefixSettings, block_hashes};
pub use quality::{
    QualityBook, QualityCell, QualityEstimate, QualityKey, QualitySettings, RatingRecord, RouteArm,
};
pub use ramp::{ColdRamp, RampSettings};
pub use registry::{
    EndpointAnnouncement, EndpointLoad, EndpointRecord, EndpointRegistry, MergeOutcome, PoolKey,
    RegistrySettings,
};
pub use retry::{RetryBudget, RetrySettings};
