//! One posting, from its first byte to what became of it.
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::{Method, StatusCode};
use actix_rt::net::{TcpSocket, TcpStream};
use actix_tls::connect::{ConnectError as NoAddress, ConnectInfo, Connection};
use awc::error::{ConnectError, SendRequestError};
use awc::http::Uri;
use awc::http::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use awc::{Client, Connector};
use notchspool::units::{Fate, Report};
use notchspool_terms::report_line;

use super::link::{Link, MARK, Mark, Past};
use crate::base::bounds::{BODY, SEND_BUFFER};
use crate::memory::counters::Counters;
use crate::memory::txn::{Carried, Made, Reading};

/// Error text of a connection that was not even tried, for want of room.
const NO_ROOM: &str = "no room for another connection";

/// A client for one peer. It adds nothing of its own: no time-out but the connect one, no redirects, no
/// decompression, no second sending; connections are dropped before the peer may have closed them.
pub fn client(
    most: usize,
    connect_within: Duration,
    idle: Duration,
    counters: Rc<Counters>,
    past: Rc<Past>,
) -> Client {
    let connect = actix_service::fn_service(move |info: ConnectInfo<Uri>| {
        let (counters, past) = (counters.clone(), past.clone());
        async move {
            let uri = info.request().clone();
            let at = uri.authority().and_then(|a| a.as_str().parse::<SocketAddr>().ok());
            let at = at.ok_or(NoAddress::Unresolved)?;
            if counters.links.get() >= most {
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
    pub fate: Fate,
    pub report: Option<Report>,
    pub made: Option<Made>,
}

impl Outcome {
    pub fn only(fate: Fate) -> Outcome {
        Outcome { fate, report: None, made: None }
    }
}

/// Sends the txn to a backend and waits for its answer till the posting's time is up. An answer that has
/// begun and then stands still for `stall` never comes whole.
pub async fn post(
    client: Client,
    at: SocketAddr,
    carried: Arc<Carried>,
    within: Duration,
    stall: Duration,
) -> Outcome {
    let (mark, end) = (Mark::new(carried.body.len()), Instant::now() + within);
    let mut sent = pin!(MARK.scope(mark.clone(), send(client, at, carried, within, mark.clone())));
    loop {
        let (before, left) = (mark.heard(), end.saturating_duration_since(Instant::now()));
        match actix_rt::time::timeout(left.min(stall), &mut sent).await {
            Ok(outcome) => return outcome,
            Err(_) if before > 0 && before == mark.heard() && left > stall => {
                log::warn!("backend {at}: an answer that stands still after {before} bytes");
                return Outcome::only(Fate::Broken);
            }
            Err(_) if Instant::now() < end => {}
            Err(_) if mark.whole() => return Outcome::only(Fate::TimedOut),
            Err(_) => return Outcome::only(Fate::NoLink),
        }
    }
}

async fn send(
    client: Client,
    at: SocketAddr,
    carried: Arc<Carried>,
    within: Duration,
    mark: Rc<Mark>,
) -> Outcome {
    let uri = Uri::builder().scheme("http").authority(at.to_string()).path_and_query(carried.path.clone());
    let Ok(uri) = uri.build() else { return Outcome::only(Fate::NeverSent) };
    let mut request = client.request(carried.method.clone(), uri).no_decompress();
    for (name, value) in &carried.headers {
        request = request.append_header((name.clone(), value.clone()));
    }
    if let Some(expires) = &carried.expires {
        request = request.insert_header((expires.clone(), within.as_millis().to_string()));
    }
    let empty =
        carried.body.is_empty() && !matches!(carried.method, Method::POST | Method::PUT | Method::PATCH);
    let sent = if empty { request.send() } else { request.send_body(carried.body.clone()) };
    let mut answer = match sent.await {
        Ok(answer) => answer,
        Err(why) => return broke(&why, mark.whole()),
    };
    let report = report(answer.headers());
    let fate = fate(answer.status(), answer.headers(), carried.reading);
    let (status, headers) = (answer.status(), handed_on(answer.headers(), carried.reading));
    let bodiless = carried.method == Method::HEAD || status == 204 || status == 304;
    let length = length(answer.headers()).filter(|_| !bodiless);
    let chunked = answer.headers().contains_key("transfer-encoding");
    let body = answer.body().limit(BODY).await;
    mark.over(length.filter(|_| !chunked));
    // An answer that stops short of its length, or between chunks, is no answer.
    let whole = |n: usize| length.is_none_or(|length| length == n) && !(chunked && mark.ended.get());
    let body = body.ok().filter(|body| whole(body.len()));
    match (fate, body) {
        (Fate::Settled, Some(body)) => Outcome { fate, report, made: Some(Made { status, headers, body }) },
        (fate, Some(body)) if carried.reading == Reading::Plain => {
            Outcome { fate, report, made: Some(Made { status, headers, body }) }
        }
        (Fate::Settled, None) => {
            log::warn!("backend {at}: an answer that stops short or is over 64 KiB");
            Outcome { report, ..Outcome::only(Fate::Broken) }
        }
        (fate, _) => Outcome { report, ..Outcome::only(fate) },
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

pub fn fate(status: StatusCode, headers: &HeaderMap, reading: Reading) -> Fate {
    let never_ran = headers.get("x-never-ran").is_some_and(|v| v.as_bytes() == b"1");
    match status.as_u16() {
        200 => Fate::Settled,
        503 | 504 if never_ran => Fate::TurnedAway,
        408 | 429 => Fate::Errored,
        _ if reading == Reading::Plain && status.as_u16() < 500 => Fate::Settled,
        400..=499 => Fate::Unusable,
        _ => Fate::Errored,
    }
}

pub fn report(headers: &HeaderMap) -> Option<Report> {
    headers.get("endpoint-load-metrics").and_then(|line| report_line(line.to_str().ok()?))
}

/// A break before the last byte was written never ran; after it, it may have.
fn broke(why: &SendRequestError, whole: bool) -> Outcome {
    Outcome::only(match why {
        SendRequestError::Connect(ConnectError::Io(e)) if e.to_string() == NO_ROOM => Fate::NeverSent,
        _ if whole => Fate::Broken,
        _ => Fate::NoLink,
    })
}

/// Asks a backend for its health and load.
pub async fn probe(client: Client, at: SocketAddr, within: Duration) -> (Fate, Option<Report>) {
    let mark = Mark::new(0);
    let asked = async {
        let mut answer = match client.get(format!("http://{at}/load")).no_decompress().send().await {
            Ok(answer) => answer,
            Err(why) => return (broke(&why, mark.whole()).fate, None),
        };
        let fate = if answer.status() == StatusCode::OK { Fate::Settled } else { Fate::Errored };
        let (by_header, length) = (report(answer.headers()), length(answer.headers()));
        let body = answer.body().limit(BODY).await;
        mark.over(length);
        match body {
            Ok(body) => {
                let line = std::str::from_utf8(&body).ok();
                (fate, line.and_then(report_line).or(by_header))
            }
            Err(_) => (Fate::Broken, by_header),
        }
    };
    actix_rt::time::timeout(within, MARK.scope(mark.clone(), asked)).await.unwrap_or((Fate::TimedOut, None))
}
