//! One claim at all voters of a set. What is said under another set's number does not count.
use std::collections::BTreeMap;

use notchspool_mesh_protocol::{Claimed, Ticket};

/// What came of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    Open,
    /// More than half hold it for this ticket: it may run.
    Ours,
    /// Another ticket has it, held there.
    Theirs {
        ticket: Ticket,
        holder: String,
        holder_life: u64,
    },
    /// Neither can have it now: votes are split or voters silent.
    Nobody,
}

#[derive(Clone, Debug)]
pub struct Round {
    set: u64,
    voters: usize,
    heard: BTreeMap<u32, Claimed>,
    /// A voter said that the set is being changed: it is to be asked again.
    again: bool,
}

impl Round {
    pub fn begin(set: u64, voters: usize) -> Round {
        Round { set, voters, heard: BTreeMap::new(), again: false }
    }

    pub fn hear(&mut self, answer: Claimed) {
        if answer.set != self.set || answer.voter as usize >= self.voters {
            // It knows another set, or is none of the voters any more.
            self.again |= answer.changing;
        } else if answer.changing {
            self.again = true;
        } else {
            self.heard.insert(answer.voter, answer);
        }
    }

    /// The set is another one now: all are asked anew, and nothing that was said counts.
    pub fn change(&mut self, set: u64, voters: usize) {
        if set > self.set {
            *self = Round { again: true, ..Round::begin(set, voters) };
        }
    }

    pub fn set(&self) -> u64 {
        self.set
    }

    /// It waits for a change of the set: worth more patience.
    pub fn waits(&self) -> bool {
        self.again
    }

    /// Whether this voter has not answered.
    pub fn open(&self, voter: usize) -> bool {
        !self.heard.contains_key(&(voter as u32))
    }

    /// `over`: no more answers are waited for.
    pub fn verdict(&self, over: bool) -> Verdict {
        let (mut ours, mut theirs) = (0, BTreeMap::<(u64, u64), (usize, &Claimed)>::new());
        for answer in self.heard.values() {
            match answer.vote {
                1 => ours += 1,
                2 => {
                    let t = answer.ticket.unwrap_or_default();
                    theirs.entry((t.life, t.number)).or_insert((0, answer)).0 += 1;
                }
                _ => {}
            }
        }
        let most = self.voters / 2 + 1;
        if ours >= most {
            return Verdict::Ours;
        }
        let best = theirs.values().max_by_key(|t| t.0);
        let all = self.heard.len() >= self.voters;
        match best {
            Some((n, a)) if *n >= most || over || (all && ours < most) => Verdict::Theirs {
                ticket: a.ticket.unwrap_or_default(),
                holder: a.holder.clone(),
                holder_life: a.holder_life,
            },
            None if over || all => Verdict::Nobody,
            _ => Verdict::Open,
        }
    }
}
