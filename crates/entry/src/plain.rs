//! Requests to plain services. Non-idempotent ones run under a claim.

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
use chestnutloft_wire::http::{AnyBody, full, read_body};

use crate::attempt;
use crate::context::EntryContext;
use crate::engine::NOT_RUN_HEADER;
use crate::explain::DecisionRecord;
use crate::keepers::KeeperError;
use crate::metrics::AnswerFigures;
use crate::refuse::response_of;

/// Largest answer of a plain service, in bytes.
const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;
/// How long an answer is awaited after the caller's deadline, so that a late one is stored.
const LATE_ANSWER_PATIENCE: Duration = Duration::from_secs(30);
/// Headers that are handed on to the endpoint.
const FORWARDED: [&str; 4] = [
    "content-type",
    "accept",
    "accept-language",
    "idempotency-key",
];

/// A request to a plain service, read and admitted.
pub struct PlainRequest {
    /// Ticket.
    pub ticket: ParsedRequest,
    /// Service pool.
    pub pool: PoolKey,
    /// Method.
    pub method: hyper::Method,
    /// Path and query after the service's prefix.
    pub path: String,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Attempt id; also names the request where the caller gave no key.
    pub attempt: AttemptId,
    /// Request id.
    pub request_id: String,
}

/// Answer of an endpoint.
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

/// Answers a request to a plain service.
///
/// The work goes on when the caller leaves or its deadline passes: an answer that comes late is
/// stored, and a repeat of the request gets it.
pub async fn answer(context: Arc<EntryContext>, request: PlainRequest) -> Response<AnyBody> {
    let now = clock::now();
    let time_left = request.ticket.deadline.since(now);
    let is_idempotent = request.ticket.is_idempotent;
    let request_id = request.request_id.clone();
    let (reply, answer) = oneshot::channel();
    tokio::spawn(async move {
        let outcome = carry_out(&context, &request).await;
        context.router().admit.finish(&request.ticket.workspace);
        context.explain.keep(record_of(&request, &outcome));
        note_outcome(&context, &request, &outcome);
        let is_counted = request.ticket.is_idempotent && outcome.is_ok();
        let _ = reply.send(outcome);
        if is_counted {
            count_lookup(&context, &request).await;
        }
    });
    let outcome = match tokio::time::timeout(time_left, answer).await {
        Ok(Ok(outcome)) => outcome,
        _ => Err(late_refusal(is_idempotent)),
    };
    let mut response = match outcome {
        Ok(answer) => answer.response(),
        Err(refusal) => response_of(&refusal),
    };
    if let Ok(value) = HeaderValue::from_str(&request_id) {
        response.headers_mut().insert("x-request-id", value);
    }
    response
}

fn record_of(request: &PlainRequest, outcome: &Result<EndpointAnswer, Refusal>) -> DecisionRecord {
    DecisionRecord {
        request: request.request_id.clone(),
        workspace: request.ticket.workspace.to_string(),
        arm: format!("{} {}", request.method, request.path),
        reason: if request.ticket.is_idempotent {
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

fn note_outcome(
    context: &EntryContext,
    request: &PlainRequest,
    outcome: &Result<EndpointAnswer, Refusal>,
) {
    match outcome {
        Err(refusal) => context.metrics.note_refusal(refusal),
        Ok(_) => context.metrics.note_answer(
            &request.ticket,
            AnswerFigures {
                answered_by: request.ticket.service.as_ref().map_or("", |s| s.as_str()),
                first_token: None,
                whole: clock::now().since(request.ticket.arrived),
                tokens: 0,
                cost: 0,
            },
        ),
    }
}

/// Counts an idempotent request. It costs nothing, so the answer does not wait for this.
async fn count_lookup(context: &EntryContext, request: &PlainRequest) {
    let bill = {
        let router = context.router();
        let view = router.view(clock::wall_now());
        bill_for(&request.ticket, request_key(request), &[], &view)
    };
    if let Err(error) = context.keepers.run(KeeperCommand::Bill(bill)).await {
        spdlog::debug!("settle: {} is not counted: {error}.", request.request_id);
    }
}

fn late_refusal(is_idempotent: bool) -> Refusal {
    let message = if is_idempotent {
        "the deadline passed before an answer came"
    } else {
        "the deadline passed before an answer came; repeat with the same key to learn the outcome"
    };
    Refusal::not_run(RefusalCode::DeadlineUnreachable, message).with_run(RunState::Unknown)
}

async fn carry_out(
    context: &Arc<EntryContext>,
    request: &PlainRequest,
) -> Result<EndpointAnswer, Refusal> {
    if request.ticket.is_idempotent {
        return run_attempts(context, request).await;
    }
    run_once(context, request).await
}

fn request_key(request: &PlainRequest) -> RequestKey {
    let name = request
        .ticket
        .idempotency_key
        .as_deref()
        .unwrap_or(&request.request_id);
    RequestKey::new(&request.ticket.workspace, name)
}

/// Runs a non-idempotent request under a claim that is durable before the first byte is sent.
async fn run_once(
    context: &Arc<EntryContext>,
    request: &PlainRequest,
) -> Result<EndpointAnswer, Refusal> {
    let key = request_key(request);
    let time_left = request.ticket.deadline.since(clock::now());
    let claim = ClaimRequest {
        key,
        fingerprint: request.ticket.fingerprint,
        attempt: request.attempt.clone(),
        deadline: clock::wall_now() + time_left + LATE_ANSWER_PATIENCE,
    };
    let outcome = context.keepers.run(KeeperCommand::Claim(claim)).await;
    if let Some(stored) = read_claim(outcome)? {
        return stored_response(stored);
    }
    match run_attempts(context, request).await {
        Ok(answer) => store(context, request, key, answer).await,
        Err(refusal) => {
            let attempt = request.attempt.clone();
            let command = if refusal.ran == RunState::NotRun {
                KeeperCommand::Release { key, attempt }
            } else {
                KeeperCommand::GiveUp { key, attempt }
            };
            // Where this gets no answer the claim's deadline leads to the same end.
            let _ = context.keepers.run(command).await;
            Err(refusal)
        }
    }
}

/// What a claim's outcome means: nothing to go on, a stored answer, or a refusal.
fn read_claim(
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
        // Whatever became of the claim, nothing was sent under it.
        Ok(_) | Err(_) => Err(refuse(
            RefusalCode::KeepersUnreachable,
            "the keepers gave no claim",
            RunState::NotRun,
        )),
    }
}

fn stored_response(stored: StoredAnswer) -> Result<EndpointAnswer, Refusal> {
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

async fn store(
    context: &Arc<EntryContext>,
    request: &PlainRequest,
    key: RequestKey,
    answer: EndpointAnswer,
) -> Result<EndpointAnswer, Refusal> {
    let bill = {
        let router = context.router();
        bill_for(&request.ticket, key, &[], &router.view(clock::wall_now()))
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
        // The caller gets the answer all the same: it ran once, and a repeat is told that
        // its outcome is unknown rather than run again.
        spdlog::warn!("settle: answer of {} is not stored.", request.request_id);
        Ok(answer)
    }
}

async fn run_attempts(
    context: &Arc<EntryContext>,
    request: &PlainRequest,
) -> Result<EndpointAnswer, Refusal> {
    let ticket = &request.ticket;
    let mut log = AttemptHistory::default();
    loop {
        let running = attempt::acquire(context, &request.pool, ticket, &[], &mut log).await;
        let running = running.map_err(|refusal| refusal.with_run(log.run_state()))?;
        let address = running.choice().address.clone();
        match send(context, request, &address).await {
            Ok(answer) => {
                running.finish(None);
                return Ok(answer);
            }
            Err(failure) => {
                let next =
                    attempt::fail(context, &request.pool, ticket, running, failure, &mut log);
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
        .header("x-workspace", request.ticket.workspace.as_str());
    for name in FORWARDED {
        if let Some(value) = request.headers.get(name) {
            builder = builder.header(name, value);
        }
    }
    let outgoing = builder
        .body(full(request.body.clone()))
        .map_err(|_| AttemptFailure::NotSent)?;
    let patience = request.ticket.deadline.since(clock::now()) + LATE_ANSWER_PATIENCE;
    let exchange = async {
        let response = context.http.request(outgoing).await.map_err(|error| {
            if error.is_connect() {
                AttemptFailure::NotSent
            } else {
                AttemptFailure::Broken
            }
        })?;
        read_answer(response, request.ticket.is_idempotent).await
    };
    tokio::time::timeout(patience, exchange)
        .await
        .unwrap_or(Err(AttemptFailure::TimedOut))
}

async fn read_answer(
    response: Response<hyper::body::Incoming>,
    is_idempotent: bool,
) -> Result<EndpointAnswer, AttemptFailure> {
    let status = response.status();
    if response.headers().contains_key(NOT_RUN_HEADER) {
        return Err(AttemptFailure::Refused);
    }
    // The answer of a call that may not be repeated is handed on whatever it says.
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
