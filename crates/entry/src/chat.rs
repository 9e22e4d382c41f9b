//! Handles requests to models after admission: chooses a version, streams the answer from endpoints
//! and records the bill.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use serde_json::{Value, json};
use tokio::sync::mpsc;

use chestnutloft_core::ids::VersionId;
use chestnutloft_core::ledger::RequestKey;
use chestnutloft_core::pipe::{
    AttemptFailure, AttemptHistory, ChoiceReason, ParsedRequest, Refusal, RefusalCode,
    RetryDecision, RunState, StepUsage, StreamReassembler, VersionChoice, bill_for,
};
use chestnutloft_core::state::{KeeperCommand, PoolKey, RouteArm, block_hashes};
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::clock;
use chestnutloft_wire::http::{AnyBody, BodyError, json_response};

use crate::attempt::{self, RunningAttempt};
use crate::context::EntryContext;
use crate::engine::{self, EngineCall, EngineEvent, EngineUsage};
use crate::explain::DecisionRecord;
use crate::metrics::AnswerStats;
use crate::rating::AnswerSample;
use crate::refusal::{refusal_body, refusal_response};
use crate::session;

/// Capacity of the channel of answer parts. A slow caller slows down reading from the endpoint once
/// it is full.
const CALLER_BUFFER_PARTS: usize = 64;

/// A parsed and admitted request to a model.
pub struct ChatRequest {
    /// Properties by which the request is routed and admitted.
    pub parsed: ParsedRequest,
    /// Request body from the caller.
    pub body: Value,
    /// Text of all messages, for prefix matching and rating.
    pub prompt: String,
    /// Request id.
    pub request_id: String,
    /// Whether the caller requested a streamed answer.
    pub is_streamed: bool,
    /// Value of `x-priority` from the caller, passed on to the endpoint.
    pub priority: String,
}

/// Part of an answer, passed from the execution to the response.
enum AnswerPart {
    /// Answer pieces as server-sent events.
    Pieces(Bytes),
    /// End of the answer, sent after the bill is recorded.
    Done(EngineUsage, VersionId),
    /// The request failed before or during the answer.
    Failed(Refusal),
}

/// Handles a request to a model.
pub async fn handle(context: Arc<EntryContext>, request: ChatRequest) -> Response<AnyBody> {
    let (sender, mut receiver) = mpsc::channel(CALLER_BUFFER_PARTS);
    let is_streamed = request.is_streamed;
    let request_id = request.request_id.clone();
    let execution = ChatExecution::new(context, request, sender);
    tokio::spawn(execution.execute());
    let mut response = match receiver.recv().await {
        None => refusal_response(
            &Refusal::not_run(RefusalCode::EndpointFailed, "the request was dropped")
                .with_run(RunState::Unknown),
        ),
        Some(AnswerPart::Failed(refusal)) => refusal_response(&refusal),
        Some(first) if is_streamed => stream_response(first, receiver),
        Some(first) => buffered_response(first, receiver, &request_id).await,
    };
    if let Ok(value) = HeaderValue::from_str(&request_id) {
        response.headers_mut().insert("x-request-id", value);
    }
    response
}

fn stream_response(first: AnswerPart, receiver: mpsc::Receiver<AnswerPart>) -> Response<AnyBody> {
    let rest = stream::unfold(receiver, |mut receiver| async move {
        let part = receiver.recv().await?;
        Some((part, receiver))
    });
    let frames = stream::once(async move { first })
        .chain(rest)
        .flat_map(|part| stream::iter(frames_of(part)));
    let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)));
    let value = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}

/// Converts one part to body frames. A failure is sent as an `error` event and then aborts the
/// body, so that callers cannot take a partial answer for a complete one.
fn frames_of(part: AnswerPart) -> Vec<Result<Frame<Bytes>, BodyError>> {
    match part {
        AnswerPart::Pieces(bytes) => vec![Ok(Frame::data(bytes))],
        AnswerPart::Done(usage, version) => {
            let chunk = json!({
                "object": "chat.completion.chunk",
                "model": version,
                "choices": [],
                "usage": usage_json(&usage),
            });
            let text = format!("data: {chunk}\n\ndata: [DONE]\n\n");
            vec![Ok(Frame::data(Bytes::from(text)))]
        }
        AnswerPart::Failed(refusal) => {
            let body = serde_json::to_string(&refusal_body(&refusal)).unwrap_or_default();
            let text = format!("event: error\ndata: {body}\n\n");
            let error: BodyError = Box::new(refusal);
            vec![Ok(Frame::data(Bytes::from(text))), Err(error)]
        }
    }
}

fn usage_json(usage: &EngineUsage) -> Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
    })
}

async fn buffered_response(
    first: AnswerPart,
    mut receiver: mpsc::Receiver<AnswerPart>,
    request_id: &str,
) -> Response<AnyBody> {
    let mut text = String::new();
    let mut next = Some(first);
    while let Some(part) = next {
        match part {
            AnswerPart::Pieces(bytes) => text.push_str(&pieces_text(&bytes)),
            AnswerPart::Failed(refusal) => return refusal_response(&refusal),
            AnswerPart::Done(usage, version) => {
                let content = json!({
                    "id": request_id,
                    "object": "chat.completion",
                    "model": version,
                    "choices": [{
                        "index": 0,
                        "message": { "role": "assistant", "content": text },
                        "finish_reason": "stop",
                    }],
                    "usage": usage_json(&usage),
                });
                return json_response(200, &content);
            }
        }
        next = receiver.recv().await;
    }
    let refusal = Refusal::not_run(RefusalCode::EndpointFailed, "the answer broke off");
    refusal_response(&refusal.with_run(RunState::Unknown))
}

/// Extracts the text of all events in `raw`.
fn pieces_text(raw: &[u8]) -> String {
    let mut text = String::new();
    let mut start = 0;
    for end in memchr::memmem::find_iter(raw, b"\n\n") {
        text.push_str(&engine::piece_text(&raw[start..end]));
        start = end + 2;
    }
    text
}

/// Complete answer of one version.
struct StepAnswer {
    usage: EngineUsage,
    pieces: Vec<Bytes>,
}

/// Execution of one request, in its own task.
struct ChatExecution {
    context: Arc<EntryContext>,
    request: ChatRequest,
    sender: mpsc::Sender<AnswerPart>,
    record: DecisionRecord,
    history: AttemptHistory,
    first_sent_at: Option<TimePoint>,
}

/// The caller disconnected.
struct CallerDisconnected;

enum StepError {
    Refused(Refusal),
    CallerDisconnected,
}

impl From<Refusal> for StepError {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

impl From<CallerDisconnected> for StepError {
    fn from(_: CallerDisconnected) -> Self {
        Self::CallerDisconnected
    }
}

impl ChatExecution {
    fn new(
        context: Arc<EntryContext>,
        request: ChatRequest,
        sender: mpsc::Sender<AnswerPart>,
    ) -> Self {
        let history = AttemptHistory::with_idempotence(request.parsed.is_idempotent);
        let record = DecisionRecord {
            request: request.request_id.clone(),
            workspace: request.parsed.workspace.to_string(),
            kind: request.parsed.kind.to_string(),
            session: request.parsed.session.clone(),
            ..DecisionRecord::default()
        };
        Self {
            context,
            request,
            sender,
            record,
            history,
            first_sent_at: None,
        }
    }

    async fn execute(mut self) {
        let outcome = self.run().await.map_err(|error| self.with_run_state(error));
        self.record.outcome = match &outcome {
            Ok(_) => "answered".to_owned(),
            Err(StepError::CallerDisconnected) => "the caller went away".to_owned(),
            Err(StepError::Refused(refusal)) => refusal.to_string(),
        };
        self.context
            .router()
            .admission
            .finish(&self.request.parsed.workspace);
        // Recorded before the answer ends: a caller that has it may ask for the decision at once.
        self.context
            .decisions
            .record(std::mem::take(&mut self.record));
        let last_part = match outcome {
            Ok(part) => part,
            Err(StepError::CallerDisconnected) => return,
            Err(StepError::Refused(refusal)) => {
                self.context.metrics.record_refusal(&refusal);
                AnswerPart::Failed(refusal)
            }
        };
        let _ = self.sender.send(last_part).await;
    }

    /// Makes a refusal state whether any attempt may have run the request.
    fn with_run_state(&self, error: StepError) -> StepError {
        match error {
            StepError::Refused(refusal) if refusal.ran == RunState::NotRun => {
                StepError::Refused(refusal.with_run(self.history.run_state()))
            }
            error => error,
        }
    }

    /// Answers the request; returns the last part of the answer.
    async fn run(&mut self) -> Result<AnswerPart, StepError> {
        let choice = self.choose_arm().await?;
        let mut steps = Vec::new();
        let answer = match &choice.arm {
            RouteArm::Single(version) => self.run_version(version, true).await?,
            RouteArm::Cascade { cheap, strong } => {
                self.run_cascade(cheap, strong, &mut steps).await?
            }
        };
        let answered_by = match &choice.arm {
            RouteArm::Cascade { cheap, .. } if steps.is_empty() => cheap,
            arm => arm.version(),
        };
        steps.push(step_usage(answered_by, &answer.usage));
        let cost = self.record_bill(&steps).await?;
        self.record_answer(answered_by, &answer, cost);
        self.offer_for_rating(&choice, answered_by, &answer);
        Ok(AnswerPart::Done(answer.usage, answered_by.clone()))
    }

    async fn choose_arm(&mut self) -> Result<VersionChoice, Refusal> {
        let parsed = &self.request.parsed;
        let cached_version = parsed
            .session
            .as_deref()
            .and_then(|session| session::cached_version(&self.context, parsed, session));
        let mut choice = match cached_version {
            Some(version) => bound_choice(version),
            None => self.choose_version()?,
        };
        if let Some(session) = &self.request.parsed.session
            && choice.reason != ChoiceReason::Bound
        {
            let preferred = choice.arm.version().clone();
            let parsed = &self.request.parsed;
            let bound = session::bind(&self.context, parsed, session, preferred.clone()).await?;
            if bound != preferred {
                choice = bound_choice(bound);
            }
        }
        self.check_allowed(&choice)?;
        self.record.arm = format!("{:?}", choice.arm);
        self.record.reason = format!("{:?}", choice.reason);
        Ok(choice)
    }

    fn choose_version(&mut self) -> Result<VersionChoice, Refusal> {
        let parsed = &self.request.parsed;
        let wall_now = clock::wall_now();
        let mut router = self.context.router();
        let choice = router.choose_version(clock::now(), wall_now, parsed)?;
        self.record.revision = router.plan.revision;
        self.record.offers = router.describe_candidates(parsed);
        Ok(choice)
    }

    /// Checks that the workspace may use the chosen versions: a session may be bound to a version
    /// that its workspace was allowed earlier and is not any more.
    fn check_allowed(&self, choice: &VersionChoice) -> Result<(), Refusal> {
        let router = self.context.router();
        let view = router.view(clock::wall_now());
        let workspace = &self.request.parsed.workspace;
        let forbidden = choice
            .arm
            .versions()
            .find(|v| !view.is_allowed(workspace, v));
        match forbidden {
            None => Ok(()),
            Some(version) => Err(Refusal::not_run(
                RefusalCode::VersionNotAllowed,
                format!("workspace {workspace} may not use {version}"),
            )),
        }
    }

    async fn run_cascade(
        &mut self,
        cheap: &VersionId,
        strong: &VersionId,
        steps: &mut Vec<StepUsage>,
    ) -> Result<StepAnswer, StepError> {
        let first = self.run_version(cheap, false).await?;
        let confidence = first.usage.confidence.unwrap_or_default();
        let is_escalated = confidence < self.context.settings.cascade_confidence;
        self.context
            .router()
            .version_selector
            .record_cascade(cheap, is_escalated);
        if is_escalated {
            match self.run_version(strong, true).await {
                Err(StepError::Refused(refusal)) if self.first_sent_at.is_none() => {
                    spdlog::info!(
                        "cascade: {strong} gave no answer to request {}: {refusal}; returning the answer of {cheap}.",
                        self.request.request_id
                    );
                }
                outcome => {
                    steps.push(step_usage(cheap, &first.usage));
                    return outcome;
                }
            }
        }
        for piece in &first.pieces {
            self.send_pieces(piece.clone()).await?;
        }
        Ok(first)
    }

    async fn send_pieces(&mut self, bytes: Bytes) -> Result<(), CallerDisconnected> {
        self.first_sent_at.get_or_insert_with(clock::now);
        let sent = self.sender.send(AnswerPart::Pieces(bytes)).await;
        sent.map_err(|_| CallerDisconnected)
    }

    /// Gets a complete answer from one version, retrying on other endpoints and resuming after the
    /// pieces already received. Sends the pieces to the caller if `forward_pieces`.
    async fn run_version(
        &mut self,
        version: &VersionId,
        forward_pieces: bool,
    ) -> Result<StepAnswer, StepError> {
        let pool = PoolKey::Version(version.clone());
        let prefix = self.context.router().prefixes.settings().clone();
        let blocks = block_hashes(self.request.prompt.as_bytes(), &prefix);
        self.history.start_version();
        let mut reassembler = StreamReassembler::default();
        let mut pieces = Vec::new();
        loop {
            let parsed = &self.request.parsed;
            let history = &mut self.history;
            let mut attempt = attempt::acquire(&self.context, &pool, parsed, &blocks, history)
                .await
                .map_err(|refusal| with_pieces(refusal, &pieces))?;
            let endpoint = attempt.choice().endpoint.clone();
            let expected = attempt.choice().expected_ms;
            let outcome = self
                .stream_attempt(
                    version,
                    &mut attempt,
                    &mut reassembler,
                    &mut pieces,
                    forward_pieces,
                )
                .await;
            let describe = |outcome_text: &str| {
                format!("{endpoint}: expected {expected:.0} ms, {outcome_text}")
            };
            match outcome {
                Ok(Ok(usage)) => {
                    self.record.attempts.push(describe("answered"));
                    attempt.finish(None);
                    self.history.record_answer();
                    return Ok(StepAnswer { usage, pieces });
                }
                Ok(Err(failure)) => {
                    self.record.attempts.push(describe(&format!("{failure:?}")));
                    self.handle_failure(&pool, attempt, failure, &pieces)
                        .await?;
                }
                Err(CallerDisconnected) => return Err(StepError::CallerDisconnected),
            }
        }
    }

    async fn handle_failure(
        &mut self,
        pool: &PoolKey,
        attempt: RunningAttempt,
        failure: AttemptFailure,
        pieces: &[Bytes],
    ) -> Result<(), Refusal> {
        let parsed = &self.request.parsed;
        let history = &mut self.history;
        match attempt::fail(&self.context, pool, parsed, attempt, failure, history) {
            RetryDecision::Retry(wait) => {
                tokio::time::sleep(wait).await;
                Ok(())
            }
            RetryDecision::GiveUp(ran) => {
                let refusal = Refusal::not_run(
                    RefusalCode::EndpointFailed,
                    format!("no endpoint finished the answer: {failure:?}"),
                );
                Err(with_pieces(refusal.with_run(ran), pieces))
            }
        }
    }

    async fn stream_attempt(
        &mut self,
        version: &VersionId,
        attempt: &mut RunningAttempt,
        reassembler: &mut StreamReassembler<Bytes>,
        pieces: &mut Vec<Bytes>,
        forward_pieces: bool,
    ) -> Result<Result<EngineUsage, AttemptFailure>, CallerDisconnected> {
        let number = reassembler.start_attempt();
        let resume = (reassembler.next() > 0).then(|| {
            let text: String = pieces.iter().map(|piece| pieces_text(piece)).collect();
            (reassembler.next(), text)
        });
        let address = attempt.choice().address.clone();
        let call = EngineCall {
            address: &address,
            version,
            request: &self.request.body,
            request_id: &self.request.request_id,
            priority: &self.request.priority,
            resume,
            time_left: self.request.parsed.deadline.since(clock::now()),
            idle_timeout: self.context.settings.stream_silence,
        };
        let mut stream = match engine::open(&self.context.http, &call).await {
            Ok(stream) => stream,
            Err(failure) => return Ok(Err(failure)),
        };
        loop {
            let time_left = self.request.parsed.deadline.since(clock::now());
            let event = match tokio::time::timeout(time_left, stream.next()).await {
                Err(_) => return Ok(Err(AttemptFailure::TimedOut)),
                Ok(Err(failure)) => return Ok(Err(failure)),
                Ok(Ok(event)) => event,
            };
            match event {
                EngineEvent::Pieces(arrived) => {
                    attempt.record_first_token();
                    let mut new_bytes = Vec::new();
                    for piece in arrived {
                        let accepted = reassembler.accept(number, piece, |next| {
                            new_bytes.extend_from_slice(&next.content);
                        });
                        if accepted.is_err() {
                            return Ok(Err(AttemptFailure::Broken));
                        }
                    }
                    if new_bytes.is_empty() {
                        continue;
                    }
                    let new_bytes = Bytes::from(new_bytes);
                    pieces.push(new_bytes.clone());
                    if forward_pieces {
                        self.send_pieces(new_bytes).await?;
                    }
                }
                EngineEvent::End(usage) => {
                    if reassembler.finish(number, usage.pieces).is_err() {
                        return Ok(Err(AttemptFailure::Broken));
                    }
                    return Ok(Ok(usage));
                }
            }
        }
    }

    /// Records the bill of the request with the keepers and returns its cost, in millionths of the
    /// currency unit.
    ///
    /// The bill is recorded before the end of the answer is sent, so that no complete answer is
    /// unbilled.
    async fn record_bill(&self, steps: &[StepUsage]) -> Result<u64, Refusal> {
        let parsed = &self.request.parsed;
        let name = parsed
            .idempotency_key
            .as_deref()
            .unwrap_or(&self.request.request_id);
        let bill = {
            let router = self.context.router();
            let view = router.view(clock::wall_now());
            bill_for(
                parsed,
                RequestKey::new(&parsed.workspace, name),
                steps,
                &view,
            )
        };
        let cost = bill.cost;
        let recorded = self.context.keepers.run(KeeperCommand::Bill(bill)).await;
        recorded.map(|_| cost).map_err(|error| {
            Refusal::not_run(
                RefusalCode::KeepersUnreachable,
                format!("the answer could not be billed: {error}"),
            )
            .with_run(RunState::Ran)
        })
    }

    fn record_answer(&self, answered_by: &VersionId, answer: &StepAnswer, cost: u64) {
        let arrived = self.request.parsed.arrived;
        let stats = AnswerStats {
            answered_by: answered_by.as_str(),
            first_token: self.first_sent_at.map(|at| at.since(arrived)),
            whole: clock::now().since(arrived),
            tokens: answer.usage.completion_tokens,
            cost,
        };
        self.context
            .metrics
            .record_answer(&self.request.parsed, stats);
    }

    fn offer_for_rating(
        &self,
        choice: &VersionChoice,
        answered_by: &VersionId,
        answer: &StepAnswer,
    ) {
        let parsed = &self.request.parsed;
        let make_sample = || AnswerSample {
            workspace: parsed.workspace.clone(),
            kind: parsed.kind.clone(),
            arm: choice.arm.clone(),
            answered_by: answered_by.clone(),
            prompt: self.request.prompt.clone(),
            answer: answer
                .pieces
                .iter()
                .map(|piece| pieces_text(piece))
                .collect(),
        };
        let is_suspect = self.context.router().quality.is_suspect(answered_by);
        let is_required = is_suspect || choice.reason == ChoiceReason::Explored;
        self.context
            .ratings
            .offer(clock::now(), is_required, make_sample);
    }
}

fn bound_choice(version: VersionId) -> VersionChoice {
    VersionChoice {
        arm: RouteArm::Single(version),
        reason: ChoiceReason::Bound,
    }
}

fn step_usage(version: &VersionId, usage: &EngineUsage) -> StepUsage {
    StepUsage {
        version: Some(version.clone()),
        input_tokens: usage.prompt_tokens,
        output_tokens: usage.completion_tokens,
    }
}

/// Sets the run state of `refusal` to `ran` if pieces were received, since an endpoint has then run
/// the request.
fn with_pieces(refusal: Refusal, pieces: &[Bytes]) -> Refusal {
    if pieces.is_empty() {
        refusal
    } else {
        refusal.with_run(RunState::Ran)
    }
}
