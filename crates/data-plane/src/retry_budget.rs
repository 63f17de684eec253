//! The retry budget of one service at one proxy.
//!
//! Over all proxies together a service may get so many attempts past the first of each request, as a part of its requests in a window, and
//! a slack (`retryRatio`, `retryWindowS`, `retrySlack`). Each proxy spends only what its own requests have earned: half of the part (the
//! rest is for calls made by runs that were repeats themselves), saved up to its share of half the slack. It begins with nothing, so that
//! proxies that start anew, however often, add nothing.
use notchspool::units::Micros;

/// The part of ratio and slack that the proxies spend themselves.
const OWN_PART: f64 = 0.5;

/// What one proxy may spend on retries to one service.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    saved: f64,
    earned_a_request: f64,
    max_saved: f64,
    window: Micros,
    updated_at: Micros,
}

fn share_of_slack(slack: f64, proxies: usize) -> f64 {
    (slack * OWN_PART / proxies.max(1) as f64).max(1.0)
}

impl RetryBudget {
    /// `ratio` and `slack` of the rules, `window` over which they are counted, `proxies` at most that spend.
    pub fn new(ratio: f64, slack: f64, window: Micros, proxies: usize, now: Micros) -> RetryBudget {
        RetryBudget {
            saved: 0.0,
            earned_a_request: ratio * OWN_PART,
            max_saved: share_of_slack(slack, proxies),
            window,
            updated_at: now,
        }
    }

    /// The number of proxies that spend has changed.
    pub fn set_proxies(&mut self, slack: f64, proxies: usize) {
        self.max_saved = share_of_slack(slack, proxies);
        self.saved = self.saved.min(self.max_saved);
    }

    /// A request for the service began here.
    pub fn on_request(&mut self, now: Micros) {
        let elapsed = (now - self.updated_at).ratio_to(self.window).min(1.0);
        self.updated_at = now;
        self.saved = (self.saved * (1.0 - elapsed) + self.earned_a_request).min(self.max_saved);
    }

    /// Takes one attempt from the budget; false where there is no room for it.
    pub fn try_spend(&mut self) -> bool {
        let has_room = self.saved >= 1.0;
        if has_room {
            self.saved -= 1.0;
        }
        has_room
    }
}
