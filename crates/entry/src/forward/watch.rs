//! Keeps the routing state current by long polling the leading keeper.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::routing::{RoutingUpdate, SegmentSuspicions, SessionHash};
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::clock;
use chestnutloft_wire::message::{
    PeerLists, WatchCall, WatchReply, sessions_hash, suspicions_hash,
};
use chestnutloft_wire::rpc::Method;
use chestnutloft_wire::rpc_client::RpcClient;
use chestnutloft_wire::settings::SeedReader;

use super::context::ForwardContext;
use super::leader_search::{FoundLeader, KeeperAnswer, search_leader};
use super::settings::ForwardSettings;

/// Timeout of a poll of the known leader: longer than a keeper holds a poll open while there is no
/// update.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a poll that yielded no update.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Time to apply an update from which it is reported.
const SLOW_APPLY: Duration = Duration::from_millis(100);

/// RPC addresses of the keepers named in the settings file.
pub struct SeedList {
    reader: SeedReader,
    rpc_port: u16,
    addresses: Vec<String>,
}

impl SeedList {
    /// Creates the list from `settings`; `reader` reads the settings file again.
    pub fn new(settings: &ForwardSettings, reader: SeedReader) -> Self {
        let mut list = Self {
            reader,
            rpc_port: settings.keeper_port,
            addresses: Vec::new(),
        };
        list.set(&settings.seeds);
        list
    }

    fn set(&mut self, seeds: &[SocketAddr]) {
        let rpc_address = |seed: &SocketAddr| SocketAddr::new(seed.ip(), self.rpc_port).to_string();
        self.addresses = seeds.iter().map(rpc_address).collect();
    }

    fn refresh(&mut self) {
        if let Some(seeds) = (self.reader)() {
            self.set(&seeds);
        }
    }
}

struct KeeperWatch {
    context: Arc<ForwardContext>,
    rpc_client: RpcClient,
    seeds: SeedList,
    peers: PeerLists,
    /// Hash of the sessions of all entries that must stay on the old version, as last received.
    bound_hash: u64,
    /// Leading keeper, if known.
    leader: Option<String>,
    /// Keeper that led last, if it no longer answers.
    lost_leader: Option<String>,
    is_connected: bool,
}

/// Reply of the leading keeper to a poll: see [`WatchReply::Current`].
struct CurrentReply {
    update: Box<RoutingUpdate>,
    peers: Option<PeerLists>,
    bound_sessions: Option<Vec<SessionHash>>,
    suspicions: Option<SegmentSuspicions>,
}

/// Polls the keepers until the process ends.
pub async fn watch_keepers(context: Arc<ForwardContext>, rpc_client: RpcClient, seeds: SeedList) {
    let mut watch = KeeperWatch {
        context,
        rpc_client,
        seeds,
        peers: PeerLists::default(),
        bound_hash: sessions_hash(&[]),
        leader: None,
        lost_leader: None,
        is_connected: false,
    };
    loop {
        watch.poll_once().await;
    }
}

impl KeeperWatch {
    /// Keepers to poll while the leader is unknown, the one that led last at the end.
    fn keepers(&self) -> Vec<String> {
        let known = self.peers.keepers.iter().chain(&self.seeds.addresses);
        let (mut first, last): (Vec<_>, Vec<_>) = known
            .cloned()
            .partition(|address| Some(address) != self.lost_leader.as_ref());
        first.extend(last);
        first
    }

    async fn poll_once(&mut self) {
        let requested_at = clock::now();
        let call = self.watch_call(requested_at);
        let found = match self.leader.clone() {
            Some(leader) => tokio::select! {
                found = self.poll_leader(leader, &call) => found,
                // Polls again at once, with the news.
                () = self.context.segment_news.notified() => {
                    let mut state = self.context.state();
                    state.resend_arm_counts();
                    state.segments.resend_sent_ends();
                    return;
                }
            },
            None => search_leader(&self.keepers(), |address| self.poll(address, &call)).await,
        };
        let now = clock::now();
        match found {
            Ok(leader) => self.apply_reply(now, requested_at, leader),
            Err(problem) => {
                // The settings file may name other keepers by now.
                if self.leader.is_none() {
                    self.seeds.refresh();
                }
                self.lost_leader = self.leader.take().or(self.lost_leader.take());
                self.context.load_exchange.leader.send_replace(None);
                self.context.state().resend_arm_counts();
                self.context.state().segments.resend_all_ends();
                self.log_connectivity(now, false, &problem);
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Polls one keeper, for at most [`POLL_TIMEOUT`].
    async fn poll(&self, address: String, call: &WatchCall) -> KeeperAnswer<CurrentReply> {
        let reply = self
            .rpc_client
            .call::<_, WatchReply>(&address, Method::Watch, call, POLL_TIMEOUT)
            .await;
        match reply {
            Ok(WatchReply::Current {
                update,
                peers,
                bound_sessions,
                suspicions,
            }) => KeeperAnswer::Leader(CurrentReply {
                update,
                peers,
                bound_sessions,
                suspicions,
            }),
            Ok(WatchReply::NotLeader(hint)) => KeeperAnswer::Follower(hint),
            Err(error) => KeeperAnswer::Failed(error.to_string()),
        }
    }

    /// Polls the keeper that led at the last poll.
    async fn poll_leader(
        &self,
        address: String,
        call: &WatchCall,
    ) -> Result<FoundLeader<CurrentReply>, String> {
        match self.poll(address.clone(), call).await {
            KeeperAnswer::Leader(reply) => Ok(FoundLeader { address, reply }),
            KeeperAnswer::Follower(_) => Err(format!("{address} no longer leads")),
            KeeperAnswer::Failed(reason) => Err(reason),
        }
    }

    fn apply_reply(
        &mut self,
        now: TimePoint,
        requested_at: TimePoint,
        leader: FoundLeader<CurrentReply>,
    ) {
        let FoundLeader { address, reply } = leader;
        self.context
            .load_exchange
            .leader
            .send_replace(Some(address.clone()));
        self.leader = Some(address);
        self.log_connectivity(now, true, "");
        if let Some(hashes) = reply.bound_sessions {
            self.bound_hash = sessions_hash(&hashes);
            self.context.state().bind_sessions(&hashes);
        }
        let mut state = self.context.state();
        state.segments.confirm_ends();
        if let Some(suspicions) = reply.suspicions {
            if state.record_known_ends(now, &suspicions.ended) {
                self.context.segment_news.notify_one();
            }
            state.segments.set_suspicions(suspicions);
        }
        drop(state);
        self.apply_update(now, requested_at, *reply.update, reply.peers);
    }

    fn watch_call(&self, now: TimePoint) -> WatchCall {
        let mut state = self.context.state();
        WatchCall {
            entry: Arc::clone(&self.context.name),
            known: state.revision(),
            peers_hash: self.peers.hash(),
            arms: state.take_arm_counts(),
            rollouts: state.rollout_ages(now),
            bound_sessions: state.bound_sessions(now),
            bound_hash: self.bound_hash,
            ends: state.segments.take_due_ends(now),
            progress: state.segments.relevant_progress(now),
            suspicions_hash: suspicions_hash(state.segments.suspicions()),
        }
    }

    fn apply_update(
        &mut self,
        now: TimePoint,
        requested_at: TimePoint,
        update: RoutingUpdate,
        peers: Option<PeerLists>,
    ) {
        let has_new_blocks = update.blocked_segments.is_some();
        let mut state = self.context.state();
        let index = update.index;
        state.apply(now, requested_at, update);
        let apply_time = clock::now().since(now);
        if apply_time > SLOW_APPLY {
            spdlog::warn!(
                "watch: applying the update to change {index} took {} ms; the reply arrived {} ms after the poll.",
                apply_time.as_millis(),
                now.since(requested_at).as_millis()
            );
        }
        self.context.capacity_changed.send_replace(());
        if has_new_blocks {
            self.context.segment_blocks.send_replace(());
        }
        if state.is_ready(now) {
            self.context
                .has_routes
                .send_if_modified(|has_routes| !std::mem::replace(has_routes, true));
        }
        if let Some(peers) = peers {
            let mut entries = peers.entries.clone();
            if !entries.contains(&self.context.name) {
                entries.push(Arc::clone(&self.context.name));
            }
            state.entries = entries;
            drop(state);
            self.peers = peers;
        }
    }

    /// Logs when contact with the leading keeper is established or lost.
    fn log_connectivity(&mut self, now: TimePoint, is_connected: bool, problem: &str) {
        if is_connected && !self.is_connected {
            spdlog::info!("watch: connected to the leading keeper.");
        }
        if !is_connected && self.is_connected {
            let is_current = self.context.state().is_current(now);
            spdlog::warn!(
                "watch: lost contact with the leading keeper: {problem}; trying the other keepers; routing state still current: {is_current}."
            );
        }
        self.is_connected = is_connected;
    }
}
