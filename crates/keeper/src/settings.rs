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

use crate::desk::DeskSettings;
use crate::formation::FormationSettings;

/// Settings of a keeper.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeeperSettings {
    /// Number of this replica, never used again after its data folder is lost.
    pub replica: u64,
    /// `IP:port` for other processes of the cluster.
    pub rpc: SocketAddr,
    /// `IP:port` for operators.
    pub http: SocketAddr,
    /// `IP:port` for metrics alone, beside the operators' address.
    pub metrics: Option<SocketAddr>,
    /// Data folder.
    pub data: PathBuf,
    /// First voters with their RPC addresses; read by `init` only.
    pub first_voters: BTreeMap<u64, SocketAddr>,
    /// How the cluster forms and repairs itself; without it, members are changed by hand.
    pub formation: Option<FormationSettings>,
    /// Entries and endpoints that watch the routing state.
    pub desk: DeskSettings,
    /// Bytes of the journal after which a snapshot is taken.
    pub snapshot_bytes: u64,
    /// Secret that all processes of the cluster share.
    pub cluster_secret: String,
    /// SHA-256 of operators' keys in hexadecimal; empty lets everyone in.
    pub operator_key_hashes: Vec<String>,
    /// Log level.
    pub log_level: String,
    /// Log entries between two snapshots.
    pub snapshot_entries: u64,
    /// Shortest silence of the leader before an election, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub election_min: Duration,
    /// Longest silence of the leader before an election, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub election_max: Duration,
    /// Leases of entries.
    pub lease: LeaseSettings,
    /// Ledger.
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
            desk: DeskSettings::default(),
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

/// Shortest election timeout: below it, a slow disk looks like a dead leader.
const SHORTEST_ELECTION: Duration = Duration::from_millis(100);

impl KeeperSettings {
    /// Checks that concern values and several fields.
    pub fn check(&self) -> Vec<SettingsFinding> {
        let mut findings = Vec::new();
        let mut expect = |is_right: bool, field: &str, problem: &str| {
            if !is_right {
                findings.push(SettingsFinding::new(field, problem));
            }
        };
        expect(self.replica > 0, "replica", "numbers start at 1");
        expect(
            self.election_min >= SHORTEST_ELECTION,
            "election_min",
            "at least 100 ms",
        );
        expect(
            self.election_max > self.election_min,
            "election_max",
            "must be longer than election_min",
        );
        expect(
            self.lease.duration > self.election_max * 2,
            "lease.duration",
            "must be longer than two elections, or each election stops all entries",
        );
        expect(
            self.lease.heartbeat * 3 < self.lease.duration,
            "lease.heartbeat",
            "must fit three times into lease.duration",
        );
        expect(
            self.rpc.ip().is_loopback() || !self.cluster_secret.is_empty(),
            "cluster_secret",
            "must be set where rpc is not a loopback address",
        );
        expect(
            self.snapshot_entries >= 100,
            "snapshot_entries",
            "at least 100",
        );
        expect(self.ledger.shards > 0, "ledger.shards", "at least 1");
        findings
    }

    /// Timing of the replicated log.
    pub fn replica_settings(&self) -> ReplicaSettings {
        ReplicaSettings {
            election_min: self.election_min,
            election_max: self.election_max,
            max_voters: self
                .formation
                .as_ref()
                .map_or(usize::MAX, FormationSettings::max_voters),
            ..ReplicaSettings::default()
        }
    }

    /// The first voters, this replica alone where none are named.
    pub fn first_config(&self) -> MemberConfig {
        if self.first_voters.is_empty() {
            return MemberConfig::of_voters([(ReplicaId(self.replica), self.rpc.to_string())]);
        }
        let voters = self.first_voters.iter();
        MemberConfig::of_voters(voters.map(|(id, address)| (ReplicaId(*id), address.to_string())))
    }
}
