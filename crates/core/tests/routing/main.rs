//! Tests of the replicated routing state and of the decisions that entries make from it.

mod body_memory;
mod budgets;
mod canary;
mod declaration;
mod directory;
mod endpoint_rest;
mod escalation;
mod fixture;
mod health;
mod journal;
mod leaving_endpoints;
mod load_aggregation;
mod placement;
mod rate_limits;
mod relay_memory;
mod rollout;
mod segment_faults;
mod segment_knowledge;
mod sessions;
mod state;
mod table;
mod write_progress;
