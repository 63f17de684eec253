//! Which instances of a fleet are there: they hold leases and renew them. No I/O; time and randomness are handed in.
//!
//! A lease that expires is a sign that its instance is gone, not a proof; many that expire together are a sign of a fault at the
//! observer, and are held instead of being declared gone.
//!
//! Invariants, tried by random histories in `tests/lease_table.rs`: the epochs of a name only grow, and calls of an earlier epoch are fenced
//! off; no instance is declared gone while the guard holds; renewals are admitted before new names; what is kept is bounded by the
//! instances that are there or were there lately.
#![warn(missing_docs, clippy::missing_errors_doc)]

pub mod admission;
pub mod lease_table;
