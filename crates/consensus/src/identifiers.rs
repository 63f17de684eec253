//! Numbers that identify owners, voters, contenders and proposals.
use serde::{Deserialize, Serialize};

/// A fencing token: the number of an owner of a job. Later owners have larger ones; 0 stands for "no owner yet".
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Token(
    /// The number itself.
    pub u64,
);

/// A voter, by its index in the configured list or in its [`crate::voter_set::VoterSet`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct VoterId(
    /// The index itself.
    pub u16,
);

/// One run of a contender. Drawn at its start, so that no two runs ever use the same ballot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ContenderId(
    /// The number itself.
    pub u64,
);

/// The number of a proposal; larger ones win.
///
/// Compared field by field. The token stands first, so that for the state of a job the promise of a voter is the fence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// The owner's token for the state of a job; 0 elsewhere.
    pub token: Token,
    /// Raised by a proposer above every round that it has met.
    pub round: u64,
    /// Who proposes.
    pub by: ContenderId,
}
