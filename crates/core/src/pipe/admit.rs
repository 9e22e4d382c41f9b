//! Second filter: limits of the workspace.

use std::collections::HashMap;

use super::intake::RequestTicket;
use super::refusal::{Refusal, RefusalCode};
use crate::ids::WorkspaceId;
use crate::plan::PlanView;
use crate::state::{LimitSettings, LimitVerdict, WorkspaceLimiter};
use crate::time::TimePoint;

/// Settings of admission.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AdmitSettings {
    /// Shares of limits.
    pub limits: LimitSettings,
}

/// Meters of all workspaces on this entry.
#[derive(Clone, Debug, Default)]
pub struct AdmitState {
    settings: AdmitSettings,
    meters: HashMap<WorkspaceId, WorkspaceLimiter>,
}

impl AdmitState {
    /// Meters at rest.
    pub fn new(settings: AdmitSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Admits a request; [`Self::finish`] must follow once it has ended.
    ///
    /// # Errors
    /// [`Refusal`] when a limit of the workspace is reached.
    pub fn admit(
        &mut self,
        now: TimePoint,
        ticket: &RequestTicket,
        plan: &PlanView<'_>,
        entries: usize,
    ) -> Result<(), Refusal> {
        let workspace = &ticket.workspace;
        let rule = plan.workspace(workspace).ok_or_else(|| {
            Refusal::not_run(
                RefusalCode::UnknownWorkspace,
                format!("workspace {workspace} is not declared"),
            )
        })?;
        let meter = self.meters.entry(workspace.clone()).or_default();
        match meter.admit(now, rule, entries, &self.settings.limits) {
            LimitVerdict::Within => Ok(()),
            LimitVerdict::RateExceeded(wait) => Err(Refusal::not_run(
                RefusalCode::RateLimited,
                format!(
                    "workspace {workspace} is above {} requests/s",
                    rule.rate_per_s
                ),
            )
            .retry_after(wait)),
            LimitVerdict::ConcurrencyExceeded => Err(Refusal::not_run(
                RefusalCode::ConcurrencyLimited,
                format!(
                    "workspace {workspace} has {} requests running",
                    meter.in_flight()
                ),
            )),
        }
    }

    /// Notes that an admitted request has ended.
    pub fn finish(&mut self, workspace: &WorkspaceId) {
        if let Some(meter) = self.meters.get_mut(workspace) {
            meter.release();
        }
    }

    /// Requests that run or wait.
    pub fn in_flight(&self) -> u32 {
        self.meters.values().map(WorkspaceLimiter::in_flight).sum()
    }
}
