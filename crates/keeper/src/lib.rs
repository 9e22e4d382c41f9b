//! The keeper: one replica of the log of declarations, claims, session bindings and bills.

pub mod actor;
mod actor_routing;
pub mod control;
pub mod daemon;
pub mod desk;
pub mod formation;
pub mod host;
pub mod metrics;
pub mod operator;
pub mod outbox;
pub mod settings;
pub mod status;
pub mod storage;
