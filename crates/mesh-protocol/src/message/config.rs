//! Configurations: the votes on the register, and what was chosen.
use bytes::Bytes;
use prost::Message;

/// Bytes of a configuration at most.
pub const MAX_CONFIG_BYTES: usize = 16 << 20;

/// A configuration that was chosen.
#[derive(Clone, PartialEq, Message)]
pub struct ConfigUpdate {
    /// The operator's number for it.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The configuration, as the operator sent it.
    #[prost(bytes = "bytes", tag = "2")]
    pub body: Bytes,
}

impl ConfigUpdate {
    /// A message with this configuration; [`crate::text_transfer`] makes it small on its way.
    pub fn new(version: u64, body: &[u8]) -> ConfigUpdate {
        ConfigUpdate { version, body: Bytes::copy_from_slice(body) }
    }

    /// The body; `None` where it is over [`MAX_CONFIG_BYTES`].
    pub fn checked_body(&self) -> Option<Vec<u8>> {
        (self.body.len() <= MAX_CONFIG_BYTES).then(|| self.body.to_vec())
    }
}

/// The number of a proposal; larger ones win.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Message)]
pub struct Ballot {
    /// Raised by a proposer above every round that it has met.
    #[prost(uint64, tag = "1")]
    pub round: u64,
    /// The proposer's boot id.
    #[prost(uint64, tag = "2")]
    pub proposer: u64,
}

/// A request on the register of configurations: to promise, or with a body to accept it.
#[derive(Clone, PartialEq, Message)]
pub struct VoteRequest {
    /// The number of the proposal at its proposer.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Its ballot.
    #[prost(message, optional, tag = "2")]
    pub ballot: Option<Ballot>,
    /// `None` in phase 1, the register's value in phase 2.
    #[prost(string, optional, tag = "3")]
    pub body: Option<String>,
    /// The number of the voter set under which it is asked.
    #[prost(uint64, tag = "4")]
    pub set_number: u64,
}

/// A voter's decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Vote {
    /// It does not vote now.
    Abstained = 0,
    /// It has promised.
    Promised = 1,
    /// It has accepted.
    Accepted = 2,
    /// A higher ballot was promised.
    Rejected = 3,
}

/// The reply to a [`VoteRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct VoteReply {
    /// The number of the proposal.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The decision.
    #[prost(enumeration = "Vote", tag = "2")]
    pub vote: i32,
    /// The highest ballot promised, where it rejected.
    #[prost(message, optional, tag = "3")]
    pub promised: Option<Ballot>,
    /// The ballot under which it had accepted `body`.
    #[prost(message, optional, tag = "4")]
    pub accepted_ballot: Option<Ballot>,
    /// What it had accepted.
    #[prost(string, optional, tag = "5")]
    pub body: Option<String>,
    /// The voter's index in the set.
    #[prost(uint32, tag = "6")]
    pub voter: u32,
    /// The number of the voter set in which it counts.
    #[prost(uint64, tag = "8")]
    pub set_number: u64,
}

/// The highest version that a replica knows to be chosen.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct KnownVersion {
    /// The version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// It has compared it with a majority since it was last cut off.
    #[prost(bool, tag = "2")]
    pub confirmed: bool,
}

/// Asks for a configuration of this version or a later one.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct ConfigRequest {
    /// The version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}
