//! The keepers' state machine under seeded schedules of failures.
//!
//! A failing seed prints one command that replays it with a readable trace.

mod disk;
mod history;
mod world;

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use world::{SeededDefect, World, WorldCounts, WorldSettings};

/// Schedules that every change must pass; `KEEPER_SCHEDULES` asks for more.
const SCHEDULES: u64 = 3_000;
/// Seeds in which each seeded defect must show.
const DEFECT_SEEDS: u64 = 600;

fn number_from(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

fn replay_command(seed: u64) -> String {
    format!("KEEPER_SEED={seed} cargo test --release -p chestnutloft-core --test keepers replays")
}

/// Runs `count` schedules on all cores; the first failing seed with what did not hold.
fn run_schedules(
    count: u64,
    make: impl Fn(u64) -> WorldSettings + Sync,
) -> (WorldCounts, Option<(u64, String)>) {
    let next = AtomicU64::new(0);
    let failed: Mutex<Option<(u64, String)>> = Mutex::new(None);
    let sum: Mutex<WorldCounts> = Mutex::new(WorldCounts::default());
    let threads = std::thread::available_parallelism().map_or(2, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= count || failed.lock().expect("no panics").is_some() {
                        return;
                    }
                    let mut world = World::new(make(seed));
                    let outcome = world.run();
                    add(&mut sum.lock().expect("no panics"), world.counts);
                    if let Err(problem) = outcome {
                        failed
                            .lock()
                            .expect("no panics")
                            .get_or_insert((seed, problem));
                    }
                }
            });
        }
    });
    let sum = *sum.lock().expect("no panics");
    (sum, failed.into_inner().expect("no panics"))
}

fn add(sum: &mut WorldCounts, counts: WorldCounts) {
    sum.elections += counts.elections;
    sum.answered += counts.answered;
    sum.faults += counts.faults;
    sum.dispatched += counts.dispatched;
    sum.replaced += counts.replaced;
}

#[test]
fn schedules_of_failures_hold_all_invariants() {
    let count = number_from("KEEPER_SCHEDULES").unwrap_or(SCHEDULES);

    let (counts, failed) = run_schedules(count, WorldSettings::of_seed);

    if let Some((seed, problem)) = failed {
        panic!("seed {seed}: {problem}\nreplay: {}", replay_command(seed));
    }
    println!("{count} schedules: {counts:?}");
    // The schedules must do something, or they prove nothing.
    assert!(counts.elections > 2 * count, "{counts:?}");
    assert!(counts.answered > 50 * count, "{counts:?}");
    assert!(counts.dispatched > 3 * count, "{counts:?}");
    assert!(counts.replaced * 20 > count, "{counts:?}");
}

#[test]
fn replays_one_schedule_with_a_trace() {
    let seed = number_from("KEEPER_SEED").unwrap_or(1);
    let mut world = World::new(WorldSettings {
        is_traced: true,
        ..WorldSettings::of_seed(seed)
    });

    let outcome = world.run();

    if let Err(problem) = outcome {
        panic!("{}\nseed {seed}: {problem}", world.trace());
    }
}

#[test]
fn same_seed_gives_the_same_trace() {
    let trace_of = |seed| {
        let mut world = World::new(WorldSettings {
            is_traced: true,
            ..WorldSettings::of_seed(seed)
        });
        world.run().expect("the seed holds");
        world.trace()
    };

    assert_eq!(trace_of(5), trace_of(5));
}

/// The checks find `defect`, and say what it leads to.
fn assert_found(defect: SeededDefect, expected: &[&str]) {
    let make = |seed| WorldSettings {
        defect: Some(defect),
        ..WorldSettings::of_seed(seed)
    };

    let (_, failed) = run_schedules(DEFECT_SEEDS, make);

    let (seed, problem) = failed.unwrap_or_else(|| panic!("{defect:?} was not found"));
    let is_expected = expected.iter().any(|text| problem.contains(text));
    assert!(is_expected, "seed {seed}: {defect:?} showed as: {problem}");
}

#[test]
fn finds_acknowledgement_before_sync() {
    assert_found(
        SeededDefect::AckBeforeSync,
        &[
            "applies another entry",
            "lead term",
            "linearizable",
            "runs for attempts",
            "differ",
            "goes back",
        ],
    );
}

#[test]
fn finds_a_forgotten_vote() {
    assert_found(
        SeededDefect::ForgottenVote,
        &["lead term", "applies another entry"],
    );
}

#[test]
fn finds_a_lease_that_is_too_long() {
    assert_found(
        SeededDefect::LongLease,
        &["linearizable", "may work under revision", "goes back"],
    );
}

#[test]
fn finds_a_claim_that_was_not_awaited() {
    assert_found(SeededDefect::ClaimNotAwaited, &["runs for attempts"]);
}

#[test]
fn finds_leases_that_a_new_leader_does_not_wait_for() {
    assert_found(SeededDefect::NoInheritedWait, &["may work under revision"]);
}

#[test]
fn finds_an_entry_that_ignores_its_lease() {
    assert_found(SeededDefect::LeaseIgnored, &["may work under revision"]);
}

#[test]
fn finds_a_lost_disk_under_its_old_number() {
    assert_found(
        SeededDefect::OldNumber,
        &[
            "applies another entry",
            "linearizable",
            "lead term",
            "runs for attempts",
            "differ",
            "goes back",
        ],
    );
}
