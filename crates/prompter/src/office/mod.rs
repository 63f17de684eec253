//! All that one prompter decides. It is told the time, chance, what came on its connections and what its disk has done, and gives back
//! what is to be sent, kept and answered. Nothing of a vote leaves before the disk has it.
use std::collections::BTreeMap;

use notchspool::units::Micros;
use notchspool_callboard::board::Board;
use notchspool_cloakroom::rack::{Rack, Vote};
use notchspool_cues as cues;
use notchspool_cues::{Age, Claim, Claimed, Holding, Want, Watch, Welcome, What, Word};
use notchspool_election::readmit::Readmission;
use notchspool_election::voter::{Disk, Voter};
use notchspool_election::{Answer, ContenderId, Said, Terms, VoterId};
use notchspool_promptbook::digest::Digest;
use notchspool_promptbook::pen::{self, End, KEY, Order, Proposer, Step, VersionedConfig};
use notchspool_promptbook::script::Script;
use notchspool_trapdoor::{Deed, Found, Seat};
use oorandom::Rand64;

use crate::seats;

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
/// At the first start of all one founder waits for so long for who else serves control.
const FOUND: Micros = Micros::ms(1_200);
/// Voters at most.
const MOST_VOTERS: usize = 9;
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
    Voted(Option<Conn>, u64, Box<Answer>),
    Told(Conn, u64),
    Admitted,
}

/// Where this voter stands.
enum Place {
    /// Who votes is not known yet.
    Unknown,
    /// The first start of all: it founds, with whoever has said hello by then, or (none) waits for who does.
    First(Option<Micros>),
    /// It votes, or it does not belong to the voters at all (`None`).
    Seated(Option<Voter>),
    /// Its disk was lost: it asks the others.
    Asking(Readmission, BTreeMap<u16, Vec<Claim>>),
    /// All is told, and on its way to the disk.
    Settling(Box<Disk>),
}

pub struct Office {
    own: String,
    zone: String,
    life: u64,
    chance: Rand64,
    started: Micros,
    /// Who will vote, gathered at the first start of all.
    founding: Vec<String>,
    voters: Vec<String>,
    terms: Terms,
    place: Place,
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
}

/// Whose call it is, by the host's number.
#[derive(Clone, Debug)]
enum Call {
    /// With its version.
    Put(u64, u64),
    Read(u64),
    Own,
}

fn terms(voters: usize) -> Terms {
    Terms { again: Micros::ms(150), ..Terms::of(voters.max(1), Micros::ms(3_000)) }
}

impl Office {
    /// `own`, `zone`: its inner address and where it stands. `seeds`: inner addresses of who is known to serve control; at the first start of all these vote.
    pub fn open(
        (own, zone): (&str, &str),
        life: u64,
        found: Found,
        first_start: bool,
        seeds: &[String],
        window: Micros,
        now: Micros,
    ) -> (Office, Vec<Act>) {
        let mut acts = Vec::new();
        let mut rack = Rack::open(window);
        found.claims.iter().for_each(|c| rack.put(now, c));
        let mut office = Office {
            own: own.to_string(),
            zone: zone.to_string(),
            life,
            chance: Rand64::new(u128::from(life)),
            started: now,
            founding: Vec::new(),
            voters: Vec::new(),
            terms: terms(1),
            place: Place::Unknown,
            proposer: Proposer::open(terms(1), ContenderId(life)),
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
            Some(seat) if !seat.voters.is_empty() => {
                office.seat(seat.voters.clone(), &mut acts);
                if let Some(own) = office.own_place() {
                    let lives = seat.lives.iter().map(|(v, l)| (VoterId(*v), *l)).collect();
                    let entries = found.entry.clone().map(|e| (KEY.to_string(), e)).into_iter().collect();
                    let spaces = vec![(pen::space(), found.promised, entries, None)];
                    let disk = Disk { life: seat.life, lives, spaces };
                    office.place = Place::Seated(Some(Voter::open(own, office.terms, disk, now)));
                }
                acts.push(Act::Log(format!(
                    "start with a disk of life {}, {} claims",
                    seat.life,
                    office.rack.len()
                )));
                office.own_read(now, &mut acts);
            }
            _ if first_start => {
                // All are told the same seeds then: the first of them says who votes.
                let founds = seeds.iter().min().is_none_or(|first| first == own);
                office.founding = seeds.to_vec();
                office.founding.push(own.to_string());
                office.place = Place::First(founds.then_some(now + FOUND));
                acts.push(Act::Log(if founds {
                    "first start, it founds".into()
                } else {
                    "first start".into()
                }));
            }
            _ => acts.push(Act::Log("start without a disk: others are asked".into())),
        }
        (office, acts)
    }
    fn welcome(&self, recalled: Option<cues::Station>) -> What {
        let own = self.own_place().map_or(u32::MAX, |v| u32::from(v.0));
        let chosen = self.chosen.as_ref().map_or(0, |h| h.version);
        let (voters, zone) = (self.voters.clone(), self.zone.clone());
        What::Welcome(Welcome { voters, own, chosen, sure: self.sure, zone, recalled })
    }

    fn meet_all(&mut self, now: Micros, acts: &mut Vec<Act>) {
        // Connections that stand by now were opened before it was known who votes.
        let conns: Vec<Conn> = self.dialed.keys().copied().collect();
        conns.into_iter().for_each(|conn| self.meet(now, conn, acts));
    }

    fn own_place(&self) -> Option<VoterId> {
        self.voters.iter().position(|v| *v == self.own).map(|at| VoterId(at as u16))
    }

    fn save(&mut self, pending: Pending, deeds: Vec<Deed>, acts: &mut Vec<Act>) {
        if self.pending.len() >= MOST {
            self.counts.unheard += 1;
            return;
        }
        self.next += 1;
        self.pending.insert(self.next, pending);
        acts.push(Act::Save(self.next, deeds));
    }

    fn save_seat(&mut self, acts: &mut Vec<Act>, number: u64) {
        let Place::Seated(Some(voter)) = &self.place else { return };
        let (life, lives) = voter.lives();
        let lives = lives.iter().map(|(v, l)| (v.0, *l)).collect();
        let seat = Seat { voters: self.voters.clone(), life, lives };
        acts.push(Act::Save(number, vec![Deed::Seat(seat)]));
    }

    fn own_read(&mut self, now: Micros, acts: &mut Vec<Act>) {
        self.call(now, Call::Own, Order::Read, acts);
    }

    fn lives(&self) -> Vec<u64> {
        match &self.place {
            Place::Seated(Some(voter)) => {
                let (life, lives) = voter.lives();
                seats::lives(self.voters.len(), voter.id, life, lives)
            }
            _ => Vec::new(),
        }
    }

    fn reaches_most(&self, now: Micros) -> bool {
        let reached = self.peers.values().filter(|p| now - p.1 < REACH).count();
        let own = usize::from(self.own_place().is_some());
        !self.voters.is_empty() && reached + own >= self.terms.majority()
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
        let Some(at) = self.dialed.get(&conn).and_then(|a| self.voters.iter().position(|v| v == a)) else {
            return;
        };
        self.peers.insert(at, (conn, now));
        self.guests.insert(conn, Guest { voter: Some(at), heard: now, ..Guest::default() });
        self.readmit(acts);
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
        }
        match what {
            What::Hello(hello) => {
                let usher = hello.role == 1;
                self.guests.insert(conn, Guest { usher, heard: now, ..Guest::default() });
                if !usher && matches!(self.place, Place::First(_)) && self.founding.len() < 64 {
                    self.founding.push(hello.address.clone());
                }
                let recalled = self.board.beside(&hello.address).filter(|_| usher).cloned();
                acts.push(Act::Send(conn, self.welcome(recalled)));
            }
            What::Welcome(welcome) => {
                self.learn(now, welcome.voters, &mut acts);
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
            What::Claim(claim) => self.claim(now, conn, claim, &mut acts),
            What::Withdraw(w) => {
                let ticket = w.ticket.unwrap_or_default();
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
                let number = voted.number;
                let (from, answer) = seats::answer(voted);
                let jitter = self.chance.rand_float();
                let steps = self.proposer.hear(now, from, number, answer, jitter);
                self.steps(now, steps, &mut acts);
            }
            What::Heard(heard) => {
                self.board.at_least(heard.clock);
                for age in heard.ushers {
                    let ago = Micros::ms(age.ms.min(1 << 30) as i64);
                    self.board.heard(now, &age.instance, ago);
                }
                // Who told it reaches this one: without a word back it would count itself alone.
                acts.push(Act::Send(conn, What::Pong(cues::Ping { number: 0 })));
            }
            What::Readmit(readmit) => self.readmitted(now, conn, readmit, &mut acts),
            What::All(all) => self.all(now, all, &mut acts),
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
                said.lives = self.lives();
                acts.push(Act::Send(conn, What::Claimed(*said)));
            }
            Pending::Voted(conn, number, answer) => {
                if done {
                    let later = self.pending.values().any(|p| matches!(p, Pending::Voted(..)));
                    self.owed = later;
                    if let Place::Seated(Some(voter)) = &self.place {
                        let (own, voters) = (voter.id, self.voters.len());
                        self.voted(now, conn, number, own, voters, *answer, &mut acts);
                    }
                } else if let Some(conn) = conn {
                    let said = cues::Voted { number, voter: u32::MAX, ..cues::Voted::default() };
                    acts.push(Act::Send(conn, What::Voted(said)));
                }
            }
            Pending::Told(conn, life) => {
                if done {
                    acts.push(Act::Send(conn, What::All(self.everything(life))));
                }
            }
            Pending::Admitted => {
                if let Place::Settling(disk) = &self.place {
                    let disk = (**disk).clone();
                    if done && let Some(own) = self.own_place() {
                        self.place = Place::Seated(Some(Voter::open(own, self.terms, disk, now)));
                        acts.push(Act::Log("votes again".into()));
                        self.own_read(now, &mut acts);
                    } else {
                        // The disk does not take it: all is asked once more.
                        let own = self.own_place().unwrap_or_default();
                        self.place = Place::Asking(Readmission::begin(own, self.terms), BTreeMap::new());
                    }
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
        let steps = self.proposer.wake(now, jitter);
        self.steps(now, steps, &mut acts);
        if let Place::First(Some(at)) = self.place
            && at <= now
        {
            self.found(now, &mut acts);
        }
        let reaches = self.reaches_most(now);
        if !reaches && self.voters.len() != 1 {
            self.doubt(now);
        }
        self.board.wake(now, reaches);
        self.tell_board(now, &mut acts);
        if self.unsure.is_some_and(|at| at <= now) && self.proposer.idle() {
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
        if !self.sure && self.unsure.is_none() && self.proposer.idle() && reaches {
            self.unsure = Some(now + UNSURE.times(1.0 + jitter));
        }
        if now >= self.rack_at {
            self.rack_at = now + Micros::ms(1_000);
            self.rack.wake(now);
        }
        if now >= self.tell_at {
            self.tell_at = now + TELL;
            self.readmit(&mut acts);
            let ages = self.board.ages(now);
            let ushers =
                ages.into_iter().map(|(instance, ago)| Age { instance, ms: (ago.0 / 1000).max(0) as u64 });
            let heard = cues::Heard { clock: self.board.version(), ushers: ushers.collect() };
            for (conn, _) in self.peers.values() {
                acts.push(Act::Send(*conn, What::Heard(heard.clone())));
            }
        }
        acts
    }
}
