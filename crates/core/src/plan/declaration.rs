//! Typed content of the plan sheets, the CSV files in which operators declare the plan.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::hash::content_hash;
use crate::ids::{DomainId, KindId, RolloutId, ServiceId, VersionId, WorkspaceId};
use crate::time::TimePoint;

/// Everything that the plan sheets declare.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlanDeclaration {
    /// Workspaces and their limits.
    pub workspaces: BTreeMap<WorkspaceId, WorkspaceRule>,
    /// Model versions with their services and costs.
    pub versions: BTreeMap<VersionId, VersionRule>,
    /// Services and their methods.
    pub services: BTreeMap<ServiceId, ServiceRule>,
    /// Quality and latency targets, at most one for each workspace and kind.
    pub targets: Vec<QualityTarget>,
    /// Roll-outs from one version to another.
    pub rollouts: BTreeMap<RolloutId, RolloutRule>,
    /// Failure domains.
    pub domains: BTreeMap<DomainId, DomainRule>,
    /// Planned outages of failure domains.
    pub outages: Vec<OutageWindow>,
}

impl PlanDeclaration {
    /// Hash of the whole content; equal declarations have equal hashes.
    pub fn hash(&self) -> u128 {
        let bytes = postcard::to_stdvec(self).unwrap_or_default();
        content_hash(&bytes)
    }

    /// Target for `kind` in `workspace`, if one is declared.
    pub fn target(&self, workspace: &WorkspaceId, kind: &KindId) -> Option<&QualityTarget> {
        self.targets
            .iter()
            .find(|t| t.workspace == *workspace && t.kind == *kind)
    }
}

/// A workspace: its keys, allowed versions and limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceRule {
    /// SHA-256 hashes of the accepted bearer keys in lower-case hexadecimal; empty if no key is
    /// required.
    pub key_hashes: Vec<String>,
    /// Versions that the workspace may use.
    pub allowed: BTreeSet<VersionId>,
    /// Sustained request rate over all entries, in requests per second.
    pub rate_per_s: f64,
    /// Requests that may arrive at once above the sustained rate, over all entries.
    pub burst: f64,
    /// Maximum number of requests in flight over all entries.
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

/// A model version: its service, cost and expected quality.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionRule {
    /// Service whose endpoints can load this version.
    pub service: ServiceId,
    /// Cost of 1,000 prompt tokens, in millionths of the currency unit.
    pub input_cost: u64,
    /// Cost of 1,000 generated tokens, in millionths of the currency unit.
    pub output_cost: u64,
    /// Quality that operators expect before there are any ratings, 0 to 1.
    pub prior_quality: f64,
    /// Whether the version is withdrawn, so that it receives no new requests.
    pub is_withdrawn: bool,
    /// Version that its sessions move to when it is withdrawn.
    pub successor: Option<VersionId>,
}

/// Protocol of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServiceKind {
    /// A model engine with a chat-completions API.
    Model,
    /// A plain HTTP service.
    Plain,
}

/// Whether endpoints reject commands that carry an outdated fencing token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum FencingSupport {
    /// Endpoints reject outdated fencing tokens.
    ChecksFencing,
    /// Endpoints ignore fencing tokens.
    #[default]
    IgnoresFencing,
}

/// A service: a pool of endpoints with one API.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceRule {
    /// Protocol of the service.
    pub kind: ServiceKind,
    /// Whether its endpoints check fencing tokens.
    pub trust: FencingSupport,
    /// Methods, matched in order; a request that matches none counts as non-idempotent.
    pub methods: Vec<MethodRule>,
}

impl ServiceRule {
    /// Whether a request with HTTP method `method` to `path` may be repeated. Requests to model
    /// engines always may.
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

/// Requests of a plain service that share a method and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MethodRule {
    /// HTTP method in upper case.
    pub method: String,
    /// Path prefix.
    pub path: String,
    /// Whether these requests may be repeated.
    pub is_idempotent: bool,
}

impl MethodRule {
    fn matches(&self, method: &str, path: &str) -> bool {
        self.method == method && path.starts_with(&self.path)
    }
}

/// Quality and latency target for a kind of request in a workspace.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QualityTarget {
    /// Workspace.
    pub workspace: WorkspaceId,
    /// Kind of request.
    pub kind: KindId,
    /// Minimum share of answers rated good, 0 to 1.
    pub quality: f64,
    /// Latency objective for the first token.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub first_token: Duration,
    /// Latency objective for the whole answer.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub whole_answer: Duration,
    /// Share of requests that must meet the latency objectives, 0 to 1.
    pub objective: f64,
}

/// A gradual move of new sessions from one version to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutRule {
    /// Version that serves the sessions before the roll-out.
    pub from: VersionId,
    /// Version that serves them afterwards.
    pub to: VersionId,
    /// Steps with increasing shares; the last share is 1.
    pub steps: Vec<RolloutStep>,
}

/// One step of a roll-out.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutStep {
    /// Share of new sessions that the new version serves, 0 to 1.
    pub share: f64,
    /// Ratings of the new version needed to leave this step.
    pub min_ratings: u32,
    /// Minimum duration of this step.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub hold: Duration,
}

/// A failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainRule {
    /// Region that the domain is in.
    pub region: String,
}

/// A planned outage of a failure domain, in Unix time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutageWindow {
    /// The failure domain.
    pub domain: DomainId,
    /// Start of the outage; the domain receives no new requests from here on.
    pub start: TimePoint,
    /// End of the outage; the domain receives new requests again from here on.
    pub end: TimePoint,
}

impl OutageWindow {
    /// Whether the outage is in effect at `wall_now`.
    pub fn covers(&self, wall_now: TimePoint) -> bool {
        self.start <= wall_now && wall_now < self.end
    }

    /// Whether both outages concern the same domain and overlap in time.
    pub fn overlaps(&self, other: &Self) -> bool {
        self.domain == other.domain && self.start < other.end && other.start < self.end
    }
}
