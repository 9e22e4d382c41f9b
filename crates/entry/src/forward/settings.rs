//! Settings of an entry that serves by routes.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, DurationSecondsWithFrac, serde_as};

use chestnutloft_core::routing::{EscalationSettings, PlacementSettings, QueueDelaySettings};
use chestnutloft_wire::settings::SettingsFinding;

/// Limits that all entries keep together.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SharedLimits {
    /// Repeats of calls to a service, for each call of a caller.
    pub repeat_ratio: f64,
    /// Repeats on top, within the window.
    pub repeat_slack: f64,
    /// The window, in seconds.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub repeat_window: Duration,
    /// Time after which a withdrawn key must not be accepted anywhere, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub key_withdrawal: Duration,
    /// Idle time after which a session is over, in seconds.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub session: Duration,
    /// Time that a process has for shutting down, in seconds.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub shutdown: Duration,
    /// Share of a service's calls that a version on trial may get.
    pub trial_share: f64,
}

impl Default for SharedLimits {
    fn default() -> Self {
        Self {
            repeat_ratio: 0.5,
            repeat_slack: 20.0,
            repeat_window: Duration::from_secs(10),
            key_withdrawal: Duration::from_secs(5),
            session: Duration::from_secs(5),
            shutdown: Duration::from_secs(8),
            trial_share: 0.15,
        }
    }
}

/// Settings of an entry that serves by routes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ForwardSettings {
    /// Name, unique among the entries.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// `IP:port` for callers.
    pub callers: SocketAddr,
    /// `IP:port` at which the entry tells whether it takes new connections.
    pub readiness: SocketAddr,
    /// `IP:port` for metrics; without it there is no page.
    pub metrics: Option<SocketAddr>,
    /// Port of the keepers' RPC.
    pub keeper_port: u16,
    /// Addresses of some keepers; their ports are those for operators.
    pub seeds: Vec<SocketAddr>,
    /// Secret that all processes of the cluster share.
    pub cluster_secret: String,
    /// Log level.
    pub log_level: String,
    /// Limits that all entries keep together.
    pub limits: SharedLimits,
    /// Choice of endpoints.
    pub placement: PlacementSettings,
    /// How the waits at endpoints are judged.
    pub pressure: QueueDelaySettings,
    /// Choice of models.
    pub ladder: EscalationSettings,
}

impl Default for ForwardSettings {
    fn default() -> Self {
        let loopback = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            name: "entry".to_owned(),
            domain: "local".to_owned(),
            callers: loopback(7700),
            readiness: loopback(7701),
            metrics: None,
            keeper_port: 7600,
            seeds: vec![loopback(7601)],
            cluster_secret: String::new(),
            log_level: "info".to_owned(),
            limits: SharedLimits::default(),
            placement: PlacementSettings::default(),
            pressure: QueueDelaySettings::default(),
            ladder: EscalationSettings::default(),
        }
    }
}

impl ForwardSettings {
    /// Checks that concern values and several fields.
    pub fn check(&self) -> Vec<SettingsFinding> {
        let mut findings = Vec::new();
        let mut expect = |is_right: bool, field: &str, problem: &str| {
            if !is_right {
                findings.push(SettingsFinding::new(field, problem));
            }
        };
        expect(!self.name.is_empty(), "name", "must not be empty");
        expect(!self.domain.is_empty(), "domain", "must not be empty");
        expect(!self.seeds.is_empty(), "seeds", "at least one keeper");
        expect(
            self.limits.repeat_ratio >= 0.0,
            "limits.repeat_ratio",
            "must not be negative",
        );
        expect(
            self.limits.key_withdrawal >= Duration::from_secs(1),
            "limits.key_withdrawal",
            "at least 1,000 ms",
        );
        findings
    }
}
