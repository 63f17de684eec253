//! What repeats may cost a route, over all of its pools: a failing primary and its backup together never get more
//! postings than the stated multiple of txns, but for a few to begin with.
//!
//! Held always: postings <= multiple x txns + START.

/// Repeats that a route may make before any txns paid for them.
const START: f64 = 10.0;
/// What is saved up bounds how many repeats can come at once.
const MOST: f64 = 200.0;

#[derive(Clone, Debug)]
pub struct Budget {
    /// Repeats that each txn pays for.
    each: f64,
    saved: f64,
}

impl Budget {
    /// `multiple`: postings for each txn, 1 and more.
    pub fn new(multiple: f64) -> Budget {
        Budget { each: (multiple - 1.0).max(0.0), saved: if multiple > 1.0 { START } else { 0.0 } }
    }
    /// A txn came; its first posting is its own.
    pub fn taken(&mut self) {
        self.saved = (self.saved + self.each).min(MOST.max(START));
    }
    /// Pays for one more posting, if it can.
    pub fn repeat(&mut self) -> bool {
        let paid = self.saved >= 1.0;
        if paid {
            self.saved -= 1.0;
        }
        paid
    }
}
