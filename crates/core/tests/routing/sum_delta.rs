//! Load exchange by differences: 72 entries and 140 endpoints, of which few change between two
//! replies. Each test checks the sums at an entry against those of full replies.

use std::collections::BTreeMap;
use std::sync::Arc;

use chestnutloft_core::routing::{
    CapacityLedger, EndpointHash, EndpointUsage, LoadAggregator, LoadSummary, ReceivedSums,
    WaitingWork,
};
use chestnutloft_core::time::TimePoint;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// Spreads the numbers of endpoints over all hashes.
const HASH_STEP: u32 = 0x9e37_79b9;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(10_000 + millis)
}

fn hash(endpoint: u32) -> EndpointHash {
    endpoint.wrapping_mul(HASH_STEP)
}

fn usage(endpoint: u32, calls: u32) -> EndpointUsage {
    EndpointUsage {
        endpoint: hash(endpoint),
        calls,
        large_calls: calls / 4,
        token_units: calls * 9,
    }
}

type Sums = BTreeMap<EndpointHash, (EndpointUsage, u32)>;

/// An entry: its own calls per endpoint, and the sums of the others that it knows.
struct Entry {
    name: Arc<str>,
    calls: BTreeMap<u32, u32>,
    received: ReceivedSums,
    usage: BTreeMap<EndpointHash, EndpointUsage>,
    work: BTreeMap<EndpointHash, u32>,
    ledger: CapacityLedger,
}

impl Entry {
    fn new(name: &str) -> Self {
        Self {
            name: Arc::from(name),
            calls: BTreeMap::new(),
            received: ReceivedSums::default(),
            usage: BTreeMap::new(),
            work: BTreeMap::new(),
            ledger: CapacityLedger::default(),
        }
    }

    fn with_calls(name: &str, calls: &[(u32, u32)]) -> Self {
        Self {
            calls: calls.iter().copied().collect(),
            ..Self::new(name)
        }
    }

    fn report(&self, applied_reply: Option<u32>) -> LoadSummary {
        let work = self.calls.iter().filter(|(_, calls)| **calls % 3 == 1);
        LoadSummary {
            usage: self.calls.iter().map(|(e, c)| usage(*e, *c)).collect(),
            work: work
                .map(|(endpoint, calls)| WaitingWork {
                    endpoint: hash(*endpoint),
                    work_ms: calls * 40,
                })
                .collect(),
            applied_reply,
            ..LoadSummary::default()
        }
    }

    fn send(&self, now: TimePoint, aggregator: &mut LoadAggregator) -> LoadSummary {
        let report = self.report(Some(self.received.applied()));
        aggregator.exchange(now, &self.name, report)
    }

    fn receive(&mut self, now: TimePoint, reply: &LoadSummary) {
        let Some(news) = self.received.apply(reply) else {
            return;
        };
        if news.is_full {
            self.usage.clear();
            self.work.clear();
            self.ledger.set_peers(now, &news.usage);
        } else {
            self.ledger.update_peers(now, &news.usage);
        }
        for item in news.usage {
            self.usage.insert(item.endpoint, item);
        }
        for item in news.work {
            self.work.insert(item.endpoint, item.work_ms);
        }
        self.usage.retain(|_, item| item.calls > 0);
        self.work.retain(|_, work_ms| *work_ms > 0);
    }

    fn exchange(&mut self, now: TimePoint, aggregator: &mut LoadAggregator) -> LoadSummary {
        let reply = self.send(now, aggregator);
        self.receive(now, &reply);
        reply
    }

    fn calls_at(&self, endpoint: u32) -> u32 {
        self.usage.get(&hash(endpoint)).map_or(0, |sum| sum.calls)
    }
}

fn is_full(reply: &LoadSummary) -> bool {
    reply.sums.as_ref().expect("sums").is_full
}

fn changed_endpoints(reply: &LoadSummary) -> usize {
    let sums = reply.sums.as_ref().expect("sums");
    sums.usage.changed.len() + sums.usage.added.len()
}

fn sums_of_full_reply(reply: &LoadSummary) -> Sums {
    let mut sums = Sums::new();
    for item in &reply.usage {
        sums.insert(item.endpoint, (*item, 0));
    }
    for item in &reply.work {
        let sum = sums.get_mut(&item.endpoint).expect("calls with the work");
        sum.1 = item.work_ms;
    }
    sums
}

fn sums_at(entry: &Entry) -> Sums {
    let usage = entry.usage.values();
    usage
        .map(|item| {
            let work_ms = entry.work.get(&item.endpoint).copied().unwrap_or_default();
            (item.endpoint, (*item, work_ms))
        })
        .collect()
}

/// Guards against replies that list endpoints whose sums have not changed, and against differences
/// that miss one.
#[test]
fn a_reply_lists_the_endpoints_that_have_changed() {
    let mut aggregator = LoadAggregator::default();
    let mut other = Entry::with_calls("other", &[(1, 2), (2, 3), (3, 4)]);
    let mut entry = Entry::new("entry");
    other.exchange(at(0), &mut aggregator);
    let first = entry.exchange(at(1), &mut aggregator);

    other.calls.insert(2, 5);
    other.calls.remove(&3);
    other.calls.insert(4, 1);
    other.exchange(at(2), &mut aggregator);
    let second = entry.exchange(at(3), &mut aggregator);
    let third = entry.exchange(at(4), &mut aggregator);

    assert!(is_full(&first));
    assert!(!is_full(&second));
    assert_eq!(changed_endpoints(&second), 3);
    assert_eq!(changed_endpoints(&third), 0);
    let calls: Vec<u32> = (1..=4).map(|endpoint| entry.calls_at(endpoint)).collect();
    assert_eq!(calls, [2, 5, 0, 1]);
}

/// Guards against own calls that come back as those of others: the own report leaves the sums.
#[test]
fn own_calls_are_not_in_the_sums() {
    let mut aggregator = LoadAggregator::default();
    let mut other = Entry::with_calls("other", &[(1, 2)]);
    let mut entry = Entry::new("entry");
    other.exchange(at(0), &mut aggregator);
    entry.exchange(at(1), &mut aggregator);

    entry.calls.insert(1, 7);
    entry.exchange(at(2), &mut aggregator);
    let reply = entry.exchange(at(3), &mut aggregator);

    assert_eq!(changed_endpoints(&reply), 0);
    assert_eq!(entry.calls_at(1), 2);
}

/// Guards against a wrong sum after a reply was lost: its changes would never come again. Both where
/// the entry still names the reply before and where it has noticed the loss.
#[test]
fn after_a_lost_reply_the_sums_come_in_full() {
    for has_noticed in [false, true] {
        let mut aggregator = LoadAggregator::default();
        let mut other = Entry::with_calls("other", &[(1, 2)]);
        let mut entry = Entry::new("entry");
        other.exchange(at(0), &mut aggregator);
        entry.exchange(at(1), &mut aggregator);

        other.calls.insert(1, 9);
        other.exchange(at(2), &mut aggregator);
        let _lost = entry.send(at(3), &mut aggregator);
        if has_noticed {
            entry.received.reset();
        }
        let reply = entry.exchange(at(4), &mut aggregator);

        assert!(is_full(&reply));
        assert_eq!(entry.calls_at(1), 9);
    }
}

/// Guards against differences to what another leader has sent, also where the first one leads again
/// before the entry's report there has expired and has sent a reply of the same number.
#[test]
fn after_a_change_of_the_leader_the_sums_come_in_full() {
    let mut first = LoadAggregator::default();
    let mut second = LoadAggregator::default();
    let mut other = Entry::with_calls("other", &[(1, 2)]);
    let mut entry = Entry::new("entry");
    other.exchange(at(0), &mut first);
    entry.exchange(at(1), &mut first);

    other.calls.insert(1, 5);
    other.received.reset();
    other.exchange(at(100), &mut second);
    entry.received.reset();
    let at_second = entry.exchange(at(101), &mut second);
    let calls_at_second = entry.calls_at(1);
    other.calls.insert(1, 2);
    other.received.reset();
    other.exchange(at(200), &mut first);
    entry.received.reset();
    let back_at_first = entry.exchange(at(201), &mut first);

    assert!(is_full(&at_second) && is_full(&back_at_first));
    assert_eq!((calls_at_second, entry.calls_at(1)), (5, 2));
}

/// Guards against a keeper that has been restarted at the same address: the entry names a reply that
/// the new process has not sent.
#[test]
fn a_restarted_leader_sends_the_sums_in_full() {
    let mut aggregator = LoadAggregator::default();
    let mut entry = Entry::new("entry");
    entry.exchange(at(0), &mut aggregator);
    let mut other = Entry::with_calls("other", &[(1, 2)]);

    let mut restarted = LoadAggregator::default();
    other.exchange(at(10), &mut restarted);
    let reply = entry.exchange(at(11), &mut restarted);

    assert!(is_full(&reply));
    assert_eq!(entry.calls_at(1), 2);
}

/// Guards against an entry that starts again under its name within the lifetime of its report, and
/// would get differences to sums that it has lost.
#[test]
fn a_restarted_entry_gets_the_sums_in_full() {
    let mut aggregator = LoadAggregator::default();
    let mut other = Entry::with_calls("other", &[(1, 2)]);
    let mut entry = Entry::with_calls("entry", &[(1, 1)]);
    other.exchange(at(0), &mut aggregator);
    entry.exchange(at(1), &mut aggregator);

    let mut restarted = Entry::new("entry");
    let reply = restarted.exchange(at(100), &mut aggregator);

    assert!(is_full(&reply));
    assert_eq!(restarted.calls_at(1), 2);
}

/// Guards against claims of a killed entry that stay in the others' sums: no report changes them any
/// more, only their expiry.
#[test]
fn calls_of_a_killed_entry_leave_the_sums_when_its_report_expires() {
    let mut aggregator = LoadAggregator::default();
    let mut killed = Entry::with_calls("killed", &[(1, 12)]);
    let mut entry = Entry::new("entry");
    killed.exchange(at(0), &mut aggregator);
    for millis in (100..=1_900).step_by(100) {
        entry.exchange(at(millis), &mut aggregator);
    }
    let before = entry.calls_at(1);

    let reply = entry.exchange(at(2_100), &mut aggregator);

    assert!(!is_full(&reply));
    assert_eq!((before, entry.calls_at(1)), (12, 0));
    assert!(entry.ledger.usage(at(2_100), hash(1)).calls < 0.1);
}

/// Guards against a reply that does not fit, which would set the sums of other endpoints.
#[test]
fn a_reply_that_does_not_fit_is_ignored_and_the_next_one_is_full() {
    let mut aggregator = LoadAggregator::default();
    let mut other = Entry::with_calls("other", &[(1, 2), (2, 2)]);
    let mut entry = Entry::new("entry");
    other.exchange(at(0), &mut aggregator);
    entry.exchange(at(1), &mut aggregator);
    other.calls.insert(2, 9);
    other.exchange(at(2), &mut aggregator);
    let mut reply = entry.send(at(3), &mut aggregator);
    let sums = reply.sums.as_mut().expect("sums");

    sums.usage.changed[0].skipped = 40;
    entry.receive(at(3), &reply);
    let calls = (entry.calls_at(1), entry.calls_at(2));
    let next = entry.exchange(at(4), &mut aggregator);

    assert_eq!(calls, (2, 2));
    assert!(is_full(&next));
    assert_eq!(entry.calls_at(2), 9);
}

/// Guards against tables that keep endpoints which have been replaced for ever.
#[test]
fn endpoints_without_calls_are_dropped_from_the_tables() {
    let mut aggregator = LoadAggregator::default();
    let mut other = Entry::new("other");
    let mut entry = Entry::new("entry");
    let mut full_replies = 0;

    for generation in 0..1_000 {
        other.calls = BTreeMap::from([(generation, 1)]);
        other.exchange(at(u64::from(generation) * 2), &mut aggregator);
        let reply = entry.exchange(at(u64::from(generation) * 2 + 1), &mut aggregator);
        full_replies += u32::from(is_full(&reply));
    }

    assert!((10..20).contains(&full_replies), "{full_replies}");
    assert_eq!(entry.calls_at(999), 1);
}

/// Guards against entries without managed capacity that get differences.
#[test]
fn an_entry_that_does_not_ask_for_differences_gets_full_lists() {
    let mut aggregator = LoadAggregator::default();
    let mut other = Entry::with_calls("other", &[(1, 2), (2, 4)]);
    let entry = Entry::new("entry");
    other.exchange(at(0), &mut aggregator);

    for millis in [1, 2, 3] {
        let reply = aggregator.exchange(at(millis), &entry.name, entry.report(None));

        assert_eq!(reply.sums, None);
        assert_eq!(reply.usage.len(), 2);
        assert_eq!(reply.work.len(), 1);
    }
}

/// Guards against sums that drift from the true ones under any order of exchanges, losses, changes of
/// the leader and restarts.
#[test]
fn sums_equal_those_of_full_replies_under_random_exchanges() {
    for seed in 0..40 {
        let mut random = Pcg64::seed_from_u64(seed);
        // Two keepers by differences, and the same two by full lists.
        let mut by_delta = [LoadAggregator::default(), LoadAggregator::default()];
        let mut by_list = [LoadAggregator::default(), LoadAggregator::default()];
        let names: Vec<String> = (0..9).map(|number| format!("entry-{number}")).collect();
        let mut entries: Vec<Entry> = names.iter().map(|name| Entry::new(name)).collect();
        let (mut leader, mut millis, mut deltas) = (0, 0, 0);

        for _ in 0..3_000 {
            millis += random.random_range(0..20);
            if random.random_bool(0.004) {
                leader = 1 - leader;
                for entry in &mut entries {
                    entry.received.reset();
                }
            }
            if random.random_bool(0.002) {
                by_delta[leader] = LoadAggregator::default();
                by_list[leader] = LoadAggregator::default();
            }
            if random.random_bool(0.002) {
                millis += 2_500;
            }
            let number = random.random_range(0..entries.len());
            if random.random_bool(0.005) {
                entries[number] = Entry::new(&names[number]);
            }
            let entry = &mut entries[number];
            for _ in 0..random.random_range(0..4) {
                let endpoint = random.random_range(0..30);
                let calls = random.random_range(0..6);
                entry.calls.insert(endpoint, calls);
                entry.calls.retain(|_, calls| *calls > 0);
            }
            let now = at(millis);
            let list = by_list[leader].exchange(now, &entry.name, entry.report(None));
            let reply = entry.send(now, &mut by_delta[leader]);
            if random.random_bool(0.03) {
                // A lost reply. Mostly, the entry notices the loss.
                if random.random_bool(0.8) {
                    entry.received.reset();
                }
                continue;
            }
            deltas += u32::from(!is_full(&reply));
            entry.receive(now, &reply);
            let is_equal = sums_at(entry) == sums_of_full_reply(&list);
            assert!(is_equal, "entry {number} at {millis} ms, seed {seed}");
            for endpoint in 0..30 {
                let ledger_calls = entry.ledger.usage(now, hash(endpoint)).calls;
                let calls = f64::from(entry.calls_at(endpoint));
                assert!((ledger_calls - calls).abs() < 1e-9, "seed {seed}");
            }
        }

        assert!(deltas > 1_000, "{deltas} differences with seed {seed}");
    }
}

/// Guards against replies whose size grows with the pool: with 72 entries, 140 endpoints and some 770
/// calls per second, a reply by differences takes less than a third of a full one.
#[test]
fn replies_are_short_on_the_wire() {
    let mut random = Pcg64::seed_from_u64(1);
    let mut by_delta = LoadAggregator::default();
    let mut by_list = LoadAggregator::default();
    let entries = (0..72).map(|number| Entry::new(&format!("entry-{number}")));
    let mut entries: Vec<Entry> = entries.collect();
    for entry in &mut entries {
        for _ in 0..16 {
            *entry.calls.entry(random.random_range(0..140)).or_default() += 1;
        }
    }
    let bytes = |reply: &LoadSummary| postcard::to_allocvec(reply).expect("a reply").len();
    let (mut delta_bytes, mut list_bytes) = (0, 0);

    // Each entry exchanges 40 times per second; about one call starts and one ends per 1.3 ms.
    for step in 0..8_640_u64 {
        let entry = &mut entries[(step % 72) as usize];
        if random.random_bool(0.25) {
            let first = entry.calls.keys().next().copied();
            if let Some(endpoint) = first {
                entry.calls.remove(&endpoint);
            }
            *entry.calls.entry(random.random_range(0..140)).or_default() += 1;
        }
        let now = at(step * 1_000 / 2_880);
        list_bytes += bytes(&by_list.exchange(now, &entry.name, entry.report(None)));
        delta_bytes += bytes(&entry.exchange(now, &mut by_delta));
    }

    println!(
        "bytes per reply: {} by differences, {} by lists",
        delta_bytes / 8_640,
        list_bytes / 8_640
    );
    assert!(delta_bytes * 3 < list_bytes, "{delta_bytes}, {list_bytes}");
}
