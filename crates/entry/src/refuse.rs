//! Refusals as HTTP responses.

use hyper::Response;
use serde::Serialize;

use chestnutloft_core::pipe::{Refusal, RunState};
use chestnutloft_wire::http::{AnyBody, json_response};

/// Body of a refusal.
#[derive(Clone, Debug, Serialize)]
pub struct RefusalBody {
    /// The refusal.
    pub error: RefusalDetail,
}

/// Content of a refusal.
#[derive(Clone, Debug, Serialize)]
pub struct RefusalDetail {
    /// Stable code.
    pub code: String,
    /// What happened, in a sentence.
    pub message: String,
    /// Whether the request ran: `not_run`, `ran` or `unknown`.
    pub ran: RunState,
    /// Milliseconds after which to try again.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// The body of `refusal`.
pub fn body_of(refusal: &Refusal) -> RefusalBody {
    let millis = |span: std::time::Duration| u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    RefusalBody {
        error: RefusalDetail {
            code: refusal.code_text(),
            message: refusal.message.clone(),
            ran: refusal.ran,
            retry_after_ms: refusal.retry_after.map(millis),
        },
    }
}

/// The response for `refusal`.
pub fn response_of(refusal: &Refusal) -> Response<AnyBody> {
    let mut response = json_response(refusal.status(), &body_of(refusal));
    if let Some(wait) = refusal.retry_after {
        let seconds = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
        let value = hyper::header::HeaderValue::from(seconds.max(1));
        response
            .headers_mut()
            .insert(hyper::header::RETRY_AFTER, value);
    }
    response
}
