//! Keepers, entries and stand-ins in one process.

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

/// What a cluster is made of.
#[derive(Clone, Debug)]
pub struct ClusterSettings {
    /// Folder for the keepers' data.
    pub data: PathBuf,
    /// Keepers.
    pub keepers: u64,
    /// Entries.
    pub entries: usize,
    /// Addresses of the first entry for callers; port 0 lets the system choose.
    pub http: SocketAddr,
    /// Plan.
    pub plan: PlanDeclaration,
    /// Stand-in engines in each failure domain.
    pub engines: usize,
    /// How stand-in engines behave; the quality comes from the plan.
    pub engine: EngineBehaviour,
    /// Share of sessionless requests that may try another way.
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

/// One stand-in engine with its announcer.
pub struct EngineSeat {
    /// Failure domain.
    pub domain: DomainId,
    /// The engine.
    pub engine: EngineStandin,
    /// Its announcer.
    pub announcer: EndpointAnnouncer,
}

/// One stand-in service with its announcer.
pub struct PlainSeat {
    /// Failure domain.
    pub domain: DomainId,
    /// The service.
    pub plain: PlainStandin,
    /// Its announcer.
    pub announcer: EndpointAnnouncer,
}

/// A running cluster.
pub struct SoloCluster {
    /// Keepers, in the order of their numbers; `None` where one was ended.
    pub keepers: Vec<Option<KeeperDaemon>>,
    /// Settings of the keepers, for restarts.
    pub keeper_settings: Vec<KeeperSettings>,
    /// Entries; `None` where one was ended.
    pub entries: Vec<Option<EntryDaemon>>,
    /// Stand-in engines.
    pub engines: Vec<EngineSeat>,
    /// Stand-in services.
    pub plains: Vec<PlainSeat>,
    /// Stand-in rating service.
    pub rating: RatingStandin,
    lease: LeaseSettings,
}

/// A loopback address with a port that the system chooses.
pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

type AnyError = Box<dyn std::error::Error + Send + Sync>;

/// Election timeouts on loopback.
const ELECTION_MIN: Duration = Duration::from_millis(150);
const ELECTION_MAX: Duration = Duration::from_millis(300);
/// Lease on loopback.
const LEASE: Duration = Duration::from_millis(900);
/// Time between two announcements of a stand-in.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(150);
/// Longest wait for a change to come into force.
const WAIT: Duration = Duration::from_secs(20);
/// Wait between two looks.
const POLL: Duration = Duration::from_millis(20);
/// Ratings per second that the stand-in rating service allows.
const RATINGS_PER_S: f64 = 400.0;

impl SoloCluster {
    /// Starts everything, applies the plan and waits until requests are answered.
    ///
    /// # Errors
    /// The first error of any part.
    pub async fn start(settings: &ClusterSettings) -> Result<Self, AnyError> {
        let lease = LeaseSettings {
            duration: LEASE,
            heartbeat: LEASE / 6,
            ..LeaseSettings::default()
        };
        let (keepers, keeper_settings) = start_keepers(settings, &lease).await?;
        let rating = RatingStandin::start(loopback(), Duration::from_millis(5)).await?;
        let mut cluster = Self {
            keepers,
            keeper_settings,
            entries: Vec::new(),
            engines: Vec::new(),
            plains: Vec::new(),
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

    /// Addresses of the entries that run, for callers.
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.entries
            .iter()
            .flatten()
            .map(|entry| entry.http)
            .collect()
    }

    /// Starts an entry.
    ///
    /// # Errors
    /// The error of the entry.
    pub async fn start_entry(
        &self,
        settings: &ClusterSettings,
        number: usize,
        http: SocketAddr,
    ) -> Result<EntryDaemon, AnyError> {
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

    async fn start_endpoints(&mut self, settings: &ClusterSettings) -> Result<(), AnyError> {
        let entries = self.entry_addresses();
        for domain in settings.plan.domains.keys() {
            for (service, rule) in &settings.plan.services {
                match rule.kind {
                    ServiceKind::Model => {
                        for number in 0..settings.engines {
                            let seat =
                                start_engine(settings, service, domain, number, &entries).await?;
                            self.engines.push(seat);
                        }
                    }
                    ServiceKind::Plain => {
                        let seat = start_plain(service, domain, &entries).await?;
                        self.plains.push(seat);
                    }
                }
            }
        }
        Ok(())
    }

    async fn submit_until_accepted(&self, settings: &ClusterSettings) -> Result<(), AnyError> {
        let change = SubmittedChange {
            operator: "example".to_owned(),
            base: None,
            content: SubmittedContent::Declaration(Box::new(settings.plan.clone())),
        };
        let began = tokio::time::Instant::now();
        while began.elapsed() < WAIT {
            let base = self.status().await.map(|status| status.declared_at);
            let based = SubmittedChange {
                base,
                ..change.clone()
            };
            match self.submit(based).await {
                Some(ChangeOutcome::Accepted(_)) => return Ok(()),
                Some(other) => return Err(format!("the plan was not accepted: {other:?}").into()),
                None => tokio::time::sleep(POLL).await,
            }
        }
        Err("no keeper leads".into())
    }

    /// Submits a change to the leader; `None` where none answers.
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

    /// Submits a single change and waits until it is in force.
    ///
    /// # Errors
    /// A sentence when it is not accepted or not in force in time.
    pub async fn change(&self, change: PlanChange) -> Result<u64, String> {
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
            other => Err(format!("not accepted: {other:?}")),
        }
    }

    /// The leader's status.
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

    /// Sums of all bills, from the leader.
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

    /// Waits until `revision` is in force everywhere.
    ///
    /// # Errors
    /// A sentence when that takes too long.
    pub async fn wait_in_force(&self, revision: u64) -> Result<(), String> {
        let began = tokio::time::Instant::now();
        while began.elapsed() < WAIT {
            let status = self.status().await;
            if status.is_some_and(|s| s.in_force.is_some_and(|in_force| in_force >= revision)) {
                return Ok(());
            }
            tokio::time::sleep(POLL).await;
        }
        Err(format!(
            "revision {revision} is not in force after {} s",
            WAIT.as_secs()
        ))
    }

    /// Waits until each running entry knows all endpoints and each endpoint may take work.
    async fn wait_until_ready(&self, settings: &ClusterSettings) -> Result<(), AnyError> {
        let endpoints = self.engines.len() + self.plains.len();
        let began = tokio::time::Instant::now();
        while began.elapsed() < WAIT {
            let is_ready = self.entries.iter().flatten().all(|entry| {
                let context = entry.context();
                let knows_all = context.router().registry.len() >= endpoints;
                let knows_entries = context.live_entries().len() >= settings.entries;
                context.is_ready() && knows_all && knows_entries
            });
            if is_ready {
                return Ok(());
            }
            tokio::time::sleep(POLL).await;
        }
        Err("the cluster was not ready in time".into())
    }

    /// Ends everything in order.
    pub async fn shut_down(self) {
        for entry in self.entries.into_iter().flatten() {
            entry.shut_down().await;
        }
        for seat in self.engines {
            seat.announcer.stop();
            seat.engine.stop();
        }
        for seat in self.plains {
            seat.announcer.stop();
            seat.plain.stop();
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
) -> Result<(Vec<Option<KeeperDaemon>>, Vec<KeeperSettings>), AnyError> {
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
) -> Result<EngineSeat, AnyError> {
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
    let first = announcement(endpoint, service, domain, engine.address, slots);
    let watched = engine.clone();
    let refresh = move |a: &mut EndpointAnnouncement| {
        a.versions = watched.versions();
        a.load.running = watched.counts().running;
    };
    let announcer = EndpointAnnouncer::start(first, entries.to_vec(), ANNOUNCE_INTERVAL, refresh);
    Ok(EngineSeat {
        domain: domain.clone(),
        engine,
        announcer,
    })
}

async fn start_plain(
    service: &ServiceId,
    domain: &DomainId,
    entries: &[SocketAddr],
) -> Result<PlainSeat, AnyError> {
    let plain = PlainStandin::start(loopback(), PlainBehaviour::default()).await?;
    let endpoint = format!("{service}-{domain}").parse()?;
    let first = announcement(endpoint, service, domain, plain.address, 64);
    let watched = plain.clone();
    let refresh = move |a: &mut EndpointAnnouncement| a.load.running = watched.running();
    let announcer = EndpointAnnouncer::start(first, entries.to_vec(), ANNOUNCE_INTERVAL, refresh);
    Ok(PlainSeat {
        domain: domain.clone(),
        plain,
        announcer,
    })
}
