//! The states of a contender, and the events and effects at its edge.
use std::collections::BTreeMap;

use notchspool::units::Micros;

use crate::proposal::Proposal;
use crate::{Ballot, OwnerRecord, Request, Token, VoterId};

/// A request on its way to one voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outbound {
    /// To whom.
    pub to: VoterId,
    /// The number of its proposal, which the response carries too.
    pub number: u64,
    /// What is asked.
    pub request: Request,
}

/// What the host is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// It owns the job: this is what the job keeps, and from here on it may act.
    Acquired {
        /// Its fencing token.
        token: Token,
        /// The job's state, by key.
        entries: BTreeMap<String, String>,
    },
    /// All writes up to this number are with a majority.
    Committed(u64),
    /// It owns the job no more, and must not act.
    Lost(LossReason),
}

/// Why a job is owned no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// Its lease ran out before it could renew.
    Expired,
    /// A later owner's token was met.
    Superseded(Token),
    /// It gave the job up.
    Released,
}

/// What goes out, and what the host is told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Effects {
    /// Requests to be sent.
    pub messages: Vec<Outbound>,
    /// What has happened.
    pub events: Vec<Event>,
}

/// Safeguards taken out, for tests that show what they are for. Nothing else sets any.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct FaultInjection {
    /// The lease is counted from the response.
    pub lease_from_response: bool,
    /// The state is taken over as one voter alone tells it.
    pub state_without_majority: bool,
}

/// How the renewal of the lease stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Renewal {
    /// Not before this.
    WaitingUntil(Micros),
    Preparing(Proposal),
    Accepting(Proposal),
}

/// How the job's state stands at its owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum JobState {
    Preparing(Proposal),
    /// What was found is accepted anew under this owner's ballot before anything is built on it.
    Rewriting(Proposal),
    /// Read and rewritten; the write that is out, if any.
    Open(Option<Proposal>),
}

/// An owner, or one that is about to be: its lease runs.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Ownership {
    pub record: OwnerRecord,
    /// The ballot of the owner register, and the number of the last write under it.
    pub ballot: Ballot,
    pub sequence: u64,
    pub lease_until: Micros,
    pub renewal: Renewal,
    pub state: JobState,
    pub entries: BTreeMap<String, String>,
    /// Written by the host and not sent yet.
    pub queued: BTreeMap<String, String>,
    /// The number of the last write, and of the last one sent.
    pub last_write: u64,
    pub last_sent: u64,
}

impl Ownership {
    /// The proposals that are out.
    pub fn proposals_mut(&mut self) -> impl Iterator<Item = &mut Proposal> {
        let renewal = match &mut self.renewal {
            Renewal::Preparing(proposal) | Renewal::Accepting(proposal) => Some(proposal),
            Renewal::WaitingUntil(_) => None,
        };
        let state = match &mut self.state {
            JobState::Preparing(proposal)
            | JobState::Rewriting(proposal)
            | JobState::Open(Some(proposal)) => Some(proposal),
            JobState::Open(None) => None,
        };
        renewal.into_iter().chain(state)
    }

    /// When it has something to do at the latest.
    pub fn next_deadline(&self) -> Micros {
        let renewal = match &self.renewal {
            Renewal::WaitingUntil(at) => *at,
            Renewal::Preparing(proposal) | Renewal::Accepting(proposal) => proposal.retry_at(),
        };
        let state = match &self.state {
            JobState::Preparing(proposal)
            | JobState::Rewriting(proposal)
            | JobState::Open(Some(proposal)) => proposal.retry_at(),
            JobState::Open(None) => self.lease_until,
        };
        self.lease_until.min(renewal).min(state)
    }
}

/// Where a contender stands.
///
/// ```text
/// Waiting -due-> Preparing -granted-> Accepting -granted-> Owner
/// Preparing, Accepting -rejected or late-> Waiting
/// Owner -lease expired, superseded or released-> Waiting
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Role {
    Waiting(Micros),
    Preparing(Proposal),
    Accepting(Proposal, OwnerRecord),
    Owner(Box<Ownership>),
}
