//! Forwards calls to endpoints according to the declared routes.
//!
//! A call is one HTTP request of a caller; an attempt is one send of that call to an endpoint.
//! [`server`] accepts the caller's connection, [`inbound`] reads the call and matches it to a route
//! and a workspace, [`pipeline`] makes attempts until a response is good enough, and [`relay`]
//! forwards a streamed response. The wire format is defined by a [`codec`].

mod admission;
mod admission_queues;
mod attempt;
mod body_memory;
mod caller_connection;
mod caller_stream;
mod capacity;
pub mod choice;
pub mod codec;
mod completion;
mod connections;
pub mod context;
mod copy_calls;
mod copy_choice;
pub mod daemon;
mod escalation;
mod inbound;
pub mod leader_search;
mod load_exchange;
pub mod metrics;
pub mod model_choice;
mod model_coverage;
mod outcomes;
mod pipeline;
mod relay;
mod relay_buffer;
mod relay_registry;
mod retries;
mod run_copies;
mod run_moves;
pub mod segments;
mod server;
pub mod settings;
mod single_run;
mod slow_start;
mod sockets;
pub mod state;
mod stream_silence;
mod watch;
mod write_meter;
