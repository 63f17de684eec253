//! Keyed operations. `rack`: what one voter keeps of the claims; `round`: one claim at all voters; `coats`: what the usher beside a
//! backend keeps of the operations that it claimed. No I/O; times are of a steady clock and handed in.
//!
//! Held always, tried to be broken by `tests/claims.rs`:
//! - one voter grants a key to one ticket at a time, and says so only once that is on its disk;
//! - a key runs only while more than half of the voters of one set grant it to one ticket, all under the number of that set;
//! - a claim is taken back only by who knows that it has not run and never will;
//! - a voter forgets a claim only a whole window after it granted it, by its own steady clock, begun anew with each start.
pub mod coats;
pub mod rack;
pub mod round;
