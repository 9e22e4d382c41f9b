//! Refusals as HTTP responses.

use hyper::Response;
use serde::Serialize;

use chestnutloft_core::pipe::{Refusal, RunState};
use chestnutloft_wire::http::{AnyBody, json_response};

/// JSON body of a refusal response.
#[derive(Clone, Debug, Serialize)]
pub struct RefusalBody {
    /// Error object.
    pub error: RefusalDetail,
}

/// Error object in a refusal response.
#[derive(Clone, Debug, Serialize)]
pub struct RefusalDetail {
    /// Stable error code for programs.
    pub code: String,
    /// Human-readable description.
    pub message: String,
    /// Whether the request ran: `not_run`, `ran` or `unknown`.
    pub ran: RunState,
    /// Suggested delay before a retry, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Builds the JSON body for `refusal`.
pub fn refusal_body(refusal: &Refusal) -> RefusalBody {
    let to_millis =
        |delay: std::time::Duration| u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
    RefusalBody {
        error: RefusalDetail {
            code: refusal.code_text(),
            message: refusal.message.clone(),
            ran: refusal.ran,
            retry_after_ms: refusal.retry_after.map(to_millis),
        },
    }
}

/// Builds the HTTP response for `refusal`. `retry-after` is in whole seconds, rounded up.
pub fn refusal_response(refusal: &Refusal) -> Response<AnyBody> {
    let mut response = json_response(refusal.status(), &refusal_body(refusal));
    if let Some(delay) = refusal.retry_after {
        let seconds = delay.as_secs() + u64::from(delay.subsec_nanos() > 0);
        let value = hyper::header::HeaderValue::from(seconds.max(1));
        response
            .headers_mut()
            .insert(hyper::header::RETRY_AFTER, value);
    }
    response
}
