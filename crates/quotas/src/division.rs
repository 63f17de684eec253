//! A whole that several parties hold parts of: pools that share the agent's txns, tenants that share a pool's. Each has
//! a guaranteed part; the rest is lent, by weight and by what is left of it, so that one that holds all it gets can't
//! take the room of the others.
//!
//! Lending follows the published idea of dynamic thresholds for shared buffers (Choudhury and Hahne): a party may hold of
//! the rest no more than its weight times what is still free of it. One alone gets its weight's share of the rest and
//! leaves some free for who comes next; many at once settle on equal parts, with no one counting them.
//!
//! Held always, and tried by random operations in `tests/division.rs`: all held together is never above the whole; a
//! party below its guaranteed part always gets one more; what is given back is there again.
use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub struct Party {
    pub name: String,
    /// Guaranteed part of the whole, 0 to 1; all together at most 1.
    pub part: f64,
    /// Against the others, when the rest is lent; 1 is usual.
    pub weight: f64,
}

#[derive(Clone, Debug, Default)]
struct Seat {
    sure: usize,
    weight: f64,
    held: usize,
    /// Still in the file; one that is not goes once it holds nothing.
    named: bool,
}

impl Seat {
    fn lent(&self) -> usize {
        self.held.saturating_sub(self.sure)
    }
}

/// How much of what is free of the rest a party of weight 1 may hold.
const ALPHA: f64 = 2.0;

#[derive(Clone, Debug, Default)]
pub struct Division {
    whole: usize,
    seats: BTreeMap<String, Seat>,
}

impl Division {
    pub fn new(whole: usize, parties: &[Party]) -> Division {
        let mut division = Division::default();
        division.reshape(whole, parties);
        division
    }

    /// Other parties or parts from now on. What is held stays held; a party that is gone keeps its seat till it has
    /// given all back, and gets nothing more.
    pub fn reshape(&mut self, whole: usize, parties: &[Party]) {
        self.whole = whole;
        for seat in self.seats.values_mut() {
            (seat.sure, seat.weight, seat.named) = (0, 0.0, false);
        }
        for party in parties {
            let seat = self.seats.entry(party.name.clone()).or_default();
            seat.sure = (party.part.clamp(0.0, 1.0) * whole as f64).floor() as usize;
            (seat.weight, seat.named) = (party.weight.max(0.0), true);
        }
        self.seats.retain(|_, seat| seat.named || seat.held > 0);
    }

    pub fn held(&self) -> usize {
        self.seats.values().map(|seat| seat.held).sum()
    }
    pub fn held_by(&self, name: &str) -> usize {
        self.seats.get(name).map_or(0, |seat| seat.held)
    }
    /// What is not guaranteed to anyone.
    fn rest(&self) -> usize {
        self.whole.saturating_sub(self.seats.values().map(|seat| seat.sure).sum())
    }

    /// One more for a party. False where there is no room for it, or no such party.
    pub fn take(&mut self, name: &str) -> bool {
        let lent: usize = self.seats.values().map(Seat::lent).sum();
        let free = self.rest().saturating_sub(lent);
        // After a change of parts more may be held than the parts say: then nobody gets above the whole.
        let all = self.held();
        let Some(seat) = self.seats.get_mut(name).filter(|seat| seat.named) else { return false };
        let sure = seat.held < seat.sure;
        let lend = free > 0 && (seat.lent() as f64) < ALPHA * seat.weight * free as f64;
        let may = all < self.whole && (sure || lend);
        if may {
            seat.held += 1;
        }
        may
    }

    /// One is given back.
    pub fn give(&mut self, name: &str) {
        let Some(seat) = self.seats.get_mut(name) else { return };
        seat.held = seat.held.saturating_sub(1);
        if !seat.named && seat.held == 0 {
            self.seats.remove(name);
        }
    }
}
