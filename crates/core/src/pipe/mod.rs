//! Request pipeline of an entry, one file per stage, in this order: intake, admit, choose version
//! (and bind the session to it), choose endpoint, dispatch, relay, settle.

mod admit;
mod choose_endpoint;
mod choose_version;
mod dispatch;
mod intake;
mod refusal;
mod relay;
mod router;
mod settle;
mod usage;

pub use admit::{AdmissionControl, AdmissionSettings};
pub use choose_endpoint::{EndpointChoice, EndpointPolicy, EndpointSettings, NoEndpoint};
pub use choose_version::{
    ArmCandidate, ChoiceReason, MIN_CASCADE_COST_RATIO, VersionChoice, VersionPolicy,
    VersionSelector, VersionSettings,
};
pub use dispatch::{AttemptFailure, AttemptHistory, RetryDecision};
pub use intake::{ParsedRequest, RequestHead, RequestPriority, RequestSettings, parse_request};
pub use refusal::{Refusal, RefusalCode, RunState};
pub use relay::{StreamError, StreamPiece, StreamReassembler};
pub use router::{AttemptObservation, RouterSettings, RouterState};
pub use settle::{StepUsage, bill_for, cost_of};
pub use usage::{EndpointUsage, UsageTable};
