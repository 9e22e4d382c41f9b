//! Finds prompt segments that make endpoints fail, from the endpoints that ended while they started
//! on an answer.
//!
//! Answers loads in which calls with one segment end every endpoint that begins to answer them. An
//! end shows which calls were lost together, not which of their segments is the cause, so the
//! segments of several ends are compared, and answers that went on elsewhere count against it.

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::TimePoint;

use super::segment_evidence::{RecordedEnd, SegmentEvidence};

/// Age up to which entries are told of an end.
const RECENT_END: Duration = Duration::from_secs(3);
/// Interval between evaluations while nothing is reported.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(500);

/// When a segment is blocked, and for how long.
#[derive(Clone, Debug, PartialEq)]
pub struct SegmentFaultSettings {
    /// Weight of separate ends at which a segment is blocked: 2 for an end with a call that was not
    /// lost before, otherwise 1.
    pub min_weight: usize,
    /// The same for a segment of which an answer went on before.
    pub min_weight_after_progress: usize,
    /// Time for the entries to report progress before a segment is blocked.
    pub settling: Duration,
    /// Time for the entries to report to a new leader before a block that other segments account
    /// for is released.
    pub release_settling: Duration,
    /// Ends that are closer together may have one cause, other than a segment.
    pub simultaneous: Duration,
    /// Share of a failure domain's endpoints whose simultaneous end is a failure of the domain.
    pub domain_share: f64,
    /// Age at which an end is dropped.
    pub max_age: Duration,
    /// Maximum number of ends that are kept.
    pub max_ends: usize,
    /// Maximum number of blocked segments.
    pub max_blocks: usize,
    /// Time until a segment that is blocked for the first time is tried again. Doubles with each
    /// failed trial.
    pub block: Duration,
    /// Time after which a trial moves on to another entry.
    pub trial: Duration,
}

impl Default for SegmentFaultSettings {
    fn default() -> Self {
        Self {
            min_weight: 6,
            min_weight_after_progress: 10,
            settling: Duration::from_millis(150),
            release_settling: Duration::from_secs(1),
            simultaneous: Duration::from_millis(200),
            domain_share: 0.5,
            max_age: Duration::from_mins(5),
            max_ends: 256,
            max_blocks: 256,
            block: Duration::from_mins(1),
            trial: Duration::from_secs(10),
        }
    }
}

/// A call that was lost with its endpoint before its answer went on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostCall {
    /// Hash of the call's id.
    pub call: u64,
    /// Ids of the prompt segments that other calls may have as well, in order.
    pub segments: Vec<u64>,
}

/// The end of an endpoint's process, as one entry observed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEnd {
    /// Id of the endpoint.
    pub endpoint: Arc<str>,
    /// Start time of the process, in Unix milliseconds.
    pub born_ms: u64,
    /// Service of the endpoint.
    pub service: Arc<str>,
    /// Failure domain of the endpoint.
    pub domain: Arc<str>,
    /// Time since the end, in milliseconds.
    pub age_ms: u64,
    /// Calls lost with it.
    pub calls: Vec<LostCall>,
}

impl EndpointEnd {
    /// Whether both are the end of the same process.
    pub fn is_same_process(&self, other: &Self) -> bool {
        self.endpoint == other.endpoint && self.born_ms == other.born_ms
    }
}

/// An answer to a call with a segment went on after its beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentProgress {
    /// The segment.
    pub segment: u64,
    /// Time since the answer began, in milliseconds.
    pub age_ms: u64,
}

/// An endpoint that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedEndpoint {
    /// Id of the endpoint.
    pub endpoint: Arc<str>,
    /// Start time of the process, in Unix milliseconds.
    pub born_ms: u64,
    /// Time since the end, in milliseconds.
    pub age_ms: u64,
}

/// Suspected segments, and recently ended endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentSuspicions {
    /// Segments that ends count against.
    pub segments: Vec<SegmentSuspicion>,
    /// Endpoints that ended, so that entries report attempts that they abandoned there before.
    pub ended: Vec<EndedEndpoint>,
}

/// Number of separate ends that count against a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentSuspicion {
    /// The segment.
    pub segment: u64,
    /// The ends.
    pub ends: u32,
}

/// What happens to calls with a blocked segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SegmentStage {
    /// All entries refuse them.
    Blocked,
    /// One entry sends one such call at a time.
    Trial {
        /// Selects the entry.
        round: u32,
    },
}

/// A segment that makes endpoints fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentBlock {
    /// The segment.
    pub segment: u64,
    /// What happens to calls with it.
    pub stage: SegmentStage,
    /// Number of failed trials.
    pub failed_trials: u32,
}

/// A change of the blocked segments.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SegmentChange {
    /// Blocks a segment, or moves a blocked one to another stage.
    Set(SegmentBlock),
    /// Releases a segment.
    Clear {
        /// The segment.
        segment: u64,
    },
}

/// Compares the ends of endpoints that the entries report.
#[derive(Clone, Debug, Default)]
pub struct SegmentFaultDetector {
    settings: SegmentFaultSettings,
    /// Sorted by time.
    ends: VecDeque<RecordedEnd>,
    /// When the latest answer that went on began, by segment.
    progress: HashMap<u64, TimePoint>,
    /// When each block reached its stage.
    stages: HashMap<u64, (SegmentBlock, TimePoint)>,
    suspicions: Vec<SegmentSuspicion>,
    /// Since when each segment that is not blocked accounts for enough ends.
    candidates: HashMap<u64, TimePoint>,
    /// Since when other segments account for the ends of each blocked segment.
    explained: HashMap<u64, TimePoint>,
    /// When the reports were last evaluated; `None` if they have changed since.
    evaluated_at: Option<TimePoint>,
}

impl SegmentFaultDetector {
    /// Creates a detector without reports.
    pub fn new(settings: SegmentFaultSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records a reported end. Reports of the same end are merged.
    pub fn record_end(&mut self, now: TimePoint, end: EndpointEnd) {
        let mut ends = self.ends.iter_mut();
        if let Some(known) = ends.find(|known| known.end.is_same_process(&end)) {
            for call in end.calls {
                if !known.end.calls.contains(&call) {
                    known.end.calls.push(call);
                    self.evaluated_at = None;
                }
            }
            return;
        }
        self.evaluated_at = None;
        let at = now - Duration::from_millis(end.age_ms);
        let index = self.ends.partition_point(|known| known.at <= at);
        self.ends.insert(index, RecordedEnd { end, at });
        while self.ends.len() > self.settings.max_ends
            || self
                .ends
                .front()
                .is_some_and(|oldest| now.since(oldest.at) >= self.settings.max_age)
        {
            self.ends.pop_front();
        }
        let reported = self.reported_segments();
        self.progress
            .retain(|segment, _| reported.contains(segment));
    }

    /// Records that an answer went on.
    pub fn record_progress(&mut self, now: TimePoint, progress: SegmentProgress) {
        let began_at = now - Duration::from_millis(progress.age_ms);
        let latest = self.progress.entry(progress.segment);
        let latest = latest.or_insert(TimePoint::ZERO);
        if began_at > *latest {
            *latest = began_at;
            self.evaluated_at = None;
        }
    }

    /// Segments that at least one end counted against at the last evaluation, and recent ends.
    pub fn suspicions(&self, now: TimePoint) -> SegmentSuspicions {
        let recent = self.ends.iter().rev();
        let recent = recent.take_while(|recorded| now.since(recorded.at) < RECENT_END);
        let ended = recent.map(|recorded| EndedEndpoint {
            endpoint: Arc::clone(&recorded.end.endpoint),
            born_ms: recorded.end.born_ms,
            age_ms: now.millis_since(recorded.at),
        });
        SegmentSuspicions {
            segments: self.suspicions.clone(),
            ended: ended.collect(),
        }
    }

    /// Changes that the reports and the time call for. `pool_size` returns the number of endpoints
    /// of the ended endpoint's service in its failure domain.
    pub fn due_changes(
        &mut self,
        now: TimePoint,
        blocked: &BTreeMap<u64, SegmentBlock>,
        pool_size: impl Fn(&EndpointEnd) -> usize,
    ) -> Vec<SegmentChange> {
        self.track_stages(now, blocked);
        let is_recent = |at: TimePoint| now.since(at) < EVALUATION_INTERVAL;
        let is_settling = !self.candidates.is_empty() || !self.explained.is_empty();
        if !is_settling && self.evaluated_at.is_some_and(is_recent) {
            return Vec::new();
        }
        self.evaluated_at = Some(now);
        let ends = self.isolated_ends(pool_size);
        let evidence = self.weigh(&ends);
        let causes = self.find_causes(&ends, &evidence, blocked);
        let is_explained = |segment: &u64| {
            let evidence = evidence.get(segment);
            !causes.contains(segment)
                && evidence.is_some_and(|evidence| self.is_sufficient(*segment, evidence))
        };
        let explained = blocked.keys().copied().filter(is_explained);
        let explained = keep_start_times(now, &self.explained, explained);
        let candidates = causes.iter().copied();
        let candidates = candidates.filter(|segment| !blocked.contains_key(segment));
        let candidates = keep_start_times(now, &self.candidates, candidates);
        let mut changes: Vec<SegmentChange> = blocked
            .values()
            .filter_map(|block| self.next_stage(now, block, &ends, &explained))
            .collect();
        changes.extend(self.new_blocks(now, blocked.len(), &candidates));
        self.candidates = candidates;
        self.explained = explained;
        self.suspicions = evidence
            .into_iter()
            .map(|(segment, evidence)| SegmentSuspicion {
                segment,
                ends: u32::try_from(evidence.ends).unwrap_or(u32::MAX),
            })
            .collect();
        changes
    }

    /// Blocks of the candidates that have settled, next to `block_count` earlier ones.
    fn new_blocks(
        &self,
        now: TimePoint,
        block_count: usize,
        candidates: &HashMap<u64, TimePoint>,
    ) -> Vec<SegmentChange> {
        let free = self.settings.max_blocks.saturating_sub(block_count);
        let settled = candidates
            .iter()
            .filter(|(_, since)| now.since(**since) >= self.settings.settling);
        let block = |(segment, _): (&u64, &TimePoint)| {
            SegmentChange::Set(SegmentBlock {
                segment: *segment,
                stage: SegmentStage::Blocked,
                failed_trials: 0,
            })
        };
        settled.take(free).map(block).collect()
    }

    fn track_stages(&mut self, now: TimePoint, blocked: &BTreeMap<u64, SegmentBlock>) {
        self.stages
            .retain(|segment, _| blocked.contains_key(segment));
        for (segment, block) in blocked {
            let known = self.stages.entry(*segment).or_insert((*block, now));
            if known.0 != *block {
                *known = (*block, now);
            }
        }
    }

    /// The change of a blocked segment, if one is due.
    fn next_stage(
        &self,
        now: TimePoint,
        block: &SegmentBlock,
        ends: &[&RecordedEnd],
        explained: &HashMap<u64, TimePoint>,
    ) -> Option<SegmentChange> {
        let segment = block.segment;
        let since = self.stages.get(&segment).map_or(now, |(_, at)| *at);
        let last_end = ends
            .iter()
            .filter(|recorded| recorded.contains(segment))
            .map(|recorded| recorded.at)
            .next_back();
        let has_progress = self
            .progress
            .get(&segment)
            .is_some_and(|at| last_end.is_none_or(|end| *at > end));
        let is_explained = explained
            .get(&segment)
            .is_some_and(|at| now.since(*at) >= self.settings.release_settling);
        if has_progress || is_explained {
            return Some(SegmentChange::Clear { segment });
        }
        let stage = match block.stage {
            SegmentStage::Blocked => {
                let factor = 2_u32.saturating_pow(block.failed_trials.min(16));
                (now.since(since) >= self.settings.block * factor)
                    .then_some((SegmentStage::Trial { round: 0 }, block.failed_trials))
            }
            SegmentStage::Trial { .. } if last_end.is_some_and(|end| end > since) => {
                Some((SegmentStage::Blocked, block.failed_trials + 1))
            }
            SegmentStage::Trial { round } => (now.since(since) >= self.settings.trial).then_some((
                SegmentStage::Trial {
                    round: round.wrapping_add(1),
                },
                block.failed_trials,
            )),
        };
        stage.map(|(stage, failed_trials)| {
            SegmentChange::Set(SegmentBlock {
                segment,
                stage,
                failed_trials,
            })
        })
    }

    /// Ends that are not part of the failure of a whole failure domain.
    fn isolated_ends(&self, pool_size: impl Fn(&EndpointEnd) -> usize) -> Vec<&RecordedEnd> {
        let is_isolated = |recorded: &&RecordedEnd| {
            let together = self.ends.iter().filter(|other| {
                other.end.service == recorded.end.service
                    && other.end.domain == recorded.end.domain
                    && is_within(other.at, recorded.at, self.settings.simultaneous)
                    && !other.shares_call(recorded)
            });
            let count = together.count() + 1;
            let share = pool_size(&recorded.end) as f64 * self.settings.domain_share;
            (count as f64) < share.max(2.0)
        };
        self.ends.iter().filter(is_isolated).collect()
    }

    /// The fewest segments that account for the ends, whose evidence is given.
    fn find_causes(
        &self,
        ends: &[&RecordedEnd],
        evidence: &BTreeMap<u64, SegmentEvidence>,
        blocked: &BTreeMap<u64, SegmentBlock>,
    ) -> Vec<u64> {
        let mut open = ends.to_vec();
        let mut evidence = Cow::Borrowed(evidence);
        let mut causes = Vec::new();
        while let Some(segment) = self.strongest(&evidence, blocked) {
            causes.push(segment);
            open.retain(|recorded| !recorded.contains(segment));
            evidence = Cow::Owned(self.weigh(&open));
        }
        causes
    }

    /// The segment with the most evidence, if that suffices. Of segments with the same evidence, the
    /// later one in the prompt is chosen, because fewer calls have it.
    fn strongest(
        &self,
        evidence: &BTreeMap<u64, SegmentEvidence>,
        blocked: &BTreeMap<u64, SegmentBlock>,
    ) -> Option<u64> {
        let sufficient = evidence
            .iter()
            .filter(|(segment, evidence)| self.is_sufficient(**segment, evidence));
        let strongest = sufficient.max_by_key(|(segment, evidence)| {
            let is_blocked = blocked.contains_key(segment);
            (evidence.weight, is_blocked, evidence.position)
        });
        strongest.map(|(segment, _)| *segment)
    }

    /// Whether `evidence` suffices to block `segment`.
    fn is_sufficient(&self, segment: u64, evidence: &SegmentEvidence) -> bool {
        let min_weight = if self.progress.contains_key(&segment) {
            self.settings.min_weight_after_progress
        } else {
            self.settings.min_weight
        };
        evidence.weight >= min_weight
    }

    /// Evidence of `ends`, which are sorted by time, against each segment.
    fn weigh(&self, ends: &[&RecordedEnd]) -> BTreeMap<u64, SegmentEvidence> {
        let mut all: BTreeMap<u64, SegmentEvidence> = BTreeMap::new();
        for recorded in ends {
            for (segment, involved) in recorded.calls_by_segment() {
                let is_sound = |began_at: &TimePoint| *began_at > recorded.at;
                if !self.progress.get(&segment).is_some_and(is_sound) {
                    let evidence = all.entry(segment).or_default();
                    evidence.add(recorded.at, &involved, self.settings.simultaneous);
                }
            }
        }
        all
    }

    fn reported_segments(&self) -> BTreeSet<u64> {
        let calls = self.ends.iter().flat_map(|recorded| &recorded.end.calls);
        calls
            .flat_map(|call| call.segments.iter().copied())
            .collect()
    }
}

fn is_within(a: TimePoint, b: TimePoint, distance: Duration) -> bool {
    a.since(b).max(b.since(a)) < distance
}

/// Each of `segments` with the time since which it is one of them: that in `known`, else `now`.
fn keep_start_times(
    now: TimePoint,
    known: &HashMap<u64, TimePoint>,
    segments: impl Iterator<Item = u64>,
) -> HashMap<u64, TimePoint> {
    let with_start = |segment| (segment, known.get(&segment).copied().unwrap_or(now));
    segments.map(with_start).collect()
}
