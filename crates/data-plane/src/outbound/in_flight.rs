//! A request in flight, as the decision module knows it.
use std::cell::Cell;
use std::rc::Rc;

use notchspool::units::{AttemptOutcome, Micros, RequestId};

use super::Outbound;
use crate::service_balancer::{AttemptEnd, BalancerAction};

/// An attempt that has been sent and not ended.
#[derive(Clone, Copy)]
pub(super) struct OpenAttempt {
    number: u32,
    started_at: Micros,
}

/// A request in flight; where it is dropped unanswered the client has left, and the attempt that is open is given up with it.
pub(super) struct InFlight {
    pub outbound: Rc<Outbound>,
    pub service: String,
    pub request: RequestId,
    pub attempt: Cell<Option<OpenAttempt>>,
    pub is_answered: Cell<bool>,
}

impl InFlight {
    /// An attempt begins.
    pub fn begin_attempt(&self, number: u32) {
        let started_at = self.outbound.context.now();
        self.attempt.set(Some(OpenAttempt { number, started_at }));
    }

    /// How long the attempt that is open has been so.
    pub fn attempt_age(&self) -> Micros {
        self.attempt.get().map_or(Micros(0), |attempt| self.outbound.context.now() - attempt.started_at)
    }

    /// The attempt that is open has ended in this way, after this time: where the request is to be sent next.
    pub fn end_attempt(&self, outcome: AttemptOutcome, took: Micros, is_final: bool) -> Vec<BalancerAction> {
        let Some(attempt) = self.attempt.take() else { return Vec::new() };
        let now = self.outbound.context.now();
        let end = AttemptEnd { attempt: attempt.number, outcome, took, is_final };
        self.outbound.services.with(&self.service, |b| b.on_attempt_end(now, self.request, end))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if !self.is_answered.get() {
            let context = &self.outbound.context;
            context.count("clients_left");
            let now = context.now();
            self.outbound.services.with(&self.service, |b| b.on_client_left(now, self.request));
            self.end_attempt(AttemptOutcome::Cancelled, self.attempt_age(), true);
        }
    }
}
