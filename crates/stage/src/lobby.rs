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
use notchspool_cloakroom::round::Verdict as Claimed;
use notchspool_cues::{Ask, Pair, Said, Ticket, Verdict};
use notchspool_promptbook::script::{Route, RouteKind};

use crate::company::Order;
use crate::dressing::{ATTEMPT, CALLER, KEY, TARGET, TIME_LEFT, of_one_connection};
use crate::house::{House, within};
use crate::links::Told;
use crate::pipe;

type Answer = Response<pipe::Answer>;

/// A client that names no time waits for this.
const USUAL: Micros = Micros::ms(30_000);
/// Requests in hand at most.
const MOST: usize = 4_000;
/// With less time left nobody asks whether a key was claimed.
const FENCE: Micros = Micros::ms(60);
/// Doors that may turn one request away before it is given up.
const MOST_REFUSALS: u32 = 4;

/// A request read whole.
struct Asked {
    method: String,
    target: String,
    host: String,
    headers: Vec<Pair>,
    body: Bytes,
    attempt: String,
    key: String,
    /// Till when an answer has its full worth.
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

fn relayed(told: Told) -> Answer {
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
        let began = self.now();
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
        let until = began + left.min(route.timeout);
        let mut headers = Vec::new();
        let named = text("connection").to_ascii_lowercase();
        for (name, value) in &head.headers {
            let own = matches!(name.as_str(), "host" | TIME_LEFT | TARGET | CALLER | "expect");
            let listed = !named.is_empty() && named.split(',').any(|n| n.trim() == name.as_str());
            if !own && !listed && !of_one_connection(name.as_str()) {
                headers
                    .push(Pair { name: name.to_string(), value: Bytes::copy_from_slice(value.as_bytes()) });
            }
        }
        let attempt = text(ATTEMPT);
        if attempt.is_empty() {
            return plain(400, "a request needs its Notchspool-Attempt-Id");
        }
        let key = text(KEY);
        let limit = script.limits.body_bytes;
        let body = match Limited::new(body, limit).collect().await {
            Ok(body) => body.to_bytes(),
            Err(e) if e.is::<LengthLimitError>() => return plain(413, "the body is over the limit"),
            Err(_) => return plain(400, "the body was cut short"),
        };
        let target = head.uri.path_and_query().map_or("/", |p| p.as_str()).to_string();
        let method = head.method.to_string();
        let aim = began + route.target;
        let asked = Asked { method, target, host, headers, body, attempt, key, aim };
        let route = route.clone();
        self.route(&route, asked, until).await
    }

    async fn route(self: &Rc<House>, route: &Route, asked: Asked, until: Micros) -> Answer {
        let service = route.service(self.dart()).to_string();
        let txn = TxnRef(self.number());
        let hand = Hand { house: self.clone(), service: service.clone(), txn, open: Cell::new(true) };
        let orders = self.company(&service, |c| c.take(self.now(), txn, route, until));
        let answer = self.see_through(route, &service, txn, asked, until, orders).await;
        hand.open.set(false);
        answer
    }

    /// Follows what the module wants done with one txn, to its answer.
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
        let (mut arrivals, mut posting, mut refusals) = (0u32, 0u32, 0u32);
        // What may have run without an answer, and the last reason why there was none.
        let (mut may_have_run, mut why) = (false, String::from("no backend is in reach"));
        let mut retry = Micros::ms(60);
        let mut ticket = Ticket { life: self.life, number: txn.0, turn: 0 };
        loop {
            let order = orders.iter().find(
                |o| matches!(o, Order::Post(t, _) | Order::Decline(t, _) | Order::Reverse(t) if *t == txn),
            );
            let to = match order {
                Some(Order::Post(_, to)) => *to,
                _ if may_have_run => return self.unanswered(route, &why, self.now() >= until),
                _ => {
                    self.count("declined");
                    log::debug!(target: "lobby", "decline {} {} after {posting}: {why}, {:?} left", route.name, asked.attempt, until - self.now());
                    self.ended(true);
                    return refused(&why, self.come_back(retry));
                }
            };
            let number = posting;
            posting += 1;
            let began = self.now();
            ticket.turn = number;
            let told = self.post(route, service, to, &asked, until, keyed.then_some(ticket)).await;
            let (now, took) = (self.now(), self.now() - began);
            let told = told
                .unwrap_or_else(|| crate::links::only(0, Verdict::MayHaveRun, "no answer in time").into());
            let said = &told.said;
            let mut verdict = said.verdict();
            self.company(service, |c| c.reported(now, to, said.busy));
            // A link that ended leaves open whether the key was claimed there. Who claims it now with another ticket knows: where that is
            // granted the first one has not run and never will.
            if keyed && verdict == Verdict::MayHaveRun && !said.arrived && until - now > FENCE {
                let fence = Ticket { number: self.number(), ..ticket };
                if self.claim(&asked.key, fence).await == Claimed::Ours {
                    self.count("fenced");
                    // Where nobody takes it after all this is not promised to the client: the fence has to stand.
                    may_have_run = true;
                    (ticket, verdict) = (fence, Verdict::NotRun);
                }
            }
            let now = self.now();
            arrivals += u32::from(said.arrived || verdict == Verdict::MayHaveRun);
            let back = |fate: Fate, closed: bool| {
                self.company(service, |c| c.returned(now, txn, number, fate, took, closed))
            };
            let again = |spend: bool| {
                route.kind.repeatable()
                    && arrivals < route.attempts
                    && now < until
                    && (!spend || self.company(service, |c| c.purse.spend()))
            };
            match verdict {
                Verdict::Answered if said.status >= 500 && again(true) => {
                    self.count("further_after_failure");
                    (may_have_run, why) = (true, format!("status {}", said.status));
                    orders = back(Fate::Errored, false);
                    let goes_on = orders.iter().any(|o| matches!(o, Order::Post(t, _) if *t == txn));
                    if !goes_on {
                        return relayed(told);
                    }
                }
                Verdict::Answered => {
                    back(if said.status >= 500 { Fate::Errored } else { Fate::Settled }, true);
                    self.ended(false);
                    return relayed(told);
                }
                Verdict::NotRun | Verdict::Elsewhere => {
                    refusals += 1;
                    why.clone_from(&said.why);
                    if said.retry_ms > 0 {
                        retry = Micros::ms(i64::from(said.retry_ms));
                    }
                    let over = refusals >= MOST_REFUSALS || now >= until || said.ends;
                    // A door that is full speaks of load, which it reports, and not of illness.
                    let fate = match verdict {
                        Verdict::Elsewhere => Fate::TurnedAway,
                        _ if said.busy == 0 => Fate::NoLink,
                        _ => Fate::NeverSent,
                    };
                    orders = back(fate, over);
                    if over && may_have_run {
                        return self.unanswered(route, &why, now >= until);
                    }
                }
                Verdict::Working => {
                    back(Fate::NeverSent, true);
                    return plain(409, "the operation is at work");
                }
                Verdict::Lost => {
                    back(Fate::NeverSent, true);
                    return plain(502, "the operation ran, and its answer is not known");
                }
                Verdict::Held => {
                    back(Fate::NeverSent, true);
                    return self.from_holder(said, &asked.key, until).await;
                }
                Verdict::MayHaveRun => {
                    (may_have_run, why) = (true, said.why.clone());
                    let fate = if now >= until { Fate::TimedOut } else { Fate::Broken };
                    let on = again(true);
                    orders = back(fate, !on);
                    if !on {
                        return self.unanswered(route, &why, now >= until);
                    }
                    self.count("further_after_silence");
                }
            }
        }
    }

    /// It may have run, and there is no answer.
    fn unanswered(&self, route: &Route, why: &str, over: bool) -> Answer {
        self.count("unanswered");
        log::debug!(target: "lobby", "unanswered {}: {why}", route.name);
        plain(if over { 504 } else { 502 }, why)
    }

    /// The answer to a key that another usher holds.
    async fn from_holder(self: &Rc<House>, held: &Said, key: &str, until: Micros) -> Answer {
        let said = within(until - self.now(), self.fetch(&held.holder, key, held.holder_life)).await;
        let Some(said) = said else { return plain(504, "the holder of the key does not answer") };
        match said.verdict() {
            Verdict::Answered => relayed(said.into()),
            Verdict::Working => plain(409, "the operation is at work"),
            // It has not run there in that life, and is taken back: the next try claims it anew.
            Verdict::NotRun if said.why == "it has not run here" => refused(&said.why, Micros::ms(50)),
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
        let found = self.company(service, |c| c.station(to).map(|s| (s.instance.clone(), s.usher.clone())));
        let (instance, usher) = found?;
        let left = until - self.now();
        let ask = Ask {
            id: self.number(),
            service: service.to_string(),
            instance,
            method: asked.method.clone(),
            target: asked.target.clone(),
            headers: asked.headers.clone(),
            body: asked.body.clone(),
            left_ms: (left.0 / 1000).clamp(1, 600_000) as u32,
            target_ms: (route.target.0 / 1000).clamp(1, 600_000) as u32,
            aim_ms: ((asked.aim - self.now()).0 / 1000).clamp(0, 600_000) as u32,
            rank: route.priority,
            repeatable: route.kind.repeatable(),
            key: if ticket.is_some() { asked.key.clone() } else { String::new() },
            ticket,
            attempt: asked.attempt.clone(),
            caller: self.told.borrow().service.clone(),
            host: asked.host.clone(),
        };
        within(left, self.ask(&usher, ask)).await
    }
}
