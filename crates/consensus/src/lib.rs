//! Registers agreed by a majority of voters, and leases built on them. No I/O: time and chance are handed in; what has to be durable or
//! sent comes back as a value.
//!
//! The protocol is `CASPaxos` (Rystsov, "`CASPaxos`: Replicated State Machines without logs", 2018): a register for each key, changed by a
//! prepare and an accept under a ballot, without a log. [`acceptor`] is the voter's side and [`proposal`] the count of its replies. On
//! these registers [`lease_owner`] elects the owner of a job, whose writes and effects carry a fencing token ([`fencing`]).
//! [`acceptor_recovery`] brings back a voter that lost its disk; [`voter_set`] and [`reconfiguration`] replace the voters themselves.
//!
//! Invariants, each with a test that tries to break it (`tests/walk.rs`, `tests/drawn`, `tests/sets.rs`):
//! - a token is given to one owner only, and later owners have larger ones;
//! - the leases of two owners never run at one moment, while clocks drift within [`Parameters::drift_ppm`];
//! - what was acknowledged as written is what every later owner begins with;
//! - a place that has admitted a token does nothing under an older one, whatever owners believe of their leases;
//! - a voter without its disk promises and accepts nothing until a majority's worth of the others has told it all they know.
#![warn(missing_docs, clippy::missing_errors_doc)]

pub mod acceptor;
pub mod acceptor_recovery;
pub mod fencing;
mod identifiers;
pub mod lease_owner;
mod message;
mod parameters;
pub mod proposal;
pub mod reconfiguration;
mod register;
pub mod voter_set;

pub use identifiers::{Ballot, ContenderId, Token, VoterId};
pub use message::{Reply, Request, Response};
pub use parameters::Parameters;
pub use register::{Entries, Entry, Lease, OWNER_KEY, OwnerRecord, Space, SpaceState};
