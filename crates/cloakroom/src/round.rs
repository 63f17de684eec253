//! One claim at all voters.
use std::collections::BTreeMap;

use notchspool_cues::{Claimed, Ticket};

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
    voters: usize,
    heard: BTreeMap<u32, Claimed>,
}

impl Round {
    pub fn begin(voters: usize) -> Round {
        Round { voters, heard: BTreeMap::new() }
    }

    pub fn hear(&mut self, answer: Claimed) {
        if (answer.voter as usize) < self.voters {
            self.heard.insert(answer.voter, answer);
        }
    }

    /// Whether a voter's word is of the last life of its disk, as far as any other that is counted knows.
    fn counts(&self, voter: u32, answer: &Claimed) -> bool {
        let at = voter as usize;
        let own = answer.lives.get(at).copied().unwrap_or(0);
        self.heard.values().all(|a| a.lives.get(at).copied().unwrap_or(0) <= own)
    }

    /// `over`: no more answers are waited for.
    pub fn verdict(&self, over: bool) -> Verdict {
        let (mut ours, mut theirs) = (0, BTreeMap::<(u64, u64), (usize, &Claimed)>::new());
        for (voter, answer) in self.heard.iter().filter(|(v, a)| self.counts(**v, a)) {
            let _ = voter;
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
