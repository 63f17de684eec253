//! A backend drains, and its proxy is restarted in order right after it acknowledged that. Judged: DRAIN.
mod harness;
use harness::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Seconds for which the backend serves on after the acknowledgement.
const SERVES_ON_S: f64 = 4.2;
/// SIGTERM comes so long after the acknowledgement.
const TERM_AFTER_S: f64 = 0.6;
const REQUESTS_A_SECOND: f64 = 15.0;
/// `repeat-order` of the site.
const WORK_MS: u64 = 290;

fn main() {
    let code = std::panic::catch_unwind(run).unwrap_or(NO_RUN);
    std::process::exit(code);
}

fn run() -> i32 {
    let record = Record::open();
    let trouble = has_trouble();
    record.say(&format!("trouble: {trouble}"));
    let Some(deployment) =
        Deployment::start(&record, &[("z1", "front"), ("z1", "orders"), ("z2", "orders"), ("z3", "orders")])
    else {
        record.say("no free addresses");
        return NO_RUN;
    };
    let runs = Arc::new(Mutex::new(Vec::new()));
    let backends: Vec<Arc<Backend>> = (0..4)
        .filter_map(|n| {
            let machine = &deployment.sidecar(n).machine;
            Backend::start(machine, &format!("i-{}-{n}", machine.service), 6, WORK_MS, &record, &runs, false)
        })
        .collect();
    let text = config(1, &[("buy", "shop.example", "unsafe", "orders", 3.0, 0.8)], &["orders", "front"]);
    if backends.len() < 4 || !deployment.replace_config(&text, 15.0) || !deployment.wait_ready(15.0) {
        record.say("the deployment does not come up");
        return NO_RUN;
    }
    let traffic_from = record.now() + 4.0;
    sleep_until(&record, traffic_from);
    let front = deployment.sidecar(0).machine.ip.clone();
    let (stop, answers) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
    let clients = {
        let (record, stop, answers, front) = (record.clone(), stop.clone(), answers.clone(), front.clone());
        std::thread::spawn(move || {
            let mut tries = Vec::new();
            let mut n = 0u32;
            while !stop.load(Ordering::SeqCst) {
                let (one, answers, front) = (record.clone(), answers.clone(), front.clone());
                tries.push(std::thread::spawn(move || {
                    let attempt = new_attempt();
                    one.say(&format!("client sends {attempt}"));
                    let answer = send_try(&front, "shop.example", "/buy/1", &attempt, "", 3_000);
                    let status = answer.map_or(0, |answer| if answer.whole { answer.status } else { 1 });
                    one.say(&format!("client gets {status} for {attempt}"));
                    answers.lock().unwrap().push((attempt, status));
                }));
                n += 1;
                sleep_until(&record, traffic_from + f64::from(n) / REQUESTS_A_SECOND);
            }
            tries.into_iter().for_each(|one| drop(one.join()));
        })
    };
    sleep_until(&record, traffic_from + 5.0);
    // The backend in the zone of the clients is taken away in order.
    let (leaver, proxy) = (&backends[1], deployment.sidecar(1));
    leaver.draining.store(true, Ordering::SeqCst);
    let until = record.now() + 10.0;
    let acked = loop {
        if let Some(acked) = leaver.drain_acked() {
            break acked;
        }
        if record.now() > until {
            return NO_RUN;
        }
        std::thread::sleep(Duration::from_millis(1));
    };
    record.say(&format!("draining was acknowledged at {acked:.4}"));
    if trouble {
        sleep_until(&record, acked + TERM_AFTER_S);
        proxy.signal(&record, SIGTERM);
    }
    sleep_until(&record, acked + SERVES_ON_S);
    let left_at = record.now();
    while !leaver.leave() && record.now() < left_at + 3.0 {
        std::thread::sleep(Duration::from_millis(200));
    }
    leaver.end();
    std::thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    let _ = clients.join();
    deployment.record_logs();
    let runs = runs.lock().unwrap();
    let after: Vec<&Run> =
        runs.iter().filter(|run| run.instance == leaver.instance && run.at > acked + DRAIN_S).collect();
    let before = runs.iter().filter(|run| run.instance == leaver.instance && run.at < acked).count();
    for run in &after {
        record.say(&format!(
            "DRAIN: {} reached {} {:.3} s after the acknowledgement",
            run.attempt,
            run.instance,
            run.at - acked
        ));
    }
    let answers = answers.lock().unwrap();
    let status_of =
        |attempt: &str| answers.iter().find(|(id, _)| id == attempt).map_or(0, |(_, status)| *status);
    let lost = after.iter().filter(|run| status_of(&run.attempt) != 200).count();
    let served = answers.iter().filter(|(_, status)| *status == 200).count();
    record.say(&format!(
        "{} requests, {served} served; {before} reached the backend before it drained, {} later than drainS after the acknowledgement, {lost} of them were at work as it ended and are lost",
        answers.len(),
        after.len()
    ));
    // Without traffic to it before nothing is shown.
    if before < 20 || served * 2 < answers.len() {
        return NO_RUN;
    }
    if after.is_empty() { HELD } else { BROKEN }
}
