//! How the window moves: many agents that do so keep the queues of backends short without talking.
use crate::{logic::Balancer, units::*};

const EASE: f64 = 0.12; // square of response time over SLA time aimed at when the window is full
const AT_ONCE: f64 = 0.02; // an answer within this part of the SLA time shows no work worth a window
const QUICK: f64 = 4.0; // the aim is this many times the square of the quicker quarter, where that is more
const FULL: f64 = 0.9; // reported utilisation from which a thin agent lets nothing more through
const ROOM: f64 = 3.0; // how far what is left below that raises its aim
pub(crate) const FAIR: f64 = 2.5; // aim for txns within shares, as a multiple of that of the rest
const CROWD: f64 = 3.0; // txns held a core by the list above which nobody is at ease

impl Balancer {
    /// Every posting that comes back moves the window: up while it is used and answers come with ease, down
    /// as they near the SLA time. Many agents doing so keep the backends' queues short without talking.
    pub(crate) fn ease(&mut self, scheme: SchemeId, fate: Fate, took: Micros) {
        let part = took.over(self.terms.schemes[scheme.0].sla);
        let strain = match fate {
            Fate::Settled => part.min(1.2).powi(2),
            Fate::TimedOut | Fate::TurnedAway => 0.8,
            _ => return,
        };
        self.gauge.stress += 0.1 * (strain - self.gauge.stress);
        if fate != Fate::Settled {
            self.gauge.busy += 0.1 * (1.0 - self.gauge.busy); // who does not answer reports no room
        }
        // Where even the quicker answers take much of the SLA time, that is work, not waiting.
        let quick = self.took[scheme.0].quantile(0.25).unwrap_or(0);
        let quick = Micros(quick).over(self.terms.schemes[scheme.0].sla);
        self.gauge.rest += 0.05 * (quick * quick - self.gauge.rest);
        // A thin agent knows few backends, and the slow among them mark its mean. What they report to have
        // left is told to all alike: as long as that is much, waiting is not why answers are late.
        let room = if self.gauge.thin { (1.0 - self.gauge.busy / FULL).max(0.0) } else { 0.0 };
        let mut aim = (QUICK * self.gauge.rest).clamp(EASE, 1.5 * EASE) * (1.0 + ROOM * room);
        let (out, least) = (self.in_flight(), self.gauge.least);
        if self.terms.peers {
            let wide = self.wider() * aim;
            let pull = ((wide - self.rates.stress()) / wide).clamp(-1.0, 1.0);
            let calm = pull > 0.0 && self.rates.known() && self.gauge.crowd < CROWD;
            self.gauge.calm = calm && self.wider() > 1.0;
            self.gauge.wide.moves(out, 0.2, pull, least);
            aim *= self.wider() / FAIR;
        }
        let pull = ((aim - self.gauge.stress) / aim).clamp(-1.0, 1.0);
        // While it opens, an answer that comes at once doubles it: waiting is then far off, and clients that
        // ask again without a pause would be declined by the thousand.
        let step = match self.gauge.opening {
            true if part < AT_ONCE => 1.0 + self.gauge.window.size,
            true => 0.5,
            false => 0.2,
        };
        if self.gauge.window.moves(out, step, pull, least) {
            self.gauge.opening &= pull > 0.0;
        }
    }
}
