//! Wire format of calls, attempts, responses and refusals, as a table of functions.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderMap;
use hyper::http::request;
use hyper::http::response;
use hyper::{Request, Response, StatusCode};

use chestnutloft_core::execution::NotRunProof;
use chestnutloft_core::routing::CopyAnswer;
use chestnutloft_wire::http::AnyBody;

/// The model that a call requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum RequestedModel {
    /// The call says nothing about the model.
    #[default]
    Unspecified,
    /// Any of the route's models: the entry chooses.
    Any,
    /// One model by name.
    Named(String),
}

/// A segment of a prompt. Calls that begin with the same segments share a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// Identifies the content: equal segments have equal ids.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// What the codec reads from the headers of a call.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallHead {
    /// Request id, chosen by the caller.
    pub id: String,
    /// Requested host, without a port.
    pub host: String,
    /// API key of the caller.
    pub key: Option<String>,
    /// How long the caller waits for the response.
    pub timeout: Option<Duration>,
    /// Id of the last event of the stream that the caller has received.
    pub resume_after: Option<u64>,
    /// Requested model.
    pub model: RequestedModel,
    /// Segments of the prompt, in order; the last one is particular to this call or its session.
    pub prompt: Vec<PromptSegment>,
    /// Number of tokens that the answer may have.
    pub max_output_tokens: Option<u32>,
    /// The caller's estimate of the number of tokens of the answer; often far off.
    pub expected_output_tokens: Option<u32>,
    /// Name of the session that the call belongs to.
    pub session: Option<String>,
}

/// What an attempt sends in addition to the caller's headers.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptHead<'a> {
    /// Id of the intended endpoint; any other one that listens at the address must reject the call.
    pub endpoint: &'a str,
    /// Workspace of the caller.
    pub workspace: Option<&'a str>,
    /// Model chosen by the entry.
    pub model: Option<&'a str>,
    /// Time left until the call's deadline.
    pub time_left: Duration,
    /// Id of the last event received, where the attempt resumes a stream.
    pub resume_after: Option<u64>,
    /// Urgency that the endpoint is told, 0 (first) to [`MAX_URGENCY`]; `None` to say nothing.
    pub urgency: Option<u8>,
    /// `IP:port` of the endpoint that the run's KV cache is backed up at.
    pub backup: Option<&'a str>,
    /// Copy of the KV cache from which the attempt goes on.
    pub copy: Option<CopySource<'a>>,
}

/// A copy of a run's KV cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopySource<'a> {
    /// `IP:port` of the endpoint that has named the copy.
    pub address: &'a str,
    /// Name of the copy.
    pub handle: &'a str,
}

/// Request to an endpoint to copy a run of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyOrder<'a> {
    /// `IP:port` of the endpoint that runs it.
    pub source: &'a str,
    /// Id of the call.
    pub call_id: &'a str,
    /// `IP:port` of the endpoint that receives the copy.
    pub target: &'a str,
    /// Whether the run stops first.
    pub is_last: bool,
}

/// Largest value of an attempt's urgency, for the least urgent calls.
pub const MAX_URGENCY: u8 = 9;

/// Load that an endpoint reports with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Running calls.
    pub running: u32,
    /// Queued calls.
    pub waiting: u32,
    /// Calls that it runs at the same time, if it says so.
    pub slots: Option<u32>,
    /// How long work takes at the endpoint at this moment, in percent of the usual time, if it says
    /// so.
    pub pace_percent: Option<u32>,
}

/// Whether the endpoint has run the call, according to its response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ExecutionStatus {
    /// The call has run, or may have.
    #[default]
    MayHaveRun,
    /// The call has not run and will not.
    NotRun,
    /// The call has not run: the address belongs to another endpoint, or to one that does not run
    /// the model.
    Misdirected,
}

/// Whether the endpoint keeps a connection open after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPersistence {
    /// The endpoint closes the connection.
    Close,
    /// The endpoint keeps the connection open, with its idle timeout if it sends one.
    KeepAlive(Option<Duration>),
}

impl Default for ConnectionPersistence {
    fn default() -> Self {
        Self::KeepAlive(None)
    }
}

/// What an endpoint says of itself with a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SelfReport {
    /// Whether it leaves.
    pub is_leaving: bool,
    /// Time for which it wants no calls.
    pub rest: Option<Duration>,
}

/// What the codec reads from the headers of an endpoint's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// Whether the response carries the id of the call.
    pub has_call_id: bool,
    /// Whether the response carries the endpoint's signature.
    pub is_signed: bool,
    /// Whether the call has run.
    pub execution: ExecutionStatus,
    /// Whether the body has a content encoding, which no caller has requested.
    pub is_encoded: bool,
    /// The model's confidence in its answer, 0 to 100.
    pub confidence: Option<f64>,
    /// Load that the endpoint reports.
    pub load: Option<ReportedLoad>,
    /// Calls per second that the endpoint takes from all entries together, if it names a limit.
    pub limit_per_s: Option<f64>,
    /// What the endpoint says of itself.
    pub self_report: SelfReport,
    /// Whether the connection stays open.
    pub persistence: ConnectionPersistence,
}

/// Why no endpoint of a service can take a call, however busy they are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnservableCause {
    /// None runs a model that the call may take.
    NoModel,
    /// The prompt is larger than the memory that the service declares for its endpoints.
    PromptTooLarge,
}

impl UnservableCause {
    /// The metric label.
    pub fn label(self) -> &'static str {
        match self {
            Self::NoModel => "no_model",
            Self::PromptTooLarge => "prompt_too_large",
        }
    }

    /// The reason that a refusal states.
    pub fn reason(self) -> &'static str {
        match self {
            Self::NoModel => "no endpoint runs a model that the call may take",
            Self::PromptTooLarge => "the prompt does not fit into the memory of an endpoint",
        }
    }
}

/// Why the entry refuses a call instead of returning an endpoint's response.
#[derive(Clone, Debug, PartialEq)]
pub enum CallRefusal {
    /// The request violates the protocol.
    Malformed(&'static str),
    /// No route matches the host and path.
    NoRoute,
    /// The API key is unknown or missing.
    UnknownKey,
    /// The call names a model that its route does not have.
    UnknownModel,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// A segment of the prompt makes endpoints fail; another attempt would be refused as well.
    PromptBlocked,
    /// The call has not run; the caller may retry.
    NotRun {
        /// Why this is certain.
        proof: NotRunProof,
        /// Why.
        reason: &'static str,
        /// Delay after which to retry.
        retry_after: Duration,
    },
    /// No endpoint can take the call. It has not run; the caller may retry.
    Unservable {
        /// Why this is certain.
        proof: NotRunProof,
        /// What endpoints lack.
        cause: UnservableCause,
        /// Delay after which to retry.
        retry_after: Duration,
    },
    /// The deadline has passed; the call may have run.
    TimedOut,
    /// An endpoint failed; the call may have run.
    Failed(&'static str),
}

impl CallRefusal {
    /// The metric label.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Malformed(_) => "malformed",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::UnknownModel => "unknown_model",
            Self::BodyTooLarge => "body_too_large",
            Self::PromptBlocked => "prompt_blocked",
            Self::NotRun { .. } => "not_run",
            Self::Unservable { cause, .. } => cause.label(),
            Self::TimedOut => "timed_out",
            Self::Failed(_) => "failed",
        }
    }
}

impl fmt::Display for CallRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(reason) => write!(f, "malformed: {reason}"),
            Self::NoRoute => write!(f, "no route"),
            Self::UnknownKey => write!(f, "unknown key"),
            Self::UnknownModel => write!(f, "the route does not have the model"),
            Self::BodyTooLarge => write!(f, "the body is too large"),
            Self::PromptBlocked => write!(f, "a prompt segment makes endpoints fail"),
            Self::NotRun {
                reason,
                retry_after,
                ..
            } => write!(
                f,
                "not run: {reason}; come back in {} ms",
                retry_after.as_millis()
            ),
            Self::Unservable {
                cause, retry_after, ..
            } => write!(
                f,
                "not run: {}; come back in {} ms",
                cause.reason(),
                retry_after.as_millis()
            ),
            Self::TimedOut => write!(f, "timed out"),
            Self::Failed(reason) => write!(f, "failed: {reason}"),
        }
    }
}

/// Functions that read and write one wire format.
#[derive(Clone, Copy, Debug)]
pub struct EntryCodec {
    /// Path of the readiness check.
    pub ready_path: &'static str,
    /// Reads the headers of a call.
    pub read_call: fn(&request::Parts) -> Result<CallHead, CallRefusal>,
    /// Turns the headers of a call into those of an attempt, in place.
    pub write_attempt: fn(&mut HeaderMap, &AttemptHead<'_>),
    /// Reads the headers of the response to the call with this id.
    pub read_response: fn(&response::Parts, &str) -> ResponseHead,
    /// Removes hop-by-hop headers from a response.
    pub strip_hop_by_hop: fn(&mut HeaderMap),
    /// Builds the response for a refusal; the id is absent if the call had none.
    pub write_refusal: fn(&CallRefusal, Option<&str>) -> Response<AnyBody>,
    /// Builds the request to copy a run.
    pub write_copy_order: fn(&CopyOrder<'_>) -> Request<Full<Bytes>>,
    /// Reads the answer to that request, by its status and body.
    pub read_copy_answer: fn(StatusCode, &[u8]) -> CopyAnswer,
    /// Builds the request to free a copy.
    pub write_copy_release: fn(&CopySource<'_>) -> Request<Full<Bytes>>,
}

/// Builds a response with `status` and an empty body.
pub fn empty_response(status: StatusCode) -> Response<AnyBody> {
    let mut response = Response::new(chestnutloft_wire::http::full(""));
    *response.status_mut() = status;
    response
}
