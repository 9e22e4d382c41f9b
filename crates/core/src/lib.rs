//! The deciding part of chestnutloft.
//!
//! Nothing here reads a clock, opens a socket or draws from a global generator: the present time
//! and a seeded generator are arguments. The same code therefore runs in the daemons, in the
//! failure tests and on the bench.

pub mod consensus;
pub mod hash;
pub mod ids;
pub mod ledger;
pub mod pipe;
pub mod plan;
pub mod routing;
pub mod state;
pub mod time;
