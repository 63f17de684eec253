//! Claims of idempotency keys at the voters.
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use notchspool::units::Micros;
use notchspool_idempotency::claim_proposal::{ClaimProposal, Outcome};
use notchspool_mesh_protocol::{Claim, ClaimReply, Payload, Ticket, WithdrawClaim};
use tokio::sync::oneshot;

use crate::context::{Context, within};
use crate::replicas::Replicas;

/// A claim that has no majority by then has none.
const CLAIM_TIMEOUT: Micros = Micros::ms(250);
/// The same where the voter set is being changed.
const RECONFIGURING_TIMEOUT: Micros = Micros::ms(700);
/// A voter that could not vote because of a change is asked again after this.
const RETRY_INTERVAL: Micros = Micros::ms(50);
/// Claims at once.
const MAX_OPEN: usize = 10_000;

/// A claim that is open.
struct OpenClaim {
    proposal: ClaimProposal,
    /// To be asked anew: the set has changed, or is being changed.
    is_retry_due: bool,
    /// Who waits for the outcome.
    waiting: Option<oneshot::Sender<Outcome>>,
}

/// The entry of an open claim, taken out whatever becomes of whoever waits.
struct OpenEntry<'a> {
    open: &'a RefCell<HashMap<u64, OpenClaim>>,
    id: u64,
}

impl OpenEntry<'_> {
    /// Where the claim stands when nobody waits for more replies.
    fn final_outcome(&self) -> Outcome {
        self.open.borrow().get(&self.id).map_or(Outcome::Undecided, |open| open.proposal.outcome(true))
    }
}

impl Drop for OpenEntry<'_> {
    fn drop(&mut self) {
        self.open.borrow_mut().remove(&self.id);
    }
}

/// Claims keys for this proxy.
pub struct ClaimClient {
    context: Rc<Context>,
    replicas: Rc<Replicas>,
    open: RefCell<HashMap<u64, OpenClaim>>,
}

impl ClaimClient {
    /// Claims at `replicas`.
    pub fn new(context: Rc<Context>, replicas: Rc<Replicas>) -> ClaimClient {
        ClaimClient { context, replicas, open: RefCell::default() }
    }

    /// Claims a key for a ticket at all voters.
    pub async fn claim(&self, key: &str, ticket: Ticket) -> Outcome {
        let voters = self.replicas.voter_count();
        if voters == 0 || self.open.borrow().len() >= MAX_OPEN {
            return Outcome::Undecided;
        }
        let id = self.context.next_id();
        let set_number = self.replicas.set_number();
        let (waiting, outcome) = oneshot::channel();
        let proposal = ClaimProposal::new(set_number, voters);
        let open = OpenClaim { proposal, is_retry_due: false, waiting: Some(waiting) };
        self.open.borrow_mut().insert(id, open);
        let entry = OpenEntry { open: &self.open, id };
        let claim = Claim {
            id,
            key: key.to_string(),
            ticket: Some(ticket),
            holder: self.context.address.clone(),
            holder_boot_id: self.context.boot_id,
            set_number,
            age_ms: 0,
        };
        let decided = match self.send(&claim) > voters / 2 {
            true => self.wait_for_outcome(claim, outcome).await,
            false => None,
        };
        decided.unwrap_or_else(|| entry.final_outcome())
    }

    /// Waits until the claim is decided, asks again where the set changes, and gives up in the end.
    async fn wait_for_outcome(
        &self,
        mut claim: Claim,
        outcome: oneshot::Receiver<Outcome>,
    ) -> Option<Outcome> {
        let started_at = self.context.now();
        let mut outcome = std::pin::pin!(outcome);
        let mut timeout = CLAIM_TIMEOUT;
        loop {
            let decided = within(RETRY_INTERVAL, outcome.as_mut()).await;
            let waited = self.context.now() - started_at;
            let retry_under = self.take_due_retry(claim.id);
            if retry_under.is_some() {
                timeout = RECONFIGURING_TIMEOUT;
            }
            if let Some(decided) = decided {
                return decided.ok();
            }
            if waited >= timeout {
                return None;
            }
            if let Some(set_number) = retry_under {
                // The same ticket: whoever has granted it does so again.
                claim.set_number = set_number;
                self.send(&claim);
            }
        }
    }

    /// The set under which a claim is to be asked anew, if it is.
    fn take_due_retry(&self, id: u64) -> Option<u64> {
        let mut open = self.open.borrow_mut();
        let open = open.get_mut(&id)?;
        std::mem::take(&mut open.is_retry_due).then(|| open.proposal.set_number())
    }

    /// Asks all voters that are in reach and have not replied; how many that are.
    fn send(&self, claim: &Claim) -> usize {
        let open = self.open.borrow();
        let Some(open) = open.get(&claim.id) else { return 0 };
        let voters = self.replicas.voters();
        let outstanding =
            voters.iter().enumerate().filter(|(position, _)| open.proposal.is_outstanding(*position));
        let senders = outstanding.filter_map(|(_, address)| self.replicas.sender(address));
        senders.filter(|sender| sender.send(Payload::Claim(claim.clone()))).count()
    }

    /// Claims that wait for voters.
    pub fn open_count(&self) -> usize {
        self.open.borrow().len()
    }

    /// A voter's reply came.
    pub fn on_reply(&self, reply: ClaimReply) {
        let mut open = self.open.borrow_mut();
        let Some(open) = open.get_mut(&reply.id) else { return };
        open.is_retry_due |= reply.reconfiguring;
        open.proposal.on_reply(reply);
        let outcome = open.proposal.outcome(false);
        if outcome != Outcome::Pending
            && let Some(waiting) = open.waiting.take()
        {
            // Whoever waited may have given up.
            let _ = waiting.send(outcome);
        }
    }

    /// Another voter set is decided: open claims are asked anew of the new voters.
    pub fn on_set_changed(&self, set_number: u64, voters: usize) {
        for open in self.open.borrow_mut().values_mut() {
            open.proposal.on_set_changed(set_number, voters);
            open.is_retry_due = true;
        }
    }

    /// Takes a claim back: it has not run and never will.
    pub fn withdraw(&self, key: &str, ticket: Ticket) {
        let withdrawal = WithdrawClaim { key: key.to_string(), ticket: Some(ticket) };
        self.replicas.send_to_all(&Payload::WithdrawClaim(withdrawal));
    }
}
