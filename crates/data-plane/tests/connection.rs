//! The life of a connection to the backend: an answer counts by its id, and what came astray, early or behind an answer ends it.
use notchspool::units::Micros;
use notchspool_data_plane::connection::{Connection, Event, Head, Id, Step, Word};

const KEEP: Option<Micros> = Some(Micros(9_000_000));

fn asked(connection: &mut Connection, attempt: &str, quiet: bool) -> Step {
    connection.turn(Event::Ask { now: Micros::ms(1), attempt, quiet })
}
fn sent(attempt: &str) -> Connection {
    let mut connection = Connection::fresh();
    assert_eq!(asked(&mut connection, attempt, true), Step::Go);
    assert_eq!(connection.turn(Event::Written), Step::Go);
    connection
}
fn head(status: u16, id: &str) -> Head {
    let id = if id.is_empty() { Id::Missing } else { Id::One(id.into()) };
    Head { status, id, sealed: true, ..Head::default() }
}
fn full(id: &str) -> Head {
    Head { not_run: true, sealed: false, ..head(503, id) }
}
/// Used once, in order, and idle again.
fn used() -> Connection {
    let mut connection = sent("a");
    assert_eq!(connection.turn(Event::Head(&head(200, "a"))), Step::Ours);
    assert_eq!(connection.turn(Event::Whole { keep: KEEP, surplus: false }), Step::Keep(Micros(9_000_000)));
    connection
}

#[test]
fn a_whole_answer_to_its_own_request_leaves_it_for_the_next() {
    let mut connection = used();
    assert_eq!(asked(&mut connection, "b", true), Step::Go);
    assert!(connection.reused());
}

#[test]
fn one_that_is_not_quiet_or_past_its_time_takes_nothing() {
    assert_eq!(asked(&mut used(), "b", false), Step::Unused);
    let late = Event::Ask { now: Micros(9_000_000), attempt: "b", quiet: true };
    assert_eq!(used().turn(late), Step::Unused);
}

#[test]
fn bytes_behind_an_answer_end_it() {
    let mut connection = sent("a");
    connection.turn(Event::Head(&head(200, "a")));
    assert_eq!(connection.turn(Event::Whole { keep: KEEP, surplus: true }), Step::End);
}

#[test]
fn an_answer_to_another_is_passed_over_and_ends_the_connection_after_its_own() {
    let mut connection = sent("a");
    assert_eq!(connection.turn(Event::Head(&head(200, "z"))), Step::PassOver);
    assert_eq!(connection.turn(Event::Whole { keep: KEEP, surplus: true }), Step::Go);
    assert_eq!(connection.turn(Event::Head(&head(200, "a"))), Step::Ours);
    assert_eq!(connection.turn(Event::Whole { keep: KEEP, surplus: false }), Step::End);
    assert_eq!(asked(&mut connection, "b", true), Step::Unused);
}

#[test]
fn an_endless_row_of_answers_to_others_is_given_up() {
    let mut connection = sent("a");
    for _ in 0..4 {
        assert_eq!(connection.turn(Event::Head(&head(200, "z"))), Step::PassOver);
        assert_eq!(connection.turn(Event::Whole { keep: KEEP, surplus: false }), Step::Go);
    }
    assert!(matches!(connection.turn(Event::Head(&head(200, "z"))), Step::MayHaveRun(_)));
}

#[test]
fn a_refusal_without_an_id_is_taken_only_where_nobody_else_ever_asked() {
    assert_eq!(sent("a").turn(Event::Head(&full(""))), Step::TurnedAway(Word::NotRun));
    let mut connection = used();
    asked(&mut connection, "b", true);
    connection.turn(Event::Written);
    assert_eq!(connection.turn(Event::Head(&full(""))), Step::PassOver);
    // Nor a success, ever; nor one whose id can't be told.
    assert_eq!(sent("a").turn(Event::Head(&head(200, ""))), Step::PassOver);
    let garbled = Head { id: Id::Garbled, ..full("") };
    assert_eq!(sent("a").turn(Event::Head(&garbled)), Step::PassOver);
}

#[test]
fn an_early_answer_counts_by_its_id_and_ends_the_connection() {
    for (id, step) in [("a", Step::Ours), ("z", Step::End)] {
        let mut connection = Connection::fresh();
        asked(&mut connection, "a", true);
        assert_eq!(connection.turn(Event::Early), Step::Go);
        let found = connection.turn(Event::Head(&full(id)));
        match step {
            Step::Ours => {
                assert_eq!(found, Step::Ours);
                assert_eq!(connection.turn(Event::Whole { keep: KEEP, surplus: false }), Step::End);
            }
            _ => assert!(matches!(found, Step::MayHaveRun(_)), "{found:?}"),
        }
        assert_eq!(asked(&mut connection, "b", true), Step::Unused);
    }
}

/// The same request may come again under the same id: a refusal that came twice must not be taken for the second one's.
#[test]
fn a_refusal_ends_its_connection() {
    for head in [full("a"), head(421, "a")] {
        let mut connection = sent("a");
        assert_eq!(connection.turn(Event::Head(&head)), Step::Ours);
        assert_eq!(connection.turn(Event::Whole { keep: KEEP, surplus: false }), Step::End);
    }
}

#[test]
fn a_promise_is_passed_on_only_where_the_backend_says_that_it_has_not_run() {
    for status in [408, 429, 503] {
        assert!(matches!(head(status, "a").word(), Word::MayHaveRun(_)), "{status}");
        assert_eq!(Head { not_run: true, ..head(status, "a") }.word(), Word::NotRun);
    }
    assert_eq!(head(421, "a").word(), Word::Elsewhere);
    assert_eq!(head(500, "a").word(), Word::Answered);
    assert_eq!(head(200, "a").word(), Word::Answered);
    assert!(matches!(Head { sealed: false, ..head(200, "a") }.word(), Word::MayHaveRun(_)));
    assert!(matches!(Head { encoded: true, ..head(200, "a") }.word(), Word::MayHaveRun(_)));
    assert!(matches!(Head { not_run: true, ..head(200, "a") }.word(), Word::MayHaveRun(_)));
}

/// Whatever happens on it in whatever order: an answer is given only for the open question, and what came astray is the last.
#[test]
fn any_order_of_events_gives_an_answer_only_to_the_open_question() {
    fn holds(steps: Vec<(u8, u8)>) -> bool {
        let (mut connection, mut open, mut astray) = (Connection::fresh(), None, false);
        let mut asked = 0u32;
        for (what, id) in steps {
            let name = format!("r{}", id % 3);
            let step = match what % 6 {
                0 => {
                    asked += 1;
                    let name = format!("r{}", asked % 3);
                    let step =
                        connection.turn(Event::Ask { now: Micros(1), attempt: &name, quiet: id % 4 > 0 });
                    if step == Step::Go {
                        if astray {
                            return false;
                        }
                        open = Some(name);
                    }
                    step
                }
                1 => connection.turn(Event::Written),
                2 => {
                    astray = true;
                    connection.turn(Event::Early)
                }
                3 => {
                    let step = connection.turn(Event::Head(&head(200, &name)));
                    astray |= step == Step::PassOver;
                    if step == Step::Ours && open.as_ref() != Some(&name) {
                        return false;
                    }
                    step
                }
                4 => {
                    let surplus = id % 2 == 0;
                    astray |= surplus;
                    connection.turn(Event::Whole { keep: KEEP, surplus })
                }
                _ => connection.turn(Event::Broke),
            };
            if matches!(step, Step::Unused | Step::End | Step::MayHaveRun(_) | Step::TurnedAway(_)) {
                (connection, open, astray, asked) = (Connection::fresh(), None, false, 0);
            }
        }
        true
    }
    quickcheck::QuickCheck::new()
        .rng(quickcheck::Gen::from_size_and_seed(60, 7))
        .tests(5_000)
        .quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
}
