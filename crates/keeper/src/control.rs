//! Calls of operators and endpoints, and their answers, apart from how they are written on the
//! wire.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Request, Response};
use ractor::ActorRef;
use tokio::sync::oneshot;

use chestnutloft_core::routing::{
    DeclarationFinding, EndpointNotice, RolloutOrder, RolloutState, RoutingCommand,
    StoredDeclaration,
};
use chestnutloft_core::state::KeeperCommand;
use chestnutloft_wire::http::{AnyBody, read_body};
use chestnutloft_wire::message::RunReply;

use crate::actor::ReplicaMessage;

/// Largest body of a call, in bytes: a declaration of some ten thousand routes.
const MAX_CALL_BYTES: usize = 16 * 1024 * 1024;

/// A call of an operator or endpoint.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlCall {
    /// An endpoint announces itself.
    Announce(EndpointNotice),
    /// An endpoint leaves.
    Leave {
        /// Its name.
        id: Arc<str>,
        /// Life that leaves, where it says so.
        born_ms: Option<u64>,
    },
    /// An operator declares.
    Declare(StoredDeclaration),
    /// An operator reads the declaration in force.
    ReadDeclaration,
    /// An operator starts a roll-out.
    StartRollout(RolloutOrder),
    /// An operator asks how far the roll-out of a service is.
    ReadRollout(Arc<str>),
    /// An operator takes a failure domain out of use, or back.
    Evacuate {
        /// The failure domain.
        domain: Arc<str>,
        /// Whether it is out.
        is_out: bool,
    },
}

/// Answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlAnswer {
    /// Done, and kept whatever fails.
    Done,
    /// An endpoint's notice is taken; this keeper takes its next ones soonest.
    Announced(SocketAddr),
    /// The declaration in force, as the operator sent it.
    Declaration(Arc<[u8]>),
    /// A roll-out.
    Rollout(Box<RolloutState>),
    /// The declaration cannot be put in force.
    Invalid(Vec<DeclarationFinding>),
    /// The call does not decode.
    Malformed(String),
    /// There is no such thing.
    NotFound,
    /// Another keeper leads.
    Redirect(SocketAddr),
    /// This keeper cannot say at present; the call may have been taken.
    Unavailable(&'static str),
}

/// How calls and answers are written on the wire.
#[derive(Clone, Copy, Debug)]
pub struct ControlCodec {
    /// Reads a call; on failure, the answer that says why.
    pub read: fn(&Parts, &Bytes) -> Result<ControlCall, ControlAnswer>,
    /// Writes the answer to a call with this head.
    pub write: fn(&Parts, &ControlAnswer) -> Response<AnyBody>,
}

/// Answers calls on one keeper.
#[derive(Clone)]
pub struct ControlDesk {
    /// The replica's actor.
    pub replica: ActorRef<ReplicaMessage>,
    /// Address of this keeper for operators and endpoints.
    pub address: SocketAddr,
    /// How calls are written.
    pub codec: ControlCodec,
}

impl ControlDesk {
    /// Answers one HTTP request.
    pub async fn answer(self, request: Request<Incoming>) -> Response<AnyBody> {
        let (parts, body) = request.into_parts();
        let answer = match read_body(body, MAX_CALL_BYTES).await {
            Err(error) => ControlAnswer::Malformed(format!("{error:?}")),
            Ok(body) => match (self.codec.read)(&parts, &body) {
                Err(answer) => answer,
                Ok(call) => self.run(call).await,
            },
        };
        log_answer(&parts, &answer);
        (self.codec.write)(&parts, &answer)
    }

    async fn run(&self, call: ControlCall) -> ControlAnswer {
        match call {
            ControlCall::Announce(notice) => {
                let answer = self.ask(|reply| ReplicaMessage::Announce(notice, reply));
                match answer.await {
                    Some(reply) => self.outcome(reply, ControlAnswer::Announced(self.address)),
                    None => ControlAnswer::Unavailable("the replica has stopped"),
                }
            }
            ControlCall::Leave { id, born_ms } => {
                self.commit(RoutingCommand::Leave { id, born_ms }).await
            }
            ControlCall::Declare(stored) => {
                let findings = stored.declaration.check();
                if !findings.is_empty() {
                    return ControlAnswer::Invalid(findings);
                }
                self.commit(RoutingCommand::Declare(stored)).await
            }
            ControlCall::StartRollout(order) => {
                self.commit(RoutingCommand::StartRollout(order)).await
            }
            ControlCall::Evacuate { domain, is_out } => {
                self.commit(RoutingCommand::Evacuate { domain, is_out })
                    .await
            }
            ControlCall::ReadDeclaration => {
                self.read(|view| view.declaration.map(ControlAnswer::Declaration))
                    .await
            }
            ControlCall::ReadRollout(service) => {
                let state = |view: RoutingView| {
                    view.rollouts
                        .into_iter()
                        .find(|held| held.order.service == service)
                };
                self.read(|view| state(view).map(|held| ControlAnswer::Rollout(Box::new(held))))
                    .await
            }
        }
    }

    async fn commit(&self, command: RoutingCommand) -> ControlAnswer {
        let commands = vec![KeeperCommand::Routing(Box::new(command))];
        match self.ask(|reply| ReplicaMessage::Run(commands, reply)).await {
            Some(reply) => self.outcome(reply, ControlAnswer::Done),
            None => ControlAnswer::Unavailable("the replica has stopped"),
        }
    }

    async fn read(&self, pick: impl FnOnce(RoutingView) -> Option<ControlAnswer>) -> ControlAnswer {
        match self.ask(ReplicaMessage::Routing).await {
            Some(RoutingReply::Current(view)) => pick(view).unwrap_or(ControlAnswer::NotFound),
            Some(RoutingReply::NotLeader(leader)) => self.elsewhere(leader.as_deref()),
            None => ControlAnswer::Unavailable("the replica has stopped"),
        }
    }

    fn outcome(&self, reply: RunReply, done: ControlAnswer) -> ControlAnswer {
        match reply {
            RunReply::Done(_) => done,
            RunReply::NotLeader(leader) => self.elsewhere(leader.as_deref()),
            RunReply::Unsure => ControlAnswer::Unavailable("the lead was lost meanwhile"),
        }
    }

    /// All keepers serve operators on the same port.
    fn elsewhere(&self, leader: Option<&str>) -> ControlAnswer {
        let leader = leader.and_then(|address| address.parse::<SocketAddr>().ok());
        match leader {
            Some(leader) => {
                ControlAnswer::Redirect(SocketAddr::new(leader.ip(), self.address.port()))
            }
            None => ControlAnswer::Unavailable("no leader is known"),
        }
    }

    async fn ask<T>(&self, make: impl FnOnce(oneshot::Sender<T>) -> ReplicaMessage) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.replica.cast(make(reply)).ok()?;
        answer.await.ok()
    }
}

/// What operators can read of the routing state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingView {
    /// Text of the declaration in force.
    pub declaration: Option<Arc<[u8]>>,
    /// Roll-outs.
    pub rollouts: Vec<RolloutState>,
}

/// Answer to a read.
#[derive(Clone, Debug, PartialEq)]
pub enum RoutingReply {
    /// The state as of now.
    Current(RoutingView),
    /// This keeper does not lead; RPC address of the one that does, if known.
    NotLeader(Option<String>),
}

fn log_answer(parts: &Parts, answer: &ControlAnswer) {
    let call = format_args!("{} {}", parts.method, parts.uri.path());
    match answer {
        ControlAnswer::Invalid(findings) => {
            let findings: Vec<String> = findings.iter().map(ToString::to_string).collect();
            spdlog::warn!("control: {call} is invalid: {}.", findings.join("; "));
        }
        ControlAnswer::Malformed(reason) => {
            spdlog::warn!("control: {call} does not decode: {reason}.");
        }
        ControlAnswer::Unavailable(reason) => {
            spdlog::warn!("control: {call} got no answer: {reason}.");
        }
        ControlAnswer::Announced(_) | ControlAnswer::Redirect(_) => {
            spdlog::debug!("control: {call}: {answer:?}.");
        }
        _ => spdlog::info!("control: {call} is answered."),
    }
}
