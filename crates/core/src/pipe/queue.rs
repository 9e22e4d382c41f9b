//! Queue of requests that wait for an endpoint. Requests are ordered by priority class, then by
//! weighted fair queueing among workspaces, then by deadline.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use super::intake::RequestPriority;
use crate::ids::WorkspaceId;
use crate::time::TimePoint;

/// Limits of the queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueSettings {
    /// Maximum number of waiting requests.
    pub capacity: usize,
    /// Share of the capacity that one workspace may use.
    pub workspace_share: f64,
    /// Share of the time until its deadline that a request may spend in the queue. The rest is
    /// needed for the answer.
    pub max_wait_share: f64,
    /// Number of dequeued requests over which the service rate is averaged.
    pub rate_window: f64,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            capacity: 512,
            workspace_share: 0.5,
            max_wait_share: 0.5,
            rate_window: 64.0,
        }
    }
}

/// Identifies a waiting request.
pub type WaiterId = u64;

/// Why a request cannot be queued.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QueueError {
    /// The queue is full, overall or for the workspace. Holds the time after which to retry.
    Full(Duration),
    /// The expected wait leaves too little time until the deadline. Holds the expected wait.
    DeadlineUnreachable(Duration),
}

#[derive(Clone, Debug, Default)]
struct WorkspaceQueue {
    waiting: BTreeSet<(TimePoint, WaiterId)>,
    virtual_time: f64,
}

#[derive(Clone, Debug, Default)]
struct PriorityClass {
    queues: BTreeMap<WorkspaceId, WorkspaceQueue>,
}

/// Requests that wait for one pool of endpoints.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    settings: QueueSettings,
    classes: BTreeMap<RequestPriority, PriorityClass>,
    waiters: HashMap<WaiterId, (RequestPriority, WorkspaceId, TimePoint)>,
    last_id: WaiterId,
    virtual_clock: f64,
    mean_interval: Option<Duration>,
    last_pop_at: Option<TimePoint>,
}

impl WaitQueue {
    /// An empty queue.
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Expected wait of a request that joins with `priority`.
    pub fn expected_wait(&self, priority: RequestPriority) -> Duration {
        let ahead = self
            .waiters
            .values()
            .filter(|(other, _, _)| *other <= priority)
            .count();
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        self.mean_interval.unwrap_or_default().saturating_mul(ahead)
    }

    /// Adds a request to the queue.
    ///
    /// # Errors
    /// [`QueueError`] if the queue is full or the deadline cannot be met.
    pub fn join(
        &mut self,
        now: TimePoint,
        workspace: &WorkspaceId,
        priority: RequestPriority,
        deadline: TimePoint,
    ) -> Result<WaiterId, QueueError> {
        let wait = self.expected_wait(priority);
        let workspace_limit = self.settings.capacity as f64 * self.settings.workspace_share;
        let workspace_len = self.workspace_len(workspace);
        if self.len() >= self.settings.capacity || workspace_len as f64 >= workspace_limit {
            return Err(QueueError::Full(wait.max(Duration::from_millis(100))));
        }
        if wait >= deadline.since(now).mul_f64(self.settings.max_wait_share) {
            return Err(QueueError::DeadlineUnreachable(wait));
        }
        self.last_id += 1;
        let id = self.last_id;
        let clock = self.virtual_clock;
        let class = self.classes.entry(priority).or_default();
        let queue = class.queues.entry(workspace.clone()).or_default();
        if queue.waiting.is_empty() {
            // A workspace does not accumulate credit while it is idle.
            queue.virtual_time = queue.virtual_time.max(clock);
        }
        queue.waiting.insert((deadline, id));
        let waiter = (priority, workspace.clone(), deadline);
        self.waiters.insert(id, waiter);
        Ok(id)
    }

    fn workspace_len(&self, workspace: &WorkspaceId) -> usize {
        self.classes
            .values()
            .filter_map(|class| class.queues.get(workspace))
            .map(|queue| queue.waiting.len())
            .sum()
    }

    /// Removes and returns the next request. `weight` returns the weight of a workspace.
    pub fn pop(
        &mut self,
        now: TimePoint,
        weight: impl Fn(&WorkspaceId) -> f64,
    ) -> Option<WaiterId> {
        let (priority, workspace) = self.next_queue()?;
        let queue = self
            .classes
            .get_mut(&priority)?
            .queues
            .get_mut(&workspace)?;
        let (_, id) = queue.waiting.pop_first()?;
        self.virtual_clock = self.virtual_clock.max(queue.virtual_time);
        queue.virtual_time += 1.0 / weight(&workspace).max(0.01);
        self.waiters.remove(&id);
        self.update_service_rate(now);
        Some(id)
    }

    fn next_queue(&self) -> Option<(RequestPriority, WorkspaceId)> {
        self.classes.iter().find_map(|(priority, class)| {
            class
                .queues
                .iter()
                .filter(|(_, queue)| !queue.waiting.is_empty())
                .min_by(|(_, a), (_, b)| a.virtual_time.total_cmp(&b.virtual_time))
                .map(|(workspace, _)| (*priority, workspace.clone()))
        })
    }

    fn update_service_rate(&mut self, now: TimePoint) {
        if let Some(last) = self.last_pop_at {
            let interval = now.since(last);
            let window = self.settings.rate_window;
            let mean = self.mean_interval.unwrap_or(interval);
            let updated = mean.mul_f64(1.0 - 1.0 / window) + interval.mul_f64(1.0 / window);
            self.mean_interval = Some(updated);
        }
        // If the queue was empty in between, the time between two requests does not reflect the
        // service rate.
        self.last_pop_at = (!self.is_empty()).then_some(now);
    }

    /// Removes a request from the queue, for example because its caller disconnected.
    pub fn leave(&mut self, id: WaiterId) {
        let Some((priority, workspace, deadline)) = self.waiters.remove(&id) else {
            return;
        };
        let queue = self
            .classes
            .get_mut(&priority)
            .and_then(|class| class.queues.get_mut(&workspace));
        if let Some(queue) = queue {
            queue.waiting.remove(&(deadline, id));
        }
    }

    /// Removes and returns all requests whose deadline has passed.
    pub fn take_expired(&mut self, now: TimePoint) -> Vec<WaiterId> {
        let expired: Vec<WaiterId> = self
            .waiters
            .iter()
            .filter(|(_, (_, _, deadline))| *deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &expired {
            self.leave(*id);
        }
        expired
    }
}
