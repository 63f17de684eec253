//! How a configuration becomes the one that holds. One register by ballots among the voters; its value is the configuration with the
//! highest version, and the digests of the bodies taken under numbers below it (`register`). Writing it is reading it first: what is
//! written is what was found, with each new body under a number that is still free. So there is one body for a number, the version
//! never goes back, and what more than half have on disk is found by every later round (CASPaxos; `notchspool_consensus` has voters and
//! rounds).
//!
//! Every call, also one that changes nothing, ends by a write of its own to more than half, begun after the call came; what it is
//! answered is read off the value that this write has chosen, never off one that was only proposed.
//!
//! Held always, tried to be broken by `tests/word.rs`: what was said to hold is held, or a higher version is, after any loss that leaves
//! more than half of the disks; all who are told of a version are told the same body; one body is acknowledged under a number, and no
//! order is acknowledged and later refused.
use std::collections::VecDeque;

use notchspool::units::Micros;
use notchspool_consensus::proposal::{Outcome, Proposal};
use notchspool_consensus::{Ballot, ContenderId, Parameters, Request, Response, Space, Token, VoterId};

use crate::digest::Digest;
pub use crate::register::VersionedConfig;
use crate::register::{Standing, Value};

/// The register's one key.
pub const KEY: &str = "word";
/// Calls that wait at most.
const MOST_WAITING: usize = 256;
/// A call that found no majority is given up after this: callers go elsewhere after a second of silence.
pub const PATIENCE: Micros = Micros::ms(650);
/// Pause after a refused round, at least; up to three times that by chance, doubled for each in a row.
const PAUSE: Micros = Micros::ms(4);

pub fn space() -> Space {
    Space::State("word".into())
}

/// What is asked of the register.
#[derive(Clone, Debug)]
pub enum Order {
    /// To take this body under its number, and to hold it unless a higher one is held.
    Put(VersionedConfig, Digest),
    /// What holds now.
    Read,
}

/// What the host does.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    Ask(VoterId, u64, Request),
    /// The call's end.
    End(u64, End),
    /// More than half have it on disk; none: more than half have nothing. The round that found this began then.
    Chosen(Option<VersionedConfig>, Micros),
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// A read: what holds.
    Held(VersionedConfig),
    /// A read: there is none yet.
    Empty,
    /// A put: this body is the one under its number.
    Taken,
    /// A put: another body is, and will stay so. The version that holds.
    Other(u64),
    /// A put: the number is older than what is remembered. The version that holds.
    Forgotten(u64),
    /// No majority was found in time: a body that was sent may come to hold, or not.
    NoMajority,
}

impl End {
    /// What a call comes to, by the value that was chosen.
    fn of(order: &Order, chosen: Option<&Value>) -> End {
        match (order, chosen) {
            (Order::Read, Some(value)) => End::Held(value.held.clone()),
            (Order::Read, None) => End::Empty,
            (Order::Put(new, digest), Some(value)) => match value.standing(new.version, *digest) {
                Standing::Taken => End::Taken,
                Standing::Other => End::Other(value.held.version),
                Standing::Forgotten => End::Forgotten(value.held.version),
                Standing::Free => End::NoMajority,
            },
            (Order::Put(..), None) => End::NoMajority,
        }
    }
}

#[derive(Clone, Debug)]
enum Phase {
    Idle,
    Reading(Proposal, Ballot),
    Writing(Proposal, Value),
    /// Refused: not before this.
    Pausing(Micros),
}

pub struct Proposer {
    terms: Parameters,
    me: ContenderId,
    round: u64,
    number: u64,
    refused: u32,
    phase: Phase,
    /// Calls that the running round serves, and those that wait for the next.
    served: Vec<(u64, Order, Micros)>,
    waiting: VecDeque<(u64, Order, Micros)>,
}

impl Proposer {
    /// `me`: drawn at the start of the process, never used before.
    pub fn open(terms: Parameters, me: ContenderId) -> Proposer {
        let phase = Phase::Idle;
        Proposer {
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
    pub fn change(&mut self, terms: Parameters) {
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

    fn ask_all(&mut self, now: Micros, ask: Request) -> (Proposal, Vec<Step>) {
        self.number += 1;
        let all = (0..self.terms.voters as u16).map(VoterId);
        let steps = all.map(|v| Step::Ask(v, self.number, ask.clone())).collect();
        (Proposal::new(self.number, ask, now, &self.terms), steps)
    }

    fn begin(&mut self, now: Micros) -> Vec<Step> {
        self.served.extend(self.waiting.drain(..));
        if self.served.is_empty() {
            self.phase = Phase::Idle;
            return Vec::new();
        }
        self.round += 1;
        let ballot = Ballot { token: Token(0), round: self.round, by: self.me };
        let (round, steps) = self.ask_all(now, Request::Prepare { space: space(), ballot });
        self.phase = Phase::Reading(round, ballot);
        steps
    }

    /// An answer of a voter to the ask of this number.
    pub fn hear(
        &mut self,
        now: Micros,
        from: VoterId,
        number: u64,
        answer: Response,
        jitter: f64,
    ) -> Vec<Step> {
        let round = match &mut self.phase {
            Phase::Reading(round, _) | Phase::Writing(round, _) if round.number == number => round,
            _ => return Vec::new(),
        };
        round.on_response(from, answer);
        match round.outcome(&self.terms) {
            Outcome::Pending => Vec::new(),
            Outcome::Rejected { promised, .. } => self.pause(now, promised, jitter),
            Outcome::Granted => self.won(now),
        }
    }

    fn pause(&mut self, now: Micros, promised: Option<Ballot>, jitter: f64) -> Vec<Step> {
        self.round = self.round.max(promised.map_or(0, |b| b.round));
        self.refused = (self.refused + 1).min(5);
        let span = PAUSE.times((1 << self.refused) as f64 * (0.5 + jitter));
        self.phase = Phase::Pausing(now + span);
        Vec::new()
    }

    fn won(&mut self, now: Micros) -> Vec<Step> {
        match std::mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Reading(round, ballot) => {
                let mut value = round.merged_entries().get(KEY).and_then(|e| Value::read(&e.value));
                if value.is_none() && !self.served.iter().any(|(_, order, _)| matches!(order, Order::Put(..)))
                {
                    return self.end(now, None, round.started_at);
                }
                // Who waits by now is served too: it came before the write begins.
                self.served.extend(self.waiting.drain(..));
                for (_, order, _) in &self.served {
                    if let Order::Put(new, digest) = order {
                        match &mut value {
                            Some(value) => value.take(new, *digest),
                            None => value = Some(Value::first(new.clone(), *digest)),
                        }
                    }
                }
                let Some(value) = value else { return self.end(now, None, round.started_at) };
                let changes = vec![(KEY.to_string(), value.written())];
                let ask = Request::Accept { space: space(), ballot, sequence: 1, changes, lease: None };
                let (round, steps) = self.ask_all(now, ask);
                self.phase = Phase::Writing(round, value);
                steps
            }
            Phase::Writing(round, value) => self.end(now, Some(value), round.started_at),
            phase => {
                self.phase = phase;
                Vec::new()
            }
        }
    }

    fn end(&mut self, now: Micros, chosen: Option<Value>, began: Micros) -> Vec<Step> {
        self.refused = 0;
        let mut steps = vec![Step::Chosen(chosen.as_ref().map(|v| v.held.clone()), began)];
        for (id, order, _) in self.served.drain(..) {
            steps.push(Step::End(id, End::of(&order, chosen.as_ref())));
        }
        self.phase = Phase::Idle;
        steps.extend(self.begin(now));
        steps
    }

    /// Time has passed: what was not answered is asked again, what is over is given up.
    pub fn wake(&mut self, now: Micros, jitter: f64) -> Vec<Step> {
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
                if let Outcome::Rejected { promised, .. } = round.opposition()
                    && now - round.started_at >= self.terms.retry_interval
                {
                    // One stands against it and the others are silent: a higher ballot may do.
                    steps.extend(self.pause(now, promised, jitter));
                } else {
                    let (number, ask) = (round.number, round.request.clone());
                    let again = round.due_retries(now, &self.terms);
                    steps.extend(again.into_iter().map(|v| Step::Ask(v, number, ask.clone())));
                }
            }
        }
        steps
    }
}
