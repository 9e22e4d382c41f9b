//! A pool of places with a queue in front, in steps of one millisecond.

use std::collections::HashMap;
use std::time::Duration;

use chestnutloft_core::admission::{
    PriorityClass, QueueSettings, QueuedCall, RefusalLoad, RefusalSchedule, RefusalSettings,
    StartWindow, WaitQueue, WaiterId,
};
use chestnutloft_core::time::TimePoint;

/// A call that arrives at the pool.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub workspace: String,
    pub route: u32,
    pub work_ms: u64,
}

/// What a caller gets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    Pending,
    Started { wait_ms: u64 },
    Refused { at_ms: u64, retry_after: Duration },
    Expired,
}

/// Latest start that is in time, and latest start that is worth anything, after the arrival.
pub const TARGET_MS: u64 = 400;
pub const LATE_MS: u64 = 1_200;
const TIMEOUT: Duration = Duration::from_millis(1_600);

/// Calls of one kind every `interval_ms` from `from_ms` to `to_ms`.
pub fn arrivals(
    (from_ms, to_ms): (u64, u64),
    interval_ms: usize,
    workspace: &str,
    route: u32,
    work_ms: u64,
) -> Vec<Arrival> {
    let arrival = |at_ms| Arrival {
        at_ms,
        workspace: workspace.to_owned(),
        route,
        work_ms,
    };
    (from_ms..to_ms).step_by(interval_ms).map(arrival).collect()
}

pub fn queued_call(now: TimePoint, arrival: &Arrival) -> QueuedCall<'_> {
    QueuedCall {
        workspace: &arrival.workspace,
        weight: 1.0,
        class: PriorityClass {
            workspace: 0,
            route: arrival.route,
        },
        work_ms: arrival.work_ms as f64,
        window: StartWindow {
            useful_until: now + Duration::from_millis(TARGET_MS),
            late_until: now + Duration::from_millis(LATE_MS),
        },
    }
}

/// What the callers of `arrivals` get from a pool that has `places_at(ms)` places. Asserts that
/// nothing is refused while places are free.
pub fn serve(
    mut arrivals: Vec<Arrival>,
    places_at: impl Fn(u64) -> usize,
) -> Vec<(Arrival, Outcome)> {
    arrivals.sort_by_key(|arrival| arrival.at_ms);
    let end_ms = arrivals.last().map_or(0, |last| last.at_ms) + LATE_MS + 1;
    let mut calls: Vec<_> = arrivals
        .into_iter()
        .map(|call| (call, Outcome::Pending))
        .collect();
    let mut queue = WaitQueue::new(QueueSettings::default());
    let mut schedule = RefusalSchedule::new(RefusalSettings::default());
    let mut waiting: HashMap<WaiterId, usize> = HashMap::new();
    let mut running: Vec<u64> = Vec::new();
    let mut arrived = 0;
    for ms in 0..end_ms {
        let now = TimePoint::from_millis(1_000 + ms);
        running.retain(|ends_ms| *ends_ms > ms);
        while running.len() < places_at(ms) {
            let Some(id) = queue.pop(now) else { break };
            let (call, outcome): &mut (Arrival, Outcome) = &mut calls[waiting[&id]];
            *outcome = Outcome::Started {
                wait_ms: ms - call.at_ms,
            };
            running.push(ms + call.work_ms);
        }
        for id in queue.take_expired(now) {
            calls[waiting[&id]].1 = Outcome::Expired;
        }
        while calls.get(arrived).is_some_and(|(call, _)| call.at_ms == ms) {
            let (call, outcome) = &mut calls[arrived];
            let queued = queued_call(now, call);
            if running.len() < places_at(ms) {
                running.push(ms + call.work_ms);
                *outcome = Outcome::Started { wait_ms: 0 };
            } else if let Ok(id) = queue.join(now, &queued) {
                waiting.insert(id, arrived);
            } else {
                let load = RefusalLoad {
                    work_ahead_ms: queue.forecast(now, &queued).work_ahead_ms,
                    work_ms: queued.work_ms,
                    work_per_ms: queue.work_per_ms(),
                    time_left: TIMEOUT,
                };
                let retry_after = schedule.retry_after(now, &load);
                *outcome = Outcome::Refused {
                    at_ms: ms,
                    retry_after,
                };
            }
            arrived += 1;
        }
    }
    calls
}

/// Share of the calls that `is_counted` selects which started in time.
pub fn on_time_share(calls: &[(Arrival, Outcome)], is_counted: impl Fn(&Arrival) -> bool) -> f64 {
    let counted: Vec<_> = calls.iter().filter(|(call, _)| is_counted(call)).collect();
    let is_on_time = |outcome: &Outcome| matches!(outcome, Outcome::Started { wait_ms } if *wait_ms <= TARGET_MS);
    let on_time = counted.iter().filter(|(_, outcome)| is_on_time(outcome));
    on_time.count() as f64 / counted.len() as f64
}
