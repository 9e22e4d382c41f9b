//! A whole declaration: routes, services, workspaces and limits under one number.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What may be repeated of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answers with a stream of numbered events.
    Stream {
        /// Whether another endpoint may go on after the last event that arrived.
        is_resumable: bool,
    },
}

impl CallKind {
    /// Whether a call that may have run can be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { is_resumable: true })
    }

    /// Whether the answer is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service's share of a route's calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceShare {
    /// The service.
    pub service: Arc<str>,
    /// Its weight among the shares of the route.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Name, for logs.
    pub name: Arc<str>,
    /// Host that it answers for.
    pub host: Arc<str>,
    /// Start of the paths that it answers for; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: CallKind,
    /// Longest time until the final answer, in milliseconds.
    pub timeout_ms: u64,
    /// Target time to the answer, or to its first event, in milliseconds. Later answers are worth
    /// less to the caller.
    #[serde(rename = "aim_ms")]
    pub target_latency_ms: u64,
    /// Longest gap between two events that still counts as on time, in milliseconds.
    #[serde(rename = "gap_aim_ms")]
    pub target_gap_ms: Option<u64>,
    /// Urgency; 0 comes first.
    pub priority: u32,
    /// Models that may answer, cheapest first; empty where callers name none.
    pub models: Vec<Arc<str>>,
    /// Services that answer.
    pub shares: Vec<ServiceShare>,
    /// Endpoints that one call may be sent to.
    pub max_attempts: u32,
    /// Whether a caller must show a key.
    pub needs_key: bool,
}

/// A model of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelRule {
    /// Name.
    pub name: Arc<str>,
    /// Price of 1,000 generated tokens.
    pub cost: f64,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceRule {
    /// Name.
    pub name: Arc<str>,
    /// Path of its health check.
    pub health_path: Arc<str>,
    /// Connections that one endpoint accepts from all entries together.
    pub max_connections: u32,
    /// How long an endpoint stays cold after its start, in milliseconds.
    pub cold_ms: u64,
    /// Calls per second that a cold endpoint bears.
    pub cold_per_s: f64,
    /// Models that its endpoints run, cheapest first.
    pub models: Vec<ModelRule>,
}

/// One workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceRule {
    /// Name.
    pub name: Arc<str>,
    /// Keys of its callers.
    pub keys: Vec<Arc<str>>,
    /// Urgency; goes before that of the route.
    pub priority: u32,
}

/// What a caller may send, and how long it may take or stay idle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a request's head, in milliseconds.
    pub head_ms: u64,
    /// Time that a connection may stay idle, in milliseconds.
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
    /// Time that a connection may stay idle.
    pub fn idle(&self) -> Duration {
        Duration::from_millis(self.idle_ms)
    }
}

/// Everything that operators declare at once. The declaration with the highest number is in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteDeclaration {
    /// Number that the operator gave it.
    pub number: u64,
    /// Routes.
    pub routes: Vec<RouteRule>,
    /// Services.
    pub services: Vec<ServiceRule>,
    /// Workspaces; where there are none, no key is needed.
    pub workspaces: Vec<WorkspaceRule>,
    /// Limits of callers.
    pub limits: CallerLimits,
}

/// Why a declaration cannot be put in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeclarationFinding {
    /// A route names a service that is not declared.
    UnknownService {
        /// The route.
        route: Arc<str>,
        /// The name.
        service: Arc<str>,
    },
    /// Two routes answer for the same host and prefix.
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
    /// Two workspaces share a key.
    SharedKey {
        /// The second workspace.
        workspace: Arc<str>,
    },
    /// The text could not be read.
    Unreadable {
        /// Why.
        reason: String,
    },
}

impl fmt::Display for DeclarationFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownService { route, service } => {
                write!(f, "route {route}: service {service} is not declared")
            }
            Self::SamePlace { route } => {
                write!(f, "route {route}: another route has this host and prefix")
            }
            Self::NoWeight { route } => write!(f, "route {route}: the weights add up to 0"),
            Self::NoTimeout { route } => write!(f, "route {route}: the timeout is 0"),
            Self::SharedKey { workspace } => {
                write!(
                    f,
                    "workspace {workspace}: a key belongs to another workspace too"
                )
            }
            Self::Unreadable { reason } => write!(f, "the declaration does not decode: {reason}"),
        }
    }
}

impl RouteDeclaration {
    /// Everything that is wrong with the declaration.
    pub fn check(&self) -> Vec<DeclarationFinding> {
        let mut findings = Vec::new();
        let services: BTreeSet<&str> = self.services.iter().map(|rule| &*rule.name).collect();
        let mut locations = BTreeSet::new();
        for route in &self.routes {
            check_route(route, &services, &mut findings);
            if !locations.insert((&*route.host, &*route.prefix)) {
                findings.push(DeclarationFinding::SamePlace {
                    route: Arc::clone(&route.name),
                });
            }
        }
        self.check_keys(&mut findings);
        findings
    }

    fn check_keys(&self, findings: &mut Vec<DeclarationFinding>) {
        let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
        for workspace in &self.workspaces {
            for key in &workspace.keys {
                let owner = owners.entry(key).or_insert(&workspace.name);
                if **owner != *workspace.name {
                    findings.push(DeclarationFinding::SharedKey {
                        workspace: Arc::clone(&workspace.name),
                    });
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
