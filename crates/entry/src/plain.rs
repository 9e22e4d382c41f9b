//! Handles requests to plain services. A non-idempotent request runs at most once, under a claim in
//! the ledger of the keepers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, Request, Response, StatusCode};
use tokio::sync::oneshot;

use chestnutloft_core::ledger::{
    AttemptId, ClaimOutcome, ClaimRequest, RequestKey, SettleOutcome, StoredAnswer,
};
use chestnutloft_core::pipe::{
    AttemptFailure, AttemptHistory, ParsedRequest, Refusal, RefusalCode, RetryDecision, RunState,
    bill_for,
};
use chestnutloft_core::state::{KeeperCommand, KeeperOutcome, PoolKey};
use chestnutloft_wire::clock;
use chestnutloft_wire::http::{AnyBody, full, is_final_status, read_body};

use crate::attempt;
use crate::context::EntryContext;
use crate::engine::NOT_RUN_HEADER;
use crate::explain::DecisionRecord;
use crate::keeper_client::KeeperError;
use crate::metrics::AnswerStats;
use crate::refusal::refusal_response;

/// Maximum size of an answer from a plain service, in bytes.
const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;
/// How long to wait for an answer after the caller's deadline, so that a late one is still stored.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// Request headers forwarded to the endpoint.
const FORWARDED_HEADERS: [&str; 4] = [
    "content-type",
    "accept",
    "accept-language",
    "idempotency-key",
];

/// A parsed and admitted request to a plain service.
pub struct PlainRequest {
    /// Properties by which the request is routed and admitted.
    pub parsed: ParsedRequest,
    /// Endpoint pool of the service.
    pub pool: PoolKey,
    /// HTTP method.
    pub method: hyper::Method,
    /// Path and query without the prefix `/svc/` and the service name.
    pub path: String,
    /// All headers from the caller.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Attempt id, under which the request is claimed in the ledger.
    pub attempt: AttemptId,
    /// Request id; replaces the idempotency key if the caller sent none.
    pub request_id: String,
}

/// Complete answer from an endpoint.
#[derive(Clone, Debug)]
struct EndpointAnswer {
    status: StatusCode,
    content_type: String,
    body: Bytes,
}

impl EndpointAnswer {
    fn stored(&self) -> StoredAnswer {
        StoredAnswer {
            status: self.status.as_u16(),
            content_type: self.content_type.clone(),
            body: Some(self.body.to_vec()),
        }
    }

    fn response(self) -> Response<AnyBody> {
        let mut response = Response::new(full(self.body));
        *response.status_mut() = self.status;
        if let Ok(value) = HeaderValue::from_str(&self.content_type) {
            response.headers_mut().insert(CONTENT_TYPE, value);
        }
        response
    }
}

/// Handles a request to a plain service.
///
/// Processing continues after the caller disconnects or its deadline passes, so that a late answer
/// to a non-idempotent request is stored and returned when the request is repeated.
pub async fn handle(context: Arc<EntryContext>, request: PlainRequest) -> Response<AnyBody> {
    let now = clock::now();
    let time_left = request.parsed.deadline.since(now);
    let is_idempotent = request.parsed.is_idempotent;
    let request_id = request.request_id.clone();
    let (reply, answer) = oneshot::channel();
    tokio::spawn(async move {
        let outcome = execute(&context, &request).await;
        context.router().admission.finish(&request.parsed.workspace);
        context
            .decisions
            .record(decision_record(&request, &outcome));
        record_outcome(&context, &request, &outcome);
        let needs_bill = request.parsed.is_idempotent && outcome.is_ok();
        let _ = reply.send(outcome);
        if needs_bill {
            record_idempotent_request(&context, &request).await;
        }
    });
    let outcome = match tokio::time::timeout(time_left, answer).await {
        Ok(Ok(outcome)) => outcome,
        _ => Err(deadline_refusal(is_idempotent)),
    };
    let mut response = match outcome {
        Ok(answer) => answer.response(),
        Err(refusal) => refusal_response(&refusal),
    };
    if let Ok(value) = HeaderValue::from_str(&request_id) {
        response.headers_mut().insert("x-request-id", value);
    }
    response
}

fn decision_record(
    request: &PlainRequest,
    outcome: &Result<EndpointAnswer, Refusal>,
) -> DecisionRecord {
    DecisionRecord {
        request: request.request_id.clone(),
        workspace: request.parsed.workspace.to_string(),
        arm: format!("{} {}", request.method, request.path),
        reason: if request.parsed.is_idempotent {
            "idempotent".to_owned()
        } else {
            "runs at most once".to_owned()
        },
        outcome: match outcome {
            Ok(answer) => format!("status {}", answer.status.as_u16()),
            Err(refusal) => refusal.to_string(),
        },
        ..DecisionRecord::default()
    }
}

fn record_outcome(
    context: &EntryContext,
    request: &PlainRequest,
    outcome: &Result<EndpointAnswer, Refusal>,
) {
    match outcome {
        Err(refusal) => context.metrics.record_refusal(refusal),
        Ok(_) => context.metrics.record_answer(
            &request.parsed,
            AnswerStats {
                answered_by: request.parsed.service.as_ref().map_or("", |s| s.as_str()),
                first_token: None,
                whole: clock::now().since(request.parsed.arrived),
                tokens: 0,
                cost: 0,
            },
        ),
    }
}

/// Records an idempotent request in the ledger. The request costs nothing, so the answer is
/// returned before the record is written.
async fn record_idempotent_request(context: &EntryContext, request: &PlainRequest) {
    let bill = {
        let router = context.router();
        let view = router.view(clock::wall_now());
        bill_for(&request.parsed, request_key(request), &[], &view)
    };
    if let Err(error) = context.keepers.run(KeeperCommand::Bill(bill)).await {
        spdlog::debug!(
            "ledger: request {} was not recorded: {error}; its answer was returned all the same.",
            request.request_id
        );
    }
}

fn deadline_refusal(is_idempotent: bool) -> Refusal {
    let message = if is_idempotent {
        "the deadline passed before an answer came"
    } else {
        "the deadline passed before an answer came; repeat with the same key to learn the outcome"
    };
    Refusal::not_run(RefusalCode::DeadlineUnreachable, message).with_run(RunState::Unknown)
}

async fn execute(
    context: &Arc<EntryContext>,
    request: &PlainRequest,
) -> Result<EndpointAnswer, Refusal> {
    if request.parsed.is_idempotent {
        return run_attempts(context, request).await;
    }
    run_claimed(context, request).await
}

fn request_key(request: &PlainRequest) -> RequestKey {
    let name = request
        .parsed
        .idempotency_key
        .as_deref()
        .unwrap_or(&request.request_id);
    RequestKey::new(&request.parsed.workspace, name)
}

/// Runs a non-idempotent request under a claim that is durable before the first byte is sent to an
/// endpoint, so that a repeat of the request cannot run it again.
async fn run_claimed(
    context: &Arc<EntryContext>,
    request: &PlainRequest,
) -> Result<EndpointAnswer, Refusal> {
    let key = request_key(request);
    let time_left = request.parsed.deadline.since(clock::now());
    let claim = ClaimRequest {
        key,
        fingerprint: request.parsed.fingerprint,
        attempt: request.attempt.clone(),
        deadline: clock::wall_now() + time_left + LATE_ANSWER_TIMEOUT,
    };
    let outcome = context.keepers.run(KeeperCommand::Claim(claim)).await;
    if let Some(stored) = resolve_claim(outcome)? {
        return read_stored_answer(stored);
    }
    match run_attempts(context, request).await {
        Ok(answer) => store_answer(context, request, key, answer).await,
        Err(refusal) => {
            let attempt = request.attempt.clone();
            let command = if refusal.ran == RunState::NotRun {
                KeeperCommand::Release { key, attempt }
            } else {
                KeeperCommand::GiveUp { key, attempt }
            };
            // If this command is lost, the keepers give the claim up after its deadline: a repeat
            // then gets `outcome_unknown`, even if this request did not run.
            let _ = context.keepers.run(command).await;
            Err(refusal)
        }
    }
}

/// Interprets the outcome of a claim: `None` if the request may run, or the stored answer of an
/// earlier run.
///
/// # Errors
/// [`Refusal`] when the request must not run and there is no stored answer.
fn resolve_claim(
    outcome: Result<KeeperOutcome, KeeperError>,
) -> Result<Option<StoredAnswer>, Refusal> {
    let refuse = |code, message: &str, ran| Refusal::not_run(code, message).with_run(ran);
    match outcome {
        Ok(KeeperOutcome::Claim(claim)) => match claim {
            ClaimOutcome::Granted => Ok(None),
            ClaimOutcome::Settled(answer) => Ok(Some(answer)),
            ClaimOutcome::Running => Err(refuse(
                RefusalCode::StillRunning,
                "an earlier request with this key is running",
                RunState::Unknown,
            )
            .retry_after(Duration::from_secs(1))),
            ClaimOutcome::Unknown => Err(refuse(
                RefusalCode::OutcomeUnknown,
                "an earlier request with this key may have run; its answer is lost",
                RunState::Unknown,
            )),
            ClaimOutcome::Mismatch => Err(refuse(
                RefusalCode::KeyReused,
                "the key was used for another request; this one did not run",
                RunState::NotRun,
            )),
            ClaimOutcome::Full => Err(refuse(
                RefusalCode::Overloaded,
                "the ledger is full",
                RunState::NotRun,
            )),
        },
        // Nothing was sent to an endpoint, whether or not the claim was applied.
        Ok(_) | Err(_) => Err(refuse(
            RefusalCode::KeepersUnreachable,
            "the keepers gave no claim",
            RunState::NotRun,
        )),
    }
}

fn read_stored_answer(stored: StoredAnswer) -> Result<EndpointAnswer, Refusal> {
    let Some(body) = stored.body else {
        let message = "an earlier request with this key ran; its answer is no longer stored";
        let refusal = Refusal::not_run(RefusalCode::OutcomeUnknown, message);
        return Err(refusal.with_run(RunState::Ran));
    };
    Ok(EndpointAnswer {
        status: StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK),
        content_type: stored.content_type,
        body: body.into(),
    })
}

async fn store_answer(
    context: &Arc<EntryContext>,
    request: &PlainRequest,
    key: RequestKey,
    answer: EndpointAnswer,
) -> Result<EndpointAnswer, Refusal> {
    let bill = {
        let router = context.router();
        bill_for(&request.parsed, key, &[], &router.view(clock::wall_now()))
    };
    let command = KeeperCommand::Settle {
        key,
        attempt: request.attempt.clone(),
        answer: answer.stored(),
        bill,
    };
    if let Ok(KeeperOutcome::Settle(SettleOutcome::Stored | SettleOutcome::AlreadySettled, _)) =
        context.keepers.run(command).await
    {
        Ok(answer)
    } else {
        // Return the answer even though it could not be stored: the request ran once, and a repeat
        // gets `outcome_unknown` instead of running again.
        spdlog::warn!(
            "ledger: the answer to request {} may not be stored; a repeat may get outcome_unknown.",
            request.request_id
        );
        Ok(answer)
    }
}

async fn run_attempts(
    context: &Arc<EntryContext>,
    request: &PlainRequest,
) -> Result<EndpointAnswer, Refusal> {
    let parsed = &request.parsed;
    let mut history = AttemptHistory::with_idempotence(parsed.is_idempotent);
    loop {
        let attempt = attempt::acquire(context, &request.pool, parsed, &[], &mut history).await;
        let attempt = attempt.map_err(|refusal| refusal.with_run(history.run_state()))?;
        let address = attempt.choice().address.clone();
        match send(context, request, &address).await {
            Ok(answer) => {
                attempt.finish(None);
                return Ok(answer);
            }
            Err(failure) => {
                let next = attempt::fail(
                    context,
                    &request.pool,
                    parsed,
                    attempt,
                    failure,
                    &mut history,
                );
                match next {
                    RetryDecision::Retry(wait) => tokio::time::sleep(wait).await,
                    RetryDecision::GiveUp(ran) => {
                        let message = format!("no endpoint answered: {failure:?}");
                        let refusal = Refusal::not_run(RefusalCode::EndpointFailed, message);
                        return Err(refusal.with_run(ran));
                    }
                }
            }
        }
    }
}

async fn send(
    context: &EntryContext,
    request: &PlainRequest,
    address: &str,
) -> Result<EndpointAnswer, AttemptFailure> {
    let mut builder = Request::builder()
        .method(request.method.clone())
        .uri(format!("http://{address}{}", request.path))
        .header("x-request-id", &request.request_id)
        .header("x-workspace", request.parsed.workspace.as_str());
    for name in FORWARDED_HEADERS {
        if let Some(value) = request.headers.get(name) {
            builder = builder.header(name, value);
        }
    }
    let outgoing = builder
        .body(full(request.body.clone()))
        .map_err(|_| AttemptFailure::NotSent)?;
    let timeout = request.parsed.deadline.since(clock::now()) + LATE_ANSWER_TIMEOUT;
    let exchange = async {
        let response = context.http.request(outgoing).await.map_err(|error| {
            if error.is_connect() {
                AttemptFailure::NotSent
            } else {
                AttemptFailure::Broken
            }
        })?;
        read_answer(response, request.parsed.is_idempotent).await
    };
    tokio::time::timeout(timeout, exchange)
        .await
        .unwrap_or(Err(AttemptFailure::TimedOut))
}

async fn read_answer(
    response: Response<hyper::body::Incoming>,
    is_idempotent: bool,
) -> Result<EndpointAnswer, AttemptFailure> {
    let status = response.status();
    if !is_final_status(status) {
        return Err(AttemptFailure::Broken);
    }
    if response.headers().contains_key(NOT_RUN_HEADER) {
        return Err(AttemptFailure::Refused);
    }
    // A non-idempotent request must not be retried, so its answer is returned whatever the status.
    if status.is_server_error() && is_idempotent {
        return Err(AttemptFailure::ServerError);
    }
    let content_type = response
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream")
        .to_owned();
    let body = read_body(response.into_body(), MAX_ANSWER_BYTES)
        .await
        .map_err(|_| AttemptFailure::Broken)?;
    Ok(EndpointAnswer {
        status,
        content_type,
        body,
    })
}
