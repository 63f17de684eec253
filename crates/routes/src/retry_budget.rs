//! What retries may cost a route, over all of its pools: a failing primary and its backup together never get more attempts than the stated
//! multiple of requests, but for a few to begin with.
//!
//! Invariant: `attempts <= multiple * requests + INITIAL_RETRIES`.

/// Retries that a route may make before any requests paid for them.
const INITIAL_RETRIES: f64 = 10.0;
/// What is saved up bounds how many retries can come at once.
const MAX_SAVED_RETRIES: f64 = 200.0;

/// The retries of one route.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Retries that each request pays for.
    per_request: f64,
    saved: f64,
}

impl RetryBudget {
    /// `multiple`: attempts for each request, 1 and more. At 1 there is no retry.
    pub fn new(multiple: f64) -> RetryBudget {
        RetryBudget {
            per_request: (multiple - 1.0).max(0.0),
            saved: if multiple > 1.0 { INITIAL_RETRIES } else { 0.0 },
        }
    }

    /// A request came; its first attempt costs nothing.
    pub fn on_request(&mut self) {
        self.saved = (self.saved + self.per_request).min(MAX_SAVED_RETRIES);
    }

    /// Pays for one more attempt, if it can.
    pub fn try_spend(&mut self) -> bool {
        let can_pay = self.saved >= 1.0;
        if can_pay {
            self.saved -= 1.0;
        }
        can_pay
    }
}
