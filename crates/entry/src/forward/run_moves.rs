//! Moves the runs of streams off endpoints that leave.
//!
//! The run is copied while it goes on, then stopped and copied once more. A stream whose move was
//! refused goes on at its endpoint; one whose run has stopped goes on from its copy.

use std::sync::Arc;
use std::time::Duration;

use hyper::header::TRANSFER_ENCODING;
use hyper::http::response;
use tokio::sync::oneshot;

use chestnutloft_core::routing::{
    CopyAnswer, CopyDecision, RunCopySettings, RunMove, RunOutlook, decide_copy,
};
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::clock;

use super::attempt::AttemptFailure;
use super::choice::ChosenEndpoint;
use super::copy_calls::{CopyGuard, CopyRequest, RunCopyEvent, start_copy};
use super::relay::{StreamRead, StreamRelay};
use super::run_copies::OngoingMove;

/// Number of destinations that a run is tried to be moved to.
const MAX_DESTINATIONS: usize = 2;
/// Timeout for the copy that is made while the run goes on.
const COPY_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout for the copy for which the run stops; it contains the last events only.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which the rest of a stopped stream is read. Events that are not received in it are made
/// again at the destination.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(100);
/// Events from an endpoint from which the time between them is measured.
const MIN_GAP_EVENTS: u64 = 3;

impl StreamRelay {
    /// Reads from the stream. Meanwhile, moves its run if its endpoint leaves.
    pub(super) async fn read_or_move(&mut self) -> StreamRead {
        loop {
            self.begin_move();
            let timeout = if self.copies.has_stopped() {
                self.read_timeout().min(DRAIN_TIMEOUT)
            } else {
                self.read_timeout()
            };
            let moving = self.copies.moving.as_mut();
            let Some(mut receiver) = moving.and_then(|moving| moving.answer.take()) else {
                let read = self.read_within(timeout).await;
                return self.finish_read(read).await;
            };
            tokio::select! {
                biased;
                read = self.read_within(timeout) => {
                    if let Some(moving) = &mut self.copies.moving {
                        moving.answer = Some(receiver);
                    }
                    return self.finish_read(read).await;
                }
                answer = &mut receiver => {
                    self.apply_copy_answer(&answer.unwrap_or(CopyAnswer::Unknown));
                }
            }
        }
    }

    /// Tells the end of a stream from that of one whose run was stopped.
    async fn finish_read(&mut self, read: StreamRead) -> StreamRead {
        match read {
            StreamRead::Events(_) => self.copies.last_event_at = Some(clock::now()),
            StreamRead::End if self.copies.moving.is_some() => {
                self.await_stop().await;
                let may_have_stopped = self.copies.stage().is_some_and(RunMove::may_have_stopped);
                if self.copies.has_stopped() || may_have_stopped && !self.has_framed_end() {
                    let reason = "the run was stopped to be moved".to_owned();
                    return StreamRead::Interrupted(AttemptFailure::Broken(reason));
                }
            }
            StreamRead::End | StreamRead::Interrupted(_) => {}
        }
        read
    }

    /// Whether the end of the response body differs from that of its connection.
    fn has_framed_end(&self) -> bool {
        let is_chunked = |parts: &response::Parts| parts.headers.contains_key(TRANSFER_ENCODING);
        let response = self.response.as_ref();
        response.is_some_and(|response| is_chunked(&response.parts))
    }

    /// Begins to copy the run if its endpoint leaves and the stream would not end before it.
    fn begin_move(&mut self) {
        let copies = &self.copies;
        let is_tried =
            copies.moving.is_some() || copies.is_settled || copies.failed.len() >= MAX_DESTINATIONS;
        let Some(source) = self
            .response
            .as_ref()
            .map(|response| &response.guard.endpoint)
        else {
            return;
        };
        if is_tried || !self.can_resume() || !self.is_move_due(source) {
            return;
        }
        let execution = &self.execution;
        let service = &execution.call.service;
        let (now, id) = (clock::now(), &execution.call.head.id);
        let state = execution.context.state();
        let failed = &self.copies.failed;
        let Some(destination) = state.choose_copy_target(now, service, source, id, failed) else {
            return;
        };
        drop(state);
        spdlog::info!(
            "call {id}: endpoint {} leaves; its run is copied to endpoint {}.",
            source.id,
            destination.id
        );
        let answer = self.request_copy(&destination, false);
        self.copies.moving = Some(OngoingMove {
            stage: RunMove::default(),
            destination,
            answer,
            guard: None,
        });
    }

    fn is_move_due(&self, source: &ChosenEndpoint) -> bool {
        let execution = &self.execution;
        let call = &execution.call;
        let engine = call.service.engine.as_ref();
        let Some(engine) = engine.filter(|engine| engine.has_moves) else {
            return false;
        };
        let now = clock::now();
        let mut state = execution.context.state();
        let is_leaving = state.is_run_leaving(source) && state.can_retry(now, &call.service.name);
        drop(state);
        if !is_leaving || !execution.is_copyable() {
            return false;
        }
        let progress = execution.run_progress(now, self.event_count, self.measured_gap(now));
        let made = progress.events as f64 * f64::from(progress.event_tokens);
        let outlook = RunOutlook {
            is_leaving,
            rest: progress.rest().min(call.time_left(now)),
            tokens: execution.prompt().total_tokens() + made,
            ..RunOutlook::default()
        };
        decide_copy(&RunCopySettings::default(), engine, &outlook) == CopyDecision::Move
    }

    /// Mean time between the events of the current endpoint, once it has sent some.
    fn measured_gap(&self, now: TimePoint) -> Option<Duration> {
        let events = self.event_count - self.progress.earlier_events;
        let took = now.since(self.progress.began_at?);
        (events >= MIN_GAP_EVENTS).then(|| took.div_f64((events - 1) as f64))
    }

    /// Asks the current endpoint to copy the run to `destination`.
    fn request_copy(
        &self,
        destination: &ChosenEndpoint,
        is_last: bool,
    ) -> Option<oneshot::Receiver<CopyAnswer>> {
        let source = &self.response.as_ref()?.guard.endpoint;
        let request = CopyRequest {
            source: Arc::clone(&source.address),
            call_id: self.execution.call.head.id.clone(),
            target: Arc::clone(&destination.address),
            is_last,
            timeout: if is_last { STOP_TIMEOUT } else { COPY_TIMEOUT },
        };
        Some(start_copy(&self.execution.context, request))
    }

    /// Applies the answer to the latest request to copy the run.
    fn apply_copy_answer(&mut self, answer: &CopyAnswer) {
        let source = self
            .response
            .as_ref()
            .map(|response| &response.guard.endpoint);
        let (Some(moving), Some(source)) = (&mut self.copies.moving, source) else {
            return;
        };
        let previous = moving.stage.handle().map(str::to_owned);
        moving.stage.apply(answer);
        if let Some(handle) = answer.handle()
            && previous.as_deref() != Some(handle)
        {
            let guard = CopyGuard::new(&self.execution.context, &source.address, handle);
            // An earlier name may stand for a part of the same copy, so it is left to expire.
            if let Some(earlier) = moving.guard.replace(guard) {
                earlier.disarm();
            }
        }
        if moving.stage.is_copied() {
            self.record_copy_event(RunCopyEvent::Copied);
            self.stop_run();
        } else if moving.stage.has_failed() {
            self.give_up_move(&format!("{answer:?}"));
        }
    }

    /// Has the copied run stopped, if it may go on at the destination. Takes the retry for that
    /// before, since a stopped run can't go on at its endpoint.
    fn stop_run(&mut self) {
        let source = self
            .response
            .as_ref()
            .map(|response| &response.guard.endpoint);
        let (Some(moving), Some(source)) = (&self.copies.moving, source) else {
            return;
        };
        let destination = moving.destination.clone();
        let (now, service) = (clock::now(), &self.execution.call.service);
        let state = self.execution.context.state();
        let is_accepted = state.accepts_copied_run(now, service, source, &destination);
        drop(state);
        if !is_accepted || !self.can_resume() || !self.execution.acquire_retry() {
            self.give_up_move("the destination or the retry budget does not allow it");
            return;
        }
        let answer = self.request_copy(&destination, true);
        if let Some(moving) = &mut self.copies.moving {
            moving.stage.begin_stop();
            moving.answer = answer;
        }
    }

    fn give_up_move(&mut self, reason: &str) {
        self.record_copy_event(RunCopyEvent::FellBack);
        let Some(moving) = &self.copies.moving else {
            return;
        };
        spdlog::warn!(
            "call {}: run not moved to endpoint {}: {reason}; the stream goes on as it was.",
            self.execution.call.head.id,
            moving.destination.id
        );
        self.copies.failed.push(Arc::clone(&moving.destination.id));
        // A copy that was made is kept in case the endpoint ends before the stream.
        if moving.stage.handle().is_none() {
            self.copies.moving = None;
        }
    }

    /// Waits for the answer of an endpoint that was told to stop the run.
    pub(super) async fn await_stop(&mut self) {
        if !self.copies.is_stopping() {
            return;
        }
        let moving = self.copies.moving.as_mut();
        if let Some(receiver) = moving.and_then(|moving| moving.answer.take()) {
            let answer = receiver.await.unwrap_or(CopyAnswer::Unknown);
            self.apply_copy_answer(&answer);
        }
    }
}
