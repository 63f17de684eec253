//! What is told of a run: a sheet that can be kept, a table for the terminal, a page with plots.
pub mod page;
pub mod plot;
pub mod sheet;
pub mod table;

pub use sheet::Sheet;
