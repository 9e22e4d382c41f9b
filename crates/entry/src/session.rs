//! Session bindings that this entry knows, and how it asks for one.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use chestnutloft_core::ids::VersionId;
use chestnutloft_core::ledger::{BindOutcome, SessionKey};
use chestnutloft_core::pipe::{ParsedRequest, Refusal, RefusalCode, RunState};
use chestnutloft_core::state::{KeeperCommand, KeeperOutcome};
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::clock;

use crate::context::EntryContext;

/// How long a binding is used without asking the keepers. They learn from the next question that
/// the session is still in use, long before they would forget it.
const CACHE_AGE: Duration = Duration::from_mins(30);
/// Bindings that are kept at most.
const CACHE_SIZE: usize = 50_000;

#[derive(Clone, Debug)]
struct KnownBinding {
    version: VersionId,
    asked_at: TimePoint,
}

/// Known bindings.
#[derive(Debug, Default)]
pub struct SessionCache {
    bindings: Mutex<HashMap<SessionKey, KnownBinding>>,
}

impl SessionCache {
    fn get(&self, now: TimePoint, key: SessionKey) -> Option<VersionId> {
        let bindings = self.bindings.lock().unwrap_or_else(PoisonError::into_inner);
        bindings
            .get(&key)
            .filter(|known| now.since(known.asked_at) < CACHE_AGE)
            .map(|known| known.version.clone())
    }

    fn put(&self, now: TimePoint, key: SessionKey, version: VersionId) {
        let mut bindings = self.bindings.lock().unwrap_or_else(PoisonError::into_inner);
        if bindings.len() >= CACHE_SIZE {
            // A binding that is dropped here is asked for again: the keepers hold the truth.
            bindings.clear();
        }
        let asked_at = now;
        bindings.insert(key, KnownBinding { version, asked_at });
    }
}

/// The version that the ticket's session is bound to, if this entry knows one that still serves.
pub fn known_version(
    context: &EntryContext,
    ticket: &ParsedRequest,
    session: &str,
) -> Option<VersionId> {
    let key = SessionKey::new(&ticket.workspace, session);
    let version = context.sessions.get(clock::now(), key)?;
    let router = context.router();
    let view = router.view(clock::wall_now());
    (!view.is_withdrawn(&version)).then_some(version)
}

/// Binds a session; the first binding on any entry wins.
///
/// # Errors
/// [`Refusal`] when the keepers cannot be reached or no version can serve the session.
pub async fn bind(
    context: &EntryContext,
    ticket: &ParsedRequest,
    session: &str,
    wish: VersionId,
) -> Result<VersionId, Refusal> {
    let key = SessionKey::new(&ticket.workspace, session);
    let command = KeeperCommand::Bind { session: key, wish };
    let outcome = context.keepers.run(command).await.map_err(|error| {
        Refusal::not_run(RefusalCode::KeepersUnreachable, error.to_string())
            .with_run(RunState::NotRun)
    })?;
    let no_version = |message: String| Refusal::not_run(RefusalCode::NoVersion, message);
    match outcome {
        KeeperOutcome::Bind(BindOutcome::Bound(version)) => {
            context.sessions.put(clock::now(), key, version.clone());
            Ok(version)
        }
        KeeperOutcome::Bind(BindOutcome::NoSuccessor(version)) => Err(no_version(format!(
            "the session's version {version} is withdrawn and has no successor"
        ))),
        KeeperOutcome::Bind(BindOutcome::NotAllowed(version)) => {
            Err(no_version(format!("version {version} is withdrawn")))
        }
        _ => Err(no_version("the keepers gave no binding".to_owned())),
    }
}
