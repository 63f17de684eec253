//! What is done as time passes: what is overdue, what is given up, the beat.
use crate::{book::*, gate::MARGIN, logic::Balancer, tally::Tally, units::*};

const GUARD_HOLD: Micros = Micros::ms(30_000); // how long a frozen entry stays unless listed ready again
pub(crate) const BEAT: Micros = Micros::ms(50); // how often the balancer looks after itself
pub(crate) const FEW: usize = 2; // members an agent starts with, and keeps however little it has to send
const UNUSED: Micros = Micros::ms(10_000); // a member above those that got nothing for this long leaves
const PATIENT: f64 = 0.9; // part of answers that come before one is overdue
const SILENT: f64 = 3.0; // after so many times that wait, nothing is thought to come
const HASTE: Micros = Micros::ms(10); // so long before its SLA time a txn is given up
const TELLS: f64 = 10.0; // messages a second, each to one agent drawn at random

impl Balancer {
    /// How long an answer may take till it is overdue.
    pub(crate) fn patience(&self, scheme: SchemeId) -> Micros {
        let most = self.terms.schemes[scheme.0].sla.times(0.6);
        self.took[scheme.0].quantile(PATIENT).map_or(most, |usual| Micros(usual).max(MARGIN).min(most))
    }

    /// When there is something to do about what is out.
    pub(crate) fn due(&self, s: &State) -> Micros {
        let step = match s.out {
            Some(o) if !o.overdue => o.sent + self.patience(s.scheme),
            Some(o) if !o.silent => o.sent + self.patience(s.scheme).times(SILENT),
            _ => NEVER,
        };
        step.min(given_up(s, &self.terms.schemes[s.scheme.0]))
    }

    /// Looks after what is out. A repeatable posting overdue on a connection in doubt is withdrawn, to go
    /// elsewhere; silence far beyond the usual, twice in a row, says how long unused connections last.
    pub(crate) fn overdue(&mut self, out: &mut dyn Outlet) {
        let now = self.now;
        let all: Vec<(TxnRef, SchemeId)> = self.txns.iter().map(|(&txn, s)| (txn, s.scheme)).collect();
        for (txn, scheme) in all {
            let (wait, row) = (self.patience(scheme), &self.terms.schemes[scheme.0]);
            let Some(s) = self.txns.get_mut(&txn) else { continue };
            let over = now >= given_up(s, row);
            let Some(o) = s.out.as_mut() else { continue };
            let Some(b) = self.backends[o.to.0 as usize].as_mut() else { continue };
            let mute = b.answered <= o.sent;
            let long = over && o.overdue || now - o.sent >= wait.times(SILENT);
            o.overdue |= now - o.sent >= wait;
            if mute && !o.silent && long {
                // Given up sooner, it speaks against the connection only where that had stood unused.
                (o.silent, b.stale, b.silent) = (true, !over || o.stood > Micros(0), o.stood);
                if self.terms.live_weights && b.crowd < 2.0 {
                    self.trust.silent(std::mem::take(&mut b.silent)); // no queue keeps it silent
                }
            }
            if over {
                out.count("unserved_late");
                self.answer(txn, out);
                self.txn(txn).into_iter().for_each(|t| t.left(out));
            }
        }
    }

    pub(crate) fn answer(&mut self, txn: TxnRef, out: &mut dyn Outlet) {
        let Some(s) = self.txns.get_mut(&txn).filter(|s| !s.closed) else { return };
        s.closed = true;
        if harmless(s, &self.terms.schemes[s.scheme.0]) {
            out.decline(txn, self.terms.retry_after.map(|most| most.min(Micros::ms(50))));
        } else {
            out.reverse(txn);
        }
        if s.out.is_none() {
            self.txns.remove(&txn);
        }
    }

    pub fn wake(&mut self, out: &mut dyn Outlet) {
        let now = self.now;
        self.wake_at = NEVER;
        self.overdue(out);
        self.beat(out);
        let steps = self.txns.values().map(|s| self.due(s));
        let next = steps.fold(self.beat_at, Micros::min);
        self.alarm(next.max(now + self.terms.tick), out);
    }

    pub(crate) fn beat(&mut self, out: &mut dyn Outlet) {
        let now = self.now;
        if now < self.beat_at {
            return;
        }
        self.beat_at = now + BEAT;
        (0..std::mem::take(&mut self.ejections)).for_each(|_| out.count("ejections"));
        if self.watch.due(now, self.terms.ask_within) {
            out.watch();
        }
        self.count();
        self.rates.fade(BEAT, self.gauge.stress, self.trust.keep);
        let others = self.terms.agents.saturating_sub(1);
        if self.terms.peers && others > 0 && self.chance.rand_float() < TELLS * BEAT.over(Micros::ms(1_000)) {
            let other = 1 + (self.chance.rand_float() * f64::from(others)) as u32;
            out.tell(PeerId((self.terms.me.0 + other) % self.terms.agents), &self.rates.told());
        }
        let took = self.took.iter().filter_map(Tally::mean).fold(BEAT.0 as f64, f64::max);
        let (out_now, part) = (self.in_flight(), BEAT.0 as f64 / took);
        self.gauge.window.pass(out_now, part);
        self.gauge.wide.pass(out_now, part);
        let unused = |b: &Backend| b.out.is_empty() && now - b.used > UNUSED;
        if self.members.len() > self.terms.few.unwrap_or(FEW)
            && let Some(at) = self.members.iter().position(|&id| self.backend(id).is_none_or(unused))
        {
            self.members.remove(at);
        }
        let fade = 1.0 - BEAT.over(self.terms.fall_span + self.terms.fall_span);
        let mut fresh = Vec::new();
        for b in self.backends.iter_mut().flatten() {
            let dart = self.chance.rand_float();
            b.flow *= fade;
            if b.lot_until == Micros(0) {
                // Agents hear of a newcomer together: each begins its spans at a moment of its own.
                b.lot_until = now + self.terms.fall_span.times(dart);
            } else if b.lot_until <= now {
                (b.lot, b.lot_until) = (dart, now + self.terms.fall_span);
            }
            if b.turned_warm(&self.terms, now) {
                fresh.push(b.entry.backend);
            }
            if b.frozen.is_some_and(|since| now - since > GUARD_HOLD) {
                (b.frozen, b.dropped) = (None, true);
            }
        }
        let thin = self.gauge.thin;
        fresh.into_iter().filter(|_| thin).for_each(|id| self.welcome(id));
        let members = self.members.iter().filter_map(|id| self.backends.get(id.0 as usize)?.as_ref());
        for id in self.asking.due(members, &self.terms, now) {
            self.at(id).into_iter().for_each(|b| b.probed = now);
            out.probe(id);
        }
    }
}

/// Rule 2: a decline promises that asking again is harmless.
pub(crate) fn harmless(s: &State, row: &Scheme) -> bool {
    let untried = s.ran.is_none() && s.out.is_none();
    untried || row.kind == Kind::Repeatable || (row.kind == Kind::Referenced && row.group == Group::All)
}

/// An answer after the SLA time may be worth nothing: then what has none is given up while that is early.
fn given_up(s: &State, row: &Scheme) -> Micros {
    let may = !s.closed && s.out.is_some() && row.overdue == 0.0 && harmless(s, row);
    if may { s.taken + row.sla - HASTE } else { NEVER }
}
