//! Requests that begin on this machine, from a client or from the backend here. Read from top to bottom: accept, route, pick, attempt, retry or
//! answer; it is one file, somewhat long, so that this way can be read without a jump.
//!
//! 429 and 503 are answered only where nothing ran nor will, or where the request may be repeated anyway; what is given up is answered at
//! once.
use std::cell::Cell;
use std::rc::Rc;

use hyper::body::Incoming;
use notchspool::units::{AttemptOutcome, BackendId, Micros, RequestId};
use notchspool_idempotency::claim_proposal::Outcome as ClaimOutcome;
use notchspool_mesh_config::route_config::{Route, RouteConfig, RouteKind};
use notchspool_mesh_protocol::{Header, Request as PeerRequest, Response as PeerReply, Ticket, Verdict};
use tokio::sync::watch;

use crate::attempts::{
    Action, Attempts, Event, MAX_CALL_REFUSALS, MAX_REFUSALS, MAX_REFUSALS_CROWDED, RetryPolicy,
};
use crate::body_budget::BodyReservation;
use crate::body_reader::{self, BodyError};
use crate::claim_client::ClaimClient;
use crate::client_response::{self, ClientResponse};
use crate::config_store::ConfigStore;
use crate::context::{Context, within};
use crate::headers::{self, ATTEMPT_ID, OPERATION_KEY, TIME_LEFT};
use crate::keyed_operation::NOT_RUN_HERE;
use crate::peer_connections::PeerConnections;
use crate::peer_link::{PeerResponse, without_answer};
use crate::request_body::RequestBody;
use crate::response_cutoff::{AnswerBy, ResponseCutoff};
use crate::running_requests::{Origin, RunningRequests};
use crate::service_balancer::{AttemptEnd, BalancerAction};
use crate::services::Services;
use crate::shutdown::{KnownEnd, Need};
use crate::stall_detector::LONG_STALL;

/// A client that names no time waits for this.
const DEFAULT_TIME_LEFT: Micros = Micros::ms(30_000);
const MAX_TIME_MS: i64 = 600_000;
/// Requests at once.
const MAX_IN_FLIGHT: usize = 4_000;
/// When to come back while no configuration is known, or too many requests are in flight.
const NO_CONFIG_RETRY_AFTER: Micros = Micros::ms(200);
const IN_FLIGHT_FULL_RETRY_AFTER: Micros = Micros::ms(300);
/// When to come back after a body for which there was no memory.
const BODIES_FULL_RETRY_AFTER: Micros = Micros::ms(500);
/// When to come back where this proxy ends: to another one, which the platform names.
const ENDING_RETRY_AFTER: Micros = Micros::ms(100);
/// When to come back after a claim that was withdrawn.
const WITHDRAWN_RETRY_AFTER: Micros = Micros::ms(50);
/// Refused clients come back no sooner than this.
const MIN_RETRY_AFTER: Micros = Micros::ms(30);
/// And are spread over this, where refusals are many.
const RETRY_AFTER_SPREAD: Micros = Micros::ms(900);
/// Refusals up to this part of all requests are taken for rare.
const RARE_REFUSAL_PART: f64 = 0.02;
/// Above this part of all requests refusals tell that there is no room anywhere.
const CROWDED_REFUSAL_PART: f64 = 0.1;
const REFUSAL_SMOOTHING: f64 = 0.03;

/// Serves requests that begin on this machine.
pub struct Outbound {
    context: Rc<Context>,
    config: Rc<ConfigStore>,
    services: Rc<Services>,
    claims: Rc<ClaimClient>,
    peers: Rc<PeerConnections>,
    running: Rc<RunningRequests>,
    in_flight: Cell<usize>,
    /// The end of this proxy, once it is known.
    end: Cell<Option<KnownEnd>>,
    /// The same for those that wait for something.
    answer_by: watch::Sender<AnswerBy>,
    /// The part of requests that were refused lately, smoothed.
    refused_part: Cell<f64>,
}

/// A request that was read completely.
struct ClientRequest {
    method: String,
    target: String,
    host: String,
    headers: Vec<Header>,
    body: RequestBody,
    /// The memory that its body takes.
    _reservation: BodyReservation,
    attempt_id: String,
    key: String,
    /// Since when it stands here.
    received_at: Micros,
    /// For whom it is served: its own client, or the one for whose request the backend here makes this call.
    origin: Origin,
    deadline: Micros,
    /// It can be told the end of a body whose length it does not know.
    takes_unknown_length: bool,
}

/// The head of a request, and what follows from it.
struct RequestHead {
    parts: hyper::http::request::Parts,
    host: String,
}

/// An attempt that has been sent and not ended.
#[derive(Clone, Copy)]
struct OpenAttempt {
    number: u32,
    started_at: Micros,
}

/// A request in flight; where it is dropped unanswered the client has left, and the attempt that is open is given up with it.
struct InFlight {
    outbound: Rc<Outbound>,
    service: String,
    request: RequestId,
    attempt: Cell<Option<OpenAttempt>>,
    is_answered: Cell<bool>,
}

impl InFlight {
    /// An attempt begins.
    fn begin_attempt(&self, number: u32) {
        let started_at = self.outbound.context.now();
        self.attempt.set(Some(OpenAttempt { number, started_at }));
    }

    /// How long the attempt that is open has been so.
    fn attempt_age(&self) -> Micros {
        self.attempt.get().map_or(Micros(0), |attempt| self.outbound.context.now() - attempt.started_at)
    }

    /// The attempt that is open has ended in this way, after this time: where the request is to be sent next.
    fn end_attempt(&self, outcome: AttemptOutcome, took: Micros, is_final: bool) -> Vec<BalancerAction> {
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

/// Counts a request while it is served.
struct InFlightCount(Rc<Outbound>);

impl Drop for InFlightCount {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// One request on its way: what stays the same over its attempts.
struct Delivery<'a> {
    route: &'a Route,
    service: &'a str,
    request: RequestId,
    client: &'a ClientRequest,
    in_flight: &'a InFlight,
}

impl Outbound {
    /// Routes by `config`, picks backends with `services`, and sends over `peers`.
    pub fn new(
        context: Rc<Context>,
        config: Rc<ConfigStore>,
        services: Rc<Services>,
        claims: Rc<ClaimClient>,
        peers: Rc<PeerConnections>,
        running: Rc<RunningRequests>,
    ) -> Outbound {
        Outbound {
            context,
            config,
            services,
            claims,
            peers,
            running,
            in_flight: Cell::new(0),
            end: Cell::new(None),
            answer_by: watch::Sender::new(None),
            refused_part: Cell::new(0.0),
        }
    }

    /// This proxy ends: what may not be answered completely before is refused.
    pub fn set_end(&self, end: KnownEnd) {
        self.end.set(Some(end));
        self.answer_by.send_if_modified(|answer_by| answer_by.replace(end.answer_by()).is_none());
    }

    /// Requests that are served now.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    // ---- Accept and route ---------------------------------------------------------------------------------

    /// Serves one request.
    pub async fn serve(self: Rc<Outbound>, request: hyper::Request<Incoming>) -> ClientResponse {
        self.context.event_log.on_request();
        let Some(config) = self.config.current() else {
            self.context.count("no_configuration");
            return self.refuse("no configuration is known here yet", NO_CONFIG_RETRY_AFTER);
        };
        if self.in_flight.get() >= MAX_IN_FLIGHT {
            self.context.count("in_hand_full");
            return self.refuse("too many requests are in hand here", IN_FLIGHT_FULL_RETRY_AFTER);
        }
        self.in_flight.set(self.in_flight.get() + 1);
        let _counted = InFlightCount(self.clone());
        match self.accept(&config, request).await {
            Ok((route, client)) => self.route(&route, client).await,
            Err(response) => response,
        }
    }

    /// Finds the route, and reads the request completely.
    async fn accept(
        &self,
        config: &RouteConfig,
        request: hyper::Request<Incoming>,
    ) -> Result<(Route, ClientRequest), ClientResponse> {
        // Where this process stood still the request may have come as long ago.
        let (now, age) = (self.context.now(), self.context.observe_running());
        let received_at = now - age;
        let (parts, body) = request.into_parts();
        let head = RequestHead::new(parts);
        let Some(route) = config.route(&head.host, head.parts.uri.path()) else {
            self.context.count("no_route");
            return Err(client_response::plain(404, "no route leads there"));
        };
        let time_left = head.time_left().min(route.timeout);
        let deadline = if age >= LONG_STALL { received_at } else { now } + time_left;
        // What must not be repeated is refused beside its backend, where it is known whether it ran.
        let need = Need { deadline, must_be_complete: route.kind == RouteKind::Download };
        if self.end.get().is_some_and(|end| !end.allows(need)) {
            return Err(self.refuse_at_end());
        }
        let headers = headers::forwarded(&head.parts.headers);
        let attempt_id = headers::single_value(&head.parts.headers, ATTEMPT_ID);
        let Some(attempt_id) = attempt_id.filter(|id| !id.is_empty()) else {
            return Err(client_response::plain(400, "a request needs its Notchspool-Attempt-Id, and one"));
        };
        let Some(key) = headers::single_value(&head.parts.headers, OPERATION_KEY) else {
            return Err(client_response::plain(400, "the Notchspool-Operation-Key can't be told"));
        };
        let (body, reservation) = self.read_body(body, config.limits.max_body_bytes, deadline).await?;
        let own = Origin { call_depth: 0, priority: route.priority, target_at: now + route.latency_target };
        let origin = self.running.origin_of_call(&attempt_id).unwrap_or(own);
        let client = ClientRequest {
            target: head.parts.uri.path_and_query().map_or("/", |target| target.as_str()).to_string(),
            method: head.parts.method.to_string(),
            takes_unknown_length: head.parts.version >= hyper::Version::HTTP_11,
            host: head.host,
            headers,
            body,
            _reservation: reservation,
            attempt_id,
            key,
            received_at,
            origin,
            deadline,
        };
        Ok((route.clone(), client))
    }

    /// Reads the body of a request, unless this proxy ends before it has come.
    async fn read_body(
        &self,
        body: Incoming,
        max_bytes: usize,
        deadline: Micros,
    ) -> Result<(RequestBody, BodyReservation), ClientResponse> {
        let cutoff = ResponseCutoff::new(self.answer_by.subscribe());
        tokio::select! {
            biased;
            read = body_reader::read(&self.context, body, max_bytes, deadline) => {
                read.map_err(|error| self.answer_to_body_error(error))
            }
            () = cutoff.wait_until_too_late(&self.context, || Micros(0)) => Err(self.refuse_at_end()),
        }
    }

    /// This proxy ends before the request could be answered.
    fn refuse_at_end(&self) -> ClientResponse {
        self.context.count("refused_at_end");
        self.refuse("the proxy here ends", ENDING_RETRY_AFTER)
    }

    fn answer_to_body_error(&self, error: BodyError) -> ClientResponse {
        match error {
            BodyError::TooLong => client_response::plain(413, "the body is over the limit"),
            BodyError::CutShort => client_response::plain(400, "the body was cut short"),
            BodyError::TooSlow => {
                self.context.count("bodies_slow");
                client_response::plain(408, "the body has not come in time")
            }
            BodyError::BudgetExhausted => {
                self.context.count("bodies_full");
                self.refuse("there is no memory for its body here", BODIES_FULL_RETRY_AFTER)
            }
        }
    }

    async fn route(self: &Rc<Outbound>, route: &Route, client: ClientRequest) -> ClientResponse {
        let service = route.pick_service(self.context.random()).to_string();
        let request = RequestId(self.context.next_id());
        let in_flight = InFlight {
            outbound: self.clone(),
            service: service.clone(),
            request,
            attempt: Cell::new(None),
            is_answered: Cell::new(false),
        };
        let now = self.context.now();
        let actions = self.services.with(&service, |b| b.begin(now, request, route, client.deadline));
        let delivery = Delivery { route, service: &service, request, client: &client, in_flight: &in_flight };
        let response = self.deliver(&delivery, actions).await;
        if client.origin.call_depth > 0 {
            self.context.count("calls");
            if response.status().is_client_error() || response.status().is_server_error() {
                self.context.count("calls_failed");
                self.running.on_call_failed(&client.attempt_id);
            }
        }
        in_flight.is_answered.set(true);
        response
    }

    // ---- Pick, attempt, retry or answer -------------------------------------------------------------------

    /// Sends a request where the decision module wants it, as long as [`Attempts`] lets it go on, to its answer.
    async fn deliver(
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

    // ---- Answers without a backend's ----------------------------------------------------------------------

    fn answer_without_backend(
        &self,
        delivery: &Delivery<'_>,
        attempts: &Attempts,
        action: Action,
    ) -> ClientResponse {
        let reason = &attempts.reason;
        match action {
            Action::Reject => {
                self.context.count("declined");
                let (route, attempt_id) = (&delivery.route.name, &delivery.client.attempt_id);
                let (sent, left) = (attempts.sent(), delivery.client.deadline - self.context.now());
                log::debug!(target: "outbound", "reject {route} {attempt_id} after {sent}: {reason}, {left:?} left");
                self.on_answered(true);
                self.refuse(reason, self.retry_after(attempts.retry_after))
            }
            Action::InProgress => client_response::plain(409, "the operation is at work"),
            Action::ResponseLost => {
                let reason = "the operation ran, and its answer is not known";
                self.unanswered(delivery, 502, "responses_lost", reason)
            }
            Action::Unanswered { timed_out: true } => self.unanswered(delivery, 504, "unanswered", reason),
            _ => self.unanswered(delivery, 502, "unanswered", reason),
        }
    }

    /// It may have run, and there is no answer: `status` promises nothing. `counter`: the figure that tells why.
    fn unanswered(
        &self,
        delivery: &Delivery<'_>,
        status: u16,
        counter: &'static str,
        reason: &str,
    ) -> ClientResponse {
        self.context.count(counter);
        let (route, attempt_id) = (&delivery.route.name, &delivery.client.attempt_id);
        let waited_ms = (self.context.now() - delivery.client.received_at).0 / 1_000;
        if counter != "responses_lost" && self.context.event_log.may_write() {
            log::info!(target: "outbound", "{counter} {route} {attempt_id} after {waited_ms} ms: {status}, {reason}");
        } else {
            log::debug!(target: "outbound", "{counter} {route} {attempt_id} after {waited_ms} ms: {status}, {reason}");
        }
        client_response::plain(status, reason)
    }

    /// The response to a key that another proxy holds.
    async fn fetch_from_holder(
        self: &Rc<Outbound>,
        delivery: &Delivery<'_>,
        held: &PeerReply,
    ) -> ClientResponse {
        let client = delivery.client;
        let fetch = self.peers.fetch_response(&held.holder, &client.key, held.holder_boot_id);
        let Some(response) = within(client.deadline - self.context.now(), fetch).await else {
            return self.unanswered(delivery, 504, "responses_lost", "the holder of the key does not answer");
        };
        match response.verdict() {
            Verdict::Answered => client_response::relayed(response.into(), &client.attempt_id),
            Verdict::InProgress => client_response::plain(409, "the operation is at work"),
            // It has not run there in that run of the holder, and is withdrawn: the next try claims it anew.
            Verdict::NotRun if response.reason == NOT_RUN_HERE => {
                self.refuse(&response.reason, WITHDRAWN_RETRY_AFTER)
            }
            _ => {
                let reason = "the operation may have run, and its answer is not known";
                self.unanswered(delivery, 502, "responses_lost", reason)
            }
        }
    }

    /// 503: it has not run and never will.
    fn refuse(&self, reason: &str, retry_after: Micros) -> ClientResponse {
        self.context.event_log.on_refused(reason);
        client_response::refused(reason, retry_after)
    }

    /// A request was answered, refused or not.
    fn on_answered(&self, refused: bool) {
        let before = self.refused_part.get();
        let refused = f64::from(u8::from(refused));
        self.refused_part.set(before + REFUSAL_SMOOTHING * (refused - before));
    }

    /// When a refused request is to come back: soon where refusals are rare, later and spread where they are many, so that those who come
    /// back do not press on what is short already.
    fn retry_after(&self, least: Micros) -> Micros {
        let many = (self.refused_part.get() - RARE_REFUSAL_PART).max(0.0) * 2.0;
        let spread = many.min(1.0) * (0.4 + 0.6 * self.context.random());
        least.max(MIN_RETRY_AFTER) + RETRY_AFTER_SPREAD.times(spread)
    }
}

/// What follows from a response.
struct Evaluated {
    verdict: Verdict,
    action: Action,
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

impl RequestHead {
    fn new(parts: hyper::http::request::Parts) -> RequestHead {
        let named = parts.headers.get("host").and_then(|host| host.to_str().ok()).unwrap_or_default();
        let host = match named {
            "" => parts.uri.host().unwrap_or_default(),
            named => named,
        };
        RequestHead { host: host.to_string(), parts }
    }

    /// The time that the client has left.
    fn time_left(&self) -> Micros {
        let value = self.parts.headers.get(TIME_LEFT).and_then(|value| value.to_str().ok());
        let time_left = value.and_then(headers::milliseconds);
        time_left.map_or(DEFAULT_TIME_LEFT, |time_left| time_left.min(Micros::ms(MAX_TIME_MS)))
    }
}
