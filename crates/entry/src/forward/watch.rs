//! Keeps the book current: waits at the leading keeper for news.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::clock;
use chestnutloft_wire::message::{PeerLists, WatchCall, WatchReply, marks_hash};
use chestnutloft_wire::rpc::Method;
use chestnutloft_wire::rpc_client::RpcClient;
use chestnutloft_wire::settings::SeedReader;

use super::call::ForwardGate;
use super::settings::ForwardSettings;

/// Time for one call: the keeper's longest wait and a second for the way.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Wait after a call without an answer.
const RETRY_WAIT: Duration = Duration::from_millis(60);

/// Keepers named in the settings file.
pub struct SeedList {
    reader: SeedReader,
    port: u16,
    addresses: Vec<String>,
}

impl SeedList {
    /// The seeds of `settings`; `reader` reads the file anew.
    pub fn new(settings: &ForwardSettings, reader: SeedReader) -> Self {
        let mut list = Self {
            reader,
            port: settings.keeper_port,
            addresses: Vec::new(),
        };
        list.set(&settings.seeds);
        list
    }

    fn set(&mut self, seeds: &[SocketAddr]) {
        let at_port = |seed: &SocketAddr| SocketAddr::new(seed.ip(), self.port).to_string();
        self.addresses = seeds.iter().map(at_port).collect();
    }

    fn refresh(&mut self) {
        if let Some(seeds) = (self.reader)() {
            self.set(&seeds);
        }
    }
}

struct KeeperWatch {
    gate: Arc<ForwardGate>,
    caller: RpcClient,
    seeds: SeedList,
    peers: PeerLists,
    bound_hash: u64,
    target: Option<String>,
    turn: usize,
    is_in_touch: bool,
}

/// Watches until the process ends.
pub async fn watch_keepers(gate: Arc<ForwardGate>, caller: RpcClient, seeds: SeedList) {
    let mut watch = KeeperWatch {
        gate,
        caller,
        seeds,
        peers: PeerLists::default(),
        bound_hash: marks_hash(&[]),
        target: None,
        turn: 0,
        is_in_touch: false,
    };
    loop {
        watch.ask_once().await;
    }
}

impl KeeperWatch {
    fn keepers(&self) -> impl Iterator<Item = &String> {
        self.peers.keepers.iter().chain(&self.seeds.addresses)
    }

    /// Asks another keeper next time. The seeds may have been exchanged once all have been asked.
    fn turn(&mut self) {
        self.turn += 1;
        if self.turn.is_multiple_of(self.keepers().count()) {
            self.seeds.refresh();
        }
    }

    /// The leader where it is known, else each keeper in turn.
    fn target(&self) -> String {
        let known = || {
            let all: Vec<&String> = self.keepers().collect();
            all[self.turn % all.len()].clone()
        };
        self.target.clone().unwrap_or_else(known)
    }

    async fn ask_once(&mut self) {
        let target = self.target();
        let asked_at = clock::now();
        let call = self.call(asked_at);
        let reply = self
            .caller
            .call::<_, WatchReply>(&target, Method::Watch, &call, CALL_TIMEOUT)
            .await;
        let now = clock::now();
        match reply {
            Ok(WatchReply::Current {
                update,
                peers,
                bound_sessions,
            }) => {
                self.gate.share.leader.send_replace(Some(target.clone()));
                self.target = Some(target);
                self.note_touch(now, true, "");
                if let Some(marks) = bound_sessions {
                    self.bound_hash = marks_hash(&marks);
                    self.gate.book().bind_sessions(&marks);
                }
                self.take(now, asked_at, *update, peers);
            }
            Ok(WatchReply::NotLeader(hint)) => {
                // A hint at the keeper that has just failed to answer helps nobody.
                self.turn();
                self.target = hint.filter(|hint| *hint != target);
                tokio::time::sleep(RETRY_WAIT).await;
            }
            Err(error) => {
                self.turn();
                self.target = None;
                self.gate.share.leader.send_replace(None);
                self.note_touch(now, false, &error.to_string());
                tokio::time::sleep(RETRY_WAIT).await;
            }
        }
    }

    fn call(&self, now: TimePoint) -> WatchCall {
        let mut book = self.gate.book();
        WatchCall {
            entry: Arc::clone(&self.gate.name),
            known: book.revision(),
            peers_hash: self.peers.hash(),
            arms: book.take_arms(),
            rollouts: book.rollout_ages(now),
            bound_sessions: book.bound_sessions(now),
            bound_hash: self.bound_hash,
        }
    }

    fn take(
        &mut self,
        now: TimePoint,
        asked_at: TimePoint,
        update: chestnutloft_core::routing::RoutingUpdate,
        peers: Option<PeerLists>,
    ) {
        let mut book = self.gate.book();
        book.apply(now, asked_at, update);
        if book.is_ready(now) {
            self.gate
                .informed
                .send_if_modified(|is_informed| !std::mem::replace(is_informed, true));
        }
        if let Some(peers) = peers {
            let mut entries = peers.entries.clone();
            if !entries.contains(&self.gate.name) {
                entries.push(Arc::clone(&self.gate.name));
            }
            book.entries = entries;
            drop(book);
            self.peers = peers;
        }
    }

    fn note_touch(&mut self, now: TimePoint, is_in_touch: bool, problem: &str) {
        if is_in_touch && !self.is_in_touch {
            spdlog::info!("watch: in touch with the leading keeper.");
        }
        if !is_in_touch && self.is_in_touch {
            let is_current = self.gate.book().is_current(now);
            spdlog::warn!("watch: out of touch: {problem}; state trusted: {is_current}.");
        }
        self.is_in_touch = is_in_touch;
    }
}
