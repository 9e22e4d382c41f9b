//! Binds sessions to versions through the keepers and caches the bindings.

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

/// How long a binding is used without asking the keepers. It is shorter than the retention of
/// bindings at the keepers, so that the keepers see a session in use before they would drop it.
const CACHE_TTL: Duration = Duration::from_mins(30);
/// Maximum number of cached bindings.
const MAX_CACHED_BINDINGS: usize = 50_000;

#[derive(Clone, Debug)]
struct CachedBinding {
    version: VersionId,
    confirmed_at: TimePoint,
}

/// Cache of session bindings.
#[derive(Debug, Default)]
pub struct SessionCache {
    bindings: Mutex<HashMap<SessionKey, CachedBinding>>,
}

impl SessionCache {
    fn get(&self, now: TimePoint, key: SessionKey) -> Option<VersionId> {
        let bindings = self.bindings.lock().unwrap_or_else(PoisonError::into_inner);
        bindings
            .get(&key)
            .filter(|cached| now.since(cached.confirmed_at) < CACHE_TTL)
            .map(|cached| cached.version.clone())
    }

    fn put(&self, now: TimePoint, key: SessionKey, version: VersionId) {
        let mut bindings = self.bindings.lock().unwrap_or_else(PoisonError::into_inner);
        if bindings.len() >= MAX_CACHED_BINDINGS {
            // Dropped bindings are fetched again: the keepers hold the authoritative copy.
            bindings.clear();
        }
        let confirmed_at = now;
        bindings.insert(
            key,
            CachedBinding {
                version,
                confirmed_at,
            },
        );
    }
}

/// Version to which `session` is bound, if the binding is cached and the version is not withdrawn.
pub fn cached_version(
    context: &EntryContext,
    parsed: &ParsedRequest,
    session: &str,
) -> Option<VersionId> {
    let key = SessionKey::new(&parsed.workspace, session);
    let version = context.sessions.get(clock::now(), key)?;
    let router = context.router();
    let view = router.view(clock::wall_now());
    (!view.is_withdrawn(&version)).then_some(version)
}

/// Binds a session to `preferred`, or returns the version to which it is already bound. The first
/// binding made through any entry wins.
///
/// # Errors
/// [`Refusal`] when the keepers cannot be reached or no version can serve the session.
pub async fn bind(
    context: &EntryContext,
    parsed: &ParsedRequest,
    session: &str,
    preferred: VersionId,
) -> Result<VersionId, Refusal> {
    let key = SessionKey::new(&parsed.workspace, session);
    let command = KeeperCommand::Bind {
        session: key,
        wish: preferred,
    };
    let outcome = context.keepers.run(command).await.map_err(|error| {
        Refusal::not_run(RefusalCode::KeepersUnreachable, error.to_string())
            .with_run(RunState::NotRun)
    })?;
    let no_version_refusal = |message: String| Refusal::not_run(RefusalCode::NoVersion, message);
    match outcome {
        KeeperOutcome::Bind(BindOutcome::Bound(version)) => {
            context.sessions.put(clock::now(), key, version.clone());
            Ok(version)
        }
        KeeperOutcome::Bind(BindOutcome::NoSuccessor(version)) => Err(no_version_refusal(format!(
            "the session's version {version} is withdrawn and has no successor"
        ))),
        KeeperOutcome::Bind(BindOutcome::NotAllowed(version)) => Err(no_version_refusal(format!(
            "version {version} is withdrawn"
        ))),
        _ => Err(no_version_refusal("the keepers gave no binding".to_owned())),
    }
}
