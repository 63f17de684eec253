//! A connection of a `FastCGI` client: several requests at once, by id, each through the door like any other.
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use actix_http::body::MessageBody;
use actix_http::{Method, Response, StatusCode, body::BoxBody};
use awc::http::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use awc::http::uri::PathAndQuery;
use bytes::{Bytes, BytesMut};
use futures_util::future::{AbortHandle, Abortable, LocalBoxFuture};
use futures_util::stream::{FuturesUnordered, StreamExt};
use notchspool_fastcgi::cgi;
use notchspool_fastcgi::record::{Ended, Id};
use notchspool_fastcgi::take::{Bounds, Event, Request, Taker};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::base::bounds::BODY;
use crate::memory::txn::Answer;
use crate::wire::application::{Porch, reply};
use crate::wire::caller::{Call, Caller};
use crate::wire::door::{Asking, Door, Refused, bad};

/// Requests at once on a connection, and the bytes of their params.
const REQUESTS: usize = 32;
const PARAMS: usize = 64 * 1024;
const READ: usize = 16 * 1024;

/// What this connection holds of requests that came in part; given back when it goes.
struct Halves {
    porch: Rc<Porch>,
    own: usize,
}
impl Halves {
    fn hold(&mut self, bytes: usize) {
        let all = self.porch.halves.get() + bytes;
        self.porch.halves.set(all.saturating_sub(self.own));
        self.own = bytes;
    }
    /// All together hold more than there is room for, and this one more than its equal part.
    fn too_much(&self) -> bool {
        let most = self.porch.bounds.now().halves;
        self.porch.halves.get() > most && self.own > most / self.porch.counters.callers.get().max(1)
    }
}
impl Drop for Halves {
    fn drop(&mut self) {
        self.hold(0);
    }
}

type Done = (Id, Option<(Bytes, Ended)>);

/// Serves a connection till it ends.
pub async fn serve(door: Rc<Door>, listen: usize, mut caller: Caller) -> io::Result<()> {
    let call = caller.call.clone();
    caller.shares = true;
    let requests = REQUESTS.min(door.porch.bounds.now().txns);
    let mut taker = Taker::new(Bounds { requests, params: PARAMS, body: BODY });
    let mut running: FuturesUnordered<LocalBoxFuture<'static, Done>> = FuturesUnordered::new();
    let mut aborts: BTreeMap<Id, AbortHandle> = BTreeMap::new();
    let mut closing = false;
    let mut halves = Halves { porch: door.porch.clone(), own: 0 };
    loop {
        let full = halves.too_much();
        if full && running.is_empty() {
            // Nothing of it is in hand. With something in hand no more is read until that is answered.
            door.porch.counters.add("halves_full");
            call.end("CALL_MADE_WAY");
            return Ok(());
        }
        if closing && running.is_empty() {
            return caller.shutdown().await;
        }
        let mut came = BytesMut::new();
        tokio::select! {
            Some((id, said)) = running.next(), if !running.is_empty() => {
                aborts.remove(&id);
                // One that was given up gets its end, and nothing of an answer.
                let (stdout, ended) = said.unwrap_or((Bytes::new(), Ended::Complete));
                if let Some((bytes, close)) = taker.answer(id, &stdout, ended) {
                    closing |= close || door.porch.closes();
                    caller.write_all(&bytes).await?;
                    caller.flush().await?;
                }
            }
            read = read(&mut caller, &mut came), if !closing && !full => {
                if read? == 0 {
                    // The client is gone: what runs for it ends with this.
                    return Ok(());
                }
                let mut events = Vec::new();
                let taken = taker.take(&came, &mut events);
                halves.hold(taker.held());
                for event in events {
                    match event {
                        Event::Asked(request) => {
                            let (handle, registration) = AbortHandle::new_pair();
                            aborts.insert(request.id, handle);
                            let id = request.id;
                            let one = one(door.clone(), listen, request, call.clone());
                            let one = Abortable::new(one, registration);
                            running.push(Box::pin(async move { (id, one.await.ok()) }));
                        }
                        Event::Aborted(id) => {
                            door.porch.counters.add("fcgi_aborted");
                            aborts.remove(&id).into_iter().for_each(|handle| handle.abort());
                        }
                        Event::Say(bytes) => caller.write_all(&bytes).await?,
                        Event::Close => closing = true,
                    }
                }
                caller.flush().await?;
                if let Err(why) = taken {
                    door.porch.counters.add("bad_requests");
                    log::info!("FastCGI: {why}");
                    call.refuse("no FastCGI");
                    return Ok(());
                }
            }
        }
    }
}

async fn read(caller: &mut Caller, into: &mut BytesMut) -> io::Result<usize> {
    into.reserve(READ);
    caller.read_buf(into).await
}

/// One request to its answer: bytes of stdout, and how it ended.
async fn one(door: Rc<Door>, listen: usize, request: Request, call: Rc<Call>) -> (Bytes, Ended) {
    let answer = match asking(listen, request) {
        Ok(asking) => door.txn(asking, Some(call)).await,
        Err(refused) => Err(refused),
    };
    match answer {
        // Declined, and nothing can have run: the protocol has a word for that.
        // Its stdout has the answer that HTTP would give: when to come back, and why.
        Ok(answer @ Answer::Declined(_, unserved)) if !unserved.may_have_run => {
            (stdout(reply(answer)), Ended::Overloaded)
        }
        Err(refused @ Refused(StatusCode::SERVICE_UNAVAILABLE, ..)) => {
            door.porch.counters.add(refused.1);
            (stdout(refused.reply()), Ended::Overloaded)
        }
        Ok(answer) => (stdout(reply(answer)), Ended::Complete),
        Err(Refused(status, code, why)) => {
            door.porch.counters.add(code);
            (stdout(Refused(status, code, why).reply()), Ended::Complete)
        }
    }
}

fn stdout(reply: Response<BoxBody>) -> Bytes {
    let (head, body) = reply.into_parts();
    let body = body.try_into_bytes().unwrap_or_default();
    let headers = head.headers().iter().map(|(n, v)| (n.as_str(), v.as_bytes()));
    cgi::put_answer(head.status().as_u16(), headers, &body)
}

/// Params to what any front hands in.
fn asking(listen: usize, request: Request) -> Result<Asking, Refused> {
    let told = cgi::told(&request.params).map_err(bad)?;
    let mut headers = HeaderMap::new();
    for (name, value) in &told.headers {
        let name =
            HeaderName::try_from(name.as_str()).map_err(|_| bad(format!("param HTTP_ of `{name}`")))?;
        let value = HeaderValue::from_maybe_shared(value.clone());
        headers.append(name.clone(), value.map_err(|_| bad(format!("the value of {name}")))?);
    }
    if !headers.contains_key(HOST)
        && let Ok(host) = HeaderValue::try_from(told.host.as_str())
    {
        headers.insert(HOST, host);
    }
    Ok(Asking {
        listen,
        method: Method::from_bytes(told.method.as_bytes()).map_err(|_| bad("REQUEST_METHOD"))?,
        path: PathAndQuery::try_from(told.path.as_str()).map_err(|_| bad("the path"))?,
        headers,
        client: told.remote,
        body: request.body,
    })
}
