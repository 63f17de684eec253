//! The decision module against the rows taken from the design page (`tests/conformance`).
#[path = "conformance/table.rs"]
mod table;

use std::collections::{BTreeMap, BTreeSet};

use notchspool::balancer::Balancer;
use notchspool::units::*;
use table::{Row, names, rows};

#[derive(Default)]
struct Stage {
    now: i64,
    wake: Option<i64>,
    sent: BTreeMap<u64, (u32, BackendId)>,
    attempts: BTreeMap<u64, u32>,
    went: BTreeMap<u32, u32>,
    watches: Vec<i64>,
}
impl Effects for Stage {
    fn send(&mut self, request: RequestId, to: BackendId, _: Micros) {
        let nth = self.attempts.entry(request.0).or_default();
        self.sent.insert(request.0, (*nth, to));
        *nth += 1;
        *self.went.entry(to.0).or_default() += 1;
    }
    fn cancel(&mut self, _: RequestId, _: u32) {}
    fn reject(&mut self, _: RequestId, _: Option<Micros>) {}
    fn fail(&mut self, _: RequestId) {}
    fn probe(&mut self, _: BackendId) {}
    fn watch(&mut self) {
        self.watches.push(self.now);
    }
    fn wake_after(&mut self, span: Micros) {
        self.wake = Some(self.now + span.0 / 1000);
    }
    fn send_to_peer(&mut self, _: PeerId, _: &str) {}
    fn close_idle(&mut self, _: BackendId) {}
    fn log(&mut self, _: &str) {}
}

struct Play {
    desk: Balancer,
    stage: Stage,
    next: u64,
    sizes: BTreeMap<u32, f64>,
    started: BTreeMap<u32, i64>,
    reports: BTreeMap<u32, Option<f64>>,
}

fn id(name: &str) -> BackendId {
    BackendId(name.trim_start_matches('s').parse().expect("a backend"))
}

fn policy(grace: Option<i64>) -> Policy {
    let row = RequestClass {
        kind: RequestKind::Idempotent,
        scope: DeduplicationScope::All,
        deduplication_window: Micros(0),
        latency_target: Micros::ms(500),
        late_value: 1.0,
    };
    Policy {
        agent_count: 1,
        zone: ZoneId(0),
        classes: vec![row],
        max_attempts: 3,
        drain_grace: grace.map(Micros::ms),
        watch_within: Micros::ms(10_000),
        list_on_request: true,
        warmup_floor: 0.3,
        warmup_span: Micros::ms(8_000),
        warmup_multiple: 3.0,
        warmup_window: Micros::ms(1_500),
        retry_after: Some(Micros::ms(1_000)),
        may_cancel: true,
        tick: Micros::ms(5),
        ..Policy::default()
    }
}

impl Play {
    fn new(row: &Row, seed: u64) -> Play {
        let grace = row.lines.iter().find(|l| l[0] == "grace").map(|l| l[1].parse().expect("a time"));
        let desk = Balancer::new(policy(grace), seed, Micros(0));
        let (sizes, started, reports) = Default::default();
        let mut play = Play { desk, stage: Stage::default(), next: 0, sizes, started, reports };
        // Not at the start of all clocks: those listed with a start of nought are warm by then.
        play.to(60_000);
        play
    }
    fn to(&mut self, ms: i64) {
        while let Some(due) = self.stage.wake.filter(|&due| due <= ms) {
            (self.stage.now, self.stage.wake) = (due.max(self.stage.now), None);
            self.desk.set_clock(Micros::ms(self.stage.now));
            self.desk.on_wake(&mut self.stage);
        }
        self.stage.now = ms;
        self.desk.set_clock(Micros::ms(ms));
    }
    fn list(&mut self, version: u64, how: Refresh, words: &[String]) {
        let entry = |word: &String| {
            let (name, standing) = word.split_once(':').unwrap_or((word, ""));
            let backend = id(name);
            ListEntry {
                backend,
                zone: ZoneId(0),
                size: self.sizes.get(&backend.0).copied().unwrap_or(1.0),
                started: Micros::ms(self.started.get(&backend.0).copied().unwrap_or(0)),
                status: match standing {
                    "gone" => EndpointStatus::Gone,
                    "draining" => EndpointStatus::Draining,
                    _ => EndpointStatus::Ready,
                },
                ..ListEntry::default()
            }
        };
        let entries: Vec<ListEntry> = names(words).iter().map(entry).collect();
        self.desk.on_list(how, Generation(version), &entries, &mut self.stage);
    }
    /// `rounds` times as many txns at once as fill all backends, answered in `took`; who got how many.
    fn flow(&mut self, rounds: usize, at_once: usize, took: i64) -> BTreeMap<u32, u32> {
        self.stage.went.clear();
        for _ in 0..rounds {
            for _ in 0..at_once {
                self.next += 1;
                let expiry = Micros::ms(self.stage.now + 2_000);
                self.desk
                    .begin(RequestId(self.next), ClassId(0), expiry)
                    .with_tenant(None)
                    .route(&mut self.stage);
            }
            self.to(self.stage.now + took);
            for (request, (attempt, to)) in std::mem::take(&mut self.stage.sent) {
                if let Some(Some(busy)) = self.reports.get(&to.0) {
                    let report = LoadReport { utilisation: Some(*busy), ..LoadReport::default() };
                    self.desk.on_load_report(to, Some(report));
                }
                if let Some(request) = self.desk.request(RequestId(request)) {
                    request.on_attempt_end(
                        attempt,
                        AttemptOutcome::Succeeded,
                        Micros::ms(took),
                        true,
                        &mut self.stage,
                    );
                }
            }
        }
        std::mem::take(&mut self.stage.went)
    }

    fn line(&mut self, words: &[String]) -> Result<(), String> {
        let number = |at: usize| words[at].parse::<i64>().expect("a number");
        match words[0].as_str() {
            "grace" => {}
            "list" => {
                let how = if words[2] == "full" { Refresh::Full } else { Refresh::Delta };
                // Older ones never reach the module: its host drops them by their version (`versions`).
                if number(1) as u64 > self.next_version() {
                    self.list(number(1) as u64, how, &words[3..]);
                    self.sizes.insert(u32::MAX, number(1) as f64);
                }
            }
            "lost" => (0..number(1)).for_each(|_| {
                self.desk.on_list_failed();
                let soon = self.stage.now + 50;
                self.to(soon);
            }),
            "wait" => self.to(self.stage.now + number(1)),
            "drawn" => {
                let went = self.flow(30, 60, 20);
                for name in names(&words[1..]) {
                    went.get(&id(&name).0).ok_or(format!("{name} got nothing: {went:?}"))?;
                }
            }
            "not" => {
                let went = self.flow(30, 60, 20);
                for name in names(&words[1..]) {
                    if let Some(n) = went.get(&id(&name).0) {
                        return Err(format!("{name} got {n}"));
                    }
                }
            }
            "watches" => {
                let seen = std::mem::take(&mut self.stage.watches).len() as i64;
                if !(number(1)..=number(2)).contains(&seen) {
                    return Err(format!("{seen} calls for the list"));
                }
            }
            "spread" => {
                let first = |seed| {
                    let mut play = Play::new(&Row { name: String::new(), lines: Vec::new() }, seed);
                    play.list(1, Refresh::Full, &["s1..s4".to_owned()]);
                    play.desk.on_list_failed();
                    play.stage.watches.clear();
                    let from = play.stage.now;
                    for _ in 0..400 {
                        play.to(play.stage.now + 25);
                    }
                    play.stage.watches.first().map(|at| at - from)
                };
                let all: BTreeSet<Option<i64>> = (0..40).map(first).collect();
                if all.len() < 10 {
                    return Err(format!("forty came back at {} moments: {all:?}", all.len()));
                }
            }
            other => panic!("no command {other}"),
        }
        Ok(())
    }
    fn next_version(&self) -> u64 {
        self.sizes.get(&u32::MAX).map_or(0, |v| *v as u64)
    }
}

fn play(row: &Row) -> Vec<String> {
    let mut wrong = Vec::new();
    for seed in 1..=3 {
        let mut play = Play::new(row, seed);
        for words in &row.lines {
            if let Err(why) = play.line(words) {
                wrong.push(format!("{}, seed {seed}: {}: {why}", row.name, words.join(" ")));
            }
        }
    }
    wrong
}

#[test]
fn lists_are_kept_guarded_and_resumed_as_the_page_says() {
    let rows = rows(include_str!("conformance/lists.txt"), "module");
    assert!(rows.len() >= 19);
    let wrong: Vec<String> = rows.iter().flat_map(play).collect();
    assert_eq!(wrong, Vec::<String>::new());
}

/// A fleet of three, and who gets how much of many txns that come one at a time.
fn weigh(row: &Row, seed: u64) -> Vec<String> {
    let mut play = Play::new(row, seed);
    let mut wait = 0;
    for words in &row.lines {
        match words[0].as_str() {
            "report" => drop(play.reports.insert(id(&words[1]).0, words[2].parse().ok())),
            "size" => drop(play.sizes.insert(id(&words[1]).0, words[2].parse().expect("a size"))),
            "started" => drop(play.started.insert(id(&words[1]).0, play.stage.now)),
            "wait" => wait = words[1].parse().expect("a time"),
            _ => {}
        }
    }
    play.list(1, Refresh::Full, &["s1..s3".to_owned()]);
    let reported = play.reports.clone();
    let young = !play.started.is_empty();
    if !young {
        play.flow(100, 9, 20);
    }
    if wait > 0 {
        play.reports.clear();
        play.to(play.stage.now + wait);
    }
    let report = |play: &mut Play, reported: &BTreeMap<u32, Option<f64>>| {
        for (backend, busy) in reported {
            if let Some(busy) = busy {
                let report = LoadReport { utilisation: Some(*busy), ..LoadReport::default() };
                play.desk.on_load_report(BackendId(*backend), Some(report));
            }
        }
    };
    if wait == 0 {
        report(&mut play, &reported);
    }
    let mut went: BTreeMap<u32, u32> = BTreeMap::new();
    // One at a time: several at once are spread by what is out, whatever the weights.
    for _ in 0..if young { 60 } else { 3_000 } {
        for (backend, n) in play.flow(1, 1, 5) {
            *went.entry(backend).or_default() += n;
        }
    }
    let got = |name: &String| f64::from(went.get(&id(name).0).copied().unwrap_or_default());
    let mut wrong = Vec::new();
    for words in &row.lines {
        let holds = match words[0].as_str() {
            "more" => got(&words[1]) > 1.1 * got(&words[2]),
            "about" => (got(&words[1]) / got(&words[2]) - 1.0).abs() < 0.2,
            "some" => got(&words[1]) > 0.0,
            "less-at-first" => got(&words[1]) < got(&words[2]),
            _ => true,
        };
        if !holds {
            wrong.push(format!("{}, seed {seed}: {}: {went:?}", row.name, words.join(" ")));
        }
    }
    wrong
}

#[test]
fn weights_go_by_reported_utilisation_as_the_page_says() {
    let rows = rows(include_str!("conformance/weights.txt"), "module");
    assert!(rows.len() >= 8);
    let wrong: Vec<String> = rows.iter().flat_map(|row| (1..=3).flat_map(|seed| weigh(row, seed))).collect();
    assert_eq!(wrong, Vec::<String>::new());
}
