//! The way of one request: [`Balancer::begin`], then [`RequestHandle::route`], and [`RequestHandle::on_attempt_end`]
//! for each attempt until it is answered. Every attempt passes `Balancer::send` and there `may_send`, which holds
//! the four rules of `send_rules`.
use crate::backend_state::*;
use crate::balancer::Balancer;
pub use crate::balancer::RequestHandle;
use crate::units::*;

impl Balancer {
    /// A new request; its handle is to be routed at once. The answer is of use until `deadline`.
    pub fn begin(&mut self, request: RequestId, class: ClassId, deadline: Micros) -> RequestHandle<'_> {
        self.requests.insert(request, RequestState::new(class, deadline, self.now));
        self.stats.retry_tokens = (self.stats.retry_tokens + 0.1).min(10.0);
        self.probe_budget.on_request(&self.policy);
        RequestHandle { balancer: self, request }
    }

    /// An attempt has succeeded on a connection that had been idle for so long, or was new.
    fn learn_idle_trust(&mut self, id: BackendId, class: ClassId, idle_for: Micros, took: Micros) {
        let soon = took < self.usual_wait(class);
        let Some(backend) = self.backends[id.0 as usize].as_mut() else { return };
        match (idle_for, std::mem::take(&mut backend.silent_after_idle)) {
            // A new connection answers as usual where an idle one did not: it was the connection.
            (Micros(0), silent) if soon => self.idle_trust.on_silence(silent),
            (idle_for, _) => self.idle_trust.on_answer(idle_for),
        }
    }

    /// What a retry costs after this outcome. Retries are paid for from what the traffic has saved up, so that
    /// failures do not add to overload.
    fn retry_price(&self, outcome: AttemptOutcome) -> f64 {
        match outcome {
            // What a backend's proxy rejected has cost no backend anything.
            _ if self.policy.backend_admission && outcome.never_ran() => 0.0,
            AttemptOutcome::TimedOut | AttemptOutcome::Rejected => 1.0,
            _ => 0.3,
        }
    }
}

impl RequestHandle<'_> {
    /// Whose request it is. Requests beyond a tenant's quota are marked at random, in proportion to how far the
    /// tenant's requests at all balancers exceed the quota.
    pub fn with_tenant(self, tenant: Option<TenantId>) -> Self {
        let RequestHandle { balancer, request } = self;
        if let Some(TenantId(tenant)) = tenant.filter(|_| balancer.policy.has_peers) {
            balancer.tenant_rates.record(tenant);
            let all = balancer.tenant_rates.mean(tenant) * f64::from(balancer.policy.agent_count);
            let quota = balancer.policy.quotas.get(tenant).copied().unwrap_or(f64::MAX);
            let in_quota = balancer.rng.rand_float() * all < quota;
            balancer.requests.get_mut(&request).into_iter().for_each(|state| state.in_quota = in_quota);
        }
        RequestHandle { balancer, request }
    }

    /// Sends the request to a backend, or rejects it at once where the window is used up.
    pub fn route(self, effects: &mut dyn Effects) {
        let RequestHandle { balancer, request } = self;
        let in_quota = balancer.requests.get(&request).is_some_and(|state| state.in_quota);
        let window = if in_quota { balancer.stats.in_quota_window } else { balancer.stats.window };
        if !(balancer.policy.backend_admission
            || in_quota && balancer.stats.calm
            || window.has_room(balancer.in_flight()))
        {
            effects.increment("unserved_window");
            return balancer.give_up(request, effects);
        }
        RequestHandle { balancer, request }.send(effects);
    }

    fn send(self, effects: &mut dyn Effects) {
        let RequestHandle { balancer, request } = self;
        let found = balancer.pick(request);
        if !found.is_some_and(|id| balancer.send(request, id, effects)) {
            let over = balancer
                .requests
                .get(&request)
                .is_some_and(|state| balancer.now + balancer.policy.tick >= state.deadline);
            effects.increment(if over { "unserved_expired" } else { "unserved_no_backend" });
            balancer.give_up(request, effects);
        }
    }

    /// An attempt has ended; `closed`: the client has its answer. Retries where that is allowed.
    pub fn on_attempt_end(
        self,
        attempt: u32,
        outcome: AttemptOutcome,
        took: Micros,
        closed: bool,
        effects: &mut dyn Effects,
    ) {
        let RequestHandle { balancer, request } = self;
        let now = balancer.now;
        let Some(state) = balancer.requests.get_mut(&request) else { return };
        let Some(Attempt { to: id, sent, idle_for, silent, .. }) =
            state.outstanding.filter(|outstanding| outstanding.number == attempt)
        else {
            return;
        };
        state.outstanding = None;
        let class = state.class;
        balancer.backends[id.0 as usize].iter_mut().for_each(|backend| backend.on_returned(request, now));
        if !outcome.never_ran() {
            state.may_have_run = state.may_have_run.or(Some((id, sent)));
        }
        state.closed |= closed || outcome == AttemptOutcome::Succeeded;
        let over = state.closed;
        let ejected = balancer.stats.ejection_enabled
            && balancer.backend(id).is_some_and(|backend| backend.is_ejected(now));
        if outcome == AttemptOutcome::Succeeded {
            balancer.learn_idle_trust(id, class, idle_for, took);
        }
        let outcome =
            if outcome == AttemptOutcome::Cancelled && silent { AttemptOutcome::TimedOut } else { outcome };
        // No answer on a connection that had been idle says nothing of the backend.
        let unused =
            outcome == AttemptOutcome::TimedOut && idle_for.times(2.0) > balancer.idle_trust.trusted_idle;
        let lost = unused || balancer.record_outcome(id, class, sent, outcome, took);
        if !ejected && !lost {
            balancer.adjust_window(class, outcome, took);
        }
        let price = balancer.retry_price(outcome);
        if over {
            balancer.requests.remove(&request);
        } else if outcome.is_final() || balancer.stats.retry_tokens < price {
            // What one backend can't use none can: such a request must not try them all.
            effects.increment(if outcome.is_final() { "unserved_unusable" } else { "unserved_no_budget" });
            balancer.give_up(request, effects);
        } else {
            balancer.stats.retry_tokens -= price;
            RequestHandle { balancer: &mut *balancer, request }.send(effects);
        }
    }

    /// The client has left: the request needs no answer, and its attempt is cancelled where the policy allows it.
    pub fn on_client_left(self, effects: &mut dyn Effects) {
        let RequestHandle { balancer, request } = self;
        let Some(state) = balancer.requests.get_mut(&request) else { return };
        state.closed = true;
        match state.outstanding {
            Some(attempt) if balancer.policy.may_cancel => effects.cancel(request, attempt.number),
            None => drop(balancer.requests.remove(&request)),
            _ => {}
        }
    }
}
