//! What a call tells the queue, and what the queue tells the call.

use std::time::Duration;

use crate::time::TimePoint;

/// Limits of the queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueSettings {
    /// Maximum number of waiting calls.
    pub capacity: usize,
    /// Share of the capacity that one workspace may use.
    pub workspace_share: f64,
    /// Share of the freed places that each class gets while more urgent ones wait.
    pub min_class_share: f64,
    /// Half-life of the measured rate of starts.
    pub rate_half_life: Duration,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            capacity: 512,
            workspace_share: 0.5,
            min_class_share: 0.05,
            rate_half_life: Duration::from_secs(2),
        }
    }
}

/// Identifies a waiting call.
pub type WaiterId = u64;

/// Priority of a call: that of its workspace takes precedence. 0 is the most urgent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PriorityClass {
    /// Priority of the workspace.
    pub workspace: u32,
    /// Priority of the route.
    pub route: u32,
}

/// Until when a call can start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartWindow {
    /// Latest start with which the call is served in time.
    pub useful_until: TimePoint,
    /// Latest start with which the late call is still worth something.
    pub late_until: TimePoint,
}

impl StartWindow {
    /// A window without a time in which the call could start late.
    pub fn until(end: TimePoint) -> Self {
        Self {
            useful_until: end,
            late_until: end,
        }
    }

    /// The latest start of all.
    pub fn end(self) -> TimePoint {
        self.useful_until.max(self.late_until)
    }
}

/// A call that asks for a place.
#[derive(Clone, Copy, Debug)]
pub struct QueuedCall<'a> {
    /// Workspace that its work is charged to.
    pub workspace: &'a str,
    /// Weight of the workspace.
    pub weight: f64,
    /// Its class.
    pub class: PriorityClass,
    /// Expected work at the endpoint, in milliseconds of endpoint time.
    pub work_ms: f64,
    /// When it can start.
    pub window: StartWindow,
}

/// What is ahead of a call.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QueueForecast {
    /// Work that is started before the call, in milliseconds.
    pub work_ahead_ms: f64,
    /// Expected wait.
    pub wait: Duration,
}

/// Why a call cannot be queued.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QueueError {
    /// The queue is full, overall or for the workspace. Holds the expected wait, at least 100 ms.
    Full(Duration),
    /// The expected wait leaves too little time until the deadline. Holds the expected wait.
    DeadlineUnreachable(Duration),
}

/// Prospect of a waiting call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitOutlook {
    /// It may be started until this time.
    Waiting(TimePoint),
    /// Its time is over.
    Expired,
    /// The calls ahead of it take far longer than the time that it has left.
    Unreachable,
}
