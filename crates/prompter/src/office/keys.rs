//! Claims of keyed operations.
use super::*;

impl Office {
    pub(super) fn claim(&mut self, now: Micros, conn: Conn, claim: Claim, acts: &mut Vec<Act>) {
        let voter = self.own_place().map_or(u32::MAX, |v| u32::from(v.0));
        let mut said = Claimed { id: claim.id, voter, lives: self.lives(), ..Claimed::default() };
        if !self.votes() {
            acts.push(Act::Send(conn, What::Claimed(said)));
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
