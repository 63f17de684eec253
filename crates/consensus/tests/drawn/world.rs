//! A fleet in virtual time: voters with disks, contenders, places where effects happen; messages that are late, lost, doubled;
//! processes that stop, crash and lose their disks; clocks that drift. It notes what was seen from outside, and judges that.
use std::collections::{BTreeMap, BTreeSet};

use notchspool::units::Micros;
use notchspool_consensus::fence::{Fence, Pass};
use notchspool_consensus::owner::{Contender, Event, Loose, Out};
use notchspool_consensus::readmit::Readmission;
use notchspool_consensus::voter::{Disk, Voter, Write};
use notchspool_consensus::*;
use oorandom::Rand64;

pub const LEASE: Micros = Micros::ms(1000);
const PLACES: usize = 3;

/// What is taken out, to see that the judge misses it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Without {
    pub loose: Loose,
    pub fence: bool,
    /// A voter that lost its disk votes at once, as if it had never promised.
    pub readmission: bool,
}

#[derive(Clone, Debug)]
enum Message {
    Ask { from: usize, life: ContenderId, no: u64, to: usize, ask: Ask },
    Answer { to: usize, life: ContenderId, no: u64, from: usize, answer: Answer },
    Readmit { from: usize, to: usize, attempt: u64, ask: Ask },
    Readmitted { to: usize, from: usize, attempt: u64, life: u64, answer: Answer },
    Effect { place: usize, token: Token, nth: u64 },
}

struct Seat {
    disk: Disk,
    voter: Option<Voter>,
    blank: Option<Readmission>,
    /// Times that its disk was lost.
    attempt: u64,
    /// Down till then.
    down: Option<Micros>,
}

struct Process {
    contender: Contender,
    rate: f64,
    stopped: Option<Micros>,
    crashed: Option<Micros>,
    /// What waits in its buffers while it is stopped.
    mail: Vec<Message>,
    opened: Option<BTreeMap<String, String>>,
    /// Numbers of writes and their keys, not yet said to be written.
    writing: BTreeMap<u64, String>,
}

pub struct World {
    now: Micros,
    chance: Rand64,
    terms: Terms,
    without: Without,
    seats: Vec<Seat>,
    processes: Vec<Process>,
    wire: BTreeMap<(Micros, u64), Message>,
    sent: u64,
    fences: Vec<Fence>,
    cuts: BTreeMap<(usize, usize), Micros>,
    lives: u64,
    /// What was said to be written.
    acknowledged: BTreeSet<String>,
    owners: BTreeMap<Token, ContenderId>,
    effects: Vec<(usize, Token, u64)>,
    /// Faults are drawn.
    pub faulty: bool,
    pub wrong: Vec<String>,
    pub opened: u64,
    pub written: u64,
    pub fenced: u64,
    pub readmitted: u64,
}

fn write(disk: &mut Disk, writes: Vec<Write>) {
    let find = |disk: &mut Disk, space: &Space| match disk.spaces.iter().position(|s| s.0 == *space) {
        Some(at) => at,
        None => {
            disk.spaces.push((space.clone(), Ballot::default(), Entries::new(), None));
            disk.spaces.len() - 1
        }
    };
    for one in writes {
        match one {
            Write::Promise(space, ballot) => {
                let at = find(disk, &space);
                disk.spaces[at].1 = ballot;
            }
            Write::Entry(space, key, entry) => {
                let at = find(disk, &space);
                disk.spaces[at].2.insert(key, entry);
            }
            Write::Lease(space, lease) => {
                let at = find(disk, &space);
                disk.spaces[at].3 = lease;
            }
            Write::Life(voter, life) => drop(disk.lives.insert(voter, life)),
        }
    }
}

impl World {
    pub fn new(voters: usize, contenders: usize, seed: u64, without: Without) -> World {
        let mut chance = Rand64::new(seed.into());
        let terms = Terms::of(voters, LEASE);
        let seat = |n: usize| Seat {
            disk: Disk::default(),
            voter: Some(Voter::open(VoterId(n as u16), terms, Disk::default(), Micros(0))),
            blank: None,
            attempt: 0,
            down: None,
        };
        let mut world = World {
            now: Micros(0),
            terms,
            without,
            seats: (0..voters).map(seat).collect(),
            processes: Vec::new(),
            wire: BTreeMap::new(),
            sent: 0,
            fences: vec![Fence::default(); PLACES],
            cuts: BTreeMap::new(),
            lives: 0,
            acknowledged: BTreeSet::new(),
            owners: BTreeMap::new(),
            effects: Vec::new(),
            faulty: true,
            wrong: Vec::new(),
            opened: 0,
            written: 0,
            fenced: 0,
            readmitted: 0,
            chance: Rand64::new(1),
        };
        for _ in 0..contenders {
            // Within the stated bound, at its edges as often as not.
            let rate = 1.0 + 0.005 * (chance.rand_float() * 2.0 - 1.0).signum() * chance.rand_float().sqrt();
            let contender = world.contender(rate, world.processes.len());
            world.processes.push(Process {
                contender,
                rate,
                stopped: None,
                crashed: None,
                mail: Vec::new(),
                opened: None,
                writing: BTreeMap::new(),
            });
        }
        world.chance = chance;
        world
    }

    fn contender(&mut self, rate: f64, n: usize) -> Contender {
        self.lives += 1;
        let now = self.now.times(rate);
        let id = ContenderId(self.lives * 16 + n as u64);
        let mut contender = Contender::new(id, &format!("k{n}"), "", "orders", self.terms, now, 0.5);
        contender.loosen(self.without.loose);
        contender
    }

    fn chance(&mut self, part: f64) -> bool {
        self.chance.rand_float() < part
    }
    fn below(&mut self, n: usize) -> usize {
        self.chance.rand_range(0..n as u64) as usize
    }

    fn send(&mut self, ends: Option<(usize, usize)>, message: Message) {
        let cut = ends.is_some_and(|ends| self.cuts.get(&ends).is_some_and(|till| *till > self.now));
        if cut || self.chance(0.04) {
            return;
        }
        let times = if self.chance(0.06) { 2 } else { 1 };
        for _ in 0..times {
            let slow = self.chance(0.05);
            let most = if slow { LEASE.times(2.5) } else { Micros::ms(20) };
            let delay = most.times(self.chance.rand_float());
            self.sent += 1;
            self.wire.insert((self.now + delay, self.sent), message.clone());
        }
    }

    fn out(&mut self, n: usize, out: Out) {
        let life = self.processes[n].contender.id;
        for post in out.posts {
            let to = usize::from(post.to.0);
            self.send(Some((100 + n, to)), Message::Ask { from: n, life, no: post.no, to, ask: post.ask });
        }
        for event in out.events {
            match event {
                Event::Opened { token, entries } => {
                    self.opened += 1;
                    if let Some(other) = self.owners.insert(token, life)
                        && other != life
                    {
                        self.wrong.push(format!("token {} had two owners", token.0));
                    }
                    let lost = self.acknowledged.iter().find(|key| !entries.contains_key(*key));
                    if let Some(lost) = lost {
                        self.wrong.push(format!("{lost} was said to be written; owner {} lacks it", token.0));
                    }
                    self.processes[n].opened = Some(entries);
                }
                Event::Written(nth) => {
                    self.written += 1;
                    let later = self.processes[n].writing.split_off(&(nth + 1));
                    let done = std::mem::replace(&mut self.processes[n].writing, later);
                    self.acknowledged.extend(done.into_values());
                }
                Event::Lost(_) => {
                    self.processes[n].opened = None;
                    self.processes[n].writing.clear();
                }
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::Ask { from, life, no, to, ask } => {
                let seat = &mut self.seats[to];
                let Some(voter) = seat.voter.as_mut() else { return };
                let (answer, writes) = voter.hear(now, &ask);
                write(&mut seat.disk, writes);
                voter.answered(now, &ask);
                self.send(Some((to, 100 + from)), Message::Answer { to: from, life, no, from: to, answer });
            }
            Message::Answer { to, life, no, from, answer } => {
                if self.processes[to].contender.id != life {
                    return;
                }
                let draw = self.chance.rand_float();
                let process = &mut self.processes[to];
                let at = now.times(process.rate);
                let out = process.contender.hear(at, draw, VoterId(from as u16), no, answer);
                self.out(to, out);
            }
            Message::Readmit { from, to, attempt, ask } => {
                let seat = &mut self.seats[to];
                let Some(voter) = seat.voter.as_mut() else { return };
                let (answer, writes) = voter.hear(now, &ask);
                write(&mut seat.disk, writes);
                let Ask::Readmit { life, .. } = ask else { return };
                self.send(
                    Some((to, from)),
                    Message::Readmitted { to: from, from: to, attempt, life, answer },
                );
            }
            Message::Readmitted { to, from, attempt, life, answer } => {
                let seat = &mut self.seats[to];
                // It would come on a connection of a process that is gone.
                if attempt != seat.attempt {
                    return;
                }
                let Some(blank) = &mut seat.blank else { return };
                if let Some(disk) = blank.hear(VoterId(from as u16), life, answer) {
                    seat.blank = None;
                    seat.disk = disk.clone();
                    seat.voter = Some(Voter::open(VoterId(to as u16), self.terms, disk, now));
                    self.readmitted += 1;
                }
            }
            Message::Effect { place, token, nth } => {
                let pass = self.fences[place].pass("orders", token);
                if matches!(pass, Pass::Fenced(_)) {
                    self.fenced += 1;
                    if !self.without.fence {
                        return;
                    }
                }
                let newest = self.effects.iter().filter(|e| e.0 == place).map(|e| e.1).max();
                if newest.is_some_and(|newest| newest > token) {
                    self.wrong.push(format!("place {place}: an effect of {} after a newer owner's", token.0));
                }
                self.effects.push((place, token, nth));
            }
        }
    }

    fn faults(&mut self) {
        let now = self.now;
        let n = self.below(self.processes.len());
        if self.chance(0.010) && self.processes[n].stopped.is_none() {
            let span = [0.5, 1.0, 1.1, 3.0][self.below(4)];
            self.processes[n].stopped = Some(now + LEASE.times(span));
        }
        if self.chance(0.002) && self.processes[n].crashed.is_none() {
            self.processes[n].crashed = Some(now + LEASE.times(self.chance.rand_float()));
            self.processes[n].opened = None;
        }
        let v = self.below(self.seats.len());
        let ill = self.seats.iter().filter(|s| s.voter.is_none()).count();
        if self.chance(0.006) && ill + 1 < self.terms.majority() {
            let whole = self.seats.iter().all(|s| s.blank.is_none());
            self.seats[v].voter = None;
            self.seats[v].down = Some(now + LEASE.times(self.chance.rand_float()));
            if whole && self.chance(0.5) {
                self.seats[v].disk = Disk::default();
                self.seats[v].attempt += 1;
                if !self.without.readmission {
                    self.seats[v].blank = Some(Readmission::begin(VoterId(v as u16), self.terms));
                }
            }
        }
        if self.chance(0.008) {
            let ends = if self.chance(0.5) { (100 + n, v) } else { (v, 100 + n) };
            self.cuts.insert(ends, now + LEASE.times(3.0 * self.chance.rand_float()));
        }
        if self.chance(0.002) {
            for v in 0..self.seats.len() {
                self.cuts.insert((100 + n, v), now + LEASE.times(2.0));
            }
        }
    }

    /// The place of whoever owns now.
    pub fn owner(&self) -> Option<usize> {
        let owns = |p: &Process| p.contender.owns(self.now.times(p.rate)).is_some();
        self.processes.iter().position(owns)
    }
    /// All voters are away for so long, and come back at one moment.
    pub fn outage(&mut self, span: Micros) {
        for seat in &mut self.seats {
            (seat.voter, seat.down) = (None, Some(self.now + span));
        }
    }
    pub fn later(&self, span: Micros) -> Micros {
        self.now + span
    }

    /// Plays so long, in steps of 5 ms; faults stop for the last fifth.
    pub fn play(&mut self, span: Micros) {
        while self.now < span && self.wrong.is_empty() {
            self.now = self.now + Micros::ms(5);
            if self.faulty && self.now < span.times(0.8) {
                self.faults();
            }
            let due = self.wire.split_off(&(self.now, u64::MAX));
            for message in std::mem::replace(&mut self.wire, due).into_values() {
                if let Message::Answer { to, .. } = &message {
                    let process = &mut self.processes[*to];
                    if process.crashed.is_some() {
                        continue;
                    }
                    if process.stopped.is_some() {
                        process.mail.push(message);
                        continue;
                    }
                }
                self.deliver(message);
            }
            self.seats();
            for n in 0..self.processes.len() {
                self.process(n);
            }
            let (now, all) = (self.now, self.processes.iter());
            let owners: Vec<_> = all
                .filter(|p| p.crashed.is_none())
                .filter_map(|p| p.contender.owns(now.times(p.rate)))
                .collect();
            if owners.len() > 1 {
                self.wrong.push(format!("at {} us two could act: {owners:?}", now.0));
            }
        }
    }

    fn seats(&mut self) {
        let now = self.now;
        for v in 0..self.seats.len() {
            let seat = &mut self.seats[v];
            if seat.down.is_some_and(|till| till <= now) {
                seat.down = None;
                if seat.blank.is_none() {
                    let disk = seat.disk.clone();
                    seat.voter = Some(Voter::open(VoterId(v as u16), self.terms, disk, now));
                }
            }
            let asks = match &seat.blank {
                Some(blank) if seat.down.is_none() && now.0 % 50_000 == 0 => {
                    (blank.open(), blank.ask(), seat.attempt)
                }
                _ => continue,
            };
            for to in asks.0 {
                let to = usize::from(to.0);
                self.send(
                    Some((v, to)),
                    Message::Readmit { from: v, to, attempt: asks.2, ask: asks.1.clone() },
                );
            }
        }
    }

    fn process(&mut self, n: usize) {
        let now = self.now;
        let process = &mut self.processes[n];
        if let Some(till) = process.crashed {
            if till <= now {
                let rate = process.rate;
                let contender = self.contender(rate, n);
                let process = &mut self.processes[n];
                (process.contender, process.crashed, process.stopped) = (contender, None, None);
                process.mail.clear();
                process.writing.clear();
            }
            return;
        }
        if let Some(till) = process.stopped {
            if till > now {
                return;
            }
            process.stopped = None;
            // It wakes with its work half done: what it was about to send goes out before it looks at its clock, now and then.
            if self.chance(0.5)
                && let Some(token) =
                    self.processes[n].opened.as_ref().and(self.processes[n].contender.seen()).map(|o| o.token)
            {
                self.effect(token);
            }
            for message in std::mem::take(&mut self.processes[n].mail) {
                self.deliver(message);
            }
        }
        let draw = self.chance.rand_float();
        let process = &mut self.processes[n];
        let at = now.times(process.rate);
        let out = process.contender.pass(at, draw);
        self.out(n, out);
        if self.processes[n].contender.owns(at).is_none() {
            return;
        }
        if self.faulty && self.chance(0.004) {
            let out = self.processes[n].contender.release(at, draw);
            return self.out(n, out);
        }
        if self.chance(0.08) {
            self.sent += 1;
            let (mut out, key) = (Out::default(), format!("w{}", self.sent));
            let changes = BTreeMap::from([(key.clone(), "1".to_owned()), ("head".into(), key.clone())]);
            if let Some(nth) = self.processes[n].contender.write(at, changes, &mut out) {
                self.processes[n].writing.insert(nth, key);
            }
            self.out(n, out);
        }
        if self.chance(0.2)
            && let Some(token) = self.processes[n].contender.owns(at)
        {
            self.effect(token);
        }
    }

    fn effect(&mut self, token: Token) {
        self.sent += 1;
        let (place, nth) = (self.below(PLACES), self.sent);
        self.send(None, Message::Effect { place, token, nth });
    }
}
