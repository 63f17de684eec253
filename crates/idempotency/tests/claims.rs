//! Claims at three voters, in any order, lost, repeated and taken back: at no time do two tickets hold more than half.
use std::collections::BTreeSet;

use notchspool::units::Micros;
use notchspool_idempotency::claim_proposal::{ClaimProposal, Outcome};
use notchspool_idempotency::claim_table::{ClaimTable, Decision};
use notchspool_idempotency::response_cache::{Event, OperationState, ResponseCache};
use notchspool_mesh_protocol::{Claim, ClaimReply, Ticket};

fn claim(ticket: u64, turn: u32) -> Claim {
    let ticket = Some(Ticket { boot_id: 1, number: ticket, attempt: turn });
    Claim { key: "k".into(), ticket, holder: "h".into(), holder_boot_id: 1, ..Claim::default() }
}

/// Steps: a ticket comes to a voter; or one whose round is over without a majority is taken back there.
fn holds(steps: Vec<(u8, u8, bool)>) -> bool {
    let mut racks = vec![ClaimTable::new(Micros::ms(60_000)); 3];
    let mut granted: Vec<BTreeSet<usize>> = vec![BTreeSet::new(); 4];
    let (mut ran, mut given_up) = (None, BTreeSet::new());
    for (n, (ticket, voter, back)) in steps.into_iter().enumerate() {
        let (t, v, now) = (usize::from(ticket % 4), usize::from(voter % 3), Micros::ms(n as i64));
        if back && ran != Some(t) {
            // It has not run and never will: it does not count what comes later.
            given_up.insert(t);
            racks[v].withdraw("k", Ticket { boot_id: 1, number: t as u64, attempt: 9 });
            continue;
        }
        if racks[v].claim(now, &claim(t as u64, 0)) == Decision::Granted && !given_up.contains(&t) {
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

fn reply(voter: u32, vote: i32, ticket: u64, set: u64) -> ClaimReply {
    let ticket = Some(Ticket { boot_id: 1, number: ticket, attempt: 0 });
    ClaimReply { voter, vote, ticket, set_number: set, ..ClaimReply::default() }
}

#[test]
fn a_fence_is_granted_only_where_the_first_ticket_has_no_majority_and_never_will() {
    let mut racks = vec![ClaimTable::new(Micros::ms(60_000)); 3];
    let now = Micros::ms(1);
    // The first ticket reached one voter before its link ended: the fence has the other two, and what comes late is refused there.
    assert_eq!(racks[0].claim(now, &claim(1, 0)), Decision::Granted);
    assert_eq!(
        (racks[1].claim(now, &claim(2, 0)), racks[2].claim(now, &claim(2, 0))),
        (Decision::Granted, Decision::Granted)
    );
    assert!(matches!(racks[1].claim(now, &claim(1, 0)), Decision::HeldByOther { .. }));
    assert!(matches!(racks[2].claim(now, &claim(1, 0)), Decision::HeldByOther { .. }));
}

#[test]
fn the_word_of_another_set_does_not_count() {
    let mut proposal = ClaimProposal::new(2, 3);
    proposal.on_reply(reply(0, 1, 7, 2));
    // Voter 1 was one of an earlier set, whose voter 1 has lost its disk since; and one knows a later set.
    proposal.on_reply(reply(1, 1, 7, 1));
    proposal.on_reply(reply(2, 1, 7, 3));
    assert_eq!(proposal.outcome(false), Outcome::Pending);
    assert_eq!(proposal.outcome(true), Outcome::Undecided);
    proposal.on_reply(reply(1, 1, 7, 2));
    assert_eq!(proposal.outcome(false), Outcome::Granted);
}

#[test]
fn a_change_of_the_set_begins_the_round_anew() {
    let mut proposal = ClaimProposal::new(1, 3);
    proposal.on_reply(reply(0, 1, 7, 1));
    proposal.on_reply(ClaimReply { reconfiguring: true, ..reply(1, 0, 7, 1) });
    assert!(proposal.is_reconfiguring() && proposal.is_outstanding(1));
    proposal.on_set_changed(2, 5);
    proposal.on_set_changed(1, 3);
    for voter in 0..2 {
        proposal.on_reply(reply(voter, 1, 7, 2));
        proposal.on_reply(reply(voter + 2, 1, 7, 1));
    }
    assert_eq!((proposal.set_number(), proposal.outcome(false)), (2, Outcome::Pending));
    proposal.on_reply(reply(4, 1, 7, 2));
    assert_eq!(proposal.outcome(false), Outcome::Granted);
}

#[test]
fn a_claim_sent_to_another_voter_stays_as_old_as_it_was() {
    let mut table = ClaimTable::new(Micros::ms(60_000));
    table.insert(Micros::ms(1), &Claim { age_ms: 59_000, ..claim(1, 0) });
    assert_eq!(table.all(Micros::ms(501))[0].age_ms, 59_500);
    // Told again as younger, it was granted again there: the younger one counts.
    table.insert(Micros::ms(501), &Claim { age_ms: 40_000, ..claim(1, 0) });
    table.tick(Micros::ms(1_600));
    assert_eq!(table.len(), 1);
    table.insert(Micros::ms(1_700), &Claim { age_ms: 60_000, ..claim(1, 0) });
    table.tick(Micros::ms(20_600));
    assert!(table.is_empty());
}

/// A repeat was sent to the holder that the first voter knew, also where others knew a later attempt of the same request.
#[test]
fn of_several_attempts_of_one_request_the_latest_names_the_holder() {
    let held_by = |voter: u32, attempt: u32, holder: &str| ClaimReply {
        ticket: Some(Ticket { boot_id: 1, number: 1, attempt }),
        holder: holder.into(),
        ..reply(voter, 2, 1, 1)
    };
    for behind in 0..3 {
        let mut proposal = ClaimProposal::new(1, 3);
        for voter in 0..3 {
            let (attempt, holder) = if voter == behind { (0, "p-1") } else { (1, "p-2") };
            proposal.on_reply(held_by(voter, attempt, holder));
        }
        let Outcome::HeldByOther { ticket, holder, .. } = proposal.outcome(false) else {
            panic!("{:?}", proposal.outcome(false));
        };
        assert_eq!((ticket.attempt, holder.as_str()), (1, "p-2"), "voter {behind} is behind");
    }
}

#[test]
fn split_votes_are_nobodys_and_a_majority_of_another_names_its_holder() {
    let mut proposal = ClaimProposal::new(1, 3);
    proposal.on_reply(reply(0, 2, 5, 1));
    assert_eq!(proposal.outcome(false), Outcome::Pending);
    assert!(matches!(proposal.outcome(true), Outcome::HeldByOther { .. }));
    let mut proposal = ClaimProposal::new(1, 3);
    proposal.on_reply(reply(0, 0, 0, 1));
    assert_eq!(proposal.outcome(true), Outcome::Undecided);
}

#[test]
fn an_operation_goes_its_way_and_no_other() {
    let mut cache: ResponseCache<u32> = ResponseCache::new(Micros::ms(1_000), 100);
    let now = Micros::ms(1);
    assert!(!cache.apply(now, "k", Event::Granted));
    assert!(cache.apply(now, "k", Event::Claim) && !cache.apply(now, "k", Event::Claim));
    assert!(!cache.apply(now, "k", Event::Response(1, 10)));
    assert!(cache.apply(now, "k", Event::Granted) && cache.apply(now, "k", Event::Response(1, 60)));
    assert!(!cache.apply(now, "k", Event::NotRun) && !cache.apply(now, "k", Event::BrokeOff));
    assert_eq!(cache.get("k"), Some(&OperationState::Completed(1)));
    // Past the bound of bytes the oldest answer goes; that it ran stays known.
    for event in [Event::Claim, Event::Granted, Event::Response(2, 60)] {
        assert!(cache.apply(now, "l", event));
    }
    assert_eq!(
        (cache.get("k"), cache.get("l"), cache.bytes()),
        (Some(&OperationState::Lost), Some(&OperationState::Completed(2)), 60)
    );
    cache.tick(Micros::ms(2_000));
    assert_eq!((cache.get("k"), cache.get("l"), cache.bytes()), (None, None, 0));
}

/// A repeat was told "it has not run here" once the window of an earlier claim, which was refused, was over.
#[test]
fn an_answer_is_kept_for_the_window_of_its_run_whatever_claims_came_before() {
    let mut cache: ResponseCache<u32> = ResponseCache::new(Micros::ms(1_000), 100);
    for (at, event) in [
        (0, Event::Claim),
        (1, Event::NotRun),
        (100, Event::Claim),
        (101, Event::NotRun),
        (600, Event::Claim),
        (601, Event::Granted),
        (800, Event::Response(1, 60)),
    ] {
        assert!(cache.apply(Micros::ms(at), "k", event));
    }
    for now in 801..=1_800 {
        cache.tick(Micros::ms(now));
        assert_eq!(cache.get("k"), Some(&OperationState::Completed(1)), "after {now} ms");
    }
    cache.tick(Micros::ms(1_801));
    assert_eq!((cache.get("k"), cache.bytes()), (None, 0));
}

/// Any events of many keys: bytes are those of the responses that are kept, and everything is forgotten in the end.
#[test]
fn whatever_happens_the_cache_is_empty_after_the_last_window() {
    fn is_empty_in_the_end(steps: Vec<(u8, u8)>) -> bool {
        let mut cache: ResponseCache<u32> = ResponseCache::new(Micros::ms(50), 200);
        let keys: Vec<String> = (0..8).map(|number| format!("k-{number}")).collect();
        for (at, (key, event)) in steps.iter().enumerate() {
            let event = match event % 5 {
                0 => Event::Claim,
                1 => Event::Granted,
                2 => Event::Response(1, 60),
                3 => Event::NotRun,
                _ => Event::BrokeOff,
            };
            cache.apply(Micros::ms(at as i64), &keys[usize::from(key % 8)], event);
            cache.tick(Micros::ms(at as i64));
            let is_completed = |key: &&String| matches!(cache.get(key), Some(OperationState::Completed(_)));
            if cache.bytes() > 200 || cache.bytes() != 60 * keys.iter().filter(is_completed).count() {
                return false;
            }
        }
        let end = steps.len() as i64;
        for key in &keys {
            // What is at work is never forgotten.
            cache.apply(Micros::ms(end), key, Event::NotRun);
        }
        cache.tick(Micros::ms(end + 51));
        cache.bytes() == 0 && keys.iter().all(|key| cache.get(key).is_none())
    }
    quickcheck::QuickCheck::new()
        .rng(quickcheck::Gen::from_size_and_seed(200, 11))
        .tests(5_000)
        .quickcheck(is_empty_in_the_end as fn(Vec<(u8, u8)>) -> bool);
}
