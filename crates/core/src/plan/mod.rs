//! The plan: what operators declare, and the changes that have been accepted since.

mod change;
mod check;
mod declaration;
mod diff;
mod finding;
mod rollout;
mod view;
mod warnings;

pub use change::{
    CHANGE_HISTORY, ChangeOutcome, PlanChange, PlanState, PlanUpdate, SubmittedChange,
    SubmittedContent,
};
pub use check::check_declaration;
pub use declaration::{
    DomainRule, FencingSupport, MethodRule, OutageWindow, PlanDeclaration, QualityTarget,
    RolloutRule, RolloutStep, ServiceKind, ServiceRule, VersionRule, WorkspaceRule,
};
pub use diff::{DeclarationPatch, describe_patch};
pub use finding::{PlanFinding, SheetPlace};
pub use rollout::{RolloutPhase, RolloutProgress};
pub use view::PlanView;
pub use warnings::plan_warnings;
