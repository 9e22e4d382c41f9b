//! The request path by routes: from a caller's call to an endpoint's answer.
//!
//! A call passes these filters in order: [`door`] takes the connection, [`intake`] finds route
//! and workspace, [`pipeline`] runs attempts until one is good enough, [`relay`] passes a stream
//! on. How calls and answers are written on the wire is the dialect's matter.

pub mod book;
pub mod call;
pub mod choice;
pub mod daemon;
pub mod dialect;
mod door;
mod ending;
mod exchange;
mod intake;
mod links;
pub mod metrics;
mod outcomes;
mod pipeline;
mod relay;
pub mod settings;
mod share;
mod watch;
