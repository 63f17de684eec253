//! Clients give up early, while the keys of their requests are being claimed. Judged: the share of the patient clients' requests that is
//! refused (Gate).
mod harness;
use harness::*;
use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// `transfer-post` of lipa-mesh-grown.
const MAX_A_SECOND: f64 = 524.0;
const PATIENT_A_SECOND: f64 = 10.0;
const LEAVERS: u64 = 32;
/// The share of clients that may leave is not bounded; the time within which they leave is half the aim, here 400 ms.
const LEAVE_AFTER_US: std::ops::Range<u64> = 800..2_800;
/// The bound of the rule.
const MAX_REFUSED_PART: f64 = 0.6;
const LEAVING_S: f64 = 34.0;
const LENGTH_S: f64 = 104.0;

fn main() {
    let code = std::panic::catch_unwind(run).unwrap_or(NO_RUN);
    std::process::exit(code);
}

/// A patient client: up to two more tries, each after what it was told to wait.
fn ask(front: &str, key: &str) -> Option<Answer> {
    let mut last = None;
    let mut left_ms = 3_000u64;
    for _ in 0..3 {
        let began = std::time::Instant::now();
        last = send_try(front, "shop.example", "/order/1", &new_attempt(), key, left_ms);
        left_ms = left_ms.saturating_sub(began.elapsed().as_millis() as u64);
        let Some(answer) = &last else { continue };
        if answer.status == 200 || left_ms < 100 {
            break;
        }
        let after = answer.headers.get("retry-after").and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.05);
        let wait = ((after * 1e3) as u64).min(left_ms / 3);
        std::thread::sleep(Duration::from_millis(wait));
        left_ms -= wait;
    }
    last
}

fn run() -> i32 {
    let record = Record::open();
    let trouble = has_trouble();
    record.say(&format!("trouble: {trouble}"));
    let Some(deployment) = Deployment::start(&record, &[("z1", "front"), ("z1", "orders")]) else {
        return NO_RUN;
    };
    let runs = Arc::new(Mutex::new(Vec::new()));
    let backends: Vec<Arc<Backend>> = (0..2)
        .filter_map(|n| {
            let machine = &deployment.sidecar(n).machine;
            Backend::start(machine, &format!("i-{}-{n}", machine.service), 6, 8, &record, &runs, true)
        })
        .collect();
    let text = config(1, &[("order", "shop.example", "keyed", "orders", 3.0, 0.8)], &["orders", "front"]);
    if backends.len() < 2 || !deployment.replace_config(&text, 15.0) || !deployment.wait_ready(15.0) {
        return NO_RUN;
    }
    std::thread::sleep(Duration::from_secs(4));
    let front = deployment.sidecar(0).machine.ip.clone();
    let begin = record.now();
    let (stop, left) = (Arc::new(AtomicBool::new(!trouble)), Arc::new(AtomicU64::new(0)));
    let leavers: Vec<_> = (0..LEAVERS)
        .map(|n| {
            let (stop, left, front, record) = (stop.clone(), left.clone(), front.clone(), record.clone());
            std::thread::spawn(move || {
                let mut draw = n * 7919 + 1;
                let pause = LEAVERS as f64 / (MAX_A_SECOND - 2.0 * PATIENT_A_SECOND);
                let mut next = begin + pause * n as f64 / LEAVERS as f64;
                while !stop.load(Ordering::SeqCst) {
                    sleep_until(&record, next);
                    next = (next + pause).max(record.now());
                    draw = draw.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
                    let attempt = new_attempt();
                    let Some(mut stream) = connect(&format!("{front}:8304"), 1.0) else { continue };
                    let text = try_text("shop.example", "/order/1", &attempt, &format!("g-{attempt}"), 3_000);
                    let _ = stream.write_all(text.as_bytes());
                    let span = LEAVE_AFTER_US.end - LEAVE_AFTER_US.start;
                    std::thread::sleep(Duration::from_micros(LEAVE_AFTER_US.start + (draw >> 33) % span));
                    drop(stream);
                    left.fetch_add(1, Ordering::SeqCst);
                }
            })
        })
        .collect();
    let answers = Arc::new(Mutex::new(Vec::new()));
    let mut patient = Vec::new();
    let mut n = 0u32;
    while record.now() < begin + LENGTH_S {
        sleep_until(&record, begin + f64::from(n) / PATIENT_A_SECOND);
        if record.now() > begin + LEAVING_S && !stop.swap(true, Ordering::SeqCst) {
            record.say(&format!("no client leaves early any more; {} did", left.load(Ordering::SeqCst)));
        }
        let (front, answers, one) = (front.clone(), answers.clone(), record.clone());
        patient.push(std::thread::spawn(move || {
            let answer = ask(&front, &format!("p-{n}"));
            let got = answer.map_or((0, String::new()), |answer| (answer.status, answer.body.trim().to_string()));
            one.say(&format!("patient client, key p-{n}: {} {}", got.0, got.1));
            answers.lock().unwrap().push((one.now(), got.0));
        }));
        n += 1;
    }
    patient.into_iter().for_each(|one| drop(one.join()));
    leavers.into_iter().for_each(|one| drop(one.join()));
    record.say(&format!("{} of the early ones ran", runs.lock().unwrap().iter().filter(|run| run.key.starts_with("g-")).count()));
    record.say(&format!("figures of the front: {}", figures(&deployment.sidecar(0).machine.ip).replace('\n', ", ")));
    record.say(&format!("figures beside the backend: {}", figures(&deployment.sidecar(1).machine.ip).replace('\n', ", ")));
    deployment.record_logs();
    let answers = answers.lock().unwrap();
    let refused = answers.iter().filter(|(_, status)| *status != 200).count();
    let late: Vec<_> = answers.iter().filter(|(at, _)| *at > begin + LEAVING_S + 5.0).collect();
    let late_served = late.iter().filter(|(_, status)| *status == 200).count();
    let part = refused as f64 / answers.len() as f64;
    record.say(&format!(
        "{} requests owed, {refused} refused or failed: {part:.3}; {} clients left early; of {} requests sent over 5 s after the last of them {late_served} were served",
        answers.len(),
        left.load(Ordering::SeqCst),
        late.len()
    ));
    if part > MAX_REFUSED_PART { BROKEN } else { HELD }
}
