//! Requests that begin on this machine: route, backend, verdict, answer. 429 and 503 are answered only where nothing ran nor will, or
//! where the request may be repeated anyway; what is given up is answered at once.
use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};
use notchspool::units::{BackendId, Fate, Micros, TxnRef};
use notchspool_idempotency::claim_proposal::Outcome as Claimed;
use notchspool_mesh_config::route_config::{Route, RouteKind};
use notchspool_mesh_protocol::{Header, Request as PeerRequest, Response as PeerResponse, Ticket, Verdict};

use crate::attempts::{Attempts, Event, Next, Terms};
use crate::company::Order;
use crate::dressing::{ATTEMPT, CALLER, KEY, TARGET, TIME_LEFT, of_one_connection};
use crate::house::{House, within};
use crate::link::{Told, only};
use crate::operation::NOT_HERE;
use crate::pipe;
use crate::standstill::FROZEN;

type Answer = Response<pipe::Answer>;

/// A client that names no time waits for this.
const USUAL: Micros = Micros::ms(30_000);
/// Requests in hand at most.
const MOST: usize = 4_000;

/// A request read whole.
struct Asked {
    method: String,
    target: String,
    host: String,
    headers: Vec<Header>,
    body: Bytes,
    attempt: String,
    key: String,
    /// Since when it stands here, and till when an answer has its full worth.
    began: Micros,
    aim: Micros,
}

/// A txn in hand; where it is dropped the client has left.
struct Hand {
    house: Rc<House>,
    service: String,
    txn: TxnRef,
    open: Cell<bool>,
}

impl Drop for Hand {
    fn drop(&mut self) {
        if self.open.get() {
            self.house.count("clients_left");
            self.house.company(&self.service, |c| c.left(self.house.now(), self.txn));
        }
    }
}

struct InHand(Rc<House>);
impl Drop for InHand {
    fn drop(&mut self) {
        self.0.in_hand.set(self.0.in_hand.get() - 1);
    }
}

fn plain(status: u16, why: &str) -> Answer {
    let mut answer = Response::new(pipe::Answer::Whole(Some(Bytes::from(format!("{why}\n")))));
    *answer.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    answer.headers_mut().insert("content-type", HeaderValue::from_static("text/plain"));
    answer
}

/// It has not run and never will: come back then.
fn refused(why: &str, retry: Micros) -> Answer {
    let mut answer = plain(503, why);
    let text = format!("{:.3}", retry.0.max(10_000) as f64 / 1e6);
    if let Ok(value) = HeaderValue::from_str(&text) {
        answer.headers_mut().insert("retry-after", value);
    }
    answer
}

/// The one value of a header that says what the request is; an empty one where there is none, nothing where it can't be told.
fn single(headers: &hyper::HeaderMap, name: &str) -> Option<String> {
    let mut all = headers.get_all(name).iter();
    let first = match all.next() {
        None => return Some(String::new()),
        Some(first) => first.to_str().ok()?,
    };
    all.all(|other| other == first).then(|| first.to_string())
}

/// `attempt`: the request's own id; what is kept for a key came with that of its first try.
fn relayed(told: Told, attempt: &str) -> Answer {
    let Told { said, pipe, taken } = told;
    let first = Some(said.body).filter(|b| !b.is_empty());
    let mut answer = Response::new(match pipe {
        None => pipe::Answer::Whole(first),
        Some(pipe) => pipe::Answer::Pieces { first, pipe, left: said.length, taken },
    });
    *answer.status_mut() = StatusCode::from_u16(said.status as u16).unwrap_or(StatusCode::BAD_GATEWAY);
    for pair in said.headers {
        let name = HeaderName::from_bytes(pair.name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_maybe_shared(pair.value)) {
            answer.headers_mut().append(name, value);
        }
    }
    if let Ok(own) = HeaderValue::from_str(attempt) {
        answer.headers_mut().insert(ATTEMPT, own);
    }
    answer
}

impl House {
    /// One request of a client or of the backend on this machine.
    pub async fn serve(self: Rc<House>, request: Request<Incoming>) -> Answer {
        let Some(script) = self.script.borrow().clone() else {
            self.count("no_configuration");
            return refused("no configuration is known here yet", Micros::ms(200));
        };
        if self.in_hand.get() >= MOST {
            self.count("in_hand_full");
            return refused("too many requests are in hand here", Micros::ms(300));
        }
        self.in_hand.set(self.in_hand.get() + 1);
        let _in_hand = InHand(self.clone());
        // Where this process stood still the request may have come as long ago.
        let (now, age) = (self.now(), self.runs());
        let began = now - age;
        let (head, body) = request.into_parts();
        let text =
            |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default().to_string();
        let host = match text("host") {
            host if host.is_empty() => head.uri.host().unwrap_or_default().to_string(),
            host => host,
        };
        let Some(route) = script.route(&host, head.uri.path()) else {
            self.count("no_route");
            return plain(404, "no route leads there");
        };
        let left = text(TIME_LEFT)
            .parse::<i64>()
            .ok()
            .filter(|ms| *ms > 0)
            .map_or(USUAL, |ms| Micros::ms(ms.min(600_000)));
        let until = if age >= FROZEN { began } else { now } + left.min(route.timeout);
        let mut headers = Vec::new();
        let named = text("connection").to_ascii_lowercase();
        for (name, value) in &head.headers {
            let own = matches!(name.as_str(), "host" | TIME_LEFT | TARGET | CALLER | "expect");
            let listed = !named.is_empty() && named.split(',').any(|n| n.trim() == name.as_str());
            if !own && !listed && !of_one_connection(name.as_str()) {
                headers
                    .push(Header { name: name.to_string(), value: Bytes::copy_from_slice(value.as_bytes()) });
            }
        }
        let Some(attempt) = single(&head.headers, ATTEMPT).filter(|id| !id.is_empty()) else {
            return plain(400, "a request needs its Notchspool-Attempt-Id, and one");
        };
        let Some(key) = single(&head.headers, KEY) else {
            return plain(400, "the Notchspool-Operation-Key can't be told");
        };
        let limit = script.limits.max_body_bytes;
        let body = match Limited::new(body, limit).collect().await {
            Ok(body) => body.to_bytes(),
            Err(e) if e.is::<LengthLimitError>() => return plain(413, "the body is over the limit"),
            Err(_) => return plain(400, "the body was cut short"),
        };
        let target = head.uri.path_and_query().map_or("/", |p| p.as_str()).to_string();
        let method = head.method.to_string();
        let aim = now + route.latency_target;
        let asked = Asked { method, target, host, headers, body, attempt, key, began, aim };
        let route = route.clone();
        self.route(&route, asked, until).await
    }

    async fn route(self: &Rc<House>, route: &Route, asked: Asked, until: Micros) -> Answer {
        let service = route.pick_service(self.dart()).to_string();
        let txn = TxnRef(self.number());
        let hand = Hand { house: self.clone(), service: service.clone(), txn, open: Cell::new(true) };
        let orders = self.company(&service, |c| c.take(self.now(), txn, route, until));
        let answer = self.see_through(route, &service, txn, asked, until, orders).await;
        hand.open.set(false);
        answer
    }

    /// Sends it where the module wants it, as long as `Attempts` lets it go on, to its answer.
    async fn see_through(
        self: &Rc<House>,
        route: &Route,
        service: &str,
        txn: TxnRef,
        asked: Asked,
        until: Micros,
        mut orders: Vec<Order>,
    ) -> Answer {
        let keyed = route.kind == RouteKind::Keyed && !asked.key.is_empty();
        let ticket = keyed.then_some(Ticket { boot_id: self.life, number: txn.0, attempt: 0 });
        let (repeatable, most) = (route.kind.is_idempotent(), route.max_attempts);
        let mut attempts = Attempts::open(Terms { repeatable, most, until, ticket });
        let spend = || self.company(service, |c| c.purse.spend());
        // A failure that is answered where no other backend is found.
        let mut failed: Option<Told> = None;
        loop {
            let order = orders.iter().find(
                |o| matches!(o, Order::Post(t, _) | Order::Decline(t, _) | Order::Reverse(t) if *t == txn),
            );
            let to = match order {
                Some(Order::Post(_, to)) => Some(*to),
                _ => None,
            };
            let next =
                attempts.turn(self.now(), if to.is_some() { Event::Post } else { Event::Nobody }, &spend);
            let (to, number, ticket) = match (to, next) {
                (Some(to), Next::Send(number, ticket)) => (to, number, ticket),
                (to, next) => {
                    if to.is_some() {
                        let now = self.now();
                        let (number, never) = (attempts.posted(), Fate::NeverSent);
                        self.company(service, |c| c.returned(now, txn, number, never, Micros(0), true));
                    }
                    return match failed.take() {
                        Some(told) => relayed(told, &asked.attempt),
                        None => self.given_up(route, &asked, &attempts, next, until),
                    };
                }
            };
            failed = None;
            let began = self.now();
            let told = self.post(route, service, to, &asked, until, ticket).await;
            let (now, took) = (self.now(), self.now() - began);
            let told = told.unwrap_or_else(|| only(0, Verdict::MayHaveRun, "no answer in time").into());
            let said = &told.said;
            self.company(service, |c| c.reported(now, to, said.utilisation));
            let mut verdict = said.verdict();
            let mut next = attempts.turn(now, Event::Came(said), &spend);
            if next == Next::Fence {
                let fence = Ticket { boot_id: self.life, number: self.number(), attempt: number };
                let granted = self.claim(&asked.key, fence).await == Claimed::Granted;
                if granted {
                    self.count("fenced");
                    verdict = Verdict::NotRun;
                }
                next = attempts.turn(self.now(), Event::Fenced(fence, granted), &spend);
            }
            let now = self.now();
            // A door that is full speaks of load, which it reports, and not of illness.
            let fate = match verdict {
                Verdict::Answered if said.status >= 500 => Fate::Errored,
                Verdict::Answered => Fate::Settled,
                Verdict::WrongInstance => Fate::TurnedAway,
                Verdict::NotRun if said.utilisation == 0 => Fate::NoLink,
                Verdict::MayHaveRun if now >= until => Fate::TimedOut,
                Verdict::MayHaveRun => Fate::Broken,
                _ => Fate::NeverSent,
            };
            let goes_on = next == Next::Again;
            orders = self.company(service, |c| c.returned(now, txn, number, fate, took, !goes_on));
            match next {
                Next::Again => match verdict {
                    Verdict::Answered => {
                        self.count("further_after_failure");
                        failed = Some(told);
                    }
                    Verdict::MayHaveRun => self.count("further_after_silence"),
                    _ => {}
                },
                Next::Relay => {
                    self.ended(false);
                    return relayed(told, &asked.attempt);
                }
                Next::FromHolder => return self.from_holder(said, &asked, until).await,
                next => return self.given_up(route, &asked, &attempts, next, until),
            }
        }
    }

    /// There is no answer of a backend.
    fn given_up(
        &self,
        route: &Route,
        asked: &Asked,
        attempts: &Attempts,
        next: Next,
        until: Micros,
    ) -> Answer {
        let why = &attempts.why;
        match next {
            Next::Refuse => {
                let (posted, left) = (attempts.posted(), until - self.now());
                self.count("declined");
                log::debug!(target: "lobby", "decline {} {} after {posted}: {why}, {left:?} left", route.name, asked.attempt);
                self.ended(true);
                refused(why, self.come_back(attempts.retry))
            }
            Next::AtWork => plain(409, "the operation is at work"),
            Next::Lost => plain(502, "the operation ran, and its answer is not known"),
            Next::Unanswered { over } => self.unanswered(route, why, over),
            _ => self.unanswered(route, why, false),
        }
    }

    /// It may have run, and there is no answer.
    fn unanswered(&self, route: &Route, why: &str, over: bool) -> Answer {
        self.count("unanswered");
        log::debug!(target: "lobby", "unanswered {}: {why}", route.name);
        plain(if over { 504 } else { 502 }, why)
    }

    /// The answer to a key that another proxy holds.
    async fn from_holder(self: &Rc<House>, held: &PeerResponse, asked: &Asked, until: Micros) -> Answer {
        let fetch = self.fetch(&held.holder, &asked.key, held.holder_boot_id);
        let said = within(until - self.now(), fetch).await;
        let Some(said) = said else { return plain(504, "the holder of the key does not answer") };
        match said.verdict() {
            Verdict::Answered => relayed(said.into(), &asked.attempt),
            Verdict::InProgress => plain(409, "the operation is at work"),
            // It has not run there in that life, and is taken back: the next try claims it anew.
            Verdict::NotRun if said.reason == NOT_HERE => refused(&said.reason, Micros::ms(50)),
            _ => plain(502, "the operation may have run, and its answer is not known"),
        }
    }

    #[allow(clippy::too_many_arguments)]
    async fn post(
        self: &Rc<House>,
        route: &Route,
        service: &str,
        to: BackendId,
        asked: &Asked,
        until: Micros,
        ticket: Option<Ticket>,
    ) -> Option<Told> {
        let found = self.company(service, |c| c.station(to).map(|s| (s.instance.clone(), s.proxy.clone())));
        // It has left the list since it was drawn: nothing was sent.
        let Some((instance, proxy)) = found else {
            return Some(only(0, Verdict::NotRun, "the backend is not listed any more").into());
        };
        let left = until - self.now();
        let ask = PeerRequest {
            id: self.number(),
            service: service.to_string(),
            instance,
            method: asked.method.clone(),
            target: asked.target.clone(),
            headers: asked.headers.clone(),
            body: asked.body.clone(),
            time_left_ms: (left.0 / 1000).clamp(1, 600_000) as u32,
            latency_target_ms: (route.latency_target.0 / 1000).clamp(1, 600_000) as u32,
            target_left_ms: ((asked.aim - self.now()).0 / 1000).clamp(0, 600_000) as u32,
            priority: route.priority,
            idempotent: route.kind.is_idempotent(),
            key: if ticket.is_some() { asked.key.clone() } else { String::new() },
            ticket,
            attempt_id: asked.attempt.clone(),
            caller: self.told.borrow().service.clone(),
            host: asked.host.clone(),
            age_ms: ((self.now() - asked.began).0 / 1000).clamp(0, 600_000) as u32,
        };
        within(left, self.ask(&proxy, ask)).await
    }
}
