//! One limit for a cold endpoint over all entries, whatever is late, lost or cut off.

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

const LIFE: (u64, u64) = (1, 0);
const FULL: u32 = 12;

fn entry(number: usize) -> EntryId {
    format!("e{number}").parse().expect("an id")
}

/// A message between an entry and the owner, on its way.
enum Mail {
    Report(usize, TimePoint, CreditReport),
    Grant(usize, TimePoint, CreditGrant),
}

struct World {
    owner: CreditAllocator,
    wallets: Vec<CreditHolder>,
    running: Vec<Vec<TimePoint>>,
    mail: VecDeque<(TimePoint, Mail)>,
    now: TimePoint,
}

impl World {
    fn new(entries: usize) -> Self {
        let settings = CreditSettings {
            max_request_duration: Duration::from_millis(400),
            // Grows soon, so that short cases reach limits above one.
            ramp: RampSettings {
                answers_per_slot: 1,
                ..RampSettings::default()
            },
            ..CreditSettings::default()
        };
        let now = TimePoint::from_secs(10);
        Self {
            owner: CreditAllocator::new(&settings, LIFE, FULL, now),
            wallets: vec![CreditHolder::new(LIFE); entries],
            running: vec![Vec::new(); entries],
            mail: VecDeque::new(),
            now,
        }
    }

    fn in_use(&self) -> u32 {
        self.running.iter().map(|r| r.len() as u32).sum()
    }

    fn step(&mut self, entry_number: usize, action: u8, delay_ms: u64) {
        self.now = self.now + Duration::from_millis(3);
        let now = self.now;
        for (running, wallet) in self.running.iter_mut().zip(&mut self.wallets) {
            let before = running.len();
            running.retain(|until| now < *until);
            (running.len()..before).for_each(|_| wallet.release(LIFE, true));
        }
        let wallet = &mut self.wallets[entry_number];
        let due = now + Duration::from_millis(delay_ms);
        match action {
            0..4 => {
                if wallet.has_free_slot(now) && !wallet.is_warm() && wallet.acquire(now) {
                    let span = Duration::from_millis(20 + delay_ms);
                    self.running[entry_number].push(now + span);
                } else {
                    wallet.record_refused();
                }
            }
            4..7 if wallet.needs_report(now) => {
                let report = wallet.report(now);
                // One report in three is lost.
                if !delay_ms.is_multiple_of(3) {
                    self.mail
                        .push_back((due, Mail::Report(entry_number, now, report)));
                }
            }
            _ => {}
        }
        self.deliver();
    }

    fn deliver(&mut self) {
        let due: Vec<Mail> = {
            let (ready, later) = std::mem::take(&mut self.mail)
                .into_iter()
                .partition::<VecDeque<_>, _>(|(at, _)| *at <= self.now);
            self.mail = later;
            ready.into_iter().map(|(_, mail)| mail).collect()
        };
        for mail in due {
            match mail {
                Mail::Report(number, asked_at, report) => {
                    let grant = self.owner.grant(self.now, &entry(number), report, 0);
                    let back = self.now + Duration::from_millis(asked_at.as_millis() % 40);
                    self.mail
                        .push_back((back, Mail::Grant(number, asked_at, grant)));
                }
                Mail::Grant(number, asked_at, grant) => {
                    self.wallets[number].apply_grant(asked_at, LIFE, grant);
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
    let most = Cell::new(0);

    let outcome = runner.run(&steps, |steps| {
        let mut world = World::new(4);
        let mut highest_limit = 1;
        for (number, action, delay) in steps {
            world.step(number, action, delay);
            most.set(most.get().max(world.in_use()));
            // A limit that was halved binds new starts; what runs already ends by itself.
            highest_limit = highest_limit.max(world.owner.limit());
            let in_use = world.in_use();
            prop_assert!(in_use <= highest_limit, "{in_use} over {highest_limit}");
        }
        Ok(())
    });

    outcome.expect("the limit holds");
    // The cases must reach limits above one, or they prove little.
    assert!(most.get() > 2, "at most {} ran at once", most.get());
}

#[test]
fn a_new_owner_waits_for_what_an_earlier_one_may_have_lent() {
    let settings = CreditSettings::default();
    let now = TimePoint::from_secs(10);
    let mut owner = CreditAllocator::new(&settings, LIFE, FULL, settings.first_grant_at(now));
    let report = |at: TimePoint| CreditReport {
        number: at.as_micros(),
        wanted: 1,
        ..CreditReport::default()
    };

    let early = owner.grant(now, &entry(0), report(now), 0);
    let later = now + settings.owner_overlap + settings.duration;
    let lent = owner.grant(later, &entry(0), report(later), 0);

    assert_eq!(early.slots, 0);
    assert_eq!(lent.slots, 1);
}

#[test]
fn a_report_is_not_overtaken_by_the_next() {
    let mut wallet = CreditHolder::new(LIFE);
    let asked_at = TimePoint::from_secs(10);
    wallet.record_refused();
    let _report = wallet.report(asked_at);
    wallet.record_refused();

    let soon = wallet.needs_report(asked_at + Duration::from_millis(1));
    let grant = CreditGrant {
        slots: 1,
        duration_us: 1_000_000,
        is_warm: false,
    };
    wallet.apply_grant(asked_at, LIFE, grant);
    let answered = wallet.has_free_slot(asked_at + Duration::from_millis(2));
    let later = wallet.needs_report(asked_at + Duration::from_millis(2));

    assert!(!soon, "the answer is still on its way");
    assert!(answered, "the answer counts");
    assert!(later, "demand that came meanwhile is told now");
}
