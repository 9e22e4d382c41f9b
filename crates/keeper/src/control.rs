//! Control API: calls of operators and endpoints and their answers, without their wire format.

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

/// Maximum size of a call's body. A declaration of about ten thousand routes fits.
const MAX_CALL_BYTES: usize = 16 * 1024 * 1024;

/// A call of an operator or endpoint.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlCall {
    /// Announces an endpoint.
    Announce(EndpointNotice),
    /// Removes an endpoint.
    Leave {
        /// Name of the endpoint.
        id: Arc<str>,
        /// Start time of the process to remove, if given. A newer one is kept.
        born_ms: Option<u64>,
    },
    /// Puts a new declaration in force.
    Declare(StoredDeclaration),
    /// Reads the declaration in force.
    ReadDeclaration,
    /// Starts a roll-out.
    StartRollout(RolloutOrder),
    /// Reads the progress of the roll-out of a service.
    ReadRollout(Arc<str>),
    /// Takes a failure domain out of use, or puts it back.
    Evacuate {
        /// Name of the failure domain.
        domain: Arc<str>,
        /// Whether to take it out of use.
        is_out: bool,
    },
}

/// Answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlAnswer {
    /// Committed to the replicated log.
    Done,
    /// The announcement is accepted; the endpoint should send the next ones to this keeper.
    Announced(SocketAddr),
    /// Text of the declaration in force, as the operator sent it.
    Declaration(Arc<[u8]>),
    /// Progress of a roll-out.
    Rollout(Box<RolloutState>),
    /// The declaration was rejected for these findings.
    Invalid(Vec<DeclarationFinding>),
    /// The call cannot be decoded.
    Malformed(String),
    /// The path or the requested object does not exist.
    NotFound,
    /// Another keeper leads; holds its address for operators and endpoints.
    Redirect(SocketAddr),
    /// This keeper cannot answer at present; the call may have taken effect.
    Unavailable(&'static str),
}

/// Wire format of calls and answers.
#[derive(Clone, Copy, Debug)]
pub struct ControlCodec {
    /// Decodes a call. On failure, returns the answer to send.
    pub read: fn(&Parts, &Bytes) -> Result<ControlCall, ControlAnswer>,
    /// Encodes the answer to the call with this request head.
    pub write: fn(&Parts, &ControlAnswer) -> Response<AnyBody>,
}

/// Serves control calls on one keeper.
#[derive(Clone)]
pub struct ControlService {
    /// The replica's actor.
    pub replica: ActorRef<ReplicaMessage>,
    /// Address of this keeper for operators and endpoints.
    pub address: SocketAddr,
    /// Wire format.
    pub codec: ControlCodec,
}

impl ControlService {
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
                let answer = self.ask(|reply| ReplicaMessage::StartRollout(order, reply));
                self.committed(answer.await)
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
                let find_rollout = |view: RoutingView| {
                    view.rollouts
                        .into_iter()
                        .find(|rollout| rollout.order.service == service)
                };
                self.read(|view| {
                    find_rollout(view).map(|rollout| ControlAnswer::Rollout(Box::new(rollout)))
                })
                .await
            }
        }
    }

    async fn commit(&self, command: RoutingCommand) -> ControlAnswer {
        let commands = vec![KeeperCommand::Routing(Box::new(command))];
        self.committed(self.ask(|reply| ReplicaMessage::Run(commands, reply)).await)
    }

    fn committed(&self, reply: Option<RunReply>) -> ControlAnswer {
        match reply {
            Some(reply) => self.outcome(reply, ControlAnswer::Done),
            None => ControlAnswer::Unavailable("the replica has stopped"),
        }
    }

    async fn read(
        &self,
        select: impl FnOnce(RoutingView) -> Option<ControlAnswer>,
    ) -> ControlAnswer {
        match self.ask(ReplicaMessage::Routing).await {
            Some(RoutingReply::Current(view)) => select(view).unwrap_or(ControlAnswer::NotFound),
            Some(RoutingReply::NotLeader(leader)) => self.redirect(leader.as_deref()),
            None => ControlAnswer::Unavailable("the replica has stopped"),
        }
    }

    fn outcome(&self, reply: RunReply, done: ControlAnswer) -> ControlAnswer {
        match reply {
            RunReply::Done(_) => done,
            RunReply::NotLeader(leader) => self.redirect(leader.as_deref()),
            RunReply::Unsure => ControlAnswer::Unavailable("the lead was lost meanwhile"),
        }
    }

    /// Redirects to the leader. All keepers serve operators on the same port.
    fn redirect(&self, leader: Option<&str>) -> ControlAnswer {
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

/// The part of the routing state that operators can read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingView {
    /// Text of the declaration in force.
    pub declaration: Option<Arc<[u8]>>,
    /// State of each service's latest roll-out.
    pub rollouts: Vec<RolloutState>,
}

/// Answer to a read.
#[derive(Clone, Debug, PartialEq)]
pub enum RoutingReply {
    /// Current state.
    Current(RoutingView),
    /// This keeper does not lead; RPC address of the one that does, if known.
    NotLeader(Option<String>),
}

fn log_answer(parts: &Parts, answer: &ControlAnswer) {
    let call = format_args!("{} {}", parts.method, parts.uri.path());
    match answer {
        ControlAnswer::Invalid(findings) => {
            let findings: Vec<String> = findings.iter().map(ToString::to_string).collect();
            spdlog::warn!(
                "control: {call} was rejected as invalid: {}.",
                findings.join("; ")
            );
        }
        ControlAnswer::Malformed(reason) => {
            spdlog::warn!("control: {call} cannot be decoded: {reason}.");
        }
        ControlAnswer::Unavailable(reason) => {
            spdlog::warn!("control: {call} could not be answered: {reason}.");
        }
        ControlAnswer::Announced(_) | ControlAnswer::Redirect(_) => {
            spdlog::debug!("control: {call}: {answer:?}.");
        }
        _ => spdlog::info!("control: {call} was answered."),
    }
}
