//! What the application says and hears: HTTP in, a txn to the desk, its answer out.
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::convert::Infallible;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use actix::Addr;
use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::{Method, Payload, Request, Response, StatusCode};
use awc::http::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use notchspool::units::{ClassId, Micros, RequestId, RequestKind, TenantId};
use tokio::sync::oneshot;

use super::caller::{Asked, Call, Letting};
use super::posting::length;
use crate::base::bounds::{BODY, HELD, Room};
use crate::base::clock::{Clock, span};
use crate::base::pulse::Pulse;
use crate::memory::counters::Counters;
use crate::memory::desk::{Desk, Left, Take};
use crate::memory::flow::{Cut, Giver, LARGEST, Rest, flow};
use crate::memory::pot::{Drawn, Pot};
use crate::memory::txn::{Answer, Carried, More, Reading, Unserved};

/// Kept clear of an expiry for the way back.
const WAY: Micros = Micros::ms(5);

/// What all fronts and gates of an agent share.
pub struct Porch {
    pub clock: Clock,
    pub pulse: Rc<Pulse>,
    pub counters: Rc<Counters>,
    pub bounds: Room,
    /// No txn is waited for longer, whatever it says: it would hold its room as long. An orderly end waits for this.
    pub longest: Rc<Cell<Micros>>,
    /// Bytes of requests that came in part.
    pub halves: Cell<usize>,
    /// When the agent was asked to end: every answer then closes its connection.
    pub ending: Cell<Option<Micros>>,
    /// Since when clients are sent away by hand, with the same effect; all is as before once they are taken again.
    pub away: Cell<Option<Micros>>,
    /// Clients are served: a process that takes over waits for a fresh list first.
    pub serves: Cell<bool>,
    /// The listening socket is the platform's, and a newer process accepts from it: at the end this one accepts no more.
    pub handed: bool,
}

/// Idle connections are let go between these times after clients were sent away. The front has heard by the first; at the last
/// nothing may begin any more that would not be over 2 s later.
const SENT_AWAY: (Micros, Micros) = (Micros::ms(500), Micros::ms(1_900));
/// The same after a newer process took over, from a part of the longest expiry to so long after it: the later, the fewer of them are left for
/// a request to cross the close. The platform kills 0.7 s after the longest expiry; what comes last is answered before.
const HANDED_OVER: (f64, Micros) = (0.4, Micros::ms(200));
const LAST_ANSWER: Micros = Micros::ms(550);

/// Told to come back after this where there was no room.
pub const SOON: Micros = Micros::ms(50);
/// What discovery wrote while the process stood still is read within this.
const LISTS_FIRST: Duration = Duration::from_millis(20);

impl Porch {
    /// When a request that has just been read can have come. One that lay unread while the process stood still counts from
    /// when the pause began: its client may have left since, and its time may be over. The lists that lay unread come
    /// first: it must not go where by now nothing may go.
    pub async fn came(&self) -> Micros {
        let now = self.clock.now();
        let Some(from) = self.pulse.waking(now) else { return now };
        self.counters.add("came_in_a_pause");
        actix_rt::time::sleep(LISTS_FIRST).await;
        from
    }
    /// Whether answers close their connections.
    pub fn closes(&self) -> bool {
        self.ending.get().is_some() || self.away.get().is_some()
    }
    /// When the last answer must be out, where the process ends beside a newer one.
    pub fn last_answer(&self) -> Option<Micros> {
        self.ending.get().filter(|_| self.handed).map(|since| since + self.longest.get() + LAST_ANSWER)
    }
    /// How idle connections are to be let go now.
    pub fn letting(&self) -> Letting {
        let now = self.clock.now();
        match (self.ending.get(), self.away.get()) {
            (Some(_), _) if !self.handed => Letting::AllButFresh,
            (Some(since), _) => {
                let (longest, (part, after)) = (self.longest.get(), HANDED_OVER);
                Letting::Since(now - since, (longest.times(part), longest + after))
            }
            (None, Some(since)) => Letting::Since(now - since, SENT_AWAY),
            (None, None) => Letting::Keep,
        }
    }
    /// The counters, and how often the process stood still.
    pub fn page(&self) -> String {
        self.counters.print() + &format!("pauses {}\n", self.pulse.pauses())
    }
}

pub struct Front {
    pub porch: Rc<Porch>,
    pub desk: Addr<Desk>,
    pub schemes: Vec<(String, RequestKind)>,
    /// Customers that have a share, by their names in `X-Customer`.
    pub tenants: Vec<String>,
    /// What a decline of this front says; none where clients are not to be told.
    pub away: Option<Micros>,
    pub next: Cell<u64>,
    pub pot: Pot,
    /// Ids of the txns in hand.
    pub traces: RefCell<BTreeSet<HeaderValue>>,
}

type Reply = Response<BoxBody>;

/// Tells the desk when the application stops waiting: dropped before the answer came, it has left.
struct Waiting<'a> {
    front: &'a Front,
    txn: RequestId,
    trace: HeaderValue,
    answered: bool,
}
impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.front.traces.borrow_mut().remove(&self.trace);
        if !self.answered {
            self.front.desk.do_send(Left(self.txn));
        }
    }
}

impl Front {
    pub async fn answer(self: Rc<Front>, request: Request) -> Result<Reply, Infallible> {
        let call = request.conn_data::<Rc<Call>>().cloned();
        let refused = call.as_ref().and_then(|call| call.refused());
        let mut reply = match request.path() {
            _ if refused.is_some() => plain(StatusCode::BAD_REQUEST, "refused before\n"),
            "/healthz" if self.porch.away.get().is_some() => {
                plain(StatusCode::SERVICE_UNAVAILABLE, "standby\n")
            }
            "/healthz" => plain(StatusCode::OK, "ready\n"),
            "/-/counters" => plain(StatusCode::OK, self.porch.page()),
            _ => match self.txn(request, call.clone()).await {
                Ok((answer, asked)) => reply_on(answer, Some(asked)),
                Err((status, why)) => {
                    self.porch.counters.add("bad_requests");
                    // Who sent this would send more of it: nothing else that came with it is looked at.
                    call.iter().for_each(|call| call.refuse(why));
                    plain(status, format!("{why}\n"))
                }
            },
        };
        if self.porch.closes() || call.is_some_and(|call| call.refused().is_some()) {
            reply.head_mut().set_connection_type(actix_http::ConnectionType::Close);
        }
        Ok(reply)
    }

    async fn txn(
        &self,
        mut request: Request,
        call: Option<Rc<Call>>,
    ) -> Result<(Answer, Asked), (StatusCode, &'static str)> {
        let bad = |why| (StatusCode::BAD_REQUEST, why);
        let head = request.head();
        if head.method != Method::GET && head.method != Method::POST {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "neither GET nor POST"));
        }
        let scheme = request.path().split('/').nth(1).unwrap_or("");
        let scheme = self.schemes.iter().position(|s| s.0 == scheme);
        let scheme = ClassId(scheme.ok_or((StatusCode::NOT_FOUND, "no scheme of that name"))?);
        let kind = self.schemes[scheme.0].1;
        if (head.method == Method::GET) != (kind == RequestKind::Idempotent) {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "not the method of that scheme"));
        }
        let customer = head.headers().get("x-customer").and_then(|v| v.to_str().ok());
        let tenant = customer.and_then(|name| self.tenants.iter().position(|t| t == name)).map(TenantId);
        let expires =
            head.headers().get("x-expires-in-ms").and_then(|v| v.to_str().ok()?.parse::<u32>().ok());
        let expires = Micros::ms(expires.ok_or(bad("X-Expires-In-Ms is no whole number"))?.into());
        let trace = head.headers().get("x-trace-id").filter(|id| !id.is_empty()).cloned();
        let trace = trace.ok_or(bad("no X-Trace-Id"))?;
        let path = head.uri.path_and_query().cloned().ok_or(bad("no path"))?;
        let reference = head.headers().get("idempotency-key").cloned();
        if kind == RequestKind::Keyed && reference.as_ref().is_none_or(HeaderValue::is_empty) {
            return Err(bad("no Idempotency-Key"));
        }
        let form = head.headers().get(CONTENT_TYPE).cloned();
        let name = HeaderName::from_static;
        let headers = [(name("x-trace-id"), Some(trace.clone())), (name("idempotency-key"), reference)];
        let headers = headers.into_iter().chain([(CONTENT_TYPE, form)]);
        let mut carried = Carried {
            method: head.method.clone(),
            path,
            headers: headers.filter_map(|(name, value)| Some((name, value?))).collect(),
            expires: Some(name("x-expires-in-ms")),
            body: Bytes::new(),
            drawn: None,
            rest: None,
            reading: Reading::Platform,
            flows: true,
        };
        let pot = (&self.pot, self.porch.bounds.now().pot);
        let Body { held, drawn, length, mut payload } = begun(&mut request, pot).await?;
        (carried.body, carried.drawn) = (held, drawn);
        let came = self.porch.came().await;
        let asked = Asked::on(call);
        if self.porch.counters.held() >= self.porch.bounds.now().txns {
            // At the bound nothing is begun: a decline, as true as any.
            self.porch.counters.add("declined_at_bound");
            log::debug!("all room for txns is taken: declined");
            return Ok((Answer::Declined(self.away, Unserved::default()), asked));
        }
        if !self.traces.borrow_mut().insert(trace.clone()) {
            return Err((StatusCode::CONFLICT, "a txn of that X-Trace-Id is in hand"));
        }
        let expires = expires.min(self.porch.longest.get()) - WAY;
        let mut expiry = came + expires;
        if let Some(last) = self.porch.last_answer() {
            expiry = expiry.min(last);
        }
        let (giver, flow) = flow();
        if payload.is_some() {
            // The client's time runs from its last byte.
            expiry = expiry + PASSES_WITHIN;
            carried.rest = Some(Rest::new(flow, length, span(expires)));
        }
        let txn = RequestId(self.next.get());
        self.next.set(txn.0 + 1);
        let (caller, answer) = oneshot::channel();
        let mut waiting = Waiting { front: self, txn, trace, answered: false };
        let carried = Arc::new(carried);
        let carried_on = carried.clone();
        let take = Take { txn, scheme, tenant, expiry, carried: carried_on, caller, earlier: 0, payer: None };
        self.desk.do_send(take);
        let mut answer = pin!(answer);
        if let (Some(payload), Some(rest)) = (&mut payload, &carried.rest) {
            let held = carried.body.len();
            asked.passes(true);
            let given = tokio::select! {
                early = &mut answer => Err(early),
                given = pass_on(payload, giver, held, length) => Ok(given),
            };
            match given {
                Ok(Ok(())) => {
                    asked.passes(false);
                    rest.over();
                }
                Ok(Err(why)) => return Err(why),
                Err(early) => {
                    waiting.answered = true;
                    let answer = early.unwrap_or(Answer::Reversed(None, Unserved::default()));
                    return Ok((answer, asked));
                }
            }
        }
        let answer = answer.await.unwrap_or(Answer::Reversed(None, Unserved::default()));
        waiting.answered = true;
        Ok((answer, asked))
    }
}

/// A client that gives nothing more of a body for so long has broken off.
const UNGIVEN: Duration = Duration::from_millis(2_500);
/// What a txn waits at most for its body to pass.
const PASSES_WITHIN: Micros = Micros::ms(600_000);

/// Hands a body on as it comes, to its end. Where nobody takes it, it waits.
async fn pass_on(
    payload: &mut Payload,
    giver: Giver,
    mut passed: usize,
    length: Option<usize>,
) -> Result<(), (StatusCode, &'static str)> {
    loop {
        let Ok(room) = giver.reserve().await else {
            // Nobody will take it any more: the answer is on its way.
            return std::future::pending().await;
        };
        let (piece, why) = match actix_rt::time::timeout(UNGIVEN, payload.next()).await {
            Ok(Some(Ok(piece))) if passed + piece.len() > LARGEST => {
                (Err(Cut), Some((StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")))
            }
            Ok(Some(Ok(piece))) if piece.is_empty() => continue,
            Ok(Some(Ok(piece))) => {
                passed += piece.len();
                (Ok(piece), None)
            }
            Ok(None) if length.is_none_or(|length| length == passed) => {
                room.send(Ok(Bytes::new()));
                return Ok(());
            }
            Ok(None | Some(Err(_))) => (Err(Cut), Some((StatusCode::BAD_REQUEST, "the body broke off"))),
            Err(_) => (Err(Cut), Some((StatusCode::REQUEST_TIMEOUT, "the body stands still"))),
        };
        room.send(piece);
        if let Some(why) = why {
            return Err(why);
        }
    }
}

/// A body, all of it or its beginning with what follows.
pub struct Body {
    pub held: Bytes,
    /// What of that is held out of the shared pot.
    pub drawn: Option<Drawn>,
    /// Bytes in all, where that was told.
    pub length: Option<usize>,
    pub payload: Option<Payload>,
}

/// Reads a body as far as it is to be held: a small one whole, a larger one while the shared pot has room.
async fn begun(
    request: &mut Request,
    (pot, most): (&Pot, usize),
) -> Result<Body, (StatusCode, &'static str)> {
    let length = length(request.head().headers());
    if length.is_some_and(|told| told > LARGEST) {
        return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"));
    }
    let mut held = BytesMut::new();
    let mut payload = request.take_payload();
    let mut drawn: Option<Drawn> = None;
    // One that can't be held whole is not worth holding.
    let large = length.is_some_and(|length| length > HELD);
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| (StatusCode::BAD_REQUEST, "the body broke off"))?;
        held.extend_from_slice(&chunk);
        if held.len() <= BODY && !large {
            continue;
        }
        let room = held.len() <= HELD && !large;
        // What was held before it was known to be large counts from now on.
        let first = if drawn.is_none() { held.len() } else { chunk.len() };
        if !room || !drawn.get_or_insert_with(|| pot.draw()).more(first, most) {
            return Ok(Body { held: held.freeze(), drawn, length, payload: Some(payload) });
        }
    }
    Ok(Body { held: held.freeze(), drawn, length, payload: None })
}

pub async fn body(request: &mut Request) -> Result<Bytes, (StatusCode, &'static str)> {
    if length(request.head().headers()).is_some_and(|told| told > BODY) {
        return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB"));
    }
    match begun(request, (&Pot::default(), 0)).await? {
        Body { held, payload: None, .. } => Ok(held),
        _ => Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB")),
    }
}

pub fn plain(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    Response::with_body(status, BoxBody::new(body.into()))
}

pub fn reply(answer: Answer) -> Reply {
    reply_on(answer, None)
}

/// An answer that passes through in pieces. Its connection counts as busy till the end.
struct Passing {
    first: Option<Bytes>,
    more: More,
    _asked: Option<Asked>,
}

impl MessageBody for Passing {
    type Error = Cut;
    fn size(&self) -> BodySize {
        self.more.length.map_or(BodySize::Stream, |length| BodySize::Sized(length as u64))
    }
    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<Result<Bytes, Cut>>> {
        match self.first.take() {
            Some(first) => Poll::Ready(Some(Ok(first))),
            None => Pin::new(&mut self.more.flow).poll_next(cx),
        }
    }
}

/// `asked`: the txn's hold on its connection, which an answer that passes through keeps.
pub fn reply_on(answer: Answer, asked: Option<Asked>) -> Reply {
    match answer {
        Answer::Settled(made) => {
            let mut reply = match made.more {
                None => plain(made.status, made.body),
                Some(more) => {
                    asked.iter().for_each(Asked::flows);
                    let first = Some(made.body).filter(|body| !body.is_empty());
                    let body = BoxBody::new(Passing { first, more, _asked: asked });
                    Response::with_body(made.status, body)
                }
            };
            for (name, value) in made.headers {
                reply.headers_mut().append(name, value);
            }
            reply
        }
        Answer::Declined(away, _) => {
            let mut reply = plain(StatusCode::SERVICE_UNAVAILABLE, "declined\n");
            let away =
                away.and_then(|away| HeaderValue::try_from(format!("{:.3}", away.0 as f64 / 1e6)).ok());
            if let Some(away) = away {
                reply.headers_mut().insert(RETRY_AFTER, away);
            }
            reply
        }
        // A failure of the backend's own words goes back as it came.
        Answer::Reversed(Some(made), _) => reply(Answer::Settled(made)),
        Answer::Reversed(None, _) => plain(StatusCode::BAD_GATEWAY, "reversed\n"),
    }
}
