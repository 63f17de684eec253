//! The life of one connection to the backend here, without I/O. One function, `Connection::turn`, changes its state:
//!
//! ```text
//! Idle -ask-> Writing -written-> Waiting -head of ours-> Reading -whole-> Idle, or Over
//!             Writing -bytes-> Waiting, early       Waiting -head of another's-> Passing -whole-> Waiting
//! any -broke-> Over
//! ```
//!
//! A connection is used again only where nothing but whole answers, each to the request then open on it, ever came: what else came, came
//! early, or stands behind an answer ends it after the request that is open. So does a refusal: the same request may come again, with the
//! same id, and a refusal that came twice would be taken for the second one's. From the first byte written on, that request may have run
//! till an answer with its id says what became of it.
use notchspool::units::Micros;
use notchspool_mesh_protocol::{Response, Verdict};

/// Answers to other requests that are passed over in the place of the one due.
const MOST_ASTRAY: u32 = 4;

/// The id that an answer carries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Id {
    #[default]
    Missing,
    One(String),
    /// Two that differ, or none that can be read: it is nobody's.
    Garbled,
}

/// What the head of an answer says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    pub status: u16,
    pub id: Id,
    pub sealed: bool,
    /// It says that the request has not run.
    pub not_run: bool,
    pub encoded: bool,
}

/// What an answer with the request's own id, and whole, says of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    Answered,
    NotRun,
    /// Not run: another backend has the address.
    Elsewhere,
    /// No answer that can be passed on, and no word that it has not run.
    MayHaveRun(&'static str),
}

impl Word {
    /// The same as it goes to the proxy where the request began; `answer` is what the backend said.
    pub fn said(self, id: u64, answer: Response) -> Response {
        let only = |verdict: Verdict, arrived: bool, why: String| Response {
            id,
            verdict: verdict.into(),
            reached_backend: arrived,
            reason: why,
            ..Response::default()
        };
        match self {
            Word::Answered => {
                Response { id, verdict: Verdict::Answered.into(), reached_backend: true, ..answer }
            }
            // These were arrivals, if ones that were turned away.
            Word::NotRun => only(Verdict::NotRun, true, format!("status {}", answer.status)),
            Word::Elsewhere => only(Verdict::WrongInstance, true, "another backend has the address".into()),
            Word::MayHaveRun(why) => only(Verdict::MayHaveRun, true, why.into()),
        }
    }
}

impl Head {
    /// Statuses that promise that nothing ran are passed on only where the backend says so itself.
    pub fn word(&self) -> Word {
        match self.status {
            421 => Word::Elsewhere,
            400.. if self.not_run => Word::NotRun,
            _ if self.not_run => Word::MayHaveRun("a success that says that it has not run"),
            200..=299 if !self.sealed => Word::MayHaveRun("a success without the seal"),
            200..=299 if self.encoded => Word::MayHaveRun("an encoded body"),
            408 | 429 | 503 => Word::MayHaveRun("a promise without the word that it has not run"),
            _ => Word::Answered,
        }
    }

    fn turned_away(&self) -> bool {
        matches!(self.word(), Word::NotRun | Word::Elsewhere)
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// Till when it may be used.
    Idle(Micros),
    Writing,
    Waiting,
    Reading,
    /// An answer that is nobody's.
    Passing,
    Over,
}

/// What happened on it.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// A request wants it; `quiet`: nothing came since it was left, and it has not ended.
    Ask {
        now: Micros,
        attempt: &'a str,
        quiet: bool,
    },
    /// The request is written whole.
    Written,
    /// Bytes, or the end, came before it was written whole.
    Early,
    Head(&'a Head),
    /// The answer is read whole. Till when the backend lets the connection be used, and whether bytes stand behind.
    Whole {
        keep: Option<Micros>,
        surplus: bool,
    },
    /// Reset, closed, no answer at all, or given up here.
    Broke,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Write, or read on.
    Go,
    /// The connection ends. Not a byte of the request was written on it.
    Unused,
    /// What comes is the answer.
    Ours,
    /// What comes is nobody's answer: it is read and dropped.
    PassOver,
    /// It was turned away without its id, on a connection that never carried another request.
    TurnedAway(Word),
    /// The connection may be used till then.
    Keep(Micros),
    /// The connection ends.
    End,
    /// It ends, and what was asked on it may have run.
    MayHaveRun(&'static str),
}

#[derive(Clone, Debug)]
pub struct Connection {
    state: State,
    /// The open question.
    attempt: String,
    asked: u32,
    astray: u32,
    /// Nothing came yet that no request had asked for.
    clean: bool,
    /// The answer that is read turns the request away: it may come again, with the same id, and must not meet a second answer like this.
    turned_away: bool,
}

impl Connection {
    /// One that was just opened.
    pub fn fresh() -> Connection {
        Connection {
            state: State::Idle(Micros(i64::MAX)),
            attempt: String::new(),
            asked: 0,
            astray: 0,
            clean: true,
            turned_away: false,
        }
    }

    /// It carried another request before.
    pub fn reused(&self) -> bool {
        self.asked > 1
    }

    /// Unused at this time, and to be let go.
    pub fn past(&self, now: Micros) -> bool {
        !matches!(self.state, State::Idle(until) if now < until)
    }

    pub fn turn(&mut self, event: Event) -> Step {
        let (next, step) = match (&self.state, event) {
            (State::Idle(until), Event::Ask { now, attempt, quiet }) => {
                // On a new one a backend may say at once that it is full.
                if now >= *until || !(quiet || self.asked == 0) {
                    (State::Over, Step::Unused)
                } else {
                    self.attempt.clear();
                    self.attempt.push_str(attempt);
                    self.asked += 1;
                    (State::Writing, Step::Go)
                }
            }
            (_, Event::Ask { .. }) => (State::Over, Step::Unused),
            (State::Writing, Event::Written) => (State::Waiting, Step::Go),
            (State::Writing, Event::Early) => {
                self.clean = false;
                (State::Waiting, Step::Go)
            }
            (State::Waiting, Event::Head(head)) => self.head(head),
            (State::Reading, Event::Whole { keep, surplus }) => match keep {
                Some(until) if self.clean && !surplus && !self.turned_away => {
                    (State::Idle(until), Step::Keep(until))
                }
                _ => (State::Over, Step::End),
            },
            (State::Passing, Event::Whole { keep: Some(_), .. }) => (State::Waiting, Step::Go),
            (State::Passing, Event::Whole { keep: None, .. }) => {
                (State::Over, Step::MayHaveRun("an answer to another request, and the end"))
            }
            (State::Idle(_), _) => (State::Over, Step::End),
            _ => (State::Over, Step::MayHaveRun("the connection broke")),
        };
        self.state = next;
        step
    }

    fn head(&mut self, head: &Head) -> (State, Step) {
        match &head.id {
            Id::One(id) if *id == self.attempt => {
                self.turned_away = head.turned_away();
                (State::Reading, Step::Ours)
            }
            // Nobody else ever asked anything here.
            Id::Missing if head.turned_away() && self.asked == 1 && self.astray == 0 => {
                (State::Over, Step::TurnedAway(head.word()))
            }
            // Before the request is written whole nothing that is another's can be read over.
            _ if !self.clean && self.astray == 0 => {
                (State::Over, Step::MayHaveRun("an answer to another request, before this one was sent"))
            }
            _ => {
                (self.clean, self.astray) = (false, self.astray + 1);
                if self.astray > MOST_ASTRAY {
                    (State::Over, Step::MayHaveRun("too many answers to other requests"))
                } else {
                    (State::Passing, Step::PassOver)
                }
            }
        }
    }
}
