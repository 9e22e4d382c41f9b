//! Deterministic simulation tests of the keepers: seeded schedules of failures, with invariants
//! checked on the way and the callers' history checked for linearizability.
//!
//! A failing seed prints the command that replays it with a readable trace.

mod backlog;
mod disk;
mod history;
mod simulation;

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use simulation::{SeededDefect, Simulation, SimulationCounts, SimulationSettings};

/// Number of schedules to run; `KEEPER_SCHEDULES` overrides it.
const SCHEDULES: u64 = 3_000;
/// Number of seeds within which each seeded defect must be detected.
const DEFECT_SEEDS: u64 = 600;
/// The same for a defect that shows in about one of 500 schedules.
const RARE_DEFECT_SEEDS: u64 = 3_000;

fn env_number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

fn replay_command(seed: u64) -> String {
    format!("KEEPER_SEED={seed} cargo test --release -p chestnutloft-core --test keepers replays")
}

/// Runs `count` schedules on all cores until one fails. Returns the totals, and the failing seed
/// with the violated invariant.
fn run_schedules(
    count: u64,
    make: impl Fn(u64) -> SimulationSettings + Sync,
) -> (SimulationCounts, Option<(u64, String)>) {
    let next = AtomicU64::new(0);
    let failed: Mutex<Option<(u64, String)>> = Mutex::new(None);
    let sum: Mutex<SimulationCounts> = Mutex::new(SimulationCounts::default());
    let threads = std::thread::available_parallelism().map_or(2, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= count || failed.lock().expect("no panics").is_some() {
                        return;
                    }
                    let mut simulation = Simulation::new(make(seed));
                    let outcome = simulation.run();
                    add_counts(&mut sum.lock().expect("no panics"), simulation.counts);
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

fn add_counts(sum: &mut SimulationCounts, counts: SimulationCounts) {
    sum.elections += counts.elections;
    sum.answered += counts.answered;
    sum.faults += counts.faults;
    sum.dispatched += counts.dispatched;
    sum.replaced += counts.replaced;
}

#[test]
fn schedules_of_failures_hold_all_invariants() {
    let count = env_number("KEEPER_SCHEDULES").unwrap_or(SCHEDULES);

    let (counts, failed) = run_schedules(count, SimulationSettings::from_seed);

    if let Some((seed, problem)) = failed {
        panic!("seed {seed}: {problem}\nreplay: {}", replay_command(seed));
    }
    println!("{count} schedules: {counts:?}");
    // Guards against schedules that pass because they exercise nothing.
    assert!(counts.elections > 2 * count, "{counts:?}");
    assert!(counts.answered > 50 * count, "{counts:?}");
    assert!(counts.dispatched > 3 * count, "{counts:?}");
    assert!(counts.replaced * 20 > count, "{counts:?}");
}

#[test]
fn replays_one_schedule_with_a_trace() {
    let seed = env_number("KEEPER_SEED").unwrap_or(1);
    let mut simulation = Simulation::new(SimulationSettings {
        is_traced: true,
        ..SimulationSettings::from_seed(seed)
    });

    let outcome = simulation.run();

    if let Err(problem) = outcome {
        panic!("{}\nseed {seed}: {problem}", simulation.trace());
    }
}

#[test]
fn same_seed_gives_the_same_trace() {
    let trace_of = |seed| {
        let mut simulation = Simulation::new(SimulationSettings {
            is_traced: true,
            ..SimulationSettings::from_seed(seed)
        });
        simulation.run().expect("all invariants hold");
        simulation.trace()
    };

    assert_eq!(trace_of(5), trace_of(5));
}

/// Asserts that the checks detect `defect`, with one of the `expected` failures.
fn assert_defect_found(defect: SeededDefect, expected: &[&str]) {
    assert_defect_found_within(DEFECT_SEEDS, defect, expected);
}

fn assert_defect_found_within(seeds: u64, defect: SeededDefect, expected: &[&str]) {
    let make = |seed| SimulationSettings {
        defect: Some(defect),
        ..SimulationSettings::from_seed(seed)
    };

    let (_, failed) = run_schedules(seeds, make);

    let (seed, problem) = failed.unwrap_or_else(|| panic!("{defect:?} was not detected"));
    let is_expected = expected.iter().any(|text| problem.contains(text));
    assert!(
        is_expected,
        "seed {seed}: {defect:?} was detected as: {problem}"
    );
}

#[test]
fn finds_an_acknowledgement_before_sync() {
    assert_defect_found(
        SeededDefect::AckBeforeSync,
        &[
            "applies a different entry",
            "lead term",
            "linearizable",
            "is dispatched for attempts",
            "differ",
            "goes back",
        ],
    );
}

#[test]
fn finds_a_vote_that_was_not_persisted() {
    assert_defect_found(
        SeededDefect::VoteNotPersisted,
        &["lead term", "applies a different entry"],
    );
}

#[test]
fn finds_a_leader_lease_that_is_too_long() {
    assert_defect_found_within(
        RARE_DEFECT_SEEDS,
        SeededDefect::LeaderLeaseTooLong,
        &["linearizable", "may start work under revision", "goes back"],
    );
}

#[test]
fn finds_a_dispatch_before_its_claim_is_granted() {
    assert_defect_found(
        SeededDefect::DispatchBeforeClaim,
        &["is dispatched for attempts"],
    );
}

#[test]
fn finds_a_new_leader_that_ignores_earlier_entry_leases() {
    assert_defect_found(
        SeededDefect::PreviousLeasesIgnored,
        &["may start work under revision"],
    );
}

#[test]
fn finds_an_entry_that_ignores_its_expired_lease() {
    assert_defect_found(
        SeededDefect::ExpiredLeaseIgnored,
        &["may start work under revision"],
    );
}

#[test]
fn finds_a_replica_that_lost_its_disk_and_kept_its_id() {
    assert_defect_found(
        SeededDefect::ReplicaIdReused,
        &[
            "applies a different entry",
            "linearizable",
            "lead term",
            "is dispatched for attempts",
            "differ",
            "goes back",
        ],
    );
}
