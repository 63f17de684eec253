//! What is open between two proxies: every answer goes to its own question or to nobody.
use std::collections::BTreeSet;

use notchspool::units::Micros;
use notchspool_data_plane::peer_exchange::{
    IncomingAction, IncomingEvent, IncomingExchanges, OutgoingAction, OutgoingEvent, OutgoingExchanges,
};
use notchspool_mesh_protocol::Verdict;

type Link = OutgoingExchanges<u64, u64>;

fn up() -> Link {
    let mut link = Link::new(Micros(1));
    assert!(matches!(link.apply(Micros(1), OutgoingEvent::Connected), OutgoingAction::Nothing));
    link
}
fn request(link: &mut Link, id: u64) {
    assert!(matches!(link.apply(Micros(1), OutgoingEvent::Request(id, id)), OutgoingAction::Send));
}

#[test]
fn an_answer_goes_to_its_request_and_a_second_ends_the_connection() {
    let mut link = up();
    request(&mut link, 1);
    request(&mut link, 2);
    assert!(matches!(link.apply(Micros(2), OutgoingEvent::Response(2, None)), OutgoingAction::Deliver(2)));
    assert!(matches!(link.apply(Micros(3), OutgoingEvent::Response(2, None)), OutgoingAction::Abort(_)));
    assert!(matches!(up().apply(Micros(2), OutgoingEvent::Response(9, None)), OutgoingAction::Abort(_)));
    assert!(matches!(
        up().apply(Micros(2), OutgoingEvent::BodyChunk { id: 9, last: false }),
        OutgoingAction::Abort(_)
    ));
}

#[test]
fn what_crosses_a_cancel_is_dropped_until_its_fence_is_answered() {
    let mut link = up();
    request(&mut link, 1);
    assert!(matches!(link.apply(Micros(2), OutgoingEvent::Abandon(1)), OutgoingAction::Cancel));
    assert!(matches!(link.apply(Micros(3), OutgoingEvent::Response(1, Some(0))), OutgoingAction::Nothing));
    let look = |link: &mut Link, at| {
        link.apply(Micros::ms(at), OutgoingEvent::Tick { read_count: 0, max_silence: Micros::ms(500) })
    };
    let OutgoingAction::Ping(fence) = look(&mut link, 1) else { panic!("no fence") };
    request(&mut link, 2);
    assert!(matches!(link.apply(Micros::ms(2), OutgoingEvent::Abandon(2)), OutgoingAction::Cancel));
    link.apply(Micros::ms(3), OutgoingEvent::Pong(fence));
    // The second was given up after that ping: it may still be on its way, the first may not.
    assert!(matches!(link.apply(Micros::ms(4), OutgoingEvent::Response(2, None)), OutgoingAction::Nothing));
    assert!(matches!(link.apply(Micros::ms(4), OutgoingEvent::Response(1, None)), OutgoingAction::Abort(_)));
}

#[test]
fn one_that_is_let_go_takes_nothing_new() {
    let mut link = up();
    let look = OutgoingEvent::Tick { read_count: 0, max_silence: Micros::ms(500) };
    assert!(matches!(link.apply(Micros::ms(61_000), look), OutgoingAction::Finish));
    assert!(!link.accepts_requests());
    assert!(matches!(
        link.apply(Micros::ms(61_000), OutgoingEvent::Request(1, 1)),
        OutgoingAction::NotRun(_, 1)
    ));
}

#[test]
fn what_was_sent_may_have_run_and_what_never_left_has_not() {
    for (is_up, verdict) in [(false, Verdict::NotRun), (true, Verdict::MayHaveRun)] {
        let mut link = if is_up { up() } else { Link::new(Micros(1)) };
        request(&mut link, 1);
        let OutgoingAction::Closed { verdict: found, waiting: waiters, .. } =
            link.apply(Micros(2), OutgoingEvent::Closed)
        else {
            panic!("no end")
        };
        assert_eq!((found, waiters), (verdict, vec![(1, 1)]));
        assert!(matches!(link.apply(Micros(3), OutgoingEvent::Request(2, 2)), OutgoingAction::NotRun(_, 2)));
    }
}

#[test]
fn a_silent_link_is_pinged_and_then_aborted_and_an_unused_one_never() {
    let look = |link: &mut Link, at| {
        link.apply(Micros::ms(at), OutgoingEvent::Tick { read_count: 0, max_silence: Micros::ms(500) })
    };
    let mut link = up();
    assert!(matches!(look(&mut link, 5_000), OutgoingAction::Nothing));
    link.apply(Micros::ms(5_000), OutgoingEvent::Request(1, 1));
    assert!(matches!(look(&mut link, 5_100), OutgoingAction::Nothing));
    assert!(matches!(look(&mut link, 5_200), OutgoingAction::Ping(_)));
    assert!(matches!(look(&mut link, 5_500), OutgoingAction::Nothing));
    assert!(matches!(look(&mut link, 5_560), OutgoingAction::Abort(_)));
}

#[test]
fn the_other_end_begins_nothing_twice() {
    let mut work = IncomingExchanges::<u64>::default();
    assert!(matches!(work.apply(IncomingEvent::Request(3)), IncomingAction::Start));
    work.apply(IncomingEvent::Started(3, 30));
    assert!(matches!(work.apply(IncomingEvent::Request(3)), IncomingAction::AbortConnection));
    work.apply(IncomingEvent::Finished(3));
    assert!(matches!(work.apply(IncomingEvent::Request(3)), IncomingAction::AbortConnection));
    assert!(matches!(work.apply(IncomingEvent::Request(2)), IncomingAction::AbortConnection));
    assert!(matches!(work.apply(IncomingEvent::Request(4)), IncomingAction::Start));
    work.apply(IncomingEvent::Started(4, 40));
    assert!(matches!(work.apply(IncomingEvent::Cancel(4)), IncomingAction::Abort(40)));
    assert!(matches!(work.apply(IncomingEvent::Cancel(4)), IncomingAction::Nothing));
    work.apply(IncomingEvent::Request(5));
    work.apply(IncomingEvent::Started(5, 50));
    let IncomingAction::AbortAll(all) = work.apply(IncomingEvent::Closed) else { panic!("nothing to end") };
    assert_eq!(all, [50]);
}

/// Whatever comes in whatever order: each question is answered at most once, by what bore its id.
#[test]
fn any_order_of_events_answers_each_request_at_most_once() {
    fn holds(steps: Vec<(u8, u8)>) -> bool {
        let (mut link, mut next, mut done, mut now) = (up(), 0u64, BTreeSet::new(), 1i64);
        for (what, id) in steps {
            now += i64::from(id) * 1_000;
            let id = u64::from(id) % (next + 2);
            let at = Micros(now);
            let step = match what % 7 {
                0 | 1 => {
                    next += 1;
                    link.apply(at, OutgoingEvent::Request(next, next))
                }
                2 => link.apply(at, OutgoingEvent::Response(id, (what > 100).then_some(id))),
                3 => link.apply(at, OutgoingEvent::BodyChunk { id, last: what > 100 }),
                4 => link.apply(at, OutgoingEvent::Abandon(id)),
                5 => link.apply(at, OutgoingEvent::Pong(id)),
                _ => link.apply(
                    at,
                    OutgoingEvent::Tick { read_count: now as u64 / 9_000, max_silence: Micros::ms(500) },
                ),
            };
            match step {
                OutgoingAction::Deliver(waits) if waits != id || !done.insert(waits) => return false,
                OutgoingAction::Forward(stream) if stream != id || !done.contains(&id) => return false,
                OutgoingAction::Abort(_) => {
                    if let OutgoingAction::Closed { waiting: waiters, .. } =
                        link.apply(at, OutgoingEvent::Closed)
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

#[test]
fn who_is_told_to_go_away_sends_nothing_more_and_closes_once_all_is_answered() {
    let mut link = up();
    request(&mut link, 1);
    request(&mut link, 2);
    let look = |link: &mut Link, at| {
        link.apply(
            Micros::ms(at),
            OutgoingEvent::Tick { read_count: at as u64, max_silence: Micros::ms(500) },
        )
    };
    assert!(matches!(link.apply(Micros::ms(1), OutgoingEvent::GoAway), OutgoingAction::Nothing));
    assert!(!link.accepts_requests());
    assert!(matches!(link.apply(Micros::ms(1), OutgoingEvent::Request(3, 3)), OutgoingAction::NotRun(_, 3)));
    assert!(matches!(
        link.apply(Micros::ms(2), OutgoingEvent::Response(1, None)),
        OutgoingAction::Deliver(1)
    ));
    assert!(matches!(look(&mut link, 3), OutgoingAction::Nothing), "one is open");
    assert!(matches!(
        link.apply(Micros::ms(4), OutgoingEvent::Response(2, None)),
        OutgoingAction::Deliver(2)
    ));
    assert!(matches!(look(&mut link, 5), OutgoingAction::Finish));
    // One on which nothing is open ends at once; one whose other side says nothing more is given up as ever.
    assert!(matches!(up().apply(Micros(2), OutgoingEvent::GoAway), OutgoingAction::Finish));
    let mut silent = up();
    request(&mut silent, 1);
    silent.apply(Micros::ms(1), OutgoingEvent::GoAway);
    let same = |link: &mut Link, at| {
        link.apply(Micros::ms(at), OutgoingEvent::Tick { read_count: 0, max_silence: Micros::ms(500) })
    };
    let ends = (1..20).any(|n| matches!(same(&mut silent, n * 100), OutgoingAction::Abort(_)));
    assert!(ends, "its silence is noticed");
}
