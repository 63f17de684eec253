//! Recovery of a voter that lost its disk.
//!
//! It may have promised and accepted things that are gone. It votes again only once a majority's worth of the *others* knows of its new
//! incarnation and has told it all they have. Any majority that its earlier incarnation was part of has a member among these: either
//! that one had answered before, and this voter learns what came of it, or it answers later, and then the earlier incarnation's reply is
//! no longer counted beside it ([`crate::proposal`]).
use std::collections::BTreeMap;

use crate::acceptor::DurableState;
use crate::proposal::merge;
use crate::{Ballot, Entries, Lease, Parameters, Reply, Request, Response, Space, SpaceState, VoterId};

/// The recovery of one voter, from the loss of its disk until it can vote again.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Recovery {
    own: VoterId,
    parameters: Parameters,
    incarnation: u64,
    responses: BTreeMap<VoterId, Response>,
}

/// What was merged of one space so far.
#[derive(Default)]
struct MergedSpace {
    promised: Ballot,
    entries: Entries,
    lease: Option<Lease>,
}

impl MergedSpace {
    fn merge(&mut self, state: &SpaceState) {
        self.promised = self.promised.max(state.promised);
        merge(&mut self.entries, &state.entries);
        // The longest one: it may be the one that binds.
        let duration_us = |lease: &Option<Lease>| lease.as_ref().map_or(0, |lease| lease.duration_us);
        if duration_us(&state.lease) > duration_us(&self.lease) {
            self.lease.clone_from(&state.lease);
        }
    }
}

impl Recovery {
    /// Begins the recovery of voter `own`.
    pub fn new(own: VoterId, parameters: Parameters) -> Recovery {
        Recovery { own, parameters, incarnation: 1, responses: BTreeMap::new() }
    }

    /// What is asked of all others, until they have answered.
    pub fn request(&self) -> Request {
        Request::Readmit { voter: self.own, incarnation: self.incarnation }
    }

    /// Who has not answered yet.
    pub fn outstanding(&self) -> Vec<VoterId> {
        let voters = (0..self.parameters.voters as u16).map(VoterId);
        voters.filter(|voter| *voter != self.own && !self.responses.contains_key(voter)).collect()
    }

    /// Takes a response to a request that named `incarnation`. With enough of them: what the new disk begins with.
    pub fn on_response(
        &mut self,
        from: VoterId,
        incarnation: u64,
        response: Response,
    ) -> Option<DurableState> {
        match &response.reply {
            Reply::StaleIncarnation { known } if *known >= self.incarnation && from != self.own => {
                self.incarnation = known + 1;
                self.responses.clear();
            }
            Reply::FullState { .. } if incarnation == self.incarnation && from != self.own => {
                self.responses.insert(from, response);
            }
            _ => {}
        }
        // As many as a majority, itself not among them: with 1 voter there are none, and with 3 both others are needed.
        if self.parameters.voters == 1 || self.responses.len() < self.parameters.majority() {
            return None;
        }
        Some(DurableState {
            incarnation: self.incarnation,
            known_incarnations: self.merged_incarnations(),
            spaces: self.merged_spaces(),
        })
    }

    fn merged_incarnations(&self) -> BTreeMap<VoterId, u64> {
        let mut merged: BTreeMap<VoterId, u64> = BTreeMap::new();
        for (from, response) in &self.responses {
            let known = response.known_incarnations.iter().chain([(from, &response.incarnation)]);
            for (voter, incarnation) in known {
                let highest = merged.entry(*voter).or_default();
                *highest = (*highest).max(*incarnation);
            }
        }
        merged.remove(&self.own);
        merged
    }

    fn merged_spaces(&self) -> Vec<SpaceState> {
        let mut merged: BTreeMap<Space, MergedSpace> = BTreeMap::new();
        for response in self.responses.values() {
            let Reply::FullState { spaces } = &response.reply else { continue };
            for state in spaces {
                merged.entry(state.space.clone()).or_default().merge(state);
            }
        }
        let state = |(space, merged): (Space, MergedSpace)| SpaceState {
            space,
            promised: merged.promised,
            entries: merged.entries,
            lease: merged.lease,
        };
        merged.into_iter().map(state).collect()
    }
}
