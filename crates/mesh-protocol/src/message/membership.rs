//! Voter sets: how they are changed, and how a voter's state reaches another.
use prost::Message;

use super::claim::Claim;
use super::config::{Ballot, Vote};

/// A voter's machine with one incarnation of its disk.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Member {
    /// Where the others reach it, `ip:port`.
    #[prost(string, tag = "1")]
    pub address: String,
    /// The incarnation of its disk.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Its zone.
    #[prost(string, tag = "3")]
    pub zone: String,
}

/// Who votes, by index.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct VoterSet {
    /// Up by one with each change.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The members.
    #[prost(message, repeated, tag = "2")]
    pub members: Vec<Member>,
}

/// A request on the successor of a voter set: to promise, or with a set to accept it and be sealed.
#[derive(Clone, PartialEq, Message)]
pub struct ReconfigRequest {
    /// The number of the set whose successor this is about.
    #[prost(uint64, tag = "1")]
    pub set_number: u64,
    /// The ballot of the proposal.
    #[prost(message, optional, tag = "2")]
    pub ballot: Option<Ballot>,
    /// `None` in phase 1, the successor in phase 2.
    #[prost(message, optional, tag = "3")]
    pub next: Option<VoterSet>,
}

/// The reply to a [`ReconfigRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct ReconfigReply {
    /// The number of the set whose successor this is about.
    #[prost(uint64, tag = "1")]
    pub set_number: u64,
    /// The ballot that was asked under.
    #[prost(message, optional, tag = "2")]
    pub ballot: Option<Ballot>,
    /// The voter's index in the set.
    #[prost(uint32, tag = "3")]
    pub voter: u32,
    /// The decision.
    #[prost(enumeration = "Vote", tag = "4")]
    pub vote: i32,
    /// The highest ballot promised, where it rejected.
    #[prost(message, optional, tag = "5")]
    pub promised: Option<Ballot>,
    /// The ballot under which it had accepted `next`.
    #[prost(message, optional, tag = "6")]
    pub accepted_ballot: Option<Ballot>,
    /// The successor that it had accepted.
    #[prost(message, optional, tag = "7")]
    pub next: Option<VoterSet>,
}

/// Asks for the state with which a set is installed.
#[derive(Clone, PartialEq, Message)]
pub struct StateRequest {
    /// The set that is to be installed.
    #[prost(message, optional, tag = "1")]
    pub set: Option<VoterSet>,
    /// The set before it.
    #[prost(message, optional, tag = "2")]
    pub previous: Option<VoterSet>,
}

/// All that a voter has under a set.
#[derive(Clone, PartialEq, Message)]
pub struct VoterState {
    /// The voter's index in the set.
    #[prost(uint32, tag = "1")]
    pub voter: u32,
    /// The highest ballot promised on the register of configurations.
    #[prost(message, optional, tag = "5")]
    pub promised: Option<Ballot>,
    /// The ballot under which it accepted `body`.
    #[prost(message, optional, tag = "6")]
    pub accepted_ballot: Option<Ballot>,
    /// The register's value that it accepted.
    #[prost(string, optional, tag = "7")]
    pub body: Option<String>,
    /// Claims inside their window.
    #[prost(message, repeated, tag = "8")]
    pub claims: Vec<Claim>,
    /// The set whose state this is. Of the one before the set that is to be installed: the speaker is sealed on its disk.
    #[prost(uint64, tag = "9")]
    pub set_number: u64,
}

/// What was handed over is on the disk here.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct HandoverReply {
    /// The number of the voter set.
    #[prost(uint64, tag = "1")]
    pub set_number: u64,
    /// The index of the voter that took it over.
    #[prost(uint32, tag = "2")]
    pub voter: u32,
}
