//! Routing state replicated by the keepers (routes, services, workspaces, endpoints, roll-outs)
//! and the per-call decisions that entries make from it.

mod answer_counts;
mod body_memory;
mod budgets;
mod canary;
mod capacity_ledger;
mod declaration;
mod declaration_check;
mod declaration_diff;
mod declaration_place;
mod declaration_sessions;
mod declaration_update;
mod directory;
mod endpoint_pace;
mod endpoint_rest;
mod endpoint_warmup;
mod escalation;
mod event_gap;
mod exchange_interval;
mod health;
mod leaving_endpoints;
mod load_aggregation;
mod misdirection;
mod model_order;
mod model_support;
mod placement;
mod prefill_profile;
mod prefix_directory;
mod queue_delay;
mod rate_limits;
mod relay_memory;
mod rollout;
mod room_share;
mod run_copies;
mod segment_evidence;
mod segment_faults;
mod segment_knowledge;
mod sessions;
mod single_run;
mod slow_start;
mod state;
mod sum_delta;
mod table;
mod timed_placement;
mod write_progress;

pub use answer_counts::{AnswerCount, AnswerTable};
pub use body_memory::{BodyDirection, BodyMemory, BodyPool, MAX_SMALL_BODY_BYTES};
pub use budgets::{EndpointRateLimiter, RateShare, ServiceRetryBudget, ServiceRetrySettings};
pub use canary::{ArmCount, ArmKey, CanaryAnalysis, CanaryThresholds, VersionVerdict};
pub use capacity_ledger::{
    CapacityClaim, CapacityLedger, EndpointCapacity, EndpointUsage, UsageSum, UsageTotals,
};
pub use declaration::{
    CallKind, CallerLimits, DeclarationFinding, EngineRule, ModelRule, RouteDeclaration, RouteRule,
    ServiceRule, ServiceShare, WorkspaceRule,
};
pub use declaration_check::{
    DeclarationCheckFinding, DeclarationCheckSettings, check_route_declaration,
    unreadable_declaration,
};
pub use declaration_diff::describe_declaration_change;
pub use declaration_place::{DeclarationPlace, DeclarationSection};
pub use declaration_sessions::check_replacement;
pub use declaration_update::{DeclarationUpdate, DeclarationUpdates};
pub use directory::{
    ChangeIndex, DirectoryChange, EndpointDirectory, EndpointNotice, EndpointPhase, NoticeOutcome,
    PoolEndpoint,
};
pub use endpoint_pace::{
    PaceReading, PaceReadings, PaceSource, ReadingCounts, SpeedMeans, SpeedSample, speed_sample,
};
pub use endpoint_rest::EndpointRest;
pub use escalation::{
    CallTokens, ClassLoadBounds, EscalationCandidate, EscalationPolicy, EscalationSettings,
    FirstDelays, LoadBounds, PoolLoad,
};
pub use event_gap::{EventGapReport, EventGapTracker, IdleGap};
pub use exchange_interval::{
    ExchangeInterval, ExchangeIntervalSettings, ManagedLoad, exchange_interval,
};
pub use health::{HealthSettings, PoolHealth};
pub use leaving_endpoints::{EndpointProcess, LeavingEndpoints, LeavingStatement};
pub use load_aggregation::{EndpointHash, LoadAggregator, LoadSummary, WaitingWork, endpoint_hash};
pub use misdirection::{MisdirectedModels, ModelHash};
pub use model_order::{HostLoad, ModelOrderSettings, ModelStep, order_models};
pub use model_support::{ModelSupport, SentModel};
pub use placement::{
    EndpointCandidate, ModelLane, PlacementRequest, PlacementSettings, SelectedEndpoint,
    select_endpoint,
};
pub use prefill_profile::PrefillProfile;
pub use prefix_directory::{PlacementLog, PrefixDirectory, PrefixHash, PrefixPlacement};
pub use queue_delay::{PrefillTimeEstimator, QueueDelayEstimator, QueueDelaySettings, QueueState};
pub use rate_limits::{LimitStatement, StatedLimits};
pub use relay_memory::{RELAY_POOLS, RelayMemory, RelayNumber};
pub use rollout::{RolloutOrder, RolloutStage, RolloutState, RolloutTiming};
pub use room_share::{DemandShare, EntryDemand, RoomShare};
pub use run_copies::{
    CopyAnswer, CopyDecision, CopyTarget, MovePlace, RunCopySettings, RunMove, RunOutlook,
    RunProgress, SourceState, TerminationHistory, decide_copy, select_copy_target,
};
pub use segment_faults::{
    EndedEndpoint, EndpointEnd, LostCall, SegmentBlock, SegmentChange, SegmentFaultDetector,
    SegmentFaultSettings, SegmentProgress, SegmentStage, SegmentSuspicion, SegmentSuspicions,
};
pub use segment_knowledge::{SegmentAdmission, SegmentKnowledge};
pub use sessions::{SessionHash, SessionVersions, VersionPreference, session_hash};
pub use single_run::{
    AnswerErrors, ModelOption, SingleRunCall, SingleRunChoice, SingleRunReason, choose_single_model,
};
pub use slow_start::{
    PoolWarmth, SlowStartControl, SlowStartSettings, WarmupCause, WarmupChange, WarmupEvent,
    WarmupRequest, WarmupStart, max_sound_delay,
};
pub use state::{
    RoutingCommand, RoutingOutcome, RoutingRevision, RoutingState, RoutingUpdate, StoredDeclaration,
};
pub use sum_delta::{
    ChangedSum, ReceivedSums, SentSums, SumChanges, SumNews, SumReply, SumTable, UsageCounts,
};
pub use table::{KeyLookup, RouteTable};
pub use timed_placement::{TimedCandidate, TimedPlacementSettings, TimedRequest, select_by_time};
pub use write_progress::WriteProgress;
