//! Client and text output of the operators' command line.

pub mod client;
pub mod print;
