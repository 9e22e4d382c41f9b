//! The keeper: one replica of the log of declarations, claims, session bindings and bills.

pub mod actor;
pub mod daemon;
pub mod host;
pub mod metrics;
pub mod operator;
pub mod outbox;
pub mod settings;
pub mod status;
pub mod storage;
