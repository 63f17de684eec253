//! The front of an agent with routes: HTTP in, a route, a pool, the answer out. Which route, which pool and whether a backup steps in is decided in
//! `notchspool_routes`; how much capacity there is in `notchspool_quotas`.
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use actix_http::{ConnectionType, Method, Request, StatusCode};
use awc::http::header::{HOST, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use awc::http::uri::PathAndQuery;
use bytes::Bytes;
use notchspool::units::{Micros, RequestId, RequestKind, TenantId};
use notchspool_routes::failover::UnservedRequest;
use notchspool_routes::route_rule::RequestHead;
use notchspool_routes::weighted_pools::pool_for_key;
use notchspool_settings::agent_file::Affinity;
use oorandom::Rand64;
use tokio::sync::oneshot;

use crate::routing::capacity::CapacityHold;
use crate::routing::pool::Pool;
use crate::routing::routes::{Route, RoutingTable};
use crate::state::balancer_actor::{BeginRequest, ClientLeft};
use crate::state::request::{AnswerRules, FinalAnswer, OutgoingRequest, RetryBudgets, UnservedFacts};
use crate::wire::answer::is_connection_header;
use crate::wire::client_connections::{ClientState, RequestHold};
use crate::wire::front_state::{ANSWER_MARGIN, FrontState, RETRY_SOON};
use crate::wire::request_body::read_small;
use crate::wire::response::{HttpResponse, plain, response};

/// `Retry-After` of a refusal for want of capacity, in seconds.
const REFUSAL_RETRY_AFTER: &str = "0.050";
const REASON: HeaderName = HeaderName::from_static("x-notchspool-reason");

/// Reason codes of refusals, which are counters too; `docs/failures.md` has them all.
mod reason {
    /// It is no request that can be served.
    pub const BAD_REQUEST: &str = "BAD_REQUEST";
    /// No route matches it.
    pub const NO_ROUTE: &str = "NO_ROUTE";
    /// The tenant has all requests in flight that it may have.
    pub const TENANT_FULL: &str = "TENANT_FULL";
    /// The agent has all requests in flight that it may have.
    pub const AGENT_FULL: &str = "AGENT_FULL";
    /// All shares of the route are nothing.
    pub const NO_POOL: &str = "NO_POOL";
    /// The pool has all requests in flight that it may have.
    pub const POOL_FULL: &str = "POOL_FULL";
}

/// See the module.
pub struct RoutedFront {
    /// What all fronts share.
    pub state: Rc<FrontState>,
    /// The routes and pools of the file that counts now.
    pub routing: RefCell<Rc<RoutingTable>>,
    /// The retry budgets of all routes.
    pub retry_budgets: RetryBudgets,
    /// The next request's number.
    pub next_request: Cell<u64>,
    /// Draws a pool where nothing keeps a client's requests together.
    pub rng: RefCell<Rand64>,
}

/// A request that is refused.
pub struct Refusal {
    /// Status of the answer.
    pub status: StatusCode,
    /// Reason code.
    pub code: &'static str,
    /// Words for the client.
    pub text: String,
}

impl Refusal {
    /// A request that makes no sense.
    pub fn bad_request(text: impl Into<String>) -> Refusal {
        Refusal { status: StatusCode::BAD_REQUEST, code: reason::BAD_REQUEST, text: text.into() }
    }

    fn unavailable(code: &'static str, text: impl Into<String>) -> Refusal {
        Refusal { status: StatusCode::SERVICE_UNAVAILABLE, code, text: text.into() }
    }

    /// The same on every front; where it is for want of capacity, with when to come back.
    pub fn response(self) -> HttpResponse {
        let Refusal { status, code, text } = self;
        let mut response = plain(status, format!("{code}: {text}\n"));
        response.headers_mut().insert(REASON, HeaderValue::from_static(code));
        if status == StatusCode::SERVICE_UNAVAILABLE {
            let retry_after = HeaderValue::from_static(REFUSAL_RETRY_AFTER);
            response.headers_mut().insert(RETRY_AFTER, retry_after);
        }
        response
    }
}

/// A request as any front hands it in.
pub struct IncomingRequest {
    /// Index of the listener that it came to.
    pub listener: usize,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub path: PathAndQuery,
    /// Its headers.
    pub headers: HeaderMap,
    /// The client's address.
    pub client: String,
    /// Its body.
    pub body: Bytes,
}

impl IncomingRequest {
    fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// Tells the pool that the client stopped waiting, if it goes before its answer.
struct WaitingClient<'a> {
    pool: &'a Pool,
    request: RequestId,
    is_answered: bool,
}

impl Drop for WaitingClient<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.pool.balancer.do_send(ClientLeft(self.request));
        }
    }
}

/// A request on its way through pools.
struct RoutedRequest<'a> {
    routing: &'a RoutingTable,
    route: &'a Route,
    tenant: Option<TenantId>,
    deadline: Micros,
    outgoing: Arc<OutgoingRequest>,
}

impl RoutedFront {
    /// Answers a request of a client that came to this listener.
    ///
    /// # Errors
    ///
    /// None: each request has an answer.
    pub async fn answer(
        self: Rc<Self>,
        listener: usize,
        request: Request,
    ) -> Result<HttpResponse, Infallible> {
        let client = request.conn_data::<Rc<ClientState>>().cloned();
        let was_refused = client.as_ref().is_some_and(|client| client.refusal().is_some());
        let mut response = match request.path() {
            _ if was_refused => plain(StatusCode::BAD_REQUEST, "refused before\n"),
            "/-/healthz" if self.state.draining_since.get().is_some() => {
                plain(StatusCode::SERVICE_UNAVAILABLE, "standby\n")
            }
            "/-/healthz" => plain(StatusCode::OK, "ready\n"),
            "/-/counters" => plain(StatusCode::OK, self.counters_page()),
            _ => match self.answer_http(listener, request, client.clone()).await {
                Ok(response) => response,
                Err(refusal) => {
                    self.state.counters.add(refusal.code);
                    refusal.response()
                }
            },
        };
        let is_refused = client.is_some_and(|client| client.refusal().is_some());
        if self.state.closes_connections() || is_refused {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        Ok(response)
    }

    /// The counters, and how pools stand.
    fn counters_page(&self) -> String {
        let routing = self.routing.borrow().clone();
        let mut page = self.state.counters_page();
        for pool in &routing.pools {
            let primary = pool.failover.borrow().state();
            let in_flight = routing.capacity.held_by(&pool.name);
            let (name, fraction) = (primary.name, primary.fraction);
            page += &format!("pool {} in_hand {in_flight} primary {name} {fraction:.2}\n", pool.name);
        }
        page
    }

    async fn answer_http(
        &self,
        listener: usize,
        mut request: Request,
        client: Option<Rc<ClientState>>,
    ) -> Result<HttpResponse, Refusal> {
        let body = read_small(&mut request).await;
        let body = body.map_err(|(status, text)| Refusal { status, ..Refusal::bad_request(text) })?;
        let head = request.head();
        let path = head.uri.path_and_query().cloned();
        let incoming = IncomingRequest {
            listener,
            method: head.method.clone(),
            path: path.ok_or_else(|| Refusal::bad_request("no path"))?,
            headers: head.headers().clone(),
            client: request.peer_addr().map(|at: SocketAddr| at.ip().to_string()).unwrap_or_default(),
            body,
        };
        self.forward(incoming, client).await.map(|answer| response(answer, None))
    }

    /// A request, whatever it came in, to its final answer.
    ///
    /// # Errors
    ///
    /// It makes no sense, no route takes it, or there is no capacity for it.
    pub async fn forward(
        &self,
        incoming: IncomingRequest,
        client: Option<Rc<ClientState>>,
    ) -> Result<FinalAnswer, Refusal> {
        let arrived = self.state.arrival_time().await;
        // One table for all of this request, whatever the file says next.
        let routing = self.routing.borrow().clone();
        let route = find_route(&routing, &incoming)?;
        let deadline = arrived + time_left(route, &incoming)? - ANSWER_MARGIN;
        let tenant = tenant(&routing, &incoming);
        // Taken before anything refuses it: a tenant's capacity is given back when this ends.
        let tenant_capacity = routing
            .tenants
            .as_ref()
            .map(|tenants| tenants.try_acquire(incoming.header(tenants.header.as_str())));
        let affinity_key = affinity_key(route, &incoming);
        let affinity_key = affinity_key.unwrap_or_else(|| self.rng.borrow_mut().rand_u64().to_string());
        let outgoing = Arc::new(outgoing_request(route, incoming)?);
        let _hold = RequestHold::new(client);
        let _tenant_capacity: Option<CapacityHold> = match tenant_capacity {
            Some(None) => {
                return Err(Refusal::unavailable(reason::TENANT_FULL, "this tenant holds all that it may"));
            }
            held => held.flatten(),
        };
        if self.state.counters.capacity_used() >= self.state.limits.now().requests {
            return Err(Refusal::unavailable(reason::AGENT_FULL, "all room for txns is taken"));
        }
        let first_pool = choose_pool(route, &affinity_key)?;
        if let Some(budget) = self.retry_budgets.borrow_mut().get_mut(&route.id) {
            budget.on_request();
        }
        let request = RoutedRequest { routing: &routing, route, tenant, deadline, outgoing };
        self.send(request, first_pool).await
    }

    /// Through the pool, and its backup where that may step in.
    async fn send(&self, request: RoutedRequest<'_>, first_pool: usize) -> Result<FinalAnswer, Refusal> {
        let RoutedRequest { routing, route, deadline, .. } = request;
        let mut index = first_pool;
        let mut earlier_attempts = 0;
        loop {
            let pool = &routing.pools[index];
            let backup = routing.backups[index];
            let now = self.state.clock.now();
            if let Some(backup) = backup
                && !pool.failover.borrow_mut().choose_primary(now)
            {
                self.state.counters.add("backup_at_once");
                index = backup;
                continue;
            }
            let Some(_capacity) = routing.capacity.try_acquire(&pool.name) else {
                let text = format!("pool `{}` holds all that it may", pool.name);
                return Err(Refusal::unavailable(reason::POOL_FULL, text));
            };
            let answer = self.send_to_pool(pool, &request, earlier_attempts).await;
            let now = self.state.clock.now();
            let unserved = match &answer {
                FinalAnswer::Succeeded(_) => {
                    pool.failover.borrow_mut().on_served(now);
                    return Ok(answer);
                }
                FinalAnswer::Rejected(_, unserved) | FinalAnswer::Failed(_, unserved) => *unserved,
            };
            if let Some(backup) = backup
                && pool.failover.borrow_mut().on_unserved(now, unserved_request(route, unserved))
                && now < deadline
            {
                self.state.counters.add("backup_after");
                index = backup;
                earlier_attempts += unserved.attempts;
                continue;
            }
            return Ok(with_retry_after(answer));
        }
    }

    async fn send_to_pool(
        &self,
        pool: &Pool,
        routed: &RoutedRequest<'_>,
        earlier_attempts: u32,
    ) -> FinalAnswer {
        let request = RequestId(self.next_request.get());
        self.next_request.set(request.0 + 1);
        let (client, answer) = oneshot::channel();
        let mut waiting = WaitingClient { pool, request, is_answered: false };
        pool.balancer.do_send(BeginRequest {
            request,
            class: routed.route.class,
            tenant: routed.tenant,
            deadline: routed.deadline,
            outgoing: routed.outgoing.clone(),
            client,
            earlier_attempts,
            payer: Some(routed.route.id),
        });
        let answer = answer.await;
        waiting.is_answered = true;
        answer.unwrap_or_else(|_| FinalAnswer::Failed(None, UnservedFacts::default()))
    }
}

fn find_route<'a>(routing: &'a RoutingTable, incoming: &IncomingRequest) -> Result<&'a Route, Refusal> {
    let headers = incoming.headers.iter();
    let headers: Vec<(&str, &str)> =
        headers.filter_map(|(name, value)| Some((name.as_str(), value.to_str().ok()?))).collect();
    let head = RequestHead {
        listener: incoming.listener,
        host: incoming.header(HOST.as_str()).unwrap_or(""),
        path: incoming.path.path(),
        method: incoming.method.as_str(),
        headers: &headers,
    };
    let no_route = || Refusal {
        status: StatusCode::NOT_FOUND,
        code: reason::NO_ROUTE,
        text: "no route takes this".into(),
    };
    routing.table.find(&head).map(|index| &routing.routes[index]).ok_or_else(no_route)
}

/// The tenant's number, as the pools' quotas count; nothing for one of the others.
fn tenant(routing: &RoutingTable, incoming: &IncomingRequest) -> Option<TenantId> {
    let tenants = routing.tenants.as_ref()?;
    tenants.id(incoming.header(tenants.header.as_str()))
}

/// The index of the pool that a request goes to first.
fn choose_pool(route: &Route, affinity_key: &str) -> Result<usize, Refusal> {
    if let [single] = route.pools.as_slice() {
        return Ok(*single);
    }
    let chosen = pool_for_key(affinity_key.as_bytes(), &route.weighted_pools);
    let no_pool = || Refusal::unavailable(reason::NO_POOL, "all shares of this route are nothing");
    Ok(route.pools[chosen.ok_or_else(no_pool)?])
}

fn unserved_request(route: &Route, unserved: UnservedFacts) -> UnservedRequest {
    UnservedRequest {
        kind: route.kind,
        scope: route.scope,
        may_have_run: unserved.may_have_run,
        healthy_backends: unserved.healthy_backends,
        was_attempted: unserved.attempts > 0,
    }
}

/// A rejection without a time gets one: there is always something to wait for.
fn with_retry_after(answer: FinalAnswer) -> FinalAnswer {
    match answer {
        FinalAnswer::Rejected(None, unserved) => FinalAnswer::Rejected(Some(RETRY_SOON), unserved),
        other => other,
    }
}

/// How long the client waits: what it says, at most what the route allows.
fn time_left(route: &Route, incoming: &IncomingRequest) -> Result<Micros, Refusal> {
    let header = route.deadline_header.as_ref().and_then(|name| incoming.headers.get(name));
    let Some(header) = header else { return Ok(route.max_deadline) };
    let stated = header.to_str().ok().and_then(|value| value.trim().parse::<u32>().ok());
    let stated =
        stated.ok_or_else(|| Refusal::bad_request("the expiry is no whole number of milliseconds"))?;
    Ok(Micros::ms(stated.into()).min(route.max_deadline))
}

/// What a client's requests are kept together by; nothing where they are not.
fn affinity_key(route: &Route, incoming: &IncomingRequest) -> Option<String> {
    match &route.affinity {
        Affinity::Header(name) => Some(incoming.header(name).unwrap_or("").to_owned()),
        Affinity::Path => Some(incoming.path.path().to_owned()),
        Affinity::Client => Some(incoming.client.clone()),
        Affinity::None => None,
    }
}

/// What goes on to backends.
fn outgoing_request(route: &Route, incoming: IncomingRequest) -> Result<OutgoingRequest, Refusal> {
    let headers = &incoming.headers;
    if route.kind == RequestKind::Keyed {
        let key = route.key_header.as_ref().and_then(|name| headers.get(name));
        if key.is_none_or(HeaderValue::is_empty) {
            let name = route.key_header.as_ref().map_or("", |name| name.as_str());
            return Err(Refusal::bad_request(format!("no {name}, which carries the reference")));
        }
    }
    let is_dropped = |name: &HeaderName| {
        is_connection_header(name, headers)
            || *name == "expect"
            || route.removed_headers.contains(name)
            || route.deadline_header.as_ref() == Some(name)
            || route.added_headers.iter().any(|(added, _)| added == name)
    };
    let kept = headers.iter().filter(|(name, _)| !is_dropped(name));
    let kept = kept.map(|(name, value)| (name.clone(), value.clone()));
    Ok(OutgoingRequest {
        headers: kept.chain(route.added_headers.iter().cloned()).collect(),
        method: incoming.method,
        path: incoming.path,
        deadline_header: route.deadline_header.clone(),
        body: incoming.body,
        reservation: None,
        remaining: None,
        may_stream_answer: false,
        rules: AnswerRules::Plain,
    })
}
