//! A cluster of keepers, entries and stand-ins in one process.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::Duration;

use chestnutloft_core::ids::{DomainId, EndpointId, EntryId, ServiceId, VersionId};
use chestnutloft_core::pipe::{RouterSettings, VersionSettings};
use chestnutloft_core::plan::{
    ChangeOutcome, PlanChange, PlanDeclaration, ServiceKind, SubmittedChange, SubmittedContent,
};
use chestnutloft_core::state::{
    CreditSettings, EndpointAnnouncement, EndpointLoad, KeeperCommand, KeeperOutcome, LeaseSettings,
};
use chestnutloft_entry::daemon::EntryDaemon;
use chestnutloft_entry::settings::EntrySettings;
use chestnutloft_keeper::actor::ReplicaMessage;
use chestnutloft_keeper::daemon::{self as keeper_daemon, KeeperDaemon};
use chestnutloft_keeper::settings::KeeperSettings;
use chestnutloft_keeper::status::{ClusterStatus, SpendRow};
use chestnutloft_standin::announcer::EndpointAnnouncer;
use chestnutloft_standin::engine::{EngineBehaviour, EngineStandin};
use chestnutloft_standin::plain::{PlainBehaviour, PlainStandin};
use chestnutloft_standin::rating::RatingStandin;
use chestnutloft_wire::clock;
use chestnutloft_wire::message::RunReply;
use tokio::sync::oneshot;

/// Composition of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterSettings {
    /// Directory for the keepers' data, one subdirectory per keeper.
    pub data: PathBuf,
    /// Number of keepers.
    pub keepers: u64,
    /// Number of entries.
    pub entries: usize,
    /// HTTP address of the first entry; port 0 lets the system choose. The other entries use loopback
    /// ports that the system chooses.
    pub http: SocketAddr,
    /// Plan to apply at the start.
    pub plan: PlanDeclaration,
    /// Number of stand-in engines per model service and failure domain.
    pub engines: usize,
    /// Behaviour of the stand-in engines; `quality` is taken from the plan instead.
    pub engine: EngineBehaviour,
    /// Share of requests without a session that may explore another arm.
    pub explore_share: f64,
    /// Log level.
    pub log_level: String,
}

impl ClusterSettings {
    /// One keeper, one entry and two engines in each failure domain.
    pub fn small(data: &Path, plan: PlanDeclaration) -> Self {
        Self {
            data: data.to_owned(),
            keepers: 1,
            entries: 1,
            http: loopback(),
            plan,
            engines: 2,
            engine: EngineBehaviour {
                read_token_us: 10,
                piece_us: 300,
                ..EngineBehaviour::default()
            },
            explore_share: VersionSettings::default().explore_share,
            log_level: "warn".to_owned(),
        }
    }
}

/// A stand-in engine that is announced to the entries.
pub struct EngineEndpoint {
    /// Failure domain.
    pub domain: DomainId,
    /// The engine.
    pub engine: EngineStandin,
    /// Sends its announcements.
    pub announcer: EndpointAnnouncer,
}

/// A stand-in plain service that is announced to the entries.
pub struct PlainEndpoint {
    /// Failure domain.
    pub domain: DomainId,
    /// The service.
    pub service: PlainStandin,
    /// Sends its announcements.
    pub announcer: EndpointAnnouncer,
}

/// A running cluster.
pub struct SoloCluster {
    /// Keepers in the order of their replica ids; `None` for one that was shut down.
    pub keepers: Vec<Option<KeeperDaemon>>,
    /// Settings of the keepers, for restarts.
    pub keeper_settings: Vec<KeeperSettings>,
    /// Entries; `None` for one that was shut down.
    pub entries: Vec<Option<EntryDaemon>>,
    /// Stand-in engines.
    pub engines: Vec<EngineEndpoint>,
    /// Stand-in plain services.
    pub plain_services: Vec<PlainEndpoint>,
    /// Stand-in rating service.
    pub rating: RatingStandin,
    lease: LeaseSettings,
}

/// A loopback address with a port that the system chooses.
pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Bounds of the randomized election timeout on loopback.
const ELECTION_MIN: Duration = Duration::from_millis(150);
const ELECTION_MAX: Duration = Duration::from_millis(300);
/// Lease duration of the entries.
const LEASE_DURATION: Duration = Duration::from_millis(900);
/// Announcement interval of the stand-in endpoints.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(150);
/// Timeout for the cluster to become ready and for a change to come into force.
const CLUSTER_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Limit on the ratings that each entry requests per second.
const RATINGS_PER_S: f64 = 400.0;

impl SoloCluster {
    /// Starts all parts, applies the plan and waits until the entries are ready.
    ///
    /// # Errors
    /// The first error of any part; a message when the cluster is not ready in time.
    pub async fn start(settings: &ClusterSettings) -> Result<Self, BoxError> {
        let lease = LeaseSettings {
            duration: LEASE_DURATION,
            heartbeat: LEASE_DURATION / 6,
            ..LeaseSettings::default()
        };
        let (keepers, keeper_settings) = start_keepers(settings, &lease).await?;
        let rating = RatingStandin::start(loopback(), Duration::from_millis(5)).await?;
        let mut cluster = Self {
            keepers,
            keeper_settings,
            entries: Vec::new(),
            engines: Vec::new(),
            plain_services: Vec::new(),
            rating,
            lease,
        };
        cluster.submit_until_accepted(settings).await?;
        for number in 0..settings.entries {
            let http = if number == 0 {
                settings.http
            } else {
                loopback()
            };
            let entry = cluster.start_entry(settings, number, http).await?;
            cluster.entries.push(Some(entry));
        }
        cluster.start_endpoints(settings).await?;
        cluster.wait_until_ready(settings).await?;
        Ok(cluster)
    }

    /// RPC addresses of the keepers.
    pub fn keeper_addresses(&self) -> Vec<SocketAddr> {
        self.keeper_settings
            .iter()
            .map(|settings| settings.rpc)
            .collect()
    }

    /// HTTP addresses of the running entries.
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.entries
            .iter()
            .flatten()
            .map(|entry| entry.http)
            .collect()
    }

    /// Starts entry number `number`, counted from 0, with its HTTP server on `http`.
    ///
    /// # Errors
    /// The error of the entry at its start.
    pub async fn start_entry(
        &self,
        settings: &ClusterSettings,
        number: usize,
        http: SocketAddr,
    ) -> Result<EntryDaemon, BoxError> {
        let entry: EntryId = format!("entry-{}", number + 1).parse()?;
        let entry_settings = EntrySettings {
            entry: Some(entry),
            domain: settings.plan.domains.keys().next().cloned(),
            http,
            rpc: loopback(),
            keepers: self.keeper_addresses(),
            rating_service: Some(self.rating.address),
            rating_share: 1.0,
            ratings_per_s: RATINGS_PER_S,
            unready_grace: Duration::from_millis(50),
            ..EntrySettings::default()
        };
        let router = RouterSettings {
            version: VersionSettings {
                explore_share: settings.explore_share,
                ..VersionSettings::default()
            },
            credit: CreditSettings {
                owner_overlap: self.lease.duration_with_skew(),
                duration: Duration::from_millis(400),
                max_request_duration: Duration::from_secs(5),
                ..CreditSettings::default()
            },
            ..RouterSettings::default()
        };
        Ok(EntryDaemon::start_with(entry_settings, router).await?)
    }

    async fn start_endpoints(&mut self, settings: &ClusterSettings) -> Result<(), BoxError> {
        let entries = self.entry_addresses();
        for domain in settings.plan.domains.keys() {
            for (service, rule) in &settings.plan.services {
                match rule.kind {
                    ServiceKind::Model => {
                        for number in 0..settings.engines {
                            let endpoint =
                                start_engine(settings, service, domain, number, &entries).await?;
                            self.engines.push(endpoint);
                        }
                    }
                    ServiceKind::Plain => {
                        let endpoint = start_plain(service, domain, &entries).await?;
                        self.plain_services.push(endpoint);
                    }
                }
            }
        }
        Ok(())
    }

    /// Submits the plan until a leader accepts or rejects it.
    async fn submit_until_accepted(&self, settings: &ClusterSettings) -> Result<(), BoxError> {
        let change = SubmittedChange {
            operator: "example".to_owned(),
            base: None,
            content: SubmittedContent::Declaration(Box::new(settings.plan.clone())),
        };
        let started = tokio::time::Instant::now();
        while started.elapsed() < CLUSTER_TIMEOUT {
            let base = self.status().await.map(|status| status.declared_at);
            let rebased = SubmittedChange {
                base,
                ..change.clone()
            };
            match self.submit(rebased).await {
                Some(ChangeOutcome::Accepted(_)) => return Ok(()),
                Some(other) => {
                    return Err(format!("the leader rejected the plan: {other:?}").into());
                }
                None => tokio::time::sleep(POLL_INTERVAL).await,
            }
        }
        Err(format!(
            "no keeper became leader within {} s",
            CLUSTER_TIMEOUT.as_secs()
        )
        .into())
    }

    /// Submits a change to the leader; `None` if there is no leader or it does not reply.
    pub async fn submit(&self, change: SubmittedChange) -> Option<ChangeOutcome> {
        let command = KeeperCommand::Submit(Box::new(change));
        for keeper in self.keepers.iter().flatten() {
            let (reply, answer) = oneshot::channel();
            let message = ReplicaMessage::Run(vec![command.clone()], reply);
            if keeper.replica().cast(message).is_err() {
                continue;
            }
            if let Ok(RunReply::Done(outcomes)) = answer.await
                && let [KeeperOutcome::Change(outcome)] = outcomes.as_slice()
            {
                return Some(outcome.clone());
            }
        }
        None
    }

    /// Submits a single change and waits until it is in force. Returns its revision.
    ///
    /// # Errors
    /// A message when it is not accepted or not in force in time.
    pub async fn apply_change(&self, change: PlanChange) -> Result<u64, String> {
        let submitted = SubmittedChange {
            operator: "sample".to_owned(),
            base: None,
            content: SubmittedContent::Change(change),
        };
        match self.submit(submitted).await {
            Some(ChangeOutcome::Accepted(revision)) => {
                self.wait_in_force(revision).await?;
                Ok(revision)
            }
            other => Err(format!("change not accepted: {other:?}")),
        }
    }

    /// Status of the cluster according to the leader; `None` if there is no leader.
    pub async fn status(&self) -> Option<ClusterStatus> {
        for keeper in self.keepers.iter().flatten() {
            let (reply, answer) = oneshot::channel();
            if keeper
                .replica()
                .cast(ReplicaMessage::Status(reply))
                .is_err()
            {
                continue;
            }
            if let Ok(status) = answer.await
                && status.is_serving
            {
                return Some(status);
            }
        }
        None
    }

    /// Spend by account according to the leader; `None` if there is no leader.
    pub async fn spend(&self) -> Option<Vec<SpendRow>> {
        for keeper in self.keepers.iter().flatten() {
            let (reply, answer) = oneshot::channel();
            if keeper.replica().cast(ReplicaMessage::Spend(reply)).is_err() {
                continue;
            }
            if let Ok(Some(rows)) = answer.await {
                return Some(rows);
            }
        }
        None
    }

    /// Waits until plan revision `revision` is in force in the whole cluster.
    ///
    /// # Errors
    /// A message when the timeout of 20 s expires.
    pub async fn wait_in_force(&self, revision: u64) -> Result<(), String> {
        let started = tokio::time::Instant::now();
        while started.elapsed() < CLUSTER_TIMEOUT {
            let status = self.status().await;
            if status.is_some_and(|s| s.in_force.is_some_and(|in_force| in_force >= revision)) {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(format!(
            "plan revision {revision} not in force after {} s",
            CLUSTER_TIMEOUT.as_secs()
        ))
    }

    /// Waits until each running entry is ready and knows all endpoints and all entries.
    async fn wait_until_ready(&self, settings: &ClusterSettings) -> Result<(), BoxError> {
        let endpoint_count = self.engines.len() + self.plain_services.len();
        let started = tokio::time::Instant::now();
        while started.elapsed() < CLUSTER_TIMEOUT {
            let is_ready = self.entries.iter().flatten().all(|entry| {
                let context = entry.context();
                let knows_all = context.router().registry.len() >= endpoint_count;
                let knows_entries = context.live_entries().len() >= settings.entries;
                context.is_ready() && knows_all && knows_entries
            });
            if is_ready {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(format!(
            "the entries were not ready within {} s",
            CLUSTER_TIMEOUT.as_secs()
        )
        .into())
    }

    /// Shuts down the entries, then the stand-ins, then the keepers.
    pub async fn shut_down(self) {
        for entry in self.entries.into_iter().flatten() {
            entry.shut_down().await;
        }
        for endpoint in self.engines {
            endpoint.announcer.stop();
            endpoint.engine.stop();
        }
        for endpoint in self.plain_services {
            endpoint.announcer.stop();
            endpoint.service.stop();
        }
        self.rating.stop();
        for keeper in self.keepers.into_iter().flatten() {
            keeper.shut_down().await;
        }
    }
}

async fn start_keepers(
    settings: &ClusterSettings,
    lease: &LeaseSettings,
) -> Result<(Vec<Option<KeeperDaemon>>, Vec<KeeperSettings>), BoxError> {
    let listeners: Vec<TcpListener> = (0..settings.keepers)
        .map(|_| TcpListener::bind(loopback()))
        .collect::<Result<_, _>>()?;
    let addresses: Vec<SocketAddr> = listeners
        .iter()
        .map(TcpListener::local_addr)
        .collect::<Result<_, _>>()?;
    let voters: BTreeMap<u64, SocketAddr> = (1..).zip(addresses.iter().copied()).collect();
    let mut keepers = Vec::new();
    let mut all_settings = Vec::new();
    for (listener, (replica, rpc)) in listeners.into_iter().zip(voters.clone()) {
        let keeper_settings = KeeperSettings {
            replica,
            rpc,
            http: loopback(),
            data: settings.data.join(format!("keeper-{replica}")),
            first_voters: voters.clone(),
            election_min: ELECTION_MIN,
            election_max: ELECTION_MAX,
            lease: lease.clone(),
            ..KeeperSettings::default()
        };
        if !chestnutloft_keeper::storage::DataFolder::is_formatted(&keeper_settings.data) {
            keeper_daemon::init(&keeper_settings)?;
        }
        let keeper = KeeperDaemon::start_on(keeper_settings.clone(), listener).await?;
        keepers.push(Some(keeper));
        all_settings.push(keeper_settings);
    }
    Ok((keepers, all_settings))
}

fn announcement(
    endpoint: EndpointId,
    service: &ServiceId,
    domain: &DomainId,
    address: SocketAddr,
    slots: u32,
) -> EndpointAnnouncement {
    EndpointAnnouncement {
        endpoint,
        incarnation: clock::wall_now().as_micros(),
        sequence: 0,
        service: service.clone(),
        domain: domain.clone(),
        address: address.to_string(),
        versions: BTreeSet::new(),
        slots,
        is_leaving: false,
        load: EndpointLoad::default(),
    }
}

async fn start_engine(
    settings: &ClusterSettings,
    service: &ServiceId,
    domain: &DomainId,
    number: usize,
    entries: &[SocketAddr],
) -> Result<EngineEndpoint, BoxError> {
    let quality: BTreeMap<VersionId, f64> = settings
        .plan
        .versions
        .iter()
        .filter(|(_, rule)| rule.service == *service && !rule.is_withdrawn)
        .map(|(version, rule)| (version.clone(), rule.prior_quality))
        .collect();
    let behaviour = EngineBehaviour {
        quality,
        ..settings.engine.clone()
    };
    let slots = behaviour.slots;
    let engine = EngineStandin::start(loopback(), behaviour).await?;
    let endpoint = format!("{service}-{domain}-{}", number + 1).parse()?;
    let initial = announcement(endpoint, service, domain, engine.address, slots);
    let observed = engine.clone();
    let refresh = move |announcement: &mut EndpointAnnouncement| {
        announcement.versions = observed.versions();
        announcement.load.running = observed.counts().running;
    };
    let announcer = EndpointAnnouncer::start(initial, entries.to_vec(), ANNOUNCE_INTERVAL, refresh);
    Ok(EngineEndpoint {
        domain: domain.clone(),
        engine,
        announcer,
    })
}

async fn start_plain(
    service: &ServiceId,
    domain: &DomainId,
    entries: &[SocketAddr],
) -> Result<PlainEndpoint, BoxError> {
    let standin = PlainStandin::start(loopback(), PlainBehaviour::default()).await?;
    let endpoint = format!("{service}-{domain}").parse()?;
    let initial = announcement(endpoint, service, domain, standin.address, 64);
    let observed = standin.clone();
    let refresh = move |announcement: &mut EndpointAnnouncement| {
        announcement.load.running = observed.running();
    };
    let announcer = EndpointAnnouncer::start(initial, entries.to_vec(), ANNOUNCE_INTERVAL, refresh);
    Ok(PlainEndpoint {
        domain: domain.clone(),
        service: standin,
        announcer,
    })
}
