//! Keeps the routing state current by long polling the leading keeper.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::clock;
use chestnutloft_wire::message::{PeerLists, WatchCall, WatchReply, sessions_hash};
use chestnutloft_wire::rpc::Method;
use chestnutloft_wire::rpc_client::RpcClient;
use chestnutloft_wire::settings::SeedReader;

use super::context::ForwardContext;
use super::settings::ForwardSettings;

/// Timeout of one poll: longer than a keeper holds a poll open while there is no update.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a poll that yielded no update.
const RETRY_DELAY: Duration = Duration::from_millis(60);

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
    /// Number of keepers polled without success; selects the next one while no leader is known.
    failed_polls: usize,
    is_connected: bool,
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
        failed_polls: 0,
        is_connected: false,
    };
    loop {
        watch.poll_once().await;
    }
}

impl KeeperWatch {
    fn keepers(&self) -> impl Iterator<Item = &String> {
        self.peers.keepers.iter().chain(&self.seeds.addresses)
    }

    /// Moves on to the next keeper. Once all have been polled, reads the seeds again, since the
    /// settings file may name other keepers by now.
    fn select_next_keeper(&mut self) {
        self.failed_polls += 1;
        if self.failed_polls.is_multiple_of(self.keepers().count()) {
            self.seeds.refresh();
        }
    }

    /// Address of the keeper to poll: the leader if known, else each keeper in turn.
    fn poll_address(&self) -> String {
        let next_keeper = || {
            let all: Vec<&String> = self.keepers().collect();
            all[self.failed_polls % all.len()].clone()
        };
        self.leader.clone().unwrap_or_else(next_keeper)
    }

    async fn poll_once(&mut self) {
        let address = self.poll_address();
        let requested_at = clock::now();
        let call = self.watch_call(requested_at);
        let reply = self
            .rpc_client
            .call::<_, WatchReply>(&address, Method::Watch, &call, POLL_TIMEOUT)
            .await;
        let now = clock::now();
        match reply {
            Ok(WatchReply::Current {
                update,
                peers,
                bound_sessions,
            }) => {
                self.context
                    .load_exchange
                    .leader
                    .send_replace(Some(address.clone()));
                self.leader = Some(address);
                self.log_connectivity(now, true, "");
                if let Some(hashes) = bound_sessions {
                    self.bound_hash = sessions_hash(&hashes);
                    self.context.state().bind_sessions(&hashes);
                }
                self.apply_update(now, requested_at, *update, peers);
            }
            Ok(WatchReply::NotLeader(hint)) => {
                self.select_next_keeper();
                // A keeper that names itself as the leader but does not lead is not polled again at
                // once.
                self.leader = hint.filter(|hint| *hint != address);
                tokio::time::sleep(RETRY_DELAY).await;
            }
            Err(error) => {
                self.select_next_keeper();
                self.leader = None;
                self.context.load_exchange.leader.send_replace(None);
                self.log_connectivity(now, false, &error.to_string());
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
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
        }
    }

    fn apply_update(
        &mut self,
        now: TimePoint,
        requested_at: TimePoint,
        update: chestnutloft_core::routing::RoutingUpdate,
        peers: Option<PeerLists>,
    ) {
        let mut state = self.context.state();
        state.apply(now, requested_at, update);
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
