//! Measurements for docs/CAPACITY.md: bytes, CPU time and memory per item of each kind that a cluster
//! can have many of.

use std::collections::BTreeSet;
use std::hint::black_box;
use std::time::{Duration, Instant};

use serde::Serialize;

use chestnutloft_core::consensus::{
    HardState, MemberConfig, ReplicaCore, ReplicaId, ReplicaSettings, SnapshotImage, journal,
};
use chestnutloft_core::ids::{EntryId, VersionId, WorkspaceId};
use chestnutloft_core::ledger::{
    AttemptId, BillRecord, ClaimRequest, LedgerSettings, LedgerState, RequestKey, SessionKey,
    SpendKey, StoredAnswer,
};
use chestnutloft_core::pipe::{
    AttemptHistory, AttemptObservation, ParsedRequest, RequestPriority, RouterSettings, RouterState,
};
use chestnutloft_core::plan::{
    PlanChange, PlanDeclaration, PlanState, PlanUpdate, QualityTarget, RolloutPhase,
    RolloutProgress, RolloutRule, RolloutStep, ServiceKind, ServiceRule, SubmittedChange,
    SubmittedContent, VersionRule, WorkspaceRule,
};
use chestnutloft_core::state::{
    CreditGrant, EndpointAnnouncement, EndpointLoad, EndpointRecord, EntryHeartbeat, GrantTable,
    KeeperCommand, KeeperState, LeaseGrant, LeaseSettings, PoolKey, RatingRecord, RouteArm,
    StampedCommand, live_hash,
};
use chestnutloft_core::time::TimePoint;

/// One measurement.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Measurement {
    /// Description of the measured quantity.
    pub what: String,
    /// Number of items at which it was measured.
    pub size: u64,
    /// Measured value.
    pub figure: f64,
    /// Unit of `figure`.
    pub unit: &'static str,
}

fn measurement(what: &str, size: usize, figure: f64, unit: &'static str) -> Measurement {
    Measurement {
        what: what.to_owned(),
        size: size as u64,
        figure,
        unit,
    }
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|p| p.parse::<f64>().ok());
    pages.unwrap_or_default() * 4_096.0
}

/// Growth of resident memory while `build` runs, in bytes per item, with `count` items. Returns the
/// built value as well, so that its memory is not freed before the next measurement.
fn memory_per_item<T>(count: usize, build: impl FnOnce() -> T) -> (f64, T) {
    let before = resident_bytes();
    let value = build();
    let grown = resident_bytes() - before;
    (grown.max(0.0) / count as f64, value)
}

/// Microseconds per call of `work`: the minimum over five rounds of `count` calls.
fn micros_per_call(count: usize, mut work: impl FnMut(usize)) -> f64 {
    let rounds = (0..5).map(|_| {
        let started_at = Instant::now();
        for number in 0..count {
            work(number);
        }
        started_at.elapsed().as_secs_f64() * 1e6 / count as f64
    });
    rounds.fold(f64::INFINITY, f64::min)
}

fn encoded_bytes<T: Serialize>(content: &T) -> f64 {
    postcard::to_stdvec(content).unwrap_or_default().len() as f64
}

/// A point in time `millis` after the start.
fn time_at(millis: usize) -> TimePoint {
    TimePoint::from_millis(millis as u64 + 10_000)
}

fn workspace(number: usize) -> WorkspaceId {
    format!("workspace-{number}").parse().expect("a valid id")
}

fn version(number: usize) -> VersionId {
    format!("model-{}@{}", number / 3, number)
        .parse()
        .expect("a valid id")
}

fn entry(number: usize) -> EntryId {
    format!("entry-{number}").parse().expect("a valid id")
}

/// A plan with 20 workspaces and 35 versions.
///
/// # Panics
/// Never: all names are valid ids.
pub fn large_plan() -> PlanDeclaration {
    let mut plan = PlanDeclaration::default();
    let service: chestnutloft_core::ids::ServiceId = "assistant".parse().expect("a valid id");
    plan.services.insert(
        service.clone(),
        ServiceRule {
            kind: ServiceKind::Model,
            trust: chestnutloft_core::plan::FencingSupport::ChecksFencing,
            methods: Vec::new(),
        },
    );
    for number in 0..35 {
        plan.versions.insert(
            version(number),
            VersionRule {
                service: service.clone(),
                input_cost: 50_000 + number as u64 * 30_000,
                output_cost: 200_000 + number as u64 * 120_000,
                prior_quality: 0.7 + number as f64 * 0.008,
                is_withdrawn: false,
                successor: None,
            },
        );
    }
    for domain in 0..6 {
        let rule = chestnutloft_core::plan::DomainRule {
            region: format!("region-{}", domain / 3),
        };
        plan.domains.insert(
            format!("domain-{domain}").parse().expect("a valid id"),
            rule,
        );
    }
    for number in 0..20 {
        let rule = WorkspaceRule {
            allowed: (0..35).map(version).collect(),
            rate_per_s: 1e6,
            burst: 1e6,
            concurrency: 1_000_000,
            ..WorkspaceRule::default()
        };
        plan.workspaces.insert(workspace(number), rule);
        for kind in ["long", "middle", "short"] {
            plan.targets.push(QualityTarget {
                workspace: workspace(number),
                kind: kind.parse().expect("a valid id"),
                quality: 0.85,
                first_token: Duration::from_millis(640),
                whole_answer: Duration::from_secs(30),
                objective: 0.95,
            });
        }
    }
    plan.rollouts.insert(
        "next".parse().expect("a valid id"),
        RolloutRule {
            from: version(3),
            to: version(4),
            steps: vec![RolloutStep {
                share: 1.0,
                min_ratings: 50,
                hold: Duration::from_mins(10),
            }],
        },
    );
    plan
}

fn announcement(number: usize) -> EndpointAnnouncement {
    let versions: BTreeSet<VersionId> = (0..4)
        .map(|i| version((number * 7 + i * 11) % 35))
        .collect();
    EndpointAnnouncement {
        endpoint: format!("engine-{number:05}").parse().expect("a valid id"),
        incarnation: 1,
        sequence: 1,
        service: "assistant".parse().expect("a valid id"),
        domain: format!("domain-{}", number % 6)
            .parse()
            .expect("a valid id"),
        address: format!("10.0.{}.{}:8000", number / 250, number % 250),
        versions,
        slots: 16,
        is_leaving: false,
        load: EndpointLoad::default(),
    }
}

/// A router with `endpoints` warm endpoints and the plan of [`large_plan`].
pub fn router_with_endpoints(endpoints: usize) -> RouterState {
    let mut router = RouterState::new(RouterSettings::default(), None, 7);
    router.plan = accepted_plan().without_history();
    for number in 0..endpoints {
        let announcement = announcement(number);
        let id = announcement.endpoint.clone();
        router.announce(time_at(0), announcement);
        let credits = &mut router.usages.entry(&id).credits;
        let epoch = credits.epoch();
        let grant = CreditGrant {
            is_warm: true,
            ..CreditGrant::default()
        };
        credits.apply_grant(TimePoint::ZERO, epoch, grant);
    }
    router
}

fn accepted_plan() -> PlanState {
    let mut state = KeeperState::default();
    let change = SubmittedChange {
        operator: "capacity".to_owned(),
        base: Some(0),
        content: SubmittedContent::Declaration(Box::new(large_plan())),
    };
    state.apply(&stamped(KeeperCommand::Submit(Box::new(change))));
    state.plan
}

fn stamped(command: KeeperCommand) -> StampedCommand {
    StampedCommand {
        stamp: time_at(0),
        command,
    }
}

/// A sample request; its workspace and kind follow from `number`.
///
/// # Panics
/// Never: all names are valid ids.
pub fn sample_request(number: usize) -> ParsedRequest {
    ParsedRequest {
        workspace: workspace(number % 20),
        service: None,
        kind: ["long", "middle", "short"][number % 3]
            .parse()
            .expect("a valid id"),
        session: None,
        requested_version: None,
        requested_model: None,
        priority: RequestPriority::Normal,
        arrived: time_at(0),
        deadline: time_at(60_000),
        idempotency_key: None,
        is_idempotent: true,
        fingerprint: 0,
        input_tokens: 800,
    }
}

/// Makes all decisions of one request, from its admission to its end.
pub fn route_request(router: &mut RouterState, request: &ParsedRequest) {
    let now = time_at(1);
    if router.admit(now, now, request).is_err() {
        return;
    }
    if let Ok(choice) = router.choose_version(now, now, request) {
        let pool = PoolKey::Version(choice.arm.version().clone());
        let mut history = AttemptHistory::default();
        let started =
            router.start_attempt(now, now, &pool, request.input_tokens, &[], &mut history);
        if let Ok(endpoint) = started {
            let observation = AttemptObservation {
                first_token: Some(Duration::from_millis(40)),
                total: Duration::from_millis(900),
                failure: None,
            };
            router.finish_attempt(now, &pool, &endpoint, observation);
        }
    }
    router.admission.finish(&request.workspace);
}

/// Runs all measurements.
pub fn measure_all() -> Vec<Measurement> {
    let mut measurements = Vec::new();
    measure_endpoints(&mut measurements);
    measure_requests(&mut measurements);
    measure_leases(&mut measurements);
    measure_changes(&mut measurements);
    measure_ledger(&mut measurements);
    measure_replicated_log(&mut measurements);
    measure_quality(&mut measurements);
    measurements
}

fn measure_endpoints(measurements: &mut Vec<Measurement>) {
    let record = EndpointRecord {
        announcement: announcement(17),
        cold_epoch: 0,
    };
    measurements.push(measurement(
        "bytes of an endpoint record between entries",
        1,
        encoded_bytes(&record),
        "B",
    ));
    let json = serde_json::to_vec(&record.announcement).unwrap_or_default();
    measurements.push(measurement(
        "bytes of an announcement as JSON",
        1,
        json.len() as f64,
        "B",
    ));
    let mut retained = Vec::new();
    for size in [440, 1_100, 4_400] {
        let (bytes_per_item, mut router) = memory_per_item(size, || router_with_endpoints(size));
        measurements.push(measurement(
            "memory of an endpoint record in an entry",
            size,
            bytes_per_item,
            "B",
        ));
        let mut sequence = 1;
        let micros = micros_per_call(size, |number| {
            sequence += 1;
            let mut next = announcement(number);
            next.sequence = sequence;
            router.announce(time_at(1), next);
        });
        measurements.push(measurement(
            "processor time of an announcement",
            size,
            micros,
            "µs",
        ));
        let sweep = micros_per_call(20, |_| {
            black_box(router.sweep(time_at(1)));
        });
        measurements.push(measurement(
            "processor time of a sweep for each record",
            size,
            sweep / size as f64,
            "µs",
        ));
        retained.push(router);
    }
}

fn measure_requests(measurements: &mut Vec<Measurement>) {
    for size in [20, 200, 440, 4_400] {
        let mut router = router_with_endpoints(size);
        let requests: Vec<ParsedRequest> = (0..60).map(sample_request).collect();
        let micros = micros_per_call(5_000, |number| {
            route_request(&mut router, &requests[number % 60]);
        });
        measurements.push(measurement(
            "processor time of a request's decisions",
            size,
            micros,
            "µs",
        ));
    }
}

fn heartbeat(number: usize, revision: u64, live_hash: u64, quality_version: u64) -> EntryHeartbeat {
    EntryHeartbeat {
        entry: entry(number),
        incarnation: 1,
        address: format!("10.1.{}.{}:7701", number / 250, number % 250),
        revision,
        quality_version,
        live_hash,
        is_leaving: false,
    }
}

fn measure_leases(measurements: &mut Vec<Measurement>) {
    let settings = LeaseSettings::default();
    let plan = accepted_plan();
    measurements.push(measurement(
        "bytes of a heartbeat",
        1,
        encoded_bytes(&heartbeat(200, plan.revision, 1, 1)),
        "B",
    ));
    let grant = LeaseGrant {
        update: PlanUpdate::Current,
        quality: None,
        live: None,
        duration_us: 2_500_000,
    };
    measurements.push(measurement(
        "bytes of a grant without news",
        1,
        encoded_bytes(&grant),
        "B",
    ));
    for size in [10, 100, 420] {
        let mut grants = GrantTable::default();
        grants.reset(TimePoint::ZERO);
        let micros = micros_per_call(size, |number| {
            let heartbeat = heartbeat(number, plan.revision, 1, 1);
            grants.record_heartbeat(time_at(5_000), &heartbeat);
            black_box(plan.update_from(heartbeat.revision));
        });
        measurements.push(measurement(
            "processor time of a heartbeat at the leader",
            size,
            micros,
            "µs",
        ));
        let list = micros_per_call(50, |_| {
            black_box(live_hash(&grants.live(time_at(5_000), &settings)));
        });
        measurements.push(measurement(
            "processor time of the live list, each tick",
            size,
            list,
            "µs",
        ));
        let live = grants.live(time_at(5_000), &settings);
        measurements.push(measurement(
            "bytes of the live list",
            size,
            encoded_bytes(&live),
            "B",
        ));
        let in_force = micros_per_call(50, |_| {
            black_box(grants.in_force(time_at(5_000), 7, &settings));
        });
        measurements.push(measurement(
            "processor time of the in-force question",
            size,
            in_force,
            "µs",
        ));
    }
}

fn small_change(number: usize) -> PlanChange {
    PlanChange::Rollout {
        rollout: "next".parse().expect("a valid id"),
        progress: RolloutProgress {
            step: 0,
            phase: RolloutPhase::Advancing,
            since: time_at(number),
            reason: format!("change {number}"),
        },
    }
}

fn measure_changes(measurements: &mut Vec<Measurement>) {
    let mut plan = accepted_plan();
    measurements.push(measurement(
        "bytes of the whole plan",
        1,
        encoded_bytes(&plan.without_history()),
        "B",
    ));
    let submitted = |number| SubmittedChange {
        operator: "capacity".to_owned(),
        base: None,
        content: SubmittedContent::Change(small_change(number)),
    };
    let micros = micros_per_call(2_000, |number| {
        plan.submit(&submitted(number), time_at(number));
    });
    measurements.push(measurement(
        "processor time of a change at a keeper",
        1,
        micros,
        "µs",
    ));
    let before = plan.revision - 1;
    let update = plan.update_from(before);
    measurements.push(measurement(
        "bytes of a change for one entry",
        1,
        encoded_bytes(&update),
        "B",
    ));
    let many = plan.update_from(plan.revision - 100);
    measurements.push(measurement(
        "bytes of 100 changes for one entry",
        100,
        encoded_bytes(&many),
        "B",
    ));
    let base = accepted_plan().without_history();
    let apply = micros_per_call(2_000, |number| {
        let mut copy = base.clone();
        copy.apply_change(&small_change(number), time_at(number));
        black_box(copy.revision);
    });
    let copying = micros_per_call(2_000, |_| {
        black_box(base.clone().revision);
    });
    measurements.push(measurement(
        "processor time of a change at an entry",
        1,
        (apply - copying).max(0.0),
        "µs",
    ));
}

fn attempt(number: usize) -> AttemptId {
    AttemptId {
        entry: entry(number % 420),
        incarnation: 1,
        number: number as u64,
    }
}

fn claim(number: usize) -> ClaimRequest {
    ClaimRequest {
        key: RequestKey::new(&workspace(number % 20), &number.to_string()),
        fingerprint: 1,
        attempt: attempt(number),
        deadline: time_at(60_000),
    }
}

fn bill(number: usize) -> BillRecord {
    BillRecord {
        request: RequestKey::new(&workspace(number % 20), &format!("bill {number}")),
        account: SpendKey {
            workspace: workspace(number % 20),
            kind: Some("long".parse().expect("a valid id")),
            version: Some(version(number % 35)),
        },
        input_tokens: 800,
        output_tokens: 400,
        cost: 1_000,
    }
}

fn measure_ledger(measurements: &mut Vec<Measurement>) {
    let plan = accepted_plan();
    // Retained to the end, since freed memory would be reused and hide the growth of the next
    // measurement.
    let mut retained = Vec::new();
    for size in [10_000, 100_000, 400_000] {
        let settings = LedgerSettings {
            shard_claims: usize::MAX,
            ..LedgerSettings::default()
        };
        let (bytes_per_item, ledger) = memory_per_item(size, || {
            let mut ledger = LedgerState::new(settings.clone());
            for number in 0..size {
                ledger.claim(&claim(number), time_at(0));
            }
            ledger
        });
        measurements.push(measurement("memory of a claim", size, bytes_per_item, "B"));
        retained.push(ledger);
        let (bytes_per_item, ledger) = memory_per_item(size, || {
            let mut ledger = LedgerState::new(settings.clone());
            for number in 0..size {
                ledger.bill(&bill(number), time_at(0));
            }
            ledger
        });
        measurements.push(measurement(
            "memory of a remembered bill",
            size,
            bytes_per_item,
            "B",
        ));
        retained.push(ledger);
        let view = chestnutloft_core::plan::PlanView::new(&plan, time_at(0));
        let (bytes_per_item, ledger) = memory_per_item(size, || {
            let mut ledger = LedgerState::new(settings.clone());
            for number in 0..size {
                let key = SessionKey::new(&workspace(number % 20), &number.to_string());
                ledger.bind(key, &version(3), &view, time_at(0));
            }
            ledger
        });
        measurements.push(measurement(
            "memory of a session binding",
            size,
            bytes_per_item,
            "B",
        ));
        retained.push(ledger);
    }
    let mut state = KeeperState::default();
    let mut next = 0;
    let micros = micros_per_call(20_000, |_| {
        next += 1;
        state.apply(&stamped(KeeperCommand::Claim(claim(next))));
        state.apply(&stamped(KeeperCommand::Settle {
            key: claim(next).key,
            attempt: attempt(next),
            answer: StoredAnswer {
                status: 200,
                content_type: String::new(),
                body: Some(vec![0; 200]),
            },
            bill: bill(next),
        }));
    });
    measurements.push(measurement(
        "processor time of a claim and its settlement, applied",
        1,
        micros,
        "µs",
    ));
    let micros = micros_per_call(20_000, |_| {
        next += 1;
        state.apply(&stamped(KeeperCommand::Bill(bill(next))));
    });
    measurements.push(measurement(
        "processor time of a bill, applied",
        1,
        micros,
        "µs",
    ));
}

fn measure_replicated_log(measurements: &mut Vec<Measurement>) {
    let command = postcard::to_stdvec(&stamped(KeeperCommand::Batch(vec![KeeperCommand::Bill(
        bill(1),
    )])))
    .unwrap_or_default();
    measurements.push(measurement(
        "bytes of a bill as command",
        1,
        command.len() as f64,
        "B",
    ));
    let claim_command =
        postcard::to_stdvec(&stamped(KeeperCommand::Claim(claim(1)))).unwrap_or_default();
    measurements.push(measurement(
        "bytes of a claim as command",
        1,
        claim_command.len() as f64,
        "B",
    ));
    let config = MemberConfig::of_voters([(ReplicaId(1), "a".to_owned())]);
    let mut core = ReplicaCore::bootstrap(
        time_at(0),
        ReplicaId(1),
        ReplicaSettings::default(),
        config,
        1,
    );
    let mut now = 0;
    while !core.is_serving(time_at(now)) && now < 10_000 {
        now += 10;
        core.tick(time_at(now));
        let ready = core.take_ready();
        core.on_saved(time_at(now), ready.point);
    }
    let micros = micros_per_call(20_000, |_| {
        let _ = core.propose(time_at(now), &command);
        let ready = core.take_ready();
        black_box(journal::encode_batch(&ready.save));
        core.on_saved(time_at(now), ready.point);
    });
    measurements.push(measurement(
        "processor time of a log entry at a lone leader, journal encoding with it",
        1,
        micros,
        "µs",
    ));
    measure_snapshot(measurements);
    measure_journal_replay(measurements);
}

fn measure_snapshot(measurements: &mut Vec<Measurement>) {
    for size in [10_000, 100_000] {
        let mut state = KeeperState::default();
        for number in 0..size {
            state.apply(&stamped(KeeperCommand::Claim(claim(number))));
        }
        let started_at = Instant::now();
        let bytes = postcard::to_stdvec(&state).unwrap_or_default();
        let encode = started_at.elapsed().as_secs_f64();
        measurements.push(measurement(
            "bytes of a claim in a snapshot",
            size,
            bytes.len() as f64 / size as f64,
            "B",
        ));
        measurements.push(measurement(
            "processor time of a claim in a snapshot, encoding",
            size,
            encode * 1e6 / size as f64,
            "µs",
        ));
        let started_at = Instant::now();
        let decoded: Option<KeeperState> = postcard::from_bytes(&bytes).ok();
        let decode = started_at.elapsed().as_secs_f64();
        black_box(decoded);
        measurements.push(measurement(
            "processor time of a claim in a snapshot, decoding",
            size,
            decode * 1e6 / size as f64,
            "µs",
        ));
    }
}

/// Restart of a keeper with a day of changes: it reads the journal and applies every change.
fn measure_journal_replay(measurements: &mut Vec<Measurement>) {
    let changes = 23_000;
    let mut state = KeeperState::default();
    let first = SubmittedChange {
        operator: "capacity".to_owned(),
        base: Some(0),
        content: SubmittedContent::Declaration(Box::new(large_plan())),
    };
    state.apply(&stamped(KeeperCommand::Submit(Box::new(first))));
    let data = postcard::to_stdvec(&state).unwrap_or_default().into();
    let image = SnapshotImage {
        index: 1,
        term: 1,
        config: MemberConfig::default(),
        data,
    };
    let entries: Vec<_> = (0..changes)
        .map(|number| {
            let submitted = SubmittedChange {
                operator: "capacity".to_owned(),
                base: None,
                content: SubmittedContent::Change(small_change(number)),
            };
            let command = stamped(KeeperCommand::Submit(Box::new(submitted)));
            chestnutloft_core::consensus::LogEntry {
                index: number as u64 + 2,
                term: 1,
                body: chestnutloft_core::consensus::EntryBody::Command(
                    postcard::to_stdvec(&command).unwrap_or_default().into(),
                ),
            }
        })
        .collect();
    let bytes = journal::encode_new_journal(&image, HardState::default(), &entries);
    measurements.push(measurement(
        "bytes of a journal with a day of changes",
        changes,
        bytes.len() as f64,
        "B",
    ));
    let started_at = Instant::now();
    let content = journal::scan(&bytes).expect("a valid journal");
    let mut state: KeeperState = postcard::from_bytes(&content.snapshot.data).expect("decodes");
    for entry in &content.entries {
        if let chestnutloft_core::consensus::EntryBody::Command(bytes) = &entry.body {
            let command: StampedCommand = postcard::from_bytes(bytes).expect("decodes");
            state.apply(&command);
        }
    }
    black_box(state.plan.revision);
    let seconds = started_at.elapsed().as_secs_f64();
    measurements.push(measurement(
        "time to read and apply a day of changes",
        changes,
        seconds,
        "s",
    ));
}

fn measure_quality(measurements: &mut Vec<Measurement>) {
    let mut state = KeeperState {
        plan: accepted_plan(),
        ..KeeperState::default()
    };
    let rating = |number: usize| RatingRecord {
        workspace: workspace(number % 20),
        kind: ["long", "middle", "short"][number % 3]
            .parse()
            .expect("a valid id"),
        arm: RouteArm::Single(version(number % 35)),
        answered_by: version(number % 35),
        is_good: !number.is_multiple_of(9),
    };
    let micros = micros_per_call(4_200, |number| {
        state.apply(&stamped(KeeperCommand::Rate(vec![rating(number)])));
    });
    measurements.push(measurement(
        "processor time of a rating, applied",
        1,
        micros,
        "µs",
    ));
    let cells = state.quality.len().max(1);
    measurements.push(measurement(
        "bytes of a version estimate in the book",
        cells,
        encoded_bytes(&state.quality) / cells as f64,
        "B",
    ));
    measurements.push(measurement(
        "bytes of the whole book",
        cells,
        encoded_bytes(&state.quality),
        "B",
    ));
}
