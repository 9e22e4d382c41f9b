//! What a dialect has to say: how calls, attempts, answers and refusals are written on the wire.

use std::fmt;
use std::time::Duration;

use hyper::header::HeaderMap;
use hyper::http::request;
use hyper::http::response;
use hyper::{Response, StatusCode};

use chestnutloft_wire::http::AnyBody;

/// The model that a caller asks for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum ModelWish {
    /// The call names no model.
    #[default]
    Unnamed,
    /// Any of the route's models.
    Any,
    /// One model.
    Named(String),
}

/// A part of a prompt that other calls may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// What the part is; equal parts have equal ids.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// Head of a caller's call.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallHead {
    /// The call's id.
    pub id: String,
    /// Host that it is for, without a port.
    pub host: String,
    /// The caller's key.
    pub key: Option<String>,
    /// How long the caller waits.
    pub patience: Option<Duration>,
    /// Last event that the caller has of the stream.
    pub resume_after: Option<u64>,
    /// Model.
    pub model: ModelWish,
    /// Parts of the prompt, in order; the last one belongs to this call or its session.
    pub prompt: Vec<PromptPart>,
    /// Session.
    pub session: Option<String>,
}

/// What an attempt says beside what the caller sent.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptHead<'a> {
    /// Endpoint that alone may answer.
    pub endpoint: &'a str,
    /// Workspace of the caller.
    pub workspace: Option<&'a str>,
    /// Model that the entry has chosen.
    pub model: Option<&'a str>,
    /// Time that is left.
    pub left: Duration,
    /// Last event that has arrived, where a stream goes on.
    pub resume_after: Option<u64>,
}

/// Load that an endpoint reports with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait.
    pub waiting: u32,
}

/// What an endpoint's answer says of the call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CallFate {
    /// It has run, or may have.
    #[default]
    MayHaveRun,
    /// It has not run and will not.
    NotRun,
    /// It has not run: the address belongs to another endpoint.
    Misdirected,
}

/// What becomes of a connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFate {
    /// The endpoint closes it.
    Closes,
    /// The endpoint keeps it, for this long where it says so.
    Stays(Option<Duration>),
}

impl Default for LinkFate {
    fn default() -> Self {
        Self::Stays(None)
    }
}

/// Head of an endpoint's answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerHead {
    /// Whether it answers this call: it carries the call's id.
    pub is_own: bool,
    /// Whether it carries the endpoint's signature.
    pub is_signed: bool,
    /// What became of the call.
    pub fate: CallFate,
    /// Whether the body is encoded, which callers do not ask for.
    pub is_encoded: bool,
    /// How sure the model is of its answer, 0 to 100.
    pub confidence: Option<f64>,
    /// Load.
    pub load: Option<ReportedLoad>,
    /// What becomes of the connection.
    pub link: LinkFate,
}

/// Why a call gets no endpoint's answer.
#[derive(Clone, Debug, PartialEq)]
pub enum CallRefusal {
    /// The head breaks the protocol.
    Malformed(&'static str),
    /// No route answers for host and path.
    NoRoute,
    /// The key is unknown or missing.
    UnknownKey,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The call has not run; the caller may come back.
    NotRun {
        /// Why.
        reason: &'static str,
        /// When to come back.
        retry_after: Duration,
    },
    /// The time is over; the call may have run.
    TimedOut,
    /// An endpoint failed; the call may have run.
    Failed(&'static str),
}

impl CallRefusal {
    /// A fixed word for metrics.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Malformed(_) => "malformed",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::BodyTooLarge => "body_too_large",
            Self::NotRun { .. } => "not_run",
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
            Self::BodyTooLarge => write!(f, "the body is too large"),
            Self::NotRun {
                reason,
                retry_after,
            } => write!(
                f,
                "not run: {reason}; come back in {} ms",
                retry_after.as_millis()
            ),
            Self::TimedOut => write!(f, "timed out"),
            Self::Failed(reason) => write!(f, "failed: {reason}"),
        }
    }
}

/// How calls and answers are written on the wire.
#[derive(Clone, Copy, Debug)]
pub struct EntryDialect {
    /// Path at which the entry tells whether it takes new connections.
    pub ready_path: &'static str,
    /// Reads the head of a call.
    pub read_call: fn(&request::Parts) -> Result<CallHead, CallRefusal>,
    /// Turns the headers of a call into those of an attempt.
    pub write_attempt: fn(&mut HeaderMap, &AttemptHead<'_>),
    /// Reads the head of the answer to the call with this id.
    pub read_answer: fn(&response::Parts, &str) -> AnswerHead,
    /// Drops the headers of an answer that concern one connection only.
    pub clean_answer: fn(&mut HeaderMap),
    /// Writes a refusal.
    pub write_refusal: fn(&CallRefusal, Option<&str>) -> Response<AnyBody>,
}

/// An empty answer with `status`.
pub fn empty_response(status: StatusCode) -> Response<AnyBody> {
    let mut response = Response::new(chestnutloft_wire::http::full(""));
    *response.status_mut() = status;
    response
}
