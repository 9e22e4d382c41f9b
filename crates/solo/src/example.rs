//! The example plan that `chestnutloft-solo` and the failure tests run with.

use std::collections::BTreeMap;

use chestnutloft_core::plan::{PlanDeclaration, PlanFinding};
use chestnutloft_plan::{SheetSource, read_source};

/// Name and content of each sheet.
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

/// Parses the plan of examples/kitamiya, which is compiled in.
///
/// # Errors
/// The findings of the parser if the example is invalid.
pub fn plan() -> Result<PlanDeclaration, Vec<PlanFinding>> {
    let texts: BTreeMap<String, String> = SHEETS
        .iter()
        .map(|(name, text)| ((*name).to_owned(), (*text).to_owned()))
        .collect();
    let result = read_source(&mut SheetSource::Texts(texts));
    if result.findings.is_empty() {
        Ok(result.declaration)
    } else {
        Err(result.findings)
    }
}
