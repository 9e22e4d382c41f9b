//! A sample day: what a newcomer should see, and a check that what must always hold held.

use std::collections::BTreeSet;
use std::time::Duration;

use chestnutloft_core::ids::{DomainId, RolloutId};
use chestnutloft_core::plan::{PlanChange, PlanDeclaration, RolloutPhase};
use serde_json::Value;

use crate::caller::{CallerAnswer, ModelCall, SampleCaller};
use crate::cluster::SoloCluster;

/// Requests of each part of the day.
const REQUESTS: usize = 60;
/// Requests at once.
const AT_ONCE: usize = 6;
/// Longest wait for a roll-out step.
const STEP_WAIT: Duration = Duration::from_secs(20);

/// One row of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SampleRow {
    /// What was done.
    pub part: &'static str,
    /// What was seen.
    pub seen: String,
    /// Whether it is as it must be.
    pub has_held: bool,
}

/// The plan of the sample day: roll-out steps that do not take the whole morning.
#[must_use]
pub fn hasten(plan: PlanDeclaration) -> PlanDeclaration {
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

/// Runs the sample day.
pub async fn run(cluster: &SoloCluster) -> Vec<SampleRow> {
    let caller = SampleCaller::default();
    let mut answered = 0;
    let mut rows = vec![
        streamed_answers(cluster, &caller, &mut answered).await,
        cascade(cluster, &caller, &mut answered).await,
        session(cluster, &caller, &mut answered).await,
        booking(cluster, &caller, &mut answered).await,
        rollout_step(cluster, &caller, &mut answered).await,
    ];
    rows.extend(failure_domain(cluster, &caller, &mut answered).await);
    rows.push(bills(cluster, answered).await);
    rows
}

fn row(part: &'static str, has_held: bool, seen: impl Into<String>) -> SampleRow {
    SampleRow {
        part,
        seen: seen.into(),
        has_held,
    }
}

async fn ask_many(
    cluster: &SoloCluster,
    caller: &SampleCaller,
    kind: &'static str,
    count: usize,
) -> Vec<CallerAnswer> {
    let entries = cluster.entry_addresses();
    let mut answers = Vec::new();
    for start in (0..count).step_by(AT_ONCE) {
        let batch: Vec<_> = (start..count.min(start + AT_ONCE))
            .map(|number| {
                let caller = caller.clone();
                let entry = entries[number % entries.len()];
                tokio::spawn(async move {
                    let prompt = format!("{kind} request {number}");
                    let call = ModelCall {
                        kind,
                        prompt: &prompt,
                        ..ModelCall::default()
                    };
                    caller.ask(entry, &call).await
                })
            })
            .collect();
        for running in batch {
            answers.push(running.await.unwrap_or_default());
        }
    }
    answers
}

fn count_whole(answers: &[CallerAnswer]) -> usize {
    answers.iter().filter(|answer| answer.is_whole).count()
}

async fn streamed_answers(
    cluster: &SoloCluster,
    caller: &SampleCaller,
    answered: &mut u64,
) -> SampleRow {
    let answers = ask_many(cluster, caller, "quick", REQUESTS).await;
    let whole = count_whole(&answers);
    *answered += whole as u64;
    let seen = format!("{whole} of {REQUESTS} answers came whole and in order");
    row("streamed answers", whole == REQUESTS, seen)
}

async fn cascade(cluster: &SoloCluster, caller: &SampleCaller, answered: &mut u64) -> SampleRow {
    let mut cascades = 0;
    let mut asked = 0;
    let mut whole = 0;
    // Ratings must show first that the cascade reaches the target.
    while cascades < 5 && asked < 10 * REQUESTS {
        let answers = ask_many(cluster, caller, "careplan", REQUESTS).await;
        asked += REQUESTS;
        whole += count_whole(&answers);
        let explain = |answer: &CallerAnswer| {
            let mut entries = cluster.entries.iter().flatten();
            entries.find_map(|e| e.context().decisions.get(&answer.request))
        };
        cascades += answers
            .iter()
            .filter_map(explain)
            .filter(|record| record.arm.starts_with("Cascade"))
            .count();
    }
    *answered += whole as u64;
    let seen = format!("{cascades} of {asked} requests took a cascade, {whole} answers whole");
    row("cascade", cascades >= 5 && whole == asked, seen)
}

async fn session(cluster: &SoloCluster, caller: &SampleCaller, answered: &mut u64) -> SampleRow {
    let entries = cluster.entry_addresses();
    let mut versions = BTreeSet::new();
    let mut whole = 0;
    for number in 0..8 {
        let prompt = format!("turn {number}");
        let call = ModelCall {
            kind: "quick",
            session: Some("rider-17"),
            prompt: &prompt,
            ..ModelCall::default()
        };
        let answer = caller.ask(entries[number % entries.len()], &call).await;
        whole += usize::from(answer.is_whole);
        versions.insert(answer.version);
    }
    *answered += whole as u64;
    let seen = format!("8 turns on {versions:?}");
    row(
        "session keeps its version",
        versions.len() == 1 && whole == 8,
        seen,
    )
}

async fn booking(cluster: &SoloCluster, caller: &SampleCaller, answered: &mut u64) -> SampleRow {
    let entries = cluster.entry_addresses();
    let path = "/order-svc/refills";
    let key = Some("booking-2026-12-04-7");
    let body = r#"{"wax":"cold","tins":2}"#;
    let first = caller.call_plain(entries[0], "POST", path, key, body).await;
    let last = entries[entries.len() - 1];
    let second = caller.call_plain(last, "POST", path, key, body).await;
    let run: u32 = cluster
        .plains
        .iter()
        .filter_map(|seat| seat.plain.bookings().get("booking-2026-12-04-7").copied())
        .sum();
    *answered += 1;
    let is_same = first.text == second.text && first.status == 200 && second.status == 200;
    let seen = format!("sent twice, run {run} time, same answer: {is_same}");
    row("booking sent twice", run == 1 && is_same, seen)
}

async fn rollout_step(
    cluster: &SoloCluster,
    caller: &SampleCaller,
    answered: &mut u64,
) -> SampleRow {
    let Ok(id) = "swift-4".parse::<RolloutId>() else {
        return row("roll-out step", false, "no roll-out");
    };
    let began = tokio::time::Instant::now();
    let mut asked = 0;
    let mut whole = 0;
    while began.elapsed() < STEP_WAIT {
        let status = cluster.status().await;
        let progress = status.and_then(|s| s.rollouts.get(&id).cloned());
        if let Some(progress) = progress
            && (progress.step > 0 || progress.phase != RolloutPhase::Advancing)
        {
            let seen = format!(
                "{:?} at step {}: {}",
                progress.phase,
                progress.step + 1,
                progress.reason
            );
            *answered += whole as u64;
            return row("roll-out step", whole == asked, seen);
        }
        let answers = ask_many(cluster, caller, "quick", REQUESTS).await;
        asked += answers.len();
        whole += count_whole(&answers);
    }
    *answered += whole as u64;
    row(
        "roll-out step",
        false,
        format!("no step after {asked} requests"),
    )
}

fn begun_in(cluster: &SoloCluster, domain: &DomainId) -> u64 {
    cluster
        .engines
        .iter()
        .filter(|seat| seat.domain == *domain)
        .map(|seat| seat.engine.counts().begun.values().sum::<u64>())
        .sum()
}

async fn failure_domain(
    cluster: &SoloCluster,
    caller: &SampleCaller,
    answered: &mut u64,
) -> Vec<SampleRow> {
    let Ok(domain) = "obihiro".parse::<DomainId>() else {
        return Vec::new();
    };
    let out = cluster
        .change(PlanChange::DrainDomain(domain.clone()))
        .await;
    let before = begun_in(cluster, &domain);
    let answers = ask_many(cluster, caller, "quick", REQUESTS).await;
    let during = begun_in(cluster, &domain) - before;
    let whole = count_whole(&answers);
    let out_row = row(
        "failure domain out",
        out.is_ok() && during == 0 && whole == REQUESTS,
        format!("{during} requests went there, {whole} of {REQUESTS} answered elsewhere"),
    );
    let back = cluster
        .change(PlanChange::ReturnDomain(domain.clone()))
        .await;
    let mut asked = 0;
    let mut whole_again = 0;
    let mut after = 0;
    // The domain's endpoints take their share only once others have some load.
    while after < 5 && asked < 20 * REQUESTS {
        let again = ask_many(cluster, caller, "quick", REQUESTS).await;
        asked += REQUESTS;
        whole_again += count_whole(&again);
        after = begun_in(cluster, &domain) - before;
    }
    *answered += (whole + whole_again) as u64;
    let back_row = row(
        "failure domain back",
        back.is_ok() && after >= 5 && whole_again == asked,
        format!("{after} requests went there, {whole_again} of {asked} answered"),
    );
    vec![out_row, back_row]
}

async fn bills(cluster: &SoloCluster, answered: u64) -> SampleRow {
    let rows = cluster.spend().await.unwrap_or_default();
    let billed: u64 = rows.iter().map(|row| row.cell.requests).sum();
    let cost: u64 = rows.iter().map(|row| row.cell.cost).sum();
    let seen = format!(
        "{answered} answered, {billed} billed, {:.2} in all",
        cost as f64 / 1e6
    );
    row("each request billed once", billed == answered, seen)
}

/// The rows as JSON.
pub fn to_json(rows: &[SampleRow]) -> Value {
    rows.iter()
        .map(|row| {
            serde_json::json!({ "part": row.part, "seen": row.seen, "has_held": row.has_held })
        })
        .collect()
}
