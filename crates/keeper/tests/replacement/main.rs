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
        let count = rng.random_range(1..=3);
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
