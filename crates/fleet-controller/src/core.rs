//! The keeper's loop: contender, office while it owns, and whoever calls. All state is here; what leaves leaves from here.
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use notchspool::units::Micros;
use notchspool_command_controller::{Office, Tell, notes};
use notchspool_commands::{InstanceId, Revision};
use notchspool_consensus::acceptor_recovery::Recovery;
use notchspool_consensus::lease_owner::{Contender, Effects, Event};
use notchspool_consensus::{ContenderId, OWNER_KEY, OwnerRecord, Request, Space, VoterId};
use notchspool_fleet_protocol::{Body, Keeper, Message};
use notchspool_leases::lease_table::Renewal;
use oorandom::Rand64;
use rustix::process::{Signal, getpid, kill_process};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::peers::{Answered, Link, Peer};
use crate::seat::Seat;
use crate::{File, Hold, Start, calls};

/// The one job there is so far.
pub const JOB: &str = "orders";
const CALLERS: usize = 8192;
const NEWS: usize = 4096;
const BATCH: usize = 512;
/// Orders whose time is remembered; more than are kept.
const OVERHEARD: usize = 2_048;
const TICK: Micros = Micros::ms(50);
/// Under these numbers the others answer a voter that lost its disk; the life is in it.
const READMISSION: u64 = 1 << 63;

enum News {
    Came(u64, mpsc::Sender<String>),
    Said(u64, Box<Message>),
    Gone(u64),
    /// A line was no message, and why: one of the few words of `Wrong::counted`.
    Wrong(&'static str),
}

/// What waits till a write is with a majority.
enum Due {
    Say { call: u64, no: u64, body: Body },
    Tell(Tell),
}

struct Core {
    file: File,
    hold: Option<Hold>,
    began: Instant,
    chance: Rand64,
    seat: Seat,
    own_answers: mpsc::Sender<Answered>,
    peers: BTreeMap<VoterId, Peer>,
    readmission: Option<Recovery>,
    readmit_at: Micros,
    contender: Contender,
    office: Option<Office>,
    ticked: Micros,
    callers: BTreeMap<u64, mpsc::Sender<String>>,
    /// Where an instance is reached.
    at: BTreeMap<InstanceId, u64>,
    due: Vec<Due>,
    /// When orders that others own are over, by our clock: from the moment this keeper's voter first saw them written.
    deadlines: BTreeMap<Revision, Micros>,
    waiting: BTreeMap<u64, Vec<Due>>,
    writes: u64,
    refused: BTreeMap<String, u64>,
}

pub async fn live(file: File, start: Start) -> Result<(), String> {
    let began = Instant::now();
    let own = VoterId(file.place);
    let seed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let seed = (seed.as_nanos() as u64) ^ (u64::from(std::process::id()) << 40) ^ u64::from(file.place);
    let mut chance = Rand64::new(seed.into());
    // A write beyond a limit on the size of files comes back as an error then, and ends nothing.
    let _over = signal(SignalKind::from_raw(Signal::XFSZ.as_raw())).map_err(|e| e.to_string())?;
    let seat = Seat::open(&file.fleet, file.state.clone(), own, file.terms, start.first, began)?;
    let long = calls::long();
    let listener = TcpListener::bind(file.listen).await.map_err(|e| format!("{}: {e}", file.listen))?;
    let (answered, mut answers) = mpsc::channel::<Answered>(NEWS);
    let mut peers = BTreeMap::new();
    for (nth, at) in file.voters.iter().enumerate().filter(|(nth, _)| *nth != usize::from(file.place)) {
        let link = Link {
            fleet: file.fleet.clone(),
            name: file.name.clone(),
            voter: VoterId(nth as u16),
            at: *at,
            silent: Duration::from_micros((file.terms.lease.0 / 3).max(200_000) as u64),
            seed: chance.rand_u64(),
            long: long.clone(),
        };
        peers.insert(VoterId(nth as u16), link.open(answered.clone()));
    }
    let (tell, mut news) = mpsc::channel(NEWS);
    tokio::spawn(accept(listener, file.fleet.clone(), long, tell));
    let mut term = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
    let id = ContenderId(chance.rand_u64() | 1);
    let (name, place) = (file.name.clone(), file.place.to_string());
    let contender = Contender::new(id, &name, &place, JOB, file.terms, Micros(0), chance.rand_float());
    log::info!("{name}: keeper {} of {} at {}", file.place + 1, file.voters.len(), file.listen);
    let mut core = Core {
        readmission: seat.how.is_blank().then(|| Recovery::new(own, file.terms)),
        readmit_at: Micros(0),
        file,
        hold: start.hold,
        began,
        chance,
        seat,
        own_answers: answered,
        peers,
        contender,
        office: None,
        ticked: Micros(0),
        callers: BTreeMap::new(),
        at: BTreeMap::new(),
        due: Vec::new(),
        deadlines: BTreeMap::new(),
        waiting: BTreeMap::new(),
        writes: 0,
        refused: BTreeMap::new(),
    };
    loop {
        let wait = core.wait();
        tokio::select! {
            one = news.recv() => {
                let Some(one) = one else { return Err("nobody accepts any more".into()) };
                core.news(one);
            }
            one = answers.recv() => if let Some(one) = one { core.answered(one) },
            () = sleep(wait) => {}
            _ = term.recv() => {
                core.leave();
                // What was said last is written by others' tasks.
                sleep(Duration::from_millis(50)).await;
                return Ok(());
            }
        }
        for _ in 0..BATCH {
            let (mut some, mut n) = (false, 0);
            while let Ok(one) = answers.try_recv() {
                core.answered(one);
                (some, n) = (true, n + 1);
                if n > BATCH {
                    break;
                }
            }
            if let Ok(one) = news.try_recv() {
                core.news(one);
                some = true;
            }
            if !some {
                break;
            }
        }
        core.pass();
    }
}

async fn accept(
    listener: TcpListener,
    fleet: String,
    long: std::sync::Arc<tokio::sync::Semaphore>,
    tell: mpsc::Sender<News>,
) {
    let callers = std::sync::Arc::new(tokio::sync::Semaphore::new(CALLERS));
    for call in 1.. {
        let Ok(room) = callers.clone().acquire_owned().await else { return };
        let io = match listener.accept().await {
            Ok((io, _)) => io,
            Err(why) => {
                log::warn!("accept: {why}");
                sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        let (mut lines, say) = calls::split(io, long.clone());
        let (fleet, tell) = (fleet.clone(), tell.clone());
        tokio::spawn(async move {
            let _room = room;
            if tell.send(News::Came(call, say.clone())).await.is_err() {
                return;
            }
            let code = loop {
                match lines.next().await {
                    Ok(Some(line)) => match Message::read(&line, &fleet) {
                        Ok(message) => {
                            if tell.send(News::Said(call, Box::new(message))).await.is_err() {
                                return;
                            }
                        }
                        Err(wrong) => {
                            let why = wrong.to_string();
                            let line = Message::new(&fleet, "keeper", 0, Body::Refused { why }).written();
                            let _ = say.try_send(line);
                            let _ = tell.send(News::Wrong(wrong.counted())).await;
                            break wrong.counted();
                        }
                    },
                    Ok(None) => break "closed",
                    Err(_) => break "reset",
                }
            };
            log::debug!("connection {call} ended: {code}");
            let _ = tell.send(News::Gone(call)).await;
        });
    }
}

impl Core {
    fn now(&self) -> Micros {
        Micros(self.began.elapsed().as_micros() as i64)
    }
    fn wait(&self) -> Duration {
        let mut next = self.contender.next_deadline();
        if self.office.is_some() {
            next = next.min(self.ticked + TICK);
        }
        if self.readmission.is_some() {
            next = next.min(self.readmit_at);
        }
        Duration::from_micros((next - self.now()).0.clamp(200, 1_000_000) as u64)
    }

    /// A test stops this process here.
    fn point(&mut self, at: &str) {
        if let Some(hold) = self.hold.as_mut().filter(|h| h.at == at) {
            hold.nth = hold.nth.saturating_sub(1);
            if hold.nth == 0 {
                self.hold = None;
                log::warn!("held at {at}");
                log::logger().flush();
                let _ = kill_process(getpid(), Signal::STOP);
            }
        }
    }

    fn say(&mut self, call: u64, no: u64, body: Body) {
        let line = Message::new(&self.file.fleet, &self.file.name, no, body).written();
        let full = self.callers.get(&call).is_some_and(|say| say.try_send(line).is_err());
        if full {
            // Who does not read is let go.
            self.callers.remove(&call);
        }
    }

    fn answered(&mut self, (from, no, answer): Answered) {
        let now = self.now();
        if no & READMISSION != 0 {
            let life = no & !READMISSION;
            if let Some(disk) = self.readmission.as_mut().and_then(|r| r.on_response(from, life, answer)) {
                self.seat.readmitted(disk);
                self.readmission = None;
            }
            return;
        }
        let draw = self.chance.rand_float();
        let out = self.contender.on_response(now, draw, from, no, answer);
        self.out(out);
    }

    fn out(&mut self, out: Effects) {
        for post in out.messages {
            if post.to == VoterId(self.file.place) {
                let (tell, no, to) = (self.own_answers.clone(), post.number, post.to);
                let reply = Box::new(move |answer| drop(tell.try_send((to, no, answer))));
                self.seat.ask(post.request, reply);
            } else if let Some(peer) = self.peers.get(&post.to) {
                peer.ask(post.number, post.request);
            }
        }
        for event in out.events {
            match event {
                Event::Acquired { token, entries } => {
                    let (seed, now) = (self.chance.rand_u64(), self.now());
                    let mut office = Office::open(self.file.office, token, &entries, seed, now);
                    office.due(&self.deadlines);
                    for key in &office.unread {
                        log::error!("register `{key}` can't be read and is left out");
                    }
                    log::info!("owns {JOB} under token {}: {} instances", token.0, office.instances());
                    (self.office, self.ticked) = (Some(office), now);
                }
                Event::Committed(nth) => {
                    self.writes += 1;
                    let later = self.waiting.split_off(&(nth + 1));
                    for due in std::mem::replace(&mut self.waiting, later).into_values().flatten() {
                        self.release(due);
                    }
                }
                Event::Lost(why) => {
                    log::warn!("owns {JOB} no more: {why:?}");
                    self.lost();
                }
            }
        }
    }

    /// What was promised to nobody yet is said to be open: whoever asked asks the next owner, under the same id.
    fn lost(&mut self) {
        self.office = None;
        self.at.clear();
        let waiting = std::mem::take(&mut self.waiting).into_values().flatten();
        for due in waiting.chain(std::mem::take(&mut self.due)) {
            if let Due::Say { call, no, .. } = due {
                self.say(call, no, Body::Later { after_us: 100_000 });
            }
        }
    }

    fn release(&mut self, due: Due) {
        match due {
            Due::Say { call, no, body } => {
                self.point("reply");
                self.say(call, no, body);
            }
            Due::Tell(tell) => {
                // Looked at for each one: the lease may run out in the middle of a wave.
                let Some(token) = self.contender.owns(self.now()) else { return };
                self.point("send-order");
                if let Some(call) = self.at.get(&tell.id).copied() {
                    let Tell { epoch, revision, act, .. } = tell;
                    self.say(call, 0, Body::Do { token, job: JOB.into(), epoch, revision, act });
                }
            }
        }
    }

    fn news(&mut self, news: News) {
        match news {
            News::Came(call, say) => drop(self.callers.insert(call, say)),
            News::Gone(call) => {
                self.callers.remove(&call);
                self.at.retain(|_, at| *at != call);
            }
            News::Said(call, message) => self.heard(call, *message),
            News::Wrong(why) => *self.refused.entry(why.to_owned()).or_default() += 1,
        }
    }

    /// What another owner writes comes by here: who it is, for those that ask; and its orders end at their time, whoever owns then.
    fn overheard(&mut self, ask: &Request) {
        let Request::Accept { space: Space::Owner(job) | Space::State(job), changes, .. } = ask else {
            return;
        };
        if job != JOB {
            return;
        }
        if matches!(ask, Request::Accept { space: Space::Owner(_), .. }) {
            let record = changes
                .iter()
                .find(|(key, _)| key == OWNER_KEY)
                .and_then(|(_, text)| OwnerRecord::parse(text));
            return record.into_iter().for_each(|record| self.contender.observe_owner(record));
        }
        let now = self.now();
        for (_, text) in changes.iter().filter(|(key, _)| key.starts_with("o/")) {
            if let Some(note) = notes::read::<notes::Order>(text) {
                self.deadlines.entry(note.revision).or_insert(now + Micros(note.left_us));
            }
        }
        while self.deadlines.len() > OVERHEARD {
            self.deadlines.pop_first();
        }
    }

    fn elsewhere(&self) -> Body {
        let place = self.contender.last_owner().filter(|o| !o.released).and_then(|o| o.address.parse().ok());
        Body::Elsewhere { place: place.filter(|p| *p != self.file.place) }
    }

    fn heard(&mut self, call: u64, message: Message) {
        let Message { no, body, from, .. } = message;
        match body {
            Body::Ask(ask) => {
                if let Request::Accept { space: Space::Owner(job), lease: Some(lease), .. } = &ask
                    && job == JOB
                    && lease.duration_us == 0
                {
                    let (now, draw) = (self.now(), self.chance.rand_float());
                    self.contender.on_release_observed(now, draw);
                }
                self.overheard(&ask);
                let Some(say) = self.callers.get(&call).cloned() else { return };
                let (fleet, name) = (self.file.fleet.clone(), self.file.name.clone());
                let reply = Box::new(move |answer| {
                    let _ = say.try_send(Message::new(&fleet, &name, no, Body::Answer(answer)).written());
                });
                self.seat.ask(ask, reply);
            }
            Body::Owner => {
                let is = self.own();
                self.say(call, no, Body::OwnerIs(is));
            }
            body => {
                let now = self.now();
                // By its own clock, before each answer: after a long pause nothing is answered as an owner.
                if self.office.is_none() || self.contender.owns(now).is_none() {
                    let elsewhere = self.elsewhere();
                    return self.say(call, no, elsewhere);
                }
                self.owner_hears(now, call, no, &from, body);
            }
        }
    }

    fn own(&self) -> Keeper {
        let seen = self.contender.last_owner().filter(|o| !o.released);
        Keeper {
            name: self.file.name.clone(),
            place: self.file.place,
            program: env!("CARGO_PKG_VERSION").into(),
            voter: self.seat.how.word().into(),
            owner: seen.and_then(|o| Some((o.name.clone(), o.address.parse().ok()?, o.token))),
            owns: self.contender.owns(self.now()).is_some(),
            instances: self.office.as_ref().map_or(0, Office::instances),
            writes: self.writes,
            refused: self.refused.clone(),
        }
    }

    fn owner_hears(&mut self, now: Micros, call: u64, no: u64, from: &str, body: Body) {
        let Some(office) = &mut self.office else { return };
        let token = office.token;
        let mut after = |body| self.due.push(Due::Say { call, no, body });
        match body {
            Body::Register { zone, life, report } => match office.register(now, from, &zone, life, report) {
                Ok(r) => {
                    self.at.insert(r.id, call);
                    let (id, epoch, again_us) = (r.id, r.epoch, r.renew_in.0);
                    after(Body::Registered { id, epoch, token, again_us });
                }
                Err(wait) => self.say(call, no, Body::Later { after_us: wait.0 }),
            },
            Body::Renew { id, epoch, report } => {
                let body = match office.renew(now, id, epoch, report) {
                    Renewal::Renewed { renew_in, .. } => {
                        self.at.insert(id, call);
                        Body::Renewed { token, again_us: renew_in.0 }
                    }
                    Renewal::Fenced(_) => Body::Anew { fenced: true },
                    Renewal::Unknown => Body::Anew { fenced: false },
                    Renewal::RetryAfter(wait) => Body::Later { after_us: wait.0 },
                };
                self.say(call, no, body);
            }
            Body::Did { id, epoch, revision, outcome } => {
                if !office.said(id, epoch, revision, &outcome) {
                    log::debug!("{from}: {revision:?} in {epoch:?}: {outcome:?} changes nothing");
                }
            }
            Body::Leave { id, epoch } => {
                office.leave(now, id, epoch);
            }
            Body::Order(order) => match office.take(now, &order) {
                Ok((revision, whom)) => {
                    log::info!("{from}: {:?} for {whom}: revision {}", order.act, revision.0);
                    after(Body::Taken { revision, whom });
                }
                Err(why) => self.say(call, no, Body::Refused { why }),
            },
            Body::Instances => {
                let instances = office.list(now);
                let guarded = instances.iter().any(|i| i.standing == "held");
                self.say(call, no, Body::InstancesAre { token, instances, guarded });
            }
            Body::Orders { last } => {
                let orders = office.orders(now, last.min(1000));
                self.say(call, no, Body::OrdersAre { orders });
            }
            Body::Look { revision } => {
                let orders: Vec<_> = office.ordered(now, revision, true).into_iter().collect();
                self.say(call, no, Body::OrdersAre { orders });
            }
            Body::LetGo => {
                let draw = self.chance.rand_float();
                let out = self.contender.release(now, draw);
                self.out(out);
                self.say(call, no, Body::Done);
            }
            other => {
                log::debug!("{from}: {other:?} is nothing that a keeper is asked");
                self.say(call, no, Body::Refused { why: "this is not asked of a keeper".into() });
            }
        }
    }

    /// After whatever came: time goes on, and what is to be written is written.
    fn pass(&mut self) {
        let now = self.now();
        let draw = self.chance.rand_float();
        let out = self.contender.tick(now, draw);
        self.out(out);
        self.readmit(now);
        let owns = self.contender.owns(now).is_some();
        let Some(office) = self.office.as_mut().filter(|_| owns) else { return };
        if now - self.ticked >= TICK {
            self.ticked = now;
            office.pass(now);
        }
        let (changes, tells) = office.flush(now);
        let mut due = std::mem::take(&mut self.due);
        due.extend(tells.into_iter().map(Due::Tell));
        if changes.is_empty() {
            // What others' dues wait for may be on its way: an answer must not overtake what it stands on.
            match self.waiting.last_entry() {
                Some(mut last) => last.get_mut().extend(due),
                None => due.into_iter().for_each(|due| self.release(due)),
            }
            return;
        }
        self.point("write");
        let mut out = Effects::default();
        match self.contender.write(now, changes, &mut out) {
            Some(nth) => {
                self.waiting.entry(nth).or_default().extend(due);
                self.out(out);
            }
            None => {
                self.due = due;
                self.lost();
            }
        }
    }

    fn readmit(&mut self, now: Micros) {
        let Some(readmission) = self.readmission.as_ref().filter(|_| self.readmit_at <= now) else { return };
        self.readmit_at = now + Micros::ms(200);
        let (ask, open) = (readmission.request(), readmission.outstanding());
        let Request::Readmit { incarnation, .. } = &ask else { return };
        for to in open {
            if let Some(peer) = self.peers.get(&to) {
                peer.ask(READMISSION | incarnation, ask.clone());
            }
        }
    }

    fn leave(&mut self) {
        let (now, draw) = (self.now(), self.chance.rand_float());
        log::info!("asked to end");
        let out = self.contender.release(now, draw);
        self.out(out);
    }
}
