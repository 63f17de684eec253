//! The end of a proxy on SIGTERM: the real program, a stand-in backend beside it, and a peer that has not heard that it ends and goes on
//! sending. Nothing that the backend has begun may be cut off.
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use notchspool_mesh_protocol::{Header, Payload, Request, Response, Verdict};
use notchspool_runtime::frame_connection::{self, FrameSender};

/// Whatever is waited for happens within this.
const BOUND: Duration = Duration::from_secs(30);
/// So large a response is streamed.
const LARGE_BYTES: usize = 400_000;
const SERVICE: &str = "orders";
const INSTANCE: &str = "i-1";
const HEARTBEAT: &str = r#"{"address":"IP:8301","details":{"service":"orders","version":"v1","zone":"a","freeSlots":SLOTS},
    "status":{"state":"ready","callCount":1,"coldLeftS":0}}"#;

/// What a stand-in backend saw.
#[derive(Default)]
struct BackendLog {
    running: usize,
    most_running: usize,
    begun: usize,
    /// Paths of requests whose connection ended while they ran.
    cut_off: Vec<String>,
}

/// A backend that works on each request for as many milliseconds as its path says: `/120/name`.
fn start_backend(address: &str) -> Arc<Mutex<BackendLog>> {
    let listener = TcpListener::bind(address).unwrap();
    let log = Arc::new(Mutex::new(BackendLog::default()));
    let shared = log.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let log = shared.clone();
            std::thread::spawn(move || while serve_one(&stream, &log).is_some() {});
        }
    });
    log
}

fn serve_one(stream: &TcpStream, log: &Mutex<BackendLog>) -> Option<()> {
    let (path, attempt_id) = read_request(stream)?;
    {
        let mut log = log.lock().unwrap();
        log.begun += 1;
        log.running += 1;
        log.most_running = log.most_running.max(log.running);
    }
    let work_ms = path.split('/').nth(1)?.parse().ok()?;
    std::thread::sleep(Duration::from_millis(work_ms));
    let is_open = has_not_ended(stream);
    let mut log = log.lock().unwrap();
    log.running -= 1;
    if !is_open {
        log.cut_off.push(path);
        return None;
    }
    drop(log);
    let body = if path.ends_with("/large") { "x".repeat(LARGE_BYTES) } else { "ok".to_string() };
    let answer = format!(
        "HTTP/1.1 200 OK\r\nnotchspool-attempt-id: {attempt_id}\r\nnotchspool-server-seal: seal\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut writer = stream;
    writer.write_all(answer.as_bytes()).ok()
}

/// Whether the other side has neither closed nor reset the connection.
fn has_not_ended(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).unwrap();
    matches!(peeked, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
}

/// The path and attempt id of a request.
fn read_request(stream: &TcpStream) -> Option<(String, String)> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|bytes| *bytes > 0)?;
    let path = line.split(' ').nth(1)?.to_string();
    let mut attempt_id = String::new();
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok().filter(|bytes| *bytes > 0)?;
        let Some((name, value)) = header.trim_end().split_once(": ") else { break };
        if name.eq_ignore_ascii_case("notchspool-attempt-id") {
            attempt_id = value.to_string();
        }
    }
    Some((path, attempt_id))
}

/// A running proxy; killed where a test fails.
struct Proxy {
    ip: &'static str,
    process: Child,
    settings: PathBuf,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        // Gone already where the test has come to its end.
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

impl Proxy {
    /// Starts it, and tells it of a backend with so many slots.
    fn start(ip: &'static str, slots: u32) -> Proxy {
        let settings = std::env::temp_dir().join(format!("notchspool-{ip}-{}.json", std::process::id()));
        let listen =
            r#"{"inbound":"IP:8300","outbound":"IP:8304","readiness":"IP:8302","controlPlane":"IP:8306"}"#;
        let text = format!(
            r#"{{"node":"{ip}","zone":"a","ipAddress":"{ip}","portRange":[7620,7635],"listenAddresses":{listen},"seedNodes":["IP:9306"],
            "firstStart":true,"dataPath":null,"beatIntervalS":1.5,"bounds":["drainS=2","graceS=6","keyWindowS=60","retryRatio=0.2",
            "retryWindowS=10","retrySlack=60"],"limits":{{"memoryMb":64}},"appAddress":"IP:8301","service":"{SERVICE}"}}"#
        );
        std::fs::write(&settings, text.replace("IP", ip)).unwrap();
        let process = Command::new(env!("CARGO_BIN_EXE_notchspool-proxy"))
            .args(["--settings", &settings.display().to_string()])
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let proxy = Proxy { ip, process, settings };
        let body = HEARTBEAT.replace("IP", ip).replace("SLOTS", &slots.to_string());
        let call = format!("POST /notchspool/rpc?call=instances.heartbeat&of={INSTANCE}");
        let began = Instant::now();
        while proxy.http("8306", &call, &body).as_deref() != Some("200") {
            assert!(began.elapsed() < BOUND, "the proxy takes no heartbeat");
            std::thread::sleep(Duration::from_millis(10));
        }
        proxy
    }

    /// The status of the answer to a call; `None` where there is none.
    fn http(&self, port: &str, call: &str, body: &str) -> Option<String> {
        let address: SocketAddr = format!("{}:{port}", self.ip).parse().unwrap();
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        let length = body.len();
        write!(
            stream,
            "{call} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
        )
        .ok()?;
        let mut answer = String::new();
        // What came before an error counts.
        let _ = stream.read_to_string(&mut answer);
        answer.split(' ').nth(1).map(str::to_string)
    }

    fn peer_address(&self) -> SocketAddr {
        format!("{}:7620", self.ip).parse().unwrap()
    }

    fn terminate(&self) {
        let pid = self.process.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &pid]).status().unwrap().success());
    }

    fn wait_for_end(&mut self) {
        let began = Instant::now();
        while self.process.try_wait().unwrap().is_none() {
            assert!(began.elapsed() < BOUND, "the proxy does not end");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

/// The proxy of another machine.
#[derive(Clone, Default)]
struct Peer {
    sender: FrameSender,
    responses: Rc<RefCell<Vec<Response>>>,
}

impl Peer {
    async fn connect(to: SocketAddr) -> Peer {
        let peer = Peer::default();
        let stream = frame_connection::connect(to, Duration::from_secs(5)).await.unwrap();
        let (sender, responses) = (peer.sender.clone(), peer.responses.clone());
        tokio::task::spawn_local(async move {
            let on_message = |payload| {
                if let Payload::Response(response) = payload {
                    responses.borrow_mut().push(response);
                }
            };
            frame_connection::run(stream, sender, None, on_message).await;
        });
        peer
    }

    /// Sends a request that takes so long; false where the connection has ended.
    fn send(&self, id: u64, work_ms: u64, priority: u32) -> bool {
        self.send_to(id, format!("/{work_ms}/{id}"), priority, 15_000)
    }

    /// Sends a request whose response is large. Requests of one latency target are taken for one kind of work.
    fn send_large(&self, id: u64) -> bool {
        self.send_to(id, format!("/0/{id}/large"), 1, 9_000)
    }

    fn send_to(&self, id: u64, target: String, priority: u32, latency_target_ms: u32) -> bool {
        let attempt_id = format!("a-{id}");
        let header = Header { name: "notchspool-attempt-id".into(), value: attempt_id.clone().into() };
        self.sender.send(Payload::Request(Request {
            id,
            headers: vec![header],
            service: SERVICE.into(),
            instance: INSTANCE.into(),
            method: "GET".into(),
            target,
            time_left_ms: 20_000,
            priority,
            idempotent: true,
            attempt_id,
            caller: "shop".into(),
            host: "h.example".into(),
            target_left_ms: 15_000,
            latency_target_ms,
            ..Request::default()
        }))
    }

    async fn wait_for_responses(&self, count: usize) {
        let began = Instant::now();
        while self.responses.borrow().len() < count {
            assert!(began.elapsed() < BOUND, "{} responses, not {count}", self.responses.borrow().len());
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    fn ids(&self, verdict: Verdict) -> BTreeSet<u64> {
        let responses = self.responses.borrow();
        responses
            .iter()
            .filter(|response| response.verdict() == verdict)
            .map(|response| response.id)
            .collect()
    }
}

fn run<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

#[test]
fn a_displaced_request_gives_back_no_slot() {
    run(async {
        let log = start_backend("127.77.3.1:8301");
        let proxy = Proxy::start("127.77.3.1", 1);
        let peer = Peer::connect(proxy.peer_address()).await;
        // One slot; then the queue is filled.
        (1..=5).for_each(|id| assert!(peer.send(id, 400, 2)));
        // Each of these goes before one that is queued, which makes way.
        (6..=8).for_each(|id| assert!(peer.send(id, 400, 0)));
        peer.wait_for_responses(8).await;
        assert_eq!(peer.ids(Verdict::NotRun).len(), 3, "three make way");
        let log = log.lock().unwrap();
        assert_eq!((log.begun, log.most_running), (5, 1), "requests begun, and at once");
    });
}

#[test]
fn nothing_is_cut_off_at_the_end_while_requests_go_on_coming() {
    run(async {
        let log = start_backend("127.77.3.2:8301");
        let mut proxy = Proxy::start("127.77.3.2", 6);
        let peer = Peer::connect(proxy.peer_address()).await;
        let began = Instant::now();
        let mut sent = 0;
        let mut is_terminated = false;
        while peer.sender.is_open() && began.elapsed() < BOUND {
            sent += 1;
            peer.send(sent, 60, 1);
            if !is_terminated && sent == 20 {
                proxy.terminate();
                is_terminated = true;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        proxy.wait_for_end();
        // A run that was cut is noticed by its backend once its work is done.
        std::thread::sleep(Duration::from_millis(200));
        let log = log.lock().unwrap();
        assert_eq!(log.cut_off, Vec::<String>::new(), "cut off, of {} begun", log.begun);
        assert_eq!(peer.ids(Verdict::Answered).len(), log.begun, "answers, and requests begun");
        assert!(!peer.ids(Verdict::NotRun).is_empty(), "what comes late is refused");
    });
}

#[test]
fn a_request_at_the_backend_can_make_calls_while_the_proxy_ends() {
    run(async {
        let log = start_backend("127.77.3.3:8301");
        let mut proxy = Proxy::start("127.77.3.3", 6);
        let peer = Peer::connect(proxy.peer_address()).await;
        proxy.terminate();
        assert!(peer.send(1, 3_000, 1));
        // Clients are sent here for two seconds more. A call after that comes from the backend, whose run needs it.
        tokio::time::sleep(Duration::from_millis(2_600)).await;
        let answer = proxy.http("8304", "GET /x", "");
        // It has no configuration, and says so.
        assert_eq!(answer.as_deref(), Some("503"), "a call of a running request");
        peer.wait_for_responses(1).await;
        assert_eq!(peer.ids(Verdict::Answered).len(), 1);
        proxy.wait_for_end();
        assert_eq!(log.lock().unwrap().cut_off, Vec::<String>::new());
    });
}

#[test]
fn a_large_response_that_may_not_be_complete_before_the_end_is_not_begun() {
    run(async {
        let log = start_backend("127.77.3.4:8301");
        let mut proxy = Proxy::start("127.77.3.4", 6);
        let peer = Peer::connect(proxy.peer_address()).await;
        // From the first one on it is known that responses of this kind are large.
        assert!(peer.send_large(1));
        peer.wait_for_responses(1).await;
        proxy.terminate();
        tokio::time::sleep(Duration::from_millis(300)).await;
        // Both have twenty seconds, and the proxy has six.
        assert!(peer.send_large(2) && peer.send(3, 0, 1));
        peer.wait_for_responses(3).await;
        assert_eq!(peer.ids(Verdict::NotRun), BTreeSet::from([2]), "refused, to go elsewhere at once");
        assert_eq!(peer.ids(Verdict::Answered), BTreeSet::from([1, 3]));
        peer.sender.finish();
        proxy.wait_for_end();
        assert_eq!(log.lock().unwrap().begun, 2);
    });
}
