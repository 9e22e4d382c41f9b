//! Time that roll-outs have taken and time since they ended, as one keeper measures it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use chestnutloft_core::routing::{
    ChangeIndex, RolloutOrder, RolloutStage, RolloutState, RoutingCommand, RoutingState,
};
use chestnutloft_core::time::TimePoint;
use chestnutloft_wire::message::RolloutAge;

/// Clock of a running roll-out.
#[derive(Clone, Copy, Debug)]
pub struct RolloutClock {
    /// When the roll-out was ordered.
    pub started_at: TimePoint,
    /// When the progress was last replicated.
    pub recorded_at: TimePoint,
    /// Change that started the roll-out; 0 if this keeper does not know it.
    pub order_index: ChangeIndex,
}

/// End of a roll-out.
#[derive(Clone, Copy, Debug)]
struct RolloutEnd {
    index: ChangeIndex,
    seen_at: TimePoint,
}

/// Clocks of the roll-outs of all services.
#[derive(Clone, Debug, Default)]
pub struct RolloutClocks {
    /// Running roll-outs, by service and target version.
    running: HashMap<(Arc<str>, Arc<str>), RolloutClock>,
    /// End of the last roll-out of each service.
    ends: HashMap<Arc<str>, RolloutEnd>,
}

fn key(order: &RolloutOrder) -> (Arc<str>, Arc<str>) {
    (Arc::clone(&order.service), Arc::clone(&order.target))
}

impl RolloutClocks {
    /// Updates the clocks from the replicated state. Every replica does this, so that a new leader
    /// continues with the elapsed time.
    pub fn update(&mut self, now: TimePoint, state: &RoutingState) {
        let rollouts = state.rollouts.values();
        let (ended, running): (Vec<_>, Vec<_>) =
            rollouts.partition(|rollout| rollout.stage.is_final());
        let clock = |rollout: &&RolloutState| (key(&rollout.order), self.clock(now, rollout));
        let end = |rollout: &&RolloutState| {
            let service = Arc::clone(&rollout.order.service);
            (service, self.end(now, rollout))
        };
        let running_clocks = running.iter().map(clock).collect();
        self.ends = ended.iter().map(end).collect();
        self.running = running_clocks;
    }

    fn clock(&self, now: TimePoint, rollout: &RolloutState) -> RolloutClock {
        let replicated_start = now - Duration::from_millis(rollout.elapsed_ms);
        let is_trial = rollout.stage == RolloutStage::Trial;
        let order_index = if is_trial { rollout.changed_at } else { 0 };
        let known = self.running.get(&key(&rollout.order)).copied();
        let is_same = |clock: &RolloutClock| !is_trial || clock.order_index == order_index;
        let clock = known.filter(is_same).unwrap_or(RolloutClock {
            started_at: replicated_start,
            recorded_at: now,
            order_index,
        });
        RolloutClock {
            started_at: clock.started_at.min(replicated_start),
            ..clock
        }
    }

    fn end(&self, now: TimePoint, rollout: &RolloutState) -> RolloutEnd {
        let known = self.ends.get(&rollout.order.service).copied();
        let known = known.filter(|end| end.index == rollout.changed_at);
        known.unwrap_or(RolloutEnd {
            index: rollout.changed_at,
            seen_at: now,
        })
    }

    /// Records how long an entry that has the changes up to `index` knows a running roll-out. One
    /// that has not learned of the order yet means an earlier roll-out.
    pub fn record_age(&mut self, now: TimePoint, index: ChangeIndex, age: &RolloutAge) {
        let key = (Arc::clone(&age.service), Arc::clone(&age.target));
        let clock = self.running.get_mut(&key);
        if let Some(clock) = clock.filter(|clock| index >= clock.order_index) {
            let started_at = now - Duration::from_millis(age.age_ms);
            clock.started_at = clock.started_at.min(started_at);
        }
    }

    /// Clock of a running roll-out.
    pub fn get_mut(&mut self, order: &RolloutOrder) -> Option<&mut RolloutClock> {
        self.running.get_mut(&key(order))
    }

    /// Command for an operator's order: a new roll-out, or nothing new if the order may have been
    /// sent again because its answer was lost, which operators do for at most `order_resend`.
    pub fn command(
        &self,
        now: TimePoint,
        state: &RoutingState,
        order: RolloutOrder,
        order_resend: Duration,
    ) -> RoutingCommand {
        let is_rolled_back = state.rollouts.get(&order.service).is_some_and(|rollout| {
            rollout.order == order && rollout.stage == RolloutStage::RolledBack
        });
        let end = self.ends.get(&order.service);
        let ended_for = end.map_or(Duration::ZERO, |end| now.since(end.seen_at));
        if !is_rolled_back || ended_for < order_resend {
            return RoutingCommand::StartRollout(order);
        }
        spdlog::info!(
            "rollout: service {} to version {} is ordered again, {} ms after it was rolled back.",
            order.service,
            order.target,
            ended_for.as_millis()
        );
        RoutingCommand::RestartRollout(order)
    }
}
