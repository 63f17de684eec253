//! Walks all interleavings of small cases: 3 voters, 2 contenders, an owner that writes once and does one thing at a place. What is
//! asked of the voters reaches any part of them and is lost to the rest; up to so many messages come late, at any later moment, or
//! twice; a voter falls and comes back with its disk; a contender stands still at any step. States that were seen are not walked
//! again; each is judged.
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use notchspool::units::Micros;
use notchspool_consensus::acceptor::{Acceptor, DiskWrite, DurableState};
use notchspool_consensus::fencing::{Admission, Fence};
use notchspool_consensus::lease_owner::{Contender, Effects, Event, FaultInjection};
use notchspool_consensus::*;
use rstest::rstest;

const LEASE: Micros = Micros::ms(1000);
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Kind {
    Ask,
    Answer,
    Effect,
}

/// A message: who, by its number, to or from which voter. What it says follows from its asks and answers, kept beside it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Message {
    kind: Kind,
    who: usize,
    voter: usize,
    no: u64,
    request: Option<Request>,
    response: Option<Response>,
    token: Token,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Budget {
    /// Steps of the clock, and how long each is.
    ticks: u32,
    tick_ms: i64,
    /// Answers that come later than at once.
    late: u32,
    doubles: u32,
    falls: u32,
    stops: u32,
    /// Writes and effects, together.
    acts: u32,
}

#[derive(Clone, Hash)]
struct World {
    now: Micros,
    voters: Vec<Acceptor>,
    disks: Vec<(Vec<SpaceState>, u64)>,
    contenders: Vec<Contender>,
    stopped: Vec<bool>,
    acquired: Vec<Option<Token>>,
    committed: Vec<Option<(u64, Token)>>,
    did: Vec<bool>,
    /// Asked, and at no voter yet; and what comes late.
    fresh: Vec<Vec<Message>>,
    wire: Vec<Message>,
    fence: Fence,
    fenced: bool,
    newest: Token,
    acknowledged: BTreeSet<String>,
    left: Budget,
    violation: Option<String>,
}

fn parameters() -> Parameters {
    Parameters {
        retry_interval: Micros::ms(60_000),
        drift_ppm: 0,
        contender_turn: Micros::ms(20),
        ..Parameters::new(3, LEASE)
    }
}

impl World {
    fn new(left: Budget, fenced: bool, faults: FaultInjection) -> World {
        let voter = |n| Acceptor::open(VoterId(n), parameters(), DurableState::default(), Micros(0));
        let contender = |n: u64| {
            let mut c =
                Contender::new(ContenderId(n + 1), &format!("k{n}"), "", "j", parameters(), Micros(0), 0.0);
            c.inject_faults(faults);
            c
        };
        World {
            now: Micros(0),
            voters: (0..3).map(voter).collect(),
            disks: vec![(Vec::new(), 0); 3],
            contenders: (0..2).map(contender).collect(),
            stopped: vec![false; 2],
            acquired: vec![None; 2],
            committed: vec![None; 2],
            did: vec![false; 2],
            fresh: Vec::new(),
            wire: Vec::new(),
            fence: Fence::default(),
            fenced,
            newest: Token(0),
            acknowledged: BTreeSet::new(),
            left,
            violation: None,
        }
    }

    fn keep(&mut self, v: usize, writes: Vec<DiskWrite>) {
        let spaces = &mut self.disks[v].0;
        for one in writes {
            let of = match &one {
                DiskWrite::Promise(s, _) | DiskWrite::Entry(s, _, _) | DiskWrite::Lease(s, _) => s.clone(),
                DiskWrite::Incarnation(..) => continue,
            };
            if !spaces.iter().any(|s| s.space == of) {
                spaces.push(SpaceState {
                    space: of.clone(),
                    promised: Ballot::default(),
                    entries: Entries::new(),
                    lease: None,
                });
            }
            let Some(record) = spaces.iter_mut().find(|s| s.space == of) else { continue };
            match one {
                DiskWrite::Promise(_, ballot) => record.promised = ballot,
                DiskWrite::Entry(_, key, entry) => drop(record.entries.insert(key, entry)),
                DiskWrite::Lease(_, lease) => record.lease = lease,
                DiskWrite::Incarnation(..) => {}
            }
        }
    }

    fn out(&mut self, who: usize, out: Effects) {
        let mut fresh: BTreeMap<u64, Vec<Message>> = BTreeMap::new();
        for message in out.messages {
            let (voter, token) = (usize::from(message.to.0), Token(0));
            let (no, request) = (message.number, Some(message.request));
            let message = Message { kind: Kind::Ask, who, voter, no, request, response: None, token };
            fresh.entry(no).or_default().push(message);
        }
        self.fresh.extend(fresh.into_values());
        for event in out.events {
            match event {
                Event::Acquired { token, entries } => {
                    if let Some(lost) = self.acknowledged.iter().find(|k| !entries.contains_key(*k)) {
                        self.violation =
                            Some(format!("{lost} was said to be written; owner {} lacks it", token.0));
                    }
                    self.acquired[who] = Some(token);
                }
                Event::Committed(nth) => {
                    if let Some((of, token)) = self.committed[who].filter(|w| w.0 <= nth) {
                        let _ = of;
                        self.acknowledged.insert(format!("w{}", token.0));
                    }
                }
                Event::Lost(_) => (self.acquired[who], self.committed[who]) = (None, None),
            }
        }
    }

    fn judge(&mut self) {
        let owners = self.contenders.iter().filter(|c| c.owns(self.now).is_some()).count();
        if owners > 1 {
            self.violation = Some("two could act".into());
        }
        // The same messages in another order are the same world.
        self.wire.sort_by(|a, b| (&a.kind, a.who, a.voter, a.no).cmp(&(&b.kind, b.who, b.voter, b.no)));
    }

    fn deliver(&mut self, message: &Message, late: bool) {
        let Message { kind, who, voter, no, request, response, token } = message.clone();
        match (kind, request, response) {
            (Kind::Ask, Some(request), _) => {
                let (response, writes) = self.voters[voter].handle(self.now, &request);
                self.keep(voter, writes);
                self.voters[voter].on_response_sent(self.now, &request);
                if late || self.stopped[who] {
                    let response = Some(response);
                    self.wire.push(Message {
                        kind: Kind::Answer,
                        who,
                        voter,
                        no,
                        request: None,
                        response,
                        token,
                    });
                    return;
                }
                let out =
                    self.contenders[who].on_response(self.now, 0.0, VoterId(voter as u16), no, response);
                self.out(who, out);
            }
            (Kind::Answer, _, Some(response)) => {
                let out =
                    self.contenders[who].on_response(self.now, 0.0, VoterId(voter as u16), no, response);
                self.out(who, out);
            }
            (Kind::Effect, ..) => {
                if matches!(self.fence.admit("j", token), Admission::Rejected(_)) && self.fenced {
                    return;
                }
                if token < self.newest {
                    self.violation = Some("an effect under an older token after a newer one".into());
                }
                self.newest = self.newest.max(token);
            }
            _ => {}
        }
    }

    /// What was asked last reaches these voters; `how`: nothing odd, late, its answer late, twice, at voter `v`.
    fn round(&mut self, n: usize, to: u32, how: u32, v: usize) {
        let messages = self.fresh.remove(n);
        for message in messages {
            if to & (1 << message.voter) != 0 {
                self.deliver(&message, how == 2 && message.voter == v);
            }
            if message.voter == v && (how == 1 || how == 3) {
                self.wire.push(message);
            }
        }
        match how {
            1 | 2 => self.left.late -= 1,
            3 => self.left.doubles -= 1,
            _ => {}
        }
    }

    /// All worlds one step from this one.
    fn steps(&self) -> Vec<World> {
        let mut next = Vec::new();
        let mut step = |change: &dyn Fn(&mut World)| {
            let mut world = self.clone();
            change(&mut world);
            world.judge();
            next.push(world);
        };
        for n in 0..self.fresh.len() {
            for to in 0..8_u32 {
                // One more may come late, or its answer may, or it may come twice.
                let odd = (0..4).flat_map(|how| (0..3).map(move |v| (how, v)));
                for (how, v) in odd {
                    let there = to & (1 << v) != 0;
                    let may = match how {
                        0 => v == 0,
                        1 => self.left.late > 0 && !there,
                        2 => self.left.late > 0 && there,
                        _ => self.left.doubles > 0 && there,
                    };
                    if may {
                        step(&|w| w.round(n, to, how, v));
                    }
                }
            }
        }
        for n in 0..self.wire.len() {
            let message = &self.wire[n];
            if message.kind == Kind::Answer && self.stopped[message.who] {
                continue;
            }
            step(&|w| {
                let message = w.wire.remove(n);
                w.deliver(&message, false);
            });
        }
        for who in 0..2 {
            if self.stopped[who] {
                step(&|w| w.stopped[who] = false);
                continue;
            }
            if self.contenders[who].next_deadline() <= self.now {
                step(&|w| {
                    let out = w.contenders[who].tick(w.now, 0.0);
                    w.out(who, out);
                });
            }
            let owns = self.contenders[who].owns(self.now);
            if let Some(token) = owns.filter(|_| self.left.acts > 0 && self.committed[who].is_none()) {
                step(&|w| {
                    w.left.acts -= 1;
                    let mut out = Effects::default();
                    let changes = BTreeMap::from([(format!("w{}", token.0), "1".to_owned())]);
                    let nth = w.contenders[who].write(w.now, changes, &mut out);
                    w.committed[who] = nth.map(|nth| (nth, token));
                    w.out(who, out);
                });
            }
            // It has looked at its lease; what it sends may lie still for as long as it likes.
            if let Some(token) = owns.filter(|_| self.left.acts > 0 && !self.did[who]) {
                step(&|w| {
                    w.left.acts -= 1;
                    w.did[who] = true;
                    let (kind, no) = (Kind::Effect, 0);
                    w.wire.push(Message { kind, who, voter: 0, no, request: None, response: None, token });
                });
            }
            if self.left.stops > 0 {
                step(&|w| {
                    w.left.stops -= 1;
                    w.stopped[who] = true;
                });
            }
        }
        if self.left.ticks > 0 {
            step(&|w| {
                w.left.ticks -= 1;
                w.now = w.now + Micros::ms(w.left.tick_ms);
            });
        }
        if self.left.falls > 0 {
            for v in 0..3 {
                step(&|w| {
                    w.left.falls -= 1;
                    let (spaces, incarnation) = w.disks[v].clone();
                    let disk = DurableState { incarnation, known_incarnations: BTreeMap::new(), spaces };
                    w.voters[v] = Acceptor::open(VoterId(v as u16), parameters(), disk, w.now);
                });
            }
        }
        next
    }
}

/// All that can be reached, or the first state that is wrong; at most `most` states, depth first.
fn walk(world: World, most: usize) -> (usize, bool, Option<String>) {
    let key = |w: &World| {
        let mut hasher = DefaultHasher::new();
        w.hash(&mut hasher);
        hasher.finish()
    };
    let mut seen = HashSet::from([key(&world)]);
    let mut open = vec![world];
    while let Some(world) = open.pop() {
        if let Some(violation) = &world.violation {
            return (seen.len(), false, Some(violation.clone()));
        }
        if seen.len() >= most {
            return (seen.len(), false, None);
        }
        open.extend(world.steps().into_iter().filter(|w| seen.insert(key(w))));
    }
    (seen.len(), true, None)
}

const MOST: usize = 100_000;
const ONE: Budget = Budget { ticks: 1, tick_ms: 1_100, late: 0, doubles: 0, falls: 0, stops: 0, acts: 2 };

#[rstest]
#[case::who_owns(Budget { acts: 0, ..ONE })]
#[case::who_owns_late(Budget { acts: 0, late: 1, ..ONE })]
#[case::acts(Budget { acts: 1, ..ONE })]
#[case::half_a_lease_at_a_time(Budget { ticks: 2, tick_ms: 600, ..ONE })]
#[case::late(Budget { late: 2, ..ONE })]
#[case::doubled(Budget { doubles: 1, ..ONE })]
#[case::falls(Budget { falls: 1, ..ONE })]
#[case::stops(Budget { stops: 1, ..ONE })]
fn every_state_of_a_small_case_is_sound(#[case] left: Budget) {
    let most = std::env::var("NOTCHSPOOL_STATES").ok().and_then(|n| n.parse().ok()).unwrap_or(MOST);
    let (states, complete, violation) = walk(World::new(left.clone(), true, FaultInjection::default()), most);
    println!("{left:?}: {states} states, {}", if complete { "all there are" } else { "cut there" });
    assert_eq!(violation, None);
    assert!(states > 1_000, "a walk that goes nowhere shows nothing: {states}");
}

#[rstest]
#[case::no_fence(ONE, false, FaultInjection::default(), "older token")]
#[case::lease_from_the_answer(Budget { late: 1, acts: 0, ..ONE }, true, FaultInjection { lease_from_response: true, state_without_majority: false }, "two could act")]
#[case::one_voter_alone(ONE, true, FaultInjection { lease_from_response: false, state_without_majority: true }, "lacks it")]
fn the_walk_finds_what_each_safeguard_is_for(
    #[case] left: Budget,
    #[case] fenced: bool,
    #[case] faults: FaultInjection,
    #[case] word: &str,
) {
    let (states, _, violation) = walk(World::new(left, fenced, faults), 1_000_000);
    println!("{states} states: {violation:?}");
    assert!(violation.is_some_and(|w| w.contains(word)));
}
