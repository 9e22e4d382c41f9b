//! The entry: proxies requests from callers to endpoints and receives endpoint announcements.
//!
//! [`gateway`] parses and admits a request and passes it to [`chat`] or [`plain`]. These run the
//! routing filters of the core crate in order and do the I/O that the filters decide on.
//!
//! [`forward`] is a second kind of entry: it forwards calls by declared routes, in the wire format
//! of its codec.

pub mod attempt;
pub mod chat;
pub mod context;
pub mod credit;
pub mod daemon;
pub mod engine;
pub mod exchange;
pub mod explain;
pub mod forward;
pub mod gateway;
pub mod keeper_client;
pub mod lease;
pub mod metrics;
pub mod plain;
pub mod rating;
pub mod refusal;
pub mod session;
pub mod settings;
pub mod sse;
