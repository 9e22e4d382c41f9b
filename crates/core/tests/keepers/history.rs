//! Histories of what callers saw, checked for linearizability.

use std::collections::BTreeMap;
use std::time::Duration;

use porcupine_rs::{CheckResult, Model, Operation};

/// One operation on one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedOp {
    /// Key.
    pub key: u64,
    /// What was done.
    pub op: SeenOp,
}

/// What a caller did and saw. `None` stands for an answer that never came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SeenOp {
    /// Binds a session to `wish`; the version that it is bound to.
    Bind { wish: u8, seen: Option<u8> },
    /// Claims a request for an attempt.
    Claim {
        attempt: u64,
        seen: Option<SeenClaim>,
    },
    /// Settles a claim.
    Settle { attempt: u64, seen: Option<bool> },
    /// Gives a claim back.
    Release { attempt: u64, seen: Option<bool> },
    /// Declares a plan made from revision `base`; the revision it got, or `Err` on conflict.
    Declare {
        base: u64,
        content: u64,
        seen: Option<Result<u64, u64>>,
    },
    /// Reads the revision of the newest declaration.
    Read { seen: u64 },
}

/// What a claim led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeenClaim {
    /// Granted.
    Granted,
    /// Another attempt runs.
    Running,
    /// An attempt has settled.
    Settled,
    /// An attempt's outcome is lost.
    Unknown,
}

/// State of one key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
pub struct KeyState {
    bound: Option<u8>,
    claim: Option<(u64, bool)>,
    declared: u64,
    contents: BTreeMap<u64, u64>,
}

/// The sequential specification.
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
            SeenOp::Bind { wish, seen } => {
                let bound = *next.bound.get_or_insert(*wish);
                seen.is_none_or(|seen| seen == bound)
            }
            SeenOp::Claim { attempt, seen } => {
                let answer = match state.claim {
                    None => {
                        next.claim = Some((*attempt, false));
                        SeenClaim::Granted
                    }
                    Some((_, true)) => SeenClaim::Settled,
                    Some((holder, false)) if holder == *attempt => SeenClaim::Granted,
                    Some((_, false)) => SeenClaim::Running,
                };
                // A claim past its deadline may be told as unknown instead of running.
                let is_lost = matches!(state.claim, Some((_, false)));
                seen.is_none_or(|seen| seen == answer || (is_lost && seen == SeenClaim::Unknown))
            }
            SeenOp::Settle { attempt, seen } => {
                let is_held = state.claim.is_some_and(|(holder, _)| holder == *attempt);
                if is_held {
                    next.claim = Some((*attempt, true));
                }
                seen.is_none_or(|seen| seen == is_held)
            }
            SeenOp::Release { attempt, seen } => {
                let is_held = state.claim == Some((*attempt, false));
                // A claim past its deadline is not given back: that leaves it as it is.
                if is_held && *seen != Some(false) {
                    next.claim = None;
                }
                *seen != Some(true) || is_held
            }
            SeenOp::Declare {
                base,
                content,
                seen,
            } => {
                let answer = match state.contents.get(content) {
                    Some(revision) => Ok(*revision),
                    None if *base == state.declared => {
                        next.declared += 1;
                        next.contents.insert(*content, next.declared);
                        Ok(next.declared)
                    }
                    None => Err(state.declared),
                };
                seen.is_none_or(|seen| seen == answer)
            }
            SeenOp::Read { seen } => *seen == state.declared,
        };
        (is_legal, next)
    }
}

/// Longest search for one history.
const SEARCH_TIME: Duration = Duration::from_secs(20);

/// Checks a history; a sentence when it is not linearizable.
pub fn check(history: &[Operation<KeeperModel>]) -> Result<(), String> {
    for part in KeeperModel::partition_operations(history) {
        match porcupine_rs::check_operations_timeout(&part, SEARCH_TIME) {
            CheckResult::Ok => {}
            CheckResult::Unknown => return Err("the search took too long".to_owned()),
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
