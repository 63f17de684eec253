//! Keyed operations are refused while the whole core is killed; they run later, and are sent again inside the key's window. Judged: REFUSED.
mod harness;
use harness::*;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

const KEYS: usize = 30;
/// After the first tries, which meet the loss of the core.
const SECOND_AFTER_S: f64 = 22.0;
const THIRD_AFTER_S: f64 = 64.0;
/// The core is back within a second.
const CORE_AWAY_S: f64 = 0.8;

struct Try {
    key: String,
    attempt: String,
    sent: f64,
    answer: Option<Answer>,
}

fn main() {
    let code = std::panic::catch_unwind(run).unwrap_or(NO_RUN);
    std::process::exit(code);
}

/// All keys once, a few at a time, within half a second.
fn send_all(record: &Arc<Record>, ip: &str, tries: &Arc<Mutex<Vec<Try>>>) {
    let threads: Vec<_> = (0..KEYS)
        .map(|n| {
            let (record, ip, tries) = (record.clone(), ip.to_string(), tries.clone());
            std::thread::spawn(move || {
                std::thread::sleep(std::time::Duration::from_millis(15 * n as u64));
                let (key, attempt, sent) = (format!("k-{n}"), new_attempt(), record.now());
                record.say(&format!("client sends {attempt} with key {key}"));
                let answer = send_try(&ip, "shop.example", "/order/1", &attempt, &key, 3_000);
                let got = answer.as_ref().map_or("no answer".into(), |a| {
                    format!("{} seal {:?} {:?}", a.status, a.seal(), a.body.trim())
                });
                record.say(&format!("client gets for {attempt} with key {key}: {got}"));
                tries.lock().unwrap().push(Try { key, attempt, sent, answer });
            })
        })
        .collect();
    threads.into_iter().for_each(|one| drop(one.join()));
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
            Backend::start(machine, &format!("i-{}-{n}", machine.service), 6, 30, &record, &runs, false)
        })
        .collect();
    let text = config(1, &[("order", "shop.example", "keyed", "orders", 3.0, 0.8)], &["orders", "front"]);
    if backends.len() < 4 || !deployment.replace_config(&text, 15.0) || !deployment.wait_ready(15.0) {
        record.say("the deployment does not come up");
        return NO_RUN;
    }
    let begin = record.now() + 4.0;
    sleep_until(&record, begin);
    let front = deployment.sidecar(0).machine.ip.clone();
    let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
    if trouble {
        for core in &deployment.cores {
            core.set_restart_delay(CORE_AWAY_S);
        }
        deployment.cores.iter().for_each(|core| core.signal(&record, SIGKILL));
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
    send_all(&record, &front, &tries);
    sleep_until(&record, begin + SECOND_AFTER_S);
    send_all(&record, &front, &tries);
    // A repeat of the good answers, soon after.
    sleep_until(&record, begin + SECOND_AFTER_S + 8.0);
    send_all(&record, &front, &tries);
    // And one late, but inside the window of all that ran at the second try.
    sleep_until(&record, begin + THIRD_AFTER_S);
    send_all(&record, &front, &tries);
    deployment.record_logs();
    judge(&record, &tries.lock().unwrap(), &runs.lock().unwrap(), trouble)
}

fn judge(record: &Record, tries: &[Try], runs: &[Run], trouble: bool) -> i32 {
    let mut ran: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in runs.iter().filter(|run| !run.key.is_empty()) {
        ran.entry(&run.key).or_default().push(run);
    }
    // What the first run of each key answered to its client.
    let first_answer = |key: &str| {
        let run = ran.get(key)?.first()?;
        tries.iter().find(|one| one.attempt == run.attempt)?.answer.as_ref()
    };
    let (mut refused, mut same, mut others) = (0, 0, 0);
    for one in tries {
        let Some(run) = ran.get(one.key.as_str()).and_then(|runs| runs.first()) else { continue };
        // Repeats sent after the run was answered and earlier than keyWindowS after the request that ran was sent.
        let Some(first) = tries.iter().find(|first| first.attempt == run.attempt) else { continue };
        let is_repeat = one.sent > run.at + 1.0 && one.sent < first.sent + KEY_WINDOW_S;
        if !is_repeat {
            continue;
        }
        match &one.answer {
            Some(answer) if matches!(answer.status, 429 | 503 | 408 | 421) => {
                refused += 1;
                record.say(&format!(
                    "REFUSED: {} with key {} got {} {:?}, {:.1} s after attempt {} with that key was run and answered",
                    one.attempt, one.key, answer.status, answer.body.trim(), one.sent - run.at, run.attempt
                ));
            }
            Some(answer) if answer.status == 200 => match first_answer(&one.key) {
                Some(first) if first.seal() == answer.seal() && first.body == answer.body => same += 1,
                _ => others += 1,
            },
            _ => others += 1,
        }
    }
    let twice = ran.values().filter(|runs| runs.len() > 1).count();
    let refused_first = tries.iter().filter(|one| one.answer.as_ref().is_some_and(|a| a.status == 503)).count();
    record.say(&format!(
        "{} keys ran, {twice} of them more than once (also past the window); repeats inside the window: {same} got the first answer, {refused} were refused, {others} got another; {refused_first} tries got 503 in all",
        ran.len()
    ));
    if ran.len() < KEYS / 2 || (same + refused) < KEYS / 2 || (trouble && refused_first == 0) {
        return NO_RUN;
    }
    if refused > 0 { BROKEN } else { HELD }
}
