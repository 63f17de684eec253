//! A backend in trouble spoils a few of its answers in the middle: where the size of the second chunk is due it sends an empty line first. All
//! else of the answer is sound, and the connection stays.
#[path = "../standin/harness.rs"]
mod harness;
use harness::*;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const HOST: &str = "orders.example";
const WORK: Duration = Duration::from_millis(20);
/// Of the answers of the backend in trouble, one in so many is spoilt: `x` 0.02 of `garble`.
const ONE_IN: u64 = 50;
/// Clients at once; 18 slots are there.
const CLIENTS: usize = 4;
/// For so long: `for_s` 5.5.
const TROUBLE_S: f64 = 5.5;

struct ChunkedBackend {
    machine: Machine,
    instance: String,
    record: Arc<Record>,
    spoilt: Arc<AtomicUsize>,
    in_trouble: Arc<AtomicBool>,
    answers: AtomicU64,
    calls: AtomicU64,
}

impl ChunkedBackend {
    fn start(machine: &Machine, n: usize, record: &Arc<Record>, spoilt: &Arc<AtomicUsize>, in_trouble: Arc<AtomicBool>) -> Option<()> {
        let listener = TcpListener::bind(format!("{}:8301", machine.ip)).ok()?;
        let backend = Arc::new(ChunkedBackend {
            machine: machine.clone(),
            instance: format!("i-{n}"),
            record: record.clone(),
            spoilt: spoilt.clone(),
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
        let attempt = header("notchspool-attempt-id");
        let target = header("notchspool-target-instance");
        if !target.is_empty() && target != self.instance {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nnotchspool-attempt-id: {attempt}\r\nnotchspool-not-run: 1\r\ncontent-length: 0\r\n\r\n"
            );
            return stream.write_all(text.as_bytes()).ok();
        }
        std::thread::sleep(WORK);
        let n = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
        let head = format!(
            "HTTP/1.1 200 OK\r\nnotchspool-attempt-id: {attempt}\r\nnotchspool-server-seal: {}.{n}\r\ntransfer-encoding: chunked\r\n\r\n",
            self.instance
        );
        let parts = parts_of(&attempt);
        let chunk = |part: &String| format!("{:x}\r\n{part}\r\n", part.len());
        let is_spoilt = self.in_trouble.load(Ordering::SeqCst) && n.is_multiple_of(ONE_IN);
        let body = match is_spoilt {
            // No size of a chunk: an empty line.
            true => chunk(&parts[0]) + "\r\n" + &chunk(&parts[1]) + &chunk(&parts[2]) + "0\r\n\r\n",
            false => parts.iter().map(chunk).collect::<String>() + "0\r\n\r\n",
        };
        if is_spoilt {
            self.spoilt.fetch_add(1, Ordering::SeqCst);
            self.record.say(&format!("{} ran attempt {attempt}: an empty line stands after the first of the three chunks of its answer", self.instance));
        }
        let wrote = stream.write_all((head + &body).as_bytes());
        wrote.ok()
    }
}

/// The whole body of an answer, in three parts.
fn parts_of(attempt: &str) -> [String; 3] {
    [1, 2, 3].map(|n| format!("part {n} of 3 for {attempt}\n"))
}

fn main() {
    std::process::exit(run().unwrap_or(NO_RUN));
}

fn run() -> Option<i32> {
    let record = Record::open();
    let sidecars = [("z1", "orders"), ("z2", "orders"), ("z3", "orders"), ("z1", "shop"), ("z2", "shop")];
    let deployment = Deployment::start(&record, &sidecars)?;
    let spoilt: Arc<AtomicUsize> = Arc::default();
    let in_trouble: Arc<AtomicBool> = Arc::default();
    // One of the three backends of the service is in trouble: a share under 0.35.
    ChunkedBackend::start(&deployment.sidecar(0).machine, 0, &record, &spoilt, in_trouble.clone())?;
    for n in 1..sidecars.len() {
        ChunkedBackend::start(&deployment.sidecar(n).machine, n, &record, &spoilt, Arc::default())?;
    }
    let config = config(1, &[("slip", HOST, "safe", "orders", 3.0, 0.8)], &["orders", "shop"]);
    if !deployment.replace_config(&config, 15.0) || !deployment.wait_ready(15.0) {
        record.say("the deployment did not start");
        return None;
    }
    std::thread::sleep(Duration::from_secs(3));
    let callers = [deployment.sidecar(3).machine.ip.clone(), deployment.sidecar(4).machine.ip.clone()];
    in_trouble.store(has_trouble(), Ordering::SeqCst);
    let (began, next) = (record.now(), AtomicUsize::new(0));
    let (served, short) = (AtomicUsize::new(0), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| {
                while record.now() - began < TROUBLE_S {
                    let n = next.fetch_add(1, Ordering::SeqCst);
                    let attempt = new_attempt();
                    let Some(answer) = send_try(&callers[n % 2], HOST, "/slip/1", &attempt, "", 3_000) else {
                        record.say(&format!("attempt {attempt}: the connection ends without an answer"));
                        continue;
                    };
                    let whole = parts_of(&attempt).concat();
                    if answer.status != 200 {
                        record.say(&format!("attempt {attempt}: {}", answer.status));
                    } else if answer.whole && answer.body == whole {
                        served.fetch_add(1, Ordering::SeqCst);
                    } else if answer.whole {
                        short.fetch_add(1, Ordering::SeqCst);
                        record.say(&format!(
                            "attempt {attempt}: 200 with the stamp {}, a body that looks complete and has {} of {} bytes: {:?}",
                            answer.seal(), answer.body.len(), whole.len(), answer.body
                        ));
                    } else {
                        record.say(&format!("attempt {attempt}: 200, cut short as can be seen"));
                    }
                }
            });
        }
    });
    in_trouble.store(false, Ordering::SeqCst);
    let (asked, served, short) = (next.into_inner(), served.into_inner(), short.into_inner());
    let spoilt = spoilt.load(Ordering::SeqCst);
    record.say(&format!("{asked} requests, {served} served whole, {spoilt} answers spoilt; {short} successes without the backend's whole body"));
    if served < 50 || (has_trouble() && spoilt == 0) {
        return None;
    }
    record.say(if short > 0 { "BROKEN: MIXED" } else { "held" });
    Some(if short > 0 { BROKEN } else { HELD })
}
