//! What may be sent again, and what a client is told.
use std::cell::Cell;

use notchspool::units::Micros;
use notchspool_data_plane::attempts::{Action, Attempts, Event, MAX_REFUSALS, RetryPolicy};
use notchspool_data_plane::stall_detector::{StallDetector, aged};
use notchspool_mesh_protocol::{Request, Response, Ticket, Verdict};

const TICKET: Ticket = Ticket { boot_id: 7, number: 1, attempt: 0 };

fn policy(idempotent: bool, ticket: Option<Ticket>) -> RetryPolicy {
    RetryPolicy {
        idempotent,
        max_attempts: 2,
        max_refusals: MAX_REFUSALS,
        deadline: Micros::ms(1_000),
        ticket,
    }
}
fn response(verdict: Verdict, arrived: bool) -> Response {
    Response { verdict: verdict.into(), reached_backend: arrived, status: 200, ..Response::default() }
}
fn send(attempts: &mut Attempts) {
    assert!(matches!(attempts.apply(Micros(1), Event::Picked, &|| false), Action::Send { .. }));
}
fn receive(attempts: &mut Attempts, response: &Response) -> Action {
    send(attempts);
    attempts.apply(Micros(1), Event::Response(response), &|| true)
}

#[test]
fn what_must_not_be_repeated_goes_nowhere_once_it_may_have_run() {
    for arrived in [true, false] {
        let mut once = Attempts::new(policy(false, None));
        let next = receive(&mut once, &response(Verdict::MayHaveRun, arrived));
        assert_eq!(next, Action::Unanswered { timed_out: false });
    }
    let mut safe = Attempts::new(policy(true, None));
    assert_eq!(receive(&mut safe, &response(Verdict::MayHaveRun, true)), Action::Retry);
    assert_eq!(
        receive(&mut safe, &response(Verdict::MayHaveRun, true)),
        Action::Unanswered { timed_out: false }
    );
}

#[test]
fn what_was_not_run_goes_on_and_is_refused_in_the_end() {
    let mut once = Attempts::new(policy(false, None));
    for _ in 0..3 {
        assert_eq!(receive(&mut once, &response(Verdict::NotRun, false)), Action::Retry);
    }
    assert_eq!(receive(&mut once, &response(Verdict::NotRun, false)), Action::Reject);
    let mut nobody = Attempts::new(policy(false, None));
    assert_eq!(nobody.apply(Micros(1), Event::NoBackend, &|| true), Action::Reject);
}

#[test]
fn a_failure_that_came_of_a_failed_call_is_not_run_again_elsewhere() {
    let failed = Response { status: 500, ..response(Verdict::Answered, true) };
    let mut safe = Attempts::new(policy(true, None));
    assert_eq!(receive(&mut safe, &failed), Action::Retry);
    let mut safe = Attempts::new(policy(true, None));
    assert_eq!(receive(&mut safe, &Response { call_failed: true, ..failed }), Action::Relay);
}

#[test]
fn no_promise_after_what_may_have_run() {
    let mut safe = Attempts::new(policy(true, None));
    assert_eq!(receive(&mut safe, &response(Verdict::MayHaveRun, true)), Action::Retry);
    let ends = Response { final_refusal: true, ..response(Verdict::NotRun, false) };
    assert_eq!(receive(&mut safe, &ends), Action::Unanswered { timed_out: false });
}

#[test]
fn at_the_end_of_its_proxy_nothing_is_sent() {
    let mut once = Attempts::new(policy(false, None));
    assert_eq!(receive(&mut once, &response(Verdict::NotRun, false)), Action::Retry);
    assert_eq!(once.apply(Micros(1), Event::ProxyEnds, &|| true), Action::Reject);
    let mut safe = Attempts::new(policy(true, None));
    assert_eq!(receive(&mut safe, &response(Verdict::MayHaveRun, true)), Action::Retry);
    assert_eq!(safe.apply(Micros(1), Event::ProxyEnds, &|| true), Action::Unanswered { timed_out: false });
    assert_eq!((once.sent(), safe.sent()), (1, 1));
}

#[test]
fn past_its_time_nothing_is_sent() {
    let mut once = Attempts::new(policy(false, None));
    assert_eq!(once.apply(Micros::ms(1_000), Event::Picked, &|| true), Action::Reject);
    assert_eq!(once.sent(), 0);
    let mut safe = Attempts::new(policy(true, None));
    send(&mut safe);
    let next = safe.apply(Micros::ms(1_000), Event::Response(&response(Verdict::MayHaveRun, true)), &|| true);
    assert_eq!(next, Action::Unanswered { timed_out: true });
}

#[test]
fn arrivals_past_the_first_are_paid_for_once_each() {
    let spent = Cell::new(0);
    let spend = || {
        spent.set(spent.get() + 1);
        true
    };
    let mut safe = Attempts::new(RetryPolicy { max_attempts: 3, ..policy(true, None) });
    let mut receive = |response: &Response| {
        send(&mut safe);
        let next = safe.apply(Micros(1), Event::Response(response), &spend);
        (next, spent.get())
    };
    assert_eq!(receive(&response(Verdict::NotRun, false)), (Action::Retry, 0));
    // Turned away by the backend itself: that was an arrival.
    assert_eq!(receive(&response(Verdict::NotRun, true)), (Action::Retry, 1));
    // By a door: what was paid for is not lost.
    assert_eq!(receive(&response(Verdict::NotRun, false)), (Action::Retry, 1));
    let mut poor = Attempts::new(policy(false, None));
    send(&mut poor);
    let next = poor.apply(Micros(1), Event::Response(&response(Verdict::NotRun, true)), &|| false);
    assert_eq!(next, Action::Reject);
}

#[test]
fn a_key_goes_on_only_behind_a_fence() {
    let lost = response(Verdict::MayHaveRun, false);
    let fence = Ticket { number: 2, ..TICKET };
    let mut keyed = Attempts::new(policy(false, Some(TICKET)));
    assert_eq!(receive(&mut keyed, &lost), Action::Fence);
    assert_eq!(
        keyed.apply(Micros(1), Event::Fence { ticket: fence, granted: true }, &|| true),
        Action::Retry
    );
    let next = keyed.apply(Micros(1), Event::Picked, &|| true);
    assert_eq!(next, Action::Send { attempt: 1, ticket: Some(Ticket { attempt: 1, ..fence }) });
    // It has not run, but that is not promised: the fence has to stand.
    let next = keyed.apply(
        Micros(1),
        Event::Response(&Response { final_refusal: true, ..response(Verdict::NotRun, false) }),
        &|| true,
    );
    assert_eq!(next, Action::Unanswered { timed_out: false });
    let mut keyed = Attempts::new(policy(false, Some(TICKET)));
    assert_eq!(receive(&mut keyed, &lost), Action::Fence);
    assert_eq!(
        keyed.apply(Micros(1), Event::Fence { ticket: fence, granted: false }, &|| true),
        Action::Unanswered { timed_out: false }
    );
    // What reached the backend is not fenced: it ran, or broke off.
    let mut keyed = Attempts::new(policy(false, Some(TICKET)));
    assert_eq!(
        receive(&mut keyed, &response(Verdict::MayHaveRun, true)),
        Action::Unanswered { timed_out: false }
    );
}

/// Whatever comes back: what may not be repeated reaches backends no more once it may have run, and is promised nothing then.
#[test]
fn any_row_of_verdicts_keeps_what_is_promised() {
    fn holds(idempotent: bool, row: Vec<(u8, bool, u8)>) -> bool {
        let mut attempts = Attempts::new(RetryPolicy { max_attempts: 3, ..policy(idempotent, None) });
        let (mut ran, mut reached) = (false, 0);
        for (verdict, arrived, n) in row {
            if !matches!(attempts.apply(Micros(1), Event::Picked, &|| true), Action::Send { .. }) {
                return false;
            }
            if ran && !idempotent {
                return false;
            }
            let verdict = [Verdict::MayHaveRun, Verdict::Answered, Verdict::NotRun, Verdict::OtherInstance]
                [usize::from(verdict % 4)];
            let arrived = arrived || verdict == Verdict::Answered;
            reached += u32::from(arrived || verdict == Verdict::MayHaveRun);
            ran |= verdict == Verdict::MayHaveRun || (verdict == Verdict::Answered);
            let status = if n % 2 == 0 { 500 } else { 200 };
            let response =
                Response { verdict: verdict.into(), reached_backend: arrived, status, ..Response::default() };
            match attempts.apply(Micros(1), Event::Response(&response), &|| n % 3 > 0) {
                Action::Retry => {}
                Action::Reject => return !ran,
                Action::Relay => return verdict == Verdict::Answered && reached <= 3,
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
fn what_is_read_after_a_stall_is_as_old_as_that() {
    let mut stalls = StallDetector::new(Micros(1));
    assert_eq!(stalls.observe(Micros::ms(100)), Micros(0));
    assert_eq!(stalls.observe(Micros::ms(290)), Micros(0));
    assert_eq!(stalls.observe(Micros::ms(590)), Micros::ms(300));
    assert_eq!(stalls.observe(Micros::ms(900)), Micros::ms(310));
    assert_eq!(stalls.observe(Micros::ms(5_900)), Micros::ms(5_000));
    // All that had piled up, not the first alone.
    assert_eq!(stalls.observe(Micros::ms(5_910)), Micros::ms(5_000));
    assert_eq!(stalls.observe(Micros::ms(6_000)), Micros(0));
    // A short gap makes a request older, a long one takes its time, too.
    let request = Request { time_left_ms: 2_000, target_left_ms: 800, age_ms: 10, ..Request::default() };
    let times = |r: Request| (r.time_left_ms, r.target_left_ms, r.age_ms);
    assert_eq!(times(aged(request.clone(), Micros::ms(300))), (2_000, 800, 310));
    assert_eq!(times(aged(request, Micros::ms(5_000))), (0, 0, 5_010));
}
