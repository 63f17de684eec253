//! The life of a connection to the backend: an answer counts by its id, and what came unexpected, early or behind an answer ends it.
use notchspool::units::Micros;
use notchspool_data_plane::backend_connection::{
    Action, AnswerHead, AnswerId, BackendConnection, BackendVerdict, Event,
};

const KEEP: Option<Micros> = Some(Micros(9_000_000));

fn begin(connection: &mut BackendConnection, attempt: &str, quiet: bool) -> Action {
    connection.apply(Event::Begin { now: Micros::ms(1), attempt_id: attempt, quiet })
}
fn sent(attempt: &str) -> BackendConnection {
    let mut connection = BackendConnection::new();
    assert_eq!(begin(&mut connection, attempt, true), Action::Continue);
    assert_eq!(connection.apply(Event::Written), Action::Continue);
    connection
}
fn head(status: u16, id: &str) -> AnswerHead {
    let id = if id.is_empty() { AnswerId::Missing } else { AnswerId::One(id.into()) };
    AnswerHead { status, id, sealed: true, ..AnswerHead::default() }
}
fn full(id: &str) -> AnswerHead {
    AnswerHead { not_run: true, sealed: false, ..head(503, id) }
}
/// Used once, in order, and idle again.
fn used() -> BackendConnection {
    let mut connection = sent("a");
    assert_eq!(connection.apply(Event::Head(&head(200, "a"))), Action::ReadAnswer);
    assert_eq!(
        connection.apply(Event::Complete { reusable_until: KEEP, surplus: false }),
        Action::Reuse(Micros(9_000_000))
    );
    connection
}

#[test]
fn a_complete_answer_to_its_own_request_leaves_it_for_the_next() {
    let mut connection = used();
    assert_eq!(begin(&mut connection, "b", true), Action::Continue);
    assert!(connection.is_reused());
}

#[test]
fn one_that_is_not_quiet_or_past_its_time_takes_nothing() {
    assert_eq!(begin(&mut used(), "b", false), Action::Unusable);
    let late = Event::Begin { now: Micros(9_000_000), attempt_id: "b", quiet: true };
    assert_eq!(used().apply(late), Action::Unusable);
}

#[test]
fn bytes_behind_an_answer_end_it() {
    let mut connection = sent("a");
    connection.apply(Event::Head(&head(200, "a")));
    assert_eq!(connection.apply(Event::Complete { reusable_until: KEEP, surplus: true }), Action::Close);
}

#[test]
fn an_answer_to_another_is_passed_over_and_ends_the_connection_after_its_own() {
    let mut connection = sent("a");
    assert_eq!(connection.apply(Event::Head(&head(200, "z"))), Action::SkipAnswer);
    assert_eq!(connection.apply(Event::Complete { reusable_until: KEEP, surplus: true }), Action::Continue);
    assert_eq!(connection.apply(Event::Head(&head(200, "a"))), Action::ReadAnswer);
    assert_eq!(connection.apply(Event::Complete { reusable_until: KEEP, surplus: false }), Action::Close);
    assert_eq!(begin(&mut connection, "b", true), Action::Unusable);
}

#[test]
fn an_endless_row_of_answers_to_others_is_given_up() {
    let mut connection = sent("a");
    for _ in 0..4 {
        assert_eq!(connection.apply(Event::Head(&head(200, "z"))), Action::SkipAnswer);
        assert_eq!(
            connection.apply(Event::Complete { reusable_until: KEEP, surplus: false }),
            Action::Continue
        );
    }
    assert!(matches!(connection.apply(Event::Head(&head(200, "z"))), Action::MayHaveRun(_)));
}

#[test]
fn a_refusal_without_an_id_counts_only_where_no_other_request_was_sent() {
    assert_eq!(sent("a").apply(Event::Head(&full(""))), Action::Refused(BackendVerdict::NotRun));
    let mut connection = used();
    begin(&mut connection, "b", true);
    connection.apply(Event::Written);
    assert_eq!(connection.apply(Event::Head(&full(""))), Action::SkipAnswer);
    // Nor a success, ever; nor one whose id can't be told.
    assert_eq!(sent("a").apply(Event::Head(&head(200, ""))), Action::SkipAnswer);
    let garbled = AnswerHead { id: AnswerId::Ambiguous, ..full("") };
    assert_eq!(sent("a").apply(Event::Head(&garbled)), Action::SkipAnswer);
}

#[test]
fn an_early_answer_counts_by_its_id_and_ends_the_connection() {
    for (id, step) in [("a", Action::ReadAnswer), ("z", Action::Close)] {
        let mut connection = BackendConnection::new();
        begin(&mut connection, "a", true);
        assert_eq!(connection.apply(Event::EarlyData), Action::Continue);
        let found = connection.apply(Event::Head(&full(id)));
        match step {
            Action::ReadAnswer => {
                assert_eq!(found, Action::ReadAnswer);
                assert_eq!(
                    connection.apply(Event::Complete { reusable_until: KEEP, surplus: false }),
                    Action::Close
                );
            }
            _ => assert!(matches!(found, Action::MayHaveRun(_)), "{found:?}"),
        }
        assert_eq!(begin(&mut connection, "b", true), Action::Unusable);
    }
}

/// The same request may come again under the same id: a refusal that came twice must not be taken for the second one's.
#[test]
fn a_refusal_ends_its_connection() {
    for head in [full("a"), head(421, "a")] {
        let mut connection = sent("a");
        assert_eq!(connection.apply(Event::Head(&head)), Action::ReadAnswer);
        assert_eq!(connection.apply(Event::Complete { reusable_until: KEEP, surplus: false }), Action::Close);
    }
}

#[test]
fn a_promise_is_passed_on_only_where_the_backend_says_that_it_has_not_run() {
    for status in [408, 429, 503] {
        assert!(matches!(head(status, "a").verdict(), BackendVerdict::MayHaveRun(_)), "{status}");
        assert_eq!(AnswerHead { not_run: true, ..head(status, "a") }.verdict(), BackendVerdict::NotRun);
    }
    assert_eq!(head(421, "a").verdict(), BackendVerdict::OtherInstance);
    assert_eq!(head(500, "a").verdict(), BackendVerdict::Answered);
    assert_eq!(head(200, "a").verdict(), BackendVerdict::Answered);
    assert!(matches!(
        AnswerHead { sealed: false, ..head(200, "a") }.verdict(),
        BackendVerdict::MayHaveRun(_)
    ));
    assert!(matches!(
        AnswerHead { encoded: true, ..head(200, "a") }.verdict(),
        BackendVerdict::MayHaveRun(_)
    ));
    assert!(matches!(
        AnswerHead { not_run: true, ..head(200, "a") }.verdict(),
        BackendVerdict::MayHaveRun(_)
    ));
}

/// Whatever happens on it in whatever order: an answer is given only for the open question, and what came unexpected is the last.
#[test]
fn any_order_of_events_gives_an_answer_only_to_the_open_question() {
    fn holds(steps: Vec<(u8, u8)>) -> bool {
        let (mut connection, mut open, mut unexpected) = (BackendConnection::new(), None, false);
        let mut requests = 0u32;
        for (what, id) in steps {
            let name = format!("r{}", id % 3);
            let step = match what % 6 {
                0 => {
                    requests += 1;
                    let name = format!("r{}", requests % 3);
                    let step = connection.apply(Event::Begin {
                        now: Micros(1),
                        attempt_id: &name,
                        quiet: id % 4 > 0,
                    });
                    if step == Action::Continue {
                        if unexpected {
                            return false;
                        }
                        open = Some(name);
                    }
                    step
                }
                1 => connection.apply(Event::Written),
                2 => {
                    unexpected = true;
                    connection.apply(Event::EarlyData)
                }
                3 => {
                    let step = connection.apply(Event::Head(&head(200, &name)));
                    unexpected |= step == Action::SkipAnswer;
                    if step == Action::ReadAnswer && open.as_ref() != Some(&name) {
                        return false;
                    }
                    step
                }
                4 => {
                    let surplus = id % 2 == 0;
                    unexpected |= surplus;
                    connection.apply(Event::Complete { reusable_until: KEEP, surplus })
                }
                _ => connection.apply(Event::Broken),
            };
            if matches!(step, Action::Unusable | Action::Close | Action::MayHaveRun(_) | Action::Refused(_)) {
                (connection, open, unexpected, requests) = (BackendConnection::new(), None, false, 0);
            }
        }
        true
    }
    quickcheck::QuickCheck::new()
        .rng(quickcheck::Gen::from_size_and_seed(60, 7))
        .tests(5_000)
        .quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
}
