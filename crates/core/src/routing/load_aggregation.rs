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

use super::event_gap::EventGapReport;

/// Age at which a report counts no more: its entry has stopped or is cut off, and what it had
/// sent has begun or failed.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// An endpoint as a short number. Two endpoints with the same one would count as one, which
/// costs no more than a worse choice.
pub type EndpointHash = u32;

/// The mark of the endpoint `id`.
pub fn endpoint_hash(id: &str) -> EndpointHash {
    key_hash(id.as_bytes()) as EndpointHash
}

/// Work sent to an endpoint that has not begun to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingWork {
    /// The endpoint.
    pub endpoint: EndpointHash,
    /// Time that the work takes, in milliseconds.
    pub work_ms: u32,
}

/// What an entry tells the others, and what they tell it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Work that waits at endpoints.
    pub work: Vec<WaitingWork>,
    /// Pace of the streams of large models.
    pub pace: EventGapReport,
}

#[derive(Clone, Debug)]
struct EntryReport {
    received_at: TimePoint,
    load: LoadSummary,
}

/// Newest reports of all entries, and their sums.
#[derive(Clone, Debug, Default)]
pub struct LoadAggregator {
    reports: HashMap<Arc<str>, EntryReport>,
    totals: HashMap<EndpointHash, u64>,
}

impl LoadAggregator {
    /// Takes the report of `entry` in place of its last one. Returns what the others reported.
    pub fn exchange(&mut self, now: TimePoint, entry: &Arc<str>, load: LoadSummary) -> LoadSummary {
        self.drop_expired(now);
        self.drop_report(entry);
        let others = self.totals.iter().map(|(endpoint, total)| WaitingWork {
            endpoint: *endpoint,
            work_ms: u32::try_from(*total).unwrap_or(u32::MAX),
        });
        let work: Vec<WaitingWork> = others.collect();
        let gaps = self.reports.values().map(|report| report.load.pace);
        let pace = gaps.fold(EventGapReport::default(), EventGapReport::merge);
        for item in &load.work {
            *self.totals.entry(item.endpoint).or_default() += u64::from(item.work_ms);
        }
        let report = EntryReport {
            received_at: now,
            load,
        };
        self.reports.insert(Arc::clone(entry), report);
        LoadSummary { work, pace }
    }

    fn drop_expired(&mut self, now: TimePoint) {
        let is_expired = |report: &EntryReport| now.since(report.received_at) >= REPORT_LIFETIME;
        let expired = self.reports.iter().filter(|(_, report)| is_expired(report));
        let expired: Vec<Arc<str>> = expired.map(|(entry, _)| Arc::clone(entry)).collect();
        for entry in expired {
            self.drop_report(&entry);
        }
    }

    fn drop_report(&mut self, entry: &str) {
        let Some(report) = self.reports.remove(entry) else {
            return;
        };
        for item in report.load.work {
            if let Some(total) = self.totals.get_mut(&item.endpoint) {
                *total = total.saturating_sub(u64::from(item.work_ms));
            }
        }
        self.totals.retain(|_, total| *total > 0);
    }
}
