//! Keyed operations: each idempotency key runs once, and a repeat gets the first response. No I/O; times are of a monotonic clock and
//! handed in.
//!
//! [`claim_table`] is what one voter keeps of the claims; [`claim_proposal`] is one claim at all voters; [`response_cache`] is what the
//! proxy beside a backend keeps of the operations that it claimed.
//!
//! Invariants, tried to be broken by `tests/claims.rs`:
//! - one voter grants a key to one ticket at a time, and replies so only once that is on its disk;
//! - a key runs only while a majority of the voters of one set grants it to one ticket, all under the number of that set;
//! - a claim is taken back only by who knows that it has not run and never will;
//! - a voter forgets a claim only a whole window after it granted it, by its own monotonic clock, begun anew with each start.
#![warn(missing_docs, clippy::missing_errors_doc)]

pub mod claim_proposal;
pub mod claim_table;
pub mod response_cache;
