//! Planned replacements of keepers in drawn orders, with and without notice.

mod cluster;

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use chestnutloft_core::consensus::ReplicaId;

use crate::cluster::{FOUNDERS, KeeperCluster};

const SEEDS: u64 = 60;
/// Time that a new keeper gets to catch up before it counts as a member, in milliseconds.
const CATCH_UP_MS: u64 = 4_000;
const COMMAND: &[u8] = b"acknowledged";

/// A founded cluster with an acknowledged command, and `count` successors that have caught up.
fn cluster_with_successors(seed: u64, count: usize) -> KeeperCluster {
    let mut cluster = KeeperCluster::found(seed);
    for _ in 0..count {
        cluster.start_successor();
        cluster.advance(CATCH_UP_MS);
    }
    cluster.write(COMMAND);
    cluster
}

/// `count` founders in a drawn order.
fn drawn_founders(rng: &mut Pcg64, count: usize) -> Vec<ReplicaId> {
    let mut founders: Vec<ReplicaId> = (1..=FOUNDERS).map(ReplicaId).collect();
    founders.shuffle(rng);
    founders.truncate(count);
    founders
}

/// Whether a keeper serves what was acknowledged, and exactly the running keepers are voters.
fn has_recovered(cluster: &mut KeeperCluster) -> bool {
    cluster.reaches(|cluster| {
        let running = cluster.running();
        let members = cluster.members();
        let is_complete = members.is_some_and(|members| {
            let is_running = |id: &ReplicaId| running.contains(id);
            members.voters.len() == running.len() && members.voters.keys().all(is_running)
        });
        is_complete && cluster.has_applied(COMMAND)
    })
}

/// Guards against keepers that had caught up but had no vote when those they replace were removed
/// within seconds, which ended the quorum for good.
#[test]
fn successors_keep_a_quorum_when_all_that_they_replace_vanish() {
    let mut failed = Vec::new();
    for seed in 0..SEEDS {
        let mut rng = Pcg64::seed_from_u64(seed);
        let count = rng.random_range(1..=4);
        let mut cluster = cluster_with_successors(seed, count);

        for old in drawn_founders(&mut rng, count) {
            cluster.kill(old);
            cluster.advance(rng.random_range(0..=400) * 5);
        }

        if !has_recovered(&mut cluster) {
            failed.push((seed, count));
        }
    }
    assert_eq!(failed, [], "(seed, replaced keepers) without a quorum");
}

/// Guards against keepers that end while they still have a vote that a successor could take over:
/// the loss of two disks at that moment ended the quorum for good.
#[test]
fn stopped_keepers_hand_over_their_votes_before_two_others_vanish() {
    let mut failed = Vec::new();
    for seed in 0..SEEDS {
        let mut rng = Pcg64::seed_from_u64(seed);
        let count = rng.random_range(1..=3);
        let mut cluster = cluster_with_successors(seed, count);

        let founders = drawn_founders(&mut rng, count + 2);
        let (stopped, lost) = founders.split_at(count);
        cluster.stop(stopped);
        for id in lost {
            cluster.kill(*id);
        }

        let is_served = cluster.reaches(|cluster| cluster.has_applied(COMMAND));
        if !is_served {
            failed.push((seed, count));
        }
    }
    assert_eq!(failed, [], "(seed, stopped keepers) without a quorum");
}

/// Guards against a cluster that shrinks while its keepers are restarted one after the other.
#[test]
fn restarts_in_turn_keep_all_votes() {
    for seed in 0..SEEDS / 4 {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut cluster = cluster_with_successors(seed, usize::from(seed % 2 == 1));

        for id in drawn_founders(&mut rng, FOUNDERS as usize) {
            let stopped = cluster.stop(&[id]);
            cluster.restart(&stopped[0]);
            cluster.advance(CATCH_UP_MS);
        }

        let members = cluster.members().expect("a leader");
        assert_eq!(members.voters.len(), FOUNDERS as usize, "seed {seed}");
        assert!(cluster.has_applied(COMMAND), "seed {seed}");
    }
}

/// Guards against keepers of which none can leave while all the others leave as well.
#[test]
fn all_founders_may_be_replaced_at_once() {
    let mut failed: Vec<u64> = Vec::new();
    for seed in 0..SEEDS / 4 {
        let mut cluster = cluster_with_successors(seed, FOUNDERS as usize);
        let mut rng = Pcg64::seed_from_u64(seed);

        cluster.stop(&drawn_founders(&mut rng, FOUNDERS as usize));

        if !has_recovered(&mut cluster) {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "no quorum with seeds {failed:?}");
}

/// Guards against keepers that wait for each other when all of them are stopped at once.
#[test]
fn keepers_that_all_stop_keep_their_votes_and_return() {
    for seed in 0..SEEDS / 4 {
        let mut cluster = cluster_with_successors(seed, 0);

        let stopped = cluster.stop(&cluster.running());
        for replica in &stopped {
            cluster.restart(replica);
        }

        assert!(has_recovered(&mut cluster), "seed {seed}");
    }
}

/// Guards against overlaps: keepers are replaced, restarted and lost in a drawn order, with and
/// without notice, as far as the tolerated losses allow, while messages are lost.
#[test]
fn what_was_acknowledged_outlives_any_order_of_tolerated_losses() {
    let mut failed: Vec<u64> = Vec::new();
    for seed in 0..SEEDS {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut cluster = cluster_with_successors(seed, 0);
        cluster.lose_messages(0.01);
        for _ in 0..8 {
            lose_some(&mut rng, &mut cluster);
            cluster.advance(CATCH_UP_MS + rng.random_range(0..400) * 5);
        }

        if !has_recovered(&mut cluster) {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "no quorum with seeds {failed:?}");
}

/// Replaces, restarts or loses one or two keepers.
fn lose_some(rng: &mut Pcg64, cluster: &mut KeeperCluster) {
    let mut running = cluster.running();
    running.shuffle(rng);
    running.truncate(rng.random_range(1..=2));
    match rng.random_range(0..4) {
        0 => {
            for _ in &running {
                cluster.start_successor();
            }
            cluster.advance(CATCH_UP_MS);
            cluster.stop(&running);
        }
        1 => {
            for stopped in cluster.stop(&running) {
                cluster.restart(&stopped);
            }
        }
        2 => {
            for id in running {
                cluster.kill(id);
                cluster.start_successor();
            }
        }
        _ => {
            for id in running {
                let killed = cluster.kill(id);
                cluster.advance(rng.random_range(0..200) * 5);
                cluster.restart(&killed);
            }
        }
    }
}
