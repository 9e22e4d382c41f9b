//! How keepers find each other, join, and replace lost ones without an operator.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

use chestnutloft_core::consensus::{MemberChange, MemberConfig, ReplicaCore, ReplicaId};
use chestnutloft_core::time::TimePoint;

use crate::settings::KeeperSettings;
use crate::storage::{DataFolder, StorageError};

/// Wait between two rounds of asking to join.
pub const JOIN_INTERVAL: Duration = Duration::from_millis(300);
/// Silence of the leader after which a member asks whether it still is one.
pub const LEADER_SILENCE: Duration = Duration::from_millis(1_500);
/// How long the leader remembers a wish to join.
const WISH_MEMORY: Duration = Duration::from_secs(2);
/// Silence of a voter after which a caught-up learner takes its place.
const REPLACE_AFTER: Duration = Duration::from_secs(4);
/// Silence of a learner after which it is dropped.
const LEARNER_SILENCE: Duration = Duration::from_secs(20);
/// Replica numbers below this one belong to founders.
const FIRST_JOINER: u64 = 1 << 32;

/// How the cluster forms.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FormationSettings {
    /// Addresses of some keepers; the ports are those for operators, which all keepers share.
    pub seeds: Vec<SocketAddr>,
    /// Whether the cluster is founded now: the seeds are the first voters.
    pub is_founding: bool,
    /// Keepers whose loss at one time must be borne.
    pub tolerated_losses: usize,
}

impl FormationSettings {
    /// Voters that bear the losses.
    pub fn max_voters(&self) -> usize {
        2 * self.tolerated_losses + 1
    }
}

/// RPC addresses of the keepers whose addresses for operators are `seeds`, in order.
pub fn seed_addresses(seeds: &[SocketAddr], rpc_port: u16) -> Vec<SocketAddr> {
    let mut ips: Vec<IpAddr> = seeds.iter().map(SocketAddr::ip).collect();
    ips.sort_unstable();
    ips.dedup();
    let at_port = |ip| SocketAddr::new(ip, rpc_port);
    ips.into_iter().map(at_port).collect()
}

/// Formats the data folder where it is empty. Returns the number of this replica.
///
/// A founder's number is its place among the seeds. Any other replica takes a random number, so
/// that one which lost its disk never votes under the number that it had.
///
/// # Errors
/// [`StorageError`] when the folder cannot be read or written.
pub fn prepare_folder(
    settings: &KeeperSettings,
    formation: &FormationSettings,
) -> Result<ReplicaId, StorageError> {
    DataFolder::clear_unformatted(&settings.data)?;
    if let Some(replica) = DataFolder::identity(&settings.data)? {
        return Ok(replica);
    }
    let founders = seed_addresses(&formation.seeds, settings.rpc.port());
    let place = founders.iter().position(|seed| *seed == settings.rpc);
    let (replica, config) = match place {
        Some(place) if formation.is_founding => {
            let voters = (1..).map(ReplicaId).zip(founders);
            let voters = voters.map(|(id, address)| (id, address.to_string()));
            let id = ReplicaId(place as u64 + 1);
            (id, MemberConfig::of_voters(voters))
        }
        _ => {
            let number = rand::rng().random_range(FIRST_JOINER..u64::MAX);
            (ReplicaId(number), MemberConfig::default())
        }
    };
    DataFolder::format(&settings.data, replica, &config)?;
    spdlog::info!(
        "storage: folder formatted for replica {} with {} first voters.",
        replica.0,
        config.voters.len()
    );
    Ok(replica)
}

struct JoinWish {
    address: String,
    heard_at: TimePoint,
}

/// Wishes to join, and the changes of members that they lead to.
#[derive(Default)]
pub struct MemberSteward {
    wishes: BTreeMap<ReplicaId, JoinWish>,
}

impl MemberSteward {
    /// Notes a wish to join.
    pub fn note(&mut self, now: TimePoint, replica: ReplicaId, address: String) {
        let wish = JoinWish {
            address,
            heard_at: now,
        };
        self.wishes.insert(replica, wish);
    }

    /// The change of members that is due, one at a time.
    pub fn due_change(&mut self, now: TimePoint, core: &ReplicaCore) -> Option<MemberChange> {
        self.wishes
            .retain(|_, wish| now.since(wish.heard_at) < WISH_MEMORY);
        if !core.is_serving(now) {
            return None;
        }
        let config = core.config();
        self.due_join(config)
            .or_else(|| due_replacement(now, core))
            .or_else(|| due_removal(now, core))
    }

    fn due_join(&self, config: &MemberConfig) -> Option<MemberChange> {
        self.wishes
            .iter()
            .filter(|(id, _)| config.address(**id).is_none())
            .map(|(id, wish)| {
                // One process runs at an address: a member with another number there has lost
                // its disk.
                let members = config.voters.iter().chain(&config.learners);
                let mut same_address = members.filter(|(_, address)| **address == wish.address);
                match same_address.next() {
                    Some((lost, _)) => MemberChange::Remove(*lost),
                    None => MemberChange::Add(*id, wish.address.clone()),
                }
            })
            .next()
    }
}

/// A silent voter leaves once a learner is ready to take its place. Without a learner it stays:
/// it may only be cut off.
fn due_replacement(now: TimePoint, core: &ReplicaCore) -> Option<MemberChange> {
    core.caught_up_learner(now)?;
    core.unresponsive_members(now, REPLACE_AFTER)
        .into_iter()
        .find(|id| core.config().is_voter(*id))
        .map(MemberChange::Remove)
}

fn due_removal(now: TimePoint, core: &ReplicaCore) -> Option<MemberChange> {
    core.unresponsive_members(now, LEARNER_SILENCE)
        .into_iter()
        .find(|id| !core.config().is_voter(*id))
        .map(MemberChange::Remove)
}
