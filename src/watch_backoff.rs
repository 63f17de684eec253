//! When the endpoint list is asked for next. A broken watch resumes after a jittered backoff, so that balancers that
//! lost it together do not ask together.
use crate::units::Micros;

const SOON: Micros = Micros::ms(250); // without any backend nothing is served: ask within this
const MIN_BACKOFF: Micros = Micros::ms(20); // from a failure to the next call

/// The next call for the endpoint list.
#[derive(Default)]
pub struct WatchBackoff {
    at: Option<Micros>,
    failures: i32,
}

/// In all calls `roll` is random, 0 to 1, and `within` the span in which the list has to be asked for.
impl WatchBackoff {
    /// The first call after a start; none where the list comes unsolicited.
    pub fn new(on_request: bool, now: Micros, within: Micros, roll: f64) -> WatchBackoff {
        WatchBackoff { at: on_request.then_some(now + within.times(0.4 * roll)), failures: 0 }
    }
    /// A list has come; `nobody`: the restored one is empty.
    pub fn on_list(&mut self, restored: bool, nobody: bool, now: Micros, roll: f64) {
        if !restored {
            *self = WatchBackoff::default();
        } else if nobody && self.at.is_some() {
            self.at = Some(now + SOON.times(roll));
        }
    }
    /// A call has failed.
    pub fn on_failure(&mut self, now: Micros, within: Micros, roll: f64) {
        let base = Micros::ms(1_000).times(2f64.powi(self.failures.min(6)));
        self.at = Some(now + MIN_BACKOFF + base.min(within.times(0.7)).times(roll));
        self.failures += 1;
    }
    /// The source is another one: earlier failures do not count.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
    /// Whether to ask now. Should no answer come, it is due again.
    pub fn due(&mut self, now: Micros, within: Micros) -> bool {
        let due = self.at.is_some_and(|at| at <= now);
        if due {
            self.at = Some(now + within.times(0.7));
        }
        due
    }
}
