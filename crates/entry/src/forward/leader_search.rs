//! Finds the leading keeper while an entry knows of none.
//!
//! A keeper without power or behind a partition does not answer at all. Polling one keeper after
//! the other would wait for the timeout of each of these, so the next one is polled while the
//! answers of those before are still pending. A keeper that does not lead may win the election that
//! is under way, so it is polled again while the others are still pending.

use std::collections::BTreeSet;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

/// Delay between the first polls of two keepers.
const NEXT_KEEPER_DELAY: Duration = Duration::from_millis(100);
/// Delay after which a keeper that does not lead is polled again.
const SAME_KEEPER_DELAY: Duration = Duration::from_millis(200);
/// Time after which no keeper is polled again.
const REPEAT_LIMIT: Duration = Duration::from_millis(800);
/// Timeout of one poll. A leader holds a poll open for up to 0.4 s while it has no update.
const POLL_TIMEOUT: Duration = Duration::from_millis(600);

/// Answer of one keeper.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeeperAnswer<T> {
    /// The keeper leads; its reply.
    Leader(T),
    /// The keeper follows the leader at this address, if it knows of one.
    Follower(Option<String>),
    /// The keeper could not be polled, and why.
    Failed(String),
}

/// Address and reply of the leading keeper.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FoundLeader<T> {
    /// RPC address.
    pub address: String,
    /// Its reply to the poll.
    pub reply: T,
}

/// Polls `keepers` in this order, and those that they name as the leader, until the leader
/// answers.
///
/// # Errors
/// What the last keeper answered, if none of them leads.
pub async fn search_leader<T, F>(
    keepers: &[String],
    poll: impl Fn(String) -> F,
) -> Result<FoundLeader<T>, String>
where
    F: Future<Output = KeeperAnswer<T>>,
{
    let poll_after = async |delay: Duration, address: String| {
        tokio::time::sleep(delay).await;
        let answer = tokio::time::timeout(POLL_TIMEOUT, poll(address.clone())).await;
        let timed_out = || KeeperAnswer::Failed(format!("timed out after {POLL_TIMEOUT:?}"));
        (address, answer.unwrap_or_else(|_| timed_out()))
    };
    let started_at = tokio::time::Instant::now();
    let mut polled = BTreeSet::new();
    let mut polls = FuturesUnordered::new();
    let mut delay = Duration::ZERO;
    for address in keepers {
        if polled.insert(address.clone()) {
            polls.push(poll_after(delay, address.clone()));
            delay += NEXT_KEEPER_DELAY;
        }
    }
    let mut problem = "no keeper is known".to_owned();
    while let Some((address, answer)) = polls.next().await {
        match answer {
            KeeperAnswer::Leader(reply) => return Ok(FoundLeader { address, reply }),
            KeeperAnswer::Follower(hint) => {
                problem = match &hint {
                    Some(leader) => format!("{address} named {leader}, which does not lead"),
                    None => format!("{address} knows no leader"),
                };
                if let Some(leader) = hint
                    && polled.insert(leader.clone())
                {
                    polls.push(poll_after(Duration::ZERO, leader));
                }
                if started_at.elapsed() + SAME_KEEPER_DELAY < REPEAT_LIMIT {
                    polls.push(poll_after(SAME_KEEPER_DELAY, address));
                }
            }
            KeeperAnswer::Failed(reason) => {
                problem = format!("{address}: {reason}");
                // A keeper that is starting refuses connections at first.
                if started_at.elapsed() + SAME_KEEPER_DELAY < REPEAT_LIMIT {
                    polls.push(poll_after(SAME_KEEPER_DELAY, address));
                }
            }
        }
    }
    Err(problem)
}
