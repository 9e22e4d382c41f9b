//! Decision logic of chestnutloft, free of I/O.
//!
//! Nothing in this crate reads a clock, opens a socket or uses a global random number generator:
//! the current time and a seeded generator are passed as arguments. The same code therefore runs in
//! the daemons, in the failure tests and in the benchmarks.
//!
//! Entries have two request paths, which share the queue and the refusals of [`admission`]. [`pipe`] selects a model version and an endpoint for each
//! request according to the [`plan`], using [`state`] and the [`ledger`]. [`routing`] decides for
//! entries that forward calls according to declared routes; its services, workspaces and endpoints
//! are separate from those of the plan. Keepers replicate the state of both, as
//! [`state::KeeperState`], through [`consensus`].

pub mod admission;
pub mod check_report;
pub mod consensus;
pub mod execution;
pub mod hash;
pub mod ids;
pub mod ledger;
pub mod limit_growth;
pub mod pipe;
pub mod plan;
pub mod routing;
pub mod state;
pub mod time;
