//! Text output of status and change outcomes.

use std::fmt::Write;

use comfy_table::{Table, presets};

use chestnutloft_core::plan::ChangeOutcome;
use chestnutloft_keeper::status::ClusterStatus;

fn new_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::UTF8_HORIZONTAL_ONLY);
    table.set_header(header);
    table
}

fn joined_or_none<T: ToString>(items: impl IntoIterator<Item = T>) -> String {
    let names: Vec<String> = items.into_iter().map(|item| item.to_string()).collect();
    if names.is_empty() {
        "none".to_owned()
    } else {
        names.join(", ")
    }
}

/// Formats the cluster status.
pub fn status_text(status: &ClusterStatus) -> String {
    let in_force = status
        .in_force
        .map_or("not known yet".to_owned(), |revision| revision.to_string());
    let outdated = status
        .entries
        .iter()
        .filter(|e| e.is_live && e.revision < status.accepted);
    let mut text = String::new();
    let mut add_line = |name: &str, value: String| {
        let _ = writeln!(text, "{name:<22}{value}");
    };
    add_line("Revision accepted", status.accepted.to_string());
    add_line("Revision in force", in_force);
    add_line(
        "Not yet applied by",
        joined_or_none(outdated.map(|e| e.entry.clone())),
    );
    add_line(
        "Leader",
        status.leader.map_or("none".to_owned(), |id| {
            format!("replica {id}, term {}", status.term)
        }),
    );
    add_line("Domains out", joined_or_none(&status.drained));
    add_line("Versions withdrawn", joined_or_none(&status.withdrawn));
    add_line(
        "In quarantine",
        joined_or_none(
            status
                .quarantined
                .iter()
                .map(|(version, reason)| format!("{version} ({reason})")),
        ),
    );
    add_line(
        "Ledger",
        format!(
            "{} claims, {} sessions, {} recent bills",
            status.ledger.claims, status.ledger.bindings, status.ledger.bills
        ),
    );
    text.push_str(&member_table(status));
    text.push_str(&entry_table(status));
    text.push_str(&rollout_table(status));
    text
}

fn member_table(status: &ClusterStatus) -> String {
    let mut table = new_table(&["Keeper", "Address", "Votes", "Saved up to", "Last answer"]);
    for member in &status.members {
        table.add_row([
            member.replica.to_string(),
            member.address.clone(),
            if member.is_voter { "yes" } else { "not yet" }.to_owned(),
            member.matched.to_string(),
            member
                .silent_ms
                .map_or("never".to_owned(), |ms| format!("{ms} ms ago")),
        ]);
    }
    format!("\n{table}\n")
}

fn entry_table(status: &ClusterStatus) -> String {
    let mut table = new_table(&["Entry", "Revision", "Lease", "Last heartbeat"]);
    for entry in &status.entries {
        table.add_row([
            entry.entry.to_string(),
            entry.revision.to_string(),
            if entry.is_live { "runs" } else { "over" }.to_owned(),
            format!("{} ms ago", entry.silent_ms),
        ]);
    }
    format!("\n{table}\n")
}

fn rollout_table(status: &ClusterStatus) -> String {
    if status.rollouts.is_empty() {
        return String::new();
    }
    let mut table = new_table(&["Roll-out", "Step", "Phase", "Why"]);
    for (id, progress) in &status.rollouts {
        table.add_row([
            id.to_string(),
            (progress.step + 1).to_string(),
            format!("{:?}", progress.phase),
            progress.reason.clone(),
        ]);
    }
    format!("\n{table}\n")
}

/// Formats the outcome of a change.
pub fn outcome_text(outcome: &ChangeOutcome) -> String {
    match outcome {
        ChangeOutcome::Accepted(revision) => format!("Accepted as revision {revision}."),
        ChangeOutcome::Invalid(problem) => format!("Refused: {problem}."),
        ChangeOutcome::Conflict {
            current,
            winner,
            changes,
            loser,
        } => {
            let changes = changes.join("\n  ");
            format!(
                "Conflict: {winner} was first with revision {current}; the change of {loser} is \
                 not applied. {winner} changed:\n  {changes}\nCompare with `plan diff` and apply \
                 again."
            )
        }
    }
}
