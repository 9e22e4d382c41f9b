//! Communication of chestnutloft's processes: RPC among themselves and HTTP with all others. Also
//! their clocks, logs, metrics and settings files.

pub mod auth;
pub mod clock;
pub mod http;
pub mod listen;
pub mod logs;
pub mod message;
pub mod metrics;
#[allow(missing_docs, clippy::all, clippy::pedantic)]
pub mod peer_capnp;
pub mod process;
pub mod rpc;
pub mod rpc_client;
pub mod settings;
pub mod shutdown;
