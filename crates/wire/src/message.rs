//! Messages between chestnutloft's processes, encoded with postcard. The order of fields and
//! variants is part of the encoding.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use chestnutloft_core::consensus::{PeerMessage, ReplicaId};
use chestnutloft_core::ids::{EndpointId, EntryId};
use chestnutloft_core::routing::{
    ArmCount, ArmKey, EndpointEnd, LoadSummary, RoutingRevision, RoutingUpdate, SegmentProgress,
    SegmentSuspicions, SessionHash,
};
use chestnutloft_core::state::{
    CreditGrant, CreditReport, EndpointRecord, EntryHeartbeat, KeeperCommand, KeeperOutcome,
    LeaseGrant,
};

/// Messages of the consensus protocol from one keeper to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicateCall {
    /// Sender.
    pub from: ReplicaId,
    /// RPC address of the sender, for a receiver that does not know the cluster members yet.
    pub from_address: String,
    /// Intended receiver. A keeper with another replica id ignores the messages.
    pub to: ReplicaId,
    /// Messages, in order.
    pub messages: Vec<PeerMessage>,
}

/// Commands for the state machine, applied in order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunCall {
    /// Commands in the order of application.
    pub commands: Vec<KeeperCommand>,
}

/// Answer to [`RunCall`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RunReply {
    /// The commands were committed; one outcome per command.
    Done(Vec<KeeperOutcome>),
    /// This keeper is not the leader, and nothing was applied; RPC address of the leader, if known.
    NotLeader(Option<String>),
    /// The keeper lost leadership before the commands were committed; they may still be applied.
    Unsure,
}

/// Answer to a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum HeartbeatReply {
    /// The lease is granted or renewed.
    Grant(Box<LeaseGrant>),
    /// This keeper is not the leader; RPC address of the leader, if known.
    NotLeader(Option<String>),
    /// A process with a newer incarnation runs under the name of this entry.
    Superseded,
}

/// Heartbeat of an entry.
pub type HeartbeatCall = EntryHeartbeat;

/// Endpoint records that changed at the sender since its last exchange.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExchangeCall {
    /// Sender.
    pub from: EntryId,
    /// Records with the milliseconds since the last announcement.
    pub records: Vec<(EndpointRecord, u32)>,
    /// Whether the sender requests all records, as it does after its start.
    pub wants_all: bool,
}

/// Answer to [`ExchangeCall`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ExchangeReply {
    /// Records with the milliseconds since the last announcement; empty if not requested.
    pub records: Vec<(EndpointRecord, u32)>,
}

/// Requests slots of cold endpoints from their owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CreditCall {
    /// Entry that requests the slots.
    pub entry: EntryId,
    /// One item per endpoint.
    pub items: Vec<CreditItem>,
}

/// One endpoint of a [`CreditCall`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CreditItem {
    /// Endpoint whose slots are requested.
    pub endpoint: EndpointId,
    /// Incarnation and cold epoch of the endpoint, as known to the entry.
    pub life: (u64, u64),
    /// Concurrent requests that the endpoint serves when warm.
    pub full_slots: u32,
    /// Slots in use and wanted by the entry.
    pub report: CreditReport,
}

/// Answer to [`CreditCall`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CreditReply {
    /// Grants in the order of the items; `None` where the receiver does not own the endpoint, knows
    /// a newer incarnation or cold epoch, or holds no lease.
    pub grants: Vec<Option<CreditGrant>>,
}

/// Long poll of an entry for changes of the routing state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchCall {
    /// Name of the entry.
    pub entry: Arc<str>,
    /// Revision of the routing state that the entry has.
    pub known: RoutingRevision,
    /// Hash of the keeper and entry lists that the entry has; see [`WatchReply::Current`].
    pub peers_hash: u64,
    /// Outcomes of versions under roll-out that the entry counted since its start, if they changed.
    pub arms: Option<Vec<(ArmKey, ArmCount)>>,
    /// How long the entry has known each active roll-out.
    pub rollouts: Vec<RolloutAge>,
    /// Sessions that the entry saw on the old version of a service whose roll-out is in its trial
    /// stage.
    pub bound_sessions: Vec<SessionHash>,
    /// Hash of the sessions of all entries that the entry has; see [`sessions_hash`].
    pub bound_hash: u64,
    /// Endpoints that ended since the last poll.
    pub ends: Vec<EndpointEnd>,
    /// Latest progress with suspected and blocked prompt segments.
    pub progress: Vec<SegmentProgress>,
    /// Hash of the suspected prompt segments that the entry has; see [`suspicions_hash`].
    pub suspicions_hash: u64,
}

/// Hash by which two values are compared. The age of an end does not count.
pub fn suspicions_hash(suspicions: &SegmentSuspicions) -> u64 {
    let ended = suspicions.ended.iter().map(|ended| &ended.endpoint);
    let content = (&suspicions.segments, ended.collect::<Vec<_>>());
    let bytes = postcard::to_stdvec(&content).unwrap_or_default();
    chestnutloft_core::hash::key_hash(&bytes)
}

/// How long an entry has known of a roll-out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutAge {
    /// Service.
    pub service: Arc<str>,
    /// Target version of the roll-out.
    pub target: Arc<str>,
    /// Time since the entry learned of the roll-out, in milliseconds.
    pub age_ms: u64,
}

/// Hash by which two lists of sessions are compared.
pub fn sessions_hash(sessions: &[SessionHash]) -> u64 {
    let bytes: Vec<u8> = sessions
        .iter()
        .flat_map(|session| session.to_le_bytes())
        .collect();
    chestnutloft_core::hash::key_hash(&bytes)
}

/// Lists of the keepers and entries in the cluster.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerLists {
    /// RPC addresses of the keepers.
    pub keepers: Vec<String>,
    /// Names of the entries that watched recently, sorted.
    pub entries: Vec<Arc<str>>,
}

impl PeerLists {
    /// Hash by which two values are compared.
    pub fn hash(&self) -> u64 {
        let bytes = postcard::to_stdvec(self).unwrap_or_default();
        chestnutloft_core::hash::key_hash(&bytes)
    }
}

/// Answer to [`WatchCall`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum WatchReply {
    /// The routing state, as it was at some time between call and answer.
    Current {
        /// Changes since the revision that the entry has.
        update: Box<RoutingUpdate>,
        /// Keeper and entry lists, if they differ from those of the entry.
        peers: Option<PeerLists>,
        /// Sessions that any entry saw on the old version, if they differ from those of the entry.
        bound_sessions: Option<Vec<SessionHash>>,
        /// Suspected prompt segments, if they differ from those of the entry.
        suspicions: Option<SegmentSuspicions>,
    },
    /// This keeper is not the leader; RPC address of the leader, if known.
    NotLeader(Option<String>),
}

/// Reports the load that an entry puts on endpoints; the answer is the [`LoadSummary`] of the other
/// entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareCall {
    /// Name of the entry.
    pub entry: Arc<str>,
    /// Load of the entry.
    pub share: LoadSummary,
}

/// Request of a keeper to become a member of the cluster.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JoinCall {
    /// Replica id of the keeper.
    pub replica: ReplicaId,
    /// RPC address of the keeper.
    pub address: String,
}

/// Answer to [`JoinCall`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum JoinReply {
    /// The leader has recorded the request.
    Noted,
    /// This keeper is not the leader; RPC addresses to try next, the leader's first.
    Ask(Vec<String>),
}
