//! What becomes of one request of a client after each try, without I/O: `Attempts::turn` is the one function that changes it. Held always:
//! what may not be repeated goes nowhere else once it may have run; 503 is said only of what has not run and never will, or may be
//! repeated anyway; arrivals at backends past the first are paid for, and no more than the route allows.
use notchspool::units::Micros;
use notchspool_mesh_protocol::{Response, Ticket, Verdict};

/// With less time left nobody asks whether a key was claimed.
const FENCE: Micros = Micros::ms(60);
/// Doors that may turn one request away before it is given up.
const MOST_REFUSALS: u32 = 4;
/// What is left for who is refused to come back.
const RETRY: Micros = Micros::ms(60);

#[derive(Clone, Copy, Debug)]
pub struct Terms {
    pub repeatable: bool,
    /// Backends to which it may be sent at most.
    pub most: u32,
    pub until: Micros,
    /// Of a keyed operation: its claim.
    pub ticket: Option<Ticket>,
}

pub enum Event<'a> {
    /// It is to be sent somewhere now.
    Post,
    /// That came of it.
    Came(&'a Response),
    /// A claim for its key was made with this ticket, in place of the one that was sent: whether it was granted.
    Fenced(Ticket, bool),
    /// There is nobody to whom it can be sent.
    Nobody,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send it, as the so many-th, with this ticket.
    Send(u32, Option<Ticket>),
    /// Claim its key with another ticket: where that is granted, the first one has not run and never will.
    Fence,
    /// It may be sent elsewhere.
    Again,
    /// What came is the answer.
    Relay,
    /// 503: it has not run and never will.
    Refuse,
    /// 502, or 504 where its time is over: it may have run.
    Unanswered { over: bool },
    /// 409: the key is at work.
    AtWork,
    /// 502: the key ran, and its answer is lost.
    Lost,
    /// Another proxy has the key's answer.
    FromHolder,
}

#[derive(Debug)]
pub struct Attempts {
    terms: Terms,
    posted: u32,
    arrivals: u32,
    /// One more arrival is paid for.
    paid: bool,
    refusals: u32,
    may_have_run: bool,
    /// The last reason why there was no answer, and when to come back.
    pub why: String,
    pub retry: Micros,
}

impl Attempts {
    pub fn open(terms: Terms) -> Attempts {
        Attempts {
            terms,
            posted: 0,
            arrivals: 0,
            paid: false,
            refusals: 0,
            may_have_run: false,
            why: "no backend is in reach".into(),
            retry: RETRY,
        }
    }

    pub fn posted(&self) -> u32 {
        self.posted
    }

    /// `spend` takes one more arrival from what the service may have, where there is room.
    pub fn turn(&mut self, now: Micros, event: Event, spend: &dyn Fn() -> bool) -> Next {
        match event {
            Event::Post if now >= self.terms.until => {
                self.why = "its time is over".into();
                self.ends(now)
            }
            Event::Post => {
                let turn = self.posted;
                self.posted += 1;
                Next::Send(turn, self.terms.ticket.map(|t| Ticket { attempt: turn, ..t }))
            }
            Event::Nobody => self.ends(now),
            Event::Fenced(ticket, granted) => {
                // Where nobody takes it after all that is not promised to the client: the fence has to stand.
                self.may_have_run = true;
                self.arrivals += 1;
                if !granted {
                    return self.may_have_run(now, spend);
                }
                // It may have arrived and been turned away there: that counts for the route, and costs nothing of what all share.
                self.paid = true;
                self.terms.ticket = Some(ticket);
                self.not_run(now, false, spend)
            }
            Event::Came(said) => self.came(now, said, spend),
        }
    }

    fn came(&mut self, now: Micros, said: &Response, spend: &dyn Fn() -> bool) -> Next {
        let verdict = said.verdict();
        let fence = verdict == Verdict::MayHaveRun && !said.reached_backend && self.terms.ticket.is_some();
        if verdict != Verdict::Answered {
            self.why.clone_from(&said.reason);
        }
        if fence && self.terms.until - now > FENCE {
            return Next::Fence;
        }
        if said.reached_backend || verdict == Verdict::MayHaveRun {
            (self.arrivals, self.paid) = (self.arrivals + 1, false);
        }
        match verdict {
            Verdict::Answered if said.status >= 500 && self.terms.repeatable && self.further(now, spend) => {
                (self.may_have_run, self.why) = (true, format!("status {}", said.status));
                Next::Again
            }
            Verdict::Answered => Next::Relay,
            Verdict::NotRun | Verdict::WrongInstance => {
                if said.retry_after_ms > 0 {
                    self.retry = Micros::ms(i64::from(said.retry_after_ms));
                }
                self.not_run(now, said.final_refusal, spend)
            }
            Verdict::InProgress => Next::AtWork,
            Verdict::ResponseLost => Next::Lost,
            Verdict::HeldElsewhere => Next::FromHolder,
            Verdict::MayHaveRun => {
                self.may_have_run = true;
                self.may_have_run(now, spend)
            }
        }
    }

    /// Whether one more may be sent: past the first arrival each is paid for before it is sent, and one that did not arrive is not lost.
    fn further(&mut self, now: Micros, spend: &dyn Fn() -> bool) -> bool {
        if now >= self.terms.until || self.arrivals >= self.terms.most.max(1) {
            return false;
        }
        self.paid = self.paid || self.arrivals == 0 || spend();
        self.paid
    }

    fn not_run(&mut self, now: Micros, ends: bool, spend: &dyn Fn() -> bool) -> Next {
        self.refusals += 1;
        if ends || self.refusals >= MOST_REFUSALS || !self.further(now, spend) {
            return self.ends(now);
        }
        Next::Again
    }

    fn may_have_run(&mut self, now: Micros, spend: &dyn Fn() -> bool) -> Next {
        if self.terms.repeatable && self.further(now, spend) { Next::Again } else { self.ends(now) }
    }

    fn ends(&self, now: Micros) -> Next {
        match self.may_have_run {
            true => Next::Unanswered { over: now >= self.terms.until },
            false => Next::Refuse,
        }
    }
}
