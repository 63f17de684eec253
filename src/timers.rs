//! What is done as time passes: overdue attempts, requests that are given up, the periodic tick.
use crate::{backend_state::*, balancer::Balancer, histogram::Histogram, send_rules::TIME_MARGIN, units::*};

const GUARD_HOLD: Micros = Micros::ms(30_000); // a frozen entry stays for this long unless it is listed as ready again
pub(crate) const TICK_INTERVAL: Micros = Micros::ms(50); // between two ticks
pub(crate) const MIN_SUBSET: usize = 2; // of the subset, however little there is to send
const SUBSET_IDLE: Micros = Micros::ms(10_000); // a backend of a larger subset that got nothing for this long leaves it
const USUAL_QUANTILE: f64 = 0.9; // an attempt is overdue past this quantile of response times
const SILENCE_FACTOR: f64 = 3.0; // past this multiple of it no answer is expected
const GIVE_UP_MARGIN: Micros = Micros::ms(10); // before its latency target
const PEER_MESSAGES: f64 = 10.0; // a second, each to one balancer picked at random

impl Balancer {
    /// How long an answer may take before its attempt is overdue.
    pub(crate) fn usual_wait(&self, class: ClassId) -> Micros {
        let most = self.policy.classes[class.0].latency_target.times(0.6);
        self.latencies[class.0]
            .quantile(USUAL_QUANTILE)
            .map_or(most, |usual| Micros(usual).max(TIME_MARGIN).min(most))
    }

    /// When something is to be done about this request's attempt.
    pub(crate) fn next_step(&self, state: &RequestState) -> Micros {
        let step = match state.outstanding {
            Some(attempt) if !attempt.overdue => attempt.sent + self.usual_wait(state.class),
            Some(attempt) if !attempt.silent => {
                attempt.sent + self.usual_wait(state.class).times(SILENCE_FACTOR)
            }
            _ => NEVER,
        };
        step.min(give_up_at(state, &self.policy.classes[state.class.0]))
    }

    /// Checks all attempts in flight: marks the overdue and the silent ones, and gives up requests whose answer would
    /// be worth nothing. Silence twice in a row on idle connections says how long such connections last.
    pub(crate) fn check_outstanding(&mut self, effects: &mut dyn Effects) {
        let now = self.now;
        let all: Vec<(RequestId, ClassId)> =
            self.requests.iter().map(|(&request, state)| (request, state.class)).collect();
        for (request, class) in all {
            let (wait, row) = (self.usual_wait(class), &self.policy.classes[class.0]);
            let Some(state) = self.requests.get_mut(&request) else { continue };
            let over = now >= give_up_at(state, row);
            let Some(attempt) = state.outstanding.as_mut() else { continue };
            let Some(backend) = self.backends[attempt.to.0 as usize].as_mut() else { continue };
            let mute = backend.last_answered <= attempt.sent;
            let long = over && attempt.overdue || now - attempt.sent >= wait.times(SILENCE_FACTOR);
            attempt.overdue |= now - attempt.sent >= wait;
            if mute && !attempt.silent && long {
                // Given up sooner, it speaks against the connection only where that had been idle.
                (attempt.silent, backend.connection_suspect, backend.silent_after_idle) =
                    (true, !over || attempt.idle_for > Micros(0), attempt.idle_for);
                if self.policy.weights_follow_load && backend.load_per_core < 2.0 {
                    self.idle_trust.on_silence(std::mem::take(&mut backend.silent_after_idle)); // a queue can't be why
                }
            }
            if over {
                effects.increment("unserved_late");
                self.give_up(request, effects);
                self.request(request).into_iter().for_each(|t| t.on_client_left(effects));
            }
        }
    }

    /// Answers the client: a rejection where asking again is harmless, else a failure.
    pub(crate) fn give_up(&mut self, request: RequestId, effects: &mut dyn Effects) {
        let Some(state) = self.requests.get_mut(&request).filter(|state| !state.closed) else { return };
        state.closed = true;
        if retry_is_safe(state, &self.policy.classes[state.class.0]) {
            effects.reject(request, self.policy.retry_after.map(|most| most.min(Micros::ms(50))));
        } else {
            effects.fail(request);
        }
        if state.outstanding.is_none() {
            self.requests.remove(&request);
        }
    }

    /// The time that was asked for with [`Effects::wake_after`] has come.
    pub fn on_wake(&mut self, effects: &mut dyn Effects) {
        let now = self.now;
        self.wake_at = NEVER;
        self.check_outstanding(effects);
        self.tick(effects);
        let steps = self.requests.values().map(|state| self.next_step(state));
        let next = steps.fold(self.next_tick, Micros::min);
        self.schedule_wake(next.max(now + self.policy.tick), effects);
    }

    pub(crate) fn tick(&mut self, effects: &mut dyn Effects) {
        let now = self.now;
        if now < self.next_tick {
            return;
        }
        self.next_tick = now + TICK_INTERVAL;
        (0..std::mem::take(&mut self.ejections)).for_each(|_| effects.increment("ejections"));
        if self.watch.due(now, self.policy.watch_within) {
            effects.watch();
        }
        self.update_statistics();
        self.tenant_rates.fade(TICK_INTERVAL, self.stats.pressure, self.idle_trust.trusted_idle);
        let others = self.policy.agent_count.saturating_sub(1);
        if self.policy.has_peers
            && others > 0
            && self.rng.rand_float() < PEER_MESSAGES * TICK_INTERVAL.ratio_to(Micros::ms(1_000))
        {
            let other = 1 + (self.rng.rand_float() * f64::from(others)) as u32;
            effects.send_to_peer(
                PeerId((self.policy.own_id.0 + other) % self.policy.agent_count),
                &self.tenant_rates.encode(),
            );
        }
        let latency =
            self.latencies.iter().filter_map(Histogram::mean).fold(TICK_INTERVAL.0 as f64, f64::max);
        let (in_flight, part) = (self.in_flight(), TICK_INTERVAL.0 as f64 / latency);
        self.stats.window.accrue(in_flight, part);
        self.stats.in_quota_window.accrue(in_flight, part);
        let unused =
            |backend: &Backend| backend.outstanding.is_empty() && now - backend.last_sent > SUBSET_IDLE;
        if self.subset.len() > self.policy.subset_size.unwrap_or(MIN_SUBSET)
            && let Some(at) = self.subset.iter().position(|&id| self.backend(id).is_none_or(unused))
        {
            self.subset.remove(at);
        }
        let fade = 1.0 - TICK_INTERVAL.ratio_to(self.policy.warmup_window + self.policy.warmup_window);
        let mut fresh = Vec::new();
        for backend in self.backends.iter_mut().flatten() {
            let roll = self.rng.rand_float();
            backend.throughput *= fade;
            if backend.warmup_draw_until == Micros(0) {
                // All balancers learn of a new backend together: each starts its windows at a random moment.
                backend.warmup_draw_until = now + self.policy.warmup_window.times(roll);
            } else if backend.warmup_draw_until <= now {
                (backend.warmup_draw, backend.warmup_draw_until) = (roll, now + self.policy.warmup_window);
            }
            if backend.became_warm(&self.policy, now) {
                fresh.push(backend.entry.backend);
            }
            if backend.frozen_since.is_some_and(|since| now - since > GUARD_HOLD) {
                (backend.frozen_since, backend.removed) = (None, true);
            }
        }
        let has_few_backends = self.stats.has_few_backends;
        fresh.into_iter().filter(|_| has_few_backends).for_each(|id| self.admit_to_subset(id));
        let subset = self.subset.iter().filter_map(|id| self.backends.get(id.0 as usize)?.as_ref());
        for id in self.probe_budget.due(subset, &self.policy, now) {
            self.at(id).into_iter().for_each(|backend| backend.probed_at = now);
            effects.probe(id);
        }
    }
}

/// Rule 2: a rejection promises that asking again is harmless.
pub(crate) fn retry_is_safe(state: &RequestState, row: &RequestClass) -> bool {
    let untried = state.may_have_run.is_none() && state.outstanding.is_none();
    untried
        || row.kind == RequestKind::Idempotent
        || (row.kind == RequestKind::Keyed && row.scope == DeduplicationScope::All)
}

/// When the request is given up: shortly before its latency target, where an answer after it is worth nothing.
fn give_up_at(state: &RequestState, row: &RequestClass) -> Micros {
    let may =
        !state.closed && state.outstanding.is_some() && row.late_value == 0.0 && retry_is_safe(state, row);
    if may { state.received_at + row.latency_target - GIVE_UP_MARGIN } else { NEVER }
}
