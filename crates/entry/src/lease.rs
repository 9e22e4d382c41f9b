//! The actor that keeps the lease of this entry: it sends heartbeats to the keepers and applies the
//! grants that they return.

use std::sync::Arc;
use std::time::Duration;

use ractor::{Actor, ActorProcessingErr, ActorRef};

use chestnutloft_core::state::{EntryHeartbeat, LeaseGrant, live_hash};
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::clock;

use crate::context::EntryContext;

/// Heartbeats sent within the duration of one lease.
const HEARTBEATS_PER_LEASE: u32 = 6;
/// Delay before the next heartbeat if the last one was not granted a lease.
const RETRY_DELAY: Duration = Duration::from_millis(80);

/// Messages of the lease actor.
pub enum LeaseMessage {
    /// The next heartbeat is due.
    HeartbeatDue,
}

/// Sends heartbeats and renews the lease.
pub struct LeaseActor;

/// State of the lease actor.
pub struct LeaseState {
    context: Arc<EntryContext>,
    was_held: bool,
}

impl Actor for LeaseActor {
    type Msg = LeaseMessage;
    type State = LeaseState;
    type Arguments = Arc<EntryContext>;

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        context: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        myself.cast(LeaseMessage::HeartbeatDue)?;
        Ok(LeaseState {
            context,
            was_held: false,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        _message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        let sent_at = clock::now();
        let heartbeat = build_heartbeat(&state.context);
        let delay = match state.context.keepers.send_heartbeat(&heartbeat).await {
            Ok(grant) => {
                state.log_transition(true, "");
                apply_grant(&state.context, sent_at, grant)
            }
            Err(reason) => {
                let is_valid = state.context.lease().is_valid(clock::now());
                state.log_transition(is_valid, &reason);
                RETRY_DELAY
            }
        };
        myself.send_after(delay, || LeaseMessage::HeartbeatDue);
        Ok(())
    }
}

impl LeaseState {
    fn log_transition(&mut self, is_held: bool, reason: &str) {
        if is_held && !self.was_held {
            spdlog::info!("lease: granted by the keepers; accepting work.");
        }
        if !is_held && self.was_held {
            spdlog::warn!(
                "lease: expired; refusing new work until a heartbeat is granted: {reason}."
            );
        }
        self.was_held = is_held;
    }
}

fn build_heartbeat(context: &EntryContext) -> EntryHeartbeat {
    let router = context.router();
    EntryHeartbeat {
        entry: context.entry.clone(),
        incarnation: context.incarnation,
        address: context.rpc_address.to_string(),
        revision: router.plan.revision,
        quality_version: router.quality.version(),
        live_hash: live_hash(&context.live_entries()),
        is_leaving: context.is_leaving(),
    }
}

/// Applies a grant and returns the delay before the next heartbeat.
///
/// After a plan change the next heartbeat is sent at once, because it reports the applied revision
/// and the keepers count the revision as in force only after every entry with an unexpired lease
/// has reported it.
fn apply_grant(context: &EntryContext, sent_at: TimePoint, grant: LeaseGrant) -> Duration {
    let duration = Duration::from_micros(grant.duration_us);
    let plan_changed = {
        let mut router = context.router();
        let previous_revision = router.plan.revision;
        grant.update.apply(&mut router.plan);
        if let Some(quality) = grant.quality {
            router.quality = *quality;
        }
        if let Some(live) = &grant.live {
            router.live_entries = live.len().max(1);
        }
        previous_revision != router.plan.revision
    };
    if let Some(live) = grant.live {
        *context.live_entries() = live;
    }
    // Apply the plan before renewing the lease: a valid lease asserts that the entry has applied
    // the revision that the grant carried.
    context.lease().renew(sent_at, duration);
    if plan_changed {
        let revision = context.router().plan.revision;
        spdlog::info!("plan: applied revision {revision}.");
        return Duration::ZERO;
    }
    duration / HEARTBEATS_PER_LEASE
}

/// Gives up the lease and tells the keepers that this entry is leaving, without retries.
pub async fn announce_departure(context: &EntryContext) {
    let heartbeat = build_heartbeat(context);
    if let Err(reason) = context.keepers.send_heartbeat(&heartbeat).await {
        spdlog::warn!(
            "lease: could not report this entry as leaving; the keepers wait for its lease to \
             expire: {reason}."
        );
    }
    context.lease().release();
}
