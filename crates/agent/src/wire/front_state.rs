//! What all fronts and listeners of an agent share.
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use notchspool::units::Micros;

use super::client_connections::{ClosingSchedule, IdlePolicy};
use crate::base::clock::Clock;
use crate::base::limits::SharedLimits;
use crate::base::stall_detector::StallDetector;
use crate::state::counters::Counters;

/// Kept clear of a deadline for the way back.
pub const ANSWER_MARGIN: Micros = Micros::ms(5);
/// The client is told to come back after this where there was no room.
pub const RETRY_SOON: Micros = Micros::ms(50);
/// Idle connections are closed between these times after clients were sent away. Whoever sends clients has heard by the first; at the last
/// nothing may begin any more that would not be over 2 s later.
const DRAINING_SCHEDULE: ClosingSchedule =
    ClosingSchedule { first: Micros::ms(500), last: Micros::ms(1_900) };
/// The same after a newer process took over: from a fraction of the longest deadline to so long after it. The later, the fewer of them are left for
/// a request to cross the close. The platform kills 0.7 s after the longest deadline; what comes last is answered before.
const TAKEN_OVER_FIRST_FRACTION: f64 = 0.4;
const TAKEN_OVER_LAST: Micros = Micros::ms(200);
const LAST_ANSWER: Micros = Micros::ms(550);
/// What discovery wrote while the process stood still is read within this.
const LISTS_FIRST: Duration = Duration::from_millis(20);

/// See the module.
pub struct FrontState {
    /// The clock.
    pub clock: Clock,
    /// Notices that the process stood still.
    pub stalls: Rc<StallDetector>,
    /// The counters.
    pub counters: Rc<Counters>,
    /// The limits of the process.
    pub limits: SharedLimits,
    /// No request is waited for longer, whatever it says: it would use capacity as long. An orderly end waits for this.
    pub max_deadline: Rc<Cell<Micros>>,
    /// Bytes of requests that came in part.
    pub partial_request_bytes: Cell<usize>,
    /// When the agent was asked to end: every answer then closes its connection.
    pub ending_since: Cell<Option<Micros>>,
    /// Since when clients are sent away by hand, with the same effect; all is as before once they are taken again.
    pub draining_since: Cell<Option<Micros>>,
    /// Clients are served: a process that takes over waits for a fresh list first.
    pub is_serving: Cell<bool>,
    /// The listening socket is the platform's, and a newer process accepts from it: at the end this one accepts no more.
    pub is_socket_inherited: bool,
}

impl FrontState {
    /// Clients are sent away from now on, if they are not already.
    pub fn begin_draining(&self) {
        if self.draining_since.get().is_none() {
            self.draining_since.set(Some(self.clock.now()));
        }
    }

    /// When a request that has just been read can have come. One that lay unread while the process stood still counts from when the stall
    /// began: its client may have left since, and its time may be over. The lists that lay unread come first: it must not go where by now
    /// nothing may go.
    pub async fn arrival_time(&self) -> Micros {
        let now = self.clock.now();
        let Some(stalled_since) = self.stalls.resuming_from(now) else { return now };
        self.counters.add("came_in_a_pause");
        actix_rt::time::sleep(LISTS_FIRST).await;
        stalled_since
    }

    /// Whether answers close their connections.
    pub fn closes_connections(&self) -> bool {
        self.ending_since.get().is_some() || self.draining_since.get().is_some()
    }

    /// When the last answer must be out, where the process ends beside a newer one.
    pub fn last_answer(&self) -> Option<Micros> {
        let ending_since = self.ending_since.get().filter(|_| self.is_socket_inherited);
        ending_since.map(|since| since + self.max_deadline.get() + LAST_ANSWER)
    }

    /// How idle connections are to be closed now.
    pub fn idle_policy(&self) -> IdlePolicy {
        let now = self.clock.now();
        match (self.ending_since.get(), self.draining_since.get()) {
            (Some(_), _) if !self.is_socket_inherited => IdlePolicy::CloseAllButFresh,
            (Some(since), _) => {
                let max_deadline = self.max_deadline.get();
                let schedule = ClosingSchedule {
                    first: max_deadline.times(TAKEN_OVER_FIRST_FRACTION),
                    last: max_deadline + TAKEN_OVER_LAST,
                };
                IdlePolicy::CloseGradually { elapsed: now - since, schedule }
            }
            (None, Some(since)) => {
                IdlePolicy::CloseGradually { elapsed: now - since, schedule: DRAINING_SCHEDULE }
            }
            (None, None) => IdlePolicy::Keep,
        }
    }

    /// The counters, and how often the process stood still.
    pub fn counters_page(&self) -> String {
        self.counters.page() + &format!("pauses {}\n", self.stalls.stalls())
    }
}
