//! What is open on one connection between two proxies, without I/O: [`OutgoingExchanges`] at the side that opened it, [`IncomingExchanges`] at
//! the other end.
//!
//! Each exchange has an id that is never used again on its connection, and belongs to that connection alone: after a new start of either
//! side there is another. One function each, `apply`, changes the state.
//!
//! ```text
//! a connection: Connecting -connected-> Connected -unused, told to go away-> Finishing -closed-> Closed
//! an exchange:  -request-> Waiting -response-> done, or Streaming -last chunk-> done
//!               Waiting, Streaming -abandon-> Abandoned -its ping answered-> done
//! ```
//!
//! What comes for an exchange that is not open ends the connection and is given to nobody, but for what was on its way when the exchange
//! was abandoned: a ping sent after the cancellation, once answered, shows that nothing can be on its way any more.
use std::collections::BTreeMap;

use notchspool::units::Micros;
use notchspool_mesh_protocol::Verdict;

/// Something is open and nothing heard for this long: the other side is asked whether it lives.
const SUSPECT_AFTER: Micros = Micros::ms(150);
/// A response of which the client has a part is not given up for a shorter silence.
pub const MAX_SILENCE: Micros = Micros::ms(2_500);
/// Exchanges open on one connection at most, and as many abandoned whose ping is awaited.
pub const MAX_OPEN: usize = 4_096;
/// A connection unused for this long is closed.
const IDLE_TIMEOUT: Micros = Micros::ms(60_000);

/// The number of an exchange.
pub type ExchangeId = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Connecting,
    /// What is written may have left.
    Connected,
    /// It takes nothing new, and ends once all that is open is answered and all is written.
    Finishing,
    Closed,
}

/// `W`: who waits for a response. `S`: where the rest of one goes.
enum Exchange<W, S> {
    Waiting(W),
    Streaming(S),
}

/// What happened on a connection that was opened here. `W`: who waits for a response; `S`: where the rest of one goes.
pub enum OutgoingEvent<W, S> {
    /// A request is to be sent.
    Request(ExchangeId, W),
    /// The connection is there.
    Connected,
    /// The connection took not a byte of this request.
    Unsent(ExchangeId),
    /// A response came; where more of it follows, to whom that goes.
    Response(ExchangeId, Option<S>),
    /// A part of a streamed response came.
    BodyChunk {
        /// Of which exchange.
        id: ExchangeId,
        /// Nothing follows.
        last: bool,
    },
    /// Nobody waits for this any more.
    Abandon(ExchangeId),
    /// A ping of this number was answered.
    Pong(u64),
    /// The other side ends: nothing new is to be sent.
    GoAway,
    /// Time has passed.
    Tick {
        /// How often bytes came on the connection.
        read_count: u64,
        /// After how long a silence it is given up.
        max_silence: Micros,
    },
    /// The connection has ended.
    Closed,
}

/// What is to be done on a connection that was opened here.
pub enum OutgoingAction<W, S> {
    /// Nothing.
    Nothing,
    /// Send the request.
    Send,
    /// Tell the one that waits that it has not run there and never will.
    NotRun(&'static str, W),
    /// Give the response to the one that waits.
    Deliver(W),
    /// Pass the chunk on.
    Forward(S),
    /// Tell the other side that the exchange is abandoned.
    Cancel,
    /// Send a ping of this number.
    Ping(u64),
    /// End the connection now; the event goes to nobody.
    Abort(&'static str),
    /// End the connection once all is written.
    Finish,
    /// All who wait get this verdict; all streams break off.
    Closed {
        /// What became of the requests.
        verdict: Verdict,
        /// Who waits, by exchange.
        waiting: Vec<(ExchangeId, W)>,
        /// Streams that break off.
        streams: Vec<S>,
    },
}

/// The exchanges on a connection that was opened here.
pub struct OutgoingExchanges<W, S> {
    state: State,
    open: BTreeMap<ExchangeId, Exchange<W, S>>,
    /// With the ping that has to be answered before they are forgotten.
    abandoned: BTreeMap<ExchangeId, u64>,
    next_ping: u64,
    /// A ping is not answered yet.
    is_pinging: bool,
    last_seen_at: Micros,
    suspected_since: Option<Micros>,
    last_used_at: Micros,
    read_count: u64,
}

impl<W, S: Clone> OutgoingExchanges<W, S> {
    /// A connection that is being opened.
    pub fn new(now: Micros) -> OutgoingExchanges<W, S> {
        OutgoingExchanges {
            state: State::Connecting,
            open: BTreeMap::new(),
            abandoned: BTreeMap::new(),
            next_ping: 1,
            is_pinging: false,
            last_seen_at: now,
            suspected_since: None,
            last_used_at: now,
            read_count: 0,
        }
    }

    /// Whether new requests may go on it.
    pub fn accepts_requests(&self) -> bool {
        matches!(self.state, State::Connecting | State::Connected)
    }

    /// How many exchanges are open.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    fn on_contact(&mut self, now: Micros) {
        self.last_seen_at = now;
        self.suspected_since = None;
    }

    /// Takes an event.
    pub fn apply(&mut self, now: Micros, event: OutgoingEvent<W, S>) -> OutgoingAction<W, S> {
        match event {
            OutgoingEvent::Request(id, waiting) => self.on_request(now, id, waiting),
            OutgoingEvent::Connected => {
                if self.state == State::Connecting {
                    self.state = State::Connected;
                }
                self.on_contact(now);
                OutgoingAction::Nothing
            }
            OutgoingEvent::Unsent(id) => match self.open.remove(&id) {
                Some(Exchange::Waiting(waiting)) => OutgoingAction::NotRun("the link has ended", waiting),
                _ => OutgoingAction::Nothing,
            },
            OutgoingEvent::Response(id, rest) => self.on_response(now, id, rest),
            OutgoingEvent::BodyChunk { id, last } => self.on_body_chunk(now, id, last),
            OutgoingEvent::Abandon(id) => self.abandon(id),
            OutgoingEvent::Pong(number) => {
                self.on_contact(now);
                self.is_pinging &= number < self.next_ping.saturating_sub(1);
                self.abandoned.retain(|_, ping| *ping > number);
                OutgoingAction::Nothing
            }
            OutgoingEvent::GoAway => {
                self.on_contact(now);
                self.go_away()
            }
            OutgoingEvent::Tick { read_count, max_silence } => self.tick(now, read_count, max_silence),
            OutgoingEvent::Closed => self.close(),
        }
    }

    fn on_request(&mut self, now: Micros, id: ExchangeId, waiting: W) -> OutgoingAction<W, S> {
        if !self.accepts_requests() {
            return OutgoingAction::NotRun("the link has ended", waiting);
        }
        if self.open.len() >= MAX_OPEN {
            return OutgoingAction::NotRun("too many requests on the link", waiting);
        }
        if self.open.is_empty() {
            self.on_contact(now);
        }
        self.last_used_at = now;
        self.open.insert(id, Exchange::Waiting(waiting));
        OutgoingAction::Send
    }

    fn on_response(&mut self, now: Micros, id: ExchangeId, rest: Option<S>) -> OutgoingAction<W, S> {
        self.on_contact(now);
        match self.open.remove(&id) {
            Some(Exchange::Waiting(waiting)) => {
                if let Some(rest) = rest {
                    self.open.insert(id, Exchange::Streaming(rest));
                }
                OutgoingAction::Deliver(waiting)
            }
            None if self.abandoned.contains_key(&id) => OutgoingAction::Nothing,
            _ => OutgoingAction::Abort("a response to nothing that was asked"),
        }
    }

    fn on_body_chunk(&mut self, now: Micros, id: ExchangeId, last: bool) -> OutgoingAction<W, S> {
        self.on_contact(now);
        match self.open.get(&id) {
            Some(Exchange::Streaming(rest)) => {
                let rest = rest.clone();
                if last {
                    self.open.remove(&id);
                }
                OutgoingAction::Forward(rest)
            }
            None if self.abandoned.contains_key(&id) => OutgoingAction::Nothing,
            _ => OutgoingAction::Abort("a part of nothing that was asked"),
        }
    }

    /// What is open is answered; then the connection ends from here, so that nothing crosses its end.
    fn go_away(&mut self) -> OutgoingAction<W, S> {
        if self.accepts_requests() {
            self.state = State::Finishing;
        }
        if self.is_idle() { OutgoingAction::Finish } else { OutgoingAction::Nothing }
    }

    fn is_idle(&self) -> bool {
        self.open.is_empty() && self.abandoned.is_empty()
    }

    fn abandon(&mut self, id: ExchangeId) -> OutgoingAction<W, S> {
        if self.open.remove(&id).is_none() {
            return OutgoingAction::Nothing;
        }
        self.abandoned.insert(id, self.next_ping);
        if self.abandoned.len() > MAX_OPEN {
            return OutgoingAction::Abort("too many requests given up");
        }
        OutgoingAction::Cancel
    }

    fn close(&mut self) -> OutgoingAction<W, S> {
        let was_connecting = self.state == State::Connecting;
        let verdict = if was_connecting { Verdict::NotRun } else { Verdict::MayHaveRun };
        self.state = State::Closed;
        let (mut waiting, mut streams) = (Vec::new(), Vec::new());
        for (id, exchange) in std::mem::take(&mut self.open) {
            match exchange {
                Exchange::Waiting(waits) => waiting.push((id, waits)),
                Exchange::Streaming(rest) => streams.push(rest),
            }
        }
        self.abandoned.clear();
        OutgoingAction::Closed { verdict, waiting, streams }
    }

    fn tick(&mut self, now: Micros, read_count: u64, max_silence: Micros) -> OutgoingAction<W, S> {
        if self.read_count != read_count {
            // Part of a message is a sign of life, too.
            self.read_count = read_count;
            self.on_contact(now);
        }
        let is_idle = self.is_idle();
        if is_idle && self.accepts_requests() && now - self.last_used_at > IDLE_TIMEOUT {
            self.state = State::Finishing;
        }
        if is_idle && self.state == State::Finishing {
            return OutgoingAction::Finish;
        }
        if !matches!(self.state, State::Connected | State::Finishing) || is_idle {
            return OutgoingAction::Nothing;
        }
        let is_streaming = self.open.values().any(|exchange| matches!(exchange, Exchange::Streaming(_)));
        let max_silence = if is_streaming { MAX_SILENCE } else { max_silence };
        let is_silent = now - self.last_seen_at >= SUSPECT_AFTER;
        match self.suspected_since {
            None if is_silent && !self.open.is_empty() => self.suspected_since = Some(now),
            Some(since) if now - since >= max_silence - SUSPECT_AFTER => {
                return OutgoingAction::Abort("silent");
            }
            _ if !self.abandoned.is_empty() && !self.is_pinging => {}
            _ => return OutgoingAction::Nothing,
        }
        self.is_pinging = true;
        self.next_ping += 1;
        OutgoingAction::Ping(self.next_ping - 1)
    }
}

/// What happened on a connection that another opened. `H`: by what work is ended.
pub enum IncomingEvent<H> {
    /// A request came.
    Request(ExchangeId),
    /// Its work has begun.
    Started(ExchangeId, H),
    /// Nobody waits for it any more.
    Cancel(ExchangeId),
    /// It is answered.
    Finished(ExchangeId),
    /// The connection has ended.
    Closed,
}

/// What is to be done on a connection that another opened.
pub enum IncomingAction<H> {
    /// Nothing.
    Nothing,
    /// Begin its work.
    Start,
    /// Not begun, and it never will be.
    Reject,
    /// End this work.
    Abort(H),
    /// End all work.
    AbortAll(Vec<H>),
    /// End the connection: an id comes again, so the other side is not to be trusted, and nothing is begun.
    AbortConnection,
}

/// The work for the other end of a connection that it opened. `H`: by what work is ended.
pub struct IncomingExchanges<H> {
    open: BTreeMap<ExchangeId, Option<H>>,
    last_id: ExchangeId,
}

impl<H> Default for IncomingExchanges<H> {
    fn default() -> IncomingExchanges<H> {
        IncomingExchanges { open: BTreeMap::new(), last_id: 0 }
    }
}

impl<H> IncomingExchanges<H> {
    /// Whether the other side waits for this one.
    pub fn is_open(&self, id: ExchangeId) -> bool {
        self.open.contains_key(&id)
    }

    /// Takes an event.
    pub fn apply(&mut self, event: IncomingEvent<H>) -> IncomingAction<H> {
        match event {
            IncomingEvent::Request(id) if id <= self.last_id => IncomingAction::AbortConnection,
            IncomingEvent::Request(id) => {
                self.last_id = id;
                if self.open.len() >= MAX_OPEN {
                    return IncomingAction::Reject;
                }
                self.open.insert(id, None);
                IncomingAction::Start
            }
            IncomingEvent::Started(id, handle) => {
                if let Some(open) = self.open.get_mut(&id) {
                    *open = Some(handle);
                }
                IncomingAction::Nothing
            }
            IncomingEvent::Cancel(id) => {
                self.open.remove(&id).flatten().map_or(IncomingAction::Nothing, IncomingAction::Abort)
            }
            IncomingEvent::Finished(id) => {
                self.open.remove(&id);
                IncomingAction::Nothing
            }
            IncomingEvent::Closed => {
                let handles = std::mem::take(&mut self.open).into_values().flatten();
                IncomingAction::AbortAll(handles.collect())
            }
        }
    }
}
