//! The backend of this machine, over HTTP/1.1: connections kept for some time, one request at a time on each. An answer counts only where
//! it carries the id of the request and comes whole; what else comes is left out, and ends the connection where it can't be told apart.
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use notchspool::units::Micros;
use notchspool_mesh_protocol::{Header, MAX_HEADERS, Request, Response, Verdict};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::connection::{Connection, Event, Head, Id, Step, Word};
use crate::house::{House, within};
use crate::pipe::{End, PIECE, Pipe};

pub const ATTEMPT: &str = "notchspool-attempt-id";
pub const TIME_LEFT: &str = "notchspool-time-left-ms";
pub const TARGET: &str = "notchspool-target-instance";
pub const CALLER: &str = "notchspool-calling-service";
pub const KEY: &str = "notchspool-operation-key";
pub const SEAL: &str = "notchspool-server-seal";
pub const NOT_RUN: &str = "notchspool-not-run";

/// Connections that stand unused are kept for this long where the backend says nothing, less a margin.
const KEEP: Micros = Micros::ms(8_000);
const MARGIN: Micros = Micros::ms(1_000);
/// Bytes of an answer's head, and of a whole answer.
const MOST_HEAD: usize = 64 << 10;
const MOST_BODY: usize = 64 << 20;
/// A connection to the same machine is up by then.
const CONNECT: Micros = Micros::ms(500);
/// Bodies that hold up the machine's link for longer than this are passed on in pieces, but those that are kept for their keys. The bounds
/// of that size: whole ones can be asked for again where they break off, so pieces are for what needs them.
const HOLDS_UP: f64 = 0.01;
const LARGE: (usize, usize) = (16 << 10, 256 << 10);
/// With less time left a request is not sent any more.
const TOO_LATE: Micros = Micros::ms(2);

/// What came of a request at the backend: its answer, or what else is known, as it goes on to where it began.
pub struct Played {
    pub said: Response,
    /// The rest of a large answer.
    pub rest: Option<Pipe>,
}

/// The backend took no connection, or none was asked for: not a byte was sent.
fn not_reached(why: &str) -> Played {
    Played {
        said: Response { verdict: Verdict::NotRun.into(), reason: why.into(), ..Response::default() },
        rest: None,
    }
}

fn may_have_run(why: &str) -> Played {
    let verdict = Verdict::MayHaveRun.into();
    Played {
        said: Response { verdict, reached_backend: true, reason: why.into(), ..Response::default() },
        rest: None,
    }
}

fn played(word: Word, answer: Answer) -> Played {
    Played { said: word.said(0, answer.said), rest: None }
}

/// Whether a header concerns one connection only, or is set anew at each step.
pub fn of_one_connection(name: &str) -> bool {
    const ALL: [&str; 10] = [
        "connection",
        "keep-alive",
        "transfer-encoding",
        "content-length",
        "te",
        "trailer",
        "upgrade",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
    ];
    ALL.contains(&name)
}

struct Answer {
    said: Response,
    head: Head,
    /// Till when the connection may be used again; none where it may not.
    keep: Option<Micros>,
    /// Bytes of a large body, of which none has been read yet.
    rest: Option<usize>,
}

impl House {
    pub async fn play(self: &Rc<House>, ask: &Request, until: Micros) -> Played {
        let Some(app) = self.told.borrow().app_address else {
            return not_reached("no backend is told");
        };
        let left = until - self.now();
        let (stream, connection) = match self.pool.take(self.now(), &ask.attempt_id) {
            Some(kept) => kept,
            None => match within(CONNECT.min(left), TcpStream::connect(app)).await {
                Some(Ok(stream)) => {
                    let mut connection = Connection::fresh();
                    connection.turn(Event::Ask { now: self.now(), attempt: &ask.attempt_id, quiet: true });
                    (stream, connection)
                }
                Some(Err(e)) => return not_reached(&format!("the backend takes no connection: {e}")),
                None => return not_reached("the backend takes no connection"),
            },
        };
        let _ = stream.set_nodelay(true);
        let left = until - self.now();
        if left <= TOO_LATE {
            return not_reached("its time is over");
        }
        let played = within(left, self.exchange(stream, connection, ask, left, until)).await;
        played.unwrap_or_else(|| may_have_run("no answer in time"))
    }

    async fn exchange(
        self: &Rc<House>,
        mut stream: TcpStream,
        mut connection: Connection,
        ask: &Request,
        left: Micros,
        until: Micros,
    ) -> Played {
        match send(&mut stream, &request(ask, left), &ask.body).await {
            Ok(Sent::Whole) => connection.turn(Event::Written),
            Ok(Sent::Early) => connection.turn(Event::Early),
            Err(e) => return may_have_run(&format!("writing: {e}")),
        };
        let speed = self.told.borrow().link_mbps * 1e6 / 8.0;
        let least = ((speed * HOLDS_UP) as usize).clamp(LARGE.0, LARGE.1);
        let large = ask.key.is_empty().then_some((ask.attempt_id.as_str(), least));
        let mut got = BytesMut::with_capacity(4096);
        loop {
            let answer =
                match read_answer(&mut stream, &mut got, ask.method == "HEAD", self.now(), large).await {
                    Ok(answer) => answer,
                    Err(why) => {
                        if connection.reused() {
                            self.count("reused_broke");
                        }
                        return may_have_run(&why);
                    }
                };
            match connection.turn(Event::Head(&answer.head)) {
                Step::Ours => {}
                Step::PassOver => {
                    // An answer to an earlier request, in the place of this one's.
                    self.count("answers_astray");
                    match connection.turn(Event::Whole { keep: answer.keep, surplus: false }) {
                        Step::Go => continue,
                        Step::MayHaveRun(why) => return may_have_run(why),
                        _ => return may_have_run("the connection broke"),
                    }
                }
                Step::TurnedAway(word) => return played(word, answer),
                Step::MayHaveRun(why) => {
                    self.count("answers_astray");
                    return may_have_run(why);
                }
                _ => return may_have_run("the connection broke"),
            }
            if let Some(length) = answer.rest {
                let first = got.split_to(got.len().min(length)).freeze();
                let (pipe, left) = (Pipe::default(), length - first.len());
                // Bytes behind the first part can only be part of the answer.
                let (house, filled) = (self.clone(), pipe.clone());
                self.large(ask.latency_target_ms, length);
                let rest = Rest { stream, connection, left, keep: answer.keep, surplus: !got.is_empty() };
                tokio::task::spawn_local(pass_on(house, rest, filled, until));
                let answer = Response { body: first, more: true, length: length as u64, ..answer.said };
                return Played { said: Word::Answered.said(0, answer), rest: Some(pipe) };
            }
            let whole = Event::Whole { keep: answer.keep, surplus: !got.is_empty() };
            if let Step::Keep(_) = connection.turn(whole) {
                self.pool.keep(stream, connection);
            }
            return played(answer.head.word(), answer);
        }
    }
}

enum Sent {
    Whole,
    /// Bytes, or the end, came before it was whole: nothing more is written.
    Early,
}

async fn send(stream: &mut TcpStream, head: &[u8], body: &[u8]) -> std::io::Result<Sent> {
    let (mut reads, mut writes) = stream.split();
    let mut byte = [0u8; 1];
    let write = async {
        writes.write_all(head).await?;
        if !body.is_empty() {
            writes.write_all(body).await?;
        }
        Ok(Sent::Whole)
    };
    // What can be written at once is: only then it is looked whether something comes.
    tokio::select! {
        biased;
        sent = write => sent,
        came = reads.peek(&mut byte) => came.map(|_| Sent::Early),
    }
}

fn request(ask: &Request, left: Micros) -> BytesMut {
    let mut head = BytesMut::with_capacity(512);
    let mut put = |parts: &[&[u8]]| parts.iter().for_each(|p| head.extend_from_slice(p));
    put(&[
        ask.method.as_bytes(),
        b" ",
        ask.target.as_bytes(),
        b" HTTP/1.1\r\nhost: ",
        ask.host.as_bytes(),
        b"\r\n",
    ]);
    for pair in &ask.headers {
        put(&[pair.name.as_bytes(), b": ", &pair.value, b"\r\n"]);
    }
    let left = (left.0 / 1000).max(1).to_string();
    put(&[TIME_LEFT.as_bytes(), b": ", left.as_bytes(), b"\r\n"]);
    put(&[TARGET.as_bytes(), b": ", ask.instance.as_bytes(), b"\r\n"]);
    put(&[CALLER.as_bytes(), b": ", ask.caller.as_bytes(), b"\r\n"]);
    if !ask.body.is_empty() || matches!(ask.method.as_str(), "POST" | "PUT" | "PATCH") {
        put(&[b"content-length: ", ask.body.len().to_string().as_bytes(), b"\r\n"]);
    }
    put(&[b"\r\n"]);
    head
}

enum Framing {
    Length(usize),
    Chunked,
    ToEnd,
}

async fn more(stream: &mut TcpStream, got: &mut BytesMut) -> Result<(), String> {
    match stream.read_buf(got).await {
        Ok(0) => Err("the backend closed".into()),
        Ok(_) => Ok(()),
        Err(e) => Err(format!("reading: {e}")),
    }
}

async fn read_answer(
    stream: &mut TcpStream,
    got: &mut BytesMut,
    head_only: bool,
    now: Micros,
    large: Option<(&str, usize)>,
) -> Result<Answer, String> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let parsed = response.parse(got).map_err(|e| format!("no answer: {e}"))?;
        let httparse::Status::Complete(length) = parsed else {
            if got.len() > MOST_HEAD {
                return Err("a head without an end".into());
            }
            more(stream, got).await?;
            continue;
        };
        let status = response.code.unwrap_or(0);
        if (100..200).contains(&status) {
            let _ = got.split_to(length);
            continue;
        }
        let (mut answer, framing) = read_head(&response, status, now)?;
        let _ = got.split_to(length);
        let framing = if head_only || status == 204 || status == 304 { Framing::Length(0) } else { framing };
        if matches!(framing, Framing::ToEnd) {
            answer.keep = None;
        }
        if let Framing::Length(n) = framing
            && let Some((attempt, least)) = large
            && n >= least
            && answer.head.id == Id::One(attempt.to_string())
            && (200..300).contains(&status)
            && answer.head.word() == Word::Answered
        {
            // The caller passes the rest on as it comes.
            answer.rest = Some(n);
            return Ok(answer);
        }
        answer.said.body = read_body(stream, got, framing).await?;
        return Ok(answer);
    }
}

/// What is left of a large answer, and its connection.
struct Rest {
    stream: TcpStream,
    connection: Connection,
    left: usize,
    keep: Option<Micros>,
    surplus: bool,
}

/// Reads the rest of a large answer into its pipe. The connection is kept where it came whole and nothing after it.
async fn pass_on(house: Rc<House>, rest: Rest, pipe: Pipe, until: Micros) {
    let Rest { mut stream, mut connection, mut left, keep, surplus } = rest;
    let mut got = BytesMut::new();
    while left > 0 {
        let wait = until - house.now();
        let read = async {
            if !pipe.room().await {
                return Ok(0);
            }
            if !got.is_empty() {
                return Ok(got.len());
            }
            got.reserve(left.min(PIECE));
            stream.read_buf(&mut got).await
        };
        match within(wait, read).await {
            Some(Ok(n)) if n > 0 => {
                let part = got.split_to(got.len().min(left).min(PIECE));
                left -= part.len();
                pipe.put(part.freeze());
            }
            _ => {
                house.count("pieces_broke");
                return pipe.end(End::Broken);
            }
        }
    }
    pipe.end(End::Whole);
    let whole = Event::Whole { keep, surplus: surplus || !got.is_empty() };
    if let Step::Keep(_) = connection.turn(whole) {
        house.pool.keep(stream, connection);
    }
}

fn read_head(
    response: &httparse::Response<'_, '_>,
    status: u16,
    now: Micros,
) -> Result<(Answer, Framing), String> {
    let mut answer = Answer {
        said: Response { status: u32::from(status), ..Response::default() },
        head: Head { status, ..Head::default() },
        keep: (response.version == Some(1)).then_some(now + KEEP),
        rest: None,
    };
    let (mut length, mut chunked) = (None, false);
    for header in response.headers.iter() {
        let name = header.name.to_ascii_lowercase();
        let text =
            || std::str::from_utf8(header.value).map(str::trim).map_err(|_| format!("{name} is no text"));
        match name.as_str() {
            "content-length" => {
                let n: usize = text()?.parse().map_err(|_| "no length".to_string())?;
                if length.is_some_and(|old| old != n) || n > MOST_BODY {
                    return Err("no length that can be".into());
                }
                length = Some(n);
            }
            "transfer-encoding" => {
                chunked = text()?.eq_ignore_ascii_case("chunked");
                if !chunked {
                    return Err("an encoding that is not known".into());
                }
            }
            "connection" if text()?.to_ascii_lowercase().contains("close") => answer.keep = None,
            "keep-alive" => {
                let span =
                    text()?.split(',').find_map(|p| p.trim().strip_prefix("timeout=")?.parse::<i64>().ok());
                if let (Some(span), true) = (span, answer.keep.is_some()) {
                    answer.keep = Some(now + Micros::ms(span.clamp(0, 3_600) * 1_000) - MARGIN);
                }
            }
            ATTEMPT => {
                let id = std::str::from_utf8(header.value).map(|v| Id::One(v.trim().to_string()));
                answer.head.id = match (&answer.head.id, id) {
                    (Id::Missing, Ok(id)) => id,
                    (old, Ok(id)) if *old == id => id,
                    _ => Id::Garbled,
                };
            }
            SEAL => answer.head.sealed = true,
            NOT_RUN => answer.head.not_run = true,
            "content-encoding" => answer.head.encoded = !text()?.eq_ignore_ascii_case("identity"),
            _ => {}
        }
        if !of_one_connection(&name) {
            answer.said.headers.push(Header { name, value: Bytes::copy_from_slice(header.value) });
        }
    }
    let framing = match (chunked, length) {
        (true, Some(_)) => return Err("a length and chunks".into()),
        (true, None) => Framing::Chunked,
        (false, Some(n)) => Framing::Length(n),
        (false, None) => Framing::ToEnd,
    };
    Ok((answer, framing))
}

async fn read_body(stream: &mut TcpStream, got: &mut BytesMut, framing: Framing) -> Result<Bytes, String> {
    match framing {
        Framing::Length(n) => {
            got.reserve(n.saturating_sub(got.len()).min(1 << 20));
            while got.len() < n {
                more(stream, got).await.map_err(|e| format!("the body was cut short: {e}"))?;
            }
            Ok(got.split_to(n).freeze())
        }
        Framing::ToEnd => loop {
            if got.len() > MOST_BODY {
                return Err("a body without an end".into());
            }
            match stream.read_buf(got).await {
                Ok(0) => return Ok(got.split().freeze()),
                Ok(_) => {}
                Err(e) => return Err(format!("reading: {e}")),
            }
        },
        Framing::Chunked => {
            let mut body = BytesMut::new();
            loop {
                let (start, size) = loop {
                    match httparse::parse_chunk_size(got) {
                        Ok(httparse::Status::Complete(found)) => break found,
                        Ok(httparse::Status::Partial) => more(stream, got).await?,
                        Err(_) => return Err("no chunk".into()),
                    }
                };
                let size = usize::try_from(size).ok().filter(|s| body.len() + s <= MOST_BODY);
                let Some(size) = size else { return Err("a chunk too large".into()) };
                while got.len() < start + size + 2 {
                    more(stream, got).await?;
                }
                let _ = got.split_to(start);
                body.extend_from_slice(&got.split_to(size));
                if size == 0 {
                    // Trailers, up to an empty line.
                    while got.first_chunk::<2>() != Some(b"\r\n") {
                        let Some(end) = got.windows(2).position(|w| w == b"\r\n") else {
                            if got.len() > MOST_HEAD {
                                return Err("trailers without an end".into());
                            }
                            more(stream, got).await?;
                            continue;
                        };
                        let _ = got.split_to(end + 2);
                        while got.len() < 2 {
                            more(stream, got).await?;
                        }
                    }
                    let _ = got.split_to(2);
                    return Ok(body.freeze());
                }
                if got.split_to(2)[..] != *b"\r\n" {
                    return Err("no end of a chunk".into());
                }
            }
        }
    }
}
