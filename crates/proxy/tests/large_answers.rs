//! Large answers, with a length and without, through two proxies: real programs.
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Barrier, Mutex};
use std::time::Duration;

mod support;

use support::mesh::{HOST, Mesh, RouteSpec};
use support::{BOUND, BackendLog, MEMORY_MB, read_headers};

const PREFIX: &str = "/answers/";
/// Several of these are more than a proxy may have of memory.
const BODY_BYTES: usize = 16 << 20;
const CLIENTS: usize = 8;
/// Clients that take nothing for a while: with what each may keep of an answer meanwhile they are within the memory of a proxy.
const SLOW_CLIENTS: usize = 40;
/// What the backend writes at a time.
const PIECE_BYTES: usize = 16 << 10;
/// No part of the pattern is like another of the same length within this.
const PATTERN_PERIOD: usize = 251;

fn pattern(offset: usize, length: usize) -> Vec<u8> {
    (offset..offset + length).map(|at| (at % PATTERN_PERIOD) as u8).collect()
}

/// A backend whose answers end as the path says: `/answers/length`, `/answers/chunked`, `/answers/close`, and with `-cut` behind it before
/// their end.
fn start_large_backend(address: &str) -> Arc<Mutex<BackendLog>> {
    let listener = TcpListener::bind(address).unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || while answer(&stream).is_some() {});
        }
    });
    Arc::default()
}

fn answer(mut stream: &TcpStream) -> Option<()> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|bytes| *bytes > 0)?;
    let path = line.split(' ').nth(1)?.strip_prefix(PREFIX)?.to_string();
    let headers = read_headers(&mut reader)?;
    let attempt_id = &headers["notchspool-attempt-id"];
    let is_chunked = path.starts_with("chunked");
    let is_cut = path.ends_with("-cut");
    let has_length = path.starts_with("length");
    let framing = match (is_chunked, has_length) {
        (true, _) => "transfer-encoding: chunked\r\n".to_string(),
        (_, true) => format!("content-length: {BODY_BYTES}\r\n"),
        _ => String::new(),
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nnotchspool-attempt-id: {attempt_id}\r\nnotchspool-server-seal: seal\r\n{framing}\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    let sent_bytes = if is_cut { BODY_BYTES / 2 } else { BODY_BYTES };
    for offset in (0..sent_bytes).step_by(PIECE_BYTES) {
        let piece = pattern(offset, PIECE_BYTES);
        if is_chunked {
            write!(stream, "{PIECE_BYTES:x}\r\n").ok()?;
            stream.write_all(&piece).ok()?;
            stream.write_all(b"\r\n").ok()?;
        } else {
            stream.write_all(&piece).ok()?;
        }
    }
    if has_length {
        return (!is_cut).then_some(());
    }
    match (is_chunked, is_cut) {
        (true, false) => stream.write_all(b"0\r\n\r\n").ok(),
        (true, true) => None,
        (false, false) => stream.shutdown(Shutdown::Write).ok().and(None),
        (false, true) => reset(stream),
    }
}

/// Ends a connection by a reset.
fn reset(stream: &TcpStream) -> Option<()> {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)).unwrap();
    None
}

/// How a body came to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Body {
    /// Complete, by its length or its last chunk, and as the backend sent it.
    Whole,
    /// It broke off, and what came of it was as the backend sent it.
    BrokenOff,
    /// It looks complete, or is another one.
    Wrong,
}

/// Sends a request, and reads its answer; the status and the body.
fn request(to: SocketAddr, path: &str, id: &str, pause: Duration) -> (u16, Body) {
    let mut stream = TcpStream::connect(to).unwrap();
    stream.set_read_timeout(Some(BOUND)).unwrap();
    let head = format!(
        "GET {PREFIX}{path} HTTP/1.1\r\nhost: {HOST}\r\nnotchspool-attempt-id: {id}\r\nnotchspool-operation-key: {id}\r\nnotchspool-time-left-ms: 25000\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).unwrap();
    let status = line.split(' ').nth(1).map_or(0, |status| status.parse().unwrap());
    let headers = read_headers(&mut reader).unwrap();
    if status != 200 {
        return (status, Body::BrokenOff);
    }
    std::thread::sleep(pause);
    let mut body = BodyCheck::default();
    let is_complete = match headers.get("content-length") {
        Some(length) => body.read(&mut reader, length.parse().unwrap()),
        None => body.read_chunks(&mut reader),
    };
    (status, body.judge(is_complete))
}

/// What a client has read of a body.
#[derive(Default)]
struct BodyCheck {
    read: usize,
    is_other: bool,
}

impl BodyCheck {
    /// Reads so many bytes; false where they do not come.
    fn read(&mut self, reader: &mut impl Read, bytes: usize) -> bool {
        let mut piece = Vec::new();
        let is_complete = reader.take(bytes as u64).read_to_end(&mut piece).is_ok_and(|read| read == bytes);
        self.is_other |= piece != pattern(self.read, piece.len());
        self.read += piece.len();
        is_complete
    }

    /// Reads chunks up to the last one; false where that does not come.
    fn read_chunks(&mut self, reader: &mut impl BufRead) -> bool {
        loop {
            let mut line = String::new();
            if !reader.read_line(&mut line).is_ok_and(|bytes| bytes > 0) {
                return false;
            }
            let size = usize::from_str_radix(line.trim_end(), 16).unwrap();
            let mut line_end = [0; 2];
            if !self.read(reader, size) || reader.read_exact(&mut line_end).is_err() {
                return false;
            }
            assert_eq!(&line_end, b"\r\n");
            if size == 0 {
                return true;
            }
        }
    }

    fn judge(&self, is_complete: bool) -> Body {
        match (self.is_other, is_complete) {
            (false, true) if self.read == BODY_BYTES => Body::Whole,
            (false, false) => Body::BrokenOff,
            _ => Body::Wrong,
        }
    }
}

fn start(net: &str, kind: &str) -> Mesh {
    let route = RouteSpec { prefix: PREFIX.into(), kind, timeout: Duration::from_secs(25) };
    Mesh::start_with(net, SLOW_CLIENTS as u32, &route, start_large_backend)
}

/// Guards against answers that are kept whole in both proxies, and end the connection between them
/// (`docs/incidents/unsized-answers-kept-whole.md`).
#[test]
fn large_answers_pass_whole_and_take_no_more_memory_than_a_proxy_may_have() {
    let mesh = start("127.89.1", "safe");
    let to = mesh.front.outbound_address();
    let together = Arc::new(Barrier::new(CLIENTS));
    let clients = (0..CLIENTS).map(|client| {
        let together = together.clone();
        std::thread::spawn(move || {
            together.wait();
            let path = ["chunked", "close", "length"][client % 3];
            // Some take nothing for a while.
            let pause = Duration::from_millis(if client % 4 < 2 { 0 } else { 1_000 });
            request(to, path, &format!("a-{client}"), pause)
        })
    });
    let clients: Vec<_> = clients.collect();
    for (client, answer) in clients.into_iter().map(|client| client.join().unwrap()).enumerate() {
        assert_eq!(answer, (200, Body::Whole), "client {client}");
    }
    for proxy in [&mesh.front, &mesh.back] {
        let peak = proxy.peak_memory_bytes();
        assert!(peak <= MEMORY_MB << 20, "{}: {} MiB of {MEMORY_MB}", proxy.site.ip, peak >> 20);
    }
}

/// Guards against answers that take memory of a budget although they are passed on as they come: all but a few broke off then.
#[test]
fn any_number_of_clients_may_be_slow_to_take_large_answers() {
    let mesh = start("127.89.4", "safe");
    let to = mesh.front.outbound_address();
    for path in ["chunked", "length"] {
        let clients = (0..SLOW_CLIENTS).map(|client| {
            let id = format!("{path}-{client}");
            std::thread::spawn(move || request(to, path, &id, Duration::from_millis(2_000)))
        });
        let clients: Vec<_> = clients.collect();
        for (client, answer) in clients.into_iter().map(|client| client.join().unwrap()).enumerate() {
            assert_eq!(answer, (200, Body::Whole), "{path}, client {client}");
        }
    }
}

#[test]
fn a_large_answer_that_breaks_off_never_looks_complete() {
    let mesh = start("127.89.2", "safe");
    let to = mesh.front.outbound_address();
    for path in ["chunked-cut", "close-cut", "length-cut"] {
        let (status, body) = request(to, path, path, Duration::ZERO);
        assert!(body == Body::BrokenOff, "{path}: {status}, {body:?}");
    }
    let (status, body) = request(to, "chunked", "after", Duration::ZERO);
    assert_eq!((status, body), (200, Body::Whole), "others go on");
}

/// They are kept whole, for repeats of their keys: what there is no memory for is not known any more, and is no complete answer.
#[test]
fn large_answers_to_keys_take_no_more_memory_than_a_proxy_may_have() {
    let mesh = start("127.89.3", "keyed");
    let to = mesh.front.outbound_address();
    assert_eq!(request(to, "chunked", "alone", Duration::ZERO), (200, Body::Whole));
    let clients = (0..CLIENTS).map(|client| {
        std::thread::spawn(move || request(to, "chunked", &format!("k-{client}"), Duration::ZERO))
    });
    let clients: Vec<_> = clients.collect();
    for (client, answer) in clients.into_iter().map(|client| client.join().unwrap()).enumerate() {
        assert!(matches!(answer, (200, Body::Whole) | (502, Body::BrokenOff)), "client {client}: {answer:?}");
    }
    let peak = mesh.back.peak_memory_bytes();
    assert!(peak <= MEMORY_MB << 20, "{} MiB of {MEMORY_MB}", peak >> 20);
}
