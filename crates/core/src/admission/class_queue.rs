//! Waiting calls of one priority class, with weighted fair queueing among workspaces.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::queued_call::WaiterId;
use crate::time::TimePoint;

/// Smallest weight of a workspace.
const MIN_WEIGHT: f64 = 0.01;

/// A waiting call within its workspace.
#[derive(Clone, Debug)]
pub(super) struct QueueItem<'a> {
    pub workspace: &'a Arc<str>,
    /// Time by which the call must start; earlier ones go first.
    pub due: TimePoint,
    pub id: WaiterId,
    pub work_ms: f64,
    pub weight: f64,
}

#[derive(Clone, Debug, Default)]
struct WorkspaceQueue {
    waiting: BTreeMap<(TimePoint, WaiterId), f64>,
    /// Work started so far, divided by the weight.
    virtual_time: f64,
    weight: f64,
}

/// Waiting calls of one priority class.
#[derive(Clone, Debug, Default)]
pub(super) struct ClassQueue {
    workspaces: BTreeMap<Arc<str>, WorkspaceQueue>,
    virtual_clock: f64,
    len: usize,
    /// Freed places that the class is owed as its minimum share.
    pub owed_places: f64,
}

impl ClassQueue {
    pub fn len(&self) -> usize {
        self.len
    }

    pub fn work_ms(&self) -> f64 {
        let queues = self.workspaces.values();
        queues.flat_map(|queue| queue.waiting.values()).sum()
    }

    pub fn insert(&mut self, item: &QueueItem<'_>) {
        let clock = self.virtual_clock;
        let queue = self.workspaces.entry(Arc::clone(item.workspace));
        let queue = queue.or_default();
        if queue.waiting.is_empty() {
            // A workspace does not accumulate credit while it is idle.
            queue.virtual_time = queue.virtual_time.max(clock);
        }
        queue.weight = item.weight.max(MIN_WEIGHT);
        queue.waiting.insert((item.due, item.id), item.work_ms);
        self.len += 1;
    }

    /// Removes a call that was not started.
    pub fn remove(&mut self, item: &QueueItem<'_>) {
        let Some(queue) = self.workspaces.get_mut(item.workspace) else {
            return;
        };
        if queue.waiting.remove(&(item.due, item.id)).is_some() {
            self.len -= 1;
        }
        self.prune();
    }

    /// Removes a call that was started and charges its work to its workspace.
    pub fn start(&mut self, item: &QueueItem<'_>) {
        if let Some(queue) = self.workspaces.get_mut(item.workspace) {
            self.virtual_clock = self.virtual_clock.max(queue.virtual_time);
            queue.virtual_time += item.work_ms / queue.weight;
        }
        self.remove(item);
    }

    /// Forgets idle workspaces that owe no time to the others.
    fn prune(&mut self) {
        let clock = self.virtual_clock;
        self.workspaces
            .retain(|_, queue| !queue.waiting.is_empty() || queue.virtual_time > clock);
        if self.len == 0 {
            self.owed_places = 0.0;
        }
    }

    /// The call to start next, leaving out those in `passed`.
    pub fn next(&self, passed: &BTreeSet<WaiterId>) -> Option<WaiterId> {
        let first = |queue: &WorkspaceQueue| {
            let mut ids = queue.waiting.keys().map(|(_, id)| *id);
            let id = ids.find(|id| !passed.contains(id))?;
            Some((queue.virtual_time, id))
        };
        let candidates = self.workspaces.values().filter_map(first);
        candidates
            .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
            .map(|(_, id)| id)
    }

    /// Work of the calls of this class that start before `item`, whether it waits already or not.
    pub fn work_ahead(&self, item: &QueueItem<'_>) -> f64 {
        let own = self.workspaces.get(item.workspace);
        let own_ahead: f64 = own.map_or(0.0, |queue| {
            let ahead = queue.waiting.range(..(item.due, item.id));
            ahead.map(|(_, work_ms)| work_ms).sum()
        });
        let is_idle = own.is_none_or(|queue| queue.waiting.is_empty());
        let own_time = own.map_or(0.0, |queue| queue.virtual_time);
        let own_time = if is_idle {
            own_time.max(self.virtual_clock)
        } else {
            own_time
        };
        let start_time = own_time + own_ahead / item.weight.max(MIN_WEIGHT);
        let others = self
            .workspaces
            .iter()
            .filter(|(name, _)| *name != item.workspace);
        let others_ahead: f64 = others
            .map(|(_, queue)| {
                let backlog: f64 = queue.waiting.values().sum();
                ((start_time - queue.virtual_time) * queue.weight).clamp(0.0, backlog)
            })
            .sum();
        own_ahead + others_ahead
    }

    /// Number of waiting calls of `workspace`.
    pub fn workspace_len(&self, workspace: &str) -> usize {
        let queue = self.workspaces.get(workspace);
        queue.map_or(0, |queue| queue.waiting.len())
    }
}
