//! A request at the proxy beside its backend: the life that was meant, the door, the key, the backend. What is turned away here has not
//! run and never will.
use std::rc::Rc;

use notchspool::units::Micros;
use notchspool_mesh_protocol::{EndpointState, Request, Response, Ticket, Verdict};
use tokio::sync::oneshot;

use crate::door::{Admit, Comer};
use crate::dressing::Played;
use crate::house::House;
use crate::link::{Told, only};
use crate::operation::{self, Step};

/// Part of the drain's span after which nothing new begins at a backend that drains.
const DRAINED: f64 = 0.6;
/// Part of its aim for which a large answer may find the link at work.
const BACKLOG: f64 = 0.3;
/// Kept clear of the end of a request's time.
const MARGIN: Micros = Micros::ms(2);

/// A place in work; given back whatever becomes of the request.
struct Place {
    house: Rc<House>,
    kind: u32,
    took: Option<Micros>,
}

impl Drop for Place {
    fn drop(&mut self) {
        let next = self.house.door.borrow_mut().done(self.house.now(), self.kind, self.took);
        self.house.let_in(next);
    }
}

/// A place in the queue, left whatever becomes of the request.
struct Stand {
    house: Rc<House>,
    number: u64,
    called: bool,
}

impl Drop for Stand {
    fn drop(&mut self) {
        let waits = self.house.waiting.borrow_mut().remove(&self.number).is_some();
        if waits {
            self.house.door.borrow_mut().left(self.house.now(), self.number);
        } else if !self.called {
            // It was called and nobody came: the place goes to the next.
            drop(Place { house: self.house.clone(), kind: 0, took: None });
        }
    }
}

/// A claim that is not yet known to have led to anything; taken back where the request is dropped before it began.
struct Claim {
    house: Rc<House>,
    key: String,
    ticket: Ticket,
    since: Micros,
    open: bool,
}

impl Claim {
    fn not_run(&mut self) {
        if std::mem::take(&mut self.open) {
            let now = self.house.now();
            operation::not_begun(&mut self.house.coats.borrow_mut(), now, &self.key);
            self.house.withdraw(&self.key, self.ticket);
        }
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.not_run();
    }
}

impl House {
    fn let_in(&self, next: Option<u64>) {
        let mut next = next;
        while let Some(number) = next {
            let called = self.waiting.borrow_mut().remove(&number).is_some_and(|wait| wait.send(()).is_ok());
            next = match called {
                true => self.door.borrow_mut().next_one(self.now()),
                false => self.door.borrow_mut().done(self.now(), 0, None),
            };
        }
    }

    /// Why this request may not begin here now.
    fn astray(&self, ask: &Request) -> Option<(Verdict, &'static str)> {
        let beats = self.beats.borrow();
        let Some(own) = &beats.backend else {
            return Some((Verdict::NotRun, "no backend is known here yet"));
        };
        if own.heartbeat.instance != ask.instance || own.heartbeat.service != ask.service {
            return Some((Verdict::WrongInstance, "another backend is here"));
        }
        let ends = own.draining_since.map(|since| since + self.told.borrow().bounds.drain.times(DRAINED));
        match own.state {
            EndpointState::Left => Some((Verdict::WrongInstance, "it has left")),
            _ if ends.is_some_and(|ends| self.now() >= ends) => Some((Verdict::WrongInstance, "it drains")),
            _ => None,
        }
    }

    fn marked(&self, mut said: Response) -> Response {
        let (mut door, now) = (self.door.borrow_mut(), self.now());
        said.utilisation = 1 + (door.busy(now).clamp(0.0, 1.0) * 1_000.0) as u32;
        said.in_flight = door.in_work() as u32;
        said.queued = door.waiting() as u32;
        said
    }

    fn turned_away(&self, id: u64, why: &str, retry: Micros) -> Response {
        self.count("turned_away");
        let retry_ms = (retry.0 / 1000).clamp(0, 60_000) as u32;
        self.marked(Response { retry_after_ms: retry_ms, ..only(id, Verdict::NotRun, why) })
    }

    /// What is known here of a key that this life of the process holds.
    pub fn held(&self, id: u64, key: &str, holder_boot_id: u64) -> Response {
        if holder_boot_id != self.life {
            return only(id, Verdict::ResponseLost, "the process that held it has ended");
        }
        Response { id, ..operation::known(&self.coats.borrow(), key) }
    }

    /// Claims the key of an operation. Its claim, where it may go on; else what is answered.
    async fn claims(self: &Rc<House>, ask: &Request, ticket: Ticket) -> Result<Claim, Response> {
        let (id, since) = (ask.id, self.now());
        let age = Micros::ms(i64::from(ask.age_ms));
        let mut step = operation::arrives(&mut self.coats.borrow_mut(), since, &ask.key, age);
        let mut own = Claim { house: self.clone(), key: ask.key.clone(), ticket, since, open: false };
        if step == Step::Claim {
            own.open = true;
            step = operation::claimed(ticket, self.claim(&ask.key, ticket).await);
        }
        match step {
            Step::Enter => Ok(own),
            Step::Known(said) => Err(Response { id, ..said }),
            Step::Held { holder, holder_boot_id } => Err(Response {
                holder,
                holder_boot_id: holder_boot_id,
                ..only(id, Verdict::HeldElsewhere, "another has the key")
            }),
            Step::No { why, retry, ends, take_back } => {
                if ends {
                    self.count(if take_back { "claims_without_majority" } else { "claims_too_old" });
                }
                Err(Response { final_refusal: ends, ..self.turned_away(id, why, retry) })
            }
            Step::Claim => Err(only(id, Verdict::NotRun, "it is not claimed")),
        }
        // Where it does not go on its claim is taken back, as it is dropped.
    }

    /// Runs a request at the backend here, or says why not.
    pub async fn perform(self: Rc<House>, ask: Request) -> Told {
        let id = ask.id;
        let until = self.now() + Micros::ms(i64::from(ask.time_left_ms));
        if let Some((verdict, why)) = self.astray(&ask) {
            self.count("astray");
            return self.marked(only(id, verdict, why)).into();
        }
        if until - self.now() <= MARGIN {
            return self.turned_away(id, "its time is over", Micros(0)).into();
        }
        // Large answers stand before all else on a thin link: one more is begun only while they are soon worked off.
        let backlog = self.backlog(ask.latency_target_ms);
        if backlog > Micros::ms(i64::from(ask.latency_target_ms)).times(BACKLOG) {
            self.count("link_full");
            return self.turned_away(id, "the link is full", backlog).into();
        }
        let mut claim = None;
        if let (false, Some(ticket)) = (ask.key.is_empty(), ask.ticket) {
            match self.claims(&ask, ticket).await {
                Ok(own) => claim = Some(own),
                Err(said) => return said.into(),
            }
        }
        let aim = self.now() + Micros::ms(i64::from(ask.target_left_ms));
        let place =
            match self.enter(Comer { rank: ask.priority, kind: ask.latency_target_ms, aim, until }).await {
                Ok(place) => place,
                Err(retry) => return self.turned_away(id, "full", retry).into(),
            };
        // It may have changed while this one waited.
        if let Some((verdict, why)) = self.astray(&ask) {
            return self.marked(only(id, verdict, why)).into();
        }
        if until - self.now() <= MARGIN {
            return self.turned_away(id, "its time is over", Micros(0)).into();
        }
        if let Some(claim) = &mut claim {
            let window = self.told.borrow().bounds.key_window;
            let (now, since) = (self.now(), claim.since);
            if !operation::begins(&mut self.coats.borrow_mut(), now, &ask.key, since, window) {
                return self.turned_away(id, "the key is gone", Micros::ms(50)).into();
            }
            // From here on it goes to its end, whether anybody waits or not: its answer is kept.
            claim.open = false;
            let (house, task) = (self.clone(), ask.clone());
            let (done, wait) = oneshot::channel();
            tokio::task::spawn_local(async move {
                let said = house.clone().at_backend(place, &task, until).await.said;
                house.keep(&task, &said);
                // Whoever waited may have left.
                let _ = done.send(said);
            });
            return wait.await.unwrap_or_else(|_| only(id, Verdict::MayHaveRun, "it was dropped")).into();
        }
        self.at_backend(place, &ask, until).await
    }

    fn keep(&self, ask: &Request, said: &Response) {
        let back = operation::ended(&mut self.coats.borrow_mut(), self.now(), &ask.key, said);
        if let Some(ticket) = ask.ticket.filter(|_| back) {
            self.withdraw(&ask.key, ticket);
        }
    }

    async fn enter(self: &Rc<House>, comer: Comer) -> Result<Place, Micros> {
        let (now, until, kind) = (self.now(), comer.until, comer.kind);
        let (admit, out) = self.door.borrow_mut().admit(now, comer);
        if let Some(out) = out {
            // Its wait ends without a call.
            drop(self.waiting.borrow_mut().remove(&out));
            self.count("displaced");
        }
        match admit {
            Admit::Now => Ok(Place { house: self.clone(), kind, took: None }),
            Admit::No(retry) => Err(retry),
            Admit::Wait(number) => {
                let (called, wait) = oneshot::channel();
                self.waiting.borrow_mut().insert(number, called);
                let mut stand = Stand { house: self.clone(), number, called: false };
                match crate::house::within(until - now, wait).await {
                    Some(Ok(())) => {
                        stand.called = true;
                        Ok(Place { house: self.clone(), kind, took: None })
                    }
                    _ => Err(Micros(0)),
                }
            }
        }
    }

    async fn at_backend(self: Rc<House>, mut place: Place, ask: &Request, until: Micros) -> Told {
        let began = self.now();
        let Played { mut said, rest } = self.play(ask, until).await;
        let took = self.now() - began;
        match said.verdict() {
            Verdict::Answered => (place.took, said.backend_us) = (Some(took), took.0.max(0) as u64),
            Verdict::MayHaveRun => self.count("broke_off"),
            _ => {}
        }
        drop(place);
        Told { pipe: rest, ..self.marked(Response { id: ask.id, ..said }).into() }
    }
}
