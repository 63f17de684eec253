//! A contender for one job, and its owner once it has the lease.
//!
//! The owner counts its lease from before it asked; the voters count from after they answered. What the job keeps is written under the
//! owner's token, one batch after the other.
mod ownership;
mod state;

use std::collections::BTreeMap;

use notchspool::units::Micros;

use crate::proposal::{HeldLease, Outcome, Proposal};
use crate::{
    Ballot, ContenderId, Lease, OWNER_KEY, OwnerRecord, Parameters, Request, Response, Space, Token, VoterId,
};
pub use state::{Effects, Event, FaultInjection, LossReason, Outbound};
use state::{JobState, Ownership, Renewal, Role};

/// One contender for one job.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Contender {
    /// This run of it.
    pub id: ContenderId,
    name: String,
    address: String,
    job: String,
    parameters: Parameters,
    faults: FaultInjection,
    role: Role,
    last_number: u64,
    last_round: u64,
    /// The last owner that was seen.
    last_owner: Option<OwnerRecord>,
}

/// When a lease is renewed: after a third of it, jittered by a chance in 0..1.
fn renewal_delay(lease: Micros, jitter: f64) -> Micros {
    lease.times(0.25 + 0.1 * jitter)
}

impl Contender {
    /// A contender that begins to ask after a part of [`Parameters::contender_turn`]. `jitter`: a chance in 0..1.
    pub fn new(
        id: ContenderId,
        name: &str,
        address: &str,
        job: &str,
        parameters: Parameters,
        now: Micros,
        jitter: f64,
    ) -> Contender {
        let first = now + parameters.contender_turn.times(jitter);
        Contender {
            id,
            name: name.into(),
            address: address.into(),
            job: job.into(),
            parameters,
            faults: FaultInjection::default(),
            role: Role::Waiting(first),
            last_number: 0,
            last_round: 0,
            last_owner: None,
        }
    }

    /// Takes safeguards out; for tests alone.
    pub fn inject_faults(&mut self, faults: FaultInjection) {
        self.faults = faults;
    }

    /// Its token while its lease runs and the job's state is open; asked before every effect. By its own clock alone.
    pub fn owns(&self, now: Micros) -> Option<Token> {
        match &self.role {
            Role::Owner(own) if now < own.lease_until && matches!(own.state, JobState::Open(_)) => {
                Some(own.record.token)
            }
            _ => None,
        }
    }

    /// Until when its lease runs.
    pub fn lease_until(&self) -> Option<Micros> {
        match &self.role {
            Role::Owner(own) => Some(own.lease_until),
            _ => None,
        }
    }

    /// The last owner that this one knows of, itself included.
    pub fn last_owner(&self) -> Option<&OwnerRecord> {
        match &self.role {
            Role::Owner(own) => Some(&own.record),
            _ => self.last_owner.as_ref(),
        }
    }

    fn owner_space(&self) -> Space {
        Space::Owner(self.job.clone())
    }

    fn state_space(&self) -> Space {
        Space::State(self.job.clone())
    }

    fn lease(&self) -> Lease {
        Lease { holder: self.id, duration_us: self.parameters.lease.0 }
    }

    /// Sends a request to all voters.
    fn propose(&mut self, now: Micros, request: Request, effects: &mut Effects) -> Proposal {
        self.last_number += 1;
        let number = self.last_number;
        for to in (0..self.parameters.voters as u16).map(VoterId) {
            effects.messages.push(Outbound { to, number, request: request.clone() });
        }
        Proposal::new(number, request, now, &self.parameters)
    }

    fn next_ballot(&mut self) -> Ballot {
        self.last_round += 1;
        Ballot { token: Token(0), round: self.last_round, by: self.id }
    }

    /// Later ballots are to be above this one.
    fn raise_round(&mut self, promised: Option<Ballot>) {
        self.last_round = self.last_round.max(promised.map_or(0, |ballot| ballot.round));
    }

    /// When [`Contender::tick`] has something to do at the latest.
    pub fn next_deadline(&self) -> Micros {
        match &self.role {
            Role::Waiting(at) => *at,
            Role::Preparing(proposal) | Role::Accepting(proposal, _) => proposal.retry_at(),
            Role::Owner(own) => own.next_deadline(),
        }
    }

    /// After a failure: tries again later, the last owner sooner than the others, no two together.
    fn wait(&mut self, now: Micros, held: Option<Micros>, jitter: f64) {
        let turn = self.parameters.contender_turn;
        let was_owner =
            self.last_owner.as_ref().is_some_and(|owner| owner.name == self.name && !owner.released);
        let spread = if was_owner { turn.times(0.5 * jitter) } else { turn + turn.times(2.0 * jitter) };
        let spread = if held.is_none() { spread + self.parameters.retry_interval } else { spread };
        self.role = Role::Waiting(now + held.unwrap_or_default() + spread);
    }

    fn on_rejected(&mut self, now: Micros, promised: Option<Ballot>, held: Option<HeldLease>, jitter: f64) {
        self.raise_round(promised);
        self.wait(now, held.map(|held| held.remaining), jitter);
    }

    fn lose(&mut self, now: Micros, reason: LossReason, jitter: f64, effects: &mut Effects) {
        if let Role::Owner(own) = &self.role {
            let record = own.record.clone();
            effects.events.push(Event::Lost(reason));
            self.observe_owner(record);
        }
        let rest = if reason == LossReason::Released { Some(self.parameters.lease) } else { None };
        self.wait(now, rest, jitter);
    }

    /// A record that a contender writes came by. Only a hint for who looks for the owner, and for whose turn it is; the voters decide
    /// as ever.
    pub fn observe_owner(&mut self, record: OwnerRecord) {
        if self.last_owner.as_ref().is_none_or(|last| last.token <= record.token) {
            self.last_owner = Some(record);
        }
    }

    /// The owner is known to have released the job: who waits for its lease need not. Only a hint; the voters decide as ever.
    pub fn on_release_observed(&mut self, now: Micros, jitter: f64) {
        if let Role::Waiting(at) = &mut self.role {
            let soon = now + self.parameters.contender_turn.times(0.1 + 0.5 * jitter);
            *at = (*at).min(soon);
        }
    }

    /// Time goes on. `jitter`: a chance in 0..1.
    pub fn tick(&mut self, now: Micros, jitter: f64) -> Effects {
        let mut effects = Effects::default();
        match &mut self.role {
            Role::Waiting(at) if *at <= now => {
                let (space, ballot) = (self.owner_space(), self.next_ballot());
                let proposal = self.propose(now, Request::Prepare { space, ballot }, &mut effects);
                self.role = Role::Preparing(proposal);
            }
            Role::Waiting(_) => {}
            Role::Preparing(_) | Role::Accepting(..) => self.tick_contest(now, jitter, &mut effects),
            // Guards against an owner that can't renew: it stops by itself, whatever it is in the middle of.
            Role::Owner(own) if now >= own.lease_until => {
                self.lose(now, LossReason::Expired, jitter, &mut effects);
            }
            Role::Owner(_) => self.tick_ownership(now, &mut effects),
        }
        effects
    }

    /// Retries a proposal for the ownership, or gives it up.
    fn tick_contest(&mut self, now: Micros, jitter: f64, effects: &mut Effects) {
        let (Role::Preparing(proposal) | Role::Accepting(proposal, _)) = &mut self.role else { return };
        let late = now - proposal.started_at > self.parameters.lease;
        let opposition = proposal.opposition();
        let due = proposal.due_retries(now, &self.parameters);
        let (number, request) = (proposal.number, proposal.request.clone());
        match opposition {
            Outcome::Rejected { promised, held } if !due.is_empty() => {
                self.on_rejected(now, promised, held, jitter);
            }
            _ if late => self.wait(now, None, jitter),
            _ => {
                let retry = |to| Outbound { to, number, request: request.clone() };
                effects.messages.extend(due.into_iter().map(retry));
            }
        }
    }

    /// A response came. Responses to proposals that are over change nothing. `jitter`: a chance in 0..1.
    pub fn on_response(
        &mut self,
        now: Micros,
        jitter: f64,
        from: VoterId,
        number: u64,
        response: Response,
    ) -> Effects {
        let mut effects = Effects::default();
        // Guards against responses that lay in a buffer while this process stood still: first it looks whether it still owns.
        if self.lease_until().is_some_and(|until| now >= until) {
            self.lose(now, LossReason::Expired, jitter, &mut effects);
            return effects;
        }
        match std::mem::replace(&mut self.role, Role::Waiting(now)) {
            Role::Preparing(mut proposal) if proposal.number == number => {
                proposal.on_response(from, response);
                self.on_prepare_response(now, jitter, proposal, &mut effects);
            }
            Role::Accepting(mut proposal, record) if proposal.number == number => {
                proposal.on_response(from, response);
                self.on_accept_response(now, jitter, proposal, record, &mut effects);
            }
            Role::Owner(own) => {
                self.role = Role::Owner(own);
                self.on_owner_response(now, jitter, from, number, response, &mut effects);
            }
            role => self.role = role,
        }
        effects
    }

    fn on_prepare_response(&mut self, now: Micros, jitter: f64, proposal: Proposal, effects: &mut Effects) {
        match proposal.outcome(&self.parameters) {
            Outcome::Pending => self.role = Role::Preparing(proposal),
            Outcome::Rejected { promised, held } => self.on_rejected(now, promised, held, jitter),
            Outcome::Granted => {
                let found = proposal.merged_entries();
                let last = found.get(OWNER_KEY).and_then(|entry| OwnerRecord::parse(&entry.value));
                let last = last.unwrap_or_default();
                let record = OwnerRecord {
                    token: Token(last.token.0 + 1),
                    owner: self.id,
                    name: self.name.clone(),
                    address: self.address.clone(),
                    released: false,
                };
                self.last_owner = (last.token > Token(0)).then_some(last);
                let Request::Prepare { space, ballot } = proposal.request else { return };
                let changes = vec![(OWNER_KEY.to_owned(), record.to_text())];
                let lease = Some(self.lease());
                let request = Request::Accept { space, ballot, sequence: 1, changes, lease };
                let proposal = self.propose(now, request, effects);
                self.role = Role::Accepting(proposal, record);
            }
        }
    }

    fn on_accept_response(
        &mut self,
        now: Micros,
        jitter: f64,
        proposal: Proposal,
        record: OwnerRecord,
        effects: &mut Effects,
    ) {
        match proposal.outcome(&self.parameters) {
            Outcome::Pending => self.role = Role::Accepting(proposal, record),
            Outcome::Rejected { promised, held } => self.on_rejected(now, promised, held, jitter),
            Outcome::Granted => self.become_owner(now, jitter, proposal, record, effects),
        }
    }

    /// The lease is granted: the job's state is read next, under the new token.
    fn become_owner(
        &mut self,
        now: Micros,
        jitter: f64,
        granted: Proposal,
        record: OwnerRecord,
        effects: &mut Effects,
    ) {
        let lease_from = if self.faults.lease_from_response { now } else { granted.started_at };
        let lease_until = lease_from + self.parameters.lease;
        let Request::Accept { ballot, .. } = granted.request else { return };
        if now >= lease_until {
            return self.wait(now, None, jitter);
        }
        let space = self.state_space();
        let state_ballot = Ballot { token: record.token, round: 1, by: self.id };
        let proposal = self.propose(now, Request::Prepare { space, ballot: state_ballot }, effects);
        let renew_at = granted.started_at + renewal_delay(self.parameters.lease, jitter);
        self.role = Role::Owner(Box::new(Ownership {
            record,
            ballot,
            sequence: 1,
            lease_until,
            renewal: Renewal::WaitingUntil(renew_at),
            state: JobState::Preparing(proposal),
            entries: BTreeMap::new(),
            queued: BTreeMap::new(),
            last_write: 1,
            last_sent: 0,
        }));
    }
}
