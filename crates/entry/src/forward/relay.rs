//! Relays a stream event by event and resumes it at another endpoint if it is interrupted.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::Response;

use chestnutloft_core::routing::CallKind;
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::clock;
use chestnutloft_wire::http::AnyBody;

use crate::sse::EventSplitter;

use super::attempt::{AttemptFailure, AttemptGuard, EndpointResponse};
use super::pipeline::CallExecution;
use super::run_copies::{CopyContinuation, RunCopies};
use super::segments::PROGRESS_EVENTS;
use super::stream_silence::StreamSilence;
use task::CallerPauses;

mod task;

/// A stream in progress.
pub struct StreamRelay {
    pub(super) execution: CallExecution,
    /// Response of the current endpoint; `None` once it has ended or failed.
    pub(super) response: Option<EndpointResponse>,
    splitter: EventSplitter,
    /// Id of the last event that was relayed or is buffered for the caller.
    pub(super) last_id: Option<u64>,
    /// First events, received before the caller got the response head.
    first_events: Option<Bytes>,
    /// Number of events relayed.
    pub(super) event_count: u64,
    gap_sample_start: GapSampleStart,
    pub(super) progress: AnswerProgress,
    timing: EventTiming,
    pub(super) copies: RunCopies,
    /// Whether the current endpoint may take until the deadline, since no other one can resume the
    /// stream.
    waits_until_deadline: bool,
    pub(super) silence: StreamSilence,
    pauses: CallerPauses,
    is_finished: bool,
}

/// Start of the current measurement of the time between events.
#[derive(Clone, Copy, Debug, Default)]
struct GapSampleStart {
    at: Option<TimePoint>,
    event_count: u64,
}

/// When the events of the whole stream arrived, for the log.
#[derive(Clone, Copy, Debug, Default)]
struct EventTiming {
    first_at: Option<TimePoint>,
    last_at: Option<TimePoint>,
    longest_pause: Duration,
}

impl EventTiming {
    fn record(&mut self, now: TimePoint) {
        self.first_at.get_or_insert(now);
        let pause = self.last_at.map_or(Duration::ZERO, |at| now.since(at));
        self.longest_pause = self.longest_pause.max(pause);
        self.last_at = Some(now);
    }
}

/// How far the current endpoint's answer has got.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AnswerProgress {
    /// When its first event arrived.
    pub(super) began_at: Option<TimePoint>,
    /// Events of the stream that earlier endpoints sent.
    pub(super) earlier_events: u64,
    pub(super) is_recorded: bool,
}

/// Result of reading from a stream.
pub(super) enum StreamRead {
    /// Complete events.
    Events(Bytes),
    /// The stream has ended normally.
    End,
    /// The stream was interrupted.
    Interrupted(AttemptFailure),
}

impl StreamRelay {
    /// Waits for the first events of `response`. Until then, the caller has received nothing and
    /// the call can be retried from the start.
    ///
    /// # Errors
    /// The call, if the stream was interrupted before its first event.
    pub async fn start(
        execution: CallExecution,
        response: EndpointResponse,
    ) -> Result<Response<AnyBody>, Box<CallExecution>> {
        let last_id = execution.call.head.resume_after;
        let silence = StreamSilence::before_first_event(response.guard.started_at);
        let mut relay = Self {
            execution,
            response: Some(response),
            splitter: EventSplitter::default(),
            last_id,
            first_events: None,
            event_count: 0,
            gap_sample_start: GapSampleStart::default(),
            progress: AnswerProgress::default(),
            timing: EventTiming::default(),
            copies: RunCopies::default(),
            waits_until_deadline: false,
            silence,
            pauses: CallerPauses::default(),
            is_finished: false,
        };
        let timeout = relay.read_timeout();
        match relay.read_within(timeout).await {
            StreamRead::Events(events) => relay.first_events = Some(events),
            StreamRead::End => relay.first_events = Some(Bytes::new()),
            StreamRead::Interrupted(failure) => {
                relay.drop_response(&failure);
                return Err(Box::new(relay.execution));
            }
        }
        Ok(relay.into_forwarded_response())
    }

    fn into_forwarded_response(mut self) -> Response<AnyBody> {
        let now = clock::now();
        let mut head = Response::new(());
        self.adopt_backup();
        self.execution.is_model_fixed = true;
        if let Some(response) = &mut self.response {
            response.guard.finish_prefill();
            self.execution.record_success(now, response);
            self.execution.log_response(now, response, 0);
            let (call, model_index) = (&self.execution.call, self.execution.model_index);
            self.execution
                .context
                .metrics
                .record_first_event(now, call, model_index);
            *head.status_mut() = response.parts.status;
            *head.headers_mut() = response.parts.headers.clone();
        }
        (self.execution.context.codec.strip_hop_by_hop)(head.headers_mut());
        let (parts, ()) = head.into_parts();
        Response::from_parts(parts, self.relay_to_caller())
    }

    /// The next events, or `None` after a normal end of the stream. Fails with the reason for which
    /// the stream cannot go on.
    async fn next_events(&mut self) -> Option<Result<Bytes, String>> {
        if let Some(events) = self.first_events.take() {
            return Some(Ok(events));
        }
        if self.execution.ends_when_silent() {
            // Time in which the caller did not read is no silence of the endpoint.
            self.silence = StreamSilence::after_events(clock::now());
            self.waits_until_deadline = false;
        }
        loop {
            if self.is_finished {
                return None;
            }
            match self.read_or_move().await {
                StreamRead::Events(events) => return Some(Ok(events)),
                StreamRead::End => {
                    self.release();
                    self.is_finished = true;
                }
                StreamRead::Interrupted(failure) if self.pauses.is_recent => {
                    return Some(Err(self.end_after_pause(&failure)));
                }
                StreamRead::Interrupted(failure) => {
                    let next = match self.continue_from_copy(&failure).await {
                        CopyContinuation::Continued => continue,
                        CopyContinuation::Failed => self.choose_next_endpoint().await,
                        CopyContinuation::NoCopy => {
                            let next = self.choose_next_endpoint().await;
                            if self.may_continue(&failure) && next.is_err() {
                                self.waits_until_deadline = true;
                                continue;
                            }
                            self.drop_response(&failure);
                            next
                        }
                    };
                    if let Err(problem) = self.resume(next).await {
                        self.is_finished = true;
                        spdlog::warn!(
                            "call {}: aborting the stream to the caller after {} events: {problem}.",
                            self.execution.call.head.id,
                            self.event_count
                        );
                        return Some(Err(problem));
                    }
                }
            }
        }
    }

    /// Timeout for the next event: until the deadline, which the caller's pauses put off, unless another
    /// endpoint could resume the stream or the endpoint has been silent for too long.
    pub(super) fn read_timeout(&self) -> Duration {
        let now = clock::now();
        let time_left = (self.execution.call.deadline + self.pauses.total).since(now);
        let has_other = self.can_resume() && !self.waits_until_deadline;
        let silence_left = self.silence.time_left(now, &self.execution, has_other);
        silence_left.map_or(time_left, |left| time_left.min(left))
    }

    pub(super) fn can_resume(&self) -> bool {
        self.execution.call.route.kind == (CallKind::Stream { is_resumable: true })
            && self.execution.has_attempts_left()
    }

    pub(super) async fn read_within(&mut self, timeout: Duration) -> StreamRead {
        let started_at = clock::now();
        match tokio::time::timeout(timeout, self.read()).await {
            Ok(result) => {
                let is_events = matches!(result, StreamRead::Events(_));
                self.pauses
                    .record_read(clock::now().since(started_at), is_events);
                result
            }
            Err(_) => StreamRead::Interrupted(AttemptFailure::TimedOut(timeout)),
        }
    }

    async fn read(&mut self) -> StreamRead {
        loop {
            let events = self.take_events();
            if !events.is_empty() {
                self.timing.record(clock::now());
                self.record_event_gap();
                self.record_progress();
                return StreamRead::Events(events);
            }
            let Some(response) = &mut self.response else {
                return StreamRead::End;
            };
            match response.body.frame().await {
                Some(Ok(frame)) => {
                    let Some(data) = frame.data_ref() else {
                        continue;
                    };
                    if self.splitter.push(data).is_err() {
                        let reason = "an event exceeds the size limit".to_owned();
                        return StreamRead::Interrupted(AttemptFailure::Broken(reason));
                    }
                }
                Some(Err(error)) => {
                    return StreamRead::Interrupted(AttemptFailure::Broken(error.to_string()));
                }
                None => return self.check_end(),
            }
        }
    }

    /// The result at the end of the response body.
    fn check_end(&self) -> StreamRead {
        if self.splitter.has_partial_event() {
            let reason = "the response ended in the middle of an event".to_owned();
            return StreamRead::Interrupted(AttemptFailure::Broken(reason));
        }
        StreamRead::End
    }

    /// Records a normal end of the stream and returns the connection to the pool.
    fn release(&mut self) {
        if let Some(response) = self.response.take() {
            let now = clock::now();
            self.copies.end_with_run();
            let execution = &self.execution;
            let received_at = execution.call.received_at;
            let first_event = self.timing.first_at.unwrap_or(now).since(received_at);
            execution.record_progress(self.progress.began_at.unwrap_or(now));
            execution
                .context
                .metrics
                .record_full_response(now, &execution.call);
            spdlog::info!(
                "call {}: stream from endpoint {} completed after {} events, {} ms after the call was received; first event after {} ms, longest pause {} ms.",
                execution.call.head.id,
                response.guard.endpoint.id,
                self.event_count,
                now.since(execution.call.received_at).as_millis(),
                first_event.as_millis(),
                self.timing.longest_pause.as_millis()
            );
            response.release(now);
        }
    }

    /// Whether the current endpoint's answer has gone on after its beginning.
    fn has_progress(&self) -> bool {
        self.event_count - self.progress.earlier_events >= PROGRESS_EVENTS
    }

    /// Records once for each endpoint that its answer went on.
    fn record_progress(&mut self) {
        let began_at = *self.progress.began_at.get_or_insert_with(clock::now);
        if self.has_progress() && !self.progress.is_recorded {
            self.progress.is_recorded = true;
            if let Some(response) = &mut self.response {
                response.guard.mark_harmless();
            }
            self.execution.record_progress(began_at);
        }
    }

    /// Takes all complete events received so far, except those that the caller already has.
    fn take_events(&mut self) -> Bytes {
        let mut events = BytesMut::new();
        while let Some(event) = self.splitter.next_event() {
            if let (Some(id), Some(last)) = (event.id, self.last_id)
                && id <= last
            {
                continue;
            }
            self.last_id = event.id.or(self.last_id);
            self.event_count += 1;
            events.extend_from_slice(&event.raw);
        }
        events.freeze()
    }

    /// Closes the connection of an interrupted stream, records the failure and applies it to the call.
    pub(super) fn drop_response(&mut self, failure: &AttemptFailure) {
        if let Some(mut response) = self.response.take() {
            response.guard.mark_logged();
            spdlog::warn!(
                "call {}: stream from endpoint {} interrupted after {} events: {failure:?}.",
                self.execution.call.head.id,
                response.guard.endpoint.id,
                self.event_count
            );
            let endpoint = response.guard.endpoint.clone();
            drop(response);
            let is_broken = matches!(failure, AttemptFailure::Broken(_));
            if is_broken && !self.has_progress() {
                self.execution.record_lost(&endpoint);
            }
            let now = clock::now();
            if is_broken {
                self.execution.record_termination(now, &endpoint);
            }
            self.execution.record_failure(now, &endpoint);
        }
        self.execution.apply_failure(failure);
        self.reset_splitter();
    }

    /// Discards what was received of an incomplete event.
    pub(super) fn reset_splitter(&mut self) {
        self.splitter = EventSplitter::default();
    }

    /// Whether the stream may still continue at its endpoint: after a timeout it may, after a
    /// broken connection it cannot.
    fn may_continue(&self, failure: &AttemptFailure) -> bool {
        let is_timeout = matches!(failure, AttemptFailure::TimedOut(_));
        let now = clock::now();
        let is_lost = self.silence.is_over(now, &self.execution);
        is_timeout && !is_lost && !self.execution.call.time_left(now).is_zero()
    }

    /// Chooses another endpoint to resume the stream at.
    async fn choose_next_endpoint(&mut self) -> Result<AttemptGuard, String> {
        if !self.can_resume() {
            return Err("the stream is not resumable or its attempts are used up".to_owned());
        }
        if !self.execution.acquire_retry() {
            return Err("no further attempt is allowed".to_owned());
        }
        let chosen = self.execution.choose_endpoint().await;
        chosen.map_err(|refusal| refusal.to_string())
    }

    /// Resumes the stream after the last event that the caller has, at the endpoint `next` or, if
    /// that fails, at another one.
    async fn resume(&mut self, mut next: Result<AttemptGuard, String>) -> Result<(), String> {
        loop {
            match self.execution.attempt(next?, self.last_id).await {
                Ok(response) if response.parts.status.is_success() => {
                    spdlog::info!(
                        "call {}: stream resumed at endpoint {} after event {:?}.",
                        self.execution.call.head.id,
                        response.guard.endpoint.id,
                        self.last_id
                    );
                    self.adopt_response(response);
                    return Ok(());
                }
                Ok(response) => self.record_lost_attempt(&response),
                Err(_) => {}
            }
            next = self.choose_next_endpoint().await;
        }
    }
}
