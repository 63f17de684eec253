//! How a replica that ends hands over what it has, and what its receiver does.
use std::collections::BTreeSet;

use notchspool::units::Micros;
use notchspool_consensus::Reply;
use notchspool_mesh_protocol::{Claim, HandoverReply, Payload, VoterState};
use notchspool_storage::WriteOp;

use super::Replica;
use super::effect::{ConnectionId, Effect};
use super::voting::{self, VotingState};
use super::writes::PendingWrite;
use crate::wire;

/// What was not confirmed is handed over again after this.
const RETRY_INTERVAL: Micros = Micros::ms(500);

/// The end of a replica.
#[derive(Debug)]
pub(super) struct Handover {
    /// It ends by then.
    leaving_until: Option<Micros>,
    /// Positions of the voters that have confirmed what was handed over.
    confirmed_by: BTreeSet<usize>,
    next_at: Micros,
}

impl Handover {
    /// Nothing is to be handed over yet.
    pub fn new(now: Micros) -> Handover {
        Handover { leaving_until: None, confirmed_by: BTreeSet::new(), next_at: now }
    }

    /// Whether the replica ends.
    pub fn is_leaving(&self) -> bool {
        self.leaving_until.is_some()
    }

    /// The voters are others from now on.
    pub fn forget_confirmations(&mut self) {
        self.confirmed_by.clear();
    }
}

impl Replica {
    /// It is to end by then: from here on it votes no more, and hands over what it has.
    pub fn leave(&mut self, now: Micros, until: Micros) -> Vec<Effect> {
        if !self.handover.is_leaving() {
            self.outbox.log("members: leaves, hands over what it has");
            // What it accepted and may not be at a majority is carried there first.
            self.read_for_itself(now);
            self.handover.leaving_until = Some(until);
            // Before what is handed over: who confirms that knows this too.
            self.report_to_voters(now);
            self.handover.next_at = now;
            self.tick_handover(now);
        }
        self.outbox.take()
    }

    /// Whether it may end now.
    pub fn may_exit(&self, now: Micros) -> bool {
        let Some(until) = self.handover.leaving_until else { return false };
        let others = self.membership.set.members.len().saturating_sub(1);
        let is_handed_over = match &self.voting {
            VotingState::Voting(_) => others == 0 || self.handover.confirmed_by.len() > others / 2,
            VotingState::Spare | VotingState::Unknown => self.transfer.sealed().is_none(),
            VotingState::Installing | VotingState::Persisting(_) => false,
        };
        now >= until || (is_handed_over && self.writes.is_empty())
    }

    pub(super) fn tick_handover(&mut self, now: Micros) {
        if !self.handover.is_leaving() || now < self.handover.next_at {
            return;
        }
        self.handover.next_at = now + RETRY_INTERVAL;
        let VotingState::Voting(acceptor) = &self.voting else { return };
        let state = self.voter_state(now, acceptor, self.membership.set.number);
        for (position, connection) in self.connections.voters() {
            if !self.handover.confirmed_by.contains(&position) {
                self.outbox.send(connection, Payload::Handover(state.clone()));
            }
        }
    }

    /// One that leaves hands over what it has: it stands here as if this one had been asked too.
    pub(super) fn on_handover(&mut self, now: Micros, connection: ConnectionId, state: VoterState) {
        let set_number = self.membership.set.number;
        if !self.is_voting() || state.set_number != set_number {
            self.on_other_set(connection, state.set_number);
            return;
        }
        let position = self.own_position().unwrap_or_default();
        let Some(mut batch) = self.take_over_config(now, &state) else { return };
        batch.extend(self.take_over_claims(now, state.claims));
        let reply = HandoverReply { set_number, voter: position as u32 };
        if batch.is_empty() && !self.has_unwritten_claims() {
            self.outbox.send(connection, Payload::HandoverReply(reply));
        } else {
            self.write(PendingWrite::Handover(connection, reply), batch);
        }
    }

    /// Accepts the configuration that the other had accepted. `None` where another proposal is under way above it: what comes of that is
    /// handed over next time.
    fn take_over_config(&mut self, now: Micros, state: &VoterState) -> Option<Vec<WriteOp>> {
        let VotingState::Voting(acceptor) = &mut self.voting else { return None };
        let Some(body) = &state.body else { return Some(Vec::new()) };
        let ballot = wire::ballot_from_message(state.accepted_ballot);
        let is_known = voting::accepted_entry(acceptor).is_some_and(|entry| entry.ballot >= ballot);
        if !is_known {
            let (response, _) = acceptor.handle(now, &wire::accept_request(ballot, body.clone()));
            if response.reply != Reply::Accepted {
                return None;
            }
        }
        let promise = voting::promised_ballot(acceptor).map(WriteOp::Promise);
        let accept = voting::accepted_entry(acceptor)
            .map(|entry| WriteOp::Accept { version: voting::version_of(entry), entry: entry.clone() });
        Some(promise.into_iter().chain(accept).collect())
    }

    fn take_over_claims(&mut self, now: Micros, claims: Vec<Claim>) -> Vec<WriteOp> {
        let mut batch = Vec::new();
        for claim in claims {
            let table = self.claims.table_mut();
            if !table.contains(&claim.key, claim.ticket.unwrap_or_default()) {
                table.insert(now, &claim);
                batch.push(WriteOp::Claim(claim));
            }
        }
        batch
    }

    /// Claims that were granted are on their way to the disk.
    fn has_unwritten_claims(&self) -> bool {
        let is_of_claims =
            |pending: &PendingWrite| matches!(pending, PendingWrite::Claim(..) | PendingWrite::Handover(..));
        self.writes.any(is_of_claims)
    }

    /// A voter has on its disk what was handed over.
    pub(super) fn on_handover_reply(&mut self, reply: HandoverReply) {
        if reply.set_number == self.membership.set.number {
            self.handover.confirmed_by.insert(reply.voter as usize);
        }
    }
}
