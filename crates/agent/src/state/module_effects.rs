//! Carries out what the decision module decides.
use std::collections::BTreeMap;
use std::rc::Rc;

use actix::Recipient;
use notchspool::units::{AttemptOutcome, BackendId, Effects, Micros, RequestId};
use notchspool_routes::retry_budget::RetryBudget;

use super::body_stream::RemainingBody;
use super::counters::Counters;
use super::messages::{BackendHandle, StartWatch, ToBackend};
use super::request::{BackendAnswer, FinalAnswer, InFlight, RetryBudgets, UnservedFacts};

/// How the module left a request unserved.
#[derive(Clone, Copy, Debug)]
enum Unserved {
    Rejected(Option<Micros>),
    Failed,
}

/// An attempt that comes back at once: no budget paid for it, or its body is consumed.
#[derive(Clone, Copy, Debug)]
pub struct UnsentAttempt {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Where it would have gone.
    pub backend: BackendId,
    /// Why it did not.
    pub outcome: AttemptOutcome,
}

/// The requests in flight and the actors of backends, as the module's effects need them.
pub struct ModuleEffects {
    /// Requests in flight.
    pub requests: BTreeMap<RequestId, InFlight>,
    /// Actors of backends.
    pub backends: BTreeMap<BackendId, BackendHandle>,
    /// Whoever starts the watch.
    pub registry: Option<Recipient<StartWatch>>,
    /// The process's counters.
    pub counters: Rc<Counters>,
    retry_budgets: RetryBudgets,
    /// When the module wants to be woken, if it said so in the call just made.
    pub wake_after: Option<Micros>,
    /// Requests that the call just made left unserved.
    unserved: Vec<(RequestId, Unserved)>,
    /// Attempts that the call just made and that come back at once.
    pub unsent: Vec<UnsentAttempt>,
}

impl ModuleEffects {
    /// Nothing in flight, no backend known.
    pub fn new(counters: Rc<Counters>, retry_budgets: RetryBudgets) -> ModuleEffects {
        ModuleEffects {
            requests: BTreeMap::new(),
            backends: BTreeMap::new(),
            registry: None,
            counters,
            retry_budgets,
            wake_after: None,
            unserved: Vec::new(),
            unsent: Vec::new(),
        }
    }

    /// A request has come.
    pub fn begin(&mut self, request: RequestId, in_flight: InFlight) {
        self.requests.insert(request, in_flight);
        self.counters.in_flight.set(self.counters.in_flight.get() + 1);
    }

    /// Gives the final answer, once; the request is dropped if nothing of it is out any more.
    pub fn answer(&mut self, request: RequestId, answer: FinalAnswer, counter: &'static str) {
        let Some(in_flight) = self.requests.get_mut(&request) else { return };
        if let Some(client) = in_flight.client.take() {
            self.counters.add(counter);
            // Fails only when the client has just left; that is counted when it is noticed.
            let _ = client.send(answer);
        }
        self.drop_if_over(request);
    }

    /// Whether the call just made left requests unserved.
    pub fn has_unserved(&self) -> bool {
        !self.unserved.is_empty()
    }

    /// Answers what the call just made left unserved. `healthy_backends`: those that could take a request now.
    pub fn answer_unserved(&mut self, healthy_backends: usize) {
        for (request, unserved) in std::mem::take(&mut self.unserved) {
            let Some(in_flight) = self.requests.get_mut(&request) else { continue };
            let facts = UnservedFacts {
                attempts: in_flight.attempts,
                may_have_run: in_flight.may_have_run,
                healthy_backends,
            };
            let last_answer = in_flight.last_answer.take().filter(BackendAnswer::tells_of_failure);
            match (unserved, &last_answer) {
                (Unserved::Rejected(retry_after), None) => {
                    self.answer(request, FinalAnswer::Rejected(retry_after, facts), "declined");
                }
                _ => self.answer(request, FinalAnswer::Failed(last_answer, facts), "reversed"),
            }
        }
    }

    /// Drops a request that is answered and has no attempt out.
    pub fn drop_if_over(&mut self, request: RequestId) {
        let is_over = |in_flight: &InFlight| in_flight.client.is_none() && in_flight.backend.is_none();
        if self.requests.get(&request).is_some_and(is_over) {
            self.requests.remove(&request);
            // The counter is that of all pools together.
            self.counters.in_flight.set(self.counters.in_flight.get().saturating_sub(1));
        }
    }

    /// Tells all backends.
    pub fn tell_backends(&self, message: impl Fn() -> ToBackend) {
        self.backends.values().for_each(|backend| backend.do_send(message()));
    }
}

impl Effects for ModuleEffects {
    fn send(&mut self, request: RequestId, to: BackendId, until: Micros) {
        let (Some(in_flight), Some(backend)) = (self.requests.get_mut(&request), self.backends.get(&to))
        else {
            return;
        };
        let attempt = in_flight.attempts;
        in_flight.attempts += 1;
        in_flight.backend = Some(to);
        let unsent = |outcome| UnsentAttempt { request, attempt, backend: to, outcome };
        // The one place that every attempt passes: but for a request's first, somebody has to pay.
        let pays =
            |payer| self.retry_budgets.borrow_mut().get_mut(&payer).is_some_and(RetryBudget::try_spend);
        let is_retry = attempt + in_flight.earlier_attempts > 0;
        if is_retry && in_flight.payer.is_some_and(|payer| !pays(payer)) {
            self.counters.add("no_budget");
            return self.unsent.push(unsent(AttemptOutcome::NotSent));
        }
        // What passed through once is here no more.
        if in_flight.outgoing.remaining.as_ref().is_some_and(RemainingBody::is_taken) {
            self.counters.add("body_spent");
            return self.unsent.push(unsent(AttemptOutcome::BodyConsumed));
        }
        self.counters.add("postings");
        log::debug!("txn {} to backend {}", request.0, to.0);
        let outgoing = in_flight.outgoing.clone();
        let stalled_answer_wait = in_flight.stalled_answer_rule.wait(attempt);
        backend.do_send(ToBackend::Send { request, attempt, until, outgoing, stalled_answer_wait });
    }

    fn cancel(&mut self, request: RequestId, attempt: u32) {
        let backend = self.requests.get(&request).and_then(|in_flight| in_flight.backend);
        if let Some(backend) = backend.and_then(|id| self.backends.get(&id)) {
            backend.do_send(ToBackend::Cancel { request, attempt });
        }
    }

    fn reject(&mut self, request: RequestId, retry_after: Option<Micros>) {
        self.unserved.push((request, Unserved::Rejected(retry_after)));
    }

    fn fail(&mut self, request: RequestId) {
        self.unserved.push((request, Unserved::Failed));
    }

    fn probe(&mut self, backend: BackendId) {
        if let Some(backend) = self.backends.get(&backend) {
            self.counters.add("probes");
            backend.do_send(ToBackend::Probe);
        }
    }

    fn close_idle(&mut self, backend: BackendId) {
        if let Some(backend) = self.backends.get(&backend) {
            backend.do_send(ToBackend::CloseIdle);
        }
    }

    fn watch(&mut self) {
        self.counters.add("watches");
        if let Some(registry) = &self.registry {
            registry.do_send(StartWatch);
        }
    }

    fn wake_after(&mut self, span: Micros) {
        self.wake_after = Some(span);
    }

    fn increment(&mut self, counter: &'static str) {
        self.counters.add(counter);
    }

    fn log(&mut self, line: &str) {
        log::info!("module: {line}");
    }
}
