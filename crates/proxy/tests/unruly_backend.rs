//! A backend whose answers are drawn, and most of them spoilt, behind two proxies: real programs. What a client takes for a complete success
//! has to be what a slow and plain reader of our own finds in the bytes that the backend sent for that request.
//!
//! CI plays a few seeds. By hand: `NOTCHSPOOL_UNRULY_SEEDS=0..50 cargo test -p notchspool-proxy --test unruly_backend`.
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::Range;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use oorandom::Rand64;

mod support;

use support::mesh::{HOST, Mesh, RouteSpec};
use support::plain_http::{self, Ending, Message};
use support::{BOUND, BackendLog, read_headers};

const SEEDS_VARIABLE: &str = "NOTCHSPOOL_UNRULY_SEEDS";
const DEFAULT_SEEDS: Range<u64> = 0..2;
const PREFIX: &str = "/unruly/";
const CLIENTS: u64 = 12;
const REQUESTS_A_CLIENT: u64 = 40;
/// What clients wait for a sound answer, however slow the machine is; and for one that is spoilt, whose backend may say nothing more.
const TIME_LEFT_MS: u64 = 20_000;
const SPOILT_TIME_LEFT_MS: u64 = 500;
/// A refused try is made again after this, so often at most.
const RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_TRIES: usize = 100;
/// A run that is given up with its client ends at its backend within this.
const RUN_ENDS_WITHIN: Duration = Duration::from_millis(500);
const SPOILT_PART: f64 = 0.7;

/// What the backend has done for one request.
#[derive(Clone)]
struct Sent {
    bytes: Vec<u8>,
    ending: Ending,
    body: Vec<u8>,
    is_spoilt: bool,
    /// Its connection has carried one that was spoilt: what came of that late may stand before this one.
    is_after_spoilt: bool,
    /// The tries that came to the backend, by their attempt ids.
    runs: Vec<String>,
}

impl std::fmt::Debug for Sent {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let text = String::from_utf8_lossy(&self.bytes[..self.bytes.len().min(2_000)]);
        write!(formatter, "{} bytes, {:?} behind them, {text:?}", self.bytes.len(), self.ending)
    }
}

/// By the number of the request.
type Record = Arc<Mutex<BTreeMap<u64, Sent>>>;

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var(SEEDS_VARIABLE) else { return DEFAULT_SEEDS };
    let (first, end) = text.split_once("..").expect("FIRST..END");
    first.parse().expect("a number")..end.parse().expect("a number")
}

/// All that is drawn for one request.
fn random_of(seed: u64, number: u64) -> Rand64 {
    Rand64::new(u128::from(seed) << 64 | u128::from(number))
}

fn time_left_ms(seed: u64, number: u64) -> u64 {
    let is_spoilt = draw_answer(&mut random_of(seed, number), number, "any").is_spoilt;
    if is_spoilt { SPOILT_TIME_LEFT_MS } else { TIME_LEFT_MS }
}

// ---- The backend ------------------------------------------------------------------------------------------

fn start_unruly_backend(address: &str, seed: u64, record: &Record) -> Arc<Mutex<BackendLog>> {
    let listener = TcpListener::bind(address).unwrap();
    let record = record.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = record.clone();
            std::thread::spawn(move || {
                let mut is_after_spoilt = false;
                while let Some(is_spoilt) = answer(&stream, seed, &record, is_after_spoilt) {
                    is_after_spoilt |= is_spoilt;
                }
            });
        }
    });
    Arc::default()
}

/// Answers one request, and says whether that was spoilt; `None` where the connection is not used again.
fn answer(mut stream: &TcpStream, seed: u64, record: &Record, is_after_spoilt: bool) -> Option<bool> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|bytes| *bytes > 0)?;
    let headers = read_headers(&mut reader)?;
    let attempt_id = headers["notchspool-attempt-id"].clone();
    let number: u64 = attempt_id.split('-').nth(1)?.parse().unwrap();
    let mut random = random_of(seed, number);
    let sent = Sent { is_after_spoilt, ..draw_answer(&mut random, number, &attempt_id) };
    record.lock().unwrap().entry(number).or_insert(sent.clone()).runs.push(attempt_id);
    for piece in draw_pieces(&mut random, &sent.bytes) {
        stream.write_all(piece).ok()?;
        if random.rand_float() < 0.02 {
            std::thread::sleep(Duration::from_millis(3));
        }
    }
    match sent.ending {
        Ending::Kept => Some(sent.is_spoilt),
        Ending::Closed => None,
        Ending::Reset => {
            socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)).unwrap();
            None
        }
    }
}

fn draw_pieces<'a>(random: &mut Rand64, bytes: &'a [u8]) -> Vec<&'a [u8]> {
    let most = [7, 100, 5_000, 1 << 20][random.rand_range(0..4) as usize];
    // Few pieces of a large answer, whatever is drawn.
    bytes.chunks(most.max(bytes.len() / 300 + 1)).collect()
}

fn draw_answer(random: &mut Rand64, number: u64, attempt_id: &str) -> Sent {
    let length = [0, 1, 40, 900, 20_000, 90_000, 400_000][random.rand_range(0..7) as usize];
    let body: Vec<u8> = format!("{number}|").bytes().cycle().take(length).collect();
    let mut bytes =
        format!("HTTP/1.1 200 OK\r\nnotchspool-attempt-id: {attempt_id}\r\nnotchspool-server-seal: seal\r\n")
            .into_bytes();
    let mut ending = Ending::Kept;
    match random.rand_range(0..3) {
        0 => {
            bytes.extend_from_slice(format!("content-length: {length}\r\n\r\n").as_bytes());
            bytes.extend_from_slice(&body);
        }
        1 => {
            bytes.extend_from_slice(b"transfer-encoding: chunked\r\n\r\n");
            append_chunks(random, &body, &mut bytes);
        }
        _ => {
            bytes.extend_from_slice(b"\r\n");
            bytes.extend_from_slice(&body);
            ending = Ending::Closed;
        }
    }
    let is_spoilt = random.rand_float() < SPOILT_PART;
    if is_spoilt {
        ending = spoil(random, &mut bytes, ending);
    }
    Sent { bytes, ending, body, is_spoilt, is_after_spoilt: false, runs: Vec::new() }
}

fn append_chunks(random: &mut Rand64, body: &[u8], bytes: &mut Vec<u8>) {
    let size = [1 + body.len() / 50, 1 + body.len() / 3, 16_384][random.rand_range(0..3) as usize];
    let extension = ["", ";a=b", " "][random.rand_range(0..3) as usize];
    for chunk in body.chunks(size) {
        bytes.extend_from_slice(format!("{:x}{extension}\r\n", chunk.len()).as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    let trailer = ["", "x-check: 1\r\n"][random.rand_range(0..2) as usize];
    bytes.extend_from_slice(format!("0\r\n{trailer}\r\n").as_bytes());
}

/// Spoils one place, most often of the framing, or the end.
fn spoil(random: &mut Rand64, bytes: &mut Vec<u8>, ending: Ending) -> Ending {
    let framing: Vec<usize> = (0..bytes.len()).filter(|at| is_near_line_end(bytes, *at)).collect();
    let at = match framing.len() as u64 {
        0 => random.rand_range(0..bytes.len() as u64) as usize,
        places => framing[random.rand_range(0..places) as usize],
    };
    let byte = *b"\r\n 0;:zfF-+\t\0".get(random.rand_range(0..14) as usize).unwrap_or(&b'9');
    match random.rand_range(0..8) {
        0 => bytes[at] = byte,
        1 => bytes.insert(at, byte),
        2 => drop(bytes.remove(at)),
        3 => bytes.insert(at, bytes[at]),
        4 => drop(bytes.splice(at..at, *b"\r\n")),
        5 => bytes.extend_from_slice(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nno"),
        6 => bytes.truncate(at),
        _ => {
            let size = ["FFFFFFFFFFFFFFFF", "-1", "+5", "0x5", "4000001"][random.rand_range(0..5) as usize];
            drop(bytes.splice(at..at, size.bytes()));
        }
    }
    match random.rand_range(0..4) {
        0 => Ending::Reset,
        1 => Ending::Closed,
        _ => ending,
    }
}

fn is_near_line_end(bytes: &[u8], at: usize) -> bool {
    bytes[at.saturating_sub(3)..(at + 3).min(bytes.len())].windows(2).any(|pair| pair == b"\r\n")
}

// ---- The clients ------------------------------------------------------------------------------------------

/// What a client has seen.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Seen {
    /// A complete answer.
    Answer(Message),
    /// The answer broke off, or never came.
    NoAnswer,
}

/// One try of a request.
#[derive(Clone, Debug)]
struct Try {
    attempt_id: String,
    seen: Seen,
}

impl Try {
    fn is(&self, wanted: u16) -> bool {
        matches!(&self.seen, Seen::Answer(message) if message.status == wanted)
    }

    /// The body of a success.
    fn success(&self) -> Option<&Vec<u8>> {
        match &self.seen {
            Seen::Answer(message) if message.status == 200 => Some(&message.body),
            _ => None,
        }
    }
}

/// A client's tries of one request, and of its repeat where it has a key.
struct Requester {
    to: SocketAddr,
    number: u64,
    is_keyed: bool,
    time_left_ms: u64,
    tries: Vec<Try>,
}

impl Requester {
    /// Tries until it is not refused any more.
    fn request(&mut self) -> &Try {
        loop {
            let attempt_id = format!("u-{}-{}", self.number, self.tries.len());
            let seen = self.send(&attempt_id);
            self.tries.push(Try { attempt_id, seen });
            let last = self.tries.last().unwrap();
            if !last.is(503) || self.tries.len() >= MAX_TRIES {
                return self.tries.last().unwrap();
            }
            std::thread::sleep(RETRY_AFTER);
        }
    }

    /// A repeat of its key, once more where its run may not have ended yet.
    fn repeat(&mut self) {
        if self.request().is(409) {
            self.tries.pop();
            std::thread::sleep(RUN_ENDS_WITHIN);
            self.request();
        }
    }

    /// One try on a connection of its own.
    fn send(&self, attempt_id: &str) -> Seen {
        let Requester { to, number, time_left_ms, .. } = *self;
        let Ok(mut stream) = TcpStream::connect(to) else { return Seen::NoAnswer };
        stream.set_read_timeout(Some(BOUND)).unwrap();
        let key =
            if self.is_keyed { format!("notchspool-operation-key: k-{number}\r\n") } else { String::new() };
        let head = format!(
            "GET {PREFIX}{number} HTTP/1.1\r\nhost: {HOST}\r\nnotchspool-attempt-id: {attempt_id}\r\nnotchspool-time-left-ms: {time_left_ms}\r\n{key}connection: close\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).unwrap();
        let mut bytes = Vec::new();
        let ending = match stream.read_to_end(&mut bytes) {
            Ok(_) => Ending::Closed,
            Err(_) => Ending::Reset,
        };
        plain_http::read(&bytes, ending).map_or(Seen::NoAnswer, Seen::Answer)
    }
}

/// What is wrong with what a client has seen, if anything is.
fn judge(requester: &Requester, sent: Option<&Sent>) -> Option<String> {
    let Requester { number, tries, is_keyed, .. } = requester;
    let Some(sent) = sent else {
        return tries
            .iter()
            .find_map(Try::success)
            .map(|_| format!("{number}: a success that no backend sent"));
    };
    let meant = plain_http::read(&sent.bytes, sent.ending).filter(|message| message.status == 200);
    let meant = meant.map(|message| message.body);
    if let Some(other) = tries.iter().filter_map(Try::success).find(|body| Some(*body) != meant.as_ref()) {
        return Some(format!(
            "{number}: a success of {} bytes that the backend did not send: {sent:?}",
            other.len()
        ));
    }
    if let Some(refused) = tries.iter().find(|one| one.is(503) && sent.runs.contains(&one.attempt_id)) {
        return Some(format!("{number}: {} was refused, and ran", refused.attempt_id));
    }
    let has_to_come = !sent.is_spoilt && !sent.is_after_spoilt;
    if has_to_come && !tries.iter().any(|one| one.success() == Some(&sent.body)) {
        return Some(format!("{number}: a sound answer of {} bytes is seen as {tries:?}", sent.body.len()));
    }
    if sent.runs.len() > 1 {
        return Some(format!("{number}: it has run for {:?}", sent.runs));
    }
    if *is_keyed && tries.iter().any(|one| one.is(409)) {
        return Some(format!("{number}: its run has ended, and a repeat is told that it is at work"));
    }
    None
}

fn play(seed: u64) {
    let record = Record::default();
    for (is_keyed, net) in [(false, 1), (true, 2)] {
        let kind = if is_keyed { "keyed" } else { "unsafe" };
        let route = RouteSpec { prefix: PREFIX.into(), kind, timeout: Duration::from_millis(TIME_LEFT_MS) };
        let net = format!("127.90.{}", net + 2 * (seed % 100));
        let backend_record = record.clone();
        let start_backend = |address: &str| start_unruly_backend(address, seed, &backend_record);
        let mesh = Mesh::start_with(&net, CLIENTS as u32, &route, start_backend);
        let to = mesh.front.outbound_address();
        let clients = (0..CLIENTS).map(|client| {
            let record = record.clone();
            std::thread::spawn(move || play_client(to, client, seed, is_keyed, &record))
        });
        let clients: Vec<_> = clients.collect();
        let broken: Vec<String> =
            clients.into_iter().flat_map(|client| client.join().expect("a client")).collect();
        assert!(broken.is_empty(), "seed {seed}, {kind}: {} broken, the first: {}", broken.len(), broken[0]);
    }
}

fn play_client(to: SocketAddr, client: u64, seed: u64, is_keyed: bool, record: &Record) -> Vec<String> {
    let first_number = (client + if is_keyed { CLIENTS } else { 0 }) * REQUESTS_A_CLIENT;
    let mut broken = Vec::new();
    for number in first_number..first_number + REQUESTS_A_CLIENT {
        let (time_left_ms, tries) = (time_left_ms(seed, number), Vec::new());
        let mut requester = Requester { to, number, is_keyed, time_left_ms, tries };
        requester.request();
        if is_keyed {
            requester.repeat();
        }
        let sent = record.lock().unwrap().get(&number).cloned();
        broken.extend(judge(&requester, sent.as_ref()));
    }
    broken
}

/// Guards against an answer that is spoilt in its framing and passed on as whole (`docs/incidents/empty-chunk-size.md`), and against a key that
/// stays at work (`docs/incidents/key-held-by-a-panic.md`).
#[test]
fn no_drawn_answer_is_passed_on_as_what_it_is_not() {
    seeds().for_each(play);
}
