//! `FastCGI` 1.0, both sides of it, from the public specification: records, name-value pairs, what a server takes and a client asks. No sockets: bytes
//! go in as they come, cut anywhere; values and bytes come out. All is bounded by what the caller states, and bad input gets an error that says what
//! was wrong.
#![warn(missing_docs, clippy::missing_errors_doc)]

pub mod cgi;
pub mod client;
pub mod error;
pub mod pairs;
pub mod protocol;
pub mod record;
pub mod server;

pub use error::ProtocolError;
