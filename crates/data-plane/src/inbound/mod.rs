//! Requests for the backend of this machine: the instance that was meant, the key, the queue, the backend. What is refused here has not run
//! and never will.
mod keyed;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use notchspool::units::Micros;
use notchspool_endpoint_registry::heartbeats::{Departure, Event as BackendEvent};
use notchspool_mesh_protocol::{Request, Response, Verdict};

use crate::admission::Candidate;
use crate::backend_exchange::{BackendClient, BackendOutcome};
use crate::backend_queue::{BackendQueue, Slot};
use crate::claim_client::ClaimClient;
use crate::context::Context;
use crate::control_client::ControlClient;
use crate::keyed_operation::Operations;
use crate::link_load::LinkLoad;
use crate::local_backend::{LocalBackend, Unavailable};
use crate::peer_link::{PeerResponse, without_answer};
use crate::request_body::BodySource;
use crate::response_cutoff::ResponseCutoff;
use crate::running_requests::{Origin, RunningRequests};
use crate::shutdown::{KnownEnd, Need};
use crate::work_kind::WorkKind;
use keyed::ClaimGuard;

/// When to come back where the proxy of a client ends: to another one, which the platform names.
const CALLER_END_RETRY_AFTER: Micros = Micros::ms(100);
/// Kept clear of the end of a request's time.
const DEADLINE_MARGIN: Micros = Micros::ms(2);
/// Responses to keyed operations are kept for this long beyond their window.
const EXTRA_KEY_WINDOW: Micros = Micros::ms(2_000);
/// Bytes of responses to keyed operations that are kept: this part of the memory.
const RESPONSE_CACHE_MEMORY_PART: u64 = 5;
const MIN_RESPONSE_CACHE_MB: u64 = 4;
const MAX_RETRY_AFTER_MS: i64 = 60_000;
/// Statuses from here on tell that the backend failed.
const FAILURE_STATUS: u32 = 500;

/// Serves requests with the backend of this machine.
pub struct Inbound {
    context: Rc<Context>,
    backend: Rc<LocalBackend>,
    client: Rc<BackendClient>,
    claims: Rc<ClaimClient>,
    control: Rc<ControlClient>,
    link_load: Rc<LinkLoad>,
    operations: RefCell<Operations>,
    /// Requests that wait for a slot at the backend.
    queue: Rc<BackendQueue>,
    /// Requests that the backend works on.
    running: Rc<RunningRequests>,
    /// Requests that were taken and have no response yet.
    serving: Cell<usize>,
    /// This proxy ends: nothing more begins at the backend here.
    is_draining: Cell<bool>,
    /// The end of this proxy, once it is known.
    end: Cell<Option<KnownEnd>>,
}

/// Counts a request from its arrival to its response.
struct ServingCount(Rc<Inbound>);

impl ServingCount {
    fn new(inbound: &Rc<Inbound>) -> ServingCount {
        inbound.serving.set(inbound.serving.get() + 1);
        ServingCount(inbound.clone())
    }
}

impl Drop for ServingCount {
    fn drop(&mut self) {
        self.0.serving.set(self.0.serving.get() - 1);
    }
}

/// A request that came, and what its times mean by the clock here.
struct Arrival {
    request: Request,
    origin: Origin,
    deadline: Micros,
    cutoff: ResponseCutoff,
}

/// A request that may begin at the backend.
struct Admitted {
    slot: Slot,
    /// Of a request with a key.
    claim: Option<ClaimGuard>,
}

impl Arrival {
    fn new(request: Request, cutoff: ResponseCutoff, now: Micros) -> Arrival {
        let origin = Origin {
            call_depth: request.call_depth,
            priority: request.priority,
            target_at: now + Micros::ms(i64::from(request.target_left_ms)),
        };
        let deadline = now + Micros::ms(i64::from(request.time_left_ms));
        Arrival { request, origin, deadline, cutoff }
    }

    fn kind(&self) -> WorkKind {
        WorkKind { priority: self.request.priority, latency_target_ms: self.request.latency_target_ms }
    }

    fn candidate(&self) -> Candidate {
        Candidate {
            call_depth: self.origin.call_depth,
            priority: self.origin.priority,
            kind: self.kind(),
            target_at: self.origin.target_at,
            deadline: self.deadline,
        }
    }
}

impl Inbound {
    /// Serves with `backend`, over `client`; keys are claimed with `claims`.
    pub fn new(
        context: Rc<Context>,
        backend: Rc<LocalBackend>,
        client: Rc<BackendClient>,
        claims: Rc<ClaimClient>,
        control: Rc<ControlClient>,
        link_load: Rc<LinkLoad>,
        running: Rc<RunningRequests>,
    ) -> Inbound {
        let (key_window, memory_mb) = {
            let settings = context.settings();
            (settings.bounds.key_window, settings.memory_mb)
        };
        let queue = Rc::new(BackendQueue::new(context.clone(), backend.clone()));
        let cache_mb = (memory_mb / RESPONSE_CACHE_MEMORY_PART).max(MIN_RESPONSE_CACHE_MB);
        let operations = Operations::new(key_window + EXTRA_KEY_WINDOW, cache_mb as usize * (1 << 20));
        Inbound {
            context,
            backend,
            client,
            claims,
            control,
            link_load,
            operations: RefCell::new(operations),
            queue,
            running,
            serving: Cell::new(0),
            is_draining: Cell::new(false),
            end: Cell::new(None),
        }
    }

    /// Large responses that are to be sent.
    pub fn link_load(&self) -> &Rc<LinkLoad> {
        &self.link_load
    }

    /// The backend here and its state, as a figure; `None` while nothing is believed of one.
    pub fn backend_figure(&self) -> Option<String> {
        let endpoint = self.backend.endpoint()?;
        Some(format!("backend {} {}", endpoint.instance, endpoint.state()))
    }

    /// Bytes of responses to keyed operations that are kept.
    pub fn cached_response_bytes(&self) -> usize {
        self.operations.borrow().bytes()
    }

    /// Whether requests are on their way to the backend or at work there, or large responses are to be sent.
    pub fn is_busy(&self) -> bool {
        self.serving.get() > 0 || self.running.count() > 0 || self.link_load.unsent_bytes() > 0
    }

    /// This proxy ends: what must not be cut off begins only where it is over before, whatever its work takes.
    pub fn set_end(&self, end: KnownEnd) {
        self.end.set(Some(end));
    }

    /// From now on nothing more begins at the backend: what is queued and what comes is refused, and can go elsewhere at once.
    pub fn drain(&self) {
        self.is_draining.set(true);
        self.queue.clear();
    }

    /// Something happened to the backend; the replicas are told where it changes what others have to know.
    pub fn on_backend_event(&self, event: BackendEvent) {
        if self.backend.apply(event) {
            self.control.report_endpoint();
        }
    }

    /// How far this instance of the backend has come on its way out.
    pub fn departure(&self, instance: &str) -> Option<Departure> {
        self.backend.departure(instance)
    }

    /// Time has passed.
    pub fn tick(&self, now: Micros) {
        self.on_backend_event(BackendEvent::Tick);
        self.client.close_expired(now);
        self.operations.borrow_mut().tick(now);
    }

    // ---- One request, from its arrival to the backend -----------------------------------------------------

    /// Runs a request at the backend here, with the body from `body`, or says why not. It begins only where its response comes before the
    /// end of its caller.
    pub async fn serve(
        self: Rc<Inbound>,
        request: Request,
        body: BodySource,
        cutoff: ResponseCutoff,
    ) -> PeerResponse {
        let _serving = ServingCount::new(&self);
        let arrival = Arrival::new(request, cutoff, self.context.now());
        // What is dropped before it is admitted leaves the queue, and its claim is withdrawn.
        let admitted = tokio::select! {
            biased;
            admitted = self.admit(&arrival) => admitted,
            () = self.wait_until_too_late(&arrival) => Err(self.refused_at_caller_end(&arrival)),
        };
        match admitted {
            Err(response) => response.into(),
            Ok(Admitted { slot, claim: Some(claim) }) => self.run_keyed(slot, arrival, body, claim).await,
            Ok(Admitted { slot, claim: None }) => self.run(slot, &arrival, body).await,
        }
    }

    /// Claims the key of a request where it has one, and waits for a slot. What becomes of it where it may not begin.
    async fn admit(self: &Rc<Inbound>, arrival: &Arrival) -> Result<Admitted, Response> {
        let request = &arrival.request;
        if let Some(refusal) = self.refusal_on_arrival(arrival) {
            return Err(refusal);
        }
        let mut claim = None;
        if let (false, Some(ticket)) = (request.key.is_empty(), request.ticket) {
            claim = Some(self.claim(request, ticket).await?);
        }
        // Much may have changed while its key was claimed, and again while it was queued.
        if let Some(refusal) = self.refusal(arrival) {
            return Err(refusal);
        }
        let entered = self.queue.enter(arrival.candidate()).await;
        if let Some(refusal) = self.refusal(arrival) {
            return Err(refusal);
        }
        let slot = entered.map_err(|retry_after| self.refused(request.id, "full", retry_after))?;
        Ok(Admitted { slot, claim })
    }

    fn likely_work(&self, arrival: &Arrival) -> Micros {
        self.backend.admission().likely_work(arrival.kind())
    }

    async fn wait_until_too_late(&self, arrival: &Arrival) {
        let cutoff = arrival.cutoff.clone();
        cutoff.wait_until_too_late(&self.context, || self.likely_work(arrival)).await;
    }

    /// Its caller ends before the request would be answered: no other backend would do better.
    fn refused_at_caller_end(&self, arrival: &Arrival) -> Response {
        self.context.count("refused_at_caller_end");
        let refused = self.refused(arrival.request.id, "its proxy ends", CALLER_END_RETRY_AFTER);
        Response { final_refusal: true, ..refused }
    }

    /// Why a request does not even wait for its turn.
    fn refusal_on_arrival(&self, arrival: &Arrival) -> Option<Response> {
        let request = &arrival.request;
        if self.backend.unavailable(&request.instance, &request.service).is_some() {
            self.context.count("astray");
        }
        if let Some(refusal) = self.refusal(arrival) {
            return Some(refusal);
        }
        // Large responses stand before all else on a thin link: one more is begun only while they are soon worked off.
        let latency_target = Micros::ms(i64::from(request.latency_target_ms));
        let backlog = self.link_load.admit(request.latency_target_ms, latency_target).err()?;
        self.context.count("link_full");
        Some(self.refused(request.id, "the link is full", backlog))
    }

    /// Why a request may not begin now: another instance is here, it drains, this proxy or that of its client ends, or its time is over.
    fn refusal(&self, arrival: &Arrival) -> Option<Response> {
        let request = &arrival.request;
        let unavailable = self.backend.unavailable(&request.instance, &request.service);
        if let Some(Unavailable { verdict, reason }) = unavailable {
            return Some(self.with_load(without_answer(request.id, verdict, reason)));
        }
        let is_large = self.link_load.is_large(request.latency_target_ms);
        let need = Need { deadline: arrival.deadline, must_be_complete: is_large || !request.idempotent };
        let is_cut = self.end.get().is_some_and(|end| !end.allows(need));
        if self.is_draining.get() || is_cut {
            self.context.count("refused_at_end");
            return Some(self.refused(request.id, "the proxy here ends", Micros(0)));
        }
        if arrival.cutoff.is_too_late(self.context.now(), self.likely_work(arrival)) {
            return Some(self.refused_at_caller_end(arrival));
        }
        if arrival.deadline - self.context.now() <= DEADLINE_MARGIN {
            return Some(self.refused(request.id, "its time is over", Micros(0)));
        }
        None
    }

    /// The response of one that has not run and never will.
    fn refused(&self, id: u64, reason: &str, retry_after: Micros) -> Response {
        self.context.count("turned_away");
        let retry_after_ms = (retry_after.0 / 1000).clamp(0, MAX_RETRY_AFTER_MS) as u32;
        self.with_load(Response { retry_after_ms, ..without_answer(id, Verdict::NotRun, reason) })
    }

    /// Tells the load of the backend beside a response.
    fn with_load(&self, mut response: Response) -> Response {
        let (mut admission, now) = (self.backend.admission(), self.context.now());
        response.utilisation = 1 + (admission.utilisation(now).clamp(0.0, 1.0) * 1_000.0) as u32;
        response.in_flight = admission.in_flight() as u32;
        response.queued = admission.queued() as u32;
        response
    }

    // ---- The backend --------------------------------------------------------------------------------------

    async fn run(self: Rc<Inbound>, mut slot: Slot, arrival: &Arrival, body: BodySource) -> PeerResponse {
        let started_at = self.context.now();
        let request = &arrival.request;
        let expected = self.link_load.expect(request.latency_target_ms);
        let running = self.running.begin(&request.attempt_id, arrival.origin);
        let outcome = self.client.send(request, body, arrival.deadline).await;
        let BackendOutcome { mut response, rest, memory } = outcome;
        response.call_failed = response.status >= FAILURE_STATUS && running.has_failed_call();
        drop((running, expected));
        let took = self.context.now() - started_at;
        match response.verdict() {
            Verdict::Answered => {
                slot.set_took(took);
                response.backend_us = took.0.max(0) as u64;
            }
            Verdict::MayHaveRun => self.on_broke_off(request, took, &response.reason),
            _ => {}
        }
        drop(slot);
        let response = self.with_load(Response { id: request.id, ..response });
        PeerResponse { rest, memory, ..response.into() }
    }

    /// A request that was handed to the backend ended without an answer of it.
    fn on_broke_off(&self, request: &Request, took: Micros, reason: &str) {
        self.context.count("broke_off");
        if self.context.event_log.may_write() {
            let (attempt_id, ms) = (&request.attempt_id, took.0 / 1_000);
            log::info!(target: "inbound", "{attempt_id} broke off at the backend after {ms} ms: {reason}");
        }
    }
}
