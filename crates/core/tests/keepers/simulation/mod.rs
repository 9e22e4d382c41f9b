//! Discrete-event simulation of keepers, entries and callers under a seeded schedule of failures.

mod callers;
mod entries;
mod faults;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::consensus::{
    EntryBody, LogEntry, MemberChange, MemberConfig, PeerMessage, ReadyBatch, ReplicaCore,
    ReplicaId, ReplicaSettings, SavedPoint,
};
use chestnutloft_core::hash::content_hash;
use chestnutloft_core::ids::{EntryId, VersionId, WorkspaceId};
use chestnutloft_core::ledger::{
    AttemptId, BillRecord, BindOutcome, ClaimOutcome, ClaimRequest, LedgerSettings, LedgerState,
    RequestKey, SessionKey, SettleOutcome, SpendKey, StoredAnswer,
};
use chestnutloft_core::plan::{
    ChangeOutcome, PlanDeclaration, PlanState, SubmittedChange, SubmittedContent, VersionRule,
    WorkspaceRule,
};
use chestnutloft_core::state::{
    EntryHeartbeat, EntryLease, GrantTable, KeeperCommand, KeeperOutcome, KeeperState,
    LeaseSettings, StampedCommand,
};
use chestnutloft_core::time::TimePoint;
use porcupine_rs::Operation;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use crate::disk::FakeDisk;
use crate::history::{self, KeeperModel, KeyedOp, ObservedClaim, ObservedOp};

/// A deliberate bug that the checks must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeededDefect {
    /// Replicas acknowledge votes and entries before they are synced.
    AckBeforeSync,
    /// Replicas lose their term and vote when they restart.
    VoteNotPersisted,
    /// The leader considers its lease valid for far longer than its followers honour it.
    LeaderLeaseTooLong,
    /// A caller dispatches before its claim is granted.
    DispatchBeforeClaim,
    /// A new leader reports a revision as in force while leases from its predecessor may be valid.
    PreviousLeasesIgnored,
    /// An entry keeps working after its lease has expired.
    ExpiredLeaseIgnored,
    /// A replica that lost its disk comes back with its old identifier.
    ReplicaIdReused,
}

/// Parameters of a schedule.
#[derive(Clone, Debug)]
pub struct SimulationSettings {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of keepers at the start.
    pub keepers: u64,
    /// Simulated time until all faults are healed.
    pub duration: Duration,
    /// Deliberate bug, if any.
    pub defect: Option<SeededDefect>,
    /// Whether to record a readable trace.
    pub is_traced: bool,
}

impl SimulationSettings {
    /// Derives the schedule from a seed.
    pub fn from_seed(seed: u64) -> Self {
        Self {
            seed,
            keepers: if seed.is_multiple_of(4) { 5 } else { 3 },
            duration: Duration::from_secs(8),
            defect: None,
            is_traced: false,
        }
    }
}

const TICK: Duration = Duration::from_millis(20);
const ENTRIES: u64 = 3;
const SESSIONS: u64 = 2;
const VERSIONS: u8 = 3;
/// History key of the plan revision. Requests use the keys below it.
const REVISION_KEY: u64 = 1_000_000;
/// First history key of sessions.
const FIRST_SESSION_KEY: u64 = 2_000_000;
/// Return time of an operation that got no answer.
const NO_RETURN: i64 = i64::MAX / 2;

#[derive(Debug)]
enum SimulationEvent {
    Tick(ReplicaId),
    Deliver(ReplicaId, ReplicaId, Box<PeerMessage>),
    Saved(ReplicaId, u64, SavedPoint, Vec<(ReplicaId, PeerMessage)>),
    Restart(ReplicaId),
    EntryHeartbeat(u64),
    EntryRestart(u64),
    CallerStep(u64),
    CallerTimeout(u64, u64),
    Fault,
    Heal,
}

struct Keeper {
    core: ReplicaCore,
    state: KeeperState,
    grants: GrantTable,
    was_leader: bool,
    generation: u64,
    is_saving: bool,
    /// Log index to the term of the proposal, the caller and its call.
    pending_proposals: HashMap<u64, (u64, u64, u64)>,
}

struct Node {
    disk: FakeDisk,
    /// `None` while crashed.
    keeper: Option<Keeper>,
    clock_rate: f64,
    clock_offset_us: u64,
    is_disk_corrupt: bool,
    /// Number of starts. Distinguishes saves in progress from those of before a crash.
    generation_count: u64,
}

struct Entry {
    plan: PlanState,
    lease: EntryLease,
    incarnation: u64,
    clock_rate: f64,
    target_replica: u64,
    /// Heartbeats are dropped until then.
    isolated_until: u64,
}

/// A call without an answer yet.
#[derive(Clone, Debug)]
struct PendingCall {
    call_id: u64,
    called_at: u64,
    op: KeyedOp,
    command: KeeperCommand,
}

#[derive(Default)]
struct Caller {
    pending: Option<PendingCall>,
    last_call_id: u64,
    /// Granted claim to dispatch and settle, or release, next.
    granted: Option<(u64, AttemptId)>,
    /// Latest revision that this caller knows of.
    known_revision: u64,
    declaration_count: u64,
    /// Command without an answer, to send again.
    retry: Option<(KeyedOp, KeeperCommand)>,
}

/// Simulated cluster with its network, callers and recorded observations.
pub struct Simulation {
    settings: SimulationSettings,
    rng: Pcg64,
    /// Simulated time in microseconds.
    now: u64,
    last_event_id: u64,
    /// Due time and identifier of each scheduled event.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, SimulationEvent>,
    nodes: BTreeMap<ReplicaId, Node>,
    /// Sender and receiver between which messages are dropped.
    blocked_links: BTreeSet<(ReplicaId, ReplicaId)>,
    loss_rate: f64,
    entries: Vec<Entry>,
    callers: Vec<Caller>,
    history: Vec<Operation<KeeperModel>>,
    next_replica: u64,
    leader_by_term: BTreeMap<u64, ReplicaId>,
    /// Hash of the committed entry at each log index.
    entry_hashes: BTreeMap<u64, u128>,
    /// Attempt that each request key was dispatched for.
    dispatches: HashMap<u64, u64>,
    /// Latest revision that a leader has reported as in force.
    in_force: u64,
    replica_settings: ReplicaSettings,
    lease_settings: LeaseSettings,
    trace: Vec<String>,
    failure: Option<String>,
    is_healed: bool,
    /// What happened, to check that schedules exercise the system.
    pub counts: SimulationCounts,
}

/// Number of events in a schedule.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SimulationCounts {
    /// Elections won.
    pub elections: u64,
    /// Commands answered.
    pub answered: u64,
    /// Faults injected.
    pub faults: u64,
    /// Requests dispatched.
    pub dispatched: u64,
    /// Replicas replaced.
    pub replaced: u64,
}

fn plan(content: u64) -> PlanDeclaration {
    let mut plan = PlanDeclaration::default();
    for number in 0..VERSIONS {
        plan.versions.insert(
            version(number),
            VersionRule {
                service: "svc".parse().expect("an id"),
                input_cost: content,
                output_cost: 1,
                prior_quality: 0.9,
                is_withdrawn: false,
                successor: None,
            },
        );
    }
    plan.workspaces
        .insert(workspace(), WorkspaceRule::default());
    plan
}

fn workspace() -> WorkspaceId {
    "w".parse().expect("an id")
}

fn version(number: u8) -> VersionId {
    format!("m@{number}").parse().expect("an id")
}

fn entry_id(number: u64) -> EntryId {
    format!("e{number}").parse().expect("an id")
}

impl Simulation {
    /// Creates the cluster and schedules the first events.
    pub fn new(settings: SimulationSettings) -> Self {
        let mut rng = Pcg64::seed_from_u64(settings.seed);
        let voters = (1..=settings.keepers).map(|n| (ReplicaId(n), format!("k{n}")));
        let config = MemberConfig::of_voters(voters);
        let clock_skew = if settings.defect == Some(SeededDefect::LeaderLeaseTooLong) {
            -8.0
        } else {
            0.02
        };
        let replica_settings = ReplicaSettings {
            clock_skew,
            heartbeat: Duration::from_millis(50),
            election_min: Duration::from_millis(200),
            election_max: Duration::from_millis(400),
            kept_entries: 8,
            ..ReplicaSettings::default()
        };
        let lease_settings = LeaseSettings {
            duration: Duration::from_millis(700),
            heartbeat: Duration::from_millis(100),
            clock_skew: 0.02,
        };
        let entries = (0..ENTRIES)
            .map(|_| Entry {
                plan: PlanState::default(),
                lease: EntryLease::default(),
                incarnation: 1,
                clock_rate: rng.random_range(0.991..1.009),
                target_replica: 1,
                isolated_until: 0,
            })
            .collect();
        let mut simulation = Self {
            nodes: BTreeMap::new(),
            rng,
            now: 1_000_000,
            last_event_id: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            blocked_links: BTreeSet::new(),
            loss_rate: 0.0,
            entries,
            callers: (0..ENTRIES).map(|_| Caller::default()).collect(),
            history: Vec::new(),
            next_replica: settings.keepers + 1,
            leader_by_term: BTreeMap::new(),
            entry_hashes: BTreeMap::new(),
            dispatches: HashMap::new(),
            in_force: 0,
            replica_settings,
            lease_settings,
            trace: Vec::new(),
            failure: None,
            is_healed: false,
            counts: SimulationCounts::default(),
            settings,
        };
        let ids: Vec<ReplicaId> = config.voters.keys().copied().collect();
        for id in ids {
            simulation.add_node(id, &config);
        }
        for index in 0..ENTRIES {
            simulation.schedule(
                Duration::from_millis(5),
                SimulationEvent::EntryHeartbeat(index),
            );
            simulation.schedule(
                Duration::from_millis(300),
                SimulationEvent::CallerStep(index),
            );
        }
        simulation.schedule(Duration::from_millis(900), SimulationEvent::Fault);
        simulation
    }

    fn add_node(&mut self, id: ReplicaId, config: &MemberConfig) {
        let node = Node {
            disk: FakeDisk::formatted(config),
            keeper: None,
            clock_rate: self.rng.random_range(0.991..1.009),
            clock_offset_us: self.rng.random_range(0..5_000_000),
            is_disk_corrupt: false,
            generation_count: 0,
        };
        self.nodes.insert(id, node);
        self.restart(id);
    }

    fn schedule(&mut self, wait: Duration, event: SimulationEvent) {
        self.last_event_id += 1;
        let at = self.now + u64::try_from(wait.as_micros()).expect("short waits");
        self.queue.push(Reverse((at, self.last_event_id)));
        self.events.insert(self.last_event_id, event);
    }

    fn trace_event(&mut self, line: impl FnOnce() -> String) {
        if self.settings.is_traced {
            let at = self.now;
            self.trace
                .push(format!("{:>9.3} ms  {}", at as f64 / 1_000.0, line()));
        }
    }

    fn record_failure(&mut self, problem: String) {
        self.trace_event(|| format!("FAILED: {problem}"));
        self.failure.get_or_insert(problem);
    }

    /// The recorded trace, oldest line first.
    pub fn trace(&self) -> String {
        let mut text = String::new();
        for line in &self.trace {
            let _ = writeln!(text, "{line}");
        }
        text
    }

    /// Runs the schedule, heals all faults, lets the cluster recover for 6 s and checks the final
    /// state and the history.
    ///
    /// # Errors
    /// The first violated invariant.
    pub fn run(&mut self) -> Result<(), String> {
        let end = self.now + u64::try_from(self.settings.duration.as_micros()).expect("short");
        let settle_end = end + 6_000_000;
        while let Some(Reverse((at, event_id))) = self.queue.pop() {
            if at > settle_end || self.failure.is_some() {
                break;
            }
            if at > end && !self.is_healed {
                self.heal_all();
            }
            self.now = at;
            if let Some(event) = self.events.remove(&event_id) {
                self.handle(event);
            }
        }
        if let Some(problem) = self.failure.take() {
            return Err(problem);
        }
        self.check_final_state()?;
        self.record_unanswered();
        history::check(&self.history)
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Tick(id) => self.tick(id),
            SimulationEvent::Deliver(from, to, message) => self.deliver(from, to, *message),
            SimulationEvent::Saved(id, generation, point, messages) => {
                self.saved(id, generation, point, messages);
            }
            SimulationEvent::Restart(id) => self.restart(id),
            SimulationEvent::EntryHeartbeat(entry_index) => self.entry_heartbeat(entry_index),
            SimulationEvent::EntryRestart(entry_index) => self.entry_restart(entry_index),
            SimulationEvent::CallerStep(caller_index) => self.caller_step(caller_index),
            SimulationEvent::CallerTimeout(caller_index, call_id) => {
                self.caller_timeout(caller_index, call_id);
            }
            SimulationEvent::Fault => self.inject_fault(),
            SimulationEvent::Heal => {
                self.blocked_links.clear();
                self.loss_rate = 0.0;
                self.trace_event(|| "network heals".to_owned());
            }
        }
    }

    /// Time on the replica's clock, which has its own rate and offset.
    fn local_time(&self, id: ReplicaId) -> TimePoint {
        let node = &self.nodes[&id];
        let passed = self.now as f64 * node.clock_rate;
        TimePoint::from_micros(passed as u64 + node.clock_offset_us + 10_000_000)
    }

    fn entry_time(&self, entry_index: u64) -> TimePoint {
        let entry = &self.entries[entry_index as usize];
        TimePoint::from_micros((self.now as f64 * entry.clock_rate) as u64 + 10_000_000)
    }

    fn restart(&mut self, id: ReplicaId) {
        let now = self.local_time(id);
        let seed = self.rng.random();
        let defect = self.settings.defect;
        let settings = self.replica_settings.clone();
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        if node.keeper.is_some() || node.is_disk_corrupt {
            return;
        }
        let mut content = match node.disk.open() {
            Ok(content) => content,
            Err(error) => {
                node.is_disk_corrupt = true;
                self.trace_event(|| format!("replica {} rejects its corrupt disk: {error}", id.0));
                return;
            }
        };
        if defect == Some(SeededDefect::VoteNotPersisted) {
            content.hard_state = chestnutloft_core::consensus::HardState::default();
        }
        let core = ReplicaCore::restart(
            now,
            id,
            settings,
            content.snapshot,
            content.hard_state,
            content.entries,
            seed,
        );
        node.generation_count += 1;
        let generation = node.generation_count;
        node.keeper = Some(Keeper {
            core,
            state: empty_state(),
            grants: GrantTable::default(),
            was_leader: false,
            generation,
            is_saving: false,
            pending_proposals: HashMap::new(),
        });
        self.trace_event(|| format!("replica {} starts", id.0));
        self.schedule(TICK, SimulationEvent::Tick(id));
        self.process_ready(id);
    }

    fn crash(&mut self, id: ReplicaId) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        if node.keeper.take().is_some() {
            node.disk.crash(&mut self.rng);
            self.trace_event(|| format!("replica {} crashes", id.0));
        }
    }

    fn tick(&mut self, id: ReplicaId) {
        let now = self.local_time(id);
        let stamp = self.now;
        let lease = self.lease_settings.clone();
        let Some(keeper) = self.nodes.get_mut(&id).and_then(|n| n.keeper.as_mut()) else {
            return;
        };
        keeper.core.tick(now);
        if keeper.core.is_serving(now) {
            let expired = keeper.grants.remove_expired(now, &lease);
            for entry in expired {
                let command = KeeperCommand::EntryGone {
                    entry: entry.entry,
                    incarnation: entry.incarnation + 1,
                };
                let _ = keeper.core.propose(now, &encode(stamp, command));
            }
            let accepted = keeper.state.plan.revision;
            if let Some(revision) = keeper.grants.in_force(now, accepted, &lease) {
                self.in_force = self.in_force.max(revision);
            }
        }
        self.check_in_force();
        self.schedule(TICK, SimulationEvent::Tick(id));
        self.process_ready(id);
    }

    fn deliver(&mut self, from: ReplicaId, to: ReplicaId, message: PeerMessage) {
        if self.blocked_links.contains(&(from, to)) {
            return;
        }
        let now = self.local_time(to);
        let Some(keeper) = self.nodes.get_mut(&to).and_then(|n| n.keeper.as_mut()) else {
            return;
        };
        keeper.core.receive(now, from, message);
        self.process_ready(to);
    }

    fn saved(
        &mut self,
        id: ReplicaId,
        generation: u64,
        point: SavedPoint,
        messages: Vec<(ReplicaId, PeerMessage)>,
    ) {
        let now = self.local_time(id);
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let Some(keeper) = node.keeper.as_mut().filter(|k| k.generation == generation) else {
            return;
        };
        node.disk.sync();
        keeper.is_saving = false;
        keeper.core.on_saved(now, point);
        self.send(id, messages);
        self.compact(id);
        self.process_ready(id);
    }

    /// Takes a snapshot every 40 entries and rotates the journal in the same step.
    fn compact(&mut self, id: ReplicaId) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let Some(keeper) = node.keeper.as_mut() else {
            return;
        };
        let applied = keeper.core.applied_index();
        if applied < keeper.core.snapshot_index() + 40 {
            return;
        }
        let data: Arc<[u8]> = postcard::to_stdvec(&keeper.state).expect("encodes").into();
        if let Some(image) = keeper.core.compact(applied, data) {
            let entries = keeper.core.log().entries_after(image.index, usize::MAX);
            node.disk.rotate(&image, keeper.core.hard_state(), &entries);
        }
    }

    /// Carries out the replica's pending work until there is none or a save is in progress.
    fn process_ready(&mut self, id: ReplicaId) {
        loop {
            let now = self.local_time(id);
            let acks_before_sync = self.settings.defect == Some(SeededDefect::AckBeforeSync);
            let Some(node) = self.nodes.get_mut(&id) else {
                return;
            };
            let Some(keeper) = node.keeper.as_mut() else {
                return;
            };
            if keeper.is_saving {
                let ready = keeper.core.take_immediate();
                self.execute_ready(id, ready);
                return;
            }
            let mut ready = keeper.core.take_ready();
            let save = std::mem::take(&mut ready.save);
            let mut send_after_save = std::mem::take(&mut ready.send_after_save);
            let point = ready.point;
            let generation = keeper.generation;
            let has_committed = !ready.committed.is_empty();
            if save.is_empty() {
                keeper.core.on_saved(now, point);
                self.execute_ready(id, ready);
                self.send(id, send_after_save);
                if !has_committed {
                    return;
                }
                continue;
            }
            keeper.is_saving = true;
            node.disk.begin(&save);
            self.execute_ready(id, ready);
            if acks_before_sync {
                self.send(id, std::mem::take(&mut send_after_save));
            }
            let wait = Duration::from_micros(self.rng.random_range(100..15_000));
            self.schedule(
                wait,
                SimulationEvent::Saved(id, generation, point, send_after_save),
            );
            return;
        }
    }

    fn execute_ready(&mut self, id: ReplicaId, ready: ReadyBatch) {
        self.send(id, ready.send_now);
        if let Some(image) = ready.restore
            && !image.data.is_empty()
            && let Some(keeper) = self.nodes.get_mut(&id).and_then(|n| n.keeper.as_mut())
        {
            keeper.state = postcard::from_bytes(&image.data).expect("a snapshot decodes");
        }
        for entry in &ready.committed {
            self.apply(id, entry);
        }
        self.update_role(id);
    }

    fn apply(&mut self, id: ReplicaId, entry: &LogEntry) {
        let hash = content_hash(&postcard::to_stdvec(entry).expect("encodes"));
        let expected_hash = *self.entry_hashes.entry(entry.index).or_insert(hash);
        if expected_hash != hash {
            self.record_failure(format!(
                "replica {} applies a different entry at index {}",
                id.0, entry.index
            ));
            return;
        }
        let EntryBody::Command(bytes) = &entry.body else {
            return;
        };
        let stamped: StampedCommand = postcard::from_bytes(bytes).expect("a command decodes");
        let Some(keeper) = self.nodes.get_mut(&id).and_then(|n| n.keeper.as_mut()) else {
            return;
        };
        let outcome = keeper.state.apply(&stamped);
        if let Some((term, caller_index, call_id)) = keeper.pending_proposals.remove(&entry.index)
            && term == entry.term
        {
            self.on_answer(caller_index, call_id, outcome);
        }
    }

    fn update_role(&mut self, id: ReplicaId) {
        let now = self.local_time(id);
        let ignores_previous_leases =
            self.settings.defect == Some(SeededDefect::PreviousLeasesIgnored);
        let Some(keeper) = self.nodes.get_mut(&id).and_then(|n| n.keeper.as_mut()) else {
            return;
        };
        let is_leader = keeper.core.is_leader();
        if is_leader == keeper.was_leader {
            return;
        }
        keeper.was_leader = is_leader;
        let term = keeper.core.term();
        if !is_leader {
            keeper.pending_proposals.clear();
            self.trace_event(|| format!("replica {} follows in term {term}", id.0));
            return;
        }
        let leader_since = if ignores_previous_leases {
            TimePoint::ZERO
        } else {
            now
        };
        keeper.grants.reset(leader_since);
        self.counts.elections += 1;
        self.trace_event(|| format!("replica {} leads term {term}", id.0));
        let first_leader = *self.leader_by_term.entry(term).or_insert(id);
        if first_leader != id {
            self.record_failure(format!(
                "replicas {} and {} lead term {term}",
                first_leader.0, id.0
            ));
        }
    }

    fn send(&mut self, from: ReplicaId, messages: Vec<(ReplicaId, PeerMessage)>) {
        for (to, message) in messages {
            if self.rng.random_range(0.0..1.0) < self.loss_rate {
                continue;
            }
            let copies = if self.rng.random_range(0.0..1.0) < self.loss_rate / 4.0 {
                2
            } else {
                1
            };
            for _ in 0..copies {
                let wait = Duration::from_micros(self.rng.random_range(200..12_000));
                let event = SimulationEvent::Deliver(from, to, Box::new(message.clone()));
                self.schedule(wait, event);
            }
        }
    }

    fn random_replica(&mut self) -> ReplicaId {
        let ids: Vec<ReplicaId> = self.nodes.keys().copied().collect();
        ids[self.rng.random_range(0..ids.len())]
    }

    /// Checks that a leader serves, that the voters that applied as much as it agree with it, and
    /// that no request was billed twice.
    fn check_final_state(&mut self) -> Result<(), String> {
        let leader = self
            .serving_leader()
            .ok_or("no leader serves after all faults are healed")?;
        let config = self.config_of(leader);
        let state = |id: &ReplicaId| {
            let keeper = self.nodes.get(id)?.keeper.as_ref()?;
            Some((keeper.core.applied_index(), &keeper.state))
        };
        let Some((applied, expected)) = state(&leader) else {
            return Err("the leader has no state".to_owned());
        };
        for id in config.voters.keys() {
            if let Some((other_applied, other)) = state(id)
                && other_applied == applied
                && other != expected
            {
                return Err(format!("replicas {} and {} differ", leader.0, id.0));
            }
        }
        let billed: u64 = expected.ledger.spend().values().map(|c| c.requests).sum();
        if billed > self.dispatches.len() as u64 {
            return Err(format!(
                "{billed} bills for {} requests",
                self.dispatches.len()
            ));
        }
        Ok(())
    }
}

fn empty_state() -> KeeperState {
    KeeperState {
        ledger: LedgerState::new(LedgerSettings {
            shards: 2,
            running_grace: Duration::from_millis(100),
            ..LedgerSettings::default()
        }),
        ..KeeperState::default()
    }
}

fn encode(stamp: u64, command: KeeperCommand) -> Vec<u8> {
    let stamped = StampedCommand {
        stamp: TimePoint::from_micros(stamp),
        command,
    };
    postcard::to_stdvec(&stamped).expect("encodes")
}
