//! The entry: takes requests from callers and announcements from endpoints.
//!
//! A request passes through [`gateway`], then [`chat`] or [`plain`], which call the filters of
//! the core in their order and carry out what they decide.

pub mod attempt;
pub mod beat;
pub mod chat;
pub mod context;
pub mod credit;
pub mod daemon;
pub mod engine;
pub mod exchange;
pub mod explain;
pub mod forward;
pub mod gateway;
pub mod keepers;
pub mod metrics;
pub mod plain;
pub mod rating;
pub mod refuse;
pub mod session;
pub mod settings;
pub mod sse;
