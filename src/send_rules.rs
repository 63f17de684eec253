//! The rules that every attempt must satisfy. There is no other way to send one.
use crate::{backend_state::*, balancer::Balancer, units::*};

const IDLE_TRIAL: f64 = 0.03; // part of idempotent requests that try a long idle connection
pub(crate) const TIME_MARGIN: Micros = Micros::ms(50); // kept clear of every limit in time

impl Balancer {
    /// Whether the rules allow an attempt of this request at this backend now.
    pub(crate) fn may_send(&self, request: RequestId, id: BackendId) -> bool {
        let (Some(state), Some(backend)) = (self.requests.get(&request), self.backend(id)) else {
            return false;
        };
        // Rule 1: no attempt for an answered or expired request, or beyond the maximum number.
        if state.closed
            || self.now + self.policy.tick >= state.deadline
            || state.attempts >= self.policy.max_attempts
        {
            return false;
        }
        // Rule 2: never two attempts in flight; what may have run is retried only where that does no harm.
        let row = &self.policy.classes[state.class.0];
        let retry_is_safe = match (state.may_have_run, row.kind) {
            (None, _) | (_, RequestKind::Idempotent) => true,
            (_, RequestKind::NonIdempotent) => false,
            (Some((first, sent)), RequestKind::Keyed) => {
                let first = self.backend(first);
                self.now + TIME_MARGIN < sent + row.deduplication_window
                    && match row.scope {
                        DeduplicationScope::All => true,
                        DeduplicationScope::Zone => first.is_some_and(|f| f.entry.zone == backend.entry.zone),
                        DeduplicationScope::Cell => first.is_some_and(|f| f.entry.cell == backend.entry.cell),
                    }
            }
        };
        // Rule 3: none to a backend whose drain grace ends. It holds for frozen entries too.
        let ends =
            backend.leaving_since.zip(self.policy.drain_grace).map(|(since, grace)| since + grace.times(0.8));
        let drained = ends.is_some_and(|ends| self.now + TIME_MARGIN >= ends);
        state.outstanding.is_none()
            && retry_is_safe
            && !drained
            && !backend.removed
            && self.has_warmup_budget(backend)
    }

    /// Rule 4: while a backend warms up, this balancer's attempts within the warm-up window stay under what a warm
    /// one of that size answers for it (sent is more under overload), times the part warmed up, times half the
    /// multiple (the rest is for chance). One of a thousand balancers has far less than one attempt: it sends at
    /// random, drawn anew each window. The shares of all add up to the budget, however uneven their traffic.
    pub(crate) fn has_warmup_budget(&self, backend: &Backend) -> bool {
        if self.policy.backend_admission || backend.warm_fraction(&self.policy, self.now) >= 1.0 {
            return true;
        }
        let since = self.now - self.policy.warmup_window - TIME_MARGIN;
        let spent = backend.sent_while_warming.iter().filter(|&&at| at > since).count() as f64;
        spent + backend.warmup_draw < self.warmup_share(backend)
    }

    /// This balancer's share of what all may send to a warming backend within the window. Where nothing has
    /// succeeded yet, all balancers together may send one attempt.
    pub(crate) fn warmup_share(&self, backend: &Backend) -> f64 {
        let warm_fraction = backend.warm_fraction(&self.policy, self.now);
        let part =
            self.policy.warmup_multiple / 2.0 * warm_fraction * self.stats.throughput * backend.entry.size;
        part.max(1.0 / f64::from(self.policy.agent_count.max(1)))
    }

    /// Sends an attempt; returns false where the rules forbid it.
    pub(crate) fn send(&mut self, request: RequestId, id: BackendId, effects: &mut dyn Effects) -> bool {
        if !self.may_send(request, id) {
            return false;
        }
        let (now, trial) = (self.now, self.rng.rand_float() < IDLE_TRIAL);
        let trusted_idle = if self.policy.has_peers {
            self.idle_trust.trusted_idle.min(self.tenant_rates.idle_trust())
        } else {
            self.idle_trust.trusted_idle
        };
        let (Some(state), Some(backend)) =
            (self.requests.get_mut(&request), self.backends[id.0 as usize].as_mut())
        else {
            return false;
        };
        let (row, warming) =
            (&self.policy.classes[state.class.0], backend.warm_fraction(&self.policy, now) < 1.0);
        // An attempt on a connection that was dropped unseen gets no answer: one that was idle for longer than
        // such are known to last is closed first, but for a trial now and then.
        let mut idle_for = backend.idle_for(now);
        let trial = trial && row.kind == RequestKind::Idempotent && !backend.connection_suspect;
        if backend.outstanding.is_empty() && (backend.connection_suspect || idle_for > trusted_idle) && !trial
        {
            effects.close_idle(id);
            effects.increment("links_renewed");
            (backend.connection_suspect, idle_for) = (false, Micros(0));
        }
        state.outstanding = Some(Attempt {
            number: state.attempts,
            to: id,
            sent: now,
            idle_for,
            overdue: false,
            silent: false,
        });
        backend.counts(warming, now).into_iter().for_each(|what| effects.increment(what));
        state.attempts += 1;
        state.last_backend = Some(id);
        backend.on_sent(request, now, warming);
        effects.send(request, id, state.deadline);
        let due = self.requests.get(&request).map_or(NEVER, |state| self.next_step(state));
        self.schedule_wake(due, effects);
        true
    }
}
