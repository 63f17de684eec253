//! Messages between the processes of a fleet: controllers, agents, the command line and the lab. Each is one line of JSON with the
//! number of its format and the name of its fleet. This package is the only one that reads and writes them.
//!
//! It has no sockets but for [`client`], a blocking client for one question and one answer.
//!
//! Invariant: a message of another fleet, of an unknown format or without sense is refused as a [`DecodeError`], which the reader
//! counts, and nothing of it takes effect. The names in JSON are those of the first release; `tests/golden` holds them.
#![warn(missing_docs, clippy::missing_errors_doc)]

pub mod client;
pub mod command;
pub mod controller_status;
pub mod instance;
pub mod message;
pub mod owner_search;

pub use command::{CommandRequest, CommandStatus, Selector};
pub use controller_status::{ControllerStatus, OwnerReference, VoterStatus};
pub use instance::{InstanceReport, InstanceStatus, LeaseStatus, ServiceCommand};
pub use message::{Body, DecodeError, Message};

/// The format that is written.
pub const FORMAT: u32 = 1;
/// The formats that are read.
pub const READABLE_FORMATS: [u32; 1] = [1];

/// The longest line, in bytes: a voter's whole state has to fit.
pub const MAX_LINE_BYTES: usize = 8 * 1024 * 1024;
/// The longest line of agents and operators, in bytes.
pub const MAX_SHORT_LINE_BYTES: usize = 64 * 1024;
/// The longest name, zone, author or identifier, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Whether a text may name a fleet or a process of it: 1 to 64 ASCII letters, digits, `-`, `_` and `.`.
pub fn is_valid_name(text: &str) -> bool {
    let characters = text.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && characters
}
