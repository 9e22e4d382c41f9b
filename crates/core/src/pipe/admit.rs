//! Second stage: rate and concurrency limits of workspaces.

use std::collections::HashMap;

use super::intake::ParsedRequest;
use super::refusal::{Refusal, RefusalCode};
use crate::ids::WorkspaceId;
use crate::plan::PlanView;
use crate::state::{LimitSettings, LimitVerdict, WorkspaceLimiter};
use crate::time::TimePoint;

/// Settings of admission control.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AdmissionSettings {
    /// How an entry derives its share of a workspace's limits.
    pub limits: LimitSettings,
}

/// Current use of the limits of each workspace on this entry.
#[derive(Clone, Debug, Default)]
pub struct AdmissionControl {
    settings: AdmissionSettings,
    limiters: HashMap<WorkspaceId, WorkspaceLimiter>,
}

impl AdmissionControl {
    /// Creates the control with no requests in flight.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Admits a request. [`Self::finish`] must be called once it has ended. `entry_count` is
    /// the number of live entries that share the limits.
    ///
    /// # Errors
    /// [`Refusal`] when a limit of the workspace is reached.
    pub fn admit(
        &mut self,
        now: TimePoint,
        request: &ParsedRequest,
        plan: &PlanView<'_>,
        entry_count: usize,
    ) -> Result<(), Refusal> {
        let workspace = &request.workspace;
        let rule = plan.workspace(workspace).ok_or_else(|| {
            Refusal::not_run(
                RefusalCode::UnknownWorkspace,
                format!("workspace {workspace} is not declared"),
            )
        })?;
        let limiter = self.limiters.entry(workspace.clone()).or_default();
        match limiter.admit(now, rule, entry_count, &self.settings.limits) {
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
                    limiter.in_flight()
                ),
            )),
        }
    }

    /// Records that an admitted request has ended.
    pub fn finish(&mut self, workspace: &WorkspaceId) {
        if let Some(limiter) = self.limiters.get_mut(workspace) {
            limiter.release();
        }
    }

    /// Number of admitted requests that have not ended.
    pub fn in_flight(&self) -> u32 {
        self.limiters
            .values()
            .map(WorkspaceLimiter::in_flight)
            .sum()
    }
}
