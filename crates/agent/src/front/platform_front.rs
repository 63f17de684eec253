//! The front of an agent that the platform configures: HTTP in, a request to the balancer, its answer out.
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::convert::Infallible;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;

use actix::Addr;
use actix_http::{ConnectionType, Method, Payload, Request, RequestHead, StatusCode};
use awc::http::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use bytes::Bytes;
use notchspool::units::{ClassId, Micros, RequestId, RequestKind, TenantId};
use tokio::sync::oneshot;

use crate::base::clock::to_duration;
use crate::state::balancer_actor::{BalancerActor, BeginRequest, ClientLeft};
use crate::state::body_budget::BodyBudget;
use crate::state::body_stream::{BodySender, RemainingBody, body_stream};
use crate::state::request::{AnswerRules, FinalAnswer, OutgoingRequest, UnservedFacts};
use crate::wire::client_connections::{ClientState, RequestHold};
use crate::wire::front_state::{ANSWER_MARGIN, FrontState};
use crate::wire::request_body::{RequestBody, pass_on, read_held};
use crate::wire::response::{HttpResponse, plain, response};

/// What a request waits at most for its body to pass.
const MAX_BODY_TIME: Micros = Micros::ms(600_000);

const TRACE_ID: HeaderName = HeaderName::from_static("x-trace-id");
const DEADLINE: HeaderName = HeaderName::from_static("x-expires-in-ms");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const TENANT: HeaderName = HeaderName::from_static("x-customer");

/// Why a request is refused: the status and words of the answer.
type Refusal = (StatusCode, &'static str);

fn bad_request(reason: &'static str) -> Refusal {
    (StatusCode::BAD_REQUEST, reason)
}

/// A request class, as a front knows it.
#[derive(Clone, Debug)]
pub struct FrontClass {
    /// Its name, the first part of a path.
    pub name: String,
    /// How it may be repeated.
    pub kind: RequestKind,
}

/// See the module.
pub struct PlatformFront {
    /// What all fronts share.
    pub state: Rc<FrontState>,
    /// Takes the requests.
    pub balancer: Addr<BalancerActor>,
    /// The request classes, by [`ClassId`].
    pub classes: Vec<FrontClass>,
    /// Tenants that have a share, by their names in `X-Customer`.
    pub tenants: Vec<String>,
    /// When a client is told to come back that this front rejects; nothing where clients are not to be told.
    pub retry_after: Option<Micros>,
    /// The next request's number.
    pub next_request: Cell<u64>,
    /// For bodies that are held.
    pub body_budget: BodyBudget,
    /// Trace ids of the requests in flight.
    pub trace_ids: RefCell<BTreeSet<HeaderValue>>,
}

/// Tells the balancer when the client stops waiting: dropped before the answer came, it has left.
struct WaitingClient<'a> {
    front: &'a PlatformFront,
    request: RequestId,
    trace_id: HeaderValue,
    is_answered: bool,
}

impl Drop for WaitingClient<'_> {
    fn drop(&mut self) {
        self.front.trace_ids.borrow_mut().remove(&self.trace_id);
        if !self.is_answered {
            self.front.balancer.do_send(ClientLeft(self.request));
        }
    }
}

/// What the head of a request says.
struct CheckedHead {
    class: ClassId,
    tenant: Option<TenantId>,
    deadline: Micros,
    trace_id: HeaderValue,
    outgoing: OutgoingRequest,
}

impl PlatformFront {
    /// Answers a request of a client.
    ///
    /// # Errors
    ///
    /// None: each request has an answer.
    pub async fn answer(self: Rc<Self>, request: Request) -> Result<HttpResponse, Infallible> {
        let client = request.conn_data::<Rc<ClientState>>().cloned();
        let was_refused = client.as_ref().is_some_and(|client| client.refusal().is_some());
        let mut response = match request.path() {
            _ if was_refused => plain(StatusCode::BAD_REQUEST, "refused before\n"),
            "/healthz" if self.state.draining_since.get().is_some() => {
                plain(StatusCode::SERVICE_UNAVAILABLE, "standby\n")
            }
            "/healthz" => plain(StatusCode::OK, "ready\n"),
            "/-/counters" => plain(StatusCode::OK, self.state.counters_page()),
            _ => match self.forward(request, client.clone()).await {
                Ok((answer, hold)) => response(answer, Some(hold)),
                Err((status, reason)) => {
                    self.state.counters.add("bad_requests");
                    // Whoever sent this would send more of it: nothing else that came with it is looked at.
                    client.iter().for_each(|client| client.refuse(reason));
                    plain(status, format!("{reason}\n"))
                }
            },
        };
        let is_refused = client.is_some_and(|client| client.refusal().is_some());
        if self.state.closes_connections() || is_refused {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        Ok(response)
    }

    /// A request to its final answer.
    async fn forward(
        &self,
        mut request: Request,
        client: Option<Rc<ClientState>>,
    ) -> Result<(FinalAnswer, RequestHold), Refusal> {
        let CheckedHead { class, tenant, deadline, trace_id, mut outgoing } =
            self.check_head(request.head(), request.path())?;
        let body_limit = self.state.limits.now().body_budget_bytes;
        let RequestBody { held, reservation, length, rest } =
            read_held(&mut request, &self.body_budget, body_limit).await?;
        (outgoing.body, outgoing.reservation) = (held, reservation);
        let arrived = self.state.arrival_time().await;
        let hold = RequestHold::new(client);
        if self.state.counters.capacity_used() >= self.state.limits.now().requests {
            // At the limit nothing is begun: a rejection, as true as any.
            self.state.counters.add("declined_at_bound");
            log::debug!("all room for txns is taken: declined");
            return Ok((FinalAnswer::Rejected(self.retry_after, UnservedFacts::default()), hold));
        }
        if !self.trace_ids.borrow_mut().insert(trace_id.clone()) {
            return Err((StatusCode::CONFLICT, "a txn of that X-Trace-Id is in hand"));
        }
        let time = deadline.min(self.state.max_deadline.get()) - ANSWER_MARGIN;
        let mut deadline = arrived + time;
        if let Some(last_answer) = self.state.last_answer() {
            deadline = deadline.min(last_answer);
        }
        let (sender, stream) = body_stream();
        if rest.is_some() {
            // The client's time runs from its last byte.
            deadline = deadline + MAX_BODY_TIME;
            outgoing.remaining = Some(RemainingBody::new(stream, length, to_duration(time)));
        }
        let request = RequestId(self.next_request.get());
        self.next_request.set(request.0 + 1);
        let (answer_sender, answer) = oneshot::channel();
        let mut waiting = WaitingClient { front: self, request, trace_id, is_answered: false };
        let outgoing = Arc::new(outgoing);
        self.balancer.do_send(BeginRequest {
            request,
            class,
            tenant,
            deadline,
            outgoing: outgoing.clone(),
            client: answer_sender,
            earlier_attempts: 0,
            payer: None,
        });
        let answer = pin!(answer);
        let answer = await_answer(answer, rest, &outgoing, sender, &hold).await?;
        waiting.is_answered = true;
        Ok((answer, hold))
    }

    /// Checks the head of a request and takes what goes on.
    fn check_head(&self, head: &RequestHead, path: &str) -> Result<CheckedHead, Refusal> {
        if head.method != Method::GET && head.method != Method::POST {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "neither GET nor POST"));
        }
        let class = path.split('/').nth(1).unwrap_or("");
        let class = self.classes.iter().position(|known| known.name == class);
        let class = ClassId(class.ok_or((StatusCode::NOT_FOUND, "no scheme of that name"))?);
        let kind = self.classes[class.0].kind;
        if (head.method == Method::GET) != (kind == RequestKind::Idempotent) {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "not the method of that scheme"));
        }
        let headers = head.headers();
        let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
        let tenant = text(&TENANT).and_then(|name| self.tenants.iter().position(|known| known == name));
        let deadline = text(&DEADLINE).and_then(|value| value.parse::<u32>().ok());
        let deadline = deadline.ok_or(bad_request("X-Expires-In-Ms is no whole number"))?;
        let trace_id = headers.get(&TRACE_ID).filter(|id| !id.is_empty()).cloned();
        let trace_id = trace_id.ok_or(bad_request("no X-Trace-Id"))?;
        let path = head.uri.path_and_query().cloned().ok_or(bad_request("no path"))?;
        let key = headers.get(&IDEMPOTENCY_KEY).cloned();
        if kind == RequestKind::Keyed && key.as_ref().is_none_or(HeaderValue::is_empty) {
            return Err(bad_request("no Idempotency-Key"));
        }
        let content_type = headers.get(CONTENT_TYPE).cloned();
        let forwarded =
            [(TRACE_ID, Some(trace_id.clone())), (IDEMPOTENCY_KEY, key), (CONTENT_TYPE, content_type)];
        let outgoing = OutgoingRequest {
            method: head.method.clone(),
            path,
            headers: forwarded.into_iter().filter_map(|(name, value)| Some((name, value?))).collect(),
            deadline_header: Some(DEADLINE),
            body: Bytes::new(),
            reservation: None,
            remaining: None,
            rules: AnswerRules::Platform,
            may_stream_answer: true,
        };
        let (tenant, deadline) = (tenant.map(TenantId), Micros::ms(deadline.into()));
        Ok(CheckedHead { class, tenant, deadline, trace_id, outgoing })
    }
}

/// Passes on what follows of the body, if anything does, and waits for the answer, which may come before the body's end.
async fn await_answer(
    mut answer: Pin<&mut oneshot::Receiver<FinalAnswer>>,
    rest: Option<Payload>,
    outgoing: &OutgoingRequest,
    sender: BodySender,
    hold: &RequestHold,
) -> Result<FinalAnswer, Refusal> {
    let lost = || FinalAnswer::Failed(None, UnservedFacts::default());
    if let (Some(mut payload), Some(remaining)) = (rest, &outgoing.remaining) {
        hold.set_passing_body(true);
        tokio::select! {
            early = &mut answer => return Ok(early.unwrap_or_else(|_| lost())),
            passed = pass_on(&mut payload, sender, outgoing.body.len(), remaining.length) => passed?,
        }
        hold.set_passing_body(false);
        remaining.on_complete();
    }
    Ok(answer.await.unwrap_or_else(|_| lost()))
}
