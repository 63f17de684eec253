//! The actor that owns the module and the txns in hand. Only here is the module called.
use std::rc::Rc;
use std::sync::Arc;

use actix::{Actor, ActorContext, AsyncContext, Context, Handler, Message, Recipient};
use notchspool::balancer::Balancer;
use notchspool::state_transfer::LearnedState;
use notchspool::units::*;
use tokio::sync::oneshot;

use super::counters::Counters;
use super::hand::Hand;
use super::mail::{Peer, Shut, ToPeer, Watch};
use super::txn::{Answer, Budgets, Carried, InHand, Made, RouteId};
use crate::base::clock::{Clock, span};
use crate::base::pulse::Pulse;

pub struct Desk {
    balancer: Balancer,
    hand: Hand,
    clock: Clock,
    pulse: Rc<Pulse>,
    /// Nothing new comes; the end follows the last txn, and then these end too. Till then they tell of drains.
    closing: Option<Vec<Recipient<Shut>>>,
}

impl Desk {
    pub fn open(
        terms: Policy,
        seed: u64,
        clock: Clock,
        pulse: Rc<Pulse>,
        counters: Rc<Counters>,
        budgets: Budgets,
    ) -> Desk {
        let hand = Hand {
            txns: Default::default(),
            peers: Default::default(),
            registry: None,
            counters,
            budgets,
            wake: None,
            unserved: Vec::new(),
            unsent: Vec::new(),
        };
        Desk { balancer: Balancer::new(terms, seed, clock.now()), hand, clock, pulse, closing: None }
    }
    /// Every call on the module passes here: its clock is set before, a wake it asks for is arranged after.
    fn call(&mut self, ctx: &mut Context<Desk>, call: impl FnOnce(&mut Balancer, &mut Hand)) {
        let now = self.clock.now();
        self.pulse.beat(now);
        self.call_at(now, ctx, call);
    }
    /// The same at another moment than now.
    fn call_at(&mut self, now: Micros, ctx: &mut Context<Desk>, call: impl FnOnce(&mut Balancer, &mut Hand)) {
        self.balancer.set_clock(now);
        call(&mut self.balancer, &mut self.hand);
        if !self.hand.unserved.is_empty() {
            self.hand.settle_accounts(self.balancer.healthy_backends());
        }
        for (txn, posting, backend, fate) in std::mem::take(&mut self.hand.unsent) {
            let took = Micros(0);
            ctx.notify(Returned { txn, posting, backend, fate, took, report: None, made: None });
        }
        if let Some(wake) = self.hand.wake.take() {
            ctx.notify_later(Wake, span(wake));
        }
    }
}

/// What a backend told of its load, with a posting or a probe.
fn heard(balancer: &mut Balancer, hand: &Hand, backend: BackendId, report: Option<LoadReport>) {
    if report.is_some() {
        hand.counters.add("reports");
    }
    balancer.on_load_report(backend, report);
}

impl Actor for Desk {
    type Context = Context<Desk>;
}

#[derive(Message)]
#[rtype(result = "()")]
struct Wake;
impl Handler<Wake> for Desk {
    type Result = ();
    fn handle(&mut self, _: Wake, ctx: &mut Context<Desk>) {
        if self.hand.txns.is_empty()
            && let Some(ends) = self.closing.take()
        {
            ends.iter().for_each(|end| end.do_send(Shut));
            self.hand.peers.values().for_each(|peer| peer.do_send(ToPeer::Retire));
            return ctx.stop();
        }
        self.call(ctx, |balancer, hand| balancer.on_wake(hand));
    }
}

/// The registry that answers when the module asks for the watch.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Ask(pub Recipient<Watch>);
impl Handler<Ask> for Desk {
    type Result = ();
    fn handle(&mut self, ask: Ask, _: &mut Context<Desk>) {
        self.hand.registry = Some(ask.0);
    }
}

/// What the module has learnt, for a process that takes over.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Tell(pub oneshot::Sender<LearnedState>);
impl Handler<Tell> for Desk {
    type Result = ();
    fn handle(&mut self, tell: Tell, _: &mut Context<Desk>) {
        let _ = tell.0.send(self.balancer.learned_state());
    }
}

/// What an elder has learnt, before the first txn.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Inherit(pub LearnedState);
impl Handler<Inherit> for Desk {
    type Result = ();
    fn handle(&mut self, elder: Inherit, _: &mut Context<Desk>) {
        self.balancer.adopt(elder.0);
    }
}

/// A backend that the list names for the first time.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Meet(pub BackendId, pub Peer);
impl Handler<Meet> for Desk {
    type Result = ();
    fn handle(&mut self, meet: Meet, _: &mut Context<Desk>) {
        self.hand.peers.insert(meet.0, meet.1);
    }
}

#[derive(Message)]
#[rtype(result = "()")]
pub struct Listed {
    pub how: Refresh,
    pub version: Generation,
    pub entries: Vec<ListEntry>,
}
impl Handler<Listed> for Desk {
    type Result = ();
    fn handle(&mut self, listed: Listed, ctx: &mut Context<Desk>) {
        self.hand.counters.add("lists");
        log::debug!("list {} {:?}: {} entries", listed.version.0, listed.how, listed.entries.len());
        // What lay unread while the process stood still was told since the pause began: a grace counts from there.
        let now = self.clock.now();
        let told = self.pulse.waking(now).unwrap_or(now);
        self.call_at(told, ctx, |balancer, hand| {
            balancer.on_list(listed.how, listed.version, &listed.entries, hand);
        });
    }
}

#[derive(Message)]
#[rtype(result = "()")]
pub struct ListFailed;
impl Handler<ListFailed> for Desk {
    type Result = ();
    fn handle(&mut self, _: ListFailed, ctx: &mut Context<Desk>) {
        self.hand.counters.add("lists_failed");
        self.call(ctx, |balancer, _| balancer.on_list_failed());
    }
}

#[derive(Message)]
#[rtype(result = "()")]
pub struct ListMoved;
impl Handler<ListMoved> for Desk {
    type Result = ();
    fn handle(&mut self, _: ListMoved, ctx: &mut Context<Desk>) {
        self.hand.counters.add("lists_moved");
        self.call(ctx, |balancer, _| balancer.on_list_source_changed());
    }
}

/// A txn came in whole.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Take {
    pub txn: RequestId,
    pub scheme: ClassId,
    /// Whose it is, where the settings know the customer.
    pub tenant: Option<TenantId>,
    pub expiry: Micros,
    pub carried: Arc<Carried>,
    pub caller: oneshot::Sender<Answer>,
    /// Postings of it elsewhere, and whose budget pays for all but the first.
    pub earlier: u32,
    pub payer: Option<RouteId>,
}
impl Handler<Take> for Desk {
    type Result = ();
    fn handle(&mut self, take: Take, ctx: &mut Context<Desk>) {
        let Take { txn, scheme, tenant, expiry, carried, caller, earlier, payer } = take;
        self.hand.counters.add("taken");
        let held = InHand {
            carried,
            caller: Some(caller),
            postings: 0,
            out: None,
            may_have_run: false,
            last: None,
            earlier,
            payer,
        };
        self.hand.txns.insert(txn, held);
        self.hand.counters.in_hand.set(self.hand.counters.in_hand.get() + 1);
        self.call(ctx, |balancer, hand| balancer.begin(txn, scheme, expiry).with_tenant(tenant).route(hand));
    }
}

/// Its pool is gone from the file: what is in hand ends, nothing new comes; these end with it.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Close(pub Vec<Recipient<Shut>>);
impl Handler<Close> for Desk {
    type Result = ();
    fn handle(&mut self, close: Close, _: &mut Context<Desk>) {
        self.closing = Some(close.0);
    }
}

/// The application no longer waits.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Left(pub RequestId);
impl Handler<Left> for Desk {
    type Result = ();
    fn handle(&mut self, left: Left, ctx: &mut Context<Desk>) {
        let txn = left.0;
        let Some(held) = self.hand.txns.get_mut(&txn) else { return };
        held.caller = None;
        self.hand.counters.add("left");
        self.call(ctx, |balancer, hand| {
            if let Some(handle) = balancer.request(txn) {
                handle.on_client_left(hand);
            }
        });
        self.hand.let_go(txn);
    }
}

/// A posting came back.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Returned {
    pub txn: RequestId,
    pub posting: u32,
    pub backend: BackendId,
    pub fate: AttemptOutcome,
    pub took: Micros,
    pub report: Option<LoadReport>,
    pub made: Option<Made>,
}
impl Handler<Returned> for Desk {
    type Result = ();
    fn handle(&mut self, back: Returned, ctx: &mut Context<Desk>) {
        let Returned { txn, posting, backend, fate, took, report, made } = back;
        self.hand.counters.posting(fate);
        let mut held = self.hand.txns.get_mut(&txn);
        let closed = held.as_ref().is_none_or(|held| held.caller.is_none());
        if let Some(held) = &mut held {
            held.out = None;
            held.may_have_run |= !fate.never_ran();
        }
        if fate != AttemptOutcome::Succeeded {
            if let Some(held) = held {
                held.last = made;
            }
        } else if let Some(made) = made {
            self.hand.answer(txn, Answer::Settled(made), "settled");
        }
        self.call(ctx, |balancer, hand| {
            heard(balancer, hand, backend, report);
            if let Some(handle) = balancer.request(txn) {
                handle.on_attempt_end(posting, fate, took, closed, hand);
            }
        });
        self.hand.let_go(txn);
    }
}

/// The bound on connections was met: those that stand idle are given back.
#[derive(Message)]
#[rtype(result = "()")]
pub struct NoRoom;
impl Handler<NoRoom> for Desk {
    type Result = ();
    fn handle(&mut self, _: NoRoom, _: &mut Context<Desk>) {
        self.hand.peers.values().for_each(|peer| peer.do_send(ToPeer::Trim));
    }
}

#[derive(Message)]
#[rtype(result = "()")]
pub struct Probed {
    pub backend: BackendId,
    pub fate: AttemptOutcome,
    pub report: Option<LoadReport>,
}
impl Handler<Probed> for Desk {
    type Result = ();
    fn handle(&mut self, probed: Probed, ctx: &mut Context<Desk>) {
        self.call(ctx, |balancer, hand| {
            heard(balancer, hand, probed.backend, probed.report);
            balancer.on_probe_result(probed.backend, probed.fate);
        });
    }
}
