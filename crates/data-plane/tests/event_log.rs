//! What the log says of single requests.
use notchspool_data_plane::event_log::{EventLog, Summary};

#[test]
fn a_span_in_which_most_was_refused_says_how_many_and_why() {
    let log = EventLog::default();
    (0..4).for_each(|_| log.on_request());
    log.on_refused("full");
    assert_eq!(log.end_span(), []);
    (0..4).for_each(|_| log.on_request());
    (0..3).for_each(|_| log.on_refused("no configuration"));
    let most = Summary::MostRefused { refused: 3, requests: 4, last_reason: "no configuration".into() };
    assert_eq!(log.end_span(), [most]);
    assert_eq!(log.end_span(), []);
}

#[test]
fn lines_over_the_bound_of_a_span_are_counted_and_the_next_span_has_its_own() {
    let log = EventLog::default();
    let written = (0..100).filter(|_| log.may_write()).count();
    assert_eq!(log.end_span(), [Summary::LinesLeftOut(100 - written as u64)]);
    assert!((1..100).contains(&written));
    assert!(log.may_write());
}
