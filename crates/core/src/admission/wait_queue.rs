//! Queue of the calls that wait for a place at an endpoint. Calls are ordered by priority class, then
//! by weighted fair queueing among workspaces, then by the time by which they must start. Calls that
//! could only be late are behind all others.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::class_queue::{ClassQueue, QueueItem};
use super::drain_rate::DrainRate;
use super::queued_call::{
    PriorityClass, QueueError, QueueForecast, QueueSettings, QueuedCall, StartWindow, WaitOutlook,
    WaiterId,
};
use crate::time::TimePoint;

/// Part of the freed places that the minimum shares of all lower classes together may take.
const MAX_LOWER_SHARE: f64 = 0.5;
/// Multiple of the time left that the expected wait of a waiting call must exceed for the call to be
/// given up: the measured rate varies, and a call that has waited is not refused on a small excess.
const UNREACHABLE_FACTOR: f64 = 2.0;
/// Number of waiting calls that one event lets try after the first one could not use it, for example
/// because its session needs another version. Bounds the work per event.
const MAX_PASSED: usize = 3;
/// Lowest time to return that a full queue states.
const MIN_FULL_WAIT: Duration = Duration::from_millis(100);

/// Order of classes: late calls are behind all others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueTier {
    is_late: bool,
    class: PriorityClass,
}

#[derive(Clone, Debug)]
struct WaitingCall {
    tier: QueueTier,
    workspace: Arc<str>,
    weight: f64,
    work_ms: f64,
    window: StartWindow,
}

impl WaitingCall {
    /// When the call leaves its tier, which is also its place within the workspace.
    fn due(&self) -> TimePoint {
        if self.tier.is_late {
            self.window.late_until
        } else {
            self.window.useful_until
        }
    }

    fn item(&self, id: WaiterId) -> QueueItem<'_> {
        QueueItem {
            workspace: &self.workspace,
            due: self.due(),
            id,
            work_ms: self.work_ms,
            weight: self.weight,
        }
    }
}

/// Calls that wait for one pool of endpoints.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    settings: QueueSettings,
    tiers: BTreeMap<QueueTier, ClassQueue>,
    waiters: HashMap<WaiterId, WaitingCall>,
    /// When each waiting call becomes late or expires.
    due: BTreeSet<(TimePoint, WaiterId)>,
    /// Calls whose time is over and that have not been removed yet.
    expired: BTreeSet<WaiterId>,
    /// Calls that could not use the capacity of the present event.
    passed: BTreeSet<WaiterId>,
    last_id: WaiterId,
    drain: DrainRate,
}

impl WaitQueue {
    /// An empty queue.
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Number of waiting calls.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether no call is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Whether a call that can be served in time and is at least as urgent as `class` waits.
    pub fn has_waiting(&mut self, now: TimePoint, class: PriorityClass) -> bool {
        self.advance(now);
        let last = QueueTier {
            is_late: false,
            class,
        };
        self.tiers.range(..=last).any(|(_, queue)| queue.len() > 0)
    }

    /// Work that is started per time while calls wait; `None` before it was measured.
    pub fn work_per_ms(&self) -> Option<f64> {
        self.drain.work_per_ms()
    }

    /// What would be ahead of `call` if it joined now and could be served in time.
    pub fn forecast(&mut self, now: TimePoint, call: &QueuedCall<'_>) -> QueueForecast {
        self.advance(now);
        self.forecast_for(&Self::waiting_call(call, false), WaiterId::MAX)
    }

    fn forecast_for(&self, waiter: &WaitingCall, id: WaiterId) -> QueueForecast {
        let before = self.tiers.range(..waiter.tier);
        let before: f64 = before.map(|(_, queue)| queue.work_ms()).sum();
        let item = waiter.item(id);
        let own = self.tiers.get(&waiter.tier);
        let work_ahead_ms = before + own.map_or(0.0, |queue| queue.work_ahead(&item));
        QueueForecast {
            work_ahead_ms,
            wait: self.drain.time_for(work_ahead_ms),
        }
    }

    fn waiting_call(call: &QueuedCall<'_>, is_late: bool) -> WaitingCall {
        WaitingCall {
            tier: QueueTier {
                is_late,
                class: call.class,
            },
            workspace: Arc::from(call.workspace),
            weight: call.weight,
            work_ms: call.work_ms.max(0.0),
            window: call.window,
        }
    }

    /// Adds a call to the queue: among those that can be served in time if its expected start
    /// allows it, else among the late ones.
    ///
    /// # Errors
    /// [`QueueError`] if the queue is full or the call can start neither in time nor late.
    pub fn join(&mut self, now: TimePoint, call: &QueuedCall<'_>) -> Result<WaiterId, QueueError> {
        self.advance(now);
        let on_time = Self::waiting_call(call, false);
        let wait = self.forecast_for(&on_time, WaiterId::MAX).wait;
        if self.is_full_for(call.workspace) {
            return Err(QueueError::Full(wait.max(MIN_FULL_WAIT)));
        }
        if now + wait <= call.window.useful_until && now < call.window.useful_until {
            return Ok(self.insert(now, on_time));
        }
        let late = Self::waiting_call(call, true);
        let late_wait = self.forecast_for(&late, WaiterId::MAX).wait;
        if now + late_wait <= call.window.late_until && now < call.window.late_until {
            return Ok(self.insert(now, late));
        }
        Err(QueueError::DeadlineUnreachable(wait))
    }

    fn is_full_for(&self, workspace: &str) -> bool {
        let workspace_limit = self.settings.capacity as f64 * self.settings.workspace_share;
        let queues = self.tiers.values();
        let workspace_len: usize = queues.map(|queue| queue.workspace_len(workspace)).sum();
        self.len() >= self.settings.capacity || workspace_len as f64 >= workspace_limit
    }

    fn insert(&mut self, now: TimePoint, waiter: WaitingCall) -> WaiterId {
        self.last_id += 1;
        let id = self.last_id;
        self.place(id, waiter);
        self.observe(now);
        id
    }

    fn place(&mut self, id: WaiterId, waiter: WaitingCall) {
        let tier = self.tiers.entry(waiter.tier).or_default();
        tier.insert(&waiter.item(id));
        self.due.insert((waiter.due(), id));
        self.waiters.insert(id, waiter);
    }

    fn observe(&mut self, now: TimePoint) {
        let half_life = self.settings.rate_half_life;
        self.drain.observe(now, half_life, !self.waiters.is_empty());
    }

    /// Moves calls that can no longer be served in time behind the others, and removes those whose
    /// time is over.
    fn advance(&mut self, now: TimePoint) {
        self.observe(now);
        while let Some((due, id)) = self.due.first().copied().filter(|(due, _)| *due <= now) {
            self.due.remove(&(due, id));
            let Some(mut waiter) = self.take(id) else {
                continue;
            };
            if !waiter.tier.is_late && waiter.window.late_until > now {
                waiter.tier.is_late = true;
                self.place(id, waiter);
            } else {
                self.expired.insert(id);
            }
        }
        self.observe(now);
    }

    /// Removes a call that is not started.
    fn take(&mut self, id: WaiterId) -> Option<WaitingCall> {
        let waiter = self.waiters.remove(&id)?;
        self.due.remove(&(waiter.due(), id));
        if let Some(queue) = self.tiers.get_mut(&waiter.tier) {
            queue.remove(&waiter.item(id));
        }
        Some(waiter)
    }

    /// Begins a new round of tries, after an event that may have freed capacity.
    pub fn begin_round(&mut self) {
        self.passed.clear();
    }

    /// Lets the next call try, since `id` could not use the capacity of the present event.
    pub fn pass_over(&mut self, id: WaiterId) {
        self.passed.insert(id);
    }

    /// Whether as many calls have tried since the last event as may. The other calls then try from
    /// time to time, so that calls that no endpoint can take do not block the queue.
    pub fn is_round_over(&self) -> bool {
        self.passed.len() > MAX_PASSED
    }

    /// The call that may try next; `None` if none waits or enough have tried since the last event.
    pub fn next(&mut self, now: TimePoint) -> Option<WaiterId> {
        self.advance(now);
        if self.is_round_over() {
            return None;
        }
        let owed = self
            .tiers
            .iter()
            .filter(|(tier, queue)| !tier.is_late && queue.owed_places >= 1.0 && queue.len() > 0);
        let tiers = owed.chain(self.tiers.iter());
        tiers
            .into_iter()
            .find_map(|(_, queue)| queue.next(&self.passed))
    }

    /// Removes a call that has got a place, and charges its work to its workspace.
    pub fn start(&mut self, now: TimePoint, id: WaiterId) {
        self.observe(now);
        self.grant_shares(id);
        let Some(waiter) = self.waiters.remove(&id) else {
            self.expired.remove(&id);
            return;
        };
        self.due.remove(&(waiter.due(), id));
        if let Some(queue) = self.tiers.get_mut(&waiter.tier) {
            queue.start(&waiter.item(id));
        }
        self.drain.record_start(waiter.work_ms);
        self.leave(now, id);
    }

    /// Adds the minimum share of one freed place to each class that waits behind a more urgent one,
    /// and takes the place from the share of the class that got it.
    fn grant_shares(&mut self, started: WaiterId) {
        let started_tier = self.waiters.get(&started).map(|waiter| waiter.tier);
        let waiting = self.tiers.iter_mut();
        let waiting = waiting.filter(|(tier, queue)| !tier.is_late && queue.len() > 0);
        let lower: Vec<_> = waiting.skip(1).collect();
        let max_share = MAX_LOWER_SHARE / lower.len().max(1) as f64;
        let share = self.settings.min_class_share.min(max_share);
        for (tier, queue) in lower {
            queue.owed_places += share;
            if Some(*tier) == started_tier {
                queue.owed_places = (queue.owed_places - 1.0).max(0.0);
            }
        }
    }

    /// Removes and returns the next call, which gets a place.
    pub fn pop(&mut self, now: TimePoint) -> Option<WaiterId> {
        self.begin_round();
        let id = self.next(now)?;
        self.start(now, id);
        Some(id)
    }

    /// Removes a call from the queue, for example because its caller disconnected.
    pub fn leave(&mut self, now: TimePoint, id: WaiterId) {
        self.observe(now);
        self.take(id);
        self.expired.remove(&id);
        self.passed.remove(&id);
        self.observe(now);
    }

    /// Prospect of a waiting call.
    pub fn outlook(&mut self, now: TimePoint, id: WaiterId) -> WaitOutlook {
        self.advance(now);
        let Some(waiter) = self.waiters.get(&id) else {
            return WaitOutlook::Expired;
        };
        let end = waiter.window.end();
        let wait = self.forecast_for(waiter, id).wait;
        if wait > end.since(now).mul_f64(UNREACHABLE_FACTOR) {
            return WaitOutlook::Unreachable;
        }
        WaitOutlook::Waiting(end)
    }

    /// Removes and returns all calls whose time is over.
    pub fn take_expired(&mut self, now: TimePoint) -> Vec<WaiterId> {
        self.advance(now);
        std::mem::take(&mut self.expired).into_iter().collect()
    }
}
