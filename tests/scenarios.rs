//! Plays the text scenarios, commands on a line apart by `;`. `list N full|delta|restored
//! A:ZONE[:draining|:gone|:start=MS]...`; `lost`: the list call failed, `moved`: it goes elsewhere; `at MS`
//! moves the clock; `take REF SCHEME EXPIRY_MS`, `back REF FATE TOOK`, `left REF`; `report A UTIL|- HELD|-`:
//! probes tell the same at once. `flow N SCHEME`: N txns in turn, answered as `answers A FATE TOOK` says;
//! `heard FIGURES`: other agents told this, often; a tenant's number may follow an expiry or a flow's scheme.
//! `burst`: N at once, left out till `backs TOOK`. `share A LEAST MOST`: percent of them that went to A, or
//! was `declined`; `spread`: to how many; `expect ACTION`: the next; `seen`: how many.
use std::collections::BTreeMap;
use std::path::PathBuf;

use notchspool::logic::Balancer;
use notchspool::units::*;
use rstest::rstest;

#[derive(Default)]
struct Stage {
    log: Vec<String>,
    wake: Option<i64>,
    now: i64,
    sent: BTreeMap<u64, (u32, String)>, // postings out
    postings: BTreeMap<u64, u32>,
    probed: Vec<BackendId>,
}

fn name(id: BackendId) -> String {
    char::from(b'A' + id.0 as u8).to_string()
}

impl Outlet for Stage {
    fn post(&mut self, txn: TxnRef, to: BackendId, until: Micros) {
        assert!(until.0 > self.now * 1000, "a posting that ends before it begins");
        let count = self.postings.entry(txn.0).or_default();
        self.sent.insert(txn.0, (*count, name(to)));
        *count += 1;
        self.log.push(format!("post {} {}", txn.0, name(to)));
    }
    fn cancel(&mut self, txn: TxnRef, posting: u32) {
        self.log.push(format!("cancel {} {posting}", txn.0));
    }
    fn decline(&mut self, txn: TxnRef, away: Option<Micros>) {
        assert!(away.is_some(), "a decline says when to come back");
        self.log.push(format!("decline {}", txn.0));
    }
    fn reverse(&mut self, txn: TxnRef) {
        self.log.push(format!("reverse {}", txn.0));
    }
    fn probe(&mut self, backend: BackendId) {
        self.log.push(format!("probe {}", name(backend)));
        self.probed.push(backend);
    }
    fn watch(&mut self) {
        self.log.push("watch".into());
    }
    fn wake_in(&mut self, span: Micros) {
        self.wake = Some(self.now + span.0 / 1000);
    }
    fn tell(&mut self, peer: PeerId, line: &str) {
        assert!(peer != PeerId(0) && line.len() <= 256, "told {peer:?}: {line}");
        self.log.push(format!("tell {}", peer.0));
    }
    fn trim(&mut self, backend: BackendId) {
        self.log.push(format!("trim {}", name(backend)));
    }
    fn note(&mut self, line: &str) {
        self.log.push(format!("note {line}"));
    }
}

fn terms() -> Terms {
    let row = |kind, sla| {
        let (window, sla) = (Micros::ms(750), Micros::ms(sla));
        Scheme { kind, group: Group::Zone, window, sla, overdue: 1.0 }
    };
    Terms {
        agents: 1,
        zone: ZoneId(0),
        schemes: vec![row(Kind::Repeatable, 750), row(Kind::Referenced, 600), row(Kind::OnceOnly, 800)],
        max_postings: 6,
        drain_grace: Some(Micros::ms(500)),
        ask_within: Micros::ms(10_000),
        list_on_request: true,
        cold_from: 0.4,
        cold_span: Micros::ms(8_000),
        fall_multiple: 2.0,
        fall_span: Micros::ms(1_000),
        retry_after: Some(Micros::ms(1_000)),
        may_probe: true,
        may_cancel: true,
        report_by_probe: false,
        probe_price: 0.04,
        tick: Micros::ms(5),
        ..Terms::default()
    }
}

fn fate(word: &str) -> Fate {
    use Fate::*;
    let all = [Settled, Errored, TurnedAway, Unusable, TimedOut, NoLink, Broken, Withdrawn];
    let names = ["settled", "errored", "full", "unusable", "late", "nolink", "broken", "withdrawn"];
    all[names.iter().position(|n| *n == word).expect("a fate")]
}

fn scheme(word: &str) -> SchemeId {
    SchemeId(["quote", "repay", "pay"].iter().position(|s| *s == word).expect("a scheme"))
}

fn entry(word: &str) -> Entry {
    let mut parts = word.split(':');
    let id = u32::from(parts.next().expect("a backend").as_bytes()[0] - b'A');
    let zone = parts.next().expect("a zone").parse().expect("a zone");
    let mut entry = Entry { backend: BackendId(id), zone: ZoneId(zone), size: 1.0, ..Entry::default() };
    for part in parts {
        match part {
            "draining" => entry.standing = Standing::Draining,
            "gone" => entry.standing = Standing::Gone,
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
    answers: BTreeMap<String, (Fate, i64)>,
    went: BTreeMap<String, i64>,
    reports: BTreeMap<BackendId, Report>,
    read: usize,
    next: u64,
}

impl Play {
    fn to(&mut self, ms: i64) {
        assert!(ms >= self.stage.now, "the clock only advances: {ms} after {}", self.stage.now);
        while let Some(due) = self.stage.wake.filter(|&due| due <= ms) {
            self.stage.now = due;
            self.stage.wake = None;
            self.desk.clock(Micros::ms(due));
            self.desk.wake(&mut self.stage);
        }
        self.stage.now = ms;
        self.desk.clock(Micros::ms(ms));
    }
    fn take(&mut self, txn: u64, scheme_word: &str, expiry: i64, tenant: Option<&&str>) {
        let expiry = Micros::ms(self.stage.now + expiry);
        let tenant = tenant.map(|word| TenantId(number(word) as usize));
        self.desk.take(TxnRef(txn), scheme(scheme_word), expiry).of(tenant).route(&mut self.stage);
        self.pongs();
    }
    fn back(&mut self, txn: u64, fate: Fate, took: i64) {
        let (posting, _) = self.stage.sent.remove(&txn).expect("a posting out");
        let closed = fate == Fate::Settled;
        if let Some(handle) = self.desk.txn(TxnRef(txn)) {
            handle.returned(posting, fate, Micros::ms(took), closed, &mut self.stage);
        }
        self.pongs();
    }
    /// Answers what was probed, unless probes are silent.
    fn pongs(&mut self) {
        while let Some(id) = self.stage.probed.pop() {
            self.desk.reported(id, self.reports.get(&id).copied());
            self.desk.probed(id, Fate::Settled);
        }
    }
    fn many(&mut self, words: &[&str]) {
        let count = number(words[1]);
        self.went.clear();
        for _ in 0..count {
            self.next += 1;
            let (txn, from) = (self.next, self.stage.log.len());
            self.take(txn, words[2], 2_000, words.get(3));
            while let Some((_, to)) = self.stage.sent.get(&txn).cloned().filter(|_| words[0] == "flow") {
                let (fate, took) =
                    self.answers.get(&to).or(self.answers.get("all")).copied().unwrap_or((Fate::Settled, 50));
                self.to(self.stage.now + took);
                self.back(txn, fate, took);
            }
            for line in &self.stage.log[from..] {
                if let Some(to) = line.strip_prefix(&format!("post {txn} ")) {
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
                let entries: Vec<Entry> = words[3..].iter().map(|w| entry(w)).collect();
                let how = match words[2] {
                    "full" => Refresh::Full,
                    "delta" => Refresh::Delta,
                    _ => Refresh::Restored,
                };
                self.desk.listed(how, Generation(number(words[1]) as u64), &entries, &mut self.stage);
            }
            "lost" => self.desk.list_failed(),
            "moved" => self.desk.list_moved(),
            "at" => self.to(number(words[1])),
            "take" => self.take(number(words[1]) as u64, words[2], number(words[3]), words.get(4)),
            "back" => self.back(number(words[1]) as u64, fate(words[2]), number(words[3])),
            "backs" => {
                let out: Vec<u64> = self.stage.sent.keys().copied().collect();
                out.into_iter().for_each(|txn| self.back(txn, Fate::Settled, number(words[1])));
            }
            "heard" => (0..50).for_each(|_| self.desk.heard(&words[1..].join(" "))),
            "left" => {
                let handle = self.desk.txn(TxnRef(number(words[1]) as u64));
                handle.into_iter().for_each(|h| h.left(&mut self.stage));
            }
            "report" => {
                let report = Report {
                    utilisation: words[2].parse().ok(),
                    in_flight: words[3].parse().ok(),
                    ..Report::default()
                };
                let id = entry(&format!("{}:0", words[1])).backend;
                self.reports.insert(id, report);
                self.desk.reported(id, Some(report));
            }
            "answers" => drop(self.answers.insert(words[1].into(), (fate(words[2]), number(words[3])))),
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
        let mut terms = terms();
        let lines = || text.lines().map(|l| l.split('#').next().unwrap_or("").trim());
        for words in lines().filter(|l| l.starts_with("terms")).map(|l| l.split(' ').collect::<Vec<_>>()) {
            match words[1] {
                "agents" => terms.agents = number(words[2]) as u32,
                "probed" => terms.report_by_probe = true,
                "live" => terms.live_weights = true,
                "peers" => terms.peers = true,
                "promises" => terms.kept_promises = 0.3,
                "quota" => terms.quotas.push(number(words[2]) as f64),
                "idle" => terms.idle_close = Micros::ms(number(words[2])),
                "worthless" => terms.schemes.iter_mut().for_each(|row| row.overdue = 0.0),
                "grace" => terms.drain_grace = words[2].parse().ok().map(Micros::ms),
                other => panic!("no term {other}"),
            }
        }
        let stage = Stage::default();
        let (answers, went, reports) = Default::default();
        let desk = Balancer::open(terms, seed, Micros(0));
        let mut play = Play { desk, stage, answers, went, reports, read: 0, next: 1_000 };
        for (at, line) in lines().enumerate().filter(|(_, l)| !l.is_empty() && !l.starts_with("terms")) {
            eprintln!("seed {seed}, line {}: {line}", at + 1); // shown only when the scenario fails
            line.split(';').for_each(|l| play.line(&l.split_whitespace().collect::<Vec<_>>()));
        }
    }
}
