//! A contender for one job, and its owner once it has the lease. It counts its lease from before it asked; the voters count from
//! after they answered. What the job keeps is written under its token, one batch after the other.
use std::collections::BTreeMap;

use notchspool::units::Micros;

use crate::round::{Round, Verdict};
use crate::{Answer, Ask, Ballot, ContenderId, Lease, OWNER, Owned, Space, Terms, Token, VoterId};

/// To whom, under which number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Post {
    pub to: VoterId,
    pub no: u64,
    pub ask: Ask,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// It owns the job: this is what the job keeps, from here on it may act.
    Opened { token: Token, entries: BTreeMap<String, String> },
    /// All writes up to this number are with a majority.
    Written(u64),
    /// It owns the job no more, and must not act.
    Lost(Why),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// Its lease ran out before it could renew.
    RanOut,
    /// A later owner's token was met.
    Overtaken(Token),
    LetGo,
}

/// What goes out, and what the host is to know.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Out {
    pub posts: Vec<Post>,
    pub events: Vec<Event>,
}

/// Safeguards taken out, for tests that show what they are for. Nothing else sets any.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Loose {
    /// The lease is counted from the answer.
    pub from_answer: bool,
    /// A state is opened as one voter alone tells it.
    pub no_majority: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Renew {
    Till(Micros),
    Preparing(Round),
    Accepting(Round),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    Preparing(Round),
    /// What was found is made firm before anything is built on it.
    Rewriting(Round),
    Open(Option<Round>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Own {
    record: Owned,
    ballot: Ballot,
    nth: u64,
    until: Micros,
    renew: Renew,
    state: State,
    entries: BTreeMap<String, String>,
    /// Written by the host and not yet on its way, and the number of the last.
    queue: BTreeMap<String, String>,
    last: u64,
    on_the_way: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Waiting(Micros),
    Preparing(Round),
    Accepting(Round, Owned),
    Owner(Box<Own>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Contender {
    pub id: ContenderId,
    name: String,
    at: String,
    job: String,
    terms: Terms,
    loose: Loose,
    stage: Stage,
    no: u64,
    round: u64,
    /// The last owner that was seen.
    seen: Option<Owned>,
}

/// A third of the lease, jittered by a chance in 0..1.
fn third(lease: Micros, draw: f64) -> Micros {
    lease.times(0.25 + 0.1 * draw)
}

impl Contender {
    pub fn new(
        id: ContenderId,
        name: &str,
        at: &str,
        job: &str,
        terms: Terms,
        now: Micros,
        draw: f64,
    ) -> Contender {
        let first = now + terms.turn.times(draw);
        Contender {
            id,
            name: name.into(),
            at: at.into(),
            job: job.into(),
            terms,
            loose: Loose::default(),
            stage: Stage::Waiting(first),
            no: 0,
            round: 0,
            seen: None,
        }
    }
    pub fn loosen(&mut self, loose: Loose) {
        self.loose = loose;
    }

    /// Its token while its lease runs and the job's state is open; asked before every effect. By its own clock alone.
    pub fn owns(&self, now: Micros) -> Option<Token> {
        match &self.stage {
            Stage::Owner(own) if now < own.until && matches!(own.state, State::Open(_)) => {
                Some(own.record.token)
            }
            _ => None,
        }
    }
    /// Till when its lease runs.
    pub fn until(&self) -> Option<Micros> {
        match &self.stage {
            Stage::Owner(own) => Some(own.until),
            _ => None,
        }
    }
    /// The last owner that this one has heard of.
    pub fn seen(&self) -> Option<&Owned> {
        match &self.stage {
            Stage::Owner(own) => Some(&own.record),
            _ => self.seen.as_ref(),
        }
    }

    fn owner_space(&self) -> Space {
        Space::Owner(self.job.clone())
    }
    fn state_space(&self) -> Space {
        Space::State(self.job.clone())
    }
    fn ask(&mut self, now: Micros, ask: Ask, out: &mut Out) -> Round {
        self.no += 1;
        for to in (0..self.terms.voters as u16).map(VoterId) {
            out.posts.push(Post { to, no: self.no, ask: ask.clone() });
        }
        Round::begin(self.no, ask, now, &self.terms)
    }
    fn ballot(&mut self) -> Ballot {
        self.round += 1;
        Ballot { token: Token(0), round: self.round, by: self.id }
    }
    fn beyond(&mut self, promised: Option<Ballot>) {
        self.round = self.round.max(promised.map_or(0, |b| b.round));
    }

    /// When `pass` has something to do at the latest.
    pub fn next(&self) -> Micros {
        match &self.stage {
            Stage::Waiting(at) => *at,
            Stage::Preparing(round) | Stage::Accepting(round, _) => round.next(),
            Stage::Owner(own) => {
                let renew = match &own.renew {
                    Renew::Till(at) => *at,
                    Renew::Preparing(round) | Renew::Accepting(round) => round.next(),
                };
                let state = match &own.state {
                    State::Preparing(round) | State::Rewriting(round) | State::Open(Some(round)) => {
                        round.next()
                    }
                    State::Open(None) => own.until,
                };
                own.until.min(renew).min(state)
            }
        }
    }

    /// After something that did not go: try again, the last owner sooner than others, none together.
    fn wait(&mut self, now: Micros, held: Option<Micros>, draw: f64) {
        let turn = self.terms.turn;
        let own = self.seen.as_ref().is_some_and(|o| o.name == self.name && !o.released);
        let spread = if own { turn.times(0.5 * draw) } else { turn + turn.times(2.0 * draw) };
        let spread = if held.is_none() { spread + self.terms.again } else { spread };
        self.stage = Stage::Waiting(now + held.unwrap_or_default() + spread);
    }

    fn lose(&mut self, now: Micros, why: Why, draw: f64, out: &mut Out) {
        if let Stage::Owner(own) = &self.stage {
            let record = own.record.clone();
            out.events.push(Event::Lost(why));
            self.overhear(record);
        }
        let rest = if why == Why::LetGo { Some(self.terms.lease) } else { None };
        self.wait(now, rest, draw);
    }

    /// A record that a contender writes came by. Only a hint for who looks for the owner, and for whose turn it is; the voters decide
    /// as ever.
    pub fn overhear(&mut self, record: Owned) {
        if self.seen.as_ref().is_none_or(|seen| seen.token <= record.token) {
            self.seen = Some(record);
        }
    }

    /// The owner was heard to let go: who waits for its lease need not. Only a hint; the voters decide as ever.
    pub fn let_go(&mut self, now: Micros, draw: f64) {
        if let Stage::Waiting(at) = &mut self.stage {
            let soon = now + self.terms.turn.times(0.1 + 0.5 * draw);
            *at = (*at).min(soon);
        }
    }

    /// Time goes on. `draw`: a chance in 0..1.
    pub fn pass(&mut self, now: Micros, draw: f64) -> Out {
        let mut out = Out::default();
        match &mut self.stage {
            Stage::Waiting(at) if *at <= now => {
                let (space, ballot) = (self.owner_space(), self.ballot());
                let round = self.ask(now, Ask::Prepare { space, ballot }, &mut out);
                self.stage = Stage::Preparing(round);
            }
            Stage::Waiting(_) => {}
            Stage::Preparing(round) | Stage::Accepting(round, _) => {
                let (over, opposed) = (now - round.began > self.terms.lease, round.opposed());
                let again = round.again(now, &self.terms);
                let (no, ask) = (round.no, round.ask.clone());
                match opposed {
                    Verdict::No { promised, held } if !again.is_empty() => {
                        self.beyond(promised);
                        self.wait(now, held.map(|h| h.1), draw);
                    }
                    _ if over => self.wait(now, None, draw),
                    _ => out.posts.extend(again.into_iter().map(|to| Post { to, no, ask: ask.clone() })),
                }
            }
            // Guards against an owner that can't renew: it stops by itself, whatever it is in the middle of.
            Stage::Owner(own) if now >= own.until => self.lose(now, Why::RanOut, draw, &mut out),
            Stage::Owner(own) => {
                let terms = self.terms;
                let rounds = [
                    match &mut own.renew {
                        Renew::Preparing(round) | Renew::Accepting(round) => Some(round),
                        Renew::Till(_) => None,
                    },
                    match &mut own.state {
                        State::Preparing(round) | State::Rewriting(round) | State::Open(Some(round)) => {
                            Some(round)
                        }
                        State::Open(None) => None,
                    },
                ];
                for round in rounds.into_iter().flatten() {
                    for to in round.again(now, &terms) {
                        out.posts.push(Post { to, no: round.no, ask: round.ask.clone() });
                    }
                }
                if matches!(own.renew, Renew::Till(at) if at <= now) {
                    self.renew(now, &mut out);
                }
            }
        }
        out
    }

    fn lease(&self) -> Option<Lease> {
        Some(Lease { by: self.id, span_us: self.terms.lease.0 })
    }

    fn renew(&mut self, now: Micros, out: &mut Out) {
        let (space, lease) = (self.owner_space(), self.lease());
        let Stage::Owner(own) = &mut self.stage else { return };
        own.nth += 1;
        let changes = vec![(OWNER.to_owned(), own.record.written())];
        let ask = Ask::Accept { space, ballot: own.ballot, nth: own.nth, changes, lease };
        let round = self.ask(now, ask, out);
        if let Stage::Owner(own) = &mut self.stage {
            own.renew = Renew::Accepting(round);
        }
    }

    /// An answer came. Answers to rounds that are over change nothing.
    pub fn hear(&mut self, now: Micros, draw: f64, from: VoterId, no: u64, answer: Answer) -> Out {
        let mut out = Out::default();
        // Guards against answers that lay in a buffer while this process stood still: first it looks whether it still owns.
        if self.until().is_some_and(|until| now >= until) {
            self.lose(now, Why::RanOut, draw, &mut out);
            return out;
        }
        match std::mem::replace(&mut self.stage, Stage::Waiting(now)) {
            Stage::Preparing(mut round) if round.no == no => {
                round.hear(from, answer);
                self.prepared(now, draw, round, &mut out);
            }
            Stage::Accepting(mut round, record) if round.no == no => {
                round.hear(from, answer);
                self.accepted(now, draw, round, record, &mut out);
            }
            Stage::Owner(own) => {
                self.stage = Stage::Owner(own);
                self.owner_hears(now, draw, from, no, answer, &mut out);
            }
            stage => self.stage = stage,
        }
        out
    }

    fn prepared(&mut self, now: Micros, draw: f64, round: Round, out: &mut Out) {
        match round.verdict(&self.terms) {
            Verdict::Open => self.stage = Stage::Preparing(round),
            Verdict::No { promised, held } => {
                self.beyond(promised);
                self.wait(now, held.map(|h| h.1), draw);
            }
            Verdict::Yes => {
                let last = round.merged().get(OWNER).and_then(|e| Owned::read(&e.value)).unwrap_or_default();
                let token = Token(last.token.0 + 1);
                let (name, at) = (self.name.clone(), self.at.clone());
                let record = Owned { token, by: self.id, name, at, released: false };
                self.seen = (last.token > Token(0)).then_some(last);
                let Ask::Prepare { space, ballot } = round.ask else { return };
                let changes = vec![(OWNER.to_owned(), record.written())];
                let ask = Ask::Accept { space, ballot, nth: 1, changes, lease: self.lease() };
                let round = self.ask(now, ask, out);
                self.stage = Stage::Accepting(round, record);
            }
        }
    }

    fn until_of(&self, round: &Round, now: Micros) -> Micros {
        if self.loose.from_answer { now + self.terms.lease } else { round.began + self.terms.lease }
    }

    fn accepted(&mut self, now: Micros, draw: f64, round: Round, record: Owned, out: &mut Out) {
        match round.verdict(&self.terms) {
            Verdict::Open => self.stage = Stage::Accepting(round, record),
            Verdict::No { promised, held } => {
                self.beyond(promised);
                self.wait(now, held.map(|h| h.1), draw);
            }
            Verdict::Yes => {
                let until = self.until_of(&round, now);
                let Ask::Accept { ballot, .. } = round.ask else { return };
                if now >= until {
                    return self.wait(now, None, draw);
                }
                let space = self.state_space();
                let state = Ballot { token: record.token, round: 1, by: self.id };
                let asked = self.ask(now, Ask::Prepare { space, ballot: state }, out);
                self.stage = Stage::Owner(Box::new(Own {
                    record,
                    ballot,
                    nth: 1,
                    until,
                    renew: Renew::Till(round.began + third(self.terms.lease, draw)),
                    state: State::Preparing(asked),
                    entries: BTreeMap::new(),
                    queue: BTreeMap::new(),
                    last: 1,
                    on_the_way: 0,
                }));
            }
        }
    }

    fn owner_hears(&mut self, now: Micros, draw: f64, from: VoterId, no: u64, answer: Answer, out: &mut Out) {
        let (terms, loose) = (self.terms, self.loose);
        let Stage::Owner(own) = &mut self.stage else { return };
        match &mut own.renew {
            Renew::Preparing(round) if round.no == no => {
                round.hear(from, answer);
                let (verdict, found) = (round.verdict(&terms), round.merged());
                let Ask::Prepare { ballot, .. } = round.ask else { return };
                match verdict {
                    Verdict::Open => {}
                    Verdict::No { promised, .. } => {
                        let at = now + terms.again;
                        own.renew = Renew::Till(at);
                        self.beyond(promised);
                    }
                    Verdict::Yes => {
                        let found = found.get(OWNER).and_then(|e| Owned::read(&e.value)).unwrap_or_default();
                        if found.token != own.record.token || found.by != self.id {
                            return self.lose(now, Why::Overtaken(found.token), draw, out);
                        }
                        own.ballot = ballot;
                        self.renew(now, out);
                    }
                }
            }
            Renew::Accepting(round) if round.no == no => {
                round.hear(from, answer);
                let (verdict, began) = (round.verdict(&terms), round.began);
                match verdict {
                    Verdict::Open => {}
                    Verdict::Yes => {
                        let from = if loose.from_answer { now } else { began };
                        own.until = own.until.max(from + terms.lease);
                        own.renew = Renew::Till(now.max(began + third(terms.lease, draw)));
                    }
                    // A contender was promised before the lease was with all of them: a higher ballot of our own, while
                    // the lease runs.
                    Verdict::No { promised, .. } => {
                        self.beyond(promised);
                        let (space, ballot) = (self.owner_space(), self.ballot());
                        let round = self.ask(now, Ask::Prepare { space, ballot }, out);
                        if let Stage::Owner(own) = &mut self.stage {
                            own.renew = Renew::Preparing(round);
                        }
                    }
                }
            }
            _ => self.state_hears(now, draw, from, no, answer, out),
        }
    }

    fn state_hears(&mut self, now: Micros, draw: f64, from: VoterId, no: u64, answer: Answer, out: &mut Out) {
        let (terms, loose) = (self.terms, self.loose);
        let Stage::Owner(own) = &mut self.stage else { return };
        let (State::Preparing(round) | State::Rewriting(round) | State::Open(Some(round))) = &mut own.state
        else {
            return;
        };
        if round.no != no {
            return;
        }
        round.hear(from, answer);
        let verdict = match round.verdict(&terms) {
            Verdict::Open if loose.no_majority => Verdict::Yes,
            verdict => verdict,
        };
        match verdict {
            Verdict::Open => return,
            // Nobody writes here but owners, so a higher promise is a later owner's.
            Verdict::No { promised, .. } => {
                let token = promised.unwrap_or_default().token;
                return self.lose(now, Why::Overtaken(token), draw, out);
            }
            Verdict::Yes => {}
        }
        match &own.state {
            State::Preparing(round) => {
                let found = round.merged();
                own.entries = found.into_iter().map(|(key, entry)| (key, entry.value)).collect();
                own.queue = own.entries.clone();
                if own.queue.is_empty() {
                    own.state = State::Open(None);
                    self.opened(out);
                } else {
                    self.send(now, out);
                }
            }
            State::Rewriting(_) => {
                own.state = State::Open(None);
                self.opened(out);
                self.send(now, out);
            }
            State::Open(_) => {
                out.events.push(Event::Written(own.on_the_way));
                own.state = State::Open(None);
                self.send(now, out);
            }
        }
    }

    fn opened(&mut self, out: &mut Out) {
        if let Stage::Owner(own) = &self.stage {
            out.events.push(Event::Opened { token: own.record.token, entries: own.entries.clone() });
        }
    }

    /// All that waits goes as one batch, all of it or nothing at each voter.
    fn send(&mut self, now: Micros, out: &mut Out) {
        let space = self.state_space();
        let Stage::Owner(own) = &mut self.stage else { return };
        if own.queue.is_empty() {
            return;
        }
        let opening = matches!(own.state, State::Preparing(_));
        let changes: Vec<(String, String)> = std::mem::take(&mut own.queue).into_iter().collect();
        let ballot = Ballot { token: own.record.token, round: 1, by: self.id };
        own.on_the_way = own.last;
        let ask = Ask::Accept { space, ballot, nth: own.last, changes, lease: None };
        let round = self.ask(now, ask, out);
        if let Stage::Owner(own) = &mut self.stage {
            own.state = if opening { State::Rewriting(round) } else { State::Open(Some(round)) };
        }
    }

    /// Writes these; the number whose `Written` says that they are with a majority. None where it does not own the job.
    pub fn write(&mut self, now: Micros, changes: BTreeMap<String, String>, out: &mut Out) -> Option<u64> {
        self.owns(now)?;
        let Stage::Owner(own) = &mut self.stage else { return None };
        own.last += 1;
        let nth = own.last;
        own.entries.extend(changes.clone());
        own.queue.extend(changes);
        if matches!(own.state, State::Open(None)) {
            self.send(now, out);
        }
        Some(nth)
    }

    /// It lets go: the next contender needs not wait for the lease to run out.
    pub fn release(&mut self, now: Micros, draw: f64) -> Out {
        let mut out = Out::default();
        let space = self.owner_space();
        if let Stage::Owner(own) = &mut self.stage {
            own.nth += 1;
            own.record.released = true;
            let changes = vec![(OWNER.to_owned(), own.record.written())];
            let lease = Some(Lease { by: self.id, span_us: 0 });
            let ask = Ask::Accept { space, ballot: own.ballot, nth: own.nth, changes, lease };
            self.ask(now, ask, &mut out);
            self.lose(now, Why::LetGo, draw, &mut out);
        }
        out
    }
}
