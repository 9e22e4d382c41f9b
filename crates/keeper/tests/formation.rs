//! Membership changes that the leader makes, and how a replica gets its number.

use std::net::SocketAddr;

use chestnutloft_core::consensus::{
    MemberChange, MemberConfig, ReplicaCore, ReplicaId, ReplicaSettings,
};
use chestnutloft_core::time::TimePoint;
use chestnutloft_keeper::formation::{
    FormationSettings, MembershipManager, prepare_folder, seed_addresses,
};
use chestnutloft_keeper::settings::KeeperSettings;

const LEADER: ReplicaId = ReplicaId(1);
const JOINER: ReplicaId = ReplicaId(77);

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(3_600_000 + millis)
}

/// A leader that is the only voter, bootstrapped at `at(0)`.
fn leader() -> ReplicaCore {
    let config = MemberConfig::of_voters([(LEADER, "10.0.0.1:7".to_owned())]);
    let mut core = ReplicaCore::bootstrap(at(0), LEADER, ReplicaSettings::default(), config, 1);
    let mut now = 0;
    while !core.is_serving(at(now)) {
        now += 20;
        core.tick(at(now));
        save(&mut core, now);
        assert!(now < 5_000, "no leader for 5 s");
    }
    core
}

fn save(core: &mut ReplicaCore, now: u64) {
    for _ in 0..3 {
        let point = core.take_ready().point;
        core.on_saved(at(now), point);
    }
}

fn run_until(core: &mut ReplicaCore, from: u64, to: u64) {
    for now in (from..to).step_by(20) {
        core.tick(at(now));
        save(core, now);
    }
}

#[test]
fn a_joining_replica_is_added_once_while_it_catches_up() {
    let mut core = leader();
    let mut manager = MembershipManager::default();
    run_until(&mut core, 5_000, 60_000);
    let address = || "10.0.0.2:7".to_owned();

    manager.record_join_request(at(60_000), JOINER, address());
    let first = manager.due_change(at(60_000), &core).expect("a change");
    core.propose_member_change(at(60_000), &first)
        .expect("accepted");
    save(&mut core, 60_000);
    let mut later = Vec::new();
    for now in (60_020..75_000).step_by(20) {
        run_until(&mut core, now, now + 20);
        manager.record_join_request(at(now), JOINER, address());
        later.extend(manager.due_change(at(now), &core));
    }

    assert_eq!(first, MemberChange::Add(JOINER, address()));
    assert_eq!(later, []);
}

#[test]
fn a_joining_replica_that_never_answers_is_removed() {
    let mut core = leader();
    let mut manager = MembershipManager::default();
    manager.record_join_request(at(5_000), JOINER, "10.0.0.2:7".to_owned());
    let first = manager.due_change(at(5_000), &core).expect("a change");
    core.propose_member_change(at(5_000), &first)
        .expect("accepted");
    run_until(&mut core, 5_000, 40_000);

    let change = manager.due_change(at(40_000), &core);

    assert_eq!(change, Some(MemberChange::Remove(JOINER)));
}

#[test]
fn a_replica_that_lost_its_disk_replaces_its_old_number() {
    let mut core = leader();
    let mut manager = MembershipManager::default();
    let old = MemberChange::Add(ReplicaId(2), "10.0.0.2:7".to_owned());
    core.propose_member_change(at(5_000), &old)
        .expect("accepted");
    save(&mut core, 5_000);

    manager.record_join_request(at(5_020), JOINER, "10.0.0.2:7".to_owned());
    let removal = manager.due_change(at(5_020), &core).expect("a change");
    core.propose_member_change(at(5_020), &removal)
        .expect("accepted");
    save(&mut core, 5_020);
    let addition = manager.due_change(at(5_040), &core);

    assert_eq!(removal, MemberChange::Remove(ReplicaId(2)));
    let expected = MemberChange::Add(JOINER, "10.0.0.2:7".to_owned());
    assert_eq!(addition, Some(expected));
}

fn settings(data: &std::path::Path, last_octet: u8, is_founding: bool) -> KeeperSettings {
    let seed = |octet| SocketAddr::from(([10, 0, 0, octet], 8_000));
    KeeperSettings {
        rpc: SocketAddr::from(([10, 0, 0, last_octet], 7_000)),
        data: data.to_owned(),
        formation: Some(FormationSettings {
            seeds: vec![seed(3), seed(1), seed(2)],
            is_founding,
            tolerated_losses: 2,
        }),
        ..KeeperSettings::default()
    }
}

fn prepare(settings: &KeeperSettings) -> ReplicaId {
    let formation = settings.formation.as_ref().expect("set");
    prepare_folder(settings, formation).expect("a folder")
}

#[test]
fn founders_are_numbered_by_their_position_among_the_sorted_seeds() {
    let data = tempfile::tempdir().expect("a folder");

    let numbers: Vec<ReplicaId> = (1..=3)
        .map(|octet| {
            let folder = data.path().join(octet.to_string());
            prepare(&settings(&folder, octet, true))
        })
        .collect();

    assert_eq!(numbers, [ReplicaId(1), ReplicaId(2), ReplicaId(3)]);
}

#[test]
fn a_replica_keeps_its_number_but_never_gets_it_back_after_losing_its_disk() {
    let data = tempfile::tempdir().expect("a folder");
    let folder = data.path().join("k");

    let founder = prepare(&settings(&folder, 2, true));
    let restarted = prepare(&settings(&folder, 2, false));
    std::fs::remove_dir_all(&folder).expect("removed");
    let wiped = prepare(&settings(&folder, 2, false));
    std::fs::remove_dir_all(&folder).expect("removed");
    let again = prepare(&settings(&folder, 2, false));

    assert_eq!(founder, restarted);
    assert!(wiped.0 > 3 && again.0 > 3 && wiped != again);
}

#[test]
fn an_interrupted_formatting_is_restarted() {
    let data = tempfile::tempdir().expect("a folder");
    let folder = data.path().join("k");
    std::fs::create_dir_all(&folder).expect("made");
    std::fs::write(folder.join("journal-00000001.log"), b"half").expect("written");

    assert_eq!(prepare(&settings(&folder, 1, true)), ReplicaId(1));
}

#[test]
fn seed_addresses_are_sorted_and_use_the_rpc_port() {
    let seeds: Vec<SocketAddr> = [3, 1, 3]
        .map(|octet| SocketAddr::from(([10, 0, 0, octet], 8_000)))
        .into();

    let addresses = seed_addresses(&seeds, 7_000);

    let expected = [1, 3].map(|octet| SocketAddr::from(([10, 0, 0, octet], 7_000)));
    assert_eq!(addresses, expected);
}
