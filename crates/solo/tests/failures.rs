//! What must always hold, under failures, with daemons on loopback.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use chestnutloft_core::plan::{
    ChangeOutcome, PlanChange, PlanDeclaration, SubmittedChange, SubmittedContent,
};
use chestnutloft_keeper::daemon::KeeperDaemon;
use chestnutloft_solo::caller::{CallerAnswer, ModelCall, SampleCaller};
use chestnutloft_solo::cluster::{ClusterSettings, SoloCluster};
use chestnutloft_solo::{example, sample};
use chestnutloft_standin::text::ScriptedAnswer;

struct Fixture {
    cluster: SoloCluster,
    _data: tempfile::TempDir,
}

fn plan() -> PlanDeclaration {
    let mut plan = sample::hasten(example::plan().expect("the example is sound"));
    plan.rollouts.clear();
    plan
}

async fn start(keepers: u64, entries: usize) -> Fixture {
    let data = tempfile::tempdir().expect("a folder");
    let settings = ClusterSettings {
        keepers,
        entries,
        ..ClusterSettings::small(data.path(), plan())
    };
    let cluster = SoloCluster::start(&settings).await.expect("starts");
    Fixture {
        cluster,
        _data: data,
    }
}

fn bookings(cluster: &SoloCluster, key: &str) -> u32 {
    let seats = cluster.plains.iter();
    seats
        .filter_map(|seat| seat.plain.bookings().get(key).copied())
        .sum()
}

async fn book(
    cluster: &SoloCluster,
    caller: &SampleCaller,
    entry: usize,
    key: &str,
) -> CallerAnswer {
    let address = cluster.entry_addresses()[entry];
    caller
        .call_plain(address, "POST", "/order-svc/refills", Some(key), "{}")
        .await
}

/// Tries of a caller that comes back after a refusal which says that nothing has run.
const TRIES: usize = 100;

/// Books as a caller does: while the entry says truthfully that nothing has run, as it must
/// between two leaders, the caller comes back. Any other answer is final.
async fn book_patiently(
    cluster: &SoloCluster,
    caller: &SampleCaller,
    entry: usize,
    key: &str,
) -> CallerAnswer {
    for _ in 0..TRIES {
        let answer = book(cluster, caller, entry, key).await;
        let is_refused = answer.status == 503 && answer.refusal["error"]["ran"] == "not_run";
        if !is_refused {
            return answer;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("booking {key} was refused {TRIES} times");
}

/// Asks as a caller does that comes back after refusals which say that nothing has run.
async fn ask_patiently(
    caller: &SampleCaller,
    entry: SocketAddr,
    call: &ModelCall<'_>,
) -> CallerAnswer {
    for _ in 0..TRIES {
        let answer = caller.ask(entry, call).await;
        let is_refused = answer.status == 503 && answer.refusal["error"]["ran"] == "not_run";
        if !is_refused {
            return answer;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the call was refused {TRIES} times");
}

/// Looks for what `look` finds, for a long but bounded time.
async fn eventually<T>(mut look: impl AsyncFnMut() -> Option<T>) -> T {
    for _ in 0..1_500 {
        if let Some(found) = look().await {
            return found;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("it did not happen within 30 s");
}

async fn leader(cluster: &SoloCluster) -> usize {
    eventually(async || cluster.status().await?.leader.map(|id| id as usize - 1)).await
}

#[tokio::test(flavor = "multi_thread")]
async fn bookings_run_once_while_keepers_are_killed_in_turn() {
    let mut fixture = start(3, 2).await;
    let caller = SampleCaller::default();

    for round in 0..3 {
        let killed = leader(&fixture.cluster).await;
        let key = format!("booking-{round}");
        let first = book_patiently(&fixture.cluster, &caller, 0, &key).await;
        let keeper = fixture.cluster.keepers[killed].take().expect("runs");
        keeper.shut_down().await;
        let repeat = book_patiently(&fixture.cluster, &caller, 1, &key).await;
        let settings = fixture.cluster.keeper_settings[killed].clone();
        let restarted = KeeperDaemon::start(settings).await.expect("restarts");
        fixture.cluster.keepers[killed] = Some(restarted);

        assert_eq!(first.status, 200, "{first:?}");
        assert_eq!(repeat.text, first.text, "round {round}: {repeat:?}");
        assert_eq!(bookings(&fixture.cluster, &key), 1);
    }
    fixture.cluster.shut_down().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_booking_is_never_run_again() {
    let fixture = start(1, 2).await;
    let caller = SampleCaller::default();
    for seat in &fixture.cluster.plains {
        seat.plain
            .update_behaviour(|behaviour| behaviour.breaks_after_run = true);
    }

    let first = book_patiently(&fixture.cluster, &caller, 0, "lost").await;
    let repeat = book_patiently(&fixture.cluster, &caller, 1, "lost").await;

    assert_eq!(first.refusal["error"]["ran"], "unknown", "{first:?}");
    assert_eq!(
        repeat.refusal["error"]["code"], "outcome_unknown",
        "{repeat:?}"
    );
    assert_eq!(bookings(&fixture.cluster, "lost"), 1);
    fixture.cluster.shut_down().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_that_says_not_run_is_true() {
    let fixture = start(1, 1).await;
    let caller = SampleCaller::default();
    for seat in &fixture.cluster.plains {
        seat.plain
            .update_behaviour(|behaviour| behaviour.is_refusing = true);
    }

    let refused = book(&fixture.cluster, &caller, 0, "refused").await;
    for seat in &fixture.cluster.plains {
        seat.plain
            .update_behaviour(|behaviour| behaviour.is_refusing = false);
    }
    let again = book_patiently(&fixture.cluster, &caller, 0, "refused").await;

    assert_eq!(refused.refusal["error"]["ran"], "not_run", "{refused:?}");
    assert_eq!(again.status, 200, "{again:?}");
    assert_eq!(bookings(&fixture.cluster, "refused"), 1);
    fixture.cluster.shut_down().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_stream_is_resumed_whole_and_in_order() {
    let fixture = start(1, 1).await;
    let caller = SampleCaller::default();
    let entry = fixture.cluster.entry_addresses()[0];
    // Each stream is cut once: the second endpoint has fewer pieces left than it cuts after.
    for seat in &fixture.cluster.engines {
        seat.engine
            .update_behaviour(|behaviour| behaviour.cut_after = Some(12));
    }
    let mut whole = 0;

    for number in 0..8 {
        let prompt = format!("prompt {number}");
        let call = ModelCall {
            model: "ridge@2",
            prompt: &prompt,
            ..ModelCall::default()
        };
        let answer = ask_patiently(&caller, entry, &call).await;

        let messages = format!("[{{\"content\":\"{prompt}\",\"role\":\"user\"}}]");
        let expected = ScriptedAnswer::new("ridge@2", &messages, 0.91, 20).full_text();
        assert_eq!(answer.text, expected, "{answer:?}");
        whole += usize::from(answer.is_whole);
    }

    assert_eq!(whole, 8);
    let engines = fixture.cluster.engines.iter();
    let begun: u64 = engines
        .map(|seat| seat.engine.counts().begun.values().sum::<u64>())
        .sum();
    assert_eq!(begun, 16, "each answer took two attempts");
    fixture.cluster.shut_down().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_version_receives_nothing_and_its_sessions_move_once() {
    let fixture = start(3, 2).await;
    let caller = SampleCaller::default();
    let entries = fixture.cluster.entry_addresses();
    let call = ModelCall {
        model: "swift@3",
        session: Some("rider"),
        ..ModelCall::default()
    };
    let before = ask_patiently(&caller, entries[0], &call).await;
    let version = "swift@3".parse().expect("an id");
    let successor = Some("swift@4".parse().expect("an id"));

    let change = PlanChange::Withdraw { version, successor };
    // Without a leader the change is not accepted, and the operator sends it again.
    eventually(async || fixture.cluster.change(change.clone()).await.ok()).await;
    let begun = |name: &str| -> u64 {
        let version = name.parse().expect("an id");
        let engines = fixture.cluster.engines.iter();
        engines
            .filter_map(|seat| seat.engine.counts().begun.get(&version).copied())
            .sum()
    };
    let begun_before = begun("swift@3");
    let mut versions = BTreeSet::new();
    for number in 0..6 {
        let call = ModelCall {
            session: Some("rider"),
            ..ModelCall::default()
        };
        let answer = ask_patiently(&caller, entries[number % 2], &call).await;
        versions.insert(answer.version);
    }

    assert_eq!(before.version, "swift@3", "{before:?}");
    assert_eq!(versions, BTreeSet::from(["swift@4".to_owned()]));
    assert_eq!(begun("swift@3"), begun_before);
    fixture.cluster.shut_down().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_get_one_winner_and_a_resend_gets_the_first_answer() {
    let fixture = start(3, 1).await;
    let base = fixture
        .cluster
        .status()
        .await
        .map(|status| status.declared_at);
    let change = |operator: &str, weight: f64| {
        let mut plan = plan();
        let id = "demo".parse().expect("an id");
        plan.workspaces.get_mut(&id).expect("declared").weight = weight;
        SubmittedChange {
            operator: operator.to_owned(),
            base,
            content: SubmittedContent::Declaration(Box::new(plan)),
        }
    };

    let (first, second) = tokio::join!(
        fixture.cluster.submit(change("aiko", 2.0)),
        fixture.cluster.submit(change("jorge", 3.0)),
    );
    let outcomes = [("aiko", 2.0, first), ("jorge", 3.0, second)];

    let won = |outcome: &Option<ChangeOutcome>| matches!(outcome, Some(ChangeOutcome::Accepted(_)));
    let winners: Vec<_> = outcomes.iter().filter(|(_, _, o)| won(o)).collect();
    assert_eq!(winners.len(), 1, "{outcomes:?}");
    let (operator, weight, answer) = winners[0];
    let resent = fixture.cluster.submit(change(operator, *weight)).await;
    assert_eq!(&resent, answer);
    let conflict = outcomes.iter().find(|(_, _, o)| !won(o)).expect("one lost");
    assert!(
        matches!(&conflict.2, Some(ChangeOutcome::Conflict { winner, .. }) if winner == operator),
        "{conflict:?}"
    );
    fixture.cluster.shut_down().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_cuts_no_request() {
    let mut fixture = start(1, 2).await;
    for seat in &fixture.cluster.engines {
        seat.engine
            .update_behaviour(|behaviour| behaviour.piece_us = 20_000);
    }
    let caller = SampleCaller::default();
    let leaving = fixture.cluster.entry_addresses()[0];
    let running: Vec<_> = (0..6)
        .map(|number| {
            let caller = caller.clone();
            tokio::spawn(async move {
                let prompt = format!("long {number}");
                let call = ModelCall {
                    prompt: &prompt,
                    ..ModelCall::default()
                };
                caller.ask(leaving, &call).await
            })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(60)).await;

    let entry = fixture.cluster.entries[0].take().expect("runs");
    entry.shut_down().await;

    for request in running {
        let answer = request.await.expect("no panic");
        // A request that came after the door closed may be refused, and says so truthfully.
        let is_refused = answer.refusal["error"]["ran"] == "not_run" || answer.status == 0;
        assert!(answer.is_whole || is_refused, "{answer:?}");
    }
    fixture.cluster.shut_down().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_without_keepers_refuses_truthfully_and_recovers() {
    let mut fixture = start(1, 1).await;
    let caller = SampleCaller::default();
    let entry = fixture.cluster.entry_addresses()[0];
    let keeper = fixture.cluster.keepers[0].take().expect("runs");
    keeper.shut_down().await;

    let refusal = eventually(async || {
        let answer = caller.ask(entry, &ModelCall::default()).await;
        (answer.refusal["error"]["code"] == "not_in_force").then_some(answer)
    })
    .await;
    let settings = fixture.cluster.keeper_settings[0].clone();
    fixture.cluster.keepers[0] = Some(KeeperDaemon::start(settings).await.expect("restarts"));
    let recovered = eventually(async || {
        let answer = caller.ask(entry, &ModelCall::default()).await;
        answer.is_whole.then_some(answer)
    })
    .await;

    assert_eq!(refusal.refusal["error"]["ran"], "not_run");
    assert_eq!(recovered.status, 200);
    fixture.cluster.shut_down().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_get_clear_errors() {
    let fixture = start(1, 1).await;
    let caller = SampleCaller::default();
    let entry = fixture.cluster.entry_addresses()[0];
    let ask = async |call: ModelCall<'_>| {
        let answer = caller.ask(entry, &call).await;
        (
            answer.status,
            answer.refusal["error"]["code"]
                .as_str()
                .unwrap_or("")
                .to_owned(),
        )
    };

    let unknown = ask(ModelCall {
        workspace: "nobody",
        ..ModelCall::default()
    })
    .await;
    let forbidden = ask(ModelCall {
        workspace: "abashiri-ice",
        model: "summit@1",
        ..ModelCall::default()
    })
    .await;
    let service = caller
        .call_plain(entry, "GET", "/nothing/here", None, "")
        .await;

    assert_eq!(unknown, (403, "unknown_workspace".to_owned()));
    assert_eq!(forbidden, (403, "version_not_allowed".to_owned()));
    assert_eq!(service.status, 404);
    fixture.cluster.shut_down().await;
}
