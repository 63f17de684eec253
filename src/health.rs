//! What answers and probes say of a backend: doubt, and ejection past a bound.
use crate::{logic::Balancer, units::*};

const FIRST_SHUT: Micros = Micros::ms(2_000); // how long a backend is ejected; doubled up to
const LAST_SHUT: Micros = Micros::ms(16_000); // this while it goes on failing
const USUAL: f64 = 0.05; // failures among postings up to which two in a row point at their backend

impl Balancer {
    pub fn probed(&mut self, id: BackendId, fate: Fate) {
        if matches!(fate, Fate::NoLink | Fate::Broken) {
            self.judge(id, 0.5);
        }
    }

    /// Evidence against a backend. Past the bound it is ejected, for longer each time till a posting settles;
    /// in between it comes back with the little weight that doubt leaves it.
    pub(crate) fn judge(&mut self, id: BackendId, weight: f64) {
        let now = self.now;
        let Some(b) = self.at(id) else { return };
        b.doubt += (1.0 - b.doubt) * weight;
        if b.doubt > 0.6 && b.shut_until <= now {
            b.shut_for = (b.shut_for + b.shut_for).max(FIRST_SHUT).min(LAST_SHUT);
            b.shut_until = now + b.shut_for;
            self.ejections += 1;
            self.count();
        }
    }

    /// True where the posting was lost alone: the backend answered what was sent in the second half of its
    /// wait. That is one more failure, but speaks of no queue (rf678eb).
    pub(crate) fn came_back(
        &mut self,
        id: BackendId,
        scheme: SchemeId,
        sent: Micros,
        fate: Fate,
        took: Micros,
    ) -> bool {
        let (mean, mut usual, now) = (self.took[scheme.0].mean(), self.gauge.fails, self.now);
        let Some(b) = self.at(id) else { return false };
        let lost = fate == Fate::TimedOut && b.answered > sent + took.times(0.5);
        if !lost && matches!(fate, Fate::Settled | Fate::TimedOut) {
            b.paces((took.0 as f64 / mean.unwrap_or(took.0 as f64).max(1.0)).min(8.0), now);
        }
        if sent < b.entry.started {
            return lost; // what an earlier process did says nothing of this one
        }
        if lost || matches!(fate, Fate::Settled | Fate::Errored | Fate::Broken) {
            usual += 0.02 * (1.0 - b.doubt) * (f64::from(fate != Fate::Settled) - usual);
        }
        match fate {
            Fate::Settled => {
                (b.flow, b.answered, b.doubt) = (b.flow + 1.0, b.answered.max(sent), b.doubt * 0.6);
                (b.shut_until, b.shut_for) = (now, Micros(0));
                self.took[scheme.0].add(took.0);
            }
            // Two in a row eject: a silent backend must not shut small windows for long (incident i4e8cc2).
            Fate::NoLink | Fate::TimedOut if !lost => self.judge(id, 0.45),
            // Unless failures are usual: what strikes all alike must not leave out one after the other.
            Fate::Errored | Fate::Broken | Fate::TimedOut => {
                self.judge(id, 0.45 * (USUAL / usual).clamp(0.1, 1.0))
            }
            Fate::TurnedAway => {
                b.leaves = now;
                self.judge(id, 0.2)
            }
            _ => {}
        }
        self.gauge.fails = usual;
        lost
    }
}
