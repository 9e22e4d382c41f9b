//! Settings of an entry.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use chestnutloft_core::ids::{DomainId, EntryId};
use chestnutloft_wire::settings::SettingsFinding;

/// Settings of an entry.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of this entry.
    pub entry: Option<EntryId>,
    /// Failure domain that it stands in.
    pub domain: Option<DomainId>,
    /// `IP:port` for callers and endpoints.
    pub http: SocketAddr,
    /// `IP:port` for other processes of the cluster.
    pub rpc: SocketAddr,
    /// RPC addresses of the keepers.
    pub keepers: Vec<SocketAddr>,
    /// Secret that all processes of the cluster share.
    pub cluster_secret: String,
    /// SHA-256 of operators' keys in hexadecimal; empty lets everyone in.
    pub operator_key_hashes: Vec<String>,
    /// Log level.
    pub log_level: String,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest silence of a stream, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub stream_silence: Duration,
    /// Confidence of a cascade's cheap answer below which the strong step follows, 0 to 1.
    pub cascade_confidence: f64,
    /// Address of the rating service, such as `127.0.0.1:7900`.
    pub rating_service: Option<SocketAddr>,
    /// Share of answers that are rated, 0 to 1.
    pub rating_share: f64,
    /// Ratings asked for per second at most.
    pub ratings_per_s: f64,
    /// How long the entry says that it is unready before it refuses, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub unready_grace: Duration,
    /// Longest wait for running requests at shutdown, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub shutdown_patience: Duration,
    /// Worker threads; 0 uses one for each core.
    pub threads: usize,
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self {
            entry: None,
            domain: None,
            http: SocketAddr::from(([127, 0, 0, 1], 7700)),
            rpc: SocketAddr::from(([127, 0, 0, 1], 7701)),
            keepers: vec![SocketAddr::from(([127, 0, 0, 1], 7600))],
            cluster_secret: String::new(),
            operator_key_hashes: Vec::new(),
            log_level: "info".to_owned(),
            body_bytes: 8 * 1024 * 1024,
            stream_silence: Duration::from_secs(10),
            cascade_confidence: 0.7,
            rating_service: None,
            rating_share: 0.1,
            ratings_per_s: 5.0,
            unready_grace: Duration::from_secs(1),
            shutdown_patience: Duration::from_mins(2),
            threads: 0,
        }
    }
}

impl EntrySettings {
    /// Checks that concern values and several fields.
    pub fn check(&self) -> Vec<SettingsFinding> {
        let mut findings = Vec::new();
        let mut expect = |is_right: bool, field: &str, problem: &str| {
            if !is_right {
                findings.push(SettingsFinding::new(field, problem));
            }
        };
        let is_share = |share: f64| (0.0..=1.0).contains(&share);
        expect(self.entry.is_some(), "entry", "must name this entry");
        expect(
            !self.keepers.is_empty(),
            "keepers",
            "must name at least one keeper",
        );
        expect(
            self.rpc.ip().is_loopback() || !self.cluster_secret.is_empty(),
            "cluster_secret",
            "must be set where rpc is not a loopback address",
        );
        expect(self.body_bytes >= 1_024, "body_bytes", "at least 1024");
        expect(
            is_share(self.cascade_confidence),
            "cascade_confidence",
            "between 0 and 1",
        );
        expect(
            is_share(self.rating_share),
            "rating_share",
            "between 0 and 1",
        );
        expect(self.ratings_per_s >= 0.0, "ratings_per_s", "not below 0");
        findings
    }
}
