//! The actor of one backend over HTTP: its address, its connections, the attempts at it.
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix::{
    Actor, ActorContext, ActorFutureExt, Addr, AsyncContext, Context, Handler, SpawnHandle, WrapFuture,
};
use awc::Client;
use notchspool::units::{AttemptOutcome, BackendId, Micros, RequestId};

use super::answer::AttemptResult;
use super::attempt::{self, AttemptTarget};
use super::connection_history::ConnectionHistory;
use super::http_client::{ClientConfig, http_client};
use crate::base::clock::{Clock, to_duration};
use crate::base::limits::{STALLED_ANSWER_TIMEOUT, SharedLimits};
use crate::state::balancer_actor::{AttemptEnded, BalancerActor, ConnectionsExhausted, ProbeEnded};
use crate::state::body_stream::RemainingBody;
use crate::state::counters::Counters;
use crate::state::messages::{BackendFactory, ToBackend};
use crate::state::request::OutgoingRequest;

/// How often a backend's actor looks whether its connections are still of use.
pub const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// How long a probe is waited for.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// What all backends' actors share.
pub struct BackendContext {
    /// The clock.
    pub clock: Clock,
    /// The counters.
    pub counters: Rc<Counters>,
    /// The limits of the process.
    pub limits: SharedLimits,
    /// A connection that is not up by then never comes up.
    pub connect_timeout: Duration,
    /// How long a connection is kept idle: short of when the backend may close it.
    pub idle_timeout: Duration,
}

impl BackendContext {
    /// A client that opens connections while the limits allow them; without limits whatever others hold.
    pub fn client(&self, limits: Option<SharedLimits>, history: Rc<ConnectionHistory>) -> Client {
        http_client(ClientConfig {
            limits,
            connect_timeout: self.connect_timeout,
            idle_timeout: self.idle_timeout,
            counters: self.counters.clone(),
            history,
        })
    }
}

/// An attempt that is out.
pub struct OngoingAttempt {
    /// Cancels it.
    pub handle: SpawnHandle,
    /// When it began.
    pub sent_at: Micros,
}

/// Names an attempt: the request, and the number of the attempt.
pub type AttemptKey = (RequestId, u32);

/// See the module.
pub struct HttpBackend {
    id: BackendId,
    address: SocketAddr,
    client: Client,
    history: Rc<ConnectionHistory>,
    balancer: Addr<BalancerActor>,
    context: Rc<BackendContext>,
    attempts: BTreeMap<AttemptKey, OngoingAttempt>,
    last_used: Micros,
    may_have_idle_connections: bool,
    /// The list has it no more.
    is_gone: bool,
}

/// How long an answer may stand still, given how long it may where a retry can follow.
pub fn stall_timeout(wait_for_retry: Option<Micros>) -> Duration {
    wait_for_retry.map_or(STALLED_ANSWER_TIMEOUT, |wait| to_duration(wait).min(STALLED_ANSWER_TIMEOUT))
}

/// Makes actors of backends that speak HTTP.
pub fn http_backends(balancer: Addr<BalancerActor>, context: Rc<BackendContext>) -> BackendFactory {
    Box::new(move |id, address| {
        HttpBackend::new(id, address, balancer.clone(), context.clone()).start().recipient()
    })
}

impl HttpBackend {
    fn new(
        id: BackendId,
        address: SocketAddr,
        balancer: Addr<BalancerActor>,
        context: Rc<BackendContext>,
    ) -> HttpBackend {
        let history = Rc::<ConnectionHistory>::default();
        HttpBackend {
            id,
            address,
            client: context.client(Some(context.limits.clone()), history.clone()),
            history,
            balancer,
            attempts: BTreeMap::new(),
            last_used: context.clock.now(),
            may_have_idle_connections: false,
            is_gone: false,
            context,
        }
    }

    /// Closes idle connections. What is out stays out, and its connections end with it.
    fn renew_client(&mut self) {
        self.may_have_idle_connections = false;
        self.client = self.context.client(Some(self.context.limits.clone()), self.history.clone());
    }

    fn close_unused_connections(&mut self, idle_timeout: Duration) {
        let idle_timeout = if self.is_gone { IDLE_CHECK_INTERVAL } else { idle_timeout };
        let is_unused = to_duration(self.context.clock.now() - self.last_used) >= idle_timeout;
        if is_unused && self.may_have_idle_connections && self.attempts.is_empty() {
            self.renew_client();
        }
    }

    /// An attempt is over. `answered_after`: how long the backend had the complete request, where that is known.
    fn on_attempt_end(&mut self, key: AttemptKey, result: AttemptResult, answered_after: Option<Duration>) {
        let Some(attempt) = self.attempts.remove(&key) else { return };
        if result.outcome == AttemptOutcome::NotSent {
            self.context.counters.add("no_room_for_links");
            let limit = self.context.limits.now().backend_connections;
            log::warn!("backend {}: no connection left of {limit}", self.address);
            self.balancer.do_send(ConnectionsExhausted);
        }
        let since_sent = self.context.clock.now() - attempt.sent_at;
        let took = answered_after.map_or(since_sent, |took| Micros(took.as_micros() as i64));
        self.report(key, took, result);
    }

    fn report(&self, (request, attempt): AttemptKey, took: Micros, result: AttemptResult) {
        let AttemptResult { outcome, report, answer } = result;
        let backend = self.id;
        self.balancer.do_send(AttemptEnded { request, attempt, backend, outcome, took, report, answer });
    }

    fn send(
        &mut self,
        key: AttemptKey,
        until: Micros,
        outgoing: Arc<OutgoingRequest>,
        stall_timeout: Duration,
        ctx: &mut Context<HttpBackend>,
    ) {
        let now = self.context.clock.now();
        if self.attempts.len() >= self.context.limits.now().connections_per_backend {
            self.context.counters.add("no_room_at_backend");
            let out = self.attempts.len();
            log::warn!("backend {}: {out} postings are out, no more", self.address);
            return self.report(key, Micros(0), AttemptResult::only(AttemptOutcome::NotSent));
        }
        self.last_used = now;
        self.may_have_idle_connections = true;
        let target = AttemptTarget {
            client: self.client.clone(),
            backend: self.address,
            timeout: self.context.clock.until(until),
            stall_timeout,
            counters: self.context.counters.clone(),
        };
        let sent = attempt::send(target, outgoing.clone()).into_actor(self);
        let ended = sent.map(move |result, backend, _| {
            // Before its last byte came it could not begin: how long that took says nothing of the backend.
            let completed_at = outgoing.remaining.as_ref().and_then(RemainingBody::completed_at);
            backend.on_attempt_end(key, result, completed_at.map(|at| at.elapsed()));
        });
        self.attempts.insert(key, OngoingAttempt { handle: ctx.spawn(ended), sent_at: now });
    }

    fn probe(&mut self, ctx: &mut Context<HttpBackend>) {
        self.may_have_idle_connections = true;
        let probe = attempt::probe(self.client.clone(), self.address, PROBE_TIMEOUT).into_actor(self);
        let ended = probe.map(|result, backend: &mut HttpBackend, _| {
            let (outcome, report) = (result.outcome, result.report);
            backend.balancer.do_send(ProbeEnded { backend: backend.id, outcome, report });
        });
        ctx.spawn(ended);
    }

    fn cancel(&mut self, key: AttemptKey, ctx: &mut Context<HttpBackend>) {
        if let Some(attempt) = self.attempts.get(&key) {
            ctx.cancel_future(attempt.handle);
            self.on_attempt_end(key, AttemptResult::only(AttemptOutcome::Cancelled), None);
        }
    }

    /// Ends all attempts with it: a request that hears of none would never be answered.
    fn retire(&mut self, ctx: &mut Context<HttpBackend>) {
        for key in self.attempts.keys().copied().collect::<Vec<_>>() {
            self.on_attempt_end(key, AttemptResult::only(AttemptOutcome::ConnectionLost), None);
        }
        ctx.stop();
    }
}

impl Actor for HttpBackend {
    type Context = Context<HttpBackend>;

    fn started(&mut self, ctx: &mut Context<HttpBackend>) {
        // What was not used for so long is not used again: its descriptors are freed.
        let idle_timeout = self.context.idle_timeout.max(IDLE_CHECK_INTERVAL);
        ctx.run_interval(IDLE_CHECK_INTERVAL, move |backend, _| {
            backend.close_unused_connections(idle_timeout);
        });
    }
}

impl Handler<ToBackend> for HttpBackend {
    type Result = ();

    fn handle(&mut self, message: ToBackend, ctx: &mut Context<HttpBackend>) {
        match message {
            ToBackend::Send { request, attempt, until, outgoing, stalled_answer_wait } => {
                let stall_timeout = stall_timeout(stalled_answer_wait);
                self.send((request, attempt), until, outgoing, stall_timeout, ctx);
            }
            ToBackend::Cancel { request, attempt } => self.cancel((request, attempt), ctx),
            ToBackend::Probe => self.probe(ctx),
            ToBackend::CloseIdle if self.attempts.is_empty() => self.renew_client(),
            ToBackend::CloseIdle => {}
            ToBackend::SetGone(is_gone) => self.is_gone = is_gone,
            ToBackend::Retire => self.retire(ctx),
            ToBackend::Move(address) => {
                log::info!("backend {} is now at {address}", self.address);
                self.address = address;
                self.renew_client();
            }
        }
    }
}
