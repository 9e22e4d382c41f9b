//! The request path by routes: from a caller's call to an endpoint's answer.
//!
//! A call passes these filters in order: [`server`] takes the connection, [`inbound`] finds route
//! and workspace, [`pipeline`] runs attempts until one is good enough, [`relay`] passes a stream
//! on. How calls and answers are written on the wire is the dialect's matter.

mod attempt;
pub mod choice;
mod completion;
mod connections;
pub mod context;
pub mod daemon;
pub mod dialect;
mod inbound;
mod load_exchange;
pub mod metrics;
mod outcomes;
mod pipeline;
mod relay;
mod server;
pub mod settings;
pub mod state;
mod watch;
