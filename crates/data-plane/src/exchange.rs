//! What is open on one connection between two proxies, without I/O: `Asking` at who opened it, `Answering` at the other end. Each exchange
//! has an id that is never used again on its connection, and belongs to that connection alone: after a new start of either side there is
//! another. One function each, `turn`, changes the state.
//!
//! ```text
//! a connection: Dialing -up-> Up -unused-> Leaving -ends-> Over
//! an exchange:  -ask-> Asked -answer-> done, or Streaming -last part-> done       Asked, Streaming -give up-> GivenUp -fence-> done
//! ```
//!
//! What comes for an exchange that is not open ends the connection and is given to nobody, but for what was on its way when the exchange
//! was given up: a ping sent after the word that it is given up, once answered, shows that nothing can be on its way any more.
use std::collections::BTreeMap;

use notchspool::units::Micros;
use notchspool_mesh_protocol::Verdict;

/// Something is out and nothing heard for this long: the other side is asked whether it lives.
const DOUBT: Micros = Micros::ms(150);
/// An answer of which the client has a part is not given up for a short silence.
pub const LONGEST: Micros = Micros::ms(2_500);
/// Exchanges open on one connection at most, and as many given up whose fence is awaited.
pub const MOST_OUT: usize = 4_096;
/// A connection unused for this long is let go.
const UNUSED: Micros = Micros::ms(60_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Dialing,
    /// What is written may have left.
    Up,
    /// It takes nothing new, and ends once all is written.
    Leaving,
    Over,
}

/// `W`: who waits for an answer. `S`: where the rest of one goes.
enum Question<W, S> {
    Asked(W),
    Streaming(S),
}

pub enum Event<W, S> {
    Ask(u64, W),
    /// The connection is there.
    Up,
    /// It took not a byte of this one.
    Unsent(u64),
    /// An answer; where more of it follows, to whom that goes.
    Said(u64, Option<S>),
    Part {
        id: u64,
        last: bool,
    },
    GiveUp(u64),
    Pong(u64),
    /// Time passes. `reads`: how often bytes came; `lost`: after how long a silence it is given up.
    Look {
        reads: u64,
        lost: Micros,
    },
    Ends,
}

pub enum Step<W, S> {
    Nothing,
    Send,
    /// It has not run there and never will.
    NotRun(&'static str, W),
    Give(W),
    Pass(S),
    /// Tell the other side that it is given up.
    Cancel,
    Ping(u64),
    /// End the connection now; the event goes to nobody.
    Cut(&'static str),
    /// End the connection once all is written.
    Finish,
    /// All who wait get this verdict; all streams break off.
    Ended(Verdict, Vec<(u64, W)>, Vec<S>),
}

pub struct Asking<W, S> {
    state: State,
    open: BTreeMap<u64, Question<W, S>>,
    /// With the ping that has to be answered before they are forgotten.
    given_up: BTreeMap<u64, u64>,
    fence: u64,
    fence_out: bool,
    heard: Micros,
    doubted: Option<Micros>,
    used: Micros,
    reads: u64,
}

impl<W, S: Clone> Asking<W, S> {
    pub fn open(now: Micros) -> Asking<W, S> {
        Asking {
            state: State::Dialing,
            open: BTreeMap::new(),
            given_up: BTreeMap::new(),
            fence: 1,
            fence_out: false,
            heard: now,
            doubted: None,
            used: now,
            reads: 0,
        }
    }

    /// New requests may go on it.
    pub fn takes(&self) -> bool {
        matches!(self.state, State::Dialing | State::Up)
    }

    fn hears(&mut self, now: Micros) {
        (self.heard, self.doubted) = (now, None);
    }

    pub fn turn(&mut self, now: Micros, event: Event<W, S>) -> Step<W, S> {
        match event {
            Event::Ask(id, waits) => {
                if !self.takes() {
                    return Step::NotRun("the link has ended", waits);
                }
                if self.open.len() >= MOST_OUT {
                    return Step::NotRun("too many requests on the link", waits);
                }
                if self.open.is_empty() {
                    self.hears(now);
                }
                self.used = now;
                self.open.insert(id, Question::Asked(waits));
                Step::Send
            }
            Event::Up => {
                if self.state == State::Dialing {
                    self.state = State::Up;
                }
                self.hears(now);
                Step::Nothing
            }
            Event::Unsent(id) => match self.open.remove(&id) {
                Some(Question::Asked(waits)) => Step::NotRun("the link has ended", waits),
                _ => Step::Nothing,
            },
            Event::Said(id, rest) => {
                self.hears(now);
                match self.open.remove(&id) {
                    Some(Question::Asked(waits)) => {
                        if let Some(rest) = rest {
                            self.open.insert(id, Question::Streaming(rest));
                        }
                        Step::Give(waits)
                    }
                    None if self.given_up.contains_key(&id) => Step::Nothing,
                    _ => Step::Cut("an answer to nothing that was asked"),
                }
            }
            Event::Part { id, last } => {
                self.hears(now);
                match self.open.get(&id) {
                    Some(Question::Streaming(rest)) => {
                        let rest = rest.clone();
                        if last {
                            self.open.remove(&id);
                        }
                        Step::Pass(rest)
                    }
                    None if self.given_up.contains_key(&id) => Step::Nothing,
                    _ => Step::Cut("a part of nothing that was asked"),
                }
            }
            Event::GiveUp(id) => {
                if self.open.remove(&id).is_none() {
                    return Step::Nothing;
                }
                self.given_up.insert(id, self.fence);
                if self.given_up.len() > MOST_OUT {
                    return Step::Cut("too many requests given up");
                }
                Step::Cancel
            }
            Event::Pong(number) => {
                self.hears(now);
                self.fence_out &= number < self.fence.saturating_sub(1);
                self.given_up.retain(|_, fence| *fence > number);
                Step::Nothing
            }
            Event::Look { reads, lost } => self.look(now, reads, lost),
            Event::Ends => {
                let verdict =
                    if self.state == State::Dialing { Verdict::NotRun } else { Verdict::MayHaveRun };
                self.state = State::Over;
                let (mut waiters, mut streams) = (Vec::new(), Vec::new());
                for (id, question) in std::mem::take(&mut self.open) {
                    match question {
                        Question::Asked(waits) => waiters.push((id, waits)),
                        Question::Streaming(rest) => streams.push(rest),
                    }
                }
                self.given_up.clear();
                Step::Ended(verdict, waiters, streams)
            }
        }
    }

    fn look(&mut self, now: Micros, reads: u64, lost: Micros) -> Step<W, S> {
        if self.reads != reads {
            // Part of a message is a sign of life, too.
            self.reads = reads;
            self.hears(now);
        }
        let idle = self.open.is_empty() && self.given_up.is_empty();
        if idle && self.takes() && now - self.used > UNUSED {
            self.state = State::Leaving;
            return Step::Finish;
        }
        if self.state != State::Up || idle {
            return Step::Nothing;
        }
        let pieces = self.open.values().any(|q| matches!(q, Question::Streaming(_)));
        let lost = if pieces { LONGEST } else { lost };
        match self.doubted {
            None if now - self.heard >= DOUBT && !self.open.is_empty() => self.doubted = Some(now),
            Some(since) if now - since >= lost - DOUBT => return Step::Cut("silent"),
            _ if !self.given_up.is_empty() && !self.fence_out => {}
            _ => return Step::Nothing,
        }
        self.fence_out = true;
        self.fence += 1;
        Step::Ping(self.fence - 1)
    }
}

/// What the other end has in work for who asks. `H`: by what it is ended.
pub struct Answering<H> {
    open: BTreeMap<u64, Option<H>>,
    last: u64,
}

impl<H> Default for Answering<H> {
    fn default() -> Answering<H> {
        Answering { open: BTreeMap::new(), last: 0 }
    }
}

pub enum Asked<H> {
    Ask(u64),
    Began(u64, H),
    Cancel(u64),
    Done(u64),
    Ends,
}

pub enum Does<H> {
    Nothing,
    Begin,
    /// Not begun, and it never will be.
    Full,
    Abort(H),
    AbortAll(Vec<H>),
    /// An id comes again: who asks is not to be trusted, and nothing is begun.
    Cut,
}

impl<H> Answering<H> {
    pub fn turn(&mut self, event: Asked<H>) -> Does<H> {
        match event {
            Asked::Ask(id) if id <= self.last => Does::Cut,
            Asked::Ask(id) => {
                self.last = id;
                if self.open.len() >= MOST_OUT {
                    return Does::Full;
                }
                self.open.insert(id, None);
                Does::Begin
            }
            Asked::Began(id, by) => {
                if let Some(open) = self.open.get_mut(&id) {
                    *open = Some(by);
                }
                Does::Nothing
            }
            Asked::Cancel(id) => self.open.remove(&id).flatten().map_or(Does::Nothing, Does::Abort),
            Asked::Done(id) => {
                self.open.remove(&id);
                Does::Nothing
            }
            Asked::Ends => Does::AbortAll(std::mem::take(&mut self.open).into_values().flatten().collect()),
        }
    }
}
