//! Settings of an entry that forwards calls by declared routes.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, DurationSecondsWithFrac, serde_as};

use chestnutloft_core::admission::ClassReserve;
use chestnutloft_core::routing::{
    ClassLoadBounds, EscalationSettings, ModelOrderSettings, PlacementSettings, QueueDelaySettings,
    TimedPlacementSettings,
};
use chestnutloft_wire::settings::SettingsFinding;

/// Limits that apply across all entries of the cluster; each entry enforces its share of them.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SharedLimits {
    /// Retry budget of a service: retries allowed per call.
    pub repeat_ratio: f64,
    /// Retries allowed in addition within each window, whatever the number of calls.
    pub repeat_slack: f64,
    /// Length of the sliding window of the retry budget; seconds in the settings file.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub repeat_window: Duration,
    /// Time after which no entry may accept a withdrawn key; milliseconds in the settings file.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub key_withdrawal: Duration,
    /// Idle time after which a session expires; seconds in the settings file.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub session: Duration,
    /// Time that a process has for shutting down; seconds in the settings file.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub shutdown: Duration,
    /// Largest share of a service's calls that the target version may get during a roll-out's
    /// trial.
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

/// How the capacity of endpoints is shared among callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CapacitySettings {
    /// Whether calls are admitted in order of urgency and fair share, as capacity allows. Also holds
    /// for each service whose endpoints report their pace.
    pub is_ordered: bool,
    /// Whether endpoints that start or come back get few calls until they have answered soundly, where
    /// capacity is managed. Cold rates and limits that endpoints state hold in any case.
    pub has_slow_start: bool,
    /// Weights of the choice of an endpoint where capacity is managed.
    pub placement: TimedPlacementSettings,
    /// The same for services without engines.
    pub plain_placement: TimedPlacementSettings,
    /// Load of the pool at which escalations become dearer and stop, by the class of the call, where
    /// capacity is managed.
    pub escalation_load: ClassLoadBounds,
    /// Places at endpoints that are kept for more urgent classes.
    pub reserve: ClassReserve,
}

impl Default for CapacitySettings {
    fn default() -> Self {
        Self {
            is_ordered: false,
            has_slow_start: true,
            placement: TimedPlacementSettings::default(),
            plain_placement: TimedPlacementSettings::plain(),
            escalation_load: ClassLoadBounds::default(),
            reserve: ClassReserve::default(),
        }
    }
}

/// Settings of an entry that forwards calls by declared routes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ForwardSettings {
    /// Name of the entry, unique in the cluster.
    pub name: String,
    /// Failure domain of the entry.
    pub domain: String,
    /// `IP:port` to listen on for callers.
    pub callers: SocketAddr,
    /// `IP:port` of the readiness check.
    pub readiness: SocketAddr,
    /// `IP:port` of the metrics page; if absent, none is served.
    pub metrics: Option<SocketAddr>,
    /// RPC port of the keepers.
    pub keeper_port: u16,
    /// Addresses of some keepers, with their operator ports; RPC uses `keeper_port` instead.
    pub seeds: Vec<SocketAddr>,
    /// Secret shared by all processes of the cluster.
    pub cluster_secret: String,
    /// Log level.
    pub log_level: String,
    /// Memory that the process may use, in MB; a command-line flag may override it.
    pub memory_mb: usize,
    /// Limits that apply across all entries of the cluster.
    pub limits: SharedLimits,
    /// Weights of the endpoint choice.
    pub placement: PlacementSettings,
    /// How queueing delays at endpoints are estimated.
    pub pressure: QueueDelaySettings,
    /// When a call is escalated to a larger model.
    pub ladder: EscalationSettings,
    /// In which order a call tries models that only some endpoints run.
    pub model_order: ModelOrderSettings,
    /// How the capacity of endpoints is shared among callers.
    pub capacity: CapacitySettings,
    /// Names of the optional guarantees that the deployment asks for. Names that the entry does not
    /// know have no effect.
    pub guarantees: Vec<String>,
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
            memory_mb: 128,
            limits: SharedLimits::default(),
            placement: PlacementSettings::default(),
            pressure: QueueDelaySettings::default(),
            ladder: EscalationSettings::default(),
            model_order: ModelOrderSettings::default(),
            capacity: CapacitySettings::default(),
            guarantees: Vec::new(),
        }
    }
}

/// Smallest memory with which an entry can hold the bodies of some calls.
const MIN_MEMORY_MB: usize = 32;

impl ForwardSettings {
    /// Memory that the process may use, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.memory_mb.saturating_mul(1024 * 1024)
    }

    /// Checks value ranges.
    pub fn check(&self) -> Vec<SettingsFinding> {
        let mut findings = Vec::new();
        let mut expect = |is_valid: bool, field: &str, problem: &str| {
            if !is_valid {
                findings.push(SettingsFinding::new(field, problem));
            }
        };
        expect(!self.name.is_empty(), "name", "must not be empty");
        expect(!self.domain.is_empty(), "domain", "must not be empty");
        expect(
            !self.seeds.is_empty(),
            "seeds",
            "must name at least one keeper",
        );
        expect(
            self.memory_mb >= MIN_MEMORY_MB,
            "memory_mb",
            "must be at least 32",
        );
        expect(
            self.limits.repeat_ratio >= 0.0,
            "limits.repeat_ratio",
            "must not be negative",
        );
        expect(
            self.limits.key_withdrawal >= Duration::from_secs(1),
            "limits.key_withdrawal",
            "must be at least 1,000 ms",
        );
        expect(
            self.model_order.full_load > 0.0,
            "model_order.full_load",
            "must be above 0",
        );
        self.capacity.check(&mut expect);
        findings
    }
}

impl CapacitySettings {
    fn check(&self, expect: &mut impl FnMut(bool, &str, &str)) {
        let placements = [
            ("capacity.placement", &self.placement),
            ("capacity.plain_placement", &self.plain_placement),
        ];
        for (path, weights) in placements {
            let times = [
                ("full_ms", weights.full_ms),
                ("long_prompt_ms", weights.long_prompt_ms),
                ("waiting_ms", weights.waiting_ms),
                ("mixed_ms", weights.mixed_ms),
                ("remote_ms", weights.remote_ms),
                ("trial_ms", weights.trial_ms),
                ("equal_ms", weights.equal_ms),
                ("spread_ms", weights.spread_ms),
            ];
            for (name, millis) in times {
                expect(
                    millis.is_finite() && millis >= 0.0,
                    &format!("{path}.{name}"),
                    "must be a finite number of milliseconds and not negative",
                );
            }
            let shares = [
                ("delay_share", weights.delay_share),
                ("pause_share", weights.pause_share),
                ("reread_share", weights.reread_share),
                ("equal_share", weights.equal_share),
                ("long_prompt_share", weights.long_prompt_share),
            ];
            for (name, share) in shares {
                expect(
                    (0.0..=1.0).contains(&share),
                    &format!("{path}.{name}"),
                    "must be between 0 and 1",
                );
            }
        }
        let bounds = [
            ("most_urgent", self.escalation_load.most_urgent),
            ("least_urgent", self.escalation_load.least_urgent),
        ];
        for (name, bounds) in bounds {
            expect(
                bounds.busy >= 0.0 && bounds.busy < bounds.full,
                &format!("capacity.escalation_load.{name}"),
                "busy must not be negative and must be less than full",
            );
        }
        for (name, share) in [
            ("waiting_share", self.reserve.waiting_share),
            ("large_share", self.reserve.large_share),
            ("least_large_share", self.reserve.least_large_share),
        ] {
            expect(
                (0.0..=1.0).contains(&share),
                &format!("capacity.reserve.{name}"),
                "must be between 0 and 1",
            );
        }
    }
}
