//! The scripted demonstration: it shows the main features on a running cluster and checks the
//! guarantees behind them.

use std::collections::BTreeSet;
use std::time::Duration;

use chestnutloft_core::ids::{DomainId, RolloutId};
use chestnutloft_core::plan::{PlanChange, PlanDeclaration, RolloutPhase};
use serde_json::Value;

use crate::client::{ClientResponse, ModelCall, SampleClient};
use crate::cluster::SoloCluster;

/// Requests per batch.
const REQUESTS: usize = 60;
/// Concurrent requests.
const CONCURRENCY: usize = 6;
/// Timeout for the roll-out to take a step.
const ROLLOUT_STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// Result of one part of the demonstration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SampleRow {
    /// The feature that was exercised.
    pub part: &'static str,
    /// What was observed.
    pub observed: String,
    /// Whether the guarantee held.
    pub is_as_expected: bool,
}

/// Reduces the hold times and required ratings of roll-out steps and raises their shares to at least
/// 30%, so that a roll-out advances within seconds.
#[must_use]
pub fn shorten_rollouts(plan: PlanDeclaration) -> PlanDeclaration {
    let mut plan = plan;
    for rule in plan.rollouts.values_mut() {
        for step in &mut rule.steps {
            step.hold = Duration::from_millis(100);
            step.min_ratings = step.min_ratings.min(3);
            step.share = step.share.max(0.3);
        }
        rule.steps.dedup_by(|b, a| b.share <= a.share);
    }
    plan
}

/// Runs all parts of the demonstration in order.
pub async fn run(cluster: &SoloCluster) -> Vec<SampleRow> {
    let client = SampleClient::default();
    let mut answered = 0;
    let mut rows = vec![
        streamed_answers(cluster, &client, &mut answered).await,
        cascades(cluster, &client, &mut answered).await,
        session_affinity(cluster, &client, &mut answered).await,
        repeated_booking(cluster, &client, &mut answered).await,
        rollout_step(cluster, &client, &mut answered).await,
    ];
    rows.extend(drain_and_return_domain(cluster, &client, &mut answered).await);
    rows.push(billing(cluster, answered).await);
    rows
}

fn row(part: &'static str, is_as_expected: bool, observed: impl Into<String>) -> SampleRow {
    SampleRow {
        part,
        observed: observed.into(),
        is_as_expected,
    }
}

/// Sends `count` requests of `kind`, spread over the entries.
async fn send_batch(
    cluster: &SoloCluster,
    client: &SampleClient,
    kind: &'static str,
    count: usize,
) -> Vec<ClientResponse> {
    let entries = cluster.entry_addresses();
    let mut answers = Vec::new();
    for start in (0..count).step_by(CONCURRENCY) {
        let tasks: Vec<_> = (start..count.min(start + CONCURRENCY))
            .map(|number| {
                let client = client.clone();
                let entry = entries[number % entries.len()];
                tokio::spawn(async move {
                    let prompt = format!("{kind} request {number}");
                    let call = ModelCall {
                        kind,
                        prompt: &prompt,
                        ..ModelCall::default()
                    };
                    client.send_model_call(entry, &call).await
                })
            })
            .collect();
        for task in tasks {
            answers.push(task.await.unwrap_or_default());
        }
    }
    answers
}

fn count_complete(answers: &[ClientResponse]) -> usize {
    answers.iter().filter(|answer| answer.is_complete).count()
}

async fn streamed_answers(
    cluster: &SoloCluster,
    client: &SampleClient,
    answered: &mut u64,
) -> SampleRow {
    let answers = send_batch(cluster, client, "quick", REQUESTS).await;
    let complete = count_complete(&answers);
    *answered += complete as u64;
    let observed = format!("{complete} of {REQUESTS} answers came whole and in order");
    row("streamed answers", complete == REQUESTS, observed)
}

async fn cascades(cluster: &SoloCluster, client: &SampleClient, answered: &mut u64) -> SampleRow {
    let mut cascade_count = 0;
    let mut sent = 0;
    let mut complete = 0;
    // The router takes the cascade only after ratings have shown that it reaches the quality target.
    while cascade_count < 5 && sent < 10 * REQUESTS {
        let answers = send_batch(cluster, client, "careplan", REQUESTS).await;
        sent += REQUESTS;
        complete += count_complete(&answers);
        let explanation = |answer: &ClientResponse| {
            let mut entries = cluster.entries.iter().flatten();
            entries.find_map(|e| e.context().decisions.get(&answer.request_id))
        };
        cascade_count += answers
            .iter()
            .filter_map(explanation)
            .filter(|record| record.arm.starts_with("Cascade"))
            .count();
    }
    *answered += complete as u64;
    let observed =
        format!("{cascade_count} of {sent} requests took a cascade, {complete} answers whole");
    row("cascade", cascade_count >= 5 && complete == sent, observed)
}

async fn session_affinity(
    cluster: &SoloCluster,
    client: &SampleClient,
    answered: &mut u64,
) -> SampleRow {
    let entries = cluster.entry_addresses();
    let mut versions = BTreeSet::new();
    let mut complete = 0;
    for number in 0..8 {
        let prompt = format!("turn {number}");
        let call = ModelCall {
            kind: "quick",
            session: Some("rider-17"),
            prompt: &prompt,
            ..ModelCall::default()
        };
        let answer = client
            .send_model_call(entries[number % entries.len()], &call)
            .await;
        complete += usize::from(answer.is_complete);
        versions.insert(answer.version);
    }
    *answered += complete as u64;
    let observed = format!("8 turns on {versions:?}");
    row(
        "session keeps its version",
        versions.len() == 1 && complete == 8,
        observed,
    )
}

async fn repeated_booking(
    cluster: &SoloCluster,
    client: &SampleClient,
    answered: &mut u64,
) -> SampleRow {
    let entries = cluster.entry_addresses();
    let path = "/order-svc/refills";
    let key = Some("booking-2026-12-04-7");
    let body = r#"{"wax":"cold","tins":2}"#;
    let first = client
        .call_plain_service(entries[0], "POST", path, key, body)
        .await;
    let last = entries[entries.len() - 1];
    let second = client
        .call_plain_service(last, "POST", path, key, body)
        .await;
    let executions: u32 = cluster
        .plain_services
        .iter()
        .filter_map(|endpoint| {
            endpoint
                .service
                .bookings()
                .get("booking-2026-12-04-7")
                .copied()
        })
        .sum();
    *answered += 1;
    let is_same = first.text == second.text && first.status == 200 && second.status == 200;
    let observed = format!("sent twice, run {executions} time, same answer: {is_same}");
    row("booking sent twice", executions == 1 && is_same, observed)
}

async fn rollout_step(
    cluster: &SoloCluster,
    client: &SampleClient,
    answered: &mut u64,
) -> SampleRow {
    let Ok(id) = "swift-4".parse::<RolloutId>() else {
        return row("roll-out step", false, "no roll-out");
    };
    let started = tokio::time::Instant::now();
    let mut sent = 0;
    let mut complete = 0;
    while started.elapsed() < ROLLOUT_STEP_TIMEOUT {
        let status = cluster.status().await;
        let progress = status.and_then(|s| s.rollouts.get(&id).cloned());
        if let Some(progress) = progress
            && (progress.step > 0 || progress.phase != RolloutPhase::Advancing)
        {
            let observed = format!(
                "{:?} at step {}: {}",
                progress.phase,
                progress.step + 1,
                progress.reason
            );
            *answered += complete as u64;
            return row("roll-out step", complete == sent, observed);
        }
        let answers = send_batch(cluster, client, "quick", REQUESTS).await;
        sent += answers.len();
        complete += count_complete(&answers);
    }
    *answered += complete as u64;
    row(
        "roll-out step",
        false,
        format!("no step after {sent} requests"),
    )
}

/// Requests that engines in `domain` have started.
fn started_in_domain(cluster: &SoloCluster, domain: &DomainId) -> u64 {
    cluster
        .engines
        .iter()
        .filter(|endpoint| endpoint.domain == *domain)
        .map(|endpoint| endpoint.engine.counts().started.values().sum::<u64>())
        .sum()
}

async fn drain_and_return_domain(
    cluster: &SoloCluster,
    client: &SampleClient,
    answered: &mut u64,
) -> Vec<SampleRow> {
    let Ok(domain) = "obihiro".parse::<DomainId>() else {
        return Vec::new();
    };
    let drained = cluster
        .apply_change(PlanChange::DrainDomain(domain.clone()))
        .await;
    let before = started_in_domain(cluster, &domain);
    let answers = send_batch(cluster, client, "quick", REQUESTS).await;
    let during = started_in_domain(cluster, &domain) - before;
    let complete = count_complete(&answers);
    let drained_row = row(
        "failure domain out",
        drained.is_ok() && during == 0 && complete == REQUESTS,
        format!("{during} requests went there, {complete} of {REQUESTS} answered elsewhere"),
    );
    let returned = cluster
        .apply_change(PlanChange::ReturnDomain(domain.clone()))
        .await;
    let mut sent = 0;
    let mut complete_after_return = 0;
    let mut after = 0;
    // Endpoints of the returned domain get requests only once the others carry some load.
    while after < 5 && sent < 20 * REQUESTS {
        let again = send_batch(cluster, client, "quick", REQUESTS).await;
        sent += REQUESTS;
        complete_after_return += count_complete(&again);
        after = started_in_domain(cluster, &domain) - before;
    }
    *answered += (complete + complete_after_return) as u64;
    let returned_row = row(
        "failure domain back",
        returned.is_ok() && after >= 5 && complete_after_return == sent,
        format!("{after} requests went there, {complete_after_return} of {sent} answered"),
    );
    vec![drained_row, returned_row]
}

async fn billing(cluster: &SoloCluster, answered: u64) -> SampleRow {
    let rows = cluster.spend().await.unwrap_or_default();
    let billed: u64 = rows.iter().map(|row| row.cell.requests).sum();
    let cost: u64 = rows.iter().map(|row| row.cell.cost).sum();
    let observed = format!(
        "{answered} answered, {billed} billed, {:.2} in all",
        cost as f64 / 1e6
    );
    row("each request billed once", billed == answered, observed)
}

/// Converts the rows to a JSON array.
pub fn to_json(rows: &[SampleRow]) -> Value {
    rows.iter()
        .map(|row| {
            serde_json::json!({ "part": row.part, "seen": row.observed, "has_held": row.is_as_expected })
        })
        .collect()
}
