//! How long a resumable stream of a managed service may stay silent at one endpoint. Addresses
//! responses that an endpoint loses while its connection stays open and its health check passes.

use std::time::Duration;

/// Multiples of the latency target and of the target gap. A pause of a few gaps also occurs where a
/// more urgent call preempts the stream, and a new run costs another endpoint the whole prefill.
const FIRST_EVENT_TARGETS: f64 = 1.0;
const LAST_FIRST_EVENT_TARGETS: f64 = 2.0;
const PAUSE_GAPS: f64 = 4.0;
const LAST_PAUSE_GAPS: f64 = 8.0;

/// Whether a silent stream could run elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamAlternative {
    /// Attempts and the retry budget allow another run.
    OtherEndpoint,
    /// The caller can only be told that the call failed, and may retry by itself.
    CallerOnly,
}

/// Limits of the silence of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SilenceLimits {
    /// Latency target of the route.
    pub latency_target: Duration,
    /// Target gap between events.
    pub target_gap: Duration,
}

impl SilenceLimits {
    /// Longest time from the start of an attempt to its first event.
    pub fn first_event(&self, alternative: StreamAlternative) -> Duration {
        self.latency_target.mul_f64(match alternative {
            StreamAlternative::OtherEndpoint => FIRST_EVENT_TARGETS,
            StreamAlternative::CallerOnly => LAST_FIRST_EVENT_TARGETS,
        })
    }

    /// Longest pause after an event.
    pub fn pause(&self, alternative: StreamAlternative) -> Duration {
        self.target_gap.mul_f64(match alternative {
            StreamAlternative::OtherEndpoint => PAUSE_GAPS,
            StreamAlternative::CallerOnly => LAST_PAUSE_GAPS,
        })
    }
}
