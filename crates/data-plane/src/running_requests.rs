//! Requests that the backend of this machine works on, by their attempt ids, and the calls that it makes for them.
//!
//! A backend names each call that it makes for a request by that request's attempt id, a separator and more. So a request that begins on this
//! machine, under the id of one that the backend here works on, is known to be a call, whoever says what. Where a backend names its calls
//! otherwise, they are served like requests of clients.
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use notchspool::units::Micros;

/// Separators in an attempt id that are looked at, from its end.
const MAX_SEPARATORS: usize = 8;

/// For whom a request is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Origin {
    /// How many requests wait for this one to be done; 0 for a client's own.
    pub call_depth: u32,
    /// The priority of the client's request; 0 is the highest.
    pub priority: u32,
    /// Until when the response to the client has its full value.
    pub target_at: Micros,
}

struct Running {
    origin: Origin,
    /// The same attempt may be at work twice.
    count: usize,
    /// A call made for it was answered with a failure.
    call_failed: bool,
}

/// What the backend works on.
#[derive(Default)]
pub struct RunningRequests(RefCell<HashMap<String, Running>>);

impl RunningRequests {
    /// The backend begins to work on a request, until the guard is dropped.
    pub fn begin(self: &Rc<RunningRequests>, attempt_id: &str, origin: Origin) -> RunningGuard {
        let mut running = self.0.borrow_mut();
        let entry = running.entry(attempt_id.to_string());
        entry.or_insert(Running { origin, count: 0, call_failed: false }).count += 1;
        RunningGuard { requests: self.clone(), attempt_id: attempt_id.to_string() }
    }

    /// How many requests the backend works on.
    pub fn count(&self) -> usize {
        self.0.borrow().values().map(|running| running.count).sum()
    }

    /// Where this attempt is a call for a request that the backend works on: for whom it is served.
    pub fn origin_of_call(&self, attempt_id: &str) -> Option<Origin> {
        let running = self.0.borrow();
        let caller = callers(attempt_id).find_map(|caller| running.get(caller))?;
        Some(Origin { call_depth: caller.origin.call_depth + 1, ..caller.origin })
    }

    /// This attempt was answered with a failure; where it was a call, its caller can't do better.
    pub fn on_call_failed(&self, attempt_id: &str) {
        let mut running = self.0.borrow_mut();
        let caller = callers(attempt_id).find(|caller| running.contains_key(*caller));
        if let Some(running) = caller.and_then(|caller| running.get_mut(caller)) {
            running.call_failed = true;
        }
    }
}

/// The attempt ids under which this one may be a call, the nearest first.
fn callers(attempt_id: &str) -> impl Iterator<Item = &str> {
    let separators = attempt_id.rmatch_indices(|c: char| !c.is_ascii_alphanumeric());
    separators.take(MAX_SEPARATORS).map(|(at, _)| &attempt_id[..at])
}

/// A request that the backend works on.
pub struct RunningGuard {
    requests: Rc<RunningRequests>,
    attempt_id: String,
}

impl RunningGuard {
    /// Whether a call that was made for it has failed.
    pub fn has_failed_call(&self) -> bool {
        self.requests.0.borrow().get(&self.attempt_id).is_some_and(|running| running.call_failed)
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        let mut running = self.requests.0.borrow_mut();
        let Some(entry) = running.get_mut(&self.attempt_id) else { return };
        entry.count -= 1;
        if entry.count == 0 {
            running.remove(&self.attempt_id);
        }
    }
}
