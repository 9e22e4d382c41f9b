//! Settings of a keeper.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use chestnutloft_core::consensus::{MemberConfig, ReplicaId, ReplicaSettings};
use chestnutloft_core::ledger::LedgerSettings;
use chestnutloft_core::state::LeaseSettings;
use chestnutloft_wire::settings::SettingsFinding;

use crate::formation::FormationSettings;
use crate::routing_coordinator::CoordinatorSettings;

/// Settings of a keeper.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeeperSettings {
    /// Number of this replica. It must not be reused after the data folder is lost.
    pub replica: u64,
    /// `IP:port` of the RPC server for the cluster's other processes.
    pub rpc: SocketAddr,
    /// `IP:port` of the HTTP server for operators.
    pub http: SocketAddr,
    /// Additional `IP:port` that serves only metrics.
    pub metrics: Option<SocketAddr>,
    /// Data folder.
    pub data: PathBuf,
    /// Initial voters with their RPC addresses; used only by `init`.
    pub first_voters: BTreeMap<u64, SocketAddr>,
    /// Automatic cluster formation and repair. If unset, operators change the members.
    pub formation: Option<FormationSettings>,
    /// Timeouts of endpoints, and of entries that watch the routing state.
    pub desk: CoordinatorSettings,
    /// Journal size in bytes above which a snapshot is taken.
    pub snapshot_bytes: u64,
    /// Shared secret of all processes of the cluster.
    pub cluster_secret: String,
    /// SHA-256 hashes of the operators' keys in hexadecimal. If empty, no key is required.
    pub operator_key_hashes: Vec<String>,
    /// Log level.
    pub log_level: String,
    /// Number of applied log entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Shortest time without contact with a leader before an election, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub election_min: Duration,
    /// Longest time without contact with a leader before an election, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub election_max: Duration,
    /// Timing of the entries' leases.
    pub lease: LeaseSettings,
    /// Limits and retention of the ledger.
    pub ledger: LedgerSettings,
}

impl Default for KeeperSettings {
    fn default() -> Self {
        let replica = ReplicaSettings::default();
        Self {
            replica: 1,
            rpc: SocketAddr::from(([127, 0, 0, 1], 7600)),
            http: SocketAddr::from(([127, 0, 0, 1], 7601)),
            metrics: None,
            data: PathBuf::from("data/keeper"),
            first_voters: BTreeMap::new(),
            formation: None,
            desk: CoordinatorSettings::default(),
            snapshot_bytes: 16 * 1024 * 1024,
            cluster_secret: String::new(),
            operator_key_hashes: Vec::new(),
            log_level: "info".to_owned(),
            snapshot_entries: 20_000,
            election_min: replica.election_min,
            election_max: replica.election_max,
            lease: LeaseSettings::default(),
            ledger: LedgerSettings::default(),
        }
    }
}

/// Lower limit of `election_min`. With shorter timeouts, a slow disk looks like a failed leader.
const MIN_ELECTION_TIMEOUT: Duration = Duration::from_millis(100);

impl KeeperSettings {
    /// Checks the values, also against each other.
    pub fn check(&self) -> Vec<SettingsFinding> {
        let mut findings = Vec::new();
        let mut require = |is_valid: bool, field: &str, problem: &str| {
            if !is_valid {
                findings.push(SettingsFinding::new(field, problem));
            }
        };
        require(self.replica > 0, "replica", "numbers start at 1");
        require(
            self.election_min >= MIN_ELECTION_TIMEOUT,
            "election_min",
            "at least 100 ms",
        );
        require(
            self.election_max > self.election_min,
            "election_max",
            "must be longer than election_min",
        );
        require(
            self.lease.duration > self.election_max * 2,
            "lease.duration",
            "must be longer than twice election_max, or all entries stop at each election",
        );
        require(
            self.lease.heartbeat * 3 < self.lease.duration,
            "lease.heartbeat",
            "must be shorter than a third of lease.duration",
        );
        require(
            self.rpc.ip().is_loopback() || !self.cluster_secret.is_empty(),
            "cluster_secret",
            "must be set where rpc is not a loopback address",
        );
        require(
            self.snapshot_entries >= 100,
            "snapshot_entries",
            "at least 100",
        );
        require(self.ledger.shards > 0, "ledger.shards", "at least 1");
        findings
    }

    /// Settings of the consensus core.
    pub fn replica_settings(&self) -> ReplicaSettings {
        let formation = self.formation.as_ref();
        ReplicaSettings {
            election_min: self.election_min,
            election_max: self.election_max,
            target_voters: formation.map_or(usize::MAX, FormationSettings::target_voters),
            max_voters: formation.map_or(usize::MAX, FormationSettings::max_voters),
            ..ReplicaSettings::default()
        }
    }

    /// The initial voters, or this replica alone if none are set.
    pub fn initial_config(&self) -> MemberConfig {
        if self.first_voters.is_empty() {
            return MemberConfig::of_voters([(ReplicaId(self.replica), self.rpc.to_string())]);
        }
        let voters = self.first_voters.iter();
        MemberConfig::of_voters(voters.map(|(id, address)| (ReplicaId(*id), address.to_string())))
    }
}
