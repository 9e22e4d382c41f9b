//! Endpoints that have prompt prefixes cached.

use std::sync::Arc;

use chestnutloft_core::routing::{LoadAggregator, LoadSummary, PrefixDirectory};
use chestnutloft_core::time::TimePoint;

fn at(seconds: u64) -> TimePoint {
    TimePoint::from_millis(10_000 + seconds * 1_000)
}

fn holders(directory: &PrefixDirectory, now: TimePoint, prefix: u32) -> Vec<u32> {
    let mut holders: Vec<u32> = directory.holders(now, prefix).collect();
    holders.sort_unstable();
    holders
}

fn exchange(
    aggregator: &mut LoadAggregator,
    now: TimePoint,
    name: &str,
    directory: &mut PrefixDirectory,
) -> usize {
    let report = LoadSummary {
        prefixes: directory.take_news(),
        ..LoadSummary::default()
    };
    let reply = aggregator.exchange(now, &Arc::from(name), report);
    directory.merge(now, &reply.prefixes);
    reply.prefixes.len()
}

/// Guards against prompts that are processed once at each entry's own choice of endpoint.
#[test]
fn entries_learn_where_others_sent_a_prefix() {
    let mut aggregator = LoadAggregator::default();
    let (mut one, mut other) = (PrefixDirectory::default(), PrefixDirectory::default());
    one.record(at(0), 5, 70);

    exchange(&mut aggregator, at(0), "one", &mut one);
    exchange(&mut aggregator, at(0), "other", &mut other);

    assert_eq!(holders(&other, at(0), 5), vec![70]);
    assert_eq!(holders(&other, at(0), 6), vec![]);
}

/// Guards against reports that grow with each use of a prefix.
#[test]
fn placement_is_told_once_while_it_is_fresh() {
    let mut aggregator = LoadAggregator::default();
    let (mut one, mut other) = (PrefixDirectory::default(), PrefixDirectory::default());
    for _ in 0..100 {
        one.record(at(0), 5, 70);
    }

    exchange(&mut aggregator, at(0), "one", &mut one);
    let first = exchange(&mut aggregator, at(0), "other", &mut other);
    let second = exchange(&mut aggregator, at(1), "other", &mut other);

    assert_eq!((first, second), (1, 0));
}

/// Guards against an endpoint that counts as holding what its earlier process had, or what it has
/// evicted since.
#[test]
fn prefixes_are_forgotten_with_the_process_and_with_time() {
    let mut directory = PrefixDirectory::default();
    directory.record(at(0), 5, 70);
    directory.record(at(40), 5, 71);

    assert_eq!(holders(&directory, at(40), 5), vec![70, 71]);
    assert_eq!(holders(&directory, at(50), 5), vec![71]);
    directory.forget(71);
    assert_eq!(holders(&directory, at(50), 5), vec![]);
}

/// Guards against memory that grows with the number of subjects.
#[test]
fn directory_is_bounded() {
    let mut directory = PrefixDirectory::default();

    for prefix in 0..100_000 {
        directory.record(at(0), prefix, 70);
        directory.take_news();
    }
    for endpoint in 0..100 {
        directory.record(at(1), 7, endpoint);
    }

    let known = (0..100_000).filter(|prefix| directory.holders(at(0), *prefix).count() > 0);
    assert!(known.count() <= 20_000);
    assert!(directory.holders(at(1), 7).count() <= 6);
}
