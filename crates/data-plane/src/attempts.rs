//! What becomes of one request of a client after each attempt, without I/O. [`Attempts::apply`] is the one function that changes it.
//!
//! Invariants (`tests/attempts.rs`): what must not be repeated goes nowhere else once it may have run; 503 is answered only to what has not
//! run and never will, or may be repeated anyway; attempts that reach backends past the first are paid for from the retry budget, and there
//! are no more of them than the route allows.
use notchspool::units::Micros;
use notchspool_mesh_protocol::{Response, Ticket, Verdict};

/// With less time left nobody asks whether a key was claimed.
const MIN_TIME_FOR_FENCE: Micros = Micros::ms(60);
/// Proxies that may refuse one request before it is given up.
pub const MAX_REFUSALS: u32 = 4;
/// And where many requests are refused.
pub const MAX_REFUSALS_CROWDED: u32 = 2;
/// And a call: whoever made it can only fail without it, and does not come back.
pub const MAX_CALL_REFUSALS: u32 = 10;
/// When a refused client is to come back, where nobody told.
const DEFAULT_RETRY_AFTER: Micros = Micros::ms(60);

/// What a request's route allows.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// It may run more than once.
    pub idempotent: bool,
    /// Backends to which it may be sent at most.
    pub max_attempts: u32,
    /// Proxies that may refuse it before it is given up.
    pub max_refusals: u32,
    /// It is answered by this.
    pub deadline: Micros,
    /// Of a keyed operation: its claim.
    pub ticket: Option<Ticket>,
}

/// What happened to a request.
pub enum Event<'a> {
    /// A backend was picked: it is to be sent there now.
    Picked,
    /// There is no backend to which it can be sent.
    NoBackend,
    /// This proxy ends: a response might come too late to be passed on.
    ProxyEnds,
    /// This came of the attempt.
    Response(&'a Response),
    /// A claim for its key was made with this ticket, in place of the one that was sent.
    Fence {
        /// That ticket.
        ticket: Ticket,
        /// Whether it was granted.
        granted: bool,
    },
}

/// What is to be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send it.
    Send {
        /// The attempt's number, from 0.
        attempt: u32,
        /// Under which its key is claimed.
        ticket: Option<Ticket>,
    },
    /// Claim its key with another ticket: where that is granted, the first attempt has not run and never will.
    Fence,
    /// It may be sent elsewhere.
    Retry,
    /// What came is the answer.
    Relay,
    /// 503: it has not run and never will.
    Reject,
    /// 502, or 504 where its time is over: it may have run.
    Unanswered {
        /// Its time is over.
        timed_out: bool,
    },
    /// 409: a request with its key is running.
    InProgress,
    /// 502: a request with its key ran, and the response is lost.
    ResponseLost,
    /// Another proxy has the response of its key.
    FetchFromHolder,
}

/// The attempts of one request.
#[derive(Debug)]
pub struct Attempts {
    policy: RetryPolicy,
    sent: u32,
    /// Attempts that reached a backend, or may have.
    arrivals: u32,
    /// One more arrival is paid for.
    is_paid: bool,
    refusals: u32,
    may_have_run: bool,
    /// The last reason why there was no answer.
    pub reason: String,
    /// When a refused client is to come back.
    pub retry_after: Micros,
}

impl Attempts {
    /// A request that was not sent yet.
    pub fn new(policy: RetryPolicy) -> Attempts {
        Attempts {
            policy,
            sent: 0,
            arrivals: 0,
            is_paid: false,
            refusals: 0,
            may_have_run: false,
            reason: "no backend is in reach".into(),
            retry_after: DEFAULT_RETRY_AFTER,
        }
    }

    /// How many attempts were sent.
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// Takes an event. `try_spend` takes one more arrival from the service's retry budget, where there is room.
    pub fn apply(&mut self, now: Micros, event: Event<'_>, try_spend: &dyn Fn() -> bool) -> Action {
        match event {
            Event::Picked if now >= self.policy.deadline => {
                self.reason = "its time is over".into();
                self.give_up(now)
            }
            Event::Picked => {
                let attempt = self.sent;
                self.sent += 1;
                let ticket = self.policy.ticket.map(|ticket| Ticket { attempt, ..ticket });
                Action::Send { attempt, ticket }
            }
            Event::NoBackend => self.give_up(now),
            Event::ProxyEnds => {
                self.reason = "the proxy here ends".into();
                self.give_up(now)
            }
            Event::Fence { ticket, granted } => self.on_fence(now, ticket, granted, try_spend),
            Event::Response(response) => self.on_response(now, response, try_spend),
        }
    }

    fn on_fence(
        &mut self,
        now: Micros,
        ticket: Ticket,
        granted: bool,
        try_spend: &dyn Fn() -> bool,
    ) -> Action {
        // Where nobody takes it after all that is not promised to the client: the fence has to stand.
        self.may_have_run = true;
        self.arrivals += 1;
        if !granted {
            return self.on_may_have_run(now, try_spend);
        }
        // It may have arrived and been refused there: that counts for the route, and costs nothing of what all share.
        self.is_paid = true;
        self.policy.ticket = Some(ticket);
        self.on_not_run(now, false, try_spend)
    }

    fn on_response(&mut self, now: Micros, response: &Response, try_spend: &dyn Fn() -> bool) -> Action {
        let verdict = response.verdict();
        if verdict != Verdict::Answered {
            self.reason.clone_from(&response.reason);
        }
        let can_fence =
            verdict == Verdict::MayHaveRun && !response.reached_backend && self.policy.ticket.is_some();
        if can_fence && self.policy.deadline - now > MIN_TIME_FOR_FENCE {
            return Action::Fence;
        }
        if response.reached_backend || verdict == Verdict::MayHaveRun {
            self.arrivals += 1;
            self.is_paid = false;
        }
        match verdict {
            Verdict::Answered => self.on_answer(now, response, try_spend),
            Verdict::NotRun | Verdict::OtherInstance => {
                if response.retry_after_ms > 0 {
                    self.retry_after = Micros::ms(i64::from(response.retry_after_ms));
                }
                self.on_not_run(now, response.final_refusal, try_spend)
            }
            Verdict::InProgress => Action::InProgress,
            Verdict::ResponseLost => Action::ResponseLost,
            Verdict::HeldElsewhere => Action::FetchFromHolder,
            Verdict::MayHaveRun => {
                self.may_have_run = true;
                self.on_may_have_run(now, try_spend)
            }
        }
    }

    fn on_answer(&mut self, now: Micros, response: &Response, try_spend: &dyn Fn() -> bool) -> Action {
        let is_failure = response.status >= 500;
        // Where a call has failed another backend would fail, too: its whole work would only be done again.
        if is_failure && !response.call_failed && self.policy.idempotent && self.may_retry(now, try_spend) {
            self.may_have_run = true;
            self.reason = format!("status {}", response.status);
            return Action::Retry;
        }
        Action::Relay
    }

    /// Whether one more may be sent: past the first arrival each is paid for before it is sent, and one that did not arrive is not lost.
    fn may_retry(&mut self, now: Micros, try_spend: &dyn Fn() -> bool) -> bool {
        if now >= self.policy.deadline || self.arrivals >= self.policy.max_attempts.max(1) {
            return false;
        }
        self.is_paid = self.is_paid || self.arrivals == 0 || try_spend();
        self.is_paid
    }

    fn on_not_run(&mut self, now: Micros, is_final: bool, try_spend: &dyn Fn() -> bool) -> Action {
        self.refusals += 1;
        if is_final || self.refusals >= self.policy.max_refusals || !self.may_retry(now, try_spend) {
            return self.give_up(now);
        }
        Action::Retry
    }

    fn on_may_have_run(&mut self, now: Micros, try_spend: &dyn Fn() -> bool) -> Action {
        if self.policy.idempotent && self.may_retry(now, try_spend) {
            Action::Retry
        } else {
            self.give_up(now)
        }
    }

    fn give_up(&self, now: Micros) -> Action {
        match self.may_have_run {
            true => Action::Unanswered { timed_out: now >= self.policy.deadline },
            false => Action::Reject,
        }
    }
}
