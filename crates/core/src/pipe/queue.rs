//! Requests that wait for an endpoint: by priority, then fairly between workspaces, then by
//! deadline.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use super::intake::RequestPriority;
use crate::ids::WorkspaceId;
use crate::time::TimePoint;

/// Bounds of the queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueSettings {
    /// Waiting requests at most.
    pub capacity: usize,
    /// Share of the capacity that one workspace may fill.
    pub workspace_share: f64,
    /// Share of the time to its deadline that a request may spend waiting: what is left must do
    /// for the answer.
    pub wait_share: f64,
    /// Answers over which the service rate is averaged.
    pub rate_memory: f64,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            capacity: 512,
            workspace_share: 0.5,
            wait_share: 0.5,
            rate_memory: 64.0,
        }
    }
}

/// Number of a waiting request.
pub type WaitTicket = u64;

/// Why a request may not wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QueueFault {
    /// The queue is full; try again after this time.
    Full(Duration),
    /// Its deadline passes before its turn would come.
    TooLate(Duration),
}

#[derive(Clone, Debug, Default)]
struct WorkspaceLine {
    waiting: BTreeSet<(TimePoint, WaitTicket)>,
    virtual_time: f64,
}

#[derive(Clone, Debug, Default)]
struct PriorityClass {
    lines: BTreeMap<WorkspaceId, WorkspaceLine>,
}

/// Waiting requests.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    settings: QueueSettings,
    classes: BTreeMap<RequestPriority, PriorityClass>,
    places: HashMap<WaitTicket, (RequestPriority, WorkspaceId, TimePoint)>,
    next_ticket: WaitTicket,
    virtual_clock: f64,
    mean_gap: Option<Duration>,
    last_pop: Option<TimePoint>,
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
        self.places.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Expected wait of a request that joins now with `priority`.
    pub fn expected_wait(&self, priority: RequestPriority) -> Duration {
        let ahead = self
            .places
            .values()
            .filter(|(other, _, _)| *other <= priority)
            .count();
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        self.mean_gap.unwrap_or_default().saturating_mul(ahead)
    }

    /// Joins the queue.
    ///
    /// # Errors
    /// [`QueueFault`] when the queue is full or the deadline cannot be met.
    pub fn join(
        &mut self,
        now: TimePoint,
        workspace: &WorkspaceId,
        priority: RequestPriority,
        deadline: TimePoint,
    ) -> Result<WaitTicket, QueueFault> {
        let wait = self.expected_wait(priority);
        let share = self.settings.capacity as f64 * self.settings.workspace_share;
        let own = self.waiting_of(workspace);
        if self.len() >= self.settings.capacity || own as f64 >= share {
            return Err(QueueFault::Full(wait.max(Duration::from_millis(100))));
        }
        if wait >= deadline.since(now).mul_f64(self.settings.wait_share) {
            return Err(QueueFault::TooLate(wait));
        }
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let clock = self.virtual_clock;
        let class = self.classes.entry(priority).or_default();
        let line = class.lines.entry(workspace.clone()).or_default();
        if line.waiting.is_empty() {
            // A workspace that was idle gets no credit for the time it did not use.
            line.virtual_time = line.virtual_time.max(clock);
        }
        line.waiting.insert((deadline, ticket));
        let place = (priority, workspace.clone(), deadline);
        self.places.insert(ticket, place);
        Ok(ticket)
    }

    fn waiting_of(&self, workspace: &WorkspaceId) -> usize {
        self.classes
            .values()
            .filter_map(|class| class.lines.get(workspace))
            .map(|line| line.waiting.len())
            .sum()
    }

    /// Takes the next request. `weight` gives the weight of a workspace.
    pub fn pop(
        &mut self,
        now: TimePoint,
        weight: impl Fn(&WorkspaceId) -> f64,
    ) -> Option<WaitTicket> {
        let (priority, workspace) = self.next_line()?;
        let line = self.classes.get_mut(&priority)?.lines.get_mut(&workspace)?;
        let (_, ticket) = line.waiting.pop_first()?;
        self.virtual_clock = self.virtual_clock.max(line.virtual_time);
        line.virtual_time += 1.0 / weight(&workspace).max(0.01);
        self.places.remove(&ticket);
        self.note_pop(now);
        Some(ticket)
    }

    fn next_line(&self) -> Option<(RequestPriority, WorkspaceId)> {
        self.classes.iter().find_map(|(priority, class)| {
            class
                .lines
                .iter()
                .filter(|(_, line)| !line.waiting.is_empty())
                .min_by(|(_, a), (_, b)| a.virtual_time.total_cmp(&b.virtual_time))
                .map(|(workspace, _)| (*priority, workspace.clone()))
        })
    }

    fn note_pop(&mut self, now: TimePoint) {
        if let Some(last) = self.last_pop {
            let gap = now.since(last);
            let memory = self.settings.rate_memory;
            let mean = self.mean_gap.unwrap_or(gap);
            let next = mean.mul_f64(1.0 - 1.0 / memory) + gap.mul_f64(1.0 / memory);
            self.mean_gap = Some(next);
        }
        // A gap with nobody waiting says nothing about the service rate.
        self.last_pop = (!self.is_empty()).then_some(now);
    }

    /// Leaves the queue, as when the caller went away.
    pub fn leave(&mut self, ticket: WaitTicket) {
        let Some((priority, workspace, deadline)) = self.places.remove(&ticket) else {
            return;
        };
        let line = self
            .classes
            .get_mut(&priority)
            .and_then(|class| class.lines.get_mut(&workspace));
        if let Some(line) = line {
            line.waiting.remove(&(deadline, ticket));
        }
    }

    /// Takes out all requests whose deadline has passed.
    pub fn take_expired(&mut self, now: TimePoint) -> Vec<WaitTicket> {
        let expired: Vec<WaitTicket> = self
            .places
            .iter()
            .filter(|(_, (_, _, deadline))| *deadline <= now)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in &expired {
            self.leave(*ticket);
        }
        expired
    }
}
