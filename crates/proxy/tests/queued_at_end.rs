//! The end of a proxy whose clients' requests wait for a backend beside another proxy: real programs, one replica, and a backend that takes one
//! request at a time.
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::thread::JoinHandle;
use std::time::Duration;

mod support;

use support::client::{ClientConnection, Seen};
use support::mesh::{Mesh, RouteSpec};
use support::{BOUND, wait_until};

/// The backend's work on each request: the first segment of its path, see [`support::start_backend`].
const WORK_MS: u64 = 2_000;
/// What clients wait; the route allows as much.
const TIME_LEFT_MS: u64 = 25_000;
const CLIENTS: usize = 5;

fn start(net: u8, kind: &str) -> Mesh {
    let route =
        RouteSpec { prefix: format!("/{WORK_MS}/"), kind, timeout: Duration::from_millis(TIME_LEFT_MS) };
    Mesh::start(&format!("127.79.{net}"), 1, &route)
}

/// Clients send one request each to the first proxy; what each has seen of it.
fn send_requests(mesh: &Mesh, kind: &str) -> Vec<JoinHandle<Seen>> {
    let to = mesh.front.outbound_address();
    let is_keyed = kind == "keyed";
    let send = move |client: usize| {
        let key = if is_keyed { format!("k-{client}") } else { String::new() };
        let mut connection = ClientConnection::open(to).unwrap().with_time_left_ms(TIME_LEFT_MS);
        let path = format!("/{WORK_MS}/{client}");
        connection.request(&path, &format!("a-{client}"), &key).map_or(Seen::NoAnswer, |(seen, _)| seen)
    };
    (0..CLIENTS).map(|client| std::thread::spawn(move || send(client))).collect()
}

fn runs(mesh: &Mesh, client: usize) -> usize {
    let log = mesh.backend.lock().unwrap();
    log.runs_by_attempt.get(&format!("a-{client}")).copied().unwrap_or(0)
}

/// Guards against requests that wait at another proxy and are cut off with the proxy that took them (`docs/incidents/queued-at-end.md`).
fn every_queued_request_is_answered(net: u8, kind: &str) -> Mesh {
    let mut mesh = start(net, kind);
    let clients = send_requests(&mesh, kind);
    wait_until("the backend works on the first", || mesh.begun() > 0);
    mesh.front.signal("TERM");
    let answers: Vec<Seen> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    mesh.front.wait_for_end();
    for (client, seen) in answers.iter().enumerate() {
        let runs = runs(&mesh, client);
        let is_true = (seen.is(200) && runs == 1) || (seen.is(503) && runs == 0);
        assert!(is_true, "{kind}: client {client} has seen {seen:?}, its request ran {runs} times");
    }
    assert!(answers.iter().any(|seen| seen.is(200)), "{kind}: what runs is answered");
    assert!(answers.iter().any(|seen| seen.is(503)), "{kind}: more was sent than can run before the end");
    assert_eq!(mesh.backend.lock().unwrap().cut_off, Vec::<String>::new(), "{kind}: cut off while it ran");
    mesh
}

#[test]
fn queued_requests_that_must_not_be_repeated_are_answered_before_their_proxy_ends() {
    every_queued_request_is_answered(1, "unsafe");
}

#[test]
fn queued_requests_that_may_be_repeated_are_answered_before_their_proxy_ends() {
    every_queued_request_is_answered(2, "safe");
}

/// Their claims are withdrawn with them: each runs once at the next try.
#[test]
fn queued_requests_with_keys_are_answered_before_their_proxy_ends_and_can_be_tried_again() {
    let mesh = every_queued_request_is_answered(3, "keyed");
    let refused = (0..CLIENTS).find(|client| runs(&mesh, *client) == 0).unwrap();
    let mut connection =
        ClientConnection::open(mesh.back.outbound_address()).unwrap().with_time_left_ms(TIME_LEFT_MS);
    let seen = connection.request(&format!("/{WORK_MS}/{refused}"), "again", &format!("k-{refused}"));
    assert!(seen.is_some_and(|(seen, _)| seen.is(200)), "{seen:?}");
    let runs = mesh.backend.lock().unwrap().runs_by_key.get(&format!("k-{refused}")).copied();
    assert_eq!(runs, Some(1));
}

#[test]
fn a_request_whose_body_is_still_coming_is_refused_before_its_proxy_ends() {
    let mut mesh = start(4, "unsafe");
    let mut client = TcpStream::connect(mesh.front.outbound_address()).unwrap();
    client.set_read_timeout(Some(BOUND)).unwrap();
    let head = format!(
        "POST /{WORK_MS}/0 HTTP/1.1\r\nhost: h.example\r\nnotchspool-attempt-id: a-0\r\nnotchspool-time-left-ms: {TIME_LEFT_MS}\r\ncontent-length: 10\r\n\r\n"
    );
    client.write_all(format!("{head}half").as_bytes()).unwrap();
    mesh.front.signal("TERM");
    let mut line = String::new();
    BufReader::new(&client).read_line(&mut line).unwrap();
    assert!(line.starts_with("HTTP/1.1 503 "), "{line:?}");
    mesh.front.wait_for_end();
    assert_eq!(mesh.begun(), 0);
}
