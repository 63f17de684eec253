//! Tries to break what `pen` promises: three proposers and three voters, messages lost, doubled and overtaken, proposers that end and come
//! back, voters that come back with their disk or, one at a time, without it. And the register's value and its digests by themselves.
use std::collections::{BTreeMap, BTreeSet};

use notchspool::units::Micros;
use notchspool_consensus::acceptor::{Acceptor, DurableState};
use notchspool_consensus::acceptor_recovery::Recovery;
use notchspool_consensus::{ContenderId, Parameters, Reply, Request, Response, VoterId};
use notchspool_mesh_config::digest::Digest;
use notchspool_mesh_config::proposer::{
    self, CONFIG_KEY, CallResult, Effect, Operation, Proposer, VersionedConfig,
};
use notchspool_mesh_config::register::{MAX_REMEMBERED_VERSIONS, RegisterValue, VersionStatus};
use quickcheck::{Gen, QuickCheck, TestResult};
use rstest::rstest;

const TERMS: Parameters = Parameters {
    voters: 3,
    lease: Micros::ms(3_000),
    drift_ppm: 5_000,
    retry_interval: Micros::ms(150),
    contender_turn: Micros::ms(300),
};

#[derive(Clone, Debug)]
enum Message {
    Ask(Request),
    Answer(Response),
}

/// One life of a process that proposes.
struct Process {
    proposer: Proposer,
    incarnation: u64,
}

/// A voter; one that lost its disk asks the others.
enum Seat {
    Votes(Box<Acceptor>),
    Asks(Recovery),
}

#[derive(Clone, Debug)]
struct Call {
    order: Option<(u64, String)>,
    /// The highest version acknowledged before it came.
    acked: u64,
}

/// Proposer, its life, voter, number of the ask.
type Way = (usize, u64, u16, u64, Message);

#[derive(Default)]
struct World {
    now: Micros,
    incarnations: u64,
    next: u64,
    processes: Vec<Process>,
    voters: Vec<Seat>,
    way: Vec<Way>,
    calls: BTreeMap<u64, Call>,
    acked: BTreeSet<(u64, String)>,
    refused: BTreeSet<(u64, String)>,
    acknowledged: BTreeMap<u64, String>,
    given_up: u64,
    /// Which body was taken under older numbers is not kept: the planted breach.
    forgets: bool,
    violation: Option<String>,
}

fn voter(at: usize, disk: DurableState, now: Micros) -> Seat {
    Seat::Votes(Box::new(Acceptor::open(VoterId(at as u16), TERMS, disk, now)))
}

fn disk(voter: &Acceptor) -> DurableState {
    let (incarnation, incarnations) = (voter.incarnation(), voter.known_incarnations());
    let kept = voter.space(&proposer::config_space()).cloned().unwrap_or_default();
    DurableState {
        incarnation,
        known_incarnations: incarnations.clone(),
        spaces: vec![(proposer::config_space(), kept.promised, kept.entries, kept.lease).into()],
    }
}

impl World {
    fn new(forgets: bool) -> World {
        let mut world = World { forgets, ..World::default() };
        for at in 0..3 {
            let process = world.process();
            world.processes.push(process);
            world.voters.push(voter(at, DurableState::default(), Micros(0)));
        }
        world
    }

    fn process(&mut self) -> Process {
        self.incarnations += 1;
        Process {
            proposer: Proposer::new(TERMS, ContenderId(self.incarnations)),
            incarnation: self.incarnations,
        }
    }

    fn effects(&mut self, at: usize, effects: Vec<Effect>) {
        for step in effects {
            match step {
                Effect::Send { to: voter, number, request: ask } => {
                    self.way.push((at, self.processes[at].incarnation, voter.0, number, Message::Ask(ask)));
                }
                Effect::Chosen { config: None, .. } => {}
                Effect::Chosen { config: Some(held), .. } => {
                    let first = self.acknowledged.entry(held.version).or_insert_with(|| held.body.clone());
                    if *first != held.body {
                        self.violation = Some(format!("two bodies are told under {}", held.version));
                    }
                }
                Effect::Finish(id, end) => self.end(id, end),
            }
        }
    }

    fn end(&mut self, id: u64, end: CallResult) {
        let Some(call) = self.calls.remove(&id) else { return };
        match (call.order, end) {
            (None, CallResult::Current(held)) if held.version < call.acked => {
                self.violation =
                    Some(format!("reads {} after {} was acknowledged", held.version, call.acked));
            }
            (None, CallResult::Empty) if call.acked > 0 => self.violation = Some("reads nothing".into()),
            (Some(order), CallResult::Accepted) => {
                if self.refused.contains(&order) {
                    self.violation = Some(format!("{order:?} was refused and is acknowledged"));
                }
                if self.acked.iter().any(|other| other.0 == order.0 && other.1 != order.1) {
                    self.violation = Some(format!("two bodies are acknowledged under {}", order.0));
                }
                self.acked.insert(order);
            }
            (Some(order), CallResult::Conflict { current: holds }) => {
                if self.acked.contains(&order) {
                    self.violation = Some(format!("{order:?} was acknowledged and is refused"));
                }
                if holds < call.acked {
                    self.violation =
                        Some(format!("{holds} is said to hold after {} was acknowledged", call.acked));
                }
                self.refused.insert(order);
            }
            (_, CallResult::NoMajority) => self.given_up += 1,
            (Some(order), CallResult::Forgotten { .. }) => {
                self.violation = Some(format!("{order:?} is forgotten"));
            }
            _ => {}
        }
    }

    fn call(&mut self, at: usize, order: Option<(u64, String)>) -> u64 {
        self.next += 1;
        let acked = self.acked.iter().map(|a| a.0).max().unwrap_or(0);
        self.calls.insert(self.next, Call { order: order.clone(), acked });
        let order = match order {
            None => Operation::Read,
            Some((version, body)) => {
                let digest = Digest::of(body.as_bytes());
                Operation::Replace(VersionedConfig { version, body }, digest)
            }
        };
        let effects = self.processes[at].proposer.call(self.now, self.next, order);
        self.effects(at, effects);
        self.next
    }

    fn forget(&self, text: &mut String) {
        if let Some(held) = VersionedConfig::parse(text).filter(|_| self.forgets) {
            let digest = Digest::of(held.body.as_bytes());
            *text = RegisterValue::new(held, digest).to_text();
        }
    }

    fn deliver(&mut self, (at, incarnation, from, number, what): Way) {
        match what {
            Message::Ask(mut ask) => {
                if let Request::Accept { changes, .. } = &mut ask {
                    changes.iter_mut().for_each(|(_, text)| self.forget(text));
                }
                if let Seat::Votes(seat) = &mut self.voters[from as usize] {
                    // What it writes is on its disk before the answer leaves.
                    let (answer, _) = seat.handle(self.now, &ask);
                    self.way.push((at, incarnation, from, number, Message::Answer(answer)));
                }
            }
            Message::Answer(mut answer) => {
                if let Reply::Promised { entries } = &mut answer.reply
                    && let Some(entry) = entries.get_mut(CONFIG_KEY)
                {
                    self.forget(&mut entry.value);
                }
                if self.processes[at].incarnation == incarnation {
                    let proposer = &mut self.processes[at].proposer;
                    let effects =
                        proposer.on_response(self.now, VoterId(from), number, answer, 0.3 * at as f64);
                    self.effects(at, effects);
                }
            }
        }
    }

    fn wake(&mut self, span: Micros) {
        self.now = self.now + span;
        for at in 0..self.processes.len() {
            let effects = self.processes[at].proposer.tick(self.now, 0.3 * at as f64);
            self.effects(at, effects);
        }
    }

    /// One that lost its disk asks another.
    fn readmit(&mut self, at: usize, from: usize) {
        if at == from {
            return;
        }
        let Seat::Asks(readmission) = &self.voters[at] else { return };
        let ask = readmission.request();
        let Request::Readmit { incarnation, .. } = ask else { return };
        let now = self.now;
        let Seat::Votes(other) = &mut self.voters[from] else { return };
        let (mut answer, _) = other.handle(now, &ask);
        if matches!(answer.reply, Reply::StaleIncarnation { known } if known == incarnation) {
            // Its first answer was for this life already: it is told again.
            answer.reply = Reply::FullState { spaces: disk(other).spaces };
        }
        let Seat::Asks(readmission) = &mut self.voters[at] else { return };
        if let Some(disk) = readmission.on_response(VoterId(from as u16), incarnation, answer) {
            self.voters[at] = voter(at, disk, now);
        }
    }

    fn step(&mut self, word: u32) {
        let pick = |n: usize, by: u32| (word / by) as usize % n.max(1);
        let (at, waiting) = (pick(3, 16), self.way.len());
        match word % 16 {
            0..=6 if waiting > 0 => {
                // Some at once: few rounds came to an end otherwise.
                for nth in 0..=pick(6, 1 << 20) {
                    if !self.way.is_empty() {
                        let message = self.way.remove(pick(self.way.len(), 16 + 5 * nth as u32));
                        self.deliver(message);
                    }
                }
            }
            7 if waiting > 0 => {
                let message = self.way[pick(waiting, 16)].clone();
                self.deliver(message);
            }
            8 if waiting > 0 => drop(self.way.remove(pick(waiting, 16))),
            9 | 10 => {
                // Few numbers and few bodies, so that they meet and come again.
                let (version, body) = (1 + pick(5, 48) as u64, pick(3, 240));
                let body = format!(r#"{{"version":{version},"body":{body}}}"#);
                self.call(at, Some((version, body)));
            }
            11 => drop(self.call(at, None)),
            12 => self.wake(Micros::ms(if pick(4, 16) == 0 { 200 } else { 10 })),
            // Its calls are lost with it.
            13 => self.processes[at] = self.process(),
            14 => {
                if let Seat::Votes(old) = &self.voters[at] {
                    self.voters[at] = voter(at, disk(old), self.now);
                }
            }
            15 => {
                let all = self.voters.iter().all(|v| matches!(v, Seat::Votes(_)));
                if all && pick(3, 48) == 0 {
                    self.voters[at] = Seat::Asks(Recovery::new(VoterId(at as u16), TERMS));
                } else {
                    self.readmit(at, pick(3, 48));
                }
            }
            _ => {}
        }
    }

    /// All messages arrive from now on; every order that was acknowledged is acknowledged again, every read finds the newest.
    fn heal(&mut self) {
        for at in 0..3 {
            (0..2).for_each(|_| (0..3).for_each(|from| self.readmit(at, from)));
        }
        self.run(100);
        let acked: Vec<_> = self.acked.iter().cloned().map(Some).collect();
        for (at, order) in acked.into_iter().chain([None, None, None]).enumerate() {
            // One that finds no majority in time is sent again.
            let answered = (0..3).any(|_| {
                let (id, given_up) = (self.call(at % 3, order.clone()), self.given_up);
                self.run(70);
                !self.calls.contains_key(&id) && self.given_up == given_up
            });
            if !answered {
                self.violation = Some(format!("{order:?} is not answered"));
            }
        }
    }

    fn run(&mut self, rounds: usize) {
        for _ in 0..rounds {
            for message in std::mem::take(&mut self.way) {
                self.deliver(message);
            }
            self.wake(Micros::ms(10));
        }
    }
}

fn broken(words: &[u32], forgets: bool) -> (Option<String>, usize) {
    let mut world = World::new(forgets);
    words.iter().for_each(|word| world.step(*word));
    let acked = world.acked.len();
    world.heal();
    (world.violation, acked)
}

#[test]
fn no_history_of_messages_breaks_a_promise() {
    fn property(words: Vec<u32>) -> TestResult {
        broken(&words, false).0.map_or(TestResult::passed(), TestResult::error)
    }
    let mut tests = QuickCheck::new().rng(Gen::from_size_and_seed(400, 11)).tests(2_000);
    tests.quickcheck(property as fn(Vec<u32>) -> TestResult);
}

/// The checker sees a register that keeps no digests of older numbers; and histories do come to acknowledgements.
#[test]
fn a_register_that_forgets_is_noticed() {
    let mut chance = Gen::from_size_and_seed(400, 12);
    let (mut seen, mut acked) = (0, 0);
    for _ in 0..300 {
        let words: Vec<u32> = quickcheck::Arbitrary::arbitrary(&mut chance);
        acked += broken(&words, false).1;
        seen += usize::from(broken(&words, true).0.is_some());
    }
    assert!(seen > 10 && acked > 300, "noticed in {seen} of 300, {acked} orders acknowledged");
}

#[rstest]
#[case::order_of_fields(r#"{"a":1,"b":[1,2]}"#, r#"{ "b": [1, 2], "a": 1 }"#, true)]
#[case::ways_to_write_a_number(r#"{"a":2.50,"b":3.0}"#, r#"{"a":25e-1,"b":3}"#, true)]
#[case::order_of_items(r"[1,2]", r"[2,1]", false)]
#[case::text_and_number(r#"{"a":"1"}"#, r#"{"a":1}"#, false)]
#[case::nothing_and_no_field(r#"{"a":null}"#, r"{}", false)]
#[case::nested_and_flat(r#"[["a"],"b"]"#, r#"[["a","b"]]"#, false)]
#[case::field_and_text(r#"{"ab":"c"}"#, r#"{"a":"bc"}"#, false)]
#[case::yes_and_no(r#"{"a":true}"#, r#"{"a":false}"#, false)]
#[case::no_json("{x", "{ x", false)]
fn a_digest_goes_by_what_is_stated(#[case] left: &str, #[case] right: &str, #[case] same: bool) {
    let (left, right) = (Digest::of(left.as_bytes()), Digest::of(right.as_bytes()));
    assert_eq!(left == right, same);
    assert_eq!(Digest::parse(&left.to_string()), Some(left));
}

fn held(version: u64, note: &str) -> (VersionedConfig, Digest) {
    let body = format!("{{\"version\":{version},\n\"note\":\"{note}\"}}");
    let digest = Digest::of(body.as_bytes());
    (VersionedConfig { version, body }, digest)
}

#[test]
fn a_value_is_read_as_it_was_written_and_remembers_the_newest_thousand() {
    let (first, digest) = held(1, "x");
    let mut value = RegisterValue::new(first, digest);
    for version in 2..MAX_REMEMBERED_VERSIONS as u64 + 4 {
        let (next, digest) = held(version, "x");
        value.accept(&next, digest);
        if version % 500 == 0 {
            assert_eq!(RegisterValue::parse(&value.to_text()).as_ref(), Some(&value));
        }
    }
    let newest = MAX_REMEMBERED_VERSIONS as u64 + 3;
    let standing = |version: u64, note: &str| value.status(version, held(version, note).1);
    assert_eq!(value.current.version, newest);
    assert_eq!(
        (standing(newest, "x"), standing(newest, "y")),
        (VersionStatus::SameBody, VersionStatus::OtherBody)
    );
    assert_eq!((standing(3, "x"), standing(3, "y")), (VersionStatus::SameBody, VersionStatus::OtherBody));
    assert_eq!((standing(2, "x"), standing(0, "y")), (VersionStatus::Forgotten, VersionStatus::Forgotten));
    assert_eq!(standing(newest + 1, "y"), VersionStatus::Unused);
    assert_eq!(RegisterValue::parse(&value.to_text()), Some(value.clone()));
}

#[test]
fn a_value_of_the_form_before_is_read_and_knows_of_no_older_numbers() {
    let (old, digest) = held(7, "x");
    let value = RegisterValue::parse(&format!("7\n{}", old.body)).unwrap();
    assert_eq!(value.current, old);
    assert_eq!(value.status(7, digest), VersionStatus::SameBody);
    assert_eq!(value.status(7, held(7, "y").1), VersionStatus::OtherBody);
    assert_eq!(value.status(6, digest), VersionStatus::Forgotten);
    assert_eq!(value.status(8, digest), VersionStatus::Unused);
    assert_eq!(RegisterValue::parse(&value.to_text()), Some(value));
}

#[test]
fn a_text_that_is_no_value_is_none_and_never_a_panic() {
    fn property(text: String, at: usize) -> bool {
        let complete = held(7, "x").0;
        let mut torn = RegisterValue::new(complete, Digest::of(b"{}")).to_text();
        torn.truncate(at % (torn.len() + 1));
        drop((RegisterValue::parse(&text), VersionedConfig::parse(&text), VersionedConfig::parse(&torn)));
        RegisterValue::parse(&torn).is_none() || torn.contains('\n')
    }
    let mut tests = QuickCheck::new().rng(Gen::from_size_and_seed(200, 13)).tests(2_000);
    tests.quickcheck(property as fn(String, usize) -> bool);
}
