//! What one voter keeps: for each key the ticket that has it, and where its holder is.
use std::collections::{HashMap, VecDeque};

use notchspool::units::Micros;
use notchspool_cues::{Claim, Ticket};

/// Keys at most: what is past it is not granted.
pub const MOST: usize = 200_000;

#[derive(Clone, Debug, PartialEq)]
pub struct Peg {
    pub ticket: Ticket,
    pub holder: String,
    pub holder_life: u64,
    since: Micros,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Vote {
    /// It has the key now; this has to be on disk before it is said.
    Granted,
    /// Another has it.
    Taken { ticket: Ticket, holder: String, holder_life: u64 },
    /// There is no room.
    Full,
}

#[derive(Clone, Debug, Default)]
pub struct Rack {
    pegs: HashMap<String, Peg>,
    order: VecDeque<(Micros, String)>,
    window: Micros,
}

impl Rack {
    /// `window`: for how long a claim is kept at least.
    pub fn open(window: Micros) -> Rack {
        Rack { window, ..Rack::default() }
    }

    pub fn claim(&mut self, now: Micros, claim: &Claim) -> Vote {
        let ticket = claim.ticket.unwrap_or_default();
        let same = |t: Ticket| (t.life, t.number) == (ticket.life, ticket.number);
        match self.pegs.get(&claim.key) {
            // The same request at its next backend: the one before is known not to have run.
            Some(peg) if same(peg.ticket) && ticket.turn >= peg.ticket.turn => {}
            Some(peg) => {
                let (ticket, holder) = (peg.ticket, peg.holder.clone());
                return Vote::Taken { ticket, holder, holder_life: peg.holder_life };
            }
            None if self.pegs.len() >= MOST => return Vote::Full,
            None => {}
        }
        self.put(now, claim);
        Vote::Granted
    }

    /// Read from a disk, or told by another voter.
    pub fn put(&mut self, now: Micros, claim: &Claim) {
        let peg = Peg {
            ticket: claim.ticket.unwrap_or_default(),
            holder: claim.holder.clone(),
            holder_life: claim.holder_life,
            since: now,
        };
        if self.pegs.insert(claim.key.clone(), peg).is_none() {
            self.order.push_back((now, claim.key.clone()));
        }
    }

    /// Its holder knows that it has not run and never will. True where it was there.
    pub fn withdraw(&mut self, key: &str, ticket: Ticket) -> bool {
        let own = |p: &&Peg| {
            (p.ticket.life, p.ticket.number) == (ticket.life, ticket.number) && p.ticket.turn <= ticket.turn
        };
        let here = self.pegs.get(key).filter(own).is_some();
        if here {
            self.pegs.remove(key);
        }
        here
    }

    /// Forgets what is past its window.
    pub fn wake(&mut self, now: Micros) {
        while let Some((at, _)) = self.order.front() {
            if now - *at <= self.window {
                break;
            }
            let Some((_, key)) = self.order.pop_front() else { break };
            match self.pegs.get(&key) {
                Some(peg) if now - peg.since <= self.window => self.order.push_back((peg.since, key)),
                Some(_) => drop(self.pegs.remove(&key)),
                None => {}
            }
        }
    }

    pub fn len(&self) -> usize {
        self.pegs.len()
    }

    pub fn is_empty(&self) -> bool {
        self.pegs.is_empty()
    }

    /// All claims, for a snapshot or for a voter without its disk.
    pub fn all(&self) -> Vec<Claim> {
        let claim = |(key, peg): (&String, &Peg)| Claim {
            id: 0,
            key: key.clone(),
            ticket: Some(peg.ticket),
            holder: peg.holder.clone(),
            holder_life: peg.holder_life,
        };
        self.pegs.iter().map(claim).collect()
    }
}
