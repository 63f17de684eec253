//! The voter sets that a replica knows, and its part in changing them.
use std::collections::{BTreeMap, VecDeque};

use notchspool::units::Micros;
use notchspool_consensus::reconfiguration::Reconfiguration;
use notchspool_consensus::voter_set::{SuccessorRegister, VoterSet};
use notchspool_storage::MembershipRecord;

/// Incarnations of one machine that are remembered as over.
const MAX_RETIRED: usize = 16;

/// Incarnations of disks that a later set has replaced, by address, as far as this process has learnt of it.
#[derive(Debug, Default)]
pub(super) struct RetiredIncarnations(BTreeMap<String, VecDeque<u64>>);

impl RetiredIncarnations {
    /// Whether a later set has replaced this incarnation.
    pub fn contains(&self, address: &str, incarnation: u64) -> bool {
        self.0.get(address).is_some_and(|retired| retired.contains(&incarnation))
    }

    /// `set` has replaced `old` sets: what was heard of their incarnations, or still is on its way, never brings them back.
    fn replace<'a>(&mut self, old: impl Iterator<Item = &'a VoterSet>, set: &VoterSet) {
        for member in old.flat_map(|old| &old.members) {
            let current = set.position(&member.address).map(|position| set.members[position].incarnation);
            if current.is_some_and(|incarnation| incarnation != member.incarnation) {
                self.insert(&member.address, member.incarnation);
            }
        }
        self.0.retain(|address, _| set.position(address).is_some());
    }

    fn insert(&mut self, address: &str, incarnation: u64) {
        let retired = self.0.entry(address.to_string()).or_default();
        if !retired.contains(&incarnation) {
            retired.push_back(incarnation);
        }
        if retired.len() > MAX_RETIRED {
            retired.pop_front();
        }
    }
}

/// The voter sets and their successor.
#[derive(Debug, Default)]
pub(super) struct Membership {
    /// The incarnation of the disk here.
    pub incarnation: u64,
    /// The last set that is known to be decided; number 0 where none is.
    pub set: VoterSet,
    /// The set before, where that is known.
    pub previous: Option<VoterSet>,
    pub retired: RetiredIncarnations,
    /// What this replica has of the successor of the set that it votes in.
    pub register: SuccessorRegister,
    /// The register is on its way to the disk.
    pub register_unsynced: bool,
    /// Sealed: when the change is taken up from here.
    pub resume_at: Option<Micros>,
    /// A change that is carried through here.
    pub reconfiguration: Option<Reconfiguration>,
    /// Since when another set is wanted.
    pub wanted_since: Option<Micros>,
    /// The last set that was proposed from here, for the log.
    pub last_proposed: u64,
}

impl Membership {
    /// Whether any set is known.
    pub fn is_known(&self) -> bool {
        self.set.number > 0
    }

    /// The position in the set of the replica at this address, with the disk here.
    pub fn own_position(&self, own_address: &str) -> Option<usize> {
        self.set.position_of(own_address, self.incarnation)
    }

    /// The membership as it is kept on the disk.
    pub fn record(&self) -> MembershipRecord {
        MembershipRecord {
            incarnation: self.incarnation,
            set: self.set.clone(),
            previous: self.previous.clone(),
            register: self.register.clone(),
        }
    }

    /// Whether a machine belongs to the set, or to the one before.
    pub fn is_in_known_sets(&self, address: &str) -> bool {
        let in_previous = self.previous.as_ref().is_some_and(|previous| previous.position(address).is_some());
        self.set.position(address).is_some() || in_previous
    }

    /// From here on this set is the one that is known.
    pub fn adopt(&mut self, set: VoterSet, previous: Option<VoterSet>) {
        let old = std::mem::replace(&mut self.set, set);
        self.previous = previous.filter(|previous| previous.number + 1 == self.set.number);
        self.retired.replace([&old].into_iter().chain(&self.previous), &self.set);
        self.reconfiguration = None;
        self.wanted_since = None;
        self.resume_at = None;
    }
}
