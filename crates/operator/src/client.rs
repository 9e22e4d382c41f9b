//! Client for the operator API of the keepers.

use std::time::Duration;

use serde::de::DeserializeOwned;

use chestnutloft_core::plan::{ChangeOutcome, PlanState, SubmittedChange};
use chestnutloft_keeper::operator::MemberRequest;
use chestnutloft_keeper::status::{ClusterStatus, SpendRow};
use chestnutloft_wire::http::{HttpClient, JsonCallError, call_json, client};

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(6);
/// Rounds over all keepers before a call fails: enough for a leader election to finish.
const MAX_ROUNDS: u32 = 8;
/// Delay between rounds.
const ROUND_DELAY: Duration = Duration::from_millis(400);
/// HTTP status with which a keeper answers if it is not the leader.
const NOT_LEADER_STATUS: u16 = 421;

/// Client for the operator API.
pub struct OperatorClient {
    keepers: Vec<String>,
    key: Option<String>,
    http: HttpClient,
}

impl OperatorClient {
    /// Creates a client for the operator addresses `keepers`, each `IP:port`.
    pub fn new(keepers: Vec<String>, key: Option<String>) -> Self {
        Self {
            keepers,
            key,
            http: client(),
        }
    }

    /// Calls the keepers in turn until the leader answers. Retries are safe: the keepers answer a
    /// repeated change with the outcome of the first.
    async fn call_leader<Q: serde::Serialize + Sync, A: DeserializeOwned>(
        &self,
        method: &str,
        path: &str,
        call: Option<&Q>,
    ) -> Result<A, JsonCallError> {
        let mut last_error = JsonCallError::Unreachable("no keeper address is given".to_owned());
        for round in 0..MAX_ROUNDS {
            if round > 0 {
                tokio::time::sleep(ROUND_DELAY).await;
            }
            for keeper in &self.keepers {
                let uri = format!("http://{keeper}{path}");
                let key = self.key.as_deref();
                let reply = call_json(&self.http, method, &uri, key, call, CALL_TIMEOUT).await;
                match reply {
                    // 504: the keeper does not know whether the change was committed.
                    Err(JsonCallError::Status(status, body))
                        if status == NOT_LEADER_STATUS || status == 504 =>
                    {
                        last_error = JsonCallError::Status(status, body);
                    }
                    Err(JsonCallError::Unreachable(reason)) => {
                        last_error = JsonCallError::Unreachable(reason);
                    }
                    reply => return reply,
                }
            }
        }
        Err(last_error)
    }

    /// Fetches the cluster status from the leader, or from any other keeper if none leads.
    ///
    /// # Errors
    /// [`JsonCallError`] when no keeper answers.
    pub async fn status(&self) -> Result<ClusterStatus, JsonCallError> {
        let mut follower_status: Option<ClusterStatus> = None;
        let mut last_error = JsonCallError::Unreachable("no keeper address is given".to_owned());
        for keeper in &self.keepers {
            let uri = format!("http://{keeper}/operator/v1/status");
            let key = self.key.as_deref();
            let reply: Result<ClusterStatus, _> =
                call_json(&self.http, "GET", &uri, key, None::<&()>, CALL_TIMEOUT).await;
            match reply {
                Ok(status) if status.is_serving => return Ok(status),
                Ok(status) => follower_status = Some(status),
                Err(error) => last_error = error,
            }
        }
        follower_status.ok_or(last_error)
    }

    /// Fetches the latest accepted plan.
    ///
    /// # Errors
    /// [`JsonCallError`] when no keeper leads.
    pub async fn plan(&self) -> Result<PlanState, JsonCallError> {
        self.call_leader("GET", "/operator/v1/plan", None::<&()>)
            .await
    }

    /// Fetches the totals of all bills.
    ///
    /// # Errors
    /// [`JsonCallError`] when no keeper leads.
    pub async fn spend(&self) -> Result<Vec<SpendRow>, JsonCallError> {
        self.call_leader("GET", "/operator/v1/spend", None::<&()>)
            .await
    }

    /// Submits a plan change.
    ///
    /// # Errors
    /// [`JsonCallError`] when no keeper leads.
    pub async fn submit(&self, change: &SubmittedChange) -> Result<ChangeOutcome, JsonCallError> {
        let reply = self
            .call_leader("POST", "/operator/v1/changes", Some(change))
            .await;
        match reply {
            // The body of a conflict (409) or an invalid change (422) is the outcome.
            Err(JsonCallError::Status(409 | 422, body)) => serde_json::from_str(&body)
                .map_err(|error| JsonCallError::Malformed(error.to_string())),
            other => other,
        }
    }

    /// Adds or removes a keeper.
    ///
    /// # Errors
    /// [`JsonCallError`] when no keeper leads or the change is refused.
    pub async fn members(&self, request: &MemberRequest) -> Result<String, JsonCallError> {
        self.call_leader("POST", "/operator/v1/members", Some(request))
            .await
    }
}
