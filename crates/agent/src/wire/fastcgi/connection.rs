//! One connection to a `FastCGI` server. It writes requests and counts the bytes of each that the system took, reads answers, and when it ends says of
//! each request whether the server can have begun it.
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use actix_rt::net::TcpStream;
use bytes::{Buf, Bytes, BytesMut};
use notchspool::units::AttemptOutcome;
use notchspool_fastcgi::client::{
    Answer, ClientLimits, ClientSide, EncodedRequest, Event, encode_abort, encode_get_values,
};
use notchspool_fastcgi::pairs::Pair;
use notchspool_fastcgi::protocol::{ProtocolStatus, RequestId};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{Notify, oneshot};

use crate::base::limits::SMALL_BODY_BYTES;
use crate::state::counters::Counters;
use crate::wire::answer_arrival::AnswerArrival;
use crate::wire::connection_history::reason;

/// Bytes of stderr of one answer.
const MAX_STDERR_BYTES: usize = 64 * 1024;
/// The head of an answer, beside its body, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Requests at once on one connection, whatever a server says.
const MAX_REQUESTS: usize = 32;
/// Space for reads, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// What came of a request on this connection.
pub enum ServerReply {
    /// An answer.
    Answer(Answer),
    /// The connection ended, or what came on it can't be read.
    ConnectionEnded(AttemptOutcome),
}

struct PendingRequest {
    /// Nothing once it was given up: its id stays taken until its end comes.
    reply: Option<oneshot::Sender<ServerReply>>,
    /// As many bytes have to be written before a server can have begun it.
    begins_at: usize,
    written: usize,
    arrival: AnswerArrival,
}

impl PendingRequest {
    fn may_have_begun(&self) -> bool {
        self.written >= self.begins_at
    }
}

/// Bytes to write, and whose they are.
struct Outgoing {
    request: Option<RequestId>,
    bytes: Bytes,
}

/// How many requests a server takes at once on a connection; 1 until it says that it takes more. Shared by its connections.
pub type Concurrency = Rc<Cell<usize>>;

/// A connection as its backend's actor sees it.
pub struct ServerConnection {
    backend: SocketAddr,
    counters: Rc<Counters>,
    pending: RefCell<BTreeMap<RequestId, PendingRequest>>,
    outgoing: RefCell<VecDeque<Outgoing>>,
    wake: Notify,
    is_open: Cell<bool>,
    is_closing: Cell<bool>,
    next_id: Cell<u16>,
    concurrency: Concurrency,
    client: RefCell<ClientSide>,
}

impl ServerConnection {
    /// Takes a connection that is up. `ask_values`: nothing is known yet of what this server can do.
    pub fn open(
        stream: TcpStream,
        backend: SocketAddr,
        counters: Rc<Counters>,
        concurrency: Concurrency,
        ask_values: bool,
    ) -> Rc<ServerConnection> {
        // Slower without it, and right all the same.
        let _ = stream.set_nodelay(true);
        counters.backend_connections.set(counters.backend_connections.get() + 1);
        counters.add("links_opened");
        let limits = ClientLimits { stdout: SMALL_BODY_BYTES + MAX_HEAD_BYTES, stderr: MAX_STDERR_BYTES };
        let connection = Rc::new(ServerConnection {
            backend,
            counters,
            pending: RefCell::default(),
            outgoing: RefCell::default(),
            wake: Notify::new(),
            is_open: Cell::new(true),
            is_closing: Cell::new(false),
            next_id: Cell::new(1),
            concurrency,
            client: RefCell::new(ClientSide::new(limits)),
        });
        if ask_values {
            connection.enqueue(None, encode_get_values());
        }
        actix_rt::spawn(connection.clone().run(stream));
        connection
    }

    fn enqueue(&self, request: Option<RequestId>, bytes: Bytes) {
        self.outgoing.borrow_mut().push_back(Outgoing { request, bytes });
        self.wake.notify_one();
    }

    /// How many requests are out.
    pub fn in_flight(&self) -> usize {
        self.pending.borrow().len()
    }

    /// Whether one more request may go on it.
    pub fn has_room(&self) -> bool {
        self.is_open.get() && !self.is_closing.get() && self.in_flight() < self.concurrency.get().max(1)
    }

    /// Whether it has not ended.
    pub fn is_open(&self) -> bool {
        self.is_open.get()
    }

    /// Ends once nothing is out.
    pub fn close(&self) {
        self.is_closing.set(true);
        self.wake.notify_one();
    }

    /// Sends a request; its id is assigned here.
    pub fn send(
        &self,
        encode: impl FnOnce(RequestId) -> EncodedRequest,
    ) -> (RequestId, oneshot::Receiver<ServerReply>) {
        let id = self.assign_id();
        let (reply, received) = oneshot::channel();
        let EncodedRequest { bytes, begins_at } = encode(id);
        let pending =
            PendingRequest { reply: Some(reply), begins_at, written: 0, arrival: AnswerArrival::default() };
        self.pending.borrow_mut().insert(id, pending);
        self.client.borrow_mut().expect_answer(id);
        self.enqueue(Some(id), bytes);
        (id, received)
    }

    fn assign_id(&self) -> RequestId {
        let pending = self.pending.borrow();
        let mut id = self.next_id.get().max(1);
        while pending.contains_key(&RequestId(id)) {
            id = id.wrapping_add(1).max(1);
        }
        self.next_id.set(id.wrapping_add(1));
        RequestId(id)
    }

    /// Nobody waits for this one any more. True where a server may have begun it. Alone on its connection it takes that with it; beside others it is
    /// aborted, and its id is free when its end comes.
    pub fn give_up(&self, id: RequestId) -> bool {
        let mut pending = self.pending.borrow_mut();
        let is_alone = pending.len() == 1;
        let Some(request) = pending.get_mut(&id) else { return true };
        let (may_have_begun, is_unwritten) = (request.may_have_begun(), request.written == 0);
        request.reply = None;
        if is_alone {
            drop(pending);
            self.is_open.set(false);
            self.wake.notify_one();
            return may_have_begun;
        }
        if is_unwritten && self.withdraw(id) {
            drop(pending.remove(&id));
        } else {
            self.enqueue(None, encode_abort(id));
        }
        may_have_begun
    }

    /// Takes a request back of which not a byte went out: it never was. False where it may be going out.
    fn withdraw(&self, id: RequestId) -> bool {
        let mut outgoing = self.outgoing.borrow_mut();
        let is_own = |outgoing: &Outgoing| outgoing.request == Some(id);
        let may_withdraw = outgoing.iter().any(is_own) && !outgoing.front().is_some_and(is_own);
        if may_withdraw {
            outgoing.retain(|outgoing| !is_own(outgoing));
        }
        may_withdraw
    }

    /// What has come of its answer.
    pub fn arrival(&self, id: RequestId) -> AnswerArrival {
        self.pending.borrow().get(&id).map_or_else(AnswerArrival::default, |request| request.arrival)
    }

    /// Bytes came. A record may hold 64 KiB and come slowly: until it is complete its bytes count for every answer that has begun.
    fn note_arrivals(&self) {
        let (now, client) = (Instant::now(), self.client.borrow());
        for (&id, request) in self.pending.borrow_mut().iter_mut() {
            let more = client.received(id).saturating_sub(request.arrival.bytes());
            if more > 0 || client.has_partial_record() {
                request.arrival.on_bytes(more, now);
            }
        }
    }

    /// Whether the server can have begun this one by now.
    pub fn may_have_begun(&self, id: RequestId) -> bool {
        self.pending.borrow().get(&id).is_none_or(PendingRequest::may_have_begun)
    }

    fn on_event(&self, event: Event) {
        match event {
            Event::Answered(answer) => {
                if answer.status == ProtocolStatus::CantMultiplex {
                    self.concurrency.set(1);
                }
                let request = self.pending.borrow_mut().remove(&answer.id);
                if let Some(reply) = request.and_then(|request| request.reply) {
                    // Whoever waited may have gone.
                    let _ = reply.send(ServerReply::Answer(answer));
                }
            }
            Event::Values(values) => {
                if integer_value(&values, "FCGI_MPXS_CONNS") == Some(1) {
                    let requests = integer_value(&values, "FCGI_MAX_REQS").unwrap_or(1);
                    self.concurrency.set(requests.clamp(1, MAX_REQUESTS));
                }
            }
            Event::Begun(_) | Event::UnknownType(_) => {}
        }
    }

    /// The end: each request that is still out hears what may have become of it.
    fn on_end(&self, end: &ConnectionEnd) {
        self.is_open.set(false);
        let open = &self.counters.backend_connections;
        open.set(open.get().saturating_sub(1));
        self.counters.add("links_ended");
        log::info!("link to {} ended: {}{}", self.backend, end.code, end.detail);
        for (_, request) in std::mem::take(&mut *self.pending.borrow_mut()) {
            // Before the last byte of its params was written no server can have begun.
            let outcome = if request.may_have_begun() {
                AttemptOutcome::ConnectionLost
            } else {
                AttemptOutcome::ConnectFailed
            };
            if let Some(reply) = request.reply {
                // Whoever waited may have gone.
                let _ = reply.send(ServerReply::ConnectionEnded(outcome));
            }
        }
    }

    async fn run(self: Rc<Self>, stream: TcpStream) {
        let end = self.exchange(stream).await;
        self.on_end(&end);
    }

    /// Reads and writes until the connection ends.
    async fn exchange(&self, mut stream: TcpStream) -> ConnectionEnd {
        let (mut reader, mut writer) = stream.split();
        let mut received = BytesMut::with_capacity(READ_BYTES);
        loop {
            if !self.is_open.get() {
                return ConnectionEnd::new(reason::GIVEN_UP);
            }
            if self.is_closing.get() && self.in_flight() == 0 {
                return ConnectionEnd::new(reason::IDLE);
            }
            // Bytes are taken from the front, and those that the system did not take are put back before anything else.
            let bytes = self.outgoing.borrow().front().map(|outgoing| outgoing.bytes.clone());
            tokio::select! {
                read = reader.read_buf(&mut received) => match read {
                    Ok(0) => return ConnectionEnd::new(reason::CLOSED),
                    Err(error) => return ConnectionEnd::with_error(reason::RESET, &error),
                    Ok(_) => {
                        let mut events = Vec::new();
                        let taken = self.client.borrow_mut().receive(&received.split(), &mut events);
                        events.into_iter().for_each(|event| self.on_event(event));
                        self.note_arrivals();
                        if let Err(error) = taken {
                            return ConnectionEnd::with_error(reason::NO_FASTCGI, &error);
                        }
                    }
                },
                written = write(&mut writer, bytes.as_ref()), if bytes.is_some() => match written {
                    Ok(0) => return ConnectionEnd::new(reason::CLOSED),
                    Err(error) => return ConnectionEnd::with_error(reason::RESET, &error),
                    Ok(count) => self.on_written(count),
                },
                () = self.wake.notified() => {}
            }
        }
    }

    fn on_written(&self, count: usize) {
        let mut outgoing = self.outgoing.borrow_mut();
        let Some(first) = outgoing.front_mut() else { return };
        if let Some(id) = first.request
            && let Some(request) = self.pending.borrow_mut().get_mut(&id)
        {
            request.written += count;
        }
        first.bytes.advance(count.min(first.bytes.len()));
        if first.bytes.is_empty() {
            outgoing.pop_front();
        }
    }
}

/// Why a connection ended, for the log.
struct ConnectionEnd {
    code: &'static str,
    detail: String,
}

impl ConnectionEnd {
    fn new(code: &'static str) -> ConnectionEnd {
        ConnectionEnd { code, detail: String::new() }
    }

    fn with_error(code: &'static str, error: &impl std::fmt::Display) -> ConnectionEnd {
        ConnectionEnd { code, detail: format!(" ({error})") }
    }
}

async fn write(writer: &mut (impl AsyncWriteExt + Unpin), bytes: Option<&Bytes>) -> io::Result<usize> {
    match bytes {
        Some(bytes) => writer.write(bytes).await,
        None => std::future::pending().await,
    }
}

/// A value that a server states of itself, as a number.
fn integer_value(values: &[Pair], name: &str) -> Option<usize> {
    let value = values.iter().find(|pair| pair.name == name.as_bytes())?;
    std::str::from_utf8(&value.value).ok()?.trim().parse().ok()
}
