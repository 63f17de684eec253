//! The actor of a backend that speaks `FastCGI`: its address, its connections, the attempts at it.
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::{Actor, ActorContext, ActorFutureExt, Addr, AsyncContext, Context, Handler, WrapFuture};
use actix_http::StatusCode;
use awc::http::header::{HeaderMap, HeaderName, HeaderValue};
use notchspool::units::{AttemptOutcome, BackendId, Micros};
use notchspool_fastcgi::cgi;
use notchspool_fastcgi::client::{Answer, encode_request};
use notchspool_fastcgi::protocol::{ProtocolStatus, RequestId};
use notchspool_settings::load_report;

use super::connection::{Concurrency, ServerConnection, ServerReply};
use crate::base::clock::to_duration;
use crate::base::limits::SMALL_BODY_BYTES;
use crate::state::balancer_actor::{AttemptEnded, BalancerActor, ConnectionsExhausted, ProbeEnded};
use crate::state::messages::{BackendFactory, ToBackend};
use crate::state::request::{AnswerRules, BackendAnswer, OutgoingRequest};
use crate::wire::answer::{AttemptResult, classify, forwarded_headers, header_report};
use crate::wire::attempt::ProbeResult;
use crate::wire::connection_history::reason;
use crate::wire::http_backend::{
    AttemptKey, BackendContext, IDLE_CHECK_INTERVAL, OngoingAttempt, PROBE_TIMEOUT, stall_timeout,
};
use crate::wire::http_client::connect_within;

/// Of what a backend writes on stderr the log gets so many bytes.
const SHOWN_STDERR_BYTES: usize = 200;
const PROBE_PATH: &str = "/load";

/// A connection, and when it was used last.
struct PooledConnection {
    connection: Rc<ServerConnection>,
    last_used: Cell<Micros>,
}

/// Connections of one backend.
struct ConnectionPool {
    address: Cell<SocketAddr>,
    connections: RefCell<Vec<PooledConnection>>,
    /// Requests at once on a connection, as the server says; nothing until it was asked.
    concurrency: RefCell<Option<Concurrency>>,
    context: Rc<BackendContext>,
}

/// See the module.
pub struct FastcgiBackend {
    id: BackendId,
    pool: Rc<ConnectionPool>,
    balancer: Addr<BalancerActor>,
    attempts: BTreeMap<AttemptKey, OngoingAttempt>,
    /// The list has it no more.
    is_gone: bool,
}

/// Makes actors of backends that speak `FastCGI`.
pub fn fastcgi_backends(balancer: Addr<BalancerActor>, context: Rc<BackendContext>) -> BackendFactory {
    Box::new(move |id, address| {
        let pool = Rc::new(ConnectionPool {
            address: Cell::new(address),
            connections: RefCell::default(),
            concurrency: RefCell::default(),
            context: context.clone(),
        });
        let balancer = balancer.clone();
        let backend = FastcgiBackend { id, pool, balancer, attempts: BTreeMap::new(), is_gone: false };
        backend.start().recipient()
    })
}

impl ConnectionPool {
    /// A connection with room for one more request.
    async fn acquire(&self) -> Result<Rc<ServerConnection>, AttemptOutcome> {
        if let Some(connection) = self.find_open() {
            return Ok(connection);
        }
        let context = &self.context;
        if context.counters.backend_connections.get() >= context.limits.now().backend_connections {
            return Err(AttemptOutcome::NotSent);
        }
        let address = self.address.get();
        let stream = match connect_within(address, context.connect_timeout).await {
            Ok(stream) => stream,
            Err(error) if error.kind() == ErrorKind::TimedOut => {
                log::info!("link to {address} ended: {}", reason::NEVER_UP);
                return Err(AttemptOutcome::ConnectFailed);
            }
            Err(error) => {
                log::info!("link to {address} ended: {} ({error})", reason::REFUSED);
                return Err(AttemptOutcome::ConnectFailed);
            }
        };
        let (concurrency, ask_values) = match &mut *self.concurrency.borrow_mut() {
            Some(known) => (known.clone(), false),
            unknown => (unknown.insert(Rc::new(Cell::new(1))).clone(), true),
        };
        let counters = context.counters.clone();
        let connection = ServerConnection::open(stream, address, counters, concurrency, ask_values);
        let last_used = Cell::new(context.clock.now());
        let pooled = PooledConnection { connection: connection.clone(), last_used };
        self.connections.borrow_mut().push(pooled);
        Ok(connection)
    }

    /// The one used last first, so that surplus ones fall idle.
    fn find_open(&self) -> Option<Rc<ServerConnection>> {
        let now = self.context.clock.now();
        let mut connections = self.connections.borrow_mut();
        connections.retain(|pooled| pooled.connection.is_open());
        let is_usable = |pooled: &&PooledConnection| {
            let is_fresh = to_duration(now - pooled.last_used.get()) < self.context.idle_timeout;
            pooled.connection.has_room() && (pooled.connection.in_flight() > 0 || is_fresh)
        };
        let found = connections.iter().filter(is_usable).max_by_key(|pooled| pooled.last_used.get())?;
        found.last_used.set(now);
        Some(found.connection.clone())
    }

    fn close_idle(&self, unused_for: Duration) {
        let now = self.context.clock.now();
        for pooled in self.connections.borrow().iter() {
            let is_unused = to_duration(now - pooled.last_used.get()) >= unused_for;
            if is_unused && pooled.connection.in_flight() == 0 {
                pooled.connection.close();
            }
        }
    }

    /// What is out stays out; nothing else goes on these connections.
    fn renew(&self) {
        self.connections.borrow_mut().drain(..).for_each(|pooled| pooled.connection.close());
        *self.concurrency.borrow_mut() = None;
    }
}

/// A request that is out. Dropped before its answer it is given up.
struct SentRequest {
    connection: Rc<ServerConnection>,
    id: RequestId,
    is_over: bool,
}

impl Drop for SentRequest {
    fn drop(&mut self) {
        if !self.is_over {
            self.connection.give_up(self.id);
        }
    }
}

async fn send(
    pool: Rc<ConnectionPool>,
    outgoing: Arc<OutgoingRequest>,
    timeout: Duration,
    stall_timeout: Duration,
) -> AttemptResult {
    let deadline = Instant::now() + timeout;
    let connection = match pool.acquire().await {
        Ok(connection) => connection,
        Err(outcome) => return AttemptResult::only(outcome),
    };
    let time_left = deadline.saturating_duration_since(Instant::now()).as_millis().to_string();
    let headers = outgoing.headers.iter().map(|(name, value)| (name.as_str(), value.as_bytes()));
    let deadline_header = outgoing.deadline_header.as_ref();
    let deadline_header = deadline_header.map(|name| (name.as_str(), time_left.as_bytes()));
    let (method, path) = (outgoing.method.as_str(), outgoing.path.as_str());
    let params = cgi::request_params(method, path, headers.chain(deadline_header), outgoing.body.len());
    let (id, mut reply) = connection.send(|id| encode_request(id, true, &params, &outgoing.body));
    let mut sent = SentRequest { connection, id, is_over: false };
    loop {
        let now = Instant::now();
        let check_at = sent.connection.arrival(id).next_check(stall_timeout, deadline, now);
        let wait = check_at.saturating_duration_since(now);
        if let Ok(reply) = actix_rt::time::timeout(wait, &mut reply).await {
            sent.is_over = true;
            return match reply {
                Ok(ServerReply::Answer(answer)) => result(answer, outgoing.rules, pool.address.get()),
                Ok(ServerReply::ConnectionEnded(outcome)) => AttemptResult::only(outcome),
                Err(_) => AttemptResult::only(AttemptOutcome::ConnectionLost),
            };
        }
        let now = Instant::now();
        if now >= deadline {
            return AttemptResult::only(if sent.connection.may_have_begun(id) {
                AttemptOutcome::TimedOut
            } else {
                AttemptOutcome::ConnectFailed
            });
        }
        let arrival = sent.connection.arrival(id);
        if arrival.is_stalled(stall_timeout, now) {
            let (address, bytes, waited) = (pool.address.get(), arrival.bytes(), stall_timeout.as_millis());
            log::warn!("backend {address}: an answer that stands still after {bytes} bytes, for {waited} ms");
            return AttemptResult::only(AttemptOutcome::ConnectionLost);
        }
    }
}

/// What an answer says of its request.
fn result(answer: Answer, rules: AnswerRules, backend: SocketAddr) -> AttemptResult {
    if !answer.stderr.is_empty() {
        let shown = &answer.stderr[..answer.stderr.len().min(SHOWN_STDERR_BYTES)];
        log::info!("backend {backend}: stderr: {}", String::from_utf8_lossy(shown).escape_debug());
    }
    match answer.status {
        ProtocolStatus::Complete => {}
        // The protocol's own words for what was not begun.
        ProtocolStatus::CantMultiplex | ProtocolStatus::Overloaded | ProtocolStatus::UnknownRole => {
            return AttemptResult::only(AttemptOutcome::Rejected);
        }
        ProtocolStatus::Other(_) => return broken(backend, "an end of no known kind"),
    }
    if !answer.is_complete {
        return broken(backend, "an end without an end of stdout");
    }
    let Some(parsed) = cgi::parse_answer(&answer.stdout) else {
        return broken(backend, "a head that can't be read");
    };
    let headers = header_map(parsed.headers);
    let Ok(status) = StatusCode::from_u16(parsed.status) else {
        return broken(backend, "a status that is none");
    };
    let mut outcome = classify(status, &headers, rules);
    if answer.app_status != 0 && outcome == AttemptOutcome::Succeeded {
        log::warn!("backend {backend}: app status {}", answer.app_status);
        outcome = AttemptOutcome::Failed;
    }
    if parsed.body.len() > SMALL_BODY_BYTES {
        return broken(backend, "an answer over 64 KiB");
    }
    let may_go_back = outcome == AttemptOutcome::Succeeded || rules == AnswerRules::Plain;
    let answer = may_go_back.then(|| BackendAnswer {
        status,
        headers: forwarded_headers(&headers, rules),
        body: parsed.body,
        remaining: None,
    });
    AttemptResult { outcome, report: header_report(&headers), answer }
}

fn broken(backend: SocketAddr, reason: &str) -> AttemptResult {
    log::warn!("backend {backend}: {reason}");
    AttemptResult::only(AttemptOutcome::ConnectionLost)
}

/// Headers that can't be HTTP headers are left out.
fn header_map(headers: Vec<(String, bytes::Bytes)>) -> HeaderMap {
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::from_maybe_shared(value)) {
            map.append(name, value);
        }
    }
    map
}

async fn probe(pool: Rc<ConnectionPool>) -> ProbeResult {
    let result = actix_rt::time::timeout(PROBE_TIMEOUT, probe_exchange(pool)).await;
    result.unwrap_or_else(|_| ProbeResult::only(AttemptOutcome::TimedOut))
}

async fn probe_exchange(pool: Rc<ConnectionPool>) -> ProbeResult {
    let connection = match pool.acquire().await {
        Ok(connection) => connection,
        Err(outcome) => return ProbeResult::only(outcome),
    };
    let params = cgi::request_params("GET", PROBE_PATH, std::iter::empty(), 0);
    let (id, reply) = connection.send(|id| encode_request(id, true, &params, b""));
    let mut sent = SentRequest { connection, id, is_over: false };
    let reply = reply.await;
    sent.is_over = true;
    match reply {
        Ok(ServerReply::Answer(answer)) => {
            let line = cgi::parse_answer(&answer.stdout);
            let line = line.and_then(|answer| String::from_utf8(answer.body.to_vec()).ok());
            let report = line.as_deref().and_then(load_report::parse_line);
            ProbeResult { outcome: AttemptOutcome::Succeeded, report }
        }
        Ok(ServerReply::ConnectionEnded(outcome)) => ProbeResult::only(outcome),
        Err(_) => ProbeResult::only(AttemptOutcome::ConnectionLost),
    }
}

impl Actor for FastcgiBackend {
    type Context = Context<FastcgiBackend>;

    fn started(&mut self, ctx: &mut Context<FastcgiBackend>) {
        ctx.run_interval(IDLE_CHECK_INTERVAL, |backend, _| {
            let idle_timeout = backend.pool.context.idle_timeout;
            backend.pool.close_idle(if backend.is_gone { Duration::ZERO } else { idle_timeout });
        });
    }

    fn stopped(&mut self, _: &mut Context<FastcgiBackend>) {
        self.pool.renew();
    }
}

impl FastcgiBackend {
    fn send(
        &mut self,
        key: AttemptKey,
        until: Micros,
        outgoing: Arc<OutgoingRequest>,
        stall_timeout: Duration,
        ctx: &mut Context<FastcgiBackend>,
    ) {
        let context = &self.pool.context;
        if self.attempts.len() >= context.limits.now().connections_per_backend {
            context.counters.add("no_room_at_backend");
            return self.report(key, Micros(0), AttemptResult::only(AttemptOutcome::NotSent));
        }
        let timeout = context.clock.until(until);
        let sent = send(self.pool.clone(), outgoing, timeout, stall_timeout).into_actor(self);
        let ended = sent.map(move |result, backend: &mut FastcgiBackend, _| {
            backend.on_attempt_end(key, result);
        });
        let sent_at = self.pool.context.clock.now();
        self.attempts.insert(key, OngoingAttempt { handle: ctx.spawn(ended), sent_at });
    }

    fn on_attempt_end(&mut self, key: AttemptKey, result: AttemptResult) {
        let Some(attempt) = self.attempts.remove(&key) else { return };
        if result.outcome == AttemptOutcome::NotSent {
            self.pool.context.counters.add("no_room_for_links");
            self.balancer.do_send(ConnectionsExhausted);
        }
        self.report(key, self.pool.context.clock.now() - attempt.sent_at, result);
    }

    fn report(&self, (request, attempt): AttemptKey, took: Micros, result: AttemptResult) {
        let AttemptResult { outcome, report, answer } = result;
        let backend = self.id;
        self.balancer.do_send(AttemptEnded { request, attempt, backend, outcome, took, report, answer });
    }

    fn probe(&mut self, ctx: &mut Context<FastcgiBackend>) {
        let probe = probe(self.pool.clone()).into_actor(self);
        let ended = probe.map(|result, backend: &mut FastcgiBackend, _| {
            let (outcome, report) = (result.outcome, result.report);
            backend.balancer.do_send(ProbeEnded { backend: backend.id, outcome, report });
        });
        ctx.spawn(ended);
    }

    fn cancel(&mut self, key: AttemptKey, ctx: &mut Context<FastcgiBackend>) {
        if let Some(attempt) = self.attempts.get(&key) {
            ctx.cancel_future(attempt.handle);
            self.on_attempt_end(key, AttemptResult::only(AttemptOutcome::Cancelled));
        }
    }

    /// Ends all attempts with it: a request that hears of none would never be answered.
    fn retire(&mut self, ctx: &mut Context<FastcgiBackend>) {
        for key in self.attempts.keys().copied().collect::<Vec<_>>() {
            self.on_attempt_end(key, AttemptResult::only(AttemptOutcome::ConnectionLost));
        }
        ctx.stop();
    }
}

impl Handler<ToBackend> for FastcgiBackend {
    type Result = ();

    fn handle(&mut self, message: ToBackend, ctx: &mut Context<FastcgiBackend>) {
        match message {
            ToBackend::Send { request, attempt, until, outgoing, stalled_answer_wait } => {
                let stall_timeout = stall_timeout(stalled_answer_wait);
                self.send((request, attempt), until, outgoing, stall_timeout, ctx);
            }
            ToBackend::Cancel { request, attempt } => self.cancel((request, attempt), ctx),
            ToBackend::Probe => self.probe(ctx),
            ToBackend::CloseIdle => self.pool.close_idle(Duration::ZERO),
            ToBackend::SetGone(is_gone) => self.is_gone = is_gone,
            ToBackend::Retire => self.retire(ctx),
            ToBackend::Move(address) => {
                log::info!("backend {} is now at {address}", self.pool.address.get());
                self.pool.address.set(address);
                self.pool.renew();
            }
        }
    }
}
