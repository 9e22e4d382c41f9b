//! A small world of keepers, entries and callers under a seeded schedule of failures.

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
    EntryBeat, EntryLease, GrantTable, KeeperCommand, KeeperOutcome, KeeperState, LeaseSettings,
    StampedCommand,
};
use chestnutloft_core::time::TimePoint;
use porcupine_rs::Operation;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use crate::disk::FakeDisk;
use crate::history::{self, KeeperModel, KeyedOp, SeenClaim, SeenOp};

/// A fault built in on purpose, to show that the checks find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeededDefect {
    /// Votes and entries are acknowledged before they are synced.
    AckBeforeSync,
    /// A replica that restarts forgets its term and vote.
    ForgottenVote,
    /// The leader trusts its lease for far longer than followers keep to it.
    LongLease,
    /// A caller dispatches before its claim is granted.
    ClaimNotAwaited,
    /// A new leader calls a revision in force while older leases may run.
    NoInheritedWait,
    /// An entry goes on working after its lease has run out.
    LeaseIgnored,
    /// A replica that lost its disk comes back under its old number.
    OldNumber,
}

/// What a schedule is made of.
#[derive(Clone, Debug)]
pub struct WorldSettings {
    /// Seed.
    pub seed: u64,
    /// Keepers at the start.
    pub keepers: u64,
    /// Length of the schedule.
    pub length: Duration,
    /// Fault built in, if any.
    pub defect: Option<SeededDefect>,
    /// Whether a readable trace is kept.
    pub is_traced: bool,
}

impl WorldSettings {
    /// The schedule of `seed`.
    pub fn of_seed(seed: u64) -> Self {
        Self {
            seed,
            keepers: if seed.is_multiple_of(4) { 5 } else { 3 },
            length: Duration::from_secs(8),
            defect: None,
            is_traced: false,
        }
    }
}

const TICK: Duration = Duration::from_millis(20);
const ENTRIES: u64 = 3;
const SESSIONS: u64 = 2;
const VERSIONS: u8 = 3;
const REVISION_KEY: u64 = 1_000_000;
const SESSION_KEYS: u64 = 2_000_000;
/// Return time of an operation whose answer never came.
const NEVER: i64 = i64::MAX / 2;

#[derive(Debug)]
enum WorldEvent {
    Tick(ReplicaId),
    Deliver(ReplicaId, ReplicaId, Box<PeerMessage>),
    Saved(ReplicaId, u64, SavedPoint, Vec<(ReplicaId, PeerMessage)>),
    Restart(ReplicaId),
    EntryBeat(u64),
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
    life: u64,
    is_saving: bool,
    waiting: HashMap<u64, (u64, u64, u64)>,
}

struct Node {
    disk: FakeDisk,
    keeper: Option<Keeper>,
    clock_rate: f64,
    clock_offset: u64,
    is_lost: bool,
    lives: u64,
}

struct Entry {
    plan: PlanState,
    lease: EntryLease,
    incarnation: u64,
    clock_rate: f64,
    target: u64,
    cut_until: u64,
}

/// What a caller waits for.
#[derive(Clone, Debug)]
struct Asked {
    number: u64,
    called_at: u64,
    op: KeyedOp,
    command: KeeperCommand,
}

#[derive(Default)]
struct Caller {
    asked: Option<Asked>,
    number: u64,
    /// Claim that was granted and what follows it.
    granted: Option<(u64, AttemptId)>,
    declared: u64,
    content: u64,
    repeats: Option<(KeyedOp, KeeperCommand)>,
}

/// The world.
pub struct World {
    settings: WorldSettings,
    rng: Pcg64,
    now: u64,
    sequence: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, WorldEvent>,
    nodes: BTreeMap<ReplicaId, Node>,
    cut: BTreeSet<(ReplicaId, ReplicaId)>,
    loss: f64,
    entries: Vec<Entry>,
    callers: Vec<Caller>,
    history: Vec<Operation<KeeperModel>>,
    next_replica: u64,
    leaders: BTreeMap<u64, ReplicaId>,
    committed: BTreeMap<u64, u128>,
    dispatches: HashMap<u64, u64>,
    in_force: u64,
    replica_settings: ReplicaSettings,
    lease_settings: LeaseSettings,
    trace: Vec<String>,
    failure: Option<String>,
    is_healed: bool,
    /// What happened, for the proof that schedules are not idle.
    pub counts: WorldCounts,
}

/// What happened in a schedule.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorldCounts {
    /// Elections won.
    pub elections: u64,
    /// Commands answered.
    pub answered: u64,
    /// Faults caused.
    pub faults: u64,
    /// Claims granted.
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

impl World {
    /// A world at the start of its schedule.
    pub fn new(settings: WorldSettings) -> Self {
        let mut rng = Pcg64::seed_from_u64(settings.seed);
        let voters = (1..=settings.keepers).map(|n| (ReplicaId(n), format!("k{n}")));
        let config = MemberConfig::of_voters(voters);
        let clock_skew = if settings.defect == Some(SeededDefect::LongLease) {
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
                target: 1,
                cut_until: 0,
            })
            .collect();
        let mut world = Self {
            nodes: BTreeMap::new(),
            rng,
            now: 1_000_000,
            sequence: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            cut: BTreeSet::new(),
            loss: 0.0,
            entries,
            callers: (0..ENTRIES).map(|_| Caller::default()).collect(),
            history: Vec::new(),
            next_replica: settings.keepers + 1,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            dispatches: HashMap::new(),
            in_force: 0,
            replica_settings,
            lease_settings,
            trace: Vec::new(),
            failure: None,
            is_healed: false,
            counts: WorldCounts::default(),
            settings,
        };
        let ids: Vec<ReplicaId> = config.voters.keys().copied().collect();
        for id in ids {
            world.add_node(id, &config);
        }
        for number in 0..ENTRIES {
            world.schedule(Duration::from_millis(5), WorldEvent::EntryBeat(number));
            world.schedule(Duration::from_millis(300), WorldEvent::CallerStep(number));
        }
        world.schedule(Duration::from_millis(900), WorldEvent::Fault);
        world
    }

    fn add_node(&mut self, id: ReplicaId, config: &MemberConfig) {
        let node = Node {
            disk: FakeDisk::formatted(config),
            keeper: None,
            clock_rate: self.rng.random_range(0.991..1.009),
            clock_offset: self.rng.random_range(0..5_000_000),
            is_lost: false,
            lives: 0,
        };
        self.nodes.insert(id, node);
        self.restart(id);
    }

    fn schedule(&mut self, wait: Duration, event: WorldEvent) {
        self.sequence += 1;
        let at = self.now + u64::try_from(wait.as_micros()).expect("short waits");
        self.queue.push(Reverse((at, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    fn note(&mut self, line: impl FnOnce() -> String) {
        if self.settings.is_traced {
            let at = self.now;
            self.trace
                .push(format!("{:>9.3} ms  {}", at as f64 / 1_000.0, line()));
        }
    }

    fn fail(&mut self, problem: String) {
        self.note(|| format!("FAILED: {problem}"));
        self.failure.get_or_insert(problem);
    }

    /// The trace, newest lines last.
    pub fn trace(&self) -> String {
        let mut text = String::new();
        for line in &self.trace {
            let _ = writeln!(text, "{line}");
        }
        text
    }

    /// Runs the schedule, heals everything, and checks what was seen.
    ///
    /// # Errors
    /// What did not hold.
    pub fn run(&mut self) -> Result<(), String> {
        let end = self.now + u64::try_from(self.settings.length.as_micros()).expect("short");
        let calm = end + 6_000_000;
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > calm || self.failure.is_some() {
                break;
            }
            if at > end && !self.is_healed {
                self.heal_all();
            }
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
        }
        if let Some(problem) = self.failure.take() {
            return Err(problem);
        }
        self.check_end()?;
        self.record_unanswered();
        history::check(&self.history)
    }

    fn handle(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Tick(id) => self.tick(id),
            WorldEvent::Deliver(from, to, message) => self.deliver(from, to, *message),
            WorldEvent::Saved(id, life, point, messages) => self.saved(id, life, point, messages),
            WorldEvent::Restart(id) => self.restart(id),
            WorldEvent::EntryBeat(number) => self.entry_beat(number),
            WorldEvent::EntryRestart(number) => self.entry_restart(number),
            WorldEvent::CallerStep(number) => self.caller_step(number),
            WorldEvent::CallerTimeout(caller, number) => self.caller_timeout(caller, number),
            WorldEvent::Fault => self.cause_fault(),
            WorldEvent::Heal => {
                self.cut.clear();
                self.loss = 0.0;
                self.note(|| "network heals".to_owned());
            }
        }
    }

    fn local(&self, id: ReplicaId) -> TimePoint {
        let node = &self.nodes[&id];
        let passed = self.now as f64 * node.clock_rate;
        TimePoint::from_micros(passed as u64 + node.clock_offset + 10_000_000)
    }

    fn entry_now(&self, number: u64) -> TimePoint {
        let entry = &self.entries[number as usize];
        TimePoint::from_micros((self.now as f64 * entry.clock_rate) as u64 + 10_000_000)
    }

    fn restart(&mut self, id: ReplicaId) {
        let now = self.local(id);
        let seed = self.rng.random();
        let defect = self.settings.defect;
        let settings = self.replica_settings.clone();
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        if node.keeper.is_some() || node.is_lost {
            return;
        }
        let mut content = match node.disk.open() {
            Ok(content) => content,
            Err(fault) => {
                node.is_lost = true;
                self.note(|| format!("replica {} does not trust its disk: {fault}", id.0));
                return;
            }
        };
        if defect == Some(SeededDefect::ForgottenVote) {
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
        node.lives += 1;
        let life = node.lives;
        node.keeper = Some(Keeper {
            core,
            state: empty_state(),
            grants: GrantTable::default(),
            was_leader: false,
            life,
            is_saving: false,
            waiting: HashMap::new(),
        });
        self.note(|| format!("replica {} starts", id.0));
        self.schedule(TICK, WorldEvent::Tick(id));
        self.pump(id);
    }

    fn crash(&mut self, id: ReplicaId) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        if node.keeper.take().is_some() {
            node.disk.crash(&mut self.rng);
            self.note(|| format!("replica {} crashes", id.0));
        }
    }

    fn tick(&mut self, id: ReplicaId) {
        let now = self.local(id);
        let stamp = self.now;
        let lease = self.lease_settings.clone();
        let Some(keeper) = self.nodes.get_mut(&id).and_then(|n| n.keeper.as_mut()) else {
            return;
        };
        keeper.core.tick(now);
        if keeper.core.is_serving(now) {
            let lapsed = keeper.grants.take_lapsed(now, &lease);
            for gone in lapsed {
                let command = KeeperCommand::EntryGone {
                    entry: gone.entry,
                    incarnation: gone.incarnation + 1,
                };
                let _ = keeper.core.propose(now, &encode(stamp, command));
            }
            let accepted = keeper.state.plan.revision;
            if let Some(revision) = keeper.grants.in_force(now, accepted, &lease) {
                self.in_force = self.in_force.max(revision);
            }
        }
        self.check_in_force();
        self.schedule(TICK, WorldEvent::Tick(id));
        self.pump(id);
    }

    fn deliver(&mut self, from: ReplicaId, to: ReplicaId, message: PeerMessage) {
        if self.cut.contains(&(from, to)) {
            return;
        }
        let now = self.local(to);
        let Some(keeper) = self.nodes.get_mut(&to).and_then(|n| n.keeper.as_mut()) else {
            return;
        };
        keeper.core.receive(now, from, message);
        self.pump(to);
    }

    fn saved(
        &mut self,
        id: ReplicaId,
        life: u64,
        point: SavedPoint,
        messages: Vec<(ReplicaId, PeerMessage)>,
    ) {
        let now = self.local(id);
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let Some(keeper) = node.keeper.as_mut().filter(|k| k.life == life) else {
            return;
        };
        node.disk.sync();
        keeper.is_saving = false;
        keeper.core.on_saved(now, point);
        self.send(id, messages);
        self.compact(id);
        self.pump(id);
    }

    /// Takes a snapshot now and then, in one step with the disk.
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

    fn pump(&mut self, id: ReplicaId) {
        loop {
            let now = self.local(id);
            let ack_early = self.settings.defect == Some(SeededDefect::AckBeforeSync);
            let Some(node) = self.nodes.get_mut(&id) else {
                return;
            };
            let Some(keeper) = node.keeper.as_mut() else {
                return;
            };
            if keeper.is_saving {
                let ready = keeper.core.take_immediate();
                self.carry_out(id, ready);
                return;
            }
            let mut ready = keeper.core.take_ready();
            let save = std::mem::take(&mut ready.save);
            let mut after = std::mem::take(&mut ready.send_after_save);
            let point = ready.point;
            let life = keeper.life;
            let has_committed = !ready.committed.is_empty();
            if save.is_empty() {
                keeper.core.on_saved(now, point);
                self.carry_out(id, ready);
                self.send(id, after);
                if !has_committed {
                    return;
                }
                continue;
            }
            keeper.is_saving = true;
            node.disk.begin(&save);
            self.carry_out(id, ready);
            if ack_early {
                self.send(id, std::mem::take(&mut after));
            }
            let wait = Duration::from_micros(self.rng.random_range(100..15_000));
            self.schedule(wait, WorldEvent::Saved(id, life, point, after));
            return;
        }
    }

    fn carry_out(&mut self, id: ReplicaId, ready: ReadyBatch) {
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
        self.note_role(id);
    }

    fn apply(&mut self, id: ReplicaId, entry: &LogEntry) {
        let hash = content_hash(&postcard::to_stdvec(entry).expect("encodes"));
        let known = *self.committed.entry(entry.index).or_insert(hash);
        if known != hash {
            self.fail(format!(
                "replica {} applies another entry at {}",
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
        if let Some((term, caller, number)) = keeper.waiting.remove(&entry.index)
            && term == entry.term
        {
            self.answered(caller, number, outcome);
        }
    }

    fn note_role(&mut self, id: ReplicaId) {
        let now = self.local(id);
        let no_wait = self.settings.defect == Some(SeededDefect::NoInheritedWait);
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
            keeper.waiting.clear();
            self.note(|| format!("replica {} follows in term {term}", id.0));
            return;
        }
        let since = if no_wait { TimePoint::ZERO } else { now };
        keeper.grants.start(since);
        self.counts.elections += 1;
        self.note(|| format!("replica {} leads term {term}", id.0));
        let known = *self.leaders.entry(term).or_insert(id);
        if known != id {
            self.fail(format!(
                "replicas {} and {} lead term {term}",
                known.0, id.0
            ));
        }
    }

    fn send(&mut self, from: ReplicaId, messages: Vec<(ReplicaId, PeerMessage)>) {
        for (to, message) in messages {
            if self.rng.random_range(0.0..1.0) < self.loss {
                continue;
            }
            let copies = if self.rng.random_range(0.0..1.0) < self.loss / 4.0 {
                2
            } else {
                1
            };
            for _ in 0..copies {
                let wait = Duration::from_micros(self.rng.random_range(200..12_000));
                let event = WorldEvent::Deliver(from, to, Box::new(message.clone()));
                self.schedule(wait, event);
            }
        }
    }

    fn replica_at(&mut self) -> ReplicaId {
        let ids: Vec<ReplicaId> = self.nodes.keys().copied().collect();
        ids[self.rng.random_range(0..ids.len())]
    }

    /// After everything has healed, a leader serves and all replicas agree.
    fn check_end(&mut self) -> Result<(), String> {
        let leader = self
            .serving_leader()
            .ok_or("no leader serves after healing")?;
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
