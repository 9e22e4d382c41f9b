use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use chestnutloft_core::routing::{
    EndpointRateLimiter, LimitStatement, LoadAggregator, LoadSummary, StatedLimits, endpoint_hash,
};
use chestnutloft_core::time::TimePoint;

/// Time from a call to its answer.
const ANSWER_MS: u64 = 40;
/// Time after which an entry that has heard of a limit must apply it.
const GRACE_MS: u64 = 500;
const STEP_MS: u64 = 10;

fn at(ms: u64) -> TimePoint {
    TimePoint::from_millis(ms)
}

fn statement(per_s: Option<f64>, age_ms: u64) -> LimitStatement {
    LimitStatement {
        endpoint: endpoint_hash("e"),
        per_s,
        age_ms,
    }
}

fn limit(limits: &StatedLimits) -> Option<f64> {
    limits.per_s(endpoint_hash("e"))
}

#[test]
fn a_limit_holds_until_an_answer_to_a_later_call_lacks_it() {
    let mut limits = StatedLimits::default();
    let endpoint = endpoint_hash("e");

    assert!(limits.hear(at(100), endpoint, at(50), Some(3.4)));
    let is_changed_by_overtaken = limits.hear(at(120), endpoint, at(60), None);
    let while_named = limit(&limits);
    let is_changed_by_later = limits.hear(at(300), endpoint, at(200), None);

    assert!(!is_changed_by_overtaken);
    assert_eq!(while_named, Some(3.4));
    assert!(is_changed_by_later);
    assert_eq!(limit(&limits), None);
}

#[test]
fn the_newest_statement_of_any_entry_counts() {
    let mut limits = StatedLimits::default();
    limits.hear(at(1_000), endpoint_hash("e"), at(900), Some(2.0));

    limits.merge(at(1_100), &[statement(None, 500)]);
    let after_older = limit(&limits);
    limits.merge(at(1_100), &[statement(Some(5.0), 20)]);

    assert_eq!(after_older, Some(2.0));
    assert_eq!(limit(&limits), Some(5.0));
}

#[test]
fn entries_hear_of_limits_that_others_were_told() {
    let mut aggregator = LoadAggregator::default();
    let told = LoadSummary {
        limits: vec![statement(Some(1.0), 10)],
        ..LoadSummary::default()
    };
    aggregator.exchange(at(1_000), &Arc::from("a"), told);

    let reply = aggregator.exchange(at(31_000), &Arc::from("b"), LoadSummary::default());

    assert_eq!(reply.limits, vec![statement(Some(1.0), 30_010)]);
}

#[test]
fn old_statements_are_dropped() {
    let mut limits = StatedLimits::default();
    limits.hear(at(0), endpoint_hash("e"), at(0), Some(2.0));

    assert!(limits.statements(at(400_000)).is_empty());
    assert_eq!(limit(&limits), None);
}

/// An entry that calls one endpoint as often as it may.
struct CallingEntry {
    name: Arc<str>,
    limits: StatedLimits,
    limiter: EndpointRateLimiter,
    /// When its call that is under way was sent.
    sent_at: Option<TimePoint>,
    heard_at: Option<TimePoint>,
}

impl CallingEntry {
    fn new(number: usize) -> Self {
        Self {
            name: Arc::from(format!("entry-{number}")),
            limits: StatedLimits::default(),
            limiter: EndpointRateLimiter::default(),
            sent_at: None,
            heard_at: None,
        }
    }

    /// Receives the answer to its call, which names `per_s`.
    fn receive(&mut self, now: TimePoint, per_s: f64) {
        let is_due = |at: &mut TimePoint| now >= at.add_ms(ANSWER_MS);
        if let Some(sent_at) = self.sent_at.take_if(is_due) {
            self.limits
                .hear(now, endpoint_hash("e"), sent_at, Some(per_s));
            self.heard_at.get_or_insert(now);
        }
    }

    /// Sends a call if its share allows one. Returns whether it counts against the endpoint's limit.
    fn send(&mut self, now: TimePoint, names: &[Arc<str>]) -> bool {
        let id: Arc<str> = Arc::from("e");
        let may_send = limit(&self.limits).is_none_or(|per_s| {
            let share = EndpointRateLimiter::entry_share(&id, &self.name, names, per_s);
            self.limiter.has_capacity(now, &id, share)
        });
        if !may_send || self.sent_at.is_some() {
            return false;
        }
        self.limiter.record_call(now, &id);
        self.sent_at = Some(now);
        self.heard_at.is_some_and(|at| now >= at.add_ms(GRACE_MS))
    }
}

trait AddMillis {
    fn add_ms(self, ms: u64) -> Self;
}

impl AddMillis for TimePoint {
    fn add_ms(self, ms: u64) -> Self {
        self + std::time::Duration::from_millis(ms)
    }
}

#[test]
fn entries_that_have_heard_of_a_limit_keep_it_together_while_entries_restart() {
    for seed in 0..60_u64 {
        let mut random = Pcg64::seed_from_u64(seed);
        let per_s = random.random_range(0.3..8.0);
        let count = random.random_range(1..40_usize);
        let mut entries: Vec<CallingEntry> = (0..count).map(CallingEntry::new).collect();
        let names: Vec<Arc<str>> = entries
            .iter()
            .map(|entry| Arc::clone(&entry.name))
            .collect();
        let mut aggregator = LoadAggregator::default();
        let mut counted: Vec<TimePoint> = Vec::new();
        for step in 0..2_000 {
            let now = at(step * STEP_MS);
            for (number, entry) in entries.iter_mut().enumerate() {
                entry.receive(now, per_s);
                if entry.send(now, &names) {
                    counted.push(now);
                }
                let is_connected = random.random_bool(0.3);
                if is_connected {
                    let load = LoadSummary {
                        limits: entry.limits.statements(now),
                        ..LoadSummary::default()
                    };
                    let reply = aggregator.exchange(now, &entry.name, load);
                    entry.limits.merge(now, &reply.limits);
                }
                if random.random_bool(0.000_5) {
                    *entry = CallingEntry::new(number);
                }
            }
        }

        let allowed = 1.5 * 4.0 * per_s + 5.0;
        for start in &counted {
            let end = start.add_ms(4_000);
            let within = counted.iter().filter(|at| **at >= *start && **at < end);
            let reached = within.count() as f64;
            assert!(reached <= allowed, "seed {seed}: {reached} of {allowed}");
        }
    }
}
