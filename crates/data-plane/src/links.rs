//! Connections to other proxies: one each way a pair, many requests at once. What was sent and not answered when a connection ends may have
//! run; what never left has not.
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use notchspool::units::Micros;
use notchspool_mesh_protocol::{BodyChunk, FetchResponse, Hello, Payload, Request, Response, Verdict};
use notchspool_runtime::frame_connection::{self, FrameSender};
use tokio::task::AbortHandle;

use crate::exchange::{Answering, Asked, Does, Event, LONGEST};
use crate::house::House;
use crate::link::{Link, Told, only};
use crate::pipe::{End, PIECE, Pipe};
use crate::standstill;

/// A machine that does not take a connection by then is not there.
const DIAL: Duration = Duration::from_millis(300);
/// A connection on which something is out is given up after this silence.
const LOST: Micros = Micros::ms(500);
/// On thin links answers wait behind others: so many milliseconds more for a speed of 1 Mbit/s, less for faster ones, but no more than
/// the longest silence.
const THIN: f64 = 20_000.0;
/// Links at most, each way.
const MOST_LINKS: usize = 1_000;

/// Bytes of an answer in pieces that may be on their way: what the link carries in this time, within bounds.
const ON_WAY: (usize, usize) = (32 << 10, 256 << 10);
const ON_WAY_TIME: f64 = 0.05;

/// How much of an answer in pieces was sent and taken.
#[derive(Default)]
struct Credit {
    way: std::cell::Cell<usize>,
    wake: tokio::sync::Notify,
}

impl House {
    fn link(self: &Rc<House>, address: &str) -> Option<Rc<Link>> {
        if let Some(link) = self.links.all.borrow().get(address).filter(|l| l.takes()) {
            return Some(link.clone());
        }
        if self.links.all.borrow().len() >= MOST_LINKS {
            return None;
        }
        let to: SocketAddr = address.parse().ok()?;
        let link = Link::open(self.now());
        link.rope.send(Payload::Hello(Hello {
            node: self.told.borrow().node.clone(),
            boot_id: self.life,
            address: self.own.clone(),
            role: 1,
            ..Hello::default()
        }));
        self.links.all.borrow_mut().insert(address.to_string(), link.clone());
        let (house, held, address) = (self.clone(), link.clone(), address.to_string());
        tokio::task::spawn_local(async move {
            let end = match frame_connection::connect(to, DIAL).await {
                Ok(stream) => {
                    held.turn(house.now(), Event::Up);
                    let (link, at) = (held.clone(), house.clone());
                    let end = frame_connection::run(stream, held.rope.clone(), None, move |what| {
                        at.heard(&link, what)
                    });
                    end.await.to_string()
                }
                Err(e) => {
                    held.rope.abort();
                    e.to_string()
                }
            };
            log::debug!(target: "links", "lose {address}: {end}");
            held.turn(house.now(), Event::Ends);
            let mut all = house.links.all.borrow_mut();
            if all.get(&address).is_some_and(|l| Rc::ptr_eq(l, &held)) {
                all.remove(&address);
            }
        });
        Some(link)
    }

    fn heard(&self, link: &Rc<Link>, what: Payload) {
        let now = self.now();
        let ended = match what {
            Payload::Response(said) => link.said(now, said),
            Payload::BodyChunk(part) => link.part(now, part),
            Payload::Pong(pong) => link.turn(now, Event::Pong(pong.number)),
            _ => None,
        };
        if let Some(why) = ended {
            self.count("links_astray");
            log::debug!(target: "links", "end one: {why}");
        }
    }

    async fn out(self: &Rc<House>, address: &str, id: u64, what: Payload) -> Told {
        let Some(link) = self.link(address) else { return only(id, Verdict::NotRun, "no link").into() };
        let (wait, out) = link.ask(self.now(), id, what);
        let told = wait.await.unwrap_or_else(|_| only(id, Verdict::MayHaveRun, "the link ended").into());
        // An answer of which more follows is given up by who has it.
        out.answered();
        told
    }

    /// Sends a request to the proxy beside a backend. Dropped, it is taken back there where that can still be done.
    pub async fn ask(self: &Rc<House>, proxy: &str, ask: Request) -> Told {
        if proxy == self.own {
            return self.clone().perform(ask).await;
        }
        self.out(proxy, ask.id, Payload::Request(ask)).await
    }

    /// The answer to a key that another proxy holds.
    pub async fn fetch(self: &Rc<House>, holder: &str, key: &str, holder_life: u64) -> Response {
        let id = self.number();
        if holder == self.own {
            return self.held(id, key, holder_life);
        }
        self.out(
            holder,
            id,
            Payload::FetchResponse(FetchResponse { id, key: key.to_string(), holder_boot_id: holder_life }),
        )
        .await
        .said
    }

    /// Looks after links on which something is out.
    pub fn look_at_links(&self) {
        let now = self.now();
        let thin = Micros::ms((THIN / self.told.borrow().link_mbps.max(1.0)) as i64);
        let lost = (LOST + thin).min(LONGEST);
        let all: Vec<Rc<Link>> = self.links.all.borrow().values().cloned().collect();
        for link in all {
            let look = Event::Look { reads: link.rope.read_count(), lost };
            if link.turn(now, look).is_some() {
                self.count("links_silent");
            }
        }
    }

    /// Carries a connection that another proxy opened: requests for the backend here.
    pub async fn carry(self: Rc<House>, stream: tokio::net::TcpStream) {
        if self.links.accepted.get() >= MOST_LINKS {
            return;
        }
        self.links.accepted.set(self.links.accepted.get() + 1);
        frame_connection::configure_socket(&stream);
        let rope = FrameSender::default();
        let running: Rc<RefCell<Answering<AbortHandle>>> = Rc::default();
        let (house, answers, mine) = (self.clone(), rope.clone(), running.clone());
        let credits: Rc<RefCell<HashMap<u64, Rc<Credit>>>> = Rc::default();
        let end = frame_connection::run(stream, rope, None, move |what| match what {
            Payload::Request(ask) => {
                let id = ask.id;
                let ask = standstill::older(ask, house.runs());
                let (house, rope, mine_too) = (house.clone(), answers.clone(), mine.clone());
                let credits = credits.clone();
                let does = mine.borrow_mut().turn(Asked::Ask(id));
                match does {
                    Does::Begin => {}
                    Does::Full => {
                        rope.send(Payload::Response(only(
                            id,
                            Verdict::NotRun,
                            "too many requests on the link",
                        )));
                        return;
                    }
                    _ => {
                        house.count("links_astray");
                        return rope.abort();
                    }
                }
                let task = tokio::task::spawn_local(async move {
                    let told = house.clone().perform(ask).await;
                    let length = told.said.length as usize;
                    rope.send(Payload::Response(Response { id, ..told.said }));
                    if let Some(pipe) = told.pipe {
                        let credit = Rc::new(Credit::default());
                        credits.borrow_mut().insert(id, credit.clone());
                        let to_send = ToSend::begin(&house, length);
                        let window = house.on_way();
                        pump(&rope, id, &pipe, &credit, window, &to_send).await;
                        drop(to_send);
                        credits.borrow_mut().remove(&id);
                    }
                    mine_too.borrow_mut().turn(Asked::Done(id));
                });
                mine.borrow_mut().turn(Asked::Began(id, task.abort_handle()));
            }
            Payload::Cancel(cancel) => {
                credits.borrow_mut().remove(&cancel.id);
                let does = mine.borrow_mut().turn(Asked::Cancel(cancel.id));
                if let Does::Abort(task) = does {
                    task.abort();
                }
            }
            Payload::BodyConsumed(taken) => {
                if let Some(credit) = credits.borrow().get(&taken.id) {
                    credit.way.set(credit.way.get().saturating_sub(taken.bytes as usize));
                    credit.wake.notify_one();
                }
            }
            Payload::FetchResponse(fetch) => {
                let said = house.held(fetch.id, &fetch.key, fetch.holder_boot_id);
                answers.send(Payload::Response(said));
            }
            Payload::Ping(ping) => {
                answers.send(Payload::Pong(ping));
            }
            Payload::Hello(_) => {}
            _ => house.count("messages_unknown"),
        });
        let end = end.await;
        log::debug!(target: "links", "a link from outside ends: {end}");
        let does = running.borrow_mut().turn(Asked::Ends);
        if let Does::AbortAll(all) = does {
            all.iter().for_each(AbortHandle::abort);
        }
        self.links.accepted.set(self.links.accepted.get() - 1);
    }
}

/// Sends an answer piece by piece, as fast as the other side passes it on.
async fn pump(rope: &FrameSender, id: u64, pipe: &Pipe, credit: &Credit, window: usize, to_send: &ToSend) {
    let gone = Leaving(pipe);
    loop {
        while credit.way.get() >= window {
            credit.wake.notified().await;
        }
        // Small answers go between the pieces.
        if !rope.wait_until_below(PIECE).await {
            break;
        }
        let part = match pipe.next().await {
            Ok(bytes) => BodyChunk { id, bytes, ..BodyChunk::default() },
            Err(end) => BodyChunk { id, last: true, truncated: end == End::Broken, ..BodyChunk::default() },
        };
        credit.way.set(credit.way.get() + part.bytes.len());
        to_send.sent(part.bytes.len());
        let last = part.last;
        if !rope.send(Payload::BodyChunk(part)) || last {
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
