//! One connection to a `FastCGI` server. It writes requests and counts the bytes of each that the system took, reads
//! answers, and when it ends says of each request whether the server can have begun it.
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_rt::net::TcpStream;
use bytes::{Buf, Bytes, BytesMut};
use notchspool::units::AttemptOutcome;
use notchspool_fastcgi::ask::{Answer, Asked, Asker, Bounds, Event, abort, get_values};
use notchspool_fastcgi::record::{Ended, Id};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{Notify, oneshot};

use crate::base::bounds::BODY;
use crate::memory::counters::Counters;

const STDERR: usize = 64 * 1024;
/// Requests at once on one connection, whatever a server says.
const MOST: usize = 32;

/// What came of a request on this connection.
pub enum Heard {
    Answer(Answer),
    /// The connection ended, or what came on it can't be read.
    Gone(AttemptOutcome),
}

struct Waiter {
    /// None once it was given up: its id stays taken till its end comes.
    tell: Option<oneshot::Sender<Heard>>,
    begins: usize,
    written: usize,
}

/// A connection as its backend's actor sees it.
pub struct Link {
    to: SocketAddr,
    counters: Rc<Counters>,
    waiters: RefCell<BTreeMap<Id, Waiter>>,
    /// Bytes to write, and whose they are.
    unsaid: RefCell<VecDeque<(Option<Id>, Bytes)>>,
    woken: Notify,
    open: Cell<bool>,
    closing: Cell<bool>,
    next: Cell<u16>,
    /// How many requests at once; 1 until the server says it can more.
    pub at_once: Rc<Cell<usize>>,
    asker: RefCell<Asker>,
}

impl Link {
    /// Takes a connection that is up. `ask_values`: nothing is known yet of what this server can do.
    pub fn up(
        io: TcpStream,
        to: SocketAddr,
        counters: Rc<Counters>,
        at_once: Rc<Cell<usize>>,
        ask_values: bool,
    ) -> Rc<Link> {
        let _ = io.set_nodelay(true);
        counters.links.set(counters.links.get() + 1);
        counters.add("links_opened");
        let link = Rc::new(Link {
            to,
            counters,
            waiters: RefCell::default(),
            unsaid: RefCell::default(),
            woken: Notify::new(),
            open: Cell::new(true),
            closing: Cell::new(false),
            next: Cell::new(1),
            at_once,
            asker: RefCell::new(Asker::new(Bounds { body: BODY + 16 * 1024, stderr: STDERR })),
        });
        if ask_values {
            link.unsaid.borrow_mut().push_back((None, get_values()));
        }
        actix_rt::spawn(run(link.clone(), io));
        link
    }

    pub fn out(&self) -> usize {
        self.waiters.borrow().len()
    }
    pub fn has_room(&self) -> bool {
        self.open.get() && !self.closing.get() && self.out() < self.at_once.get().max(1)
    }
    pub fn is_open(&self) -> bool {
        self.open.get()
    }
    /// Ends once nothing is out.
    pub fn close(&self) {
        self.closing.set(true);
        self.woken.notify_one();
    }

    /// Sends a request; its id is drawn here.
    pub fn ask(&self, request: impl FnOnce(Id) -> Asked) -> (Id, oneshot::Receiver<Heard>) {
        let mut waiters = self.waiters.borrow_mut();
        let mut id = self.next.get().max(1);
        while waiters.contains_key(&Id(id)) {
            id = id.wrapping_add(1).max(1);
        }
        self.next.set(id.wrapping_add(1));
        let id = Id(id);
        let (tell, told) = oneshot::channel();
        let asked = request(id);
        waiters.insert(id, Waiter { tell: Some(tell), begins: asked.begins, written: 0 });
        self.asker.borrow_mut().wait(id);
        self.unsaid.borrow_mut().push_back((Some(id), asked.bytes));
        self.woken.notify_one();
        (id, told)
    }

    /// Nobody waits for this one any more. True where a server may have begun it. Alone on its connection it takes that
    /// with it; beside others it is aborted, and its id is free when its end comes.
    pub fn give_up(&self, id: Id) -> bool {
        let mut waiters = self.waiters.borrow_mut();
        let alone = waiters.len() == 1;
        let Some(waiter) = waiters.get_mut(&id) else { return true };
        let (begun, written) = (waiter.written >= waiter.begins, waiter.written);
        waiter.tell = None;
        if alone {
            drop(waiters);
            self.open.set(false);
            self.woken.notify_one();
            return begun;
        }
        let mut unsaid = self.unsaid.borrow_mut();
        let unwritten = written == 0 && unsaid.iter().any(|u| u.0 == Some(id));
        if unwritten && unsaid.front().is_none_or(|first| first.0 != Some(id)) {
            // Not a byte of it went out: it never was.
            unsaid.retain(|u| u.0 != Some(id));
            drop(waiters.remove(&id));
        } else {
            unsaid.push_back((None, abort(id)));
            self.woken.notify_one();
        }
        begun
    }

    /// Bytes of its answer that have come.
    pub fn heard_of(&self, id: Id) -> usize {
        self.asker.borrow().heard(id)
    }
    /// Whether the server can have begun this one by now.
    pub fn may_have_begun(&self, id: Id) -> bool {
        self.waiters.borrow().get(&id).is_none_or(|w| w.written >= w.begins)
    }

    fn heard(&self, events: Vec<Event>) {
        for event in events {
            match event {
                Event::Answered(answer) => {
                    if answer.ended == Ended::CantMultiplex {
                        self.at_once.set(1);
                    }
                    let waiter = self.waiters.borrow_mut().remove(&answer.id);
                    if let Some(tell) = waiter.and_then(|w| w.tell) {
                        let _ = tell.send(Heard::Answer(answer));
                    }
                }
                Event::Values(values) => {
                    let value =
                        |name: &str| values.iter().find(|v| v.0 == name.as_bytes()).map(|v| v.1.clone());
                    let number = |name| {
                        value(name).and_then(|v| std::str::from_utf8(&v).ok()?.trim().parse::<usize>().ok())
                    };
                    if number("FCGI_MPXS_CONNS") == Some(1) {
                        self.at_once.set(number("FCGI_MAX_REQS").unwrap_or(1).clamp(1, MOST));
                    }
                }
                Event::Begun(_) | Event::Unknown(_) => {}
            }
        }
    }

    /// The end: each request that is still out hears what may have become of it.
    fn ended(&self, code: &str, why: &str) {
        self.open.set(false);
        self.counters.links.set(self.counters.links.get().saturating_sub(1));
        self.counters.add("links_ended");
        log::info!("link to {} ended: {code}{why}", self.to);
        for (_, waiter) in std::mem::take(&mut *self.waiters.borrow_mut()) {
            // Before the last byte of its params was written no server can have begun.
            let fate = if waiter.written >= waiter.begins {
                AttemptOutcome::ConnectionLost
            } else {
                AttemptOutcome::ConnectFailed
            };
            if let Some(tell) = waiter.tell {
                let _ = tell.send(Heard::Gone(fate));
            }
        }
    }
}

async fn run(link: Rc<Link>, mut io: TcpStream) {
    let (mut reader, mut writer) = io.split();
    let mut came = BytesMut::with_capacity(16 * 1024);
    let ended: (&str, String) = loop {
        if !link.open.get() {
            break ("LINK_GIVEN_UP", String::new());
        }
        if link.closing.get() && link.out() == 0 {
            break ("LINK_IDLE", String::new());
        }
        // A piece is taken from the front, and what the system did not take is put back before anything else.
        let piece = link.unsaid.borrow().front().map(|u| u.1.clone());
        tokio::select! {
            read = reader.read_buf(&mut came) => match read {
                Ok(0) => break ("LINK_CLOSED", String::new()),
                Err(why) => break ("LINK_RESET", format!(" ({why})")),
                Ok(_) => {
                    let mut events = Vec::new();
                    let taken = link.asker.borrow_mut().take(&came.split(), &mut events);
                    link.heard(events);
                    if let Err(why) = taken {
                        break ("LINK_NO_FASTCGI", format!(" ({why})"));
                    }
                }
            },
            written = write(&mut writer, piece.as_ref()), if piece.is_some() => match written {
                Ok(0) => break ("LINK_CLOSED", String::new()),
                Err(why) => break ("LINK_RESET", format!(" ({why})")),
                Ok(n) => link.wrote(n),
            },
            () = link.woken.notified() => {}
        }
    };
    link.ended(ended.0, &ended.1);
}

async fn write(to: &mut (impl AsyncWriteExt + Unpin), piece: Option<&Bytes>) -> io::Result<usize> {
    match piece {
        Some(piece) => to.write(piece).await,
        None => std::future::pending().await,
    }
}

impl Link {
    fn wrote(&self, many: usize) {
        let mut unsaid = self.unsaid.borrow_mut();
        let Some((id, piece)) = unsaid.front_mut() else { return };
        if let Some(id) = *id
            && let Some(waiter) = self.waiters.borrow_mut().get_mut(&id)
        {
            waiter.written += many;
        }
        piece.advance(many.min(piece.len()));
        if piece.is_empty() {
            unsaid.pop_front();
        }
    }
}
