//! Claims of keyed operations.
use super::*;

impl Office {
    pub(super) fn claim(&mut self, now: Micros, conn: Conn, claim: Claim, acts: &mut Vec<Act>) {
        let (voter, set) = (self.own_place().map_or(u32::MAX, |v| v as u32), self.set.number);
        let mut said = Claimed { id: claim.id, voter, set, ..Claimed::default() };
        if !self.votes() || claim.set != set {
            // Sealed, or not yet installed, or asked under another set: the next one has it, or this one later.
            said.changing = self.leaving.is_none();
            acts.push(Act::Send(conn, What::Claimed(said)));
            if claim.set != set {
                self.other_set(conn, claim.set, acts);
            }
            return;
        }
        self.counts.claims += 1;
        match self.rack.claim(now, &claim) {
            Vote::Granted => {
                said.vote = 1;
                said.ticket = claim.ticket;
                self.save(Pending::Claimed(conn, Box::new(said)), vec![Deed::Claim(claim)], acts);
            }
            Vote::Taken { ticket, holder, holder_life } => {
                self.counts.taken += 1;
                let taken = Claimed { vote: 2, ticket: Some(ticket), holder, holder_life, ..said };
                acts.push(Act::Send(conn, What::Claimed(taken)));
            }
            Vote::Full => acts.push(Act::Send(conn, What::Claimed(said))),
        }
    }
}
