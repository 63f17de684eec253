//! Several clients of one machine send large bodies at the same time, each within `maxBodyBytes`. The platform kills what takes more memory
//! than `memoryMb`. Judged: Fault.
mod harness;
use harness::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// `limits.memoryMb` of the settings, in the larger of its readings.
const MEMORY_BYTES: u64 = 260 << 20;
/// `maxBodyBytes` is 67,108,864.
const BODY_BYTES: usize = 46 << 20;
const CLIENTS: usize = 4;
const ROUNDS: usize = 5;
const ROUND_S: f64 = 9.0;
const FRONTS: usize = 2;
const SMALL_A_SECOND: f64 = 20.0;

fn main() {
    let code = std::panic::catch_unwind(run).unwrap_or(NO_RUN);
    std::process::exit(code);
}

/// The status of the answer to a large request; 0 where the connection ended without one.
fn upload(ip: &str, attempt: &str, body: &[u8]) -> u16 {
    let head = format!(
        "POST /put/1 HTTP/1.1\r\nhost: shop.example\r\nnotchspool-attempt-id: {attempt}\r\nnotchspool-time-left-ms: 10000\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let Some(mut stream) = connect(&format!("{ip}:8304"), 10.0) else { return 0 };
    if stream.write_all(head.as_bytes()).is_err() || stream.write_all(body).is_err() {
        return 0;
    }
    let mut line = String::new();
    let _ = BufReader::new(&stream).read_line(&mut line);
    line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
}

fn run() -> i32 {
    let record = Record::open();
    let trouble = has_trouble();
    record.say(&format!("trouble: {trouble}"));
    let places = [("z1", "front"), ("z2", "front"), ("z1", "orders"), ("z2", "orders"), ("z3", "orders")];
    let Some(deployment) = Deployment::start(&record, &places) else {
        record.say("no free addresses");
        return NO_RUN;
    };
    let runs = Arc::new(Mutex::new(Vec::new()));
    let backends: Vec<Arc<Backend>> = (0..places.len())
        .filter_map(|n| {
            let machine = &deployment.sidecar(n).machine;
            Backend::start(machine, &format!("i-{}-{n}", machine.service), 6, 30, &record, &runs, false)
        })
        .collect();
    let text = config(1, &[("put", "shop.example", "unsafe", "orders", 10.0, 5.0)], &["orders", "front"]);
    if backends.len() < places.len()
        || !deployment.replace_config(&text, 15.0)
        || !deployment.wait_ready(15.0)
    {
        record.say("the deployment does not come up");
        return NO_RUN;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let kills: Arc<Vec<AtomicUsize>> = Arc::new((0..places.len()).map(|_| AtomicUsize::new(0)).collect());
    let most: Arc<Mutex<u64>> = Arc::default();
    // The platform: "A process that exceeds `memoryMb` is killed".
    let watch = {
        let (stop, kills, record, most) = (stop.clone(), kills.clone(), record.clone(), most.clone());
        let processes: Vec<Arc<Process>> = deployment.sidecars.clone();
        std::thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                for (n, process) in processes.iter().enumerate() {
                    let bytes = process.resident_bytes();
                    let mut most = most.lock().unwrap();
                    *most = (*most).max(bytes);
                    drop(most);
                    if bytes > MEMORY_BYTES {
                        record.say(&format!(
                            "{} has {} MB, more than memoryMb",
                            process.machine.name,
                            bytes >> 20
                        ));
                        process.signal(&record, SIGKILL);
                        kills[n].fetch_add(1, Ordering::SeqCst);
                        std::thread::sleep(Duration::from_millis(100));
                    }
                }
                std::thread::sleep(Duration::from_millis(1));
            }
        })
    };
    std::thread::sleep(Duration::from_secs(4));
    let begin = record.now();
    let body = Arc::new(vec![b'x'; BODY_BYTES]);
    let (large, small) = (Arc::new(Mutex::new(Vec::new())), Arc::new(Mutex::new(Vec::new())));
    let clients: Vec<_> = (0..FRONTS)
        .map(|front| {
            let ip = deployment.sidecar(front).machine.ip.clone();
            let (stop, small, record) = (stop.clone(), small.clone(), record.clone());
            std::thread::spawn(move || {
                let mut next = record.now();
                while !stop.load(Ordering::SeqCst) {
                    next += 1.0 / SMALL_A_SECOND;
                    sleep_until(&record, next);
                    // Clients go where the agent is there; a connection that can't be made is no request.
                    let Some(stream) = connect(&format!("{ip}:8304"), 3.0) else { continue };
                    let attempt = new_attempt();
                    let _ = (&stream)
                        .write_all(try_text("shop.example", "/put/1", &attempt, "", 3_000).as_bytes());
                    let mut first = [0u8; 12];
                    let answered = BufReader::new(&stream).read_exact(&mut first).is_ok();
                    let got = String::from_utf8_lossy(&first[9..]).into_owned();
                    record.say(&format!(
                        "client sent {attempt} to {ip}: {}",
                        if answered { &got } else { "no answer" }
                    ));
                    small.lock().unwrap().push((attempt, answered));
                }
            })
        })
        .collect();
    for round in 0..ROUNDS {
        sleep_until(&record, begin + ROUND_S * round as f64);
        let uploads: Vec<_> = (0..FRONTS)
            .flat_map(|front| (0..CLIENTS).map(move |client| (front, client)))
            .map(|(front, client)| {
                let ip = deployment.sidecar(front).machine.ip.clone();
                let (body, large, record) = (body.clone(), large.clone(), record.clone());
                std::thread::spawn(move || {
                    if !trouble {
                        // One after the other, and each machine for itself.
                        std::thread::sleep(Duration::from_millis(900 * (client * FRONTS + front) as u64));
                    }
                    let attempt = new_attempt();
                    record.say(&format!(
                        "round {round}: client {client} sends {attempt} to {ip}, {} MB",
                        body.len() >> 20
                    ));
                    let status = upload(&ip, &attempt, &body);
                    record.say(&format!("round {round}: client {client} gets {status} for {attempt}"));
                    large.lock().unwrap().push(status);
                })
            })
            .collect();
        uploads.into_iter().for_each(|one| drop(one.join()));
    }
    std::thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    let _ = watch.join();
    clients.into_iter().for_each(|one| drop(one.join()));
    deployment.record_logs();
    let ended: Vec<usize> = kills.iter().map(|count| count.load(Ordering::SeqCst)).collect();
    let (large, small) = (large.lock().unwrap(), small.lock().unwrap());
    let runs = runs.lock().unwrap();
    let unanswered: Vec<&String> =
        small.iter().filter(|(_, answered)| !answered).map(|(attempt, _)| attempt).collect();
    let ran = unanswered.iter().filter(|attempt| runs.iter().any(|run| run.attempt == ***attempt)).count();
    let served = large.iter().filter(|status| **status == 200).count();
    for attempt in unanswered.iter().filter(|attempt| runs.iter().any(|run| run.attempt == ***attempt)) {
        record.say(&format!("{attempt} was run, and its client got no answer"));
    }
    record.say(&format!(
        "ends for memory by sidecar machine: {ended:?}; most memory of one: {} MB; large requests served {served} of {}; small ones cut off without an answer {} of {}, {ran} of them had been run",
        *most.lock().unwrap() >> 20,
        large.len(),
        unanswered.len(),
        small.len()
    ));
    // A tenth of the machines in use, two at least, three times in the day.
    let machines = CORES + places.len();
    let struck = ended.iter().filter(|ends| **ends >= 3).count();
    if small.len() < 200 || (!trouble && served * 2 < large.len()) {
        return NO_RUN;
    }
    if struck >= (machines / 10).max(2) { BROKEN } else { HELD }
}
