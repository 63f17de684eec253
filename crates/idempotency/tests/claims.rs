//! Claims at three voters, in any order, lost, repeated and taken back: at no time do two tickets hold more than half.
use std::collections::BTreeSet;

use notchspool::units::Micros;
use notchspool_idempotency::coats::{Coat, Coats, Event};
use notchspool_idempotency::rack::{Rack, Vote};
use notchspool_idempotency::round::{Round, Verdict};
use notchspool_mesh_protocol::{Claim, Claimed, Ticket};

fn claim(ticket: u64, turn: u32) -> Claim {
    let ticket = Some(Ticket { life: 1, number: ticket, turn });
    Claim { key: "k".into(), ticket, holder: "h".into(), holder_life: 1, ..Claim::default() }
}

/// Steps: a ticket comes to a voter; or one whose round is over without a majority is taken back there.
fn holds(steps: Vec<(u8, u8, bool)>) -> bool {
    let mut racks = vec![Rack::open(Micros::ms(60_000)); 3];
    let mut granted: Vec<BTreeSet<usize>> = vec![BTreeSet::new(); 4];
    let (mut ran, mut given_up) = (None, BTreeSet::new());
    for (n, (ticket, voter, back)) in steps.into_iter().enumerate() {
        let (t, v, now) = (usize::from(ticket % 4), usize::from(voter % 3), Micros::ms(n as i64));
        if back && ran != Some(t) {
            // It has not run and never will: it does not count what comes later.
            given_up.insert(t);
            racks[v].withdraw("k", Ticket { life: 1, number: t as u64, turn: 9 });
            continue;
        }
        if racks[v].claim(now, &claim(t as u64, 0)) == Vote::Granted && !given_up.contains(&t) {
            granted[t].insert(v);
            if granted[t].len() >= 2 {
                if ran.is_some_and(|first| first != t) {
                    return false;
                }
                ran = Some(t);
            }
        }
    }
    true
}

#[test]
fn no_two_tickets_hold_a_majority() {
    quickcheck::QuickCheck::new()
        .rng(quickcheck::Gen::from_size_and_seed(60, 7))
        .tests(20_000)
        .quickcheck(holds as fn(Vec<(u8, u8, bool)>) -> bool);
}

fn said(voter: u32, vote: u32, ticket: u64, set: u64) -> Claimed {
    let ticket = Some(Ticket { life: 1, number: ticket, turn: 0 });
    Claimed { voter, vote, ticket, set, ..Claimed::default() }
}

#[test]
fn a_fence_is_granted_only_where_the_first_ticket_has_no_majority_and_never_will() {
    let mut racks = vec![Rack::open(Micros::ms(60_000)); 3];
    let now = Micros::ms(1);
    // The first ticket reached one voter before its link ended: the fence has the other two, and what comes late is refused there.
    assert_eq!(racks[0].claim(now, &claim(1, 0)), Vote::Granted);
    assert_eq!(
        (racks[1].claim(now, &claim(2, 0)), racks[2].claim(now, &claim(2, 0))),
        (Vote::Granted, Vote::Granted)
    );
    assert!(matches!(racks[1].claim(now, &claim(1, 0)), Vote::Taken { .. }));
    assert!(matches!(racks[2].claim(now, &claim(1, 0)), Vote::Taken { .. }));
}

#[test]
fn the_word_of_another_set_does_not_count() {
    let mut round = Round::begin(2, 3);
    round.hear(said(0, 1, 7, 2));
    // Voter 1 was one of an earlier set, whose voter 1 has lost its disk since; and one knows a later set.
    round.hear(said(1, 1, 7, 1));
    round.hear(said(2, 1, 7, 3));
    assert_eq!(round.verdict(false), Verdict::Open);
    assert_eq!(round.verdict(true), Verdict::Nobody);
    round.hear(said(1, 1, 7, 2));
    assert_eq!(round.verdict(false), Verdict::Ours);
}

#[test]
fn a_change_of_the_set_begins_the_round_anew() {
    let mut round = Round::begin(1, 3);
    round.hear(said(0, 1, 7, 1));
    round.hear(Claimed { changing: true, ..said(1, 0, 7, 1) });
    assert!(round.waits() && round.open(1));
    round.change(2, 5);
    round.change(1, 3);
    for voter in 0..2 {
        round.hear(said(voter, 1, 7, 2));
        round.hear(said(voter + 2, 1, 7, 1));
    }
    assert_eq!((round.set(), round.verdict(false)), (2, Verdict::Open));
    round.hear(said(4, 1, 7, 2));
    assert_eq!(round.verdict(false), Verdict::Ours);
}

#[test]
fn a_claim_that_is_told_stays_as_old_as_it_was() {
    let mut rack = Rack::open(Micros::ms(60_000));
    rack.put(Micros::ms(1), &Claim { age_ms: 59_000, ..claim(1, 0) });
    assert_eq!(rack.all(Micros::ms(501))[0].age_ms, 59_500);
    // Told again as younger, it was granted again there: the younger one counts.
    rack.put(Micros::ms(501), &Claim { age_ms: 40_000, ..claim(1, 0) });
    rack.wake(Micros::ms(1_600));
    assert_eq!(rack.len(), 1);
    rack.put(Micros::ms(1_700), &Claim { age_ms: 60_000, ..claim(1, 0) });
    rack.wake(Micros::ms(20_600));
    assert!(rack.is_empty());
}

#[test]
fn split_votes_are_nobodys_and_a_majority_of_another_names_its_holder() {
    let mut round = Round::begin(1, 3);
    round.hear(said(0, 2, 5, 1));
    assert_eq!(round.verdict(false), Verdict::Open);
    assert!(matches!(round.verdict(true), Verdict::Theirs { .. }));
    let mut round = Round::begin(1, 3);
    round.hear(said(0, 0, 0, 1));
    assert_eq!(round.verdict(true), Verdict::Nobody);
}

#[test]
fn an_operation_goes_its_way_and_no_other() {
    let mut coats: Coats<u32> = Coats::open(Micros::ms(1_000), 100);
    let now = Micros::ms(1);
    assert!(!coats.turn(now, "k", Event::Granted));
    assert!(coats.turn(now, "k", Event::Claim) && !coats.turn(now, "k", Event::Claim));
    assert!(!coats.turn(now, "k", Event::Answer(1, 10)));
    assert!(coats.turn(now, "k", Event::Granted) && coats.turn(now, "k", Event::Answer(1, 60)));
    assert!(!coats.turn(now, "k", Event::NotRun) && !coats.turn(now, "k", Event::BrokeOff));
    assert_eq!(coats.get("k"), Some(&Coat::Kept(1)));
    // Past the bound of bytes the oldest answer goes; that it ran stays known.
    for event in [Event::Claim, Event::Granted, Event::Answer(2, 60)] {
        assert!(coats.turn(now, "l", event));
    }
    assert_eq!(
        (coats.get("k"), coats.get("l"), coats.bytes()),
        (Some(&Coat::Lost), Some(&Coat::Kept(2)), 60)
    );
    coats.wake(Micros::ms(2_000));
    assert_eq!((coats.get("k"), coats.get("l"), coats.bytes()), (None, None, 0));
}
