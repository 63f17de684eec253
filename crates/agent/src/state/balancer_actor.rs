//! The actor that owns the decision module and the requests in flight. Only here is the module called.
use std::rc::Rc;
use std::sync::Arc;

use actix::{Actor, ActorContext, AsyncContext, Context, Handler, Message, Recipient};
use notchspool::balancer::Balancer;
use notchspool::state_transfer::LearnedState;
use notchspool::units::{
    AttemptOutcome, BackendId, ClassId, Generation, ListEntry, LoadReport, Micros, Policy, Refresh,
    RequestId, TenantId,
};
use tokio::sync::oneshot;

use super::counters::Counters;
use super::messages::{BackendHandle, Shutdown, StartWatch, ToBackend};
use super::module_effects::{ModuleEffects, UnsentAttempt};
use super::request::{BackendAnswer, FinalAnswer, InFlight, OutgoingRequest, RetryBudgets, RouteId};
use crate::base::clock::{Clock, to_duration};
use crate::base::stall_detector::StallDetector;

/// What an actor shares with the rest of the process.
#[derive(Clone)]
pub struct BalancerContext {
    /// The clock.
    pub clock: Clock,
    /// Notices that the process stood still.
    pub stalls: Rc<StallDetector>,
    /// The counters.
    pub counters: Rc<Counters>,
    /// The retry budgets of all routes.
    pub retry_budgets: RetryBudgets,
}

/// See the module.
pub struct BalancerActor {
    balancer: Balancer,
    effects: ModuleEffects,
    clock: Clock,
    stalls: Rc<StallDetector>,
    /// Nothing new comes; the actor ends after the last request, and then these end too. Until then they tell of drains.
    closing: Option<Vec<Recipient<Shutdown>>>,
}

impl BalancerActor {
    /// A balancer that knows no backend yet.
    pub fn new(policy: Policy, seed: u64, context: BalancerContext) -> BalancerActor {
        let BalancerContext { clock, stalls, counters, retry_budgets } = context;
        BalancerActor {
            balancer: Balancer::new(policy, seed, clock.now()),
            effects: ModuleEffects::new(counters, retry_budgets),
            clock,
            stalls,
            closing: None,
        }
    }

    /// Every call on the module passes here: its clock is set before, a wake that it asks for is arranged after.
    fn call(
        &mut self,
        ctx: &mut Context<BalancerActor>,
        call: impl FnOnce(&mut Balancer, &mut ModuleEffects),
    ) {
        let now = self.clock.now();
        self.stalls.observe(now);
        self.call_at(now, ctx, call);
    }

    /// The same at another moment than now.
    fn call_at(
        &mut self,
        now: Micros,
        ctx: &mut Context<BalancerActor>,
        call: impl FnOnce(&mut Balancer, &mut ModuleEffects),
    ) {
        self.balancer.set_clock(now);
        call(&mut self.balancer, &mut self.effects);
        if self.effects.has_unserved() {
            self.effects.answer_unserved(self.balancer.healthy_backends());
        }
        for unsent in std::mem::take(&mut self.effects.unsent) {
            ctx.notify(AttemptEnded::unsent(unsent));
        }
        if let Some(span) = self.effects.wake_after.take() {
            ctx.notify_later(Wake, to_duration(span));
        }
    }
}

/// A backend told of its load, with an attempt or a probe.
fn on_report(balancer: &mut Balancer, counters: &Counters, backend: BackendId, report: Option<LoadReport>) {
    if report.is_some() {
        counters.add("reports");
    }
    balancer.on_load_report(backend, report);
}

impl Actor for BalancerActor {
    type Context = Context<BalancerActor>;
}

#[derive(Message)]
#[rtype(result = "()")]
struct Wake;

impl Handler<Wake> for BalancerActor {
    type Result = ();

    fn handle(&mut self, _: Wake, ctx: &mut Context<BalancerActor>) {
        if self.effects.requests.is_empty()
            && let Some(dependents) = self.closing.take()
        {
            dependents.iter().for_each(|dependent| dependent.do_send(Shutdown));
            self.effects.tell_backends(|| ToBackend::Retire);
            return ctx.stop();
        }
        self.call(ctx, |balancer, effects| balancer.on_wake(effects));
    }
}

/// The registry that starts the watch when the module asks for it.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SetRegistry(pub Recipient<StartWatch>);

impl Handler<SetRegistry> for BalancerActor {
    type Result = ();

    fn handle(&mut self, message: SetRegistry, _: &mut Context<BalancerActor>) {
        self.effects.registry = Some(message.0);
    }
}

/// Asks for what the module has learned, for a process that takes over.
#[derive(Message)]
#[rtype(result = "()")]
pub struct GetLearnedState(pub oneshot::Sender<LearnedState>);

impl Handler<GetLearnedState> for BalancerActor {
    type Result = ();

    fn handle(&mut self, message: GetLearnedState, _: &mut Context<BalancerActor>) {
        // Whoever asked may have given up.
        let _ = message.0.send(self.balancer.learned_state());
    }
}

/// What the process before has learned; comes before the first request.
#[derive(Message)]
#[rtype(result = "()")]
pub struct AdoptState(pub LearnedState);

impl Handler<AdoptState> for BalancerActor {
    type Result = ();

    fn handle(&mut self, message: AdoptState, _: &mut Context<BalancerActor>) {
        self.balancer.adopt(message.0);
    }
}

/// This process is about to serve in another one's place: see [`Balancer::expire_drain_graces`].
#[derive(Message)]
#[rtype(result = "()")]
pub struct ExpireDrainGraces;

impl Handler<ExpireDrainGraces> for BalancerActor {
    type Result = ();

    fn handle(&mut self, _: ExpireDrainGraces, ctx: &mut Context<BalancerActor>) {
        self.call(ctx, |balancer, _| balancer.expire_drain_graces());
    }
}

/// A backend that the list names for the first time.
#[derive(Message)]
#[rtype(result = "()")]
pub struct AddBackend {
    /// Its number.
    pub id: BackendId,
    /// Its actor.
    pub handle: BackendHandle,
}

impl Handler<AddBackend> for BalancerActor {
    type Result = ();

    fn handle(&mut self, message: AddBackend, _: &mut Context<BalancerActor>) {
        self.effects.backends.insert(message.id, message.handle);
    }
}

/// A list, or what changed of one.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ListUpdate {
    /// Whether it is full.
    pub refresh: Refresh,
    /// Its generation.
    pub version: Generation,
    /// Its entries.
    pub entries: Vec<ListEntry>,
}

impl Handler<ListUpdate> for BalancerActor {
    type Result = ();

    fn handle(&mut self, update: ListUpdate, ctx: &mut Context<BalancerActor>) {
        let ListUpdate { refresh, version, entries } = update;
        self.effects.counters.add("lists");
        log::debug!("list {} {refresh:?}: {} entries", version.0, entries.len());
        // What lay unread while the process stood still was sent since the stall began: a grace counts from there.
        let now = self.clock.now();
        let sent_at = self.stalls.resuming_from(now).unwrap_or(now);
        self.call_at(sent_at, ctx, |balancer, effects| {
            balancer.on_list(refresh, version, &entries, effects);
        });
    }
}

/// The watch failed.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ListFailed;

impl Handler<ListFailed> for BalancerActor {
    type Result = ();

    fn handle(&mut self, _: ListFailed, ctx: &mut Context<BalancerActor>) {
        self.effects.counters.add("lists_failed");
        self.call(ctx, |balancer, _| balancer.on_list_failed());
    }
}

/// Discovery has another address.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ListSourceChanged;

impl Handler<ListSourceChanged> for BalancerActor {
    type Result = ();

    fn handle(&mut self, _: ListSourceChanged, ctx: &mut Context<BalancerActor>) {
        self.effects.counters.add("lists_moved");
        self.call(ctx, |balancer, _| balancer.on_list_source_changed());
    }
}

/// A request came.
#[derive(Message)]
#[rtype(result = "()")]
pub struct BeginRequest {
    /// Its number.
    pub request: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Whose it is, where the settings know the tenant.
    pub tenant: Option<TenantId>,
    /// When its client gives up.
    pub deadline: Micros,
    /// What its attempts take along.
    pub outgoing: Arc<OutgoingRequest>,
    /// Takes the final answer.
    pub client: oneshot::Sender<FinalAnswer>,
    /// Attempts of it in other pools.
    pub earlier_attempts: u32,
    /// Whose budget pays for all attempts but the first.
    pub payer: Option<RouteId>,
}

impl Handler<BeginRequest> for BalancerActor {
    type Result = ();

    fn handle(&mut self, message: BeginRequest, ctx: &mut Context<BalancerActor>) {
        let BeginRequest { request, class, tenant, deadline, .. } = message;
        self.effects.counters.add("taken");
        let in_flight = InFlight {
            outgoing: message.outgoing,
            client: Some(message.client),
            attempts: 0,
            backend: None,
            may_have_run: false,
            last_answer: None,
            earlier_attempts: message.earlier_attempts,
            payer: message.payer,
            stalled_answer_rule: self.balancer.stalled_answer_rule(class),
        };
        self.effects.begin(request, in_flight);
        self.call(ctx, |balancer, effects| {
            balancer.begin(request, class, deadline).with_tenant(tenant).route(effects);
        });
    }
}

/// The pool is gone from the file: what is in flight ends, nothing new comes; these end with it.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ClosePool(pub Vec<Recipient<Shutdown>>);

impl Handler<ClosePool> for BalancerActor {
    type Result = ();

    fn handle(&mut self, message: ClosePool, _: &mut Context<BalancerActor>) {
        self.closing = Some(message.0);
    }
}

/// The client no longer waits.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ClientLeft(pub RequestId);

impl Handler<ClientLeft> for BalancerActor {
    type Result = ();

    fn handle(&mut self, message: ClientLeft, ctx: &mut Context<BalancerActor>) {
        let request = message.0;
        let Some(in_flight) = self.effects.requests.get_mut(&request) else { return };
        in_flight.client = None;
        self.effects.counters.add("left");
        self.call(ctx, |balancer, effects| {
            if let Some(handle) = balancer.request(request) {
                handle.on_client_left(effects);
            }
        });
        self.effects.drop_if_over(request);
    }
}

/// An attempt is over.
#[derive(Message)]
#[rtype(result = "()")]
pub struct AttemptEnded {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: u32,
    /// The backend.
    pub backend: BackendId,
    /// What it came to.
    pub outcome: AttemptOutcome,
    /// How long it took.
    pub took: Micros,
    /// What the backend said of its load.
    pub report: Option<LoadReport>,
    /// What the backend answered.
    pub answer: Option<BackendAnswer>,
}

impl AttemptEnded {
    fn unsent(unsent: UnsentAttempt) -> AttemptEnded {
        let UnsentAttempt { request, attempt, backend, outcome } = unsent;
        AttemptEnded { request, attempt, backend, outcome, took: Micros(0), report: None, answer: None }
    }
}

impl Handler<AttemptEnded> for BalancerActor {
    type Result = ();

    fn handle(&mut self, ended: AttemptEnded, ctx: &mut Context<BalancerActor>) {
        let AttemptEnded { request, attempt, backend, outcome, took, report, answer } = ended;
        self.effects.counters.on_attempt_end(outcome);
        let mut in_flight = self.effects.requests.get_mut(&request);
        let is_answered = in_flight.as_ref().is_none_or(|in_flight| in_flight.client.is_none());
        if let Some(in_flight) = &mut in_flight {
            in_flight.backend = None;
            in_flight.may_have_run |= !outcome.never_ran();
        }
        if outcome != AttemptOutcome::Succeeded {
            if let Some(in_flight) = in_flight {
                in_flight.last_answer = answer;
            }
        } else if let Some(answer) = answer {
            self.effects.answer(request, FinalAnswer::Succeeded(answer), "settled");
        }
        self.call(ctx, |balancer, effects| {
            on_report(balancer, &effects.counters, backend, report);
            if let Some(handle) = balancer.request(request) {
                handle.on_attempt_end(attempt, outcome, took, is_answered, effects);
            }
        });
        self.effects.drop_if_over(request);
    }
}

/// The limit on connections was met: idle ones are closed.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ConnectionsExhausted;

impl Handler<ConnectionsExhausted> for BalancerActor {
    type Result = ();

    fn handle(&mut self, _: ConnectionsExhausted, _: &mut Context<BalancerActor>) {
        self.effects.tell_backends(|| ToBackend::CloseIdle);
    }
}

/// A probe is over.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ProbeEnded {
    /// The backend.
    pub backend: BackendId,
    /// What it came to.
    pub outcome: AttemptOutcome,
    /// What the backend said of its load.
    pub report: Option<LoadReport>,
}

impl Handler<ProbeEnded> for BalancerActor {
    type Result = ();

    fn handle(&mut self, ended: ProbeEnded, ctx: &mut Context<BalancerActor>) {
        let ProbeEnded { backend, outcome, report } = ended;
        self.call(ctx, |balancer, effects| {
            on_report(balancer, &effects.counters, backend, report);
            balancer.on_probe_result(backend, outcome);
        });
    }
}
