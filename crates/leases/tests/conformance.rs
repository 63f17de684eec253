//! Leases and fences against the rows taken from the note behind the design page (`tests/conformance/leases.txt`).
#[path = "../../../tests/conformance/table.rs"]
mod table;

use std::collections::BTreeMap;

use notchspool::units::Micros;
use notchspool_commands::Epoch;
use notchspool_consensus::Token;
use notchspool_consensus::fencing::{Admission, Fence};
use notchspool_leases::lease_table::{LeasePolicy, LeaseState, LeaseTable, Registration, Renewal};
use table::{Row, names, rows};

struct Play {
    now: Micros,
    leases: LeaseTable,
    known: BTreeMap<String, Registration>,
    fence: Fence,
}

impl Play {
    fn new(terms: LeasePolicy) -> Play {
        let leases = LeaseTable::new(terms, Epoch(0), 1, Micros(0));
        Play { now: Micros(0), leases, known: BTreeMap::new(), fence: Fence::default() }
    }
    fn join(&mut self, name: &str) {
        let registered = self.leases.register(self.now, name).expect("let in");
        self.known.insert(name.into(), registered);
    }
    fn renew(&mut self, name: &str) -> Renewal {
        let Registration { id, epoch, .. } = self.known[name];
        self.leases.renew(self.now, id, epoch)
    }
    fn standing(&self, name: &str) -> &'static str {
        match self.leases.member(self.known[name].id).map(|m| m.state) {
            Some(LeaseState::Live) => "live",
            Some(LeaseState::Held(_)) => "held",
            Some(LeaseState::Gone(_)) => "gone",
            None => "forgotten",
        }
    }
    fn line(&mut self, words: &[String]) -> Result<(), String> {
        let all = || names(&words[1..]);
        match words[0].as_str() {
            "join" => all().iter().for_each(|n| self.join(n)),
            "renew" => {
                for name in all() {
                    self.renew(&name);
                }
            }
            "renewing" => {
                let (who, span) = words[1..].split_at(words.len() - 2);
                let who = names(who);
                let until = self.now + Micros::ms(span[0].parse().expect("a span"));
                while self.now < until {
                    self.now = self.now + Micros::ms(100);
                    for name in &who {
                        self.renew(name);
                    }
                    self.leases.tick(self.now);
                }
            }
            "wait" => {
                self.now = self.now + Micros::ms(words[1].parse().expect("a span"));
                self.leases.tick(self.now);
            }
            wanted @ ("live" | "held" | "gone") => {
                for name in all() {
                    let is = self.standing(&name);
                    if is != wanted {
                        return Err(format!("{name} is {is}"));
                    }
                }
            }
            "epoch-grows" => {
                let first = self.known[&words[1]].epoch;
                self.join(&words[1]);
                if self.known[&words[1]].epoch <= first {
                    return Err("it does not grow".into());
                }
            }
            "old-epoch" => {
                let old = self.known[&words[1]];
                self.join(&words[1]);
                let reported = self.leases.renew(self.now, old.id, old.epoch);
                if !matches!(reported, Renewal::Fenced(_)) {
                    return Err(format!("{reported:?}"));
                }
            }
            "anew" => {
                let reported = self.renew(&words[1]);
                if reported != Renewal::Unknown {
                    return Err(format!("{reported:?}"));
                }
            }
            "crowd" => {
                let n: usize = words[1].parse().expect("a number");
                let terms = LeasePolicy { rate: 10.0, burst: n as f64, ..LeasePolicy::default() };
                *self = Play::new(LeasePolicy { burst: 1e6, rate: 1e6, ..terms });
                (0..n).for_each(|k| self.join(&format!("k{k}")));
                let known = self.known.clone();
                self.leases = LeaseTable::new(terms, Epoch(99), 1, self.now);
                for (name, r) in &known {
                    self.leases.restore(self.now, r.id, name, r.epoch);
                }
                // New ones come first, and leave room all the same.
                let new = (0..n).filter(|k| self.leases.register(self.now, &format!("x{k}")).is_ok()).count();
                let good = known.keys().filter(|k| matches!(self.renew(k), Renewal::Renewed { .. })).count();
                if new > n / 2 || good + new < n {
                    return Err(format!("{new} new and {good} known of {n} were let in at once"));
                }
            }
            "token" => {
                let token = Token(words[1].parse().expect("a token"));
                let passes = !matches!(self.fence.admit("job", token), Admission::Rejected(_));
                if passes != (words[2] == "passes") {
                    return Err(format!("it passes: {passes}"));
                }
            }
            other => panic!("no command {other}"),
        }
        Ok(())
    }
}

fn play(row: &Row) -> Option<String> {
    let lease = Micros::ms(3_000);
    let mut play =
        Play::new(LeasePolicy { duration: lease, rate: 1e6, burst: 1e6, ..LeasePolicy::default() });
    let failures =
        |words: &Vec<String>| Some(format!("{}: {}: {}", row.name, words.join(" "), play.line(words).err()?));
    row.lines.iter().find_map(failures)
}

#[test]
fn leases_epochs_and_fences_are_as_the_page_s_source_says() {
    let rows = rows(include_str!("../../../tests/conformance/leases.txt"), "members");
    assert!(rows.len() >= 11);
    let failures: Vec<String> = rows.iter().filter_map(play).collect();
    assert_eq!(failures, Vec::<String>::new());
}
