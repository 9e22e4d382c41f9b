//! Status and outcomes as people read them.

use std::fmt::Write;

use comfy_table::{Table, presets};

use chestnutloft_core::plan::ChangeOutcome;
use chestnutloft_keeper::status::ClusterStatus;

fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::UTF8_HORIZONTAL_ONLY);
    table.set_header(header);
    table
}

fn list<T: ToString>(items: impl IntoIterator<Item = T>) -> String {
    let names: Vec<String> = items.into_iter().map(|item| item.to_string()).collect();
    if names.is_empty() {
        "none".to_owned()
    } else {
        names.join(", ")
    }
}

/// The status of the whole.
pub fn status_text(status: &ClusterStatus) -> String {
    let in_force = status
        .in_force
        .map_or("not known yet".to_owned(), |revision| revision.to_string());
    let behind = status
        .entries
        .iter()
        .filter(|e| e.is_live && e.revision < status.accepted);
    let mut text = String::new();
    let mut line = |name: &str, value: String| {
        let _ = writeln!(text, "{name:<22}{value}");
    };
    line("Revision accepted", status.accepted.to_string());
    line("Revision in force", in_force);
    line("Not yet applied by", list(behind.map(|e| e.entry.clone())));
    line(
        "Leader",
        status.leader.map_or("none".to_owned(), |id| {
            format!("replica {id}, term {}", status.term)
        }),
    );
    line("Domains out", list(&status.drained));
    line("Versions withdrawn", list(&status.withdrawn));
    line(
        "In quarantine",
        list(
            status
                .quarantined
                .iter()
                .map(|(v, why)| format!("{v} ({why})")),
        ),
    );
    line(
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
    let mut rows = table(&["Keeper", "Address", "Votes", "Saved up to", "Last answer"]);
    for member in &status.members {
        rows.add_row([
            member.replica.to_string(),
            member.address.clone(),
            if member.is_voter { "yes" } else { "not yet" }.to_owned(),
            member.matched.to_string(),
            member
                .silent_ms
                .map_or("never".to_owned(), |ms| format!("{ms} ms ago")),
        ]);
    }
    format!("\n{rows}\n")
}

fn entry_table(status: &ClusterStatus) -> String {
    let mut rows = table(&["Entry", "Revision", "Lease", "Last heartbeat"]);
    for entry in &status.entries {
        rows.add_row([
            entry.entry.to_string(),
            entry.revision.to_string(),
            if entry.is_live { "runs" } else { "over" }.to_owned(),
            format!("{} ms ago", entry.silent_ms),
        ]);
    }
    format!("\n{rows}\n")
}

fn rollout_table(status: &ClusterStatus) -> String {
    if status.rollouts.is_empty() {
        return String::new();
    }
    let mut rows = table(&["Roll-out", "Step", "Phase", "Why"]);
    for (id, progress) in &status.rollouts {
        rows.add_row([
            id.to_string(),
            (progress.step + 1).to_string(),
            format!("{:?}", progress.phase),
            progress.reason.clone(),
        ]);
    }
    format!("\n{rows}\n")
}

/// The outcome of a change.
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
