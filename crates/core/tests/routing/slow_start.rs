//! Load: an endpoint that comes back, cold or unhealthy, while many entries have calls for it.

use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::routing::{
    AnswerCount, EndpointHash, EndpointProcess, LoadAggregator, LoadSummary, PoolWarmth,
    SlowStartControl, SlowStartSettings, WarmupCause, WarmupRequest, WarmupStart,
};
use chestnutloft_core::time::TimePoint;

pub(crate) const SLOTS: u32 = 12;
/// One of many endpoints warms up.
pub(crate) const ONE_OF_MANY: PoolWarmth = PoolWarmth {
    warming: 1,
    total: 30,
};

pub(crate) fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(10_000 + millis)
}

pub(crate) fn process() -> EndpointProcess {
    EndpointProcess::new("one", 7)
}

pub(crate) fn hash() -> EndpointHash {
    process().endpoint
}

pub(crate) fn begin(control: &mut SlowStartControl, now: TimePoint, cause: WarmupCause) {
    let start = WarmupStart {
        id: &Arc::from("one"),
        process: process(),
        slots: SLOTS,
        cause,
        resume_at: now,
    };
    control.begin(now, &start);
}

pub(crate) fn limit(control: &SlowStartControl, now: TimePoint) -> Option<u32> {
    control.limit(now, hash(), ONE_OF_MANY)
}

fn epoch(control: &SlowStartControl) -> u64 {
    control.answers(at(0))[0].epoch
}

/// Guards against a pool that serves nothing because many of its endpoints return together.
#[test]
fn limits_are_raised_when_more_than_a_third_of_the_pool_warms_up() {
    let mut control = SlowStartControl::default();
    begin(&mut control, at(0), WarmupCause::DomainReturned);
    let at_share = |warming| {
        let warmth = PoolWarmth { warming, total: 12 };
        control.limit(at(0), hash(), warmth)
    };

    let limits = [4, 6, 9, 12].map(at_share);

    assert_eq!(limits, [Some(1), Some(3), Some(8), None]);
}

/// Guards against a pool most of whose calls are probes.
#[test]
fn probes_are_at_most_a_fifth_of_an_entrys_calls() {
    let mut control = SlowStartControl::default();
    begin(&mut control, at(0), WarmupCause::Started);
    let own: Arc<str> = Arc::from("a");
    let service: Arc<str> = Arc::from("llm");
    let request = WarmupRequest {
        endpoint: hash(),
        service: &service,
        own: &own,
        entries: &[Arc::clone(&own)],
        own_calls: 0,
        warmth: ONE_OF_MANY,
    };

    let probes = (0..100).filter(|_| {
        let is_probe = control.may_send(at(1), &request);
        let endpoint = if is_probe { hash() } else { 0 };
        control.record_call(at(1), endpoint, &service, Duration::ZERO);
        is_probe
    });

    // One more than a fifth: the first call may be a probe.
    assert!(probes.count() <= 21);
}

/// Guards against evidence of different warm-ups that is added up, and against a warm-up of which an
/// entry has not heard.
#[test]
fn entries_that_disagree_on_the_epoch_adopt_the_later_one() {
    let (mut ahead, mut behind) = (SlowStartControl::default(), SlowStartControl::default());
    begin(&mut ahead, at(0), WarmupCause::Started);
    begin(&mut behind, at(0), WarmupCause::Started);
    behind.record(at(100), process(), true);
    begin(&mut ahead, at(200), WarmupCause::Cold);

    ahead.merge(at(210), &behind.answers(at(210)));
    behind.merge(at(210), &ahead.answers(at(210)));
    ahead.record(at(300), process(), false);
    behind.merge(at(310), &ahead.answers(at(310)));

    assert_eq!(epoch(&ahead), epoch(&behind));
    assert_eq!(limit(&ahead, at(320)), Some(0));
    assert_eq!(limit(&behind, at(320)), Some(0));
}

/// Guards against entries that outbid each other's epochs, which discards the evidence of all: one learns
/// of a cold period from another entry before the keepers' update arrives.
#[test]
fn cause_that_arrives_after_the_epoch_of_another_entry_starts_no_further_epoch() {
    let (mut first, mut second) = (SlowStartControl::default(), SlowStartControl::default());
    second.track(&Arc::from("one"), process(), SLOTS);
    first.track(&Arc::from("one"), process(), SLOTS);
    begin(&mut first, at(0), WarmupCause::Cold);
    first.record(at(50), process(), true);
    second.merge(at(60), &first.answers(at(60)));

    begin(&mut second, at(90), WarmupCause::Cold);

    assert_eq!(epoch(&first), epoch(&second));
    assert_eq!(limit(&second, at(90)), Some(2));
}

/// Guards against an entry with a broken link to an endpoint that takes it from all others.
#[test]
fn entry_with_sound_answers_does_not_adopt_the_warm_up_of_another_entry() {
    let (mut cut_off, mut serving) = (SlowStartControl::default(), SlowStartControl::default());
    serving.track(&Arc::from("one"), process(), SLOTS);
    serving.record(at(900), process(), true);
    begin(&mut cut_off, at(1_000), WarmupCause::Ejected);

    serving.merge(at(1_100), &cut_off.answers(at(1_100)));
    let while_sound = limit(&serving, at(1_100));
    serving.merge(at(2_500), &cut_off.answers(at(1_100)));

    assert_eq!(while_sound, None);
    assert_eq!(limit(&serving, at(2_500)), Some(1));
}

/// Guards against a second ejection, seen by one entry, that discards the evidence of all.
#[test]
fn ejection_during_a_warm_up_does_not_start_another_one() {
    let mut control = SlowStartControl::default();
    begin(&mut control, at(0), WarmupCause::Started);
    let before = epoch(&control);

    control.record(at(100), process(), false);
    begin(&mut control, at(100), WarmupCause::Ejected);

    assert_eq!(epoch(&control), before);
    assert_eq!(limit(&control, at(200)), Some(0));
}

/// Guards against sums that count an entry's own answers, an earlier warm-up or a count too old.
#[test]
fn aggregator_sums_the_latest_epoch_over_the_other_entries_for_ten_seconds() {
    let mut aggregator = LoadAggregator::default();
    let mut exchange = |millis, entry: &str, counts: &[(u64, u32, u32)]| {
        let count = |(epoch, sound, bad): &(u64, u32, u32)| AnswerCount {
            endpoint: hash(),
            epoch: *epoch,
            sound: *sound,
            bad: *bad,
            rejected: 0,
        };
        let load = LoadSummary {
            answers: counts.iter().map(count).collect(),
            ..LoadSummary::default()
        };
        let sums = aggregator.exchange(at(millis), &Arc::from(entry), load);
        let sums = sums.answers.iter();
        sums.map(|sum| (sum.epoch, sum.sound, sum.bad))
            .collect::<Vec<_>>()
    };
    exchange(0, "a", &[(1, 50, 0)]);
    exchange(1, "b", &[(2, 3, 1)]);
    exchange(2, "c", &[(2, 4, 0)]);

    let at_once = exchange(3, "c", &[(2, 5, 0)]);
    let of_all = exchange(5_000, "a", &[]);
    let expired = exchange(10_500, "a", &[]);

    assert_eq!(at_once, [(2, 3, 1)]);
    assert_eq!(of_all, [(2, 8, 1)]);
    assert_eq!(expired, []);
}

/// Guards against a pause that ends a limit or lasts longer than an ejection may.
#[test]
fn pause_after_bad_answers_is_bounded() {
    let mut control = SlowStartControl::default();
    begin(&mut control, at(0), WarmupCause::Started);
    let longest = SlowStartSettings::default().max_probe_pause;

    let mut now = at(0);
    for _ in 0..40 {
        control.record(now, process(), false);
        now = now + longest;
    }

    assert_eq!(limit(&control, now), Some(1));
    assert_eq!(limit(&control, now - Duration::from_millis(1)), Some(0));
}
