//! What stands for one connection to another proxy, and what comes back over it. `links` carries them.
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use notchspool::units::Micros;
use notchspool_mesh_protocol::{BodyChunk, BodyConsumed, Cancel, Payload, Response, Verdict};
use notchspool_runtime::frame_connection::FrameSender;
use tokio::sync::oneshot;

use crate::exchange::{Asking, Event, Step};
use crate::pipe::{End, Pipe};

/// An answer, and the rest of it where it comes in pieces; `taken` tells who sends them that so many bytes were passed on. Where it is
/// dropped before the rest has come, the rest is given up.
pub struct Told {
    pub said: Response,
    pub pipe: Option<Pipe>,
    pub taken: Box<dyn Fn(usize)>,
}

impl From<Response> for Told {
    fn from(said: Response) -> Told {
        Told { said, pipe: None, taken: Box::new(|_| ()) }
    }
}

/// An answer of this kind, with nothing in it but why.
pub fn only(id: u64, verdict: Verdict, why: &str) -> Response {
    Response { id, verdict: verdict.into(), reason: why.to_string(), ..Response::default() }
}

/// A connection that this proxy opened.
pub struct Link {
    pub rope: FrameSender,
    asking: RefCell<Asking<oneshot::Sender<Told>, Pipe>>,
}

/// Gives an exchange up where its wait, or the rest of its answer, is dropped: the other side is told.
pub struct Out {
    link: Rc<Link>,
    id: u64,
    waits: Cell<bool>,
}

impl Out {
    /// It has its answer: the rest of one is given up by who has it.
    pub fn answered(&self) {
        self.waits.set(false);
    }
}

impl Drop for Out {
    fn drop(&mut self) {
        if self.waits.get() {
            // The time matters only for what is heard.
            self.link.turn(Micros(0), Event::GiveUp(self.id));
        }
    }
}

impl Link {
    pub fn open(now: Micros) -> Rc<Link> {
        Rc::new(Link { rope: FrameSender::default(), asking: RefCell::new(Asking::open(now)) })
    }

    pub fn takes(&self) -> bool {
        self.rope.is_open() && self.asking.borrow().takes()
    }

    /// Something happened to it; what that asks for is done. True where the connection was ended for it.
    pub fn turn(&self, now: Micros, event: Event<oneshot::Sender<Told>, Pipe>) -> Option<&'static str> {
        let id = match &event {
            Event::Ask(id, _) | Event::Said(id, _) | Event::GiveUp(id) => *id,
            _ => 0,
        };
        let step = self.asking.borrow_mut().turn(now, event);
        match step {
            Step::Cancel => {
                self.rope.send(Payload::Cancel(Cancel { id }));
            }
            Step::NotRun(why, waits) => {
                // Whoever waited may have given up.
                let _ = waits.send(only(id, Verdict::NotRun, why).into());
            }
            Step::Ping(number) => {
                self.rope.send(Payload::Ping(notchspool_mesh_protocol::Ping { number }));
            }
            Step::Finish => self.rope.finish(),
            Step::Cut(why) => {
                self.rope.abort();
                return Some(why);
            }
            Step::Ended(verdict, waiters, streams) => {
                for (id, waits) in waiters {
                    let _ = waits.send(only(id, verdict, "the link ended").into());
                }
                streams.iter().for_each(|pipe| pipe.end(End::Broken));
            }
            Step::Nothing | Step::Send | Step::Give(_) | Step::Pass(_) => {}
        }
        None
    }

    /// Sends a request on it. What is to be waited for, and what gives it up where it is dropped.
    pub fn ask(self: &Rc<Link>, now: Micros, id: u64, what: Payload) -> (oneshot::Receiver<Told>, Out) {
        let (done, wait) = oneshot::channel();
        let step = self.asking.borrow_mut().turn(now, Event::Ask(id, done));
        if let Step::NotRun(why, waits) = step {
            let _ = waits.send(only(id, Verdict::NotRun, why).into());
        } else if !self.rope.send(what) {
            self.turn(now, Event::Unsent(id));
        }
        (wait, Out { link: self.clone(), id, waits: Cell::new(true) })
    }

    /// An answer, of which more may follow.
    pub fn said(self: &Rc<Link>, now: Micros, said: Response) -> Option<&'static str> {
        let id = said.id;
        let mut told = Told::from(said);
        told.pipe = told.said.more.then(Pipe::default);
        let step = self.asking.borrow_mut().turn(now, Event::Said(id, told.pipe.clone()));
        match step {
            Step::Give(waits) => {
                if told.pipe.is_some() {
                    let out = Out { link: self.clone(), id, waits: Cell::new(true) };
                    told.taken = Box::new(move |n| {
                        out.link.rope.send(Payload::BodyConsumed(BodyConsumed { id, bytes: n as u64 }));
                    });
                }
                // Whoever waited may have given up; then the rest is given up by this.
                let _ = waits.send(told);
                None
            }
            Step::Cut(why) => {
                self.rope.abort();
                Some(why)
            }
            _ => None,
        }
    }

    pub fn part(&self, now: Micros, part: BodyChunk) -> Option<&'static str> {
        let step = self.asking.borrow_mut().turn(now, Event::Part { id: part.id, last: part.last });
        match step {
            Step::Pass(pipe) => {
                pipe.put(part.bytes);
                if part.last {
                    pipe.end(if part.truncated { End::Broken } else { End::Whole });
                }
                None
            }
            Step::Cut(why) => {
                self.rope.abort();
                Some(why)
            }
            _ => None,
        }
    }
}

/// Connections to other proxies, by their addresses, and how many others opened here.
#[derive(Default)]
pub struct Links {
    pub all: RefCell<BTreeMap<String, Rc<Link>>>,
    pub accepted: Cell<usize>,
}
