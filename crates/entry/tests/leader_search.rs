//! Search for the leading keeper, without a network.

use std::time::Duration;

use chestnutloft_entry::forward::leader_search::{FoundLeader, KeeperAnswer, search_leader};

fn addresses(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// Answer of a keeper by its name: `dark` ones never answer, `follower` ones know no leader, `stale`
/// ones name one without power, and `guide` ones name the leader.
async fn answer(address: String) -> KeeperAnswer<u32> {
    let kind = address.split('-').next().unwrap_or_default();
    match kind {
        "dark" => std::future::pending().await,
        "leader" => KeeperAnswer::Leader(7),
        "guide" => KeeperAnswer::Follower(Some("leader-0".to_owned())),
        "stale" => KeeperAnswer::Follower(Some("dark-9".to_owned())),
        "follower" => KeeperAnswer::Follower(None),
        _ => KeeperAnswer::Failed("connection refused".to_owned()),
    }
}

#[tokio::test(start_paused = true)]
async fn keepers_without_power_delay_the_search_by_less_than_a_poll_timeout() {
    let started_at = tokio::time::Instant::now();

    let found = search_leader(&addresses(&["dark-1", "dark-2", "leader-3"]), answer).await;

    let expected = FoundLeader {
        address: "leader-3".to_owned(),
        reply: 7,
    };
    assert_eq!(found, Ok(expected));
    assert!(started_at.elapsed() < Duration::from_millis(400));
}

#[tokio::test(start_paused = true)]
async fn a_leader_named_by_a_follower_is_polled_at_once() {
    let started_at = tokio::time::Instant::now();

    let found = search_leader(&addresses(&["guide-1", "dark-2", "dark-3"]), answer).await;

    assert_eq!(found.expect("a leader").address, "leader-0");
    assert!(started_at.elapsed() < Duration::from_millis(50));
}

#[tokio::test(start_paused = true)]
async fn a_follower_that_names_a_keeper_without_power_does_not_end_the_search() {
    let started_at = tokio::time::Instant::now();

    let found = search_leader(&addresses(&["stale-1", "stale-2", "leader-3"]), answer).await;

    assert_eq!(found.expect("a leader").address, "leader-3");
    assert!(started_at.elapsed() < Duration::from_millis(400));
}

#[tokio::test(start_paused = true)]
async fn a_keeper_listed_twice_is_polled_once() {
    let names = addresses(&["dark-1", "dark-1", "dark-1", "dark-1", "leader-2"]);
    let started_at = tokio::time::Instant::now();

    let found = search_leader(&names, answer).await;

    assert_eq!(found.expect("a leader").address, "leader-2");
    assert!(started_at.elapsed() < Duration::from_millis(200));
}

#[tokio::test(start_paused = true)]
async fn without_a_leader_the_search_ends_within_a_second() {
    let names = addresses(&["dark-1", "follower-2", "refusing-3"]);
    let started_at = tokio::time::Instant::now();

    let found = search_leader(&names, answer).await;

    assert!(found.is_err());
    assert!(started_at.elapsed() < Duration::from_secs(1));
}

#[tokio::test(start_paused = true)]
async fn a_keeper_that_is_elected_during_the_search_is_found_before_silent_ones_time_out() {
    let started_at = tokio::time::Instant::now();
    let elected_at = started_at + Duration::from_millis(300);
    let elect = async |address: String| {
        if address == "follower-1" && tokio::time::Instant::now() >= elected_at {
            return KeeperAnswer::Leader(7);
        }
        answer(address).await
    };

    let found = search_leader(&addresses(&["follower-1", "stale-2", "dark-3"]), elect).await;

    assert_eq!(found.expect("a leader").address, "follower-1");
    assert!(started_at.elapsed() < Duration::from_millis(600));
}

/// Guards against an entry that waits for the other keepers' timeouts after all have lost power, while
/// the keeper that wins the election has just started.
#[tokio::test(start_paused = true)]
async fn a_keeper_that_refused_the_first_poll_is_polled_again() {
    let started_at = tokio::time::Instant::now();
    let is_up = move || started_at.elapsed() >= Duration::from_millis(150);
    let answer = |address: String| async move {
        match address.as_str() {
            "starting-1" if is_up() => KeeperAnswer::Leader(7),
            "starting-1" => KeeperAnswer::Failed("connection refused".to_owned()),
            _ => std::future::pending().await,
        }
    };

    let found = search_leader(&addresses(&["starting-1", "dark-2", "dark-3"]), answer).await;

    assert_eq!(found.expect("a leader").address, "starting-1");
    assert!(started_at.elapsed() < Duration::from_millis(300));
}
