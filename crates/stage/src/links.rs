//! Connections to other ushers: one each way a pair, many requests at once. What was sent and not answered when a connection ends may have
//! run; what never left has not.
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use notchspool::units::Micros;
use notchspool_cues::{Ask, Cancel, Fetch, Hello, Part, Ping, Said, Taken, Verdict, What};
use notchspool_rigging::rope::{self, Rope};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use crate::house::House;
use crate::pipe::{End, Pipe};

/// A machine that does not take a connection by then is not there.
const DIAL: Duration = Duration::from_millis(300);
/// Something is out and nothing heard for this long: the other side is asked whether it lives.
const DOUBT: Micros = Micros::ms(150);
/// And after this the connection is given up.
const LOST: Micros = Micros::ms(500);
/// On thin links answers wait behind others: so many milliseconds more for a speed of 1 Mbit/s, less for faster ones, but no more than this.
const THIN: f64 = 20_000.0;
const LONGEST: Micros = Micros::ms(2_500);
/// Requests out on one link at most.
const MOST_OUT: usize = 4_096;
/// Links at most, each way.
const MOST_LINKS: usize = 1_000;
/// A link unused for this long is let go.
const UNUSED: Micros = Micros::ms(60_000);

/// An answer, and the rest of it where it comes in pieces; `taken` tells who sends them that so many bytes were passed on.
pub struct Told {
    pub said: Said,
    pub pipe: Option<Pipe>,
    pub taken: Box<dyn Fn(usize)>,
}

impl From<Said> for Told {
    fn from(said: Said) -> Told {
        Told { said, pipe: None, taken: Box::new(|_| ()) }
    }
}

/// Bytes of an answer in pieces that may be on their way: what the link carries in this time, within bounds; and bytes of one piece.
const ON_WAY: (usize, usize) = (32 << 10, 256 << 10);
const ON_WAY_TIME: f64 = 0.05;
pub const PIECE: usize = 16 << 10;

/// How much of an answer in pieces was sent and taken.
#[derive(Default)]
struct Credit {
    way: std::cell::Cell<usize>,
    wake: tokio::sync::Notify,
}

pub struct Link {
    rope: Rope,
    out: RefCell<HashMap<u64, oneshot::Sender<Told>>>,
    pieces: RefCell<HashMap<u64, Pipe>>,
    /// Up: what is written may have left.
    up: std::cell::Cell<bool>,
    heard: std::cell::Cell<Micros>,
    reads: std::cell::Cell<u64>,
    asked: std::cell::Cell<Micros>,
    used: std::cell::Cell<Micros>,
}

#[derive(Default)]
pub struct Links {
    all: RefCell<BTreeMap<String, Rc<Link>>>,
    accepted: std::cell::Cell<usize>,
}

/// An answer of this kind, with nothing in it but why.
pub fn only(id: u64, verdict: Verdict, why: &str) -> Said {
    Said { id, verdict: verdict.into(), why: why.to_string(), ..Said::default() }
}

/// Gives a request up where its wait is dropped: the other side is told.
struct Out {
    link: Rc<Link>,
    id: u64,
}

impl Drop for Out {
    fn drop(&mut self) {
        if self.link.out.borrow_mut().remove(&self.id).is_some() {
            self.link.rope.send(What::Cancel(Cancel { id: self.id }));
        }
    }
}

impl Link {
    fn heard(link: &Rc<Link>, what: What) {
        match what {
            What::Said(said) => {
                let Some(done) = link.out.borrow_mut().remove(&said.id) else { return };
                let id = said.id;
                let mut told = Told::from(said);
                if told.said.more {
                    let pipe = Pipe::default();
                    link.pieces.borrow_mut().insert(id, pipe.clone());
                    let rope = link.rope.clone();
                    told.pipe = Some(pipe);
                    told.taken = Box::new(move |n| {
                        rope.send(What::Taken(Taken { id, bytes: n as u64 }));
                    });
                }
                // Whoever waited may have given up.
                let _ = done.send(told);
            }
            What::Part(part) => {
                let mut all = link.pieces.borrow_mut();
                let Some(pipe) = all.get(&part.id) else { return };
                pipe.put(part.bytes);
                if part.last {
                    pipe.end(if part.broken { End::Broken } else { End::Whole });
                } else if pipe.left() {
                    link.rope.send(What::Cancel(Cancel { id: part.id }));
                } else {
                    return;
                }
                all.remove(&part.id);
            }
            _ => {}
        }
    }
}

impl House {
    fn link(self: &Rc<House>, address: &str) -> Option<Rc<Link>> {
        if let Some(link) = self.links.all.borrow().get(address).filter(|l| l.rope.open()) {
            return Some(link.clone());
        }
        if self.links.all.borrow().len() >= MOST_LINKS {
            return None;
        }
        let to: SocketAddr = address.parse().ok()?;
        let now = self.now();
        let link = Rc::new(Link {
            rope: Rope::default(),
            out: RefCell::default(),
            pieces: RefCell::default(),
            up: std::cell::Cell::new(false),
            heard: std::cell::Cell::new(now),
            reads: std::cell::Cell::new(0),
            asked: std::cell::Cell::new(Micros(0)),
            used: std::cell::Cell::new(now),
        });
        link.rope.send(What::Hello(Hello {
            node: self.told.borrow().node.clone(),
            life: self.life,
            address: self.own.clone(),
            role: 1,
            ..Hello::default()
        }));
        self.links.all.borrow_mut().insert(address.to_string(), link.clone());
        let (house, held, address) = (self.clone(), link.clone(), address.to_string());
        tokio::task::spawn_local(async move {
            let end = match rope::dial(to, DIAL).await {
                Ok(stream) => {
                    held.up.set(true);
                    held.heard.set(house.now());
                    let (link, at) = (held.clone(), house.clone());
                    let end = rope::run(stream, held.rope.clone(), None, move |what| {
                        link.heard.set(at.now());
                        link.asked.set(Micros(0));
                        Link::heard(&link, what);
                    });
                    end.await.to_string()
                }
                Err(e) => {
                    held.rope.cut();
                    e.to_string()
                }
            };
            log::debug!(target: "links", "lose {address}: {end}");
            let verdict = if held.up.get() { Verdict::MayHaveRun } else { Verdict::NotRun };
            for (id, done) in held.out.take() {
                let _ = done.send(only(id, verdict, "the link ended").into());
            }
            held.pieces.take().values().for_each(|pipe| pipe.end(End::Broken));
            let mut all = house.links.all.borrow_mut();
            if all.get(&address).is_some_and(|l| Rc::ptr_eq(l, &held)) {
                all.remove(&address);
            }
        });
        Some(link)
    }

    async fn out(self: &Rc<House>, address: &str, id: u64, what: What) -> Told {
        let Some(link) = self.link(address) else { return only(id, Verdict::NotRun, "no link").into() };
        let (done, wait) = oneshot::channel();
        if link.out.borrow().len() >= MOST_OUT {
            return only(id, Verdict::NotRun, "too many requests on the link").into();
        }
        link.used.set(self.now());
        if link.out.borrow().is_empty() {
            link.heard.set(self.now());
        }
        link.out.borrow_mut().insert(id, done);
        let out = Out { link: link.clone(), id };
        if !link.rope.send(what) {
            link.out.borrow_mut().remove(&id);
            return only(id, Verdict::NotRun, "the link has ended").into();
        }
        let told = wait.await.unwrap_or_else(|_| only(id, Verdict::MayHaveRun, "the link ended").into());
        drop(out);
        told
    }

    /// Sends a request to the usher beside a backend. Dropped, it is taken back there where that can still be done.
    pub async fn ask(self: &Rc<House>, usher: &str, ask: Ask) -> Told {
        if usher == self.own {
            return self.clone().perform(ask).await;
        }
        self.out(usher, ask.id, What::Ask(ask)).await
    }

    /// The answer to a key that another usher holds.
    pub async fn fetch(self: &Rc<House>, holder: &str, key: &str, holder_life: u64) -> Said {
        let id = self.number();
        if holder == self.own {
            return self.held(id, key, holder_life);
        }
        self.out(holder, id, What::Fetch(Fetch { id, key: key.to_string(), holder_life })).await.said
    }

    /// Looks after links on which something is out.
    pub fn look_at_links(&self) {
        let now = self.now();
        let thin = Micros::ms((THIN / self.told.borrow().link_mbps.max(1.0)) as i64);
        let lost = (LOST + thin).min(LONGEST);
        let all: Vec<Rc<Link>> = self.links.all.borrow().values().cloned().collect();
        for link in all {
            let pieces = !link.pieces.borrow().is_empty();
            let idle = link.out.borrow().is_empty() && !pieces;
            let reads = link.rope.reads();
            if link.reads.replace(reads) != reads {
                // Part of a message is a sign of life, too.
                link.heard.set(now);
                link.asked.set(Micros(0));
            }
            // An answer of which the client has a part is not given up for a short silence.
            let lost = if pieces { LONGEST } else { lost };
            if idle && now - link.used.get() > UNUSED {
                link.rope.finish();
            }
            if idle || !link.up.get() || now - link.heard.get() < DOUBT {
                continue;
            }
            if link.asked.get() == Micros(0) {
                link.asked.set(now);
                link.rope.send(What::Ping(Ping { number: 0 }));
            } else if now - link.asked.get() >= lost - DOUBT {
                self.count("links_silent");
                link.rope.cut();
            }
        }
    }

    /// Carries a connection that another usher opened: requests for the backend here.
    pub async fn carry(self: Rc<House>, stream: tokio::net::TcpStream) {
        if self.links.accepted.get() >= MOST_LINKS {
            return;
        }
        self.links.accepted.set(self.links.accepted.get() + 1);
        rope::tune(&stream);
        let rope = Rope::default();
        let running: Rc<RefCell<HashMap<u64, AbortHandle>>> = Rc::default();
        let (house, answers, mine) = (self.clone(), rope.clone(), running.clone());
        let credits: Rc<RefCell<HashMap<u64, Rc<Credit>>>> = Rc::default();
        let end = rope::run(stream, rope, None, move |what| match what {
            What::Ask(ask) => {
                let id = ask.id;
                let (house, rope, mine_too) = (house.clone(), answers.clone(), mine.clone());
                let credits = credits.clone();
                if mine.borrow().len() >= MOST_OUT {
                    rope.send(What::Said(only(id, Verdict::NotRun, "too many requests on the link")));
                    return;
                }
                let task = tokio::task::spawn_local(async move {
                    let told = house.clone().perform(ask).await;
                    let length = told.said.length as usize;
                    rope.send(What::Said(Said { id, ..told.said }));
                    if let Some(pipe) = told.pipe {
                        let credit = Rc::new(Credit::default());
                        credits.borrow_mut().insert(id, credit.clone());
                        let to_send = ToSend::begin(&house, length);
                        let window = house.on_way();
                        pump(&rope, id, &pipe, &credit, window, &to_send).await;
                        drop(to_send);
                        credits.borrow_mut().remove(&id);
                    }
                    mine_too.borrow_mut().remove(&id);
                });
                if !task.is_finished() {
                    mine.borrow_mut().insert(id, task.abort_handle());
                }
            }
            What::Cancel(cancel) => {
                credits.borrow_mut().remove(&cancel.id);
                if let Some(task) = mine.borrow_mut().remove(&cancel.id) {
                    task.abort();
                }
            }
            What::Taken(taken) => {
                if let Some(credit) = credits.borrow().get(&taken.id) {
                    credit.way.set(credit.way.get().saturating_sub(taken.bytes as usize));
                    credit.wake.notify_one();
                }
            }
            What::Fetch(fetch) => {
                let said = house.held(fetch.id, &fetch.key, fetch.holder_life);
                answers.send(What::Said(said));
            }
            What::Ping(ping) => {
                answers.send(What::Pong(ping));
            }
            What::Hello(_) => {}
            _ => house.count("messages_unknown"),
        });
        let end = end.await;
        log::debug!(target: "links", "a link from outside ends: {end}");
        running.borrow().values().for_each(AbortHandle::abort);
        self.links.accepted.set(self.links.accepted.get() - 1);
    }
}

/// Sends an answer piece by piece, as fast as the other side passes it on.
async fn pump(rope: &Rope, id: u64, pipe: &Pipe, credit: &Credit, window: usize, to_send: &ToSend) {
    let gone = Leaving(pipe);
    loop {
        while credit.way.get() >= window {
            credit.wake.notified().await;
        }
        // Small answers go between the pieces.
        if !rope.below(PIECE).await {
            break;
        }
        let part = match pipe.next().await {
            Ok(bytes) => Part { id, bytes, ..Part::default() },
            Err(end) => Part { id, last: true, broken: end == End::Broken, ..Part::default() },
        };
        credit.way.set(credit.way.get() + part.bytes.len());
        to_send.sent(part.bytes.len());
        let last = part.last;
        if !rope.send(What::Part(part)) || last {
            break;
        }
    }
    drop(gone);
}

/// Where the sending is given up, who fills the pipe stops.
struct Leaving<'a>(&'a Pipe);
impl Drop for Leaving<'_> {
    fn drop(&mut self) {
        self.0.leave();
    }
}

/// Bytes that this machine has yet to send; what is not sent after all is taken off with it.
struct ToSend {
    house: Rc<House>,
    left: std::cell::Cell<usize>,
}

impl ToSend {
    fn begin(house: &Rc<House>, bytes: usize) -> ToSend {
        house.to_send.set(house.to_send.get() + bytes);
        ToSend { house: house.clone(), left: std::cell::Cell::new(bytes) }
    }
    fn sent(&self, bytes: usize) {
        let bytes = bytes.min(self.left.get());
        self.left.set(self.left.get() - bytes);
        self.house.to_send.set(self.house.to_send.get().saturating_sub(bytes));
    }
}

impl Drop for ToSend {
    fn drop(&mut self) {
        self.sent(self.left.get());
    }
}

impl House {
    fn on_way(&self) -> usize {
        let speed = self.told.borrow().link_mbps * 1e6 / 8.0;
        ((speed * ON_WAY_TIME) as usize).clamp(ON_WAY.0, ON_WAY.1)
    }
}
