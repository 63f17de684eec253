//! Claims of idempotency keys.
use notchspool::units::Micros;
use notchspool_idempotency::claim_table::{ClaimTable, Decision};
use notchspool_mesh_protocol::{Claim, ClaimReply, ClaimVote, Payload, Ticket, WithdrawClaim};
use notchspool_storage::WriteOp;

use super::Replica;
use super::effect::{ConnectionId, NO_REPORT};
use super::writes::PendingWrite;

/// How often claims past their window are forgotten.
const EXPIRY_INTERVAL: Micros = Micros::ms(1_000);
/// Withdrawals that come while a set is being installed, kept apart at most.
const MAX_WITHDRAWN: usize = 10_000;

/// The claims of this voter.
#[derive(Debug)]
pub(super) struct Claims {
    table: ClaimTable,
    window: Micros,
    next_expiry_at: Micros,
    /// Withdrawals that came while a set is being installed: what others tell of these claims must not bring them back.
    withdrawn: Vec<(String, Ticket)>,
}

impl Claims {
    /// With the claims that were on the disk.
    pub fn new(window: Micros, recovered: &[Claim], now: Micros) -> Claims {
        let mut table = ClaimTable::new(window);
        recovered.iter().for_each(|claim| table.insert(now, claim));
        Claims { table, window, next_expiry_at: now, withdrawn: Vec::new() }
    }

    /// The claims.
    pub fn table(&self) -> &ClaimTable {
        &self.table
    }

    /// The claims, to be changed.
    pub fn table_mut(&mut self) -> &mut ClaimTable {
        &mut self.table
    }

    /// An empty table with the same window.
    pub fn empty_table(&self) -> ClaimTable {
        ClaimTable::new(self.window)
    }

    /// These claims in place of those that are there.
    pub fn replace_table(&mut self, table: ClaimTable) {
        self.table = table;
    }

    /// What was withdrawn since the installation of a set began.
    pub fn withdrawn(&self) -> &[(String, Ticket)] {
        &self.withdrawn
    }

    /// A set is installed, or another one is to be: nothing is withheld any more.
    pub fn clear_withdrawn(&mut self) {
        self.withdrawn.clear();
    }

    /// Forgets claims past their window, every now and then.
    pub fn tick(&mut self, now: Micros) {
        if now >= self.next_expiry_at {
            self.next_expiry_at = now + EXPIRY_INTERVAL;
            self.table.tick(now);
        }
    }
}

impl Replica {
    /// A proxy claims a key.
    pub(super) fn on_claim(&mut self, now: Micros, connection: ConnectionId, claim: Claim) {
        let set_number = self.membership.set.number;
        let voter = self.own_position().map_or(u32::MAX, |position| position as u32);
        let abstention = ClaimReply { id: claim.id, voter, set_number, ..ClaimReply::default() };
        if !self.is_voting() || claim.set_number != set_number {
            // Sealed, or not yet installed, or asked under another set: the next set has it, or this one later.
            let reconfiguring = !self.handover.is_leaving();
            self.outbox.send(connection, Payload::ClaimReply(ClaimReply { reconfiguring, ..abstention }));
            if claim.set_number != set_number {
                self.on_other_set(connection, claim.set_number);
            }
            return;
        }
        self.counters.claims += 1;
        match self.claims.table.claim(now, &claim) {
            Decision::Granted => {
                let vote = ClaimVote::Granted.into();
                let reply = ClaimReply { vote, ticket: claim.ticket, ..abstention };
                let pending = PendingWrite::Claim(connection, Box::new(reply));
                self.write(pending, vec![WriteOp::Claim(claim)]);
            }
            Decision::HeldByOther { ticket, holder, holder_boot_id } => {
                self.counters.claims_held_by_other += 1;
                let (vote, ticket) = (ClaimVote::HeldByOther.into(), Some(ticket));
                let reply = ClaimReply { vote, ticket, holder, holder_boot_id, ..abstention };
                self.outbox.send(connection, Payload::ClaimReply(reply));
            }
            Decision::Full => self.outbox.send(connection, Payload::ClaimReply(abstention)),
        }
    }

    /// A granted claim is on the disk, or could not be written.
    pub(super) fn on_claim_written(&mut self, to: ConnectionId, mut reply: ClaimReply, written: bool) {
        if !written {
            reply.set_vote(ClaimVote::Abstained);
        }
        self.outbox.send(to, Payload::ClaimReply(reply));
    }

    /// The holder of a claim takes it back.
    pub(super) fn on_withdraw_claim(&mut self, withdrawal: &WithdrawClaim) {
        let ticket = withdrawal.ticket.unwrap_or_default();
        if !self.is_installed() && self.claims.withdrawn.len() < MAX_WITHDRAWN {
            self.claims.withdrawn.push((withdrawal.key.clone(), ticket));
        }
        if self.claims.table.withdraw(&withdrawal.key, ticket) {
            self.counters.claims_withdrawn += 1;
            self.outbox.write(NO_REPORT, vec![WriteOp::WithdrawClaim(withdrawal.key.clone(), ticket)]);
        }
    }
}
