//! Refusals: why a request got no answer, and whether it ran.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether a refused request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// No byte of it reached an endpoint.
    NotRun,
    /// It ran.
    Ran,
    /// It may have run.
    Unknown,
}

/// Stable code of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The request does not parse or breaks a limit.
    BadRequest,
    /// The body is too large.
    TooLarge,
    /// No workspace is named.
    NoWorkspace,
    /// The workspace is not declared.
    UnknownWorkspace,
    /// The bearer key does not fit.
    BadKey,
    /// The service is not declared.
    UnknownService,
    /// The workspace may not use the version.
    VersionNotAllowed,
    /// No version in service can answer.
    NoVersion,
    /// The workspace's rate is used up.
    RateLimited,
    /// The workspace has as many requests running as it may.
    ConcurrencyLimited,
    /// The queue is full.
    Overloaded,
    /// The deadline cannot be met.
    DeadlineUnreachable,
    /// No endpoint is available.
    NoEndpoint,
    /// This entry has no valid lease.
    NotInForce,
    /// The keepers do not answer.
    KeepersUnreachable,
    /// The idempotency key was used for another request.
    KeyReused,
    /// Another attempt with the same key is running.
    StillRunning,
    /// An earlier attempt with the same key may have run.
    OutcomeUnknown,
    /// The endpoint failed while it ran the request.
    EndpointFailed,
    /// The entry is shutting down.
    ShuttingDown,
}

/// A refusal as the caller sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Stable code.
    pub code: RefusalCode,
    /// What happened, in a sentence.
    pub message: String,
    /// When to try again.
    pub retry_after: Option<Duration>,
    /// Whether the request ran.
    pub ran: RunState,
}

impl Refusal {
    /// A refusal of a request that did not run.
    pub fn not_run(code: RefusalCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            retry_after: None,
            ran: RunState::NotRun,
        }
    }

    /// The same refusal with advice when to try again.
    #[must_use]
    pub fn retry_after(self, wait: Duration) -> Self {
        Self {
            retry_after: Some(wait),
            ..self
        }
    }

    /// The same refusal of a request that ran, or may have.
    #[must_use]
    pub fn with_run(self, ran: RunState) -> Self {
        Self { ran, ..self }
    }

    /// HTTP status.
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

    /// The code as callers see it.
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
