//! One posting, from its first byte to what became of it.
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use actix_http::body::{BodySize, MessageBody};
use actix_http::error::PayloadError;
use actix_http::{Method, StatusCode};
use actix_rt::net::{TcpSocket, TcpStream};
use actix_tls::connect::{ConnectError as NoAddress, ConnectInfo, Connection};
use awc::error::{ConnectError, SendRequestError};
use awc::http::Uri;
use awc::http::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use awc::{Client, Connector};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use notchspool::units::{AttemptOutcome, LoadReport};
use notchspool_settings::report_line;

use super::link::{Link, MARK, Mark, Past};
use crate::base::bounds::{BODY, Room, SEND_BUFFER};
use crate::memory::counters::Counters;
use crate::memory::flow::{Cut, Flow, Giver, LARGEST, Rest, flow};
use crate::memory::txn::{Carried, Made, More, Reading};

/// Error text of a connection that was not even tried, for want of room.
const NO_ROOM: &str = "no room for another connection";

/// A client for one peer. It adds nothing of its own: no time-out but the connect one, no redirects, no
/// decompression, no second sending; connections are dropped before the peer may have closed them.
pub fn client(
    most: Option<Room>,
    connect_within: Duration,
    idle: Duration,
    counters: Rc<Counters>,
    past: Rc<Past>,
) -> Client {
    let connect = actix_service::fn_service(move |info: ConnectInfo<Uri>| {
        let (counters, past, most) = (counters.clone(), past.clone(), most.clone());
        async move {
            let uri = info.request().clone();
            let at = uri.authority().and_then(|a| a.as_str().parse::<SocketAddr>().ok());
            let at = at.ok_or(NoAddress::Unresolved)?;
            if most.is_some_and(|room| counters.links.get() >= room.now().links) {
                return Err(NoAddress::Io(std::io::Error::other(NO_ROOM)));
            }
            let up = actix_rt::time::timeout(connect_within, connect(at)).await;
            match up.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into())) {
                Ok(io) => Ok(Connection::new(uri, Link::up(io, at, counters, past))),
                Err(why) => {
                    let late = why.kind() == ErrorKind::TimedOut;
                    let code = if late { "LINK_NEVER_UP" } else { "LINK_REFUSED" };
                    counters.add(if late { "links_never_up" } else { "links_refused" });
                    log::info!("link to {at} ended: {code} ({why})");
                    Err(NoAddress::Io(why))
                }
            }
        }
    });
    let connector = Connector::new()
        .connector(connect)
        .timeout(connect_within + Duration::from_secs(1)) // ours comes first
        .limit(0)
        .conn_keep_alive(idle)
        .conn_lifetime(Duration::from_secs(24 * 3600))
        .disconnect_timeout(Duration::ZERO);
    Client::builder().connector(connector).disable_timeout().disable_redirects().no_default_headers().finish()
}

/// Little waits in the system's buffer: it counts as memory, and what is still here when a connection
/// breaks is known not to have been written.
pub async fn connect(at: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_send_buffer_size(SEND_BUFFER)?;
    socket.connect(at).await
}

pub struct Outcome {
    pub fate: AttemptOutcome,
    pub report: Option<LoadReport>,
    pub made: Option<Made>,
}

impl Outcome {
    pub fn only(fate: AttemptOutcome) -> Outcome {
        Outcome { fate, report: None, made: None }
    }
}

/// A backend that takes nothing of a body for so long will not: longer than a client may take to give more of it.
const UNTAKEN: Duration = Duration::from_millis(3_500);
/// An answer that passes through and stands still for so long was broken off.
const UNGIVEN: Duration = Duration::from_secs(5);
/// What a posting waits at most for its body to pass.
const PASSES_WITHIN: Duration = Duration::from_secs(600);

/// Sends the txn to a backend and waits for its answer till the posting's time is up. An answer that has
/// begun and then stands still for `stall` never comes whole. Where the body passes through, the time runs from its last byte.
pub async fn post(
    client: Client,
    at: SocketAddr,
    carried: Arc<Carried>,
    within: Duration,
    stall: Duration,
    counters: Rc<Counters>,
) -> Outcome {
    let length = match &carried.rest {
        None => Some(carried.body.len()),
        Some(rest) => rest.length,
    };
    let (mark, began) = (Mark::new(length, carried.method == Method::HEAD), Instant::now());
    let rest = carried.clone();
    let rest = rest.rest.as_ref();
    let end = || match rest.map(|rest| (rest.given(), rest.wait)) {
        None => began + within,
        Some((Some(given), wait)) => given + wait,
        Some((None, _)) => began + PASSES_WITHIN,
    };
    let mut moved = (0, Instant::now());
    let mut sent = pin!(MARK.scope(mark.clone(), send(client, at, carried, within, mark.clone(), counters)));
    loop {
        let (before, left) = (mark.came(), end().saturating_duration_since(Instant::now()));
        match actix_rt::time::timeout(left.min(stall), &mut sent).await {
            Ok(outcome) => return outcome,
            Err(_) if before > 0 && before == mark.came() && left > stall => {
                log::warn!("backend {at}: an answer that stands still after {before} bytes");
                return Outcome::only(AttemptOutcome::ConnectionLost);
            }
            Err(_) if rest.is_some() && !mark.whole() && mark.written() == moved.0 => {
                if moved.1.elapsed() > UNTAKEN {
                    log::warn!("backend {at}: it takes no more after {} bytes", moved.0);
                    return Outcome::only(AttemptOutcome::ConnectFailed);
                }
            }
            Err(_) => moved = (mark.written(), Instant::now()),
        }
        if Instant::now() >= end() {
            return Outcome::only(if mark.whole() {
                AttemptOutcome::TimedOut
            } else {
                AttemptOutcome::ConnectFailed
            });
        }
    }
}

/// A held body goes on in such pieces: the client library copies what it is handed.
const PIECE: usize = 16 * 1024;

/// The body of a posting: what is held, then what passes through. That is taken only once all that is held went on.
struct Passing {
    held: Bytes,
    carried: Arc<Carried>,
    flow: Option<Flow>,
    mark: Rc<Mark>,
}

impl MessageBody for Passing {
    type Error = Cut;
    fn size(&self) -> BodySize {
        let length = match &self.carried.rest {
            Some(rest) => rest.length,
            None => Some(self.carried.body.len()),
        };
        length.map_or(BodySize::Stream, |length| BodySize::Sized(length as u64))
    }
    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<Result<Bytes, Cut>>> {
        if !self.held.is_empty() {
            let many = self.held.len().min(PIECE);
            return Poll::Ready(Some(Ok(self.held.split_to(many))));
        }
        if self.carried.rest.is_none() {
            return Poll::Ready(None);
        }
        if self.flow.is_none() {
            self.flow = self.carried.rest.as_ref().and_then(Rest::take);
        }
        let Some(flow) = &mut self.flow else { return Poll::Ready(Some(Err(Cut))) };
        let piece = Pin::new(flow).poll_next(cx);
        match piece {
            Poll::Ready(None) => self.mark.fed.set(true),
            Poll::Ready(Some(Err(Cut))) => self.mark.cut.set(true),
            _ => {}
        }
        piece
    }
}

async fn send(
    client: Client,
    at: SocketAddr,
    carried: Arc<Carried>,
    within: Duration,
    mark: Rc<Mark>,
    counters: Rc<Counters>,
) -> Outcome {
    let uri = Uri::builder().scheme("http").authority(at.to_string()).path_and_query(carried.path.clone());
    let Ok(uri) = uri.build() else { return Outcome::only(AttemptOutcome::NotSent) };
    let mut request = client.request(carried.method.clone(), uri).no_decompress();
    for (name, value) in &carried.headers {
        request = request.append_header((name.clone(), value.clone()));
    }
    let within = carried.rest.as_ref().map_or(within, |rest| rest.wait);
    if let Some(expires) = &carried.expires {
        request = request.insert_header((expires.clone(), within.as_millis().to_string()));
    }
    let empty =
        carried.body.is_empty() && !matches!(carried.method, Method::POST | Method::PUT | Method::PATCH);
    let sent = match &carried.rest {
        rest if rest.is_some() || carried.body.len() > BODY => {
            let held = carried.body.clone();
            request.send_body(Passing { held, carried: carried.clone(), flow: None, mark: mark.clone() })
        }
        _ if empty => request.send(),
        _ => request.send_body(carried.body.clone()),
    };
    let mut answer = match sent.await {
        Ok(answer) => answer,
        Err(_) if mark.cut.get() => return Outcome::only(AttemptOutcome::Cancelled),
        Err(why) => return broke(&why, mark.whole()),
    };
    let report = report(answer.headers());
    let fate = fate(answer.status(), answer.headers(), carried.reading);
    let (status, headers) = (answer.status(), handed_on(answer.headers(), carried.reading));
    let bodiless = carried.method == Method::HEAD || status == 204 || status == 304;
    let length = length(answer.headers()).filter(|_| !bodiless);
    let chunked = answer.headers().contains_key("transfer-encoding");
    let length = length.filter(|_| !chunked);
    // An answer that stops short of its length, or between chunks, is no answer.
    let whole = move |n: usize, mark: &Mark| {
        length.is_none_or(|length| length == n) && !(chunked && mark.ended.get())
    };
    let settled = fate == AttemptOutcome::Succeeded;
    let mut body = BytesMut::new();
    let large = loop {
        if length.is_some_and(|length| length > BODY) || body.len() > BODY {
            break true;
        }
        match answer.next().await {
            Some(Ok(piece)) => body.extend_from_slice(&piece),
            None if whole(body.len(), &mark) => {
                mark.over(length, chunked);
                let made = settled || carried.reading == Reading::Plain;
                let made = made.then(|| Made { status, headers, body: body.freeze(), more: None });
                return Outcome { fate, report, made };
            }
            Some(Err(_)) | None => break false,
        }
    };
    if !large || !carried.flows || length.is_some_and(|length| length > LARGEST) {
        log::warn!("backend {at}: an answer that stops short or is too large");
        return Outcome {
            report,
            ..Outcome::only(if settled { AttemptOutcome::ConnectionLost } else { fate })
        };
    }
    if !settled {
        return Outcome { report, ..Outcome::only(fate) };
    }
    let (giver, flow) = flow();
    let (before, held) = (body.len(), Flowing::begin(counters));
    let pass = async move {
        let code = pass(&mut answer, &giver, before, whole, &mark).await;
        if code == "FLOW_WHOLE" {
            mark.over(length, chunked);
        }
        drop(held);
        log::info!("answer of backend {at} ended: {code}");
    };
    let mark = MARK.with(Rc::clone);
    actix_rt::spawn(MARK.scope(mark, pass));
    let made = Made { status, headers, body: body.freeze(), more: Some(More { flow, length }) };
    Outcome { fate, report, made: Some(made) }
}

/// An answer that passes through, while this lives.
struct Flowing(Rc<Counters>);
impl Flowing {
    fn begin(counters: Rc<Counters>) -> Flowing {
        counters.add("flows");
        counters.flows.set(counters.flows.get() + 1);
        Flowing(counters)
    }
}
impl Drop for Flowing {
    fn drop(&mut self) {
        self.0.flows.set(self.0.flows.get().saturating_sub(1));
    }
}

/// Passes an answer on to its end, and tells the reason code. Whoever takes it may go at any time.
async fn pass(
    answer: &mut (impl Stream<Item = Result<Bytes, PayloadError>> + Unpin),
    giver: &Giver,
    mut passed: usize,
    whole: impl Fn(usize, &Mark) -> bool,
    mark: &Mark,
) -> &'static str {
    loop {
        let piece = tokio::select! {
            piece = actix_rt::time::timeout(UNGIVEN, answer.next()) => piece,
            () = giver.closed() => return "FLOW_LEFT",
        };
        let (piece, code) = match piece {
            Ok(Some(Ok(piece))) if passed + piece.len() <= LARGEST => {
                passed += piece.len();
                (Ok(piece), "")
            }
            Ok(Some(Ok(_))) => (Err(Cut), "FLOW_TOO_LARGE"),
            Ok(Some(Err(_))) => (Err(Cut), "FLOW_BROKEN"),
            Ok(None) if whole(passed, mark) => (Ok(Bytes::new()), "FLOW_WHOLE"),
            Ok(None) => (Err(Cut), "FLOW_CUT_SHORT"),
            Err(_) => (Err(Cut), "FLOW_STANDS_STILL"),
        };
        if matches!(&piece, Ok(piece) if piece.is_empty() && code.is_empty()) {
            continue;
        }
        if giver.send(piece).await.is_err() {
            return "FLOW_LEFT";
        }
        if !code.is_empty() {
            return code;
        }
    }
}

/// How long a body is to be, by its head.
pub fn length(headers: &HeaderMap) -> Option<usize> {
    headers.get("content-length").and_then(|n| n.to_str().ok()?.parse().ok())
}

/// Headers of an answer that go back to who asked: of the platform's only the form of the body; of others all but
/// those that belong to the connection.
pub fn handed_on(headers: &HeaderMap, reading: Reading) -> Vec<(HeaderName, HeaderValue)> {
    let keep = |name: &HeaderName| match reading {
        Reading::Platform => *name == CONTENT_TYPE,
        Reading::Plain => !own_to_connection(name, headers),
    };
    headers.iter().filter(|(name, _)| keep(name)).map(|(n, v)| (n.clone(), v.clone())).collect()
}

/// Whether a header belongs to one connection and goes no further (RFC 9110, 7.6.1), or is framing.
pub fn own_to_connection(name: &HeaderName, all: &HeaderMap) -> bool {
    let named = |v: &HeaderValue| {
        v.to_str().is_ok_and(|v| v.split(',').any(|n| n.trim().eq_ignore_ascii_case(name.as_str())))
    };
    let known = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    ];
    known.contains(&name.as_str()) || all.get_all("connection").any(named)
}

pub fn fate(status: StatusCode, headers: &HeaderMap, reading: Reading) -> AttemptOutcome {
    let never_ran = headers.get("x-never-ran").is_some_and(|v| v.as_bytes() == b"1");
    match status.as_u16() {
        200 => AttemptOutcome::Succeeded,
        503 | 504 if never_ran => AttemptOutcome::Rejected,
        408 | 429 => AttemptOutcome::Failed,
        _ if reading == Reading::Plain && status.as_u16() < 500 => AttemptOutcome::Succeeded,
        400..=499 => AttemptOutcome::Unusable,
        _ => AttemptOutcome::Failed,
    }
}

pub fn report(headers: &HeaderMap) -> Option<LoadReport> {
    headers.get("endpoint-load-metrics").and_then(|line| report_line(line.to_str().ok()?))
}

/// A break before the last byte was written never ran; after it, it may have.
fn broke(why: &SendRequestError, whole: bool) -> Outcome {
    Outcome::only(match why {
        SendRequestError::Connect(ConnectError::Io(e)) if e.to_string() == NO_ROOM => AttemptOutcome::NotSent,
        _ if whole => AttemptOutcome::ConnectionLost,
        _ => AttemptOutcome::ConnectFailed,
    })
}

/// Asks a backend for its health and load.
pub async fn probe(client: Client, at: SocketAddr, within: Duration) -> (AttemptOutcome, Option<LoadReport>) {
    let mark = Mark::new(Some(0), false);
    let asked = async {
        let mut answer = match client.get(format!("http://{at}/load")).no_decompress().send().await {
            Ok(answer) => answer,
            Err(why) => return (broke(&why, mark.whole()).fate, None),
        };
        let fate = if answer.status() == StatusCode::OK {
            AttemptOutcome::Succeeded
        } else {
            AttemptOutcome::Failed
        };
        let (by_header, length) = (report(answer.headers()), length(answer.headers()));
        let chunked = answer.headers().contains_key("transfer-encoding");
        let body = answer.body().limit(BODY).await;
        mark.over(length, chunked);
        match body {
            Ok(body) => {
                let line = std::str::from_utf8(&body).ok();
                (fate, line.and_then(report_line).or(by_header))
            }
            Err(_) => (AttemptOutcome::ConnectionLost, by_header),
        }
    };
    actix_rt::time::timeout(within, MARK.scope(mark.clone(), asked))
        .await
        .unwrap_or((AttemptOutcome::TimedOut, None))
}
