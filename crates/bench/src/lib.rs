//! Benchmarks of the core. Policies are compared by discrete-event simulation: endpoints are queueing
//! models, and every policy runs on the same workload, generated from a seed. Capacity is measured on
//! the core's own functions.

pub mod capacity;
pub mod endpoint_model;
pub mod oracle;
pub mod report;
pub mod scenario;
pub mod simulation;
pub mod workload;
