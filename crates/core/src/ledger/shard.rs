//! State of the ledger, distributed over shards.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::binding::{BindOutcome, BindingRecord, SessionKey};
use super::claim::{
    AttemptId, ClaimOutcome, ClaimRecord, ClaimRequest, ClaimState, RequestKey, SettleOutcome,
    StoredAnswer,
};
use super::settings::LedgerSettings;
use super::spend::{BillOutcome, BillRecord, SpendKey, SpendTotals};
use crate::ids::{EntryId, VersionId};
use crate::plan::PlanView;
use crate::time::TimePoint;

/// Maximum number of records of each type that one command expires, which bounds the duration of a
/// command.
const EXPIRIES_PER_COMMAND: usize = 8;

/// The whole ledger.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LedgerState {
    settings: LedgerSettings,
    shards: Vec<LedgerShard>,
    spend: BTreeMap<SpendKey, SpendTotals>,
}

/// Number of records in the ledger.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerSize {
    /// Claims, including those whose answer has expired.
    pub claims: usize,
    /// Session bindings.
    pub bindings: usize,
    /// Bills kept to detect duplicates.
    pub bills: usize,
}

/// One shard of the ledger.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LedgerShard {
    claims: HashMap<RequestKey, ClaimRecord>,
    running: HashSet<RequestKey>,
    bindings: HashMap<SessionKey, BindingRecord>,
    bills: HashSet<RequestKey>,
    due_answers: DueQueue<RequestKey>,
    due_claims: DueQueue<RequestKey>,
    due_bindings: DueQueue<SessionKey>,
    due_bills: DueQueue<RequestKey>,
}

/// Keys of records that may expire, in the order in which they were queued, each with the time from
/// which its retention period counts. A key whose record has been used since is queued again.
type DueQueue<K> = VecDeque<(TimePoint, K)>;

fn pop_due<K: Copy>(
    queue: &mut DueQueue<K>,
    retention: Duration,
    stamp: TimePoint,
) -> Option<(TimePoint, K)> {
    let (since, _) = queue.front()?;
    if stamp.since(*since) < retention {
        return None;
    }
    queue.pop_front()
}

impl Default for LedgerState {
    fn default() -> Self {
        Self::new(LedgerSettings::default())
    }
}

impl LedgerState {
    /// Creates an empty ledger.
    pub fn new(settings: LedgerSettings) -> Self {
        let shards = vec![LedgerShard::default(); settings.shards.max(1)];
        Self {
            settings,
            shards,
            spend: BTreeMap::new(),
        }
    }

    /// The current settings.
    pub fn settings(&self) -> &LedgerSettings {
        &self.settings
    }

    /// Changes the settings except for the number of shards: with another number, keys would map to
    /// other shards and no longer find their records.
    pub fn configure(&mut self, settings: &LedgerSettings) {
        let shards = self.settings.shards;
        self.settings = LedgerSettings {
            shards,
            ..settings.clone()
        };
    }

    fn shard(&mut self, key: u128) -> (&mut LedgerShard, &LedgerSettings) {
        let count = self.shards.len() as u128;
        let position = usize::try_from(key % count).unwrap_or_default();
        (&mut self.shards[position], &self.settings)
    }

    /// Claims the right to run a request.
    pub fn claim(&mut self, request: &ClaimRequest, stamp: TimePoint) -> ClaimOutcome {
        let (shard, settings) = self.shard(request.key.0);
        shard.expire(settings, stamp);
        shard.claim(settings, request, stamp)
    }

    /// Releases the claim of a request that never reached an endpoint. Returns whether there was
    /// such a claim.
    pub fn release(&mut self, key: RequestKey, attempt: &AttemptId) -> bool {
        self.shard(key.0).0.release(key, attempt)
    }

    /// Settles a claim with the answer of its request.
    pub fn settle(
        &mut self,
        key: RequestKey,
        attempt: &AttemptId,
        answer: &StoredAnswer,
        stamp: TimePoint,
    ) -> SettleOutcome {
        let (shard, settings) = self.shard(key.0);
        shard.settle(settings, key, attempt, answer, stamp)
    }

    /// Marks the outcome of a running claim as unknown because the answer is lost. Returns whether
    /// there was such a claim.
    pub fn mark_unknown(&mut self, key: RequestKey, attempt: &AttemptId, stamp: TimePoint) -> bool {
        self.shard(key.0).0.mark_unknown(key, attempt, stamp)
    }

    /// Marks the outcome of the running claims of `entry` as unknown for all incarnations before
    /// `incarnation`. Returns their number.
    pub fn mark_entry_claims_unknown(
        &mut self,
        entry: &EntryId,
        incarnation: u64,
        stamp: TimePoint,
    ) -> usize {
        self.shards
            .iter_mut()
            .map(|shard| shard.mark_entry_claims_unknown(entry, incarnation, stamp))
            .sum()
    }

    /// Binds a session to version `requested`, unless it is already bound.
    pub fn bind(
        &mut self,
        session: SessionKey,
        requested: &VersionId,
        plan: &PlanView<'_>,
        stamp: TimePoint,
    ) -> BindOutcome {
        let (shard, settings) = self.shard(session.0);
        shard.expire(settings, stamp);
        shard.bind(session, requested, plan, stamp)
    }

    /// Books a bill, unless the request's bill was already booked.
    pub fn bill(&mut self, bill: &BillRecord, stamp: TimePoint) -> BillOutcome {
        let (shard, settings) = self.shard(bill.request.0);
        shard.expire(settings, stamp);
        if !shard.record_bill(bill.request, stamp) {
            return BillOutcome::AlreadyBooked;
        }
        self.spend
            .entry(bill.account.clone())
            .or_default()
            .add(bill);
        BillOutcome::Booked
    }

    /// Totals of all bills by account.
    pub fn spend(&self) -> &BTreeMap<SpendKey, SpendTotals> {
        &self.spend
    }

    /// Number of records in the ledger.
    pub fn size(&self) -> LedgerSize {
        let mut size = LedgerSize::default();
        for shard in &self.shards {
            size.claims += shard.claims.len();
            size.bindings += shard.bindings.len();
            size.bills += shard.bills.len();
        }
        size
    }
}

impl LedgerShard {
    fn claim(
        &mut self,
        settings: &LedgerSettings,
        request: &ClaimRequest,
        stamp: TimePoint,
    ) -> ClaimOutcome {
        self.expire_overdue_claim(settings, request.key, stamp);
        if let Some(record) = self.claims.get(&request.key) {
            return record.outcome_for(request);
        }
        if self.claims.len() >= settings.shard_claims {
            return ClaimOutcome::Full;
        }
        let record = ClaimRecord::granted(request, stamp);
        self.claims.insert(request.key, record);
        self.running.insert(request.key);
        self.due_claims.push_back((stamp, request.key));
        ClaimOutcome::Granted
    }

    fn expire_overdue_claim(
        &mut self,
        settings: &LedgerSettings,
        key: RequestKey,
        stamp: TimePoint,
    ) {
        let overdue = self
            .claims
            .get(&key)
            .filter(|record| stamp > record.deadline + settings.running_grace)
            .map(|record| record.attempt.clone());
        if let Some(attempt) = overdue {
            self.mark_unknown(key, &attempt, stamp);
        }
    }

    fn claim_held_by(&mut self, key: RequestKey, attempt: &AttemptId) -> Option<&mut ClaimRecord> {
        self.claims
            .get_mut(&key)
            .filter(|record| record.attempt == *attempt)
    }

    fn release(&mut self, key: RequestKey, attempt: &AttemptId) -> bool {
        // A claim in the unknown state is released as well: its attempt reports, if late, that the
        // request did not run, and no other attempt can have run it.
        let is_unsettled = self
            .claim_held_by(key, attempt)
            .is_some_and(|record| !matches!(record.state, ClaimState::Settled(_)));
        if is_unsettled {
            self.claims.remove(&key);
            self.running.remove(&key);
        }
        is_unsettled
    }

    fn settle(
        &mut self,
        settings: &LedgerSettings,
        key: RequestKey,
        attempt: &AttemptId,
        answer: &StoredAnswer,
        stamp: TimePoint,
    ) -> SettleOutcome {
        let Some(record) = self.claim_held_by(key, attempt) else {
            return SettleOutcome::NotHeld;
        };
        if matches!(record.state, ClaimState::Settled(_)) {
            return SettleOutcome::AlreadySettled;
        }
        let mut stored = answer.clone();
        stored.body = stored
            .body
            .filter(|body| body.len() <= settings.answer_bytes);
        record.state = ClaimState::Settled(stored);
        record.changed_at = stamp;
        self.running.remove(&key);
        self.due_answers.push_back((stamp, key));
        SettleOutcome::Stored
    }

    fn mark_unknown(&mut self, key: RequestKey, attempt: &AttemptId, stamp: TimePoint) -> bool {
        let Some(record) = self.claim_held_by(key, attempt) else {
            return false;
        };
        if record.state != ClaimState::Running {
            return false;
        }
        record.state = ClaimState::Unknown;
        record.changed_at = stamp;
        self.running.remove(&key);
        true
    }

    fn mark_entry_claims_unknown(
        &mut self,
        entry: &EntryId,
        incarnation: u64,
        stamp: TimePoint,
    ) -> usize {
        let has_ended =
            |attempt: &AttemptId| attempt.entry == *entry && attempt.incarnation < incarnation;
        let lost: Vec<(RequestKey, AttemptId)> = self
            .running
            .iter()
            .filter_map(|key| Some((*key, self.claims.get(key)?.attempt.clone())))
            .filter(|(_, attempt)| has_ended(attempt))
            .collect();
        lost.iter()
            .filter(|(key, attempt)| self.mark_unknown(*key, attempt, stamp))
            .count()
    }

    fn bind(
        &mut self,
        session: SessionKey,
        requested: &VersionId,
        plan: &PlanView<'_>,
        stamp: TimePoint,
    ) -> BindOutcome {
        if let Some(record) = self.bindings.get_mut(&session) {
            record.used_at = stamp;
            return record.resolve(plan);
        }
        if plan.is_withdrawn(requested) {
            return BindOutcome::NotAllowed(requested.clone());
        }
        let record = BindingRecord {
            version: requested.clone(),
            used_at: stamp,
        };
        self.bindings.insert(session, record);
        self.due_bindings.push_back((stamp, session));
        BindOutcome::Bound(requested.clone())
    }

    fn record_bill(&mut self, key: RequestKey, stamp: TimePoint) -> bool {
        let is_new = self.bills.insert(key);
        if is_new {
            self.due_bills.push_back((stamp, key));
        }
        is_new
    }

    fn expire(&mut self, settings: &LedgerSettings, stamp: TimePoint) {
        for _ in 0..EXPIRIES_PER_COMMAND {
            self.expire_answer(settings, stamp);
            self.expire_claim(settings, stamp);
            self.expire_binding(settings, stamp);
            if let Some((_, key)) = pop_due(&mut self.due_bills, settings.bill_retention, stamp) {
                self.bills.remove(&key);
            }
        }
    }

    fn expire_answer(&mut self, settings: &LedgerSettings, stamp: TimePoint) {
        let due = pop_due(&mut self.due_answers, settings.answer_retention, stamp);
        let record = due.and_then(|(_, key)| self.claims.get_mut(&key));
        if let Some(ClaimRecord {
            state: ClaimState::Settled(answer),
            ..
        }) = record
        {
            answer.body = None;
        }
    }

    fn expire_claim(&mut self, settings: &LedgerSettings, stamp: TimePoint) {
        let retention = settings.tombstone_retention;
        let Some((_, key)) = pop_due(&mut self.due_claims, retention, stamp) else {
            return;
        };
        self.expire_overdue_claim(settings, key, stamp);
        let Some(record) = self.claims.get(&key) else {
            return;
        };
        let is_running = record.state == ClaimState::Running;
        if is_running || stamp.since(record.changed_at) < retention {
            let since = if is_running { stamp } else { record.changed_at };
            self.due_claims.push_back((since, key));
        } else {
            self.claims.remove(&key);
        }
    }

    fn expire_binding(&mut self, settings: &LedgerSettings, stamp: TimePoint) {
        let retention = settings.session_retention;
        let Some((_, key)) = pop_due(&mut self.due_bindings, retention, stamp) else {
            return;
        };
        let Some(record) = self.bindings.get(&key) else {
            return;
        };
        if stamp.since(record.used_at) < retention {
            self.due_bindings.push_back((record.used_at, key));
        } else {
            self.bindings.remove(&key);
        }
    }
}
