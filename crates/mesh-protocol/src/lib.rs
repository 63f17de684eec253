//! Messages between the mesh's own processes: their forms, their limits, and how they lie on a connection.
//!
//! [`encode`] and [`decode`] put one [`Payload`] into a frame and take it out. What is not of a known form is an error, counted by the
//! host, never a panic. Large texts travel as differences ([`text_transfer`], [`delta`]), snapshots in chunks ([`snapshot`]).
//!
//! The forms are protocol buffers: names may change, tags and types may not, since an upgrade runs with processes of both builds
//! (`tests/golden.rs`).
#![warn(missing_docs, clippy::missing_errors_doc)]

pub mod delta;
mod frame;
mod message;
pub mod snapshot;
pub mod text_transfer;

pub use frame::{Frame, FrameError, MAX_FRAME_BYTES, MAX_HEADERS, MIN_HEADERS, Payload, decode, encode};
pub use message::claim::{Claim, ClaimReply, ClaimVote, Ticket, WithdrawClaim};
pub use message::config::{
    Ballot, ConfigRequest, ConfigUpdate, KnownVersion, MAX_CONFIG_BYTES, Vote, VoteReply, VoteRequest,
};
pub use message::connection::{CallerShutdown, GoAway, Hello, Ping, Role, Welcome};
pub use message::endpoint::{
    Age, DepartedInstance, DepartureReport, Endpoint, EndpointState, EndpointUpdate, LivenessReport,
    UnwatchEndpoints, WatchEndpoints,
};
pub use message::exchange::{
    BodyChunk, BodyConsumed, Cancel, FetchResponse, Header, Request, Response, Verdict,
};
pub use message::membership::{
    HandoverReply, Member, ReconfigReply, ReconfigRequest, StateRequest, VoterSet, VoterState,
};
pub use message::snapshot::{Snapshot, SnapshotChunk, SnapshotRequest};
pub use message::text::{MissingText, Text, TextEnvelope};
