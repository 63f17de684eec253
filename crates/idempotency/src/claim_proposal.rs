//! One claim at all voters of a set. What is replied under another set's number does not count.
use std::collections::BTreeMap;

use notchspool_mesh_protocol::{ClaimReply, ClaimVote, Ticket};

/// What the replies come to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Not decided yet.
    Pending,
    /// A majority grants it to this ticket: it may run.
    Granted,
    /// Another ticket has it.
    HeldByOther {
        /// That ticket.
        ticket: Ticket,
        /// The proxy that claimed it.
        holder: String,
        /// That proxy's boot id.
        holder_boot_id: u64,
    },
    /// Nobody can have it now: votes are split or voters silent.
    Undecided,
}

/// A claim that is out to the voters of one set.
#[derive(Clone, Debug)]
pub struct ClaimProposal {
    set_number: u64,
    voters: usize,
    replies: BTreeMap<u32, ClaimReply>,
    /// A voter replied that the set is being changed: it is to be asked again.
    reconfiguring: bool,
}

impl ClaimProposal {
    /// A claim at the `voters` members of this set.
    pub fn new(set_number: u64, voters: usize) -> ClaimProposal {
        ClaimProposal { set_number, voters, replies: BTreeMap::new(), reconfiguring: false }
    }

    /// Takes a voter's reply.
    pub fn on_reply(&mut self, reply: ClaimReply) {
        if reply.set_number != self.set_number || reply.voter as usize >= self.voters {
            // It knows another set, or is none of the voters any more.
            self.reconfiguring |= reply.reconfiguring;
        } else if reply.reconfiguring {
            self.reconfiguring = true;
        } else {
            self.replies.insert(reply.voter, reply);
        }
    }

    /// The set is another one now: all are asked anew, and no earlier reply counts.
    pub fn on_set_changed(&mut self, set_number: u64, voters: usize) {
        if set_number > self.set_number {
            *self = ClaimProposal { reconfiguring: true, ..ClaimProposal::new(set_number, voters) };
        }
    }

    /// The number of the set under which it is asked.
    pub fn set_number(&self) -> u64 {
        self.set_number
    }

    /// Whether it waits for a change of the set: worth more patience.
    pub fn is_reconfiguring(&self) -> bool {
        self.reconfiguring
    }

    /// Whether this voter has not replied.
    pub fn is_outstanding(&self, voter: usize) -> bool {
        !self.replies.contains_key(&(voter as u32))
    }

    /// Where the claim stands. `timed_out`: no more replies are waited for.
    pub fn outcome(&self, timed_out: bool) -> Outcome {
        let majority = self.voters / 2 + 1;
        let granted = self.replies.values().filter(|reply| reply.vote() == ClaimVote::Granted).count();
        if granted >= majority {
            return Outcome::Granted;
        }
        let all_replied = self.replies.len() >= self.voters;
        match self.most_voted_other() {
            Some((votes, reply)) if votes >= majority || timed_out || all_replied => Outcome::HeldByOther {
                ticket: reply.ticket.unwrap_or_default(),
                holder: reply.holder.clone(),
                holder_boot_id: reply.holder_boot_id,
            },
            None if timed_out || all_replied => Outcome::Undecided,
            _ => Outcome::Pending,
        }
    }

    /// The other request with the most votes, as its latest attempt is told: the attempts before are known not to have run.
    fn most_voted_other(&self) -> Option<(usize, &ClaimReply)> {
        let mut others: BTreeMap<(u64, u64), (usize, &ClaimReply)> = BTreeMap::new();
        let held_by_other = self.replies.values().filter(|r| r.vote() == ClaimVote::HeldByOther);
        for reply in held_by_other {
            let ticket = reply.ticket.unwrap_or_default();
            let (votes, latest) = others.entry((ticket.boot_id, ticket.number)).or_insert((0, reply));
            *votes += 1;
            if ticket.attempt > latest.ticket.unwrap_or_default().attempt {
                *latest = reply;
            }
        }
        others.into_values().max_by_key(|(votes, _)| *votes)
    }
}
