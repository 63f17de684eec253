//! What one voter keeps: for each key the ticket that has it, and where its holder is.
use std::collections::{HashMap, VecDeque};

use notchspool::units::Micros;
use notchspool_mesh_protocol::{Claim, Ticket};

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

/// Of a key there is one peg, but where this voter installed a set and two others told it different tickets: then neither is forgotten
/// before it is taken back or its window is over, since either may have run.
#[derive(Clone, Debug, Default)]
pub struct Rack {
    pegs: HashMap<String, Vec<Peg>>,
    order: VecDeque<(Micros, String)>,
    window: Micros,
}

fn same(a: Ticket, b: Ticket) -> bool {
    (a.life, a.number) == (b.life, b.number)
}

impl Rack {
    /// `window`: for how long a claim is kept at least.
    pub fn open(window: Micros) -> Rack {
        Rack { window, ..Rack::default() }
    }

    pub fn claim(&mut self, now: Micros, claim: &Claim) -> Vote {
        let ticket = claim.ticket.unwrap_or_default();
        let pegs = self.pegs.get(&claim.key).map_or(&[][..], Vec::as_slice);
        // The same request at its next backend goes on: the one before is known not to have run.
        let others = |p: &&Peg| !same(p.ticket, ticket) || ticket.turn < p.ticket.turn;
        if let Some(peg) = pegs.iter().find(others) {
            let (ticket, holder) = (peg.ticket, peg.holder.clone());
            return Vote::Taken { ticket, holder, holder_life: peg.holder_life };
        }
        if pegs.is_empty() && self.pegs.len() >= MOST {
            return Vote::Full;
        }
        self.put(now, claim);
        Vote::Granted
    }

    /// Read from a disk, or told by another voter: it stands beside what is there, and is as old as it was said to be.
    pub fn put(&mut self, now: Micros, claim: &Claim) {
        let ticket = claim.ticket.unwrap_or_default();
        let now = now - Micros::ms(claim.age_ms.min(1 << 40) as i64);
        let peg = Peg { ticket, holder: claim.holder.clone(), holder_life: claim.holder_life, since: now };
        let pegs = self.pegs.entry(claim.key.clone()).or_default();
        if pegs.is_empty() {
            self.order.push_back((now, claim.key.clone()));
        }
        match pegs.iter_mut().find(|p| same(p.ticket, ticket)) {
            Some(old) if old.ticket.turn > ticket.turn => old.since = old.since.max(now),
            Some(old) => *old = Peg { since: old.since.max(now), ..peg },
            None => pegs.push(peg),
        }
    }

    /// Its holder knows that it has not run and never will. True where it was there.
    pub fn withdraw(&mut self, key: &str, ticket: Ticket) -> bool {
        let Some(pegs) = self.pegs.get_mut(key) else { return false };
        let before = pegs.len();
        pegs.retain(|p| !same(p.ticket, ticket) || p.ticket.turn > ticket.turn);
        let gone = pegs.len() < before;
        if pegs.is_empty() {
            self.pegs.remove(key);
        }
        gone
    }

    /// Forgets what is past its window.
    pub fn wake(&mut self, now: Micros) {
        while let Some((at, _)) = self.order.front() {
            if now - *at <= self.window {
                break;
            }
            let Some((_, key)) = self.order.pop_front() else { break };
            let Some(pegs) = self.pegs.get_mut(&key) else { continue };
            let window = self.window;
            pegs.retain(|p| now - p.since <= window);
            match pegs.iter().map(|p| p.since).min() {
                Some(since) => self.order.push_back((since, key)),
                None => drop(self.pegs.remove(&key)),
            }
        }
    }

    /// Whether this ticket, or a later turn of it, has the key.
    pub fn has(&self, key: &str, ticket: Ticket) -> bool {
        let pegs = self.pegs.get(key).map_or(&[][..], Vec::as_slice);
        pegs.iter().any(|p| same(p.ticket, ticket) && p.ticket.turn >= ticket.turn)
    }

    pub fn len(&self) -> usize {
        self.pegs.len()
    }

    pub fn is_empty(&self) -> bool {
        self.pegs.is_empty()
    }

    /// All claims with their ages, the oldest first, for a voter that installs a set.
    pub fn all(&self, now: Micros) -> Vec<Claim> {
        let claim = |key: &String, peg: &Peg| Claim {
            id: 0,
            key: key.clone(),
            ticket: Some(peg.ticket),
            holder: peg.holder.clone(),
            holder_life: peg.holder_life,
            set: 0,
            age_ms: ((now - peg.since).0 / 1_000).max(0) as u64,
        };
        let mut all: Vec<Claim> =
            self.pegs.iter().flat_map(|(key, pegs)| pegs.iter().map(move |p| claim(key, p))).collect();
        all.sort_by_key(|c| std::cmp::Reverse(c.age_ms));
        all
    }
}
