//! The end of a proxy whose clients' requests wait for a backend beside another proxy: real programs, one replica, and a backend that takes one
//! request at a time.
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;

mod support;

use support::client::{ClientConnection, Seen};
use support::{BOUND, BackendLog, Proxy, ProxySite, start_backend, start_replicas, wait_until};

const SERVICE: &str = "store";
/// The backend's work on each request: the first segment of its path, see [`start_backend`].
const WORK_MS: u64 = 2_000;
/// What clients wait; the route allows as much.
const TIME_LEFT_MS: u64 = 25_000;
const CLIENTS: usize = 5;

/// One replica, a proxy that clients use, and one beside the only backend.
struct Mesh {
    front: Proxy,
    back: Proxy,
    backend: Arc<Mutex<BackendLog>>,
    data: PathBuf,
}

impl Drop for Mesh {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.data);
    }
}

fn config(kind: &str) -> String {
    let seconds = TIME_LEFT_MS / 1_000;
    format!(
        r#"{{"version":1,"routes":{{"report":{{"host":"h.example","pathPrefix":"/{WORK_MS}/","routeKind":"{kind}","timeoutS":{seconds},"targetS":{seconds},
        "priority":1,"service":"{SERVICE}","maxAttempts":2}}}},"services":{{"{SERVICE}":{{}},"front":{{}}}},"limits":{{"maxHeaderBytes":16384}}}}"#
    )
}

fn outbound(proxy: &Proxy) -> SocketAddr {
    SocketAddr::new(proxy.site.ip.parse().unwrap(), 8304)
}

impl Mesh {
    fn start(net: u8, kind: &str) -> Mesh {
        let data = std::env::temp_dir().join(format!("notchspool-queued-{net}-{}", std::process::id()));
        let replica_ip = format!("127.79.{net}.250");
        start_replicas(std::slice::from_ref(&replica_ip), &data);
        let site = |host: u8, service: &str| ProxySite {
            ip: format!("127.79.{net}.{host}"),
            service: service.into(),
            instance: format!("i-{host}"),
            slots: 1,
            seed: format!("{replica_ip}:8306"),
        };
        let backend = start_backend(&format!("127.79.{net}.2:8301"));
        let front = Proxy::start_with_backend(site(1, "front"));
        let back = Proxy::start_with_backend(site(2, SERVICE));
        let replica = ProxySite { ip: replica_ip.clone(), ..front.site.clone() };
        let put = || replica.http("8306", "POST /notchspool/rpc?call=config.replace", &config(kind));
        wait_until("a configuration is taken", || put().as_deref() == Some("200"));
        for proxy in [&front, &back] {
            let ready = || proxy.site.http("8302", "GET /notchspool/ready", "");
            wait_until("a proxy is ready", || ready().as_deref() == Some("200"));
        }
        Mesh { front, back, backend, data }
    }

    /// Clients send one request each to the first proxy; what each has seen of it.
    fn send_requests(&self, kind: &str) -> Vec<JoinHandle<Seen>> {
        let to = outbound(&self.front);
        let is_keyed = kind == "keyed";
        let send = move |client: usize| {
            let key = if is_keyed { format!("k-{client}") } else { String::new() };
            let mut connection = ClientConnection::open(to).unwrap().with_time_left_ms(TIME_LEFT_MS);
            let path = format!("/{WORK_MS}/{client}");
            connection.request(&path, &format!("a-{client}"), &key).map_or(Seen::NoAnswer, |(seen, _)| seen)
        };
        (0..CLIENTS).map(|client| std::thread::spawn(move || send(client))).collect()
    }

    fn begun(&self) -> usize {
        self.backend.lock().unwrap().begun
    }

    fn runs(&self, client: usize) -> usize {
        let log = self.backend.lock().unwrap();
        log.runs_by_attempt.get(&format!("a-{client}")).copied().unwrap_or(0)
    }
}

/// Guards against requests that wait at another proxy and are cut off with the proxy that took them (`docs/incidents/queued-at-end.md`).
fn every_queued_request_is_answered(net: u8, kind: &str) -> Mesh {
    let mut mesh = Mesh::start(net, kind);
    let clients = mesh.send_requests(kind);
    wait_until("the backend works on the first", || mesh.begun() > 0);
    mesh.front.signal("TERM");
    let answers: Vec<Seen> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    mesh.front.wait_for_end();
    for (client, seen) in answers.iter().enumerate() {
        let runs = mesh.runs(client);
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
    let refused = (0..CLIENTS).find(|client| mesh.runs(*client) == 0).unwrap();
    let mut connection =
        ClientConnection::open(outbound(&mesh.back)).unwrap().with_time_left_ms(TIME_LEFT_MS);
    let seen = connection.request(&format!("/{WORK_MS}/{refused}"), "again", &format!("k-{refused}"));
    assert!(seen.is_some_and(|(seen, _)| seen.is(200)), "{seen:?}");
    let runs = mesh.backend.lock().unwrap().runs_by_key.get(&format!("k-{refused}")).copied();
    assert_eq!(runs, Some(1));
}

#[test]
fn a_request_whose_body_is_still_coming_is_refused_before_its_proxy_ends() {
    let mut mesh = Mesh::start(4, "unsafe");
    let mut client = TcpStream::connect(outbound(&mesh.front)).unwrap();
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
