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
use notchspool_promptbook::pen::{self, End, Held, KEY, Order, Pen, Step};
use notchspool_promptbook::script::Script;
use notchspool_trapdoor::{Deed, Found, Seat};
use oorandom::Rand64;

use crate::seats;

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
    pen: Pen,
    pub board: Board,
    pub rack: Rack,
    chosen: Option<Held>,
    /// The same as it is sent.
    packed: Word,
    /// The version accepted here and not known to be chosen, and when it is looked into.
    unsure: Option<Micros>,
    sure: bool,
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
    Put(u64),
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
            pen: Pen::open(terms(1), ContenderId(life)),
            board: Board::default(),
            rack,
            chosen: None,
            packed: Word::default(),
            unsure: None,
            sure: false,
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

    /// The founder's time is over: seeds and who else has said hello vote, an odd number of them.
    fn found(&mut self, now: Micros, acts: &mut Vec<Act>) {
        let mut voters = std::mem::take(&mut self.founding);
        let mut known = std::collections::BTreeSet::new();
        voters.retain(|v| known.insert(v.clone()));
        voters.truncate(MOST_VOTERS);
        if voters.len().is_multiple_of(2) {
            voters.truncate(voters.len() - 1);
        }
        voters.sort();
        self.begin(now, voters, acts);
    }

    /// The first voters: their disks are empty, and nothing was ever promised.
    fn begin(&mut self, now: Micros, voters: Vec<String>, acts: &mut Vec<Act>) {
        self.seat(voters, acts);
        if let Some(own) = self.own_place() {
            self.place = Place::Seated(Some(Voter::open(own, self.terms, Disk::default(), now)));
            self.save_seat(acts, 0);
        }
        self.meet_all(now, acts);
        self.own_read(now, acts);
        let guests: Vec<Conn> = self.guests.keys().copied().collect();
        guests.into_iter().for_each(|conn| acts.push(Act::Send(conn, self.welcome(None))));
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

    fn seat(&mut self, voters: Vec<String>, acts: &mut Vec<Act>) {
        self.terms = terms(voters.len());
        self.pen = Pen::open(self.terms, ContenderId(self.life));
        self.voters = voters;
        self.place = Place::Seated(None);
        acts.push(Act::Voters(self.voters.clone()));
    }

    /// Who votes, told by another: this one has lost its disk, or never voted.
    fn learn(&mut self, now: Micros, voters: Vec<String>, acts: &mut Vec<Act>) {
        if voters.is_empty() || voters.len() > MOST_VOTERS {
            return;
        }
        match self.place {
            Place::First(_) => self.begin(now, voters, acts),
            Place::Unknown => {
                self.seat(voters, acts);
                if let Some(own) = self.own_place() {
                    self.place = Place::Asking(Readmission::begin(own, self.terms), BTreeMap::new());
                }
                self.meet_all(now, acts);
            }
            _ => {}
        }
    }

    pub fn voters(&self) -> &[String] {
        &self.voters
    }

    /// Whether it takes part in votes now.
    pub fn votes(&self) -> bool {
        matches!(self.place, Place::Seated(Some(_)))
    }

    pub fn chosen(&self) -> Option<&Held> {
        self.chosen.as_ref()
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

    // ---- Connections ------------------------------------------------------------------------------------

    /// Another voter, connected from here; `hello` has been sent.
    pub fn peer(&mut self, now: Micros, conn: Conn, address: &str) -> Vec<Act> {
        let mut acts = Vec::new();
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
                    self.choose(Held { version: word.version, body }, &mut acts);
                }
            }
            What::Vote(vote) => self.vote(now, Some(conn), &vote, &mut acts),
            What::Voted(voted) => {
                let number = voted.number;
                let (from, answer) = seats::answer(voted);
                let dart = self.chance.rand_float();
                let steps = self.pen.hear(now, from, number, answer, dart);
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

    // ---- The board --------------------------------------------------------------------------------------

    fn watch(&mut self, now: Micros, conn: Conn, watch: Watch, acts: &mut Vec<Act>) {
        self.board.at_least(watch.have);
        let since = if watch.line == self.life { watch.have } else { 0 };
        if let Some(guest) = self.guests.get_mut(&conn) {
            guest.follows = Some(since);
            guest.bare = watch.have == 0;
        }
        // One that comes for the first time is told all, though that may be nothing: it knows then that it is told.
        self.tell_board(now, acts);
    }

    fn tell_board(&mut self, now: Micros, acts: &mut Vec<Act>) {
        // Who holds nothing is told what there is; who holds a list waits till this board knows most.
        let young = now - self.started < GATHER;
        let version = self.board.version();
        let mut bills = BTreeMap::new();
        for (conn, guest) in &mut self.guests {
            let bare = guest.bare;
            let Some(since) = guest.follows.filter(|s| (*s < version || *s == 0) && (bare || !young)) else {
                continue;
            };
            if version == 0 {
                continue;
            }
            let bill = bills.entry(since).or_insert_with(|| self.board.bill(since));
            bill.line = self.life;
            acts.push(Act::Send(*conn, What::Bill(bill.clone())));
            guest.follows = Some(version);
        }
    }

    // ---- Keys -------------------------------------------------------------------------------------------

    fn claim(&mut self, now: Micros, conn: Conn, claim: Claim, acts: &mut Vec<Act>) {
        let voter = self.own_place().map_or(u32::MAX, |v| u32::from(v.0));
        let mut said = Claimed { id: claim.id, voter, lives: self.lives(), ..Claimed::default() };
        if !self.votes() {
            acts.push(Act::Send(conn, What::Claimed(said)));
            return;
        }
        self.counts.claims += 1;
        match self.rack.claim(now, &claim) {
            Vote::Granted => {
                said.vote = 1;
                said.ticket = claim.ticket;
                self.save(Pending::Claimed(conn, Box::new(said)), vec![Deed::Claim(claim)], acts);
            }
            Vote::Taken { ticket, holder, holder_life } => {
                self.counts.taken += 1;
                let taken = Claimed { vote: 2, ticket: Some(ticket), holder, holder_life, ..said };
                acts.push(Act::Send(conn, What::Claimed(taken)));
            }
            Vote::Full => acts.push(Act::Send(conn, What::Claimed(said))),
        }
    }

    // ---- The operator's word ----------------------------------------------------------------------------

    /// An operator's call `config.replace`, by the host's number.
    pub fn put(&mut self, now: Micros, id: u64, body: &[u8]) -> Vec<Act> {
        let mut acts = Vec::new();
        let script = match Script::check(body) {
            Ok(script) => script,
            Err(refusal) => {
                self.counts.refused += 1;
                acts.push(Act::Log(format!("refuse a configuration: {refusal}")));
                acts.push(Act::Reply(id, 400, refusal.to_string()));
                return acts;
            }
        };
        self.counts.puts += 1;
        if self.chosen.as_ref().is_some_and(|h| h.version >= script.version) {
            acts.push(Act::Reply(id, 200, String::new()));
            return acts;
        }
        let Ok(body) = String::from_utf8(body.to_vec()) else { return acts };
        self.call(now, Call::Put(id), Order::Put(Held { version: script.version, body }), &mut acts);
        acts
    }

    /// An operator's call `config.read`.
    pub fn read(&mut self, now: Micros, id: u64) -> Vec<Act> {
        let mut acts = Vec::new();
        self.call(now, Call::Read(id), Order::Read, &mut acts);
        acts
    }

    fn call(&mut self, now: Micros, call: Call, order: Order, acts: &mut Vec<Act>) {
        if let Call::Put(id) | Call::Read(id) = call
            && (self.voters.is_empty() || self.calls.len() >= MOST)
        {
            acts.push(Act::Reply(id, 503, "no voters are known yet".into()));
            return;
        }
        self.next += 1;
        self.calls.insert(self.next, call);
        let steps = self.pen.call(now, self.next, order);
        self.steps(now, steps, acts);
    }

    fn steps(&mut self, now: Micros, steps: Vec<Step>, acts: &mut Vec<Act>) {
        for step in steps {
            match step {
                Step::Ask(voter, number, ask) => {
                    let Some(vote) = seats::vote(number, &ask) else { continue };
                    if Some(voter) == self.own_place() {
                        self.vote(now, None, &vote, acts);
                    } else if let Some((conn, _)) = self.peers.get(&(voter.0 as usize)) {
                        acts.push(Act::Send(*conn, What::Vote(vote)));
                    }
                }
                Step::Chosen(held) => {
                    self.sure = true;
                    self.choose(held, acts);
                }
                Step::End(number, end) => {
                    self.sure |= end == End::Empty;
                    match (self.calls.remove(&number), end) {
                        (Some(Call::Read(id)), End::Held(held)) => acts.push(Act::Reply(id, 200, held.body)),
                        (Some(Call::Put(id)), End::Held(_)) => acts.push(Act::Reply(id, 200, String::new())),
                        (Some(Call::Read(id)), End::Empty) => {
                            acts.push(Act::Reply(id, 503, "there is none yet".into()))
                        }
                        (Some(Call::Put(id) | Call::Read(id)), _) => {
                            let why = "more than half of the prompters are not in reach";
                            acts.push(Act::Reply(id, 503, why.into()));
                        }
                        (Some(Call::Own), End::NoMajority) => self.unsure = Some(now + UNSURE),
                        _ => {}
                    }
                }
            }
        }
    }

    /// This one is held by more than half: it can be told.
    fn choose(&mut self, held: Held, acts: &mut Vec<Act>) {
        if self.chosen.as_ref().is_some_and(|h| h.version >= held.version) {
            return;
        }
        acts.push(Act::Log(format!("version {} holds", held.version)));
        let holding = What::Holding(Holding { chosen: held.version, sure: self.sure });
        self.packed = cues::pack(held.version, held.body.as_bytes());
        let word = What::Word(self.packed.clone());
        for (conn, guest) in &self.guests {
            // Who follows this board gets it whole; the others have it from theirs, or ask.
            let what = if guest.follows.is_some() { word.clone() } else { holding.clone() };
            acts.push(Act::Send(*conn, what));
        }
        self.chosen = Some(held);
    }

    fn vote(&mut self, now: Micros, conn: Option<Conn>, vote: &cues::Vote, acts: &mut Vec<Act>) {
        let (voters, owed) = (self.voters.len(), self.owed);
        let Place::Seated(Some(voter)) = &mut self.place else {
            if let Some(conn) = conn {
                let said = cues::Voted { number: vote.number, voter: u32::MAX, ..cues::Voted::default() };
                acts.push(Act::Send(conn, What::Voted(said)));
            }
            return;
        };
        let (answer, writes) = voter.hear(now, &seats::asked(vote));
        let yes = matches!(answer.said, Said::Promised { .. } | Said::Accepted);
        if yes && (!writes.is_empty() || owed) {
            // What was handed to the disk and is not known to be there goes with it once more.
            let mut deeds = Vec::new();
            if let Some(kept) = voter.kept(&pen::space()) {
                deeds.push(Deed::Promise(kept.promised));
                if let Some(entry) = kept.entries.get(KEY).filter(|_| owed || vote.body.is_some()) {
                    let version = Held::read(&entry.value).map_or(0, |h| h.version);
                    deeds.push(Deed::Word(version, entry.clone()));
                }
            }
            self.owed = true;
            if vote.body.is_some() {
                let span = UNSURE.times(1.0 + self.chance.rand_float());
                self.unsure = self.unsure.or(Some(now + span));
            }
            self.save(Pending::Voted(conn, vote.number, Box::new(answer)), deeds, acts);
        } else {
            let own = voter.id;
            self.voted(now, conn, vote.number, own, voters, answer, acts);
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn voted(
        &mut self,
        now: Micros,
        conn: Option<Conn>,
        number: u64,
        own: VoterId,
        voters: usize,
        answer: Answer,
        acts: &mut Vec<Act>,
    ) {
        match conn {
            Some(conn) => {
                acts.push(Act::Send(conn, What::Voted(seats::voted(number, own, voters, &answer))));
            }
            None => {
                let dart = self.chance.rand_float();
                let steps = self.pen.hear(now, own, number, answer, dart);
                self.steps(now, steps, acts);
            }
        }
    }

    // ---- A lost disk ------------------------------------------------------------------------------------

    fn readmit(&mut self, acts: &mut Vec<Act>) {
        let Place::Asking(readmission, _) = &self.place else { return };
        let notchspool_election::Ask::Readmit { voter, life } = readmission.ask() else { return };
        for open in readmission.open() {
            if let Some((conn, _)) = self.peers.get(&(open.0 as usize)) {
                let ask = cues::Readmit { voter: u32::from(voter.0), life };
                acts.push(Act::Send(*conn, What::Readmit(ask)));
            }
        }
    }

    /// Another voter lost its disk: its new life is on this disk before it is told all.
    fn readmitted(&mut self, now: Micros, conn: Conn, ask: cues::Readmit, acts: &mut Vec<Act>) {
        let Place::Seated(Some(voter)) = &mut self.place else { return };
        let id = VoterId(ask.voter as u16);
        let said = voter.hear(now, &notchspool_election::Ask::Readmit { voter: id, life: ask.life });
        match said.0.said {
            Said::OldLife { known } => {
                let own = u32::from(voter.id.0);
                let all = cues::All {
                    voter: own,
                    life: ask.life,
                    known,
                    lives: self.lives(),
                    ..cues::All::default()
                };
                // The one that is known already is told again: its first answer may have been lost.
                if known == ask.life {
                    let all = self.everything(ask.life);
                    acts.push(Act::Send(conn, What::All(all)));
                } else {
                    acts.push(Act::Send(conn, What::All(all)));
                }
            }
            _ => {
                acts.push(Act::Log(format!(
                    "voter {} comes with an empty disk, life {}",
                    ask.voter, ask.life
                )));
                let (life, lives) = voter.lives();
                let lives = lives.iter().map(|(v, l)| (v.0, *l)).collect();
                let seat = Seat { voters: self.voters.clone(), life, lives };
                self.save(Pending::Told(conn, ask.life), vec![Deed::Seat(seat)], acts);
            }
        }
    }

    fn everything(&self, life: u64) -> cues::All {
        let Place::Seated(Some(voter)) = &self.place else { return cues::All::default() };
        let kept = voter.kept(&pen::space()).cloned().unwrap_or_default();
        let entry = kept.entries.get(KEY);
        cues::All {
            voter: u32::from(voter.id.0),
            life,
            known: 0,
            lives: self.lives(),
            promised: seats::told(kept.promised),
            under: entry.and_then(|e| seats::told(e.at)),
            body: entry.map(|e| e.value.clone()),
            claims: self.rack.all(),
        }
    }

    fn all(&mut self, now: Micros, all: cues::All, acts: &mut Vec<Act>) {
        let Place::Asking(readmission, claims) = &mut self.place else { return };
        let (from, answer) = seats::all(&all);
        if all.known == 0 {
            claims.insert(from.0, all.claims);
        } else {
            claims.clear();
        }
        let Some(disk) = readmission.hear(from, all.life, answer) else {
            if all.known > 0 {
                self.readmit(acts);
            }
            return;
        };
        let told = std::mem::take(claims);
        let mut deeds = Vec::new();
        for claim in told.into_values().flatten() {
            // Two tickets for one key, told by two: either may have run, so both stand.
            self.rack.put(now, &claim);
            deeds.push(Deed::Claim(claim));
        }
        let lives = disk.lives.iter().map(|(v, l)| (v.0, *l)).collect();
        let seat = Seat { voters: self.voters.clone(), life: disk.life, lives };
        for (_, promised, entries, _) in &disk.spaces {
            deeds.push(Deed::Promise(*promised));
            if let Some(entry) = entries.get(KEY) {
                deeds.push(Deed::Word(Held::read(&entry.value).map_or(0, |h| h.version), entry.clone()));
            }
        }
        deeds.push(Deed::Seat(seat));
        acts.push(Act::Log(format!("told all by others: life {}, {} claims", disk.life, self.rack.len())));
        self.place = Place::Settling(Box::new(disk));
        self.save(Pending::Admitted, deeds, acts);
    }

    // ---- Disk and time ----------------------------------------------------------------------------------

    /// The disk has done this, or could not.
    pub fn saved(&mut self, now: Micros, number: u64, done: bool) -> Vec<Act> {
        let mut acts = Vec::new();
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
        let dart = self.chance.rand_float();
        let steps = self.pen.wake(now, dart);
        self.steps(now, steps, &mut acts);
        if let Place::First(Some(at)) = self.place
            && at <= now
        {
            self.found(now, &mut acts);
        }
        let reaches = self.reaches_most(now);
        self.sure &= reaches || self.voters.len() == 1;
        self.board.wake(now, reaches);
        self.tell_board(now, &mut acts);
        if self.unsure.is_some_and(|at| at <= now) && self.pen.idle() {
            self.unsure = None;
            if self.lags() || !self.sure {
                self.own_read(now, &mut acts);
            }
        }
        if self.sure != self.told_sure {
            self.told_sure = self.sure;
            let chosen = self.chosen.as_ref().map_or(0, |h| h.version);
            let holding = What::Holding(Holding { chosen, sure: self.sure });
            let ushers = self.guests.iter().filter(|(_, g)| g.usher);
            acts.extend(ushers.map(|(conn, _)| Act::Send(*conn, holding.clone())));
        }
        if !self.sure && self.unsure.is_none() && self.pen.idle() && reaches {
            self.unsure = Some(now + UNSURE.times(1.0 + dart));
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

    /// What is accepted here is newer than what is known to be chosen.
    fn lags(&self) -> bool {
        let Place::Seated(Some(voter)) = &self.place else { return true };
        let entry = voter.kept(&pen::space()).and_then(|k| k.entries.get(KEY).cloned());
        let accepted = entry.and_then(|e| Held::read(&e.value)).map_or(0, |h| h.version);
        accepted > self.chosen.as_ref().map_or(0, |h| h.version)
    }
}
