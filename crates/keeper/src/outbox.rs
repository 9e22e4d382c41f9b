//! Sends messages of the replicated log to other keepers.

use std::collections::BTreeMap;
use std::time::Duration;

use chestnutloft_core::consensus::{MemberConfig, PeerMessage, ReplicaId};
use chestnutloft_wire::message::ReplicateCall;
use chestnutloft_wire::rpc::Method;
use chestnutloft_wire::rpc_client::RpcClient;

/// Time for a message to arrive; the log repeats what matters.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends messages, those for one replica together and in order.
#[derive(Debug)]
pub struct MessageOutbox {
    own: ReplicaId,
    own_address: String,
    caller: RpcClient,
    learned: BTreeMap<ReplicaId, String>,
}

impl MessageOutbox {
    /// An outbox of replica `own`.
    pub fn new(own: ReplicaId, own_address: String, caller: RpcClient) -> Self {
        Self {
            own,
            own_address,
            caller,
            learned: BTreeMap::new(),
        }
    }

    /// Learns the address of a sender. A replica that joins knows no members until it has
    /// answered the leader.
    pub fn learn(&mut self, from: ReplicaId, address: &str) {
        if self.learned.get(&from).is_none_or(|known| known != address) {
            self.learned.insert(from, address.to_owned());
        }
    }

    /// Address of `id`.
    pub fn address<'a>(&'a self, config: &'a MemberConfig, id: ReplicaId) -> Option<&'a str> {
        let learned = || self.learned.get(&id).map(String::as_str);
        config.address(id).or_else(learned)
    }

    /// Sends `messages`; answers come as messages of their own.
    pub fn send(&self, config: &MemberConfig, messages: Vec<(ReplicaId, PeerMessage)>) {
        let mut by_receiver: BTreeMap<ReplicaId, Vec<PeerMessage>> = BTreeMap::new();
        for (to, message) in messages {
            by_receiver.entry(to).or_default().push(message);
        }
        for (to, messages) in by_receiver {
            let Some(address) = self.address(config, to) else {
                continue;
            };
            self.send_to(address.to_owned(), to, messages);
        }
    }

    fn send_to(&self, address: String, to: ReplicaId, messages: Vec<PeerMessage>) {
        let call = ReplicateCall {
            from: self.own,
            from_address: self.own_address.clone(),
            to,
            messages,
        };
        let caller = self.caller.clone();
        tokio::spawn(async move {
            let sent: Result<(), _> = caller
                .call(&address, Method::Replicate, &call, MESSAGE_TIMEOUT)
                .await;
            if let Err(error) = sent {
                spdlog::debug!("replica: message to {} was lost: {error}.", call.to.0);
            }
        });
    }
}
