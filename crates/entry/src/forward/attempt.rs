//! One attempt: a call sent to one endpoint, up to the head of its answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Incoming;
use hyper::http::response::Parts;

use chestnutloft_core::routing::CallKind;
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::clock;

use super::choice::ChosenEndpoint;
use super::connections::{EndpointLink, LinkError};
use super::context::ForwardGate;
use super::dialect::{AnswerHead, AttemptHead, CallFate, LinkFate};
use super::inbound::InboundCall;

/// Idle time of a connection after which it is not used for a call that may run only once: a
/// reset on an old connection cannot be told from a lost answer.
const NON_IDEMPOTENT_IDLE: Duration = Duration::from_millis(1_500);
/// Idle time of a connection after which it is not used for other calls.
const IDEMPOTENT_IDLE: Duration = Duration::from_mins(1);

/// Why an attempt brought no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The endpoint could not be reached; the call was not sent.
    Unreachable(String),
    /// The endpoint says that it did not run the call.
    NotRun {
        /// Whether the address belongs to another endpoint.
        is_misdirected: bool,
    },
    /// The connection broke or the answer is spoiled; the call may have run.
    Broken(String),
    /// Nothing came in time; the call may have run.
    Silent(Duration),
}

impl AttemptFailure {
    /// A fixed word for metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Unreachable(_) => "unreachable",
            Self::NotRun {
                is_misdirected: true,
            } => "misdirected",
            Self::NotRun { .. } => "full",
            Self::Broken(_) => "broken",
            Self::Silent(_) => "silent",
        }
    }
}

/// Counts an attempt as under way at its endpoint while it lives.
pub struct AttemptTicket {
    gate: Arc<ForwardGate>,
    call: String,
    is_settled: bool,
    /// The endpoint.
    pub endpoint: ChosenEndpoint,
    /// When the attempt began.
    pub began_at: TimePoint,
    /// Work before its answer, in milliseconds; `None` once that has begun.
    work_ms: Option<f64>,
}

impl AttemptTicket {
    fn begin(
        gate: &Arc<ForwardGate>,
        now: TimePoint,
        call: &str,
        endpoint: ChosenEndpoint,
    ) -> Self {
        let work_ms = endpoint.reading.work_ms;
        gate.book().begin(now, &endpoint.id, work_ms);
        gate.share.note_change();
        Self {
            gate: Arc::clone(gate),
            call: call.to_owned(),
            is_settled: false,
            endpoint,
            began_at: now,
            work_ms: Some(work_ms),
        }
    }
}

impl AttemptTicket {
    /// Notes that the attempt has its end in the log: an answer, a failure or a larger model.
    pub fn settle(&mut self) {
        self.is_settled = true;
    }

    /// Notes that the answer has begun.
    pub fn note_begun(&mut self) {
        if let Some(work_ms) = self.work_ms.take() {
            self.gate.book().end_work(&self.endpoint.id, work_ms);
            self.gate.share.note_change();
        }
    }
}

impl Drop for AttemptTicket {
    fn drop(&mut self) {
        self.note_begun();
        self.gate.book().end(&self.endpoint.id);
        if !self.is_settled {
            spdlog::info!(
                "call {}: the caller has left; {} is let go of after {} ms.",
                self.call,
                self.endpoint.id,
                clock::now().since(self.began_at).as_millis()
            );
        }
    }
}

/// An answer whose body is still to come. Dropping it closes the connection, which frees the
/// endpoint.
pub struct LiveAnswer {
    /// Head as the endpoint sent it.
    pub parts: Parts,
    /// Head as the dialect read it.
    pub head: AnswerHead,
    /// Body.
    pub body: Incoming,
    /// The attempt.
    pub ticket: AttemptTicket,
    link: EndpointLink,
}

impl LiveAnswer {
    /// Keeps the connection for later calls; the body must have arrived whole.
    pub fn release(self, now: TimePoint) {
        let Self {
            head,
            mut ticket,
            link,
            ..
        } = self;
        ticket.settle();
        if head.link != LinkFate::Closes {
            let address = &ticket.endpoint.address;
            ticket.gate.links.put(now, address, link);
        }
    }
}

/// Sends `call` to `endpoint`.
///
/// # Errors
/// [`AttemptFailure`] saying whether the call may have run.
pub async fn send_attempt(
    gate: &Arc<ForwardGate>,
    call: &InboundCall,
    endpoint: ChosenEndpoint,
    model: Option<&str>,
    resume_after: Option<u64>,
    wait: Duration,
) -> Result<LiveAnswer, AttemptFailure> {
    let mut ticket = AttemptTicket::begin(gate, clock::now(), &call.head.id, endpoint);
    let exchange = exchange(gate, call, &ticket.endpoint, model, resume_after);
    let outcome = tokio::time::timeout(wait, exchange).await;
    let (response, mut link) = match outcome.unwrap_or(Err(AttemptFailure::Silent(wait))) {
        Ok(answered) => answered,
        Err(failure) => {
            ticket.settle();
            return Err(failure);
        }
    };
    let (parts, body) = response.into_parts();
    let head = (gate.dialect.read_answer)(&parts, &call.head.id);
    if let LinkFate::Stays(Some(limit)) = head.link {
        link.note_keep_alive(limit);
    }
    let answer = LiveAnswer {
        parts,
        head,
        body,
        ticket,
        link,
    };
    check_answer(gate, answer)
}

fn check_answer(gate: &ForwardGate, mut answer: LiveAnswer) -> Result<LiveAnswer, AttemptFailure> {
    let checked = judge_answer(gate, &answer);
    if checked.is_err() {
        answer.ticket.settle();
    }
    checked.map(|()| answer)
}

fn judge_answer(gate: &ForwardGate, answer: &LiveAnswer) -> Result<(), AttemptFailure> {
    let head = &answer.head;
    let id = &answer.ticket.endpoint.id;
    let now = clock::now();
    if head.fate != CallFate::MayHaveRun {
        let is_misdirected = head.fate == CallFate::Misdirected;
        let mut book = gate.book();
        if is_misdirected {
            book.note_misdirected(id);
        } else {
            book.note_full(now, id);
        }
        drop(book);
        return Err(AttemptFailure::NotRun { is_misdirected });
    }
    if !head.is_own {
        return Err(AttemptFailure::Broken(
            "the answer belongs to another call".to_owned(),
        ));
    }
    if head.is_encoded {
        return Err(AttemptFailure::Broken("the answer is encoded".to_owned()));
    }
    if !head.is_signed {
        let status = answer.parts.status;
        return Err(AttemptFailure::Broken(format!(
            "an answer with status {status} has no signature"
        )));
    }
    if let Some(load) = head.load {
        gate.book().note_load(now, id, load);
    }
    Ok(())
}

async fn exchange(
    gate: &ForwardGate,
    call: &InboundCall,
    endpoint: &ChosenEndpoint,
    model: Option<&str>,
    resume_after: Option<u64>,
) -> Result<(hyper::Response<Incoming>, EndpointLink), AttemptFailure> {
    let longest_idle = match call.route.kind {
        CallKind::NonIdempotent
        | CallKind::Stream {
            is_resumable: false,
        } => NON_IDEMPOTENT_IDLE,
        _ => IDEMPOTENT_IDLE,
    };
    loop {
        let now = clock::now();
        let kept = gate.links.take(now, &endpoint.address, longest_idle);
        let is_fresh = kept.is_none();
        let mut link = match kept {
            Some(link) => link,
            None => EndpointLink::open(&endpoint.address)
                .await
                .map_err(unsent)?,
        };
        let request = build_request(gate, call, endpoint, model, resume_after);
        match link.send(request).await {
            Ok(response) => return Ok((response, link)),
            // A kept connection that the endpoint has closed meanwhile.
            Err(LinkError::Closed) if !is_fresh => {}
            Err(error) => return Err(unsent(error)),
        }
    }
}

fn unsent(error: LinkError) -> AttemptFailure {
    match error {
        LinkError::Unreachable(reason) => AttemptFailure::Unreachable(reason),
        LinkError::Closed => AttemptFailure::Unreachable("closed at once".to_owned()),
        LinkError::Broken(reason) => AttemptFailure::Broken(reason),
    }
}

fn build_request(
    gate: &ForwardGate,
    call: &InboundCall,
    endpoint: &ChosenEndpoint,
    model: Option<&str>,
    resume_after: Option<u64>,
) -> Request<Full<Bytes>> {
    let head = AttemptHead {
        endpoint: &endpoint.id,
        workspace: call.workspace.as_ref().map(|rule| &*rule.name),
        model,
        left: call.left(clock::now()),
        resume_after,
    };
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.parts.method.clone();
    *request.uri_mut() = call.parts.uri.clone();
    *request.headers_mut() = call.parts.headers.clone();
    (gate.dialect.write_attempt)(request.headers_mut(), &head);
    request
}
