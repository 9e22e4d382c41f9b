//! `chestnutloft`: the operators' command line.

use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use chestnutloft_core::plan::{
    ChangeOutcome, PlanChange, RolloutPhase, RolloutProgress, SubmittedChange, SubmittedContent,
};
use chestnutloft_entry::explain::DecisionRecord;
use chestnutloft_keeper::operator::MemberRequest;
use chestnutloft_operator::client::OperatorClient;
use chestnutloft_operator::config_check::check_sheets;
use chestnutloft_operator::print::{outcome_text, status_text};
use chestnutloft_wire::{auth, clock, http};

use flags::ChestnutloftCmd as Command;
use plan_commands::{apply_plan, check_plan, diff_plan};

mod flags;
mod plan_commands;

/// Exit code for findings, conflicts and invalid changes.
const EXIT_FINDINGS: u8 = 2;
/// Maximum wait for a change to be in force at all entries.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between status requests while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(150);

struct CommandContext {
    client: OperatorClient,
    key: Option<String>,
    operator: String,
    is_json: bool,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let flags = flags::Chestnutloft::from_env_or_exit();
    // Status 1 of a check stands for warnings.
    let failure = match flags.subcommand {
        Command::Config(_) => ExitCode::from(EXIT_FINDINGS),
        _ => ExitCode::FAILURE,
    };
    match run(flags).await {
        Ok(code) => code,
        Err(problem) => {
            eprintln!("chestnutloft: {problem}");
            failure
        }
    }
}

async fn run(flags: flags::Chestnutloft) -> Result<ExitCode, String> {
    let key = read_key(flags.key_file.as_deref())?;
    let keepers = if flags.keeper.is_empty() {
        vec!["127.0.0.1:7601".to_owned()]
    } else {
        flags.keeper
    };
    let is_json = match flags.output.as_deref() {
        None | Some("text") => false,
        Some("json") => true,
        Some(other) => return Err(format!("--output {other:?} is unknown; write text or json")),
    };
    let context = CommandContext {
        client: OperatorClient::new(keepers, key.clone()),
        key,
        operator: flags.operator.unwrap_or_else(|| "operator".to_owned()),
        is_json,
    };
    match flags.subcommand {
        Command::Plan(plan) => match plan.subcommand {
            flags::PlanCmd::Check(check) => Ok(check_plan(&context, &check.sheet)),
            flags::PlanCmd::Diff(diff) => diff_plan(&context, &diff.sheet).await,
            flags::PlanCmd::Apply(apply) => apply_plan(&context, &apply.sheet, apply.base).await,
        },
        Command::Config(config) => check_config(&context, &config),
        Command::Status(_) => show_status(&context).await,
        Command::Spend(_) => show_spend(&context).await,
        Command::Drain(drain) => {
            warn_if_last_domain(&context, &drain.domain).await;
            let domain = parse(&drain.domain)?;
            submit(&context, PlanChange::DrainDomain(domain)).await
        }
        Command::Return(return_flags) => {
            let domain = parse(&return_flags.domain)?;
            submit(&context, PlanChange::ReturnDomain(domain)).await
        }
        Command::Withdraw(withdraw) => {
            let successor = withdraw.successor.as_deref().map(parse).transpose()?;
            let version = parse(&withdraw.version)?;
            submit(&context, PlanChange::Withdraw { version, successor }).await
        }
        Command::Clear(clear) => {
            let version = parse(&clear.version)?;
            submit(&context, PlanChange::Clear(version)).await
        }
        Command::Rollout(rollout) => {
            change_rollout(&context, &rollout.rollout, &rollout.action).await
        }
        Command::Members(members) => change_members(&context, members).await,
        Command::Explain(explain) => show_decision(&context, &explain).await,
        Command::HashKey(_) => hash_key(),
    }
}

fn parse<T: std::str::FromStr>(text: &str) -> Result<T, String>
where
    T::Err: std::fmt::Display,
{
    text.parse().map_err(|error| format!("{text:?}: {error}"))
}

fn read_key(path: Option<&Path>) -> Result<Option<String>, String> {
    let Some(path) = path else { return Ok(None) };
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(Some(text.trim().to_owned()))
}

fn hash_key() -> Result<ExitCode, String> {
    let mut key = String::new();
    std::io::stdin()
        .read_line(&mut key)
        .map_err(|error| error.to_string())?;
    println!("{}", auth::key_hash(key.trim()));
    Ok(ExitCode::SUCCESS)
}

fn print_json<T: serde::Serialize>(content: &T) {
    println!(
        "{}",
        serde_json::to_string_pretty(content).unwrap_or_default()
    );
}

fn check_config(context: &CommandContext, config: &flags::Config) -> Result<ExitCode, String> {
    if config.action != "check" {
        return Err(format!(
            "config {:?} is unknown; write check",
            config.action
        ));
    }
    let report = check_sheets(&config.file, config.against.as_deref());
    if context.is_json {
        print_json(&report);
    } else {
        print!("{report}");
    }
    Ok(ExitCode::from(report.exit_status()))
}

async fn submit(context: &CommandContext, change: PlanChange) -> Result<ExitCode, String> {
    // The base revision lets the keepers recognise a retry after a lost response.
    let plan = context.client.plan().await.map_err(|e| e.to_string())?;
    submit_content(
        context,
        Some(plan.revision),
        SubmittedContent::Change(change),
    )
    .await
}

async fn submit_content(
    context: &CommandContext,
    base: Option<u64>,
    submitted: SubmittedContent,
) -> Result<ExitCode, String> {
    let change = SubmittedChange {
        operator: context.operator.clone(),
        base,
        content: submitted,
    };
    let outcome = context
        .client
        .submit(&change)
        .await
        .map_err(|e| e.to_string())?;
    if context.is_json {
        print_json(&outcome);
    } else {
        println!("{}", outcome_text(&outcome));
    }
    match outcome {
        ChangeOutcome::Accepted(revision) => wait_in_force(context, revision).await,
        ChangeOutcome::Conflict { .. } | ChangeOutcome::Invalid(_) => {
            Ok(ExitCode::from(EXIT_FINDINGS))
        }
    }
}

async fn wait_in_force(context: &CommandContext, revision: u64) -> Result<ExitCode, String> {
    let started_at = Instant::now();
    let mut last_progress = None;
    while started_at.elapsed() < IN_FORCE_TIMEOUT {
        let status = context.client.status().await.map_err(|e| e.to_string())?;
        if status.in_force.is_some_and(|in_force| in_force >= revision) {
            if !context.is_json {
                println!(
                    "In force everywhere after {} ms.",
                    started_at.elapsed().as_millis()
                );
            }
            return Ok(ExitCode::SUCCESS);
        }
        let live = status.entries.iter().filter(|entry| entry.is_live);
        let applied = live
            .clone()
            .filter(|entry| entry.revision >= revision)
            .count();
        let progress = (applied, live.count());
        if last_progress != Some(progress) && !context.is_json {
            println!("Applied by {} of {} entries.", progress.0, progress.1);
            last_progress = Some(progress);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let seconds = IN_FORCE_TIMEOUT.as_secs();
    Err(format!(
        "revision {revision} was accepted but is not in force after {seconds} s"
    ))
}

async fn show_status(context: &CommandContext) -> Result<ExitCode, String> {
    let status = context.client.status().await.map_err(|e| e.to_string())?;
    if context.is_json {
        print_json(&status);
    } else {
        print!("{}", status_text(&status));
    }
    Ok(ExitCode::SUCCESS)
}

async fn show_spend(context: &CommandContext) -> Result<ExitCode, String> {
    let rows = context.client.spend().await.map_err(|e| e.to_string())?;
    print_json(&rows);
    Ok(ExitCode::SUCCESS)
}

/// Warns on standard error if no other failure domain is in service.
async fn warn_if_last_domain(context: &CommandContext, domain: &str) {
    let Ok(plan) = context.client.plan().await else {
        return;
    };
    let remaining = plan
        .declaration
        .domains
        .keys()
        .filter(|other| other.as_str() != domain && !plan.drained.contains(*other))
        .count();
    if remaining == 0 {
        eprintln!("Warning: no failure domain other than {domain} is in service.");
    }
}

async fn change_rollout(
    context: &CommandContext,
    id: &str,
    action: &str,
) -> Result<ExitCode, String> {
    let rollout: chestnutloft_core::ids::RolloutId = parse(id)?;
    let plan = context.client.plan().await.map_err(|e| e.to_string())?;
    let current = plan
        .rollouts
        .get(&rollout)
        .ok_or_else(|| format!("roll-out {id} is not declared"))?;
    let phase = match action {
        "stop" => RolloutPhase::Stopped,
        "go-on" => RolloutPhase::Advancing,
        "back" => RolloutPhase::RolledBack,
        other => return Err(format!("{other:?} is unknown; write stop, go-on or back")),
    };
    let progress = RolloutProgress {
        step: current.step,
        phase,
        since: clock::wall_now(),
        reason: format!("{action} by {}", context.operator),
    };
    submit(context, PlanChange::Rollout { rollout, progress }).await
}

async fn change_members(
    context: &CommandContext,
    members: flags::Members,
) -> Result<ExitCode, String> {
    let replica = members.replica;
    let request = match (members.action.as_str(), members.address) {
        ("add", Some(address)) => MemberRequest::Add { replica, address },
        ("add", None) => return Err("add needs the RPC address of the keeper".to_owned()),
        ("remove", _) => MemberRequest::Remove { replica },
        (other, _) => return Err(format!("{other:?} is unknown; write add or remove")),
    };
    let answer = context
        .client
        .members(&request)
        .await
        .map_err(|e| e.to_string())?;
    println!("{answer}");
    Ok(ExitCode::SUCCESS)
}

async fn show_decision(
    context: &CommandContext,
    explain: &flags::Explain,
) -> Result<ExitCode, String> {
    let client = http::client();
    let mut last_error = "give at least one --entry".to_owned();
    for entry in &explain.entry {
        let uri = format!("http://{entry}/operator/v1/explain/{}", explain.request);
        let key = context.key.as_deref();
        let timeout = Duration::from_secs(3);
        let reply: Result<DecisionRecord, _> =
            http::call_json(&client, "GET", &uri, key, None::<&()>, timeout).await;
        match reply {
            Ok(record) => {
                print_json(&record);
                return Ok(ExitCode::SUCCESS);
            }
            Err(error) => last_error = error.to_string(),
        }
    }
    Err(last_error)
}
