//! The numbered set of voters, and how a majority of it decides on the next one. A set n has one register, which holds its successor:
//! `Register` is what one voter of n has of it on its disk, `Change` the one who asks them. A single decree, by ballots. No I/O.
//!
//! Held always, tried to be broken by `tests/sets.rs`:
//! - of one set there is one successor: whoever learns it learns the same;
//! - a voter that has accepted a successor is sealed, for good: it has that on its disk before it says so, and under n it says yes to
//!   nothing else any more;
//! - a successor is decided once a majority of n has accepted it under one ballot, so that a majority of n is sealed by then;
//! - whoever carries a change on takes the successor that was accepted under the highest ballot it is told of, not its own.
use std::collections::{BTreeMap, BTreeSet};

use notchspool::units::Micros;
use serde::{Deserialize, Serialize};

use crate::{Ballot, ContenderId, Token};

/// Members of a set at most.
pub const MOST_MEMBERS: usize = 9;

/// A voter's machine in one life of its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    pub address: String,
    /// Which life of its disk: 0 since the first start of all, drawn later.
    pub incarnation: u64,
    /// Empty where nobody has told it yet.
    #[serde(default)]
    pub zone: String,
}

/// Who votes. Number 0: not known.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoterSet {
    pub number: u64,
    /// By address, so that all know them by the same places.
    pub members: Vec<Member>,
}

impl VoterSet {
    /// The first set: those that all are told at the first start of all.
    pub fn first(seeds: &[String]) -> VoterSet {
        let addresses: BTreeSet<&String> = seeds.iter().collect();
        let member = |a: &String| Member { address: a.clone(), ..Member::default() };
        VoterSet { number: 1, members: addresses.into_iter().take(MOST_MEMBERS).map(member).collect() }
    }

    pub fn of(number: u64, mut members: Vec<Member>) -> VoterSet {
        members.sort();
        VoterSet { number, members }
    }

    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    pub fn place(&self, address: &str) -> Option<usize> {
        self.members.iter().position(|m| m.address == address)
    }

    /// The place of this address in this incarnation.
    pub fn seat(&self, address: &str, incarnation: u64) -> Option<usize> {
        self.place(address).filter(|at| self.members[*at].incarnation == incarnation)
    }

    pub fn addresses(&self) -> Vec<String> {
        self.members.iter().map(|m| m.address.clone()).collect()
    }

    /// Whether it can be a set at all.
    pub fn sound(&self) -> bool {
        let ordered = self.members.windows(2).all(|m| m[0].address < m[1].address);
        self.number > 0 && ordered && (1..=MOST_MEMBERS).contains(&self.members.len())
    }

    /// Whether it can come after this one.
    fn follows(&self, old: &VoterSet) -> bool {
        self.sound() && self.number == old.number + 1
    }
}

impl std::fmt::Display for VoterSet {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "set {} holds:", self.number)?;
        self.members.iter().try_for_each(|m| write!(f, " {}/{:x}", m.address, m.incarnation))
    }
}

/// What one voter of a set has of its successor. On its disk before it answers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Register {
    pub promised: Ballot,
    pub accepted: Option<(Ballot, VoterSet)>,
}

/// What a voter says of a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Reply {
    /// And the successor it had accepted.
    Promised(Option<(Ballot, VoterSet)>),
    Accepted,
    Refused(Ballot),
}

impl Register {
    pub fn sealed(&self) -> bool {
        self.accepted.is_some()
    }

    /// The answer, and whether the register has changed.
    pub fn prepare(&mut self, ballot: Ballot) -> (Reply, bool) {
        if ballot < self.promised {
            return (Reply::Refused(self.promised), false);
        }
        let changed = ballot > self.promised;
        self.promised = ballot;
        (Reply::Promised(self.accepted.clone()), changed)
    }

    /// Accepts the successor of `set`, and is sealed with it.
    pub fn accept(&mut self, set: &VoterSet, ballot: Ballot, next: &VoterSet) -> (Reply, bool) {
        if ballot < self.promised || !next.follows(set) {
            return (Reply::Refused(self.promised), false);
        }
        let accepted = Some((ballot, next.clone()));
        let changed = self.accepted != accepted || self.promised != ballot;
        (self.promised, self.accepted) = (ballot, accepted);
        (Reply::Accepted, changed)
    }

    /// Told that `next` is decided: nothing under the old set after this.
    pub fn seal(&mut self, next: &VoterSet) -> bool {
        let new = self.accepted.is_none();
        if new {
            self.accepted = Some((self.promised, next.clone()));
        }
        new
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    Preparing,
    Accepting(VoterSet),
    /// Refused: not before this.
    Pausing(Micros),
}

/// A change that somebody carries through: all voters of `set` are asked till a majority has accepted one successor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    set: VoterSet,
    wanted: VoterSet,
    me: ContenderId,
    ballot: Ballot,
    phase: Phase,
    heard: BTreeMap<usize, Reply>,
    pub began: Micros,
    again_at: Micros,
    refused: u32,
}

/// Voters that have not answered are asked again after this.
const AGAIN: Micros = Micros::ms(150);
/// Pause after a refusal, doubled for each in a row, and up to three times that by chance.
const PAUSE: Micros = Micros::ms(10);

/// To be asked of these places: a promise, or with a set that it be accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AskAll {
    pub places: Vec<usize>,
    pub ballot: Ballot,
    pub next: Option<VoterSet>,
}

impl Change {
    /// `me`: drawn at the start of the process, so that no two use one ballot. `above`: a round that others have used.
    pub fn begin(
        now: Micros,
        set: VoterSet,
        wanted: VoterSet,
        me: ContenderId,
        above: u64,
    ) -> (Change, AskAll) {
        let ballot = Ballot { token: Token(0), round: above, by: me };
        let mut change = Change {
            set,
            wanted,
            me,
            ballot,
            phase: Phase::Preparing,
            heard: BTreeMap::new(),
            began: now,
            again_at: now,
            refused: 0,
        };
        let ask = change.prepare(now);
        (change, ask)
    }

    fn prepare(&mut self, now: Micros) -> AskAll {
        self.ballot = Ballot { token: Token(0), round: self.ballot.round + 1, by: self.me };
        self.phase = Phase::Preparing;
        self.heard.clear();
        self.ask(now)
    }

    fn ask(&mut self, now: Micros) -> AskAll {
        self.again_at = now + AGAIN;
        let next = match &self.phase {
            Phase::Accepting(next) => Some(next.clone()),
            _ => None,
        };
        let places = (0..self.set.members.len()).filter(|at| !self.heard.contains_key(at)).collect();
        AskAll { places, ballot: self.ballot, next }
    }

    pub fn set(&self) -> &VoterSet {
        &self.set
    }

    /// It has not come so far that a voter may be sealed by it.
    pub fn harmless(&self) -> bool {
        !matches!(self.phase, Phase::Accepting(_))
    }

    /// A voter's reply to what was asked under this ballot: what is to be asked next, and the successor once it is decided.
    pub fn hear(
        &mut self,
        now: Micros,
        from: usize,
        ballot: Ballot,
        reply: Reply,
        jitter: f64,
    ) -> (Option<AskAll>, Option<VoterSet>) {
        if ballot != self.ballot || from >= self.set.members.len() {
            return (None, None);
        }
        let fits = match (&self.phase, &reply) {
            (Phase::Preparing, Reply::Promised(_)) | (Phase::Accepting(_), Reply::Accepted) => true,
            (Phase::Preparing | Phase::Accepting(_), Reply::Refused(promised)) => {
                self.ballot.round = self.ballot.round.max(promised.round);
                self.refused = (self.refused + 1).min(5);
                let span = PAUSE.times(f64::from(1u32 << self.refused) * (0.5 + jitter));
                self.phase = Phase::Pausing(now + span);
                false
            }
            _ => false,
        };
        if !fits {
            return (None, None);
        }
        self.heard.insert(from, reply);
        if self.heard.len() < self.set.majority() {
            return (None, None);
        }
        match &self.phase {
            Phase::Accepting(next) => (None, Some(next.clone())),
            _ => {
                let told = self.heard.values().filter_map(|r| match r {
                    Reply::Promised(accepted) => accepted.clone(),
                    _ => None,
                });
                let next = told.max_by_key(|a| a.0).map_or(self.wanted.clone(), |a| a.1);
                self.phase = Phase::Accepting(next);
                self.heard.clear();
                (Some(self.ask(now)), None)
            }
        }
    }

    /// Time has passed.
    pub fn wake(&mut self, now: Micros) -> Option<AskAll> {
        match &self.phase {
            Phase::Pausing(until) if *until <= now => Some(self.prepare(now)),
            Phase::Pausing(_) => None,
            _ if self.again_at <= now => Some(self.ask(now)),
            _ => None,
        }
    }
}
