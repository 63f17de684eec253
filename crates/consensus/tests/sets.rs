//! The successor of a set against a plain model: voters that lose power, messages that are lost, doubled and overtake each other, two
//! and three who carry a change at once. However it goes, one successor is decided, and a majority is sealed by then.
use std::collections::BTreeSet;

use notchspool::units::Micros;
use notchspool_consensus::reconfiguration::{Progress, Reconfiguration, SuccessorRequest};
use notchspool_consensus::voter_set::{Member, SuccessorRegister, SuccessorReply, VoterSet};
use notchspool_consensus::{Ballot, ContenderId};

fn set(number: u64, places: &[u8]) -> VoterSet {
    let member =
        |p: &u8| Member { address: format!("10.0.0.{p}:1"), incarnation: u64::from(*p), zone: "z".into() };
    VoterSet::new(number, places.iter().map(member).collect())
}

enum Way {
    Ask(usize, usize, Ballot, Option<VoterSet>),
    Answer(usize, usize, Ballot, SuccessorReply),
}

struct World {
    voters: usize,
    now: Micros,
    /// In memory, and on disk.
    registers: Vec<(SuccessorRegister, SuccessorRegister)>,
    changes: Vec<Reconfiguration>,
    way: Vec<Way>,
    decided: BTreeSet<String>,
    /// A safeguard that is off: a voter answers before its disk has it.
    early: bool,
}

impl World {
    fn request(&mut self, by: usize, request: Option<SuccessorRequest>) {
        let Some(request) = request else { return };
        self.way
            .extend(request.positions.iter().map(|p| Way::Ask(by, *p, request.ballot, request.next.clone())));
    }

    fn deliver(&mut self, at: usize, twice: bool, old: &VoterSet) {
        let at = at % self.way.len();
        let way = self.way.swap_remove(at);
        match &way {
            Way::Ask(by, to, ballot, next) => {
                let register = &mut self.registers[*to];
                let (reply, _) = match next {
                    None => register.0.prepare(*ballot),
                    Some(next) => register.0.accept(old, *ballot, next),
                };
                if !self.early {
                    register.1 = register.0.clone();
                }
                self.way.push(Way::Answer(*by, *to, *ballot, reply));
            }
            Way::Answer(by, from, ballot, reply) => {
                let Progress { request, decided } =
                    self.changes[*by].on_reply(self.now, *from, *ballot, reply.clone(), 0.3);
                self.request(*by, request);
                self.decided.extend(decided.map(|s| s.to_string()));
            }
        }
        if twice && self.way.len() < 200 {
            self.way.push(way);
        }
    }
}

/// Steps: which message goes next; every so many a voter loses power, a message is lost, or time passes.
fn plays(voters: usize, steps: &[(u16, u8)], early: bool) -> Result<bool, String> {
    let all: Vec<u8> = (1..=voters as u8).collect();
    let old = set(7, &all);
    let mut world = World {
        voters,
        now: Micros(1),
        registers: vec![Default::default(); voters],
        changes: Vec::new(),
        way: Vec::new(),
        decided: BTreeSet::new(),
        early,
    };
    for by in 0..3u8 {
        let mut next = all.clone();
        next[usize::from(by) % voters] = 20 + by;
        let (change, request) =
            Reconfiguration::new(world.now, old.clone(), set(8, &next), ContenderId(u64::from(by) + 1), 0);
        world.changes.push(change);
        world.request(usize::from(by), Some(request));
    }
    for (pick, kind) in steps {
        world.now = world.now + Micros::ms(7);
        match kind % 16 {
            0 => {
                let at = usize::from(*pick) % world.voters;
                world.registers[at].0 = world.registers[at].1.clone();
            }
            1 if !world.way.is_empty() => {
                let at = usize::from(*pick) % world.way.len();
                drop(world.way.swap_remove(at));
            }
            2 | 3 => {
                let by = usize::from(*pick) % 3;
                let request = world.changes[by].tick(world.now);
                world.request(by, request);
            }
            kind if !world.way.is_empty() => world.deliver(usize::from(*pick), kind == 4, &old),
            _ => {}
        }
        if world.decided.len() > 1 {
            return Err(format!("two successors: {:?}", world.decided));
        }
        let sealed = world.registers.iter().filter(|r| r.1.is_sealed()).count();
        if !world.decided.is_empty() && sealed < old.majority() {
            return Err(format!("decided, and {sealed} sealed"));
        }
    }
    Ok(!world.decided.is_empty())
}

#[test]
fn one_successor_is_decided_and_a_majority_is_sealed_by_then() {
    fn holds(voters: u8, steps: Vec<(u16, u8)>) -> bool {
        let voters = [1, 2, 3, 4, 5][usize::from(voters) % 5];
        plays(voters, &steps, false).is_ok()
    }
    quickcheck::QuickCheck::new()
        .rng(quickcheck::Gen::from_size_and_seed(300, 11))
        .tests(5_000)
        .quickcheck(holds as fn(u8, Vec<(u16, u8)>) -> bool);
}

#[test]
fn most_plays_come_to_a_decision_and_one_without_the_disk_is_refused() {
    let (mut decided, mut refused) = (0, 0);
    let mut chance = oorandom::Rand64::new(5);
    for _ in 0..500 {
        let steps: Vec<(u16, u8)> = (0..300)
            .map(|_| (chance.rand_range(0..60_000) as u16, chance.rand_range(0..256) as u8))
            .collect();
        decided += usize::from(plays(3, &steps, false) == Ok(true));
        refused += usize::from(plays(3, &steps, true).is_err());
    }
    assert!(decided > 250, "{decided} of 500 came to a decision");
    assert!(refused > 0, "a seal that is not kept was never seen");
}

#[test]
fn a_sealed_voter_stays_so_and_what_can_follow_no_set_is_refused() {
    let old = set(7, &[1, 2, 3]);
    let ballot = |round| Ballot { round, by: ContenderId(1), ..Ballot::default() };
    let mut register = SuccessorRegister::default();
    for unfit in [set(9, &[1, 2, 3]), set(8, &[]), set(8, &[1, 1, 2])] {
        assert!(matches!(register.accept(&old, ballot(1), &unfit).0, SuccessorReply::Rejected(_)));
    }
    assert!(!register.is_sealed());
    assert_eq!(register.accept(&old, ballot(2), &set(8, &[1, 2, 4])).0, SuccessorReply::Accepted);
    assert!(matches!(register.accept(&old, ballot(1), &set(8, &[1, 2, 5])).0, SuccessorReply::Rejected(_)));
    assert!(
        matches!(register.prepare(ballot(3)).0, SuccessorReply::Promised(Some((_, next))) if next == set(8, &[1, 2, 4]))
    );
    assert!(register.is_sealed() && !register.seal(&set(8, &[1, 2, 5])));
}
