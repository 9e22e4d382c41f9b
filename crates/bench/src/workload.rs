//! Requests of a day, drawn from a seed in the shape of both users.

use std::path::Path;

use chestnutloft_core::ids::{DomainId, KindId, VersionId, WorkspaceId};
use chestnutloft_core::plan::{PlanDeclaration, ServiceKind};
use chestnutloft_plan::read_plan;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64;

/// Shape of one kind of request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KindShape {
    /// Name.
    pub name: &'static str,
    /// Share of requests.
    pub share: f64,
    /// Median prompt tokens.
    pub input_tokens: f64,
    /// Median generated tokens.
    pub output_tokens: f64,
    /// What a version's quality is above its declared quality for this kind.
    pub ease: f64,
}

impl KindShape {
    /// A kind with its share, median tokens and ease.
    fn new(
        name: &'static str,
        share: f64,
        input_tokens: f64,
        output_tokens: f64,
        ease: f64,
    ) -> Self {
        Self {
            name,
            share,
            input_tokens,
            output_tokens,
            ease,
        }
    }
}

/// Shape of one user's day.
#[derive(Clone, Debug, PartialEq)]
pub struct UserShape {
    /// Name.
    pub name: &'static str,
    /// Folder of its example plan, from the repository's root.
    pub plan: &'static str,
    /// Kinds of requests.
    pub kinds: Vec<KindShape>,
    /// Model endpoints.
    pub endpoints: usize,
    /// Entries.
    pub entries: usize,
    /// Share of requests that belong to a session.
    pub session_share: f64,
}

/// Chain Care: many quick questions, long diagnoses, ten workers.
pub fn kitamiya() -> UserShape {
    UserShape {
        name: "Kitamiya",
        plan: "examples/kitamiya",
        kinds: vec![
            KindShape::new("diagnosis", 0.2, 3_000.0, 400.0, -0.01),
            KindShape::new("careplan", 0.2, 800.0, 300.0, 0.0),
            KindShape::new("quick", 0.6, 150.0, 80.0, 0.06),
        ],
        endpoints: 10,
        entries: 7,
        session_share: 0.35,
    }
}

/// Heritage floors: long dossiers, estimates, quick crack classifications, twenty workers.
pub fn piso_vivo() -> UserShape {
    UserShape {
        name: "Piso Vivo",
        plan: "examples/piso-vivo",
        kinds: vec![
            KindShape::new("dossier", 0.15, 4_000.0, 1_200.0, 0.0),
            KindShape::new("estimate", 0.35, 1_000.0, 350.0, 0.0),
            KindShape::new("crack", 0.5, 300.0, 60.0, 0.06),
        ],
        endpoints: 20,
        entries: 8,
        session_share: 0.2,
    }
}

/// One request of the day.
#[derive(Clone, Debug)]
pub struct DrawnRequest {
    /// When it comes, in seconds.
    pub at_s: f64,
    /// Entry that the balancer chooses.
    pub entry: usize,
    /// Workspace.
    pub workspace: WorkspaceId,
    /// Kind.
    pub kind: KindId,
    /// Position of the kind in the shape.
    pub kind_number: usize,
    /// Session, if any.
    pub session: Option<String>,
    /// Prompt tokens.
    pub input_tokens: u64,
    /// Generated tokens.
    pub output_tokens: u64,
    /// Blocks of the prompt.
    pub blocks: Vec<u64>,
    /// Point between 0 and 1 that decides whether the answer is good.
    pub luck: f64,
    /// Point between 0 and 1 that decides whether the cheap step is confident.
    pub confidence: f64,
}

/// A user's day.
#[derive(Clone, Debug)]
pub struct DrawnDay {
    /// Shape.
    pub shape: UserShape,
    /// Plan, without roll-outs and outages.
    pub plan: PlanDeclaration,
    /// Requests, in order.
    pub requests: Vec<DrawnRequest>,
    /// True quality of each version for each kind.
    pub quality: Vec<(VersionId, Vec<f64>)>,
    /// Failure domains.
    pub domains: Vec<DomainId>,
}

impl DrawnDay {
    /// True quality of `version` for kind number `kind`.
    pub fn true_quality(&self, version: &VersionId, kind: usize) -> f64 {
        let found = self.quality.iter().find(|(id, _)| id == version);
        found.map_or(0.0, |(_, kinds)| kinds[kind])
    }
}

/// How a day is drawn.
#[derive(Clone, Debug, PartialEq)]
pub struct DrawSettings {
    /// Seed.
    pub seed: u64,
    /// Requests.
    pub requests: usize,
    /// Mean requests per second.
    pub rate: f64,
    /// Distinct sessions that are alive at a time.
    pub live_sessions: usize,
    /// Distinct long prompts of each workspace and kind, such as service logs.
    pub shared_prompts: u64,
}

fn spread(rng: &mut Pcg64, median: f64) -> u64 {
    // The product of uniform factors stands in for a log-normal spread.
    let factor: f64 = (0..3).map(|_| rng.random_range(0.6..1.55)).product();
    (median * factor).round().max(1.0) as u64
}

/// Draws a day.
///
/// # Panics
/// When the example plan has findings: the bench is run from the repository's root.
pub fn draw(shape: &UserShape, settings: &DrawSettings) -> DrawnDay {
    let read = read_plan(Path::new(shape.plan));
    assert!(read.findings.is_empty(), "{:?}", read.findings);
    let mut plan = read.declaration;
    plan.rollouts.clear();
    plan.outages.clear();
    let demo: WorkspaceId = "demo".parse().expect("an id");
    plan.workspaces.remove(&demo);
    plan.targets.retain(|target| target.workspace != demo);
    for rule in plan.workspaces.values_mut() {
        rule.rate_per_s = 1e6;
        rule.burst = 1e6;
        rule.concurrency = 1_000_000;
    }
    let mut rng = Pcg64::seed_from_u64(settings.seed);
    let quality = draw_quality(&mut rng, shape, &plan);
    let requests = draw_requests(&mut rng, shape, settings, &plan);
    DrawnDay {
        shape: shape.clone(),
        domains: plan.domains.keys().cloned().collect(),
        plan,
        requests,
        quality,
    }
}

fn draw_quality(
    rng: &mut Pcg64,
    shape: &UserShape,
    plan: &PlanDeclaration,
) -> Vec<(VersionId, Vec<f64>)> {
    let models = plan.versions.iter().filter(|(_, rule)| {
        let service = plan.services.get(&rule.service);
        service.is_some_and(|s| s.kind == ServiceKind::Model)
    });
    models
        .map(|(version, rule)| {
            let kinds = shape.kinds.iter().map(|kind| {
                let error = rng.random_range(-0.03..0.02);
                (rule.prior_quality + kind.ease + error).clamp(0.05, 0.995)
            });
            (version.clone(), kinds.collect())
        })
        .collect()
}

fn draw_requests(
    rng: &mut Pcg64,
    shape: &UserShape,
    settings: &DrawSettings,
    plan: &PlanDeclaration,
) -> Vec<DrawnRequest> {
    let workspaces: Vec<(&WorkspaceId, f64)> = plan
        .workspaces
        .iter()
        .map(|(id, rule)| (id, rule.weight))
        .collect();
    let mut at_s = 0.0;
    (0..settings.requests)
        .map(|number| {
            let wait: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
            at_s += -wait.ln() / settings.rate;
            let workspace = pick(rng, &workspaces).clone();
            let shares: Vec<(usize, f64)> = shape
                .kinds
                .iter()
                .map(|kind| kind.share)
                .enumerate()
                .collect();
            let kind_number = pick(rng, &shares);
            let kind = shape.kinds[kind_number];
            let input_tokens = spread(rng, kind.input_tokens);
            let session = (rng.random_range(0.0..1.0) < shape.session_share).then(|| {
                let slot = rng.random_range(0..settings.live_sessions);
                // Sessions end and others take their place.
                let generation = number / (settings.live_sessions * 20).max(1);
                format!("{}-{slot}-{generation}", kind.name)
            });
            let prompt = rng.random_range(0..settings.shared_prompts);
            let family = session
                .as_ref()
                .map_or(prompt, |s| chestnutloft_core::hash::key_hash(s.as_bytes()));
            DrawnRequest {
                at_s,
                entry: rng.random_range(0..shape.entries),
                blocks: draw_blocks(rng, &workspace, kind_number, family, input_tokens),
                workspace,
                kind: kind.name.parse().expect("an id"),
                kind_number,
                session,
                input_tokens,
                output_tokens: spread(rng, kind.output_tokens),
                luck: rng.random_range(0.0..1.0),
                confidence: rng.random_range(0.0..1.0),
            }
        })
        .collect()
}

fn pick<T: Copy>(rng: &mut Pcg64, weighted: &[(T, f64)]) -> T {
    let sum: f64 = weighted.iter().map(|(_, weight)| weight).sum();
    let mut point = rng.random_range(0.0..sum);
    for (item, weight) in weighted {
        point -= weight;
        if point <= 0.0 {
            return *item;
        }
    }
    weighted[weighted.len() - 1].0
}

/// Blocks of a prompt: the first seven tenths are shared by its family, the rest are its own.
fn draw_blocks(
    rng: &mut Pcg64,
    workspace: &WorkspaceId,
    kind: usize,
    family: u64,
    input_tokens: u64,
) -> Vec<u64> {
    let count = input_tokens / 64;
    let own = rng.random::<u64>();
    (0..count)
        .map(|i| {
            let is_shared = i * 10 < count * 7;
            let salt = if is_shared { 0 } else { own };
            let text = format!("{workspace}/{kind}/{family}/{i}/{salt}");
            chestnutloft_core::hash::key_hash(text.as_bytes())
        })
        .collect()
}
