//! A backend leaves: it says so first, serves on, and ends. One of its beats comes seconds late. Right after the acknowledgement of its leave all
//! processes of the system are killed at once and started again.
#[path = "../standin/harness.rs"]
mod harness;
use harness::*;

use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const HOST: &str = "orders.example";
/// In touch: twice `contactS` after the last start, as after a closing fault that took most of the core.
const IN_TOUCH_AFTER_S: f64 = 6.0;
/// The mean of `repeat-order` of receptlanc-hu is 290 ms, that of `transfer-post` of lipa-mesh 78 ms.
const WORK: Duration = Duration::from_millis(150);
/// A beat comes this much late.
const LATE_S: f64 = 3.0;
/// From the acknowledgement of its leave to the end of the backend.
const SERVES_ON_S: f64 = 10.0;
/// From the kill to the new start.
const DOWN_S: f64 = 0.7;
const CLIENTS: usize = 3;

/// A request as it reached a backend.
#[derive(Clone, Debug)]
struct Arrival {
    at: f64,
    attempt: String,
    instance: String,
    answered: bool,
}

struct Leaver {
    machine: Machine,
    instance: String,
    record: Arc<Record>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    calls: AtomicU64,
    beats: AtomicBool,
    ended: AtomicBool,
    at_work: AtomicUsize,
}

impl Leaver {
    fn start(machine: &Machine, n: usize, record: &Arc<Record>, arrivals: &Arc<Mutex<Vec<Arrival>>>) -> Option<Arc<Leaver>> {
        let listener = TcpListener::bind(format!("{}:8301", machine.ip)).ok()?;
        let backend = Arc::new(Leaver {
            machine: machine.clone(),
            instance: format!("i-{n}"),
            record: record.clone(),
            arrivals: arrivals.clone(),
            calls: AtomicU64::new(0),
            beats: AtomicBool::new(true),
            ended: AtomicBool::new(false),
            at_work: AtomicUsize::new(0),
        });
        let beating = backend.clone();
        std::thread::spawn(move || {
            while beating.beats.load(Ordering::SeqCst) {
                let next = Instant::now() + BEAT;
                beating.send_beat(&beating.beat());
                std::thread::sleep(next.saturating_duration_since(Instant::now()));
            }
        });
        let serving = backend.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.ended.load(Ordering::SeqCst) {
                    return;
                }
                let backend = serving.clone();
                std::thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().ok()?);
                    while backend.serve(&stream, &mut reader).is_some() {}
                    Some(())
                });
            }
        });
        Some(backend)
    }

    /// A beat as it is made now.
    fn beat(&self) -> String {
        let count = self.calls.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            r#"{{"address":"{}:8301","details":{{"service":"{}","version":"v1","zone":"{}","freeSlots":6}},"status":{{"state":"ready","callCount":{count},"coldLeftS":0}}}}"#,
            self.machine.ip, self.machine.service, self.machine.zone
        )
    }

    fn call(&self, name: &str, body: &str) -> bool {
        let path = format!("/notchspool/rpc?call=instances.{name}&of={}", self.instance);
        post(&self.machine.ip, &path, body, 1.0).is_some_and(|answer| (200..300).contains(&answer.status))
    }

    fn send_beat(&self, beat: &str) -> bool {
        self.call("heartbeat", beat)
    }

    fn serve(&self, mut stream: &TcpStream, reader: &mut BufReader<TcpStream>) -> Option<()> {
        let mut first = String::new();
        std::io::BufRead::read_line(reader, &mut first).ok().filter(|bytes| *bytes > 0)?;
        let headers = read_headers(reader)?;
        let length: usize = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        reader.read_exact(&mut vec![0; length]).ok()?;
        let header = |name: &str| headers.get(name).cloned().unwrap_or_default();
        let (attempt, target) = (header("notchspool-attempt-id"), header("notchspool-target-instance"));
        if self.ended.load(Ordering::SeqCst) {
            return None;
        }
        if !target.is_empty() && target != self.instance {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nnotchspool-attempt-id: {attempt}\r\nnotchspool-not-run: 1\r\ncontent-length: 0\r\n\r\n"
            );
            return stream.write_all(text.as_bytes()).ok();
        }
        self.at_work.fetch_add(1, Ordering::SeqCst);
        let index = {
            let mut arrivals = self.arrivals.lock().unwrap();
            let (at, instance) = (self.record.now(), self.instance.clone());
            arrivals.push(Arrival { at, attempt: attempt.clone(), instance, answered: false });
            arrivals.len() - 1
        };
        std::thread::sleep(WORK);
        self.at_work.fetch_sub(1, Ordering::SeqCst);
        if self.ended.load(Ordering::SeqCst) {
            return None;
        }
        self.arrivals.lock().unwrap()[index].answered = true;
        let body = format!("{} did {attempt}", self.instance);
        // One that leaves closes its connections.
        let close = if self.beats.load(Ordering::SeqCst) { "" } else { "connection: close\r\n" };
        let text = format!(
            "HTTP/1.1 200 OK\r\nnotchspool-attempt-id: {attempt}\r\nnotchspool-server-seal: {}.1\r\n{close}content-length: {}\r\n\r\n{body}",
            self.instance,
            body.len()
        );
        stream.write_all(text.as_bytes()).ok()?;
        close.is_empty().then_some(())
    }
}

/// One try on a new connection: the status; 0 where the connection ended without a complete answer.
fn send_once(ip: &str, attempt: &str) -> u16 {
    let text = format!(
        "POST /order/1 HTTP/1.1\r\nhost: {HOST}\r\nnotchspool-attempt-id: {attempt}\r\nnotchspool-time-left-ms: 3000\r\ncontent-length: 0\r\n\r\n"
    );
    exchange(&format!("{ip}:8304"), &text, 3.2).filter(|answer| answer.whole).map_or(0, |answer| answer.status)
}

fn main() {
    std::process::exit(run().unwrap_or(NO_RUN));
}

fn run() -> Option<i32> {
    let record = Record::open();
    let deployment = Deployment::start(&record, &[("z1", "shop"), ("z2", "orders"), ("z3", "orders")])?;
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let mut backends = Vec::new();
    for (n, process) in deployment.sidecars.iter().enumerate() {
        backends.push(Leaver::start(&process.machine, n, &record, &arrivals)?);
    }
    let config = config(1, &[("order", HOST, "unsafe", "orders", 3.0, 0.8)], &["shop", "orders"]);
    if !deployment.replace_config(&config, 15.0) || !deployment.wait_ready(15.0) {
        record.say("the deployment did not start");
        return None;
    }
    std::thread::sleep(Duration::from_secs(4));
    let front = deployment.sidecar(0).machine.ip.clone();
    let ending = Arc::new(AtomicBool::new(false));
    let tries: Arc<Mutex<Vec<(f64, String, u16)>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (record, ending, tries, front) = (record.clone(), ending.clone(), tries.clone(), front.clone());
            std::thread::spawn(move || {
                while !ending.load(Ordering::SeqCst) {
                    // No new work for a machine that isn't ready.
                    if !is_ready(&front) {
                        std::thread::sleep(Duration::from_millis(100));
                        continue;
                    }
                    let (attempt, sent) = (new_attempt(), record.now());
                    let status = send_once(&front, &attempt);
                    tries.lock().unwrap().push((sent, attempt, status));
                    std::thread::sleep(Duration::from_millis(60));
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(3));
    let leaver = backends[1].clone();
    // Its last beat, made before it leaves, comes late.
    leaver.beats.store(false, Ordering::SeqCst);
    std::thread::sleep(BEAT);
    let (late_beat, made_at) = (leaver.beat(), record.now());
    leaver.calls.fetch_add(1, Ordering::SeqCst);
    if !leaver.call("leave", "{}") {
        record.say("the leave was not acknowledged");
        return None;
    }
    let acked_at = record.now();
    record.say(&format!("{} leaves: acknowledged; its beat of {made_at:.3} is still on its way", leaver.instance));
    let all: Vec<Arc<Process>> = deployment.cores.iter().chain(&deployment.sidecars).cloned().collect();
    if has_trouble() {
        sleep_until(&record, acked_at + 0.2);
        for process in &all {
            process.set_restart_delay(DOWN_S);
            process.signal(&record, SIGKILL);
        }
    }
    let started_by = acked_at + 0.2 + DOWN_S + 0.1;
    sleep_until(&record, made_at + LATE_S);
    let taken = leaver.send_beat(&late_beat);
    record.say(&format!("the late beat comes, {:.3} s after it was made: {}", record.now() - made_at, if taken { "200" } else { "no 200" }));
    sleep_until(&record, acked_at + SERVES_ON_S);
    leaver.ended.store(true, Ordering::SeqCst);
    let ended_at = record.now();
    let cut = leaver.at_work.load(Ordering::SeqCst);
    record.say(&format!("{} ends, {cut} requests are at work there", leaver.instance));
    std::thread::sleep(Duration::from_secs(4));
    ending.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    let (tries, arrivals) = (tries.lock().unwrap().clone(), arrivals.lock().unwrap().clone());
    let in_touch_from = if has_trouble() { started_by + IN_TOUCH_AFTER_S } else { 0.0 };
    let (mut late, mut lost, mut served) = (0, 0, 0);
    for (sent, attempt, status) in &tries {
        served += usize::from(*status == 200);
        let at_leaver = arrivals.iter().find(|arrival| arrival.attempt == *attempt && arrival.instance == leaver.instance);
        let Some(arrival) = at_leaver.filter(|arrival| arrival.at > acked_at + DRAIN_S && *sent > in_touch_from) else { continue };
        late += 1;
        let is_lost = !arrival.answered;
        lost += usize::from(is_lost);
        record.say(&format!(
            "attempt {attempt} reaches {} {:.3} s after its leave was acknowledged; its client gets {status}{}",
            leaver.instance,
            arrival.at - acked_at,
            if is_lost { ": lost as the backend ends" } else { "" }
        ));
    }
    record.say(&format!(
        "{} tries, {served} served; {late} reached the backend later than drainS, {lost} of them lost; it ended {:.3} s after the acknowledgement",
        tries.len(),
        ended_at - acked_at
    ));
    deployment.record_logs();
    if served < 50 {
        return None;
    }
    record.say(if late > 0 { "BROKEN: DRAIN" } else { "held" });
    Some(if late > 0 { BROKEN } else { HELD })
}
