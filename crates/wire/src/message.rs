//! Typed messages between chestnutloft's processes.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use chestnutloft_core::consensus::{PeerMessage, ReplicaId};
use chestnutloft_core::ids::{EndpointId, EntryId};
use chestnutloft_core::routing::{
    ArmCount, ArmKey, LoadSummary, RoutingRevision, RoutingUpdate, SessionHash,
};
use chestnutloft_core::state::{
    CreditGrant, CreditReport, EndpointRecord, EntryHeartbeat, KeeperCommand, KeeperOutcome,
    LeaseGrant,
};

/// Messages of the replicated log from one keeper to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicateCall {
    /// Sender.
    pub from: ReplicaId,
    /// RPC address of the sender, for a receiver that does not know the members yet.
    pub from_address: String,
    /// Receiver: a keeper that runs under another number does not take them.
    pub to: ReplicaId,
    /// Messages, in order.
    pub messages: Vec<PeerMessage>,
}

/// Commands for the state machine, applied in order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunCall {
    /// The commands.
    pub commands: Vec<KeeperCommand>,
}

/// Answer to [`RunCall`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RunReply {
    /// Committed; one outcome for each command.
    Done(Vec<KeeperOutcome>),
    /// This keeper does not lead; address of the one that does, if known. Nothing was applied.
    NotLeader(Option<String>),
    /// The keeper lost its lead while the commands were under way: they may be applied or not.
    Unsure,
}

/// Answer to a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum BeatReply {
    /// A lease.
    Grant(Box<LeaseGrant>),
    /// This keeper does not lead; address of the one that does, if known.
    NotLeader(Option<String>),
    /// A newer life of this entry is known.
    Superseded,
}

/// Heartbeat of an entry.
pub type BeatCall = EntryHeartbeat;

/// Endpoint records that the sender heard lately.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExchangeCall {
    /// Sender.
    pub from: EntryId,
    /// Records with the milliseconds since they were heard.
    pub records: Vec<(EndpointRecord, u32)>,
    /// Whether the sender wants all records back, as after its start.
    pub wants_all: bool,
}

/// Answer to [`ExchangeCall`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ExchangeReply {
    /// Records with the milliseconds since they were heard.
    pub records: Vec<(EndpointRecord, u32)>,
}

/// Asks the owner for slots of cold endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CreditCall {
    /// Entry that asks.
    pub entry: EntryId,
    /// One item for each endpoint.
    pub items: Vec<CreditItem>,
}

/// One endpoint of a [`CreditCall`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CreditItem {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Life and cold epoch that the entry knows.
    pub life: (u64, u64),
    /// Requests that it serves at once when warm.
    pub full_slots: u32,
    /// What the entry reports.
    pub report: CreditReport,
}

/// Answer to [`CreditCall`]: grants in the order of the items; `None` where the receiver does
/// not own the endpoint or knows a newer life.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CreditReply {
    /// The grants.
    pub grants: Vec<Option<CreditGrant>>,
}

/// An entry waits for news of the routing state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchCall {
    /// Name of the entry.
    pub entry: Arc<str>,
    /// What it has.
    pub known: RoutingRevision,
    /// Hash of the lists of keepers and entries that it has; see [`WatchReply::Current`].
    pub peers_hash: u64,
    /// What it saw of versions under roll-out since it started, where that has changed.
    pub arms: Option<Vec<(ArmKey, ArmCount)>>,
    /// How long it has known of the roll-outs under way.
    pub rollouts: Vec<RolloutAge>,
    /// Sessions that it saw on the old version of a service on trial.
    pub bound_sessions: Vec<SessionHash>,
    /// Hash of those of all entries that it has; see [`marks_hash`].
    pub bound_hash: u64,
}

/// How long an entry has known of a roll-out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutAge {
    /// Service.
    pub service: Arc<str>,
    /// Version that it moves to.
    pub target: Arc<str>,
    /// The time, in milliseconds.
    pub age_ms: u64,
}

/// A hash that tells two lists of sessions apart.
pub fn marks_hash(marks: &[SessionHash]) -> u64 {
    let bytes: Vec<u8> = marks.iter().flat_map(|mark| mark.to_le_bytes()).collect();
    chestnutloft_core::hash::key_hash(&bytes)
}

/// Lists of processes, sent when they change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerLists {
    /// RPC addresses of the keepers.
    pub keepers: Vec<String>,
    /// Names of the entries that were heard lately, in order.
    pub entries: Vec<Arc<str>>,
}

impl PeerLists {
    /// A hash that tells two lists apart.
    pub fn hash(&self) -> u64 {
        let bytes = postcard::to_stdvec(self).unwrap_or_default();
        chestnutloft_core::hash::key_hash(&bytes)
    }
}

/// Answer to [`WatchCall`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum WatchReply {
    /// The state was current at some time between call and answer.
    Current {
        /// What the entry lacks.
        update: Box<RoutingUpdate>,
        /// Lists, where they differ from the entry's.
        peers: Option<PeerLists>,
        /// Sessions that all entries saw on the old version, where they differ from the entry's.
        bound_sessions: Option<Vec<SessionHash>>,
    },
    /// This keeper does not lead; RPC address of the one that does, if known.
    NotLeader(Option<String>),
}

/// An entry tells what waits for it at endpoints; the answer is the [`LoadSummary`] of the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareCall {
    /// Name of the entry.
    pub entry: Arc<str>,
    /// What it sees.
    pub share: LoadSummary,
}

/// A keeper asks to become a member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JoinCall {
    /// Its replica.
    pub replica: ReplicaId,
    /// Its RPC address.
    pub address: String,
}

/// Answer to [`JoinCall`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum JoinReply {
    /// The leader knows of the wish.
    Noted,
    /// This keeper does not lead; RPC addresses to ask next, the leader's first.
    Ask(Vec<String>),
}
