//! One request to all voters, and the outcome that their responses add up to.
use std::collections::BTreeMap;

use notchspool::units::Micros;

use crate::{Ballot, ContenderId, Entries, Parameters, Reply, Request, Response, VoterId};

/// A request that is out to all voters.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proposal {
    /// Its number; responses to another one are not counted here.
    pub number: u64,
    /// What is asked.
    pub request: Request,
    /// When it was first sent, taken before anything left.
    pub started_at: Micros,
    retry_at: Micros,
    responses: BTreeMap<VoterId, Response>,
}

/// A lease that stands against a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// Who holds it.
    pub holder: ContenderId,
    /// How long it still runs.
    pub remaining: Micros,
}

/// What the responses to a proposal come to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Not decided yet.
    Pending,
    /// A majority agreed.
    Granted,
    /// It can't get a majority any more.
    Rejected {
        /// The highest ballot that stands against it.
        promised: Option<Ballot>,
        /// The lease that stands against it.
        held: Option<HeldLease>,
    },
}

impl Proposal {
    /// A request that is sent to all voters now.
    pub fn new(number: u64, request: Request, now: Micros, parameters: &Parameters) -> Proposal {
        let retry_at = now + parameters.retry_interval;
        Proposal { number, request, started_at: now, retry_at, responses: BTreeMap::new() }
    }

    /// The voters that have to be asked again now: those without a counted response, once the retry interval is over.
    pub fn due_retries(&mut self, now: Micros, parameters: &Parameters) -> Vec<VoterId> {
        if now < self.retry_at {
            return Vec::new();
        }
        self.retry_at = now + parameters.retry_interval;
        let silent = |voter: &VoterId| !self.counted().any(|(from, _)| from == *voter);
        (0..parameters.voters as u16).map(VoterId).filter(silent).collect()
    }

    /// When [`Proposal::due_retries`] has something to tell at the earliest.
    pub fn retry_at(&self) -> Micros {
        self.retry_at
    }

    /// Takes a voter's response.
    pub fn on_response(&mut self, from: VoterId, response: Response) {
        match (&response.reply, self.responses.get(&from)) {
            // A voter that can't vote now may be able to later; what counted stays.
            (Reply::Unavailable { .. }, Some(_)) => {}
            (_, Some(old)) if old.incarnation > response.incarnation => {}
            // It agreed in this incarnation, and that counts whatever it promised to others since.
            (Reply::Rejected { .. } | Reply::LeaseHeld { .. }, Some(old))
                if old.incarnation == response.incarnation => {}
            _ => {
                self.responses.insert(from, response);
            }
        }
    }

    /// Responses that count.
    ///
    /// Guards against a voter that promised, lost its disk and was readmitted without knowing of it: its earlier response is void as
    /// soon as another voter that is counted knows of its later incarnation.
    fn counted(&self) -> impl Iterator<Item = (VoterId, &Response)> {
        let latest_incarnation = |voter: VoterId| {
            let known = self.responses.values().filter_map(|r| r.known_incarnations.get(&voter).copied());
            known.max().unwrap_or_default()
        };
        let responses = self.responses.iter().map(|(from, response)| (*from, response));
        responses.filter(move |(from, response)| {
            response.incarnation >= latest_incarnation(*from)
                && !matches!(response.reply, Reply::Unavailable { .. })
        })
    }

    /// Where the proposal stands.
    pub fn outcome(&self, parameters: &Parameters) -> Outcome {
        let mut granted = 0;
        let mut rejected = 0;
        let mut highest_promised = None;
        let mut longest_held = None::<HeldLease>;
        for (_, response) in self.counted() {
            match &response.reply {
                Reply::Promised { .. } | Reply::Accepted | Reply::Current { .. } => granted += 1,
                Reply::Rejected { promised, .. } => {
                    rejected += 1;
                    highest_promised = highest_promised.max(Some(*promised));
                }
                Reply::LeaseHeld { holder, remaining_us } => {
                    rejected += 1;
                    if longest_held.is_none_or(|held| held.remaining.0 < *remaining_us) {
                        longest_held = Some(HeldLease { holder: *holder, remaining: Micros(*remaining_us) });
                    }
                }
                Reply::FullState { .. } | Reply::StaleIncarnation { .. } | Reply::Unavailable { .. } => {}
            }
        }
        if granted >= parameters.majority() {
            Outcome::Granted
        } else if rejected > parameters.voters - parameters.majority() {
            Outcome::Rejected { promised: highest_promised, held: longest_held }
        } else {
            Outcome::Pending
        }
    }

    /// Whether any voter stands against it, though perhaps not enough of them to end it: then what stands against it.
    pub fn opposition(&self) -> Outcome {
        let mut highest_promised = None;
        let mut last_held = None;
        for (_, response) in self.counted() {
            match &response.reply {
                Reply::Rejected { promised, .. } => {
                    highest_promised = highest_promised.max(Some(*promised));
                }
                Reply::LeaseHeld { holder, remaining_us } => {
                    last_held = Some(HeldLease { holder: *holder, remaining: Micros(*remaining_us) });
                }
                _ => {}
            }
        }
        match (highest_promised, last_held) {
            (None, None) => Outcome::Pending,
            (promised, held) => Outcome::Rejected { promised, held },
        }
    }

    /// Of all that was told, the entry of the highest ballot for each key.
    pub fn merged_entries(&self) -> Entries {
        let mut merged: Entries = BTreeMap::new();
        for (_, response) in self.counted() {
            if let Reply::Promised { entries } | Reply::Current { entries, .. } = &response.reply {
                merge(&mut merged, entries);
            }
        }
        merged
    }

    /// The highest ballot that a voter told to have promised, in reply to a read.
    pub fn highest_promised(&self) -> Ballot {
        let promised = self.counted().filter_map(|(_, response)| match &response.reply {
            Reply::Current { promised, .. } => Some(*promised),
            _ => None,
        });
        promised.max().unwrap_or_default()
    }
}

/// Takes over from `from` each entry that is missing in `into`, or newer than the one there.
pub fn merge(into: &mut Entries, from: &Entries) {
    for (key, entry) in from {
        if into.get(key).is_none_or(|old| entry.is_newer_than(old)) {
            into.insert(key.clone(), entry.clone());
        }
    }
}
