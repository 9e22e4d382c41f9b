//! The typed content of a plan sheet.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::hash::content_hash;
use crate::ids::{DomainId, KindId, RolloutId, ServiceId, VersionId, WorkspaceId};
use crate::time::TimePoint;

/// Everything that a plan sheet declares.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlanDeclaration {
    /// Workspaces and their limits.
    pub workspaces: BTreeMap<WorkspaceId, WorkspaceRule>,
    /// Model versions and their costs.
    pub versions: BTreeMap<VersionId, VersionRule>,
    /// Services and their calls.
    pub services: BTreeMap<ServiceId, ServiceRule>,
    /// Quality and latency targets, one for each workspace and kind.
    pub targets: Vec<QualityTarget>,
    /// Roll-outs under way.
    pub rollouts: BTreeMap<RolloutId, RolloutRule>,
    /// Failure domains.
    pub domains: BTreeMap<DomainId, DomainRule>,
    /// Planned outages of failure domains.
    pub outages: Vec<OutageWindow>,
}

impl PlanDeclaration {
    /// A hash of the whole content, equal for equal content.
    pub fn hash(&self) -> u128 {
        let bytes = postcard::to_stdvec(self).unwrap_or_default();
        content_hash(&bytes)
    }

    /// The target of `kind` in `workspace`, if one is declared.
    pub fn target(&self, workspace: &WorkspaceId, kind: &KindId) -> Option<&QualityTarget> {
        self.targets
            .iter()
            .find(|t| t.workspace == *workspace && t.kind == *kind)
    }
}

/// A workspace: what it may use and how much.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceRule {
    /// SHA-256 of the bearer key in lower-case hexadecimal; empty where no key is asked for.
    pub key_hashes: Vec<String>,
    /// Versions that the workspace may use.
    pub allowed: BTreeSet<VersionId>,
    /// Sustained requests per second over all entries.
    pub rate_per_s: f64,
    /// Requests that may come at once above the sustained rate.
    pub burst: f64,
    /// Requests in flight over all entries.
    pub concurrency: u32,
    /// Share of capacity under contention, relative to other workspaces.
    pub weight: f64,
}

impl Default for WorkspaceRule {
    fn default() -> Self {
        Self {
            key_hashes: Vec::new(),
            allowed: BTreeSet::new(),
            rate_per_s: 10.0,
            burst: 20.0,
            concurrency: 64,
            weight: 1.0,
        }
    }
}

/// A model version: where it is served and what it costs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionRule {
    /// Service whose endpoints can load it.
    pub service: ServiceId,
    /// Cost of 1,000 prompt tokens, in millionths of the currency unit.
    pub input_cost: u64,
    /// Cost of 1,000 generated tokens, in millionths of the currency unit.
    pub output_cost: u64,
    /// Quality that operators expect before any rating has come in, 0 to 1.
    pub prior_quality: f64,
    /// Withdrawn versions receive no new work.
    pub is_withdrawn: bool,
    /// Version that sessions of a withdrawn version move to.
    pub successor: Option<VersionId>,
}

/// How a service is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServiceKind {
    /// A model engine behind the chat-completions API.
    Model,
    /// A plain HTTP service.
    Plain,
}

/// Whether endpoints refuse an order that carries an old fencing number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum FencingSupport {
    /// Old fencing numbers are refused by the endpoint.
    ChecksFencing,
    /// Fencing numbers are ignored by the endpoint.
    #[default]
    IgnoresFencing,
}

/// A service: a pool of endpoints with one API.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceRule {
    /// How the service is called.
    pub kind: ServiceKind,
    /// Whether its endpoints check fencing numbers.
    pub trust: FencingSupport,
    /// Calls, matched in order; a call that matches none counts as non-idempotent.
    pub methods: Vec<MethodRule>,
}

impl ServiceRule {
    /// Whether a call of `method` on `path` may be repeated.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        if self.kind == ServiceKind::Model {
            return true;
        }
        self.methods
            .iter()
            .find(|rule| rule.matches(method, path))
            .is_some_and(|rule| rule.is_idempotent)
    }
}

/// One call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MethodRule {
    /// HTTP method in upper case.
    pub method: String,
    /// Path prefix.
    pub path: String,
    /// Whether the call may be repeated.
    pub is_idempotent: bool,
}

impl MethodRule {
    fn matches(&self, method: &str, path: &str) -> bool {
        self.method == method && path.starts_with(&self.path)
    }
}

/// What a kind of request must reach in a workspace.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QualityTarget {
    /// Workspace.
    pub workspace: WorkspaceId,
    /// Kind of request.
    pub kind: KindId,
    /// Least share of answers rated good, 0 to 1.
    pub quality: f64,
    /// Objective for the first token.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub first_token: Duration,
    /// Objective for the whole answer.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub whole_answer: Duration,
    /// Share of requests that must meet the latency objective, 0 to 1.
    pub objective: f64,
}

/// A move of traffic from one version to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutRule {
    /// Version that serves today.
    pub from: VersionId,
    /// Version that is to serve.
    pub to: VersionId,
    /// Steps with growing shares.
    pub steps: Vec<RolloutStep>,
}

/// One step of a roll-out.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutStep {
    /// Share of new sessions that the new version serves, 0 to 1.
    pub share: f64,
    /// Ratings of the new version needed before the next step.
    pub min_ratings: u32,
    /// Shortest stay on this step.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub hold: Duration,
}

/// A failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainRule {
    /// Region that the domain lies in.
    pub region: String,
}

/// A planned outage of a failure domain, in Unix time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutageWindow {
    /// Failure domain.
    pub domain: DomainId,
    /// First moment without new work.
    pub start: TimePoint,
    /// First moment with new work again.
    pub end: TimePoint,
}

impl OutageWindow {
    /// Whether the outage covers `wall_now`.
    pub fn covers(&self, wall_now: TimePoint) -> bool {
        self.start <= wall_now && wall_now < self.end
    }

    /// Whether two outages share a moment in one domain.
    pub fn overlaps(&self, other: &Self) -> bool {
        self.domain == other.domain && self.start < other.end && other.start < self.end
    }
}
