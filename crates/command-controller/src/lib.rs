//! Decisions of the owner of a fleet's commands: which instances there are, which commands were accepted, and to how many instances
//! at once a command may be sent. No I/O: the time is handed in; what is to be written and what is to be sent comes back as values.
//!
//! [`Controller`] coordinates parts that each own their state: [`instances`] (leases), [`commands`] (the log), [`dispatch`] (what was sent when),
//! [`traffic`] (what agents report of their requests). It is opened with what the registers hold, so that an owner goes on from where
//! the last one was, whatever it believed itself.
//!
//! Invariants (`tests/controller.rs`): nothing is sent before the state that says so is written; a command that was accepted is found by its
//! id, and is the same one; never more than the stated fraction of a zone or of the fleet is unavailable by its doing; a controller opened
//! with what another one wrote says the same of every pair of command and instance.
#![warn(missing_docs, clippy::missing_errors_doc)]

pub mod commands;
pub mod controller;
pub mod dispatch;
pub mod disruption_budget;
pub mod instances;
pub mod records;
pub mod status;
pub mod traffic;

pub use commands::{Accepted, RejectedCommand};
pub use controller::{Controller, Flush, Policy};
pub use dispatch::Dispatch;
pub use status::state_name;
