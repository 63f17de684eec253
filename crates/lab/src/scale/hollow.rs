//! Hollow agents: to a replica each is a proxy with a backend of its own; no request passes it, and it keeps no list, only who it was
//! told of. Messages, frames, connections and the counting of votes are the mesh's own code; when it dials, follows, asks and pulses it does
//! as the proxy's side does (`callboy.rs`).
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

use notchspool_idempotency::claim_proposal::{ClaimProposal, Outcome as ClaimOutcome};
use notchspool_mesh_protocol::text_transfer::{Incoming, TextStore};
use notchspool_mesh_protocol::{
    Claim, ConfigRequest, Endpoint, EndpointState, EndpointUpdate, Frame, Hello, Payload, Ping, Ticket,
    WatchEndpoints,
};
use notchspool_runtime::frame_connection::{self, FrameSender};
use oorandom::Rand64;
use prost::Message;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};

const PULSE: Duration = Duration::from_millis(500);
const SILENCE: Duration = Duration::from_millis(2_200);
const BEFORE_ASKING: Duration = Duration::from_millis(500);
const CLAIM: Duration = Duration::from_millis(250);
const TICK: Duration = Duration::from_millis(20);

/// What a hollow agent came to know.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// It reaches all replicas, follows one, has a configuration and was told of everybody.
    Whole,
    /// It was told this version of the configuration.
    Word(u64),
    /// It was told that this one drains.
    Drains(usize),
    /// A claim's end: granted or not, and how long it took; none: no majority in time.
    Claim(bool, Option<Duration>),
}

pub type Told = (Instant, Event);

/// What a thread is asked to do.
#[derive(Clone, Copy, Debug)]
pub enum Order {
    Drain(usize),
}

/// Bytes of frames by what they say.
#[derive(Debug, Default)]
pub struct Counts {
    pub sent: AtomicU64,
    pub pongs: AtomicU64,
    pub bills: AtomicU64,
    pub words: AtomicU64,
    pub claimed: AtomicU64,
    pub other: AtomicU64,
    pub frames_in: AtomicU64,
    pub frames_out: AtomicU64,
    pub open: AtomicU64,
    pub dials: AtomicU64,
    pub lost: AtomicU64,
}

impl Counts {
    pub fn came(&self) -> u64 {
        [&self.pongs, &self.bills, &self.words, &self.claimed, &self.other]
            .iter()
            .map(|c| c.load(Relaxed))
            .sum()
    }
}

/// What all threads share.
pub struct Shared {
    pub seed: u64,
    pub block: u8,
    pub hollow: usize,
    pub proxies: usize,
    pub services: usize,
    pub threads: usize,
    pub seeds: Vec<String>,
    pub ramp: Duration,
    pub counts: Counts,
    pub events: UnboundedSender<Told>,
    /// Over all, each second, in thousandths.
    pub changes: AtomicU64,
    pub claims: AtomicU64,
}

pub fn zone(n: usize) -> &'static str {
    ["a", "b", "c"][n % 3]
}
pub fn service(n: usize, services: usize) -> String {
    format!("service-{:04}", n % services.max(1))
}
/// `h-N` is a hollow agent's, `u-N` a real proxy's.
fn place(instance: &str, shared: &Shared) -> Option<usize> {
    let (kind, n) = instance.split_once('-')?;
    let n: usize = n.parse().ok()?;
    match kind {
        "h" if n < shared.hollow => Some(n),
        "u" if n < shared.proxies => Some(shared.hollow + n),
        _ => None,
    }
}

#[derive(Default)]
struct Seen {
    bits: Vec<u64>,
    count: usize,
}

struct Hollow {
    shared: Arc<Shared>,
    n: usize,
    life: u64,
    own: String,
    chance: RefCell<Rand64>,
    list: RefCell<Vec<String>>,
    dialed: RefCell<BTreeSet<String>>,
    open: RefCell<BTreeMap<String, (FrameSender, String)>>,
    followed: RefCell<Option<String>>,
    set: Cell<u64>,
    texts: RefCell<TextStore>,
    conns: Cell<u64>,
    failures: Cell<u32>,
    line: Cell<u64>,
    version: Cell<u64>,
    word: Cell<u64>,
    awaited: Cell<u64>,
    seen: RefCell<Seen>,
    whole: Cell<bool>,
    calls: Cell<u64>,
    number: Cell<u64>,
    drains: Cell<bool>,
    hands: RefCell<HashMap<u64, (ClaimProposal, Instant)>>,
}

impl Hollow {
    fn new(shared: &Arc<Shared>, n: usize) -> Rc<Hollow> {
        let mut chance = Rand64::new((u128::from(shared.seed) << 32) | n as u128);
        let all = shared.hollow + shared.proxies;
        Rc::new(Hollow {
            own: format!("127.{}.{}.{}:7620", shared.block, 40 + n / 200, n % 200 + 1),
            life: chance.rand_u64() | 1,
            chance: RefCell::new(chance),
            shared: shared.clone(),
            n,
            list: RefCell::default(),
            dialed: RefCell::default(),
            open: RefCell::default(),
            followed: RefCell::default(),
            set: Cell::new(0),
            texts: RefCell::new(TextStore::new(2)),
            conns: Cell::new(0),
            failures: Cell::new(0),
            line: Cell::new(0),
            version: Cell::new(0),
            word: Cell::new(0),
            awaited: Cell::new(0),
            seen: RefCell::new(Seen { bits: vec![0; all.div_ceil(64)], count: 0 }),
            whole: Cell::new(false),
            calls: Cell::new(1),
            number: Cell::new(0),
            drains: Cell::new(false),
            hands: RefCell::default(),
        })
    }

    fn dart(&self) -> f64 {
        self.chance.borrow_mut().rand_float()
    }
    fn tell(&self, event: Event) {
        // The driver may have ended.
        let _ = self.shared.events.send((Instant::now(), event));
    }
    fn send(&self, rope: &FrameSender, what: Payload) -> bool {
        let cue = Frame { payload: Some(what) };
        let bytes = 4 + cue.encoded_len() as u64;
        let sent = cue.payload.is_some_and(|what| rope.send(what));
        if sent {
            self.shared.counts.sent.fetch_add(bytes, Relaxed);
            self.shared.counts.frames_out.fetch_add(1, Relaxed);
        }
        sent
    }

    fn hello(&self) -> Payload {
        Payload::Hello(Hello {
            node: format!("hollow-{:05}", self.n),
            boot_id: self.life,
            zone: zone(self.n).into(),
            address: self.own.clone(),
            role: 1,
            ..Hello::default()
        })
    }
    fn station(&self) -> Payload {
        let state = if self.drains.get() { EndpointState::Draining } else { EndpointState::Ready };
        Payload::Endpoint(Endpoint {
            instance: format!("h-{:05}", self.n),
            service: service(self.n, self.shared.services),
            proxy: self.own.clone(),
            boot_id: self.life,
            number: self.calls.get(),
            zone: zone(self.n).into(),
            slots: 6,
            state: state.into(),
            warmup_ms: 0,
            address: self.own.replace(":7620", ":8301"),
            call_count: self.calls.get(),
        })
    }
    fn station_to_all(&self) {
        self.calls.set(self.calls.get() + 1);
        let open: Vec<FrameSender> = self.open.borrow().values().map(|v| v.0.clone()).collect();
        for rope in open {
            // One that has ended is dialled again, and told then.
            let _ = self.send(&rope, self.station());
        }
    }

    fn call(self: &Rc<Hollow>, address: String) {
        if !self.dialed.borrow_mut().insert(address.clone()) {
            return;
        }
        let own = self.clone();
        tokio::task::spawn_local(async move {
            let Ok(to) = address.parse::<SocketAddr>() else { return };
            let mut failures = 0u32;
            loop {
                own.shared.counts.dials.fetch_add(1, Relaxed);
                if let Ok(stream) = frame_connection::connect(to, Duration::from_millis(800)).await {
                    failures = 0;
                    let rope = FrameSender::default();
                    own.conns.set(own.conns.get() + 1);
                    let conn = own.conns.get();
                    let hello = own.texts.borrow_mut().outgoing(conn, own.hello());
                    own.send(&rope, hello);
                    own.shared.counts.open.fetch_add(1, Relaxed);
                    own.attend(stream, (&address, conn), rope).await;
                    own.texts.borrow_mut().on_closed(conn);
                    own.shared.counts.open.fetch_sub(1, Relaxed);
                    own.shared.counts.lost.fetch_add(1, Relaxed);
                    own.lost(&address);
                }
                let pause = 60.0 * f64::from(1u32 << failures.min(4)) * (0.5 + own.dart());
                failures += 1;
                tokio::time::sleep(Duration::from_millis(pause as u64)).await;
            }
        });
    }

    async fn attend(
        self: &Rc<Hollow>,
        stream: tokio::net::TcpStream,
        (address, conn): (&str, u64),
        rope: FrameSender,
    ) {
        let pulse = async {
            let mut number = 0;
            loop {
                tokio::time::sleep(PULSE).await;
                number += 1;
                self.send(&rope, Payload::Ping(Ping { number }));
            }
        };
        let (sends, own) = (rope.clone(), self.clone());
        let run = frame_connection::run(stream, rope.clone(), Some(SILENCE), |what| {
            own.prompted((address, conn), &sends, what);
        });
        tokio::select! { _ = run => (), () = pulse => () }
    }

    fn lost(self: &Rc<Hollow>, address: &str) {
        self.open.borrow_mut().remove(address);
        if self.followed.borrow().as_deref() == Some(address) {
            *self.followed.borrow_mut() = None;
            let failures = self.failures.get().min(5);
            self.failures.set(failures + 1);
            let pause = 100.0 * f64::from(1 << failures) * self.dart();
            let own = self.clone();
            tokio::task::spawn_local(async move {
                tokio::time::sleep(Duration::from_millis(pause as u64)).await;
                own.follow();
            });
        }
    }

    fn follow(&self) {
        if self.followed.borrow().is_some() {
            return;
        }
        let open = self.open.borrow();
        let mut all: Vec<_> = open.iter().collect();
        all.sort_by_key(|(_, v)| v.1 != zone(self.n));
        let near = all.iter().filter(|(_, v)| v.1 == zone(self.n)).count();
        let among = if near > 0 { near } else { all.len() };
        let at = (self.dart() * among as f64) as usize;
        let Some((address, (rope, _))) = all.get(at) else { return };
        *self.followed.borrow_mut() = Some((*address).clone());
        self.send(
            rope,
            Payload::WatchEndpoints(WatchEndpoints {
                version: self.version.get(),
                numbered_by: self.line.get(),
            }),
        );
    }

    fn prompted(self: &Rc<Hollow>, (address, conn): (&str, u64), rope: &FrameSender, what: Payload) {
        let cue = Frame { payload: Some(what) };
        let bytes = 4 + cue.encoded_len() as u64;
        let counts = &self.shared.counts;
        counts.frames_in.fetch_add(1, Relaxed);
        let kind = match &cue.payload {
            Some(Payload::Pong(_)) => &counts.pongs,
            Some(Payload::EndpointUpdate(_)) => &counts.bills,
            Some(Payload::ConfigUpdate(_) | Payload::TextEnvelope(_)) => &counts.words,
            Some(Payload::ClaimReply(_)) => &counts.claimed,
            _ => &counts.other,
        };
        kind.fetch_add(bytes, Relaxed);
        let Some(what) = cue.payload else { return };
        let what = match self.texts.borrow_mut().incoming(conn, what) {
            Incoming::Message(what) => Some(what),
            Incoming::Reply(back) => {
                self.send(rope, back);
                None
            }
            Incoming::Nothing => None,
        };
        match what {
            Some(Payload::Welcome(welcome)) => {
                let number = welcome.voter_set.as_ref().map_or(0, |s| s.number);
                self.set.set(self.set.get().max(number));
                if !welcome.voters.is_empty() {
                    self.list.borrow_mut().clone_from(&welcome.voters);
                    welcome.voters.iter().for_each(|v| self.call(v.clone()));
                }
                if self.list.borrow().iter().any(|v| v == address) {
                    self.open.borrow_mut().insert(address.to_string(), (rope.clone(), welcome.zone));
                    self.send(rope, self.station());
                    self.follow();
                    self.holding(rope, welcome.chosen_version, self.word.get() == 0);
                }
            }
            Some(Payload::KnownVersion(holding)) => self.holding(rope, holding.version, false),
            // Made out as a proxy does; the routes in it are not read.
            Some(Payload::ConfigUpdate(word)) if word.version > self.word.get() => {
                self.word.set(word.version);
                self.tell(Event::Word(word.version));
            }
            Some(Payload::EndpointUpdate(bill))
                if self.followed.borrow().as_deref() == Some(address)
                    && bill.version >= self.version.get() =>
            {
                self.failures.set(0);
                self.line.set(bill.numbered_by);
                self.version.set(bill.version);
                self.listed(&bill);
            }
            Some(Payload::ClaimReply(claimed)) => {
                let mut hands = self.hands.borrow_mut();
                let id = claimed.id;
                if let Some((round, began)) = hands.get_mut(&id) {
                    round.on_reply(claimed);
                    let verdict = round.outcome(false);
                    if verdict != ClaimOutcome::Pending {
                        self.tell(Event::Claim(verdict == ClaimOutcome::Granted, Some(began.elapsed())));
                        hands.remove(&id);
                    }
                }
            }
            _ => {}
        }
        self.check();
    }

    fn listed(&self, bill: &EndpointUpdate) {
        for station in &bill.endpoints {
            let Some(at) = place(&station.instance, &self.shared) else { continue };
            let mut seen = self.seen.borrow_mut();
            if let Some(word) = seen.bits.get_mut(at / 64)
                && *word & (1 << (at % 64)) == 0
            {
                *word |= 1 << (at % 64);
                seen.count += 1;
            }
            if station.state() == EndpointState::Draining {
                self.tell(Event::Drains(at));
            }
        }
    }

    fn check(&self) {
        if self.whole.get() {
            return;
        }
        let (list, all) = (self.list.borrow().len(), self.shared.hollow + self.shared.proxies);
        let told = self.word.get() > 0 && self.seen.borrow().count == all;
        if told && list > 0 && self.open.borrow().len() == list && self.followed.borrow().is_some() {
            self.whole.set(true);
            self.tell(Event::Whole);
        }
    }

    fn holding(self: &Rc<Hollow>, rope: &FrameSender, chosen: u64, at_once: bool) {
        if chosen <= self.awaited.get() || self.word.get() >= chosen {
            return;
        }
        self.awaited.set(chosen);
        let (own, rope) = (self.clone(), rope.clone());
        tokio::task::spawn_local(async move {
            if !at_once {
                tokio::time::sleep(BEFORE_ASKING).await;
            }
            if own.word.get() < chosen {
                own.send(&rope, Payload::ConfigRequest(ConfigRequest { version: chosen }));
            }
            tokio::time::sleep(BEFORE_ASKING).await;
            if own.awaited.get() == chosen {
                own.awaited.set(0);
            }
        });
    }

    fn claim(&self) {
        let number = self.number.get() + 1;
        self.number.set(number);
        let list = self.list.borrow();
        let key = format!("{:016x}-{:04x}-{number:014x}", self.life, self.n);
        let claim = Claim {
            id: number,
            key,
            ticket: Some(Ticket { boot_id: self.life, number, attempt: 0 }),
            holder: self.own.clone(),
            holder_boot_id: self.life,
            set_number: self.set.get(),
            ..Claim::default()
        };
        self.hands
            .borrow_mut()
            .insert(number, (ClaimProposal::new(self.set.get(), list.len()), Instant::now()));
        let ropes: Vec<FrameSender> = self.open.borrow().values().map(|v| v.0.clone()).collect();
        for rope in ropes {
            // Counted as late where too few are left.
            let _ = self.send(&rope, Payload::Claim(claim.clone()));
        }
    }
    /// Claims that have no majority by now have none.
    fn late(&self) {
        self.hands.borrow_mut().retain(|_, (_, began)| {
            let open = began.elapsed() < CLAIM;
            if !open {
                self.tell(Event::Claim(false, None));
            }
            open
        });
    }
}

/// Every agent in turn, at a rate that may change.
struct Turns {
    due: f64,
    next: usize,
}

impl Turns {
    fn take(&mut self, each_second: f64, span: Duration, among: usize) -> Vec<usize> {
        self.due += each_second * span.as_secs_f64();
        let now = self.due.floor();
        self.due -= now;
        let first = self.next;
        self.next += now as usize;
        (first..self.next).map(|n| n % among.max(1)).collect()
    }
}

/// One thread's agents, until nobody orders any more.
pub fn run(shared: &Arc<Shared>, nth: usize, mut orders: UnboundedReceiver<Order>) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let mine: Vec<Rc<Hollow>> =
            (nth..shared.hollow).step_by(shared.threads).map(|n| Hollow::new(shared, n)).collect();
        for own in &mine {
            let (own, part) = (own.clone(), own.n as f64 / shared.hollow as f64);
            tokio::task::spawn_local(async move {
                tokio::time::sleep(own.shared.ramp.mul_f64(part)).await;
                own.shared.seeds.clone().into_iter().for_each(|s| own.call(s));
            });
        }
        let (all, asked) = (mine.clone(), shared.clone());
        tokio::task::spawn_local(async move {
            let mut turns = [Turns { due: 0.0, next: 0 }, Turns { due: 0.0, next: 0 }];
            let mut last = Instant::now();
            let share = |rate: &AtomicU64| rate.load(Relaxed) as f64 / 1e3 / asked.threads as f64;
            loop {
                tokio::time::sleep(TICK).await;
                let span = std::mem::replace(&mut last, Instant::now()).elapsed();
                for n in turns[0].take(share(&asked.changes), span, all.len()) {
                    all.get(n).into_iter().for_each(|own| own.station_to_all());
                }
                for n in turns[1].take(share(&asked.claims), span, all.len()) {
                    all.get(n).into_iter().for_each(|own| own.claim());
                }
                all.iter().filter(|own| !own.hands.borrow().is_empty()).for_each(|own| own.late());
            }
        });
        while let Some(Order::Drain(n)) = orders.recv().await {
            if let Some(own) = mine.iter().find(|own| own.n == n) {
                own.drains.set(true);
                own.station_to_all();
            }
        }
    });
    Ok(())
}
