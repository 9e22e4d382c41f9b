//! Aggregation of the load that each entry observes at the endpoints.
//!
//! An entry sees only the calls that it sent itself, so an endpoint that other entries have just
//! filled would look idle to it. Entries therefore report their pending work to one aggregator, which
//! replies with the sum over all other entries.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::hash::key_hash;
use crate::time::TimePoint;

use super::answer_counts::{AnswerCount, AnswerTable};
use super::capacity_ledger::{EndpointUsage, UsageTotals};
use super::endpoint_pace::{PaceReading, PaceReadings, SpeedMeans, SpeedSample};
use super::event_gap::EventGapReport;
use super::leaving_endpoints::{LeavingEndpoints, LeavingStatement};
use super::prefix_directory::{PlacementLog, PrefixPlacement};
use super::rate_limits::{LimitStatement, StatedLimits};
use super::sum_delta::{SentSums, SumReply};

/// Age at which a report expires. By then its entry has stopped or lost its connection, and the
/// calls in the report have begun to answer or failed.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// Time that a reading may take from its endpoint to the aggregator, in milliseconds.
const MAX_READING_DELAY_MS: u64 = 60;
/// Interval at which an entry gets the mean speeds of all endpoints. They change slowly.
const SPEED_INTERVAL: Duration = Duration::from_secs(1);

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
    /// Calls that wait for services whose capacity is managed.
    pub waiting_calls: u32,
    /// Calls started per second at such services.
    pub starts_per_s: u32,
    /// Calls and tokens at endpoints whose capacity is managed.
    pub usage: Vec<EndpointUsage>,
    /// Readings of endpoints' pace that the receiver may not know yet.
    pub paces: Vec<PaceReading>,
    /// From an entry: answers since its last report. To an entry: the means over all entries, where
    /// it has not got them for [`SPEED_INTERVAL`].
    pub speeds: Vec<SpeedSample>,
    /// The same for the time to process prompts, by model and length.
    pub prefills: Vec<SpeedSample>,
    /// Prompt prefixes that were sent to endpoints, as far as the receiver may not know.
    pub prefixes: Vec<PrefixPlacement>,
    /// Answers of endpoints that warm up.
    pub answers: Vec<AnswerCount>,
    /// From an entry that takes the sums as differences: number of the last reply that it has applied,
    /// 0 for none.
    pub applied_reply: Option<u32>,
    /// To such an entry: `usage` and `work`, which are empty then.
    pub sums: Option<SumReply>,
}

#[derive(Clone, Debug)]
struct EntryReport {
    received_at: TimePoint,
    /// When the entry last got the mean speeds.
    speeds_sent_at: Option<TimePoint>,
    /// Sums that were sent to the entry; `None` where it does not take differences.
    sent_sums: Option<SentSums>,
    load: LoadSummary,
}

/// Latest report of each entry, and the sum of the pending work per endpoint.
#[derive(Clone, Debug, Default)]
pub struct LoadAggregator {
    reports: HashMap<Arc<str>, EntryReport>,
    totals: BTreeMap<EndpointHash, u64>,
    limits: StatedLimits,
    leaving: LeavingEndpoints,
    usage: UsageTotals,
    paces: PaceReadings,
    speeds: SpeedMeans,
    prefills: SpeedMeans,
    prefixes: PlacementLog,
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
        let paces = self.exchange_paces(now, entry, &std::mem::take(&mut load.paces));
        self.speeds.add(&std::mem::take(&mut load.speeds));
        self.prefills.add(&std::mem::take(&mut load.prefills));
        let prefixes = self
            .prefixes
            .exchange(entry, &std::mem::take(&mut load.prefixes));
        let speeds_sent_at = self
            .reports
            .get(entry)
            .and_then(|report| report.speeds_sent_at);
        let is_speed_due = speeds_sent_at.is_none_or(|at| now.since(at) >= SPEED_INTERVAL);
        let answers = std::mem::take(&mut load.answers);
        let answers = self.answers.exchange(now, entry, &answers);
        self.drop_expired(now);
        let sent_sums = self.drop_report(entry).and_then(|report| report.sent_sums);
        let mut reply = LoadSummary::default();
        let sent_sums = load.applied_reply.map(|applied| {
            let mut sent_sums = sent_sums.unwrap_or_else(|| SentSums::new(now));
            reply.sums = Some(sent_sums.reply(applied, self.usage.sums(), self.work_sums()));
            sent_sums
        });
        if sent_sums.is_none() {
            let work_item = |(endpoint, work_ms)| WaitingWork { endpoint, work_ms };
            reply.work = self.work_sums().map(work_item).collect();
            reply.usage = self.usage.report();
        }
        self.usage.add(&load.usage);
        let gaps = self.reports.values().map(|report| report.load.event_gap);
        let event_gap = gaps.fold(EventGapReport::default(), EventGapReport::merge);
        let sum = |count: fn(&LoadSummary) -> u32| {
            let counts = self.reports.values().map(|report| count(&report.load));
            counts.fold(0, u32::saturating_add)
        };
        let waiting_calls = sum(|load| load.waiting_calls);
        let starts_per_s = sum(|load| load.starts_per_s);
        for item in &load.work {
            *self.totals.entry(item.endpoint).or_default() += u64::from(item.work_ms);
        }
        let report = EntryReport {
            received_at: now,
            speeds_sent_at: if is_speed_due {
                Some(now)
            } else {
                speeds_sent_at
            },
            sent_sums,
            load,
        };
        self.reports.insert(Arc::clone(entry), report);
        LoadSummary {
            event_gap,
            waiting_calls,
            starts_per_s,
            limits,
            leaving,
            paces,
            prefixes,
            speeds: if is_speed_due {
                self.speeds.report()
            } else {
                Vec::new()
            },
            prefills: if is_speed_due {
                self.prefills.report()
            } else {
                Vec::new()
            },
            answers,
            ..reply
        }
    }

    /// Pending work in milliseconds, in ascending order of the endpoints.
    fn work_sums(&self) -> impl Iterator<Item = (EndpointHash, u32)> {
        let totals = self.totals.iter();
        totals.map(|(endpoint, total)| (*endpoint, u32::try_from(*total).unwrap_or(u32::MAX)))
    }

    /// Adds the readings of `entry` and returns those that came since its last report.
    fn exchange_paces(
        &mut self,
        now: TimePoint,
        entry: &str,
        readings: &[PaceReading],
    ) -> Vec<PaceReading> {
        let last_report = self.reports.get(entry).map(|report| report.received_at);
        let mut paces = self.paces.recent(now);
        if let Some(last) = last_report {
            // A reading that another entry reports late is older than it was when it came.
            let max_age_ms = now.millis_since(last) + MAX_READING_DELAY_MS;
            paces.retain(|reading| u64::from(reading.age_ms) <= max_age_ms);
        }
        self.paces.merge(now, readings);
        paces
    }

    fn drop_expired(&mut self, now: TimePoint) {
        let is_expired = |report: &EntryReport| now.since(report.received_at) >= REPORT_LIFETIME;
        let expired = self.reports.iter().filter(|(_, report)| is_expired(report));
        let expired: Vec<Arc<str>> = expired.map(|(entry, _)| Arc::clone(entry)).collect();
        for entry in expired {
            self.prefixes.forget(&entry);
            self.drop_report(&entry);
        }
    }

    fn drop_report(&mut self, entry: &str) -> Option<EntryReport> {
        let report = self.reports.remove(entry)?;
        self.usage.remove(&report.load.usage);
        for item in &report.load.work {
            if let Some(total) = self.totals.get_mut(&item.endpoint) {
                *total = total.saturating_sub(u64::from(item.work_ms));
            }
        }
        self.totals.retain(|_, total| *total > 0);
        Some(report)
    }
}
