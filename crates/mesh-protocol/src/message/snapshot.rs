//! Snapshots and their chunks (see `crate::snapshot`).
use bytes::Bytes;
use prost::Message;

use super::claim::Claim;
use super::config::Ballot;

/// All that one voter has in one set: what another begins with.
#[derive(Clone, PartialEq, Message)]
pub struct Snapshot {
    /// The number of the voter set.
    #[prost(uint64, tag = "1")]
    pub set_number: u64,
    /// The voter's membership, as its file has it.
    #[prost(bytes = "bytes", tag = "2")]
    pub membership: Bytes,
    /// The highest ballot promised on the register of configurations.
    #[prost(message, optional, tag = "3")]
    pub promised: Option<Ballot>,
    /// The ballot under which `body` was accepted.
    #[prost(message, optional, tag = "4")]
    pub accepted_ballot: Option<Ballot>,
    /// The register's value that was accepted, with its version in front.
    #[prost(string, optional, tag = "5")]
    pub body: Option<String>,
    /// Claims inside their window.
    #[prost(message, repeated, tag = "6")]
    pub claims: Vec<Claim>,
    /// The index in that set of the voter whose state it is.
    #[prost(uint32, tag = "7")]
    pub voter: u32,
}

/// Bytes of a snapshot from an offset.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotChunk {
    /// Digest of the encoded snapshot.
    #[prost(bytes = "bytes", tag = "1")]
    pub id: Bytes,
    /// Where these bytes begin.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// Bytes of the encoded snapshot.
    #[prost(uint64, tag = "3")]
    pub total_bytes: u64,
    /// The bytes.
    #[prost(bytes = "bytes", tag = "4")]
    pub bytes: Bytes,
}

/// Asks for the bytes of a snapshot from an offset on.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotRequest {
    /// Which snapshot; empty for any.
    #[prost(bytes = "bytes", tag = "1")]
    pub id: Bytes,
    /// Where the bytes begin.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
}
