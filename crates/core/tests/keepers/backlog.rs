//! What a leader sends to followers that do not answer, and how much of the log it keeps.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use chestnutloft_core::consensus::{
    EntryBody, LogEntry, MemberConfig, PeerMessage, ReplicaCore, ReplicaId, ReplicaSettings,
};
use chestnutloft_core::time::TimePoint;

const VOTERS: u64 = 5;
const STEP: Duration = Duration::from_millis(20);
const COMMAND_BYTES: usize = 400_000;
/// Largest message, but for one that holds a single larger entry.
const MAX_MESSAGE_BYTES: usize = 1024 * 1024;
/// Most bytes of compacted entries that are kept for lagging followers.
const MAX_KEPT_BYTES: usize = 4 * 1024 * 1024;

/// Replicas on instant disks and links; the links of silent ones deliver nothing.
struct ReplicaGroup {
    now: TimePoint,
    replicas: BTreeMap<ReplicaId, ReplicaCore>,
    silent: BTreeSet<ReplicaId>,
    /// Log bytes sent to each silent replica.
    undelivered: BTreeMap<ReplicaId, usize>,
    /// Log bytes in the largest message that was delivered.
    largest_message: usize,
    delivered: usize,
}

fn entry_bytes(entries: &[LogEntry]) -> usize {
    let bytes = entries.iter().map(|entry| match &entry.body {
        EntryBody::Command(command) => command.len(),
        EntryBody::Noop | EntryBody::Config(_) => 0,
    });
    bytes.sum()
}

fn message_bytes(message: &PeerMessage) -> usize {
    match message {
        PeerMessage::Append { entries, .. } => entry_bytes(entries),
        PeerMessage::Snapshot { image, .. } => image.data.len(),
        _ => 0,
    }
}

impl ReplicaGroup {
    fn start(settings: &ReplicaSettings) -> Self {
        let now = TimePoint::from_micros(1_000_000);
        let address = |id: u64| (ReplicaId(id), format!("10.0.0.{id}:1"));
        let config = MemberConfig::of_voters((1..=VOTERS).map(address));
        let replica = |id: u64| {
            let settings = settings.clone();
            let core = ReplicaCore::bootstrap(now, ReplicaId(id), settings, config.clone(), id);
            (ReplicaId(id), core)
        };
        let mut group = Self {
            now,
            replicas: (1..=VOTERS).map(replica).collect(),
            silent: BTreeSet::new(),
            undelivered: BTreeMap::new(),
            largest_message: 0,
            delivered: 0,
        };
        group.run_until(|group| group.serving().is_some());
        group
    }

    fn serving(&self) -> Option<ReplicaId> {
        let mut replicas = self.replicas.iter();
        let serving = replicas.find(|(_, core)| core.is_serving(self.now));
        serving.map(|(id, _)| *id)
    }

    fn leader(&mut self) -> &mut ReplicaCore {
        let id = self.serving().expect("a serving leader");
        self.replicas.get_mut(&id).expect("a replica")
    }

    /// Silences `count` followers and returns them.
    fn silence_followers(&mut self, count: usize) -> Vec<ReplicaId> {
        let leader = self.serving();
        let ids = self.replicas.keys().copied();
        let chosen: Vec<ReplicaId> = ids.filter(|id| Some(*id) != leader).take(count).collect();
        self.silent.extend(&chosen);
        chosen
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let now = self.now;
        for core in self.replicas.values_mut() {
            core.tick(now);
        }
        while self.exchange() {}
    }

    /// Carries out the pending work of all replicas; returns whether there was any.
    fn exchange(&mut self) -> bool {
        let now = self.now;
        let mut sent = Vec::new();
        let mut has_worked = false;
        for (from, core) in &mut self.replicas {
            let ready = core.take_ready();
            has_worked |= !ready.save.is_empty() || !ready.committed.is_empty();
            core.on_saved(now, ready.point);
            let messages = ready.send_now.into_iter().chain(ready.send_after_save);
            sent.extend(messages.map(|(to, message)| (*from, to, message)));
        }
        has_worked |= !sent.is_empty();
        for (from, to, message) in sent {
            let bytes = message_bytes(&message);
            if self.silent.contains(&to) || self.silent.contains(&from) {
                *self.undelivered.entry(to).or_default() += bytes;
                continue;
            }
            self.largest_message = self.largest_message.max(bytes);
            self.delivered += bytes;
            let receiver = self.replicas.get_mut(&to).expect("a replica");
            receiver.receive(now, from, message);
        }
        has_worked
    }

    fn run_until(&mut self, condition: impl Fn(&Self) -> bool) {
        for _ in 0..1_000 {
            if condition(self) {
                return;
            }
            self.step();
        }
        panic!("condition not met after 1,000 steps");
    }

    /// Proposes `count` commands, one each `interval`.
    fn propose(&mut self, count: usize, interval: Duration) {
        let steps = interval.as_micros() / STEP.as_micros();
        for _ in 0..count {
            let now = self.now;
            let proposed = self.leader().propose(now, &vec![7; COMMAND_BYTES]);
            assert!(proposed.is_ok());
            for _ in 0..steps {
                self.step();
            }
        }
    }

    fn all_match(&self) -> bool {
        let mut indexes = self.replicas.values().map(ReplicaCore::commit_index);
        let first = indexes.next();
        indexes.all(|index| Some(index) == first)
    }
}

fn settings() -> ReplicaSettings {
    ReplicaSettings {
        election_min: Duration::from_millis(250),
        election_max: Duration::from_millis(450),
        ..ReplicaSettings::default()
    }
}

#[test]
fn a_silent_follower_is_sent_each_entry_at_most_once() {
    let mut group = ReplicaGroup::start(&settings());
    let silent = group.silence_followers(2);

    group.propose(50, Duration::from_millis(200));

    for id in silent {
        let undelivered = group.undelivered.get(&id).copied().unwrap_or_default();
        assert!(
            undelivered <= MAX_MESSAGE_BYTES,
            "{undelivered} bytes for replica {} that does not answer",
            id.0
        );
    }
}

#[test]
fn a_follower_that_returns_catches_up_in_bounded_messages() {
    let mut group = ReplicaGroup::start(&settings());
    let silent = group.silence_followers(2);
    group.propose(50, Duration::from_millis(60));

    group.silent.clear();
    group.largest_message = 0;
    group.delivered = 0;
    group.run_until(ReplicaGroup::all_match);

    assert!(group.largest_message <= MAX_MESSAGE_BYTES);
    // Each returning follower needs 50 commands; what was sent into silence is sent once more.
    let needed = silent.len() * 50 * COMMAND_BYTES;
    assert!(
        group.delivered <= needed + needed / 10,
        "{}",
        group.delivered
    );
}

#[test]
fn a_compacted_log_keeps_a_bounded_number_of_bytes() {
    let mut group = ReplicaGroup::start(&settings());
    group.propose(100, STEP);

    let leader = group.leader();
    let applied = leader.applied_index();
    leader.compact(applied, vec![0; 10].into());
    let log = leader.log();
    let kept = entry_bytes(&log.entries_after(log.base_index(), usize::MAX));

    assert!(kept <= MAX_KEPT_BYTES, "{kept}");
}
