//! Requests of the fleet as its agents count them, and when they are evidence against a command.

/// So much of the success rate may be lost before a command is halted.
const MAX_SUCCESS_RATE_LOSS: f64 = 0.05;
/// Fewer requests than this are no evidence.
const MIN_REQUESTS: u64 = 50;
/// The recent counts are halved beyond so many requests.
const RECENT_REQUESTS: u64 = 2_000;
/// One in so many instances may fail a command before it is halted; one always may.
const TOLERATED_FAILURES: usize = 10;

/// Requests, and those of them that succeeded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Those that succeeded.
    pub succeeded: u64,
    /// All.
    pub all: u64,
}

impl RequestCounts {
    fn add(&mut self, more: RequestCounts) {
        self.succeeded += more.succeeded;
        self.all += more.all;
    }

    /// What was added since `earlier`, which must be an earlier value of the same counts.
    pub fn since(self, earlier: RequestCounts) -> RequestCounts {
        RequestCounts { succeeded: self.succeeded - earlier.succeeded, all: self.all - earlier.all }
    }

    /// The fraction that succeeded, if there was any request.
    pub fn success_rate(self) -> Option<f64> {
        (self.all > 0).then(|| self.succeeded as f64 / self.all as f64)
    }
}

/// Requests since this controller became the owner.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    total: RequestCounts,
    recent: RequestCounts,
}

impl Traffic {
    /// An agent reported more requests.
    pub fn add(&mut self, more: RequestCounts) {
        self.total.add(more);
        self.recent.add(more);
        if self.recent.all > RECENT_REQUESTS {
            self.recent = RequestCounts { succeeded: self.recent.succeeded / 2, all: self.recent.all / 2 };
        }
    }

    /// All of them.
    pub fn total(&self) -> RequestCounts {
        self.total
    }

    /// The success rate of late, if there was any request.
    pub fn recent_success_rate(&self) -> Option<f64> {
        self.recent.success_rate()
    }
}

/// Why a command is to be sent to no more instances, if so. `failed` of `targets` instances refused it, failed or were lost; `rate_before` is the
/// success rate before it was submitted, `since` the requests after.
pub fn halt_reason(
    failed: usize,
    targets: usize,
    rate_before: Option<f64>,
    since: RequestCounts,
) -> Option<String> {
    if failed > (targets / TOLERATED_FAILURES).max(1) {
        return Some(format!("{failed} of {targets} instances refused, failed or were lost"));
    }
    let (rate_before, rate) = (rate_before?, since.success_rate()?);
    let fell = since.all >= MIN_REQUESTS && rate < rate_before - MAX_SUCCESS_RATE_LOSS;
    fell.then(|| format!("service fell from {rate_before:.3} to {rate:.3} of {} txns", since.all))
}
