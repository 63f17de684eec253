//! Connections to other proxies: one each way a pair, many requests at once. What was sent and not answered when a connection ends may have
//! run; what never left has not.
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use notchspool::units::Micros;
use notchspool_mesh_protocol::{
    CallerShutdown, FetchResponse, GoAway, MIN_HEADERS, Payload, Request, Response, Verdict,
};
use notchspool_runtime::frame_connection::{self, FrameSender};
use tokio::net::TcpStream;

use crate::context::Context;
use crate::inbound::Inbound;
use crate::peer_exchange::{ExchangeId, MAX_SILENCE, OutgoingEvent};
use crate::peer_link::{PeerFeatures, PeerLink, PeerResponse, without_answer};
use crate::peer_server::PeerServer;
use crate::request_body::{RequestBody, Upload};
use crate::response_cutoff::{AnswerBy, ResponseCutoff};

/// A machine that does not take a connection by then is not there.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// A connection on which something is open is given up after this silence.
const SILENCE_TIMEOUT: Micros = Micros::ms(500);
/// On thin links responses wait behind others: so many milliseconds more for a speed of 1 Mbit/s, less for faster ones, but no more than
/// the longest silence.
const THIN_LINK_MS: f64 = 20_000.0;
/// A build that asks for bodies says so as soon as the connection is there.
const HELLO_TIMEOUT: Micros = Micros::ms(400);
/// Connections at most, each way.
const MAX_CONNECTIONS: usize = 1_000;

/// All connections to other proxies.
pub struct PeerConnections {
    context: Rc<Context>,
    inbound: Rc<Inbound>,
    /// Connections that were opened here and take new requests, by address.
    links: RefCell<BTreeMap<String, Rc<PeerLink>>>,
    /// All that were opened here: also those that take nothing new and have requests open.
    carried: RefCell<Vec<Rc<PeerLink>>>,
    /// Those that others opened here.
    accepted: RefCell<Vec<FrameSender>>,
    /// This proxy ends: others are told to send nothing more.
    is_going_away: Cell<bool>,
    /// Once this proxy ends: what others send later can't be passed on.
    answer_by: Cell<AnswerBy>,
}

impl PeerConnections {
    /// No connection is open yet. `inbound` serves requests for the backend here.
    pub fn new(context: Rc<Context>, inbound: Rc<Inbound>) -> PeerConnections {
        PeerConnections {
            context,
            inbound,
            links: RefCell::default(),
            carried: RefCell::default(),
            accepted: RefCell::default(),
            is_going_away: Cell::new(false),
            answer_by: Cell::new(None),
        }
    }

    /// How many connections others have open here.
    pub fn accepted(&self) -> usize {
        self.accepted.borrow().len()
    }

    /// This proxy ends: others are told to send nothing more, and to close their connections once all is answered.
    pub fn go_away(&self) {
        self.is_going_away.set(true);
        for sender in self.accepted.borrow().iter() {
            sender.send(Payload::GoAway(GoAway {}));
        }
    }

    /// This proxy ends: those to whom it has sent requests are told until when responses can be passed on.
    pub fn announce_end(&self, answer_by: Micros) {
        self.answer_by.set(Some(answer_by));
        self.carried.borrow().iter().for_each(|link| self.tell_end(link));
    }

    fn tell_end(&self, link: &PeerLink) {
        let Some(answer_by) = self.answer_by.get() else { return };
        let time_left_ms = ((answer_by - self.context.now()).0 / 1_000).max(0) as u32;
        link.sender.send(Payload::CallerShutdown(CallerShutdown { time_left_ms }));
    }

    /// Sends a request to the proxy beside a backend. Dropped, it is taken back there where that can still be done.
    pub async fn send(
        self: &Rc<PeerConnections>,
        proxy: &str,
        mut request: Request,
        body: &RequestBody,
    ) -> PeerResponse {
        if proxy == self.context.address {
            request.remote_body = true;
            request.body_length = body.len() as u64;
            return self.inbound.clone().serve(request, body.reader(), ResponseCutoff::none()).await;
        }
        let Some(link) = self.link(proxy) else {
            return without_answer(request.id, Verdict::NotRun, "no link").into();
        };
        let is_plain = body.is_inline() && request.headers.len() <= MIN_HEADERS;
        let features = if is_plain { PeerFeatures::LEAST } else { link.features(HELLO_TIMEOUT).await };
        if request.headers.len() > features.max_headers {
            return without_answer(request.id, Verdict::NotRun, "more headers than an earlier build takes")
                .into();
        }
        if body.is_inline() || !features.asks_for_bodies {
            request.body = body.to_bytes();
        } else {
            request.remote_body = true;
            request.body_length = body.len() as u64;
        }
        // Numbers on a connection rise, and it may have waited.
        request.id = self.context.next_id();
        let upload = request.remote_body.then(|| body.upload());
        self.exchange_on(&link, request.id, Payload::Request(request), upload).await
    }

    /// The response to a key that another proxy holds, in that run of it.
    pub async fn fetch_response(
        self: &Rc<PeerConnections>,
        holder: &str,
        key: &str,
        holder_boot_id: u64,
    ) -> Response {
        let id = self.context.next_id();
        if holder == self.context.address {
            return self.inbound.held_response(id, key, holder_boot_id);
        }
        let fetch = FetchResponse { id, key: key.to_string(), holder_boot_id };
        match self.link(holder) {
            Some(link) => self.exchange_on(&link, id, Payload::FetchResponse(fetch), None).await.response,
            None => without_answer(id, Verdict::NotRun, "no link"),
        }
    }

    async fn exchange_on(
        &self,
        link: &Rc<PeerLink>,
        id: ExchangeId,
        payload: Payload,
        upload: Option<Upload>,
    ) -> PeerResponse {
        let _sending = upload.map(|upload| link.add_upload(id, upload));
        let (response, guard) = link.request(self.context.now(), id, payload);
        let response = response
            .await
            .unwrap_or_else(|_| without_answer(id, Verdict::MayHaveRun, "the link ended").into());
        // A response of which more follows is given up by its reader.
        guard.disarm();
        response
    }

    /// The connection to this address, which is opened where there is none.
    fn link(self: &Rc<PeerConnections>, address: &str) -> Option<Rc<PeerLink>> {
        if let Some(link) = self.links.borrow().get(address).filter(|link| link.accepts_requests()) {
            return Some(link.clone());
        }
        if self.carried.borrow().len() >= MAX_CONNECTIONS {
            return None;
        }
        let to: SocketAddr = address.parse().ok()?;
        let link = PeerLink::new(self.context.now());
        link.sender.send(Payload::Hello(self.context.hello()));
        self.tell_end(&link);
        self.links.borrow_mut().insert(address.to_string(), link.clone());
        self.carried.borrow_mut().push(link.clone());
        tokio::task::spawn_local(self.clone().carry_outgoing(link.clone(), to, address.to_string()));
        Some(link)
    }

    async fn carry_outgoing(self: Rc<PeerConnections>, link: Rc<PeerLink>, to: SocketAddr, address: String) {
        let carried = CarriedLink { peers: self.clone(), link: link.clone(), address };
        let end = match frame_connection::connect(to, CONNECT_TIMEOUT).await {
            Ok(stream) => {
                link.apply(self.context.now(), OutgoingEvent::Connected);
                let on_message = |payload| self.on_message(&link, payload);
                let run = frame_connection::run(stream, link.sender.clone(), None, on_message);
                run.await.to_string()
            }
            Err(e) => {
                link.sender.abort();
                e.to_string()
            }
        };
        let (open, address) = (link.open_count(), &carried.address);
        if open > 0 && self.context.event_log.may_write() {
            log::info!(target: "peers", "lose {address} with {open} requests open: {end}");
        } else {
            log::debug!(target: "peers", "lose {address}: {end}");
        }
    }

    fn on_message(&self, link: &Rc<PeerLink>, payload: Payload) {
        let now = self.context.now();
        let aborted = match payload {
            Payload::Response(response) => link.on_response(now, response),
            Payload::BodyChunk(chunk) => link.on_body_chunk(now, chunk),
            Payload::BodyConsumed(requested) => {
                link.on_body_requested(&requested);
                None
            }
            Payload::Hello(hello) => {
                link.on_hello(&hello);
                None
            }
            Payload::Pong(pong) => link.apply(now, OutgoingEvent::Pong(pong.number)),
            Payload::GoAway(_) => link.apply(now, OutgoingEvent::GoAway),
            _ => None,
        };
        if let Some(reason) = aborted {
            self.context.count("links_astray");
            log::debug!(target: "peers", "end one: {reason}");
        }
    }

    /// Looks after connections on which something is open.
    pub fn tick(&self) {
        let now = self.context.now();
        let link_mbps = self.context.settings().link_mbps.max(1.0);
        let thin_link = Micros::ms((THIN_LINK_MS / link_mbps) as i64);
        let max_silence = (SILENCE_TIMEOUT + thin_link).min(MAX_SILENCE);
        let carried = self.carried.borrow().clone();
        for link in carried {
            let tick = OutgoingEvent::Tick { read_count: link.sender.read_count(), max_silence };
            if link.apply(now, tick).is_some() {
                self.context.count("links_silent");
            }
        }
    }

    /// Carries a connection that another proxy opened: requests for the backend here.
    pub async fn carry_incoming(self: Rc<PeerConnections>, stream: TcpStream) {
        if self.accepted() >= MAX_CONNECTIONS {
            return;
        }
        let server = PeerServer::new(self.context.clone(), self.inbound.clone());
        let sender = server.sender().clone();
        self.accepted.borrow_mut().push(sender.clone());
        if self.is_going_away.get() {
            sender.send(Payload::GoAway(GoAway {}));
        }
        let _accepted = AcceptedConnection { peers: self.clone(), sender };
        server.carry(stream).await;
    }
}

/// A connection that was opened here. Whatever ends its task, those that wait on it hear that it has ended.
struct CarriedLink {
    peers: Rc<PeerConnections>,
    link: Rc<PeerLink>,
    address: String,
}

impl Drop for CarriedLink {
    fn drop(&mut self) {
        let CarriedLink { peers, link, address } = self;
        link.apply(peers.context.now(), OutgoingEvent::Closed);
        peers.carried.borrow_mut().retain(|carried| !Rc::ptr_eq(carried, link));
        let mut links = peers.links.borrow_mut();
        if links.get(address).is_some_and(|current| Rc::ptr_eq(current, link)) {
            links.remove(address);
        }
    }
}

/// A connection that another opened here, counted while it is carried.
struct AcceptedConnection {
    peers: Rc<PeerConnections>,
    sender: FrameSender,
}

impl Drop for AcceptedConnection {
    fn drop(&mut self) {
        self.peers.accepted.borrow_mut().retain(|accepted| !accepted.is_same(&self.sender));
    }
}
