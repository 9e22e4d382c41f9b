//! Runs a complete chestnutloft cluster in one process: keepers, entries and stand-in endpoints on
//! loopback, for trying it out and for failure tests.

pub mod client;
pub mod cluster;
pub mod example;
pub mod sample;
