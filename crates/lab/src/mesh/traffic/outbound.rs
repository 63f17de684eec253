//! A proxy where requests begin: what they are told, and the links to other proxies.
use notchspool::units::Micros;
use notchspool_data_plane::attempts::{Action, Attempts, Event, MAX_REFUSALS, RetryPolicy};
use notchspool_data_plane::keyed_operation::{NOT_BEGUN, NOT_RUN_HERE};
use notchspool_data_plane::peer_exchange::{MAX_SILENCE, OutgoingAction, OutgoingEvent, OutgoingExchanges};
use notchspool_data_plane::peer_link::without_answer;
use notchspool_data_plane::stall_detector::LONG_STALL;
use notchspool_mesh_protocol::{
    Cancel, FetchResponse, Payload, Ping, Request as PeerRequest, Response as PeerResponse, Ticket, Verdict,
};

use super::Breach;
use super::judge::{Got, Kind};
use super::proxy::{From, Purpose};
use super::world::{MOST, World, message};

/// A link on which something is out is given up after this silence.
const LOST: Micros = Micros::ms(700);

/// Who waits on a link: a request, and which of its tries.
type Wait = (String, u64);

pub struct Asker {
    asking: OutgoingExchanges<Wait, Wait>,
    /// What waits for the link to be there.
    pending: Option<Vec<Payload>>,
    reads: u64,
}

enum Stage {
    /// Sent: over a link, or to the door here.
    Out(u64, u64),
    Here(u64),
    Fencing,
    Fetching(u64, u64),
    /// Its answer comes in pieces.
    Streaming(Option<(u64, u64)>, Got),
    /// Between two tries.
    Idle,
}

pub struct Request {
    key: String,
    ticket: Ticket,
    began: Micros,
    until: Micros,
    attempts: Attempts,
    stage: Stage,
    serial: u64,
    failed: Option<PeerResponse>,
}

fn header(said: &PeerResponse, name: &str) -> String {
    let found = said.headers.iter().find(|p| p.name == name);
    found.map_or_else(String::new, |p| String::from_utf8_lossy(&p.value).into_owned())
}

impl World {
    pub(super) fn outbound_wakes(&mut self, at: usize) {
        let now = self.now;
        for attempt in std::mem::take(&mut self.proxies[at].leavers) {
            self.drop_request(at, &attempt);
        }
        for attempt in std::mem::take(&mut self.proxies[at].inbox) {
            self.takes(at, &attempt);
        }
        let due: Vec<String> = self.proxies[at]
            .requests
            .iter()
            .filter(|(_, r)| {
                now >= r.until && matches!(r.stage, Stage::Out(..) | Stage::Here(_) | Stage::Fetching(..))
            })
            .map(|r| r.0.clone())
            .collect();
        for attempt in due {
            let fetching = matches!(self.proxies[at].requests[&attempt].stage, Stage::Fetching(..));
            let serial = self.proxies[at].requests[&attempt].serial;
            self.give_up(at, &attempt);
            if fetching {
                self.answers(at, &attempt, 504, None);
            } else {
                self.came(at, &attempt, serial, without_answer(0, Verdict::MayHaveRun, "no answer in time"));
            }
        }
    }

    /// A client's request is read.
    fn takes(&mut self, at: usize, attempt: &str) {
        let now = self.now;
        let age = self.proxies[at].still.observe(now);
        let Some(client) = self.judge.clients.get(attempt).filter(|c| !c.gone) else { return };
        let (kind, left) = (client.kind.clone(), client.until - client.sent);
        let proxy = &mut self.proxies[at];
        let number = proxy.number();
        let ticket = Ticket { boot_id: proxy.boot_id, number, attempt: 0 };
        let key = if let Kind::Keyed(key) = &kind { key.clone() } else { String::new() };
        let began = now - age;
        let until = if age >= LONG_STALL { began } else { now } + left;
        let policy = RetryPolicy {
            idempotent: kind == Kind::Safe || self.breach == Some(Breach::Repeat),
            max_attempts: MOST,
            max_refusals: MAX_REFUSALS,
            deadline: until,
            ticket: (!key.is_empty()).then_some(ticket),
        };
        let began = if self.breach == Some(Breach::Ages) { now } else { began };
        let request = Request {
            key,
            ticket,
            began,
            until,
            attempts: Attempts::new(policy),
            stage: Stage::Idle,
            serial: 0,
            failed: None,
        };
        self.proxies[at].requests.insert(attempt.into(), request);
        self.goes(at, attempt);
    }

    /// It goes to some backend, or nowhere.
    fn goes(&mut self, at: usize, attempt: &str) {
        let now = self.now;
        let aims = &self.proxies[at].aims;
        let nth = self.proxies[at].requests.get(attempt).map_or(0, |r| r.attempts.sent() as usize);
        let aim = aims.get(nth.min(aims.len().saturating_sub(1))).copied();
        let nobody = aim.is_none() && self.luck(0.05);
        let anywhere = self.below(self.proxies.len() as u64) as usize;
        let to = aim.unwrap_or(anywhere);
        let instance = self.proxies[to].knows.clone();
        let ages = self.is(Breach::Ages);
        let Some(request) = self.proxies[at].requests.get_mut(attempt) else { return };
        let event = if nobody { Event::NoBackend } else { Event::Picked };
        let ticket = match request.attempts.apply(now, event, &|| true) {
            Action::Send { ticket, .. } => ticket,
            next => {
                return match request.failed.take() {
                    Some(said) => self.relays(at, attempt, said),
                    None => self.given_up(at, attempt, next),
                };
            }
        };
        request.failed = None;
        request.serial += 1;
        let (serial, key, until, began) = (request.serial, request.key.clone(), request.until, request.began);
        let id = self.proxies[at].number();
        let ask = PeerRequest {
            id,
            instance,
            time_left_ms: ((until - now).0 / 1_000).clamp(1, 600_000) as u32,
            latency_target_ms: 200,
            target_left_ms: 600,
            key,
            ticket,
            attempt_id: attempt.into(),
            age_ms: if ages { 0 } else { ((now - began).0 / 1_000).clamp(0, 600_000) as u32 },
            ..PeerRequest::default()
        };
        if to == at {
            self.stage(at, attempt, Stage::Here(id));
            return self.perform(at, id, From::Here(attempt.into(), serial), ask);
        }
        let wire = self.asks(at, to, id, (attempt.into(), serial), Payload::Request(ask));
        self.stage_if(at, attempt, serial, Stage::Out(wire, id));
    }

    fn stage(&mut self, at: usize, attempt: &str, stage: Stage) {
        if let Some(request) = self.proxies[at].requests.get_mut(attempt) {
            request.stage = stage;
        }
    }

    /// Where it was not answered at once.
    fn stage_if(&mut self, at: usize, attempt: &str, serial: u64, stage: Stage) {
        if let Some(request) = self.proxies[at].requests.get_mut(attempt).filter(|r| r.serial == serial)
            && matches!(request.stage, Stage::Idle)
        {
            request.stage = stage;
        }
    }

    /// That came of a try.
    pub(super) fn came(&mut self, at: usize, attempt: &str, serial: u64, said: PeerResponse) {
        let now = self.now;
        let spends = self.luck(0.8) || !self.proxies[at].aims.is_empty();
        let (fences, links) = (self.is(Breach::Fences), self.is(Breach::Links));
        let Some(request) = self.proxies[at].requests.get_mut(attempt).filter(|r| r.serial == serial) else {
            return;
        };
        if let Stage::Fetching(..) = request.stage {
            return self.fetched(at, attempt, said);
        }
        let way = match request.stage {
            Stage::Out(wire, id) => Some((wire, id)),
            _ => None,
        };
        request.stage = Stage::Idle;
        let said = match said.verdict() {
            Verdict::MayHaveRun if links && said.reason == "the link ended" => {
                without_answer(0, Verdict::NotRun, "the link ended")
            }
            _ => said,
        };
        match request.attempts.apply(now, Event::Response(&said), &|| spends) {
            Action::Fence => {
                let boot_id = self.proxies[at].boot_id;
                let number = self.proxies[at].number();
                let Some(request) = self.proxies[at].requests.get_mut(attempt) else { return };
                let fence = Ticket { boot_id, number, attempt: request.attempts.sent().saturating_sub(1) };
                let key = request.key.clone();
                request.stage = Stage::Fencing;
                if fences {
                    let same = request.ticket;
                    return self.fenced(at, attempt, serial, same, true);
                }
                self.claim(at, &key, fence, Purpose::Fence(attempt.into(), serial, fence));
            }
            Action::Retry => {
                if said.verdict() == Verdict::Answered {
                    request.failed = Some(said);
                }
                self.goes(at, attempt);
            }
            Action::Relay if said.more => {
                let got = Got {
                    status: said.status,
                    id: attempt.into(),
                    seal: header(&said, "seal"),
                    bytes: said.body.len() as u64,
                    at: now,
                };
                request.stage = Stage::Streaming(way, got);
            }
            Action::Relay => self.relays(at, attempt, said),
            Action::FetchFromHolder => self.fetches(at, attempt, &said),
            next => self.given_up(at, attempt, next),
        }
    }

    pub(super) fn fenced(&mut self, at: usize, attempt: &str, serial: u64, ticket: Ticket, granted: bool) {
        let now = self.now;
        let Some(request) = self.proxies[at].requests.get_mut(attempt).filter(|r| r.serial == serial) else {
            return;
        };
        request.stage = Stage::Idle;
        match request.attempts.apply(now, Event::Fence { ticket, granted }, &|| true) {
            Action::Retry => self.goes(at, attempt),
            next => self.given_up(at, attempt, next),
        }
    }

    fn fetches(&mut self, at: usize, attempt: &str, held: &PeerResponse) {
        let Some(request) = self.proxies[at].requests.get_mut(attempt) else { return };
        let (key, serial) = (request.key.clone(), request.serial);
        let holder: usize = held.holder.parse().unwrap_or(0);
        let id = self.proxies[at].number();
        if holder == at {
            let said = self.held(at, &key, held.holder_boot_id);
            return self.fetched(at, attempt, said);
        }
        let fetch = FetchResponse { id, key, holder_boot_id: held.holder_boot_id };
        self.stage(at, attempt, Stage::Fetching(0, id));
        let wire = self.asks(at, holder, id, (attempt.into(), serial), Payload::FetchResponse(fetch));
        if let Some(request) = self.proxies[at].requests.get_mut(attempt)
            && let Stage::Fetching(0, _) = request.stage
        {
            request.stage = Stage::Fetching(wire, id);
        }
    }

    fn fetched(&mut self, at: usize, attempt: &str, said: PeerResponse) {
        match said.verdict() {
            Verdict::Answered => self.relays(at, attempt, said),
            Verdict::InProgress => self.answers(at, attempt, 409, None),
            Verdict::NotRun if [NOT_BEGUN, NOT_RUN_HERE].contains(&said.reason.as_str()) => {
                self.answers(at, attempt, 503, None);
            }
            _ => self.answers(at, attempt, 502, None),
        }
    }

    fn given_up(&mut self, at: usize, attempt: &str, next: Action) {
        let status = match next {
            Action::Reject => 503,
            Action::InProgress => 409,
            Action::Unanswered { timed_out: true } => 504,
            _ => 502,
        };
        self.answers(at, attempt, status, None);
    }

    fn relays(&mut self, at: usize, attempt: &str, said: PeerResponse) {
        let got = Got {
            status: said.status,
            id: attempt.into(),
            seal: header(&said, "seal"),
            bytes: said.body.len() as u64,
            at: self.now,
        };
        self.answers(at, attempt, said.status, Some(got));
    }

    fn answers(&mut self, at: usize, attempt: &str, status: u32, got: Option<Got>) {
        self.proxies[at].requests.remove(attempt);
        if let Some(client) = self.judge.clients.get_mut(attempt).filter(|c| !c.gone) {
            let at = self.now;
            let own = Got { status, id: attempt.into(), seal: String::new(), bytes: 0, at };
            client.got = Some(got.unwrap_or(own));
        }
    }

    /// A piece of its answer.
    pub(super) fn piece(
        &mut self,
        at: usize,
        attempt: &str,
        serial: u64,
        bytes: u64,
        last: bool,
        broken: bool,
    ) {
        let Some(request) = self.proxies[at].requests.get_mut(attempt).filter(|r| r.serial == serial) else {
            return;
        };
        let Stage::Streaming(_, got) = &mut request.stage else { return };
        got.bytes += bytes;
        if broken {
            self.proxies[at].requests.remove(attempt);
            if let Some(client) = self.judge.clients.get_mut(attempt) {
                client.gone = true;
            }
        } else if last {
            let got = got.clone();
            self.answers(at, attempt, got.status, Some(got));
        }
    }

    /// It is not waited for any more: whoever has it is told.
    fn give_up(&mut self, at: usize, attempt: &str) {
        let now = self.now;
        let Some(request) = self.proxies[at].requests.get_mut(attempt) else { return };
        match std::mem::replace(&mut request.stage, Stage::Idle) {
            Stage::Out(wire, id) | Stage::Fetching(wire, id) | Stage::Streaming(Some((wire, id)), _) => {
                self.turn(at, wire, now, OutgoingEvent::Abandon(id));
            }
            Stage::Here(work) => self.abort(at, work),
            Stage::Streaming(None, _) | Stage::Fencing | Stage::Idle => {}
        }
    }

    fn drop_request(&mut self, at: usize, attempt: &str) {
        self.give_up(at, attempt);
        self.proxies[at].requests.remove(attempt);
    }

    // ---- Links ------------------------------------------------------------------------------------------

    fn asks(&mut self, at: usize, to: usize, id: u64, wait: Wait, what: Payload) -> u64 {
        let now = self.now;
        let known = self.proxies[at].links.get(&to).copied();
        let open =
            known.filter(|w| self.proxies[at].askers.get(w).is_some_and(|a| a.asking.accepts_requests()));
        let wire = open.unwrap_or_else(|| {
            let wire = self.dial(at, to);
            let asker = Asker { asking: OutgoingExchanges::new(now), pending: Some(Vec::new()), reads: 0 };
            self.proxies[at].links.insert(to, wire);
            self.proxies[at].askers.insert(wire, asker);
            wire
        });
        let Some(asker) = self.proxies[at].askers.get_mut(&wire) else { return wire };
        match asker.asking.apply(now, OutgoingEvent::Request(id, wait)) {
            OutgoingAction::Send => match &mut asker.pending {
                Some(pending) => pending.push(what),
                None => self.send(wire, 0, message(what)),
            },
            OutgoingAction::NotRun(why, (attempt, serial)) => {
                self.came(at, &attempt, serial, without_answer(0, Verdict::NotRun, why));
            }
            _ => {}
        }
        wire
    }

    pub(super) fn link_up(&mut self, at: usize, wire: u64) {
        let now = self.now;
        self.turn(at, wire, now, OutgoingEvent::Connected);
        let pending = self.proxies[at].askers.get_mut(&wire).and_then(|a| a.pending.take());
        for what in pending.unwrap_or_default() {
            self.send(wire, 0, message(what));
        }
    }

    pub(super) fn link_ends(&mut self, at: usize, wire: u64) {
        let now = self.now;
        self.turn(at, wire, now, OutgoingEvent::Closed);
    }

    pub(super) fn link_hears(&mut self, at: usize, wire: u64, what: Payload) {
        let now = self.now;
        if let Some(asker) = self.proxies[at].askers.get_mut(&wire) {
            asker.reads += 1;
        }
        match what {
            Payload::Response(said) => {
                let id = said.id;
                let Some(asker) = self.proxies[at].askers.get_mut(&wire) else { return };
                // Who it is for is known by the id alone.
                let step = asker
                    .asking
                    .apply(now, OutgoingEvent::Response(id, said.more.then(|| (String::new(), id))));
                match step {
                    OutgoingAction::Deliver((attempt, serial)) => self.came(at, &attempt, serial, said),
                    OutgoingAction::Abort(_) => self.cuts_link(at, wire),
                    _ => {}
                }
            }
            Payload::BodyChunk(part) => {
                let Some(asker) = self.proxies[at].askers.get_mut(&wire) else { return };
                match asker.asking.apply(now, OutgoingEvent::BodyChunk { id: part.id, last: part.last }) {
                    OutgoingAction::Forward((_, id)) => {
                        let to = self.proxies[at].requests.iter().find_map(|(attempt, r)| {
                            matches!(r.stage, Stage::Streaming(Some((w, i)), _) if (w, i) == (wire, id))
                                .then(|| (attempt.clone(), r.serial))
                        });
                        if let Some((attempt, serial)) = to {
                            let bytes = part.bytes.len() as u64;
                            self.piece(at, &attempt, serial, bytes, part.last, part.truncated);
                        }
                    }
                    OutgoingAction::Abort(_) => self.cuts_link(at, wire),
                    _ => {}
                }
            }
            Payload::Pong(pong) => self.turn(at, wire, now, OutgoingEvent::Pong(pong.number)),
            _ => {}
        }
    }

    fn cuts_link(&mut self, at: usize, wire: u64) {
        self.close(wire, 0, true);
        self.link_ends(at, wire);
    }

    fn turn(&mut self, at: usize, wire: u64, now: Micros, event: OutgoingEvent<Wait, Wait>) {
        let id = if let OutgoingEvent::Abandon(id) = &event { *id } else { 0 };
        let Some(asker) = self.proxies[at].askers.get_mut(&wire) else { return };
        let up = asker.pending.is_none();
        match asker.asking.apply(now, event) {
            OutgoingAction::Cancel => match &mut asker.pending {
                Some(pending) => pending.push(Payload::Cancel(Cancel { id })),
                None => self.send(wire, 0, message(Payload::Cancel(Cancel { id }))),
            },
            OutgoingAction::Ping(number) if up => self.send(wire, 0, message(Payload::Ping(Ping { number }))),
            OutgoingAction::Finish => {
                self.close(wire, 0, false);
                self.link_ends(at, wire);
            }
            OutgoingAction::Abort(_) => self.cuts_link(at, wire),
            OutgoingAction::Closed { verdict, waiting: waiters, streams } => {
                self.proxies[at].askers.remove(&wire);
                self.proxies[at].links.retain(|_, w| *w != wire);
                let broken: Vec<(String, u64)> = self.proxies[at]
                    .requests
                    .iter()
                    .filter(|(_, r)| {
                        matches!(r.stage, Stage::Streaming(Some((w, id)), _)
                            if w == wire && streams.iter().any(|s| s.1 == id))
                    })
                    .map(|(attempt, r)| (attempt.clone(), r.serial))
                    .collect();
                for (attempt, serial) in broken {
                    self.piece(at, &attempt, serial, 0, true, true);
                }
                for (_, (attempt, serial)) in waiters {
                    self.came(at, &attempt, serial, without_answer(0, verdict, "the link ended"));
                }
            }
            _ => {}
        }
    }

    pub(super) fn looks(&mut self, at: usize) {
        let now = self.now;
        let all: Vec<(u64, u64)> = self.proxies[at].askers.iter().map(|a| (*a.0, a.1.reads)).collect();
        for (wire, reads) in all {
            self.turn(
                at,
                wire,
                now,
                OutgoingEvent::Tick { read_count: reads, max_silence: LOST.min(MAX_SILENCE) },
            );
        }
    }
}
