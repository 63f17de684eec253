//! What an owner does: it renews its lease, takes over the job's state, and writes to it.
use std::collections::BTreeMap;

use notchspool::units::Micros;

use super::renewal_delay;
use super::state::{Effects, Event, JobState, LossReason, Outbound, Renewal, Role};
use super::{Contender, OWNER_KEY};
use crate::proposal::Outcome;
use crate::{Ballot, Lease, OwnerRecord, Request, Response, VoterId};

impl Contender {
    /// Time goes on for an owner whose lease runs.
    pub(super) fn tick_ownership(&mut self, now: Micros, effects: &mut Effects) {
        let parameters = self.parameters;
        let Role::Owner(own) = &mut self.role else { return };
        for proposal in own.proposals_mut() {
            for to in proposal.due_retries(now, &parameters) {
                let (number, request) = (proposal.number, proposal.request.clone());
                effects.messages.push(Outbound { to, number, request });
            }
        }
        if matches!(own.renewal, Renewal::WaitingUntil(at) if at <= now) {
            self.renew(now, effects);
        }
    }

    /// Writes the owner record once more, with a lease from now on.
    fn renew(&mut self, now: Micros, effects: &mut Effects) {
        let (space, lease) = (self.owner_space(), Some(self.lease()));
        let Role::Owner(own) = &mut self.role else { return };
        own.sequence += 1;
        let changes = vec![(OWNER_KEY.to_owned(), own.record.to_text())];
        let (ballot, sequence) = (own.ballot, own.sequence);
        let request = Request::Accept { space, ballot, sequence, changes, lease };
        let proposal = self.propose(now, request, effects);
        if let Role::Owner(own) = &mut self.role {
            own.renewal = Renewal::Accepting(proposal);
        }
    }

    pub(super) fn on_owner_response(
        &mut self,
        now: Micros,
        jitter: f64,
        from: VoterId,
        number: u64,
        response: Response,
        effects: &mut Effects,
    ) {
        let Role::Owner(own) = &mut self.role else { return };
        match &mut own.renewal {
            Renewal::Preparing(proposal) if proposal.number == number => {
                proposal.on_response(from, response);
                self.on_renewal_prepared(now, jitter, effects);
            }
            Renewal::Accepting(proposal) if proposal.number == number => {
                proposal.on_response(from, response);
                self.on_renewal_accepted(now, jitter, effects);
            }
            _ => self.on_state_response(now, jitter, from, number, response, effects),
        }
    }

    fn on_renewal_prepared(&mut self, now: Micros, jitter: f64, effects: &mut Effects) {
        let parameters = self.parameters;
        let Role::Owner(own) = &mut self.role else { return };
        let Renewal::Preparing(proposal) = &own.renewal else { return };
        let found = proposal.merged_entries();
        let Request::Prepare { ballot, .. } = proposal.request else { return };
        match proposal.outcome(&parameters) {
            Outcome::Pending => {}
            Outcome::Rejected { promised, .. } => {
                own.renewal = Renewal::WaitingUntil(now + parameters.retry_interval);
                self.raise_round(promised);
            }
            Outcome::Granted => {
                let found = found.get(OWNER_KEY).and_then(|entry| OwnerRecord::parse(&entry.value));
                let found = found.unwrap_or_default();
                if found.token != own.record.token || found.owner != self.id {
                    return self.lose(now, LossReason::Superseded(found.token), jitter, effects);
                }
                own.ballot = ballot;
                self.renew(now, effects);
            }
        }
    }

    fn on_renewal_accepted(&mut self, now: Micros, jitter: f64, effects: &mut Effects) {
        let (parameters, faults) = (self.parameters, self.faults);
        let Role::Owner(own) = &mut self.role else { return };
        let Renewal::Accepting(proposal) = &own.renewal else { return };
        let started_at = proposal.started_at;
        match proposal.outcome(&parameters) {
            Outcome::Pending => {}
            Outcome::Granted => {
                let lease_from = if faults.lease_from_response { now } else { started_at };
                own.lease_until = own.lease_until.max(lease_from + parameters.lease);
                let renew_at = started_at + renewal_delay(parameters.lease, jitter);
                own.renewal = Renewal::WaitingUntil(now.max(renew_at));
            }
            // A contender was promised before the lease was with all of them: a higher ballot of our own, while the lease runs.
            Outcome::Rejected { promised, .. } => {
                self.raise_round(promised);
                let (space, ballot) = (self.owner_space(), self.next_ballot());
                let proposal = self.propose(now, Request::Prepare { space, ballot }, effects);
                if let Role::Owner(own) = &mut self.role {
                    own.renewal = Renewal::Preparing(proposal);
                }
            }
        }
    }

    fn on_state_response(
        &mut self,
        now: Micros,
        jitter: f64,
        from: VoterId,
        number: u64,
        response: Response,
        effects: &mut Effects,
    ) {
        let (parameters, faults) = (self.parameters, self.faults);
        let Role::Owner(own) = &mut self.role else { return };
        let (JobState::Preparing(proposal) | JobState::Rewriting(proposal) | JobState::Open(Some(proposal))) =
            &mut own.state
        else {
            return;
        };
        if proposal.number != number {
            return;
        }
        proposal.on_response(from, response);
        match proposal.outcome(&parameters) {
            Outcome::Granted => self.on_state_granted(now, effects),
            Outcome::Pending if faults.state_without_majority => self.on_state_granted(now, effects),
            Outcome::Pending => {}
            // Nobody writes here but owners, so a higher promise is a later owner's.
            Outcome::Rejected { promised, .. } => {
                let token = promised.unwrap_or_default().token;
                self.lose(now, LossReason::Superseded(token), jitter, effects);
            }
        }
    }

    fn on_state_granted(&mut self, now: Micros, effects: &mut Effects) {
        let Role::Owner(own) = &mut self.role else { return };
        match &own.state {
            JobState::Preparing(proposal) => {
                let found = proposal.merged_entries();
                own.entries = found.into_iter().map(|(key, entry)| (key, entry.value)).collect();
                own.queued = own.entries.clone();
                if own.queued.is_empty() {
                    self.open(effects);
                } else {
                    self.send_queued(now, effects);
                }
            }
            JobState::Rewriting(_) => {
                self.open(effects);
                self.send_queued(now, effects);
            }
            JobState::Open(_) => {
                effects.events.push(Event::Committed(own.last_sent));
                own.state = JobState::Open(None);
                self.send_queued(now, effects);
            }
        }
    }

    fn open(&mut self, effects: &mut Effects) {
        if let Role::Owner(own) = &mut self.role {
            own.state = JobState::Open(None);
            let (token, entries) = (own.record.token, own.entries.clone());
            effects.events.push(Event::Acquired { token, entries });
        }
    }

    /// All that is queued goes as one batch, all of it or nothing at each voter.
    fn send_queued(&mut self, now: Micros, effects: &mut Effects) {
        let space = self.state_space();
        let Role::Owner(own) = &mut self.role else { return };
        if own.queued.is_empty() {
            return;
        }
        let rewriting = matches!(own.state, JobState::Preparing(_));
        let changes: Vec<(String, String)> = std::mem::take(&mut own.queued).into_iter().collect();
        let ballot = Ballot { token: own.record.token, round: 1, by: self.id };
        own.last_sent = own.last_write;
        let request = Request::Accept { space, ballot, sequence: own.last_write, changes, lease: None };
        let proposal = self.propose(now, request, effects);
        if let Role::Owner(own) = &mut self.role {
            own.state =
                if rewriting { JobState::Rewriting(proposal) } else { JobState::Open(Some(proposal)) };
        }
    }

    /// Writes these entries. Returns the number whose [`Event::Committed`] says that they are with a majority, or `None` where this one
    /// does not own the job.
    pub fn write(
        &mut self,
        now: Micros,
        changes: BTreeMap<String, String>,
        effects: &mut Effects,
    ) -> Option<u64> {
        self.owns(now)?;
        let Role::Owner(own) = &mut self.role else { return None };
        own.last_write += 1;
        let number = own.last_write;
        own.entries.extend(changes.clone());
        own.queued.extend(changes);
        if matches!(own.state, JobState::Open(None)) {
            self.send_queued(now, effects);
        }
        Some(number)
    }

    /// Gives the job up: the next contender need not wait for the lease to run out. `jitter`: a chance in 0..1.
    pub fn release(&mut self, now: Micros, jitter: f64) -> Effects {
        let mut effects = Effects::default();
        let space = self.owner_space();
        if let Role::Owner(own) = &mut self.role {
            own.sequence += 1;
            own.record.released = true;
            let changes = vec![(OWNER_KEY.to_owned(), own.record.to_text())];
            let lease = Some(Lease { holder: self.id, duration_us: 0 });
            let (ballot, sequence) = (own.ballot, own.sequence);
            self.propose(now, Request::Accept { space, ballot, sequence, changes, lease }, &mut effects);
            self.lose(now, LossReason::Released, jitter, &mut effects);
        }
        effects
    }
}
