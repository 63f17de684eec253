//! The proxies of a service of downloads are restarted in turn while files are as large as they get; then files are of the usual size again.
//! Judged: the share of requests that is refused (Gate).
mod harness;
use harness::*;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Of receptlanc-hu-grown: the sidecars' links, and `slip-pdf`.
const LINK_MBPS: f64 = 5.3;
const USUAL_BYTES: usize = 90_000;
const LARGEST_BYTES: usize = 540_000;
const WORK_MS: u64 = 180;
const TIMEOUT_S: f64 = 5.0;
const TARGET_S: f64 = 1.2;
const SERVICE: [usize; 3] = [1, 2, 3];
const USUAL_EACH_S: f64 = 0.5;
const LARGE_EACH_S: f64 = 1.3;
const LARGE_FILES: usize = 5;
const LARGE_FROM_S: f64 = 10.0;
const LENGTH_S: f64 = 90.0;
/// The bound of the rule.
const MAX_REFUSED_PART: f64 = 0.6;

fn main() {
    let code = std::panic::catch_unwind(run).unwrap_or(NO_RUN);
    std::process::exit(code);
}

/// A client: one try and, as the site has it, one more, after what it was told to wait.
fn ask(record: &Record, ip: &str, bytes: usize) -> (u16, String) {
    let (mut last, mut left_ms) = ((0, String::new()), (TIMEOUT_S * 1e3) as u64);
    for _ in 0..2 {
        let began = std::time::Instant::now();
        let attempt = new_attempt();
        record.say(&format!("client sends {attempt}, {left_ms} ms left"));
        let answer = send_try(ip, "shop.example", &format!("/slip/{bytes}"), &attempt, "", left_ms);
        record
            .say(&format!("client gets {} for {attempt}", answer.as_ref().map_or(0, |answer| answer.status)));
        left_ms = left_ms.saturating_sub(began.elapsed().as_millis() as u64);
        let Some(answer) = answer else { continue };
        if answer.status == 200 {
            return (if answer.whole && answer.body.len() == bytes { 200 } else { 1 }, String::new());
        }
        let after =
            answer.headers.get("retry-after").and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.05);
        last = (answer.status, answer.body.trim().to_string());
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
    let places = [("z1", "front"), ("z1", "slips"), ("z2", "slips"), ("z3", "slips")];
    let Some(deployment) = Deployment::start_on_links(&record, &places, LINK_MBPS) else {
        record.say("no free addresses");
        return NO_RUN;
    };
    let runs = Arc::new(Mutex::new(Vec::new()));
    let backends: Vec<Arc<Backend>> = (0..places.len())
        .filter_map(|n| {
            let machine = &deployment.sidecar(n).machine;
            Backend::start(machine, &format!("i-{}-{n}", machine.service), 6, WORK_MS, &record, &runs, false)
        })
        .collect();
    let text =
        config(1, &[("slip", "shop.example", "download", "slips", TIMEOUT_S, TARGET_S)], &["slips", "front"]);
    if backends.len() < places.len()
        || !deployment.replace_config(&text, 15.0)
        || !deployment.wait_ready(15.0)
    {
        record.say("the deployment does not come up");
        return NO_RUN;
    }
    std::thread::sleep(Duration::from_secs(4));
    let begin = record.now();
    let front = deployment.sidecar(0).machine.ip.clone();
    let answers: Arc<Mutex<Vec<(f64, usize, u16, String)>>> = Arc::default();
    let mut clients = Vec::new();
    let mut send = |bytes: usize| {
        let (front, answers, record) = (front.clone(), answers.clone(), record.clone());
        clients.push(std::thread::spawn(move || {
            let sent = record.now();
            record.say(&format!("client asks for a file of {bytes} bytes"));
            let (status, reason) = ask(&record, &front, bytes);
            record.say(&format!("file of {bytes} bytes, sent at {sent:.2}: {status} {reason}"));
            answers.lock().unwrap().push((sent, bytes, status, reason));
        }));
    };
    let usual = |from: f64, until: f64, send: &mut dyn FnMut(usize)| {
        let mut at = from;
        while at < until {
            sleep_until(&record, at);
            send(USUAL_BYTES);
            at += USUAL_EACH_S;
        }
    };
    usual(begin, begin + LARGE_FROM_S - 6.0, &mut send);
    // A quiet moment: the machines of the service are stopped and started in turn, each once the one before is back.
    for n in SERVICE {
        if trouble {
            deployment.sidecar(n).signal(&record, SIGTERM);
        }
        std::thread::sleep(Duration::from_millis(4_500));
    }
    deployment.wait_ready(10.0);
    std::thread::sleep(Duration::from_secs(2));
    for _ in 0..LARGE_FILES {
        send(LARGEST_BYTES);
        std::thread::sleep(Duration::from_secs_f64(LARGE_EACH_S));
    }
    std::thread::sleep(Duration::from_secs(2));
    let late_from = record.now();
    usual(late_from, begin + LENGTH_S, &mut send);
    clients.into_iter().for_each(|one| drop(one.join()));
    for n in SERVICE {
        record.say(&format!(
            "figures of {}: {}",
            deployment.sidecar(n).machine.name,
            figures(&deployment.sidecar(n).machine.ip).replace('\n', ", ")
        ));
    }
    deployment.record_logs();
    let answers = answers.lock().unwrap();
    let refused = answers.iter().filter(|(_, _, status, _)| *status != 200).count();
    let late: Vec<_> = answers.iter().filter(|(sent, _, _, _)| *sent >= late_from).collect();
    let late_served = late.iter().filter(|(_, _, status, _)| *status == 200).count();
    let part = refused as f64 / answers.len() as f64;
    record.say(&format!(
        "{} requests owed, {refused} refused or failed: {part:.3}; of {} for files of the usual size in the last {:.0} s {late_served} were served",
        answers.len(),
        late.len(),
        record.now() - late_from
    ));
    if part > MAX_REFUSED_PART { BROKEN } else { HELD }
}
