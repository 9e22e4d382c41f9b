//! The keeper: one replica of the replicated declarations, claims, session bindings and bills.

pub mod actor;
mod actor_routing;
pub mod control;
pub mod daemon;
pub mod formation;
pub mod metrics;
pub mod operator;
pub mod outbox;
pub mod propagation;
pub mod rollout_clocks;
pub mod routing_coordinator;
pub mod settings;
pub mod state_machine;
pub mod status;
pub mod storage;
