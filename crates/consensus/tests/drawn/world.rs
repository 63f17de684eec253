//! A fleet in virtual time: voters with disks, contenders, places where effects happen; messages that are late, lost, doubled;
//! processes that stop, crash and lose their disks; clocks that drift. It notes what was seen from outside, and judges that.
use std::collections::{BTreeMap, BTreeSet};

use notchspool::units::Micros;
use notchspool_consensus::acceptor::{Acceptor, DiskWrite, DurableState};
use notchspool_consensus::acceptor_recovery::Recovery;
use notchspool_consensus::fencing::{Admission, Fence};
use notchspool_consensus::lease_owner::{Contender, Effects, Event, FaultInjection};
use notchspool_consensus::*;
use oorandom::Rand64;

pub const LEASE: Micros = Micros::ms(1000);
const PLACES: usize = 3;

/// What is taken out, to see that the judge misses it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Without {
    pub faults: FaultInjection,
    pub fence: bool,
    /// A voter that lost its disk votes at once, as if it had never promised.
    pub readmission: bool,
}

#[derive(Clone, Debug)]
enum Message {
    Ask { from: usize, incarnation: ContenderId, no: u64, to: usize, request: Request },
    Answer { to: usize, incarnation: ContenderId, no: u64, from: usize, response: Response },
    Readmit { from: usize, to: usize, attempt: u64, request: Request },
    Readmitted { to: usize, from: usize, attempt: u64, incarnation: u64, response: Response },
    Effect { place: usize, token: Token, nth: u64 },
}

struct Seat {
    disk: DurableState,
    voter: Option<Acceptor>,
    blank: Option<Recovery>,
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
    acquired: Option<BTreeMap<String, String>>,
    /// Numbers of writes and their keys, not yet said to be written.
    writing: BTreeMap<u64, String>,
}

pub struct World {
    now: Micros,
    chance: Rand64,
    parameters: Parameters,
    without: Without,
    seats: Vec<Seat>,
    processes: Vec<Process>,
    wire: BTreeMap<(Micros, u64), Message>,
    sent: u64,
    fences: Vec<Fence>,
    cuts: BTreeMap<(usize, usize), Micros>,
    starts: u64,
    /// What was said to be written.
    acknowledged: BTreeSet<String>,
    owners: BTreeMap<Token, ContenderId>,
    effects: Vec<(usize, Token, u64)>,
    /// Faults are drawn.
    pub faulty: bool,
    pub violation: Vec<String>,
    pub acquired: u64,
    pub written: u64,
    pub fenced: u64,
    pub readmitted: u64,
}

fn write(disk: &mut DurableState, writes: Vec<DiskWrite>) {
    let find =
        |disk: &mut DurableState, space: &Space| match disk.spaces.iter().position(|s| s.space == *space) {
            Some(at) => at,
            None => {
                disk.spaces.push(SpaceState {
                    space: space.clone(),
                    promised: Ballot::default(),
                    entries: Entries::new(),
                    lease: None,
                });
                disk.spaces.len() - 1
            }
        };
    for one in writes {
        match one {
            DiskWrite::Promise(space, ballot) => {
                let at = find(disk, &space);
                disk.spaces[at].promised = ballot;
            }
            DiskWrite::Entry(space, key, entry) => {
                let at = find(disk, &space);
                disk.spaces[at].entries.insert(key, entry);
            }
            DiskWrite::Lease(space, lease) => {
                let at = find(disk, &space);
                disk.spaces[at].lease = lease;
            }
            DiskWrite::Incarnation(voter, incarnation) => {
                disk.known_incarnations.insert(voter, incarnation);
            }
        }
    }
}

impl World {
    pub fn new(voters: usize, contenders: usize, seed: u64, without: Without) -> World {
        let mut chance = Rand64::new(seed.into());
        let parameters = Parameters::new(voters, LEASE);
        let seat = |n: usize| Seat {
            disk: DurableState::default(),
            voter: Some(Acceptor::open(VoterId(n as u16), parameters, DurableState::default(), Micros(0))),
            blank: None,
            attempt: 0,
            down: None,
        };
        let mut world = World {
            now: Micros(0),
            parameters,
            without,
            seats: (0..voters).map(seat).collect(),
            processes: Vec::new(),
            wire: BTreeMap::new(),
            sent: 0,
            fences: vec![Fence::default(); PLACES],
            cuts: BTreeMap::new(),
            starts: 0,
            acknowledged: BTreeSet::new(),
            owners: BTreeMap::new(),
            effects: Vec::new(),
            faulty: true,
            violation: Vec::new(),
            acquired: 0,
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
                acquired: None,
                writing: BTreeMap::new(),
            });
        }
        world.chance = chance;
        world
    }

    fn contender(&mut self, rate: f64, n: usize) -> Contender {
        self.starts += 1;
        let now = self.now.times(rate);
        let id = ContenderId(self.starts * 16 + n as u64);
        let mut contender = Contender::new(id, &format!("k{n}"), "", "orders", self.parameters, now, 0.5);
        contender.inject_faults(self.without.faults);
        contender
    }

    fn chance(&mut self, part: f64) -> bool {
        self.chance.rand_float() < part
    }
    fn below(&mut self, n: usize) -> usize {
        self.chance.rand_range(0..n as u64) as usize
    }

    fn send(&mut self, ends: Option<(usize, usize)>, message: Message) {
        let cut = ends.is_some_and(|ends| self.cuts.get(&ends).is_some_and(|until| *until > self.now));
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

    fn out(&mut self, n: usize, out: Effects) {
        let incarnation = self.processes[n].contender.id;
        for post in out.messages {
            let to = usize::from(post.to.0);
            self.send(
                Some((100 + n, to)),
                Message::Ask { from: n, incarnation, no: post.number, to, request: post.request },
            );
        }
        for event in out.events {
            match event {
                Event::Acquired { token, entries } => {
                    self.acquired += 1;
                    if let Some(other) = self.owners.insert(token, incarnation)
                        && other != incarnation
                    {
                        self.violation.push(format!("token {} had two owners", token.0));
                    }
                    let lost = self.acknowledged.iter().find(|key| !entries.contains_key(*key));
                    if let Some(lost) = lost {
                        self.violation
                            .push(format!("{lost} was said to be written; owner {} lacks it", token.0));
                    }
                    self.processes[n].acquired = Some(entries);
                }
                Event::Committed(nth) => {
                    self.written += 1;
                    let later = self.processes[n].writing.split_off(&(nth + 1));
                    let done = std::mem::replace(&mut self.processes[n].writing, later);
                    self.acknowledged.extend(done.into_values());
                }
                Event::Lost(_) => {
                    self.processes[n].acquired = None;
                    self.processes[n].writing.clear();
                }
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::Ask { from, incarnation, no, to, request } => {
                let seat = &mut self.seats[to];
                let Some(voter) = seat.voter.as_mut() else { return };
                let (response, writes) = voter.handle(now, &request);
                write(&mut seat.disk, writes);
                voter.on_response_sent(now, &request);
                self.send(
                    Some((to, 100 + from)),
                    Message::Answer { to: from, incarnation, no, from: to, response },
                );
            }
            Message::Answer { to, incarnation, no, from, response } => {
                if self.processes[to].contender.id != incarnation {
                    return;
                }
                let draw = self.chance.rand_float();
                let process = &mut self.processes[to];
                let at = now.times(process.rate);
                let out = process.contender.on_response(at, draw, VoterId(from as u16), no, response);
                self.out(to, out);
            }
            Message::Readmit { from, to, attempt, request } => {
                let seat = &mut self.seats[to];
                let Some(voter) = seat.voter.as_mut() else { return };
                let (response, writes) = voter.handle(now, &request);
                write(&mut seat.disk, writes);
                let Request::Readmit { incarnation, .. } = request else { return };
                self.send(
                    Some((to, from)),
                    Message::Readmitted { to: from, from: to, attempt, incarnation, response },
                );
            }
            Message::Readmitted { to, from, attempt, incarnation, response } => {
                let seat = &mut self.seats[to];
                // It would come on a connection of a process that is gone.
                if attempt != seat.attempt {
                    return;
                }
                let Some(blank) = &mut seat.blank else { return };
                if let Some(disk) = blank.on_response(VoterId(from as u16), incarnation, response) {
                    seat.blank = None;
                    seat.disk = disk.clone();
                    seat.voter = Some(Acceptor::open(VoterId(to as u16), self.parameters, disk, now));
                    self.readmitted += 1;
                }
            }
            Message::Effect { place, token, nth } => {
                let pass = self.fences[place].admit("orders", token);
                if matches!(pass, Admission::Rejected(_)) {
                    self.fenced += 1;
                    if !self.without.fence {
                        return;
                    }
                }
                let newest = self.effects.iter().filter(|e| e.0 == place).map(|e| e.1).max();
                if newest.is_some_and(|newest| newest > token) {
                    self.violation
                        .push(format!("place {place}: an effect of {} after a newer owner's", token.0));
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
            self.processes[n].acquired = None;
        }
        let v = self.below(self.seats.len());
        let without_disk = self.seats.iter().filter(|s| s.voter.is_none()).count();
        if self.chance(0.006) && without_disk + 1 < self.parameters.majority() {
            let all_sound = self.seats.iter().all(|s| s.blank.is_none());
            self.seats[v].voter = None;
            self.seats[v].down = Some(now + LEASE.times(self.chance.rand_float()));
            if all_sound && self.chance(0.5) {
                self.seats[v].disk = DurableState::default();
                self.seats[v].attempt += 1;
                if !self.without.readmission {
                    self.seats[v].blank = Some(Recovery::new(VoterId(v as u16), self.parameters));
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
        while self.now < span && self.violation.is_empty() {
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
                self.violation.push(format!("at {} us two could act: {owners:?}", now.0));
            }
        }
    }

    fn seats(&mut self) {
        let now = self.now;
        for v in 0..self.seats.len() {
            let seat = &mut self.seats[v];
            if seat.down.is_some_and(|until| until <= now) {
                seat.down = None;
                if seat.blank.is_none() {
                    let disk = seat.disk.clone();
                    seat.voter = Some(Acceptor::open(VoterId(v as u16), self.parameters, disk, now));
                }
            }
            let requests = match &seat.blank {
                Some(blank) if seat.down.is_none() && now.0 % 50_000 == 0 => {
                    (blank.outstanding(), blank.request(), seat.attempt)
                }
                _ => continue,
            };
            for to in requests.0 {
                let to = usize::from(to.0);
                self.send(
                    Some((v, to)),
                    Message::Readmit { from: v, to, attempt: requests.2, request: requests.1.clone() },
                );
            }
        }
    }

    fn process(&mut self, n: usize) {
        let now = self.now;
        let process = &mut self.processes[n];
        if let Some(until) = process.crashed {
            if until <= now {
                let rate = process.rate;
                let contender = self.contender(rate, n);
                let process = &mut self.processes[n];
                (process.contender, process.crashed, process.stopped) = (contender, None, None);
                process.mail.clear();
                process.writing.clear();
            }
            return;
        }
        if let Some(until) = process.stopped {
            if until > now {
                return;
            }
            process.stopped = None;
            // It wakes with its work half done: what it was about to send goes out before it looks at its clock, now and then.
            if self.chance(0.5)
                && let Some(token) = self.processes[n]
                    .acquired
                    .as_ref()
                    .and(self.processes[n].contender.last_owner())
                    .map(|o| o.token)
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
        let out = process.contender.tick(at, draw);
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
            let (mut out, key) = (Effects::default(), format!("w{}", self.sent));
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
