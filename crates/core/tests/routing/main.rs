//! Routes, endpoints and roll-outs: the state that keepers agree on and what entries decide.

mod allowance;
mod board;
mod declaration;
mod directory;
mod fixture;
mod health;
mod journal;
mod ladder;
mod placement;
mod rollout;
mod sessions;
mod state;
mod table;
mod verdict;
