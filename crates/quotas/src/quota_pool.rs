//! A pool of units (requests in flight) that several holders share: pools that share an agent's, tenants that share a pool's. Each
//! has a guaranteed part; the rest is lent by weight and by what is left of it, so that one that holds all it gets can't take the
//! room of the others.
//!
//! Lending follows dynamic thresholds for shared buffers (Choudhury and Hahne, 1998): a holder may borrow no more of the rest than its
//! weight times what is still free of it. One alone gets its weight's share of the rest and leaves some free for the next; many at
//! once arrive at equal parts, with no one counting them.
//!
//! Invariants, tried by random operations in `tests/quota_pool.rs`: all units held are never above the capacity; a holder below its
//! guaranteed part always gets one more; what is released is there again.
use std::collections::BTreeMap;

/// What one holder may have.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaShare {
    /// The holder's name.
    pub name: String,
    /// Guaranteed part of the capacity, 0 to 1; all together at most 1.
    pub guaranteed: f64,
    /// Weight against the others when the rest is lent; 1 is usual.
    pub weight: f64,
}

#[derive(Clone, Debug, Default)]
struct Holding {
    guaranteed: usize,
    weight: f64,
    held: usize,
    /// Whether it is still configured; one that is not goes once it holds nothing.
    listed: bool,
}

impl Holding {
    fn borrowed(&self) -> usize {
        self.held.saturating_sub(self.guaranteed)
    }
}

/// How much of what is free of the rest a holder of weight 1 may borrow.
const ALPHA: f64 = 2.0;

/// The pool and who holds how much of it.
#[derive(Clone, Debug, Default)]
pub struct QuotaPool {
    capacity: usize,
    holdings: BTreeMap<String, Holding>,
}

impl QuotaPool {
    /// A pool of so many units, of which nothing is held.
    pub fn new(capacity: usize, shares: &[QuotaShare]) -> QuotaPool {
        let mut pool = QuotaPool::default();
        pool.set_shares(capacity, shares);
        pool
    }

    /// Other shares from now on. What is held stays held; a holder that is gone keeps what it has until it has released it, and
    /// gets nothing more.
    pub fn set_shares(&mut self, capacity: usize, shares: &[QuotaShare]) {
        self.capacity = capacity;
        for holding in self.holdings.values_mut() {
            (holding.guaranteed, holding.weight, holding.listed) = (0, 0.0, false);
        }
        for share in shares {
            let holding = self.holdings.entry(share.name.clone()).or_default();
            holding.guaranteed = (share.guaranteed.clamp(0.0, 1.0) * capacity as f64).floor() as usize;
            (holding.weight, holding.listed) = (share.weight.max(0.0), true);
        }
        self.holdings.retain(|_, holding| holding.listed || holding.held > 0);
    }

    /// Units held by all.
    pub fn held(&self) -> usize {
        self.holdings.values().map(|holding| holding.held).sum()
    }

    /// Units held by one.
    pub fn held_by(&self, name: &str) -> usize {
        self.holdings.get(name).map_or(0, |holding| holding.held)
    }

    /// What is not guaranteed to anyone.
    fn rest(&self) -> usize {
        self.capacity.saturating_sub(self.holdings.values().map(|holding| holding.guaranteed).sum())
    }

    /// One more unit for a holder; false where there is no room for it, or no such holder.
    pub fn try_acquire(&mut self, name: &str) -> bool {
        let borrowed: usize = self.holdings.values().map(Holding::borrowed).sum();
        let free = self.rest().saturating_sub(borrowed);
        // After a change of shares more may be held than they allow: then nobody gets above the capacity.
        let all = self.held();
        let Some(holding) = self.holdings.get_mut(name).filter(|holding| holding.listed) else {
            return false;
        };
        let guaranteed = holding.held < holding.guaranteed;
        let lend = free > 0 && (holding.borrowed() as f64) < ALPHA * holding.weight * free as f64;
        let may = all < self.capacity && (guaranteed || lend);
        if may {
            holding.held += 1;
        }
        may
    }

    /// One unit is released.
    pub fn release(&mut self, name: &str) {
        let Some(holding) = self.holdings.get_mut(name) else { return };
        holding.held = holding.held.saturating_sub(1);
        if !holding.listed && holding.held == 0 {
            self.holdings.remove(name);
        }
    }
}
