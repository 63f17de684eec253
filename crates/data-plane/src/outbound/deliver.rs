//! The attempts of a request: pick a backend, send, and retry or answer, as long as [`Attempts`] lets it go on.
use std::rc::Rc;

use notchspool::units::{AttemptOutcome, BackendId, Micros, RequestId};
use notchspool_idempotency::claim_proposal::Outcome as ClaimOutcome;
use notchspool_mesh_config::route_config::{Route, RouteKind};
use notchspool_mesh_protocol::{Request as PeerRequest, Response as PeerReply, Ticket, Verdict};

use super::accept::ClientRequest;
use super::in_flight::InFlight;
use super::{MAX_TIME_MS, Outbound};
use crate::attempts::{
    Action, Attempts, Event, MAX_CALL_REFUSALS, MAX_REFUSALS, MAX_REFUSALS_CROWDED, RetryPolicy,
};
use crate::client_response::{self, ClientResponse};
use crate::context::within;
use crate::peer_link::{PeerResponse, without_answer};
use crate::service_balancer::BalancerAction;

/// Above this part of all requests refusals tell that there is no room anywhere.
const CROWDED_REFUSAL_PART: f64 = 0.1;

/// One request on its way: what stays the same over its attempts.
pub(super) struct Delivery<'a> {
    pub route: &'a Route,
    pub service: &'a str,
    pub request: RequestId,
    pub client: &'a ClientRequest,
    pub in_flight: &'a InFlight,
}

/// What follows from a response.
struct Evaluated {
    verdict: Verdict,
    action: Action,
}

impl Outbound {
    /// Sends a request where the decision module wants it, as long as [`Attempts`] lets it go on, to its answer.
    pub(super) async fn deliver(
        self: &Rc<Outbound>,
        delivery: &Delivery<'_>,
        mut actions: Vec<BalancerAction>,
    ) -> ClientResponse {
        let mut attempts = Attempts::new(self.retry_policy(delivery));
        let try_spend = || self.services.with(delivery.service, |b| b.retry_budget.try_spend());
        // A failure that is answered where no other backend is found.
        let mut failure: Option<PeerResponse> = None;
        loop {
            let picked = picked_backend(&actions, delivery.request);
            let action = attempts.apply(self.context.now(), self.event_before_sending(picked), &try_spend);
            let (to, attempt, ticket) = match (picked, action) {
                (Some(to), Action::Send { attempt, ticket }) => (to, attempt, ticket),
                (picked, action) => {
                    if picked.is_some() {
                        // A backend was picked, and the request is not sent there after all.
                        delivery.in_flight.begin_attempt(attempts.sent());
                        delivery.in_flight.end_attempt(AttemptOutcome::NotSent, Micros(0), true);
                    }
                    return match failure.take() {
                        Some(failure) => client_response::relayed(failure, &delivery.client.attempt_id),
                        None => self.answer_without_backend(delivery, &attempts, action),
                    };
                }
            };
            delivery.in_flight.begin_attempt(attempt);
            let response = self.send(delivery, to, ticket).await;
            let took = delivery.in_flight.attempt_age();
            let now = self.context.now();
            let utilisation = response.response.utilisation;
            self.services.with(delivery.service, |b| b.on_load_report(now, to, utilisation));
            let reached = self.evaluate(delivery, &mut attempts, &response.response, attempt).await;
            let outcome = self.attempt_outcome(delivery, &response.response, reached.verdict);
            actions = delivery.in_flight.end_attempt(outcome, took, reached.action != Action::Retry);
            match reached.action {
                Action::Retry => failure = self.on_retry(reached.verdict, response),
                Action::Relay => {
                    self.on_answered(false);
                    return client_response::relayed(response, &delivery.client.attempt_id);
                }
                Action::FetchFromHolder => return self.fetch_from_holder(delivery, &response.response).await,
                action => return self.answer_without_backend(delivery, &attempts, action),
            }
        }
    }

    fn event_before_sending(&self, picked: Option<BackendId>) -> Event<'static> {
        let now = self.context.now();
        match picked {
            _ if self.end.get().is_some_and(|end| end.is_too_late_to_send(now)) => Event::ProxyEnds,
            Some(_) => Event::Picked,
            None => Event::NoBackend,
        }
    }

    fn retry_policy(&self, delivery: &Delivery<'_>) -> RetryPolicy {
        let is_keyed = delivery.route.kind == RouteKind::Keyed && !delivery.client.key.is_empty();
        let ticket = Ticket { boot_id: self.context.boot_id, number: delivery.request.0, attempt: 0 };
        RetryPolicy {
            idempotent: delivery.route.kind.is_idempotent(),
            max_attempts: delivery.route.max_attempts,
            max_refusals: self.max_refusals(delivery.client),
            deadline: delivery.client.deadline,
            ticket: is_keyed.then_some(ticket),
        }
    }

    /// Proxies that may refuse a request before it is given up. Where many requests are refused the next one hardly has room either, and each
    /// refusal takes the time of two proxies from those that are served.
    fn max_refusals(&self, client: &ClientRequest) -> u32 {
        match client.origin.call_depth {
            0 if self.refused_part.get() > CROWDED_REFUSAL_PART => MAX_REFUSALS_CROWDED,
            0 => MAX_REFUSALS,
            _ => MAX_CALL_REFUSALS,
        }
    }

    /// What follows from a response, with a fence where it is not known whether a keyed request ran.
    async fn evaluate(
        &self,
        delivery: &Delivery<'_>,
        attempts: &mut Attempts,
        response: &PeerReply,
        attempt: u32,
    ) -> Evaluated {
        let try_spend = || self.services.with(delivery.service, |b| b.retry_budget.try_spend());
        let verdict = response.verdict();
        let action = attempts.apply(self.context.now(), Event::Response(response), &try_spend);
        if action != Action::Fence {
            return Evaluated { verdict, action };
        }
        let ticket = Ticket { boot_id: self.context.boot_id, number: self.context.next_id(), attempt };
        let granted = self.claims.claim(&delivery.client.key, ticket).await == ClaimOutcome::Granted;
        if granted {
            self.context.count("fenced");
        }
        let action = attempts.apply(self.context.now(), Event::Fence { ticket, granted }, &try_spend);
        let verdict = if granted { Verdict::NotRun } else { verdict };
        Evaluated { verdict, action }
    }

    /// How an attempt ended, for the decision module. A proxy whose backend is full tells of load, which it reports, and not of illness.
    fn attempt_outcome(
        &self,
        delivery: &Delivery<'_>,
        response: &PeerReply,
        verdict: Verdict,
    ) -> AttemptOutcome {
        match verdict {
            // What was called has failed: that is known where it was called, and says nothing of this backend.
            Verdict::Answered if response.call_failed => AttemptOutcome::NotSent,
            Verdict::Answered if response.status >= 500 => AttemptOutcome::Failed,
            Verdict::Answered => AttemptOutcome::Succeeded,
            Verdict::OtherInstance => AttemptOutcome::Rejected,
            Verdict::NotRun if response.utilisation == 0 => AttemptOutcome::ConnectFailed,
            Verdict::MayHaveRun if self.context.now() >= delivery.client.deadline => AttemptOutcome::TimedOut,
            Verdict::MayHaveRun => AttemptOutcome::ConnectionLost,
            _ => AttemptOutcome::NotSent,
        }
    }

    /// Counts a retry; a failure is kept, to be answered where no other backend is found.
    fn on_retry(&self, verdict: Verdict, response: PeerResponse) -> Option<PeerResponse> {
        match verdict {
            Verdict::Answered => {
                self.context.count("further_after_failure");
                Some(response)
            }
            Verdict::MayHaveRun => {
                self.context.count("further_after_silence");
                None
            }
            _ => None,
        }
    }

    /// Sends one attempt to the proxy beside a backend.
    async fn send(
        self: &Rc<Outbound>,
        delivery: &Delivery<'_>,
        to: BackendId,
        ticket: Option<Ticket>,
    ) -> PeerResponse {
        let endpoint = self.services.with(delivery.service, |b| {
            b.endpoint(to).map(|endpoint| (endpoint.instance.clone(), endpoint.proxy.clone()))
        });
        // It has left the list since it was drawn: nothing was sent.
        let Some((instance, proxy)) = endpoint else {
            return without_answer(0, Verdict::NotRun, "the backend is not listed any more").into();
        };
        let time_left = delivery.client.deadline - self.context.now();
        let request = self.peer_request(delivery, instance, ticket, time_left);
        let response = within(time_left, self.peers.send(&proxy, request, &delivery.client.body)).await;
        response.unwrap_or_else(|| without_answer(0, Verdict::MayHaveRun, "no answer in time").into())
    }

    fn peer_request(
        &self,
        delivery: &Delivery<'_>,
        instance: String,
        ticket: Option<Ticket>,
        time_left: Micros,
    ) -> PeerRequest {
        let Delivery { route, service, client, .. } = delivery;
        let now = self.context.now();
        let ms = |time: Micros, min: i64| (time.0 / 1000).clamp(min, MAX_TIME_MS) as u32;
        PeerRequest {
            service: service.to_string(),
            instance,
            method: client.method.clone(),
            target: client.target.clone(),
            headers: client.headers.clone(),
            time_left_ms: ms(time_left, 1),
            latency_target_ms: ms(route.latency_target, 1),
            target_left_ms: ms(client.origin.target_at - now, 0),
            priority: client.origin.priority.min(route.priority),
            call_depth: client.origin.call_depth,
            idempotent: route.kind.is_idempotent(),
            key: if ticket.is_some() { client.key.clone() } else { String::new() },
            ticket,
            attempt_id: client.attempt_id.clone(),
            caller: self.context.settings().service.clone(),
            host: client.host.clone(),
            age_ms: ms(now - client.received_at, 0),
            takes_unknown_length: client.takes_unknown_length,
            ..PeerRequest::default()
        }
    }
}

/// Where the decision module wants this request; `None` where nowhere.
fn picked_backend(actions: &[BalancerAction], request: RequestId) -> Option<BackendId> {
    let of_request = actions.iter().find(|action| {
        matches!(
            action,
            BalancerAction::Send(of, _) | BalancerAction::Reject(of, _) | BalancerAction::Fail(of)
                if *of == request
        )
    });
    match of_request {
        Some(BalancerAction::Send(_, to)) => Some(*to),
        _ => None,
    }
}
