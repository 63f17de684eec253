//! Requests whose future is dropped after a drawn number of polls, at every await on their way: through a proxy to another one and its
//! backend, with real sockets. When all is over nothing of them is left: no claim, place, slot, reservation or key at work.
//!
//! CI plays one seed. By hand: `NOTCHSPOOL_CANCELLATION_SEEDS=0..100 cargo test -p notchspool-data-plane --test cancellation`.
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::Range;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use notchspool::units::Micros;
use notchspool_data_plane::peer_link::PeerResponse;
use notchspool_data_plane::proxy::Proxy;
use notchspool_data_plane::request_body::RequestBody;
use notchspool_data_plane::response_cutoff::ResponseCutoff;
use notchspool_endpoint_registry::heartbeats::{Event, Heartbeat};
use notchspool_mesh_protocol::{Request, Ticket, Verdict};
use oorandom::Rand64;

mod support;

use support::{INSTANCE, SERVICE, proxy, request, start_granting_voter};

const SEEDS_VARIABLE: &str = "NOTCHSPOOL_CANCELLATION_SEEDS";
const DEFAULT_SEEDS: Range<u64> = 0..1;
/// More than one connection between proxies may have open at a time: what is left of each would be noticed by that alone.
const REQUESTS: u64 = 10_000;
/// Of them at once.
const AT_ONCE: usize = 24;
const SLOTS: u32 = 6;
const TIME_LEFT_MS: u32 = 1_000;
/// Whatever is waited for happens within this.
const BOUND: Duration = Duration::from_secs(60);
const PAUSE: Duration = Duration::from_millis(5);
const LARGE_BODY_BYTES: usize = 200_000;
/// A request is dropped after so many polls at most; most are done by then.
const MAX_POLLS: u64 = 24;

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var(SEEDS_VARIABLE) else { return DEFAULT_SEEDS };
    let (first, end) = text.split_once("..").expect("FIRST..END");
    first.parse().expect("a number")..end.parse().expect("a number")
}

// ---- The backend ------------------------------------------------------------------------------------------

/// A backend whose answer the first segment of the path names: `small`, `large`, `unsized`, `silent` or `cut`.
fn start_backend() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || while answer(&stream).is_some() {});
        }
    });
    address
}

fn answer(mut stream: &TcpStream) -> Option<()> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|bytes| *bytes > 0)?;
    let path = line.split(' ').nth(1)?.trim_start_matches('/').to_string();
    let (mut attempt_id, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|bytes| *bytes > 0)?;
        match line.trim_end().split_once(": ") {
            Some(("notchspool-attempt-id", value)) => attempt_id = value.to_string(),
            Some(("content-length", value)) => length = value.parse().ok()?,
            Some(_) => {}
            None => break,
        }
    }
    reader.read_exact(&mut vec![0; length]).ok()?;
    let head =
        format!("HTTP/1.1 200 OK\r\nnotchspool-attempt-id: {attempt_id}\r\nnotchspool-server-seal: z\r\n");
    let body = vec![b'x'; if path == "small" { 40 } else { LARGE_BODY_BYTES }];
    match path.as_str() {
        "silent" => std::thread::sleep(Duration::from_millis(u64::from(TIME_LEFT_MS) / 20)),
        "unsized" => {
            write!(stream, "{head}transfer-encoding: chunked\r\n\r\n").ok()?;
            for chunk in body.chunks(9_000) {
                write!(stream, "{:x}\r\n", chunk.len()).ok()?;
                stream.write_all(chunk).ok()?;
                stream.write_all(b"\r\n").ok()?;
            }
            return stream.write_all(b"0\r\n\r\n").ok();
        }
        _ => {}
    }
    write!(stream, "{head}content-length: {}\r\n\r\n", body.len()).ok()?;
    let sent = if path == "cut" { body.len() / 2 } else { body.len() };
    stream.write_all(&body[..sent]).ok()?;
    (path != "cut").then_some(())
}

// ---- Dropping ---------------------------------------------------------------------------------------------

/// Polls a future so often at most, and drops it then.
struct DropAfter<F> {
    future: Option<Pin<Box<F>>>,
    polls: u64,
}

impl<F: Future> Future for DropAfter<F> {
    type Output = Option<F::Output>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<F::Output>> {
        if self.polls == 0 {
            self.future = None;
            return Poll::Ready(None);
        }
        self.polls -= 1;
        let Some(future) = self.future.as_mut() else { return Poll::Ready(None) };
        let polled = future.as_mut().poll(context).map(Some);
        if polled.is_pending() && self.polls == 0 {
            // Dropped at its next turn at the latest, without anything having happened.
            context.waker().wake_by_ref();
        }
        polled
    }
}

// ---- The mesh ---------------------------------------------------------------------------------------------

/// A proxy where requests begin, and one beside the backend.
struct Pair {
    front: Rc<Proxy>,
    back: Rc<Proxy>,
    /// Where the second is reached.
    address: String,
}

async fn start() -> Pair {
    let (front, back) = (proxy(support::nowhere()), proxy(start_backend()));
    let heartbeat = Heartbeat {
        instance: INSTANCE.into(),
        service: SERVICE.into(),
        slots: SLOTS,
        ..Heartbeat::default()
    };
    back.backend.apply(Event::Heartbeat(heartbeat));
    for one in [&front, &back] {
        one.control.keep_connected(start_granting_voter());
        while one.api.replicas.reach().reached == 0 {
            tokio::task::yield_now().await;
        }
    }
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let peers = back.peers.clone();
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(peers.clone().carry_incoming(stream));
        }
    });
    for one in [front.clone(), back.clone()] {
        tokio::task::spawn_local(async move {
            for ticks in 0.. {
                one.tick(ticks);
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        });
    }
    Pair { front, back, address }
}

fn draw_request(random: &mut Rand64, seed: u64, number: u64) -> (Request, RequestBody) {
    let path = ["small", "small", "large", "unsized", "silent", "cut"][random.rand_range(0..6) as usize];
    let is_keyed = random.rand_float() < 0.3;
    let body_bytes = if random.rand_float() < 0.2 { LARGE_BODY_BYTES } else { 10 };
    // Some keys come several times.
    let key = if is_keyed { format!("k-{}", random.rand_range(0..REQUESTS / 8)) } else { String::new() };
    let request = Request {
        id: number,
        target: format!("/{path}"),
        service: SERVICE.into(),
        ticket: is_keyed.then_some(Ticket { boot_id: 9 + seed, number, attempt: 0 }),
        key,
        time_left_ms: TIME_LEFT_MS,
        latency_target_ms: 300,
        target_left_ms: 300,
        idempotent: !is_keyed,
        takes_unknown_length: random.rand_float() < 0.5,
        ..request(&format!("a{seed}x{number}"), 0)
    };
    let pieces = (0..=body_bytes / 10_000).map(|_| Bytes::from(vec![1; body_bytes.min(10_000)]));
    (request, RequestBody::new(pieces.collect()))
}

/// One request, from the other proxy or beside the backend, dropped after so many polls; and its response after some of it was read.
async fn play_request(pair: Rc<Pair>, request: Request, body: RequestBody, polls: u64, is_local: bool) {
    let send = async {
        if is_local {
            let request = Request { remote_body: true, body_length: body.len() as u64, ..request };
            let inbound = pair.back.inbound.clone();
            inbound.serve(request, body.reader(), ResponseCutoff::none()).await
        } else {
            pair.front.peers.send(&pair.address, request, &body).await
        }
    };
    let response = DropAfter { future: Some(Box::pin(send)), polls }.await;
    if let Some(PeerResponse { rest: Some(pipe), on_consumed, .. }) = response {
        let read = async {
            while let Ok(chunk) = pipe.next().await {
                on_consumed(chunk.len());
            }
        };
        let _ = DropAfter { future: Some(Box::pin(read)), polls }.await;
        pipe.abandon();
    }
}

/// What is left of requests, by table; empty where nothing is.
fn left(pair: &Pair) -> Vec<String> {
    let Pair { front, back, .. } = pair;
    let fresh = proxy(support::nowhere());
    let mut left = Vec::new();
    let mut check = |table: &str, count: usize| {
        if count > 0 {
            left.push(format!("{table}: {count}"));
        }
    };
    for (side, one) in [("front", front), ("back", back)] {
        check(&format!("{side}: open claims"), one.claims.open_count());
        check(&format!("{side}: running"), one.running.count());
        check(&format!("{side}: busy"), usize::from(one.inbound.is_busy()));
        check(&format!("{side}: slots"), one.backend.admission().in_flight());
        check(&format!("{side}: queued"), one.backend.admission().queued());
        let budgets = [
            ("answers", fresh.context.answer_budget.free_bytes(), one.context.answer_budget.free_bytes()),
            ("bodies", fresh.context.body_budget.free_bytes(), one.context.body_budget.free_bytes()),
        ];
        for (budget, all, free) in budgets {
            check(&format!("{side}: memory of {budget}"), all - free);
        }
        check(&format!("{side}: backlog of the link"), one.inbound.link_load().backlog().0 as usize);
    }
    let at_work = |number: &u64| {
        let held = back.inbound.held_response(0, &format!("k-{number}"), back.context.boot_id);
        held.verdict() == Verdict::InProgress || held.final_refusal
    };
    check("keys at work", (0..REQUESTS / 8).filter(at_work).count());
    left
}

async fn play(seed: u64) {
    let pair = Rc::new(start().await);
    let mut random = Rand64::new(u128::from(seed));
    let mut open = tokio::task::JoinSet::new();
    for number in 1..=REQUESTS {
        let (request, body) = draw_request(&mut random, seed, number);
        let polls = random.rand_range(0..MAX_POLLS);
        let is_local = random.rand_float() < 0.3;
        open.spawn_local(play_request(pair.clone(), request, body, polls, is_local));
        while open.len() >= AT_ONCE {
            open.join_next().await.unwrap().unwrap();
        }
    }
    while let Some(ended) = open.join_next().await {
        ended.unwrap();
    }
    let began = pair.front.context.now();
    while !left(&pair).is_empty() {
        let waited = pair.front.context.now() - began;
        assert!(waited < Micros(BOUND.as_micros() as i64), "seed {seed}: {:?}", left(&pair));
        tokio::time::sleep(PAUSE).await;
    }
    // And the next request is served as the first.
    let next = request("next", 0);
    let request = Request { target: "/small".into(), service: SERVICE.into(), time_left_ms: 20_000, ..next };
    let body = RequestBody::default();
    let response = pair.front.peers.send(&pair.address, request, &body).await.response;
    assert_eq!(response.verdict(), Verdict::Answered, "seed {seed}: {response:?}");
}

/// Guards against what a dropped request leaves behind (`docs/incidents/claims-never-forgotten.md`, `departed-clients-kept.md`).
#[test]
fn requests_that_are_dropped_at_any_await_leave_nothing_behind() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    for seed in seeds() {
        tokio::task::LocalSet::new().block_on(&runtime, play(seed));
    }
}
