//! The choice of an endpoint by expected time, played against loads on endpoints of unlike speed.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use chestnutloft_core::routing::{
    EndpointCandidate, ModelLane, PlacementRequest, PlacementSettings, TimedCandidate,
    TimedPlacementSettings, TimedRequest, UsageSum, select_by_time, select_endpoint,
};

fn candidate(id: &str) -> TimedCandidate<'_> {
    TimedCandidate {
        id,
        is_remote: false,
        usage: UsageSum::default(),
        slots: 12.0,
        wait_ms: 0.0,
        pace: 1.0,
        is_recovering: false,
        has_prefix: false,
    }
}

fn request(call_hash: u64) -> TimedRequest {
    TimedRequest {
        call_hash,
        suffix_ms: 100.0,
        max_pause_ms: 1_200.0,
        ..TimedRequest::default()
    }
}

fn select(request: &TimedRequest, candidates: &[TimedCandidate<'_>]) -> usize {
    let settings = TimedPlacementSettings::default();
    let selection = select_by_time(&settings, request, candidates);
    selection.expect("there are candidates")
}

/// Guards against many entries that read the same figures and all choose the same endpoint.
#[test]
fn equal_endpoints_are_chosen_about_equally_often() {
    let ids: Vec<String> = (0..90).map(|index| format!("endpoint-{index}")).collect();
    let candidates: Vec<_> = ids.iter().map(|id| candidate(id)).collect();
    let mut chosen = vec![0_u32; candidates.len()];

    for call in 0..9_000 {
        chosen[select(&request(call), &candidates)] += 1;
    }

    let most = chosen.iter().max().copied().unwrap_or_default();
    assert!(most < 200, "busiest endpoint: {most} calls, mean: 100");
}

/// Guards against prompts that are processed again although an endpoint has most of them cached.
#[test]
fn prefix_goes_to_the_endpoint_that_keeps_it() {
    let request = TimedRequest {
        prefix_ms: 200.0,
        ..request(5)
    };
    let holder = TimedCandidate {
        has_prefix: true,
        ..candidate("b")
    };

    let chosen = select(&request, &[candidate("a"), holder, candidate("c")]);

    assert_eq!(chosen, 1);
}

/// Guards against calls that wait behind others for a prefix that takes less time to process again.
#[test]
fn busy_or_slow_owner_of_a_prefix_is_passed_over() {
    let request = TimedRequest {
        prefix_ms: 200.0,
        ..request(5)
    };
    let waiting = TimedCandidate {
        wait_ms: 600.0,
        has_prefix: true,
        ..candidate("owner")
    };
    let slow = TimedCandidate {
        pace: 5.0,
        has_prefix: true,
        ..candidate("owner")
    };

    for owner in [waiting, slow] {
        let chosen = select(&request, &[owner, candidate("other")]);
        assert_eq!(chosen, 1);
    }
}

/// Guards against a long prompt that stops the streams of an endpoint for longer than their callers
/// accept, although another endpoint has none.
#[test]
fn long_prompt_avoids_endpoints_with_many_streams() {
    let streaming = TimedCandidate {
        usage: UsageSum {
            calls: 8.0,
            ..UsageSum::default()
        },
        ..candidate("streaming")
    };
    let waiting = TimedCandidate {
        wait_ms: 200.0,
        ..candidate("waiting")
    };
    let long = TimedRequest {
        suffix_ms: 2_000.0,
        ..request(5)
    };

    assert_eq!(select(&long, &[streaming, waiting]), 1);
}

const ENDPOINTS: usize = 90;
const NOISE_MS: f64 = 600.0;
const CALLS: usize = 20_000;
/// Mean time between calls: the endpoints are busy for half of the time.
const INTERVAL_MS: f64 = 2.6;
/// Age of what entries know of each other's calls.
const VIEW_AGE_MS: f64 = 20.0;
/// Age of readings of pace.
const READING_AGE_MS: f64 = 250.0;

/// An endpoint that processes prompts one after the other.
struct SlowEndpoint {
    id: String,
    speed: f64,
    noise_seed: u64,
    busy_until_ms: f64,
    seen_busy_until_ms: f64,
}

impl SlowEndpoint {
    /// 15% of the endpoints are 2.5 times slower at any moment.
    fn pace(&self, now_ms: f64) -> f64 {
        let span = (now_ms.max(0.0) / NOISE_MS) as u64;
        let mut rng = Pcg64::seed_from_u64(self.noise_seed ^ span.wrapping_mul(0x9e37_79b9));
        let noise = if rng.random_bool(0.15) { 2.5 } else { 1.0 };
        self.speed * noise
    }
}

fn endpoints() -> Vec<SlowEndpoint> {
    let endpoint = |index: usize| SlowEndpoint {
        id: format!("endpoint-{index}"),
        speed: [0.7, 0.7, 1.7][index % 3],
        noise_seed: index as u64 * 7_919,
        busy_until_ms: 0.0,
        seen_busy_until_ms: 0.0,
    };
    (0..ENDPOINTS).map(endpoint).collect()
}

/// Plays calls of 100 to 400 ms of work and returns the times until their prompts were processed,
/// sorted.
fn play(choose: impl Fn(f64, u64, f64, &[SlowEndpoint]) -> usize) -> Vec<f64> {
    let mut rng = Pcg64::seed_from_u64(1);
    let mut endpoints = endpoints();
    let (mut now_ms, mut seen_at_ms) = (0.0, 0.0);
    let mut times = Vec::new();
    for call in 0..CALLS {
        now_ms += -rng.random::<f64>().max(1e-9).ln() * INTERVAL_MS;
        if now_ms - seen_at_ms >= VIEW_AGE_MS {
            seen_at_ms = now_ms;
            for endpoint in &mut endpoints {
                endpoint.seen_busy_until_ms = endpoint.busy_until_ms;
            }
        }
        let work_ms = rng.random_range(30.0..150.0);
        let chosen = choose(now_ms, call as u64, work_ms, &endpoints);
        let endpoint = &mut endpoints[chosen];
        let started_ms = endpoint.busy_until_ms.max(now_ms);
        endpoint.busy_until_ms = started_ms + work_ms * endpoint.pace(started_ms);
        times.push(endpoint.busy_until_ms - now_ms);
    }
    times.sort_by(f64::total_cmp);
    times
}

fn by_time(now_ms: f64, call: u64, work_ms: f64, endpoints: &[SlowEndpoint]) -> usize {
    let candidates: Vec<TimedCandidate<'_>> = endpoints
        .iter()
        .map(|endpoint| {
            let pace = endpoint.pace(now_ms - READING_AGE_MS);
            TimedCandidate {
                wait_ms: (endpoint.seen_busy_until_ms - now_ms).max(0.0) / pace,
                pace,
                ..candidate(&endpoint.id)
            }
        })
        .collect();
    let request = TimedRequest {
        suffix_ms: work_ms,
        ..request(call)
    };
    select(&request, &candidates)
}

fn by_pending_work(now_ms: f64, _call: u64, work_ms: f64, endpoints: &[SlowEndpoint]) -> usize {
    let candidates: Vec<EndpointCandidate<'_>> = endpoints
        .iter()
        .map(|endpoint| EndpointCandidate {
            id: &endpoint.id,
            domain: "north",
            load: 0.0,
            slots: 24.0,
            wait_ms: (endpoint.seen_busy_until_ms - now_ms).max(0.0),
            slowdown: 1.0,
            is_recovering: false,
        })
        .collect();
    let request = PlacementRequest {
        domain: "north",
        suffix_ms: work_ms,
        lane: ModelLane::Any,
        ..PlacementRequest::default()
    };
    let selected = select_endpoint(&PlacementSettings::default(), &request, &candidates);
    selected.expect("there are candidates").index
}

/// Guards against placement that takes endpoints of three speeds, whose machines are shared with
/// other work, for equal. Equal work, the same calls: the choice by pending work alone is the
/// reference.
#[test]
fn callers_wait_less_when_pace_is_known() {
    let reference = play(by_pending_work);
    let timed = play(by_time);

    let p99 = |times: &[f64]| times[times.len() * 99 / 100];
    let in_time = |times: &[f64]| times.iter().filter(|time| **time <= 300.0).count();
    assert!(
        p99(&timed) < p99(&reference) * 0.7,
        "p99 {:.0} ms, reference {:.0} ms",
        p99(&timed),
        p99(&reference)
    );
    assert!(in_time(&timed) > in_time(&reference));
}

/// Calls at each of 90 endpoints after `calls` short ones that do not end, and the calls at the
/// endpoint that a long prompt then gets.
fn fill(calls: u64) -> (Vec<f64>, f64) {
    let ids: Vec<String> = (0..90).map(|index| format!("endpoint-{index}")).collect();
    let mut candidates: Vec<_> = ids.iter().map(|id| candidate(id)).collect();
    for call in 0..calls {
        let chosen = select(&request(call), &candidates);
        candidates[chosen].usage.calls += 1.0;
    }
    let mut long = request(calls);
    long.suffix_ms = 2_000.0;
    let of_long = candidates[select(&long, &candidates)].usage.calls;
    let counts = candidates.iter().map(|candidate| candidate.usage.calls);
    (counts.collect(), of_long)
}

/// Guards against long prompts that stop the streams of short calls since each endpoint has some, and
/// against short calls that wait for a slot while endpoints for long prompts have free ones.
#[test]
fn short_calls_leave_endpoints_free_for_long_prompts_until_the_pool_is_full() {
    let (calls, of_long) = fill(270);
    let (full, _) = fill(1_080);

    assert!(
        calls.iter().filter(|calls| **calls < 1.0).count() >= 9,
        "{calls:?}"
    );
    assert!(of_long < 1.0, "{of_long}");
    assert!(full.iter().all(|calls| *calls >= 10.0), "{full:?}");
}

/// Guards against the same where the other endpoints have capacity, but not much.
#[test]
fn half_full_pool_leaves_endpoints_free_for_long_prompts() {
    let (calls, of_long) = fill(540);

    assert!(
        of_long < 1.0,
        "{of_long} calls beside the long prompt, {calls:?}"
    );
}

/// Guards against calls of many entries that all choose the best endpoint by the same old sums, and
/// against a spread that takes worse endpoints than it has to, or gives up a cached prefix.
#[test]
fn calls_are_spread_over_the_best_endpoints() {
    let mut candidates = ["a", "b", "c", "d"].map(candidate);
    for (index, candidate) in candidates.iter_mut().enumerate() {
        candidate.wait_ms = index as f64 * 100.0;
    }
    let chosen = |candidates: &[TimedCandidate<'_>], spread| {
        let mut chosen = [0; 4];
        for call in 0..900 {
            let spread_request = TimedRequest {
                spread,
                ..request(call)
            };
            chosen[select(&spread_request, candidates)] += 1;
        }
        chosen
    };

    let of_three = chosen(&candidates, 3);

    assert_eq!(chosen(&candidates, 1), [900, 0, 0, 0]);
    assert!(
        of_three[..3].iter().all(|calls| *calls > 240),
        "{of_three:?}"
    );
    assert_eq!(of_three[3], 0);
    candidates[0].has_prefix = true;
    assert_eq!(chosen(&candidates, 3), [900, 0, 0, 0]);
}
