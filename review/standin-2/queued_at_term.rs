//! A machine of the system is stopped with SIGTERM while requests that it took from clients wait for a slot at other machines.
#[path = "../standin/harness.rs"]
mod harness;
use harness::*;

use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const HOST: &str = "reports.example";
const GRACE_S: f64 = 6.0;
const LOSS_SLACK_S: f64 = 0.2;
/// What the client waits, and the route's `timeoutS`.
const LEFT_S: f64 = 35.0;
const WORK_MS: u64 = 4_000;
const CLIENTS: usize = 36;
/// After SIGTERM requests that were sent no later than this may be cut off where their backend is at work in the last sixth of `graceS`.
const SENT_WITHIN_S: f64 = 3.0;

/// One try of a client.
#[derive(Clone, Debug)]
struct Try {
    attempt: String,
    sent: f64,
    ended: f64,
    /// 0: the connection ended without a complete answer.
    status: u16,
}

/// One try on a new connection: the status and when to come back; `None` where the connection ended without a complete answer.
fn send_once(ip: &str, attempt: &str) -> Option<(u16, Option<f64>)> {
    let stream = connect(&format!("{ip}:8304"), 1.0)?;
    stream.set_read_timeout(Some(Duration::from_secs_f64(LEFT_S))).ok()?;
    let text = format!(
        "POST /report/1 HTTP/1.1\r\nhost: {HOST}\r\nnotchspool-attempt-id: {attempt}\r\nnotchspool-time-left-ms: {}\r\ncontent-length: 0\r\n\r\n",
        (LEFT_S * 1e3) as u64
    );
    (&stream).write_all(text.as_bytes()).ok()?;
    read_answer(&stream)
}

fn read_answer(stream: &TcpStream) -> Option<(u16, Option<f64>)> {
    let mut reader = BufReader::new(stream);
    let mut first = String::new();
    std::io::BufRead::read_line(&mut reader, &mut first).ok().filter(|bytes| *bytes > 0)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader)?;
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    reader.read_exact(&mut vec![0; length]).ok()?;
    Some((status, headers.get("retry-after").and_then(|text| text.parse().ok())))
}

fn main() {
    std::process::exit(run().unwrap_or(NO_RUN));
}

fn run() -> Option<i32> {
    let record = Record::open();
    let deployment = Deployment::start(&record, &[("z1", "shop"), ("z2", "reports"), ("z3", "reports")])?;
    let runs = Arc::new(Mutex::new(Vec::new()));
    let mut backends = Vec::new();
    for (n, process) in deployment.sidecars.iter().enumerate() {
        backends.push(Backend::start(&process.machine, &format!("i-{n}"), 6, WORK_MS, &record, &runs, true)?);
    }
    let config = config(1, &[("report", HOST, "unsafe", "reports", 40.0, 30.0)], &["shop", "reports"]);
    if !deployment.replace_config(&config, 15.0) || !deployment.wait_ready(15.0) {
        record.say("the deployment did not start");
        return None;
    }
    std::thread::sleep(Duration::from_secs(3));
    let front = deployment.sidecar(0).clone();
    // The platform: after two misses no new work goes to the clients of that machine, until it answers again.
    let is_in = Arc::new(AtomicBool::new(true));
    let ending = Arc::new(AtomicBool::new(false));
    let (checked, in_now, over, said) = (front.clone(), is_in.clone(), ending.clone(), record.clone());
    std::thread::spawn(move || {
        let mut misses = 0;
        while !over.load(Ordering::SeqCst) {
            misses = if is_ready(&checked.machine.ip) { 0 } else { misses + 1 };
            let is_in = misses < 2;
            if in_now.swap(is_in, Ordering::SeqCst) != is_in {
                said.say(&format!("the platform takes {} {}", checked.machine.name, if is_in { "in" } else { "out" }));
            }
            std::thread::sleep(Duration::from_secs(1));
        }
    });
    let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
    let stop_at = record.now() + 26.0;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (record, tries, is_in, ip) = (record.clone(), tries.clone(), is_in.clone(), front.machine.ip.clone());
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(110 * n as u64));
                while record.now() < stop_at {
                    if !is_in.load(Ordering::SeqCst) {
                        std::thread::sleep(Duration::from_millis(50));
                        continue;
                    }
                    let (attempt, sent) = (new_attempt(), record.now());
                    let answer = send_once(&ip, &attempt);
                    let status = answer.map_or(0, |(status, _)| status);
                    let ended = record.now();
                    record.say(&format!("attempt {attempt}, sent at {sent:.4}, gets {status} at {ended:.4}"));
                    tries.lock().unwrap().push(Try { attempt, sent, ended, status });
                    let pause = answer.and_then(|(_, retry_after)| retry_after);
                    std::thread::sleep(Duration::from_secs_f64(pause.unwrap_or(0.05)));
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(12));
    let term_at = record.now();
    if has_trouble() {
        front.set_restart_delay(1.0);
        front.signal(&record, SIGTERM);
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    ending.store(true, Ordering::SeqCst);
    let runs = runs.lock().unwrap().clone();
    let tries = tries.lock().unwrap().clone();
    let (mut lost, mut excused, mut served) = (0, 0, 0);
    for one in &tries {
        if one.status != 0 {
            served += usize::from(one.status == 200);
            continue;
        }
        let of_try: Vec<&Run> = runs.iter().filter(|run| run.attempt == one.attempt).collect();
        let in_last_sixth = of_try.iter().any(|run| {
            let ended = run.at + WORK_MS as f64 / 1e3;
            run.at <= term_at + GRACE_S && ended >= term_at + GRACE_S * 5.0 / 6.0
        });
        let is_around = one.sent < term_at + GRACE_S + 1.0 && one.ended >= term_at;
        let is_read = one.ended > one.sent + LOSS_SLACK_S;
        let has_time = one.ended - one.sent < LEFT_S;
        let is_excused = in_last_sixth && one.sent <= term_at + SENT_WITHIN_S;
        let verdict = if !is_around || !is_read || !has_time {
            "is not counted"
        } else if is_excused {
            excused += 1;
            "is excused: its backend was at work"
        } else {
            lost += 1;
            "is LOST: no backend was at work on it in the last sixth of graceS"
        };
        record.say(&format!(
            "attempt {}: {:.3} s after SIGTERM sent, connection ended {:.3} s after it without an answer, {} runs in all: {verdict}",
            one.attempt, one.sent - term_at, one.ended - term_at, of_try.len()
        ));
    }
    record.say(&format!("served {served}, lost {lost}, excused {excused}"));
    deployment.record_logs();
    if served < 12 {
        return None;
    }
    record.say(if lost > 0 { "BROKEN: LOST" } else { "held" });
    backends.iter().for_each(|backend| backend.end());
    Some(if lost > 0 { BROKEN } else { HELD })
}
