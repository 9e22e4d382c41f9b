//! Routes, endpoints and roll-outs: the state that keepers agree on and what entries decide.

mod budgets;
mod canary;
mod declaration;
mod directory;
mod escalation;
mod fixture;
mod health;
mod journal;
mod load_aggregation;
mod placement;
mod rollout;
mod sessions;
mod state;
mod table;
