//! chestnutloft in one process: keepers, entries and stand-in endpoints on loopback.

pub mod caller;
pub mod cluster;
pub mod example;
pub mod sample;
