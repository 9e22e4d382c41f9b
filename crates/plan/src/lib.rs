//! The planners' sheet: a folder of CSV files or a workbook, read whole and checked whole.
//!
//! [`source`] yields rows, [`row`] reads typed cells, [`sheets`] knows the columns of each sheet,
//! [`read`] puts the declaration together, and [`write`] turns one back into sheets.

pub mod read;
pub mod row;
pub mod sheets;
pub mod source;
pub mod write;

pub use read::{ReadPlan, read_plan, read_source};
pub use source::SheetSource;
