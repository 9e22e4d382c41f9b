//! Stand-ins (mock servers) for the systems around chestnutloft: model engines, plain services and
//! the rating service. They implement docs/PROTOCOLS.md and can inject faults on request.
//! The crate also holds the load generator.

pub mod announcer;
pub mod engine;
pub mod load;
pub mod plain;
pub mod rating;
pub mod text;
