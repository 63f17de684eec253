//! Requests that wait for a slot at the backend here: the tasks behind [`crate::admission`]'s decisions.
//!
//! A [`Slot`] is a value. One is made where admission counts a request as in flight, handed to whoever is let in, and given back by its drop,
//! whoever holds it then. Nothing else gives a slot back, so the count is what is in flight (`tests/backend_queue.rs`).
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use notchspool::units::Micros;
use tokio::sync::oneshot;

use crate::admission::{Candidate, Decision, QueueTicket};
use crate::context::{Context, within};
use crate::local_backend::LocalBackend;
use crate::work_kind::WorkKind;

/// The queue before the backend of this machine.
pub struct BackendQueue {
    context: Rc<Context>,
    backend: Rc<LocalBackend>,
    /// Who waits. Whoever is let in is handed its slot; for others the sender is dropped.
    waiting: RefCell<HashMap<QueueTicket, oneshot::Sender<Slot>>>,
}

/// A slot at the backend.
pub struct Slot {
    queue: Rc<BackendQueue>,
    kind: WorkKind,
    /// How long the backend took, where it answered.
    took: Option<Micros>,
}

impl Slot {
    /// The backend answered after this time.
    pub fn set_took(&mut self, took: Micros) {
        self.took = Some(took);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.queue.context.now();
        let next = self.queue.backend.admission().release(now, self.kind, self.took);
        self.queue.admit_waiting(next);
    }
}

/// A place in the queue, left whatever becomes of the request. Who was let in, displaced or sent away is not queued any more.
struct QueuePlace {
    queue: Rc<BackendQueue>,
    ticket: QueueTicket,
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        let is_queued = self.queue.waiting.borrow_mut().remove(&self.ticket).is_some();
        if is_queued {
            self.queue.backend.admission().cancel(self.queue.context.now(), self.ticket);
        }
    }
}

impl BackendQueue {
    /// Nobody waits. Slots are those of `backend`.
    pub fn new(context: Rc<Context>, backend: Rc<LocalBackend>) -> BackendQueue {
        BackendQueue { context, backend, waiting: RefCell::default() }
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// There is none for it: when to come back, or no time where it was queued and its wait has ended without one.
    pub async fn enter(self: &Rc<BackendQueue>, candidate: Candidate) -> Result<Slot, Micros> {
        let now = self.context.now();
        let admission = self.backend.admission().admit(now, candidate);
        if let Some(displaced) = admission.displaced {
            // Its wait ends without a slot, and it has none to give back.
            drop(self.waiting.borrow_mut().remove(&displaced));
            self.context.count("displaced");
        }
        match admission.decision {
            Decision::Admitted => Ok(Slot { queue: self.clone(), kind: candidate.kind, took: None }),
            Decision::Rejected(retry_after) => Err(retry_after),
            Decision::Queued(ticket) => {
                self.wait(ticket, candidate.kind, candidate.deadline - now).await.ok_or(Micros(0))
            }
        }
    }

    async fn wait(
        self: &Rc<BackendQueue>,
        ticket: QueueTicket,
        kind: WorkKind,
        timeout: Micros,
    ) -> Option<Slot> {
        let (sender, admitted) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, sender);
        let _place = QueuePlace { queue: self.clone(), ticket };
        let mut slot = within(timeout, admitted).await?.ok()?;
        slot.kind = kind;
        Some(slot)
    }

    /// Lets those begin that wait, as far as there is room.
    fn admit_waiting(self: &Rc<BackendQueue>, next: Option<QueueTicket>) {
        let mut next = next;
        while let Some(ticket) = next {
            let slot = Slot { queue: self.clone(), kind: WorkKind::default(), took: None };
            let waiting = self.waiting.borrow_mut().remove(&ticket);
            // Where nobody waits any more the slot is given back here.
            drop(waiting.map(|waiting| waiting.send(slot)));
            next = self.backend.admission().admit_next(self.context.now());
        }
    }

    /// Whoever waits is sent away.
    pub fn clear(&self) {
        let waiting = self.waiting.take();
        let now = self.context.now();
        waiting.keys().for_each(|ticket| self.backend.admission().cancel(now, *ticket));
    }
}
