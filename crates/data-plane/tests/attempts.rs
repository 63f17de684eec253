//! What may be sent again, and what a client is told.
use std::cell::Cell;

use notchspool::units::Micros;
use notchspool_data_plane::attempts::{Attempts, Event, Next, Terms};
use notchspool_data_plane::standstill::{Standstill, older};
use notchspool_mesh_protocol::{Request, Response, Ticket, Verdict};

const TICKET: Ticket = Ticket { boot_id: 7, number: 1, attempt: 0 };

fn terms(repeatable: bool, ticket: Option<Ticket>) -> Terms {
    Terms { repeatable, most: 2, until: Micros::ms(1_000), ticket }
}
fn said(verdict: Verdict, arrived: bool) -> Response {
    Response { verdict: verdict.into(), reached_backend: arrived, status: 200, ..Response::default() }
}
fn posted(attempts: &mut Attempts) {
    assert!(matches!(attempts.turn(Micros(1), Event::Post, &|| false), Next::Send(..)));
}
fn came(attempts: &mut Attempts, said: &Response) -> Next {
    posted(attempts);
    attempts.turn(Micros(1), Event::Came(said), &|| true)
}

#[test]
fn what_may_not_be_repeated_goes_nowhere_once_it_may_have_run() {
    for arrived in [true, false] {
        let mut once = Attempts::open(terms(false, None));
        let next = came(&mut once, &said(Verdict::MayHaveRun, arrived));
        assert_eq!(next, Next::Unanswered { over: false });
    }
    let mut safe = Attempts::open(terms(true, None));
    assert_eq!(came(&mut safe, &said(Verdict::MayHaveRun, true)), Next::Again);
    assert_eq!(came(&mut safe, &said(Verdict::MayHaveRun, true)), Next::Unanswered { over: false });
}

#[test]
fn what_was_not_run_goes_on_and_is_refused_in_the_end() {
    let mut once = Attempts::open(terms(false, None));
    for _ in 0..3 {
        assert_eq!(came(&mut once, &said(Verdict::NotRun, false)), Next::Again);
    }
    assert_eq!(came(&mut once, &said(Verdict::NotRun, false)), Next::Refuse);
    let mut nobody = Attempts::open(terms(false, None));
    assert_eq!(nobody.turn(Micros(1), Event::Nobody, &|| true), Next::Refuse);
}

#[test]
fn no_promise_after_what_may_have_run() {
    let mut safe = Attempts::open(terms(true, None));
    assert_eq!(came(&mut safe, &said(Verdict::MayHaveRun, true)), Next::Again);
    let ends = Response { final_refusal: true, ..said(Verdict::NotRun, false) };
    assert_eq!(came(&mut safe, &ends), Next::Unanswered { over: false });
}

#[test]
fn past_its_time_nothing_is_sent() {
    let mut once = Attempts::open(terms(false, None));
    assert_eq!(once.turn(Micros::ms(1_000), Event::Post, &|| true), Next::Refuse);
    assert_eq!(once.posted(), 0);
    let mut safe = Attempts::open(terms(true, None));
    posted(&mut safe);
    let next = safe.turn(Micros::ms(1_000), Event::Came(&said(Verdict::MayHaveRun, true)), &|| true);
    assert_eq!(next, Next::Unanswered { over: true });
}

#[test]
fn arrivals_past_the_first_are_paid_for_once_each() {
    let spent = Cell::new(0);
    let spend = || {
        spent.set(spent.get() + 1);
        true
    };
    let mut safe = Attempts::open(Terms { most: 3, ..terms(true, None) });
    let mut came = |said: &Response| {
        posted(&mut safe);
        let next = safe.turn(Micros(1), Event::Came(said), &spend);
        (next, spent.get())
    };
    assert_eq!(came(&said(Verdict::NotRun, false)), (Next::Again, 0));
    // Turned away by the backend itself: that was an arrival.
    assert_eq!(came(&said(Verdict::NotRun, true)), (Next::Again, 1));
    // By a door: what was paid for is not lost.
    assert_eq!(came(&said(Verdict::NotRun, false)), (Next::Again, 1));
    let mut poor = Attempts::open(terms(false, None));
    posted(&mut poor);
    let next = poor.turn(Micros(1), Event::Came(&said(Verdict::NotRun, true)), &|| false);
    assert_eq!(next, Next::Refuse);
}

#[test]
fn a_key_goes_on_only_behind_a_fence() {
    let lost = said(Verdict::MayHaveRun, false);
    let fence = Ticket { number: 2, ..TICKET };
    let mut keyed = Attempts::open(terms(false, Some(TICKET)));
    assert_eq!(came(&mut keyed, &lost), Next::Fence);
    assert_eq!(keyed.turn(Micros(1), Event::Fenced(fence, true), &|| true), Next::Again);
    let next = keyed.turn(Micros(1), Event::Post, &|| true);
    assert_eq!(next, Next::Send(1, Some(Ticket { attempt: 1, ..fence })));
    // It has not run, but that is not promised: the fence has to stand.
    let next = keyed.turn(
        Micros(1),
        Event::Came(&Response { final_refusal: true, ..said(Verdict::NotRun, false) }),
        &|| true,
    );
    assert_eq!(next, Next::Unanswered { over: false });
    let mut keyed = Attempts::open(terms(false, Some(TICKET)));
    assert_eq!(came(&mut keyed, &lost), Next::Fence);
    assert_eq!(
        keyed.turn(Micros(1), Event::Fenced(fence, false), &|| true),
        Next::Unanswered { over: false }
    );
    // What reached the backend is not fenced: it ran, or broke off.
    let mut keyed = Attempts::open(terms(false, Some(TICKET)));
    assert_eq!(came(&mut keyed, &said(Verdict::MayHaveRun, true)), Next::Unanswered { over: false });
}

/// Whatever comes back: what may not be repeated reaches backends no more once it may have run, and is promised nothing then.
#[test]
fn any_row_of_verdicts_keeps_what_is_promised() {
    fn holds(repeatable: bool, row: Vec<(u8, bool, u8)>) -> bool {
        let mut attempts = Attempts::open(Terms { most: 3, ..terms(repeatable, None) });
        let (mut ran, mut reached) = (false, 0);
        for (verdict, arrived, n) in row {
            if !matches!(attempts.turn(Micros(1), Event::Post, &|| true), Next::Send(..)) {
                return false;
            }
            if ran && !repeatable {
                return false;
            }
            let verdict = [Verdict::MayHaveRun, Verdict::Answered, Verdict::NotRun, Verdict::WrongInstance]
                [usize::from(verdict % 4)];
            let arrived = arrived || verdict == Verdict::Answered;
            reached += u32::from(arrived || verdict == Verdict::MayHaveRun);
            ran |= verdict == Verdict::MayHaveRun || (verdict == Verdict::Answered);
            let status = if n % 2 == 0 { 500 } else { 200 };
            let said =
                Response { verdict: verdict.into(), reached_backend: arrived, status, ..Response::default() };
            match attempts.turn(Micros(1), Event::Came(&said), &|| n % 3 > 0) {
                Next::Again => {}
                Next::Refuse => return !ran,
                Next::Relay => return verdict == Verdict::Answered && reached <= 3,
                _ => return ran && reached <= 3,
            }
        }
        true
    }
    quickcheck::QuickCheck::new()
        .rng(quickcheck::Gen::from_size_and_seed(12, 7))
        .tests(5_000)
        .quickcheck(holds as fn(bool, Vec<(u8, bool, u8)>) -> bool);
}

#[test]
fn what_is_read_after_a_standstill_is_as_old_as_that() {
    let mut still = Standstill::open(Micros(1));
    assert_eq!(still.runs(Micros::ms(100)), Micros(0));
    assert_eq!(still.runs(Micros::ms(290)), Micros(0));
    assert_eq!(still.runs(Micros::ms(590)), Micros::ms(300));
    assert_eq!(still.runs(Micros::ms(900)), Micros::ms(310));
    assert_eq!(still.runs(Micros::ms(5_900)), Micros::ms(5_000));
    // All that had piled up, not the first alone.
    assert_eq!(still.runs(Micros::ms(5_910)), Micros::ms(5_000));
    assert_eq!(still.runs(Micros::ms(6_000)), Micros(0));
    // A short gap makes a request older, a long one takes its time, too.
    let ask = Request { time_left_ms: 2_000, target_left_ms: 800, age_ms: 10, ..Request::default() };
    let times = |ask: Request| (ask.time_left_ms, ask.target_left_ms, ask.age_ms);
    assert_eq!(times(older(ask.clone(), Micros::ms(300))), (2_000, 800, 310));
    assert_eq!(times(older(ask, Micros::ms(5_000))), (0, 0, 5_010));
}
