//! Work that waits at endpoints and the pace of streams, summed over entries.
//!
//! An entry sees only the calls that it has sent itself. Where several entries send to the same
//! endpoints, each would take the one for idle that the others have just filled. They report
//! what waits to one place, which answers with the sum of the others.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::hash::key_hash;
use crate::time::TimePoint;

use super::pace::PaceReport;

/// Age at which a report counts no more: its entry has stopped or is cut off, and what it had
/// sent has begun or failed.
const REPORT_LIFE: Duration = Duration::from_secs(2);

/// An endpoint as a short number. Two endpoints with the same one would count as one, which
/// costs no more than a worse choice.
pub type EndpointMark = u32;

/// The mark of the endpoint `id`.
pub fn endpoint_mark(id: &str) -> EndpointMark {
    key_hash(id.as_bytes()) as EndpointMark
}

/// Work sent to an endpoint that has not begun to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingWork {
    /// The endpoint.
    pub endpoint: EndpointMark,
    /// Time that the work takes, in milliseconds.
    pub work_ms: u32,
}

/// What an entry tells the others, and what they tell it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadShare {
    /// Work that waits at endpoints.
    pub work: Vec<WaitingWork>,
    /// Pace of the streams of large models.
    pub pace: PaceReport,
}

#[derive(Clone, Debug)]
struct WorkReport {
    at: TimePoint,
    share: LoadShare,
}

/// Newest reports of all entries, and their sums.
#[derive(Clone, Debug, Default)]
pub struct WorkBoard {
    reports: HashMap<Arc<str>, WorkReport>,
    totals: HashMap<EndpointMark, u64>,
}

impl WorkBoard {
    /// Takes the report of `entry` in place of its last one. Returns what the others reported.
    pub fn exchange(&mut self, now: TimePoint, entry: &Arc<str>, share: LoadShare) -> LoadShare {
        self.drop_old(now);
        self.drop_report(entry);
        let others = self.totals.iter().map(|(endpoint, total)| WaitingWork {
            endpoint: *endpoint,
            work_ms: u32::try_from(*total).unwrap_or(u32::MAX),
        });
        let work: Vec<WaitingWork> = others.collect();
        let paces = self.reports.values().map(|report| report.share.pace);
        let pace = paces.fold(PaceReport::default(), PaceReport::plus);
        for item in &share.work {
            *self.totals.entry(item.endpoint).or_default() += u64::from(item.work_ms);
        }
        let report = WorkReport { at: now, share };
        self.reports.insert(Arc::clone(entry), report);
        LoadShare { work, pace }
    }

    fn drop_old(&mut self, now: TimePoint) {
        let is_old = |report: &WorkReport| now.since(report.at) >= REPORT_LIFE;
        let old = self.reports.iter().filter(|(_, report)| is_old(report));
        let old: Vec<Arc<str>> = old.map(|(entry, _)| Arc::clone(entry)).collect();
        for entry in old {
            self.drop_report(&entry);
        }
    }

    fn drop_report(&mut self, entry: &str) {
        let Some(report) = self.reports.remove(entry) else {
            return;
        };
        for item in report.share.work {
            if let Some(total) = self.totals.get_mut(&item.endpoint) {
                *total = total.saturating_sub(u64::from(item.work_ms));
            }
        }
        self.totals.retain(|_, total| *total > 0);
    }
}
