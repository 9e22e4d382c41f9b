//! Checks the operations that callers observed for linearizability.

use std::collections::BTreeMap;
use std::time::Duration;

use porcupine_rs::{CheckResult, Model, Operation};

/// One operation on one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedOp {
    /// Request, session or revision register that the operation acts on.
    pub key: u64,
    /// The operation and its result.
    pub op: ObservedOp,
}

/// An operation and its result. The result is `None` if no answer came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ObservedOp {
    /// Binds a session to the version `requested`. Returns the version that it is bound to.
    Bind { requested: u8, result: Option<u8> },
    /// Claims the right to dispatch a request for an attempt.
    Claim {
        attempt: u64,
        result: Option<ObservedClaim>,
    },
    /// Settles a claim. Returns whether the attempt held it.
    Settle { attempt: u64, result: Option<bool> },
    /// Releases a claim. Returns whether the attempt held it.
    Release { attempt: u64, result: Option<bool> },
    /// Declares a plan based on revision `base`. Returns its revision, or the current one as `Err`
    /// on conflict.
    Declare {
        base: u64,
        content: u64,
        result: Option<Result<u64, u64>>,
    },
    /// Reads the revision of the latest declaration.
    Read { result: u64 },
}

/// Outcome of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObservedClaim {
    /// Granted.
    Granted,
    /// Another attempt holds the claim.
    Running,
    /// The claim is settled.
    Settled,
    /// The claim expired unsettled, so its outcome is unknown.
    Unknown,
}

/// State of one key in the sequential specification.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
pub struct KeyState {
    bound: Option<u8>,
    /// Attempt that holds the claim, and whether it has settled it.
    claim: Option<(u64, bool)>,
    revision: u64,
    revision_by_content: BTreeMap<u64, u64>,
}

/// Sequential specification of the keepers for one key.
#[derive(Clone, Debug)]
pub struct KeeperModel;

impl Model for KeeperModel {
    type State = KeyState;
    type Op = KeyedOp;
    type Metadata = ();

    fn partition_operations(history: &[Operation<Self>]) -> Vec<Vec<Operation<Self>>> {
        let mut parts: BTreeMap<u64, Vec<Operation<Self>>> = BTreeMap::new();
        for operation in history {
            parts
                .entry(operation.op.key)
                .or_default()
                .push(operation.clone());
        }
        parts.into_values().collect()
    }

    fn init() -> KeyState {
        KeyState::default()
    }

    fn step(state: &KeyState, op: &KeyedOp) -> (bool, KeyState) {
        let mut next = state.clone();
        let is_legal = match &op.op {
            ObservedOp::Bind { requested, result } => {
                let bound = *next.bound.get_or_insert(*requested);
                result.is_none_or(|result| result == bound)
            }
            ObservedOp::Claim { attempt, result } => {
                let answer = match state.claim {
                    None => {
                        next.claim = Some((*attempt, false));
                        ObservedClaim::Granted
                    }
                    Some((_, true)) => ObservedClaim::Settled,
                    Some((holder, false)) if holder == *attempt => ObservedClaim::Granted,
                    Some((_, false)) => ObservedClaim::Running,
                };
                // After its deadline, a running claim may be reported as unknown.
                let is_pending = matches!(state.claim, Some((_, false)));
                result.is_none_or(|result| {
                    result == answer || (is_pending && result == ObservedClaim::Unknown)
                })
            }
            ObservedOp::Settle { attempt, result } => {
                let is_held = state.claim.is_some_and(|(holder, _)| holder == *attempt);
                if is_held {
                    next.claim = Some((*attempt, true));
                }
                result.is_none_or(|result| result == is_held)
            }
            ObservedOp::Release { attempt, result } => {
                let is_held = state.claim == Some((*attempt, false));
                // The specification also accepts a refused release, which leaves the state unchanged.
                if is_held && *result != Some(false) {
                    next.claim = None;
                }
                *result != Some(true) || is_held
            }
            ObservedOp::Declare {
                base,
                content,
                result,
            } => {
                let answer = match state.revision_by_content.get(content) {
                    Some(revision) => Ok(*revision),
                    None if *base == state.revision => {
                        next.revision += 1;
                        next.revision_by_content.insert(*content, next.revision);
                        Ok(next.revision)
                    }
                    None => Err(state.revision),
                };
                result.is_none_or(|result| result == answer)
            }
            ObservedOp::Read { result } => *result == state.revision,
        };
        (is_legal, next)
    }
}

/// Time limit for the linearizability search of one key.
const SEARCH_TIME: Duration = Duration::from_secs(20);

/// Checks that a history is linearizable.
///
/// # Errors
/// The operations of the first key whose history is not linearizable, or a search timeout.
pub fn check(history: &[Operation<KeeperModel>]) -> Result<(), String> {
    for part in KeeperModel::partition_operations(history) {
        match porcupine_rs::check_operations_timeout(&part, SEARCH_TIME) {
            CheckResult::Ok => {}
            CheckResult::Unknown => return Err("the linearizability search timed out".to_owned()),
            CheckResult::Illegal => {
                let mut lines: Vec<String> = part
                    .iter()
                    .map(|o| format!("  {} to {}: {:?}", o.call_time, o.return_time, o.op))
                    .collect();
                lines.sort();
                return Err(format!("not linearizable:\n{}", lines.join("\n")));
            }
        }
    }
    Ok(())
}
