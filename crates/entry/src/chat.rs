//! Requests to models: from admission to the bill.

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
use crate::metrics::AnswerFigures;
use crate::rating::AnswerSample;
use crate::refuse::{body_of, response_of};
use crate::session;

/// Parts of an answer that wait for a slow caller.
const CALLER_BUFFER: usize = 64;

/// A request to a model, read and admitted.
pub struct ChatRequest {
    /// Ticket.
    pub ticket: ParsedRequest,
    /// Body as the caller sent it.
    pub body: Value,
    /// Prompt text, for prefixes and rating.
    pub prompt: String,
    /// Request id.
    pub request_id: String,
    /// Whether the caller wants a stream.
    pub is_streamed: bool,
    /// Priority as the caller wrote it.
    pub priority: String,
}

/// Part of an answer on its way to the caller.
enum AnswerPart {
    /// Pieces, as server-sent events.
    Pieces(Bytes),
    /// The end; the bill is booked.
    Done(EngineUsage, VersionId),
    /// No answer, or no more of it.
    Failed(Refusal),
}

/// Answers a request to a model.
pub async fn answer(context: Arc<EntryContext>, request: ChatRequest) -> Response<AnyBody> {
    let (parts, mut inbox) = mpsc::channel(CALLER_BUFFER);
    let is_streamed = request.is_streamed;
    let request_id = request.request_id.clone();
    let run = ChatRun::new(context, request, parts);
    tokio::spawn(run.carry_out());
    let mut response = match inbox.recv().await {
        None => response_of(&Refusal::not_run(
            RefusalCode::NoEndpoint,
            "the request was dropped",
        )),
        Some(AnswerPart::Failed(refusal)) => response_of(&refusal),
        Some(first) if is_streamed => stream_response(first, inbox),
        Some(first) => whole_response(first, inbox, &request_id).await,
    };
    if let Ok(value) = HeaderValue::from_str(&request_id) {
        response.headers_mut().insert("x-request-id", value);
    }
    response
}

fn stream_response(first: AnswerPart, inbox: mpsc::Receiver<AnswerPart>) -> Response<AnyBody> {
    let rest = stream::unfold(inbox, |mut inbox| async move {
        let part = inbox.recv().await?;
        Some((part, inbox))
    });
    let frames = stream::once(async move { first })
        .chain(rest)
        .flat_map(|part| stream::iter(frames_of(part)));
    let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)));
    let value = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}

/// Frames of one part. A failure is told in an event and then breaks the body off, so that no
/// caller takes half an answer for a whole one.
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
            let body = serde_json::to_string(&body_of(&refusal)).unwrap_or_default();
            let text = format!("event: error\ndata: {body}\n\n");
            let broken: BodyError = Box::new(refusal);
            vec![Ok(Frame::data(Bytes::from(text))), Err(broken)]
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

async fn whole_response(
    first: AnswerPart,
    mut inbox: mpsc::Receiver<AnswerPart>,
    request_id: &str,
) -> Response<AnyBody> {
    let mut text = String::new();
    let mut next = Some(first);
    while let Some(part) = next {
        match part {
            AnswerPart::Pieces(bytes) => text.push_str(&text_of(&bytes)),
            AnswerPart::Failed(refusal) => return response_of(&refusal),
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
        next = inbox.recv().await;
    }
    let refusal = Refusal::not_run(RefusalCode::EndpointFailed, "the answer broke off");
    response_of(&refusal.with_run(RunState::Unknown))
}

/// Text of all events in `raw`.
fn text_of(raw: &[u8]) -> String {
    let mut text = String::new();
    let mut start = 0;
    for end in memchr::memmem::find_iter(raw, b"\n\n") {
        text.push_str(&engine::piece_text(&raw[start..end]));
        start = end + 2;
    }
    text
}

/// An answer of one step, whole.
struct StepAnswer {
    usage: EngineUsage,
    pieces: Vec<Bytes>,
}

/// One request on its way.
struct ChatRun {
    context: Arc<EntryContext>,
    request: ChatRequest,
    parts: mpsc::Sender<AnswerPart>,
    record: DecisionRecord,
    first_sent: Option<TimePoint>,
}

/// The caller went away.
struct CallerGone;

enum StepFault {
    Refused(Refusal),
    CallerGone,
}

impl From<Refusal> for StepFault {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

impl From<CallerGone> for StepFault {
    fn from(_: CallerGone) -> Self {
        Self::CallerGone
    }
}

impl ChatRun {
    fn new(
        context: Arc<EntryContext>,
        request: ChatRequest,
        parts: mpsc::Sender<AnswerPart>,
    ) -> Self {
        let record = DecisionRecord {
            request: request.request_id.clone(),
            workspace: request.ticket.workspace.to_string(),
            kind: request.ticket.kind.to_string(),
            session: request.ticket.session.clone(),
            ..DecisionRecord::default()
        };
        Self {
            context,
            request,
            parts,
            record,
            first_sent: None,
        }
    }

    async fn carry_out(mut self) {
        let outcome = self.run().await;
        self.record.outcome = match &outcome {
            Ok(()) => "answered".to_owned(),
            Err(StepFault::CallerGone) => "the caller went away".to_owned(),
            Err(StepFault::Refused(refusal)) => refusal.to_string(),
        };
        if let Err(StepFault::Refused(refusal)) = outcome {
            self.context.metrics.note_refusal(&refusal);
            let _ = self.parts.send(AnswerPart::Failed(refusal)).await;
        }
        self.context
            .router()
            .admit
            .finish(&self.request.ticket.workspace);
        self.context.explain.keep(std::mem::take(&mut self.record));
    }

    async fn run(&mut self) -> Result<(), StepFault> {
        let choice = self.choose().await?;
        let mut steps = Vec::new();
        let answer = match &choice.arm {
            RouteArm::Single(version) => self.run_step(version, true).await?,
            RouteArm::Cascade { cheap, strong } => {
                self.run_cascade(cheap, strong, &mut steps).await?
            }
        };
        let answered_by = match &choice.arm {
            RouteArm::Cascade { cheap, .. } if steps.is_empty() => cheap,
            arm => arm.version(),
        };
        steps.push(step_usage(answered_by, &answer.usage));
        let cost = self.settle(&steps).await?;
        self.note_answer(answered_by, &answer, cost);
        self.sample(&choice, answered_by, &answer);
        let done = AnswerPart::Done(answer.usage, answered_by.clone());
        self.parts.send(done).await.map_err(|_| CallerGone)?;
        Ok(())
    }

    async fn choose(&mut self) -> Result<VersionChoice, Refusal> {
        let ticket = &self.request.ticket;
        let known = ticket
            .session
            .as_deref()
            .and_then(|session| session::known_version(&self.context, ticket, session));
        let mut choice = match known {
            Some(version) => bound_choice(version),
            None => self.choose_anew()?,
        };
        if let Some(session) = &self.request.ticket.session
            && choice.reason != ChoiceReason::Bound
        {
            let wish = choice.arm.version().clone();
            let ticket = &self.request.ticket;
            let bound = session::bind(&self.context, ticket, session, wish.clone()).await?;
            if bound != wish {
                choice = bound_choice(bound);
            }
        }
        self.check_allowed(&choice)?;
        self.record.arm = format!("{:?}", choice.arm);
        self.record.reason = format!("{:?}", choice.reason);
        Ok(choice)
    }

    fn choose_anew(&mut self) -> Result<VersionChoice, Refusal> {
        let ticket = &self.request.ticket;
        let wall_now = clock::wall_now();
        let mut router = self.context.router();
        let choice = router.choose_version(clock::now(), wall_now, ticket)?;
        self.record.revision = router.plan.revision;
        self.record.offers = router.describe_candidates(ticket);
        Ok(choice)
    }

    /// A session may be bound to a version that its workspace has lost since.
    fn check_allowed(&self, choice: &VersionChoice) -> Result<(), Refusal> {
        let router = self.context.router();
        let view = router.view(clock::wall_now());
        let workspace = &self.request.ticket.workspace;
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
    ) -> Result<StepAnswer, StepFault> {
        let first = self.run_step(cheap, false).await?;
        let confidence = first.usage.confidence.unwrap_or_default();
        let is_escalated = confidence < self.context.settings.cascade_confidence;
        self.context
            .router()
            .version_selector
            .record_cascade(cheap, is_escalated);
        if is_escalated {
            steps.push(step_usage(cheap, &first.usage));
            return self.run_step(strong, true).await;
        }
        for piece in &first.pieces {
            self.deliver(piece.clone()).await?;
        }
        Ok(first)
    }

    async fn deliver(&mut self, bytes: Bytes) -> Result<(), CallerGone> {
        self.first_sent.get_or_insert_with(clock::now);
        let sent = self.parts.send(AnswerPart::Pieces(bytes)).await;
        sent.map_err(|_| CallerGone)
    }

    /// Runs one version, over as many endpoints as it takes.
    async fn run_step(
        &mut self,
        version: &VersionId,
        is_delivered: bool,
    ) -> Result<StepAnswer, StepFault> {
        let pool = PoolKey::Version(version.clone());
        let prefix = self.context.router().prefixes.settings().clone();
        let blocks = block_hashes(self.request.prompt.as_bytes(), &prefix);
        let mut log = AttemptHistory::default();
        let mut relay = StreamReassembler::default();
        let mut pieces = Vec::new();
        loop {
            let ticket = &self.request.ticket;
            let mut attempt = attempt::acquire(&self.context, &pool, ticket, &blocks, &mut log)
                .await
                .map_err(|refusal| after_start(refusal, &pieces))?;
            let endpoint = attempt.choice().endpoint.clone();
            let expected = attempt.choice().expected_ms;
            let outcome = self
                .stream_attempt(version, &mut attempt, &mut relay, &mut pieces, is_delivered)
                .await;
            let note = |what: &str| format!("{endpoint}: expected {expected:.0} ms, {what}");
            match outcome {
                Ok(Ok(usage)) => {
                    self.record.attempts.push(note("answered"));
                    attempt.finish(None);
                    return Ok(StepAnswer { usage, pieces });
                }
                Ok(Err(failure)) => {
                    self.record.attempts.push(note(&format!("{failure:?}")));
                    self.after_failure(&pool, attempt, failure, &mut log, &pieces)
                        .await?;
                }
                Err(CallerGone) => return Err(StepFault::CallerGone),
            }
        }
    }

    async fn after_failure(
        &self,
        pool: &PoolKey,
        attempt: RunningAttempt,
        failure: AttemptFailure,
        log: &mut AttemptHistory,
        pieces: &[Bytes],
    ) -> Result<(), Refusal> {
        let ticket = &self.request.ticket;
        match attempt::fail(&self.context, pool, ticket, attempt, failure, log) {
            RetryDecision::Retry(wait) => {
                tokio::time::sleep(wait).await;
                Ok(())
            }
            RetryDecision::GiveUp(ran) => {
                let refusal = Refusal::not_run(
                    RefusalCode::EndpointFailed,
                    format!("no endpoint finished the answer: {failure:?}"),
                );
                Err(after_start(refusal.with_run(ran), pieces))
            }
        }
    }

    async fn stream_attempt(
        &mut self,
        version: &VersionId,
        attempt: &mut RunningAttempt,
        relay: &mut StreamReassembler<Bytes>,
        pieces: &mut Vec<Bytes>,
        is_delivered: bool,
    ) -> Result<Result<EngineUsage, AttemptFailure>, CallerGone> {
        let number = relay.start_attempt();
        let resume = (relay.next() > 0).then(|| {
            let text: String = pieces.iter().map(|piece| text_of(piece)).collect();
            (relay.next(), text)
        });
        let address = attempt.choice().address.clone();
        let call = EngineCall {
            address: &address,
            version,
            request: &self.request.body,
            request_id: &self.request.request_id,
            priority: &self.request.priority,
            resume,
            time_left: self.request.ticket.deadline.since(clock::now()),
            silence: self.context.settings.stream_silence,
        };
        let mut stream = match engine::open(&self.context.http, &call).await {
            Ok(stream) => stream,
            Err(failure) => return Ok(Err(failure)),
        };
        loop {
            let left = self.request.ticket.deadline.since(clock::now());
            let event = match tokio::time::timeout(left, stream.next()).await {
                Err(_) => return Ok(Err(AttemptFailure::TimedOut)),
                Ok(Err(failure)) => return Ok(Err(failure)),
                Ok(Ok(event)) => event,
            };
            match event {
                EngineEvent::Pieces(arrived) => {
                    attempt.note_token();
                    let mut run = Vec::new();
                    for piece in arrived {
                        let taken = relay.accept(number, piece, |next| {
                            run.extend_from_slice(&next.content);
                        });
                        if taken.is_err() {
                            return Ok(Err(AttemptFailure::Broken));
                        }
                    }
                    if run.is_empty() {
                        continue;
                    }
                    let run = Bytes::from(run);
                    pieces.push(run.clone());
                    if is_delivered {
                        self.deliver(run).await?;
                    }
                }
                EngineEvent::End(usage) => {
                    if relay.finish(number, usage.pieces).is_err() {
                        return Ok(Err(AttemptFailure::Broken));
                    }
                    return Ok(Ok(usage));
                }
            }
        }
    }

    /// Books the one bill. The end of the answer goes out only after that.
    async fn settle(&self, steps: &[StepUsage]) -> Result<u64, Refusal> {
        let ticket = &self.request.ticket;
        let name = ticket
            .idempotency_key
            .as_deref()
            .unwrap_or(&self.request.request_id);
        let bill = {
            let router = self.context.router();
            let view = router.view(clock::wall_now());
            bill_for(
                ticket,
                RequestKey::new(&ticket.workspace, name),
                steps,
                &view,
            )
        };
        let cost = bill.cost;
        let booked = self.context.keepers.run(KeeperCommand::Bill(bill)).await;
        booked.map(|_| cost).map_err(|error| {
            Refusal::not_run(
                RefusalCode::KeepersUnreachable,
                format!("the answer could not be billed: {error}"),
            )
            .with_run(RunState::Ran)
        })
    }

    fn note_answer(&self, answered_by: &VersionId, answer: &StepAnswer, cost: u64) {
        let arrived = self.request.ticket.arrived;
        let seen = AnswerFigures {
            answered_by: answered_by.as_str(),
            first_token: self.first_sent.map(|at| at.since(arrived)),
            whole: clock::now().since(arrived),
            tokens: answer.usage.completion_tokens,
            cost,
        };
        self.context.metrics.note_answer(&self.request.ticket, seen);
    }

    fn sample(&self, choice: &VersionChoice, answered_by: &VersionId, answer: &StepAnswer) {
        let ticket = &self.request.ticket;
        let make = || AnswerSample {
            workspace: ticket.workspace.clone(),
            kind: ticket.kind.clone(),
            arm: choice.arm.clone(),
            answered_by: answered_by.clone(),
            prompt: self.request.prompt.clone(),
            answer: answer.pieces.iter().map(|piece| text_of(piece)).collect(),
        };
        let is_suspect = self.context.router().quality.is_suspect(answered_by);
        let is_wanted = is_suspect || choice.reason == ChoiceReason::Explored;
        self.context.ratings.offer(clock::now(), is_wanted, make);
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

/// A refusal that comes after pieces were sent must not say that nothing ran.
fn after_start(refusal: Refusal, pieces: &[Bytes]) -> Refusal {
    if pieces.is_empty() {
        refusal
    } else {
        refusal.with_run(RunState::Ran)
    }
}
