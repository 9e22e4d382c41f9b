//! Tests of admission control without a network: what callers get where demand exceeds capacity.

mod class_reserve;
mod pool;
mod queue;
mod refusals;
mod surges;
