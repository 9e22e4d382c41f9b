//! What the operators' command line is made of.

pub mod client;
pub mod print;
