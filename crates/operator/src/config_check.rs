//! Check of plan sheets before they are submitted.

use std::path::Path;

use chestnutloft_core::check_report::{CheckFinding, CheckReport};
use chestnutloft_core::plan::{
    DeclarationPatch, PlanDeclaration, PlanFinding, SheetPlace, describe_patch,
};
use chestnutloft_plan::read_plan;

/// Checks the plan sheets at `path`, and describes their differences from those at `against`.
pub fn check_sheets(path: &Path, against: Option<&Path>) -> CheckReport<SheetPlace> {
    let plan = read_plan(path);
    let is_valid = plan.findings.is_empty();
    let errors = plan.findings.into_iter().map(as_error);
    let mut findings: Vec<_> = errors.collect();
    findings.extend(plan.warnings.into_iter().map(as_warning));
    let mut changes = None;
    if let Some(against) = against {
        match read_compared(against) {
            // Sheets with errors lack rows, which would show as removed.
            Ok(old) if is_valid => {
                let difference = DeclarationPatch::between(&old, &plan.declaration);
                changes = Some(describe_patch(&old, &difference));
            }
            Ok(_) => {}
            Err(finding) => findings.push(finding),
        }
    }
    let report = CheckReport::new(path.display().to_string(), findings)
        .with_omitted_errors(plan.dropped_findings);
    match changes {
        Some(changes) => report.with_changes(changes),
        None => report,
    }
}

fn read_compared(path: &Path) -> Result<PlanDeclaration, CheckFinding<SheetPlace>> {
    let plan = read_plan(path);
    match plan.findings.first() {
        None => Ok(plan.declaration),
        Some(first) => Err(CheckFinding::error(
            SheetPlace::new(&path.display().to_string(), 0, ""),
            format!("cannot be compared with: {first}"),
            "give sheets without errors",
        )),
    }
}

fn as_error(finding: PlanFinding) -> CheckFinding<SheetPlace> {
    CheckFinding::error(finding.place, finding.problem, finding.remedy)
}

fn as_warning(finding: PlanFinding) -> CheckFinding<SheetPlace> {
    CheckFinding::warning(finding.place, finding.problem, finding.remedy)
}
