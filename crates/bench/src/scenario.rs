//! The experiments. Within an experiment, all policies run on the same generated workloads.

use std::collections::HashMap;
use std::ops::Range;

use chestnutloft_core::ids::VersionId;
use chestnutloft_core::pipe::{EndpointPolicy, RouterSettings, VersionPolicy};
use chestnutloft_core::state::{LimitSettings, LimitVerdict, WorkspaceLimiter};
use chestnutloft_core::time::TimePoint;

use crate::endpoint_model::ServiceTimeParams;
use crate::oracle::{arm_cost, arm_quality, oracle_arm, target_of};
use crate::report::{MarkdownTable, SeedSpread, quantile_of};
use crate::simulation::{
    self, RampPolicy, SimulationEvent, SimulationResult, SimulationSettings, with_version_policy,
};
use crate::workload::{Workload, WorkloadProfile, WorkloadSettings, generate, kitamiya, piso_vivo};

/// Size of the experiments.
#[derive(Clone, Copy, Debug)]
pub struct ScenarioSize {
    /// Number of seeds.
    pub seeds: u64,
    /// Requests per simulated day.
    pub day_requests: usize,
    /// Requests of a run under load.
    pub load_requests: usize,
}

impl Default for ScenarioSize {
    fn default() -> Self {
        Self {
            seeds: 10,
            day_requests: 40_000,
            load_requests: 12_000,
        }
    }
}

const DAY_SECONDS: f64 = 86_400.0;
/// Minimum number of requests in a cell (workspace and kind) for it to count in the quality figures.
const MIN_CELL_REQUESTS: usize = 50;

/// Runs `run` for each seed, on all available cores.
fn over_seeds<T: Send>(seeds: u64, run: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let mut results: Vec<Option<T>> = (0..seeds).map(|_| None).collect();
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    for chunk in results.chunks_mut(threads).enumerate() {
        let (number, slots) = chunk;
        std::thread::scope(|scope| {
            for (offset, slot) in slots.iter_mut().enumerate() {
                let run = &run;
                let seed = (number * threads + offset) as u64;
                scope.spawn(move || *slot = Some(run(seed)));
            }
        });
    }
    results.into_iter().flatten().collect()
}

fn generate_day(profile: &WorkloadProfile, size: ScenarioSize, seed: u64) -> Workload {
    generate_days(profile, size, seed, 1)
}

fn generate_days(
    profile: &WorkloadProfile,
    size: ScenarioSize,
    seed: u64,
    count: usize,
) -> Workload {
    let settings = WorkloadSettings {
        seed,
        requests: size.day_requests * count,
        rate: size.day_requests as f64 / DAY_SECONDS,
        live_sessions: 200,
        shared_prompts: 40,
    };
    generate(profile, &settings)
}

/// Settings for whole simulated days, with announcements every 120 s.
fn daily_settings(router: RouterSettings) -> SimulationSettings {
    SimulationSettings {
        router,
        announce_interval_s: 120.0,
        ..SimulationSettings::default()
    }
}

/// Cost and quality of a range of requests.
struct CostFigures {
    /// Mean cost of an answer.
    cost: f64,
    /// Cost relative to the oracle's choices.
    against_oracle: f64,
    /// Share of requests in cells whose mean quality is more than 0.005 below the target.
    under_target: f64,
}

/// Computes the figures of the requests in `range`.
fn cost_figures(
    workload: &Workload,
    result: &SimulationResult,
    range: Range<usize>,
) -> CostFigures {
    let mut cells: HashMap<(String, usize), Vec<f64>> = HashMap::new();
    let mut cost = 0.0;
    let mut oracle = 0.0;
    let mut answered = 0.0;
    let requests = &workload.requests[range.clone()];
    for (request, outcome) in requests.iter().zip(&result.requests[range]) {
        let Some(arm) = &outcome.arm else { continue };
        answered += 1.0;
        cost += arm_cost(workload, arm, request);
        if let Some(best) = oracle_arm(workload, request) {
            oracle += arm_cost(workload, &best, request);
        }
        let key = (request.workspace.to_string(), request.kind_index);
        let quality_margin =
            arm_quality(workload, arm, request.kind_index) - target_of(workload, request);
        cells.entry(key).or_default().push(quality_margin);
    }
    let counted: Vec<&Vec<f64>> = cells
        .values()
        .filter(|c| c.len() >= MIN_CELL_REQUESTS)
        .collect();
    let total: usize = counted.iter().map(|cell| cell.len()).sum();
    let mean = |cell: &Vec<f64>| cell.iter().sum::<f64>() / cell.len() as f64;
    let under: usize = counted
        .iter()
        .filter(|cell| mean(cell) < -0.005)
        .map(|cell| cell.len())
        .sum();
    CostFigures {
        cost: cost / answered / 1e6,
        against_oracle: cost / oracle,
        under_target: under as f64 / total.max(1) as f64,
    }
}

const VERSION_POLICIES: [(&str, VersionPolicy); 4] = [
    ("least cost at target", VersionPolicy::LeastCostAtTarget),
    ("always best", VersionPolicy::AlwaysBest),
    ("always cheapest", VersionPolicy::AlwaysCheapest),
    ("fixed shares", VersionPolicy::FixedShares),
];

/// Cost at the quality target, on a first day that starts without ratings and on the next day.
pub fn versions(size: ScenarioSize) -> MarkdownTable {
    let mut table = MarkdownTable::new(
        "Cost at the quality target",
        &[
            "user",
            "policy",
            "first day against the oracle",
            "second day against the oracle",
            "second day, cost of an answer",
            "second day, requests in cells under target",
        ],
    );
    let count = size.day_requests;
    for profile in [kitamiya(), piso_vivo()] {
        for (name, policy) in VERSION_POLICIES {
            let figures = over_seeds(size.seeds, |seed| {
                let workload = generate_days(&profile, size, seed, 2);
                let settings = daily_settings(with_version_policy(policy));
                let result = simulation::run(&workload, &settings, seed);
                let first = cost_figures(&workload, &result, 0..count);
                let second = cost_figures(&workload, &result, count..2 * count);
                (first, second)
            });
            table.add_row(vec![
                profile.name.to_owned(),
                name.to_owned(),
                SeedSpread::of(figures.iter().map(|f| f.0.against_oracle)).text(3),
                SeedSpread::of(figures.iter().map(|f| f.1.against_oracle)).text(3),
                SeedSpread::of(figures.iter().map(|f| f.1.cost)).text(3),
                SeedSpread::of(figures.iter().map(|f| f.1.under_target)).text(3),
            ]);
        }
    }
    table
}

/// The version that answered the most requests.
fn busiest_version(result: &SimulationResult) -> Option<VersionId> {
    let mut counts: HashMap<&VersionId, usize> = HashMap::new();
    for version in result
        .requests
        .iter()
        .filter_map(|r| r.answered_by.as_ref())
    {
        *counts.entry(version).or_default() += 1;
    }
    counts
        .into_iter()
        .max_by_key(|(_, count)| *count)
        .map(|(v, _)| v.clone())
}

/// Exposure of requests to a version whose quality drops.
///
/// # Panics
/// When a run has no answers.
pub fn exposure(size: ScenarioSize) -> MarkdownTable {
    let mut table = MarkdownTable::new(
        "The busiest version's quality drops to 0.5 at 30% of the day",
        &[
            "user",
            "ratings",
            "share of the day's requests exposed",
            "minutes to quarantine",
            "false quarantines",
        ],
    );
    let drop_at_s = DAY_SECONDS * 0.3;
    for profile in [kitamiya(), piso_vivo()] {
        for (name, share) in [("10% rated", 0.1), ("none rated", 0.0)] {
            let figures = over_seeds(size.seeds, |seed| {
                let workload = generate_day(&profile, size, seed);
                let undisturbed = SimulationSettings {
                    rating_share: share,
                    ..daily_settings(RouterSettings::default())
                };
                let degraded = busiest_version(&simulation::run(&workload, &undisturbed, seed))
                    .expect("some answers");
                let event = SimulationEvent::VersionDegrades(degraded.clone(), 0.5);
                let settings = SimulationSettings {
                    events: vec![(drop_at_s, event)],
                    ..undisturbed
                };
                let result = simulation::run(&workload, &settings, seed);
                let exposed = workload
                    .requests
                    .iter()
                    .zip(&result.requests)
                    .filter(|(request, _)| request.at_s >= drop_at_s)
                    .filter(|(_, outcome)| outcome.answered_by.as_ref() == Some(&degraded))
                    .filter(|(request, _)| {
                        request.session.is_none()
                            || !is_after_quarantine(request.at_s, &result, &degraded)
                    })
                    .count();
                let at = result
                    .quarantined
                    .iter()
                    .find(|(at, v)| *v == degraded && *at >= drop_at_s);
                let false_quarantines = result
                    .quarantined
                    .iter()
                    .filter(|(at, v)| *v != degraded || *at < drop_at_s)
                    .count();
                (
                    exposed as f64 / workload.requests.len() as f64,
                    at.map_or(f64::NAN, |(at, _)| (at - drop_at_s) / 60.0),
                    false_quarantines as f64,
                )
            });
            table.add_row(vec![
                profile.name.to_owned(),
                name.to_owned(),
                SeedSpread::of(figures.iter().map(|f| f.0)).text(4),
                SeedSpread::of(figures.iter().map(|f| f.1)).text(1),
                SeedSpread::of(figures.iter().map(|f| f.2)).text(0),
            ]);
        }
    }
    table
}

/// Whether `at_s` lies after the quarantine of `version`. Sessions stay on their version, so their
/// requests after the quarantine do not count as exposed.
fn is_after_quarantine(at_s: f64, result: &SimulationResult, version: &VersionId) -> bool {
    result
        .quarantined
        .iter()
        .any(|(at, quarantined)| quarantined == version && at_s > *at)
}

/// Estimated number of requests per second that all endpoints together can serve.
fn capacity(profile: &WorkloadProfile, slots: u32) -> f64 {
    let times = ServiceTimeParams::default();
    let factor = 1.0 + times.contention;
    let mean_ms: f64 = profile
        .kinds
        .iter()
        .map(|kind| {
            // About half of a prompt is cached; the mean of the token counts is 1.23 times their
            // median.
            let input = kind.input_tokens * 1.23 * 0.5;
            let output = kind.output_tokens * 1.23;
            let service = times.base_ms + input * times.prefill_token_ms + output * times.token_ms;
            kind.share * service * factor
        })
        .sum();
    profile.endpoints as f64 * f64::from(slots) / (mean_ms / 1e3)
}

/// A workload with `load` times the arrival rate that the endpoints can serve.
fn generate_load(profile: &WorkloadProfile, load: f64, requests: usize, seed: u64) -> Workload {
    let slots = SimulationSettings::default().slots;
    let settings = WorkloadSettings {
        seed,
        requests,
        rate: capacity(profile, slots) * load,
        live_sessions: 60,
        shared_prompts: 12,
    };
    generate(profile, &settings)
}

fn endpoint_router(policy: EndpointPolicy) -> RouterSettings {
    let mut router = with_version_policy(VersionPolicy::AlwaysBest);
    router.endpoint.policy = policy;
    router
}

const ENDPOINT_POLICIES: [(&str, EndpointPolicy); 4] = [
    ("least expected wait", EndpointPolicy::LeastExpectedWait),
    ("two random choices", EndpointPolicy::TwoChoices),
    ("least in flight", EndpointPolicy::LeastInFlight),
    ("round robin", EndpointPolicy::RoundRobin),
];

/// Time to first token by endpoint selection policy.
pub fn endpoints(size: ScenarioSize) -> MarkdownTable {
    let mut table = MarkdownTable::new(
        "First token at 80% load, one endpoint in ten twice as slow",
        &[
            "user",
            "policy",
            "p50 ms",
            "p95 ms",
            "p99 ms",
            "prompt cached",
            "refused",
        ],
    );
    for profile in [kitamiya(), piso_vivo()] {
        for (name, policy) in ENDPOINT_POLICIES {
            let results = over_seeds(size.seeds, |seed| {
                let workload = generate_load(&profile, 0.8, size.load_requests, seed);
                let settings = SimulationSettings {
                    router: endpoint_router(policy),
                    rating_share: 0.0,
                    slow_endpoints: (profile.endpoints / 10, 2.0),
                    ..SimulationSettings::default()
                };
                simulation::run(&workload, &settings, seed)
            });
            let first_token_quantile = |share: f64| {
                SeedSpread::of(results.iter().map(|result| {
                    let answered = result.requests.iter().filter(|r| r.arm.is_some());
                    quantile_of(answered.map(|r| r.first_token_ms), share)
                }))
            };
            let cached_shares = SeedSpread::of(results.iter().map(|result| {
                let answered: Vec<f64> = result.requests.iter().map(|r| r.cached_share).collect();
                answered.iter().sum::<f64>() / answered.len() as f64
            }));
            let refused =
                SeedSpread::of(results.iter().map(|result| {
                    result.requests.iter().filter(|r| r.arm.is_none()).count() as f64
                }));
            table.add_row(vec![
                profile.name.to_owned(),
                name.to_owned(),
                first_token_quantile(0.5).text(0),
                first_token_quantile(0.95).text(0),
                first_token_quantile(0.99).text(0),
                cached_shares.text(2),
                refused.text(0),
            ]);
        }
    }
    table
}

/// Service quality while a failure domain is drained and returns cold.
pub fn domains(size: ScenarioSize) -> MarkdownTable {
    let events = |workload: &Workload, duration_s: f64| {
        let domain = workload.domains[0].clone();
        vec![
            (
                duration_s * 0.3,
                SimulationEvent::DrainDomain(domain.clone()),
            ),
            (duration_s * 0.6, SimulationEvent::ReturnDomain(domain)),
        ]
    };
    let title = "A failure domain out and back cold, at 50% load";
    cold_ramps(size, title, 0.5, ("first token over 2 s", 2_000.0), events)
}

/// Service quality after all endpoints restart cold at once.
pub fn all_cold(size: ScenarioSize) -> MarkdownTable {
    let events =
        |_: &Workload, duration_s: f64| vec![(duration_s * 0.3, SimulationEvent::RestartAllCold)];
    let title = "Every endpoint restarts cold at once, at 40% load";
    let late = ("answered late (over 20 s)", 20_000.0);
    cold_ramps(size, title, 0.4, late, events)
}

/// Compares the ramp policies of cold endpoints under the same events. `late` is a column heading and
/// the time to first token, in milliseconds, above which an answer counts as late.
fn cold_ramps(
    size: ScenarioSize,
    title: &str,
    load: f64,
    late: (&str, f64),
    events: impl Fn(&Workload, f64) -> Vec<(f64, SimulationEvent)> + Sync,
) -> MarkdownTable {
    let over_limit_heading = "starts above what a cold endpoint bears";
    let mut table = MarkdownTable::new(
        title,
        &["user", "ramp", "refused", late.0, over_limit_heading],
    );
    for profile in [kitamiya(), piso_vivo()] {
        for (name, ramp) in [
            ("on evidence", RampPolicy::Evidence),
            ("after 30 s", RampPolicy::TimeOnly(30)),
            ("none", RampPolicy::None),
        ] {
            let results = over_seeds(size.seeds, |seed| {
                let workload = generate_load(&profile, load, size.load_requests, seed);
                let duration_s = workload.requests.last().map_or(0.0, |last| last.at_s);
                let settings = SimulationSettings {
                    router: endpoint_router(EndpointPolicy::default()),
                    rating_share: 0.0,
                    ramp,
                    events: events(&workload, duration_s),
                    ..SimulationSettings::default()
                };
                simulation::run(&workload, &settings, seed)
            });
            table.add_row(vec![
                profile.name.to_owned(),
                name.to_owned(),
                count(&results, |r| r.arm.is_none()).text(0),
                count(&results, |r| r.arm.is_some() && r.first_token_ms > late.1).text(0),
                SeedSpread::of(results.iter().map(|r| r.starts_over_cold_limit as f64)).text(0),
            ]);
        }
    }
    table
}

/// Number of requests per run that satisfy `is_counted`.
fn count(
    results: &[SimulationResult],
    is_counted: impl Fn(&simulation::RequestResult) -> bool,
) -> SeedSpread {
    SeedSpread::of(
        results
            .iter()
            .map(|result| result.requests.iter().filter(|r| is_counted(r)).count() as f64),
    )
}

/// Goodput and refusals under overload.
pub fn overload(size: ScenarioSize) -> MarkdownTable {
    let mut table = MarkdownTable::new(
        "Overload, deadline 20 s",
        &[
            "user",
            "offered load",
            "answered in time, of capacity",
            "p99 first token of these, ms",
            "refused at once",
        ],
    );
    for profile in [kitamiya(), piso_vivo()] {
        for load in [2.0, 10.0] {
            let figures = over_seeds(size.seeds, |seed| {
                let requests = (size.load_requests as f64 * load / 2.0) as usize;
                let workload = generate_load(&profile, load, requests, seed);
                let mut router = endpoint_router(EndpointPolicy::default());
                router.endpoint.load_limit = 1.25;
                let settings = SimulationSettings {
                    router,
                    rating_share: 0.0,
                    deadline_s: 20.0,
                    ..SimulationSettings::default()
                };
                let result = simulation::run(&workload, &settings, seed);
                let duration_s = workload.requests.last().map_or(1.0, |last| last.at_s);
                let in_time = |r: &&simulation::RequestResult| {
                    r.arm.is_some() && r.first_token_ms <= 20_000.0 && r.ended_at_s <= duration_s
                };
                let in_time_count = result.requests.iter().filter(in_time).count() as f64;
                let refused = result
                    .requests
                    .iter()
                    .zip(&workload.requests)
                    .filter(|(r, request)| r.arm.is_none() && r.ended_at_s - request.at_s < 0.1)
                    .count() as f64;
                let p99_first_token_ms = quantile_of(
                    result
                        .requests
                        .iter()
                        .filter(in_time)
                        .map(|r| r.first_token_ms),
                    0.99,
                );
                let max_answers = capacity(&profile, settings.slots) * duration_s;
                (
                    in_time_count / max_answers,
                    p99_first_token_ms,
                    refused / result.requests.len() as f64,
                )
            });
            table.add_row(vec![
                profile.name.to_owned(),
                format!("{load:.0}×"),
                SeedSpread::of(figures.iter().map(|f| f.0)).text(2),
                SeedSpread::of(figures.iter().map(|f| f.1)).text(0),
                SeedSpread::of(figures.iter().map(|f| f.2)).text(2),
            ]);
        }
    }
    table
}

/// Requests admitted around a window boundary and in the long run, by type of rate limiter.
pub fn limits() -> MarkdownTable {
    let mut table = MarkdownTable::new(
        "A burst across the boundary of a 1 s window, limit 100 requests/s with a burst of 100",
        &[
            "counter",
            "let through within 100 ms",
            "let through in 10 s of steady excess",
        ],
    );
    let rule = chestnutloft_core::plan::WorkspaceRule {
        rate_per_s: 100.0,
        burst: 100.0,
        concurrency: u32::MAX,
        ..Default::default()
    };
    let mut decaying = |times: &[f64]| {
        let mut limiter = WorkspaceLimiter::default();
        times
            .iter()
            .filter(|at| {
                let now = TimePoint::from_micros((*at * 1e6) as u64);
                let verdict = limiter.admit(now, &rule, 1, &LimitSettings::default());
                verdict == LimitVerdict::Within
            })
            .count()
    };
    let mut fixed = |times: &[f64]| {
        let mut window = u64::MAX;
        let mut used = 0;
        times
            .iter()
            .filter(|at| {
                let current = **at as u64;
                if current != window {
                    window = current;
                    used = 0;
                }
                used += 1;
                used <= 100
            })
            .count()
    };
    let boundary: Vec<f64> = (0..400).map(|i| 0.95 + f64::from(i) * 0.000_25).collect();
    let steady: Vec<f64> = (0..5_000).map(|i| f64::from(i) * 0.002).collect();
    for (name, counter) in [
        ("decaying", &mut decaying as &mut dyn FnMut(&[f64]) -> usize),
        ("fixed window", &mut fixed),
    ] {
        let burst = counter(&boundary);
        let long = counter(&steady);
        table.add_row(vec![name.to_owned(), burst.to_string(), long.to_string()]);
    }
    table
}
