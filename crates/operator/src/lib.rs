//! Client, configuration check and text output of the operators' command line.

pub mod client;
pub mod config_check;
pub mod print;
