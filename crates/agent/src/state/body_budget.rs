//! Memory shared by all bodies over the small ones: what one reserves is given back when it is dropped.
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The memory of all bodies.
#[derive(Clone, Debug, Default)]
pub struct BodyBudget(Arc<AtomicUsize>);

/// Bytes reserved by one body.
#[derive(Debug)]
pub struct BodyReservation {
    budget: BodyBudget,
    bytes: usize,
}

impl BodyBudget {
    /// A reservation of nothing yet.
    pub fn reserve(&self) -> BodyReservation {
        BodyReservation { budget: self.clone(), bytes: 0 }
    }

    /// Bytes reserved by all.
    pub fn reserved(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

impl BodyReservation {
    /// Reserves so many more bytes while all together stay within `limit`. False where they would not; then nothing changes.
    pub fn try_grow(&mut self, bytes: usize, limit: usize) -> bool {
        if self.budget.reserved().saturating_add(bytes) > limit {
            return false;
        }
        self.budget.0.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        true
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget.0.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
