//! Requests with a key: its claim, the run of the operation to its end, and what is known of it for repeats.
use std::rc::Rc;

use notchspool::units::Micros;
use notchspool_mesh_protocol::{Request, Response, Ticket, Verdict};
use tokio::sync::oneshot;

use super::{Arrival, Inbound};
use crate::backend_queue::Slot;
use crate::keyed_operation::{self, Decision};
use crate::peer_link::{PeerResponse, without_answer};
use crate::request_body::BodySource;

/// A claim that is not yet known to have led to anything; withdrawn where the request is dropped before it began.
pub(super) struct ClaimGuard {
    inbound: Rc<Inbound>,
    key: String,
    ticket: Ticket,
    claimed_at: Micros,
    is_armed: bool,
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        if self.is_armed {
            let now = self.inbound.context.now();
            keyed_operation::on_not_run(&mut self.inbound.operations.borrow_mut(), now, &self.key);
            self.inbound.claims.withdraw(&self.key, self.ticket);
        }
    }
}

/// An operation at the backend. Where its task ends without saying how, by a panic, it may have run: its key would be at work for good
/// otherwise.
struct RunningOperation {
    inbound: Rc<Inbound>,
    key: String,
    ticket: Option<Ticket>,
    has_ended: bool,
}

impl RunningOperation {
    fn new(inbound: &Rc<Inbound>, request: &Request) -> RunningOperation {
        let (key, ticket) = (request.key.clone(), request.ticket);
        RunningOperation { inbound: inbound.clone(), key, ticket, has_ended: false }
    }

    fn finish(mut self, response: &Response) {
        self.has_ended = true;
        self.inbound.on_keyed_finished(&self.key, self.ticket, response);
    }
}

impl Drop for RunningOperation {
    fn drop(&mut self) {
        if !self.has_ended {
            self.inbound.context.count("tasks_broke_off");
            let response = without_answer(0, Verdict::MayHaveRun, "the task of its run ended");
            self.inbound.on_keyed_finished(&self.key, self.ticket, &response);
        }
    }
}

impl Inbound {
    /// What is known here of a key that this run of the process holds.
    pub fn held_response(&self, id: u64, key: &str, holder_boot_id: u64) -> Response {
        if holder_boot_id != self.context.boot_id {
            return without_answer(id, Verdict::ResponseLost, "the process that held it has ended");
        }
        Response { id, ..keyed_operation::known_response(&self.operations.borrow(), key) }
    }

    /// Claims the key of an operation. Its claim, where it may go on; else what is answered, and the claim is withdrawn as it is dropped.
    pub(super) async fn claim(
        self: &Rc<Inbound>,
        request: &Request,
        ticket: Ticket,
    ) -> Result<ClaimGuard, Response> {
        let (id, key, claimed_at) = (request.id, request.key.clone(), self.context.now());
        let age = Micros::ms(i64::from(request.age_ms));
        let mut decision =
            keyed_operation::on_arrival(&mut self.operations.borrow_mut(), claimed_at, &key, age);
        let mut guard = ClaimGuard { inbound: self.clone(), key, ticket, claimed_at, is_armed: false };
        if decision == Decision::Claim {
            guard.is_armed = true;
            let outcome = self.claims.claim(&request.key, ticket).await;
            decision = keyed_operation::on_claim_outcome(ticket, outcome);
        }
        match decision {
            Decision::Proceed => Ok(guard),
            Decision::Known(response) => Err(Response { id, ..response }),
            Decision::HeldElsewhere { holder, holder_boot_id } => {
                let response = without_answer(id, Verdict::HeldElsewhere, "another has the key");
                Err(Response { holder, holder_boot_id, ..response })
            }
            Decision::Refuse { reason, retry_after, is_final, withdraw } => {
                if is_final {
                    self.context.count(if withdraw { "claims_without_majority" } else { "claims_too_old" });
                }
                Err(Response { final_refusal: is_final, ..self.refused(id, reason, retry_after) })
            }
            Decision::Claim => Err(without_answer(id, Verdict::NotRun, "it is not claimed")),
        }
    }

    /// Runs an operation whose key is claimed. From here on it goes to its end, whether anybody waits or not: its response is kept.
    pub(super) async fn run_keyed(
        self: Rc<Inbound>,
        slot: Slot,
        arrival: Arrival,
        body: BodySource,
        mut claim: ClaimGuard,
    ) -> PeerResponse {
        let request = &arrival.request;
        let id = request.id;
        let window = self.context.settings().bounds.key_window;
        let now = self.context.now();
        let begins = keyed_operation::begin(
            &mut self.operations.borrow_mut(),
            now,
            &request.key,
            claim.claimed_at,
            window,
        );
        if !begins {
            return self.refused(id, "the key is gone", Micros::ms(50)).into();
        }
        claim.is_armed = false;
        let (done, finished) = oneshot::channel();
        let operation = RunningOperation::new(&self, request);
        tokio::task::spawn_local(async move {
            let response = self.run(slot, &arrival, body).await.response;
            operation.finish(&response);
            // Whoever waited may have left.
            let _ = done.send(response);
        });
        let finished = finished.await;
        finished.unwrap_or_else(|_| without_answer(id, Verdict::MayHaveRun, "it was dropped")).into()
    }

    fn on_keyed_finished(&self, key: &str, ticket: Option<Ticket>, response: &Response) {
        let now = self.context.now();
        let withdraw = keyed_operation::on_finished(&mut self.operations.borrow_mut(), now, key, response);
        if let Some(ticket) = ticket.filter(|_| withdraw) {
            self.claims.withdraw(key, ticket);
        }
    }
}
