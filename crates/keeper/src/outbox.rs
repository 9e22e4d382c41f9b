//! Sends consensus messages to other keepers.

use std::collections::BTreeMap;
use std::time::Duration;

use chestnutloft_core::consensus::{MemberConfig, PeerMessage, ReplicaId};
use chestnutloft_wire::message::ReplicateCall;
use chestnutloft_wire::rpc::Method;
use chestnutloft_wire::rpc_client::RpcClient;

/// Timeout for delivering messages. Lost messages are not resent here: consensus retries them.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends messages; those for one replica go together and in order.
#[derive(Debug)]
pub struct MessageOutbox {
    own_id: ReplicaId,
    own_address: String,
    rpc_client: RpcClient,
    learned_addresses: BTreeMap<ReplicaId, String>,
}

impl MessageOutbox {
    /// Creates the outbox of replica `own_id`, whose RPC address is `own_address`.
    pub fn new(own_id: ReplicaId, own_address: String, rpc_client: RpcClient) -> Self {
        Self {
            own_id,
            own_address,
            rpc_client,
            learned_addresses: BTreeMap::new(),
        }
    }

    /// Stores the address of a sender. A joining replica needs it to answer the leader, because it
    /// knows no members yet.
    pub fn learn_address(&mut self, from: ReplicaId, address: &str) {
        if self
            .learned_addresses
            .get(&from)
            .is_none_or(|known| known != address)
        {
            self.learned_addresses.insert(from, address.to_owned());
        }
    }

    /// RPC address of `id`, from the members or from messages that it sent.
    pub fn address<'a>(&'a self, config: &'a MemberConfig, id: ReplicaId) -> Option<&'a str> {
        let learned_address = || self.learned_addresses.get(&id).map(String::as_str);
        config.address(id).or_else(learned_address)
    }

    /// Sends `messages` in the background. Replies arrive as separate messages.
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
            from: self.own_id,
            from_address: self.own_address.clone(),
            to,
            messages,
        };
        let rpc_client = self.rpc_client.clone();
        tokio::spawn(async move {
            let sent: Result<(), _> = rpc_client
                .call(&address, Method::Replicate, &call, MESSAGE_TIMEOUT)
                .await;
            if let Err(error) = sent {
                spdlog::debug!(
                    "replica: messages to replica {} were not delivered: {error}.",
                    call.to.0
                );
            }
        });
    }
}
