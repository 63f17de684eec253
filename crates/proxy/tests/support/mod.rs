//! Stand-ins for tests of the real program: a backend, and a proxy as a process of its own.
#![allow(dead_code)] // each test file uses its own part
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use notchspool_runtime::node_settings::NodeSettings;
use notchspool_runtime::program::CheckedSettings;
use notchspool_runtime::signals::Signals;

pub mod client;
pub mod mesh;
pub mod peer;
pub mod plain_http;
pub mod stand_in_replica;

/// Whatever is waited for happens within this.
pub const BOUND: Duration = Duration::from_secs(30);
/// Memory that the settings give a proxy.
pub const MEMORY_MB: u64 = 64;
/// So large a response is streamed.
pub const LARGE_BYTES: usize = 400_000;

/// What a stand-in backend saw.
#[derive(Default)]
pub struct BackendLog {
    pub running: usize,
    pub most_running: usize,
    pub begun: usize,
    /// Paths of requests whose connection ended while they ran.
    pub cut_off: Vec<String>,
    /// How often the backend began to work on each attempt.
    pub runs_by_attempt: BTreeMap<String, usize>,
    /// And on each operation with a key.
    pub runs_by_key: BTreeMap<String, usize>,
}

/// A request that a stand-in backend got.
pub struct BackendRequest {
    pub path: String,
    pub headers: BTreeMap<String, String>,
}

impl BackendRequest {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// What a backend does for a request before it answers; false where it can only fail.
pub type Work = Arc<dyn Fn(&BackendRequest) -> bool + Send + Sync>;

/// A backend that works on each request for as many milliseconds as its path says: `/120/name`.
pub fn start_backend(address: &str) -> Arc<Mutex<BackendLog>> {
    start_working_backend(address, Arc::new(|_| true))
}

/// The same, with more to do for each request.
pub fn start_working_backend(address: &str, work: Work) -> Arc<Mutex<BackendLog>> {
    let listener = TcpListener::bind(address).unwrap();
    let log = Arc::new(Mutex::new(BackendLog::default()));
    let shared = log.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (log, work) = (shared.clone(), work.clone());
            std::thread::spawn(move || while serve_one(&stream, &log, &work).is_some() {});
        }
    });
    log
}

fn serve_one(stream: &TcpStream, log: &Mutex<BackendLog>, work: &Work) -> Option<()> {
    let request = read_request(stream)?;
    let attempt_id = request.header("notchspool-attempt-id").to_string();
    log.lock().unwrap().on_begin(&request);
    let work_ms = request.path.split('/').nth(1)?.parse().ok()?;
    std::thread::sleep(Duration::from_millis(work_ms));
    let is_done = work(&request);
    let is_open = has_not_ended(stream);
    let mut log = log.lock().unwrap();
    log.running -= 1;
    if !is_open {
        log.cut_off.push(request.path);
        return None;
    }
    drop(log);
    let body = if request.path.ends_with("/large") { "x".repeat(LARGE_BYTES) } else { "ok".to_string() };
    let status = if is_done { "200 OK" } else { "500 Failed" };
    let answer = format!(
        "HTTP/1.1 {status}\r\nnotchspool-attempt-id: {attempt_id}\r\nnotchspool-server-seal: seal\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut writer = stream;
    writer.write_all(answer.as_bytes()).ok()
}

impl BackendLog {
    fn on_begin(&mut self, request: &BackendRequest) {
        self.begun += 1;
        self.running += 1;
        self.most_running = self.most_running.max(self.running);
        let attempt_id = request.header("notchspool-attempt-id");
        *self.runs_by_attempt.entry(attempt_id.to_string()).or_default() += 1;
        let key = request.header("notchspool-operation-key");
        if !key.is_empty() {
            *self.runs_by_key.entry(key.to_string()).or_default() += 1;
        }
    }
}

/// Whether the other side has neither closed nor reset the connection.
fn has_not_ended(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).unwrap();
    matches!(peeked, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
}

/// The head of a request; those of these tests have no body.
fn read_request(stream: &TcpStream) -> Option<BackendRequest> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|bytes| *bytes > 0)?;
    let path = line.split(' ').nth(1)?.to_string();
    Some(BackendRequest { path, headers: read_headers(&mut reader)? })
}

/// Headers up to the empty line.
pub fn read_headers(reader: &mut impl BufRead) -> Option<BTreeMap<String, String>> {
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|bytes| *bytes > 0)?;
        let Some((name, value)) = line.trim_end().split_once(": ") else { return Some(headers) };
        headers.insert(name.to_lowercase(), value.to_string());
    }
}

/// Asks again until it is so.
pub fn wait_until(what: &str, mut is_so: impl FnMut() -> bool) {
    let began = Instant::now();
    while !is_so() {
        assert!(began.elapsed() < BOUND, "not within {BOUND:?}: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Where a proxy runs, and for which backend.
#[derive(Clone)]
pub struct ProxySite {
    pub ip: String,
    pub service: String,
    pub instance: String,
    pub slots: u32,
    /// `controlPlane` address of a replica; nobody needs to be there.
    pub seed: String,
}

impl ProxySite {
    fn settings(&self) -> String {
        let listen =
            r#"{"inbound":"IP:8300","outbound":"IP:8304","readiness":"IP:8302","controlPlane":"IP:8306"}"#;
        let text = format!(
            r#"{{"node":"IP","zone":"a","ipAddress":"IP","portRange":[7620,7635],"listenAddresses":{listen},"seedNodes":["{}"],
            "firstStart":true,"dataPath":null,"beatIntervalS":1.5,"bounds":["drainS=2","graceS=6","keyWindowS=60","retryRatio=0.2",
            "retryWindowS=10","retrySlack=60"],"limits":{{"memoryMb":{MEMORY_MB}}},"appAddress":"IP:8301","service":"{}"}}"#,
            self.seed, self.service
        );
        text.replace("IP", &self.ip)
    }

    /// Whether the proxy has taken a heartbeat of the backend.
    pub fn send_heartbeat(&self, call_count: u64) -> bool {
        self.send_heartbeat_as("ready", call_count)
    }

    /// The same for a backend in this state, `ready` or `draining`.
    pub fn send_heartbeat_as(&self, state: &str, call_count: u64) -> bool {
        let body = format!(
            r#"{{"address":"{}:8301","details":{{"service":"{}","version":"v1","zone":"a","freeSlots":{}}},
            "status":{{"state":"{state}","callCount":{call_count},"coldLeftS":0}}}}"#,
            self.ip, self.service, self.slots
        );
        let call = format!("POST /notchspool/rpc?call=instances.heartbeat&of={}", self.instance);
        self.http("8306", &call, &body).as_deref() == Some("200")
    }

    /// The figures of the proxy; empty where there are none.
    pub fn figures(&self) -> String {
        self.answer("8302", "GET /notchspool/figures HTTP/1.1", "").unwrap_or_default()
    }

    /// One of these figures, by the words in front of its value.
    pub fn figure(&self, name: &str) -> Option<u64> {
        let of_name = |line: &str| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok();
        self.figures().lines().find_map(of_name)
    }

    /// The status of the answer to a client's request for the host `x`; `None` where there is none.
    pub fn request(&self, path: &str, attempt_id: &str) -> Option<String> {
        self.exchange("8304", &format!("GET {path} HTTP/1.1\r\nnotchspool-attempt-id: {attempt_id}"), "")
    }

    /// The status of the answer to a call; `None` where there is none.
    pub fn http(&self, port: &str, call: &str, body: &str) -> Option<String> {
        self.exchange(port, &format!("{call} HTTP/1.1"), body)
    }

    fn exchange(&self, port: &str, head: &str, body: &str) -> Option<String> {
        self.answer(port, head, body)?.split(' ').nth(1).map(str::to_string)
    }

    fn answer(&self, port: &str, head: &str, body: &str) -> Option<String> {
        let address: SocketAddr = format!("{}:{port}", self.ip).parse().unwrap();
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        let length = body.len();
        write!(stream, "{head}\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}")
            .ok()?;
        let mut answer = String::new();
        // What came before an error counts.
        let _ = stream.read_to_string(&mut answer);
        Some(answer)
    }
}

/// Replicas of one control plane, each on a thread that goes on until the tests end; their disks are below `data`.
pub fn start_replicas(ips: &[String], data: &Path) {
    let seeds = ips.iter().map(|ip| format!(r#""{ip}:8306""#)).collect::<Vec<_>>().join(",");
    for ip in ips {
        let disk = data.join(ip);
        std::fs::create_dir_all(&disk).unwrap();
        let text = format!(
            r#"{{"node":"{ip}","zone":"a","ipAddress":"{ip}","portRange":[7620,7635],"listenAddresses":{{"controlPlane":"{ip}:8306"}},
            "seedNodes":[{seeds}],"firstStart":true,"counted":true,"dataPath":{:?},"beatIntervalS":1.5,
            "bounds":["drainS=2","graceS=6","keyWindowS=60"],"limits":{{"memoryMb":64}}}}"#,
            disk.display().to_string()
        );
        let file = PathBuf::from(ip);
        let node = NodeSettings::parse(&file, text.as_bytes()).unwrap();
        let listeners = node.listener(&file, "controlPlane").unwrap();
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            tokio::task::LocalSet::new().block_on(&runtime, async move {
                let settings = CheckedSettings { node, file, listeners };
                notchspool_control_plane::server::run(settings, Signals::install().unwrap()).await.unwrap();
            });
        });
    }
}

/// A running proxy; killed where a test fails.
pub struct Proxy {
    pub site: ProxySite,
    pub started_at: Instant,
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
    /// Starts the program.
    pub fn start(site: ProxySite) -> Proxy {
        // Each start has a file of its own: the one before takes its file away as it is dropped.
        static STARTS: AtomicUsize = AtomicUsize::new(0);
        let start = STARTS.fetch_add(1, Ordering::Relaxed);
        let name = format!("notchspool-{}-{}-{start}.json", site.ip, std::process::id());
        let settings = std::env::temp_dir().join(name);
        std::fs::write(&settings, site.settings()).unwrap();
        let process = Command::new(env!("CARGO_BIN_EXE_notchspool-proxy"))
            .args(["--settings", &settings.display().to_string()])
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Proxy { site, started_at: Instant::now(), process, settings }
    }

    /// Starts the program, and tells it of its backend.
    pub fn start_with_backend(site: ProxySite) -> Proxy {
        let proxy = Proxy::start(site);
        wait_until("the proxy takes a heartbeat", || proxy.site.send_heartbeat(1));
        proxy
    }

    /// The same with replicas in reach: the backend is taken for ready.
    pub fn start_with_ready_backend(site: ProxySite) -> Proxy {
        let proxy = Proxy::start_with_backend(site);
        let line = format!("backend {} ready", proxy.site.instance);
        let is_ready = || proxy.site.figures().lines().any(|figure| figure == line);
        wait_until("the backend is ready", is_ready);
        proxy
    }

    /// Where clients send their requests.
    pub fn outbound_address(&self) -> SocketAddr {
        format!("{}:8304", self.site.ip).parse().unwrap()
    }

    pub fn peer_address(&self) -> SocketAddr {
        format!("{}:7620", self.site.ip).parse().unwrap()
    }

    /// The most memory that it has had at a time.
    pub fn peak_memory_bytes(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        let kilobytes = line.trim().trim_end_matches(" kB").parse::<u64>().unwrap();
        kilobytes << 10
    }

    /// Sends it a signal, by its name.
    pub fn signal(&self, name: &str) {
        let pid = self.process.id().to_string();
        assert!(Command::new("kill").args([&format!("-{name}"), &pid]).status().unwrap().success());
    }

    /// How it has ended, if it has.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.process.try_wait().unwrap()
    }

    pub fn wait_for_end(&mut self) {
        let began = Instant::now();
        while self.ended().is_none() {
            assert!(began.elapsed() < BOUND, "the proxy does not end");
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}
