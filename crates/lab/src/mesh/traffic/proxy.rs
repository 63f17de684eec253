//! A proxy beside its backend: what comes over links, the key, the door, the connection to the backend.
use std::collections::BTreeMap;

use bytes::Bytes;
use notchspool::units::Micros;
use notchspool_data_plane::admission::{Admission, AdmissionQueue, Candidate, Decision};
use notchspool_data_plane::backend_connection::{Action, AnswerId, BackendConnection, BackendVerdict, Event};
use notchspool_data_plane::keyed_operation::{self, Operations};
use notchspool_data_plane::peer_exchange::{IncomingAction, IncomingEvent, IncomingExchanges};
use notchspool_data_plane::peer_link::without_answer;
use notchspool_data_plane::stall_detector::{self, StallDetector};
use notchspool_data_plane::work_kind::WorkKind;
use notchspool_idempotency::claim_proposal::{ClaimProposal, Outcome as Claimed};
use notchspool_idempotency::response_cache::ResponseCache;
use notchspool_mesh_protocol::{
    BodyChunk, Cancel, Claim, Header, Payload, Ping, Request as PeerRequest, Response as PeerResponse,
    Ticket, Verdict, WithdrawClaim,
};

use super::Breach;
use super::backend::Reply;
use super::outbound::{Asker, Request};
use super::world::{Agent, Load, World, message};

/// A claim that has no majority by then has none.
const CLAIM: Micros = Micros::ms(250);
const MARGIN: Micros = Micros::ms(2);

/// Who asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum From {
    /// A link, and the exchange's id on it.
    Wire(u64, u64),
    /// A request that began here, and which of its tries.
    Here(String, u64),
    /// It left.
    Nobody,
}

enum Stage {
    Claiming(u64),
    Waiting(u64),
    /// The request is being written; its last byte goes then.
    Sending(u64, Micros),
    Sent,
    /// The rest of a large answer; bytes left, and how it ends.
    Streaming(u64, u64, Reply),
}

struct Work {
    from: From,
    ask: PeerRequest,
    until: Micros,
    /// Its claim was asked for then, and is not known to have led to anything.
    claim: Option<Micros>,
    stage: Stage,
}

/// Whose claim it is.
pub enum Purpose {
    Work(u64),
    Fence(String, u64, Ticket),
}

struct Hand {
    round: ClaimProposal,
    until: Micros,
    purpose: Purpose,
}

pub struct Proxy {
    pub at: usize,
    pub boot_id: u64,
    pub up: bool,
    pub frozen: bool,
    number: u64,
    pub still: StallDetector,
    pub knows: String,
    operations: Operations,
    door: AdmissionQueue,
    waiting: BTreeMap<u64, u64>,
    works: BTreeMap<u64, Work>,
    /// Connections to the backend, and what is open on them.
    conns: BTreeMap<u64, (BackendConnection, Option<u64>)>,
    pub voters: [Option<u64>; 3],
    hands: BTreeMap<u64, Hand>,
    pub links: BTreeMap<usize, u64>,
    pub askers: BTreeMap<u64, Asker>,
    carried: BTreeMap<u64, IncomingExchanges<u64>>,
    pub requests: BTreeMap<String, Request>,
    pub inbox: Vec<String>,
    pub leavers: Vec<String>,
    /// Where its requests go, try by try; empty: anywhere.
    pub aims: Vec<usize>,
}

impl Proxy {
    pub fn new(at: usize, boot_id: u64, now: Micros, window: Micros) -> Proxy {
        let mut door = AdmissionQueue::new(now);
        door.set_slots(3);
        Proxy {
            at,
            boot_id,
            up: true,
            frozen: false,
            number: 0,
            still: StallDetector::new(now),
            knows: format!("i-{at}"),
            operations: ResponseCache::new(window + Micros::ms(2_000), 1 << 20),
            door,
            waiting: BTreeMap::new(),
            works: BTreeMap::new(),
            conns: BTreeMap::new(),
            voters: [None; 3],
            hands: BTreeMap::new(),
            links: BTreeMap::new(),
            askers: BTreeMap::new(),
            carried: BTreeMap::new(),
            requests: BTreeMap::new(),
            inbox: Vec::new(),
            leavers: Vec::new(),
            aims: Vec::new(),
        }
    }

    pub fn number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    /// A connection to the backend on which nothing is open.
    pub fn idle(&self, wire: u64) -> bool {
        self.conns.get(&wire).is_some_and(|c| c.1.is_none())
    }

    /// What should not be left once all is answered.
    pub fn left(&self) -> Option<String> {
        let sizes = [self.works.len(), self.waiting.len(), self.hands.len(), self.requests.len()];
        (sizes != [0; 4] || self.door.in_flight() > 0)
            .then(|| format!("{sizes:?} works, waiting, claims, requests, {} in work", self.door.in_flight()))
    }
}

impl World {
    pub(super) fn proxy_hears(&mut self, at: usize, wire: u64, end: usize, load: Load) {
        if self.proxies[at].conns.contains_key(&wire) {
            return match load {
                Load::Answer(reply) => self.answered(at, wire, reply),
                _ => self.broke(at, wire),
            };
        }
        if let Some(voter) = self.proxies[at].voters.iter().position(|v| *v == Some(wire)) {
            match load {
                Load::Message(what) => {
                    let Payload::ClaimReply(claimed) = *what else { return };
                    let now = self.now;
                    if let Some(hand) = self.proxies[at].hands.get_mut(&claimed.id) {
                        hand.round.on_reply(claimed);
                    }
                    self.verdicts(at, now);
                }
                _ => {
                    self.proxies[at].voters[voter] = None;
                    self.close(wire, 0, false);
                }
            }
            return;
        }
        if end == 0 {
            return match load {
                Load::Message(what) => self.link_hears(at, wire, *what),
                _ => {
                    self.close(wire, 0, true);
                    self.link_ends(at, wire);
                }
            };
        }
        match load {
            Load::Message(what) => self.carries(at, wire, *what),
            _ => {
                let work = self.proxies[at].carried.remove(&wire);
                if let Some(IncomingAction::AbortAll(all)) = work.map(|mut w| w.apply(IncomingEvent::Closed))
                {
                    all.into_iter().for_each(|work| self.abort(at, work));
                }
                self.close(wire, 1, true);
            }
        }
    }

    /// A message of another proxy on a link that it opened.
    fn carries(&mut self, at: usize, wire: u64, what: Payload) {
        let now = self.now;
        match what {
            Payload::Request(ask) => {
                let id = ask.id;
                match self.proxies[at].carried.entry(wire).or_default().apply(IncomingEvent::Request(id)) {
                    IncomingAction::Start => {}
                    IncomingAction::Reject => return,
                    _ => return self.close(wire, 1, true),
                }
                let age = self.proxies[at].still.observe(now);
                let ages = self.is(Breach::Ages);
                let ask = PeerRequest { age_ms: if ages { 0 } else { ask.age_ms }, ..ask };
                let ask = if ages { ask } else { stall_detector::aged(ask, age) };
                let work = self.proxies[at].number();
                self.proxies[at].carried.entry(wire).or_default().apply(IncomingEvent::Started(id, work));
                self.perform(at, work, From::Wire(wire, id), ask);
            }
            Payload::Cancel(Cancel { id }) => {
                let does = self.proxies[at].carried.entry(wire).or_default().apply(IncomingEvent::Cancel(id));
                if let IncomingAction::Abort(work) = does {
                    self.abort(at, work);
                }
            }
            Payload::FetchResponse(fetch) => {
                let said = self.held(at, &fetch.key, fetch.holder_boot_id);
                self.send(wire, 1, message(Payload::Response(PeerResponse { id: fetch.id, ..said })));
            }
            Payload::Ping(Ping { number }) => self.send(wire, 1, message(Payload::Pong(Ping { number }))),
            _ => {}
        }
    }

    pub(super) fn held(&self, at: usize, key: &str, boot_id: u64) -> PeerResponse {
        if boot_id != self.proxies[at].boot_id {
            return without_answer(0, Verdict::ResponseLost, "the process that held it has ended");
        }
        keyed_operation::known_response(&self.proxies[at].operations, key)
    }

    // ---- From its arrival to its end --------------------------------------------------------------------

    pub(super) fn perform(&mut self, at: usize, number: u64, from: From, ask: PeerRequest) {
        let now = self.now;
        let until = now + Micros::ms(i64::from(ask.time_left_ms));
        let (key, ticket, age) = (ask.key.clone(), ask.ticket, Micros::ms(i64::from(ask.age_ms)));
        let work = Work { from, ask, until, claim: None, stage: Stage::Waiting(0) };
        self.proxies[at].works.insert(number, work);
        if until - now <= MARGIN {
            return self.ends(at, number, without_answer(0, Verdict::NotRun, "its time is over"));
        }
        if let Some(said) = self.astray(at, number) {
            return self.ends(at, number, said);
        }
        let Some(ticket) = ticket.filter(|_| !key.is_empty()) else { return self.enter(at, number) };
        match keyed_operation::on_arrival(&mut self.proxies[at].operations, now, &key, age) {
            keyed_operation::Decision::Claim => {
                if let Some(work) = self.proxies[at].works.get_mut(&number) {
                    work.claim = Some(now);
                }
                if self.is(Breach::Claims) {
                    return self.enter(at, number);
                }
                let hand = self.claim(at, &key, ticket, Purpose::Work(number));
                if let Some(work) = self.proxies[at].works.get_mut(&number) {
                    work.stage = Stage::Claiming(hand);
                }
                self.verdicts(at, now);
            }
            keyed_operation::Decision::Known(said) => self.ends(at, number, said),
            keyed_operation::Decision::Refuse { reason, is_final, .. } => {
                self.ends(
                    at,
                    number,
                    PeerResponse { final_refusal: is_final, ..without_answer(0, Verdict::NotRun, reason) },
                );
            }
            _ => self.ends(at, number, without_answer(0, Verdict::NotRun, "it is not claimed")),
        }
    }

    fn astray(&self, at: usize, number: u64) -> Option<PeerResponse> {
        let proxy = &self.proxies[at];
        let meant = &proxy.works.get(&number)?.ask.instance;
        (*meant != proxy.knows).then(|| without_answer(0, Verdict::OtherInstance, "another backend is here"))
    }

    pub(super) fn claim(&mut self, at: usize, key: &str, ticket: Ticket, purpose: Purpose) -> u64 {
        let now = self.now;
        let id = self.proxies[at].number();
        let (boot_id, wires) = (self.proxies[at].boot_id, self.proxies[at].voters);
        // The set of voters does not change here: the other player has that.
        let (ticket, holder) = (Some(ticket), at.to_string());
        let claim = Claim {
            id,
            key: key.into(),
            ticket,
            holder,
            holder_boot_id: boot_id,
            set_number: 1,
            ..Claim::default()
        };
        let wires: Vec<u64> = wires.into_iter().flatten().collect();
        wires.iter().for_each(|w| self.send(*w, 0, message(Payload::Claim(claim.clone()))));
        let until = if wires.len() > 1 { now + CLAIM } else { now };
        self.proxies[at].hands.insert(id, Hand { round: ClaimProposal::new(1, 3), until, purpose });
        id
    }

    /// Claims that have a verdict.
    fn verdicts(&mut self, at: usize, now: Micros) {
        let due: Vec<(u64, Claimed)> = self.proxies[at]
            .hands
            .iter()
            .map(|(id, hand)| (*id, hand.round.outcome(now >= hand.until)))
            .filter(|(_, verdict)| *verdict != Claimed::Pending)
            .collect();
        for (id, verdict) in due {
            let Some(hand) = self.proxies[at].hands.remove(&id) else { continue };
            match hand.purpose {
                Purpose::Work(number) => self.claimed(at, number, verdict),
                Purpose::Fence(attempt, serial, ticket) => {
                    self.fenced(at, &attempt, serial, ticket, verdict == Claimed::Granted);
                }
            }
        }
    }

    fn claimed(&mut self, at: usize, number: u64, verdict: Claimed) {
        let Some(work) = self.proxies[at].works.get(&number) else { return };
        let ticket = work.ask.ticket.unwrap_or_default();
        match keyed_operation::on_claim_outcome(ticket, verdict) {
            keyed_operation::Decision::Proceed => self.enter(at, number),
            keyed_operation::Decision::HeldElsewhere { holder, holder_boot_id } => {
                let said = without_answer(0, Verdict::HeldElsewhere, "another has the key");
                self.ends(at, number, PeerResponse { holder, holder_boot_id, ..said });
            }
            keyed_operation::Decision::Refuse { reason, is_final, .. } => {
                self.ends(
                    at,
                    number,
                    PeerResponse { final_refusal: is_final, ..without_answer(0, Verdict::NotRun, reason) },
                );
            }
            _ => self.ends(at, number, without_answer(0, Verdict::NotRun, "it is not claimed")),
        }
    }

    fn enter(&mut self, at: usize, number: u64) {
        let now = self.now;
        let proxy = &mut self.proxies[at];
        let Some(work) = proxy.works.get(&number) else { return };
        let aim = now + Micros::ms(i64::from(work.ask.target_left_ms));
        let candidate = Candidate {
            call_depth: 0,
            priority: 1,
            kind: WorkKind { priority: 1, latency_target_ms: work.ask.latency_target_ms },
            target_at: aim,
            deadline: work.until,
        };
        let Admission { decision, displaced } = proxy.door.admit(now, candidate);
        if let Some(out) = displaced.and_then(|out| self.proxies[at].waiting.remove(&out)) {
            self.ends(at, out, without_answer(0, Verdict::NotRun, "full"));
        }
        match decision {
            Decision::Admitted => self.begin(at, number),
            Decision::Queued(place) => {
                self.proxies[at].waiting.insert(place, number);
                if let Some(work) = self.proxies[at].works.get_mut(&number) {
                    work.stage = Stage::Waiting(place);
                }
            }
            Decision::Rejected(_) => self.ends(at, number, without_answer(0, Verdict::NotRun, "full")),
        }
    }

    /// A place at the backend is free again.
    fn done(&mut self, at: usize) {
        let now = self.now;
        let mut next = self.proxies[at].door.release(now, WorkKind::default(), None);
        while let Some(place) = next {
            let called = self.proxies[at].waiting.remove(&place);
            next = match called {
                Some(number) => {
                    self.begin(at, number);
                    self.proxies[at].door.admit_next(now)
                }
                None => self.proxies[at].door.release(now, WorkKind::default(), None),
            };
        }
    }

    /// It has a place, and goes to the backend.
    fn begin(&mut self, at: usize, number: u64) {
        let (now, window) = (self.now, self.window);
        let no = match self.proxies[at].works.get(&number) {
            None => return self.done(at),
            Some(work) if work.until - now <= MARGIN => {
                Some(without_answer(0, Verdict::NotRun, "its time is over"))
            }
            Some(_) => self.astray(at, number),
        };
        let proxy = &mut self.proxies[at];
        let Some(work) = proxy.works.get_mut(&number) else { return };
        let granted = match work.claim {
            Some(since) if no.is_none() => {
                let begins = keyed_operation::begin(&mut proxy.operations, now, &work.ask.key, since, window);
                if begins {
                    self.judge.on_begun(&work.ask.key, now);
                }
                begins
            }
            _ => true,
        };
        if let Some(said) = no.or((!granted).then(|| without_answer(0, Verdict::NotRun, "the key is gone"))) {
            self.ends(at, number, said);
            return self.done(at);
        }
        work.claim = None;
        let (attempt, target) = (work.ask.attempt_id.clone(), work.ask.instance.clone());
        let wire = self.connection(at, number, &attempt);
        self.send(wire, 0, Load::Begin { attempt, target });
        let large = self.luck(0.2);
        let rest = now + Micros(if large { self.below(30_000) as i64 } else { 0 });
        if let Some(work) = self.proxies[at].works.get_mut(&number) {
            work.stage = Stage::Sending(wire, rest);
        }
        self.written(at, number);
    }

    fn connection(&mut self, at: usize, number: u64, attempt: &str) -> u64 {
        let now = self.now;
        let idle: Vec<u64> =
            self.proxies[at].conns.iter().rev().filter(|c| c.1.1.is_none()).map(|c| *c.0).collect();
        for wire in idle {
            let quiet = !self.arrived(wire, 0);
            let Some((connection, open)) = self.proxies[at].conns.get_mut(&wire) else { continue };
            if connection.apply(Event::Begin { now, attempt_id: attempt, quiet }) == Action::Continue {
                *open = Some(number);
                return wire;
            }
            self.proxies[at].conns.remove(&wire);
            self.close(wire, 0, true);
        }
        let wire = self.wire(Agent::Proxy(at), Agent::Backend(at));
        let mut connection = BackendConnection::new();
        connection.apply(Event::Begin { now, attempt_id: attempt, quiet: true });
        self.proxies[at].conns.insert(wire, (connection, Some(number)));
        wire
    }

    fn written(&mut self, at: usize, number: u64) {
        let now = self.now;
        let Some(work) = self.proxies[at].works.get_mut(&number) else { return };
        if let Stage::Sending(wire, rest) = work.stage
            && rest <= now
        {
            work.stage = Stage::Sent;
            if let Some((connection, _)) = self.proxies[at].conns.get_mut(&wire) {
                connection.apply(Event::Written);
            }
            self.send(wire, 0, Load::Rest);
        }
    }

    /// An answer comes from the backend.
    fn answered(&mut self, at: usize, wire: u64, mut reply: Reply) {
        let (ids, bare, promises) = (self.is(Breach::Ids), self.is(Breach::Bare), self.is(Breach::Promises));
        let now = self.now;
        let surplus = self.arrived(wire, 0);
        let proxy = &mut self.proxies[at];
        let Some((connection, Some(number))) = proxy.conns.get_mut(&wire) else { return };
        let number = *number;
        let Some(work) = proxy.works.get(&number) else { return };
        if matches!(work.stage, Stage::Streaming(..)) {
            // It comes behind the answer that is passed on.
            return;
        }
        let own = AnswerId::One(work.ask.attempt_id.clone());
        let missing = reply.head.id == AnswerId::Missing;
        if ids || (bare && missing && reply.head.not_run) {
            reply.head.id = own;
        }
        if matches!(work.stage, Stage::Sending(..)) {
            connection.apply(Event::EarlyData);
        }
        let keep = reply.keep.then_some(now + Micros::ms(8_000));
        match connection.apply(Event::Head(&reply.head)) {
            Action::ReadAnswer => {}
            Action::SkipAnswer => {
                if let Action::MayHaveRun(why) =
                    connection.apply(Event::Complete { reusable_until: keep, surplus: false })
                {
                    self.over(at, number, BackendVerdict::MayHaveRun(why), &reply);
                }
                return;
            }
            Action::Refused(word) => return self.over(at, number, word, &reply),
            _ => return self.over(at, number, BackendVerdict::MayHaveRun("not its answer"), &reply),
        }
        let word = match reply.head.verdict() {
            BackendVerdict::MayHaveRun(_) if promises && reply.head.status == 503 => BackendVerdict::NotRun,
            word => word,
        };
        let keyed = !work.ask.key.is_empty();
        if word == BackendVerdict::Answered && !keyed && reply.bytes > 1 && reply.head.status < 300 {
            return self.streams(at, number, reply);
        }
        if !reply.complete && !self.is(Breach::Bodies) {
            return self.over(at, number, BackendVerdict::MayHaveRun("the body was cut short"), &reply);
        }
        if let Some((connection, open)) = self.proxies[at].conns.get_mut(&wire)
            && let Action::Reuse(_) = connection.apply(Event::Complete { reusable_until: keep, surplus })
        {
            *open = None;
        }
        self.over(at, number, word, &reply);
    }

    /// The answer as it goes on, with so many bytes of its body.
    fn answer(reply: &Reply, bytes: u64) -> PeerResponse {
        let pair =
            |name: &str, value: &str| Header { name: name.into(), value: Bytes::from(value.to_string()) };
        PeerResponse {
            status: u32::from(reply.head.status),
            headers: vec![pair("id", &reply.id), pair("seal", &reply.seal)],
            body: Bytes::from(vec![b'x'; bytes as usize]),
            length: reply.bytes,
            ..PeerResponse::default()
        }
    }

    fn broke(&mut self, at: usize, wire: u64) {
        self.close(wire, 0, true);
        let Some((_, open)) = self.proxies[at].conns.remove(&wire) else { return };
        let Some(number) = open else { return };
        let streaming = match self.proxies[at].works.get(&number).map(|w| &w.stage) {
            Some(Stage::Streaming(_, left, _)) => Some(*left),
            _ => None,
        };
        match streaming {
            // What has come is passed on first.
            Some(_) => {}
            None => self.over_with(
                at,
                number,
                BackendVerdict::MayHaveRun("the backend closed").into_response(0, PeerResponse::default()),
            ),
        }
    }

    /// The backend is done with it. Its connection is let go where it is not kept.
    fn over(&mut self, at: usize, number: u64, word: BackendVerdict, reply: &Reply) {
        let bytes = if reply.complete { reply.bytes } else { reply.bytes.saturating_sub(1) };
        self.over_with(at, number, word.into_response(0, World::answer(reply, bytes)));
    }

    fn over_with(&mut self, at: usize, number: u64, said: PeerResponse) {
        self.let_go(at, number);
        self.after(at, number, &said);
        self.done(at);
        self.ends(at, number, said);
    }

    fn let_go(&mut self, at: usize, number: u64) {
        let open = self.proxies[at].conns.iter().find(|c| c.1.1 == Some(number)).map(|c| *c.0);
        if let Some(wire) = open {
            self.proxies[at].conns.remove(&wire);
            self.close(wire, 0, true);
        }
    }

    /// What its key comes to.
    fn after(&mut self, at: usize, number: u64, said: &PeerResponse) {
        let (now, takes_back) = (self.now, self.is(Breach::TakesBack));
        let proxy = &mut self.proxies[at];
        let Some(work) = proxy.works.get(&number).filter(|w| !w.ask.key.is_empty()) else { return };
        let (key, ticket) = (work.ask.key.clone(), work.ask.ticket.unwrap_or_default());
        let may = takes_back && said.verdict() == Verdict::MayHaveRun;
        self.judge.on_ended(&key, now);
        if may {
            keyed_operation::on_not_run(&mut proxy.operations, now, &key);
        }
        if may || keyed_operation::on_finished(&mut proxy.operations, now, &key, said) {
            self.withdraw(at, &key, ticket);
        }
    }

    fn withdraw(&mut self, at: usize, key: &str, ticket: Ticket) {
        let wires: Vec<u64> = self.proxies[at].voters.into_iter().flatten().collect();
        for wire in wires {
            let back = WithdrawClaim { key: key.into(), ticket: Some(ticket) };
            self.send(wire, 0, message(Payload::WithdrawClaim(back)));
        }
    }

    /// A large answer: what has come, and the rest as it comes.
    fn streams(&mut self, at: usize, number: u64, reply: Reply) {
        let said = BackendVerdict::Answered.into_response(0, World::answer(&reply, 1));
        let proxy = &mut self.proxies[at];
        let wire = proxy.conns.iter().find(|c| c.1.1 == Some(number)).map_or(0, |c| *c.0);
        let Some(work) = proxy.works.get_mut(&number) else { return };
        work.stage = Stage::Streaming(wire, reply.bytes - 1, reply);
        let from = work.from.clone();
        self.done(at);
        self.tell(at, number, &from, PeerResponse { more: true, ..said });
    }

    /// One more piece of each large answer.
    fn pieces(&mut self, at: usize) {
        let all: Vec<u64> = self.proxies[at].works.keys().copied().collect();
        for number in all {
            if !self.luck(0.3) {
                continue;
            }
            let (now, bodies) = (self.now, self.is(Breach::Bodies));
            let Some(work) = self.proxies[at].works.get_mut(&number) else { continue };
            let from = work.from.clone();
            let Stage::Streaming(wire, left, reply) = &mut work.stage else { continue };
            let wire = *wire;
            // The last byte of a body that was cut short never comes.
            let broken = *left == 1 && !reply.complete;
            let keep = reply.keep.then_some(now + Micros::ms(8_000));
            if *left > 0 && !broken {
                *left -= 1;
                self.part(at, &from, 1, false, false);
                continue;
            }
            self.part(at, &from, 0, true, broken && !bodies);
            let surplus = self.arrived(wire, 0);
            if let Some((connection, open)) = self.proxies[at].conns.get_mut(&wire)
                && !broken
                && let Action::Reuse(_) = connection.apply(Event::Complete { reusable_until: keep, surplus })
            {
                *open = None;
            }
            self.let_go(at, number);
            self.finished(at, number, &from);
        }
    }

    fn part(&mut self, at: usize, from: &From, bytes: usize, last: bool, broken: bool) {
        match from {
            From::Wire(wire, id) => {
                let bytes = Bytes::from(vec![b'x'; bytes]);
                let part = BodyChunk { id: *id, bytes, last, truncated: broken };
                self.send(*wire, 1, message(Payload::BodyChunk(part)));
            }
            From::Here(attempt, serial) => self.piece(at, attempt, *serial, bytes as u64, last, broken),
            From::Nobody => {}
        }
    }

    // ---- Its end ----------------------------------------------------------------------------------------

    /// It did not begin, or is done: its answer goes to who asked. A claim that led to nothing is taken back.
    fn ends(&mut self, at: usize, number: u64, said: PeerResponse) {
        let Some(from) = self.proxies[at].works.get(&number).map(|w| w.from.clone()) else { return };
        self.back(at, number);
        self.finished(at, number, &from);
        self.tell(at, number, &from, said);
    }

    fn finished(&mut self, at: usize, number: u64, from: &From) {
        self.proxies[at].works.remove(&number);
        if let From::Wire(wire, id) = from
            && let Some(open) = self.proxies[at].carried.get_mut(wire)
        {
            open.apply(IncomingEvent::Finished(*id));
        }
    }

    fn back(&mut self, at: usize, number: u64) {
        let now = self.now;
        let proxy = &mut self.proxies[at];
        let Some(work) = proxy.works.get_mut(&number) else { return };
        if work.claim.take().is_some() {
            let (key, ticket) = (work.ask.key.clone(), work.ask.ticket.unwrap_or_default());
            keyed_operation::on_not_run(&mut proxy.operations, now, &key);
            self.withdraw(at, &key, ticket);
        }
    }

    fn tell(&mut self, at: usize, _: u64, from: &From, said: PeerResponse) {
        match from {
            From::Wire(wire, id) => {
                let mut to = *wire;
                if self.is(Breach::BootIds)
                    && let Some(asker) = self.wires.get(wire).map(|w| w.ends[0]).or(self.asker(at, *wire))
                {
                    let ends = [asker, Agent::Proxy(at)];
                    let newest = self.wires.iter().rev().find(|w| w.1.ends == ends && !w.1.gone[0]);
                    to = newest.map_or(to, |w| *w.0);
                }
                self.send(to, 1, message(Payload::Response(PeerResponse { id: *id, ..said })));
            }
            From::Here(attempt, serial) => self.came(at, attempt, *serial, said),
            From::Nobody => {}
        }
    }

    /// Who had opened a link that has ended; only a breach asks.
    fn asker(&self, at: usize, wire: u64) -> Option<Agent> {
        let _ = wire;
        self.wires
            .values()
            .rev()
            .find(|w| w.ends[1] == Agent::Proxy(at) && matches!(w.ends[0], Agent::Proxy(_)))
            .map(|w| w.ends[0])
    }

    /// Nobody waits for it any more.
    pub(super) fn abort(&mut self, at: usize, number: u64) {
        let now = self.now;
        let boot_ids = self.is(Breach::BootIds);
        let Some(work) = self.proxies[at].works.get_mut(&number) else { return };
        match &work.stage {
            Stage::Claiming(hand) => {
                let hand = *hand;
                self.proxies[at].hands.remove(&hand);
            }
            Stage::Waiting(place) => {
                let place = *place;
                if self.proxies[at].waiting.remove(&place).is_some() {
                    self.proxies[at].door.cancel(now, place);
                }
            }
            Stage::Sending(..) | Stage::Sent => {
                if boot_ids {
                    return;
                }
                if !work.ask.key.is_empty() {
                    // It goes to its end: its answer is kept.
                    work.from = From::Nobody;
                    return;
                }
                self.let_go(at, number);
                self.done(at);
            }
            Stage::Streaming(..) => self.let_go(at, number),
        }
        self.back(at, number);
        self.proxies[at].works.remove(&number);
    }

    /// What is due here.
    pub(super) fn proxy_wakes(&mut self, at: usize) {
        if !self.proxies[at].up || self.proxies[at].frozen {
            return;
        }
        let now = self.now;
        self.verdicts(at, now);
        let all: Vec<u64> = self.proxies[at].works.keys().copied().collect();
        for number in all {
            self.written(at, number);
            let Some(work) = self.proxies[at].works.get(&number) else { continue };
            if now < work.until {
                continue;
            }
            match work.stage {
                Stage::Sending(..) | Stage::Sent => {
                    let said = BackendVerdict::MayHaveRun("no answer in time")
                        .into_response(0, PeerResponse::default());
                    self.over_with(at, number, said);
                }
                Stage::Waiting(place) => {
                    self.proxies[at].waiting.remove(&place);
                    self.proxies[at].door.cancel(now, place);
                    self.ends(at, number, without_answer(0, Verdict::NotRun, "full"));
                }
                Stage::Streaming(..) => {
                    let from = work.from.clone();
                    self.part(at, &from, 0, true, true);
                    self.let_go(at, number);
                    self.finished(at, number, &from);
                }
                Stage::Claiming(_) => {}
            }
        }
        self.pieces(at);
        self.outbound_wakes(at);
        if (now.0 / 1_000) % 100 == 0 {
            self.proxies[at].still.observe(now);
            self.looks(at);
            let (proxy, instance) = (&mut self.proxies[at], self.backends[at].instance.clone());
            proxy.operations.tick(now);
            proxy.knows = instance;
            let past: Vec<u64> = proxy
                .conns
                .iter()
                .filter(|c| c.1.1.is_none() && c.1.0.is_expired(now))
                .map(|c| *c.0)
                .collect();
            for wire in past {
                self.proxies[at].conns.remove(&wire);
                self.close(wire, 0, false);
            }
        }
    }

    /// Voters that are up are connected with again.
    pub(super) fn voters_again(&mut self, at: usize) {
        if !self.proxies[at].up || self.proxies[at].frozen {
            return;
        }
        for voter in 0..3 {
            if self.proxies[at].voters[voter].is_none() && self.voters[voter].up {
                let id = self.wire(Agent::Proxy(at), Agent::Voter(voter));
                self.proxies[at].voters[voter] = Some(id);
            }
        }
    }
}
