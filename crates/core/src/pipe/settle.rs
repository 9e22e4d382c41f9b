//! Last stage: bills a request.

use super::intake::ParsedRequest;
use crate::ids::VersionId;
use crate::ledger::{BillRecord, RequestKey, SpendKey};
use crate::plan::{PlanView, VersionRule};

/// Tokens used by one step of a request. A cascade takes up to two steps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepUsage {
    /// Version that ran; `None` for plain services.
    pub version: Option<VersionId>,
    /// Prompt tokens.
    pub input_tokens: u64,
    /// Generated tokens that the caller received or that a cascade evaluated.
    pub output_tokens: u64,
}

/// Cost of a request or step, in millionths of the currency unit.
pub fn cost_of(rule: &VersionRule, input_tokens: u64, output_tokens: u64) -> u64 {
    (rule.input_cost * input_tokens + rule.output_cost * output_tokens) / 1_000
}

/// Creates the single bill of a request. `steps` must contain each step once, even if it was
/// resumed or hedged.
pub fn bill_for(
    parsed: &ParsedRequest,
    request: RequestKey,
    steps: &[StepUsage],
    plan: &PlanView<'_>,
) -> BillRecord {
    let cost = |step: &StepUsage| {
        let rule = step.version.as_ref().and_then(|v| plan.version(v));
        rule.map_or(0, |rule| {
            cost_of(rule, step.input_tokens, step.output_tokens)
        })
    };
    let answered_by = steps.last().and_then(|step| step.version.clone());
    BillRecord {
        request,
        account: SpendKey {
            workspace: parsed.workspace.clone(),
            kind: answered_by.is_some().then(|| parsed.kind.clone()),
            version: answered_by,
        },
        input_tokens: steps.iter().map(|step| step.input_tokens).sum(),
        output_tokens: steps.iter().map(|step| step.output_tokens).sum(),
        cost: steps.iter().map(cost).sum(),
    }
}
