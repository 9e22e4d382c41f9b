//! Routes, declarations, endpoints and roll-outs: the state that the keepers agree on, and the
//! decisions that entries take on it for each call.

mod allowance;
mod board;
mod declaration;
mod directory;
mod health;
mod ladder;
mod pace;
mod placement;
mod pressure;
mod rollout;
mod sessions;
mod state;
mod table;
mod verdict;

pub use allowance::{ColdAllowance, RepeatBudget, RepeatSettings};
pub use board::{EndpointMark, LoadShare, WaitingWork, WorkBoard, endpoint_mark};
pub use declaration::{
    CallKind, CallerLimits, DeclarationFinding, ModelRule, RouteDeclaration, RouteRule,
    ServiceRule, ServiceShare, WorkspaceRule,
};
pub use directory::{
    DirectoryChange, EndpointDirectory, EndpointNotice, EndpointPhase, NoticeOutcome, PoolEndpoint,
};
pub use health::{HealthSettings, PoolHealth};
pub use ladder::{ClimbCandidate, LadderSettings, ModelLadder, PoolPressure};
pub use pace::{PaceReport, StreamPace};
pub use placement::{
    EndpointSeat, ModelLane, PlacementSettings, PlacementWish, SeatChoice, choose_seat,
};
pub use pressure::{PressureBook, PressureSettings, QueueState, WorkEstimate};
pub use rollout::{RolloutOrder, RolloutStage, RolloutState, RolloutTiming};
pub use sessions::{SessionMark, SessionVersions, VersionWish, session_mark};
pub use state::{
    DeclarationUpdate, RoutingCommand, RoutingOutcome, RoutingRevision, RoutingState,
    RoutingUpdate, StoredDeclaration,
};
pub use table::{KeyVerdict, RouteTable};
pub use verdict::{ArmCount, ArmKey, VerdictBook, VerdictSettings, VersionVerdict};
