//! The actor of a backend that speaks `FastCGI`: its address, its connections, the postings out to it.
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::{
    Actor, ActorContext, ActorFutureExt, Addr, AsyncContext, Context, Handler, SpawnHandle, WrapFuture,
};
use actix_http::StatusCode;
use awc::http::header::{HeaderMap, HeaderName, HeaderValue};
use notchspool::units::*;
use notchspool_fastcgi::ask::{Answer, request};
use notchspool_fastcgi::cgi;
use notchspool_fastcgi::record::{Ended, Id};
use notchspool_settings::report_line;

use super::link::{Heard, Link};
use crate::base::clock::span;
use crate::memory::desk::{Desk, NoRoom, Probed, Returned};
use crate::memory::mail::{Maker, ToPeer};
use crate::memory::txn::{Carried, Made, Reading};
use crate::wire::backend::Ground;
use crate::wire::posting::{self, Outcome};

const LOOK: Duration = Duration::from_secs(1);
const PROBE: Duration = Duration::from_millis(500);
/// Of what a backend writes on stderr the log gets so much.
const SHOWN: usize = 200;

/// Connections of one backend.
struct Links {
    at: Cell<SocketAddr>,
    all: RefCell<Vec<(Rc<Link>, Cell<Micros>)>>,
    /// Requests at once on a connection, as the server says; None until it was asked.
    at_once: RefCell<Option<Rc<Cell<usize>>>>,
    ground: Rc<Ground>,
}

pub struct Peer {
    id: BackendId,
    links: Rc<Links>,
    desk: Addr<Desk>,
    out: BTreeMap<(RequestId, u32), (SpawnHandle, Micros)>,
    gone: bool,
}

/// Makes peers that speak `FastCGI`.
pub fn maker(desk: Addr<Desk>, ground: Rc<Ground>) -> Maker {
    Box::new(move |id, at| {
        let links = Rc::new(Links {
            at: Cell::new(at),
            all: RefCell::default(),
            at_once: RefCell::default(),
            ground: ground.clone(),
        });
        Peer { id, links, desk: desk.clone(), out: BTreeMap::new(), gone: false }.start().recipient()
    })
}

impl Links {
    /// A connection with room for one more request: the one used last first, so that surplus ones fall idle.
    async fn one(&self) -> Result<Rc<Link>, AttemptOutcome> {
        let now = self.ground.clock.now();
        let found = {
            let mut all = self.all.borrow_mut();
            all.retain(|(link, _)| link.is_open());
            let fresh = |used: &Cell<Micros>| span(now - used.get()) < self.ground.idle;
            let found = all.iter().filter(|l| l.0.has_room() && (l.0.out() > 0 || fresh(&l.1)));
            found.max_by_key(|l| l.1.get()).map(|l| {
                l.1.set(now);
                l.0.clone()
            })
        };
        if let Some(link) = found {
            return Ok(link);
        }
        if self.ground.counters.links.get() >= self.ground.bounds.now().links {
            return Err(AttemptOutcome::NotSent);
        }
        let at = self.at.get();
        let up = actix_rt::time::timeout(self.ground.connect_within, posting::connect(at)).await;
        let io = match up {
            Ok(Ok(io)) => io,
            Ok(Err(why)) => {
                log::info!("link to {at} ended: LINK_REFUSED ({why})");
                return Err(AttemptOutcome::ConnectFailed);
            }
            Err(_) => {
                log::info!("link to {at} ended: LINK_NEVER_UP");
                return Err(AttemptOutcome::ConnectFailed);
            }
        };
        let (at_once, first) = match &mut *self.at_once.borrow_mut() {
            Some(known) => (known.clone(), false),
            unknown => (unknown.insert(Rc::new(Cell::new(1))).clone(), true),
        };
        let link = Link::up(io, at, self.ground.counters.clone(), at_once, first);
        self.all.borrow_mut().push((link.clone(), Cell::new(self.ground.clock.now())));
        Ok(link)
    }
    fn close_idle(&self, unused_for: Duration) {
        let now = self.ground.clock.now();
        let unused = |l: &&(Rc<Link>, Cell<Micros>)| l.0.out() == 0 && span(now - l.1.get()) >= unused_for;
        self.all.borrow().iter().filter(unused).for_each(|l| l.0.close());
    }
    /// What is out stays out; nothing else goes on these connections.
    fn renew(&self) {
        self.all.borrow_mut().drain(..).for_each(|l| l.0.close());
        *self.at_once.borrow_mut() = None;
    }
}

/// A request that is out. Dropped before its answer it is given up.
struct Posted {
    link: Rc<Link>,
    id: Id,
    over: bool,
}
impl Drop for Posted {
    fn drop(&mut self) {
        if !self.over {
            self.link.give_up(self.id);
        }
    }
}

async fn post(links: Rc<Links>, carried: Arc<Carried>, within: Duration) -> Outcome {
    let end = Instant::now() + within;
    let link = match links.one().await {
        Ok(link) => link,
        Err(fate) => return Outcome::only(fate),
    };
    let left = end.saturating_duration_since(Instant::now());
    let millis = left.as_millis().to_string();
    let mut headers: Vec<(&str, &[u8])> =
        carried.headers.iter().map(|(n, v)| (n.as_str(), v.as_bytes())).collect();
    if let Some(expires) = &carried.expires {
        headers.push((expires.as_str(), millis.as_bytes()));
    }
    let (method, path) = (carried.method.as_str(), carried.path.as_str());
    let params = cgi::params(method, path, headers.into_iter(), carried.body.len());
    let (id, told) = link.ask(|id| request(id, true, &params, &carried.body));
    let mut posted = Posted { link, id, over: false };
    let (mut told, stall) = (told, links.ground.connect_within);
    loop {
        let (before, left) = (posted.link.heard_of(id), end.saturating_duration_since(Instant::now()));
        match actix_rt::time::timeout(left.min(stall), &mut told).await {
            Ok(heard) => {
                posted.over = true;
                return match heard {
                    Ok(Heard::Answer(answer)) => outcome(answer, carried.reading, links.at.get()),
                    Ok(Heard::Gone(fate)) => Outcome::only(fate),
                    Err(_) => Outcome::only(AttemptOutcome::ConnectionLost),
                };
            }
            // One that has begun and then stands still never comes whole.
            Err(_) if before > 0 && before == posted.link.heard_of(id) && left > stall => {
                log::warn!("backend {}: an answer that stands still after {before} bytes", links.at.get());
                return Outcome::only(AttemptOutcome::ConnectionLost);
            }
            Err(_) if Instant::now() < end => {}
            Err(_) if posted.link.may_have_begun(id) => return Outcome::only(AttemptOutcome::TimedOut),
            Err(_) => return Outcome::only(AttemptOutcome::ConnectFailed),
        }
    }
}

/// What an answer says of its request.
fn outcome(answer: Answer, reading: Reading, at: SocketAddr) -> Outcome {
    if !answer.stderr.is_empty() {
        let shown = &answer.stderr[..answer.stderr.len().min(SHOWN)];
        log::info!("backend {at}: stderr: {}", String::from_utf8_lossy(shown).escape_debug());
    }
    let broken = |why: &str| {
        log::warn!("backend {at}: {why}");
        Outcome::only(AttemptOutcome::ConnectionLost)
    };
    match answer.ended {
        Ended::Complete => {}
        // The protocol's own words for what was not begun.
        Ended::CantMultiplex | Ended::Overloaded | Ended::UnknownRole => {
            return Outcome::only(AttemptOutcome::Rejected);
        }
        Ended::Other(_) => return broken("an end of no known kind"),
    }
    if !answer.whole {
        return broken("an end without an end of stdout");
    }
    let Some((head, body)) = cgi::answer(&answer.stdout) else { return broken("a head that can't be read") };
    let mut headers = HeaderMap::new();
    for (name, value) in head.headers {
        if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::from_maybe_shared(value)) {
            headers.append(name, value);
        }
    }
    let Ok(status) = StatusCode::from_u16(head.status) else { return broken("a status that is none") };
    let report = posting::report(&headers);
    let mut fate = posting::fate(status, &headers, reading);
    if answer.app_status != 0 && fate == AttemptOutcome::Succeeded {
        log::warn!("backend {at}: app status {}", answer.app_status);
        fate = AttemptOutcome::Failed;
    }
    if body.len() > crate::base::bounds::BODY {
        return broken("an answer over 64 KiB");
    }
    let made = (fate == AttemptOutcome::Succeeded || reading == Reading::Plain).then(|| Made {
        more: None,
        status,
        headers: posting::handed_on(&headers, reading),
        body,
    });
    Outcome { fate, report, made }
}

async fn probe(links: Rc<Links>) -> (AttemptOutcome, Option<LoadReport>) {
    let asked = async {
        let link = match links.one().await {
            Ok(link) => link,
            Err(fate) => return (fate, None),
        };
        let params = cgi::params("GET", "/load", std::iter::empty(), 0);
        let (id, told) = link.ask(|id| request(id, true, &params, b""));
        let mut posted = Posted { link, id, over: false };
        let heard = told.await;
        posted.over = true;
        match heard {
            Ok(Heard::Answer(answer)) => {
                let line =
                    cgi::answer(&answer.stdout).and_then(|(_, body)| String::from_utf8(body.to_vec()).ok());
                (AttemptOutcome::Succeeded, line.as_deref().and_then(report_line))
            }
            Ok(Heard::Gone(fate)) => (fate, None),
            Err(_) => (AttemptOutcome::ConnectionLost, None),
        }
    };
    actix_rt::time::timeout(PROBE, asked).await.unwrap_or((AttemptOutcome::TimedOut, None))
}

impl Actor for Peer {
    type Context = Context<Peer>;
    fn started(&mut self, ctx: &mut Context<Peer>) {
        ctx.run_interval(LOOK, |peer, _| {
            let idle = peer.links.ground.idle;
            peer.links.close_idle(if peer.gone { Duration::ZERO } else { idle });
        });
    }
    fn stopped(&mut self, _: &mut Context<Peer>) {
        self.links.renew();
    }
}

impl Peer {
    fn tell(&self, txn: RequestId, posting: u32, took: Micros, outcome: Outcome) {
        let (backend, Outcome { fate, report, made }) = (self.id, outcome);
        self.desk.do_send(Returned { txn, posting, backend, fate, took, report, made });
    }
    fn returned(&mut self, txn: RequestId, posting: u32, outcome: Outcome) {
        let Some((_, sent)) = self.out.remove(&(txn, posting)) else { return };
        if outcome.fate == AttemptOutcome::NotSent {
            self.links.ground.counters.add("no_room_for_links");
            self.desk.do_send(NoRoom);
        }
        self.tell(txn, posting, self.links.ground.clock.now() - sent, outcome);
    }
}

impl Handler<ToPeer> for Peer {
    type Result = ();
    fn handle(&mut self, told: ToPeer, ctx: &mut Context<Peer>) {
        let ground = self.links.ground.clone();
        match told {
            ToPeer::Post { txn, posting, until, carried } => {
                if self.out.len() >= ground.bounds.now().links_each {
                    ground.counters.add("no_room_at_backend");
                    return self.tell(txn, posting, Micros(0), Outcome::only(AttemptOutcome::NotSent));
                }
                let sent = post(self.links.clone(), carried, ground.clock.until(until))
                    .into_actor(self)
                    .map(move |outcome, peer, _| peer.returned(txn, posting, outcome));
                self.out.insert((txn, posting), (ctx.spawn(sent), ground.clock.now()));
            }
            ToPeer::Cancel { txn, posting } => {
                if let Some((handle, _)) = self.out.get(&(txn, posting)) {
                    ctx.cancel_future(*handle);
                    self.returned(txn, posting, Outcome::only(AttemptOutcome::Cancelled));
                }
            }
            ToPeer::Probe => {
                let asked =
                    probe(self.links.clone()).into_actor(self).map(|(fate, report), peer: &mut Peer, _| {
                        peer.desk.do_send(Probed { backend: peer.id, fate, report });
                    });
                ctx.spawn(asked);
            }
            ToPeer::Trim => self.links.close_idle(Duration::ZERO),
            ToPeer::Gone(gone) => self.gone = gone,
            ToPeer::Retire => {
                for (txn, posting) in self.out.keys().copied().collect::<Vec<_>>() {
                    self.returned(txn, posting, Outcome::only(AttemptOutcome::ConnectionLost));
                }
                ctx.stop();
            }
            ToPeer::Move(to) => {
                log::info!("backend {} is now at {to}", self.links.at.get());
                self.links.at.set(to);
                self.links.renew();
            }
        }
    }
}
