//! The proposer of configurations: serves operators' calls by proposals on one register among the voters.
//!
//! The register's value is the configuration with the highest version, and the digests of the bodies accepted under earlier versions
//! ([`crate::register`]). To write it is to read it first: what is written is what was found, with each new body under a version that is
//! still unused. So there is one body for a version, the version never goes back, and what a majority has on disk is found by every later
//! proposal (`CASPaxos`; `notchspool_consensus` has acceptors and proposals).
//!
//! Every call, also one that changes nothing, ends with an accept of its own by a majority, begun after the call came; its result is read
//! off the value that this accept has chosen, never off one that was only proposed.
//!
//! Invariants, tried to be broken by `tests/agreement.rs`: what was acknowledged is in force, or a higher version is, after any loss that
//! leaves a majority of the disks; all who are told of a version are told the same body; one body is acknowledged under a version, and no
//! replacement is acknowledged and later refused.
use std::collections::VecDeque;

use notchspool::units::Micros;
use notchspool_consensus::proposal::{Outcome, Proposal};
use notchspool_consensus::{Ballot, ContenderId, Parameters, Request, Response, Space, Token, VoterId};

use crate::digest::Digest;
pub use crate::register::VersionedConfig;
use crate::register::{RegisterValue, VersionStatus};

/// The key of the one register.
pub const CONFIG_KEY: &str = "word";
/// Calls that wait at most.
const MAX_WAITING_CALLS: usize = 256;
/// A call that found no majority is given up after this: callers go elsewhere after a second of silence.
pub const CALL_TIMEOUT: Micros = Micros::ms(650);
/// Backoff after a rejected proposal, at least; up to three times that by chance, doubled for each in a row.
const BACKOFF: Micros = Micros::ms(4);
/// Rejections in a row that still lengthen the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// The space of the register.
pub fn config_space() -> Space {
    Space::State("word".into())
}

/// What a call asks of the register.
#[derive(Clone, Debug)]
pub enum Operation {
    /// To accept this body under its version, and to make it current unless a higher version is.
    Replace(VersionedConfig, Digest),
    /// To read the current configuration.
    Read,
}

/// A call's number, given by the host.
pub type CallId = u64;

/// What the host has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a request to a voter.
    Send {
        /// To whom.
        to: VoterId,
        /// The number of the proposal, which the response carries too.
        number: u64,
        /// What is asked.
        request: Request,
    },
    /// A call has ended.
    Finish(CallId, CallResult),
    /// A majority has this on disk.
    Chosen {
        /// The current configuration; `None` where a majority has none.
        config: Option<VersionedConfig>,
        /// When the proposal that found this was begun.
        started_at: Micros,
    },
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum CallResult {
    /// A read: the current configuration.
    Current(VersionedConfig),
    /// A read: there is none yet.
    Empty,
    /// A replacement: this body is the one under its version.
    Accepted,
    /// A replacement: another body is, and will stay so.
    Conflict {
        /// The version in force.
        current: u64,
    },
    /// A replacement: the version is older than what is remembered.
    Forgotten {
        /// The version in force.
        current: u64,
    },
    /// No majority was found in time: a body that was sent may come into force, or not.
    NoMajority,
}

impl CallResult {
    /// What a call comes to, by the value that was chosen.
    fn from_chosen(operation: &Operation, chosen: Option<&RegisterValue>) -> CallResult {
        match (operation, chosen) {
            (Operation::Read, Some(value)) => CallResult::Current(value.current.clone()),
            (Operation::Read, None) => CallResult::Empty,
            (Operation::Replace(config, digest), Some(value)) => {
                let current = value.current.version;
                match value.status(config.version, *digest) {
                    VersionStatus::SameBody => CallResult::Accepted,
                    VersionStatus::OtherBody => CallResult::Conflict { current },
                    VersionStatus::Forgotten => CallResult::Forgotten { current },
                    VersionStatus::Unused => CallResult::NoMajority,
                }
            }
            (Operation::Replace(..), None) => CallResult::NoMajority,
        }
    }
}

#[derive(Clone, Debug)]
struct Call {
    id: CallId,
    operation: Operation,
    received_at: Micros,
}

impl Call {
    fn is_timed_out(&self, now: Micros) -> bool {
        now - self.received_at >= CALL_TIMEOUT
    }
}

#[derive(Clone, Debug)]
enum Phase {
    Idle,
    Preparing(Proposal, Ballot),
    Accepting(Proposal, RegisterValue),
    /// Rejected: not before this.
    BackingOff(Micros),
}

/// Proposes one value after the other for the calls that come.
pub struct Proposer {
    parameters: Parameters,
    id: ContenderId,
    last_round: u64,
    last_number: u64,
    rejections: u32,
    phase: Phase,
    /// Calls that the running proposal serves, and those that wait for the next.
    served: Vec<Call>,
    waiting: VecDeque<Call>,
}

impl Proposer {
    /// `id`: drawn at the start of the process, never used before.
    pub fn new(parameters: Parameters, id: ContenderId) -> Proposer {
        Proposer {
            parameters,
            id,
            last_round: 1,
            last_number: 0,
            rejections: 0,
            phase: Phase::Idle,
            served: Vec::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Whether it has nothing to do.
    pub fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Idle) && self.waiting.is_empty()
    }

    /// The voters have changed: what was asked of the old ones is asked of the new ones, from its beginning.
    pub fn on_voters_changed(&mut self, parameters: Parameters) {
        self.parameters = parameters;
        for call in self.served.drain(..).rev() {
            self.waiting.push_front(call);
        }
        self.phase = Phase::Idle;
    }

    /// A call. Where too many wait it ends at once.
    pub fn call(&mut self, now: Micros, id: CallId, operation: Operation) -> Vec<Effect> {
        if self.waiting.len() >= MAX_WAITING_CALLS {
            return vec![Effect::Finish(id, CallResult::NoMajority)];
        }
        self.waiting.push_back(Call { id, operation, received_at: now });
        self.tick(now, 0.5)
    }

    /// Sends a request to all voters.
    fn propose(&mut self, now: Micros, request: Request) -> (Proposal, Vec<Effect>) {
        self.last_number += 1;
        let number = self.last_number;
        let voters = (0..self.parameters.voters as u16).map(VoterId);
        let effects = voters.map(|to| Effect::Send { to, number, request: request.clone() }).collect();
        (Proposal::new(number, request, now, &self.parameters), effects)
    }

    /// Begins a proposal for the calls that wait, if any.
    fn prepare(&mut self, now: Micros) -> Vec<Effect> {
        self.served.extend(self.waiting.drain(..));
        if self.served.is_empty() {
            self.phase = Phase::Idle;
            return Vec::new();
        }
        self.last_round += 1;
        let ballot = Ballot { token: Token(0), round: self.last_round, by: self.id };
        let request = Request::Prepare { space: config_space(), ballot };
        let (proposal, effects) = self.propose(now, request);
        self.phase = Phase::Preparing(proposal, ballot);
        effects
    }

    /// A voter's response to the request of this number. `jitter`: a chance in 0..1.
    pub fn on_response(
        &mut self,
        now: Micros,
        from: VoterId,
        number: u64,
        response: Response,
        jitter: f64,
    ) -> Vec<Effect> {
        let proposal = match &mut self.phase {
            Phase::Preparing(proposal, _) | Phase::Accepting(proposal, _) if proposal.number == number => {
                proposal
            }
            _ => return Vec::new(),
        };
        proposal.on_response(from, response);
        match proposal.outcome(&self.parameters) {
            Outcome::Pending => Vec::new(),
            Outcome::Rejected { promised, .. } => {
                self.back_off(now, promised, jitter);
                Vec::new()
            }
            Outcome::Granted => self.on_granted(now),
        }
    }

    fn back_off(&mut self, now: Micros, promised: Option<Ballot>, jitter: f64) {
        self.last_round = self.last_round.max(promised.map_or(0, |ballot| ballot.round));
        self.rejections = (self.rejections + 1).min(MAX_BACKOFF_DOUBLINGS);
        let pause = BACKOFF.times(f64::from(1u32 << self.rejections) * (0.5 + jitter));
        self.phase = Phase::BackingOff(now + pause);
    }

    fn on_granted(&mut self, now: Micros) -> Vec<Effect> {
        match std::mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Preparing(proposal, ballot) => self.accept(now, &proposal, ballot),
            Phase::Accepting(proposal, value) => self.finish(now, Some(&value), proposal.started_at),
            phase => {
                self.phase = phase;
                Vec::new()
            }
        }
    }

    /// A majority has promised: proposes what was found, with the bodies of the calls that it serves.
    fn accept(&mut self, now: Micros, prepared: &Proposal, ballot: Ballot) -> Vec<Effect> {
        let found = prepared.merged_entries();
        let found = found.get(CONFIG_KEY).and_then(|entry| RegisterValue::parse(&entry.value));
        let is_replacement = |call: &Call| matches!(call.operation, Operation::Replace(..));
        if found.is_none() && !self.served.iter().any(is_replacement) {
            return self.finish(now, None, prepared.started_at);
        }
        // Calls that wait by now are served too: they came before the accept begins.
        self.served.extend(self.waiting.drain(..));
        let Some(value) = self.value_to_accept(found) else {
            return self.finish(now, None, prepared.started_at);
        };
        let changes = vec![(CONFIG_KEY.to_string(), value.to_text())];
        let request = Request::Accept { space: config_space(), ballot, sequence: 1, changes, lease: None };
        let (proposal, effects) = self.propose(now, request);
        self.phase = Phase::Accepting(proposal, value);
        effects
    }

    fn value_to_accept(&self, found: Option<RegisterValue>) -> Option<RegisterValue> {
        let mut value = found;
        for call in &self.served {
            if let Operation::Replace(config, digest) = &call.operation {
                match &mut value {
                    Some(value) => value.accept(config, *digest),
                    None => value = Some(RegisterValue::new(config.clone(), *digest)),
                }
            }
        }
        value
    }

    /// Ends the calls that were served, and begins with those that wait.
    fn finish(&mut self, now: Micros, chosen: Option<&RegisterValue>, started_at: Micros) -> Vec<Effect> {
        self.rejections = 0;
        let config = chosen.map(|value| value.current.clone());
        let mut effects = vec![Effect::Chosen { config, started_at }];
        for call in self.served.drain(..) {
            effects.push(Effect::Finish(call.id, CallResult::from_chosen(&call.operation, chosen)));
        }
        self.phase = Phase::Idle;
        effects.extend(self.prepare(now));
        effects
    }

    /// Time has passed: requests without a response are sent again, calls that are timed out end. `jitter`: a chance in 0..1.
    pub fn tick(&mut self, now: Micros, jitter: f64) -> Vec<Effect> {
        let mut effects = self.end_timed_out_calls(now);
        match &mut self.phase {
            Phase::Idle => effects.extend(self.prepare(now)),
            Phase::BackingOff(until) if *until <= now => effects.extend(self.prepare(now)),
            Phase::BackingOff(_) => {}
            Phase::Preparing(proposal, _) | Phase::Accepting(proposal, _) => {
                if let Outcome::Rejected { promised, .. } = proposal.opposition()
                    && now - proposal.started_at >= self.parameters.retry_interval
                {
                    // One voter stands against it and the others are silent: a higher ballot may do.
                    self.back_off(now, promised, jitter);
                } else {
                    let (number, request) = (proposal.number, proposal.request.clone());
                    let due = proposal.due_retries(now, &self.parameters);
                    let retry = |to| Effect::Send { to, number, request: request.clone() };
                    effects.extend(due.into_iter().map(retry));
                }
            }
        }
        effects
    }

    fn end_timed_out_calls(&mut self, now: Micros) -> Vec<Effect> {
        let calls = self.served.iter().chain(&self.waiting);
        let timed_out = calls.filter(|call| call.is_timed_out(now));
        let effects = timed_out.map(|call| Effect::Finish(call.id, CallResult::NoMajority)).collect();
        self.served.retain(|call| !call.is_timed_out(now));
        self.waiting.retain(|call| !call.is_timed_out(now));
        effects
    }
}
