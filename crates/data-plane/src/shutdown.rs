//! The end of a proxy in order, without I/O. [`Shutdown::apply`] is the one function that changes its phase:
//!
//! ```text
//! Leaving -time-> Announced -time-> Draining -backend idle-> Closing -all idle-> Ended
//! any -the grace period is over-> Ended
//! ```
//!
//! The backend beside a proxy goes on when the proxy ends, and what it works on needs the proxy twice: for its answer, and for the calls
//! that it makes. So work for the backend is stopped first, calls are served for as long as any of it runs, and only then the connections of
//! clients and of the backend are closed.
//!
//! Invariants (`tests/shutdown.rs`): a phase is never left for an earlier one; `Ended` is reached with work in flight only at the end of the
//! grace period; once `Draining` is entered nothing new begins at the backend, so what is in flight there can only become less.
//!
//! Requests that began here and wait at other proxies are answered before the end: those are told of it ([`crate::response_cutoff`]), and refuse
//! what would not be answered in time.
use notchspool::units::Micros;

/// Callers are told to send nothing to the backend here this long after SIGTERM. Until they have heard, what comes is served.
const ANNOUNCE_AFTER: Micros = Micros::ms(1_300);
/// Callers have heard by then; what comes all the same is refused, and goes elsewhere at once.
const DRAIN_AFTER: Micros = Micros::ms(1_800);
/// The platform still sends clients here for this long after a proxy says that it is not ready.
pub const CLIENTS_SENT_FOR: Micros = Micros::ms(2_200);
/// Kept clear of the end of the grace period, at which the process is killed.
const GRACE_MARGIN: Micros = Micros::ms(700);
/// What another proxy refuses has to come back before the end, and to reach its client.
const ANSWER_MARGIN: Micros = Micros::ms(350);
/// Other proxies that have nothing open close their connections within this.
const PEERS_CLOSE_WITHIN: Micros = Micros::ms(500);

/// The end of a proxy, for those that take requests meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownEnd {
    /// What is not answered by then is cut off.
    pub at: Micros,
    /// Clients are still sent here by the platform.
    pub clients_are_sent: bool,
}

/// What a request needs to be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Need {
    /// Until when it may take.
    pub deadline: Micros,
    /// It can't be cut off without harm: its response is large, and would break off in the middle, or it must not be repeated.
    pub must_be_complete: bool,
}

impl KnownEnd {
    /// What another proxy sends later may not be passed on any more.
    pub fn answer_by(&self) -> Micros {
        self.at - ANSWER_MARGIN
    }

    /// Whether a request that has not been sent yet is not to be sent any more.
    pub fn is_too_late_to_send(&self, now: Micros) -> bool {
        now >= self.answer_by()
    }

    /// Whether a request may begin. What is certain to be over before the end may; what is not only while clients are sent here, who would
    /// be refused otherwise, and if it is likely to be over soon and does little harm where it is not.
    pub fn allows(&self, need: Need) -> bool {
        need.deadline <= self.at || (self.clients_are_sent && !need.must_be_complete)
    }
}

/// How far the end has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The platform is told that the proxy is not ready; all is served.
    Leaving,
    /// Callers are told to send nothing to the backend here; what comes is served.
    Announced,
    /// Nothing new begins at the backend here. What runs there goes on, and its calls are served.
    Draining,
    /// No connection is taken, and those that are idle are closed.
    Closing,
    /// The process may end.
    Ended,
}

/// What is in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InFlight {
    /// Something is at the backend here, on its way to it, or part of a response is to be sent.
    pub backend_busy: bool,
    /// Connections of clients and of the backend, and requests on them.
    pub clients: usize,
    /// Connections that other proxies opened.
    pub peers: usize,
}

/// The end of one proxy.
#[derive(Clone, Debug)]
pub struct Shutdown {
    phase: Phase,
    started_at: Micros,
    ends_at: Micros,
    /// Since when nothing but connections of other proxies is left.
    idle_since: Option<Micros>,
}

impl Shutdown {
    /// SIGTERM has come; SIGKILL follows after `grace`.
    pub fn new(now: Micros, grace: Micros) -> Shutdown {
        let ends_at = now + (grace - GRACE_MARGIN).max(Micros(0));
        Shutdown { phase: Phase::Leaving, started_at: now, ends_at, idle_since: None }
    }

    /// The end, as those that take requests have to know it.
    pub fn known_end(&self, now: Micros) -> KnownEnd {
        KnownEnd { at: self.ends_at, clients_are_sent: now < self.started_at + CLIENTS_SENT_FOR }
    }

    /// How far it has come.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Time has passed, and this is in flight now. The phase that is entered, if so; one at a time.
    pub fn apply(&mut self, now: Micros, in_flight: InFlight) -> Option<Phase> {
        let next = self.next_phase(now, in_flight)?;
        self.phase = next;
        Some(next)
    }

    fn next_phase(&mut self, now: Micros, in_flight: InFlight) -> Option<Phase> {
        if self.phase != Phase::Ended && now >= self.ends_at {
            return Some(Phase::Ended);
        }
        let is_past = |time: Micros| now >= self.started_at + time;
        match self.phase {
            Phase::Leaving => is_past(ANNOUNCE_AFTER).then_some(Phase::Announced),
            Phase::Announced => is_past(DRAIN_AFTER).then_some(Phase::Draining),
            Phase::Draining => {
                let is_idle = !in_flight.backend_busy;
                (is_idle && is_past(CLIENTS_SENT_FOR)).then_some(Phase::Closing)
            }
            Phase::Closing => self.is_over(now, in_flight).then_some(Phase::Ended),
            Phase::Ended => None,
        }
    }

    fn is_over(&mut self, now: Micros, in_flight: InFlight) -> bool {
        if in_flight.backend_busy || in_flight.clients > 0 {
            self.idle_since = None;
            return false;
        }
        let idle_since = *self.idle_since.get_or_insert(now);
        in_flight.peers == 0 || now - idle_since >= PEERS_CLOSE_WITHIN
    }
}
