//! One connection to another proxy, and what comes back over it. `peer_connections` carries them.
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use notchspool::units::Micros;
use notchspool_mesh_protocol::{
    BodyChunk, BodyConsumed, Cancel, Hello, MIN_HEADERS, Payload, Ping, Response, Verdict,
};
use notchspool_runtime::frame_connection::FrameSender;
use tokio::sync::{oneshot, watch};

use crate::body_budget::BodyReservation;
use crate::body_pipe::{BodyEnd, BodyPipe};
use crate::context::within;
use crate::peer_exchange::{ExchangeId, OutgoingAction, OutgoingEvent, OutgoingExchanges};
use crate::request_body::Upload;

/// A response, and the rest of it where it is streamed. Where it is dropped before the rest has come, the rest is given up.
pub struct PeerResponse {
    /// What became of the request.
    pub response: Response,
    /// The rest of the body.
    pub rest: Option<BodyPipe>,
    /// Tells the sender of the rest how many bytes were passed on.
    pub on_consumed: Box<dyn Fn(usize)>,
    /// The memory that a large body takes which is here whole.
    pub memory: BodyReservation,
}

impl From<Response> for PeerResponse {
    fn from(response: Response) -> PeerResponse {
        let on_consumed = Box::new(|_| ());
        PeerResponse { response, rest: None, on_consumed, memory: BodyReservation::default() }
    }
}

/// A response with this verdict, and nothing in it but the reason.
pub fn without_answer(id: ExchangeId, verdict: Verdict, reason: &str) -> Response {
    Response { id, verdict: verdict.into(), reason: reason.to_string(), ..Response::default() }
}

type Waiting = oneshot::Sender<PeerResponse>;

/// A connection that this proxy opened.
pub struct PeerLink {
    /// Its sending end.
    pub sender: FrameSender,
    exchanges: RefCell<OutgoingExchanges<Waiting, BodyPipe>>,
    /// Bodies that the other side asks for.
    uploads: RefCell<HashMap<ExchangeId, Upload>>,
    /// What the other side can do; `None` until it has said what it is.
    features: watch::Sender<Option<PeerFeatures>>,
}

/// What a proxy can do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerFeatures {
    /// It asks for large bodies of requests.
    pub asks_for_bodies: bool,
    /// Headers of one request that it takes at most.
    pub max_headers: usize,
}

impl PeerFeatures {
    /// What every build can do.
    pub const LEAST: PeerFeatures = PeerFeatures { asks_for_bodies: false, max_headers: MIN_HEADERS };

    fn of(hello: &Hello) -> PeerFeatures {
        let max_headers = (hello.max_headers as usize).max(MIN_HEADERS);
        PeerFeatures { asks_for_bodies: hello.asks_for_bodies, max_headers }
    }
}

/// Ends the sending of a body: its request is answered, or nobody waits for that any more.
pub struct UploadGuard {
    link: Rc<PeerLink>,
    id: ExchangeId,
}

impl Drop for UploadGuard {
    fn drop(&mut self) {
        self.link.uploads.borrow_mut().remove(&self.id);
    }
}

/// Abandons an exchange where its wait, or the rest of its response, is dropped: the other side is told.
pub struct ExchangeGuard {
    link: Rc<PeerLink>,
    id: ExchangeId,
    is_armed: Cell<bool>,
}

impl ExchangeGuard {
    fn new(link: &Rc<PeerLink>, id: ExchangeId) -> ExchangeGuard {
        ExchangeGuard { link: link.clone(), id, is_armed: Cell::new(true) }
    }

    /// It has its response: the rest of one is given up by its reader.
    pub fn disarm(&self) {
        self.is_armed.set(false);
    }
}

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        if self.is_armed.get() {
            // The time matters only for what is heard.
            self.link.apply(Micros(0), OutgoingEvent::Abandon(self.id));
        }
    }
}

/// Why a connection was ended by this side.
pub type AbortReason = &'static str;

impl PeerLink {
    /// A connection that is being opened.
    pub fn new(now: Micros) -> Rc<PeerLink> {
        let exchanges = RefCell::new(OutgoingExchanges::new(now));
        Rc::new(PeerLink {
            sender: FrameSender::default(),
            exchanges,
            uploads: RefCell::default(),
            features: watch::Sender::new(None),
        })
    }

    /// The other side says what it is.
    pub fn on_hello(&self, hello: &Hello) {
        self.features.send_replace(Some(PeerFeatures::of(hello)));
    }

    /// What the other side can do. Builds that say nothing of it are waited for no longer than `time`.
    pub async fn features(&self, time: Micros) -> PeerFeatures {
        let mut announcements = self.features.subscribe();
        let announced = within(time, announcements.wait_for(Option::is_some)).await;
        announced.and_then(Result::ok).and_then(|announced| *announced).unwrap_or(PeerFeatures::LEAST)
    }

    /// Sends this body for a request as the other side asks for it, until the guard is dropped.
    pub fn add_upload(self: &Rc<PeerLink>, id: ExchangeId, upload: Upload) -> UploadGuard {
        self.uploads.borrow_mut().insert(id, upload);
        UploadGuard { link: self.clone(), id }
    }

    /// The other side asks for bytes of a body. What is not sent any more is asked for in vain.
    pub fn on_body_requested(&self, requested: &BodyConsumed) {
        let BodyConsumed { id, bytes } = *requested;
        let chunks = self.uploads.borrow_mut().get_mut(&id).map(|upload| upload.on_requested(bytes));
        for (bytes, last) in chunks.into_iter().flatten() {
            self.sender.send(Payload::BodyChunk(BodyChunk { id, bytes, last, truncated: false }));
        }
    }

    /// Whether new requests may go on it.
    pub fn accepts_requests(&self) -> bool {
        self.sender.is_open() && self.exchanges.borrow().accepts_requests()
    }

    /// How many requests on it have no complete response yet.
    pub fn open_count(&self) -> usize {
        self.exchanges.borrow().open_count()
    }

    /// Something happened to it; what that asks for is done. Why the connection was ended for it, if so.
    pub fn apply(&self, now: Micros, event: OutgoingEvent<Waiting, BodyPipe>) -> Option<AbortReason> {
        let id = match &event {
            OutgoingEvent::Request(id, _) | OutgoingEvent::Response(id, _) | OutgoingEvent::Abandon(id) => {
                *id
            }
            _ => 0,
        };
        let action = self.exchanges.borrow_mut().apply(now, event);
        match action {
            OutgoingAction::Cancel => {
                self.sender.send(Payload::Cancel(Cancel { id }));
            }
            OutgoingAction::NotRun(reason, waiting) => {
                // Whoever waited may have given up.
                let _ = waiting.send(without_answer(id, Verdict::NotRun, reason).into());
            }
            OutgoingAction::Ping(number) => {
                self.sender.send(Payload::Ping(Ping { number }));
            }
            OutgoingAction::Finish => self.sender.finish(),
            OutgoingAction::Abort(reason) => return Some(self.abort(reason)),
            OutgoingAction::Closed { verdict, waiting, streams } => {
                for (id, waiting) in waiting {
                    let _ = waiting.send(without_answer(id, verdict, "the link ended").into());
                }
                streams.iter().for_each(|pipe| pipe.finish(BodyEnd::Truncated));
            }
            OutgoingAction::Nothing
            | OutgoingAction::Send
            | OutgoingAction::Deliver(_)
            | OutgoingAction::Forward(_) => {}
        }
        None
    }

    fn abort(&self, reason: AbortReason) -> AbortReason {
        self.sender.abort();
        reason
    }

    /// Sends a request on it. What is to be waited for, and what abandons it where it is dropped.
    pub fn request(
        self: &Rc<PeerLink>,
        now: Micros,
        id: ExchangeId,
        payload: Payload,
    ) -> (oneshot::Receiver<PeerResponse>, ExchangeGuard) {
        let (waiting, response) = oneshot::channel();
        let action = self.exchanges.borrow_mut().apply(now, OutgoingEvent::Request(id, waiting));
        if let OutgoingAction::NotRun(reason, waiting) = action {
            let _ = waiting.send(without_answer(id, Verdict::NotRun, reason).into());
        } else if !self.sender.send(payload) {
            self.apply(now, OutgoingEvent::Unsent(id));
        }
        (response, ExchangeGuard::new(self, id))
    }

    /// A response came, of which more may follow. Why the connection was ended for it, if so.
    pub fn on_response(self: &Rc<PeerLink>, now: Micros, response: Response) -> Option<AbortReason> {
        let id = response.id;
        let mut response = PeerResponse::from(response);
        response.rest = response.response.more.then(BodyPipe::default);
        let event = OutgoingEvent::Response(id, response.rest.clone());
        let action = self.exchanges.borrow_mut().apply(now, event);
        match action {
            OutgoingAction::Deliver(waiting) => {
                if response.rest.is_some() {
                    let guard = ExchangeGuard::new(self, id);
                    response.on_consumed = Box::new(move |bytes| {
                        let consumed = BodyConsumed { id, bytes: bytes as u64 };
                        guard.link.sender.send(Payload::BodyConsumed(consumed));
                    });
                }
                // Whoever waited may have given up; then the rest is given up by this.
                let _ = waiting.send(response);
                None
            }
            OutgoingAction::Abort(reason) => Some(self.abort(reason)),
            _ => None,
        }
    }

    /// A part of a streamed response came. Why the connection was ended for it, if so.
    pub fn on_body_chunk(&self, now: Micros, chunk: BodyChunk) -> Option<AbortReason> {
        let event = OutgoingEvent::BodyChunk { id: chunk.id, last: chunk.last };
        let action = self.exchanges.borrow_mut().apply(now, event);
        match action {
            OutgoingAction::Forward(pipe) => {
                pipe.write(chunk.bytes);
                if chunk.last {
                    let end = if chunk.truncated { BodyEnd::Truncated } else { BodyEnd::Complete };
                    pipe.finish(end);
                }
                None
            }
            OutgoingAction::Abort(reason) => Some(self.abort(reason)),
            _ => None,
        }
    }
}
