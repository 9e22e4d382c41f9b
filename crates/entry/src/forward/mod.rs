//! Forwards client calls to endpoints according to the declared routes.
//!
//! A call is one HTTP request of a client; an attempt is one send of that call to an endpoint.
//! [`server`] accepts the client connection, [`inbound`] reads the call and matches it to a route
//! and a workspace, [`pipeline`] makes attempts until a response is good enough, and [`relay`]
//! forwards a streamed response. The wire format is defined by a [`dialect`].

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
