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
    /// Failure domain in which this entry runs.
    pub domain: Option<DomainId>,
    /// Listen address for callers and endpoints.
    pub http: SocketAddr,
    /// Listen address for RPC from other processes of the cluster.
    pub rpc: SocketAddr,
    /// RPC addresses of the keepers.
    pub keepers: Vec<SocketAddr>,
    /// Secret shared by all processes of the cluster.
    pub cluster_secret: String,
    /// SHA-256 hashes of the operator keys, in hexadecimal; if empty, no key is required.
    pub operator_key_hashes: Vec<String>,
    /// Minimum severity of log lines: `trace`, `debug`, `info`, `warn`, `error` or `critical`.
    pub log_level: String,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Idle timeout of a streamed answer, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub stream_silence: Duration,
    /// A cascade runs its strong version if the confidence of the cheap answer is below this value,
    /// 0 to 1.
    pub cascade_confidence: f64,
    /// Address of the rating service, such as `127.0.0.1:7900`.
    pub rating_service: Option<SocketAddr>,
    /// Fraction of answers sampled for rating, 0 to 1.
    pub rating_share: f64,
    /// Maximum rating requests per second.
    pub ratings_per_s: f64,
    /// Time between reporting not ready and refusing new requests at shutdown, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub unready_grace: Duration,
    /// Maximum wait for running requests at shutdown, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub shutdown_patience: Duration,
    /// Worker threads; 0 means one per CPU core.
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
    /// Validates value ranges and constraints across fields; returns all findings.
    pub fn check(&self) -> Vec<SettingsFinding> {
        let mut findings = Vec::new();
        let mut require = |is_valid: bool, field: &str, problem: &str| {
            if !is_valid {
                findings.push(SettingsFinding::new(field, problem));
            }
        };
        let is_fraction = |share: f64| (0.0..=1.0).contains(&share);
        require(self.entry.is_some(), "entry", "must name this entry");
        require(
            !self.keepers.is_empty(),
            "keepers",
            "must name at least one keeper",
        );
        require(
            self.rpc.ip().is_loopback() || !self.cluster_secret.is_empty(),
            "cluster_secret",
            "must be set where rpc is not a loopback address",
        );
        require(self.body_bytes >= 1_024, "body_bytes", "at least 1024");
        require(
            is_fraction(self.cascade_confidence),
            "cascade_confidence",
            "between 0 and 1",
        );
        require(
            is_fraction(self.rating_share),
            "rating_share",
            "between 0 and 1",
        );
        require(self.ratings_per_s >= 0.0, "ratings_per_s", "not below 0");
        findings
    }
}
