//! The experiments, each over the same draws for every policy.

use std::collections::HashMap;
use std::ops::Range;

use chestnutloft_core::ids::VersionId;
use chestnutloft_core::pipe::{EndpointPolicy, RouterSettings, VersionPolicy};
use chestnutloft_core::state::{LimitSettings, LimitVerdict, WorkspaceLimiter};
use chestnutloft_core::time::TimePoint;

use crate::day::{self, DayEvent, DayResult, DaySettings, RampPolicy, with_version_policy};
use crate::endpoint_model::EngineTimes;
use crate::oracle::{arm_cost, arm_quality, oracle_arm, target_of};
use crate::report::{FigureTable, SeedSpread, quantile_of};
use crate::workload::{DrawSettings, DrawnDay, UserShape, draw, kitamiya, piso_vivo};

/// How large the experiments are.
#[derive(Clone, Copy, Debug)]
pub struct ScenarioSize {
    /// Seeds.
    pub seeds: u64,
    /// Requests of a whole day.
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
/// Requests at the start of a day that are left out of quality: nothing is rated yet.
const MIN_CELL: usize = 50;

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

fn whole_day(shape: &UserShape, size: ScenarioSize, seed: u64) -> DrawnDay {
    days(shape, size, seed, 1)
}

fn days(shape: &UserShape, size: ScenarioSize, seed: u64, count: usize) -> DrawnDay {
    let settings = DrawSettings {
        seed,
        requests: size.day_requests * count,
        rate: size.day_requests as f64 / DAY_SECONDS,
        live_sessions: 200,
        shared_prompts: 40,
    };
    draw(shape, &settings)
}

fn slow_reports(router: RouterSettings) -> DaySettings {
    DaySettings {
        router,
        report_s: 120.0,
        ..DaySettings::default()
    }
}

/// Cost and quality of one day.
struct CostFigures {
    cost: f64,
    against_oracle: f64,
    under_target: f64,
}

/// Figures of the requests in `range`.
fn cost_figures(day: &DrawnDay, result: &DayResult, range: Range<usize>) -> CostFigures {
    let mut cells: HashMap<(String, usize), Vec<f64>> = HashMap::new();
    let mut cost = 0.0;
    let mut oracle = 0.0;
    let mut answered = 0.0;
    let drawn = &day.requests[range.clone()];
    for (drawn, seen) in drawn.iter().zip(&result.requests[range]) {
        let Some(arm) = &seen.arm else { continue };
        answered += 1.0;
        cost += arm_cost(day, arm, drawn);
        if let Some(best) = oracle_arm(day, drawn) {
            oracle += arm_cost(day, &best, drawn);
        }
        let key = (drawn.workspace.to_string(), drawn.kind_number);
        let surplus = arm_quality(day, arm, drawn.kind_number) - target_of(day, drawn);
        cells.entry(key).or_default().push(surplus);
    }
    let counted: Vec<&Vec<f64>> = cells.values().filter(|c| c.len() >= MIN_CELL).collect();
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

/// Cost at the quality target, on a first day without any rating and on the day after.
pub fn versions(size: ScenarioSize) -> FigureTable {
    let mut table = FigureTable::new(
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
    for shape in [kitamiya(), piso_vivo()] {
        for (name, policy) in VERSION_POLICIES {
            let figures = over_seeds(size.seeds, |seed| {
                let day = days(&shape, size, seed, 2);
                let settings = slow_reports(with_version_policy(policy));
                let result = day::run(&day, &settings, seed);
                let first = cost_figures(&day, &result, 0..count);
                let second = cost_figures(&day, &result, count..2 * count);
                (first, second)
            });
            table.row(vec![
                shape.name.to_owned(),
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

/// The version that answers most requests of a day.
fn busiest(result: &DayResult) -> Option<VersionId> {
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

/// Requests exposed to a version that turns bad.
///
/// # Panics
/// When a day has no answers at all.
pub fn exposure(size: ScenarioSize) -> FigureTable {
    let mut table = FigureTable::new(
        "The busiest version's quality drops to 0.5 at 30% of the day",
        &[
            "user",
            "ratings",
            "share of the day's requests exposed",
            "minutes to quarantine",
            "false quarantines",
        ],
    );
    let turn = DAY_SECONDS * 0.3;
    for shape in [kitamiya(), piso_vivo()] {
        for (name, share) in [("10% rated", 0.1), ("none rated", 0.0)] {
            let figures = over_seeds(size.seeds, |seed| {
                let day = whole_day(&shape, size, seed);
                let calm = DaySettings {
                    rating_share: share,
                    ..slow_reports(RouterSettings::default())
                };
                let bad = busiest(&day::run(&day, &calm, seed)).expect("some answers");
                let event = DayEvent::VersionTurnsBad(bad.clone(), 0.5);
                let settings = DaySettings {
                    events: vec![(turn, event)],
                    ..calm
                };
                let result = day::run(&day, &settings, seed);
                let exposed = day
                    .requests
                    .iter()
                    .zip(&result.requests)
                    .filter(|(drawn, _)| drawn.at_s >= turn)
                    .filter(|(_, seen)| seen.answered_by.as_ref() == Some(&bad))
                    .filter(|(drawn, _)| {
                        drawn.session.is_none() || !is_later(drawn.at_s, &result, &bad)
                    })
                    .count();
                let at = result
                    .quarantined
                    .iter()
                    .find(|(at, v)| *v == bad && *at >= turn);
                let wrong = result
                    .quarantined
                    .iter()
                    .filter(|(at, v)| *v != bad || *at < turn)
                    .count();
                (
                    exposed as f64 / day.requests.len() as f64,
                    at.map_or(f64::NAN, |(at, _)| (at - turn) / 60.0),
                    wrong as f64,
                )
            });
            table.row(vec![
                shape.name.to_owned(),
                name.to_owned(),
                SeedSpread::of(figures.iter().map(|f| f.0)).text(4),
                SeedSpread::of(figures.iter().map(|f| f.1)).text(1),
                SeedSpread::of(figures.iter().map(|f| f.2)).text(0),
            ]);
        }
    }
    table
}

/// Whether `at_s` lies after the quarantine of `version`: sessions stay on it by promise.
fn is_later(at_s: f64, result: &DayResult, version: &VersionId) -> bool {
    result
        .quarantined
        .iter()
        .any(|(at, quarantined)| quarantined == version && at_s > *at)
}

/// Requests per second that all endpoints together can serve.
fn capacity(shape: &UserShape, slots: u32) -> f64 {
    let times = EngineTimes::default();
    let factor = 1.0 + times.crowding;
    let mean_ms: f64 = shape
        .kinds
        .iter()
        .map(|kind| {
            // The cache holds about half of a prompt; the spread of lengths has a mean above its
            // median.
            let input = kind.input_tokens * 1.23 * 0.5;
            let output = kind.output_tokens * 1.23;
            let service = times.base_ms + input * times.read_ms + output * times.token_ms;
            kind.share * service * factor
        })
        .sum();
    shape.endpoints as f64 * f64::from(slots) / (mean_ms / 1e3)
}

fn loaded_day(shape: &UserShape, load: f64, requests: usize, seed: u64) -> DrawnDay {
    let slots = DaySettings::default().slots;
    let settings = DrawSettings {
        seed,
        requests,
        rate: capacity(shape, slots) * load,
        live_sessions: 60,
        shared_prompts: 12,
    };
    draw(shape, &settings)
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

/// First-token times by choice of endpoint.
pub fn endpoints(size: ScenarioSize) -> FigureTable {
    let mut table = FigureTable::new(
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
    for shape in [kitamiya(), piso_vivo()] {
        for (name, policy) in ENDPOINT_POLICIES {
            let results = over_seeds(size.seeds, |seed| {
                let day = loaded_day(&shape, 0.8, size.load_requests, seed);
                let settings = DaySettings {
                    router: endpoint_router(policy),
                    rating_share: 0.0,
                    slow: (shape.endpoints / 10, 2.0),
                    ..DaySettings::default()
                };
                day::run(&day, &settings, seed)
            });
            let firsts = |share: f64| {
                SeedSpread::of(results.iter().map(|result| {
                    let answered = result.requests.iter().filter(|r| r.arm.is_some());
                    quantile_of(answered.map(|r| r.first_ms), share)
                }))
            };
            let hits = SeedSpread::of(results.iter().map(|result| {
                let answered: Vec<f64> = result.requests.iter().map(|r| r.hit_share).collect();
                answered.iter().sum::<f64>() / answered.len() as f64
            }));
            let refused =
                SeedSpread::of(results.iter().map(|result| {
                    result.requests.iter().filter(|r| r.arm.is_none()).count() as f64
                }));
            table.row(vec![
                shape.name.to_owned(),
                name.to_owned(),
                firsts(0.5).text(0),
                firsts(0.95).text(0),
                firsts(0.99).text(0),
                hits.text(2),
                refused.text(0),
            ]);
        }
    }
    table
}

/// Service while a failure domain leaves and returns.
pub fn domains(size: ScenarioSize) -> FigureTable {
    let events = |day: &DrawnDay, length: f64| {
        let domain = day.domains[0].clone();
        vec![
            (length * 0.3, DayEvent::Drain(domain.clone())),
            (length * 0.6, DayEvent::Return(domain)),
        ]
    };
    let title = "A failure domain out and back cold, at 50% load";
    cold_ramps(size, title, 0.5, ("first token over 2 s", 2_000.0), events)
}

/// Every endpoint turns cold at once.
pub fn all_cold(size: ScenarioSize) -> FigureTable {
    let events = |_: &DrawnDay, length: f64| vec![(length * 0.3, DayEvent::AllCold)];
    let title = "Every endpoint restarts cold at once, at 40% load";
    let late = ("answered late (over 20 s)", 20_000.0);
    cold_ramps(size, title, 0.4, late, events)
}

/// Ramps of cold endpoints against each other, under the same events. `late` names and bounds the
/// first token, in milliseconds, that counts as late.
fn cold_ramps(
    size: ScenarioSize,
    title: &str,
    load: f64,
    late: (&str, f64),
    events: impl Fn(&DrawnDay, f64) -> Vec<(f64, DayEvent)> + Sync,
) -> FigureTable {
    let starts = "starts above what a cold endpoint bears";
    let mut table = FigureTable::new(title, &["user", "ramp", "refused", late.0, starts]);
    for shape in [kitamiya(), piso_vivo()] {
        for (name, ramp) in [
            ("on evidence", RampPolicy::Evidence),
            ("after 30 s", RampPolicy::TimeOnly(30)),
            ("none", RampPolicy::None),
        ] {
            let results = over_seeds(size.seeds, |seed| {
                let day = loaded_day(&shape, load, size.load_requests, seed);
                let length = day.requests.last().map_or(0.0, |last| last.at_s);
                let settings = DaySettings {
                    router: endpoint_router(EndpointPolicy::default()),
                    rating_share: 0.0,
                    ramp,
                    events: events(&day, length),
                    ..DaySettings::default()
                };
                day::run(&day, &settings, seed)
            });
            table.row(vec![
                shape.name.to_owned(),
                name.to_owned(),
                count(&results, |r| r.arm.is_none()).text(0),
                count(&results, |r| r.arm.is_some() && r.first_ms > late.1).text(0),
                SeedSpread::of(results.iter().map(|r| r.over_cold as f64)).text(0),
            ]);
        }
    }
    table
}

fn count(results: &[DayResult], is_counted: impl Fn(&day::RequestResult) -> bool) -> SeedSpread {
    SeedSpread::of(
        results
            .iter()
            .map(|result| result.requests.iter().filter(|r| is_counted(r)).count() as f64),
    )
}

/// Goodput under overload, and what is left of it afterwards.
pub fn overload(size: ScenarioSize) -> FigureTable {
    let mut table = FigureTable::new(
        "Overload, deadline 20 s",
        &[
            "user",
            "offered load",
            "answered in time, of capacity",
            "p99 first token of these, ms",
            "refused at once",
        ],
    );
    for shape in [kitamiya(), piso_vivo()] {
        for load in [2.0, 10.0] {
            let figures = over_seeds(size.seeds, |seed| {
                let requests = (size.load_requests as f64 * load / 2.0) as usize;
                let day = loaded_day(&shape, load, requests, seed);
                let mut router = endpoint_router(EndpointPolicy::default());
                router.endpoint.load_limit = 1.25;
                let settings = DaySettings {
                    router,
                    rating_share: 0.0,
                    deadline_s: 20.0,
                    ..DaySettings::default()
                };
                let result = day::run(&day, &settings, seed);
                let length = day.requests.last().map_or(1.0, |last| last.at_s);
                let in_time = |r: &&day::RequestResult| {
                    r.arm.is_some() && r.first_ms <= 20_000.0 && r.ended_s <= length
                };
                let good = result.requests.iter().filter(in_time).count() as f64;
                let refused = result
                    .requests
                    .iter()
                    .zip(&day.requests)
                    .filter(|(r, drawn)| r.arm.is_none() && r.ended_s - drawn.at_s < 0.1)
                    .count() as f64;
                let late = quantile_of(
                    result.requests.iter().filter(in_time).map(|r| r.first_ms),
                    0.99,
                );
                let full = capacity(&shape, settings.slots) * length;
                (good / full, late, refused / result.requests.len() as f64)
            });
            table.row(vec![
                shape.name.to_owned(),
                format!("{load:.0}×"),
                SeedSpread::of(figures.iter().map(|f| f.0)).text(2),
                SeedSpread::of(figures.iter().map(|f| f.1)).text(0),
                SeedSpread::of(figures.iter().map(|f| f.2)).text(2),
            ]);
        }
    }
    table
}

/// Requests let through around a window boundary, by kind of counter.
pub fn limits() -> FigureTable {
    let mut table = FigureTable::new(
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
        let mut meter = WorkspaceLimiter::default();
        times
            .iter()
            .filter(|at| {
                let now = TimePoint::from_micros((*at * 1e6) as u64);
                let verdict = meter.admit(now, &rule, 1, &LimitSettings::default());
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
        table.row(vec![name.to_owned(), burst.to_string(), long.to_string()]);
    }
    table
}
