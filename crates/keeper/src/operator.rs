//! The operators' HTTP and JSON API.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use ractor::ActorRef;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use chestnutloft_core::consensus::{MemberChange, ProposalError, ReplicaId};
use chestnutloft_core::plan::{ChangeOutcome, SubmittedChange};
use chestnutloft_core::state::{KeeperCommand, KeeperOutcome};
use chestnutloft_wire::auth::{bearer_key, matches_any_hash};
use chestnutloft_wire::http::{
    AnyBody, ReadError, header, json_response, read_body, text_response,
};
use chestnutloft_wire::message::RunReply;

use crate::actor::ReplicaMessage;
use crate::metrics::KeeperMetrics;

/// Maximum size of a submitted change.
const MAX_CHANGE_BYTES: usize = 64 * 1024 * 1024;
/// How long a request waits for the replica, for example for a change to be committed.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// An error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorError {
    /// Stable, machine-readable code.
    pub code: String,
    /// Human-readable description.
    pub message: String,
}

/// A membership change as operators send it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum MemberRequest {
    /// Adds a replica.
    Add {
        /// Number of the replica.
        replica: u64,
        /// RPC address of the replica.
        address: String,
    },
    /// Removes a replica.
    Remove {
        /// Number of the replica.
        replica: u64,
    },
}

/// Serves the operators' API of one keeper.
#[derive(Clone)]
pub struct OperatorApi {
    /// The replica's actor.
    pub replica: ActorRef<ReplicaMessage>,
    /// Hashes of the operators' keys. If empty, no key is required.
    pub key_hashes: Arc<[String]>,
    /// Metrics of this keeper.
    pub metrics: KeeperMetrics,
}

fn error_response(status: u16, code: &str, message: impl Into<String>) -> Response<AnyBody> {
    let error = OperatorError {
        code: code.to_owned(),
        message: message.into(),
    };
    json_response(status, &error)
}

fn not_leader_response() -> Response<AnyBody> {
    error_response(421, "not_leader", "this keeper does not lead; ask another")
}

impl OperatorApi {
    /// Answers one request on the operators' address.
    pub async fn answer(self, request: Request<Incoming>) -> Response<AnyBody> {
        let path = request.uri().path().to_owned();
        if path == "/healthz" {
            return text_response(200, "ok\n");
        }
        if path == "/metrics" {
            return self.metrics_page().await;
        }
        let key = bearer_key(header(&request, "authorization"));
        let is_valid_key = key.is_some_and(|key| matches_any_hash(key, &self.key_hashes));
        if !self.key_hashes.is_empty() && !is_valid_key {
            return error_response(401, "bad_key", "the operator key does not fit");
        }
        match (request.method().clone(), path.as_str()) {
            (Method::GET, "/operator/v1/status") => self.status().await,
            (Method::GET, "/operator/v1/spend") => self.spend().await,
            (Method::GET, "/operator/v1/plan") => self.plan().await,
            (Method::POST, "/operator/v1/changes") => self.change(request).await,
            (Method::POST, "/operator/v1/members") => self.members(request).await,
            _ => error_response(404, "not_found", format!("{path} is not served")),
        }
    }

    /// Answers one request on the metrics address, which serves only metrics.
    pub async fn answer_metrics(self, request: Request<Incoming>) -> Response<AnyBody> {
        match request.uri().path() {
            "/metrics" => self.metrics_page().await,
            path => error_response(404, "not_found", format!("{path} is not served")),
        }
    }

    async fn ask<T>(&self, make: impl FnOnce(oneshot::Sender<T>) -> ReplicaMessage) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.replica.cast(make(reply)).ok()?;
        tokio::time::timeout(COMMIT_TIMEOUT, answer)
            .await
            .ok()?
            .ok()
    }

    async fn metrics_page(&self) -> Response<AnyBody> {
        match self.ask(ReplicaMessage::Status).await {
            Some(status) => text_response(200, self.metrics.text(&status)),
            None => not_leader_response(),
        }
    }

    async fn status(&self) -> Response<AnyBody> {
        match self.ask(ReplicaMessage::Status).await {
            Some(status) => json_response(200, &status),
            None => not_leader_response(),
        }
    }

    async fn spend(&self) -> Response<AnyBody> {
        match self.ask(ReplicaMessage::Spend).await.flatten() {
            Some(rows) => json_response(200, &rows),
            None => not_leader_response(),
        }
    }

    async fn plan(&self) -> Response<AnyBody> {
        match self.ask(ReplicaMessage::Plan).await.flatten() {
            Some(plan) => json_response(200, &plan.without_history()),
            None => not_leader_response(),
        }
    }

    async fn change(&self, request: Request<Incoming>) -> Response<AnyBody> {
        let submitted: SubmittedChange = match read_json(request).await {
            Ok(submitted) => submitted,
            Err(response) => return response,
        };
        let command = KeeperCommand::Submit(Box::new(submitted));
        let make = |reply| ReplicaMessage::Run(vec![command], reply);
        match self.ask(make).await {
            Some(RunReply::Done(outcomes)) => change_response(&outcomes),
            Some(RunReply::NotLeader(_)) => not_leader_response(),
            Some(RunReply::Unsure) | None => error_response(
                504,
                "unsure",
                "the change may or may not be accepted; send the same again",
            ),
        }
    }

    async fn members(&self, request: Request<Incoming>) -> Response<AnyBody> {
        let change = match read_json(request).await {
            Ok(MemberRequest::Add { replica, address }) => {
                MemberChange::Add(ReplicaId(replica), address)
            }
            Ok(MemberRequest::Remove { replica }) => MemberChange::Remove(ReplicaId(replica)),
            Err(response) => return response,
        };
        match self
            .ask(|reply| ReplicaMessage::Members(change, reply))
            .await
        {
            Some(Ok(())) => json_response(202, &"proposed"),
            Some(Err(ProposalError::NotLeader(_))) | None => not_leader_response(),
            Some(Err(error)) => error_response(409, "refused", error.to_string()),
        }
    }
}

fn change_response(outcomes: &[KeeperOutcome]) -> Response<AnyBody> {
    match outcomes {
        [KeeperOutcome::Change(outcome)] => {
            let status = match outcome {
                ChangeOutcome::Accepted(_) => 200,
                ChangeOutcome::Conflict { .. } => 409,
                ChangeOutcome::Invalid(_) => 422,
            };
            json_response(status, outcome)
        }
        _ => error_response(500, "internal", "the answer does not fit the change"),
    }
}

async fn read_json<T: serde::de::DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, Response<AnyBody>> {
    let body = read_body(request.into_body(), MAX_CHANGE_BYTES)
        .await
        .map_err(|error| match error {
            ReadError::TooLarge => error_response(413, "too_large", "at most 64 MiB are taken"),
            ReadError::Cut(reason) => {
                error_response(400, "cut", format!("the body was cut: {reason}"))
            }
        })?;
    serde_json::from_slice(&body)
        .map_err(|error| error_response(400, "malformed", error.to_string()))
}
