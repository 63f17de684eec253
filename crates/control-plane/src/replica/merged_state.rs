//! What the states of several voters add up to.
use notchspool::units::Micros;
use notchspool_consensus::acceptor::Acceptor;
use notchspool_consensus::{Ballot, Entry};
use notchspool_idempotency::claim_table::ClaimTable;
use notchspool_mesh_protocol::VoterState;

use super::voting;
use crate::wire;

/// The highest promise, what was accepted last, and all claims.
pub(super) struct MergedState {
    pub promised: Ballot,
    pub accepted: Option<Entry>,
    pub claims: ClaimTable,
}

impl MergedState {
    /// Nothing yet; `claims`: an empty table.
    pub fn empty(claims: ClaimTable) -> MergedState {
        MergedState { promised: Ballot::default(), accepted: None, claims }
    }

    /// What this replica itself had: it goes on from that.
    pub fn of_acceptor(acceptor: &Acceptor, claims: ClaimTable) -> MergedState {
        let mut merged = MergedState::empty(claims);
        if let Some(entry) = voting::accepted_entry(acceptor) {
            merged.accept(entry.ballot, &entry.value);
        }
        merged.promise(voting::promised_ballot(acceptor).unwrap_or_default());
        merged
    }

    /// Adds what another voter has.
    pub fn add(&mut self, now: Micros, state: &VoterState) {
        let accepted_ballot = wire::ballot_from_message(state.accepted_ballot);
        self.promise(wire::ballot_from_message(state.promised));
        self.promise(accepted_ballot);
        if let Some(body) = &state.body {
            self.accept(accepted_ballot, body);
        }
        for claim in &state.claims {
            // Two tickets for one key, told by two: either may have run, so both stand.
            self.claims.insert(now, claim);
        }
    }

    fn promise(&mut self, ballot: Ballot) {
        self.promised = self.promised.max(ballot);
    }

    fn accept(&mut self, ballot: Ballot, body: &str) {
        self.promise(ballot);
        if self.accepted.as_ref().is_none_or(|entry| entry.ballot < ballot) {
            self.accepted = Some(Entry { ballot, sequence: 1, value: body.to_string() });
        }
    }
}
