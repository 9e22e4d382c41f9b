//! Slopes for docs/CAPACITY.md: bytes, processor time and memory for each thing that grows.

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

/// One measured figure.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SlopeRow {
    /// What was measured.
    pub what: String,
    /// Size at which it was measured.
    pub size: u64,
    /// The figure.
    pub figure: f64,
    /// Its unit.
    pub unit: &'static str,
}

fn row(what: &str, size: usize, figure: f64, unit: &'static str) -> SlopeRow {
    SlopeRow {
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

/// Growth of resident memory while `build` runs, for each of `count` things.
fn memory_each<T>(count: usize, build: impl FnOnce() -> T) -> (f64, T) {
    let before = resident_bytes();
    let thing = build();
    let grown = resident_bytes() - before;
    (grown.max(0.0) / count as f64, thing)
}

/// Microseconds for each of `count` runs of `work`: the least of five rounds.
fn micros_each(count: usize, mut work: impl FnMut(usize)) -> f64 {
    let rounds = (0..5).map(|_| {
        let began = Instant::now();
        for number in 0..count {
            work(number);
        }
        began.elapsed().as_secs_f64() * 1e6 / count as f64
    });
    rounds.fold(f64::INFINITY, f64::min)
}

fn bytes_of<T: Serialize>(content: &T) -> f64 {
    postcard::to_stdvec(content).unwrap_or_default().len() as f64
}

fn at(number: usize) -> TimePoint {
    TimePoint::from_millis(number as u64 + 10_000)
}

fn workspace(number: usize) -> WorkspaceId {
    format!("workspace-{number}").parse().expect("an id")
}

fn version(number: usize) -> VersionId {
    format!("model-{}@{}", number / 3, number)
        .parse()
        .expect("an id")
}

fn entry(number: usize) -> EntryId {
    format!("entry-{number}").parse().expect("an id")
}

/// A plan with 20 workspaces and 35 versions.
///
/// # Panics
/// Never: the names are identifiers.
pub fn large_plan() -> PlanDeclaration {
    let mut plan = PlanDeclaration::default();
    let service: chestnutloft_core::ids::ServiceId = "assistant".parse().expect("an id");
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
        plan.domains
            .insert(format!("domain-{domain}").parse().expect("an id"), rule);
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
                kind: kind.parse().expect("an id"),
                quality: 0.85,
                first_token: Duration::from_millis(640),
                whole_answer: Duration::from_secs(30),
                objective: 0.95,
            });
        }
    }
    plan.rollouts.insert(
        "next".parse().expect("an id"),
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
        endpoint: format!("engine-{number:05}").parse().expect("an id"),
        incarnation: 1,
        sequence: 1,
        service: "assistant".parse().expect("an id"),
        domain: format!("domain-{}", number % 6).parse().expect("an id"),
        address: format!("10.0.{}.{}:8000", number / 250, number % 250),
        versions,
        slots: 16,
        is_leaving: false,
        load: EndpointLoad::default(),
    }
}

/// A router with `endpoints` warm endpoints and the large plan.
pub fn router_with(endpoints: usize) -> RouterState {
    let mut router = RouterState::new(RouterSettings::default(), None, 7);
    router.plan = accepted_plan().without_history();
    for number in 0..endpoints {
        let announcement = announcement(number);
        let id = announcement.endpoint.clone();
        router.announce(at(0), announcement);
        let wallet = &mut router.usages.entry(&id).credits;
        let life = wallet.epoch();
        let grant = CreditGrant {
            is_warm: true,
            ..CreditGrant::default()
        };
        wallet.apply_grant(TimePoint::ZERO, life, grant);
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
        stamp: at(0),
        command,
    }
}

/// A request of one workspace.
///
/// # Panics
/// Never: the names are identifiers.
pub fn ticket(number: usize) -> ParsedRequest {
    ParsedRequest {
        workspace: workspace(number % 20),
        service: None,
        kind: ["long", "middle", "short"][number % 3]
            .parse()
            .expect("an id"),
        session: None,
        requested_version: None,
        requested_model: None,
        priority: RequestPriority::Normal,
        arrived: at(0),
        deadline: at(60_000),
        idempotency_key: None,
        is_idempotent: true,
        fingerprint: 0,
        input_tokens: 800,
    }
}

/// Decides one request from admission to its end.
pub fn decide(router: &mut RouterState, ticket: &ParsedRequest) {
    let now = at(1);
    if router.admit(now, now, ticket).is_err() {
        return;
    }
    if let Ok(choice) = router.choose_version(now, now, ticket) {
        let pool = PoolKey::Version(choice.arm.version().clone());
        let mut log = AttemptHistory::default();
        let started = router.start_attempt(now, now, &pool, ticket.input_tokens, &[], &mut log);
        if let Ok(endpoint) = started {
            let seen = AttemptObservation {
                first_token: Some(Duration::from_millis(40)),
                total: Duration::from_millis(900),
                failure: None,
            };
            router.finish_attempt(now, &pool, &endpoint, seen);
        }
    }
    router.admission.finish(&ticket.workspace);
}

/// All slopes.
pub fn measure_all() -> Vec<SlopeRow> {
    let mut rows = Vec::new();
    measure_endpoints(&mut rows);
    measure_requests(&mut rows);
    measure_leases(&mut rows);
    measure_changes(&mut rows);
    measure_ledger(&mut rows);
    measure_log(&mut rows);
    measure_quality(&mut rows);
    rows
}

fn measure_endpoints(rows: &mut Vec<SlopeRow>) {
    let record = EndpointRecord {
        announcement: announcement(17),
        cold_epoch: 0,
    };
    rows.push(row(
        "bytes of an endpoint record between entries",
        1,
        bytes_of(&record),
        "B",
    ));
    let json = serde_json::to_vec(&record.announcement).unwrap_or_default();
    rows.push(row(
        "bytes of an announcement as JSON",
        1,
        json.len() as f64,
        "B",
    ));
    let mut kept = Vec::new();
    for size in [440, 1_100, 4_400] {
        let (each, mut router) = memory_each(size, || router_with(size));
        rows.push(row(
            "memory of an endpoint record in an entry",
            size,
            each,
            "B",
        ));
        let mut sequence = 1;
        let micros = micros_each(size, |number| {
            sequence += 1;
            let mut next = announcement(number);
            next.sequence = sequence;
            router.announce(at(1), next);
        });
        rows.push(row("processor time of an announcement", size, micros, "µs"));
        let sweep = micros_each(20, |_| {
            black_box(router.sweep(at(1)));
        });
        rows.push(row(
            "processor time of a sweep for each record",
            size,
            sweep / size as f64,
            "µs",
        ));
        kept.push(router);
    }
}

fn measure_requests(rows: &mut Vec<SlopeRow>) {
    for size in [20, 200, 440, 4_400] {
        let mut router = router_with(size);
        let tickets: Vec<ParsedRequest> = (0..60).map(ticket).collect();
        let micros = micros_each(5_000, |number| decide(&mut router, &tickets[number % 60]));
        rows.push(row(
            "processor time of a request's decisions",
            size,
            micros,
            "µs",
        ));
    }
}

fn beat(number: usize, revision: u64, live: u64, quality: u64) -> EntryHeartbeat {
    EntryHeartbeat {
        entry: entry(number),
        incarnation: 1,
        address: format!("10.1.{}.{}:7701", number / 250, number % 250),
        revision,
        quality_version: quality,
        live_hash: live,
        is_leaving: false,
    }
}

fn measure_leases(rows: &mut Vec<SlopeRow>) {
    let settings = LeaseSettings::default();
    let plan = accepted_plan();
    rows.push(row(
        "bytes of a heartbeat",
        1,
        bytes_of(&beat(200, plan.revision, 1, 1)),
        "B",
    ));
    let grant = LeaseGrant {
        update: PlanUpdate::Current,
        quality: None,
        live: None,
        duration_us: 2_500_000,
    };
    rows.push(row(
        "bytes of a grant without news",
        1,
        bytes_of(&grant),
        "B",
    ));
    for size in [10, 100, 420] {
        let mut grants = GrantTable::default();
        grants.reset(TimePoint::ZERO);
        let micros = micros_each(size, |number| {
            let beat = beat(number, plan.revision, 1, 1);
            grants.record_heartbeat(at(5_000), &beat);
            black_box(plan.update_from(beat.revision));
        });
        rows.push(row(
            "processor time of a heartbeat at the leader",
            size,
            micros,
            "µs",
        ));
        let list = micros_each(50, |_| {
            black_box(live_hash(&grants.live(at(5_000), &settings)));
        });
        rows.push(row(
            "processor time of the live list, each tick",
            size,
            list,
            "µs",
        ));
        let live = grants.live(at(5_000), &settings);
        rows.push(row("bytes of the live list", size, bytes_of(&live), "B"));
        let in_force = micros_each(50, |_| {
            black_box(grants.in_force(at(5_000), 7, &settings));
        });
        rows.push(row(
            "processor time of the in-force question",
            size,
            in_force,
            "µs",
        ));
    }
}

fn small_change(number: usize) -> PlanChange {
    PlanChange::Rollout {
        rollout: "next".parse().expect("an id"),
        progress: RolloutProgress {
            step: 0,
            phase: RolloutPhase::Advancing,
            since: at(number),
            reason: format!("change {number}"),
        },
    }
}

fn measure_changes(rows: &mut Vec<SlopeRow>) {
    let mut plan = accepted_plan();
    rows.push(row(
        "bytes of the whole plan",
        1,
        bytes_of(&plan.without_history()),
        "B",
    ));
    let submitted = |number| SubmittedChange {
        operator: "capacity".to_owned(),
        base: None,
        content: SubmittedContent::Change(small_change(number)),
    };
    let micros = micros_each(2_000, |number| {
        plan.submit(&submitted(number), at(number));
    });
    rows.push(row(
        "processor time of a change at a keeper",
        1,
        micros,
        "µs",
    ));
    let before = plan.revision - 1;
    let update = plan.update_from(before);
    rows.push(row(
        "bytes of a change for one entry",
        1,
        bytes_of(&update),
        "B",
    ));
    let many = plan.update_from(plan.revision - 100);
    rows.push(row(
        "bytes of 100 changes for one entry",
        100,
        bytes_of(&many),
        "B",
    ));
    let base = accepted_plan().without_history();
    let apply = micros_each(2_000, |number| {
        let mut copy = base.clone();
        copy.apply_change(&small_change(number), at(number));
        black_box(copy.revision);
    });
    let copying = micros_each(2_000, |_| {
        black_box(base.clone().revision);
    });
    rows.push(row(
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
        deadline: at(60_000),
    }
}

fn bill(number: usize) -> BillRecord {
    BillRecord {
        request: RequestKey::new(&workspace(number % 20), &format!("bill {number}")),
        account: SpendKey {
            workspace: workspace(number % 20),
            kind: Some("long".parse().expect("an id")),
            version: Some(version(number % 35)),
        },
        input_tokens: 800,
        output_tokens: 400,
        cost: 1_000,
    }
}

fn measure_ledger(rows: &mut Vec<SlopeRow>) {
    let plan = accepted_plan();
    // Kept to the end: memory that is given back would hide the growth of the next.
    let mut kept = Vec::new();
    for size in [10_000, 100_000, 400_000] {
        let settings = LedgerSettings {
            shard_claims: usize::MAX,
            ..LedgerSettings::default()
        };
        let (each, ledger) = memory_each(size, || {
            let mut ledger = LedgerState::new(settings.clone());
            for number in 0..size {
                ledger.claim(&claim(number), at(0));
            }
            ledger
        });
        rows.push(row("memory of a claim", size, each, "B"));
        kept.push(ledger);
        let (each, ledger) = memory_each(size, || {
            let mut ledger = LedgerState::new(settings.clone());
            for number in 0..size {
                ledger.bill(&bill(number), at(0));
            }
            ledger
        });
        rows.push(row("memory of a remembered bill", size, each, "B"));
        kept.push(ledger);
        let view = chestnutloft_core::plan::PlanView::new(&plan, at(0));
        let (each, ledger) = memory_each(size, || {
            let mut ledger = LedgerState::new(settings.clone());
            for number in 0..size {
                let key = SessionKey::new(&workspace(number % 20), &number.to_string());
                ledger.bind(key, &version(3), &view, at(0));
            }
            ledger
        });
        rows.push(row("memory of a session binding", size, each, "B"));
        kept.push(ledger);
    }
    let mut state = KeeperState::default();
    let mut next = 0;
    let micros = micros_each(20_000, |_| {
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
    rows.push(row(
        "processor time of a claim and its settlement, applied",
        1,
        micros,
        "µs",
    ));
    let micros = micros_each(20_000, |_| {
        next += 1;
        state.apply(&stamped(KeeperCommand::Bill(bill(next))));
    });
    rows.push(row("processor time of a bill, applied", 1, micros, "µs"));
}

fn measure_log(rows: &mut Vec<SlopeRow>) {
    let command = postcard::to_stdvec(&stamped(KeeperCommand::Batch(vec![KeeperCommand::Bill(
        bill(1),
    )])))
    .unwrap_or_default();
    rows.push(row(
        "bytes of a bill as command",
        1,
        command.len() as f64,
        "B",
    ));
    let claim_command =
        postcard::to_stdvec(&stamped(KeeperCommand::Claim(claim(1)))).unwrap_or_default();
    rows.push(row(
        "bytes of a claim as command",
        1,
        claim_command.len() as f64,
        "B",
    ));
    let config = MemberConfig::of_voters([(ReplicaId(1), "a".to_owned())]);
    let mut core =
        ReplicaCore::bootstrap(at(0), ReplicaId(1), ReplicaSettings::default(), config, 1);
    let mut now = 0;
    while !core.is_serving(at(now)) && now < 10_000 {
        now += 10;
        core.tick(at(now));
        let ready = core.take_ready();
        core.on_saved(at(now), ready.point);
    }
    let micros = micros_each(20_000, |_| {
        let _ = core.propose(at(now), &command);
        let ready = core.take_ready();
        black_box(journal::encode_batch(&ready.save));
        core.on_saved(at(now), ready.point);
    });
    rows.push(row(
        "processor time of a log entry at a lone leader, journal encoding with it",
        1,
        micros,
        "µs",
    ));
    measure_snapshot(rows);
    measure_replay(rows);
}

fn measure_snapshot(rows: &mut Vec<SlopeRow>) {
    for size in [10_000, 100_000] {
        let mut state = KeeperState::default();
        for number in 0..size {
            state.apply(&stamped(KeeperCommand::Claim(claim(number))));
        }
        let began = Instant::now();
        let bytes = postcard::to_stdvec(&state).unwrap_or_default();
        let encode = began.elapsed().as_secs_f64();
        rows.push(row(
            "bytes of a claim in a snapshot",
            size,
            bytes.len() as f64 / size as f64,
            "B",
        ));
        rows.push(row(
            "processor time of a claim in a snapshot, encoding",
            size,
            encode * 1e6 / size as f64,
            "µs",
        ));
        let began = Instant::now();
        let decoded: Option<KeeperState> = postcard::from_bytes(&bytes).ok();
        let decode = began.elapsed().as_secs_f64();
        black_box(decoded);
        rows.push(row(
            "processor time of a claim in a snapshot, decoding",
            size,
            decode * 1e6 / size as f64,
            "µs",
        ));
    }
}

/// Restart after a day of changes: the journal is read and every change is applied anew.
fn measure_replay(rows: &mut Vec<SlopeRow>) {
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
    rows.push(row(
        "bytes of a journal with a day of changes",
        changes,
        bytes.len() as f64,
        "B",
    ));
    let began = Instant::now();
    let content = journal::scan(&bytes).expect("a sound journal");
    let mut state: KeeperState = postcard::from_bytes(&content.snapshot.data).expect("decodes");
    for entry in &content.entries {
        if let chestnutloft_core::consensus::EntryBody::Command(bytes) = &entry.body {
            let command: StampedCommand = postcard::from_bytes(bytes).expect("decodes");
            state.apply(&command);
        }
    }
    black_box(state.plan.revision);
    let seconds = began.elapsed().as_secs_f64();
    rows.push(row(
        "time to read and apply a day of changes",
        changes,
        seconds,
        "s",
    ));
}

fn measure_quality(rows: &mut Vec<SlopeRow>) {
    let mut state = KeeperState {
        plan: accepted_plan(),
        ..KeeperState::default()
    };
    let rating = |number: usize| RatingRecord {
        workspace: workspace(number % 20),
        kind: ["long", "middle", "short"][number % 3]
            .parse()
            .expect("an id"),
        arm: RouteArm::Single(version(number % 35)),
        answered_by: version(number % 35),
        is_good: !number.is_multiple_of(9),
    };
    let micros = micros_each(4_200, |number| {
        state.apply(&stamped(KeeperCommand::Rate(vec![rating(number)])));
    });
    rows.push(row("processor time of a rating, applied", 1, micros, "µs"));
    let cells = state.quality.len().max(1);
    rows.push(row(
        "bytes of a version estimate in the book",
        cells,
        bytes_of(&state.quality) / cells as f64,
        "B",
    ));
    rows.push(row(
        "bytes of the whole book",
        cells,
        bytes_of(&state.quality),
        "B",
    ));
}
