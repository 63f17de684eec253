//! Limits, decided without I/O.
pub mod division;
