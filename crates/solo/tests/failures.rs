//! Guarantees under failures, tested on a cluster of daemons on loopback.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use chestnutloft_core::plan::{
    ChangeOutcome, PlanChange, PlanDeclaration, SubmittedChange, SubmittedContent,
};
use chestnutloft_keeper::daemon::KeeperDaemon;
use chestnutloft_solo::client::{ClientResponse, ModelCall, SampleClient};
use chestnutloft_solo::cluster::{ClusterSettings, SoloCluster};
use chestnutloft_solo::{example, sample};
use chestnutloft_standin::text::ScriptedAnswer;

struct Fixture {
    cluster: SoloCluster,
    _data: tempfile::TempDir,
}

fn plan() -> PlanDeclaration {
    let mut plan = sample::shorten_rollouts(example::plan().expect("the example plan is valid"));
    plan.rollouts.clear();
    plan
}

async fn start(keepers: u64, entries: usize) -> Fixture {
    let data = tempfile::tempdir().expect("creates a temporary directory");
    let settings = ClusterSettings {
        keepers,
        entries,
        ..ClusterSettings::small(data.path(), plan())
    };
    let cluster = SoloCluster::start(&settings)
        .await
        .expect("the cluster starts");
    Fixture {
        cluster,
        _data: data,
    }
}

/// Number of executions of the booking with idempotency key `key`.
fn booking_executions(cluster: &SoloCluster, key: &str) -> u32 {
    let endpoints = cluster.plain_services.iter();
    endpoints
        .filter_map(|endpoint| endpoint.service.bookings().get(key).copied())
        .sum()
}

async fn book(
    cluster: &SoloCluster,
    client: &SampleClient,
    entry: usize,
    key: &str,
) -> ClientResponse {
    let address = cluster.entry_addresses()[entry];
    client
        .call_plain_service(address, "POST", "/order-svc/refills", Some(key), "{}")
        .await
}

/// Attempts of a client that retries refusals with outcome `not_run`.
const MAX_ATTEMPTS: usize = 100;

/// Sends a booking and retries refusals with outcome `not_run`, which are expected while no keeper is
/// leader. Any other response is final.
async fn book_with_retry(
    cluster: &SoloCluster,
    client: &SampleClient,
    entry: usize,
    key: &str,
) -> ClientResponse {
    for _ in 0..MAX_ATTEMPTS {
        let answer = book(cluster, client, entry, key).await;
        let is_refused = answer.status == 503 && answer.refusal["error"]["ran"] == "not_run";
        if !is_refused {
            return answer;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("booking {key} was refused {MAX_ATTEMPTS} times");
}

/// Sends a model call and retries refusals with outcome `not_run`.
async fn send_with_retry(
    client: &SampleClient,
    entry: SocketAddr,
    call: &ModelCall<'_>,
) -> ClientResponse {
    for _ in 0..MAX_ATTEMPTS {
        let answer = client.send_model_call(entry, call).await;
        let is_refused = answer.status == 503 && answer.refusal["error"]["ran"] == "not_run";
        if !is_refused {
            return answer;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the call was refused {MAX_ATTEMPTS} times");
}

/// Polls `probe` until it returns a value, for about 30 s.
async fn eventually<T>(mut probe: impl AsyncFnMut() -> Option<T>) -> T {
    for _ in 0..1_500 {
        if let Some(value) = probe().await {
            return value;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the condition did not hold within 30 s");
}

/// Index of the leader in the cluster's list of keepers.
async fn leader_index(cluster: &SoloCluster) -> usize {
    eventually(async || cluster.status().await?.leader.map(|id| id as usize - 1)).await
}

#[tokio::test(flavor = "multi_thread")]
async fn bookings_run_once_while_each_leader_is_shut_down_in_turn() {
    let mut fixture = start(3, 2).await;
    let client = SampleClient::default();

    for round in 0..3 {
        let leader = leader_index(&fixture.cluster).await;
        let key = format!("booking-{round}");
        let first = book_with_retry(&fixture.cluster, &client, 0, &key).await;
        let keeper = fixture.cluster.keepers[leader].take().expect("is running");
        keeper.shut_down().await;
        let repeat = book_with_retry(&fixture.cluster, &client, 1, &key).await;
        let settings = fixture.cluster.keeper_settings[leader].clone();
        let restarted = KeeperDaemon::start(settings).await.expect("restarts");
        fixture.cluster.keepers[leader] = Some(restarted);

        assert_eq!(first.status, 200, "{first:?}");
        assert_eq!(repeat.text, first.text, "round {round}: {repeat:?}");
        assert_eq!(booking_executions(&fixture.cluster, &key), 1);
    }
    fixture.cluster.shut_down().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_with_an_interrupted_response_is_not_executed_again() {
    let fixture = start(1, 2).await;
    let client = SampleClient::default();
    for endpoint in &fixture.cluster.plain_services {
        endpoint
            .service
            .update_behaviour(|behaviour| behaviour.breaks_after_run = true);
    }

    let first = book_with_retry(&fixture.cluster, &client, 0, "lost").await;
    let repeat = book_with_retry(&fixture.cluster, &client, 1, "lost").await;

    assert_eq!(first.refusal["error"]["ran"], "unknown", "{first:?}");
    assert_eq!(
        repeat.refusal["error"]["code"], "outcome_unknown",
        "{repeat:?}"
    );
    assert_eq!(booking_executions(&fixture.cluster, "lost"), 1);
    fixture.cluster.shut_down().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_refused_as_not_run_has_not_been_executed() {
    let fixture = start(1, 1).await;
    let client = SampleClient::default();
    for endpoint in &fixture.cluster.plain_services {
        endpoint
            .service
            .update_behaviour(|behaviour| behaviour.is_refusing = true);
    }

    let refused = book(&fixture.cluster, &client, 0, "refused").await;
    for endpoint in &fixture.cluster.plain_services {
        endpoint
            .service
            .update_behaviour(|behaviour| behaviour.is_refusing = false);
    }
    let again = book_with_retry(&fixture.cluster, &client, 0, "refused").await;

    assert_eq!(refused.refusal["error"]["ran"], "not_run", "{refused:?}");
    assert_eq!(again.status, 200, "{again:?}");
    assert_eq!(booking_executions(&fixture.cluster, "refused"), 1);
    fixture.cluster.shut_down().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_interrupted_stream_is_resumed_without_gaps_or_reordering() {
    let fixture = start(1, 1).await;
    let client = SampleClient::default();
    let entry = fixture.cluster.entry_addresses()[0];
    // Each stream is interrupted once: 8 of its 20 pieces are left for the second endpoint, fewer than
    // the 12 after which it would interrupt.
    for endpoint in &fixture.cluster.engines {
        endpoint
            .engine
            .update_behaviour(|behaviour| behaviour.cut_after = Some(12));
    }
    let mut complete = 0;

    for number in 0..8 {
        let prompt = format!("prompt {number}");
        let call = ModelCall {
            model: "ridge@2",
            prompt: &prompt,
            ..ModelCall::default()
        };
        let answer = send_with_retry(&client, entry, &call).await;

        let messages = format!("[{{\"content\":\"{prompt}\",\"role\":\"user\"}}]");
        let expected = ScriptedAnswer::new("ridge@2", &messages, 0.91, 20).full_text();
        assert_eq!(answer.text, expected, "{answer:?}");
        complete += usize::from(answer.is_complete);
    }

    assert_eq!(complete, 8);
    let engines = fixture.cluster.engines.iter();
    let started: u64 = engines
        .map(|endpoint| endpoint.engine.counts().started.values().sum::<u64>())
        .sum();
    assert_eq!(started, 16, "each answer took two attempts");
    fixture.cluster.shut_down().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_version_gets_no_requests_and_its_sessions_move_to_the_successor_once() {
    let fixture = start(3, 2).await;
    let client = SampleClient::default();
    let entries = fixture.cluster.entry_addresses();
    let call = ModelCall {
        model: "swift@3",
        session: Some("rider"),
        ..ModelCall::default()
    };
    let before = send_with_retry(&client, entries[0], &call).await;
    let version = "swift@3".parse().expect("an id");
    let successor = Some("swift@4".parse().expect("an id"));

    let change = PlanChange::Withdraw { version, successor };
    // The change is not accepted while there is no leader, so it is submitted until it is.
    eventually(async || fixture.cluster.apply_change(change.clone()).await.ok()).await;
    let started = |name: &str| -> u64 {
        let version = name.parse().expect("an id");
        let engines = fixture.cluster.engines.iter();
        engines
            .filter_map(|endpoint| endpoint.engine.counts().started.get(&version).copied())
            .sum()
    };
    let started_before = started("swift@3");
    let mut versions = BTreeSet::new();
    for number in 0..6 {
        let call = ModelCall {
            session: Some("rider"),
            ..ModelCall::default()
        };
        let answer = send_with_retry(&client, entries[number % 2], &call).await;
        versions.insert(answer.version);
    }

    assert_eq!(before.version, "swift@3", "{before:?}");
    assert_eq!(versions, BTreeSet::from(["swift@4".to_owned()]));
    assert_eq!(started("swift@3"), started_before);
    fixture.cluster.shut_down().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_concurrent_declarations_is_accepted_and_resubmitting_it_is_idempotent() {
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

    let is_accepted =
        |outcome: &Option<ChangeOutcome>| matches!(outcome, Some(ChangeOutcome::Accepted(_)));
    let accepted: Vec<_> = outcomes.iter().filter(|(_, _, o)| is_accepted(o)).collect();
    assert_eq!(accepted.len(), 1, "{outcomes:?}");
    let (operator, weight, answer) = accepted[0];
    let resubmitted = fixture.cluster.submit(change(operator, *weight)).await;
    assert_eq!(&resubmitted, answer);
    let conflict = outcomes
        .iter()
        .find(|(_, _, o)| !is_accepted(o))
        .expect("one was rejected");
    assert!(
        matches!(&conflict.2, Some(ChangeOutcome::Conflict { winner, .. }) if winner == operator),
        "{conflict:?}"
    );
    fixture.cluster.shut_down().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_interrupts_no_request() {
    let mut fixture = start(1, 2).await;
    for endpoint in &fixture.cluster.engines {
        endpoint
            .engine
            .update_behaviour(|behaviour| behaviour.piece_us = 20_000);
    }
    let client = SampleClient::default();
    let stopping_entry = fixture.cluster.entry_addresses()[0];
    let running: Vec<_> = (0..6)
        .map(|number| {
            let client = client.clone();
            tokio::spawn(async move {
                let prompt = format!("long {number}");
                let call = ModelCall {
                    prompt: &prompt,
                    ..ModelCall::default()
                };
                client.send_model_call(stopping_entry, &call).await
            })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(60)).await;

    let entry = fixture.cluster.entries[0].take().expect("is running");
    entry.shut_down().await;

    for request in running {
        let answer = request.await.expect("no panic");
        // A request that arrives after the shutdown began may be refused as not run, or get no
        // connection.
        let is_refused = answer.refusal["error"]["ran"] == "not_run" || answer.status == 0;
        assert!(answer.is_complete || is_refused, "{answer:?}");
    }
    fixture.cluster.shut_down().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_without_keepers_refuses_as_not_run_and_recovers() {
    let mut fixture = start(1, 1).await;
    let client = SampleClient::default();
    let entry = fixture.cluster.entry_addresses()[0];
    let keeper = fixture.cluster.keepers[0].take().expect("is running");
    keeper.shut_down().await;

    let refusal = eventually(async || {
        let answer = client.send_model_call(entry, &ModelCall::default()).await;
        (answer.refusal["error"]["code"] == "not_in_force").then_some(answer)
    })
    .await;
    let settings = fixture.cluster.keeper_settings[0].clone();
    fixture.cluster.keepers[0] = Some(KeeperDaemon::start(settings).await.expect("restarts"));
    let recovered = eventually(async || {
        let answer = client.send_model_call(entry, &ModelCall::default()).await;
        answer.is_complete.then_some(answer)
    })
    .await;

    assert_eq!(refusal.refusal["error"]["ran"], "not_run");
    assert_eq!(recovered.status, 200);
    fixture.cluster.shut_down().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_get_specific_error_codes() {
    let fixture = start(1, 1).await;
    let client = SampleClient::default();
    let entry = fixture.cluster.entry_addresses()[0];
    let send = async |call: ModelCall<'_>| {
        let answer = client.send_model_call(entry, &call).await;
        (
            answer.status,
            answer.refusal["error"]["code"]
                .as_str()
                .unwrap_or("")
                .to_owned(),
        )
    };

    let unknown = send(ModelCall {
        workspace: "nobody",
        ..ModelCall::default()
    })
    .await;
    let forbidden = send(ModelCall {
        workspace: "abashiri-ice",
        model: "summit@1",
        ..ModelCall::default()
    })
    .await;
    let service = client
        .call_plain_service(entry, "GET", "/nothing/here", None, "")
        .await;

    assert_eq!(unknown, (403, "unknown_workspace".to_owned()));
    assert_eq!(forbidden, (403, "version_not_allowed".to_owned()));
    assert_eq!(service.status, 404);
    fixture.cluster.shut_down().await;
}

/// Sends requests that a cascade may answer until at least one was escalated; returns the responses to
/// those that were.
async fn escalated_responses(fixture: &Fixture) -> Vec<ClientResponse> {
    let client = SampleClient::default();
    let entry = fixture.cluster.entries[0].as_ref().expect("runs");
    let address = fixture.cluster.entry_addresses()[0];
    let mut sent = 0;
    eventually(async || {
        let mut responses = Vec::new();
        for _ in 0..20 {
            sent += 1;
            let prompt = format!("careplan request {sent}");
            let call = ModelCall {
                kind: "careplan",
                prompt: &prompt,
                ..ModelCall::default()
            };
            let response = client.send_model_call(address, &call).await;
            let record = entry.context().decisions.get(&response.request_id);
            let record = record.expect("the entry records its decision");
            if record.arm.starts_with("Cascade") && record.attempts.len() > 1 {
                responses.push(response);
            }
        }
        (!responses.is_empty()).then_some(responses)
    })
    .await
}

/// Guards against a refusal that says that the request has not run, after the cheap version of a
/// cascade has answered it and the strong one rejected it.
#[tokio::test(flavor = "multi_thread")]
async fn the_cheap_answer_of_a_cascade_is_returned_if_the_strong_version_rejects_the_request() {
    let fixture = start(1, 1).await;
    escalated_responses(&fixture).await;

    for endpoint in &fixture.cluster.engines {
        endpoint.engine.update_behaviour(|behaviour| {
            let versions = behaviour.quality.keys().cloned();
            let strong = versions.filter(|version| !version.as_str().starts_with("swift"));
            behaviour.refused_versions = strong.collect();
        });
    }
    let responses = escalated_responses(&fixture).await;

    for response in responses {
        assert!(response.is_complete, "{response:?}");
        assert!(response.version.starts_with("swift"), "{response:?}");
    }
}
