//! The actor of one backend: its address, its connections, the postings out to it.
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix::{
    Actor, ActorContext, ActorFutureExt, Addr, AsyncContext, Context, Handler, SpawnHandle, WrapFuture,
};
use awc::Client;
use notchspool::units::*;

use super::link::Past;
use super::posting::{self, Outcome};
use crate::base::bounds::Room;
use crate::base::clock::{Clock, span};
use crate::memory::counters::Counters;
use crate::memory::desk::{Desk, NoRoom, Probed, Returned};
use crate::memory::mail::{Maker, ToPeer};
use crate::memory::txn::Carried;

/// How often a peer looks whether its connections are still of use.
const LOOK: Duration = Duration::from_secs(1);
/// A probe is waited for this long.
const PROBE: Duration = Duration::from_millis(500);

/// What all backends' actors share.
pub struct Ground {
    pub clock: Clock,
    pub counters: Rc<Counters>,
    pub bounds: Room,
    pub connect_within: Duration,
    /// How long a connection is kept idle: short of when the backend may close it.
    pub idle: Duration,
}

impl Ground {
    /// A client that opens connections while there is room for them; none: whatever others hold.
    pub fn client(&self, most: Option<Room>, past: Rc<Past>) -> Client {
        posting::client(most, self.connect_within, self.idle, self.counters.clone(), past)
    }
}

pub struct Peer {
    id: BackendId,
    at: SocketAddr,
    client: Client,
    past: Rc<Past>,
    desk: Addr<Desk>,
    ground: Rc<Ground>,
    out: BTreeMap<(RequestId, u32), (SpawnHandle, Micros)>,
    used: Micros,
    /// There may be idle connections.
    held: bool,
    gone: bool,
}

impl Peer {
    fn meet(id: BackendId, at: SocketAddr, desk: Addr<Desk>, ground: Rc<Ground>) -> Addr<Peer> {
        let past = Rc::<Past>::default();
        let (client, used) = (ground.client(Some(ground.bounds.clone()), past.clone()), ground.clock.now());
        Peer { id, at, client, past, desk, ground, out: BTreeMap::new(), used, held: false, gone: false }
            .start()
    }
    /// Lets idle connections go. What is out stays out, and its connections go with it.
    fn renew(&mut self) {
        self.held = false;
        self.client = self.ground.client(Some(self.ground.bounds.clone()), self.past.clone());
    }
    fn returned(&mut self, txn: RequestId, posting: u32, outcome: Outcome, took: Option<Duration>) {
        let Some((_, sent)) = self.out.remove(&(txn, posting)) else { return };
        if outcome.fate == AttemptOutcome::NotSent {
            self.ground.counters.add("no_room_for_links");
            log::warn!("backend {}: no connection left of {}", self.at, self.ground.bounds.now().links);
            self.desk.do_send(NoRoom);
        }
        let took = took.map_or(self.ground.clock.now() - sent, |took| Micros(took.as_micros() as i64));
        self.tell(txn, posting, took, outcome);
    }
    fn tell(&self, txn: RequestId, posting: u32, took: Micros, outcome: Outcome) {
        let (backend, Outcome { fate, report, made }) = (self.id, outcome);
        self.desk.do_send(Returned { txn, posting, backend, fate, took, report, made });
    }
}

impl Actor for Peer {
    type Context = Context<Peer>;
    fn started(&mut self, ctx: &mut Context<Peer>) {
        // What was not used for so long is not used again: its descriptors are freed.
        let idle = self.ground.idle.max(LOOK);
        ctx.run_interval(LOOK, move |peer, _| {
            let idle = if peer.gone { LOOK } else { idle };
            let unused = span(peer.ground.clock.now() - peer.used) >= idle;
            if unused && peer.held && peer.out.is_empty() {
                peer.renew();
            }
        });
    }
}

/// Makes peers that speak HTTP.
pub fn maker(desk: Addr<Desk>, ground: Rc<Ground>) -> Maker {
    Box::new(move |id, at| Peer::meet(id, at, desk.clone(), ground.clone()).recipient())
}

impl Handler<ToPeer> for Peer {
    type Result = ();
    fn handle(&mut self, told: ToPeer, ctx: &mut Context<Peer>) {
        match told {
            ToPeer::Post { txn, posting, until, carried } => self.post(txn, posting, until, carried, ctx),
            ToPeer::Cancel { txn, posting } => {
                if let Some((handle, _)) = self.out.get(&(txn, posting)) {
                    ctx.cancel_future(*handle);
                    self.returned(txn, posting, Outcome::only(AttemptOutcome::Cancelled), None);
                }
            }
            ToPeer::Probe => self.probe(ctx),
            ToPeer::Trim if self.out.is_empty() => self.renew(),
            ToPeer::Trim => {}
            ToPeer::Gone(gone) => self.gone = gone,
            ToPeer::Retire => {
                // Its postings end with it: a txn that hears of none would never be answered.
                for (txn, posting) in self.out.keys().copied().collect::<Vec<_>>() {
                    self.returned(txn, posting, Outcome::only(AttemptOutcome::ConnectionLost), None);
                }
                ctx.stop();
            }
            ToPeer::Move(to) => {
                log::info!("backend {} is now at {to}", self.at);
                self.at = to;
                self.renew();
            }
        }
    }
}

impl Peer {
    fn post(
        &mut self,
        txn: RequestId,
        posting: u32,
        until: Micros,
        carried: Arc<Carried>,
        ctx: &mut Context<Peer>,
    ) {
        if self.out.len() >= self.ground.bounds.now().links_each {
            self.ground.counters.add("no_room_at_backend");
            log::warn!("backend {}: {} postings are out, no more", self.at, self.out.len());
            return self.tell(txn, posting, Micros(0), Outcome::only(AttemptOutcome::NotSent));
        }
        let within = self.ground.clock.until(until);
        (self.used, self.held) = (self.ground.clock.now(), true);
        let (client, ground, rest) = (self.client.clone(), &self.ground, carried.clone());
        let sent =
            posting::post(client, self.at, carried, within, ground.connect_within, ground.counters.clone())
                .into_actor(self)
                .map(move |outcome, peer, _| {
                    // Before its last byte came it could not begin: how long that took says nothing of the backend.
                    let took = rest
                        .rest
                        .as_ref()
                        .and_then(super::super::memory::flow::Rest::given)
                        .map(|at| at.elapsed());
                    peer.returned(txn, posting, outcome, took);
                });
        self.out.insert((txn, posting), (ctx.spawn(sent), self.used));
    }

    fn probe(&mut self, ctx: &mut Context<Peer>) {
        self.held = true;
        let asked = posting::probe(self.client.clone(), self.at, PROBE).into_actor(self).map(
            |(fate, report), peer: &mut Peer, _| {
                peer.desk.do_send(Probed { backend: peer.id, fate, report });
            },
        );
        ctx.spawn(asked);
    }
}
