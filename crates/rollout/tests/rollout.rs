//! Rollouts with agents that answer, fail, are away and come back; and whole ones with drawn traffic, sound and bad ones, under
//! faults that strike all alike. What each has to find is stated; `NOTCHSPOOL_ROLLOUTS` plays more than CI does.
use std::collections::{BTreeMap, BTreeSet};

use notchspool::units::Micros;
use notchspool_rollout::counts::{BUCKETS, Counts, bucket};
use notchspool_rollout::evaluator::Verdict;
use notchspool_rollout::measure::{GroupCounts, Stratum, Window};
use notchspool_rollout::phase::{Phase, Version};
use notchspool_rollout::plan::{self, Plan};
use notchspool_rollout::rollout::Rollout;
use oorandom::Rand64;
use rstest::rstest;

const SECOND: Micros = Micros::ms(1_000);

fn plan() -> Plan {
    Plan::new("v2", plan::Change::Settings { digest: "0".repeat(64) })
}
fn agents(n: usize) -> BTreeMap<String, String> {
    (0..n).map(|n| (format!("a{n:02}"), format!("z{}", n % 4))).collect()
}

/// What a change does to an agent that has it, and what happens to all.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Change {
    refusals: f64,
    slower: f64,
    /// In one request class, or in one zone, only.
    class: Option<usize>,
    zone: Option<usize>,
    extra_attempts: f64,
    /// It makes the others' requests fail by the part that has changed.
    crowds: f64,
    refuses: bool,
    breaks_rule: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Nothing,
    ZoneCut,
    ThirdOfBackends,
    Burst,
    Shift,
    AgentsKilled,
    ReportsMissing,
}

struct Fleet {
    chance: Rand64,
    rollout: Rollout,
    rates: Vec<f64>,
    second: u64,
    /// Requests of all, and those that the change harmed.
    all: f64,
    harmed: f64,
}

const CLASSES: [&str; 3] = ["look", "move", "pay"];

impl Fleet {
    fn new(n: usize, seed: u64) -> Fleet {
        let mut chance = Rand64::new(u128::from(seed) + 1_000);
        // Unevenly spread: some send ten times as much as others.
        let rates = (0..n).map(|_| 10.0 + 90.0 * chance.rand_float().powi(2)).collect();
        Fleet {
            chance,
            rollout: Rollout::new(plan(), &agents(n)).expect("a plan"),
            rates,
            second: 0,
            all: 0.0,
            harmed: 0.0,
        }
    }
    fn draw(&mut self, n: f64, part: f64) -> u64 {
        (0..n as u64).filter(|_| self.chance.rand_float() < part).count() as u64
    }
    fn second(&mut self, change: Change, fault: Fault, at: u64) {
        self.second += 1;
        let during = self.second >= at && self.second < at + 60;
        let fault = if during { fault } else { Fault::Nothing };
        // A whole fleet has good and bad seconds, and so has a zone.
        let weather = 0.004 * self.chance.rand_float();
        let zones: Vec<f64> = (0..4).map(|_| weather + 0.004 * self.chance.rand_float()).collect();
        let names: Vec<String> = self.rollout.agents.keys().cloned().collect();
        let new = names.iter().filter(|n| self.rollout.agents[*n].version == Version::New).count() as f64
            / names.len() as f64;
        let mut window =
            Window { missing: if fault == Fault::ReportsMissing { 0.5 } else { 0.0 }, ..Window::default() };
        if change.breaks_rule && new > 0.0 {
            window.violation = Some("a non-idempotent request was sent twice".into());
        }
        for (n, name) in names.iter().enumerate() {
            let (zone, changed) = (n % 4, self.rollout.agents[name].version == Version::New);
            if fault == Fault::AgentsKilled && n < 3 {
                continue;
            }
            let mut rate = self.rates[n] * (0.8 + 0.4 * self.chance.rand_float());
            rate *= match fault {
                Fault::Burst => 1.5,
                Fault::Shift if changed => 0.3,
                Fault::Shift => 1.3,
                _ => 1.0,
            };
            for (index, class) in CLASSES.iter().enumerate() {
                let all = (rate / 3.0).max(1.0);
                let hit = changed
                    && change.class.is_none_or(|of| of == index)
                    && change.zone.is_none_or(|of| of == zone);
                let own = if hit { change.refusals } else { 0.0 };
                let crowd = change.crowds * new;
                let common = zones[zone]
                    + match fault {
                        Fault::ZoneCut if zone == 1 => 0.4,
                        Fault::ThirdOfBackends => 0.1,
                        Fault::Burst => 0.03,
                        _ => 0.0,
                    };
                let failed = self.draw(all, (common + own + crowd).min(1.0));
                self.all += all;
                self.harmed += all * (own + crowd);
                let mut counts = Counts { all: all as u64, latencies: vec![0; BUCKETS], ..Counts::default() };
                counts.refused = failed.min(counts.all);
                counts.good = counts.all - counts.refused;
                counts.attempts =
                    counts.all + self.draw(all, 0.02 + if hit { change.extra_attempts } else { 0.0 });
                for _ in 0..counts.good {
                    // Skewed, as response times are.
                    let ms = 20.0
                        * (1.0 + 3.0 * self.chance.rand_float().powi(6))
                        * (0.7 + 0.6 * self.chance.rand_float());
                    let ms = if hit { ms * (1.0 + change.slower) } else { ms };
                    counts.latencies[bucket(ms)] += 1;
                }
                let group: &mut GroupCounts =
                    if changed { &mut window.changed } else { &mut window.unchanged };
                group
                    .entry(Stratum { class: (*class).to_owned(), zone: format!("z{zone}") })
                    .or_default()
                    .add(&counts);
            }
        }
        self.rollout.on_window(&window, SECOND);
        // Written down and read again, as by the next owner, before any step is given out.
        let connected: BTreeSet<String> = names.iter().cloned().collect();
        let steps = self.rollout.next_steps(&connected);
        let text = serde_json::to_string(&self.rollout).expect("written");
        self.rollout = serde_json::from_str(&text).expect("read");
        for step in steps {
            if change.refuses && step.target == Version::New {
                self.rollout.on_failure(&step.agent, "the new one ended at its start");
            } else {
                self.rollout.on_version(&step.agent, step.target);
            }
        }
    }
    fn run(mut self, change: Change, fault: Fault, at: u64) -> Fleet {
        while self.second < 900 && !self.rollout.phase.is_over() {
            self.second(change, fault, at);
        }
        self
    }
    fn was_rolled_back(&self) -> bool {
        matches!(self.rollout.phase, Phase::RolledBack { .. } | Phase::RollingBack { .. })
    }
    fn stage(&self) -> usize {
        self.rollout.verdicts.iter().map(|v| v.0).max().unwrap_or(0)
    }
}

fn rollouts(few: u64) -> u64 {
    std::env::var("NOTCHSPOOL_ROLLOUTS").ok().and_then(|n| n.parse().ok()).unwrap_or(few)
}

#[rstest]
#[case(Fault::Nothing)]
#[case(Fault::ZoneCut)]
#[case(Fault::ThirdOfBackends)]
#[case(Fault::Burst)]
#[case(Fault::Shift)]
#[case(Fault::AgentsKilled)]
#[case(Fault::ReportsMissing)]
fn a_sound_change_is_not_blamed_for_what_strikes_all(#[case] fault: Fault) {
    let (n, mut blamed, mut done) = (rollouts(12), 0, 0);
    for seed in 0..n {
        let fleet = Fleet::new(40, seed).run(Change::default(), fault, 15 + seed % 50);
        blamed += u64::from(fleet.was_rolled_back());
        done += u64::from(fleet.rollout.phase == Phase::Done);
    }
    println!("{fault:?}: {blamed} of {n} blamed, {done} went through");
    assert!(blamed * 100 <= n, "{blamed} of {n}");
    assert!(done * 10 >= n * 9, "{done} of {n} went through");
}

#[rstest]
#[case::refusals(Change { refusals: 0.02, ..Change::default() })]
#[case::slower(Change { slower: 0.3, ..Change::default() })]
#[case::one_class(Change { refusals: 0.06, class: Some(1), ..Change::default() })]
#[case::extra_attempts(Change { extra_attempts: 0.3, ..Change::default() })]
#[case::refuses(Change { refuses: true, ..Change::default() })]
#[case::breaks_a_rule(Change { breaks_rule: true, ..Change::default() })]
fn a_bad_change_is_found_before_a_quarter_has_it(#[case] change: Change) {
    let (n, mut found, mut harm) = (rollouts(12), 0, Vec::new());
    for seed in 0..n {
        let fleet = Fleet::new(40, seed).run(change, Fault::Nothing, 0);
        found += u64::from(fleet.was_rolled_back() && fleet.stage() < 2);
        harm.push(fleet.harmed / fleet.all);
        assert!(
            fleet.rollout.agents.values().all(|a| a.version == Version::Old) || !fleet.was_rolled_back(),
            "everything is back"
        );
    }
    harm.sort_by(f64::total_cmp);
    println!(
        "{change:?}: {found} of {n} found, harmed {:.5} in the median, {:.5} at most",
        harm[harm.len() / 2],
        harm[harm.len() - 1]
    );
    assert!(found * 100 >= n * 95, "{found} of {n}");
}

#[test]
fn a_change_that_crowds_the_others_is_held_not_gone_on_with() {
    let change = Change { crowds: 0.6, ..Change::default() };
    let fleet = Fleet::new(40, 3).run(change, Fault::Nothing, 0);
    assert!(
        matches!(fleet.rollout.phase, Phase::Held { .. } | Phase::RolledBack { .. }),
        "{:?}",
        fleet.rollout.phase
    );
    assert!(fleet.stage() <= 2, "{:?}", fleet.rollout.verdicts);
}

#[test]
fn who_was_away_is_brought_to_where_the_plan_is_now_and_who_is_stuck_is_named() {
    let mut rollout = Rollout::new(plan(), &agents(8)).expect("a plan");
    rollout.phase = Phase::Changing(3);
    let all: BTreeSet<String> = rollout.agents.keys().cloned().collect();
    let but: BTreeSet<String> = all.iter().filter(|n| *n != "a07").cloned().collect();
    for _ in 0..10 {
        for step in rollout.next_steps(&but) {
            rollout.on_version(&step.agent, step.target);
        }
    }
    assert_eq!(rollout.agents["a07"].version, Version::Old);
    rollout.abort("op").expect("back");
    // It missed all of it, and has nothing to do.
    for _ in 0..10 {
        for step in rollout.next_steps(&all) {
            assert_ne!(step.agent, "a07");
            if step.agent == "a03" {
                rollout.on_failure("a03", "the old one is gone from the disk");
            } else {
                rollout.on_version(&step.agent, step.target);
            }
        }
    }
    assert_eq!(rollout.phase, Phase::RolledBack { reason: "by op".into(), stuck: vec!["a03".into()] });
    assert_eq!(rollout.next_steps(&all), [], "never tried without end");
}

#[test]
fn back_goes_the_last_changed_first_and_no_more_of_a_zone_at_once_than_stated() {
    let mut rollout = Rollout::new(plan(), &agents(16)).expect("a plan");
    rollout.phase = Phase::Changing(3);
    let all: BTreeSet<String> = rollout.agents.keys().cloned().collect();
    let mut order = Vec::new();
    for _ in 0..16 {
        let steps = rollout.next_steps(&all);
        let zones: Vec<&String> = steps.iter().map(|s| &rollout.agents[&s.agent].zone).collect();
        assert_eq!(zones.iter().collect::<BTreeSet<_>>().len(), zones.len(), "one of four at once");
        for step in steps {
            order.push(step.agent.clone());
            rollout.on_version(&step.agent, step.target);
        }
    }
    rollout.abort("op").expect("back");
    let mut back = Vec::new();
    for _ in 0..16 {
        for step in rollout.next_steps(&all) {
            back.push(step.agent.clone());
            rollout.on_version(&step.agent, step.target);
        }
    }
    let last: Vec<&String> = order.iter().rev().take(4).collect();
    assert!(back.iter().take(4).all(|n| last.contains(&n)), "{back:?}");
    assert!(matches!(rollout.phase, Phase::RolledBack { .. }));
}

#[rstest]
#[case::before(Phase::Baseline)]
#[case::changing(Phase::Changing(1))]
#[case::judging(Phase::Evaluating(1))]
#[case::held(Phase::Held { stage: 1, reason: String::new() })]
#[case::paused(Phase::Paused { stage: 1 })]
#[case::done(Phase::Done)]
fn it_can_be_aborted_in_every_state(#[case] phase: Phase) {
    let mut rollout = Rollout::new(plan(), &agents(8)).expect("a plan");
    rollout.phase = phase;
    rollout.on_version("a00", Version::New);
    rollout.abort("op").expect("aborted");
    assert!(matches!(rollout.phase, Phase::RollingBack { .. } | Phase::RolledBack { .. }));
    let all = rollout.agents.keys().cloned().collect();
    for step in rollout.next_steps(&all) {
        assert_eq!(step.target, Version::Old);
        rollout.on_version(&step.agent, step.target);
    }
    assert!(rollout.phase.is_over() && rollout.abort("op").is_err());
    assert!(
        rollout.verdicts.iter().all(|v| !matches!(v.1, Verdict::Regressed(_))),
        "nobody is blamed for an operator's word"
    );
}
