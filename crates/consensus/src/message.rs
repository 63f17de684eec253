//! What is asked of a voter, and its responses. In JSON the names are those of the first release.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Ballot, ContenderId, Entries, Lease, Space, SpaceState, VoterId};

/// A request to a voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Request {
    /// Phase 1: to promise that no lower ballot counts any more, and to tell what was accepted.
    Prepare {
        /// Which registers.
        space: Space,
        /// The number of the proposal.
        ballot: Ballot,
    },
    /// Phase 2: to accept these values under this ballot, all or none.
    Accept {
        /// Which registers.
        space: Space,
        /// The number of the proposal.
        ballot: Ballot,
        /// The number of the write under its ballot.
        #[serde(rename = "nth")]
        sequence: u64,
        /// Keys and their new values.
        changes: Vec<(String, String)>,
        /// A lease that is granted with them.
        lease: Option<Lease>,
    },
    /// To tell what it has, without any promise.
    #[serde(rename = "look")]
    Read {
        /// Which registers.
        space: Space,
    },
    /// A voter that lost its disk asks for all there is (see [`crate::acceptor_recovery`]).
    Readmit {
        /// Who asks.
        voter: VoterId,
        /// The incarnation of its new disk.
        #[serde(rename = "life")]
        incarnation: u64,
    },
}

/// A voter's reply to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Reply {
    /// To a prepare: promised.
    Promised {
        /// What it has accepted so far.
        entries: Entries,
    },
    /// To an accept: accepted.
    Accepted,
    /// A higher ballot was promised.
    #[serde(rename = "refused")]
    Rejected {
        /// That ballot.
        promised: Ballot,
        /// The name of the owner as far as this voter knows; empty where it knows none.
        owner: String,
    },
    /// Another contender holds a lease, or was promised just now: to be asked again after the time that remains.
    #[serde(rename = "held")]
    LeaseHeld {
        /// Who holds it.
        #[serde(rename = "by")]
        holder: ContenderId,
        /// Microseconds until it ends.
        #[serde(rename = "left_us")]
        remaining_us: i64,
    },
    /// To a read.
    #[serde(rename = "seen")]
    Current {
        /// The highest ballot promised.
        promised: Ballot,
        /// What it has accepted.
        entries: Entries,
    },
    /// To a readmission: all it knows.
    #[serde(rename = "all")]
    FullState {
        /// Every space that it keeps.
        spaces: Vec<SpaceState>,
    },
    /// To a readmission: the incarnation that was named is not newer than the one known here.
    #[serde(rename = "old-life")]
    StaleIncarnation {
        /// The incarnation known here.
        known: u64,
    },
    /// It has no disk of its own yet, or can't write to it: it does not vote.
    #[serde(rename = "no-vote")]
    Unavailable {
        /// For people.
        #[serde(rename = "why")]
        reason: String,
    },
}

/// A voter's reply, with its own incarnation and those of the others as it knows them.
///
/// A response of an earlier incarnation does not count beside one that knows of a later (see [`crate::proposal`]).
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Response {
    /// The incarnation of the voter's disk.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Incarnations of the others' disks.
    #[serde(rename = "lives")]
    pub known_incarnations: BTreeMap<VoterId, u64>,
    /// The reply itself.
    #[serde(rename = "said")]
    pub reply: Reply,
}
