//! Reads and writes the plan sheets: a folder of CSV files or a workbook. A plan is validated as a
//! whole, and all findings are reported together.
//!
//! [`source`] reads rows, [`row`] parses typed cells, [`sheets`] defines the columns of each sheet,
//! [`read`] builds the declaration, and [`write`](mod@write) converts a declaration back to sheets.

pub mod read;
pub mod row;
pub mod sheets;
pub mod source;
pub mod write;

pub use read::{ReadPlan, read_plan, read_source};
pub use source::SheetSource;
