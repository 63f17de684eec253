//! How a configuration becomes the one that holds. One register by ballots among the voters; its value is the configuration with the
//! highest version. Writing it is reading it first: what is written is the higher of what was found and what is new, and of two
//! bodies under one version the one found stays. So there is one body for a version, it never goes back, and what more than half have
//! on disk is found by every later round (CASPaxos; `notchspool_election` has voters and rounds).
//!
//! Held always, tried to be broken by `tests/word.rs`: what was said to hold is held, or a higher version is, after any loss that leaves
//! more than half of the disks; all who are told of a version are told the same body.
use std::collections::VecDeque;

use notchspool::units::Micros;
use notchspool_election::round::{Round, Verdict};
use notchspool_election::{Answer, Ask, Ballot, ContenderId, Space, Terms, Token, VoterId};

/// The register's one key.
pub const KEY: &str = "word";
/// Calls that wait at most.
const MOST_WAITING: usize = 256;
/// A call that found no majority is given up after this.
pub const PATIENCE: Micros = Micros::ms(2_500);
/// Pause after a refused round, at least; up to three times that by chance, doubled for each in a row.
const PAUSE: Micros = Micros::ms(4);

pub fn space() -> Space {
    Space::State("word".into())
}

/// A configuration with its version in front, as the register holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    pub version: u64,
    pub body: String,
}

impl Held {
    pub fn written(&self) -> String {
        format!("{}\n{}", self.version, self.body)
    }
    pub fn read(text: &str) -> Option<Held> {
        let (version, body) = text.split_once('\n')?;
        Some(Held { version: version.parse().ok()?, body: body.to_string() })
    }
}

/// What is asked of the register.
#[derive(Clone, Debug)]
pub enum Order {
    /// To hold this one unless a version as high is held.
    Put(Held),
    /// What holds now.
    Read,
}

/// What the host does.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    Ask(VoterId, u64, Ask),
    /// The call's end.
    End(u64, End),
    /// More than half have it on disk.
    Chosen(Held),
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    Held(Held),
    /// There is none yet.
    Empty,
    /// No majority was found in time: a body that was sent may come to hold, or not.
    NoMajority,
}

#[derive(Clone, Debug)]
enum Phase {
    Idle,
    Reading(Round, Ballot),
    Writing(Round, Held),
    /// Refused: not before this.
    Pausing(Micros),
}

pub struct Pen {
    terms: Terms,
    me: ContenderId,
    round: u64,
    number: u64,
    refused: u32,
    phase: Phase,
    /// Calls that the running round serves, and those that wait for the next.
    served: Vec<(u64, Order, Micros)>,
    waiting: VecDeque<(u64, Order, Micros)>,
}

impl Pen {
    /// `me`: drawn at the start of the process, never used before.
    pub fn open(terms: Terms, me: ContenderId) -> Pen {
        let phase = Phase::Idle;
        Pen {
            terms,
            me,
            round: 1,
            number: 0,
            refused: 0,
            phase,
            served: Vec::new(),
            waiting: VecDeque::new(),
        }
    }

    pub fn idle(&self) -> bool {
        matches!(self.phase, Phase::Idle) && self.waiting.is_empty()
    }

    /// The voters are others now: what was asked of the old ones is asked of these, from its beginning.
    pub fn change(&mut self, terms: Terms) {
        self.terms = terms;
        for call in self.served.drain(..).rev() {
            self.waiting.push_front(call);
        }
        self.phase = Phase::Idle;
    }

    /// A call, by the host's number. Where too many wait it ends at once.
    pub fn call(&mut self, now: Micros, id: u64, order: Order) -> Vec<Step> {
        if self.waiting.len() >= MOST_WAITING {
            return vec![Step::End(id, End::NoMajority)];
        }
        self.waiting.push_back((id, order, now));
        self.wake(now, 0.5)
    }

    fn ask_all(&mut self, now: Micros, ask: Ask) -> (Round, Vec<Step>) {
        self.number += 1;
        let all = (0..self.terms.voters as u16).map(VoterId);
        let steps = all.map(|v| Step::Ask(v, self.number, ask.clone())).collect();
        (Round::begin(self.number, ask, now, &self.terms), steps)
    }

    fn begin(&mut self, now: Micros) -> Vec<Step> {
        self.served.extend(self.waiting.drain(..));
        if self.served.is_empty() {
            self.phase = Phase::Idle;
            return Vec::new();
        }
        self.round += 1;
        let ballot = Ballot { token: Token(0), round: self.round, by: self.me };
        let (round, steps) = self.ask_all(now, Ask::Prepare { space: space(), ballot });
        self.phase = Phase::Reading(round, ballot);
        steps
    }

    /// An answer of a voter to the ask of this number.
    pub fn hear(&mut self, now: Micros, from: VoterId, number: u64, answer: Answer, dart: f64) -> Vec<Step> {
        let round = match &mut self.phase {
            Phase::Reading(round, _) | Phase::Writing(round, _) if round.no == number => round,
            _ => return Vec::new(),
        };
        round.hear(from, answer);
        match round.verdict(&self.terms) {
            Verdict::Open => Vec::new(),
            Verdict::No { promised, .. } => self.pause(now, promised, dart),
            Verdict::Yes => self.won(now),
        }
    }

    fn pause(&mut self, now: Micros, promised: Option<Ballot>, dart: f64) -> Vec<Step> {
        self.round = self.round.max(promised.map_or(0, |b| b.round));
        self.refused = (self.refused + 1).min(6);
        let span = PAUSE.times((1 << self.refused) as f64 * (0.5 + dart));
        self.phase = Phase::Pausing(now + span);
        Vec::new()
    }

    fn won(&mut self, now: Micros) -> Vec<Step> {
        match std::mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Reading(round, ballot) => {
                let found = round.merged().get(KEY).and_then(|e| Held::read(&e.value));
                // Who waits by now is served too: its body is one of those from which the highest is taken.
                self.served.extend(self.waiting.drain(..));
                let mut best = found;
                for (_, order, _) in &self.served {
                    if let Order::Put(new) = order
                        && best.as_ref().is_none_or(|b| new.version > b.version)
                    {
                        best = Some(new.clone());
                    }
                }
                let Some(held) = best else { return self.end(now, None) };
                let changes = vec![(KEY.to_string(), held.written())];
                let ask = Ask::Accept { space: space(), ballot, nth: 1, changes, lease: None };
                let (round, steps) = self.ask_all(now, ask);
                self.phase = Phase::Writing(round, held);
                steps
            }
            Phase::Writing(_, held) => self.end(now, Some(held)),
            phase => {
                self.phase = phase;
                Vec::new()
            }
        }
    }

    fn end(&mut self, now: Micros, held: Option<Held>) -> Vec<Step> {
        self.refused = 0;
        let mut steps: Vec<Step> = held.iter().cloned().map(Step::Chosen).collect();
        let end = held.map_or(End::Empty, End::Held);
        steps.extend(self.served.drain(..).map(|(id, ..)| Step::End(id, end.clone())));
        self.phase = Phase::Idle;
        steps.extend(self.begin(now));
        steps
    }

    /// Time has passed: what was not answered is asked again, what is over is given up.
    pub fn wake(&mut self, now: Micros, dart: f64) -> Vec<Step> {
        let mut steps = Vec::new();
        let old = |c: &(u64, Order, Micros)| now - c.2 >= PATIENCE;
        steps.extend(
            self.served
                .iter()
                .chain(&self.waiting)
                .filter(|c| old(c))
                .map(|c| Step::End(c.0, End::NoMajority)),
        );
        self.served.retain(|c| !old(c));
        self.waiting.retain(|c| !old(c));
        match &mut self.phase {
            Phase::Idle => steps.extend(self.begin(now)),
            Phase::Pausing(until) if *until <= now => steps.extend(self.begin(now)),
            Phase::Pausing(_) => {}
            Phase::Reading(round, _) | Phase::Writing(round, _) => {
                if let Verdict::No { promised, .. } = round.opposed()
                    && now - round.began >= self.terms.again
                {
                    // One stands against it and the others are silent: a higher ballot may do.
                    steps.extend(self.pause(now, promised, dart));
                } else {
                    let (number, ask) = (round.no, round.ask.clone());
                    let again = round.again(now, &self.terms);
                    steps.extend(again.into_iter().map(|v| Step::Ask(v, number, ask.clone())));
                }
            }
        }
        steps
    }
}
