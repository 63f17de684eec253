//! The actor of discovery: holds the watch, hands its lines to the list, and says when it failed.
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix::{
    Actor, ActorContext, ActorFutureExt, Addr, AsyncContext, Context, Handler, Message, SpawnHandle,
    WrapFuture,
};
use awc::Client;
use awc::error::SendRequestError;
use bytes::BytesMut;
use futures_util::StreamExt;

use super::listing;
use crate::base::bounds::LINE;
use crate::memory::counters::Counters;
use crate::memory::list::{Ended, List, Moved, Since};
use crate::memory::mail::{Shut, Watch};

/// A watch without a sign of life for this long has failed: two of its empty lines are missing.
const SILENCE: Duration = Duration::from_millis(4_500);
/// A line that has begun is whole by then, or never: bytes without an end are no sign of life.
const LINE_WITHIN: Duration = Duration::from_millis(9_000);

pub struct Registry {
    at: SocketAddr,
    client: Client,
    list: Addr<List>,
    watch: Option<SpawnHandle>,
    counters: Rc<Counters>,
}

impl Registry {
    pub fn new(at: SocketAddr, client: Client, list: Addr<List>, counters: Rc<Counters>) -> Registry {
        Registry { at, client, list, watch: None, counters }
    }
}

impl Actor for Registry {
    type Context = Context<Registry>;
}

impl Handler<Watch> for Registry {
    type Result = ();
    fn handle(&mut self, _: Watch, ctx: &mut Context<Registry>) {
        if let Some(before) = self.watch.take() {
            ctx.cancel_future(before);
            self.counters.add("watches_asked_again");
        }
        let (list, counters) = (self.list.clone(), self.counters.clone());
        let ended = follow(self.at, self.client.clone(), list, counters).into_actor(self).map(
            |code, registry: &mut Registry, _| {
                registry.counters.add(counted(code));
                log::info!("watch at {} ended: {code}", registry.at);
                registry.watch = None;
                registry.list.do_send(Ended);
            },
        );
        self.watch = Some(ctx.spawn(ended));
    }
}

impl Handler<Shut> for Registry {
    type Result = ();
    fn handle(&mut self, _: Shut, ctx: &mut Context<Registry>) {
        ctx.stop();
    }
}

/// Discovery is at an address of the new configuration. The watch of the old one ends; the module asks anew.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Turn(pub SocketAddr);
impl Handler<Turn> for Registry {
    type Result = ();
    fn handle(&mut self, to: Turn, ctx: &mut Context<Registry>) {
        if self.at == to.0 {
            return log::info!("configuration taken: discovery stays at {}", self.at);
        }
        log::info!("configuration taken: discovery moves from {} to {}", self.at, to.0);
        self.at = to.0;
        if let Some(before) = self.watch.take() {
            ctx.cancel_future(before);
            log::info!("watch ended: WATCH_MOVED");
        }
        self.list.do_send(Moved);
    }
}

/// The counter of a reason code.
fn counted(code: &str) -> &'static str {
    match code {
        "WATCH_SILENT" => "watches_silent",
        "WATCH_NO_LINK" => "watches_no_link",
        "WATCH_TURNED_AWAY" => "watches_turned_away",
        "WATCH_CLOSED" => "watches_closed",
        "WATCH_RESET" => "watches_reset",
        _ => "watches_unreadable",
    }
}

/// Follows one watch to its end and tells the reason code.
async fn follow(at: SocketAddr, client: Client, list: Addr<List>, counters: Rc<Counters>) -> &'static str {
    let since = list.send(Since).await.ok().flatten().map(|v| format!("&since={v}")).unwrap_or_default();
    let asked = client.get(format!("http://{at}/v1/servers?follow=1{since}")).no_decompress().send();
    let mut answer = match actix_rt::time::timeout(SILENCE, asked).await {
        Err(_) => return "WATCH_SILENT",
        Ok(Err(SendRequestError::Connect(_))) => return "WATCH_NO_LINK",
        Ok(Err(_)) => return "WATCH_RESET",
        Ok(Ok(answer)) if answer.status() != 200 => return "WATCH_TURNED_AWAY",
        Ok(Ok(answer)) => answer,
    };
    counters.add("watches_answered");
    let (mut rest, mut since) = (BytesMut::new(), Instant::now());
    loop {
        match actix_rt::time::timeout(SILENCE, answer.next()).await {
            Err(_) => return "WATCH_SILENT",
            Ok(None) => return "WATCH_CLOSED",
            Ok(Some(Err(_))) => return "WATCH_RESET",
            Ok(Some(Ok(chunk))) => rest.extend_from_slice(&chunk),
        }
        while let Some(end) = rest.iter().position(|&byte| byte == b'\n') {
            list.do_send(listing::line(&rest.split_to(end + 1)));
            since = Instant::now();
        }
        if since.elapsed() > LINE_WITHIN {
            return "WATCH_SILENT";
        }
        if rest.len() > LINE {
            return "WATCH_LINE_TOO_LONG";
        }
    }
}
