//! Slot credits: all entries together must stay within the limit of a cold endpoint, even if
//! messages between entries and owner are delayed, reordered or lost.

use std::cell::Cell;
use std::collections::VecDeque;
use std::time::Duration;

use chestnutloft_core::ids::EntryId;
use chestnutloft_core::state::{
    CreditAllocator, CreditGrant, CreditHolder, CreditReport, CreditSettings, RampSettings,
};
use chestnutloft_core::time::TimePoint;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};

const EPOCH: (u64, u64) = (1, 0);
const FULL_SLOTS: u32 = 12;
/// One slot for a second.
const ONE_SLOT: CreditGrant = CreditGrant {
    slots: 1,
    duration_us: 1_000_000,
    is_warm: false,
};

fn entry(number: usize) -> EntryId {
    format!("e{number}").parse().expect("an id")
}

/// A message in transit between an entry and the owner: number of the entry, time of the report,
/// content.
enum Message {
    Report(usize, TimePoint, CreditReport),
    Grant(usize, TimePoint, CreditGrant),
}

struct Simulation {
    owner: CreditAllocator,
    holders: Vec<CreditHolder>,
    /// For each entry, when its running requests end.
    running: Vec<Vec<TimePoint>>,
    /// Messages in transit, with their time of arrival.
    in_transit: VecDeque<(TimePoint, Message)>,
    now: TimePoint,
}

impl Simulation {
    fn new(entries: usize) -> Self {
        let settings = CreditSettings {
            max_request_duration: Duration::from_millis(400),
            // The limit grows early, so that short cases reach values above one.
            ramp: RampSettings {
                answers_per_slot: 1,
                ..RampSettings::default()
            },
            ..CreditSettings::default()
        };
        let now = TimePoint::from_secs(10);
        Self {
            owner: CreditAllocator::new(&settings, EPOCH, FULL_SLOTS, now),
            holders: vec![CreditHolder::new(EPOCH); entries],
            running: vec![Vec::new(); entries],
            in_transit: VecDeque::new(),
            now,
        }
    }

    fn in_use(&self) -> u32 {
        self.running.iter().map(|r| r.len() as u32).sum()
    }

    fn step(&mut self, entry_number: usize, action: u8, delay_ms: u64) {
        self.now = self.now + Duration::from_millis(3);
        let now = self.now;
        for (running, holder) in self.running.iter_mut().zip(&mut self.holders) {
            let before = running.len();
            running.retain(|ends_at| now < *ends_at);
            (running.len()..before).for_each(|_| holder.release(EPOCH, true));
        }
        let holder = &mut self.holders[entry_number];
        let arrival = now + Duration::from_millis(delay_ms);
        match action {
            0..4 => {
                if holder.has_free_slot(now) && !holder.is_warm() && holder.acquire(now) {
                    let duration = Duration::from_millis(20 + delay_ms);
                    self.running[entry_number].push(now + duration);
                } else {
                    holder.record_refused();
                }
            }
            4..7 if holder.needs_report(now) => {
                let report = holder.report(now);
                // One report in three is lost.
                if !delay_ms.is_multiple_of(3) {
                    self.in_transit
                        .push_back((arrival, Message::Report(entry_number, now, report)));
                }
            }
            _ => {}
        }
        self.deliver();
    }

    fn deliver(&mut self) {
        let arrived: Vec<Message> = {
            let (ready, later) = std::mem::take(&mut self.in_transit)
                .into_iter()
                .partition::<VecDeque<_>, _>(|(at, _)| *at <= self.now);
            self.in_transit = later;
            ready.into_iter().map(|(_, message)| message).collect()
        };
        for message in arrived {
            match message {
                Message::Report(number, reported_at, report) => {
                    let grant = self.owner.grant(self.now, &entry(number), report, 0);
                    let arrival = self.now + Duration::from_millis(reported_at.as_millis() % 40);
                    self.in_transit
                        .push_back((arrival, Message::Grant(number, reported_at, grant)));
                }
                Message::Grant(number, reported_at, grant) => {
                    self.holders[number].apply_grant(reported_at, EPOCH, grant);
                }
            }
        }
    }
}

#[test]
fn entries_together_never_exceed_the_limit() {
    let mut runner = TestRunner::new(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    });
    let steps = prop::collection::vec((0_usize..4, 0_u8..8, 0_u64..90), 200..600);
    let max_in_use = Cell::new(0);

    let outcome = runner.run(&steps, |steps| {
        let mut simulation = Simulation::new(4);
        let mut highest_limit = 1;
        for (number, action, delay) in steps {
            simulation.step(number, action, delay);
            max_in_use.set(max_in_use.get().max(simulation.in_use()));
            // A lowered limit applies to new requests only; requests in flight run to their end.
            highest_limit = highest_limit.max(simulation.owner.limit());
            let in_use = simulation.in_use();
            prop_assert!(
                in_use <= highest_limit,
                "{in_use} requests exceed the limit of {highest_limit}"
            );
        }
        Ok(())
    });

    outcome.expect("the limit holds");
    // Cases that never reach limits above one would not test much.
    assert!(
        max_in_use.get() > 2,
        "at most {} requests ran at once",
        max_in_use.get()
    );
}

#[test]
fn a_new_owner_waits_until_grants_of_the_previous_one_have_expired() {
    let settings = CreditSettings::default();
    let now = TimePoint::from_secs(10);
    let mut owner =
        CreditAllocator::new(&settings, EPOCH, FULL_SLOTS, settings.first_grant_at(now));
    let report = |at: TimePoint| CreditReport {
        number: at.as_micros(),
        wanted: 1,
        ..CreditReport::default()
    };

    let early = owner.grant(now, &entry(0), report(now), 0);
    let later = now + settings.owner_overlap + settings.duration;
    let late = owner.grant(later, &entry(0), report(later), 0);

    assert_eq!(early.slots, 0);
    assert_eq!(late.slots, 1);
}

#[test]
fn no_report_is_due_while_another_one_is_pending() {
    let mut holder = CreditHolder::new(EPOCH);
    let reported_at = TimePoint::from_secs(10);
    holder.record_refused();
    let _report = holder.report(reported_at);
    holder.record_refused();

    let is_due_while_pending = holder.needs_report(reported_at + Duration::from_millis(1));
    holder.apply_grant(reported_at, EPOCH, ONE_SLOT);
    let has_free_slot = holder.has_free_slot(reported_at + Duration::from_millis(2));
    let is_due_after_answer = holder.needs_report(reported_at + Duration::from_millis(2));

    assert!(!is_due_while_pending, "a report is pending");
    assert!(has_free_slot, "the grant is applied");
    assert!(is_due_after_answer, "a request was refused meanwhile");
}

#[test]
fn a_slot_is_kept_for_its_whole_duration_before_it_is_returned_unused() {
    let mut holder = CreditHolder::new(EPOCH);
    let reported_at = TimePoint::from_secs(10);
    holder.record_refused();
    let _report = holder.report(reported_at);
    holder.apply_grant(reported_at, EPOCH, ONE_SLOT);

    let is_returned_early = holder.needs_report(reported_at + Duration::from_millis(999));
    let is_returned = holder.needs_report(reported_at + Duration::from_secs(1));
    let report = holder.report(reported_at + Duration::from_secs(1));

    assert!(!is_returned_early, "the slot can still be used");
    assert!(is_returned, "the owner may grant the slot to others");
    assert_eq!(report.wanted, 0);
}
