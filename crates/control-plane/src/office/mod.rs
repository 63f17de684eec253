//! All that one prompter decides. It is told the time, chance, what came on its connections and what its disk has done, and gives back
//! what is to be sent, kept and answered. Nothing of a vote leaves before the disk has it.
use std::collections::{BTreeMap, BTreeSet, VecDeque};

use notchspool::units::Micros;
use notchspool_consensus::acceptor::{Acceptor, DurableState};
use notchspool_consensus::reconfiguration::Reconfiguration;
use notchspool_consensus::voter_set::{SuccessorRegister, VoterSet};
use notchspool_consensus::{Ballot, ContenderId, Entry, Parameters, Reply, Response, VoterId};
use notchspool_endpoint_registry::board::Board;
use notchspool_idempotency::rack::{Rack, Vote};
use notchspool_mesh_config::digest::Digest;
use notchspool_mesh_config::proposer::{
    self, CONFIG_KEY, CallResult, Effect, Operation, Proposer, VersionedConfig,
};
use notchspool_mesh_config::route_config::RouteConfig;
use notchspool_mesh_protocol as cues;
use notchspool_mesh_protocol::snapshot::Sending;
use notchspool_mesh_protocol::{Age, Claim, Claimed, Holding, Want, Watch, Welcome, What, Word};
pub use notchspool_runtime::told::Tolerate;
use notchspool_storage::{Deed, Found};
use oorandom::Rand64;

use crate::seats;
use repair::Frozen;

mod board;
mod config;
mod keys;
mod members;
mod repair;

/// A connection, numbered by the host.
pub type Conn = u64;

/// How often prompters tell each other whom they heard.
const TELL: Micros = Micros::ms(500);
/// A prompter not heard for this long is not reached.
const REACH: Micros = Micros::ms(1_600);
/// A young board is not told: most ushers have not spoken yet.
const GATHER: Micros = Micros::ms(1_200);
/// What was accepted and not known to be chosen is looked into after this, and as much again by chance.
const UNSURE: Micros = Micros::ms(150);
/// Whose clock goes on by more than this between two wakes has stood still meanwhile.
const STILL: Micros = Micros::ms(1_000);
/// Operators' calls in hand, votes that wait for the disk.
const MOST: usize = 8_192;

/// What is to be done. Most of them send, so the size of a message is that of most.
#[allow(clippy::large_enum_variant)]
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    Send(Conn, What),
    /// To be on the disk; then `saved` is called with the number. Under 1: nobody waits for it.
    Save(u64, Vec<Deed>),
    /// The answer to an operator's call: status and body.
    Reply(u64, u16, String),
    /// The voters are known now: these are to be connected with.
    Voters(Vec<String>),
    Log(String),
}

#[derive(Clone, Debug, Default)]
struct Guest {
    usher: bool,
    voter: Option<usize>,
    /// The prompter that speaks on it.
    core: Option<String>,
    instance: String,
    /// The version it has of this board, where it follows; it held no list when it came.
    follows: Option<u64>,
    bare: bool,
    heard: Micros,
}

/// What waits for the disk.
#[derive(Clone, Debug)]
enum Pending {
    Claimed(Conn, Box<Claimed>),
    Voted(Option<Conn>, u64, Box<(u64, Response)>),
    /// An answer on the successor of a set.
    Changed(Option<Conn>, Box<cues::Changed>),
    /// The seal of a set that is over.
    Frozen(u64),
    /// A set that is installed with it.
    Installed(u64),
    Handed(Conn, cues::Handed),
}

/// Where this prompter stands in the set that it knows. `adopt`, `place`, `installed` and `settled` move it on.
///
/// ```text
/// Unknown -learns-> Spare | Installing     Installing -told enough-> Settling -on the disk-> Seated
/// Seated, Installing, Settling, Spare -learns a later set-> Spare | Installing
/// ```
enum State {
    /// Who votes is not known yet.
    Unknown,
    /// It has no seat.
    Spare,
    /// It has a seat, and asks the others for what was decided so far.
    Installing,
    /// All is told, and on its way to the disk.
    Settling(Box<Acceptor>),
    /// It votes, unless it is sealed or leaves.
    Seated(Acceptor),
}

/// What a prompter starts with.
#[derive(Clone, Debug, Default)]
pub struct Opening {
    /// Its inner address, and where it stands.
    pub own: String,
    pub zone: String,
    /// Its loss counts: it may have a seat.
    pub counted: bool,
    pub tolerate: Tolerate,
    /// Drawn at the start of the process.
    pub life: u64,
    pub first_start: bool,
    /// Inner addresses of who is known to serve control; at the first start of all these are the first set.
    pub seeds: Vec<String>,
    /// For how long claims are kept.
    pub window: Micros,
}

pub struct Office {
    own: String,
    zone: String,
    counted: bool,
    tolerate: Tolerate,
    life: u64,
    /// Which life of the disk.
    incarnation: u64,
    window: Micros,
    chance: Rand64,
    began_at: Micros,
    /// Since when it gathers what ushers say.
    started: Micros,
    /// The last set that is known to be decided, and the one before where that is known.
    set: VoterSet,
    previous: Option<VoterSet>,
    /// Incarnations that are over, by address, as far as this process has learnt of it.
    retired: BTreeMap<String, VecDeque<u64>>,
    /// Snapshots that others are being told, and those that are being told here, by address.
    sendings: VecDeque<Sending>,
    assemblies: BTreeMap<String, repair::Incoming>,
    terms: Parameters,
    state: State,
    /// What it has of the successor of the set that it votes in, and whether that is on its way to the disk.
    register: SuccessorRegister,
    register_owed: bool,
    /// Sealed: when the change is taken up from here.
    sealed_at: Option<Micros>,
    /// What it had under the set before, till it votes in this one.
    frozen: Option<Frozen>,
    /// What it was told of the state of the set that is being installed, by set and place.
    told: BTreeMap<(u64, u32), cues::All>,
    withdrawn: Vec<(String, cues::Ticket)>,
    gather_at: Micros,
    gather_wait: Micros,
    change: Option<Reconfiguration>,
    wished_at: Option<Micros>,
    /// The last set that was proposed from here, for the log.
    proposed: u64,
    cores: BTreeMap<String, members::Core>,
    reached: bool,
    /// It ends by then. Who has confirmed what it handed over, and when it does so again.
    leaving: Option<Micros>,
    handed: BTreeSet<usize>,
    hand_at: Micros,
    proposer: Proposer,
    pub board: Board,
    pub rack: Rack,
    chosen: Option<VersionedConfig>,
    /// The same as it is sent.
    packed: Word,
    /// The version accepted here and not known to be chosen, and when it is looked into.
    unsure: Option<Micros>,
    /// What is chosen here was the newest at some moment since `doubted`.
    sure: bool,
    /// When it last stood still, or was last without more than half: only a round begun since makes it sure.
    doubted: Micros,
    last: Micros,
    guests: BTreeMap<Conn, Guest>,
    /// Connections that this prompter opened, and where to; among them those to other voters, by place.
    dialed: BTreeMap<Conn, String>,
    peers: BTreeMap<usize, (Conn, Micros)>,
    pending: BTreeMap<u64, Pending>,
    next: u64,
    /// The register's writes handed to the disk, and whether the last is known to be there.
    owed: bool,
    calls: BTreeMap<u64, Call>,
    tell_at: Micros,
    rack_at: Micros,
    told_sure: bool,
    pub counts: Counts,
}

/// Sums since the start, for the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub claims: u64,
    pub taken: u64,
    pub withdrawn: u64,
    pub puts: u64,
    pub refused: u64,
    pub unheard: u64,
    /// Messages of another set's number.
    pub other_sets: u64,
}

/// Whose call it is, by the host's number.
#[derive(Clone, Debug)]
enum Call {
    /// With its version.
    Put(u64, u64),
    Read(u64),
    Own,
}

fn terms(voters: usize) -> Parameters {
    Parameters { retry_interval: Micros::ms(150), ..Parameters::new(voters.max(1), Micros::ms(3_000)) }
}

impl Office {
    pub fn open(opening: Opening, found: Found, now: Micros) -> (Office, Vec<Act>) {
        let mut acts = Vec::new();
        let life = opening.life;
        let mut rack = Rack::open(opening.window);
        found.claims.iter().for_each(|c| rack.put(now, c));
        let mut office = Office {
            own: opening.own,
            zone: opening.zone,
            counted: opening.counted,
            tolerate: opening.tolerate,
            life,
            incarnation: life.max(1),
            window: opening.window,
            chance: Rand64::new(u128::from(life)),
            began_at: now,
            started: now,
            set: VoterSet::default(),
            previous: None,
            retired: BTreeMap::new(),
            sendings: VecDeque::new(),
            assemblies: BTreeMap::new(),
            terms: terms(1),
            state: State::Unknown,
            register: SuccessorRegister::default(),
            register_owed: false,
            sealed_at: None,
            frozen: None,
            told: BTreeMap::new(),
            withdrawn: Vec::new(),
            gather_at: now,
            gather_wait: repair::GATHER_AGAIN,
            change: None,
            wished_at: None,
            proposed: 0,
            cores: BTreeMap::new(),
            reached: false,
            leaving: None,
            handed: BTreeSet::new(),
            hand_at: now,
            proposer: Proposer::new(terms(1), ContenderId(life)),
            board: Board::default(),
            rack,
            chosen: None,
            packed: Word::default(),
            unsure: None,
            sure: false,
            doubted: now,
            last: now,
            guests: BTreeMap::new(),
            dialed: BTreeMap::new(),
            peers: BTreeMap::new(),
            pending: BTreeMap::new(),
            next: 1,
            owed: false,
            calls: BTreeMap::new(),
            tell_at: now,
            rack_at: now,
            told_sure: false,
            counts: Counts::default(),
        };
        match found.seat {
            Some(seat) if seat.set.is_valid() => {
                office.incarnation = seat.incarnation;
                let line = format!(
                    "start with a disk of incarnation {:x}, {} claims",
                    seat.incarnation,
                    office.rack.len()
                );
                acts.push(Act::Log(line));
                office.adopt(now, seat.set, seat.previous, &mut acts);
                office.register = seat.register;
                office.state = State::Spare;
                if let Some(own) = office.own_place() {
                    let entries =
                        found.entry.clone().map(|e| (CONFIG_KEY.to_string(), e)).into_iter().collect();
                    let spaces = vec![(proposer::config_space(), found.promised, entries, None).into()];
                    let disk = DurableState { spaces, ..DurableState::default() };
                    office.state =
                        State::Seated(Acceptor::open(VoterId(own as u16), office.terms, disk, now));
                }
                office.own_read(now, &mut acts);
            }
            _ if opening.first_start => office.found(now, &opening.seeds, &mut acts),
            _ => acts.push(Act::Log("start with an empty disk: others are asked".into())),
        }
        (office, acts)
    }

    /// The settings say so by now.
    pub fn counts_now(&mut self, counted: bool) {
        self.counted = counted;
    }

    pub fn life(&self) -> u64 {
        self.life
    }

    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    fn welcome(&self, recalled: Option<cues::Station>) -> What {
        let own = self.own_place().map_or(u32::MAX, |v| v as u32);
        let chosen = self.chosen.as_ref().map_or(0, |h| h.version);
        let known = self.set.number > 0;
        What::Welcome(Welcome {
            voters: self.set.addresses(),
            own,
            chosen,
            sure: self.sure,
            zone: self.zone.clone(),
            recalled,
            set: known.then(|| members::to_wire(&self.set)),
            previous: self.previous.as_ref().map(members::to_wire),
            ..Welcome::default()
        })
    }

    fn meet_all(&mut self, now: Micros, acts: &mut Vec<Act>) {
        // Connections that stand by now were opened before it was known who votes.
        self.peers.clear();
        self.handed.clear();
        self.guests.values_mut().for_each(|g| g.voter = None);
        let conns: Vec<Conn> = self.dialed.keys().copied().collect();
        conns.into_iter().for_each(|conn| self.meet(now, conn, acts));
    }

    fn own_place(&self) -> Option<usize> {
        self.set.position_of(&self.own, self.incarnation)
    }

    fn save(&mut self, pending: Pending, deeds: Vec<Deed>, acts: &mut Vec<Act>) {
        // The others are few by themselves.
        let many = matches!(pending, Pending::Claimed(..) | Pending::Voted(..) | Pending::Handed(..));
        if many && self.pending.len() >= MOST {
            self.counts.unheard += 1;
            return;
        }
        self.next += 1;
        self.pending.insert(self.next, pending);
        acts.push(Act::Save(self.next, deeds));
    }

    fn own_read(&mut self, now: Micros, acts: &mut Vec<Act>) {
        self.call(now, Call::Own, Operation::Read, acts);
    }

    fn reaches_most(&self, now: Micros) -> bool {
        let reached = self.peers.values().filter(|p| now - p.1 < REACH).count();
        let own = usize::from(self.own_place().is_some());
        self.set.number > 0 && reached + own >= self.terms.majority()
    }

    /// Time as whoever calls in has it. After a standstill nothing is sure: the others have gone on.
    fn tick(&mut self, now: Micros) {
        if now - self.last > STILL {
            self.doubt(now);
        }
        self.last = self.last.max(now);
    }

    fn doubt(&mut self, now: Micros) {
        self.sure = false;
        self.doubted = now;
    }

    /// Whether what is chosen here was the newest a moment ago, and the version.
    pub fn vouches(&mut self, now: Micros) -> (bool, u64) {
        self.tick(now);
        (self.sure, self.chosen.as_ref().map_or(0, |h| h.version))
    }

    // ---- Connections ------------------------------------------------------------------------------------

    /// Another voter, connected from here; `hello` has been sent.
    pub fn peer(&mut self, now: Micros, conn: Conn, address: &str) -> Vec<Act> {
        let mut acts = Vec::new();
        self.tick(now);
        self.dialed.insert(conn, address.to_string());
        self.meet(now, conn, &mut acts);
        acts
    }

    /// A connection from here leads to a voter: it is a peer from now on.
    fn meet(&mut self, now: Micros, conn: Conn, acts: &mut Vec<Act>) {
        let Some(address) = self.dialed.get(&conn).cloned() else { return };
        let guest = self.guests.entry(conn).or_insert_with(|| Guest { heard: now, ..Guest::default() });
        guest.core = Some(address.clone());
        let at = self.set.position(&address);
        guest.voter = at;
        let Some(at) = at else { return };
        self.peers.insert(at, (conn, guest.heard));
        self.gather(now, Some(conn), acts);
        if let Some(held) = &self.chosen {
            acts.push(Act::Send(conn, What::Holding(Holding { chosen: held.version, sure: self.sure })));
        }
    }

    pub fn closed(&mut self, conn: Conn) {
        self.guests.remove(&conn);
        self.dialed.remove(&conn);
        self.peers.retain(|_, p| p.0 != conn);
    }

    /// A message. One that makes no sense here is counted and dropped.
    pub fn hear(&mut self, now: Micros, conn: Conn, what: What) -> Vec<Act> {
        let mut acts = Vec::new();
        self.tick(now);
        if let Some(guest) = self.guests.get_mut(&conn) {
            guest.heard = now;
            if let Some(peer) = guest.voter.and_then(|at| self.peers.get_mut(&at)).filter(|p| p.0 == conn) {
                peer.1 = now;
            }
            if let Some(core) = guest.core.clone() {
                self.heard_of(now, &core);
            }
        }
        match what {
            What::Hello(hello) => {
                let usher = hello.role == 1;
                let core = (!usher).then(|| hello.address.clone());
                self.guests.insert(conn, Guest { usher, core, heard: now, ..Guest::default() });
                let recalled = self.board.beside(&hello.address).filter(|_| usher).cloned();
                acts.push(Act::Send(conn, self.welcome(recalled)));
                if !usher {
                    self.met(now, &hello);
                    self.mind_the_set(now, &mut acts);
                }
            }
            What::Welcome(welcome) => {
                let previous = welcome.previous.and_then(members::from_wire);
                if let Some(set) = welcome.set.and_then(members::from_wire) {
                    self.learn(now, set, previous, &mut acts);
                }
                if welcome.chosen > self.chosen.as_ref().map_or(0, |h| h.version) {
                    acts.push(Act::Send(conn, What::Want(Want { version: welcome.chosen })));
                }
            }
            What::Ping(ping) => {
                if let Some(guest) = self.guests.get(&conn).filter(|g| g.usher) {
                    self.board.heard(now, &guest.instance.clone(), Micros(0));
                }
                acts.push(Act::Send(conn, What::Pong(ping)));
            }
            What::Station(station) => {
                if let Some(guest) = self.guests.get_mut(&conn) {
                    guest.instance.clone_from(&station.instance);
                }
                if !station.instance.is_empty() && self.board.told(now, station) {
                    self.tell_board(now, &mut acts);
                }
            }
            What::Watch(watch) => self.watch(now, conn, watch, &mut acts),
            What::Unwatch(_) => {
                if let Some(guest) = self.guests.get_mut(&conn) {
                    guest.follows = None;
                }
            }
            What::Claim(claim) => self.claim(now, conn, claim, &mut acts),
            What::Withdraw(w) => {
                let ticket = w.ticket.unwrap_or_default();
                self.keep_withdrawn(&w.key, ticket);
                if self.rack.withdraw(&w.key, ticket) {
                    self.counts.withdrawn += 1;
                    acts.push(Act::Save(0, vec![Deed::Withdraw(w.key, ticket)]));
                }
            }
            What::Want(want) => {
                if self.chosen.as_ref().is_some_and(|h| h.version >= want.version) {
                    acts.push(Act::Send(conn, What::Word(self.packed.clone())));
                }
            }
            What::Holding(holding) => {
                if holding.chosen > self.chosen.as_ref().map_or(0, |h| h.version) {
                    acts.push(Act::Send(conn, What::Want(Want { version: holding.chosen })));
                }
            }
            What::Word(word) => {
                if let Some(body) = cues::unpack(&word).and_then(|b| String::from_utf8(b).ok()) {
                    self.choose(VersionedConfig { version: word.version, body }, &mut acts);
                }
            }
            What::Vote(vote) => self.vote(now, Some(conn), &vote, &mut acts),
            What::Voted(voted) => {
                if voted.set != self.set.number {
                    self.counts.other_sets += 1;
                    return acts;
                }
                let number = voted.number;
                let (from, answer) = seats::answer(voted);
                let jitter = self.chance.rand_float();
                let steps = self.proposer.on_response(now, from, number, answer, jitter);
                self.steps(now, steps, &mut acts);
            }
            What::Heard(mut heard) => {
                let ushers = std::mem::take(&mut heard.ushers);
                let told = heard;
                self.board.at_least(told.clock);
                for age in ushers {
                    let ago = Micros::ms(age.ms.min(1 << 30) as i64);
                    self.board.heard(now, &age.instance, ago);
                }
                // Who told it reaches this one: without a word back it would count itself alone.
                acts.push(Act::Send(conn, What::Pong(cues::Ping { number: 0 })));
                if let Some(core) = self.guests.get(&conn).and_then(|g| g.core.clone()) {
                    self.told_of(now, &core, &told);
                }
                if told.set < self.set.number {
                    acts.push(Act::Send(conn, self.welcome(None)));
                }
            }
            What::Change(change) => self.asked_change(now, Some(conn), change, &mut acts),
            What::Changed(said) => self.changed(now, said, &mut acts),
            What::Transfer(ask) => self.transfer(now, conn, ask, &mut acts),
            What::More(more) => self.more(conn, &more, &mut acts),
            What::Piece(piece) => self.piece(now, conn, piece, &mut acts),
            What::Handover(all) => self.handover(now, conn, all, &mut acts),
            What::Handed(said) => self.taken_over(said),
            What::Pong(_) => {}
            _ => self.counts.unheard += 1,
        }
        acts
    }

    // ---- Disk and time ----------------------------------------------------------------------------------

    /// The disk has done this, or could not.
    pub fn saved(&mut self, now: Micros, number: u64, done: bool) -> Vec<Act> {
        let mut acts = Vec::new();
        self.tick(now);
        let Some(pending) = self.pending.remove(&number) else { return acts };
        match pending {
            Pending::Claimed(conn, mut said) => {
                if !done {
                    said.vote = 0;
                }
                acts.push(Act::Send(conn, What::Claimed(*said)));
            }
            Pending::Voted(conn, number, answer) => {
                let (set, answer) = *answer;
                if done {
                    self.owed = self.pending.values().any(|p| matches!(p, Pending::Voted(..)));
                    self.voted(now, conn, number, set, answer, &mut acts);
                } else if let Some(conn) = conn {
                    let said = cues::Voted { number, voter: u32::MAX, set, ..cues::Voted::default() };
                    acts.push(Act::Send(conn, What::Voted(said)));
                }
            }
            Pending::Changed(conn, said) => {
                if done {
                    self.register_owed = self.pending.values().any(|p| matches!(p, Pending::Changed(..)));
                    self.answer_change(now, conn, *said, &mut acts);
                }
            }
            Pending::Frozen(set) => self.frozen_saved(now, set, done, &mut acts),
            Pending::Installed(set) => self.settled(now, set, done, &mut acts),
            Pending::Handed(conn, said) => {
                if done {
                    acts.push(Act::Send(conn, What::Handed(said)));
                }
            }
        }
        acts
    }

    /// To be called every 50 ms or so.
    pub fn wake(&mut self, now: Micros) -> Vec<Act> {
        let mut acts = Vec::new();
        self.tick(now);
        let jitter = self.chance.rand_float();
        let steps = self.proposer.tick(now, jitter);
        self.steps(now, steps, &mut acts);
        self.wake_change(now, &mut acts);
        self.wake_install(now, &mut acts);
        self.wake_leaving(now, &mut acts);
        let reaches = self.reaches_most(now);
        self.reached = reaches;
        if !reaches && self.set.members.len() != 1 {
            self.doubt(now);
        }
        self.board.wake(now, reaches);
        self.tell_board(now, &mut acts);
        if self.unsure.is_some_and(|at| at <= now) && self.proposer.is_idle() {
            self.unsure = None;
            if self.lags() || !self.sure {
                self.own_read(now, &mut acts);
            }
        }
        if self.sure != self.told_sure {
            self.told_sure = self.sure;
            let chosen = self.chosen.as_ref().map_or(0, |h| h.version);
            let line = match self.sure {
                true => format!("is sure: version {chosen} is the newest"),
                false => format!(
                    "is not sure any more that version {chosen} is the newest: {}",
                    match reaches {
                        true => "it stood still",
                        false => "more than half of the prompters are not in reach; operators are sent on",
                    }
                ),
            };
            acts.push(Act::Log(line));
            let holding = What::Holding(Holding { chosen, sure: self.sure });
            let ushers = self.guests.iter().filter(|(_, g)| g.usher);
            acts.extend(ushers.map(|(conn, _)| Act::Send(*conn, holding.clone())));
        }
        if !self.sure && self.unsure.is_none() && self.proposer.is_idle() && reaches {
            self.unsure = Some(now + UNSURE.times(1.0 + jitter));
        }
        if now >= self.rack_at {
            self.rack_at = now + Micros::ms(1_000);
            self.rack.wake(now);
        }
        if now >= self.tell_at {
            self.tell_others(now, &mut acts);
        }
        acts
    }

    /// Tells the other voters whom it heard, and of itself.
    fn tell_others(&mut self, now: Micros, acts: &mut Vec<Act>) {
        self.tell_at = now + TELL;
        let ages = self.board.ages(now);
        let ushers =
            ages.into_iter().map(|(instance, ago)| Age { instance, ms: (ago.0 / 1000).max(0) as u64 });
        let heard = cues::Heard {
            clock: self.board.version(),
            ushers: ushers.collect(),
            voters: self.ages_of_voters(now),
            leaving: self.leaving.is_some(),
            counted: self.counted,
            incarnation: self.incarnation,
            set: self.set.number,
            installed: if self.seated() { self.set.number } else { 0 },
        };
        for (conn, _) in self.peers.values() {
            acts.push(Act::Send(*conn, What::Heard(heard.clone())));
        }
    }
}
