//! `chestnutloft-standin`: a stand-in endpoint or rating service, for development.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use chestnutloft_core::ids::{DomainId, EndpointId, ServiceId};
use chestnutloft_core::state::{EndpointAnnouncement, EndpointLoad};
use chestnutloft_standin::announcer::EndpointAnnouncer;
use chestnutloft_standin::engine::{EngineBehaviour, EngineStandin};
use chestnutloft_standin::plain::{PlainBehaviour, PlainStandin};
use chestnutloft_standin::rating::RatingStandin;
use chestnutloft_wire::settings::SettingsFinding;
use chestnutloft_wire::{clock, logs, settings, shutdown};

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// A stand-in endpoint or rating service, for development.
        cmd chestnutloft-standin {
            /// Settings file in YAML.
            required --settings settings: PathBuf
        }
    }
}

/// The system to stand in for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum StandinRole {
    #[default]
    Engine,
    Plain,
    Rating,
}

/// Settings file. Endpoint roles need every optional field; a rating service needs only `http`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct StandinSettings {
    role: StandinRole,
    http: Option<SocketAddr>,
    endpoint: Option<EndpointId>,
    service: Option<ServiceId>,
    domain: Option<DomainId>,
    entries: Vec<SocketAddr>,
    engine: EngineBehaviour,
    plain: PlainBehaviour,
}

impl StandinSettings {
    fn check(&self) -> Vec<SettingsFinding> {
        let is_endpoint = self.role != StandinRole::Rating;
        let mut findings = Vec::new();
        let mut require = |is_set: bool, field: &str| {
            if !is_set {
                findings.push(SettingsFinding::new(field, "must be set"));
            }
        };
        require(self.http.is_some(), "http");
        require(!is_endpoint || self.endpoint.is_some(), "endpoint");
        require(!is_endpoint || self.service.is_some(), "service");
        require(!is_endpoint || self.domain.is_some(), "domain");
        require(!is_endpoint || !self.entries.is_empty(), "entries");
        findings
    }

    fn announcement(&self, address: SocketAddr) -> Option<EndpointAnnouncement> {
        Some(EndpointAnnouncement {
            endpoint: self.endpoint.clone()?,
            incarnation: clock::wall_now().as_micros(),
            sequence: 0,
            service: self.service.clone()?,
            domain: self.domain.clone()?,
            address: address.to_string(),
            versions: BTreeSet::new(),
            slots: self.engine.slots,
            is_leaving: false,
            load: EndpointLoad::default(),
        })
    }
}

/// Announcement interval of endpoints.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

#[tokio::main]
async fn main() -> ExitCode {
    let flags = flags::ChestnutloftStandin::from_env_or_exit();
    let settings = match settings::load(&flags.settings, StandinSettings::check) {
        Ok(settings) => settings,
        Err(findings) => {
            settings::print_findings(&flags.settings, &findings);
            return ExitCode::from(2);
        }
    };
    let _ = logs::start("info");
    match run(settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            spdlog::critical!("chestnutloft-standin failed: {error}.");
            ExitCode::FAILURE
        }
    }
}

async fn run(settings: StandinSettings) -> std::io::Result<()> {
    let Some(address) = settings.http else {
        return Ok(());
    };
    match settings.role {
        StandinRole::Engine => {
            let engine = EngineStandin::start(address, settings.engine.clone()).await?;
            let observed = engine.clone();
            announce(&settings, engine.address, move |announcement| {
                announcement.versions = observed.versions();
                announcement.load.running = observed.counts().running;
            })
            .await;
        }
        StandinRole::Plain => {
            let plain = PlainStandin::start(address, settings.plain.clone()).await?;
            let observed = plain.clone();
            announce(&settings, plain.address, move |announcement| {
                announcement.load.running = observed.running();
            })
            .await;
        }
        StandinRole::Rating => {
            let _rating = RatingStandin::start(address, Duration::from_millis(200)).await?;
            shutdown::requested().await;
        }
    }
    Ok(())
}

async fn announce(
    settings: &StandinSettings,
    address: SocketAddr,
    refresh: impl Fn(&mut EndpointAnnouncement) + Send + 'static,
) {
    let Some(announcement) = settings.announcement(address) else {
        return;
    };
    let entries = settings.entries.clone();
    let announcer = EndpointAnnouncer::start(announcement, entries, ANNOUNCE_INTERVAL, refresh);
    shutdown::requested().await;
    announcer.set_leaving();
    // Lets further announcements tell the entries that the endpoint is leaving.
    tokio::time::sleep(ANNOUNCE_INTERVAL * 3).await;
}
