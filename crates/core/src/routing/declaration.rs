//! Declarative routing configuration: routes, services, workspaces and limits, versioned together
//! by one number.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How a call answers and whether it may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallKind {
    /// Safe to run more than once.
    Idempotent,
    /// Must run at most once.
    NonIdempotent,
    /// Answers with a stream of numbered events.
    Stream {
        /// Whether another endpoint can resume after the last event received.
        is_resumable: bool,
    },
}

impl CallKind {
    /// Whether a call that may already have run can be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { is_resumable: true })
    }

    /// Whether the answer is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// One of the services among which the calls of a route are split.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceShare {
    /// The service.
    pub service: Arc<str>,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// Maps a host and a path prefix to services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Name, used in logs.
    pub name: Arc<str>,
    /// Host that the route matches.
    pub host: Arc<str>,
    /// Path prefix that the route matches; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// How its calls answer and whether they may be retried.
    pub kind: CallKind,
    /// Deadline for the complete answer, in milliseconds.
    pub timeout_ms: u64,
    /// Target time to the answer, or to its first event, in milliseconds. Later answers are worth
    /// less to the caller.
    #[serde(rename = "aim_ms")]
    pub target_latency_ms: u64,
    /// Longest gap between two events that still counts as on time, in milliseconds.
    #[serde(rename = "gap_aim_ms")]
    pub target_gap_ms: Option<u64>,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Models that may answer, cheapest first; empty if callers do not choose by model.
    pub models: Vec<Arc<str>>,
    /// Services among which calls are split.
    pub shares: Vec<ServiceShare>,
    /// Maximum number of endpoints that one call is sent to.
    pub max_attempts: u32,
    /// Whether callers must present an API key.
    pub needs_key: bool,
}

impl RouteRule {
    /// Host and prefix, which identify the route within a declaration.
    pub fn location(&self) -> (&str, &str) {
        (&self.host, &self.prefix)
    }

    /// Picks one of the route's services by weight. Equal values of `key_hash` pick the same one.
    pub fn pick_share(&self, key_hash: u64) -> Option<&ServiceShare> {
        let weights = self.shares.iter().map(|share| u64::from(share.weight));
        let mut offset = key_hash.checked_rem(weights.sum())?;
        self.shares.iter().find(|share| {
            let weight = u64::from(share.weight);
            let is_picked = offset < weight;
            offset = offset.saturating_sub(weight);
            is_picked
        })
    }
}

/// A model that the endpoints of a service run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelRule {
    /// Name.
    pub name: Arc<str>,
    /// Price per 1,000 generated tokens.
    pub cost: f64,
}

/// What a service declares about the engines of its endpoints.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineRule {
    /// Calls that an endpoint runs at the same time.
    pub slots: u32,
    /// Tokens that running calls and cached prompt segments share.
    pub kv_tokens: u64,
    /// Bytes of KV cache per token.
    pub token_bytes: u64,
    /// Bandwidth of an endpoint's link for copies of KV cache, in Mbit/s.
    pub link_mbps: f64,
    /// Tokens of an event of a stream.
    pub event_tokens: u32,
    /// Whether a run can be moved to another endpoint.
    pub has_moves: bool,
    /// Whether a run's KV cache can be backed up at another endpoint while it grows.
    pub has_backups: bool,
    /// Time after which an unused copy expires, in milliseconds.
    pub copy_ttl_ms: u64,
}

/// A pool of endpoints that serve the same API.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceRule {
    /// Name.
    pub name: Arc<str>,
    /// Path of its health check.
    pub health_path: Arc<str>,
    /// Connections that an endpoint accepts from all entries together.
    pub max_connections: u32,
    /// Warm-up time of an endpoint after its start, in milliseconds. Until then it is cold.
    pub cold_ms: u64,
    /// Calls per second that a cold endpoint can take from all entries together.
    pub cold_per_s: f64,
    /// Models that the endpoints run, cheapest first.
    pub models: Vec<ModelRule>,
    /// Engines of the endpoints; `None` if the endpoints run no models.
    pub engine: Option<EngineRule>,
}

impl ServiceRule {
    /// Whether an idle endpoint has memory for a prompt of `tokens` tokens.
    pub fn can_hold(&self, tokens: f64) -> bool {
        let engine = self.engine.as_ref();
        let engine = engine.filter(|engine| engine.kv_tokens > 0);
        engine.is_none_or(|engine| tokens <= engine.kv_tokens as f64)
    }
}

/// A workspace and the API keys of its callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceRule {
    /// Name.
    pub name: Arc<str>,
    /// API keys of its callers.
    pub keys: Vec<Arc<str>>,
    /// Priority; takes precedence over that of the route. `None` if the workspace has none.
    pub priority: Option<u32>,
}

/// Size and time limits of callers' connections.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Time within which a request head must arrive, in milliseconds.
    pub head_ms: u64,
    /// Idle timeout of a connection, in milliseconds.
    pub idle_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}

impl CallerLimits {
    /// Idle timeout of a connection.
    pub fn idle(&self) -> Duration {
        Duration::from_millis(self.idle_ms)
    }
}

/// Configuration that operators submit as a whole. The declaration with the highest number is in
/// force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteDeclaration {
    /// Version number, assigned by the operator.
    pub number: u64,
    /// Routes.
    pub routes: Vec<RouteRule>,
    /// Services that the routes refer to.
    pub services: Vec<ServiceRule>,
    /// Workspaces. If there are none, no route needs an API key.
    pub workspaces: Vec<WorkspaceRule>,
    /// Limits for all callers.
    pub limits: CallerLimits,
}

/// Why a declaration is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeclarationFinding {
    /// A route names a service that is not declared.
    UnknownService {
        /// The route.
        route: Arc<str>,
        /// The undeclared service.
        service: Arc<str>,
    },
    /// Two routes match the same host and prefix.
    SamePlace {
        /// The second route.
        route: Arc<str>,
    },
    /// The weights of a route add up to 0.
    NoWeight {
        /// The route.
        route: Arc<str>,
    },
    /// A route has a timeout of 0.
    NoTimeout {
        /// The route.
        route: Arc<str>,
    },
    /// Two workspaces have an API key in common.
    SharedKey {
        /// The second workspace.
        workspace: Arc<str>,
    },
    /// The text cannot be decoded.
    Unreadable {
        /// Decoding error.
        reason: String,
    },
}

impl DeclarationFinding {
    /// What is wrong, without the route or workspace that it is wrong with.
    pub fn problem(&self) -> String {
        match self {
            Self::UnknownService { service, .. } => format!("service {service} is not declared"),
            Self::SamePlace { .. } => "another route has this host and prefix".to_owned(),
            Self::NoWeight { .. } => "the weights add up to 0".to_owned(),
            Self::NoTimeout { .. } => "the timeout is 0".to_owned(),
            Self::SharedKey { .. } => "a key belongs to another workspace too".to_owned(),
            Self::Unreadable { reason } => format!("the declaration does not decode: {reason}"),
        }
    }
}

impl fmt::Display for DeclarationFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownService { route, .. }
            | Self::SamePlace { route }
            | Self::NoWeight { route }
            | Self::NoTimeout { route } => write!(f, "route {route}: ")?,
            Self::SharedKey { workspace } => write!(f, "workspace {workspace}: ")?,
            Self::Unreadable { .. } => {}
        }
        f.write_str(&self.problem())
    }
}

/// A finding, with the index of the route or workspace that it concerns.
pub(super) type LocatedFinding = (usize, DeclarationFinding);

impl RouteDeclaration {
    /// Validates the declaration and returns everything that is wrong with it.
    pub fn check(&self) -> Vec<DeclarationFinding> {
        let located = self.located_findings().into_iter();
        located.map(|(_, finding)| finding).collect()
    }

    /// The findings of [`Self::check`] with their places.
    pub(super) fn located_findings(&self) -> Vec<LocatedFinding> {
        let mut findings = Vec::new();
        let services: BTreeSet<&str> = self.services.iter().map(|rule| &*rule.name).collect();
        let mut locations = BTreeSet::new();
        for (index, route) in self.routes.iter().enumerate() {
            let mut found = Vec::new();
            check_route(route, &services, &mut found);
            if !locations.insert(route.location()) {
                found.push(DeclarationFinding::SamePlace {
                    route: Arc::clone(&route.name),
                });
            }
            findings.extend(found.into_iter().map(|finding| (index, finding)));
        }
        self.check_keys(&mut findings);
        findings
    }

    fn check_keys(&self, findings: &mut Vec<LocatedFinding>) {
        let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
        for (index, workspace) in self.workspaces.iter().enumerate() {
            for key in &workspace.keys {
                let owner = owners.entry(key).or_insert(&workspace.name);
                if **owner != *workspace.name {
                    let finding = DeclarationFinding::SharedKey {
                        workspace: Arc::clone(&workspace.name),
                    };
                    findings.push((index, finding));
                }
            }
        }
    }

    /// The service called `name`.
    pub fn service(&self, name: &str) -> Option<&ServiceRule> {
        self.services.iter().find(|rule| &*rule.name == name)
    }
}

fn check_route(
    route: &RouteRule,
    services: &BTreeSet<&str>,
    findings: &mut Vec<DeclarationFinding>,
) {
    for share in &route.shares {
        if !services.contains(&*share.service) {
            findings.push(DeclarationFinding::UnknownService {
                route: Arc::clone(&route.name),
                service: Arc::clone(&share.service),
            });
        }
    }
    let weight: u64 = route
        .shares
        .iter()
        .map(|share| u64::from(share.weight))
        .sum();
    if weight == 0 {
        findings.push(DeclarationFinding::NoWeight {
            route: Arc::clone(&route.name),
        });
    }
    if route.timeout_ms == 0 {
        findings.push(DeclarationFinding::NoTimeout {
            route: Arc::clone(&route.name),
        });
    }
}
