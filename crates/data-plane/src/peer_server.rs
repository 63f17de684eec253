//! The other end of a connection that another proxy opened: its requests for the backend here, and their responses.
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use notchspool::units::Micros;
use notchspool_mesh_protocol::{
    BodyChunk, BodyConsumed, CallerShutdown, Payload, Request, Response, Verdict,
};
use notchspool_runtime::frame_connection::{self, FrameSender};
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};
use tokio::task::AbortHandle;

use crate::body_pipe::{BodyEnd, BodyPipe, CHUNK_BYTES};
use crate::context::Context;
use crate::inbound::Inbound;
use crate::link_load::UnsentBytes;
use crate::peer_exchange::{ExchangeId, IncomingAction, IncomingEvent, IncomingExchanges};
use crate::peer_link::{PeerResponse, without_answer};
use crate::request_body::{BodySource, RemoteBody, WINDOW_BYTES};
use crate::response_cutoff::{AnswerBy, ResponseCutoff};
use crate::response_parts;
use crate::stall_detector;

/// Bytes of a streamed response that may be on their way: what the link carries in this time, within bounds.
const WINDOW_SECONDS: f64 = 0.05;
const MIN_WINDOW_BYTES: usize = 32 << 10;
const MAX_WINDOW_BYTES: usize = 256 << 10;
/// Bytes of a request's body that stand here at most: what was asked for and not read yet.
const MAX_UNREAD_BYTES: usize = 2 * WINDOW_BYTES as usize;

/// Flow control of a streamed response: how much of it was sent and not taken yet.
#[derive(Default)]
struct FlowControl {
    outstanding_bytes: Cell<usize>,
    consumed: Notify,
}

/// One connection that another proxy opened.
pub struct PeerServer {
    context: Rc<Context>,
    inbound: Rc<Inbound>,
    sender: FrameSender,
    exchanges: RefCell<IncomingExchanges<AbortHandle>>,
    streams: RefCell<HashMap<ExchangeId, Rc<FlowControl>>>,
    /// Bodies of requests that come as they are asked for.
    bodies: RefCell<HashMap<ExchangeId, BodyPipe>>,
    /// The end of the proxy that opened the connection, once it is known.
    answer_by: watch::Sender<AnswerBy>,
}

impl PeerServer {
    /// Serves requests with `inbound`.
    pub fn new(context: Rc<Context>, inbound: Rc<Inbound>) -> Rc<PeerServer> {
        Rc::new(PeerServer {
            context,
            inbound,
            sender: FrameSender::default(),
            exchanges: RefCell::default(),
            streams: RefCell::default(),
            bodies: RefCell::default(),
            answer_by: watch::Sender::new(None),
        })
    }

    /// Its sending end.
    pub fn sender(&self) -> &FrameSender {
        &self.sender
    }

    /// Carries the connection until it ends; work that is open then is ended with it.
    pub async fn carry(self: Rc<PeerServer>, stream: TcpStream) {
        frame_connection::configure_socket(&stream);
        self.sender.send(Payload::Hello(self.context.hello()));
        let _carried = CarriedConnection(self.clone());
        let on_message = |payload| self.on_message(payload);
        let reason = frame_connection::run(stream, self.sender.clone(), None, on_message).await;
        log::debug!(target: "peers", "a connection from outside ends: {reason}");
    }

    fn on_closed(&self) {
        // Work on a key goes on, and must not wait for the rest of its body.
        self.bodies.take().into_values().for_each(|pipe| pipe.finish(BodyEnd::Truncated));
        let action = self.exchanges.borrow_mut().apply(IncomingEvent::Closed);
        if let IncomingAction::AbortAll(handles) = action {
            handles.iter().for_each(AbortHandle::abort);
        }
    }

    fn on_message(self: &Rc<PeerServer>, payload: Payload) {
        match payload {
            Payload::Request(request) => self.on_request(request),
            Payload::Cancel(cancel) => self.on_cancel(cancel.id),
            Payload::BodyConsumed(consumed) => self.on_body_consumed(&consumed),
            Payload::BodyChunk(chunk) => self.on_body_chunk(chunk),
            Payload::CallerShutdown(shutdown) => self.on_caller_shutdown(shutdown),
            Payload::FetchResponse(fetch) => {
                let response = self.inbound.held_response(fetch.id, &fetch.key, fetch.holder_boot_id);
                self.sender.send(Payload::Response(response));
            }
            Payload::Ping(ping) => {
                self.sender.send(Payload::Pong(ping));
            }
            Payload::Hello(_) => {}
            _ => self.context.count("messages_unknown"),
        }
    }

    fn on_request(self: &Rc<PeerServer>, request: Request) {
        let id = request.id;
        let request = stall_detector::aged(request, self.context.observe_running());
        let action = self.exchanges.borrow_mut().apply(IncomingEvent::Request(id));
        match action {
            IncomingAction::Start => {
                let task = tokio::task::spawn_local(self.clone().serve(request));
                let started = IncomingEvent::Started(id, task.abort_handle());
                self.exchanges.borrow_mut().apply(started);
            }
            IncomingAction::Reject => {
                let response = without_answer(id, Verdict::NotRun, "too many requests on the link");
                self.sender.send(Payload::Response(response));
            }
            _ => {
                self.context.count("links_astray");
                self.sender.abort();
            }
        }
    }

    async fn serve(self: Rc<PeerServer>, request: Request) {
        let id = request.id;
        let mut exchange = OpenExchange { server: self.clone(), id, progress: Progress::Unanswered };
        let body = self.body_of(&request);
        let kind = request.latency_target_ms;
        let cutoff = ResponseCutoff::new(self.answer_by.subscribe());
        let served = self.inbound.clone().serve(request, body, cutoff).await;
        self.bodies.borrow_mut().remove(&id);
        // The memory of a large body is taken until it has been sent.
        let PeerResponse { response, rest, memory: _memory, .. } = response_parts::in_parts(served);
        let length = Some(response.length as usize).filter(|length| *length > 0);
        let first_bytes = response.body.len();
        self.sender.send(Payload::Response(Response { id, ..response }));
        exchange.progress = Progress::Answered;
        if let Some(pipe) = rest {
            exchange.progress = Progress::Streaming;
            // These went at once, before others that wait for the link; what follows waits for them, too.
            self.inbound.link_load().pace(self.context.now(), first_bytes);
            let flow_control = Rc::new(FlowControl::default());
            self.streams.borrow_mut().insert(id, flow_control.clone());
            let unsent = self.inbound.link_load().add(length, kind);
            self.stream_body(id, &pipe, &flow_control, &unsent).await;
            drop(unsent);
            exchange.progress = Progress::Answered;
        }
    }

    /// The body that came with a request, or that is to be asked for.
    fn body_of(&self, request: &Request) -> BodySource {
        if !request.remote_body {
            return BodySource::inline(request.body.clone());
        }
        let (id, pipe, sender) = (request.id, BodyPipe::default(), self.sender.clone());
        self.bodies.borrow_mut().insert(id, pipe.clone());
        let ask = move |bytes| {
            sender.send(Payload::BodyConsumed(BodyConsumed { id, bytes }));
        };
        BodySource::Remote(RemoteBody::new(request.body_length, pipe, Box::new(ask)))
    }

    /// Part of a body that was asked for. What comes for a request that is done is nobody's.
    fn on_body_chunk(&self, chunk: BodyChunk) {
        let bodies = self.bodies.borrow();
        let Some(pipe) = bodies.get(&chunk.id) else { return };
        if pipe.len() + chunk.bytes.len() > MAX_UNREAD_BYTES {
            // More than was ever asked for.
            self.context.count("bodies_astray");
            return pipe.finish(BodyEnd::Truncated);
        }
        pipe.write(chunk.bytes);
        if chunk.last {
            pipe.finish(if chunk.truncated { BodyEnd::Truncated } else { BodyEnd::Complete });
        }
    }

    /// The proxy that opened the connection ends: what waits here is told when its response would come too late.
    fn on_caller_shutdown(&self, shutdown: CallerShutdown) {
        let age = self.context.observe_running();
        let time_left = Micros::ms(i64::from(shutdown.time_left_ms)) - age;
        self.answer_by.send_replace(Some(self.context.now() + time_left));
    }

    fn on_cancel(&self, id: ExchangeId) {
        if let Some(pipe) = self.bodies.borrow_mut().remove(&id) {
            pipe.finish(BodyEnd::Truncated);
        }
        self.streams.borrow_mut().remove(&id);
        let action = self.exchanges.borrow_mut().apply(IncomingEvent::Cancel(id));
        if let IncomingAction::Abort(task) = action {
            task.abort();
        }
    }

    fn on_body_consumed(&self, consumed: &BodyConsumed) {
        if let Some(flow_control) = self.streams.borrow().get(&consumed.id) {
            let outstanding = flow_control.outstanding_bytes.get().saturating_sub(consumed.bytes as usize);
            flow_control.outstanding_bytes.set(outstanding);
            flow_control.consumed.notify_one();
        }
    }

    fn window_bytes(&self) -> usize {
        let bytes = self.context.link_bytes_per_second() * WINDOW_SECONDS;
        (bytes as usize).clamp(MIN_WINDOW_BYTES, MAX_WINDOW_BYTES)
    }

    /// Sends a body chunk by chunk, as fast as the other side passes it on.
    async fn stream_body(
        &self,
        id: ExchangeId,
        pipe: &BodyPipe,
        flow_control: &FlowControl,
        unsent: &UnsentBytes,
    ) {
        let window_bytes = self.window_bytes();
        let _guard = AbandonOnDrop(pipe);
        loop {
            while flow_control.outstanding_bytes.get() >= window_bytes {
                flow_control.consumed.notified().await;
            }
            // Small responses go between the chunks.
            if !self.sender.wait_until_below(CHUNK_BYTES).await {
                return;
            }
            let chunk = match pipe.next().await {
                Ok(bytes) => BodyChunk { id, bytes, ..BodyChunk::default() },
                Err(end) => {
                    let truncated = end == BodyEnd::Truncated;
                    BodyChunk { id, last: true, truncated, ..BodyChunk::default() }
                }
            };
            let bytes = chunk.bytes.len();
            let wait = self.inbound.link_load().pace(self.context.now(), bytes);
            if wait > Micros(0) {
                tokio::time::sleep(Duration::from_micros(wait.0 as u64)).await;
            }
            flow_control.outstanding_bytes.set(flow_control.outstanding_bytes.get() + bytes);
            unsent.on_sent(bytes);
            let last = chunk.last;
            if !self.sender.send(Payload::BodyChunk(chunk)) || last {
                return;
            }
        }
    }
}

/// A connection while it is carried. Whatever ends its task, the work for it ends.
struct CarriedConnection(Rc<PeerServer>);

impl Drop for CarriedConnection {
    fn drop(&mut self) {
        self.0.on_closed();
    }
}

/// How far the response to a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Unanswered,
    Streaming,
    Answered,
}

/// A request at work. Whatever ends its task, a panic too, the other side hears of it, unless it waits no more.
struct OpenExchange {
    server: Rc<PeerServer>,
    id: ExchangeId,
    progress: Progress,
}

impl Drop for OpenExchange {
    fn drop(&mut self) {
        let OpenExchange { server, id, progress } = self;
        server.bodies.borrow_mut().remove(id);
        server.streams.borrow_mut().remove(id);
        if !server.exchanges.borrow().is_open(*id) {
            return;
        }
        match progress {
            Progress::Unanswered => {
                server.context.count("tasks_broke_off");
                let response = without_answer(*id, Verdict::MayHaveRun, "the task of its run ended");
                server.sender.send(Payload::Response(response));
            }
            Progress::Streaming => {
                let end = BodyChunk { id: *id, last: true, truncated: true, ..BodyChunk::default() };
                server.sender.send(Payload::BodyChunk(end));
            }
            Progress::Answered => {}
        }
        server.exchanges.borrow_mut().apply(IncomingEvent::Finished(*id));
    }
}

/// Where the sending is given up, the writer of the pipe stops.
struct AbandonOnDrop<'a>(&'a BodyPipe);

impl Drop for AbandonOnDrop<'_> {
    fn drop(&mut self) {
        self.0.abandon();
    }
}
