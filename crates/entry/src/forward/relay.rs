//! Passes a stream on, event by event, and goes on at another endpoint where one breaks off.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame;

use chestnutloft_core::routing::{CallKind, ModelLane};
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::clock;
use chestnutloft_wire::http::{AnyBody, BodyError};

use crate::sse::EventSplitter;

use super::attempt::{AttemptFailure, LiveAnswer};
use super::choice::ChosenEndpoint;
use super::pipeline::CallRun;

/// Multiple of the longest pause aimed at after which a silent stream goes on elsewhere. A busy
/// endpoint may pause for longer than the aim, and another one has to read the whole prompt
/// first, so the answer is late in any case: only an endpoint that has stopped is worth leaving.
const PAUSE_FACTOR: f64 = 2.0;
/// Events after which the pace of a stream is noted.
const PACE_EVENTS: u64 = 6;
/// Longest pause where the route names none.
const DEFAULT_PAUSE: Duration = Duration::from_secs(2);

/// A stream under way.
pub struct StreamRelay {
    run: CallRun,
    answer: Option<LiveAnswer>,
    splitter: EventSplitter,
    last_id: Option<u64>,
    first: Option<Bytes>,
    events: u64,
    paced: PaceMark,
    /// Whether the stream's endpoint is waited for until the call's time is over: no other can
    /// go on with it.
    is_waited_out: bool,
    is_over: bool,
}

/// Where a stream was when its pace was last noted.
#[derive(Clone, Copy, Debug, Default)]
struct PaceMark {
    at: Option<TimePoint>,
    events: u64,
}

/// What came of waiting for more of a stream.
enum StreamStep {
    Events(Bytes),
    End,
    Cut(AttemptFailure),
}

impl StreamRelay {
    /// Waits for the first event of `answer`. Until it has come, the caller has received nothing
    /// and the call can be run anew.
    ///
    /// # Errors
    /// The run, where the stream broke before its first event.
    pub async fn begin(
        run: CallRun,
        answer: LiveAnswer,
    ) -> Result<Response<AnyBody>, Box<CallRun>> {
        let last_id = run.call.head.resume_after;
        let mut relay = Self {
            run,
            answer: Some(answer),
            splitter: EventSplitter::default(),
            last_id,
            first: None,
            events: 0,
            paced: PaceMark::default(),
            is_waited_out: false,
            is_over: false,
        };
        let wait = relay.pause();
        match relay.step(wait).await {
            StreamStep::Events(events) => relay.first = Some(events),
            StreamStep::End => relay.first = Some(Bytes::new()),
            StreamStep::Cut(failure) => {
                relay.drop_answer(&failure);
                relay.run.note_cut(&failure);
                return Err(Box::new(relay.run));
            }
        }
        Ok(relay.into_response())
    }

    fn into_response(mut self) -> Response<AnyBody> {
        let now = clock::now();
        let mut head = Response::new(());
        if let Some(answer) = &mut self.answer {
            answer.ticket.note_begun();
            self.run.note_good_answer(now, answer);
            self.run.log_answer(now, answer, 0);
            let (call, rung) = (&self.run.call, self.run.rung);
            self.run.gate.metrics.note_first_piece(now, call, rung);
            *head.status_mut() = answer.parts.status;
            *head.headers_mut() = answer.parts.headers.clone();
        }
        (self.run.gate.dialect.clean_answer)(head.headers_mut());
        let body = stream::unfold(self, |mut relay| async move {
            let frame = relay.next_frame().await?;
            Some((frame, relay))
        });
        let (parts, ()) = head.into_parts();
        Response::from_parts(parts, BodyExt::boxed_unsync(StreamBody::new(body)))
    }

    /// The next bytes for the caller; `None` where the stream has ended as it should.
    async fn next_frame(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        if let Some(first) = self.first.take() {
            return Some(Ok(Frame::data(first)));
        }
        loop {
            if self.is_over {
                return None;
            }
            match self.step(self.pause()).await {
                StreamStep::Events(events) => return Some(Ok(Frame::data(events))),
                StreamStep::End => {
                    self.release();
                    self.is_over = true;
                }
                StreamStep::Cut(failure) => {
                    let next = self.next_endpoint().await;
                    if self.is_worth_waiting(&failure) && next.is_err() {
                        self.is_waited_out = true;
                        continue;
                    }
                    self.drop_answer(&failure);
                    if let Err(problem) = self.resume(next).await {
                        self.is_over = true;
                        spdlog::warn!(
                            "call {}: the stream is broken off after {} events: {problem}.",
                            self.run.call.head.id,
                            self.events
                        );
                        return Some(Err(problem.into()));
                    }
                }
            }
        }
    }

    fn pause(&self) -> Duration {
        let left = self.run.call.left(clock::now());
        let pause = self.run.call.route.gap_aim_ms.map(Duration::from_millis);
        let pause = pause.unwrap_or(DEFAULT_PAUSE).mul_f64(PAUSE_FACTOR);
        if self.can_resume() && !self.is_waited_out {
            left.min(pause)
        } else {
            left
        }
    }

    fn can_resume(&self) -> bool {
        self.run.call.route.kind == (CallKind::Stream { is_resumable: true })
            && self.run.has_attempts()
    }

    async fn step(&mut self, wait: Duration) -> StreamStep {
        match tokio::time::timeout(wait, self.read()).await {
            Ok(step) => step,
            Err(_) => StreamStep::Cut(AttemptFailure::Silent(wait)),
        }
    }

    async fn read(&mut self) -> StreamStep {
        loop {
            let events = self.whole_events();
            if !events.is_empty() {
                self.note_pace();
                return StreamStep::Events(events);
            }
            let Some(answer) = &mut self.answer else {
                return StreamStep::End;
            };
            match answer.body.frame().await {
                Some(Ok(frame)) => {
                    let Some(data) = frame.data_ref() else {
                        continue;
                    };
                    if self.splitter.push(data).is_err() {
                        let reason = "an event is too large".to_owned();
                        return StreamStep::Cut(AttemptFailure::Broken(reason));
                    }
                }
                Some(Err(error)) => {
                    return StreamStep::Cut(AttemptFailure::Broken(error.to_string()));
                }
                None => return self.end(),
            }
        }
    }

    fn end(&self) -> StreamStep {
        if self.splitter.has_rest() {
            let reason = "the stream ends within an event".to_owned();
            return StreamStep::Cut(AttemptFailure::Broken(reason));
        }
        StreamStep::End
    }

    /// Keeps the connection of a stream that has ended as it should.
    fn release(&mut self) {
        if let Some(answer) = self.answer.take() {
            let now = clock::now();
            self.run.gate.metrics.note_whole(now, &self.run.call);
            spdlog::info!(
                "call {}: the stream from {} ends after {} events, {} ms after the call came.",
                self.run.call.head.id,
                answer.ticket.endpoint.id,
                self.events,
                now.since(self.run.call.came_at).as_millis()
            );
            answer.release(now);
        }
    }

    /// Notes the pace of a larger model every few events.
    fn note_pace(&mut self) {
        if self.run.lane() != ModelLane::Large {
            return;
        }
        let now = clock::now();
        let Some(at) = self.paced.at else {
            self.paced = PaceMark {
                at: Some(now),
                events: self.events,
            };
            return;
        };
        let events = self.events - self.paced.events;
        if events >= PACE_EVENTS {
            let took = now.since(at);
            self.run.gate.book().note_pace(now, events, took);
            self.paced = PaceMark {
                at: Some(now),
                events: self.events,
            };
        }
    }

    /// All whole events that have arrived. Events that the caller has already are left out.
    fn whole_events(&mut self) -> Bytes {
        let mut events = BytesMut::new();
        while let Some(event) = self.splitter.next_event() {
            if let (Some(id), Some(last)) = (event.id, self.last_id)
                && id <= last
            {
                continue;
            }
            self.last_id = event.id.or(self.last_id);
            self.events += 1;
            events.extend_from_slice(&event.raw);
        }
        events.freeze()
    }

    fn drop_answer(&mut self, failure: &AttemptFailure) {
        if let Some(mut answer) = self.answer.take() {
            answer.ticket.settle();
            spdlog::warn!(
                "call {}: {} broke off after {} events: {failure:?}.",
                self.run.call.head.id,
                answer.ticket.endpoint.id,
                self.events
            );
            self.run
                .note_bad_answer(clock::now(), &answer.ticket.endpoint);
        }
        self.splitter = EventSplitter::default();
    }

    /// A silent endpoint may still go on, a broken connection does not.
    fn is_worth_waiting(&self, failure: &AttemptFailure) -> bool {
        let is_silent = matches!(failure, AttemptFailure::Silent(_));
        is_silent && !self.run.call.left(clock::now()).is_zero()
    }

    /// Another endpoint that may go on with the stream.
    async fn next_endpoint(&mut self) -> Result<ChosenEndpoint, String> {
        if !self.can_resume() {
            return Err("it cannot be resumed".to_owned());
        }
        if !self.run.may_repeat() {
            return Err("no more attempts are allowed".to_owned());
        }
        let placed = self.run.place().await;
        placed.map_err(|refusal| refusal.to_string())
    }

    /// Goes on at the endpoint `next`, or another one where that fails, after the last event
    /// that the caller has.
    async fn resume(&mut self, mut next: Result<ChosenEndpoint, String>) -> Result<(), String> {
        loop {
            match self.run.attempt(next?, self.last_id).await {
                Ok(answer) if answer.parts.status.is_success() => {
                    spdlog::info!(
                        "call {}: goes on at {} after event {:?}.",
                        self.run.call.head.id,
                        answer.ticket.endpoint.id,
                        self.last_id
                    );
                    self.run.gate.metrics.note_resume(&self.run.call);
                    self.answer = Some(answer);
                    return Ok(());
                }
                Ok(answer) => {
                    let endpoint = answer.ticket.endpoint.clone();
                    self.run.note_bad_answer(clock::now(), &endpoint);
                }
                Err(failure) => self.run.note_cut(&failure),
            }
            next = self.next_endpoint().await;
        }
    }
}
