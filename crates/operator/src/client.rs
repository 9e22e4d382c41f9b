//! Calls to the keepers' operator interface.

use std::time::Duration;

use serde::de::DeserializeOwned;

use chestnutloft_core::plan::{ChangeOutcome, PlanState, SubmittedChange};
use chestnutloft_keeper::operator::MemberRequest;
use chestnutloft_keeper::status::{ClusterStatus, SpendRow};
use chestnutloft_wire::http::{HttpClient, JsonCallError, call_json, client};

/// Time for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(6);
/// Rounds over all keepers before giving up: an election fits in between.
const ROUNDS: u32 = 8;
/// Wait between two rounds.
const ROUND_WAIT: Duration = Duration::from_millis(400);
/// Status of a keeper that does not lead.
const NOT_LEADER: u16 = 421;

/// A client of the operator interface.
pub struct OperatorClient {
    keepers: Vec<String>,
    key: Option<String>,
    http: HttpClient,
}

impl OperatorClient {
    /// A client for the keepers at `keepers`, each `IP:port`.
    pub fn new(keepers: Vec<String>, key: Option<String>) -> Self {
        Self {
            keepers,
            key,
            http: client(),
        }
    }

    /// Asks the keepers in turn until the leader answers. A repeat of the same content gets the
    /// first answer again, so asking twice does no harm.
    async fn ask<Q: serde::Serialize + Sync, A: DeserializeOwned>(
        &self,
        method: &str,
        path: &str,
        call: Option<&Q>,
    ) -> Result<A, JsonCallError> {
        let mut last = JsonCallError::Unreachable("no keeper is named".to_owned());
        for round in 0..ROUNDS {
            if round > 0 {
                tokio::time::sleep(ROUND_WAIT).await;
            }
            for keeper in &self.keepers {
                let uri = format!("http://{keeper}{path}");
                let key = self.key.as_deref();
                let reply = call_json(&self.http, method, &uri, key, call, CALL_TIMEOUT).await;
                match reply {
                    Err(JsonCallError::Status(status, body))
                        if status == NOT_LEADER || status == 504 =>
                    {
                        last = JsonCallError::Status(status, body);
                    }
                    Err(JsonCallError::Unreachable(why)) => {
                        last = JsonCallError::Unreachable(why);
                    }
                    answer => return answer,
                }
            }
        }
        Err(last)
    }

    /// The status of the whole, from the leader; from any keeper where none leads.
    ///
    /// # Errors
    /// [`JsonCallError`] when no keeper answers.
    pub async fn status(&self) -> Result<ClusterStatus, JsonCallError> {
        let mut found: Option<ClusterStatus> = None;
        let mut last = JsonCallError::Unreachable("no keeper is named".to_owned());
        for keeper in &self.keepers {
            let uri = format!("http://{keeper}/operator/v1/status");
            let key = self.key.as_deref();
            let reply: Result<ClusterStatus, _> =
                call_json(&self.http, "GET", &uri, key, None::<&()>, CALL_TIMEOUT).await;
            match reply {
                Ok(status) if status.is_serving => return Ok(status),
                Ok(status) => found = Some(status),
                Err(error) => last = error,
            }
        }
        found.ok_or(last)
    }

    /// The plan in force.
    ///
    /// # Errors
    /// [`JsonCallError`] when no keeper leads.
    pub async fn plan(&self) -> Result<PlanState, JsonCallError> {
        self.ask("GET", "/operator/v1/plan", None::<&()>).await
    }

    /// Sums of all bills.
    ///
    /// # Errors
    /// [`JsonCallError`] when no keeper leads.
    pub async fn spend(&self) -> Result<Vec<SpendRow>, JsonCallError> {
        self.ask("GET", "/operator/v1/spend", None::<&()>).await
    }

    /// Submits a change.
    ///
    /// # Errors
    /// [`JsonCallError`] when no keeper leads.
    pub async fn submit(&self, change: &SubmittedChange) -> Result<ChangeOutcome, JsonCallError> {
        let answer = self.ask("POST", "/operator/v1/changes", Some(change)).await;
        match answer {
            Err(JsonCallError::Status(409 | 422, body)) => serde_json::from_str(&body)
                .map_err(|error| JsonCallError::Malformed(error.to_string())),
            other => other,
        }
    }

    /// Changes the keepers' members.
    ///
    /// # Errors
    /// [`JsonCallError`] when no keeper leads or the change is refused.
    pub async fn members(&self, request: &MemberRequest) -> Result<String, JsonCallError> {
        self.ask("POST", "/operator/v1/members", Some(request))
            .await
    }
}
