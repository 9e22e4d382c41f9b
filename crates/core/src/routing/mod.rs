//! Routing state replicated by the keepers (routes, services, workspaces, endpoints, roll-outs)
//! and the per-call decisions that entries make from it.

mod body_memory;
mod budgets;
mod canary;
mod declaration;
mod declaration_update;
mod directory;
mod endpoint_rest;
mod escalation;
mod event_gap;
mod health;
mod leaving_endpoints;
mod load_aggregation;
mod placement;
mod queue_delay;
mod rate_limits;
mod relay_memory;
mod rollout;
mod segment_evidence;
mod segment_faults;
mod segment_knowledge;
mod sessions;
mod state;
mod table;
mod write_progress;

pub use body_memory::{BodyDirection, BodyMemory, BodyPool, MAX_SMALL_BODY_BYTES};
pub use budgets::{EndpointRateLimiter, RateShare, ServiceRetryBudget, ServiceRetrySettings};
pub use canary::{ArmCount, ArmKey, CanaryAnalysis, CanaryThresholds, VersionVerdict};
pub use declaration::{
    CallKind, CallerLimits, DeclarationFinding, EngineRule, ModelRule, RouteDeclaration, RouteRule,
    ServiceRule, ServiceShare, WorkspaceRule,
};
pub use declaration_update::{DeclarationUpdate, DeclarationUpdates};
pub use directory::{
    ChangeIndex, DirectoryChange, EndpointDirectory, EndpointNotice, EndpointPhase, NoticeOutcome,
    PoolEndpoint,
};
pub use endpoint_rest::EndpointRest;
pub use escalation::{
    CallTokens, EscalationCandidate, EscalationPolicy, EscalationSettings, PoolLoad,
};
pub use event_gap::{EventGapReport, EventGapTracker, IdleGap};
pub use health::{HealthSettings, PoolHealth};
pub use leaving_endpoints::{EndpointProcess, LeavingEndpoints, LeavingStatement};
pub use load_aggregation::{EndpointHash, LoadAggregator, LoadSummary, WaitingWork, endpoint_hash};
pub use placement::{
    EndpointCandidate, ModelLane, PlacementRequest, PlacementSettings, SelectedEndpoint,
    select_endpoint,
};
pub use queue_delay::{PrefillTimeEstimator, QueueDelayEstimator, QueueDelaySettings, QueueState};
pub use rate_limits::{LimitStatement, StatedLimits};
pub use relay_memory::{RELAY_POOLS, RelayMemory, RelayNumber};
pub use rollout::{RolloutOrder, RolloutStage, RolloutState, RolloutTiming};
pub use segment_faults::{
    EndedEndpoint, EndpointEnd, LostCall, SegmentBlock, SegmentChange, SegmentFaultDetector,
    SegmentFaultSettings, SegmentProgress, SegmentStage, SegmentSuspicion, SegmentSuspicions,
};
pub use segment_knowledge::{SegmentAdmission, SegmentKnowledge};
pub use sessions::{SessionHash, SessionVersions, VersionPreference, session_hash};
pub use state::{
    RoutingCommand, RoutingOutcome, RoutingRevision, RoutingState, RoutingUpdate, StoredDeclaration,
};
pub use table::{KeyLookup, RouteTable};
pub use write_progress::WriteProgress;
