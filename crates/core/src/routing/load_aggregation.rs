//! Aggregation of the load that each entry observes at the endpoints.
//!
//! An entry sees only the calls that it sent itself, so an endpoint that other entries have just
//! filled would look idle to it. Entries therefore report their pending work to one aggregator, which
//! replies with the sum over all other entries.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::hash::key_hash;
use crate::time::TimePoint;

use super::answer_counts::{AnswerCount, AnswerTable};
use super::event_gap::EventGapReport;
use super::leaving_endpoints::{LeavingEndpoints, LeavingStatement};
use super::rate_limits::{LimitStatement, StatedLimits};

/// Age at which a report expires. By then its entry has stopped or lost its connection, and the
/// calls in the report have begun to answer or failed.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// Short hash of an endpoint's id, to keep reports small. Two endpoints that collide are counted
/// as one, which only makes the choice of an endpoint less accurate.
pub type EndpointHash = u32;

/// Hashes the id of an endpoint.
pub fn endpoint_hash(id: &str) -> EndpointHash {
    key_hash(id.as_bytes()) as EndpointHash
}

/// Work sent to an endpoint for which no answer has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingWork {
    /// The endpoint.
    pub endpoint: EndpointHash,
    /// Estimated time that the endpoint needs for it, in milliseconds.
    pub work_ms: u32,
}

/// Load that an entry reports, and the sum over the other entries that it gets back.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Work pending at endpoints.
    pub work: Vec<WaitingWork>,
    /// Time between events in streams of large models.
    #[serde(rename = "pace")]
    pub event_gap: EventGapReport,
    /// Limits that endpoints have named.
    pub limits: Vec<LimitStatement>,
    /// Endpoints that have said that they leave.
    pub leaving: Vec<LeavingStatement>,
    /// Answers of endpoints that warm up.
    pub answers: Vec<AnswerCount>,
}

#[derive(Clone, Debug)]
struct EntryReport {
    received_at: TimePoint,
    load: LoadSummary,
}

/// Latest report of each entry, and the sum of the pending work per endpoint.
#[derive(Clone, Debug, Default)]
pub struct LoadAggregator {
    reports: HashMap<Arc<str>, EntryReport>,
    totals: HashMap<EndpointHash, u64>,
    limits: StatedLimits,
    leaving: LeavingEndpoints,
    answers: AnswerTable,
}

impl LoadAggregator {
    /// Replaces the report of `entry` and returns the sum over all other entries.
    ///
    /// Limits are not summed: the newest statement of each endpoint is kept and returned. Endpoints
    /// that leave are kept and returned for as long as entries tell each other of them.
    pub fn exchange(
        &mut self,
        now: TimePoint,
        entry: &Arc<str>,
        mut load: LoadSummary,
    ) -> LoadSummary {
        self.limits.merge(now, &std::mem::take(&mut load.limits));
        let limits = self.limits.statements(now);
        self.leaving.merge(now, &std::mem::take(&mut load.leaving));
        let leaving = self.leaving.statements(now);
        let answers = std::mem::take(&mut load.answers);
        let answers = self.answers.exchange(now, entry, &answers);
        self.drop_expired(now);
        self.drop_report(entry);
        let peer_work = self.totals.iter().map(|(endpoint, total)| WaitingWork {
            endpoint: *endpoint,
            work_ms: u32::try_from(*total).unwrap_or(u32::MAX),
        });
        let work: Vec<WaitingWork> = peer_work.collect();
        let gaps = self.reports.values().map(|report| report.load.event_gap);
        let event_gap = gaps.fold(EventGapReport::default(), EventGapReport::merge);
        for item in &load.work {
            *self.totals.entry(item.endpoint).or_default() += u64::from(item.work_ms);
        }
        let report = EntryReport {
            received_at: now,
            load,
        };
        self.reports.insert(Arc::clone(entry), report);
        LoadSummary {
            work,
            event_gap,
            limits,
            leaving,
            answers,
        }
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
