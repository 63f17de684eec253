//! An experiment as a text file, and what it comes to.
pub mod file;
pub mod read;
pub mod ship;

pub use read::{Arm, Must, Plan, Seen};
