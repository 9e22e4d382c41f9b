//! Refusals: error responses that state why a request got no answer and whether it ran.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether a refused request has run on an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// It did not run, so it is safe to send it again.
    NotRun,
    /// It ran.
    Ran,
    /// It may have run.
    Unknown,
}

/// Stable, machine-readable code of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The request does not parse or violates a limit.
    BadRequest,
    /// The body is too large.
    TooLarge,
    /// The request names no workspace.
    NoWorkspace,
    /// The workspace is not declared.
    UnknownWorkspace,
    /// The bearer key is not valid for the workspace.
    BadKey,
    /// The service is not declared.
    UnknownService,
    /// The workspace may not use the version.
    VersionNotAllowed,
    /// No active version can answer.
    NoVersion,
    /// The workspace has exceeded its request rate.
    RateLimited,
    /// The workspace has reached its limit of concurrent requests.
    ConcurrencyLimited,
    /// The queue is full.
    Overloaded,
    /// The deadline cannot be met.
    DeadlineUnreachable,
    /// No endpoint is available.
    NoEndpoint,
    /// This entry holds no valid lease from the keepers.
    NotInForce,
    /// The keepers cannot be reached.
    KeepersUnreachable,
    /// The idempotency key was used for a different request.
    KeyReused,
    /// A request with the same idempotency key is still running.
    StillRunning,
    /// An earlier request with the same idempotency key may have run.
    OutcomeUnknown,
    /// The endpoint failed while running the request.
    EndpointFailed,
    /// The entry is shutting down.
    ShuttingDown,
}

/// Error response to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Machine-readable code.
    pub code: RefusalCode,
    /// Human-readable description.
    pub message: String,
    /// Time after which to retry.
    pub retry_after: Option<Duration>,
    /// Whether the request has run.
    pub ran: RunState,
}

impl Refusal {
    /// Refuses a request that did not run.
    pub fn not_run(code: RefusalCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            retry_after: None,
            ran: RunState::NotRun,
        }
    }

    /// Sets the time after which the caller should retry.
    #[must_use]
    pub fn retry_after(self, wait: Duration) -> Self {
        Self {
            retry_after: Some(wait),
            ..self
        }
    }

    /// Sets whether the request has run.
    #[must_use]
    pub fn with_run(self, ran: RunState) -> Self {
        Self { ran, ..self }
    }

    /// HTTP status code.
    pub fn status(&self) -> u16 {
        match self.code {
            RefusalCode::BadRequest | RefusalCode::NoWorkspace => 400,
            RefusalCode::BadKey => 401,
            RefusalCode::UnknownWorkspace | RefusalCode::VersionNotAllowed => 403,
            RefusalCode::UnknownService => 404,
            RefusalCode::StillRunning | RefusalCode::OutcomeUnknown => 409,
            RefusalCode::TooLarge => 413,
            RefusalCode::KeyReused => 422,
            RefusalCode::RateLimited | RefusalCode::ConcurrencyLimited => 429,
            RefusalCode::EndpointFailed => 502,
            RefusalCode::DeadlineUnreachable => 504,
            RefusalCode::NoVersion
            | RefusalCode::Overloaded
            | RefusalCode::NoEndpoint
            | RefusalCode::NotInForce
            | RefusalCode::KeepersUnreachable
            | RefusalCode::ShuttingDown => 503,
        }
    }

    /// The code in snake case, as it is sent to callers.
    pub fn code_text(&self) -> String {
        snake_case(self.code)
    }
}

fn snake_case(code: RefusalCode) -> String {
    let name = format!("{code:?}");
    let mut text = String::with_capacity(name.len() + 4);
    for (i, c) in name.char_indices() {
        if c.is_ascii_uppercase() && i > 0 {
            text.push('_');
        }
        text.push(c.to_ascii_lowercase());
    }
    text
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code_text(), self.message)
    }
}

impl std::error::Error for Refusal {}
