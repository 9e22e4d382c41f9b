//! Warm-up of one endpoint, from the answers that this entry and the others have counted.

use std::sync::Arc;
use std::time::Duration;

use crate::limit_growth::LimitGrowth;
use crate::time::TimePoint;

use super::answer_counts::AnswerCount;
use super::leaving_endpoints::EndpointProcess;
use super::load_aggregation::EndpointHash;
use super::slow_start::{SlowStartSettings, WarmupChange, WarmupEvent};

/// Bits of an epoch that count the warm-ups of a process; the bits above hold its start time.
const COUNT_BITS: u32 = 20;
/// Factor between consecutive pauses.
const PAUSE_FACTOR: u32 = 4;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Answers {
    sound: u32,
    bad: u32,
    rejected: u32,
}

/// What an answer says of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerKind {
    /// It began in time.
    Sound,
    /// It was late or failed.
    Bad,
    /// The endpoint rejected the call for lack of room.
    Rejected,
}

/// A call that an entry sent while the limit was at the floor.
#[derive(Clone, Copy, Debug)]
struct Probe {
    sent_at: TimePoint,
    /// Time after which it counts as bad if it has no answer.
    late_after: Duration,
}

/// A warm-up in progress.
#[derive(Clone, Debug)]
pub(super) struct WarmingState {
    growth: LimitGrowth,
    entered_at: TimePoint,
    /// Start of the time without bad answers.
    healthy_since: TimePoint,
    /// Time of the last bad answer, and the pause that follows it.
    fell: Option<(TimePoint, Duration)>,
    falls: u32,
    /// Those of them that late or failed answers caused.
    bad_falls: u32,
    /// Whether a sound answer has come since the last bad one.
    has_sound: bool,
    evidence_at: TimePoint,
    /// When a rejection last halved the limit.
    halved_at: Option<TimePoint>,
    /// The latest probe of this entry to which no answer has been recorded.
    probe: Option<Probe>,
}

impl WarmingState {
    pub(super) fn limit(&self) -> u32 {
        self.growth.limit()
    }

    /// Number of times that a late or failed answer made the limit fall back.
    pub(super) fn bad_falls(&self) -> u32 {
        self.bad_falls
    }

    /// Whether the endpoint gets no calls because of a bad answer, for at most `max_pause`.
    pub(super) fn is_paused(&self, now: TimePoint, max_pause: Option<Duration>) -> bool {
        self.fell.is_some_and(|(at, pause)| {
            let pause = max_pause.map_or(pause, |max| pause.min(max));
            now < at + pause
        })
    }

    fn fall(&mut self, now: TimePoint, settings: &SlowStartSettings) -> WarmupEvent {
        let limit = self.growth.limit();
        let factor = PAUSE_FACTOR.saturating_pow(self.falls);
        let pause = settings.probe_pause.saturating_mul(factor);
        let pause = pause.min(settings.max_probe_pause);
        self.growth.fall_to(settings.floor_calls);
        self.falls += 1;
        self.fell = Some((now, pause));
        self.healthy_since = self.healthy_since.max(now + pause);
        self.has_sound = false;
        WarmupEvent::FellBack { limit, pause }
    }

    /// Whether rejections belong to calls that were sent before the limit was last halved.
    fn is_in_rejection_window(&self, now: TimePoint, settings: &SlowStartSettings) -> bool {
        let is_recent = |at| now.since(at) < settings.rejection_window;
        self.halved_at.is_some_and(is_recent)
    }

    /// Halves the limit after a rejection. At the floor there is nothing to halve, and the endpoint gets
    /// no calls for a while, as after a bad answer.
    fn reject(&mut self, now: TimePoint, settings: &SlowStartSettings) -> Option<WarmupEvent> {
        if self.growth.limit() <= settings.floor_calls {
            return Some(self.fall(now, settings));
        }
        let limit = (self.growth.limit() / 2).max(settings.floor_calls);
        self.growth.fall_to(limit);
        self.halved_at = Some(now);
        self.healthy_since = self.healthy_since.max(now);
        None
    }

    /// Applies new answers. During a pause they belong to calls that were sent before it.
    fn apply(
        &mut self,
        now: TimePoint,
        new: Answers,
        settings: &SlowStartSettings,
    ) -> Option<WarmupEvent> {
        if new == Answers::default() || self.is_paused(now, None) {
            return None;
        }
        self.evidence_at = now;
        if new.bad > 0 {
            self.bad_falls += 1;
            return Some(self.fall(now, settings));
        }
        let is_rejected = new.rejected > 0 && !self.is_in_rejection_window(now, settings);
        if is_rejected {
            return self.reject(now, settings);
        }
        if new.sound == 0 {
            return None;
        }
        self.has_sound = true;
        for _ in 0..new.sound {
            if self.growth.is_full() {
                break;
            }
            self.growth.observe(1, 0);
        }
        None
    }

    /// Whether the endpoint has its full share. Without any answer, only idle time counts.
    fn is_done(&self, now: TimePoint, settings: &SlowStartSettings) -> bool {
        let is_idle = self.falls == 0 && self.probe.is_none();
        let is_trusted = self.has_sound || is_idle;
        self.growth.is_full() || is_trusted && now >= self.healthy_since + settings.full_after
    }
}

/// Phase of an endpoint.
#[derive(Clone, Debug)]
pub(super) enum WarmupPhase {
    /// The number of calls is limited.
    Warming(WarmingState),
    /// The endpoint has its full share.
    Full,
}

/// Warm-up of one endpoint.
#[derive(Clone, Debug)]
pub(super) struct EndpointWarmup {
    id: Arc<str>,
    slots: u32,
    epoch: u64,
    phase: WarmupPhase,
    own: Answers,
    peers: Answers,
    /// Answers that have changed the limit.
    applied: Answers,
    /// Whether the latest answer of the epoch is one of this entry.
    is_latest_own: bool,
    /// Whether this entry has had an answer since it last heard from the others.
    has_own_since_merge: bool,
    sound_at: Option<TimePoint>,
    /// When the epoch was taken over from other entries.
    adopted_at: Option<TimePoint>,
    /// When the last warm-up ended.
    full_at: Option<TimePoint>,
}

impl EndpointWarmup {
    /// An endpoint of whose process no warm-up is known.
    pub(super) fn full(id: &Arc<str>, process: EndpointProcess) -> Self {
        Self {
            id: Arc::clone(id),
            slots: 1,
            epoch: process.born_ms << COUNT_BITS,
            phase: WarmupPhase::Full,
            own: Answers::default(),
            peers: Answers::default(),
            applied: Answers::default(),
            is_latest_own: false,
            has_own_since_merge: false,
            sound_at: None,
            adopted_at: None,
            full_at: None,
        }
    }

    pub(super) fn id(&self) -> &str {
        &self.id
    }

    pub(super) fn slots(&self) -> u32 {
        self.slots
    }

    pub(super) fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    pub(super) fn phase(&self) -> &WarmupPhase {
        &self.phase
    }

    pub(super) fn is_warming(&self) -> bool {
        matches!(self.phase, WarmupPhase::Warming(_))
    }

    pub(super) fn change(&self, event: WarmupEvent) -> WarmupChange {
        // Several entries may have the answers that complete a warm-up at the same time.
        let is_shared = matches!(event, WarmupEvent::Full(_)) && self.has_own_since_merge;
        WarmupChange {
            id: Arc::clone(&self.id),
            event,
            is_own: self.is_latest_own || is_shared,
        }
    }

    /// Start time of the process, from the epoch.
    pub(super) fn born_ms(&self) -> u64 {
        self.epoch >> COUNT_BITS
    }

    /// Moves to the next epoch of the same process.
    pub(super) fn advance_epoch(&mut self) {
        let last = self.epoch | ((1 << COUNT_BITS) - 1);
        self.set_epoch(self.epoch.saturating_add(1).min(last));
    }

    fn set_epoch(&mut self, epoch: u64) {
        self.epoch = epoch;
        self.own = Answers::default();
        self.peers = Answers::default();
        self.applied = Answers::default();
        self.is_latest_own = false;
        self.has_own_since_merge = false;
    }

    /// Records that the counts of the other entries have been merged.
    pub(super) fn finish_merge(&mut self) {
        self.has_own_since_merge = false;
    }

    pub(super) fn enter(
        &mut self,
        now: TimePoint,
        resume_at: TimePoint,
        settings: &SlowStartSettings,
    ) {
        let warming = WarmingState {
            growth: LimitGrowth::new(settings.growth, settings.floor_calls, self.slots),
            entered_at: now,
            healthy_since: resume_at.max(now),
            fell: None,
            falls: 0,
            bad_falls: 0,
            has_sound: false,
            evidence_at: now,
            halved_at: None,
            probe: None,
        };
        self.phase = WarmupPhase::Warming(warming);
    }

    /// Whether the warm-up in progress was adopted so recently that a cause which all entries learn of
    /// is the one that started it elsewhere. True for one cause.
    pub(super) fn take_adoption(&mut self, now: TimePoint, settings: &SlowStartSettings) -> bool {
        let adopted_at = self.adopted_at.take();
        let is_recent = adopted_at.is_some_and(|at| now.since(at) < settings.full_after);
        is_recent && self.is_warming()
    }

    /// Extends a warm-up in progress by the time until `resume_at`. Returns whether there is one.
    pub(super) fn postpone(&mut self, resume_at: TimePoint) -> bool {
        let WarmupPhase::Warming(warming) = &mut self.phase else {
            return false;
        };
        warming.healthy_since = warming.healthy_since.max(resume_at);
        true
    }

    /// Whether answers count and are reported: also for a while after the end of the warm-up, since
    /// the entries at which it has not ended yet need them.
    pub(super) fn is_reported(&self, now: TimePoint, settings: &SlowStartSettings) -> bool {
        let is_recent = |at| now.since(at) < settings.report_time;
        self.is_warming() || self.full_at.is_some_and(is_recent)
    }

    pub(super) fn record_own(
        &mut self,
        now: TimePoint,
        kind: AnswerKind,
        settings: &SlowStartSettings,
    ) {
        if kind == AnswerKind::Sound {
            self.sound_at = Some(now);
        }
        if let WarmupPhase::Warming(warming) = &mut self.phase {
            warming.probe = None;
        }
        if self.is_reported(now, settings) {
            let count = match kind {
                AnswerKind::Sound => &mut self.own.sound,
                AnswerKind::Bad => &mut self.own.bad,
                AnswerKind::Rejected => &mut self.own.rejected,
            };
            *count = count.saturating_add(1);
            self.is_latest_own = true;
            self.has_own_since_merge = true;
        }
    }

    pub(super) fn own_count(&self, endpoint: EndpointHash) -> AnswerCount {
        AnswerCount {
            endpoint,
            epoch: self.epoch,
            sound: self.own.sound,
            bad: self.own.bad,
            rejected: self.own.rejected,
        }
    }

    /// Takes over the sum of the other entries' counts, which never falls within an epoch. Returns
    /// whether the endpoint begins to warm up because of it: other entries are in a later epoch, or
    /// have had bad answers since the endpoint has its full share here.
    pub(super) fn adopt(
        &mut self,
        now: TimePoint,
        sum: &AnswerCount,
        settings: &SlowStartSettings,
    ) -> bool {
        let is_later = sum.epoch > self.epoch;
        let has_news = is_later || sum.epoch == self.epoch && sum.bad > self.peers.bad;
        let is_contrary = |at| now.since(at) < settings.contrary_time;
        let is_refuted = !self.is_warming() && self.sound_at.is_some_and(is_contrary);
        if sum.epoch < self.epoch || is_later && is_refuted {
            return false;
        }
        let is_entered = is_later || has_news && !self.is_warming() && !is_refuted;
        if is_later {
            self.set_epoch(sum.epoch);
            self.adopted_at = Some(now);
        }
        if is_entered {
            self.enter(now, now, settings);
        }
        if sum.sound > self.peers.sound || sum.bad > self.peers.bad {
            self.is_latest_own = false;
        }
        self.peers.sound = self.peers.sound.max(sum.sound);
        self.peers.bad = self.peers.bad.max(sum.bad);
        self.peers.rejected = self.peers.rejected.max(sum.rejected);
        is_entered
    }

    /// Applies the answers that have been counted since the last call.
    pub(super) fn apply(
        &mut self,
        now: TimePoint,
        settings: &SlowStartSettings,
    ) -> Option<WarmupEvent> {
        let total = Answers {
            sound: self.own.sound.saturating_add(self.peers.sound),
            bad: self.own.bad.saturating_add(self.peers.bad),
            rejected: self.own.rejected.saturating_add(self.peers.rejected),
        };
        let new = Answers {
            sound: total.sound.saturating_sub(self.applied.sound),
            bad: total.bad.saturating_sub(self.applied.bad),
            rejected: total.rejected.saturating_sub(self.applied.rejected),
        };
        self.applied = total;
        let WarmupPhase::Warming(warming) = &mut self.phase else {
            return None;
        };
        let event = warming.apply(now, new, settings);
        let is_full = warming.growth.is_full();
        if is_full { self.leave(now) } else { event }
    }

    /// Ends the warm-up if time is evidence enough. Counts a probe without an answer as bad once it
    /// is late; one that has ended without an answer was cancelled and counts as nothing.
    pub(super) fn tick(
        &mut self,
        now: TimePoint,
        has_calls: bool,
        settings: &SlowStartSettings,
    ) -> Option<WarmupEvent> {
        let WarmupPhase::Warming(warming) = &mut self.phase else {
            return None;
        };
        warming.probe = warming.probe.filter(|_| has_calls);
        let is_late = |probe: Probe| now.since(probe.sent_at) >= probe.late_after;
        if warming.probe.is_some_and(is_late) {
            self.record_own(now, AnswerKind::Bad, settings);
            return self.apply(now, settings);
        }
        let is_done = warming.is_done(now, settings);
        if is_done { self.leave(now) } else { None }
    }

    /// Records that this entry has sent a call while the limit was at the floor, which is late
    /// `late_after` from now.
    pub(super) fn record_probe(&mut self, now: TimePoint, late_after: Duration) {
        if let WarmupPhase::Warming(warming) = &mut self.phase {
            warming.probe = Some(Probe {
                sent_at: now,
                late_after,
            });
        }
    }

    fn leave(&mut self, now: TimePoint) -> Option<WarmupEvent> {
        let phase = std::mem::replace(&mut self.phase, WarmupPhase::Full);
        let WarmupPhase::Warming(warming) = phase else {
            return None;
        };
        self.full_at = Some(now);
        Some(WarmupEvent::Full(now.since(warming.entered_at)))
    }

    /// Number by which the order of the entries is rotated: the next one has its turn after a bad
    /// answer, and when no answer has been recorded for a while.
    pub(super) fn turn(&self, now: TimePoint, settings: &SlowStartSettings) -> u32 {
        let WarmupPhase::Warming(warming) = &self.phase else {
            return 0;
        };
        let quiet_since = warming.evidence_at.max(warming.healthy_since);
        let quiet = now.since(quiet_since).as_millis() / settings.turn_time.as_millis().max(1);
        warming.falls + u32::try_from(quiet).unwrap_or(u32::MAX) % 1_000
    }
}
