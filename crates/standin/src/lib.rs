//! Stand-ins for the systems around chestnutloft: model engines, plain services and the rating
//! service. They speak docs/PROTOCOLS.md and misbehave on request.

pub mod announcer;
pub mod engine;
pub mod load;
pub mod plain;
pub mod rating;
pub mod text;
