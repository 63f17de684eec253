//! The actor of discovery: holds the watch, hands its lines to the list, and says when it failed.
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix::{
    Actor, ActorContext, ActorFutureExt, Addr, AsyncContext, Context, Handler, Message, SpawnHandle,
    WrapFuture,
};
use awc::error::SendRequestError;
use awc::{Client, ClientResponse};
use bytes::BytesMut;
use futures_util::StreamExt;

use super::list_format;
use crate::base::limits::LIST_LINE_BYTES;
use crate::state::counters::Counters;
use crate::state::endpoint_list::{EndpointListActor, GetResumeRevision, SourceChanged, WatchEnded};
use crate::state::messages::{Shutdown, StartWatch};

/// A watch without a sign of life for this long has failed: two of its empty lines are missing.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(4_500);
/// A line that has begun is complete by then, or never: bytes without an end are no sign of life.
const LINE_TIMEOUT: Duration = Duration::from_millis(9_000);

/// Why a watch ended: the reason codes in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
enum WatchEnd {
    #[display("WATCH_SILENT")]
    Silent,
    #[display("WATCH_NO_LINK")]
    NoConnection,
    #[display("WATCH_TURNED_AWAY")]
    Rejected,
    #[display("WATCH_CLOSED")]
    Closed,
    #[display("WATCH_RESET")]
    Reset,
    #[display("WATCH_LINE_TOO_LONG")]
    LineTooLong,
}

impl WatchEnd {
    fn counter(self) -> &'static str {
        match self {
            WatchEnd::Silent => "watches_silent",
            WatchEnd::NoConnection => "watches_no_link",
            WatchEnd::Rejected => "watches_turned_away",
            WatchEnd::Closed => "watches_closed",
            WatchEnd::Reset => "watches_reset",
            WatchEnd::LineTooLong => "watches_unreadable",
        }
    }
}

/// A watch, from the call for it to its end.
struct Watch {
    handle: SpawnHandle,
    /// A line of it has come.
    has_begun: Rc<Cell<bool>>,
}

/// See the module.
pub struct RegistryClient {
    address: SocketAddr,
    client: Client,
    list: Addr<EndpointListActor>,
    watch: Option<Watch>,
    counters: Rc<Counters>,
}

impl RegistryClient {
    /// A client of the registry at this address, without a watch yet.
    pub fn new(
        address: SocketAddr,
        client: Client,
        list: Addr<EndpointListActor>,
        counters: Rc<Counters>,
    ) -> RegistryClient {
        RegistryClient { address, client, list, watch: None, counters }
    }

    fn on_watch_end(&mut self, end: WatchEnd) {
        self.counters.add(end.counter());
        log::info!("watch at {} ended: {end}", self.address);
        self.watch = None;
        self.list.do_send(WatchEnded);
    }
}

impl Actor for RegistryClient {
    type Context = Context<RegistryClient>;
}

impl Handler<StartWatch> for RegistryClient {
    type Result = ();

    fn handle(&mut self, _: StartWatch, ctx: &mut Context<RegistryClient>) {
        if self.watch.as_ref().is_some_and(|watch| !watch.has_begun.get()) {
            // Discovery works through calls in turn: one that is given up and made again waits longer, and so does everybody else's. It fails
            // by itself where no answer comes.
            return self.counters.add("watches_awaited");
        }
        if let Some(before) = self.watch.take() {
            ctx.cancel_future(before.handle);
            self.counters.add("watches_asked_again");
        }
        let has_begun = Rc::new(Cell::new(false));
        let call = WatchCall {
            address: self.address,
            client: self.client.clone(),
            list: self.list.clone(),
            counters: self.counters.clone(),
            has_begun: has_begun.clone(),
        };
        let watch = call.follow().into_actor(self);
        let ended = watch.map(|end, registry: &mut RegistryClient, _| registry.on_watch_end(end));
        self.watch = Some(Watch { handle: ctx.spawn(ended), has_begun });
    }
}

impl Handler<Shutdown> for RegistryClient {
    type Result = ();

    fn handle(&mut self, _: Shutdown, ctx: &mut Context<RegistryClient>) {
        ctx.stop();
    }
}

/// Discovery is at an address of a new configuration. The watch of the old one ends; the module asks for another.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ChangeAddress(pub SocketAddr);

impl Handler<ChangeAddress> for RegistryClient {
    type Result = ();

    fn handle(&mut self, message: ChangeAddress, ctx: &mut Context<RegistryClient>) {
        let address = message.0;
        if self.address == address {
            return log::info!("configuration taken: discovery stays at {address}");
        }
        log::info!("configuration taken: discovery moves from {} to {address}", self.address);
        self.address = address;
        if let Some(before) = self.watch.take() {
            ctx.cancel_future(before.handle);
            log::info!("watch ended: WATCH_MOVED");
        }
        self.list.do_send(SourceChanged);
    }
}

/// What one watch needs.
struct WatchCall {
    address: SocketAddr,
    client: Client,
    list: Addr<EndpointListActor>,
    counters: Rc<Counters>,
    has_begun: Rc<Cell<bool>>,
}

impl WatchCall {
    /// Asks for the watch and follows it to its end.
    async fn follow(self) -> WatchEnd {
        let mut answer = match self.ask().await {
            Ok(answer) => answer,
            Err(end) => return end,
        };
        self.counters.add("watches_answered");
        log::debug!("watch at {} answered", self.address);
        let (mut buffer, mut last_line) = (BytesMut::new(), Instant::now());
        loop {
            match actix_rt::time::timeout(SILENCE_TIMEOUT, answer.next()).await {
                Err(_) => return WatchEnd::Silent,
                Ok(None) => return WatchEnd::Closed,
                Ok(Some(Err(_))) => return WatchEnd::Reset,
                Ok(Some(Ok(chunk))) => buffer.extend_from_slice(&chunk),
            }
            while let Some(end) = buffer.iter().position(|&byte| byte == b'\n') {
                self.has_begun.set(true);
                self.list.do_send(list_format::parse_line(&buffer.split_to(end + 1)));
                last_line = Instant::now();
            }
            if last_line.elapsed() > LINE_TIMEOUT {
                return WatchEnd::Silent;
            }
            if buffer.len() > LIST_LINE_BYTES {
                return WatchEnd::LineTooLong;
            }
        }
    }

    /// Makes the call, and waits for the head of its answer.
    async fn ask(&self) -> Result<ClientResponse, WatchEnd> {
        let address = self.address;
        let since = self.list.send(GetResumeRevision).await.ok().flatten();
        match since {
            Some(revision) => log::info!("watch at {address} asked for, from revision {revision}"),
            None => log::info!("watch at {address} asked for, from the whole list"),
        }
        let since = since.map(|revision| format!("&since={revision}")).unwrap_or_default();
        let request = self.client.get(format!("http://{address}/v1/servers?follow=1{since}"));
        match actix_rt::time::timeout(SILENCE_TIMEOUT, request.no_decompress().send()).await {
            Err(_) => Err(WatchEnd::Silent),
            Ok(Err(SendRequestError::Connect(_))) => Err(WatchEnd::NoConnection),
            Ok(Err(_)) => Err(WatchEnd::Reset),
            Ok(Ok(answer)) if answer.status() != 200 => Err(WatchEnd::Rejected),
            Ok(Ok(answer)) => Ok(answer),
        }
    }
}
