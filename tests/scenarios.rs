//! Plays the text scenarios, commands on a line apart by `;`. `list N full|delta|restored
//! A:ZONE[:draining|:gone|:start=MS]...`; `lost`: the list call failed, `moved`: it goes elsewhere; `at MS`
//! moves the clock; `take REF SCHEME EXPIRY_MS`, `back REF FATE TOOK`, `left REF`; `report A UTIL|- HELD|-`:
//! probes tell the same at once. `takeover`: it serves in another process's place from here on. `flow N SCHEME`: N txns in turn, answered as `answers A FATE TOOK` says;
//! `heard FIGURES`: other agents told this, often; a tenant's number may follow an expiry or a flow's scheme.
//! `burst`: N at once, left out till `backs TOOK`. `share A LEAST MOST`: percent of them that went to A, or
//! was `declined`; `spread`: to how many; `expect ACTION`: the next; `seen`: how many.
use std::collections::BTreeMap;
use std::path::PathBuf;

use notchspool::balancer::Balancer;
use notchspool::units::*;
use rstest::rstest;

#[derive(Default)]
struct Stage {
    log: Vec<String>,
    wake: Option<i64>,
    now: i64,
    sent: BTreeMap<u64, (u32, String)>, // postings out
    attempts: BTreeMap<u64, u32>,
    probed: Vec<BackendId>,
}

fn name(id: BackendId) -> String {
    char::from(b'A' + id.0 as u8).to_string()
}

impl Effects for Stage {
    fn send(&mut self, request: RequestId, to: BackendId, until: Micros) {
        assert!(until.0 > self.now * 1000, "a posting that ends before it begins");
        let count = self.attempts.entry(request.0).or_default();
        self.sent.insert(request.0, (*count, name(to)));
        *count += 1;
        self.log.push(format!("post {} {}", request.0, name(to)));
    }
    fn cancel(&mut self, request: RequestId, attempt: u32) {
        self.log.push(format!("cancel {} {attempt}", request.0));
    }
    fn reject(&mut self, request: RequestId, away: Option<Micros>) {
        assert!(away.is_some(), "a decline says when to come back");
        self.log.push(format!("decline {}", request.0));
    }
    fn fail(&mut self, request: RequestId) {
        self.log.push(format!("reverse {}", request.0));
    }
    fn probe(&mut self, backend: BackendId) {
        self.log.push(format!("probe {}", name(backend)));
        self.probed.push(backend);
    }
    fn watch(&mut self) {
        self.log.push("watch".into());
    }
    fn wake_after(&mut self, span: Micros) {
        self.wake = Some(self.now + span.0 / 1000);
    }
    fn send_to_peer(&mut self, peer: PeerId, line: &str) {
        assert!(peer != PeerId(0) && line.len() <= 256, "told {peer:?}: {line}");
        self.log.push(format!("tell {}", peer.0));
    }
    fn close_idle(&mut self, backend: BackendId) {
        self.log.push(format!("trim {}", name(backend)));
    }
    fn log(&mut self, line: &str) {
        self.log.push(format!("note {line}"));
    }
}

fn policy() -> Policy {
    let row = |kind, sla| {
        let (window, sla) = (Micros::ms(750), Micros::ms(sla));
        RequestClass {
            kind,
            scope: DeduplicationScope::Zone,
            deduplication_window: window,
            latency_target: sla,
            late_value: 1.0,
        }
    };
    Policy {
        agent_count: 1,
        zone: ZoneId(0),
        classes: vec![
            row(RequestKind::Idempotent, 750),
            row(RequestKind::Keyed, 600),
            row(RequestKind::NonIdempotent, 800),
        ],
        max_attempts: 6,
        drain_grace: Some(Micros::ms(500)),
        watch_within: Micros::ms(10_000),
        list_on_request: true,
        warmup_floor: 0.4,
        warmup_span: Micros::ms(8_000),
        warmup_multiple: 2.0,
        warmup_window: Micros::ms(1_000),
        retry_after: Some(Micros::ms(1_000)),
        may_probe: true,
        may_cancel: true,
        report_by_probe: false,
        probe_price: 0.04,
        tick: Micros::ms(5),
        ..Policy::default()
    }
}

fn outcome(word: &str) -> AttemptOutcome {
    use AttemptOutcome::*;
    let all = [Succeeded, Failed, Rejected, Unusable, TimedOut, ConnectFailed, ConnectionLost, Cancelled];
    let names = ["settled", "errored", "full", "unusable", "late", "nolink", "broken", "withdrawn"];
    all[names.iter().position(|n| *n == word).expect("a fate")]
}

fn class(word: &str) -> ClassId {
    ClassId(["quote", "repay", "pay"].iter().position(|s| *s == word).expect("a scheme"))
}

fn entry(word: &str) -> ListEntry {
    let mut parts = word.split(':');
    let id = u32::from(parts.next().expect("a backend").as_bytes()[0] - b'A');
    let zone = parts.next().expect("a zone").parse().expect("a zone");
    let mut entry =
        ListEntry { backend: BackendId(id), zone: ZoneId(zone), size: 1.0, ..ListEntry::default() };
    for part in parts {
        match part {
            "draining" => entry.status = EndpointStatus::Draining,
            "gone" => entry.status = EndpointStatus::Gone,
            other => match other.split_once('=').expect("NAME=VALUE") {
                ("start", ms) => entry.started = Micros::ms(number(ms)),
                ("size", size) => entry.size = size.parse().expect("a size"),
                _ => panic!("no {other}"),
            },
        }
    }
    entry
}

fn number(word: &str) -> i64 {
    word.parse().unwrap_or_else(|_| panic!("no number: {word}"))
}

struct Play {
    desk: Balancer,
    stage: Stage,
    answers: BTreeMap<String, (AttemptOutcome, i64)>,
    went: BTreeMap<String, i64>,
    reports: BTreeMap<BackendId, LoadReport>,
    read: usize,
    next: u64,
}

impl Play {
    fn to(&mut self, ms: i64) {
        assert!(ms >= self.stage.now, "the clock only advances: {ms} after {}", self.stage.now);
        while let Some(due) = self.stage.wake.filter(|&due| due <= ms) {
            self.stage.now = due;
            self.stage.wake = None;
            self.desk.set_clock(Micros::ms(due));
            self.desk.on_wake(&mut self.stage);
        }
        self.stage.now = ms;
        self.desk.set_clock(Micros::ms(ms));
    }
    fn take(&mut self, request: u64, scheme_word: &str, expiry: i64, tenant: Option<&&str>) {
        let expiry = Micros::ms(self.stage.now + expiry);
        let tenant = tenant.map(|word| TenantId(number(word) as usize));
        self.desk
            .begin(RequestId(request), class(scheme_word), expiry)
            .with_tenant(tenant)
            .route(&mut self.stage);
        self.pongs();
    }
    fn back(&mut self, request: u64, outcome: AttemptOutcome, took: i64) {
        let (attempt, _) = self.stage.sent.remove(&request).expect("a posting out");
        let closed = outcome == AttemptOutcome::Succeeded;
        if let Some(handle) = self.desk.request(RequestId(request)) {
            handle.on_attempt_end(attempt, outcome, Micros::ms(took), closed, &mut self.stage);
        }
        self.pongs();
    }
    /// Answers what was probed, unless probes are silent.
    fn pongs(&mut self) {
        while let Some(id) = self.stage.probed.pop() {
            self.desk.on_load_report(id, self.reports.get(&id).copied());
            self.desk.on_probe_result(id, AttemptOutcome::Succeeded);
        }
    }
    fn many(&mut self, words: &[&str]) {
        let count = number(words[1]);
        self.went.clear();
        for _ in 0..count {
            self.next += 1;
            let (request, from) = (self.next, self.stage.log.len());
            self.take(request, words[2], 2_000, words.get(3));
            while let Some((_, to)) = self.stage.sent.get(&request).cloned().filter(|_| words[0] == "flow") {
                let (outcome, took) = self
                    .answers
                    .get(&to)
                    .or(self.answers.get("all"))
                    .copied()
                    .unwrap_or((AttemptOutcome::Succeeded, 50));
                self.to(self.stage.now + took);
                self.back(request, outcome, took);
            }
            for line in &self.stage.log[from..] {
                if let Some(to) = line.strip_prefix(&format!("post {request} ")) {
                    *self.went.entry(to.into()).or_default() += 100;
                } else if line.starts_with("decline") {
                    *self.went.entry("declined".into()).or_default() += 100;
                }
            }
        }
        self.went.values_mut().for_each(|n| *n /= count);
        self.read = self.stage.log.len();
    }
    fn line(&mut self, words: &[&str]) {
        match words[0] {
            "list" => {
                let entries: Vec<ListEntry> = words[3..].iter().map(|w| entry(w)).collect();
                let how = match words[2] {
                    "full" => Refresh::Full,
                    "delta" => Refresh::Delta,
                    _ => Refresh::Restored,
                };
                self.desk.on_list(how, Generation(number(words[1]) as u64), &entries, &mut self.stage);
            }
            "lost" => self.desk.on_list_failed(),
            "moved" => self.desk.on_list_source_changed(),
            "takeover" => self.desk.expire_drain_graces(),
            "at" => self.to(number(words[1])),
            "take" => self.take(number(words[1]) as u64, words[2], number(words[3]), words.get(4)),
            "back" => self.back(number(words[1]) as u64, outcome(words[2]), number(words[3])),
            "backs" => {
                let out: Vec<u64> = self.stage.sent.keys().copied().collect();
                out.into_iter()
                    .for_each(|request| self.back(request, AttemptOutcome::Succeeded, number(words[1])));
            }
            "heard" => (0..50).for_each(|_| self.desk.on_peer_rates(&words[1..].join(" "))),
            "left" => {
                let handle = self.desk.request(RequestId(number(words[1]) as u64));
                handle.into_iter().for_each(|h| h.on_client_left(&mut self.stage));
            }
            "report" => {
                let report = LoadReport {
                    utilisation: words[2].parse().ok(),
                    in_flight: words[3].parse().ok(),
                    ..LoadReport::default()
                };
                let id = entry(&format!("{}:0", words[1])).backend;
                self.reports.insert(id, report);
                self.desk.on_load_report(id, Some(report));
            }
            "answers" => drop(self.answers.insert(words[1].into(), (outcome(words[2]), number(words[3])))),
            "flow" | "burst" => self.many(words),
            "share" => {
                let share = self.went.get(words[1]).copied().unwrap_or(0);
                assert!(
                    (number(words[2])..=number(words[3])).contains(&share),
                    "{words:?}, but {share}: {:?}",
                    self.stage.log
                );
            }
            "spread" => {
                let spread = self.went.iter().filter(|w| *w.1 > 0).count() as i64;
                assert!(
                    (number(words[1])..=number(words[2])).contains(&spread),
                    "{words:?}: {:?}",
                    self.went
                );
            }
            "seen" => {
                let seen = self.stage.log.iter().filter(|l| l.starts_with(words[1])).count() as i64;
                assert!((number(words[2])..=number(words[3])).contains(&seen), "{words:?}, but {seen}");
                self.stage.log.clear();
                self.read = 0;
            }
            "expect" => {
                let wanted = words[1..].join(" ");
                let aside =
                    |l: &String| ["watch", "note"].iter().any(|w| l.starts_with(w) && !wanted.starts_with(w));
                while self.stage.log.get(self.read).is_some_and(aside) {
                    self.read += 1;
                }
                let got = self.stage.log.get(self.read).map_or("nothing", String::as_str);
                assert!(wanted.split(" or ").any(|w| w == got), "expected {wanted}, got {got}");
                self.read = (self.read + 1).min(self.stage.log.len());
            }
            other => panic!("no command {other}"),
        }
    }
}

#[rstest]
fn scenario(#[files("tests/scenarios/*.txt")] path: PathBuf) {
    let text = std::fs::read_to_string(&path).expect("a readable scenario");
    for seed in 1..=5 {
        let mut policy = policy();
        let lines = || text.lines().map(|l| l.split('#').next().unwrap_or("").trim());
        for words in lines().filter(|l| l.starts_with("terms")).map(|l| l.split(' ').collect::<Vec<_>>()) {
            match words[1] {
                "agents" => policy.agent_count = number(words[2]) as u32,
                "probed" => policy.report_by_probe = true,
                "live" => policy.weights_follow_load = true,
                "peers" => policy.has_peers = true,
                "promises" => policy.in_time_weight = 0.3,
                "quota" => policy.quotas.push(number(words[2]) as f64),
                "idle" => policy.idle_timeout = Micros::ms(number(words[2])),
                "worthless" => policy.classes.iter_mut().for_each(|row| row.late_value = 0.0),
                "grace" => policy.drain_grace = words[2].parse().ok().map(Micros::ms),
                other => panic!("no term {other}"),
            }
        }
        let stage = Stage::default();
        let (answers, went, reports) = Default::default();
        let desk = Balancer::new(policy, seed, Micros(0));
        let mut play = Play { desk, stage, answers, went, reports, read: 0, next: 1_000 };
        for (at, line) in lines().enumerate().filter(|(_, l)| !l.is_empty() && !l.starts_with("terms")) {
            eprintln!("seed {seed}, line {}: {line}", at + 1); // shown only when the scenario fails
            line.split(';').for_each(|l| play.line(&l.split_whitespace().collect::<Vec<_>>()));
        }
    }
}
