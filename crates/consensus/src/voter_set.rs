//! The numbered set of voters, and the register in which one voter of a set keeps that set's successor.
//!
//! Set `n` has one register, which holds its successor; it is decided as a single decree, by ballots (`reconfiguration`).
//!
//! Invariants, tried to be broken by `tests/sets.rs`:
//! - of one set there is one successor: whoever learns it learns the same;
//! - a voter that has accepted a successor is sealed for good: it has that on its disk before it replies, and accepts nothing else under
//!   its set any more.
use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::Ballot;

/// Members of a set at most.
pub const MAX_MEMBERS: usize = 9;

/// A voter's machine with one incarnation of its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Where the others reach it, `ip:port`.
    pub address: String,
    /// The incarnation of its disk: 0 since the first start of all, drawn later.
    pub incarnation: u64,
    /// Its zone; empty where it is not known yet.
    #[serde(default)]
    pub zone: String,
}

/// Who votes. Number 0 stands for "not known".
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoterSet {
    /// Up by one with each change.
    pub number: u64,
    /// By address, so that all know them by the same index.
    pub members: Vec<Member>,
}

impl VoterSet {
    /// The first set: the seeds that every machine is given at the first start of all.
    pub fn first(seeds: &[String]) -> VoterSet {
        let addresses: BTreeSet<&String> = seeds.iter().collect();
        let member = |address: &String| Member { address: address.clone(), ..Member::default() };
        VoterSet { number: 1, members: addresses.into_iter().take(MAX_MEMBERS).map(member).collect() }
    }

    /// A set of these members.
    pub fn new(number: u64, mut members: Vec<Member>) -> VoterSet {
        members.sort();
        VoterSet { number, members }
    }

    /// The least number of members that overlaps every other such number.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// The index of the member at this address.
    pub fn position(&self, address: &str) -> Option<usize> {
        self.members.iter().position(|member| member.address == address)
    }

    /// The index of the member at this address with this incarnation of its disk.
    pub fn position_of(&self, address: &str, incarnation: u64) -> Option<usize> {
        self.position(address).filter(|index| self.members[*index].incarnation == incarnation)
    }

    /// Addresses of all members.
    pub fn addresses(&self) -> Vec<String> {
        self.members.iter().map(|member| member.address.clone()).collect()
    }

    /// Whether it can be a set at all: numbered, not empty, not too large, in order.
    pub fn is_valid(&self) -> bool {
        let ordered = self.members.windows(2).all(|pair| pair[0].address < pair[1].address);
        self.number > 0 && ordered && (1..=MAX_MEMBERS).contains(&self.members.len())
    }

    /// Whether it can come after `old`.
    fn is_successor_of(&self, old: &VoterSet) -> bool {
        self.is_valid() && self.number == old.number + 1
    }
}

impl std::fmt::Display for VoterSet {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "voter set {}:", self.number)?;
        self.members.iter().try_for_each(|m| write!(f, " {}/{:x}", m.address, m.incarnation))
    }
}

/// A successor of a set, with the ballot under which it was accepted.
pub type AcceptedSet = (Ballot, VoterSet);

/// What one voter of a set keeps of the set's successor. On its disk before it replies.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SuccessorRegister {
    /// The highest ballot promised.
    pub promised: Ballot,
    /// The successor accepted last; with it the voter is sealed.
    pub accepted: Option<AcceptedSet>,
}

/// A voter's reply to one who changes the set.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum SuccessorReply {
    /// Promised; and the successor that it had accepted.
    Promised(Option<AcceptedSet>),
    /// Accepted.
    Accepted,
    /// This higher ballot was promised.
    Rejected(Ballot),
}

impl SuccessorRegister {
    /// Whether a successor was accepted: nothing is granted under the old set any more.
    pub fn is_sealed(&self) -> bool {
        self.accepted.is_some()
    }

    /// Phase 1. The reply, and whether the register has changed.
    pub fn prepare(&mut self, ballot: Ballot) -> (SuccessorReply, bool) {
        if ballot < self.promised {
            return (SuccessorReply::Rejected(self.promised), false);
        }
        let changed = ballot > self.promised;
        self.promised = ballot;
        (SuccessorReply::Promised(self.accepted.clone()), changed)
    }

    /// Phase 2: accepts `next` as the successor of `set`, and is sealed by it. The reply, and whether the register has changed.
    pub fn accept(&mut self, set: &VoterSet, ballot: Ballot, next: &VoterSet) -> (SuccessorReply, bool) {
        if ballot < self.promised || !next.is_successor_of(set) {
            return (SuccessorReply::Rejected(self.promised), false);
        }
        let accepted = Some((ballot, next.clone()));
        let changed = self.accepted != accepted || self.promised != ballot;
        self.promised = ballot;
        self.accepted = accepted;
        (SuccessorReply::Accepted, changed)
    }

    /// Learns that `next` is decided. Whether that has sealed it just now.
    pub fn seal(&mut self, next: &VoterSet) -> bool {
        let newly_sealed = self.accepted.is_none();
        if newly_sealed {
            self.accepted = Some((self.promised, next.clone()));
        }
        newly_sealed
    }
}
