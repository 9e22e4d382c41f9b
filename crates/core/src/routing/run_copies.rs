//! Decides whether the KV cache of a run is copied to another endpoint, and where the run may go on
//! from a copy.
//!
//! Addresses loads in which endpoints crash or leave while they run long streams: without a copy,
//! another endpoint has to process the whole prompt again, during which the caller gets nothing.

use std::sync::Arc;
use std::time::Duration;

use crate::hash::rendezvous_weight;
use crate::time::TimePoint;

use super::declaration::EngineRule;
use super::leaving_endpoints::EndpointProcess;

/// When copies of runs are made.
#[derive(Clone, Debug, PartialEq)]
pub struct RunCopySettings {
    /// Runs that are expected to end within this time are not moved; they end before their endpoint.
    pub min_moved_rest: Duration,
    /// Price of copying 10^9 bytes, as a share of what the call is worth. With 5 s runs and 90
    /// endpoints, one termination makes backups of 0.24 GB worth it; 4 GB take about ten.
    pub price_per_gb: f64,
}

impl Default for RunCopySettings {
    fn default() -> Self {
        Self {
            min_moved_rest: Duration::from_millis(1_500),
            price_per_gb: 0.01,
        }
    }
}

/// How far a stream has got.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunProgress {
    /// Events made so far.
    pub events: u64,
    /// Tokens of an event; zero if unknown, which counts as one.
    pub event_tokens: u32,
    /// The caller's estimate of the tokens of the answer, which may be far off.
    pub expected_tokens: Option<u32>,
    /// Tokens that the answer may have.
    pub max_tokens: Option<u32>,
    /// Mean time between events.
    pub event_gap: Duration,
}

/// Share of the tokens made that a stream past its estimate is expected to make in addition.
const OVERRUN_SHARE: f64 = 0.5;

impl RunProgress {
    /// Tokens that the answer is expected to make from now on.
    pub fn tokens_left(&self) -> f64 {
        let made = self.events as f64 * self.tokens_per_event();
        let max = self.max_tokens.map_or(f64::INFINITY, f64::from);
        let expected = self.expected_tokens.map_or(0.0, f64::from);
        let total = expected.max(made * (1.0 + OVERRUN_SHARE));
        // Without an estimate, the limit is all that is known before the first event.
        let total = if total > 0.0 || max.is_infinite() {
            total
        } else {
            max
        };
        (total.min(max) - made).max(0.0)
    }

    /// Time that the stream is expected to take from now on.
    pub fn rest(&self) -> Duration {
        let events = self.tokens_left() / self.tokens_per_event();
        self.event_gap.mul_f64(events.min(f64::from(u32::MAX)))
    }

    fn tokens_per_event(&self) -> f64 {
        f64::from(self.event_tokens.max(1))
    }
}

/// What a decision about copies of a run depends on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunOutlook {
    /// Whether the endpoint of the run leaves.
    pub is_leaving: bool,
    /// Time that the run is expected to take from now on.
    pub rest: Duration,
    /// Tokens of the prompt and the answer.
    pub tokens: f64,
    /// Time in which another endpoint would process the prompt again, with its queue.
    pub repeat_prefill: Duration,
    /// Longest pause between events with which the stream is in time.
    pub max_pause: Duration,
    /// Probability that the run is lost before its end.
    pub loss_probability: f64,
}

/// What is done for a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyDecision {
    /// No copy.
    Neither,
    /// The KV cache is sent to another endpoint as it grows.
    BackUp,
    /// The run is copied and goes on at another endpoint.
    Move,
}

/// Decides what is done for a run. A backup pays if the expected loss exceeds the price of its
/// bytes; there is a loss only if processing the prompt again makes the stream late.
pub fn decide_copy(
    settings: &RunCopySettings,
    engine: &EngineRule,
    run: &RunOutlook,
) -> CopyDecision {
    let bytes = run.tokens * engine.token_bytes as f64;
    if run.is_leaving {
        let min_rest = settings.min_moved_rest + copy_time(engine, bytes);
        return if engine.has_moves && run.rest > min_rest {
            CopyDecision::Move
        } else {
            CopyDecision::Neither
        };
    }
    let price = bytes / 1e9 * settings.price_per_gb;
    let is_late_without = run.repeat_prefill > run.max_pause;
    if engine.has_backups && is_late_without && run.loss_probability > price {
        CopyDecision::BackUp
    } else {
        CopyDecision::Neither
    }
}

/// Time to copy `bytes` over a link that carries nothing else; zero if its bandwidth is unknown.
fn copy_time(engine: &EngineRule, bytes: f64) -> Duration {
    if engine.link_mbps <= 0.0 {
        return Duration::ZERO;
    }
    let seconds = bytes * 8.0 / (engine.link_mbps * 1e6);
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

/// Time constant with which a termination loses its weight.
const TERMINATION_MEMORY: Duration = Duration::from_secs(10);
/// Age at which a termination, whose weight is then below 3%, is forgotten.
const MAX_TERMINATION_AGE: Duration = Duration::from_secs(35);
/// Number of terminations that are kept; more than a pool has endpoints.
const MAX_TERMINATIONS: usize = 512;

#[derive(Clone, Debug)]
struct EndpointTermination {
    service: Arc<str>,
    process: EndpointProcess,
    at: TimePoint,
}

/// Endpoints that recently ended without having said that they leave.
#[derive(Clone, Debug, Default)]
pub struct TerminationHistory {
    recent: Vec<EndpointTermination>,
}

impl TerminationHistory {
    /// Records that `process`, an endpoint of `service`, has ended. A process ends once.
    pub fn record(&mut self, now: TimePoint, service: &Arc<str>, process: EndpointProcess) {
        self.recent
            .retain(|end| now.since(end.at) < MAX_TERMINATION_AGE);
        let is_known = self.recent.iter().any(|end| end.process == process);
        if !is_known && self.recent.len() < MAX_TERMINATIONS {
            self.recent.push(EndpointTermination {
                service: Arc::clone(service),
                process,
                at: now,
            });
        }
    }

    /// Whether `process` has ended recently.
    pub fn contains(&self, now: TimePoint, process: EndpointProcess) -> bool {
        let mut ends = self.recent.iter();
        ends.any(|end| end.process == process && now.since(end.at) < MAX_TERMINATION_AGE)
    }

    /// Probability that a run of `service` that takes `rest` from now on is lost with its endpoint,
    /// one of `endpoints`. Zero if no endpoint has ended recently.
    pub fn loss_probability(
        &self,
        now: TimePoint,
        service: &str,
        endpoints: usize,
        rest: Duration,
    ) -> f64 {
        let memory_s = TERMINATION_MEMORY.as_secs_f64();
        let ends = self.recent.iter().filter(|end| *end.service == *service);
        let ages = ends.map(|end| now.since(end.at));
        let ages = ages.filter(|age| *age < MAX_TERMINATION_AGE);
        let weight: f64 = ages.map(|age| (-age.as_secs_f64() / memory_s).exp()).sum();
        let ends_per_s = weight / memory_s / endpoints.max(1) as f64;
        1.0 - (-ends_per_s * rest.as_secs_f64()).exp()
    }
}

/// An endpoint that may receive a copy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CopyTarget<'a> {
    /// Id.
    pub id: &'a str,
    /// Failure domain.
    pub domain: &'a str,
    /// Calls that it runs and queues.
    pub load: f64,
    /// Calls that it runs at the same time.
    pub slots: f64,
}

/// Difference in the share of used slots within which targets count as equal.
const EQUAL_LOAD: f64 = 0.15;

/// Selects the target of a copy for the run with `key` in `domain`: one with a free slot, in the
/// same failure domain if there is one, with the least load. Runs are spread over targets that are
/// about equal, since many runs leave at once and entries do not know of each other's choices.
pub fn select_copy_target(domain: &str, key: u64, targets: &[CopyTarget<'_>]) -> Option<usize> {
    let load_share = |target: &CopyTarget<'_>| target.load / target.slots.max(1.0);
    let with_slot = || {
        let targets = targets.iter().enumerate();
        targets.filter(|(_, target)| target.load < target.slots)
    };
    let is_near_available = with_slot().any(|(_, target)| target.domain == domain);
    let eligible = || with_slot().filter(|(_, t)| !is_near_available || t.domain == domain);
    let least = eligible().map(|(_, target)| load_share(target));
    let least = least.min_by(f64::total_cmp)?;
    let equal = eligible().filter(|(_, target)| load_share(target) <= least + EQUAL_LOAD);
    let weight =
        |target: &CopyTarget<'_>| rendezvous_weight(&key.to_le_bytes(), target.id.as_bytes());
    let selected = equal.max_by_key(|(_, target)| weight(target));
    selected.map(|(index, _)| index)
}

/// Answer of an endpoint to the request to copy a run of its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CopyAnswer {
    /// The run is copied; if the request was the last one, the run has stopped.
    Copied {
        /// Name of the copy.
        handle: String,
    },
    /// The target has no capacity. If the request was the last one, the run has stopped and may go
    /// on at its source by this name.
    NoCapacity {
        /// Name of the copy at the source.
        handle: Option<String>,
    },
    /// The endpoint does not have the run.
    NoRun,
    /// Another copy of the run is being made.
    InProgress,
    /// No answer, or one that cannot be read: the run may have stopped.
    Unknown,
}

impl CopyAnswer {
    /// Name of the copy, if one was made.
    pub fn handle(&self) -> Option<&str> {
        match self {
            Self::Copied { handle } => Some(handle),
            Self::NoCapacity { handle } => handle.as_deref(),
            Self::NoRun | Self::InProgress | Self::Unknown => None,
        }
    }
}

/// What is known of the run at the endpoint that it is moved from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceState {
    /// It may be at work.
    MayRun,
    /// Its connection is closed, or the endpoint cannot be reached.
    Ended,
}

/// An endpoint at which a moved run may go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MovePlace {
    /// The endpoint that the run was copied to.
    Destination,
    /// The endpoint that stopped the run.
    Source,
}

/// Stage of a move.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum MoveStage {
    /// The run is copied while it runs.
    #[default]
    Copying,
    /// A first copy is made; the run goes on.
    Copied,
    /// The run has been told to stop.
    Stopping,
    /// The run has stopped, with its whole copy at the destination.
    Moved,
    /// The run has stopped without a copy at the destination.
    StoppedAtSource,
    /// The move was refused; the run goes on at its source.
    Refused,
    /// The run was told to stop, and the outcome is unknown.
    Unknown,
}

/// Move of one run: a copy while it runs, then a last one for which it stops.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunMove {
    stage: MoveStage,
    handle: Option<String>,
}

impl RunMove {
    /// Applies the answer to the latest request to copy.
    pub fn apply(&mut self, answer: &CopyAnswer) {
        let is_last = self.stage == MoveStage::Stopping;
        self.stage = match (answer, is_last) {
            (CopyAnswer::Copied { .. }, false) => MoveStage::Copied,
            (CopyAnswer::Copied { .. }, true) => MoveStage::Moved,
            (CopyAnswer::NoCapacity { handle: Some(_) }, true) => MoveStage::StoppedAtSource,
            (CopyAnswer::Unknown | CopyAnswer::NoCapacity { handle: None }, true) => {
                MoveStage::Unknown
            }
            _ => MoveStage::Refused,
        };
        if let Some(handle) = answer.handle() {
            self.handle = Some(handle.to_owned());
        }
    }

    /// Records that the run is told to stop.
    pub fn begin_stop(&mut self) {
        self.stage = MoveStage::Stopping;
    }

    /// Whether a first copy is made, so that the run can be told to stop.
    pub fn is_copied(&self) -> bool {
        self.stage == MoveStage::Copied
    }

    /// Whether the run has been told to stop, and it is not known whether it has.
    pub fn is_stopping(&self) -> bool {
        self.stage == MoveStage::Stopping
    }

    /// Whether the source has answered that the run has stopped.
    pub fn has_stopped(&self) -> bool {
        matches!(self.stage, MoveStage::Moved | MoveStage::StoppedAtSource)
    }

    /// Whether the move has failed without stopping the run, as far as is known.
    pub fn has_failed(&self) -> bool {
        matches!(self.stage, MoveStage::Refused | MoveStage::Unknown)
    }

    /// Whether the run was told to stop and may have.
    pub fn may_have_stopped(&self) -> bool {
        matches!(self.stage, MoveStage::Stopping | MoveStage::Unknown)
    }

    /// Name of the copy, if one was made.
    pub fn handle(&self) -> Option<&str> {
        self.handle.as_deref()
    }

    /// Where the run may go on from its copy, first choice first. Empty while the earlier run may be
    /// at work: two endpoints would then run the same call.
    pub fn places(&self, source: SourceState) -> &'static [MovePlace] {
        match self.stage {
            MoveStage::Moved => &[MovePlace::Destination, MovePlace::Source],
            MoveStage::StoppedAtSource => &[MovePlace::Source],
            // A copy that is behind the run: the destination makes the missing tokens again.
            _ if self.handle.is_some() && source == SourceState::Ended => &[MovePlace::Destination],
            _ => &[],
        }
    }
}
