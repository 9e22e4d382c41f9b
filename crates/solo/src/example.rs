//! The example plan that a newcomer starts with.

use std::collections::BTreeMap;

use chestnutloft_core::plan::{PlanDeclaration, PlanFinding};
use chestnutloft_plan::{SheetSource, read_source};

const SHEETS: [(&str, &str); 9] = [
    (
        "domains",
        include_str!("../../../examples/kitamiya/domains.csv"),
    ),
    (
        "services",
        include_str!("../../../examples/kitamiya/services.csv"),
    ),
    (
        "methods",
        include_str!("../../../examples/kitamiya/methods.csv"),
    ),
    (
        "versions",
        include_str!("../../../examples/kitamiya/versions.csv"),
    ),
    (
        "workspaces",
        include_str!("../../../examples/kitamiya/workspaces.csv"),
    ),
    (
        "allowed",
        include_str!("../../../examples/kitamiya/allowed.csv"),
    ),
    (
        "targets",
        include_str!("../../../examples/kitamiya/targets.csv"),
    ),
    (
        "rollouts",
        include_str!("../../../examples/kitamiya/rollouts.csv"),
    ),
    (
        "outages",
        include_str!("../../../examples/kitamiya/outages.csv"),
    ),
];

/// The plan of examples/kitamiya.
///
/// # Errors
/// Findings, should the example be wrong.
pub fn plan() -> Result<PlanDeclaration, Vec<PlanFinding>> {
    let texts: BTreeMap<String, String> = SHEETS
        .iter()
        .map(|(name, text)| ((*name).to_owned(), (*text).to_owned()))
        .collect();
    let read = read_source(&mut SheetSource::Texts(texts));
    if read.findings.is_empty() {
        Ok(read.declaration)
    } else {
        Err(read.findings)
    }
}
