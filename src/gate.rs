//! The one gate: each rule is kept here, and no path around it exists.
use crate::{book::*, logic::Balancer, units::*};

const TRIAL: f64 = 0.03; // part of repeatable txns that try a connection which stood idle for long
pub(crate) const MARGIN: Micros = Micros::ms(50); // kept clear of every limit in time

impl Balancer {
    /// The one gate. Each line keeps one rule; no path around it exists.
    pub(crate) fn may_post(&self, txn: TxnRef, id: BackendId) -> bool {
        let (Some(s), Some(b)) = (self.txns.get(&txn), self.backend(id)) else { return false };
        // Rule 1: nothing for a closed or overdue txn, or beyond the agreed number of postings.
        if s.closed || self.now + self.terms.tick >= s.expiry || s.postings >= self.terms.max_postings {
            return false;
        }
        // Rule 2: never two postings out; what may have run goes again only where a repeat does no harm.
        let row = &self.terms.schemes[s.scheme.0];
        let harmless = match (s.ran, row.kind) {
            (None, _) | (_, Kind::Repeatable) => true,
            (_, Kind::OnceOnly) => false,
            (Some((first, sent)), Kind::Referenced) => {
                let first = self.backend(first);
                self.now + MARGIN < sent + row.window
                    && match row.group {
                        Group::All => true,
                        Group::Zone => first.is_some_and(|f| f.entry.zone == b.entry.zone),
                        Group::Cell => first.is_some_and(|f| f.entry.cell == b.entry.cell),
                    }
            }
        };
        // Rule 3 binds frozen entries too: the freeze never outlives the grace where there is one.
        let ends = b.told.zip(self.terms.drain_grace).map(|(told, grace)| told + grace.times(0.8));
        let drained = ends.is_some_and(|ends| self.now + MARGIN >= ends);
        s.out.is_none() && harmless && !drained && !b.dropped && self.cold_room(b)
    }

    /// Rule 4: while a backend is cold, this agent's postings within the span stay under what a warm one of
    /// that size settles for it (sent is more under overload), times the share warmed up, times half the
    /// multiple (the rest is for chance). One of a thousand agents has far less than one posting: it posts by
    /// lot, drawn anew each span. The parts of all agents add up to the budget, however uneven their traffic.
    pub(crate) fn cold_room(&self, b: &Backend) -> bool {
        if self.terms.doors || b.warmth(&self.terms, self.now) >= 1.0 {
            return true;
        }
        let since = self.now - self.terms.fall_span - MARGIN;
        let spent = b.cold_sent.iter().filter(|&&at| at > since).count() as f64;
        spent + b.lot < self.cold_part(b)
    }

    /// This agent's part of what all may post to a cold backend within the span. Where nothing was settled
    /// yet, all agents together may send one posting.
    pub(crate) fn cold_part(&self, b: &Backend) -> f64 {
        let warmth = b.warmth(&self.terms, self.now);
        let part = self.terms.fall_multiple / 2.0 * warmth * self.gauge.flow * b.entry.size;
        part.max(1.0 / self.terms.agents.max(1) as f64)
    }

    pub(crate) fn post(&mut self, txn: TxnRef, id: BackendId, out: &mut dyn Outlet) -> bool {
        if !self.may_post(txn, id) {
            return false;
        }
        let (now, trial) = (self.now, self.chance.rand_float() < TRIAL);
        let keep = if self.terms.peers { self.trust.keep.min(self.rates.keep()) } else { self.trust.keep };
        let (Some(s), Some(b)) = (self.txns.get_mut(&txn), self.backends[id.0 as usize].as_mut()) else {
            return false;
        };
        let (row, cold) = (&self.terms.schemes[s.scheme.0], b.warmth(&self.terms, now) < 1.0);
        // What is sent on a connection that was dropped unseen gets no answer: one that stood for longer than
        // such were seen to last is closed first, but for a trial now and then.
        let mut stood = b.stood(now);
        let trial = trial && row.kind == Kind::Repeatable && !b.stale;
        if b.out.is_empty() && (b.stale || stood > keep) && !trial {
            out.trim(id);
            out.count("links_renewed");
            (b.stale, stood) = (false, Micros(0));
        }
        s.out = Some(Posting { number: s.postings, to: id, sent: now, stood, overdue: false, silent: false });
        b.counts(cold, now).into_iter().for_each(|what| out.count(what));
        s.postings += 1;
        s.last = Some(id);
        b.posted(txn, now, cold);
        out.post(txn, id, s.expiry);
        let due = self.txns.get(&txn).map_or(NEVER, |s| self.due(s));
        self.alarm(due, out);
        true
    }
}
