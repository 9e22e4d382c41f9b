//! The actor that keeps the lease: it sends heartbeats and applies what comes back.

use std::sync::Arc;
use std::time::Duration;

use ractor::{Actor, ActorProcessingErr, ActorRef};

use chestnutloft_core::state::{EntryHeartbeat, LeaseGrant, live_hash};
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::clock;

use crate::context::EntryContext;

/// Share of the lease's length after which the next heartbeat is sent.
const BEAT_SHARE: u32 = 6;
/// Wait after a heartbeat that got no lease.
const RETRY_WAIT: Duration = Duration::from_millis(80);

/// Messages of the actor.
pub enum BeatMessage {
    /// The next heartbeat is due.
    Due,
}

/// The actor.
pub struct LeaseActor;

/// State of the actor.
pub struct LeaseState {
    context: Arc<EntryContext>,
    had_lease: bool,
}

impl Actor for LeaseActor {
    type Msg = BeatMessage;
    type State = LeaseState;
    type Arguments = Arc<EntryContext>;

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        context: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        myself.cast(BeatMessage::Due)?;
        Ok(LeaseState {
            context,
            had_lease: false,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        _due: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        let sent_at = clock::now();
        let beat = heartbeat(&state.context);
        let wait = match state.context.keepers.beat(&beat).await {
            Ok(grant) => {
                state.note_lease(true, "");
                take_grant(&state.context, sent_at, grant)
            }
            Err(problem) => {
                let is_valid = state.context.lease().is_valid(clock::now());
                state.note_lease(is_valid, &problem);
                RETRY_WAIT
            }
        };
        myself.send_after(wait, || BeatMessage::Due);
        Ok(())
    }
}

impl LeaseState {
    fn note_lease(&mut self, has_lease: bool, problem: &str) {
        if has_lease && !self.had_lease {
            spdlog::info!("lease: held.");
        }
        if !has_lease && self.had_lease {
            spdlog::warn!("lease: over; no new work starts here: {problem}.");
        }
        self.had_lease = has_lease;
    }
}

fn heartbeat(context: &EntryContext) -> EntryHeartbeat {
    let router = context.router();
    EntryHeartbeat {
        entry: context.entry.clone(),
        incarnation: context.incarnation,
        address: context.rpc_address.to_string(),
        revision: router.plan.revision,
        quality_version: router.quality.version(),
        live_hash: live_hash(&context.live()),
        is_leaving: context.is_leaving(),
    }
}

/// Applies a grant. Returns the wait until the next heartbeat, which is short after a change so
/// that the keepers soon know it to be in force.
fn take_grant(context: &EntryContext, sent_at: TimePoint, grant: LeaseGrant) -> Duration {
    let duration = Duration::from_micros(grant.duration_us);
    let has_changed = {
        let mut router = context.router();
        let before = router.plan.revision;
        grant.update.apply(&mut router.plan);
        if let Some(quality) = grant.quality {
            router.quality = *quality;
        }
        if let Some(live) = &grant.live {
            router.live_entries = live.len().max(1);
        }
        before != router.plan.revision
    };
    if let Some(live) = grant.live {
        *context.live() = live;
    }
    // The plan is applied before the lease counts: a lease vouches for the revision it came with.
    context.lease().renew(sent_at, duration);
    if has_changed {
        let revision = context.router().plan.revision;
        spdlog::info!("plan: revision {revision} is applied.");
        return Duration::ZERO;
    }
    duration / BEAT_SHARE
}

/// Tells the keepers once that this entry is leaving.
pub async fn say_goodbye(context: &EntryContext) {
    let beat = heartbeat(context);
    if let Err(problem) = context.keepers.beat(&beat).await {
        spdlog::warn!("lease: the keepers do not know that this entry leaves: {problem}.");
    }
    context.lease().release();
}
