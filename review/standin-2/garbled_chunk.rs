//! A backend in trouble spoils a few of its answers: the size of a chunk is no size. The keys of those operations are asked for again.
#[path = "../standin/harness.rs"]
mod harness;
use harness::*;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const HOST: &str = "orders.example";
const WORK: Duration = Duration::from_millis(20);
/// Of the answers of the backend in trouble, one in so many is spoilt: `x` 0.02 of `garble`.
const ONE_IN: u64 = 50;
/// Clients at once; 18 slots are there.
const CLIENTS: usize = 4;
/// For so long: `for_s` 5.5.
const TROUBLE_S: f64 = 5.5;

/// What the backends saw of one key: when each of its runs began and ended.
type Runs = Arc<Mutex<BTreeMap<String, Vec<(f64, f64)>>>>;

struct ChunkedBackend {
    machine: Machine,
    instance: String,
    record: Arc<Record>,
    runs: Runs,
    in_trouble: Arc<AtomicBool>,
    answers: AtomicU64,
    calls: AtomicU64,
}

impl ChunkedBackend {
    fn start(machine: &Machine, n: usize, record: &Arc<Record>, runs: &Runs, in_trouble: Arc<AtomicBool>) -> Option<()> {
        let listener = TcpListener::bind(format!("{}:8301", machine.ip)).ok()?;
        let backend = Arc::new(ChunkedBackend {
            machine: machine.clone(),
            instance: format!("i-{n}"),
            record: record.clone(),
            runs: runs.clone(),
            in_trouble,
            answers: AtomicU64::new(0),
            calls: AtomicU64::new(0),
        });
        let beats = backend.clone();
        std::thread::spawn(move || {
            loop {
                let next = Instant::now() + BEAT;
                beats.beat();
                std::thread::sleep(next.saturating_duration_since(Instant::now()));
            }
        });
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let backend = backend.clone();
                std::thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().ok()?);
                    while backend.serve(&stream, &mut reader).is_some() {}
                    Some(())
                });
            }
        });
        Some(())
    }

    fn beat(&self) {
        let count = self.calls.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            r#"{{"address":"{}:8301","details":{{"service":"{}","version":"v1","zone":"{}","freeSlots":6}},"status":{{"state":"ready","callCount":{count},"coldLeftS":0}}}}"#,
            self.machine.ip, self.machine.service, self.machine.zone
        );
        post(&self.machine.ip, &format!("/notchspool/rpc?call=instances.heartbeat&of={}", self.instance), &body, 1.0);
    }

    /// One request; `None` where the connection ends.
    fn serve(&self, mut stream: &TcpStream, reader: &mut BufReader<TcpStream>) -> Option<()> {
        let mut first = String::new();
        reader.read_line(&mut first).ok().filter(|bytes| *bytes > 0)?;
        let headers = read_headers(reader)?;
        let length: usize = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        reader.read_exact(&mut vec![0; length]).ok()?;
        let header = |name: &str| headers.get(name).cloned().unwrap_or_default();
        let (attempt, key) = (header("notchspool-attempt-id"), header("notchspool-operation-key"));
        let target = header("notchspool-target-instance");
        if !target.is_empty() && target != self.instance {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nnotchspool-attempt-id: {attempt}\r\nnotchspool-not-run: 1\r\ncontent-length: 0\r\n\r\n"
            );
            return stream.write_all(text.as_bytes()).ok();
        }
        let began = self.record.now();
        std::thread::sleep(WORK);
        let n = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
        let head = format!(
            "HTTP/1.1 200 OK\r\nnotchspool-attempt-id: {attempt}\r\nnotchspool-server-seal: {}.{n}\r\ntransfer-encoding: chunked\r\n\r\n",
            self.instance
        );
        let body = format!("{} did {key}", self.instance);
        let is_spoilt = self.in_trouble.load(Ordering::SeqCst) && n.is_multiple_of(ONE_IN);
        // The second of two chunks; its size is what is spoilt.
        let second = match is_spoilt {
            true => "FFFFFFFFFFFFFFFF\r\n!\r\n0\r\n\r\n",
            false => "1\r\n!\r\n0\r\n\r\n",
        };
        let text = format!("{head}{:x}\r\n{body}\r\n{second}", body.len());
        let wrote = stream.write_all(text.as_bytes());
        let ended = self.record.now();
        self.runs.lock().unwrap().entry(key.clone()).or_default().push((began, ended));
        let how = if is_spoilt { "spoilt, and closes" } else { "whole" };
        self.record.say(&format!("{} ran attempt {attempt} key {key} from {began:.4} to {ended:.4}: its answer is {how}", self.instance));
        if is_spoilt {
            return None;
        }
        wrote.ok()
    }
}

fn main() {
    std::process::exit(run().unwrap_or(NO_RUN));
}

fn run() -> Option<i32> {
    let record = Record::open();
    let sidecars = [("z1", "orders"), ("z2", "orders"), ("z3", "orders"), ("z1", "shop"), ("z2", "shop")];
    let deployment = Deployment::start(&record, &sidecars)?;
    let runs: Runs = Arc::default();
    let in_trouble: Arc<AtomicBool> = Arc::default();
    // One of the three backends of the service is in trouble: a share under 0.35.
    ChunkedBackend::start(&deployment.sidecar(0).machine, 0, &record, &runs, in_trouble.clone())?;
    for n in 1..sidecars.len() {
        ChunkedBackend::start(&deployment.sidecar(n).machine, n, &record, &runs, Arc::default())?;
    }
    let config = config(1, &[("order", HOST, "keyed", "orders", 3.0, 0.8)], &["orders", "shop"]);
    if !deployment.replace_config(&config, 15.0) || !deployment.wait_ready(15.0) {
        record.say("the deployment did not start");
        return None;
    }
    std::thread::sleep(Duration::from_secs(3));
    let callers = [deployment.sidecar(3).machine.ip.clone(), deployment.sidecar(4).machine.ip.clone()];
    let ask = |caller: usize, key: &str| {
        let attempt = new_attempt();
        let answer = send_try(&callers[caller % 2], HOST, "/order/1", &attempt, key, 3_000);
        let status = answer.as_ref().map_or(0, |answer| answer.status);
        record.say(&format!("key {key} attempt {attempt} at {}: {status}", callers[caller % 2]));
        status
    };
    in_trouble.store(has_trouble(), Ordering::SeqCst);
    let (began, next_key) = (record.now(), AtomicUsize::new(0));
    let (served, failed) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| {
                while record.now() - began < TROUBLE_S {
                    let n = next_key.fetch_add(1, Ordering::SeqCst);
                    let key = format!("k-{n}");
                    match ask(n, &key) {
                        200 => drop(served.fetch_add(1, Ordering::SeqCst)),
                        _ => failed.lock().unwrap().push(key),
                    }
                }
            });
        }
    });
    let (asked, served) = (next_key.into_inner(), served.into_inner());
    let failed = failed.into_inner().unwrap();
    in_trouble.store(false, Ordering::SeqCst);
    record.say(&format!("the trouble is over: {asked} keys, {served} answered with success, {} failed", failed.len()));
    if served < 50 {
        return None;
    }
    // Each is tried again with its key, at one agent and the other, and again past the window of the key.
    let (mut false_409, mut repeats) = (0, 0);
    for at in [1.0, 3.0, 10.0, 30.0, 55.0, 75.0] {
        if failed.is_empty() {
            break;
        }
        sleep_until(&record, began + TROUBLE_S + at);
        for (n, key) in failed.iter().enumerate() {
            for caller in [n, n + 1] {
                let sent = record.now();
                let status = ask(caller, key);
                repeats += 1;
                let last_end = runs.lock().unwrap().get(key).and_then(|runs| runs.last().map(|(_, ended)| *ended));
                if let (409, Some(ended)) = (status, last_end)
                    && ended < sent
                {
                    false_409 += 1;
                    record.say(&format!("key {key} gets 409, though its run has ended {:.3} s before", sent - ended));
                }
            }
        }
    }
    let total = asked + repeats;
    // DENIED allows 5 + one in 500 of all requests.
    let allowed = 5 + total / 500;
    record.say(&format!("{false_409} answers 409 for keys that are not at work, of {total} requests in all; DENIED allows {allowed}"));
    let broken = false_409 > allowed;
    record.say(if broken { "BROKEN: MIXED, DENIED" } else { "held" });
    deployment.record_logs();
    Some(if broken { BROKEN } else { HELD })
}
