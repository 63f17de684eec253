//! How a majority of a voter set decides on the next one: the proposer's side of a single decree.
//!
//! A successor is decided once a majority of the old set has accepted it under one ballot, so that a majority of the old set is sealed
//! by then. Whoever carries a change on takes the successor that was accepted under the highest ballot it is told of, not its own.
//! `tests/sets.rs` tries to break this.
use std::collections::BTreeMap;

use notchspool::units::Micros;

use crate::voter_set::{SuccessorReply, VoterSet};
use crate::{Ballot, ContenderId, Token};

/// Voters that have not replied are asked again after this.
const RETRY_INTERVAL: Micros = Micros::ms(150);
/// Backoff after a rejection, doubled for each in a row, and up to three times that by chance.
const BACKOFF: Micros = Micros::ms(10);
/// Rejections in a row that still lengthen the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    Preparing,
    Accepting(VoterSet),
    /// Rejected: not before this.
    BackingOff(Micros),
}

/// A change that one machine carries through: all voters of the set are asked until a majority has accepted one successor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reconfiguration {
    set: VoterSet,
    wanted: VoterSet,
    proposer: ContenderId,
    ballot: Ballot,
    phase: Phase,
    replies: BTreeMap<usize, SuccessorReply>,
    /// When it was begun.
    pub started_at: Micros,
    retry_at: Micros,
    rejections: u32,
}

/// To be asked of the voters at these indexes: a promise, or with a set that it be accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuccessorRequest {
    /// Indexes in the set that is changed.
    pub positions: Vec<usize>,
    /// The number of the proposal.
    pub ballot: Ballot,
    /// `None` in phase 1, the successor in phase 2.
    pub next: Option<VoterSet>,
}

/// What follows from a reply.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// To be asked next.
    pub request: Option<SuccessorRequest>,
    /// The successor, once it is decided.
    pub decided: Option<VoterSet>,
}

impl Reconfiguration {
    /// Begins to replace `set` by `wanted`.
    ///
    /// `proposer` is drawn at the start of the process, so that no two use one ballot; `highest_round` is the highest round that others
    /// are known to have used.
    pub fn new(
        now: Micros,
        set: VoterSet,
        wanted: VoterSet,
        proposer: ContenderId,
        highest_round: u64,
    ) -> (Reconfiguration, SuccessorRequest) {
        let mut reconfiguration = Reconfiguration {
            set,
            wanted,
            proposer,
            ballot: Ballot { token: Token(0), round: highest_round, by: proposer },
            phase: Phase::Preparing,
            replies: BTreeMap::new(),
            started_at: now,
            retry_at: now,
            rejections: 0,
        };
        let request = reconfiguration.prepare(now);
        (reconfiguration, request)
    }

    fn prepare(&mut self, now: Micros) -> SuccessorRequest {
        self.ballot = Ballot { token: Token(0), round: self.ballot.round + 1, by: self.proposer };
        self.phase = Phase::Preparing;
        self.replies.clear();
        self.request(now)
    }

    fn request(&mut self, now: Micros) -> SuccessorRequest {
        self.retry_at = now + RETRY_INTERVAL;
        let next = match &self.phase {
            Phase::Accepting(next) => Some(next.clone()),
            Phase::Preparing | Phase::BackingOff(_) => None,
        };
        let all = 0..self.set.members.len();
        let positions = all.filter(|position| !self.replies.contains_key(position)).collect();
        SuccessorRequest { positions, ballot: self.ballot, next }
    }

    /// The set that is changed.
    pub fn set(&self) -> &VoterSet {
        &self.set
    }

    /// Whether it has not come so far that a voter may be sealed by it: it can be given up.
    pub fn is_revocable(&self) -> bool {
        !matches!(self.phase, Phase::Accepting(_))
    }

    /// Takes a voter's reply to what was asked under `ballot`. `jitter`: a chance in 0..1.
    pub fn on_reply(
        &mut self,
        now: Micros,
        from: usize,
        ballot: Ballot,
        reply: SuccessorReply,
        jitter: f64,
    ) -> Progress {
        if ballot != self.ballot || from >= self.set.members.len() {
            return Progress::default();
        }
        match (&self.phase, &reply) {
            (Phase::Preparing, SuccessorReply::Promised(_))
            | (Phase::Accepting(_), SuccessorReply::Accepted) => {
                self.replies.insert(from, reply);
            }
            (Phase::Preparing | Phase::Accepting(_), SuccessorReply::Rejected(promised)) => {
                self.back_off(now, *promised, jitter);
                return Progress::default();
            }
            _ => return Progress::default(),
        }
        if self.replies.len() < self.set.majority() {
            return Progress::default();
        }
        if let Phase::Accepting(next) = &self.phase {
            return Progress { request: None, decided: Some(next.clone()) };
        }
        self.phase = Phase::Accepting(self.successor_to_accept());
        self.replies.clear();
        Progress { request: Some(self.request(now)), decided: None }
    }

    fn back_off(&mut self, now: Micros, promised: Ballot, jitter: f64) {
        self.ballot.round = self.ballot.round.max(promised.round);
        self.rejections = (self.rejections + 1).min(MAX_BACKOFF_DOUBLINGS);
        let pause = BACKOFF.times(f64::from(1u32 << self.rejections) * (0.5 + jitter));
        self.phase = Phase::BackingOff(now + pause);
    }

    /// The successor accepted under the highest ballot, else the wanted one.
    fn successor_to_accept(&self) -> VoterSet {
        let accepted = self.replies.values().filter_map(|reply| match reply {
            SuccessorReply::Promised(accepted) => accepted.clone(),
            SuccessorReply::Accepted | SuccessorReply::Rejected(_) => None,
        });
        accepted.max_by_key(|(ballot, _)| *ballot).map_or_else(|| self.wanted.clone(), |(_, set)| set)
    }

    /// Time has passed: what is to be asked now, if anything.
    pub fn tick(&mut self, now: Micros) -> Option<SuccessorRequest> {
        match &self.phase {
            Phase::BackingOff(until) if *until <= now => Some(self.prepare(now)),
            Phase::BackingOff(_) => None,
            _ if self.retry_at <= now => Some(self.request(now)),
            _ => None,
        }
    }
}
