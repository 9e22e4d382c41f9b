//! Tests of the replicated routing state and of the decisions that entries make from it.

mod body_memory;
mod budgets;
mod canary;
mod capacity_ledger;
mod declaration;
mod declaration_check;
mod directory;
mod endpoint_pace;
mod endpoint_rest;
mod escalation;
mod fixture;
mod health;
mod journal;
mod leaving_endpoints;
mod load_aggregation;
mod placement;
mod prefix_directory;
mod rate_limits;
mod rollout;
mod segment_faults;
mod segment_knowledge;
mod sessions;
mod state;
mod table;
mod timed_placement;
