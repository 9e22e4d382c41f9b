//! What one entry knows of prompt segments that make endpoints fail: which calls it sends, and what
//! it reports to the leading keeper.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::hash::rendezvous_owner;
use crate::time::TimePoint;

use super::segment_faults::{
    EndpointEnd, LostCall, SegmentBlock, SegmentProgress, SegmentStage, SegmentSuspicions,
};

/// Number of ends that an entry remembers, to report them to a new leader.
const MAX_ENDS: usize = 64;
/// Number of abandoned attempts that an entry remembers.
const MAX_ABANDONED: usize = 512;
/// Time between an abandoned attempt and the end of its endpoint within which they belong together.
const ABANDONED_WINDOW: Duration = Duration::from_secs(1);
/// Number of segments whose progress an entry remembers.
const MAX_PROGRESS: usize = 8_192;
/// Number of suspicious ends from which a call with the segment is not sent again before its answer has gone on.
const MAX_ENDS_FOR_REPEAT: u32 = 2;

/// Whether a call may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SegmentAdmission {
    /// No segment of the call is blocked.
    Admitted,
    /// The call is the only one with its blocked segments that is sent.
    Trial,
    /// A segment of the call is blocked.
    Blocked,
}

#[derive(Clone, Debug)]
struct ObservedEnd {
    end: EndpointEnd,
    at: TimePoint,
    report: ReportState,
}

/// An attempt that ended before its answer went on.
#[derive(Clone, Debug)]
struct AbandonedAttempt {
    endpoint: Arc<str>,
    at: TimePoint,
    call: LostCall,
}

/// Whether the leading keeper knows of an end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReportState {
    Due,
    Sent,
    Received,
}

/// Knowledge of prompt segments at one entry.
#[derive(Clone, Debug, Default)]
pub struct SegmentKnowledge {
    blocked: HashMap<u64, SegmentBlock>,
    /// Suspicions of the leading keeper.
    suspicions: SegmentSuspicions,
    ends: VecDeque<ObservedEnd>,
    abandoned: VecDeque<AbandonedAttempt>,
    /// When the latest answer that went on began, by segment.
    progress: HashMap<u64, TimePoint>,
    /// Blocked segments of calls on trial.
    trials: BTreeSet<u64>,
}

impl SegmentKnowledge {
    /// Replaces the blocked segments. Progress from before a block says nothing about it.
    pub fn set_blocked(&mut self, blocks: Vec<SegmentBlock>) {
        for block in &blocks {
            if !self.blocked.contains_key(&block.segment) {
                self.progress.remove(&block.segment);
            }
        }
        self.blocked = blocks
            .into_iter()
            .map(|block| (block.segment, block))
            .collect();
    }

    /// Replaces the suspicions.
    pub fn set_suspicions(&mut self, suspicions: SegmentSuspicions) {
        self.suspicions = suspicions;
    }

    /// Suspicions of the leading keeper.
    pub fn suspicions(&self) -> &SegmentSuspicions {
        &self.suspicions
    }

    /// Whether a call with `segments` may be sent. A call on trial counts as in progress until
    /// [`Self::finish_trial`].
    pub fn admit(
        &mut self,
        segments: &[u64],
        own: &Arc<str>,
        entries: &[Arc<str>],
    ) -> SegmentAdmission {
        let blocks: Vec<SegmentBlock> = segments
            .iter()
            .filter_map(|segment| self.blocked.get(segment).copied())
            .collect();
        if blocks.is_empty() {
            return SegmentAdmission::Admitted;
        }
        let may_try = |block: &SegmentBlock| {
            is_trial_owner(block, own, entries) && !self.trials.contains(&block.segment)
        };
        if !blocks.iter().all(may_try) {
            return SegmentAdmission::Blocked;
        }
        self.trials.extend(blocks.iter().map(|block| block.segment));
        SegmentAdmission::Trial
    }

    /// Ends the trial of a call with `segments`.
    pub fn finish_trial(&mut self, segments: &[u64]) {
        for segment in segments {
            self.trials.remove(segment);
        }
    }

    /// Whether a segment is blocked, and not on trial.
    pub fn is_blocked(&self, segments: &[u64]) -> bool {
        let mut blocks = segments
            .iter()
            .filter_map(|segment| self.blocked.get(segment));
        blocks.any(|block| block.stage == SegmentStage::Blocked)
    }

    /// Whether a segment is blocked or on trial.
    pub fn has_block(&self, segments: &[u64]) -> bool {
        segments
            .iter()
            .any(|segment| self.blocked.contains_key(segment))
    }

    /// Whether a call with `segments` may be sent again, although it may have ended its endpoint.
    pub fn may_repeat(&self, segments: &[u64]) -> bool {
        let mut suspicions = self.suspicions.segments.iter();
        let is_suspect = suspicions.any(|suspicion| {
            suspicion.ends >= MAX_ENDS_FOR_REPEAT && segments.contains(&suspicion.segment)
        });
        !self.has_block(segments) && !is_suspect
    }

    /// Records an attempt that ended before its answer went on.
    pub fn record_abandoned(&mut self, now: TimePoint, endpoint: &Arc<str>, call: LostCall) {
        self.abandoned.push_back(AbandonedAttempt {
            endpoint: Arc::clone(endpoint),
            at: now,
            call,
        });
        if self.abandoned.len() > MAX_ABANDONED {
            self.abandoned.pop_front();
        }
    }

    /// Records that an endpoint has ended at `at`, with the attempts that were abandoned there
    /// shortly before. Returns whether there were any.
    pub fn record_end(&mut self, at: TimePoint, mut end: EndpointEnd) -> bool {
        let is_involved = |attempt: &AbandonedAttempt| {
            attempt.endpoint == end.endpoint
                && at.since(attempt.at).max(attempt.at.since(at)) < ABANDONED_WINDOW
        };
        let (involved, others): (VecDeque<_>, VecDeque<_>) =
            self.abandoned.drain(..).partition(is_involved);
        self.abandoned = others;
        end.calls = involved.into_iter().map(|attempt| attempt.call).collect();
        let has_calls = !end.calls.is_empty();
        if has_calls {
            self.merge_end(at, end);
        }
        has_calls
    }

    /// Whether the end of the same process is known.
    pub fn knows_end(&self, end: &EndpointEnd) -> bool {
        let mut ends = self.ends.iter();
        ends.any(|known| known.end.is_same_process(end))
    }

    /// Number of blocked segments.
    pub fn blocked_count(&self) -> usize {
        self.blocked.len()
    }

    fn merge_end(&mut self, at: TimePoint, end: EndpointEnd) {
        let mut ends = self.ends.iter_mut();
        if let Some(known) = ends.find(|known| known.end.is_same_process(&end)) {
            known.end.calls.extend(end.calls);
            known.report = ReportState::Due;
            return;
        }
        self.ends.push_back(ObservedEnd {
            end,
            at,
            report: ReportState::Due,
        });
        if self.ends.len() > MAX_ENDS {
            self.ends.pop_front();
        }
    }

    /// Records that an answer to a call with `segments` went on, which began at `began_at`.
    pub fn record_progress(&mut self, began_at: TimePoint, segments: &[u64]) {
        for segment in segments {
            let latest = self.progress.entry(*segment).or_insert(began_at);
            *latest = began_at.max(*latest);
        }
        if self.progress.len() > MAX_PROGRESS {
            let mut times: Vec<TimePoint> = self.progress.values().copied().collect();
            let middle = times.len() / 2;
            let (_, median, _) = times.select_nth_unstable(middle);
            let median = *median;
            self.progress.retain(|_, at| *at > median);
        }
    }

    /// Ends that are due to be reported, for the next poll.
    pub fn take_due_ends(&mut self, now: TimePoint) -> Vec<EndpointEnd> {
        let due = self
            .ends
            .iter_mut()
            .filter(|observed| observed.report == ReportState::Due);
        let take = |observed: &mut ObservedEnd| {
            observed.report = ReportState::Sent;
            EndpointEnd {
                age_ms: now.millis_since(observed.at),
                ..observed.end.clone()
            }
        };
        due.map(take).collect()
    }

    /// Records that the poll with the latest reports was answered.
    pub fn confirm_ends(&mut self) {
        self.replace_report_state(ReportState::Sent, ReportState::Received);
    }

    /// Has the ends of a poll that was given up reported once more.
    pub fn resend_sent_ends(&mut self) {
        self.replace_report_state(ReportState::Sent, ReportState::Due);
    }

    /// Has all remembered ends reported once more, to a leader that may not know them.
    pub fn resend_all_ends(&mut self) {
        self.resend_sent_ends();
        self.replace_report_state(ReportState::Received, ReportState::Due);
    }

    fn replace_report_state(&mut self, from: ReportState, to: ReportState) {
        for observed in self.ends.iter_mut().filter(|end| end.report == from) {
            observed.report = to;
        }
    }

    /// Progress with suspected and blocked segments.
    pub fn relevant_progress(&self, now: TimePoint) -> Vec<SegmentProgress> {
        let suspected = self.suspicions.segments.iter().map(|item| item.segment);
        let segments = suspected.chain(self.blocked.keys().copied());
        let progress = |segment: u64| {
            let began_at = self.progress.get(&segment)?;
            Some(SegmentProgress {
                segment,
                age_ms: now.millis_since(*began_at),
            })
        };
        segments.filter_map(progress).collect()
    }
}

/// Whether the entry `own` sends the calls on trial with the segment of `block`.
fn is_trial_owner(block: &SegmentBlock, own: &Arc<str>, entries: &[Arc<str>]) -> bool {
    let SegmentStage::Trial { round } = block.stage else {
        return false;
    };
    let key = [block.segment.to_le_bytes(), u64::from(round).to_le_bytes()].concat();
    rendezvous_owner::<str>(&key, entries.iter().map(|entry| &**entry)) == Some(&**own)
}
