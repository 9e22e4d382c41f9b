//! Commands on plan sheets that concern the plan in force.

use std::path::Path;
use std::process::ExitCode;

use chestnutloft_core::plan::{
    DeclarationPatch, PlanDeclaration, SubmittedContent, describe_patch,
};
use chestnutloft_plan::read_plan;

use super::{CommandContext, EXIT_FINDINGS, print_json, submit_content};

/// Reads the plan sheets at `sheet`. Prints the findings and returns `None` if there are any.
fn read_valid_plan(context: &CommandContext, sheet: &Path) -> Option<PlanDeclaration> {
    let plan = read_plan(sheet);
    if plan.findings.is_empty() {
        return Some(plan.declaration);
    }
    if context.is_json {
        print_json(&plan.findings);
    } else {
        for finding in &plan.findings {
            println!("{finding}");
        }
        if plan.dropped_findings > 0 {
            println!("and {} more findings", plan.dropped_findings);
        }
    }
    None
}

pub(super) fn check_plan(context: &CommandContext, sheet: &Path) -> ExitCode {
    let Some(plan) = read_valid_plan(context, sheet) else {
        return ExitCode::from(EXIT_FINDINGS);
    };
    if context.is_json {
        print_json(&Vec::<String>::new());
    } else {
        println!(
            "No findings: {} workspaces, {} versions, {} targets, {} roll-outs, {} outages.",
            plan.workspaces.len(),
            plan.versions.len(),
            plan.targets.len(),
            plan.rollouts.len(),
            plan.outages.len()
        );
    }
    ExitCode::SUCCESS
}

pub(super) async fn diff_plan(context: &CommandContext, sheet: &Path) -> Result<ExitCode, String> {
    let Some(plan) = read_valid_plan(context, sheet) else {
        return Ok(ExitCode::from(EXIT_FINDINGS));
    };
    let current = context.client.plan().await.map_err(|e| e.to_string())?;
    let patch = DeclarationPatch::between(&current.declaration, &plan);
    let lines = describe_patch(&current.declaration, &patch);
    if context.is_json {
        print_json(&lines);
    } else if lines.is_empty() {
        println!("Nothing would change.");
    } else {
        for line in &lines {
            println!("{line}");
        }
    }
    Ok(ExitCode::SUCCESS)
}

pub(super) async fn apply_plan(
    context: &CommandContext,
    sheet: &Path,
    base: Option<u64>,
) -> Result<ExitCode, String> {
    let Some(plan) = read_valid_plan(context, sheet) else {
        return Ok(ExitCode::from(EXIT_FINDINGS));
    };
    let base = match base {
        Some(base) => base,
        None => {
            context
                .client
                .plan()
                .await
                .map_err(|e| e.to_string())?
                .revision
        }
    };
    let declaration = SubmittedContent::Declaration(Box::new(plan));
    submit_content(context, Some(base), declaration).await
}
