//! The office of whoever owns the fleet's orders: the book of orders, the leases of instances, the waves in which orders go out, and
//! what is written of all that. Time is handed in; what is to be written and who is to be told comes back as values. It is opened
//! with what the registers hold, so that an owner goes on from where the last one was, whatever it believed itself.
//!
//! Held always (`tests/office.rs`): nobody is told of an order before that it was told is written; an order that was taken is
//! found by its id, and is the same one; never more than the stated part of a zone or of all are out by its doing; an office
//! opened with what another one wrote tells the same of every pair.
pub mod notes;
pub mod office;
pub mod wave;

pub use office::{Office, Tell, Terms};
