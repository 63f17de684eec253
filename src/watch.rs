//! When the list's watch is asked for next. A broken one resumes after a jittered backoff, so that agents
//! that lost it together don't ask together, and within the span in which a list counts as heard.
use crate::logic::Balancer;
use crate::units::Micros;

const SOON: Micros = Micros::ms(250); // who knows nobody serves nothing: it asks within this
const LEAST: Micros = Micros::ms(20); // kept from a failure to the next call

#[derive(Default)]
pub struct Watch {
    at: Option<Micros>,
    failures: i32,
}

/// `dart` is chance, 0 to 1, in all calls; `within` the span in which an agent has to ask.
impl Watch {
    /// The first call after a start; none where the list comes unasked.
    pub fn open(asked: bool, now: Micros, within: Micros, dart: f64) -> Watch {
        Watch { at: asked.then_some(now + within.times(0.4 * dart)), failures: 0 }
    }
    /// A list came, or `nobody` is on the one held from before a restart.
    pub fn heard(&mut self, restored: bool, nobody: bool, now: Micros, dart: f64) {
        if !restored {
            *self = Watch::default();
        } else if nobody && self.at.is_some() {
            self.at = Some(now + SOON.times(dart));
        }
    }
    pub fn failed(&mut self, now: Micros, within: Micros, dart: f64) {
        let base = Micros::ms(1_000).times(2f64.powi(self.failures.min(6)));
        self.at = Some(now + LEAST + base.min(within.times(0.7)).times(dart));
        self.failures += 1;
    }
    /// The list is now asked for elsewhere: what failed before says nothing of the new place.
    pub fn moved(&mut self) {
        self.failures = 0;
    }
    /// Whether to ask now. Should no answer come at all, it is asked again.
    pub fn due(&mut self, now: Micros, within: Micros) -> bool {
        let due = self.at.is_some_and(|at| at <= now);
        if due {
            self.at = Some(now + within.times(0.7));
        }
        due
    }
}

impl Balancer {
    /// The watch or a call for it failed: the list stays, and the watch resumes after a jittered backoff.
    pub fn list_failed(&mut self) {
        self.watch.failed(self.now, self.terms.ask_within, self.chance.rand_float());
    }

    /// The list is now asked for elsewhere: what failed before says nothing of the new place.
    pub fn list_moved(&mut self) {
        self.watch.moved();
        self.list_failed();
    }
}
