//! Synthetic workloads, generated from a seed with the request profiles of both example deployments.

use std::path::Path;

use chestnutloft_core::ids::{DomainId, KindId, VersionId, WorkspaceId};
use chestnutloft_core::plan::{PlanDeclaration, ServiceKind};
use chestnutloft_plan::read_plan;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64;

/// Distribution of one request kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KindProfile {
    /// Name of the kind.
    pub name: &'static str,
    /// Share of requests.
    pub share: f64,
    /// Median prompt tokens.
    pub input_tokens: f64,
    /// Median completion tokens.
    pub output_tokens: f64,
    /// How far the true quality of versions for this kind lies above their declared quality.
    pub quality_offset: f64,
}

impl KindProfile {
    fn new(
        name: &'static str,
        share: f64,
        input_tokens: f64,
        output_tokens: f64,
        quality_offset: f64,
    ) -> Self {
        Self {
            name,
            share,
            input_tokens,
            output_tokens,
            quality_offset,
        }
    }
}

/// Request profile of one deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkloadProfile {
    /// Name of the deployment.
    pub name: &'static str,
    /// Directory of its example plan, relative to the repository's root.
    pub plan: &'static str,
    /// Request kinds; their shares add up to 1.
    pub kinds: Vec<KindProfile>,
    /// Number of model endpoints.
    pub endpoints: usize,
    /// Number of entries.
    pub entries: usize,
    /// Share of requests that belong to a session.
    pub session_share: f64,
}

/// Chain Care: many short questions and some long diagnoses, on ten endpoints.
pub fn kitamiya() -> WorkloadProfile {
    WorkloadProfile {
        name: "Kitamiya",
        plan: "examples/kitamiya",
        kinds: vec![
            KindProfile::new("diagnosis", 0.2, 3_000.0, 400.0, -0.01),
            KindProfile::new("careplan", 0.2, 800.0, 300.0, 0.0),
            KindProfile::new("quick", 0.6, 150.0, 80.0, 0.06),
        ],
        endpoints: 10,
        entries: 7,
        session_share: 0.35,
    }
}

/// Heritage floors: long dossiers, estimates and short crack classifications, on twenty endpoints.
pub fn piso_vivo() -> WorkloadProfile {
    WorkloadProfile {
        name: "Piso Vivo",
        plan: "examples/piso-vivo",
        kinds: vec![
            KindProfile::new("dossier", 0.15, 4_000.0, 1_200.0, 0.0),
            KindProfile::new("estimate", 0.35, 1_000.0, 350.0, 0.0),
            KindProfile::new("crack", 0.5, 300.0, 60.0, 0.06),
        ],
        endpoints: 20,
        entries: 8,
        session_share: 0.2,
    }
}

/// One request of a workload.
#[derive(Clone, Debug)]
pub struct GeneratedRequest {
    /// Arrival time in seconds.
    pub at_s: f64,
    /// Index of the entry to which the load balancer sends the request.
    pub entry: usize,
    /// Workspace.
    pub workspace: WorkspaceId,
    /// Request kind.
    pub kind: KindId,
    /// Index of the kind in the profile.
    pub kind_index: usize,
    /// Session, if any.
    pub session: Option<String>,
    /// Prompt tokens.
    pub input_tokens: u64,
    /// Completion tokens.
    pub output_tokens: u64,
    /// Hashes of the prompt's prefix cache blocks.
    pub blocks: Vec<u64>,
    /// Uniform sample in [0, 1): the answer is good if it is below the version's true quality.
    pub quality_sample: f64,
    /// Uniform sample in [0, 1) that decides whether the cheap step of a cascade is confident.
    pub confidence_sample: f64,
}

/// A generated workload.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Profile that it was generated from.
    pub profile: WorkloadProfile,
    /// Plan, without roll-outs, outages, the demo workspace and effective workspace limits.
    pub plan: PlanDeclaration,
    /// Requests, in order of arrival.
    pub requests: Vec<GeneratedRequest>,
    /// True quality of each model version, by index of the kind.
    pub quality: Vec<(VersionId, Vec<f64>)>,
    /// Failure domains.
    pub domains: Vec<DomainId>,
}

impl Workload {
    /// True quality of `version` for the kind with index `kind`; 0 for an unknown version.
    pub fn true_quality(&self, version: &VersionId, kind: usize) -> f64 {
        let found = self.quality.iter().find(|(id, _)| id == version);
        found.map_or(0.0, |(_, kinds)| kinds[kind])
    }
}

/// Size and arrival rate of a workload.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkloadSettings {
    /// Seed.
    pub seed: u64,
    /// Number of requests.
    pub requests: usize,
    /// Mean arrivals per second.
    pub rate: f64,
    /// Number of concurrent sessions per kind.
    pub live_sessions: usize,
    /// Number of distinct shared prompt prefixes, such as service logs, per workspace and kind.
    pub shared_prompts: u64,
}

fn sample_tokens(rng: &mut Pcg64, median: f64) -> u64 {
    // A product of uniform factors approximates a log-normal distribution.
    let factor: f64 = (0..3).map(|_| rng.random_range(0.6..1.55)).product();
    (median * factor).round().max(1.0) as u64
}

/// Generates a workload.
///
/// # Panics
/// When the example plan has findings, for example because the working directory is not the
/// repository's root.
pub fn generate(profile: &WorkloadProfile, settings: &WorkloadSettings) -> Workload {
    let read = read_plan(Path::new(profile.plan));
    assert!(read.findings.is_empty(), "{:?}", read.findings);
    let mut plan = read.declaration;
    plan.rollouts.clear();
    plan.outages.clear();
    let demo: WorkspaceId = "demo".parse().expect("a valid id");
    plan.workspaces.remove(&demo);
    plan.targets.retain(|target| target.workspace != demo);
    for rule in plan.workspaces.values_mut() {
        rule.rate_per_s = 1e6;
        rule.burst = 1e6;
        rule.concurrency = 1_000_000;
    }
    let mut rng = Pcg64::seed_from_u64(settings.seed);
    let quality = generate_quality(&mut rng, profile, &plan);
    let requests = generate_requests(&mut rng, profile, settings, &plan);
    Workload {
        profile: profile.clone(),
        domains: plan.domains.keys().cloned().collect(),
        plan,
        requests,
        quality,
    }
}

fn generate_quality(
    rng: &mut Pcg64,
    profile: &WorkloadProfile,
    plan: &PlanDeclaration,
) -> Vec<(VersionId, Vec<f64>)> {
    let models = plan.versions.iter().filter(|(_, rule)| {
        let service = plan.services.get(&rule.service);
        service.is_some_and(|s| s.kind == ServiceKind::Model)
    });
    models
        .map(|(version, rule)| {
            let kinds = profile.kinds.iter().map(|kind| {
                let deviation = rng.random_range(-0.03..0.02);
                (rule.prior_quality + kind.quality_offset + deviation).clamp(0.05, 0.995)
            });
            (version.clone(), kinds.collect())
        })
        .collect()
}

fn generate_requests(
    rng: &mut Pcg64,
    profile: &WorkloadProfile,
    settings: &WorkloadSettings,
    plan: &PlanDeclaration,
) -> Vec<GeneratedRequest> {
    let workspaces: Vec<(&WorkspaceId, f64)> = plan
        .workspaces
        .iter()
        .map(|(id, rule)| (id, rule.weight))
        .collect();
    let mut at_s = 0.0;
    (0..settings.requests)
        .map(|number| {
            let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
            at_s += -uniform.ln() / settings.rate;
            let workspace = pick_weighted(rng, &workspaces).clone();
            let shares: Vec<(usize, f64)> = profile
                .kinds
                .iter()
                .map(|kind| kind.share)
                .enumerate()
                .collect();
            let kind_index = pick_weighted(rng, &shares);
            let kind = profile.kinds[kind_index];
            let input_tokens = sample_tokens(rng, kind.input_tokens);
            let session = (rng.random_range(0.0..1.0) < profile.session_share).then(|| {
                let slot = rng.random_range(0..settings.live_sessions);
                // Sessions end: every slot gets a new one after each 20 × `live_sessions` requests of the
                // workload.
                let generation = number / (settings.live_sessions * 20).max(1);
                format!("{}-{slot}-{generation}", kind.name)
            });
            let prompt = rng.random_range(0..settings.shared_prompts);
            let prefix_id = session
                .as_ref()
                .map_or(prompt, |s| chestnutloft_core::hash::key_hash(s.as_bytes()));
            GeneratedRequest {
                at_s,
                entry: rng.random_range(0..profile.entries),
                blocks: generate_blocks(rng, &workspace, kind_index, prefix_id, input_tokens),
                workspace,
                kind: kind.name.parse().expect("a valid id"),
                kind_index,
                session,
                input_tokens,
                output_tokens: sample_tokens(rng, kind.output_tokens),
                quality_sample: rng.random_range(0.0..1.0),
                confidence_sample: rng.random_range(0.0..1.0),
            }
        })
        .collect()
}

/// Picks an item with a probability proportional to its weight.
fn pick_weighted<T: Copy>(rng: &mut Pcg64, weighted: &[(T, f64)]) -> T {
    let sum: f64 = weighted.iter().map(|(_, weight)| weight).sum();
    let mut remaining = rng.random_range(0.0..sum);
    for (item, weight) in weighted {
        remaining -= weight;
        if remaining <= 0.0 {
            return *item;
        }
    }
    weighted[weighted.len() - 1].0
}

/// Block hashes of a prompt: the first 70% are common to all prompts with the same `prefix_id`, the
/// others are unique.
fn generate_blocks(
    rng: &mut Pcg64,
    workspace: &WorkspaceId,
    kind_index: usize,
    prefix_id: u64,
    input_tokens: u64,
) -> Vec<u64> {
    let count = input_tokens / 64;
    let unique_salt = rng.random::<u64>();
    (0..count)
        .map(|i| {
            let is_shared = i * 10 < count * 7;
            let salt = if is_shared { 0 } else { unique_salt };
            let text = format!("{workspace}/{kind_index}/{prefix_id}/{i}/{salt}");
            chestnutloft_core::hash::key_hash(text.as_bytes())
        })
        .collect()
}
