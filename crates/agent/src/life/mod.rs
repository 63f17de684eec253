//! Start, what is told, and the orderly end.
pub mod run;
pub mod start;
pub mod stop;
