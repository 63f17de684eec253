//! Running figures of a balancer, kept from beat to beat. No decisions here.
use crate::{book::*, logic::Balancer, strain::FAIR};

impl Balancer {
    /// Own postings out. What is stuck, long past its SLA time or at an ejected backend, uses up no window.
    pub(crate) fn in_flight(&self) -> f64 {
        let now = self.now;
        let counts = |s: &&State| {
            let recent = |o: &Posting| now - o.sent < self.terms.schemes[s.scheme.0].sla.times(1.5);
            let shut = |o: &Posting| self.backend(o.to).is_some_and(|b| b.shut(now));
            s.out.is_some_and(|o| recent(&o) && !(self.gauge.ejecting && shut(&o)))
        };
        self.txns.values().filter(counts).count() as f64
    }

    /// The figures that are kept from beat to beat.
    pub(crate) fn count(&mut self) {
        let (mut listed, mut ill) = (0, 0);
        let (mut flow, mut size, mut cores, mut crowd) = (0.0, 0.0, 0.0, 0.0);
        for b in self.kept() {
            let warmth = b.warmth(&self.terms, self.now);
            // Who is told gone and may take nothing holds up no floor, and hides no illness of the rest.
            if b.told.is_none() || self.terms.drain_grace.is_none() {
                (listed, ill) = (listed + 1, ill + usize::from(b.shut(self.now)));
                (cores, crowd) = (cores + warmth * b.entry.size.clamp(1.0, 4.0), crowd + b.crowd);
            }
            if b.told.is_none() && warmth >= 1.0 {
                (flow, size) = (flow + b.flow, size + b.entry.size);
            }
        }
        // This agent's part of what overloads nobody: with less it learns too little to recover. Sizes only
        // compare, so they stand for cores but within bounds.
        self.gauge.least = 1.2 * cores / self.terms.agents.max(1) as f64;
        self.gauge.flow = if size > 0.0 { flow / size / 2.0 } else { 0.0 };
        self.gauge.crowd = crowd / listed.max(1) as f64;
        self.gauge.thin = self.terms.agents as usize > listed;
        // When more than half looks ill, something shared is the likelier cause: all stay.
        self.gauge.ejecting = 2 * ill <= listed;
    }

    /// How much more strain txns within shares may bring than an aim. Where the goal keeps promises they have
    /// that aim itself, and what is beyond has less.
    pub(crate) fn wider(&self) -> f64 {
        if self.terms.kept_promises > 0.0 { 1.0 } else { FAIR }
    }
}
