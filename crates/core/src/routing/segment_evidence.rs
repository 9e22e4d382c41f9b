//! Weighs the ends of endpoints against the prompt segments of the calls that were lost with them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::time::TimePoint;

use super::segment_faults::EndpointEnd;

/// Weight of an end with a call that was not lost before.
const FIRST_LOSS: usize = 2;
/// Weight of an end with calls that were lost before only: they were sent again together with other
/// calls that were lost with them.
const REPEATED_LOSS: usize = 1;

/// The end of an endpoint, with the calls that any entry lost with it.
#[derive(Clone, Debug)]
pub(super) struct RecordedEnd {
    pub(super) end: EndpointEnd,
    pub(super) at: TimePoint,
}

/// What counts against one segment.
#[derive(Clone, Debug, Default)]
pub(super) struct SegmentEvidence {
    /// Separate ends.
    pub(super) ends: usize,
    /// Weight of these ends.
    pub(super) weight: usize,
    last_counted: Option<TimePoint>,
    calls: BTreeSet<u64>,
    /// Highest index in a prompt.
    pub(super) position: usize,
}

/// Calls with one segment that were lost with one endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct InvolvedCalls {
    calls: Vec<u64>,
    /// Highest index of the segment in a prompt.
    position: usize,
}

impl SegmentEvidence {
    /// Adds the end of an endpoint at `at`, unless it may have the same cause as the previous one.
    pub(super) fn add(&mut self, at: TimePoint, involved: &InvolvedCalls, simultaneous: Duration) {
        let is_repeat = |call: &u64| self.calls.contains(call);
        let has_repeats = involved.calls.iter().any(is_repeat);
        let has_new = !involved.calls.iter().all(is_repeat);
        let is_separate = self
            .last_counted
            .is_none_or(|last| at.since(last) >= simultaneous || has_repeats && at > last);
        self.position = self.position.max(involved.position);
        self.calls.extend(&involved.calls);
        if is_separate {
            self.ends += 1;
            self.weight += if has_new { FIRST_LOSS } else { REPEATED_LOSS };
            self.last_counted = Some(at);
        }
    }
}

impl RecordedEnd {
    /// Lost calls by each of their segments.
    pub(super) fn calls_by_segment(&self) -> BTreeMap<u64, InvolvedCalls> {
        let mut all: BTreeMap<u64, InvolvedCalls> = BTreeMap::new();
        for lost in &self.end.calls {
            for (position, segment) in lost.segments.iter().enumerate() {
                let involved = all.entry(*segment).or_default();
                involved.calls.push(lost.call);
                involved.position = involved.position.max(position);
            }
        }
        all
    }

    /// Whether a call with `segment` was lost.
    pub(super) fn contains(&self, segment: u64) -> bool {
        let mut calls = self.end.calls.iter();
        calls.any(|call| call.segments.contains(&segment))
    }

    /// Whether a call was lost at both endpoints, so that one ended after the other.
    pub(super) fn shares_call(&self, other: &Self) -> bool {
        let mut calls = self.end.calls.iter();
        calls.any(|call| other.end.calls.iter().any(|lost| lost.call == call.call))
    }
}
