//! Cluster formation: keepers find each other, join and replace failed ones without an operator.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

use chestnutloft_core::consensus::{MemberChange, MemberConfig, ReplicaCore, ReplicaId};
use chestnutloft_core::time::TimePoint;

use crate::settings::KeeperSettings;
use crate::storage::{DataFolder, StorageError};

/// Interval between join requests.
pub const JOIN_INTERVAL: Duration = Duration::from_millis(300);
/// Time without contact with a leader after which a member sends join requests again, because it
/// may have been removed.
pub const LEADER_CONTACT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a keeper that stops waits until another has taken over its vote.
pub const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the leader remembers a join request.
const JOIN_REQUEST_TTL: Duration = Duration::from_secs(2);
/// Time without an answer after which a learner is removed.
const LEARNER_REMOVAL_TIMEOUT: Duration = Duration::from_secs(20);
/// Smallest number of a replica that is not a founder. Founders are numbered from 1.
const FIRST_JOINER_ID: u64 = 1 << 32;

/// How the cluster forms.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FormationSettings {
    /// HTTP addresses of some keepers. All keepers use the same HTTP port.
    pub seeds: Vec<SocketAddr>,
    /// Whether to found a new cluster with the seeds as its initial voters.
    pub is_founding: bool,
    /// Number of voters that may fail at the same time without loss of data or service.
    pub tolerated_losses: usize,
}

impl FormationSettings {
    /// Number of voters that tolerates this many failures.
    pub fn target_voters(&self) -> usize {
        2 * self.tolerated_losses + 1
    }

    /// Number of voters that tolerates twice as many failures. More than [`Self::target_voters`] are
    /// members while keepers are being replaced, when those that will leave still vote.
    pub fn max_voters(&self) -> usize {
        4 * self.tolerated_losses + 1
    }
}

/// RPC addresses of the keepers with the HTTP addresses `seeds`, sorted and without duplicates.
pub fn seed_addresses(seeds: &[SocketAddr], rpc_port: u16) -> Vec<SocketAddr> {
    let mut ips: Vec<IpAddr> = seeds.iter().map(SocketAddr::ip).collect();
    ips.sort_unstable();
    ips.dedup();
    let at_port = |ip| SocketAddr::new(ip, rpc_port);
    ips.into_iter().map(at_port).collect()
}

/// Formats the data folder if it is not formatted yet. Returns the number of this replica.
///
/// A founder's number is its position among the sorted seeds, from 1. Any other replica takes a
/// random number, so that one which lost its disk never votes under its old number.
///
/// # Errors
/// [`StorageError`] if the folder cannot be read or written.
pub fn prepare_folder(
    settings: &KeeperSettings,
    formation: &FormationSettings,
) -> Result<ReplicaId, StorageError> {
    DataFolder::clear_unformatted(&settings.data)?;
    if let Some(replica) = DataFolder::identity(&settings.data)? {
        return Ok(replica);
    }
    let founders = seed_addresses(&formation.seeds, settings.rpc.port());
    let position = founders.iter().position(|seed| *seed == settings.rpc);
    let (replica, config) = match position {
        Some(position) if formation.is_founding => {
            let voters = (1..).map(ReplicaId).zip(founders);
            let voters = voters.map(|(id, address)| (id, address.to_string()));
            let id = ReplicaId(position as u64 + 1);
            (id, MemberConfig::of_voters(voters))
        }
        _ => {
            let number = rand::rng().random_range(FIRST_JOINER_ID..u64::MAX);
            (ReplicaId(number), MemberConfig::default())
        }
    };
    DataFolder::format(&settings.data, replica, &config)?;
    spdlog::info!(
        "storage: formatted the data folder for replica {} with {} initial voters.",
        replica.0,
        config.voters.len()
    );
    Ok(replica)
}

struct JoinRequest {
    address: String,
    received_at: TimePoint,
}

/// Decides on membership changes from join requests and unresponsive members.
#[derive(Default)]
pub struct MembershipManager {
    join_requests: BTreeMap<ReplicaId, JoinRequest>,
}

impl MembershipManager {
    /// Records a join request, which replaces an earlier one of the same replica.
    pub fn record_join_request(&mut self, now: TimePoint, replica: ReplicaId, address: String) {
        let request = JoinRequest {
            address,
            received_at: now,
        };
        self.join_requests.insert(replica, request);
    }

    /// The next membership change to propose, if this replica is a serving leader.
    pub fn due_change(&mut self, now: TimePoint, core: &ReplicaCore) -> Option<MemberChange> {
        self.join_requests
            .retain(|_, request| now.since(request.received_at) < JOIN_REQUEST_TTL);
        if !core.is_serving(now) {
            return None;
        }
        let config = core.config();
        self.due_join(config)
            .or_else(|| due_replacement(now, core))
            .or_else(|| due_removal(now, core))
    }

    fn due_join(&self, config: &MemberConfig) -> Option<MemberChange> {
        self.join_requests
            .iter()
            .filter(|(id, _)| config.address(**id).is_none())
            .map(|(id, request)| {
                // Only one process runs at an address, so a member with another number at this
                // address has lost its disk.
                let members = config.voters.iter().chain(&config.learners);
                let mut same_address = members.filter(|(_, address)| **address == request.address);
                match same_address.next() {
                    Some((replaced, _)) => MemberChange::Remove(*replaced),
                    None => MemberChange::Add(*id, request.address.clone()),
                }
            })
            .next()
    }
}

/// Removes an unresponsive voter that the others can do without, after the time in which an
/// unresponsive leader would be replaced. Any other voter stays, because it may only be partitioned.
fn due_replacement(now: TimePoint, core: &ReplicaCore) -> Option<MemberChange> {
    if !core.has_spare_member(now) {
        return None;
    }
    core.unresponsive_members(now, core.settings().election_max * 2)
        .into_iter()
        .find(|id| core.config().is_voter(*id))
        .map(MemberChange::Remove)
}

fn due_removal(now: TimePoint, core: &ReplicaCore) -> Option<MemberChange> {
    core.unresponsive_members(now, LEARNER_REMOVAL_TIMEOUT)
        .into_iter()
        .find(|id| !core.config().is_voter(*id))
        .map(MemberChange::Remove)
}
