//! Goes on from copies of the runs of streams.
//!
//! A run goes on elsewhere only after its connection is closed or its endpoint has answered that the
//! run has stopped. Whatever fails, the stream is resumed without a copy as before, or goes on at
//! its endpoint if that has refused the move.

use std::sync::Arc;

use tokio::sync::oneshot;

use chestnutloft_core::execution::AttemptEnd;
use chestnutloft_core::routing::{CopyAnswer, MovePlace, RunMove, SourceState};
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::clock;

use super::attempt::{AttemptFailure, AttemptGuard, EndpointResponse};
use super::choice::ChosenEndpoint;
use super::copy_calls::{CopyGuard, RunCopyEvent};
use super::relay::{AnswerProgress, StreamRelay};
use super::stream_silence::StreamSilence;

/// Copies of the run of one stream.
#[derive(Default)]
pub(super) struct RunCopies {
    backup: Option<HeldCopy>,
    pub(super) moving: Option<OngoingMove>,
    /// Destinations that runs could not be moved to.
    pub(super) failed: Vec<Arc<str>>,
    pub(super) last_event_at: Option<TimePoint>,
    /// Whether the run goes on at the endpoint that has stopped it. It is not moved again: each time
    /// takes an attempt, and none would be left for a crash.
    pub(super) is_settled: bool,
}

/// A copy and the endpoints at which the run may go on from it, best first.
struct HeldCopy {
    guard: CopyGuard,
    endpoints: Vec<ChosenEndpoint>,
}

/// Move of the run to another endpoint.
pub(super) struct OngoingMove {
    pub(super) stage: RunMove,
    pub(super) destination: ChosenEndpoint,
    /// Answer to the latest request to copy the run, unless it has been received.
    pub(super) answer: Option<oneshot::Receiver<CopyAnswer>>,
    /// The copy, once one was made.
    pub(super) guard: Option<CopyGuard>,
}

/// Result of going on from a copy.
pub(super) enum CopyContinuation {
    /// The stream goes on.
    Continued,
    /// There is no copy, or no further attempt is allowed. The stream is as it was.
    NoCopy,
    /// The stream has ended at its endpoint and does not go on from a copy.
    Failed,
}

impl RunCopies {
    /// Keeps the backup from being freed: it ends with a run that has ended successfully.
    pub(super) fn end_with_run(&mut self) {
        if let Some(backup) = self.backup.take() {
            backup.guard.disarm();
        }
    }

    pub(super) fn stage(&self) -> Option<&RunMove> {
        self.moving.as_ref().map(|moving| &moving.stage)
    }

    pub(super) fn has_stopped(&self) -> bool {
        self.stage().is_some_and(RunMove::has_stopped)
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.stage().is_some_and(RunMove::is_stopping)
    }

    /// Whether the run can go on from a copy once it has ended at its endpoint.
    fn has_copy(&self) -> bool {
        let has_place = |stage: &RunMove| !stage.places(SourceState::Ended).is_empty();
        self.backup.is_some() || self.stage().is_some_and(has_place)
    }

    /// Takes the copies of a run that has ended at `source`, best first.
    fn take(&mut self, source: &ChosenEndpoint) -> Vec<HeldCopy> {
        let moved = self.moving.take().and_then(|moving| {
            let places = moving.stage.places(SourceState::Ended).iter();
            let endpoint = |place: &MovePlace| match place {
                MovePlace::Destination => moving.destination.clone(),
                MovePlace::Source => source.clone(),
            };
            Some(HeldCopy {
                endpoints: places.map(endpoint).collect(),
                guard: moving.guard?,
            })
        });
        moved.into_iter().chain(self.backup.take()).collect()
    }
}

impl StreamRelay {
    /// Guards the backup that the current attempt has named.
    pub(super) fn adopt_backup(&mut self) {
        let execution = &mut self.execution;
        let id = &execution.call.head.id;
        let planned = execution.call.copies.backup.take();
        self.copies.backup = planned.map(|endpoint| {
            spdlog::info!("call {id}: run backed up at endpoint {}.", endpoint.id);
            HeldCopy {
                guard: CopyGuard::new(&execution.context, &endpoint.address, id),
                endpoints: vec![endpoint],
            }
        });
        if self.copies.backup.is_some() {
            self.record_copy_event(RunCopyEvent::Copied);
        }
    }

    pub(super) fn record_copy_event(&self, event: RunCopyEvent) {
        let execution = &self.execution;
        let metrics = &execution.context.metrics;
        metrics.record_run_copy(&execution.call, event);
    }

    /// Goes on from a copy of the run, whose stream has been interrupted by `failure`.
    pub(super) async fn continue_from_copy(
        &mut self,
        failure: &AttemptFailure,
    ) -> CopyContinuation {
        if matches!(failure, AttemptFailure::Broken(_)) {
            self.await_stop().await;
        }
        let response = self.response.as_ref();
        let source = response.map(|response| response.guard.endpoint.clone());
        let has_stopped = self.copies.has_stopped();
        let (Some(source), true) = (source, self.copies.has_copy()) else {
            return CopyContinuation::NoCopy;
        };
        // For a run that was stopped, the retry has been taken before.
        let is_allowed = has_stopped || self.can_resume() && self.execution.acquire_retry();
        if !is_allowed {
            return CopyContinuation::NoCopy;
        }
        if has_stopped {
            self.end_stopped_run();
        } else {
            self.drop_response(failure);
        }
        let mut needs_retry = false;
        let mut copies = self.copies.take(&source).into_iter();
        while let Some(copy) = copies.next() {
            for endpoint in &copy.endpoints {
                if !self.may_go_on_at(&source, endpoint)
                    || needs_retry && !self.execution.acquire_retry()
                {
                    continue;
                }
                match self.attempt_from(&copy.guard, endpoint).await {
                    CopyAttempt::Accepted(response) => {
                        copy.guard.disarm();
                        copies.for_each(|other| other.guard.release_elsewhere(&endpoint.address));
                        self.copies.is_settled = endpoint.id == source.id;
                        self.log_continuation(&source, endpoint, has_stopped);
                        self.adopt_response(*response);
                        return CopyContinuation::Continued;
                    }
                    CopyAttempt::NotRun => needs_retry = false,
                    CopyAttempt::Lost => needs_retry = true,
                }
            }
        }
        self.record_copy_event(RunCopyEvent::FellBack);
        CopyContinuation::Failed
    }

    /// Whether a run of `source` may go on at `endpoint`: an endpoint that has stopped it may run
    /// it again.
    fn may_go_on_at(&self, source: &ChosenEndpoint, endpoint: &ChosenEndpoint) -> bool {
        if endpoint.id == source.id {
            return true;
        }
        let state = self.execution.context.state();
        let service = &self.execution.call.service;
        state.accepts_copied_run(clock::now(), service, source, endpoint)
    }

    /// Closes the connection of a run that its endpoint has stopped, which is no failure.
    fn end_stopped_run(&mut self) {
        if let Some(mut response) = self.response.take() {
            response.guard.mark_logged();
            response.guard.mark_harmless();
        }
        let executions = &mut self.execution.call.executions;
        executions.end_attempt(AttemptEnd::Answered);
        self.reset_splitter();
    }

    /// Goes on with `response`, which begins after the last event that the caller has.
    pub(super) fn adopt_response(&mut self, response: EndpointResponse) {
        let execution = &self.execution;
        execution.context.metrics.record_resume(&execution.call);
        if let Some(backup) = self.copies.backup.take() {
            let address = &response.guard.endpoint.address;
            backup.guard.release_elsewhere(address);
        }
        self.silence = StreamSilence::after_events(response.guard.started_at);
        self.response = Some(response);
        self.progress = AnswerProgress {
            earlier_events: self.event_count,
            ..AnswerProgress::default()
        };
        self.adopt_backup();
    }

    /// Records an attempt to go on that got an error as its response.
    pub(super) fn record_lost_attempt(&mut self, response: &EndpointResponse) {
        let endpoint = response.guard.endpoint.clone();
        self.execution.record_failure(clock::now(), &endpoint);
        let executions = &mut self.execution.call.executions;
        executions.end_attempt(AttemptEnd::Lost);
    }

    async fn attempt_from(&mut self, copy: &CopyGuard, endpoint: &ChosenEndpoint) -> CopyAttempt {
        let links = &mut self.execution.call.copies;
        links.source = Some((Arc::clone(copy.address()), copy.handle().to_owned()));
        let execution = &mut self.execution;
        let (context, call) = (&execution.context, &execution.call);
        let guard = AttemptGuard::start(context, clock::now(), call, endpoint.clone());
        let outcome = execution.attempt(guard, self.last_id).await;
        self.execution.call.copies.source = None;
        match outcome {
            Ok(response) if response.parts.status.is_success() => {
                CopyAttempt::Accepted(Box::new(response))
            }
            Ok(response) => {
                self.record_lost_attempt(&response);
                CopyAttempt::Lost
            }
            Err(AttemptFailure::Unreachable(_) | AttemptFailure::NotRun { .. }) => {
                CopyAttempt::NotRun
            }
            Err(_) => CopyAttempt::Lost,
        }
    }

    fn log_continuation(&self, from: &ChosenEndpoint, to: &ChosenEndpoint, has_stopped: bool) {
        let last_event_at = self.copies.last_event_at;
        let now = clock::now();
        spdlog::info!(
            "call {}: run {} from endpoint {} to endpoint {} after {} events; the response began {} ms after the last event.",
            self.execution.call.head.id,
            if has_stopped {
                "moved"
            } else {
                "resumed from its copy"
            },
            from.id,
            to.id,
            self.event_count,
            last_event_at.map_or(0, |at| now.millis_since(at))
        );
        self.record_copy_event(if has_stopped {
            RunCopyEvent::Moved
        } else {
            RunCopyEvent::Resumed
        });
    }
}

/// How an attempt to go on from a copy ended.
enum CopyAttempt {
    /// The response has begun.
    Accepted(Box<EndpointResponse>),
    /// The endpoint has not run the call.
    NotRun,
    /// The endpoint may have run the call.
    Lost,
}
