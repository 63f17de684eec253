//! What is open between two proxies: every answer goes to its own question or to nobody.
use std::collections::BTreeSet;

use notchspool::units::Micros;
use notchspool_data_plane::exchange::{Answering, Asked, Asking, Does, Event, Step};
use notchspool_mesh_protocol::Verdict;

type Link = Asking<u64, u64>;

fn up() -> Link {
    let mut link = Link::open(Micros(1));
    assert!(matches!(link.turn(Micros(1), Event::Up), Step::Nothing));
    link
}
fn ask(link: &mut Link, id: u64) {
    assert!(matches!(link.turn(Micros(1), Event::Ask(id, id)), Step::Send));
}

#[test]
fn an_answer_goes_to_its_question_and_a_second_ends_the_connection() {
    let mut link = up();
    ask(&mut link, 1);
    ask(&mut link, 2);
    assert!(matches!(link.turn(Micros(2), Event::Said(2, None)), Step::Give(2)));
    assert!(matches!(link.turn(Micros(3), Event::Said(2, None)), Step::Cut(_)));
    assert!(matches!(up().turn(Micros(2), Event::Said(9, None)), Step::Cut(_)));
    assert!(matches!(up().turn(Micros(2), Event::Part { id: 9, last: false }), Step::Cut(_)));
}

#[test]
fn what_crosses_a_cancel_is_dropped_until_its_fence_is_answered() {
    let mut link = up();
    ask(&mut link, 1);
    assert!(matches!(link.turn(Micros(2), Event::GiveUp(1)), Step::Cancel));
    assert!(matches!(link.turn(Micros(3), Event::Said(1, Some(0))), Step::Nothing));
    let look =
        |link: &mut Link, at| link.turn(Micros::ms(at), Event::Look { reads: 0, lost: Micros::ms(500) });
    let Step::Ping(fence) = look(&mut link, 1) else { panic!("no fence") };
    ask(&mut link, 2);
    assert!(matches!(link.turn(Micros::ms(2), Event::GiveUp(2)), Step::Cancel));
    link.turn(Micros::ms(3), Event::Pong(fence));
    // The second was given up after that ping: it may still be on its way, the first may not.
    assert!(matches!(link.turn(Micros::ms(4), Event::Said(2, None)), Step::Nothing));
    assert!(matches!(link.turn(Micros::ms(4), Event::Said(1, None)), Step::Cut(_)));
}

#[test]
fn one_that_is_let_go_takes_nothing_new() {
    let mut link = up();
    let look = Event::Look { reads: 0, lost: Micros::ms(500) };
    assert!(matches!(link.turn(Micros::ms(61_000), look), Step::Finish));
    assert!(!link.takes());
    assert!(matches!(link.turn(Micros::ms(61_000), Event::Ask(1, 1)), Step::NotRun(_, 1)));
}

#[test]
fn what_was_sent_may_have_run_and_what_never_left_has_not() {
    for (is_up, verdict) in [(false, Verdict::NotRun), (true, Verdict::MayHaveRun)] {
        let mut link = if is_up { up() } else { Link::open(Micros(1)) };
        ask(&mut link, 1);
        let Step::Ended(found, waiters, _) = link.turn(Micros(2), Event::Ends) else { panic!("no end") };
        assert_eq!((found, waiters), (verdict, vec![(1, 1)]));
        assert!(matches!(link.turn(Micros(3), Event::Ask(2, 2)), Step::NotRun(_, 2)));
    }
}

#[test]
fn a_silent_one_is_asked_and_then_cut_and_an_unused_one_never() {
    let look =
        |link: &mut Link, at| link.turn(Micros::ms(at), Event::Look { reads: 0, lost: Micros::ms(500) });
    let mut link = up();
    assert!(matches!(look(&mut link, 5_000), Step::Nothing));
    link.turn(Micros::ms(5_000), Event::Ask(1, 1));
    assert!(matches!(look(&mut link, 5_100), Step::Nothing));
    assert!(matches!(look(&mut link, 5_200), Step::Ping(_)));
    assert!(matches!(look(&mut link, 5_500), Step::Nothing));
    assert!(matches!(look(&mut link, 5_560), Step::Cut(_)));
}

#[test]
fn the_other_end_begins_nothing_twice() {
    let mut work = Answering::<u64>::default();
    assert!(matches!(work.turn(Asked::Ask(3)), Does::Begin));
    work.turn(Asked::Began(3, 30));
    assert!(matches!(work.turn(Asked::Ask(3)), Does::Cut));
    work.turn(Asked::Done(3));
    assert!(matches!(work.turn(Asked::Ask(3)), Does::Cut));
    assert!(matches!(work.turn(Asked::Ask(2)), Does::Cut));
    assert!(matches!(work.turn(Asked::Ask(4)), Does::Begin));
    work.turn(Asked::Began(4, 40));
    assert!(matches!(work.turn(Asked::Cancel(4)), Does::Abort(40)));
    assert!(matches!(work.turn(Asked::Cancel(4)), Does::Nothing));
    work.turn(Asked::Ask(5));
    work.turn(Asked::Began(5, 50));
    let Does::AbortAll(all) = work.turn(Asked::Ends) else { panic!("nothing to end") };
    assert_eq!(all, [50]);
}

/// Whatever comes in whatever order: each question is answered at most once, by what bore its id.
#[test]
fn any_order_of_events_answers_each_question_at_most_once() {
    fn holds(steps: Vec<(u8, u8)>) -> bool {
        let (mut link, mut next, mut done, mut now) = (up(), 0u64, BTreeSet::new(), 1i64);
        for (what, id) in steps {
            now += i64::from(id) * 1_000;
            let id = u64::from(id) % (next + 2);
            let at = Micros(now);
            let step = match what % 7 {
                0 | 1 => {
                    next += 1;
                    link.turn(at, Event::Ask(next, next))
                }
                2 => link.turn(at, Event::Said(id, (what > 100).then_some(id))),
                3 => link.turn(at, Event::Part { id, last: what > 100 }),
                4 => link.turn(at, Event::GiveUp(id)),
                5 => link.turn(at, Event::Pong(id)),
                _ => link.turn(at, Event::Look { reads: now as u64 / 9_000, lost: Micros::ms(500) }),
            };
            match step {
                Step::Give(waits) if waits != id || !done.insert(waits) => return false,
                Step::Pass(stream) if stream != id || !done.contains(&id) => return false,
                Step::Cut(_) => {
                    if let Step::Ended(_, waiters, _) = link.turn(at, Event::Ends)
                        && waiters.into_iter().any(|(id, waits)| id != waits || !done.insert(waits))
                    {
                        return false;
                    }
                    (link, next) = (up(), next + 1);
                }
                _ => {}
            }
        }
        true
    }
    quickcheck::QuickCheck::new()
        .rng(quickcheck::Gen::from_size_and_seed(80, 7))
        .tests(5_000)
        .quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
}
